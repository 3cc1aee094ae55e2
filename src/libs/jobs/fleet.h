#pragma once

#include "core/cordons.h"
#include "core/jobspec.h"
#include "endpoints/messages.h"

#include <absl/time/time.h>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace oriolebay::jobs {

using endpoints::RunId;
using endpoints::WorkerIncarnation;

/// Limits that decide which workers are used.
struct FleetPolicy {
  /// A worker gets no new tasks after it has not reported for this long.
  absl::Duration UnresponsiveAfter = absl::Milliseconds(1500);
  /// Time after the last grant for a worker by which its tasks have certainly
  /// ended.
  absl::Duration LostAfter = absl::Milliseconds(6000);
  /// Number of consecutive failures, as counted by Fleet::recordFailure(),
  /// before a worker is quarantined. Usually they are of different tasks,
  /// because a failed task avoids the worker while others could hold it.
  int FailuresBeforeQuarantine = 2;
  /// Duration of the first quarantine; doubles with each further one up to
  /// MaxQuarantine.
  absl::Duration FirstQuarantine = absl::Seconds(4);
  absl::Duration MaxQuarantine = absl::Seconds(60);
};

/// Whether a worker gets new tasks, and if it does not, the first reason.
enum class WorkerCondition {
  Usable,
  Draining,
  Cordoned,
  /// Its agent cannot reach it.
  Unreachable,
  /// It has to refuse late starts first.
  LateStops,
  /// It lists runs that are not recorded for it.
  UnexpectedRuns,
  /// Its agent has not reported for too long, or has no recent heartbeat of it.
  Silent,
  Quarantined,
};
/// Returns the stable name of condition, for the log: the name of a number of
/// workers.
const char *workerConditionName(WorkerCondition condition);

/// One incarnation of a worker as the leader sees it.
struct WorkerView {
  endpoints::WorkerState State;
  std::string Agent;
  std::string AgentAddress;
  absl::Time LastReportAt;
  int64_t Sequence = 0;
  /// It has seen this leader's fencing token, and the effect of what earlier
  /// leaders ordered has been resolved.
  bool Fenced = false;
  /// Since then it has listed all its runs and ends once, so that the runs of
  /// previous leaders that it does not list are over.
  bool UnlistedRunsResolved = false;
  /// Its agent can reach it.
  bool Reachable = true;
  /// Its state may be outdated, as its agent has had no heartbeat for too long.
  bool StateOutdated = false;
  /// Its agent can read orders that contain each payload once.
  bool ReadsSharedPayloads = false;
  /// Time by which its tasks have ended unless its agent reports it as
  /// reachable again.
  absl::Time LostAt;
  /// A late start that the worker has to refuse before it gets new tasks.
  struct LateStop {
    absl::Time NeededUntil;
    absl::Time LastOrderAt = absl::InfinitePast();
  };
  std::map<RunId, LateStop> LateStops;
  /// Runs in its latest list that are not recorded for it. Their resources are
  /// not counted, so it gets no new tasks until they have ended, and their
  /// tasks start nowhere else.
  std::set<RunId> UnexpectedRuns;
  /// Resources of the runs on the worker. A run's resources are released when
  /// its end is listed or it is known not to run.
  std::map<RunId, core::Resources> Allocations;
  core::Resources Used;
  /// While the worker drains: the earliest time at which it shuts down.
  absl::Time EarliestShutdown = absl::InfiniteFuture();
  /// Ends of runs by number, and whether each has been recorded.
  std::map<int64_t, bool> RunEnds;
  /// All ends up to this number have been recorded.
  int64_t SeenUpto = 0;
  /// Failures since the last completed run, by the job whose run it was, and by
  /// an empty name those that the worker itself is the cause of; see
  /// Fleet::recordFailure().
  std::map<std::string, int> FailuresByJob;
  RunId LatestFailedRun;
  /// Failures of a job that is their cause. They keep the worker from this job
  /// alone.
  struct OwnFailures {
    int Count = 0;
    absl::Time LatestAt = absl::InfinitePast();
    absl::Duration QuarantineDuration = absl::ZeroDuration();
    absl::Time QuarantinedUntil = absl::InfinitePast();
  };
  std::map<std::string, OwnFailures> OwnFailuresByJob;
  /// Jobs of which a run stood still or was too slow here. None was completed
  /// since, but for runs that ended during the quarantine.
  std::set<std::string> StalledJobs;
  absl::Time LastSuccessAt = absl::InfinitePast();
  /// The job of the latest run that was completed in the usual time, and the
  /// start of that run.
  std::string UsualRunJob;
  absl::Time UsualRunStartedAt = absl::InfinitePast();
  /// Duration of the latest quarantine; zero after a completed run.
  absl::Duration QuarantineDuration = absl::ZeroDuration();
  absl::Time QuarantinedUntil = absl::InfinitePast();

