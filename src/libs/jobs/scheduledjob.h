#pragma once

#include "fleet.h"
#include "jobrecord.h"
#include "sparsestep.h"
#include "stepwait.h"

#include <absl/time/time.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace oriolebay::jobs {

/// State of a task's latest run as the leader knows it. It is not recorded.
enum class RunPhase {
  Idle,
  /// The start is being recorded and has not been ordered.
  Recording,
  Ordered,
  /// Recorded by a previous leader, which may or may not have ordered it.
  Adopted,
  Running
};

/// How long an attempt to start a run may still be carried out.
struct LateStartBound {
  absl::Time Until;
  /// When this leader first ordered the start; infinite past if an earlier
  /// one did.
  absl::Time OrderedAt = absl::InfinitePast();
};

/// A task of which the leader remembers something.
struct ScheduledTask {
  TaskProgress Progress;
  RunPhase Phase = RunPhase::Idle;
  bool StopRequested = false;
  /// The agent refused the start, but an earlier attempt to start the run may
  /// still be carried out.
  bool StartRefused = false;
  /// Version of the job's progress that records the start.
  int64_t StartWriteVersion = 0;
  /// Time at which this leader first received a report that the run has
  /// started.
  absl::Time StartedAt = absl::InfinitePast();
  /// The run started under this leader, so that its start time is known.
  bool StartObserved = false;
  /// The worker has listed the run as running.
  bool ListedByWorker = false;
  /// The start was sent to a worker incarnation that has ended. Until this
  /// time the next incarnation with the same id may still carry it out.
  absl::Time LateStartPossibleUntil = absl::InfinitePast();
  /// Time at which this leader first ordered the start; infinite past if a
  /// previous leader may have ordered it.
  absl::Time FirstOrderAt = absl::InfinitePast();
  /// Time until which an attempt to start the run may still be carried out,
  /// as far as the agent's reports tell; infinite past if none may. Not set
  /// before a report has shown what became of the order.
  std::optional<absl::Time> StartOpenUntil;
  /// Until when each of Progress.LateStarts may still be carried out. While
  /// the task is not assigned, it starts nowhere before the latest of them.
  std::map<LateStart, LateStartBound> LateStartBounds;
  /// The run had just started, or may have, when its worker crashed. If no
  /// incarnation turns out to have it, the crash counts against the task.
  bool CountCrashIfAbsent = false;
  absl::Time LastOrderAt = absl::InfinitePast();
  int Percent = 0;
  /// Time at which the worker listed Percent. An agent that cannot reach its
  /// worker does not advance it.
  absl::Time PercentReportedAt = absl::InfinitePast();
  /// When the latest run was over, as far as this leader knows.
  absl::Time IdleSince = absl::InfinitePast();
  /// The run's speed has been compared with other tasks of the same step.
  bool SpeedCompared = false;
  /// Duration of the run that completed the task.
  absl::Duration RunDuration = absl::ZeroDuration();
  /// How often the task was moved because it was too slow.
  int Moves = 0;
  /// How often it was stopped as stalled since the timeout was last raised, for
  /// the task or for its step.
  int StalledRuns = 0;
  /// Time for which its runs have to stand still, at least, to be stalled.
  absl::Duration MinStallTimeout = absl::ZeroDuration();
  /// Workers where a run of the task failed, or that did not start it because
  /// they were unhealthy.
  std::set<WorkerIncarnation> FailedOn;

  bool isDone() const { return Progress.Done; }
  void setDone() { Progress.setDone(); }
  bool isUntouched() const { return Progress.isUntouched(); }
  bool isSettled() const { return Progress.isSettled(); }
  /// A worker may be running the task.
  bool isAssigned() const { return !Progress.Worker.empty(); }
  /// Its start was decided, and no report has confirmed it.
  bool isUnconfirmed() const {
    return isAssigned() &&
           (Phase == RunPhase::Recording || Phase == RunPhase::Ordered);
  }
  /// Time before which the task starts nowhere; infinite past if it may
  /// start.
  absl::Time startBarredUntil() const {
    absl::Time until = absl::InfinitePast();
    if (!isAssigned())
      for (const auto &[start, bound] : LateStartBounds)
        until = std::max(until, bound.Until);
    return until;
  }
  /// The task may have crashed a worker.
  bool isSuspect() const { return !Progress.CrashedAt.empty(); }
  /// The worker has survived the start of the run by CrashDetectionWindow, so
  /// that the run is not one that crashes workers.
  bool hasOutlivedCrashWindow() const {
    return Phase == RunPhase::Running &&
           PercentReportedAt - StartedAt >= endpoints::CrashDetectionWindow;
  }
};

/// A step of one occurrence.
struct ScheduledStep : SparseStep<ScheduledTask> {
  using SparseStep<ScheduledTask>::SparseStep;
  /// Durations of the runs that completed the settled tasks, as far as known.
  std::vector<absl::Duration> SettledDurations;
};

