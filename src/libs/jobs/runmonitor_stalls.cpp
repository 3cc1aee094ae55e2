// Which runs stand still, and whether that speaks of their workers or of their
// tasks.
#include "runmonitor.h"

#include <algorithm>
#include <set>

namespace oriolebay::jobs {

using core::TaskId;

// By the estimate, and by what runs of the step have shown before.
absl::Duration RunMonitor::stallTimeoutByEstimate(const Job &job,
                                                  const TaskId &id,
                                                  const Task &task) const {
  const ProgressPolicy &policy = Scheduler.Policy.Progress;
  const absl::Duration estimate = absl::Milliseconds(job.specOf(id).EstimateMs);
  return std::max({policy.StalledAfter, estimate * policy.StalledEstimateShare,
                   job.minStallTimeout(id.Step, task)});
}

// By where the run is, by its own rate and by the other tasks of its step.
absl::Duration RunMonitor::stallTimeoutByDuration(const Job &job,
                                                  const TaskId &id,
                                                  const Task &task,
                                                  PeerTimes &peers) const {
  const RunId run{core::taskName(id), task.Progress.Run};
  absl::Duration duration = absl::Milliseconds(job.specOf(id).EstimateMs);
  if (const auto percentTime = medianPercentTime(job, id, peers))
    duration = std::max(duration, *percentTime * 100);
  if (Scheduler.isRemote(job, id, task))
    duration *= Scheduler.Policy.RemoteFactor;
  if (const auto percentTime = Scheduler.Progress.percentTime(run))
    duration = std::max(duration, *percentTime * 100);
  return duration * Scheduler.Policy.Progress.StalledDurationShare;
}

absl::Duration RunMonitor::stallTimeout(const Job &job, const TaskId &id,
                                        const Task &task,
                                        PeerTimes &peers) const {
  const absl::Duration timeout =
      std::max(stallTimeoutByEstimate(job, id, task),
               stallTimeoutByDuration(job, id, task, peers));
  return Scheduler.Progress.isResumed({core::taskName(id), task.Progress.Run})
             ? timeout + Scheduler.Policy.Progress.RestoreTime
             : timeout;
}

// Collects the times that one percent takes for the tasks of the step, as far
// as they are known. Done once per step, as collectPeerTimes().
void RunMonitor::collectPercentTimes(const Job &job, const TaskId &first,
                                     PeerTimes &peers) const {
  if (peers.PercentTimes)
    return;
  std::vector<absl::Duration> &times = peers.PercentTimes.emplace();
  const Step &step = job.stepOf(first);
  for (const absl::Duration duration : step.SettledDurations)
    times.push_back(duration / 100);
  TaskId id = first;
  for (const auto &[index, task] : step.objects()) {
    id.Index = static_cast<int>(index);
    if (task.RunDuration > absl::ZeroDuration())
      times.push_back(task.RunDuration / 100);
    else if (const auto percentTime = Scheduler.Progress.percentTime(
                 {core::taskName(id), task.Progress.Run}))
      times.push_back(*percentTime);
  }
  std::sort(times.begin(), times.end());
}

// The time that one percent takes for most tasks of the step, the run's own
// included. Returns nothing unless it is known for another task.
std::optional<absl::Duration>
RunMonitor::medianPercentTime(const Job &job, const TaskId &id,
                              PeerTimes &peers) const {
  collectPercentTimes(job, id, peers);
  const std::vector<absl::Duration> &times = *peers.PercentTimes;
  const Task *task = job.stepOf(id).find(static_cast<size_t>(id.Index));
  const size_t own =
      Scheduler.Progress.percentTime({core::taskName(id), task->Progress.Run})
          ? 1
          : 0;
  if (times.size() <= own)
    return std::nullopt;
  return times[times.size() / 2];
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

// Whether another run on the same worker has made progress after this one did.
bool RunMonitor::isWorkerProgressing(const RunId &run, const Task &task) const {
  if (Scheduler.Progress.isWorkerProgressing(run, Now))
    return true;
  const WorkerView *worker = Scheduler.Workers.find(task.Progress.Worker);
  const absl::Time lastIncrease =
      task.PercentReportedAt - Scheduler.Progress.stillTime(run);
  return worker != nullptr && worker->LastSuccessAt > lastIncrease &&
         Now - worker->LastSuccessAt < Scheduler.Policy.Progress.StalledAfter;
}

// Whether a run has stood still for too long. A run whose next percent is not
// due looks alike at first: the estimates of callers are off by any factor.
bool RunMonitor::hasStoodStillTooLong(Job &job, const TaskId &id,
                                      const Task &task, PeerTimes &peers) {
  const RunId run{core::taskName(id), task.Progress.Run};
  const absl::Duration still = Scheduler.Progress.stillTime(run);
  if (still < Scheduler.Policy.Progress.SuddenStallAfter)
    return false;
  if (still >= job.minStallTimeout(id.Step, task) &&
      Scheduler.Progress.isSuddenlyStill(run))
    return true;
  if (still < stallTimeoutByEstimate(job, id, task))
    return false;
  const absl::Duration timeout = stallTimeout(job, id, task, peers);
  if (still >= timeout)
    return true;
  noteLongPercent(job, id, timeout);
  return false;
}

// Whether a run is stalled and better restarted elsewhere, because no other run
// on its worker makes progress either. A member of a gang must also be behind
// another member, or have had the time to wait for the others and to stall.
bool RunMonitor::isRunStalled(Job &job, const TaskId &id, const Task &task,
                              PeerTimes &peers) {
  const RunId run{core::taskName(id), task.Progress.Run};
  if (!hasStoodStillTooLong(job, id, task, peers) ||
      isWorkerProgressing(run, task))
    return false;
  const Step &step = job.stepOf(id);
  const bool gang = job.specOf(id).Gang && step.size() > 1;
  return !gang || isBehindGang(step, task) ||
         Now - task.StartedAt >
             Scheduler.Policy.GangWait + Scheduler.Policy.Progress.StalledAfter;
}

// The next leader knows no rates. Without this it would stop runs that have
// worked for hours and whose next percent is not due.
void RunMonitor::noteLongPercent(Job &job, const TaskId &id,
                                 absl::Duration timeout) {
  StepEvidence &stalls = job.Evidence[id.Step];
  if (timeout <= stalls.RecordedTimeout)
    return;
  stalls.RecordedTimeout = timeout * 2;
  job.Dirty = true;
}

// The workers, other than this run's, on which other runs of the step stood
// still or stand still in the same way.
size_t RunMonitor::countAlikeWorkers(const Job &job, const TaskId &id,
                                     const Task &task) const {
  const RunId own{core::taskName(id), task.Progress.Run};
  std::set<WorkerIncarnation> workers;
  if (const auto stalls = job.Evidence.find(id.Step);
      stalls != job.Evidence.end())
    workers = stalls->second.StoppedOn;
  const absl::Duration minStill = Scheduler.Progress.stillTime(own) *
                                  Scheduler.Policy.Progress.SamePictureShare;
  TaskId other = id;
  for (const auto &[index, peer] : job.stepOf(id).objects()) {
    other.Index = static_cast<int>(index);
    if (peer.Phase == JobScheduler::Phase::Running && !peer.StopRequested &&
        Scheduler.Progress.stillTime(
            {core::taskName(other), peer.Progress.Run}) >= minStill)
      workers.insert(peer.Progress.Worker);
  }
  workers.erase(task.Progress.Worker);
  return workers.size();
}

// Whether something else speaks for the worker being the cause: the step makes
// progress elsewhere, the run made progress before, or runs of other jobs stood
// still there as well.
bool RunMonitor::isWorkerSuspected(const Job &job, const TaskId &id,
                                   const Task &task, PeerTimes &peers) const {
  if (Scheduler.Workers.hasStalledOthers(task.Progress.Worker, id.Job))
    return true;
  const Step &step = job.stepOf(id);
  if (job.specOf(id).Gang && step.size() > 1)
    return isBehindGang(step, task);
  return medianPercentTime(job, id, peers) ||
         Scheduler.Progress.percentTime(
             {core::taskName(id), task.Progress.Run});
}

// A sound task looks the same on every worker. Workers on which tasks stand
// still are a few among others, and all their tasks do.
bool RunMonitor::isTaskTheCause(const Job &job, const TaskId &id,
                                const Task &task, PeerTimes &peers) const {
  const ProgressPolicy &policy = Scheduler.Policy.Progress;
  if (isWorkerSuspected(job, id, task, peers))
    return task.StalledRuns >= policy.MaxStalledRunsOfSuspects;
  return task.StalledRuns >= policy.MaxStalledRuns ||
         (!job.specOf(id).Gang && countAlikeWorkers(job, id, task) > 0);
}

void RunMonitor::handleStalledRun(Job &job, const TaskId &id, Task &task,
                                  PeerTimes &peers) {
  if (isTaskTheCause(job, id, task, peers)) {
    raiseStallTimeout(job, id, task, peers);
    return;
  }
  job.Evidence[id.Step].StoppedOn.insert(task.Progress.Worker);
  // One member that is behind the others says nothing about them.
  const bool isOfAll =
      job.specOf(id).Gang && !isBehindGang(job.stepOf(id), task);
  for (auto &[index, member] : job.stepOf(id).objects())
    if (isOfAll || &member == &task)
      ++member.StalledRuns;
  quarantineAndRestart(job, id, task, "stands still", peers);
}

// The run goes on, and those of its task, or of all of its step, may stand
// still for longer from now on.
void RunMonitor::raiseStallTimeout(Job &job, const TaskId &id, Task &task,
                                   PeerTimes &peers) {
  const std::string name = core::taskName(id);
  const absl::Duration timeout =
      Scheduler.Progress.stillTime({name, task.Progress.Run}) *
      Scheduler.Policy.Progress.StallTimeoutGrowth;
  const bool isOfTask = isWorkerSuspected(job, id, task, peers);
  std::vector<DecisionInput> inputs = restartInputs(job, id, task, peers);
  inputs.push_back({"runs_stopped", task.StalledRuns});
  inputs.push_back({"workers_alike",
                    static_cast<int64_t>(countAlikeWorkers(job, id, task))});
  inputs.push_back({"next_timeout_ms", absl::ToInt64Milliseconds(timeout)});
  if (isOfTask) {
    task.MinStallTimeout = timeout;
    task.StalledRuns = 0;
  } else {
    inputs.push_back({"quarantines_ended", raiseStepTimeout(job, id, timeout)});
  }
  absl::Duration &recorded = job.Evidence[id.Step].RecordedTimeout;
  recorded = std::max(recorded, timeout);
  job.Dirty = true;
  Scheduler.logDecision(Decision::Kind::StallTimeoutRaised, id.Job, name,
                        task.Progress.Run, task.Progress.Worker.Id,
                        isOfTask ? "its runs stand still again and again"
                                 : "runs of its step stand still alike",
                        std::move(inputs));
}

// Returns the number of workers whose quarantine has ended, as nothing else
// speaks against them.
int64_t RunMonitor::raiseStepTimeout(Job &job, const TaskId &id,
                                     absl::Duration timeout) {
  StepEvidence &stalls = job.Evidence[id.Step];
  stalls.MinTimeout = timeout;
  stalls.StoppedOn.clear();
  for (auto &[index, task] : job.stepOf(id).objects())
    task.StalledRuns = 0;
  const size_t released = Scheduler.Workers.dismissStallsOf(id.Job, Now).size();
  Scheduler.PassNeeded |= released > 0;
  return static_cast<int64_t>(released);
}

} // namespace oriolebay::jobs
