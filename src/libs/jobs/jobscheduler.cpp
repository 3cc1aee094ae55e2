#include "jobscheduler.h"

#include "planner.h"
#include "runmonitor.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace oriolebay::jobs {

using core::TaskId;

JobScheduler::JobScheduler(SchedulerPolicy policy, int64_t epoch,
                           absl::Time electedAt)
    : Policy(std::move(policy)), Epoch(epoch), ElectedAt(electedAt),
      UnreportedLostAt(electedAt - Policy.PreviousUnconfirmedFor +
                       Policy.UnreportedLostAfter),
      Workers(Policy.Fleet), Progress(Policy.Progress),
      Estimates(Policy.Progress), Speeds(Policy.Speed),
      SpeedsWithGangs(Policy.SpeedWithGangs) {}

JobScheduler::~JobScheduler() = default;

void JobScheduler::logDecision(Decision::Kind kind, const std::string &job,
                               const std::string &task, int64_t run,
                               const std::string &worker,
                               const std::string &why,
                               std::vector<DecisionInput> inputs) {
  Decisions.push_back({kind, job, task, run, worker, why, std::move(inputs)});
}

std::string JobScheduler::stepName(const TaskId &id) {
  return absl::StrCat(id.Job, ".", id.Occurrence, ".", id.Step);
}

double JobScheduler::slownessOf(const WorkerIncarnation &incarnation) const {
  const WorkerView *worker = Workers.find(incarnation);
  if (worker == nullptr)
    return 1;
  return Uneven.matter() ? SpeedsWithGangs.slowness(worker->Agent)
                         : Speeds.slowness(worker->Agent);
}

int64_t JobScheduler::lastReportAgeMs(const WorkerIncarnation &incarnation,
                                      absl::Time now) const {
  const WorkerView *worker = Workers.find(incarnation);
  return worker == nullptr
             ? -1
             : absl::ToInt64Milliseconds(now - worker->LastReportAt);
}

JobScheduler::Task *JobScheduler::findTask(const TaskId &id) {
  auto job = Jobs.find(id.Job);
  if (job == Jobs.end())
    return nullptr;
  if (!job->second.isOccurrenceKnown(id.Occurrence))
    return nullptr;
  std::vector<Step> &steps = ensureOccurrence(job->second, id.Occurrence);
  if (id.Step < 0 || static_cast<size_t>(id.Step) >= steps.size())
    return nullptr;
  Step &step = steps[static_cast<size_t>(id.Step)];
  if (id.Index < 0 || static_cast<size_t>(id.Index) >= step.size())
    return nullptr;
  return &step[static_cast<size_t>(id.Index)];
}

// The record may have been written by a newer configuration than the one here.
void JobScheduler::updateQueue(Job &job) const {
  const bool isConfigCurrent =
      Config != nullptr && Config->Version >= job.Record.DecidedBy.Version;
  const core::QueueConfig *queue =
      isConfigCurrent ? Config->queueOf(job.Record.Spec) : nullptr;
  job.Service = queue != nullptr ? queue->Service : job.Record.Service;
  job.QueueKey = queue != nullptr ? queue->url() : job.Record.Spec.Queue;
}

absl::Duration JobScheduler::taskTime(const Job &job,
                                      const core::StepSpec &spec) const {
  return Estimates.expectedDuration(job.QueueKey,
                                    absl::Milliseconds(spec.EstimateMs));
}

JobDeadline JobScheduler::computeDeadline(const Job &job) const {
  return jobs::computeDeadline(
      job.Record.Spec.Steps, Workers.capacityOf(serviceOf(job)),
      job.Record.Stretch, job.Record.TargetLatencyMs,
      [&](const core::StepSpec &spec) {
        return taskTime(job, spec) * Uneven.averageSlowness();
      });
}