/// What runs of a step that stood still or were slow have shown of its tasks,
/// in all occurrences.
struct StepEvidence {
  /// Time for which a run of any task has to stand still, at least, to be
  /// stalled.
  absl::Duration MinTimeout = absl::ZeroDuration();
  /// The same for the next leader, which does not know the rates of the runs
  /// nor what single tasks have shown.
  absl::Duration RecordedTimeout = absl::ZeroDuration();
  /// Workers on which a run was stopped as stalled since MinTimeout was last
  /// raised, and none was completed since.
  std::set<WorkerIncarnation> StoppedOn;
  /// Workers on which a run was stopped as too slow, and how long it would have
  /// taken there.
  std::map<WorkerIncarnation, absl::Duration> TooSlowOn;
  /// The tasks take longer than the estimates of their queue explain, wherever
  /// they run.
  bool IsEstimateOff = false;
};

/// A job as the leader knows it, with what it remembers of its tasks.
struct ScheduledJob {
  /// Without the job's payload.
  JobRecord Record;
  core::SharedText Payload;
  /// The service whose workers run it, and the key under which the errors of
  /// its queue's estimates are learned, by the configuration known now.
  std::string Service;
  std::string QueueKey;
  int64_t RecordRevision = 0;
  int64_t ProgressRevision = 0;
  /// Version of the latest progress that takeWrites() returned or that a
  /// previous leader recorded.
  int64_t Version = 0;
  /// Version of the latest progress that is known to be in the store.
  int64_t WrittenVersion = 0;
  /// Running from the time at which it is known that a worker has begun a
  /// task.
  JobState State = JobState::Queued;
  /// The steps of the occurrences that wait to begin, have begun or have been
  /// read. Of the other due ones, those in DoneOccurrences are done and the
  /// rest are untouched.
  std::map<int, std::vector<ScheduledStep>> Occurrences;
  NumberRanges DoneOccurrences;
  /// Number of occurrences that were due at the latest scheduling pass.
  int DueAtLatestPass = 0;
  /// Time at which this leader first received the record. For jobs that a new
  /// leader reads from the store, it is later than the submission.
  absl::Time Arrived;
  /// Time of the job's end, or for a job that ended under a previous leader,
  /// the time at which its progress was read.
  absl::Time FinishedAt = absl::InfiniteFuture();
  /// The progress has changed since the latest takeWrites().
  bool Dirty = false;
  /// When the state has to be written at the latest, if only it has changed;
  /// infinite if it has been written.
  absl::Time RecordStateAt = absl::InfiniteFuture();
  /// A write of the progress is under way.
  bool Writing = false;
  /// When the latest write was taken.
  absl::Time WrittenAt = absl::InfinitePast();
  /// Number of tasks whose saved progress the latest write leaves out.
  int OmittedSaves = 0;
  /// When it was last logged that texts that its tasks have saved were
  /// dropped.
  absl::Time DroppedSavesLoggedAt = absl::InfinitePast();
  /// The end of a run, to be acknowledged once progress of this version has
  /// been written.
  struct PendingEndAck {
    int64_t Version = 0;
    WorkerIncarnation Incarnation;
    int64_t Number = 0;
  };
  std::vector<PendingEndAck> PendingEndAcks;
  /// At least one of the tasks is a suspect.
  bool HasSuspects = false;
  /// Workers on which a run of the job has failed and none was completed
  /// since.
  std::set<WorkerIncarnation> FailsOn;
  /// Its runs fail for a reason of its own, as determined at CauseCheckedAt.
  bool CausesFailures = false;
  absl::Time CauseCheckedAt = absl::InfinitePast();
  std::map<int, StepEvidence> Evidence;
  JobWaits Waits;
  bool Overdue = false;
  absl::Time OverdueCheckedAt = absl::InfinitePast();
  bool DeadlineLogged = false;
  /// The latest outcome of planning capacity for a waiting step, by
  /// occurrence and step. Logged when it changes.
  std::map<std::pair<int, int>, const char *> LoggedCapacityPlans;

  /// Rank in the planner's latest pass; see Planner::PlacementUnit::Rank.
  int Rank = 0;

  bool hasEnded() const { return isFinal(State); }
  bool isOccurrenceKnown(int number) const {
    return Occurrences.count(number) != 0 || DoneOccurrences.contains(number);
  }
  absl::Duration minStallTimeout(int step, const ScheduledTask &task) const {
    auto it = Evidence.find(step);
    return it == Evidence.end()
               ? task.MinStallTimeout
               : std::max(task.MinStallTimeout, it->second.MinTimeout);
  }
  const core::StepSpec &specOf(const core::TaskId &id) const {
    return Record.Spec.Steps[static_cast<size_t>(id.Step)];
  }
  /// All tasks of the step that id belongs to. Its occurrence must exist.
  const ScheduledStep &stepOf(const core::TaskId &id) const {
    return Occurrences.at(id.Occurrence)[static_cast<size_t>(id.Step)];
  }
  ScheduledStep &stepOf(const core::TaskId &id) {
    return Occurrences.at(id.Occurrence)[static_cast<size_t>(id.Step)];
  }
};

} // namespace oriolebay::jobs