  /// Number of failures since the last completed run.
  int consecutiveFailures() const;
  /// Whether nothing but runs that stood still speaks against the worker. It
  /// uses up no attempts of its tasks then.
  bool isOnlyStalled() const {
    return FailuresByJob.empty() && !StalledJobs.empty();
  }
  /// Time until which the worker gets no tasks of this job alone.
  absl::Time quarantinedUntil(const std::string &job) const;
  /// Whether it has the label; true for an empty label.
  bool hasLabel(const std::string &label) const;
  core::Resources freeResources() const {
    core::Resources r = State.Capacity;
    r -= Used;
    return r;
  }
};

/// How this incarnation of a worker ended according to a report of the agent
/// beside it. Returns nothing if the report does not say that it has ended.
std::optional<endpoints::IncarnationEnd>
findIncarnationEnd(const endpoints::WorkerReport &report,
                   const WorkerIncarnation &incarnation);

/// The workers that report to the leader, their resources and whether new tasks
/// may be placed on them. Uses no threads, clock or sockets.
class Fleet {
public:
  explicit Fleet(FleetPolicy policy) : Policy(policy) {}

  /// Whether the report is outdated, because a later report has already said
  /// that its incarnation has ended.
  bool isOutdated(const endpoints::WorkerReport &report) const;
  /// Applies the state of the worker in a report. Returns the incarnations that
  /// the report ended: a new incarnation of the worker beside the same agent
  /// means that nothing of the old one runs any more.
  std::vector<endpoints::IncarnationEnd>
  applyReport(const endpoints::WorkerReport &report, absl::Time now);
  /// Removes and returns the incarnations whose tasks have certainly ended
  /// because no grant keeps them alive any more.
  std::vector<WorkerIncarnation> takeLost(absl::Time now);

  WorkerView *find(const WorkerIncarnation &incarnation);
  const WorkerView *find(const WorkerIncarnation &incarnation) const;
  const std::map<WorkerIncarnation, WorkerView> &workers() const {
    return Workers;
  }
  /// Sets the failure domains whose workers get no new tasks.
  void setCordons(core::Cordons cordons) { Cordons = std::move(cordons); }
  bool isCordoned(const WorkerView &worker) const {
    return Cordons.contains(worker.State.FailureDomain);
  }
  /// Total capacity of all known workers of the service outside the cordoned
  /// failure domains.
  core::Resources capacityOf(const std::string &service) const;

  /// Number of known workers of the service.
  size_t countOf(const std::string &service) const;

