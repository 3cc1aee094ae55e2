#pragma once

#include "decisionpacer.h"
#include "endpoints/peers.h"
#include "jobs/jobscheduler.h"
#include "jobs/jobview.h"
#include "operators/cordonfollower.h"
#include "platform/store.h"
#include "previousleaders.h"
#include "silentagentrecord.h"

#include <absl/time/time.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oriolebay::utils {
class EventLoop;
}

namespace oriolebay::entry {

/// Settings of a LeaderSession.
struct LeaderSessionOptions {
  std::string LeaderKey;
  /// The address at which other entries reach this one.
  std::string Address;
  jobs::SchedulerPolicy Policy;
  /// The grant: time for which the answer to a report lets the agent keep its
  /// tasks alive.
  absl::Duration Grant = absl::Milliseconds(5500);
  /// Maximum time without confirmation from the store during which the leader
  /// continues to grant.
  absl::Duration GrantWithoutStore = absl::Milliseconds(7500);
  /// Time without confirmation from the store after which another entry may
  /// have become leader.
  absl::Duration DoubtfulAfter = absl::Seconds(2);
  absl::Duration TickEvery = absl::Milliseconds(200);
  /// Factor of the DecisionPacer: at most a quarter of the time is spent on
  /// decisions.
  int DecisionRestFactor = 3;
  /// Pause of writes after a failed one.
  absl::Duration WriteRetryDelay = absl::Milliseconds(100);
  int AgentTimeoutMs = 400;
};

/// The work of an entry while it is the leader: passes inputs to the scheduler,
/// records the progress of jobs and sends orders to agents. Exists from the
/// election to the loss of leadership; none of its state is kept after that.
class LeaderSession {
public:
  using OnDecision = std::function<void(const jobs::Decision &)>;
  using OnStoreError =
      std::function<void(platform::StoreStatus, const std::string &why)>;
  /// The store refused a write because another entry leads.
  using OnLeadershipLost = std::function<void()>;
  /// A job has ended. Callers see the end once it is recorded.
  using OnEnding = std::function<void(const std::string &jobId)>;
  /// The progress of a job was recorded at the given revision of the store.
  using OnRecorded =
      std::function<void(const jobs::ProgressWrite &, int64_t revision)>;
  /// The store returned a job's record that has changed.
  using OnRecordRead = std::function<void(const platform::KeyValue &)>;
  /// Returns when the store last confirmed that this entry leads.
  using ConfirmationTime = std::function<absl::Time()>;

  LeaderSession(utils::EventLoop &loop, const platform::Store &store,
                const endpoints::Peers &peers, const jobs::JobView &view,
                const operators::CordonFollower &cordons,
                LeaderSessionOptions options, int64_t epoch,
                ConfirmationTime confirmed, OnDecision onDecision,
                OnStoreError onStoreError, OnEnding onEnding,
                OnRecorded onRecorded, OnRecordRead onRecordRead,
                OnLeadershipLost onLeadershipLost);
  ~LeaderSession();
  LeaderSession(const LeaderSession &) = delete;
  LeaderSession &operator=(const LeaderSession &) = delete;

  /// Registers this entry in the list of leaders. Calls onRegistered when that
  /// is done; begin() can be called from then on.
  void registerLeader(std::function<void()> onRegistered);
  bool isRegistered() const { return Registered; }
  /// Takes over all jobs and starts scheduling. The view must have been read
  /// completely since the election, and the cordons confirmed.
  void begin(const std::shared_ptr<const core::SiteConfig> &config);
  bool isRunning() const { return Running; }

  void onConfig(const std::shared_ptr<const core::SiteConfig> &config);
  void onCordons(const core::Cordons &cordons);
  void onRecord(const jobs::StoredJob &job);
  void onRemoved(const std::string &jobId);
  /// Handles an agent's report and returns the answer for it.
  endpoints::ReportAck onReport(const endpoints::WorkerReport &report);

  const jobs::JobScheduler &scheduler() const { return Scheduler; }
  /// Bytes of progress that were sent to the store.
  size_t progressBytesWritten() const { return ProgressBytesWritten; }

private:
  /// Returns the progress in a stored value. Reports an error and returns
  /// nothing if it cannot be decoded.
  std::optional<jobs::JobProgress>
  decodeOrReport(const std::string &value) const;
  void readSilentAgents();
  /// Completes the registration once this entry is in the list of leaders and
  /// knows which agents were silent under the previous one.
  void completeRegistration();
  void postPass();
  void runPass();
  void decideIfDue();
  void scheduleTick();
  void sendOrders();
  void writeProgress();
  void writeBatch(std::vector<jobs::ProgressWrite> batch);
  void onWriteFailed(const std::vector<jobs::ProgressWrite> &batch);
  void onWritten(const std::vector<jobs::ProgressWrite> &batch,
                 int64_t revision);
  void onConflict(const std::vector<jobs::ProgressWrite> &batch,
                  const std::vector<platform::KeyValue> &current);
  void resolveConflict(const jobs::ProgressWrite &progressWrite,
                       const std::vector<platform::KeyValue> &current);
  /// Takes over the progress of a job that is at another revision than this
  /// leader expected: its earlier write took effect although the answer was
  /// lost. Returns false if it cannot be decoded.
  bool adoptProgress(const std::string &jobId,
                     const platform::KeyValue &progress);
  void removeExpiredJobs();
  void
  onRemovalReply(const std::vector<jobs::ExpiredJob> &expired,
                 const platform::StoreReply<platform::StoreTxnReply> &reply);
  void resolveConflict(const jobs::ExpiredJob &expired,
                       const std::vector<platform::KeyValue> &current);
  /// Returns whether this entry leads according to the items that the store
  /// returned with a conflict.
  bool isLeaderIn(const std::vector<platform::KeyValue> &current) const;

  utils::EventLoop &Loop;
  const platform::Store &StoreClient;
  const endpoints::Peers &Peers;
  const jobs::JobView &View;
  const operators::CordonFollower &Cordons;
  const LeaderSessionOptions Options;
  const int64_t Epoch;
  const ConfirmationTime LastConfirmed;
  const OnDecision ReportDecision;
  const OnStoreError ReportStoreError;
  const OnEnding ReportEnding;
  const OnRecorded ReportRecorded;
  const OnRecordRead ReportRecordRead;
  const OnLeadershipLost ReportLeadershipLost;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  jobs::JobScheduler Scheduler;
  std::unique_ptr<PreviousLeaders> Previous;
  std::unique_ptr<SilentAgentRecord> SilentAgents;
  std::function<void()> OnRegistered;
  bool InLeaderList = false;
  bool Registered = false;
  bool Running = false;
  bool PassPosted = false;
  DecisionPacer Pacer{Options.DecisionRestFactor};
  bool RemovalPending = false;
  /// Ended jobs whose progress was removed or replaced by somebody else. They
  /// would hold up the removal of the others.
  std::set<std::string> UnremovableJobs;
  /// Maximum number of jobs in one transaction. A job whose write fails holds
  /// up those that are written with it, so that it falls with each failure.
  size_t MaxBatchJobs;
  size_t ProgressBytesWritten = 0;
  /// After a failed write no other is attempted before this time.
  absl::Time WritesPausedUntil = absl::InfinitePast();
};

} // namespace oriolebay::entry
