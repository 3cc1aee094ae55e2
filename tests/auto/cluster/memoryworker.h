#pragma once

#include "core/jobspec.h"
#include "endpoints/workercalls.h"
#include "utils/eventloop.h"

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace oriolebay::cluster {

/// How a run ends by itself, and how long after its start. A gang member does
/// so whatever the others do, and the time is that since its run was complete.
struct PlannedEnd {
  absl::Duration After;
  endpoints::RunEnd How = endpoints::RunEnd::Failed;
};

/// An end that a worker has listed.
struct ObservedEnd {
  std::string Task;
  int64_t Run = 0;
  endpoints::RunEnd How = endpoints::RunEnd::Done;
  absl::Time At;
  /// A leader has acknowledged it before the worker's lease lapsed.
  bool Acknowledged = false;
};

/// A run of a gang over all workers.
struct GangRun {
  /// Number of members that workers run now.
  int Members = 0;
  /// Time at which workers ran all members for the first time.
  absl::Time CompleteSince = absl::InfiniteFuture();
  /// A member makes no progress until this time, and so no member does.
  absl::Time StandsStillUntil = absl::InfinitePast();
  /// End of the first member that ended, which ends those that run then.
  absl::Time EndedAt = absl::InfiniteFuture();
  endpoints::RunEnd EndOfOthers = endpoints::RunEnd::Broken;
};

/// State that all workers of a cluster share: how tasks behave, and what has
/// been observed.
struct SharedWorkerState {
  std::function<core::StepSpec(const std::string &task)> StepOf;
  std::function<absl::Duration(const std::string &task)> WorkTimeOf;
  /// Runs by task, over all workers that are up.
  std::map<std::string, std::set<std::pair<std::string, int64_t>>> Running;
  /// Runs of gangs by step and number.
  std::map<std::pair<std::string, int64_t>, GangRun> Gangs;
  /// Time for which the members of a gang wait for each other.
  absl::Duration GangWait = absl::Seconds(3);
  std::set<std::string> AcknowledgedDone;
  /// Returns whether the task crashes each worker that starts it.
  std::function<bool(const std::string &task)> CrashesWorker;
  std::map<std::string, int> CrashesByTask;
  /// Number of workers that went down, for whatever cause, while they ran the
  /// task.
  std::map<std::string, int> WorkersLostByTask;
  std::map<std::string, int> StartsAfterThirdCrash;
  std::vector<std::string> Violations;
  int Starts = 0;
  /// Called when a run of the task starts on the order of the leader with this
  /// epoch. May be empty.
  std::function<void(const std::string &task, int64_t epoch)> OnStart;
  /// Decides at its start how a run ends by itself. Nothing: it does its work
  /// or ends with the others of its gang. May be empty.
  std::function<std::optional<PlannedEnd>(const std::string &task, int64_t run)>
      PlanEnd;
  /// Called when a worker lists the end of a run. May be empty.
  std::function<void(const ObservedEnd &end)> OnEnd;
  std::vector<ObservedEnd> Ends;
  /// The failure domains that the operator evacuates, each with the time since
  /// which the store has its cordon.
  std::map<std::string, absl::Time> CordonedSince;
  /// Time after which no agent may send a start to a cordoned domain.
  absl::Duration CordonBound = absl::Seconds(5);
};

/// One worker through its successive incarnations, on the loop's time. It
/// executes orders under the rules of the platform's workers: leases on its own
/// clock, fencing tokens, and ends that are listed until they are acknowledged.
/// The members of a gang make progress only while workers run all of them, and
/// end together.
class MemoryWorker {
public:
  MemoryWorker(utils::EventLoop &loop, SharedWorkerState &shared,
               std::string name, std::string domain, std::string rack,
               core::Resources capacity, uint64_t seed);

  endpoints::WorkerCalls calls();
  /// Returns the heartbeat to pass to the agent beside the worker.
  endpoints::Heartbeat heartbeat();
  const std::string &incarnation() const { return State.Life.Id; }
  const endpoints::WorkerState &state() const { return State; }
  const std::string &failureDomain() const { return State.FailureDomain; }
  /// Number of starts that its agent has sent.
  int startsSent() const { return StartsSent; }

  /// The id that a worker has after a restart.
  enum class RestartId { New, Same };
  /// Ends the process and starts it again at once as another incarnation.
  void crash(RestartId id = RestartId::New);
  /// Ends the process. Nothing listens at the worker's address until it starts
  /// again after downtime as another incarnation.
  void crashFor(absl::Duration downtime, RestartId id = RestartId::New);
  /// Ends all runs. None of the ends is ever listed.
  void loseRuns();
  bool isListening() const { return Loop.now() >= ListensFrom; }
  void drain(int64_t remainingMs);
  /// From now on the worker reports no start time. It must not start again
  /// under its id then.
  void hideStartTime();
  /// Sets the capacity that the worker reports from now on. A smaller one is
  /// enforced only after a delay.
  void setCapacity(core::Resources capacity);

  /// Share of orders that get no answer and are carried out late, by whatever
  /// incarnation has the same id and listens then.
  double LateOrderShare = 0;
  /// The same for keep-alive calls.
  double LateKeepAliveShare = 0;
  /// Bounds of the delay of late orders and keep-alive calls.
  absl::Duration MinLateDelay = absl::Seconds(2);
  absl::Duration MaxLateDelay = absl::Seconds(12);
  /// Whether the worker's clock goes on across restarts, as that of its host
  /// does. Otherwise it begins anew with each incarnation.
  bool ClockGoesOn = false;
  /// The id after a crash that a task caused.
  RestartId IdAfterTaskCrash = RestartId::New;
  /// Share of orders that are carried out but whose answer is lost.
  double LostOrderAnswerShare = 0;
  bool FailsAll = false;
  bool Hangs = false;
  /// Starts are refused as by an unhealthy worker, which does nothing.
  bool RefusesStarts = false;
  /// Number of keep-alive calls that are still answered. Those after them get
  /// no answer and have no effect.
  int KeepAlivesLeft = std::numeric_limits<int>::max();
  /// No call is answered.
  bool Down = false;
  /// Speed of the worker's clock relative to real time.
  double ClockRate = 1.0;
  std::set<std::string> Draining;

private:
  struct Run {
    absl::Time StartedAt;
    absl::Duration WorkDone = absl::ZeroDuration();
    absl::Time StopAt = absl::InfiniteFuture();
    std::string Saved;
    /// The run of its gang and the number of members that this has; null if it
    /// belongs to none.
    GangRun *Gang = nullptr;
    int GangSize = 0;
    std::optional<PlannedEnd> Planned;
    /// Last time at which workers ran all members, or the start.
    absl::Time GangCompleteAt;
  };
  using Key = std::pair<std::string, int64_t>;

  void countStart(const std::string &task);
  core::Resources enforcedCapacity() const;
  int64_t randomStartTimeMs();
  int64_t clockMs() const;
  bool chance(double share);
  absl::Duration randomLateDelay();
  endpoints::CallOutcome ok() const;
  endpoints::CallOutcome refuse(endpoints::RefusalReason reason) const;
  void checkStart(const Key &key);
  /// Records a start that is sent although the failure domain is cordoned.
  void checkCordon(const endpoints::StartCall &call);
  endpoints::CallOutcome start(const endpoints::StartCall &call);
  endpoints::CallOutcome stop(const endpoints::StopCall &call);
  endpoints::KeepAliveReply keepAlive(const endpoints::KeepAliveCall &call);
  void
  deliverKeepAlive(const endpoints::KeepAliveCall &call,
                   const std::function<void(endpoints::KeepAliveReply)> &done);
  void deliverOrder(const endpoints::WorkerIncarnation &incarnation,
                    const std::function<endpoints::CallOutcome()> &execute,
                    const std::function<void(endpoints::CallOutcome)> &done);
  void extendLease(int64_t untilMs);
  void step();
  void joinGang(const Key &key, Run &run);
  /// How the run ends now; nothing if it goes on.
  std::optional<endpoints::RunEnd> endOf(const Key &key, Run &run, bool lapsed);
  std::optional<endpoints::RunEnd> endOfGangMember(Run &run) const;
  bool isPlannedEndDue(const Run &run) const;
  void noteAcknowledged(const endpoints::EndedTask &end);
  bool makesProgress(const Run &run) const;
  void endRun(const Key &key, endpoints::RunEnd how);
  void answerPolls();

  utils::EventLoop &Loop;
  SharedWorkerState &Shared;
  const std::string Name;
  std::mt19937_64 Random;
  endpoints::WorkerState State;
  int IncarnationCount = 0;
  int64_t HeartbeatSequence = 0;
  int StartsSent = 0;
  bool ReportsStartTime = true;
  absl::Time IncarnationStart;
  absl::Time ClockStart;
  absl::Time ListensFrom = absl::InfinitePast();
  /// Earlier capacities, each with the time until which it was valid.
  std::vector<std::pair<absl::Time, core::Resources>> PreviousCapacities;
  int64_t FencingToken = 0;
  int64_t LeaseUntilMs = 0;
  int64_t NextEndNumber = 1;
  /// Number of times that the lease has lapsed, in total and when each end was
  /// listed. An end counts as acknowledged only if the lease has not lapsed
  /// since then.
  int LapseCount = 0;
  bool LeaseLapsed = true;
  std::map<int64_t, int> LapseCountAtEnd;
  /// Index of each end of this incarnation in the ends of all workers.
  std::map<int64_t, size_t> ObservedEndIndex;
  std::map<Key, Run> Runs;
  std::map<std::string, int64_t> HighestRunByTask;
  std::vector<endpoints::EndedTask> Ended;
  struct PendingPoll {
    endpoints::KeepAliveCall Call;
    std::function<void(endpoints::KeepAliveReply)> Done;
    absl::Time Until;
  };
  std::vector<PendingPoll> PendingPolls;
};

} // namespace oriolebay::cluster
