// How long a unit can wait, and how many of its tasks have to run at the same
// time.
#include "planner.h"

#include "runmonitor.h"

#include <algorithm>

namespace oriolebay::jobs {

namespace {

/// Expected time of a task that runs after another one on the same resources:
/// the expected task duration times RoundMargin, because the tasks of a step
/// differ and some workers are slower by 1.3 times, plus RoundOverhead for the
/// time from the end of one task to the start of the next.
constexpr double RoundMargin = 1.25;
constexpr absl::Duration RoundOverhead = absl::Milliseconds(100);

} // namespace

// Computes the slack of unit and how many of its tasks have to run at the same
// time. Only units of priority 0 need the slack, because running work is
// stopped for them; others use the capacity that is free.
void Planner::computeUrgency(PlacementUnit &unit) const {
  const Job &job = *unit.Owner;
  const core::StepSpec &spec = unit.spec();
  unit.RequiredConcurrency = static_cast<int>(unit.Tasks.size());
  unit.Demand = speedDemand(unit);
  if (unit.Rank > 1)
    return;
  const auto &steps = job.Record.Spec.Steps;
  const JobDeadline deadline = Scheduler.computeDeadline(job);
  const auto criticalPaths =
      criticalPathsFrom(steps, deadline.Waves, [&](const core::StepSpec &s) {
        return Scheduler.taskTime(job, s);
      });
  const auto step = static_cast<size_t>(unit.Step);
  const absl::Duration taskDuration = Scheduler.taskTime(job, spec);
  const absl::Duration timeAfterStep =
      criticalPaths[step] - taskDuration * deadline.Waves[step];
  const absl::Duration timeLeft =
      job.Arrived + deadline.RelativeDeadline - Now - timeAfterStep;
  unit.Slack = timeLeft - taskDuration;
  if (!spec.Gang && unit.Rank == 1)
    computeRequiredConcurrency(unit, timeLeft, taskDuration);
  unit.CautiousSlack = unit.Slack - deadlineAtRisk(job, deadline);
}

// How much earlier the deadline of the job may be than computed, relative to
// its work, because its tasks may be shorter than estimated.
absl::Duration Planner::deadlineAtRisk(const Job &job,
                                       const JobDeadline &deadline) const {
  const double shorter =
      1 - Scheduler.Estimates.shortfallFactor(job.QueueKey,
                                              Scheduler.Policy.SlackDeviations);
  const double slackShare = std::max(0.0, job.Record.Stretch - 1);
  return deadline.CriticalPath * (shorter * slackShare);
}

// A wide step can meet its deadline although its tasks run one after another:
// each running task, and each task that is started now, is followed by others
// on the same resources until the time is up. Updates the slack accordingly.
void Planner::computeRequiredConcurrency(PlacementUnit &unit,
                                         absl::Duration timeLeft,
                                         absl::Duration taskDuration) const {
  const absl::Duration roundTime = taskDuration * RoundMargin + RoundOverhead;
  const auto rounds = [roundTime](absl::Duration time) -> int64_t {
    return time <= absl::ZeroDuration()
               ? 0
               : static_cast<int64_t>(absl::FDivDuration(time, roundTime));
  };
  const auto n = static_cast<int64_t>(unit.Tasks.size());
  int64_t followUpTasks = 0;
  for (const auto &[index, task] : unit.step().objects()) {
    if (!task.isAssigned())
      continue;
    const core::TaskId id = unit.taskId(static_cast<int>(index));
    followUpTasks +=
        rounds(timeLeft -
               RunMonitor(Scheduler, Now).remainingTime(*unit.Owner, id, task));
  }
  const int64_t tasksPerSlot = std::max<int64_t>(1, rounds(timeLeft));
  const int64_t uncoveredTasks = std::max<int64_t>(0, n - followUpTasks);
  unit.RequiredConcurrency = static_cast<int>(
      std::min(n, (uncoveredTasks + tasksPerSlot - 1) / tasksPerSlot));
  unit.Slack =
      timeLeft - (tasksPerSlot > 1 ? roundTime * tasksPerSlot : taskDuration);
}

} // namespace oriolebay::jobs