// Jobs that repeat or run on have no deadline of their own. The result is kept
// for a while, because the capacity of the service is summed up for a deadline.
bool JobScheduler::isOverdue(Job &job, absl::Time now) const {
  const core::JobSpec &spec = job.Record.Spec;
  const bool hasDeadline =
      spec.Repeats == 0 &&
      std::none_of(spec.Steps.begin(), spec.Steps.end(),
                   [](const core::StepSpec &s) { return s.LongRunning; });
  if (!Policy.OverdueLast || !hasDeadline)
    return false;
  if (now - job.OverdueCheckedAt >= Policy.OverdueCheckInterval) {
    job.OverdueCheckedAt = now;
    job.Overdue = now - job.Arrived > computeDeadline(job).WorthlessAfter;
  }
  return job.Overdue;
}

// Logs the job's deadline once: when the fleet is known, or at the job's end.
void JobScheduler::logDeadline(Job &job) {
  if (job.DeadlineLogged)
    return;
  job.DeadlineLogged = true;
  const JobDeadline deadline = computeDeadline(job);
  const core::JobSpec &spec = job.Record.Spec;
  logDecision(
      Decision::Kind::DeadlineSet, spec.Id, "", 0, "", "",
      {{"priority", job.Record.Priority},
       {"chain_ms", absl::ToInt64Milliseconds(deadline.CriticalPath)},
       {"within_ms", absl::ToInt64Milliseconds(deadline.RelativeDeadline)},
       {"stretch_percent", static_cast<int64_t>(job.Record.Stretch * 100)},
       {"target_ms", job.Record.TargetLatencyMs},
       {"accelerators", Workers.capacityOf(serviceOf(job)).Accelerators}});
  Decisions.back().Texts = {{"queue", spec.Queue},
                            {"organisation", spec.Organisation},
                            {"asked", core::summary(spec)},
                            {"steps", stepsText(spec.Steps, deadline)}};
}

bool JobScheduler::isStepReady(const Job &job, const std::vector<Step> &steps,
                               size_t step) {
  const auto &after = job.Record.Spec.Steps[step].After;
  return std::all_of(after.begin(), after.end(), [&](int s) {
    return steps[static_cast<size_t>(s)].isAllDone();
  });
}

void JobScheduler::onConfig(std::shared_ptr<const core::SiteConfig> config) {
  Config = std::move(config);
  for (auto &[id, job] : Jobs)
    updateQueue(job);
  PassNeeded = true;
}

void JobScheduler::onCordons(core::Cordons cordons) {
  Workers.setCordons(std::move(cordons));
  PassNeeded = true;
}

void JobScheduler::checkJobEnd(Job &job, absl::Time now) {
  if (job.hasEnded())
    return;
  if (job.HasSuspects) {
    const std::string cause = crashFailureCause(job);
    if (!cause.empty()) {
      endJob(job, JobState::Failed, now, cause);
      return;
    }
  }
  std::string cause;
  forEachTask(job, [&](const TaskId &id, const Task &task) {
    if (cause.empty() && hasUsedUpAttempts(job, id, task))
      cause = absl::StrCat(core::taskName(id), " failed ", task.Progress.Failed,
                           " times in ", task.Progress.Run, " runs");
  });
  if (!cause.empty())
    endJob(job, JobState::Failed, now, cause);
  else if (isAllDone(job))
    endJob(job, JobState::Completed, now);
}

bool JobScheduler::hasUsedUpAttempts(const Job &job, const TaskId &id,
                                     const Task &task) {
  return !job.specOf(id).LongRunning &&
         task.Progress.Failed >= job.Record.Attempts;
}

