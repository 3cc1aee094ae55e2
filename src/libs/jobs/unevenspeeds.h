#pragma once

#include <absl/time/time.h>

#include <vector>

namespace oriolebay::jobs {

/// What is known of a worker's speed: how many times as long tasks take there
/// as on the median worker.
struct WorkerSpeed {
  double Slowness = 1;
  /// It has been compared with other workers.
  bool Known = false;

  auto operator<=>(const WorkerSpeed &) const = default;
};

/// Number of usable workers, of those whose speed is known, and of the slow
/// ones.
struct SpeedSummary {
  int Usable = 0;
  int Known = 0;
  int Slow = 0;

  auto operator<=>(const SpeedSummary &) const = default;
};

/// Which workers a step should run on.
enum class SpeedDemand {
  /// Any; the speeds of the workers differ too little, or the job has no time
  /// to spare and no claim to fast workers.
  Any,
  /// Workers of usual speed first: the job is urgent.
  UsualFirst,
  /// Slow workers first, so that the others stay free for urgent work. Workers
  /// of unknown speed come next, so that it becomes known.
  SlowFirst
};

/// Returns the stable name of demand, for the log.
const char *speedDemandName(SpeedDemand demand);

/// Decides what placement does about workers of different speeds. The pattern
/// of load that it answers: part of the workers is so slow that urgent work
/// misses its objective there although it starts at once, while batch work
/// holds fast workers that it does not need.
///
/// Has an effect only while some worker is known to be that slow, which the
/// objectives of the configured queues determine.
class UnevenSpeeds {
public:
  /// Speeds do not matter.
  UnevenSpeeds() = default;
  /// TightestStretch is the smallest stretch of all queues that have an
  /// objective: a job may take that many times its expected duration. Infinite
  /// if no queue has one.
  UnevenSpeeds(const std::vector<WorkerSpeed> &workers, double tightestStretch);

  /// Whether some worker is too slow for the tightest objective.
  bool matter() const { return Matter; }
  /// Whether the worker alone uses up more than half of the time that the
  /// tightest objective leaves for waiting.
  bool isSlow(const WorkerSpeed &worker) const;
  /// How many times as long tasks take on the average worker as on the median
  /// one. The objectives of callers are in terms of their estimates, which do
  /// not know the worker; 1 while speeds do not matter.
  double averageSlowness() const { return AverageSlowness; }

  /// Demand of a batch step with this time left until its deadline.
  SpeedDemand batchDemand(absl::Duration timeLeft,
                          absl::Duration taskDuration) const;
  /// Cost of starting a task on the worker; a lower cost is better.
  int cost(const WorkerSpeed &worker, SpeedDemand demand) const;
  /// How long it is worth waiting for workers of usual speed: a task that
  /// starts on them by then ends before one that starts now on slow workers.
  absl::Duration maxWaitForUsual(absl::Duration taskDuration) const;

private:
  bool Matter = false;
  double SlowThreshold = 1;
  double AverageSlowness = 1;
  /// Slowness of the average slow worker, and of the slowest one.
  double TypicalSlow = 1;
  double Slowest = 1;
};

} // namespace oriolebay::jobs
