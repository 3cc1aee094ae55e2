// How the planner takes workers of different speeds into account.
#include "planner.h"

#include <algorithm>

namespace oriolebay::jobs {

int Planner::speedCost(const Candidate &candidate,
                       const PlacementUnit &unit) const {
  if (Scheduler.Uneven.matter())
    return Scheduler.Uneven.cost(candidate.Speed, unit.Demand);
  return prefersFastWorkers(unit) && candidate.Slow ? 1 : 0;
}

int64_t Planner::speedCost(const Placement &placement,
                           const PlacementUnit &unit) const {
  int64_t sum = 0;
  for (size_t c : placement)
    sum += speedCost(Candidates[c], unit);
  return sum;
}

// Batch work takes slow workers only if its job is still in time with them.
SpeedDemand Planner::speedDemand(const PlacementUnit &unit) const {
  if (!Scheduler.Uneven.matter())
    return SpeedDemand::Any;
  if (prefersFastWorkers(unit))
    return SpeedDemand::UsualFirst;
  const Job &job = *unit.Owner;
  const absl::Duration timeLeft =
      job.Arrived + Scheduler.computeDeadline(job).RelativeDeadline - Now;
  return Scheduler.Uneven.batchDemand(timeLeft,
                                      Scheduler.taskTime(job, unit.spec()));
}

bool Planner::isTooSlowFor(const Candidate &candidate,
                           const PlacementUnit &unit) const {
  return unit.ExcludesSlowWorkers && Scheduler.Uneven.isSlow(candidate.Speed);
}

bool Planner::isKeptOffSlowWorkers(const PlacementUnit &unit) const {
  return unit.Demand == SpeedDemand::UsualFirst && unit.spec().Gang &&
         !unit.Overdue;
}

// Places a gang on workers of usual speed, or has it wait for them. A gang is
// as slow as its slowest member. Returns false if it should start anywhere.
bool Planner::placeOnUsualWorkers(PlacementUnit &unit) {
  unit.ExcludesSlowWorkers = true;
  if (placeWherePossible(unit) || waitForUsualWorkers(unit))
    return true;
  unit.ExcludesSlowWorkers = false;
  return false;
}

// The time since the job's arrival counts, so that a wait whose end is put off
// again and again is given up. Work within a guarantee has to start within
// ReclaimAfter wherever there is capacity.
absl::Duration
Planner::maxWaitForUsualWorkers(const PlacementUnit &unit) const {
  absl::Duration maxWait = Scheduler.Uneven.maxWaitForUsual(
      Scheduler.taskTime(*unit.Owner, unit.spec()));
  if (unit.Rank == 0)
    maxWait = std::min(maxWait, Scheduler.Policy.ReclaimAfter);
  return unit.Owner->Arrived + maxWait - Now;
}

bool Planner::waitForUsualWorkers(PlacementUnit &unit) {
  const absl::Duration maxWait = maxWaitForUsualWorkers(unit);
  if (maxWait <= absl::ZeroDuration())
    return false;
  const std::optional<CapacityPlan> waitPlan = findWaitPlan(unit);
  const bool endsSoon = waitPlan && waitPlan->Wait < maxWait;
  const bool stopsAreSooner = Scheduler.Policy.StopDuration < maxWait;
  if (!endsSoon && !stopsAreSooner)
    return false;
  Scheduler.RetryOnTick = true;
  if (secureCapacity(unit)) {
    recordWait(unit);
    return true;
  }
  if (!endsSoon)
    return false;
  logCapacityPlan(unit, "waits for workers of usual speed", &*waitPlan);
  reserve(unit, *waitPlan);
  recordWait(unit);
  return true;
}

} // namespace oriolebay::jobs
