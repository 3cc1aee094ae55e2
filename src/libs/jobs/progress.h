#pragma once

#include "fleet.h"

#include <absl/time/time.h>

#include <cmath>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace oriolebay::jobs {

/// Parameters for detecting stalled and slow runs.
struct ProgressPolicy {
  /// A run whose percentage has not increased for this long is stalled. Workers
  /// are polled twice a second and a task of 30 s progresses by a percent in
  /// 0.3 s, so several polls should have shown an increase within this time.
  absl::Duration StalledAfter = absl::Milliseconds(1300);
  /// Share of the estimated duration that replaces StalledAfter for long tasks,
  /// where it is longer.
  double StalledEstimateShare = 0.05;
  /// The same for durations that are known better: from the run's own rate,
  /// from other tasks of its step, or from where the run is. Three increases
  /// are due within this time.
  double StalledDurationShare = 0.03;
  /// Factor by which a step's runs may stand still for longer once several have
  /// stood still alike.
  double StallTimeoutGrowth = 4;
  /// How often a task may be stopped as stalled before its runs rather than
  /// their workers are taken to be the cause; and the same if something else
  /// speaks for the worker.
  int MaxStalledRuns = 1;
  int MaxStalledRunsOfSuspects = 2;
  /// Share of the timeout for which another run of the step has to have stood
  /// still to show the same picture. Runs that start together are reported at
  /// slightly different times.
  double SamePictureShare = 0.75;
  /// A run that has progressed is stalled earlier, after this time, if it
  /// should have progressed by SuddenStallPercent since at its rate so far. The
  /// time is that of two polls without an increase.
  absl::Duration SuddenStallAfter = absl::Milliseconds(900);
  double SuddenStallPercent = 10;
  /// Time to restore a checkpoint. The progress of a resumed run starts this
  /// much later.
  absl::Duration RestoreTime = absl::Milliseconds(600);
  /// Minimum time over which the rate of progress is computed: two polls.
  absl::Duration MinRateWindow = absl::Milliseconds(900);
  /// A run is too slow if it takes this many times as long as its peers: more
  /// than the tasks of a step and sound workers differ.
  double SlowFactor = 4;
  /// The estimates of a queue are used to detect slow runs after this many ends
  /// of its tasks, and up to this many standard deviations of the estimation
  /// error. With lower values, sound tasks of a queue with very inaccurate
  /// estimates are classified as slow.
  int MinEndsForEstimate = 10;
  double MaxDeviations = 3;
  /// Maximum standard deviation of the logarithm of the estimation error.
  /// Beyond it, estimates are not used to detect slow runs.
  double MaxLogDeviation = 0.4;
};

/// Tracks the progress of runs: for how long each has stood still, and how long
/// the others take by their rate of progress. Uses no threads, clock or
/// sockets.
class ProgressTracker {
public:
  /// What does not change while a run goes on.
  struct RunKind {
    WorkerIncarnation Worker;
    /// It started from a checkpoint.
    bool Resumed = false;
    /// It begins to progress once other runs have started.
    bool AwaitsOthers = false;
  };

  explicit ProgressTracker(ProgressPolicy policy) : Policy(policy) {}

  /// Records that a run of this kind was reported at percent.
  void recordProgress(const RunId &run, const RunKind &kind, int percent,
                      absl::Time now);
  void forget(const RunId &run);

  /// Time for which the percentage of an unfinished run has not increased; zero
  /// if nothing is known of the run. Time in which it could not be reported
  /// does not count, because its agent may have been killed or cut off.
  absl::Duration stillTime(const RunId &run) const;
  /// Whether the run has stopped progressing from one poll to the next,
  /// although it progressed fast until then.
  bool isSuddenlyStill(const RunId &run) const;
  /// Time that an increase by one percent takes at the run's latest rate.
  /// Returns nothing before it is known.
  std::optional<absl::Duration> percentTime(const RunId &run) const;
  bool isResumed(const RunId &run) const;
  /// Whether the percentage of another run on the same worker has increased
  /// within StalledAfter, and after that of this run did for the last time.
  bool isWorkerProgressing(const RunId &run, absl::Time now) const;
  /// Bounds on the duration of the whole run at its present rate. Percentages
  /// are whole numbers, so the bounds are wide early in a run. Returns nothing
  /// until progress has been reported for MinRateWindow, and from 100 percent
  /// on.
  struct DurationBounds {
    absl::Duration AtLeast;
    absl::Duration AtMost;
  };
  std::optional<DurationBounds> durationBounds(const RunId &run) const;

private:
  struct Sample {
    absl::Time At;
    int Percent = 0;
  };
  struct TrackedRun {
    RunKind Kind;
    int FirstPercent = 0;
    int Percent = 0;
    absl::Time FirstReport;
    absl::Time LastIncrease;
    absl::Time LastReport;
    /// Increases of the percentage, starting with the last one that is at least
    /// MinRateWindow old.
    std::deque<Sample> Increases;
  };

  const TrackedRun *find(const RunId &run) const;

  const ProgressPolicy Policy;
  std::map<RunId, TrackedRun> Runs;
};

/// Learns the error of the estimates that the callers of a queue give. The
/// error differs between queues by a factor of ten.
class DurationEstimator {
public:
  explicit DurationEstimator(ProgressPolicy policy) : Policy(policy) {}

  /// Records the actual duration of a task with the given estimate.
  void recordTaskDuration(const std::string &queue, absl::Duration estimate,
                          absl::Duration actual);
  /// Duration from which a task is slower than the error of its estimate
  /// explains. Returns nothing while too little is known.
  std::optional<absl::Duration> slowThreshold(const std::string &queue,
                                              absl::Duration estimate) const;
  /// Expected duration of a task with the given estimate.
  absl::Duration expectedDuration(const std::string &queue,
                                  absl::Duration estimate) const;
  /// Factor by which tasks of the queue take less than expected at this many
  /// standard deviations of the error of their estimates; 1 while too little is
  /// known.
  double shortfallFactor(const std::string &queue, double deviations) const;

private:
  /// Statistics of the logarithm of the actual over the estimated duration.
  struct LogErrors {
    int Count = 0;
    double Mean = 0;
    double SquareSum = 0;

    double deviation() const { return std::sqrt(SquareSum / (Count - 1)); }
  };

  const ProgressPolicy Policy;
  std::map<std::string, LogErrors> Queues;
};

} // namespace oriolebay::jobs
