#include "runmonitor.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace oriolebay::jobs {

using core::TaskId;

namespace {

/// Minimum remaining time that is assumed for a run, however far it has
/// progressed.
constexpr absl::Duration MinRemaining = absl::Milliseconds(200);
/// Maximum time since the last reported percentage for which a run is
/// assumed to have progressed further: two reports of a worker. Beyond that its
/// progress is unknown.
constexpr absl::Duration MaxExtrapolation = absl::Seconds(1);
/// Time until a stop reaches a worker: a tick of the scheduler, the delivery to
/// the agent and to the worker, and one retry.
constexpr absl::Duration StopDeliveryTime = absl::Milliseconds(600);

} // namespace

void RunMonitor::checkRuns() {
  for (auto &[jobId, job] : Scheduler.Jobs) {
    if (job.hasEnded())
      continue;
    for (auto &[number, steps] : job.Occurrences)
      for (size_t s = 0; s < steps.size(); ++s)
        checkStep(job, {jobId, number, static_cast<int>(s), 0});
  }
}

void RunMonitor::checkStep(Job &job, const TaskId &first) {
  PeerTimes peers;
  TaskId id = first;
  Step &step = job.stepOf(id);
  for (auto &[index, task] : step.objects()) {
    id.Index = static_cast<int>(index);
    if (task.Phase == JobScheduler::Phase::Running && !task.StopRequested &&
        !task.Progress.Done)
      checkRun(job, id, task, peers);
  }
}

void RunMonitor::checkRun(Job &job, const TaskId &id, Task &task,
                          PeerTimes &peers) {
  if (mustEvacuate(job, id, task)) {
    evacuate(job, id, task);
  } else if (isRunStalled(job, id, task)) {
    quarantineAndRestart(job, id, task, "stands still");
  } else if (isRunTooSlow(job, id, task, peers)) {
    countMove(job, id, task);
    quarantineAndRestart(job, id, task, "crawls");
  }
}

// The members of a gang are moved together, whichever of them is slow.
void RunMonitor::countMove(Job &job, const TaskId &id, Task &task) {
  if (!job.specOf(id).Gang) {
    ++task.Moves;
    return;
  }
  for (auto &[index, member] : job.stepOf(id).objects())
    ++member.Moves;
}

absl::Duration RunMonitor::remainingTime(const Job &job, const TaskId &id,
                                         const Task &task) const {
  const core::StepSpec &spec = job.specOf(id);
  if (spec.LongRunning)
    return absl::InfiniteDuration();
  absl::Duration total = Scheduler.taskTime(job, spec);
  if (Scheduler.Uneven.matter())
    total *= Scheduler.slownessOfRun(job, id, task);
  if (const auto bounds = Scheduler.Progress.durationBounds(
          {core::taskName(id), task.Progress.Run}))
    total = bounds->AtLeast;
  // The percentage is as old as the last report. Without the correction, a run
  // that was about to end was stopped for an urgent job, because its remaining
  // time did not decrease between two reports.
  const absl::Duration sinceReport =
      std::min(Now - task.PercentReportedAt, MaxExtrapolation);
  return std::max(total * (100 - task.Percent) / 100 - sinceReport,
                  MinRemaining);
}

// Members of a gang wait for each other, so a single stalled member stalls all
// of them, and all are stalled until every member has started. Only a member
// that is more than one percent behind another one is the cause.
bool RunMonitor::isBehindGang(const Step &step, const Task &task) {
  const auto &tasks = step.objects();
  return std::any_of(tasks.begin(), tasks.end(), [&](const auto &other) {
    return other.second.isAssigned() && other.second.Percent > task.Percent + 1;
  });
}

