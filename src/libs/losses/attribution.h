#pragma once

#include "jobhistory.h"

#include <absl/time/time.h>

#include <map>
#include <string>
#include <vector>

namespace oriolebay::losses {

/// Cause to which a part of a job's time is attributed.
enum class Cause {
  /// From the first call to the one that was answered with success.
  Accepting,
  StoreOutage,
  LeaderChange,
  /// Waiting for capacity that other work occupied, without any work being
  /// stopped for the job.
  WaitingForCapacity,
  /// Waiting while other work was being stopped for the job.
  WaitingForStops,
  /// Waiting for capacity in failure domains that the operator evacuates.
  WaitingForCordon,
  /// Waiting of a gang that needs one rack.
  WaitingForRack,
  /// Waiting for tasks of the same step.
  OwnWaves,
  /// From the placement of a run to its start.
  Starting,
  /// The work itself, in the run that completed it.
  Working,
  /// The time by which the completing run exceeded the duration of comparable
  /// runs.
  SlowWorker,
  /// Runs whose work was not used because they failed, were lost with their
  /// worker or because their lease lapsed, stalled, were stopped for other
  /// work, were moved off a worker that shuts down, or were stopped with their
  /// gang.
  RunFailed,
  RunLost,
  RunStoodStill,
  RunStopped,
  RunEvacuated,
  RunBroken,
  /// From the end of the job to the first answer that returned it.
  Showing,
};

/// Returns all causes in the order of the enum.
const std::vector<Cause> &allCauses();
/// Returns the stable name of cause.
const char *causeName(Cause cause);

/// A part of a job's time along its critical path.
struct Segment {
  Cause SegmentCause = Cause::Working;
  absl::Time From;
  absl::Time To;

  absl::Duration length() const { return To - From; }
  auto operator<=>(const Segment &) const = default;
};

/// Returns the job's time from its first call until its end was returned to a
/// caller, without gaps, along its critical path: the task that ended last, its
/// earlier runs, the step that it waited for, and so on. Empty when the job was
/// not accepted or the logs do not contain its end.
std::vector<Segment> criticalPath(const JobHistory &job,
                                  const SiteHistory &site);

/// Returns the time after its first call by which the job was due, based on the
/// durations of its tasks on healthy workers: a run that took several times as
/// long as comparable runs counts as one of these. Runs that failed by their
/// own fault count as work.
absl::Duration dueAfter(const JobHistory &job, const SiteHistory &site);

/// Outcome of a job. NotAllowed: the queue or key did not exist, or the job
/// could never be served. Open: the logs do not contain its end.
enum class Outcome {
  InTime,
  Late,
  Worthless,
  Failed,
  Cancelled,
  Refused,
  NotAllowed,
  Open
};
/// Returns whether the callers of a job with this outcome were entitled to its
/// result.
bool isOwed(Outcome outcome);
const char *outcomeName(Outcome outcome);

/// Summary of one job: its outcome, the time that it took, the time after which
/// it was due, and its critical path.
struct Account {
  std::string Job;
  Outcome Result = Outcome::Open;
  absl::Duration Took = absl::ZeroDuration();
  absl::Duration Due = absl::ZeroDuration();
  std::vector<Segment> Path;
  /// See waitsByReason().
  std::map<std::string, absl::Duration> Waits = {};

  absl::Duration lateness() const {
    return std::max(Took - Due, absl::ZeroDuration());
  }
  /// Returns the cause with the largest part of the time other than the work
  /// itself.
  Cause mainCause() const;
  bool operator==(const Account &) const = default;
};

/// Returns the time on the path for which the job waited by the reason that the
/// leader logged for it, and as NotLogged the rest of the time in which it
/// waited for capacity, a rack, a cordon, stops, its own tasks or a start. A
/// run that was lost counts from the first reason that was logged for it.
std::map<std::string, absl::Duration>
waitsByReason(const JobHistory &job, const std::vector<Segment> &path);
inline constexpr const char *NotLogged = "not_logged";

Account accountOf(const JobHistory &job, const SiteHistory &site);

/// Discarded work of one run.
struct DiscardedWork {
  std::string Job;
  std::string Worker;
  /// How the run ended, and the reason why it was stopped.
  std::string EndState;
  std::string Reason;
  /// Job for which the run was stopped to free capacity; empty if there is
  /// none.
  std::string ForJob;
  absl::Time At;
  double CoreSeconds = 0;

  bool operator==(const DiscardedWork &) const = default;
};

/// Returns the runs of the job whose work was not used, except for those that
/// failed. A run that was stopped in an orderly way and that saves its progress
/// resumes elsewhere, so that none of its work is lost.
std::vector<DiscardedWork> discardedWorkOf(const JobHistory &job);

} // namespace oriolebay::losses
