#pragma once

#include "callforwarder.h"
#include "endpoints/peers.h"
#include "jobs/jobdesk.h"
#include "jobs/jobview.h"
#include "leaderduty.h"
#include "operators/configfollower.h"
#include "platform/election.h"
#include "platform/storehealth.h"
#include "settings/nodesettings.h"

#include <absl/time/time.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace oriolebay::entry {

/// Who counts what an entry does; each may be empty. They run on its loop.
struct EntryObservers {
  std::function<void(const jobs::CallDecision &)> Called;
  std::function<void(const jobs::Decision &)> Decided;
  platform::StoreHealth::OnCall StoreCalled;
};

/// What an entry knows at this moment, for metrics and operators.
struct EntryStatus {
  int64_t ConfigVersion = 0;
  double ConfigAgeSeconds = 0;
  /// Another entry is known to go by a newer configuration.
  bool ConfigOutdated = false;
  bool Leads = false;
  int64_t LeaderEpoch = 0;
  size_t JobsKnown = 0;
  /// As the leader has them; zero elsewhere.
  size_t ActiveJobs = 0;
  size_t Workers = 0;
};

/// An entry that serves lasting jobs. It keeps a view of configuration and
/// jobs, serves callers through its desk, takes part in the election, and
/// does the leader's duty while it leads. Everything runs on one event loop.
class JobEntry {
public:
  JobEntry(utils::EventLoop &loop, const platform::Store &store,
           endpoints::Peers peers, settings::NodeSettings settings,
           std::function<utils::Result<core::SiteConfig>(const std::string &)>
               decodeConfig,
           std::string configKey, EntryObservers observers = {});
  ~JobEntry();
  JobEntry(const JobEntry &) = delete;
  JobEntry &operator=(const JobEntry &) = delete;

  void start();
  jobs::JobDesk &desk() { return *Desk; }
  /// Whether this entry can serve callers now, with why not.
  bool ready(std::string *why = nullptr) const;
  /// Planned stop: not ready from now on, and another entry takes the lead.
  /// Callers that are being served are still answered.
  void beginStop();

  int64_t storeCalls() const { return Health.calls(); }
  EntryStatus status() const;

private:
  endpoints::Message onMessage(const endpoints::Message &message);
  void onLeadership(const platform::Leadership &leadership);
  void onViewComplete();
  void beginDuty();
  endpoints::Ack onStandDown(const endpoints::StandDown &down);
  void onWritten(const platform::KeyValue &item);
  std::vector<std::string> otherEntries() const;
  std::vector<std::string> entriesToldTo(const std::string &agent) const;
  bool askLeader(const jobs::CallRequest &call,
                 const jobs::OnLeaderAnswer &done);
  bool forward(const jobs::CallRequest &call, const jobs::OnForwarded &done);
  void onForwarded(const endpoints::ForwardedCall &call,
                   const endpoints::Peers::Respond &respond);
  void onConfig(const std::shared_ptr<const core::SiteConfig> &config);
  void onConfigOutdated(const core::ConfigStamp &newer);
  void onEntry(const platform::StoreEvent &event);
  void storeTrouble(const char *what, platform::StoreStatus status,
                    const std::string &why);

  utils::EventLoop &Loop;
  const endpoints::Peers Peers;
  const settings::NodeSettings Settings;
  const settings::Timing Time;
  const EntryObservers Observers;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  platform::StoreHealth Health;
  const platform::Store Calls;
  platform::Leadership Leader;
  absl::Time LeaderSilentUntil = absl::InfinitePast();
  bool Stopping = false;
  /// Addresses of the entries that are registered, by their keys.
  std::map<std::string, std::string> EntryAddresses;
  /// The largest that any entry was seen with. It outlasts its registration:
  /// all lapse at once in an outage.
  double LargestProcessorShare = 0;
  std::unique_ptr<operators::ConfigFollower> Config;
  std::unique_ptr<jobs::JobView> View;
  std::unique_ptr<CallForwarder> Forwarder;
  std::unique_ptr<jobs::JobDesk> Desk;
  std::unique_ptr<platform::PrefixFollower> Entries;
  std::unique_ptr<platform::Election> Election;
  std::unique_ptr<LeaderDuty> Duty;
  bool ReadSinceElection = false;
};

/// The store's keys of the entries.
extern const char *const EntryPrefix;
extern const char *const JobLeaderKey;

} // namespace oriolebay::entry
