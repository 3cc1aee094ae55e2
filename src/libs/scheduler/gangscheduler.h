#pragma once

#include "endpoints/messages.h"
#include "placement/clusterstate.h"

#include <absl/time/time.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace oriolebay::scheduler {

using placement::RunId;

/// Limits and periods of a GangScheduler.
struct Policy {
  /// Time without an announcement after which a worker is unresponsive.
  absl::Duration HeartbeatTimeout = absl::Seconds(3);
  /// Time without an announcement after which a worker's tasks have certainly
  /// stopped by themselves.
  absl::Duration TaskLease = absl::Seconds(11);
  /// Maximum time that a job waits for free capacity before it is refused.
  std::function<absl::Duration(const core::JobRequest &)> WaitLimit =
      [](const core::JobRequest &) { return absl::Seconds(2); };
  /// Waiting time after which other work is kept off the workers that are
  /// closest to having enough free capacity for the gang.
  absl::Duration DrainWorkersAfter = absl::Milliseconds(500);
  /// Delay after which a refused caller is asked to try again.
  int64_t RetryAfterMs = 1000;
  /// Maximum number of runs of a gang, not counting runs that were stopped for
  /// a guarantee or for the power cap.
  int MaxAttempts = 3;
  /// Maximum number of waiting gangs. Beyond it, one of them is refused.
  size_t MaxPending = 1024;
};

/// A request to run a gang. GangId is assigned by the system: two callers may
/// use the same job id and still get their own answers.
struct GangRequest {
  std::string GangId;
  core::JobRequest Job;
  auto operator<=>(const GangRequest &) const = default;
};

/// Action: record and start a gang that was placed.
struct StartGang {
  RunId Run;
  GangRequest Request;
  placement::Assignment Workers;
  std::string Saved;
  int Attempt = 1;
};
/// Action: stop these members of a run, listed by worker.
struct StopGang {
  RunId Run;
  std::map<std::string, std::vector<int>> Members;
};
/// Action: send a caller its final answer.
struct AnswerCaller {
  GangRequest Request;
  core::JobAnswer Answer;
  /// The gang was adopted from an earlier leader and has not been submitted to
  /// this one. If it is submitted later, it may run again.
  bool Orphan = false;
};
/// Action: delete the record of a run that has ended or will not start.
struct DeleteRunRecord {
  RunId Run;
  GangRequest Request;
};
/// Action: log why a gang is stopped or requeued, or a worker is quarantined.
struct LogReason {
  enum class Kind { Stopping, Requeued, WorkerQuarantined };
  Kind What = Kind::Stopping;
  std::string Subject;
  std::string Why;
};
using Action =
    std::variant<StartGang, StopGang, AnswerCaller, DeleteRunRecord, LogReason>;

/// A run that was recorded by an earlier leader and is adopted by this one.
struct AdoptedRun {
  RunId Run;
  GangRequest Request;
  placement::Assignment Workers;
  int Attempt = 1;
};

/// Decides which gangs start and stop and how callers are answered. It owns the
/// queue of waiting gangs and the runs, and uses a ClusterState. It has no
/// threads, clock or sockets: each call is passed the time, and takeActions()
/// returns what the caller has to do. Each submitted gang is answered exactly
/// once.
class GangScheduler {
public:
  /// RunPrefix makes run ids unique among leaders, for example the epoch. For
  /// one heartbeat timeout after start, in which all agents can announce
  /// themselves, a gang that does not fit is not refused as one that can never
  /// fit.
  GangScheduler(placement::ClusterState state, Policy policy,
                std::string runPrefix, absl::Time start);

  /// Handles a new gang, or a gang that is submitted again: its answer then
  /// goes to whoever submitted it last.
  void submit(GangRequest request, absl::Time now);
  /// Cancels the organisation's gangs with this job id. Waiting gangs are
  /// answered "not run"; running ones are stopped.
  void cancel(const std::string &organisation, const std::string &jobId,
              absl::Time now);
  void onProfile(const core::Profile &profile);
  /// Handles an agent's announcement. Fenced: the agent knew of this leader
  /// when it listed its tasks. It refuses later starts by earlier leaders, so
  /// its list is complete.
  void onAnnounce(const endpoints::Announce &announce, bool fenced,
                  absl::Time now);
  /// No member of run was started, because worker refused or did not answer;
  /// worker is empty if the start could not be sent at all.
  void onStartRefused(const RunId &run, const std::string &worker);
  /// No member of run was started; its caller is sent the given answer. An
  /// earlier run of the gang may have been started; then the gang is not
  /// answered "not run".
  void onStartAborted(const RunId &run, core::JobAnswer answer);
  /// Some members may have started and others not, so the run must be stopped.
  void onStartUnconfirmed(const RunId &run, absl::Time now);
  void onTaskResult(const endpoints::TaskResult &result, absl::Time now);
  /// Adopts a run of an earlier leader. It counts as running until its workers
  /// have announced themselves or orphanLease has passed. It is not retried
  /// unless it is submitted again, because its caller may already have received
  /// the answer that it did not run.
  void adopt(const AdoptedRun &run, absl::Time now, absl::Duration orphanLease);
  /// Handles unresponsive and lost workers, enforces the power cap and places
  /// waiting gangs. To be called frequently.
  void tick(absl::Time now);