  /// Whether new tasks may be placed on the worker.
  bool isUsable(const WorkerView &worker, absl::Time now) const {
    return conditionOf(worker, now) == WorkerCondition::Usable;
  }
  WorkerCondition conditionOf(const WorkerView &worker, absl::Time now) const;
  /// Whether nothing is known of what the worker does now.
  bool isSilent(const WorkerView &worker, absl::Time now) const {
    return !worker.Reachable || hasNotReported(worker, now);
  }
  /// Number of workers of the service in each condition, zeros included.
  std::map<WorkerCondition, int64_t> countConditions(const std::string &service,
                                                     absl::Time now) const;
  /// Quarantines a worker on which a run of the job stood still or was too
  /// slow, unless it is the only usable one of its service, or half of them are
  /// quarantined for that: then their tasks are the cause. Returns true if it
  /// is quarantined from now on.
  bool recordStall(const WorkerIncarnation &incarnation, const std::string &job,
                   absl::Time now);
  /// Whether runs of other jobs stood still or were too slow there, and none
  /// was completed since.
  bool hasStalledOthers(const WorkerIncarnation &incarnation,
                        const std::string &job) const;
  /// The job has turned out to be the cause of its runs that stood still.
  /// Returns the workers whose quarantine rested on them alone, and has ended.
  std::vector<WorkerIncarnation> dismissStallsOf(const std::string &job,
                                                 absl::Time now);
  /// Ends the worker's quarantine, for all jobs or for this one. The next one
  /// is longer all the same.
  void endQuarantine(const WorkerIncarnation &incarnation,
                     const std::string &job, absl::Time now);
  /// Counts a run that failed, or that the unhealthy worker did not start (then
  /// job is empty, as the worker itself is the cause), to quarantine workers
  /// that fail the tasks started on them. The members of a gang's run share one
  /// run, which counts once. Failures of one job alone do not quarantine the
  /// only usable worker of its service, as the job may be the cause. Returns
  /// true if the worker is quarantined from now on.
  bool recordFailure(const WorkerIncarnation &incarnation,
                     const std::string &job, const RunId &run, absl::Time now);
  /// The same for a run whose job is the cause of the failure. It quarantines
  /// the worker for this job alone.
  bool recordOwnFailure(const WorkerIncarnation &incarnation,
                        const std::string &job, const RunId &run,
                        absl::Time now);
  /// A run that was ordered at this time was completed, so that the worker is
  /// healthy.
  void recordSuccess(const WorkerIncarnation &incarnation, absl::Time orderedAt,
                     absl::Time now);
  /// A run that began at this time was completed as fast as its estimate, and
  /// the errors of other estimates of its queue, suggest.
  void recordUsualRun(const WorkerIncarnation &incarnation,
                      const std::string &job, absl::Time startedAt);
  /// The job has turned out to be the cause of its failures: they count as its
  /// own from now on. Returns the workers whose quarantine rested on them, and
  /// now holds for this job alone.
  std::vector<WorkerIncarnation> dismissFailuresOf(const std::string &job,
                                                   absl::Time now);

  void allocate(const WorkerIncarnation &incarnation, const RunId &run,
                const core::Resources &resources);
  void release(const WorkerIncarnation &incarnation, const RunId &run);

  /// The worker has to refuse the run, which may reach it late, before it gets
  /// new tasks. Has no effect from neededUntil on.
  void addLateStop(const WorkerIncarnation &incarnation, const RunId &run,
                   absl::Time neededUntil);
  /// The worker refuses the run from now on.
  void removeLateStop(const WorkerIncarnation &incarnation, const RunId &run);
  /// Drops the late stops that are not needed any more. Returns the runs to
  /// stop again, by worker, because the last order for it is at least
  /// resendInterval old.
  std::map<WorkerIncarnation, std::vector<RunId>>
  takeLateStops(absl::Duration resendInterval, absl::Time now);

  /// Registers an end that the worker has listed. Returns false if it was
  /// listed before.
  bool registerEnd(const WorkerIncarnation &incarnation, int64_t number);
  /// Marks an end as recorded, or as not needing a record.
  void markEndRecorded(const WorkerIncarnation &incarnation, int64_t number);

private:
  /// Quarantines the worker, for longer each time. Returns false if it is
  /// already quarantined.
  bool quarantine(WorkerView &worker, absl::Time now) const;
  bool areManyStalled(const std::string &service, absl::Time now) const;
  bool hasOtherUsable(const WorkerView &worker, absl::Time now) const;
  absl::Duration nextQuarantine(absl::Duration latest) const;
  bool hasNotReported(const WorkerView &worker, absl::Time now) const {
    return now - worker.LastReportAt >= Policy.UnresponsiveAfter;
  }

  const FleetPolicy Policy;
  core::Cordons Cordons;
  std::map<WorkerIncarnation, WorkerView> Workers;
  /// An ended incarnation of a worker, and the sequence number of the report
  /// that said so.
  struct ReportedEnd {
    WorkerIncarnation Incarnation;
    int64_t Sequence = 0;
  };
  /// The latest ends reported by each agent, the newest last.
  std::map<std::string, std::deque<ReportedEnd>> ReportedEnds;
};

} // namespace oriolebay::jobs
