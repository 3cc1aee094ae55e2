#pragma once

#include "endpoints/messages.h"

#include <absl/time/time.h>

#include <deque>
#include <map>
#include <string>

namespace oriolebay::jobs {

/// Parameters for learning the speeds of workers.
struct SpeedPolicy {
  /// Number of ends at the usual speed that every worker is credited with
  /// initially. Tasks of one step differ among themselves, so a single end says
  /// little.
  double PriorEnds = 2;
  /// Maximum number of earlier ends that are weighed against a new one, so that
  /// a worker that has become slow, or has recovered, is detected within that
  /// many ends.
  double MaxEnds = 12;
  /// A worker is slow if its tasks take this many times as long as on the
  /// median worker.
  double SlowThreshold = 1.12;
  /// Maximum number of ends of the same step that a new one is compared with.
  size_t MaxComparedEnds = 16;
};

/// Learns how fast workers are by comparing tasks of one step that ran on
/// different workers, because the estimates of callers are off by far more than
/// workers differ. A worker is identified by the agent beside it, because its
/// speed is a property of the host.
class WorkerSpeedEstimator {
public:
  explicit WorkerSpeedEstimator(SpeedPolicy policy = {}) : Policy(policy) {}

  /// Records that a task of the step takes the given time on the worker, in one
  /// run.
  void recordRunDuration(const std::string &step, const std::string &worker,
                         absl::Duration duration);
  /// Takes over what an earlier leader has learned about a worker. Ignored if
  /// this leader has seen at least as many ends there. Returns false if the
  /// values are not usable.
  bool importSpeed(const std::string &worker,
                   const endpoints::LearnedSpeed &speed);
  endpoints::LearnedSpeed learnedSpeed(const std::string &worker) const;
  /// Discards the ends of a step of which no further task will end.
  void forget(const std::string &step);

  /// How many times as long tasks take on the worker as on the median one of
  /// the known workers; 1 while too little is known.
  double slowness(const std::string &worker) const;
  /// The worker has been compared with others.
  bool isKnown(const std::string &worker) const;
  bool isSlow(const std::string &worker) const {
    return slowness(worker) >= Policy.SlowThreshold;
  }

private:
  using Learned = endpoints::LearnedSpeed;
  struct End {
    std::string Worker;
    double LogDuration = 0;
  };

  double weightOfNextEnd(const Learned &worker) const;
  double medianLog() const;

  const SpeedPolicy Policy;
  std::map<std::string, Learned> Workers;
  std::map<std::string, std::deque<End>> Steps;
  /// Median of the learned values (logarithms) of all workers, computed on
  /// demand.
  mutable bool MedianKnown = false;
  mutable double Median = 0;
};

} // namespace oriolebay::jobs
