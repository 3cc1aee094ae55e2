#pragma once

#include "callforwarder.h"
#include "endpoints/peers.h"
#include "entrydirectory.h"
#include "jobs/jobservice.h"
#include "jobs/jobview.h"
#include "leadersession.h"
#include "operators/configfollower.h"
#include "operators/cordonfollower.h"
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

/// Observers of an entry, for metrics and tests. Each may be empty. They are
/// called on the entry's event loop.
struct EntryObservers {
  std::function<void(const jobs::CallDecision &)> Called;
  std::function<void(const jobs::Decision &)> Decided;
  platform::StoreHealth::OnCall StoreCalled;
};

/// The current state of an entry, for metrics and operators.
struct EntryStatus {
  int64_t ConfigVersion = 0;
  double ConfigAgeSeconds = 0;
  /// Another entry is known to use a newer configuration.
  bool ConfigOutdated = false;
  /// Forwarded calls that write and were not answered; see UnansweredWrites.
  size_t UnansweredWrites = 0;
  /// Number of cordoned failure domains, and the age of that view; the age is
  /// infinite at entries that do not lead.
  size_t CordonedDomains = 0;
  double CordonAgeSeconds = 0;
  bool Leads = false;
  int64_t LeaderEpoch = 0;
  size_t JobsKnown = 0;
  /// Counts of the leader; zero at other entries.
  size_t ActiveJobs = 0;
  /// What the known jobs take in memory, and what they may take.
  size_t JobsMemoryBytes = 0;
  size_t JobsMemoryLimitBytes = 0;
  /// Tasks that the leader remembers something of; zero at other entries.
  size_t TasksRemembered = 0;
  /// Tasks that run or may run, how many the leader lets run at most, what they
  /// have saved, and the bytes of progress that it has sent to the store; zero
  /// at other entries.
  size_t TasksRunning = 0;
  size_t MaxTasksRunning = 0;
  size_t SavedBytes = 0;
  size_t ProgressBytesWritten = 0;
  size_t Workers = 0;
  jobs::WaitSummary Waits;
  jobs::SpeedSummary Speeds;
};

/// Where the operator's decisions lie in the store.
struct OperatorKeys {
  std::string Config;
  std::function<utils::Result<core::SiteConfig>(const std::string &)>
      DecodeConfig;
  /// A key under this prefix cordons the failure domain that the rest of its
  /// name denotes.
  std::string CordonPrefix;
};

/// An entry for jobs that are recorded in the store and outlive the call that
/// submitted them; EntryService serves gangs whose callers wait for the answer.
/// It follows the configuration and the jobs, serves callers through its job
/// service, takes part in the election, and runs a leader session while it
/// leads. Everything runs on one event loop.
class JobEntry {
public:
  JobEntry(utils::EventLoop &loop, const platform::Store &store,
           endpoints::Peers peers, settings::NodeSettings settings,
           const OperatorKeys &operatorKeys, EntryObservers observers = {});
  ~JobEntry();
  JobEntry(const JobEntry &) = delete;
  JobEntry &operator=(const JobEntry &) = delete;

  void start();
  jobs::JobService &jobService() { return *Service; }
  /// Whether this entry can serve callers now. If not, the reason is stored in
  /// why.
  bool ready(std::string *why = nullptr) const;
  /// Begins a planned stop: the entry is not ready from now on and resigns as
  /// leader. Callers that are being served still get their answers.
  void beginStop();

  int64_t storeCalls() const { return Health.calls(); }
  EntryStatus status() const;

private:
  endpoints::Message onMessage(const endpoints::Message &message);
  void onLeadership(const platform::Leadership &leadership);
  void onViewComplete();
  LeaderSessionOptions leaderOptions() const;
  /// What all entries together may hold of accepted jobs.
  jobs::JobMemoryLimit jobMemoryLimit() const;
  void beginSession();
  endpoints::Ack onStepDownRequest(const endpoints::StandDown &stepDown);
  void onJobWritten(const platform::KeyValue &item);
  void onRecord(const jobs::StoredJob &job);
  std::vector<std::string> otherEntries() const;
  std::vector<std::string> entriesForAgent(const std::string &agent) const;
  bool askLeaderForState(const jobs::CallRequest &call,
                         const jobs::OnLeaderAnswer &done);
  bool forward(const jobs::CallRequest &call, const jobs::OnForwarded &done);
  void onForwarded(const endpoints::ForwardedCall &call,
                   const endpoints::Peers::Respond &respond);
  void onConfig(const std::shared_ptr<const core::SiteConfig> &config);
  void onConfigOutdated(const core::ConfigStamp &newer,
                        operators::ConfigNewsSource source);
  void onCordons(const core::Cordons &cordons);
  void onEntry(const platform::StoreEvent &event);
  void logStoreError(const char *what, platform::StoreStatus status,
                     const std::string &why);

  utils::EventLoop &Loop;
  const endpoints::Peers Peers;
  const settings::NodeSettings Settings;
  const settings::Timing Time;
  const EntryObservers Observers;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  platform::StoreHealth Health;
  const platform::Store StoreClient;
  platform::Leadership Leader;
  /// After a call without an answer, the leader is not called again before this
  /// time.
  absl::Time LeaderRetryTime = absl::InfinitePast();
  bool Stopping = false;
  EntryDirectory Directory;
  std::unique_ptr<operators::ConfigFollower> Config;
  std::unique_ptr<operators::CordonFollower> Cordons;
  /// The cordons in force here, to log what changes.
  core::Cordons LoggedCordons;
  std::unique_ptr<jobs::JobView> View;
  std::unique_ptr<CallForwarder> Forwarder;
  std::unique_ptr<jobs::JobService> Service;
  std::unique_ptr<platform::PrefixFollower> Entries;
  std::unique_ptr<platform::Election> Election;
  std::unique_ptr<LeaderSession> Session;
  /// The view has been read completely since the election.
  bool ViewReadSinceElection = false;
};

/// Keys in the store: the prefix of the registered entries, and the key of the
/// leader.
extern const char *const EntryPrefix;
extern const char *const JobLeaderKey;

} // namespace oriolebay::entry
