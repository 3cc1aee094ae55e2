// How the planner obtains capacity for a unit that has to wait: what running
// work would free and what its end would lose, which of it is stopped, and
// which capacity is reserved.
#include "planner.h"

#include <algorithm>
#include <tuple>

namespace oriolebay::jobs {

namespace {

/// Number of cores that an accelerator counts as in lost work.
constexpr double CoresPerAccelerator = 8;

double coreEquivalents(const core::Resources &r) {
  return static_cast<double>(r.MilliCores) / 1000 +
         CoresPerAccelerator * static_cast<double>(r.Accelerators);
}

} // namespace

// Whether unit needs more than half the accelerators of the largest worker.
// Smaller units fit in as other tasks end; reserving capacity for them while
// they wait would only delay other work.
bool Planner::isLarge(const PlacementUnit &unit) const {
  int64_t maxAccelerators = 0;
  for (const auto &[incarnation, view] : Scheduler.Workers.workers())
    maxAccelerators =
        std::max(maxAccelerators, view.State.Capacity.Accelerators);
  const auto n = static_cast<int64_t>(unit.Tasks.size());
  return n * unit.spec().PerTask.Accelerators * 2 > maxAccelerators;
}

// Work lost by a stop, in core-seconds: all of it, or for a task that writes a
// checkpoint when it is stopped, at most the time to restore the checkpoint.
double Planner::workLostByStop(const core::StepSpec &spec,
                               const Task &task) const {
  if (task.StopRequested || task.Progress.Done ||
      task.StartedAt == absl::InfinitePast())
    return 0;
  double lost = absl::ToDoubleSeconds(Now - task.StartedAt);
  if (spec.Checkpoints)
    lost = std::min(
        lost, absl::ToDoubleSeconds(Scheduler.Policy.Progress.RestoreTime));
  return lost * coreEquivalents(spec.PerTask);
}

bool Planner::isUsableInDomain(size_t candidateIndex, const PlacementUnit &unit,
                               const TopologyDomain &domain) const {
  return unit.TaskLimits[candidateIndex] > 0 &&
         (domain.RackIndex < 0 ||
          Candidates[candidateIndex].RackIndex == domain.RackIndex);
}

// Adds the resources that runningUnit frees in domain to the candidates (sign
// 1), or removes them again (sign -1). Returns the change in the number of
// unit's tasks that fit there.
int64_t Planner::applyRelease(const PlacementUnit &unit,
                              const TopologyDomain &domain,
                              const RunningUnit &runningUnit, int sign) {
  const auto maxTasks = static_cast<int64_t>(unit.Tasks.size());
  int64_t additional = 0;
  for (const auto &[c, freed] : runningUnit.FreedResources) {
    if (!isUsableInDomain(c, unit, domain))
      continue;
    additional -= countFitting(c, unit, maxTasks);
    Candidate &candidate = Candidates[c];
    if (sign > 0) {
      candidate.Unreserved += freed;
      candidate.Free += freed;
    } else {
      candidate.Unreserved -= freed;
      candidate.Free -= freed;
    }
    additional += countFitting(c, unit, maxTasks);
  }
  return additional;
}

// Picks running units in the given order until unit fits into domain. Returns
// nothing if it does not fit even when all of them have ended. Leaves the
// candidates unchanged.
std::optional<Planner::CapacityPlan>
Planner::planInDomain(const PlacementUnit &unit, const TopologyDomain &domain,
                      const RunningUnitList &runningUnits) {
  const auto n = static_cast<int64_t>(unit.Tasks.size());
  int64_t fitting = 0;
  for (size_t c : domain.Members)
    fitting += countFitting(c, unit, n);
  CapacityPlan plan;
  for (const RunningUnit *r : runningUnits) {
    if (fitting >= n)
      break;
    const bool useful = std::any_of(
        r->FreedResources.begin(), r->FreedResources.end(),
        [&](const auto &f) { return isUsableInDomain(f.first, unit, domain); });
    if (!useful)
      continue;
    fitting += applyRelease(unit, domain, *r, 1);
    plan.EndingUnits.push_back(r);
  }
  const bool found = fitting >= n;
  if (found) {
    pruneEndingUnits(unit, domain, fitting, plan);
    plan.TargetPlacement = *findPlacement(unit, domain);
  }
  for (const RunningUnit *r : plan.EndingUnits) {
    applyRelease(unit, domain, *r, -1);
    plan.LostWork += r->LostWork;
    plan.Wait = std::max(plan.Wait, r->TimeLeft);
    for (const auto &[c, freed] : r->FreedResources)
      plan.FreedByCandidate[c] += freed;
  }
  if (!found)
    return std::nullopt;
  return plan;
}

// Drops running units whose end turned out not to be needed from the plan, in
// reverse order, so that those with the highest cost (lost work, or time until
// the end) are dropped first. The candidates must contain the resources that
// the plan's units free; those of dropped units are removed from them. Fitting
// is the number of unit's tasks that fit into domain with all of them.
void Planner::pruneEndingUnits(const PlacementUnit &unit,
                               const TopologyDomain &domain, int64_t fitting,
                               CapacityPlan &plan) {
  const auto n = static_cast<int64_t>(unit.Tasks.size());
  for (size_t i = plan.EndingUnits.size(); i-- > 0;) {
    const RunningUnit &r = *plan.EndingUnits[i];
    const int64_t fittingWithout = fitting + applyRelease(unit, domain, r, -1);
    if (fittingWithout >= n) {
      fitting = fittingWithout;
      plan.EndingUnits.erase(plan.EndingUnits.begin() +
                             static_cast<std::ptrdiff_t>(i));
    } else {
      applyRelease(unit, domain, r, 1);
    }
  }
}

// Reserves for unit what it needs on the candidates of the plan, beyond what
// the ending units will free there. Without the reservation, resources freed
// first were given to the next unit in line before the last ones were free, and
// unit never fitted: tasks that were stopped for it were started again at once,
// dozens of times.
void Planner::reserve(const PlacementUnit &unit, const CapacityPlan &plan) {
  ResourcesByCandidate needs;
  for (size_t c : plan.TargetPlacement)
    needs[c] += unit.spec().taskResources();
  for (auto &[c, need] : needs) {
    Candidate &candidate = Candidates[c];
    core::Resources remainder = candidate.Unreserved;
    auto freed = plan.FreedByCandidate.find(c);
    if (freed != plan.FreedByCandidate.end())
      remainder += freed->second;
    remainder -= need;
    candidate.Unreserved = {
        std::min(candidate.Unreserved.MilliCores, remainder.MilliCores),
        std::min(candidate.Unreserved.MemoryMb, remainder.MemoryMb),
        std::min(candidate.Unreserved.Accelerators, remainder.Accelerators)};
    candidate.ReservationStartsIn =
        std::min(candidate.ReservationStartsIn, plan.Wait);
  }
}

// The plan with the lowest cost over all domains that unit can be placed in.
template <class Cost>
std::optional<Planner::CapacityPlan>
Planner::findBestPlan(const PlacementUnit &unit, const SortedUnits &sortedUnits,
                      Cost CapacityPlan::*cost) {
  std::optional<CapacityPlan> best;
  for (const TopologyDomain &domain : domainsFor(unit)) {
    std::optional<CapacityPlan> plan =
        planInDomain(unit, domain, sortedUnits.inDomain(domain));
    if (plan && (!best || (*plan).*cost < (*best).*cost))
      best = std::move(plan);
  }
  return best;
}

// The plan that frees enough capacity for unit by stopping other work and loses
// the least work.
std::optional<Planner::CapacityPlan>
Planner::findStopPlan(const PlacementUnit &unit) {
  return findBestPlan(unit, stoppableUnits(unit), &CapacityPlan::LostWork);
}

// The plan that waits for running work to end and gets enough capacity for unit
// at the earliest time, estimated from the progress of the running work.
std::optional<Planner::CapacityPlan>
Planner::findWaitPlan(const PlacementUnit &unit) {
  return findBestPlan(unit, unitsByEnd(), &CapacityPlan::Wait);
}

// Maximum work of others, in core-seconds, that may be lost for unit: a fixed
// allowance and a share of the work of unit, as an estimate of what its result
// loses when it is late.
double Planner::maxLostWork(const PlacementUnit &unit) const {
  const core::StepSpec &spec = unit.spec();
  const absl::Duration taskDuration = Scheduler.taskTime(*unit.Owner, spec);
  const double ownWork = static_cast<double>(unit.Tasks.size()) *
                         coreEquivalents(spec.PerTask) *
                         absl::ToDoubleSeconds(taskDuration);
  return Scheduler.Policy.MaxLostWorkBase +
         Scheduler.Policy.MaxLostWorkShare * ownWork;
}

// Whether unit is within a guarantee and would get its capacity later than
// ReclaimAfter after the arrival of its job if nothing more is stopped for it.
bool Planner::isGuaranteeAtRisk(
    const PlacementUnit &unit,
    const std::optional<CapacityPlan> &waitPlan) const {
  const absl::Time expectedStart =
      waitPlan ? Now + waitPlan->Wait : absl::InfiniteFuture();
  return unit.Rank == 0 &&
         expectedStart > unit.Owner->Arrived + Scheduler.Policy.ReclaimAfter;
}

// Whether the job of unit meets its deadline if unit waits for capacity that
// running work frees by ending or after a stop that has already been requested.
// Twice the wait has to be within the slack, because the wait is an estimate.
bool Planner::isInTimeWithoutStops(
    const PlacementUnit &unit,
    const std::optional<CapacityPlan> &waitPlan) const {
  return waitPlan && !isGuaranteeAtRisk(unit, waitPlan) &&
         waitPlan->Wait * 2 <= unit.CautiousSlack;
}

// Whether the stops of stopPlan are worthwhile for a unit whose job would miss
// its deadline without them: they are meant to let the job meet its deadline,
// which is not checked here, and must not lose more work than maxLostWork().
// Any amount is acceptable if a guarantee would be violated otherwise, which is
// not so for a gang that could start on slow workers.
bool Planner::isWorthStopping(
    const PlacementUnit &unit, const CapacityPlan &stopPlan,
    const std::optional<CapacityPlan> &waitPlan) const {
  return (isGuaranteeAtRisk(unit, waitPlan) && !unit.ExcludesSlowWorkers) ||
         stopPlan.LostWork <= maxLostWork(unit);
}

// Reserves the capacity that becomes free in time without further stops, or
// requests stops that free enough capacity for unit and reserves that. For
// tasks that start one by one, does so for as many tasks as possible, trying
// half as many each time. Returns false if no stops free enough capacity or
// they are not worthwhile.
//
// Without a reservation for capacity that is about to become free, the capacity
// freed by the first stops was given to other small tasks, which were stopped
// in turn, twelve times in a test.
//
// A new leader learns about its workers one after another. Stops wait until all
// workers have had time to report, unless a guarantee is at risk: a leader that
// knew a quarter of the workers used to stop batch work for urgent jobs while
// the other workers were idle.
bool Planner::secureCapacity(PlacementUnit &unit) {
  unit.Tasks.resize(std::min(unit.Tasks.size(),
                             static_cast<size_t>(unit.RequiredConcurrency)));
  for (size_t n = unit.Tasks.size(); n > 0; n = unit.spec().Gang ? 0 : n / 2) {
    unit.Tasks.resize(n);
    const std::optional<CapacityPlan> waitPlan = findWaitPlan(unit);
    if (isInTimeWithoutStops(unit, waitPlan)) {
      logCapacityPlan(unit, "waits for running tasks that end in time",
                      &*waitPlan);
      reserve(unit, *waitPlan);
      return true;
    }
    if (!Scheduler.isFleetKnown(Now) && !isGuaranteeAtRisk(unit, waitPlan)) {
      logCapacityPlan(unit, "waits until all workers have reported", nullptr);
      return false;
    }
    std::optional<CapacityPlan> stopPlan = findStopPlan(unit);
    if (!stopPlan)
      logCapacityPlan(unit, "no stops free enough capacity", nullptr);
    else if (!isWorthStopping(unit, *stopPlan, waitPlan))
      logCapacityPlan(unit, "stops would lose too much work", &*stopPlan);
    if (stopPlan && isWorthStopping(unit, *stopPlan, waitPlan)) {
      logCapacityPlan(unit, "stops other tasks", &*stopPlan);
      stopPlan->Wait = absl::ZeroDuration();
      reserve(unit, *stopPlan);
      requestStops(unit, *stopPlan);
      return true;
    }
  }
  return false;
}

// Logs only changes of the outcome, so that a unit that waits for a long time
// is logged once and not in each pass.
void Planner::logCapacityPlan(const PlacementUnit &unit, const char *outcome,
                              const CapacityPlan *plan) {
  const char *&logged =
      unit.Owner->LoggedCapacityPlans[{unit.Occurrence, unit.Step}];
  if (logged == outcome)
    return;
  logged = outcome;
  std::vector<DecisionInput> inputs = {
      {"rank", unit.Rank},
      {"tasks", static_cast<int64_t>(unit.Tasks.size())},
      {"needed", unit.RequiredConcurrency},
      {"slack_ms", absl::ToInt64Milliseconds(unit.Slack)},
      {"cautious_slack_ms", absl::ToInt64Milliseconds(unit.CautiousSlack)},
      {"most_waste_core_s", static_cast<int64_t>(maxLostWork(unit))}};
  if (plan != nullptr) {
    inputs.push_back({"wait_ms", absl::ToInt64Milliseconds(plan->Wait)});
    inputs.push_back({"waste_core_s", static_cast<int64_t>(plan->LostWork)});
    inputs.push_back({"ends", static_cast<int64_t>(plan->EndingUnits.size())});
  }
  Scheduler.logDecision(Decision::Kind::CapacityPlanned,
                        unit.Owner->Record.Spec.Id,
                        core::taskName(unit.taskId(unit.Tasks.front())), 0, "",
                        outcome, std::move(inputs));
}

void Planner::requestStops(const PlacementUnit &unit,
                           const CapacityPlan &stopPlan) {
  const std::string why = "makes room for job " + unit.Owner->Record.Spec.Id;
  // In the order of the jobs' ids, not of their addresses, so that the same
  // inputs lead to the same decisions.
  std::map<std::tuple<std::string, int, int>, Job *> steps;
  for (const RunningUnit *r : stopPlan.EndingUnits) {
    steps[{r->Owner->Record.Spec.Id, r->Occurrence, r->Step}] = r->Owner;
    if (r->Index < 0) {
      Scheduler.stopStep(*r->Owner, r->Occurrence, r->Step, why);
      continue;
    }
    const core::TaskId task{r->Owner->Record.Spec.Id, r->Occurrence, r->Step,
                            r->Index};
    Scheduler.requestStop(task, *Scheduler.findTask(task), why);
  }
  // This invalidates the running units that the plan refers to; they are not
  // used from here on.
  for (const auto &[key, job] : steps)
    refreshRunningUnits(*job, std::get<1>(key), std::get<2>(key));
}

// Maximum number of units that reserveEarliestCapacity() reserves capacity for
// in one pass. Reservations of secureCapacity() do not count.
int Planner::maxReservations() const {
  return std::max(Scheduler.Policy.MinReservations,
                  static_cast<int>(Candidates.size()) /
                      Scheduler.Policy.WorkersPerReservation);
}

// Reserves the capacity that becomes free first for a large unit, so that
// smaller units do not take it indefinitely.
void Planner::reserveEarliestCapacity(PlacementUnit &unit) {
  if (ReservationCount >= maxReservations() || !isLarge(unit))
    return;
  const std::optional<CapacityPlan> best = findWaitPlan(unit);
  if (!best)
    return;
  ++ReservationCount;
  reserve(unit, *best);
}

} // namespace oriolebay::jobs
