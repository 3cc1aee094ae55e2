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
/// Share of a duration from which on another one is about as long.
constexpr double AlikeShare = 0.5;

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
  } else if (isRunStalled(job, id, task, peers)) {
    handleStalledRun(job, id, task, peers);
  } else if (const auto duration = tooSlowDuration(job, id, task, peers)) {
    handleSlowRun(job, id, task, *duration, peers);
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

absl::Duration RunMonitor::expectedRunTime(const Job &job, const TaskId &id,
                                           const Task &task) const {
  const RunId run{core::taskName(id), task.Progress.Run};
  if (const auto bounds = Scheduler.Progress.durationBounds(run))
    return bounds->AtLeast;
  absl::Duration total = Scheduler.taskTime(job, job.specOf(id));
  if (Scheduler.Uneven.matter())
    total *= Scheduler.slownessOfRun(job, id, task);
  if (Scheduler.isRemote(job, id, task))
    total *= Scheduler.Policy.RemoteFactor;
  if (const auto percentTime = Scheduler.Progress.percentTime(run))
    total = std::max(total, *percentTime * 100);
  return total;
}

absl::Duration RunMonitor::remainingTime(const Job &job, const TaskId &id,
                                         const Task &task) const {
  const core::StepSpec &spec = job.specOf(id);
  if (spec.LongRunning)
    return absl::InfiniteDuration();
  const absl::Duration total = expectedRunTime(job, id, task);
  // The percentage is as old as the last report. Without the correction, a run
  // that was about to end was stopped for an urgent job, because its remaining
  // time did not decrease between two reports.
  const absl::Duration sinceReport =
      std::min(Now - task.PercentReportedAt, MaxExtrapolation);
  return std::max(total * (100 - task.Percent) / 100 - sinceReport,
                  MinRemaining);
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

// Whether a run of the step is as slow on another worker, or was stopped there
// for that.
bool RunMonitor::isSlowElsewhere(const Job &job, const TaskId &id,
                                 const Task &task,
                                 absl::Duration duration) const {
  const auto isAlike = [duration](absl::Duration other) {
    return other >= duration * AlikeShare;
  };
  // Two workers may be slow: little work may be lost to find that out.
  auto evidence = job.Evidence.find(id.Step);
  if (evidence != job.Evidence.end() &&
      Now - task.StartedAt > Scheduler.Policy.MaxWorkAtRisk)
    for (const auto &[worker, other] : evidence->second.TooSlowOn)
      if (worker != task.Progress.Worker && isAlike(other))
        return true;
  const auto &tasks = job.stepOf(id).objects();
  TaskId other = id;
  return std::any_of(tasks.begin(), tasks.end(), [&](const auto &entry) {
    const Task &peer = entry.second;
    if (!peer.isAssigned() || peer.Progress.Worker == task.Progress.Worker)
      return false;
    other.Index = static_cast<int>(entry.first);
    const RunId run{core::taskName(other), peer.Progress.Run};
    const absl::Duration percentTime = std::max(
        Scheduler.Progress.percentTime(run).value_or(absl::ZeroDuration()),
        Scheduler.Progress.stillTime(run));
    return isAlike(percentTime * 100);
  });
}

// Whether the run has had its present rate since it began, rather than that its
// worker has become slow since.
bool RunMonitor::isSlowAllAlong(const Task &task,
                                absl::Duration duration) const {
  const absl::Duration byAverage =
      (Now - task.StartedAt) * (100.0 / (task.Percent + 1));
  return byAverage >= duration * AlikeShare;
}

// Whether a run of another job that began later has taken its usual time there.
bool RunMonitor::isWorkerAsUsual(const TaskId &id, const Task &task) const {
  const WorkerView *worker = Scheduler.Workers.find(task.Progress.Worker);
  return worker != nullptr && worker->UsualRunStartedAt >= task.StartedAt &&
         worker->UsualRunJob != id.Job;
}

// What speaks for a slow task rather than a slow worker; empty if nothing does.
std::string RunMonitor::whyTaskIsSlow(const Job &job, const TaskId &id,
                                      const Task &task, absl::Duration duration,
                                      PeerTimes &peers) const {
  if (medianPeerTime(job, id, peers))
    return "";
  if (isSlowElsewhere(job, id, task, duration))
    return "runs of its step are as slow on other workers";
  if (isSlowAllAlong(task, duration) && isWorkerAsUsual(id, task))
    return "runs of other jobs take their usual time on its worker";
  return "";
}

// The duration of tasks like this one, if the run takes that much longer that
// its worker may be the cause.
std::optional<absl::Duration>
RunMonitor::exceededNormalTime(const Job &job, const TaskId &id,
                               absl::Duration duration,
                               PeerTimes &peers) const {
  const double slowFactor = Scheduler.Policy.Progress.SlowFactor;
  if (const auto median = medianPeerTime(job, id, peers))
    return duration > *median * slowFactor ? median : std::nullopt;
  if (auto evidence = job.Evidence.find(id.Step);
      evidence != job.Evidence.end() && evidence->second.IsEstimateOff)
    return std::nullopt;
  const absl::Duration estimate = absl::Milliseconds(job.specOf(id).EstimateMs);
  const auto threshold =
      Scheduler.Estimates.slowThreshold(job.QueueKey, estimate);
  if (!threshold || duration <= *threshold)
    return std::nullopt;
  return Scheduler.Estimates.expectedDuration(job.QueueKey, estimate);
}

// Returns the duration of a run that is so slow that restarting it on a sound
// worker would complete the task sooner. If only the estimate tells how long it
// would take there, no more work is given up than that would win.
std::optional<absl::Duration>
RunMonitor::tooSlowDuration(const Job &job, const TaskId &id, const Task &task,
                            PeerTimes &peers) const {
  const auto bounds = Scheduler.Progress.durationBounds(
      {core::taskName(id), task.Progress.Run});
  if (task.Moves >= Scheduler.Policy.MaxMoves || !bounds ||
      Scheduler.isRemote(job, id, task))
    return std::nullopt;
  const absl::Duration duration = bounds->AtLeast;
  const auto normalTime = exceededNormalTime(job, id, duration, peers);
  if (!normalTime)
    return std::nullopt;
  const bool isSaved = job.specOf(id).Checkpoints;
  const double shareLeft = (100 - task.Percent) / 100.0;
  const absl::Duration restartTime =
      isSaved ? *normalTime * shareLeft + Scheduler.Policy.Progress.RestoreTime
              : *normalTime;
  const absl::Duration gain = duration * shareLeft - restartTime;
  const bool isUncertain = !isSaved && !medianPeerTime(job, id, peers) &&
                           isSlowAllAlong(task, duration);
  const absl::Duration ranFor = Now - task.StartedAt;
  if (gain <= Scheduler.Policy.MoveCost ||
      (isUncertain && ranFor > std::max(gain, Scheduler.Policy.MaxWorkAtRisk)))
    return std::nullopt;
  return duration;
}

void RunMonitor::handleSlowRun(Job &job, const TaskId &id, Task &task,
                               absl::Duration duration, PeerTimes &peers) {
  const std::string why = whyTaskIsSlow(job, id, task, duration, peers);
  if (!why.empty()) {
    dismissEstimate(job, id, task, why, peers);
    return;
  }
  job.Evidence[id.Step].TooSlowOn[task.Progress.Worker] = duration;
  countMove(job, id, task);
  quarantineAndRestart(job, id, task, "crawls", peers);
}

// The run goes on, and none of its step is stopped again for being slower than
// the queue's estimates suggest.
void RunMonitor::dismissEstimate(Job &job, const TaskId &id, const Task &task,
                                 const std::string &why, PeerTimes &peers) {
  job.Evidence[id.Step].IsEstimateOff = true;
  const size_t released = Scheduler.Workers.dismissStallsOf(id.Job, Now).size();
  Scheduler.PassNeeded |= released > 0;
  std::vector<DecisionInput> inputs = restartInputs(job, id, task, peers);
  inputs.push_back({"quarantines_ended", static_cast<int64_t>(released)});
  Scheduler.logDecision(Decision::Kind::EstimateDismissed, id.Job,
                        core::taskName(id), task.Progress.Run,
                        task.Progress.Worker.Id, why, std::move(inputs));
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
                                                     const Task &task,
                                                     PeerTimes &peers) const {
  const auto orUnknown = [](std::optional<absl::Duration> time) {
    return time ? absl::ToInt64Milliseconds(*time) : -1;
  };
  const RunId run{core::taskName(id), task.Progress.Run};
  return {{"still_ms",
           absl::ToInt64Milliseconds(Scheduler.Progress.stillTime(run))},
          {"timeout_ms",
           absl::ToInt64Milliseconds(stallTimeout(job, id, task, peers))},
          {"percent_ms", orUnknown(Scheduler.Progress.percentTime(run))},
          {"peers_percent_ms", orUnknown(medianPercentTime(job, id, peers))},
          {"estimate_ms", job.specOf(id).EstimateMs},
          {"runs_ms", absl::ToInt64Milliseconds(Now - task.StartedAt)},
          {"remote", Scheduler.isRemote(job, id, task) ? 1 : 0},
          {"worker_heard_ms_ago",
           Scheduler.lastReportAgeMs(task.Progress.Worker, Now)}};
}

void RunMonitor::quarantineAndRestart(Job &job, const TaskId &id, Task &task,
                                      const std::string &why,
                                      PeerTimes &peers) {
  const std::string name = core::taskName(id);
  Scheduler.logDecision(Decision::Kind::RunStalledOrSlow, id.Job, name,
                        task.Progress.Run, task.Progress.Worker.Id,
                        absl::StrCat(why, " at ", task.Percent, "%"),
                        restartInputs(job, id, task, peers));
  if (Scheduler.Workers.recordStall(task.Progress.Worker, id.Job, Now))
    Scheduler.logDecision(Decision::Kind::WorkerQuarantined, id.Job, name,
                          task.Progress.Run, task.Progress.Worker.Id, why);
  requestRestart(job, id, task, why);
}

} // namespace oriolebay::jobs