// Whether a run is stalled and better restarted elsewhere, because no other run
// on its worker makes progress either. A member of a gang must also be behind
// another member, or have had the time to wait for the others and to stall.
bool RunMonitor::isRunStalled(const Job &job, const TaskId &id,
                              const Task &task) const {
  const RunId run{core::taskName(id), task.Progress.Run};
  if (!Scheduler.Progress.isStalled(run) ||
      Scheduler.Progress.isWorkerProgressing(run, Now))
    return false;
  const Step &step = job.stepOf(id);
  const bool gang = job.specOf(id).Gang && step.size() > 1;
  return !gang || isBehindGang(step, task) ||
         Now - task.StartedAt >
             Scheduler.Policy.GangWait + Scheduler.Policy.Progress.StalledAfter;
}

// Collects the durations of all tasks of the step that are known. Done once per
// step, because collecting them for each task takes quadratic time in the
// number of tasks of a wide step.
void RunMonitor::collectPeerTimes(const Job &job, const TaskId &first,
                                  PeerTimes &peers) const {
  peers.Collected = true;
  const Step &step = job.stepOf(first);
  TaskId id = first;
  peers.ByIndex.assign(step.size(), absl::InfiniteDuration());
  peers.Sorted = step.SettledDurations;
  for (const auto &[index, task] : step.objects()) {
    id.Index = static_cast<int>(index);
    absl::Duration duration = absl::InfiniteDuration();
    if (task.RunDuration > absl::ZeroDuration())
      duration = task.RunDuration;
    else if (task.Phase == JobScheduler::Phase::Running)
      if (const auto bounds = Scheduler.Progress.durationBounds(
              {core::taskName(id), task.Progress.Run}))
        duration = bounds->AtMost;
    peers.ByIndex[index] = duration;
    if (duration != absl::InfiniteDuration())
      peers.Sorted.push_back(duration);
  }
  std::sort(peers.Sorted.begin(), peers.Sorted.end());
}

// Normal duration of a task: the median of the other tasks of the same step.
// Returns nothing if none of them has progressed far enough.
std::optional<absl::Duration>
RunMonitor::medianPeerTime(const Job &job, const TaskId &id,
                           PeerTimes &peers) const {
  if (!peers.Collected)
    collectPeerTimes(job, id, peers);
  const std::vector<absl::Duration> &all = peers.Sorted;
  const absl::Duration own = peers.ByIndex[static_cast<size_t>(id.Index)];
  const bool ownKnown = own != absl::InfiniteDuration();
  const size_t others = all.size() - (ownKnown ? 1 : 0);
  if (others == 0)
    return std::nullopt;
  const size_t middle = others / 2;
  // The task itself does not count: from its position on, the other tasks move
  // up by one.
  return ownKnown && own <= all[middle] ? all[middle + 1] : all[middle];
}

// Whether a run is so slow that restarting it on a sound worker would complete
// the task sooner.
bool RunMonitor::isRunTooSlow(const Job &job, const TaskId &id,
                              const Task &task, PeerTimes &peers) const {
  if (task.Moves >= Scheduler.Policy.MaxMoves)
    return false;
  const auto bounds = Scheduler.Progress.durationBounds(
      {core::taskName(id), task.Progress.Run});
  if (!bounds || Scheduler.isRemote(job, id, task))
    return false;
  const absl::Duration duration = bounds->AtLeast;
  const core::StepSpec &spec = job.specOf(id);
  const absl::Duration estimate = absl::Milliseconds(spec.EstimateMs);
  const std::string &queue = job.Record.Spec.Queue;
  absl::Duration normalTime =
      Scheduler.Estimates.expectedDuration(queue, estimate);
  bool slow = false;
  if (const auto medianTime = medianPeerTime(job, id, peers)) {
    slow = duration > *medianTime * Scheduler.Policy.Progress.SlowFactor;
    normalTime = *medianTime;
  } else if (const auto threshold =
                 Scheduler.Estimates.slowThreshold(queue, estimate)) {
    slow = duration > *threshold;
  }
  const double shareLeft = (100 - task.Percent) / 100.0;
  const absl::Duration restartTime =
      spec.Checkpoints
          ? normalTime * shareLeft + Scheduler.Policy.Progress.RestoreTime
          : normalTime;
  return slow && duration * shareLeft > restartTime + Scheduler.Policy.MoveCost;
}

