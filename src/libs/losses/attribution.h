#pragma once

#include "jobhistory.h"

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace oriolebay::losses {

/// What a stretch of a job's time went to.
enum class Cause {
  /// From the first call to the one that was answered with success.
  Accepting,
  StoreOutage,
  LeaderChange,
  /// Work of others was in the way, and nothing was stopped for it.
  WaitingForRoom,
  /// Others were being stopped for it.
  WaitingForStops,
  /// A gang that wants one rack.
  WaitingForRack,
  /// Tasks of the same step were in the way.
  OwnWaves,
  /// From a run's placement to its start.
  Starting,
  /// The work itself, on the run that did it.
  Working,
  /// What that run took beyond its like.
  SlowWorker,
  /// Runs that came to nothing: failed, lost with their worker or for want of a
  /// lease, stood still, stopped for others, moved off a leaving worker, or
  /// broken off with their gang.
  RunFailed,
  RunLost,
  RunStoodStill,
  RunStopped,
  RunEvacuated,
  RunBroken,
  /// From the last end to the answer that showed it.
  Showing,
};

/// Every cause there is, in the order of the enum.
const std::vector<Cause> &allCauses();
/// The stable name of cause.
const char *causeName(Cause cause);

/// A stretch of a job's time along its critical path.
struct Segment {
  Cause What = Cause::Working;
  absl::Time From;
  absl::Time To;

  absl::Duration length() const { return To - From; }
  auto operator<=>(const Segment &) const = default;
};

/// The job's time from its first call until its end was shown, without a gap,
/// along the path that took longest: the task that ended last, its runs before,
/// the step that it waited for, and so on. Empty when it was not accepted or
/// the logs hold no end.
std::vector<Segment> criticalPath(const JobHistory &job,
                                  const SiteHistory &site);

/// In how long the job was due, by what its tasks took on sound workers: a run
/// that took several times as long as its like counts as one of them. Runs that
/// failed by their own fault count as work.
absl::Duration dueWithin(const JobHistory &job, const SiteHistory &site);

/// What became of a job.
/// NotAllowed: there was no such queue or key, or the job could never be
/// served. Open: the logs have no end of it.
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
/// Whether the callers of such a job were owed its result.
bool isOwed(Outcome outcome);
const char *outcomeName(Outcome outcome);

/// A job's account.
struct Account {
  std::string Job;
  Outcome What = Outcome::Open;
  absl::Duration Took = absl::ZeroDuration();
  absl::Duration Due = absl::ZeroDuration();
  std::vector<Segment> Path;

  absl::Duration late() const {
    return std::max(Took - Due, absl::ZeroDuration());
  }
  /// What most of the time beyond the work itself went to.
  Cause mainCause() const;
  bool operator==(const Account &) const = default;
};

Account accountOf(const JobHistory &job, const SiteHistory &site);

/// Work that was thrown away.
struct Waste {
  std::string Job;
  std::string Worker;
  /// How the run ended, and why it was stopped.
  std::string How;
  std::string Why;
  /// The job that it made room for, if any.
  std::string ForJob;
  absl::Time At;
  double CoreSeconds = 0;

  bool operator==(const Waste &) const = default;
};

/// Every run of the job whose work was not used. One that was stopped in good
/// order and saves its progress goes on elsewhere: nothing of it is lost.
std::vector<Waste> wasteOf(const JobHistory &job);

} // namespace oriolebay::losses
