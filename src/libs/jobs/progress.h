#pragma once

#include "fleet.h"

#include <absl/time/time.h>

#include <map>
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
};

/// Watches how far runs are and tells those that stand still, at workers that
/// answer all else in time. Whether a run is slow cannot be told this way:
/// estimates are off by up to ten times. No threads, clock or sockets.
class ProgressWatch {
public:
  explicit ProgressWatch(ProgressPolicy policy) : Policy(policy) {}

  /// A run was seen at percent on worker. Estimate is how long all of it
  /// should take.
  void seen(const RunId &run, const std::string &worker, int percent,
            absl::Duration estimate, bool resumed, absl::Time now);
  void forget(const RunId &run);

  /// The run was not seen to get on for long, though it is not at its end.
  /// Time in which nobody could see it does not count: its agent may have been
  /// killed or cut off.
  bool stalled(const RunId &run) const;
  /// Some run has got on at the worker within the same time.
  bool workerMoves(const std::string &worker, absl::Time now) const;

private:
  struct Watched {
    std::string Worker;
    absl::Duration Estimate;
    bool Resumed = false;
    int FirstPercent = 0;
    int Percent = 0;
    absl::Time LastGain;
    absl::Time LastSeen;
  };

  const ProgressPolicy Policy;
  std::map<RunId, Watched> Runs;
};

} // namespace oriolebay::jobs