void JobScheduler::endJob(Job &job, JobState state, absl::Time now,
                          const std::string &cause) {
  job.State = state;
  job.FinishedAt = now;
  job.Payload = {};
  job.Dirty = true;
  if (state != JobState::Cancelled)
    EndingJobs.push_back(job.Record.Spec.Id);
  logDeadline(job);
  logDecision(Decision::Kind::JobEnded, job.Record.Spec.Id, "", 0, "",
              jobStateName(state),
              {{"priority", job.Record.Priority},
               {"took_ms", absl::ToInt64Milliseconds(now - job.Arrived)},
               {"within_ms", absl::ToInt64Milliseconds(
                                 computeDeadline(job).RelativeDeadline)}});
  Decisions.back().Texts = {{"queue", job.Record.Spec.Queue}};
  if (!cause.empty())
    Decisions.back().Texts["cause"] = cause;
  for (const auto &[number, steps] : job.Occurrences)
    forgetSpeeds(job, number);
  forEachTask(job, [&](const TaskId &id, Task &task) {
    if (!task.Progress.Done)
      requestStop(id, task, absl::StrCat("job ", jobStateName(state)));
  });
}

void JobScheduler::assignRun(Job &job, const TaskId &id,
                             const WorkerIncarnation &incarnation,
                             const std::string &saved, int64_t run, int rank,
                             SpeedDemand demand, absl::Time now) {
  Task &task = *findTask(id);
  task.Progress.Run = run;
  task.Progress.Worker = incarnation;
  task.Progress.Agent = Workers.find(incarnation)->Agent;
  task.Progress.Saved = saved;
  task.Phase = Phase::Recording;
  task.StartWriteVersion = job.Version + 1;
  task.StopRequested = false;
  task.StartRefused = false;
  task.Percent = 0;
  task.StartObserved = false;
  task.ListedByWorker = false;
  task.CountCrashIfAbsent = false;
  task.LateStartPossibleUntil = absl::InfinitePast();
  task.FirstOrderAt = absl::InfinitePast();
  task.StartOpenUntil.reset();
  task.Progress.LateStarts.clear();
  task.LateStartBounds.clear();
  task.SpeedCompared = false;
  // Another long wait has to pass before the step gives up preferences again.
  if (auto wait = job.Waits.Steps.find({id.Occurrence, id.Step});
      wait != job.Waits.Steps.end())
    wait->second.resetIdle();
  job.Dirty = true;
  Workers.allocate(incarnation, {core::taskName(id), run},
                   job.specOf(id).taskResources());
  logDecision(Decision::Kind::Placed, id.Job, core::taskName(id), run,
              incarnation.Id, "",
              {{"rank", rank},
               {"waited_ms", absl::ToInt64Milliseconds(now - job.Arrived)},
               {"worker_heard_ms_ago", lastReportAgeMs(incarnation, now)},
               {"accelerators_left",
                Workers.find(incarnation)->freeResources().Accelerators},
               {"config_version", Config->Version},
               {"record_config_version", job.Record.DecidedBy.Version},
               {"slowness_percent",
                static_cast<int64_t>(slownessOf(incarnation) * 100)}});
  Decisions.back().Texts = {{"speed_demand", speedDemandName(demand)}};
}

void JobScheduler::noteBegun(Job &job, absl::Time now) {
  if (job.State != JobState::Queued)
    return;
  job.State = JobState::Running;
  job.RecordStateAt = now + Policy.RunningStateDelay;
}

void JobScheduler::trackProgress(const TaskId &id, const Task &task,
                                 absl::Time now) {
  const core::StepSpec &spec = Jobs.at(id.Job).specOf(id);
  if (!spec.LongRunning)
    Progress.recordProgress(
        {core::taskName(id), task.Progress.Run},
        {task.Progress.Worker, !task.Progress.Saved.empty(), spec.Gang},
        task.Percent, now);
}

