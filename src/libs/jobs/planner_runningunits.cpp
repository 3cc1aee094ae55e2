// The running work whose end would free capacity, in the orders in which plans
// pick it.
#include "planner.h"

#include "runmonitor.h"

#include <algorithm>

namespace oriolebay::jobs {

// Adds the running tasks of a step, or its running gang, to RunningUnits.
void Planner::addRunningUnits(Job &job, int occurrence, int step) {
  const core::StepSpec &spec = job.Record.Spec.Steps[static_cast<size_t>(step)];
  const JobScheduler::Step &tasks =
      job.Occurrences.at(occurrence)[static_cast<size_t>(step)];
  RunningUnit gang{&job, occurrence, step, -1, job.Rank};
  ResourcesByCandidate freedByGang;
  core::TaskId id{job.Record.Spec.Id, occurrence, step, 0};
  for (const auto &[index, t] : tasks.objects()) {
    if (!t.isAssigned())
      continue;
    id.Index = static_cast<int>(index);
    const double lostWork = workLostByStop(spec, t);
    const absl::Duration timeLeft =
        t.StopRequested ? Scheduler.Policy.StopDuration
                        : RunMonitor(Scheduler, Now).remainingTime(job, id, t);
    auto candidate = CandidateOf.find(t.Progress.Worker);
    if (spec.Gang) {
      gang.LostWork += lostWork;
      gang.TimeLeft = std::max(gang.TimeLeft, timeLeft);
      gang.Stopping = gang.Stopping && t.StopRequested;
      if (candidate != CandidateOf.end())
        freedByGang[candidate->second] += spec.taskResources();
    } else if (candidate != CandidateOf.end()) {
      RunningUnits.push_back({&job,
                              occurrence,
                              step,
                              id.Index,
                              job.Rank,
                              lostWork,
                              timeLeft,
                              t.StopRequested,
                              {{candidate->second, spec.taskResources()}}});
    }
  }
  if (freedByGang.empty())
    return;
  gang.FreedResources.assign(freedByGang.begin(), freedByGang.end());
  RunningUnits.push_back(std::move(gang));
}

void Planner::collectRunningUnits() {
  if (RunningUnitsCollected)
    return;
  RunningUnitsCollected = true;
  for (auto &[id, job] : Scheduler.Jobs)
    for (auto &[number, steps] : job.Occurrences)
      for (size_t s = 0; s < steps.size(); ++s)
        addRunningUnits(job, number, static_cast<int>(s));
}

// Updates RunningUnits after tasks of the step were started or asked to stop.
void Planner::refreshRunningUnits(Job &job, int occurrence, int step) {
  if (!RunningUnitsCollected)
    return;
  CachedUnitsByEnd.reset();
  CachedStoppableUnits.clear();
  RunningUnits.erase(std::remove_if(RunningUnits.begin(), RunningUnits.end(),
                                    [&](const RunningUnit &r) {
                                      return r.Owner == &job &&
                                             r.Occurrence == occurrence &&
                                             r.Step == step;
                                    }),
                     RunningUnits.end());
  addRunningUnits(job, occurrence, step);
}

// Lists the running units by rack, each list in the order of all.
Planner::SortedUnits Planner::indexByRack(RunningUnitList all) const {
  SortedUnits sorted;
  sorted.ByRack.resize(RackDomains.size());
  for (const RunningUnit *r : all) {
    for (const auto &[c, freed] : r->FreedResources) {
      auto &ofRack =
          sorted.ByRack[static_cast<size_t>(Candidates[c].RackIndex)];
      if (ofRack.empty() || ofRack.back() != r)
        ofRack.push_back(r);
    }
  }
  sorted.All = std::move(all);
  return sorted;
}

// Running work that can be stopped for unit: units that are already being
// stopped and those that are less urgent than unit. Sorted by lost work, which
// is 0 for units that are already being stopped; at equal lost work the least
// urgent come first.
const Planner::SortedUnits &Planner::stoppableUnits(const PlacementUnit &unit) {
  collectRunningUnits();
  auto cached = CachedStoppableUnits.find(unit.Rank);
  if (cached != CachedStoppableUnits.end())
    return cached->second;
  RunningUnitList all;
  for (const RunningUnit &r : RunningUnits)
    if (r.Stopping || r.Rank > unit.Rank)
      all.push_back(&r);
  std::stable_sort(all.begin(), all.end(),
                   [](const RunningUnit *a, const RunningUnit *b) {
                     return std::make_pair(a->LostWork, -a->Rank) <
                            std::make_pair(b->LostWork, -b->Rank);
                   });
  return CachedStoppableUnits.emplace(unit.Rank, indexByRack(std::move(all)))
      .first->second;
}

// All running units, sorted by their expected end.
const Planner::SortedUnits &Planner::unitsByEnd() {
  collectRunningUnits();
  if (CachedUnitsByEnd)
    return *CachedUnitsByEnd;
  RunningUnitList all;
  for (const RunningUnit &r : RunningUnits)
    all.push_back(&r);
  std::stable_sort(all.begin(), all.end(),
                   [](const RunningUnit *a, const RunningUnit *b) {
                     return a->TimeLeft < b->TimeLeft;
                   });
  CachedUnitsByEnd = indexByRack(std::move(all));
  return *CachedUnitsByEnd;
}

} // namespace oriolebay::jobs
