// Preferences that a unit gives up when it has waited beside free workers for
// too long. Each of them is worth a wait while the site is busy, or for the
// time until the capacity that it prefers can be had; none of them has an end
// of its own.
#include "planner.h"

#include <algorithm>

namespace oriolebay::jobs {

absl::Duration Planner::waitBesideFreeWorkers(const PlacementUnit &unit) const {
  const auto &steps = unit.Owner->Waits.Steps;
  auto wait = steps.find({unit.Occurrence, unit.Step});
  return wait == steps.end() ? absl::ZeroDuration()
                             : Now - wait->second.IdleBesideFreeSince;
}

bool Planner::mustGiveUpPreferences(const PlacementUnit &unit) const {
  const SchedulerPolicy &policy = Scheduler.Policy;
  const bool isQuiet = Now - Scheduler.LastArrival >= policy.QuietAfter;
  return waitBesideFreeWorkers(unit) >=
         (isQuiet ? policy.MaxQuietPreferenceWait : policy.MaxPreferenceWait);
}

bool Planner::canSpareAttempt(const PlacementUnit &unit) {
  if (unit.spec().LongRunning)
    return true;
  const Job &job = *unit.Owner;
  const JobScheduler::Step &step = job.stepOf(unit.taskId(unit.Tasks.front()));
  return std::all_of(unit.Tasks.begin(), unit.Tasks.end(), [&](int index) {
    const Task *task = step.find(static_cast<size_t>(index));
    const int failed = task == nullptr ? 0 : task->Progress.Failed;
    return failed + 1 < job.Record.Attempts;
  });
}

bool Planner::mayTakeUnhealthyWorkers(const PlacementUnit &unit) const {
  return waitBesideFreeWorkers(unit) >= Scheduler.Policy.MaxPreferenceWait ||
         (mustGiveUpPreferences(unit) && canSpareAttempt(unit));
}

void Planner::giveUpPreferences(PlacementUnit &unit) {
  unit.HasGivenUpPreferences = true;
  if (mayTakeUnhealthyWorkers(unit)) {
    unit.AvoidWorkers.clear();
    unit.AvoidHosts.clear();
  }
  StepWait &wait = unit.Owner->Waits.Steps.at({unit.Occurrence, unit.Step});
  if (std::exchange(wait.PreferencesGivenUp, true))
    return;
  Scheduler.logDecision(
      Decision::Kind::PreferencesGivenUp, unit.Owner->Record.Spec.Id,
      core::taskName(unit.taskId(unit.Tasks.front())), 0, "",
      waitReasonText(wait.LoggedReason, unit.spec().Gang),
      {{"rank", unit.Rank},
       {"tasks", static_cast<int64_t>(unit.Tasks.size())},
       {"waits_ms", absl::ToInt64Milliseconds(Now - wait.Since)},
       {"beside_free_ms",
        absl::ToInt64Milliseconds(Now - wait.IdleBesideFreeSince)}});
}

// The workers whose quarantines end first come first.
std::vector<WorkerIncarnation>
Planner::quarantinedWorkers(const PlacementUnit &unit) const {
  std::vector<std::pair<absl::Time, WorkerIncarnation>> byEnd;
  for (const auto &[incarnation, view] : Scheduler.Workers.workers()) {
    const WorkerCondition condition = Scheduler.Workers.conditionOf(view, Now);
    if (!isEligible(view, unit))
      continue;
    if (condition == WorkerCondition::Quarantined)
      byEnd.emplace_back(view.QuarantinedUntil, incarnation);
    else if (condition == WorkerCondition::Usable && isKeptOff(view, unit))
      byEnd.emplace_back(view.quarantinedUntil(unit.Owner->Record.Spec.Id),
                         incarnation);
  }
  std::sort(byEnd.begin(), byEnd.end());
  std::vector<WorkerIncarnation> incarnations;
  incarnations.reserve(byEnd.size());
  for (const auto &[until, incarnation] : byEnd)
    incarnations.push_back(incarnation);
  return incarnations;
}

// The workers keep the duration of their latest quarantine, so that one that is
// still unhealthy is quarantined for longer the next time.
void Planner::endQuarantines(const PlacementUnit &unit, bool mayFail) {
  const core::Resources each = unit.spec().taskResources();
  auto missing = static_cast<int64_t>(unit.Tasks.size());
  for (size_t c = 0; c < Candidates.size(); ++c)
    missing -= countFitting(c, unit, missing);
  for (const WorkerIncarnation &incarnation : quarantinedWorkers(unit)) {
    if (missing <= 0)
      return;
    const WorkerView &worker = *Scheduler.Workers.find(incarnation);
    if (!mayFail && !worker.isOnlyStalled())
      continue;
    missing -= each.countIn(worker.freeResources(), missing);
    Scheduler.endQuarantine(incarnation, unit.Owner->Record.Spec.Id, Now);
  }
}

} // namespace oriolebay::jobs
