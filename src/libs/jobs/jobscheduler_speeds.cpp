// What completed and running tasks tell about estimates and about the speed of
// workers.
#include "jobscheduler.h"

#include <algorithm>
#include <limits>

namespace oriolebay::jobs {

using core::TaskId;

namespace {

/// Progress from which on a run is compared with other tasks of its step.
constexpr int SpeedComparisonMinPercent = 25;
/// Share of the duration from which on a task is slower than usual that a run
/// in the usual time takes at most.
constexpr double UsualRunShare = 0.5;

} // namespace

// Learns from the duration of a completed run how far the queue's estimates are
// off. Runs that resumed from a checkpoint or started under another leader are
// left out.
void JobScheduler::learnTaskDuration(const Job &job, const TaskId &id,
                                     Task &task, absl::Time now) {
  const core::StepSpec &spec = job.specOf(id);
  if (task.StartedAt == absl::InfinitePast() || !task.StartObserved ||
      !task.Progress.Saved.empty() || spec.LongRunning)
    return;
  task.RunDuration = now - task.StartedAt;
  if (isRemote(job, id, task))
    return;
  // Members of a gang end together, so that their durations do not show the
  // speed of their workers; only their progress does.
  if (!spec.Gang) {
    compareSpeed(id, task, task.RunDuration);
    noteUsualRun(job, id, task);
  }
  Estimates.recordTaskDuration(job.QueueKey,
                               absl::Milliseconds(spec.EstimateMs),
                               task.RunDuration / slownessOfRun(job, id, task));
}

void JobScheduler::noteUsualRun(const Job &job, const TaskId &id,
                                const Task &task) {
  const auto threshold = Estimates.slowThreshold(
      job.QueueKey, absl::Milliseconds(job.specOf(id).EstimateMs));
  if (threshold && task.RunDuration <= *threshold * UsualRunShare)
    Workers.recordUsualRun(task.Progress.Worker, id.Job, task.StartedAt);
}

// Estimates the worker's speed from the progress of a run long before its end.
// At 25 percent the reported progress, a whole number, is accurate to one part
// in 25.
void JobScheduler::compareSpeedByProgress(const TaskId &id, Task &task) {
  if (task.Percent < SpeedComparisonMinPercent || task.Percent >= 100 ||
      !task.StartObserved || !task.Progress.Saved.empty())
    return;
  const Job &job = Jobs.at(id.Job);
  if (job.specOf(id).LongRunning || isRemote(job, id, task))
    return;
  compareSpeed(id, task,
               (task.PercentReportedAt - task.StartedAt) *
                   (100 / (task.Percent + 0.5)));
}

// Compares each run once.
void JobScheduler::compareSpeed(const TaskId &id, Task &task,
                                absl::Duration runDuration) {
  const WorkerView *worker = Workers.find(task.Progress.Worker);
  if (task.SpeedCompared || worker == nullptr)
    return;
  task.SpeedCompared = true;
  if (!Jobs.at(id.Job).specOf(id).Gang)
    Speeds.recordRunDuration(stepName(id), worker->Agent, runDuration);
  SpeedsWithGangs.recordRunDuration(stepName(id), worker->Agent, runDuration);
}

double JobScheduler::slownessOfRun(const Job &job, const TaskId &id,
                                   const Task &task) const {
  double slowest = slownessOf(task.Progress.Worker);
  if (!job.specOf(id).Gang || !Uneven.matter())
    return slowest;
  const Step &step = job.stepOf(id);
  // A member whose end is settled has no worker any more.
  if (step.objects().size() < step.size())
    slowest = std::max(slowest, slownessOf({}));
  for (const auto &[index, member] : step.objects())
    if (member.Progress.Run == task.Progress.Run)
      slowest = std::max(slowest, slownessOf(member.Progress.Worker));
  return slowest;
}

void JobScheduler::updateUnevenSpeeds(absl::Time now) {
  double tightestStretch = std::numeric_limits<double>::infinity();
  for (const core::QueueConfig &queue : Config->Queues)
    if (queue.Stretch > 1)
      tightestStretch = std::min(tightestStretch, queue.Stretch);
  std::vector<const WorkerView *> usable;
  std::vector<WorkerSpeed> speeds;
  for (const auto &[incarnation, view] : Workers.workers()) {
    if (!Workers.isUsable(view, now))
      continue;
    usable.push_back(&view);
    speeds.push_back(speedOfWorker(view));
  }
  Uneven = UnevenSpeeds(speeds, tightestStretch);
  SpeedCounts = {static_cast<int>(speeds.size())};
  for (const WorkerSpeed &speed : speeds) {
    SpeedCounts.Known += speed.Known ? 1 : 0;
    SpeedCounts.Slow += Uneven.isSlow(speed) ? 1 : 0;
  }
  for (size_t i = 0; i < usable.size(); ++i)
    logSpeedChange(*usable[i], speeds[i]);
}

void JobScheduler::logSpeedChange(const WorkerView &view,
                                  const WorkerSpeed &speed) {
  const bool isSlow = Uneven.isSlow(speed);
  const bool changed = isSlow ? SlowAgents.insert(view.Agent).second
                              : SlowAgents.erase(view.Agent) != 0;
  if (!changed)
    return;
  logDecision(Decision::Kind::SpeedLearned, "", "", 0, view.State.Life.Id,
              isSlow ? "slow" : "usual",
              {{"slowness_percent", static_cast<int64_t>(speed.Slowness * 100)},
               {"workers_known", SpeedCounts.Known},
               {"workers_slow", SpeedCounts.Slow},
               {"workers_usable", SpeedCounts.Usable}});
}

void JobScheduler::adoptSpeed(const endpoints::WorkerReport &report,
                              absl::Time now) {
  const bool isUsable = Speeds.importSpeed(report.Agent, report.Speed);
  if (SpeedsWithGangs.importSpeed(report.Agent, report.SpeedWithGangs) &&
      isUsable) {
    AgentsWithBadSpeed.erase(report.Agent);
    return;
  }
  if (AgentsWithBadSpeed.insert(report.Agent).second)
    logDecision(
        Decision::Kind::SpeedIgnored, "", "", 0, report.Worker.Life.Id,
        "the reported speed is not a usable number",
        {{"elected_ms_ago", absl::ToInt64Milliseconds(now - ElectedAt)}});
}

} // namespace oriolebay::jobs