// Whether a run has to be stopped because it will not end before its worker
// shuts down. A worker that shuts down ends the runs on it, and often its agent
// goes with it: the tasks were then restarted only after the time for which an
// unresponsive worker may keep them alive, 6 s later. Runs that cannot end in
// time are therefore stopped before: those that write a checkpoint as late as
// possible, as they lose nothing, the others at once, because all their work
// would be lost anyway.
bool RunMonitor::mustEvacuate(const Job &job, const TaskId &id,
                              const Task &task) const {
  const WorkerView *worker = Scheduler.Workers.find(task.Progress.Worker);
  if (worker == nullptr || worker->EarliestShutdown == absl::InfiniteFuture())
    return false;
  const absl::Duration timeLeft = worker->EarliestShutdown - Now;
  const absl::Duration stopTime =
      Scheduler.Policy.StopDuration + StopDeliveryTime;
  if (remainingTime(job, id, task) < timeLeft - StopDeliveryTime)
    return false;
  const core::StepSpec &spec = job.specOf(id);
  return !spec.Checkpoints || timeLeft <= stopTime;
}

void RunMonitor::requestRestart(Job &job, const TaskId &id, Task &task,
                                const std::string &why) {
  if (job.specOf(id).Gang)
    Scheduler.stopStep(job, id.Occurrence, id.Step, "a member " + why);
  else
    Scheduler.requestStop(id, task, "it " + why);
}

void RunMonitor::evacuate(Job &job, const TaskId &id, Task &task) {
  const WorkerView *worker = Scheduler.Workers.find(task.Progress.Worker);
  Scheduler.logDecision(
      Decision::Kind::RunEvacuated, id.Job, core::taskName(id),
      task.Progress.Run, task.Progress.Worker.Id, "",
      {{"percent", task.Percent},
       {"worker_leaves_in_ms",
        absl::ToInt64Milliseconds(worker->EarliestShutdown - Now)},
       {"worker_heard_ms_ago",
        Scheduler.lastReportAgeMs(worker->State.Life, Now)}});
  requestRestart(job, id, task, "would not be done before its worker leaves");
}

// What tells a run that has stopped from one whose next percent is not due.
std::vector<DecisionInput> RunMonitor::restartInputs(const Job &job,
                                                     const TaskId &id,
                                                     const Task &task) const {
  const RunId run{core::taskName(id), task.Progress.Run};
  const auto percentTime = Scheduler.Progress.percentTime(run);
  return {{"still_ms",
           absl::ToInt64Milliseconds(Scheduler.Progress.stillTime(run))},
          {"timeout_ms",
           absl::ToInt64Milliseconds(Scheduler.Progress.stallTimeout(run))},
          {"percent_ms",
           percentTime ? absl::ToInt64Milliseconds(*percentTime) : -1},
          {"estimate_ms", job.specOf(id).EstimateMs},
          {"runs_ms", absl::ToInt64Milliseconds(Now - task.StartedAt)},
          {"remote", Scheduler.isRemote(job, id, task) ? 1 : 0},
          {"worker_heard_ms_ago",
           Scheduler.lastReportAgeMs(task.Progress.Worker, Now)}};
}

void RunMonitor::quarantineAndRestart(Job &job, const TaskId &id, Task &task,
                                      const std::string &why) {
  const std::string name = core::taskName(id);
  Scheduler.logDecision(Decision::Kind::RunStalledOrSlow, id.Job, name,
                        task.Progress.Run, task.Progress.Worker.Id,
                        absl::StrCat(why, " at ", task.Percent, "%"),
                        restartInputs(job, id, task));
  if (Scheduler.Workers.quarantine(task.Progress.Worker, Now))
    Scheduler.logDecision(Decision::Kind::WorkerQuarantined, id.Job, name,
                          task.Progress.Run, task.Progress.Worker.Id, why);
  requestRestart(job, id, task, why);
}

} // namespace oriolebay::jobs
