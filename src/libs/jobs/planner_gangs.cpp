// How the planner places gangs: in one rack where that is asked for, or
// anywhere.
#include "planner.h"

#include <algorithm>
#include <tuple>

namespace oriolebay::jobs {

// The domains that a gang can be placed in: each rack, or the whole site.
const std::vector<Planner::TopologyDomain> &
Planner::domainsFor(const PlacementUnit &unit) const {
  return unit.spec().SameRack && !unit.HasGivenUpPreferences &&
                 canEverFitOneRack(unit)
             ? RackDomains
             : SiteDomain;
}

bool Planner::canEverFitOneRack(const PlacementUnit &unit) const {
  if (!unit.CanEverFitOneRack)
    unit.CanEverFitOneRack = computeCanEverFitOneRack(unit);
  return *unit.CanEverFitOneRack;
}

bool Planner::computeCanEverFitOneRack(const PlacementUnit &unit) const {
  std::map<std::string_view, int64_t> tasksByRack;
  const core::StepSpec &spec = unit.spec();
  int64_t maxTasks = spec.Count;
  if (spec.MaxPerWorker > 0)
    maxTasks = std::min<int64_t>(maxTasks, spec.MaxPerWorker);
  for (const auto &[incarnation, view] : Scheduler.Workers.workers()) {
    if (view.State.Draining || Scheduler.Workers.isCordoned(view) ||
        !isEligible(view, unit))
      continue;
    int64_t &taskCount = tasksByRack[view.State.Rack];
    taskCount += spec.taskResources().countIn(view.State.Capacity, maxTasks);
    if (taskCount >= spec.Count)
      return true;
  }
  return false;
}

// Places all tasks in domain. Fills the workers with the fewest free
// accelerators first, to keep large blocks of free capacity together; urgent
// units prefer fast workers over that. Workers whose latest run failed come
// last, until a run is completed there: such a worker may fail everything it
// starts, and each failed run ends the whole gang. Returns nothing if the tasks
// do not fit.
std::optional<Planner::Placement>
Planner::findPlacement(const PlacementUnit &unit,
                       const TopologyDomain &domain) const {
  std::vector<std::tuple<int, bool, int, int64_t, size_t>> sorted;
  for (size_t c : domain.Members)
    if (countFitting(c, unit, 1) > 0)
      sorted.emplace_back(
          crashRisk(Candidates[c], unit), Candidates[c].LastRunFailed,
          speedCost(Candidates[c], unit), Candidates[c].Free.Accelerators, c);
  std::sort(sorted.begin(), sorted.end());
  Placement placement;
  for (const auto &[risk, lastRunFailed, cost, free, c] : sorted) {
    const auto unplacedTasks =
        static_cast<int64_t>(unit.Tasks.size() - placement.size());
    for (int64_t n = countFitting(c, unit, unplacedTasks); n > 0; --n)
      placement.push_back(c);
    if (placement.size() == unit.Tasks.size())
      return placement;
  }
  return std::nullopt;
}

bool Planner::placeGang(PlacementUnit &unit) {
  std::optional<Placement> best;
  // Smaller is better: cost of the workers' speeds, then free accelerators in
  // the domain.
  std::pair<int64_t, int64_t> bestScore;
  for (const auto &domain : domainsFor(unit)) {
    std::optional<Placement> placement = findPlacement(unit, domain);
    if (!placement)
      continue;
    std::pair<int64_t, int64_t> score{speedCost(*placement, unit), 0};
    for (size_t c : domain.Members)
      score.second += Candidates[c].Free.Accelerators;
    if (!best || score < bestScore) {
      best = std::move(placement);
      bestScore = score;
    }
  }
  if (!best || !leavesHeadroom(unit, *best))
    return false;
  if (!mayStart(unit, unit.Tasks.size())) {
    GangWaitsForPlaces = true;
    return false;
  }
  startGang(unit, *best);
  return true;
}

void Planner::startGang(PlacementUnit &unit, const Placement &placement) {
  const JobScheduler::Step &step = unit.step();
  // Members write checkpoints independently. Any member's checkpoint is valid
  // for the gang, but all members must resume from the same one: that of the
  // member that has progressed furthest.
  const Task *furthest = nullptr;
  int64_t run = 0;
  for (const auto &[index, t] : step.objects()) {
    run = std::max(run, t.Progress.Run);
    if (!t.Progress.Saved.empty() &&
        (furthest == nullptr || t.Percent > furthest->Percent))
      furthest = &t;
  }
  const std::string saved = furthest == nullptr ? "" : furthest->Progress.Saved;
  for (size_t n = 0; n < placement.size(); ++n) {
    Scheduler.assignRun(*unit.Owner, unit.taskId(unit.Tasks[n]),
                        Candidates[placement[n]].View->State.Life, saved,
                        run + 1, unit.Rank, unit.Demand, Now);
    allocate(unit, placement[n]);
    markRecentStart(placement[n], unit);
  }
  refreshRunningUnits(*unit.Owner, unit.Occurrence, unit.Step);
}

} // namespace oriolebay::jobs