// Whether the run is expected to be slow where it is: outside the rack of its
// data, or as a member of a gang that is spread over several racks.
bool JobScheduler::isRemote(const Job &job, const TaskId &id,
                            const Task &task) const {
  const core::StepSpec &spec = job.specOf(id);
  const WorkerView *worker = Workers.find(task.Progress.Worker);
  if (worker == nullptr)
    return true;
  if (!spec.DataRack.empty() && worker->State.Rack != spec.DataRack)
    return true;
  if (!spec.SameRack)
    return false;
  const auto &tasks = job.stepOf(id).objects();
  return std::any_of(tasks.begin(), tasks.end(), [&](const auto &entry) {
    const WorkerView *other = Workers.find(entry.second.Progress.Worker);
    return other != nullptr && other->State.Rack != worker->State.Rack;
  });
}

void JobScheduler::endUnreportedIncarnations(absl::Time now) {
  std::vector<WorkerIncarnation> lost;
  for (const auto &[incarnation, unreported] : UnreportedIncarnations)
    if (now >= tasksEndedBy(unreported))
      lost.push_back(incarnation);
  for (const WorkerIncarnation &incarnation : lost) {
    UnreportedIncarnations.erase(incarnation);
    handleIncarnationEnd({incarnation},
                         "the worker never reported to this leader", nullptr,
                         now);
  }
}

void JobScheduler::tick(absl::Time now) {
  PassNeeded |= RetryOnTick;
  if (now >= NextRunCheckAt) {
    RunMonitor(*this, now).checkRuns();
    NextRunCheckAt =
        now + Policy.RunCheckIntervalPerTask * rememberedTaskCount();
  }
  for (const WorkerIncarnation &incarnation : Workers.takeLost(now))
    handleIncarnationEnd(
        {incarnation},
        "the worker was unresponsive until its tasks had certainly ended",
        nullptr, now);
  endUnreportedIncarnations(now);
  forgetLostAgents(now);
  resendLateStops(now);
  limitSavedBytes(now);
  LateStartsByAgent.clear();
  for (auto &entry : Jobs) {
    Job &job = entry.second;
    if (!job.hasEnded() && isFleetKnown(now))
      logDeadline(job);
    if (!job.hasEnded() && dueOccurrences(job) > job.DueAtLatestPass)
      PassNeeded = true;
    compact(job);
    job.Dirty |= now >= job.RecordStateAt;
    forEachTask(job, [&](const TaskId &id, Task &task) {
      forgetLateStarts(job, task, now);
      indexLateStarts(id, task);
      resolveRefusedStart(job, id, task, now);
      if (!task.isAssigned() || task.Phase == Phase::Recording)
        return;
      if (now - task.LastOrderAt < Policy.OrderResendInterval)
        return;
      if (task.StopRequested)
        orderStop(id, task, now);
      else if (task.Phase == Phase::Ordered)
        orderStart(job, id, task, now);
    });
  }
}

void JobScheduler::decide(absl::Time now) {
  if (Config == nullptr)
    return;
  if (PassNeeded) {
    PassNeeded = false;
    RetryOnTick = false;
    ++PassCount;
    updateUnevenSpeeds(now);
    Planner(*this, now).run();
  }
  surveyWaits(now);
}

std::vector<AddressedOrders> JobScheduler::takeOrders() {
  std::vector<AddressedOrders> taken;
  for (auto &[receiver, orders] : std::exchange(Orders, {})) {
    orders.Epoch = Epoch;
    const WorkerView *worker = Workers.find(orders.Life);
    orders.LastReport = worker == nullptr ? 0 : worker->Sequence;
    orders.PayloadsShared = worker != nullptr && worker->ReadsSharedPayloads;
    taken.push_back({receiver.first, std::move(orders)});
  }
  return taken;
}

std::vector<Decision> JobScheduler::takeDecisions() {
  return std::exchange(Decisions, {});
}

std::vector<std::string> JobScheduler::takeEndingJobs() {
  return std::exchange(EndingJobs, {});
}

size_t JobScheduler::unfinishedJobCount() const {
  return static_cast<size_t>(
      std::count_if(Jobs.begin(), Jobs.end(),
                    [](const auto &j) { return !j.second.hasEnded(); }));
}

} // namespace oriolebay::jobs