  /// Returns the actions since the last call, in the order in which to perform
  /// them.
  std::vector<Action> takeActions();

  placement::ClusterState &state() { return State; }
  size_t pendingCount() const { return Pending.size(); }
  size_t runningCount() const { return Runs.size(); }
  bool hasGang(const std::string &gangId) const;
  /// The largest number of accelerators per member among the waiting gangs,
  /// zero if none waits.
  int widestPending() const;

private:
  enum class StopCause {
    None,
    Reclaimed,
    Power,
    MemberFailed,
    WorkerLost,
    Cancelled
  };
  struct PendingGang {
    GangRequest Request;
    absl::Time WaitingSince;
    int Attempt = 1;
    /// A run of the gang has been started before.
    bool HasRun = false;
    std::string Saved;
    /// Workers that refused or failed the gang.
    std::set<std::string> AvoidedWorkers;
    /// Workers that are kept free of other work for the gang.
    std::set<std::string> DrainedWorkers;
  };
  struct RunState {
    PendingGang Gang;
    bool Dispatched = false;
    bool Answered = false;
    /// Adopted from an earlier leader, and not submitted to this one yet.
    bool Orphan = false;
    absl::Time LastStopSent = absl::InfinitePast();
    StopCause Cause = StopCause::None;
    std::string Detail;
    std::string Saved;
    std::vector<std::optional<core::MemberResult>> Members;
    /// Workers where a member failed. The run counts once for each.
    std::set<std::string> FailedWorkers;
    /// Measured watts of each member, -1 before the first measurement.
    std::vector<int64_t> Watts;
    /// Workers of an adopted run that have not announced themselves yet. After
    /// AdoptionDeadline their members count as lost.
    std::set<std::string> UnannouncedWorkers;
    absl::Time AdoptionDeadline = absl::InfiniteFuture();
  };

  void refuseForFullQueue();
  void checkWorkers(absl::Time now);
  void resendStops(absl::Time now);
  void placePending(absl::Time now);
  std::optional<placement::Refusal>
  tryPlace(PendingGang &gang, absl::Time now,
           const std::set<std::string> &drainedWorkers);
  void refusePending(PendingGang &gang, const placement::Refusal &refusal);
  /// Returns the answer for a gang of which the latest run, if any, was not
  /// started: the given one, or a failure if the gang has run before.
  static core::JobAnswer answerOf(const PendingGang &gang,
                                  core::JobAnswer answer);
  void startRun(const RunId &run);
  void beginStop(const RunId &run, StopCause cause, const std::string &detail,
                 absl::Time now);
  void handleMemberEnd(const RunId &run, core::MemberResult result,
                       absl::Time now);
  void handleLostMembers(const RunId &run, const std::string &worker,
                         absl::Time now);
  void sendStop(const RunId &run, RunState &state, absl::Time now);
  void handleExpiredMembers(const std::vector<RunId> &runs, absl::Time now);
  void finishRun(const RunId &run, absl::Time now);
  void requeue(RunState run, absl::Time now, const std::string &why);
  bool willRetry(const RunState &run) const;
  void answerCaller(const RunState &run, core::Outcome outcome,
                    const std::string &detail);
  void releaseRun(const RunId &run);
  void stopUnknownTasks(const endpoints::Announce &announce);
  void checkAdoptedRuns(const endpoints::Announce &announce, absl::Time now);
  void recordWatts(const endpoints::Announce &announce);

  placement::ClusterState State;
  const Policy Limits;
  const std::string RunPrefix;
  /// Until then agents may still announce themselves for the first time.
  const absl::Time AnnouncementDeadline;
  uint64_t NextRun = 0;
  /// Something changed that may let a waiting gang be placed.
  bool PlacementDue = false;
  absl::Time LastPlacement = absl::InfinitePast();
  absl::Time LastWorkerCheck = absl::InfinitePast();
  std::vector<PendingGang> Pending;
  std::map<RunId, RunState> Runs;
  /// Adopted runs, by the worker that has not announced itself yet.
  std::map<std::string, std::vector<RunId>> AdoptedByWorker;
  std::vector<Action> Actions;
};

} // namespace oriolebay::scheduler
