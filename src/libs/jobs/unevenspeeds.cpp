#include "unevenspeeds.h"

#include <algorithm>
#include <cmath>

namespace oriolebay::jobs {

namespace {

/// Share of the time for waiting that a worker may use up by being slow.
constexpr double MaxSlackShare = 0.5;

} // namespace

const char *speedDemandName(SpeedDemand demand) {
  switch (demand) {
  case SpeedDemand::Any:
    return "any";
  case SpeedDemand::UsualFirst:
    return "usual_first";
  case SpeedDemand::SlowFirst:
    return "slow_first";
  }
  return "unknown";
}

UnevenSpeeds::UnevenSpeeds(const std::vector<WorkerSpeed> &workers,
                           double tightestStretch) {
  for (const WorkerSpeed &worker : workers)
    Slowest = std::max(Slowest, worker.Slowness);
  Matter = Slowest >= tightestStretch;
  if (!Matter)
    return;
  SlowThreshold = 1 + (tightestStretch - 1) * MaxSlackShare;
  double logSum = 0;
  double slowLogSum = 0;
  int slowCount = 0;
  for (const WorkerSpeed &worker : workers) {
    const double logSlowness = std::log(worker.Slowness);
    logSum += logSlowness;
    if (!isSlow(worker))
      continue;
    slowLogSum += logSlowness;
    ++slowCount;
  }
  AverageSlowness = std::exp(logSum / static_cast<double>(workers.size()));
  TypicalSlow = std::exp(slowLogSum / slowCount);
}

bool UnevenSpeeds::isSlow(const WorkerSpeed &worker) const {
  return Matter && worker.Slowness >= SlowThreshold;
}

SpeedDemand UnevenSpeeds::batchDemand(absl::Duration timeLeft,
                                      absl::Duration taskDuration) const {
  return Matter && taskDuration * Slowest <= timeLeft ? SpeedDemand::SlowFirst
                                                      : SpeedDemand::Any;
}

int UnevenSpeeds::cost(const WorkerSpeed &worker, SpeedDemand demand) const {
  if (!Matter || demand == SpeedDemand::Any)
    return 0;
  constexpr int Best = 0;
  constexpr int Unknown = 1;
  constexpr int Worst = 2;
  if (isSlow(worker))
    return demand == SpeedDemand::SlowFirst ? Best : Worst;
  if (!worker.Known)
    return Unknown;
  return demand == SpeedDemand::SlowFirst ? Worst : Best;
}

absl::Duration
UnevenSpeeds::maxWaitForUsual(absl::Duration taskDuration) const {
  return taskDuration * (TypicalSlow - 1);
}

} // namespace oriolebay::jobs
