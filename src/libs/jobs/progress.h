#pragma once

#include "fleet.h"

#include <absl/time/time.h>

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace oriolebay::jobs {

/// How progress is judged.
struct ProgressPolicy {
  /// A run whose percent has not grown for so long stands still. Workers are
  /// looked at twice a second, and a task of 30 s gains a percent in 0.3 s, so
  /// that this spans several looks that should have shown one.
  absl::Duration StalledAfter = absl::Milliseconds(1300);
  /// More of it for long tasks: a share of the estimate.
  double StalledShare = 0.05;
  /// A run that resumes from a checkpoint begins so much later.
  absl::Duration Restore = absl::Milliseconds(600);
  /// Rates are taken over at least so long: two looks.
  absl::Duration RateOver = absl::Milliseconds(900);
  /// A run is slow if it takes so many times as long as its like: more than
  /// tasks of a step and sound workers differ.
  double SlowFactor = 4;
  /// Estimates of a queue's tasks are believed after so many ends, and within
  /// so many standard deviations of how far they were off. With less of either,
  /// sound tasks of a queue with wild estimates are taken for slow.
  int EndsToBelieve = 10;
  double Deviations = 3;
  /// Estimates that scatter more than this (in the logarithm) tell nothing.
  double MostScatter = 0.4;
};

/// Watches how far runs are and tells those that stand still, at workers that
/// answer all else in time, and at what rate the others get on. No threads,
/// clock or sockets.
class ProgressWatch {
public:
  explicit ProgressWatch(ProgressPolicy policy) : Policy(policy) {}

  /// A run was seen at percent on worker. Estimate is how long all of it
  /// should take.
  void seen(const RunId &run, const WorkerLife &worker, int percent,
            absl::Duration estimate, bool resumed, absl::Time now);
  void forget(const RunId &run);

  /// The run was not seen to get on for long, though it is not at its end.
  /// Time in which nobody could see it does not count: its agent may have been
  /// killed or cut off.
  bool stalled(const RunId &run) const;
  /// Some run has got on at the worker within the same time.
  bool workerMoves(const WorkerLife &worker, absl::Time now) const;
  /// How long all of the run takes at its present rate, between bounds:
  /// percent comes in whole numbers, which early on leaves much open. Nothing
  /// until it has been seen to get on for long enough, or at its end.
  struct Whole {
    absl::Duration AtLeast;
    absl::Duration AtMost;
  };
  std::optional<Whole> whole(const RunId &run) const;

private:
  struct Sample {
    absl::Time At;
    int Percent = 0;
  };
  struct Watched {
    WorkerLife Worker;
    absl::Duration Estimate;
    bool Resumed = false;
    int FirstPercent = 0;
    int Percent = 0;
    absl::Time LastGain;
    absl::Time LastSeen;
    /// Where percent grew, from the last that is RateOver old on.
    std::deque<Sample> Gains;
  };

  const ProgressPolicy Policy;
  std::map<RunId, Watched> Runs;
};

/// Learns by how much the estimates of a queue's callers are off, which
/// differs from queue to queue by ten times.
class EstimateBook {
public:
  explicit EstimateBook(ProgressPolicy policy) : Policy(policy) {}

  /// A task that was estimated so has taken so long.
  void ended(const std::string &queue, absl::Duration estimate,
             absl::Duration took);
  /// How long a task may take before it is slow beyond what its estimate's
  /// error explains; nothing while too little is known.
  std::optional<absl::Duration> slowBeyond(const std::string &queue,
                                           absl::Duration estimate) const;
  /// How long it is expected to take.
  absl::Duration expected(const std::string &queue,
                          absl::Duration estimate) const;

private:
  /// Of the logarithm of the time taken over the estimate.
  struct Errors {
    int Count = 0;
    double Mean = 0;
    double SquaresSum = 0;
  };

  const ProgressPolicy Policy;
  std::map<std::string, Errors> Queues;
};

} // namespace oriolebay::jobs
