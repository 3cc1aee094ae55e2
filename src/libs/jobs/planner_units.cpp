// The pending tasks of all jobs as units that are placed together, and the
// workers that each of them avoids.
#include "planner.h"

#include <algorithm>

namespace oriolebay::jobs {

void Planner::collectUnits() {
  for (auto &[id, job] : Scheduler.Jobs)
    if (!job.hasEnded())
      collectUnitsOf(job);
  for (PlacementUnit &unit : Units) {
    unit.Overdue = Scheduler.isOverdue(*unit.Owner, Now);
    computeUrgency(unit);
  }
  std::sort(Units.begin(), Units.end(),
            [](const PlacementUnit &a, const PlacementUnit &b) {
              return startsBefore(a.key(), b.key());
            });
}

void Planner::collectUnitsOf(Job &job) {
  Scheduler.RetryOnTick |= Scheduler.openDueOccurrences(job);
  int round = 0;
  for (auto &[number, steps] : job.Occurrences) {
    if (number >= job.DueAtLatestPass)
      break;
    const size_t first = Units.size();
    for (size_t s = 0; s < steps.size(); ++s) {
      if (!JobScheduler::isStepReady(job, steps, s))
        continue;
      PlacementUnit unit{&job, number, static_cast<int>(s), {}, job.Rank, {}};
      collectTasks(unit, steps[s]);
    }
    for (size_t n = first; n < Units.size(); ++n)
      Units[n].Round = round;
    round += Units.size() > first ? 1 : 0;
  }
}

// Whether a run of the task may still start, or is still listed, on a worker
// that it has left.
bool Planner::mayRunElsewhere(const core::TaskId &id, const Task &task) const {
  return Now < task.startBarredUntil() ||
         (!UnexpectedTasks.empty() &&
          UnexpectedTasks.count(core::taskName(id)) != 0);
}

// Adds the pending tasks of a step to Units. A gang is added once none of its
// tasks is done or may still run. Of other steps, each task that failed or is
// suspect becomes a unit of its own, with its own workers to avoid.
void Planner::collectTasks(PlacementUnit &unit,
                           const JobScheduler::Step &step) {
  const bool gang = unit.spec().Gang;
  static const Task untouched;
  for (size_t i = 0; i < step.size(); ++i) {
    const Task *object = step.find(i);
    const Task &task = object == nullptr ? untouched : *object;
    const auto index = static_cast<int>(i);
    if (step.isDone(i) || task.isAssigned()) {
      if (gang)
        return;
    } else if (mayRunElsewhere(unit.taskId(index), task)) {
      Scheduler.RetryOnTick = true;
      if (gang)
        return;
    } else if (gang || (task.FailedOn.empty() && !task.isSuspect())) {
      unit.Tasks.push_back(index);
    } else {
      PlacementUnit retry{unit.Owner, unit.Occurrence, unit.Step,
                          {index},    unit.Rank,       {}};
      avoidFailedWorkers(retry, step);
      Units.push_back(std::move(retry));
    }
  }
  if (unit.Tasks.empty())
    return;
  if (gang)
    avoidFailedWorkers(unit, step);
  Units.push_back(std::move(unit));
}

// Excludes the workers where tasks of unit failed or may have crashed a worker.
// A worker can fail everything that is started on it. When no other worker had
// free capacity, a failed task used to be started there again at once, until
// its attempts were used up and its job failed for good; now it waits for
// capacity on another worker. The exclusion is lifted if the other workers
// could not hold the unit even when empty, so that a task that fails by its own
// fault still uses up its attempts and ends.
void Planner::avoidFailedWorkers(PlacementUnit &unit,
                                 const JobScheduler::Step &step) const {
  for (int index : unit.Tasks) {
    const Task *task = step.find(static_cast<size_t>(index));
    if (task == nullptr)
      continue;
    const auto &crashed = task->Progress.CrashedAt;
    unit.AvoidWorkers.insert(task->FailedOn.begin(), task->FailedOn.end());
    unit.AvoidHosts.insert(crashed.begin(), crashed.end());
    unit.HasSuspect |= task->isSuspect();
  }
  if (unit.AvoidWorkers.empty() && unit.AvoidHosts.empty())
    return;
  const bool fitsElsewhere = unit.spec().SameRack && unit.spec().Gang
                                 ? computeCanEverFitOneRack(unit)
                                 : taskCapacityIfEmpty(unit) >=
                                       static_cast<int64_t>(unit.Tasks.size());
  if (fitsElsewhere)
    return;
  unit.AvoidWorkers.clear();
  unit.AvoidHosts.clear();
}

// Number of its tasks that the usable workers could hold if they were empty.
int64_t Planner::taskCapacityIfEmpty(const PlacementUnit &unit) const {
  const core::StepSpec &spec = unit.spec();
  int64_t maxTasks = static_cast<int64_t>(unit.Tasks.size());
  if (spec.MaxPerWorker > 0)
    maxTasks = std::min<int64_t>(maxTasks, spec.MaxPerWorker);
  int64_t taskCount = 0;
  for (const Candidate &candidate : Candidates)
    if (isEligible(*candidate.View, unit) && !isKeptOff(*candidate.View, unit))
      taskCount += spec.taskResources().countIn(candidate.View->State.Capacity,
                                                maxTasks);
  return taskCount;
}

} // namespace oriolebay::jobs
