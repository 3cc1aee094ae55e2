#include "waitsurvey.h"

#include <algorithm>
#include <utility>

namespace oriolebay::jobs {

using core::TaskId;

namespace {

/// A reason of a task's own, or a changed one, is logged once it has held for
/// this long, so that starts and stops that take their normal time are not.
constexpr absl::Duration MinLoggedWait = absl::Seconds(1);
/// Maximum number of lines in one survey.
constexpr size_t MaxReasonLines = 20;
constexpr size_t MaxBesideFreeLines = 8;

bool isBelowHalf(int64_t used, int64_t total) { return used * 2 < total; }

} // namespace

bool WaitSurvey::ServiceCapacity::isMostlyFree() const {
  return isBelowHalf(Used.MilliCores, Total.MilliCores) &&
         (Total.Accelerators == 0 ||
          isBelowHalf(Used.Accelerators, Total.Accelerators));
}

WaitSurvey::WaitSurvey(JobScheduler &scheduler, absl::Time now)
    : Scheduler(scheduler), Now(now) {}

void WaitSurvey::run() {
  Scheduler.WaitSurveys.LastAt = Now;
  ++Scheduler.WaitSurveys.Count;
  Scheduler.WaitSurveys.Summary = {};
  collectWorkers();
  for (auto &[id, job] : Scheduler.Jobs)
    surveyJob(job);
  logReasons();
  logWaitsBesideFreeWorkers();
}

void WaitSurvey::collectWorkers() {
  for (const auto &[incarnation, view] : Scheduler.Workers.workers()) {
    ServiceCapacity &service = Services[view.State.Service];
    service.Workers.push_back(&view);
    service.Total += view.State.Capacity;
    service.Used += view.Used;
    UsableWorkers += Scheduler.Workers.isUsable(view, Now) ? 1 : 0;
    if (Scheduler.Workers.isSilent(view, Now))
      SilentWorkers.emplace(incarnation, view.LostAt);
    for (const RunId &run : view.UnexpectedRuns)
      ListedRuns.emplace(run.Task,
                         WaitCause{WaitReason::RunStillListed,
                                   absl::InfiniteFuture(), incarnation.Id});
  }
}

void WaitSurvey::surveyJob(Job &job) {
  if (job.hasEnded()) {
    job.Waits.Steps.clear();
    return;
  }
  for (auto &[number, steps] : job.Occurrences)
    for (size_t s = 0; s < steps.size(); ++s) {
      const TaskId first{job.Record.Spec.Id, number, static_cast<int>(s), 0};
      const StepTasks tasks = countTasks(first, steps[s]);
      if (tasks.waiting() > 0 && JobScheduler::isStepReady(job, steps, s))
        surveyStep(job, first, tasks);
      else
        job.Waits.Steps.erase({number, first.Step});
    }
}

WaitSurvey::StepTasks
WaitSurvey::countTasks(const TaskId &first,
                       const JobScheduler::Step &step) const {
  static const Task untouched;
  StepTasks tasks;
  TaskId id = first;
  for (size_t i = 0; i < step.size(); ++i) {
    id.Index = static_cast<int>(i);
    if (step.isDone(i)) {
      ++tasks.Done;
      continue;
    }
    const Task *object = step.find(i);
    const Task &task = object == nullptr ? untouched : *object;
    const std::optional<WaitCause> cause = heldCause(id, task);
    if (!cause && task.isAssigned()) {
      ++tasks.Running;
      continue;
    }
    if (tasks.FirstWaiting < 0)
      tasks.FirstWaiting = id.Index;
    if (cause) {
      ++tasks.Held;
      addToGroup(tasks.HeldGroups, *cause, 1);
    } else {
      ++tasks.Pending;
    }
  }
  return tasks;
}

std::optional<WaitCause> WaitSurvey::heldCause(const TaskId &id,
                                               const Task &task) const {
  if (task.isAssigned())
    return assignedCause(task);
  if (Now < task.startBarredUntil()) {
    const auto &starts = task.Progress.LateStarts;
    return WaitCause{WaitReason::StartBarred, task.startBarredUntil(),
                     starts.empty() ? "" : starts.front().WorkerId};
  }
  if (ListedRuns.empty())
    return std::nullopt;
  auto listed = ListedRuns.find(core::taskName(id));
  if (listed == ListedRuns.end())
    return std::nullopt;
  return listed->second;
}

std::optional<WaitCause> WaitSurvey::assignedCause(const Task &task) const {
  const WorkerIncarnation &worker = task.Progress.Worker;
  if (const auto end = Scheduler.unreportedTasksEndBy(worker))
    return WaitCause{WaitReason::UnreportedWorker, *end, worker.Id};
  auto silent = SilentWorkers.find(worker);
  if (silent != SilentWorkers.end())
    return WaitCause{WaitReason::SilentWorker, silent->second, worker.Id};
  const auto without = [&](WaitReason reason) {
    return WaitCause{reason, absl::InfiniteFuture(), worker.Id};
  };
  if (task.StopRequested)
    return without(WaitReason::AwaitsStop);
  switch (task.Phase) {
  case Phase::Recording:
    return without(WaitReason::StartNotRecorded);
  case Phase::Ordered:
    return without(WaitReason::StartUnconfirmed);
  case Phase::Adopted:
    return without(WaitReason::RunUnresolved);
  case Phase::Idle:
  case Phase::Running:
    break;
  }
  return std::nullopt;
}

void WaitSurvey::surveyStep(Job &job, const TaskId &first,
                            const StepTasks &tasks) {
  StepWait &wait = Scheduler.findOrAddWait(job, first, Now);
  const core::StepSpec &spec = job.specOf(first);
  const WaitGroups groups = groupsOf(spec, wait, tasks);
  updateReasons(wait, groups);
  TaskId firstWaiting = first;
  firstWaiting.Index = tasks.FirstWaiting;
  Steps.push_back({&job, firstWaiting, &wait, mainGroup(groups, spec.Gang),
                   tasks.waiting(), tasks.Running});
  ++Scheduler.WaitSurveys.Summary.Steps[Steps.back().Main.Cause.Reason];
  updateBesideFree(Steps.back());
}

// The members of a gang wait for those that are held back. Of other steps each
// task waits by itself.
WaitGroups WaitSurvey::groupsOf(const core::StepSpec &spec,
                                const StepWait &wait, const StepTasks &tasks) {
  WaitGroups groups = tasks.HeldGroups;
  if (tasks.Pending == 0 || (spec.Gang && !groups.empty()))
    return groups;
  if (spec.Gang && tasks.Done + tasks.Running > 0)
    addToGroup(groups, {WaitReason::GangIncomplete}, tasks.Pending);
  else if (wait.Blocked.empty())
    addToGroup(groups, {WaitReason::NotDecided}, tasks.Pending);
  else
    for (const auto &[reason, group] : wait.Blocked)
      addToGroup(groups, group.Cause, group.Tasks);
  return groups;
}

// A gang waits for the member whose condition ends last. Of other steps, the
// reason of most tasks counts.
const WaitGroup &WaitSurvey::mainGroup(const WaitGroups &groups, bool gang) {
  const auto isLess = [gang](const auto &a, const auto &b) {
    return gang ? a.second.Cause.EndsBy < b.second.Cause.EndsBy
                : a.second.Tasks < b.second.Tasks;
  };
  return std::max_element(groups.begin(), groups.end(), isLess)->second;
}

void WaitSurvey::updateReasons(StepWait &wait, const WaitGroups &groups) const {
  std::erase_if(wait.ReasonSince, [&groups](const auto &known) {
    return groups.count(known.first) == 0;
  });
  for (const auto &[reason, group] : groups)
    wait.ReasonSince.emplace(reason, Now);
}

void WaitSurvey::updateBesideFree(const WaitingStep &step) {
  StepWait &wait = *step.Wait;
  if (!isBesideFreeWorkers(step)) {
    wait.BesideFreeSince = absl::InfiniteFuture();
    wait.resetIdle();
    wait.IsCounted = false;
    wait.NextLineAfter = MaxExpectedWait;
    return;
  }
  wait.BesideFreeSince = std::min(wait.BesideFreeSince, Now);
  wait.IdleBesideFreeSince = step.Running > 0
                                 ? absl::InfiniteFuture()
                                 : std::min(wait.IdleBesideFreeSince, Now);
  absl::Duration &longest = Scheduler.WaitSurveys.Summary.LongestBesideFree;
  longest = std::max(longest, wait.besideFree(Now));
}

bool WaitSurvey::isBesideFreeWorkers(const WaitingStep &step) const {
  auto service = Services.find(Scheduler.serviceOf(*step.Owner));
  if (service == Services.end() || !service->second.isMostlyFree())
    return false;
  const core::StepSpec &spec = step.Owner->specOf(step.First);
  const int64_t twice = 2 * (spec.Gang ? step.Tasks : 1);
  const int64_t maxPerWorker =
      spec.MaxPerWorker > 0 ? spec.MaxPerWorker : twice;
  int64_t fitting = 0;
  for (const WorkerView *view : service->second.Workers) {
    if (!view->hasLabel(spec.NeedsLabel))
      continue;
    fitting += spec.taskResources().countIn(view->freeResources(),
                                            std::min(twice, maxPerWorker));
    if (fitting >= twice)
      return true;
  }
  return false;
}

void WaitSurvey::logReasons() {
  size_t lines = 0;
  for (WaitingStep &step : Steps) {
    StepWait &wait = *step.Wait;
    const WaitReason reason = step.Main.Cause.Reason;
    if (wait.IsLogged && wait.LoggedReason == reason)
      continue;
    if (Now - wait.ReasonSince.at(reason) < MinLoggedWait ||
        !step.Owner->Waits.mayLogReason(Now))
      continue;
    if (++lines > MaxReasonLines)
      return;
    Scheduler.logWait(*step.Owner, step.First, wait, step.Main, UsableWorkers,
                      Now);
  }
}

// Lines for the steps that have waited longest. The others are counted in one
// more line, and get their own in a later survey.
void WaitSurvey::logWaitsBesideFreeWorkers() {
  std::vector<WaitingStep *> due;
  for (WaitingStep &step : Steps)
    if (step.Wait->besideFree(Now) >= step.Wait->NextLineAfter &&
        step.Owner->Waits.mayLog(Now))
      due.push_back(&step);
  std::stable_sort(due.begin(), due.end(),
                   [this](const WaitingStep *a, const WaitingStep *b) {
                     return a->Wait->besideFree(Now) > b->Wait->besideFree(Now);
                   });
  const size_t lines = std::min(due.size(), MaxBesideFreeLines);
  for (size_t i = 0; i < lines; ++i)
    if (due[i]->Owner->Waits.mayLog(Now))
      logBesideFree(*due[i]);
  int64_t newlyCounted = 0;
  for (size_t i = lines; i < due.size(); ++i)
    newlyCounted += std::exchange(due[i]->Wait->IsCounted, true) ? 0 : 1;
  if (due.size() > lines)
    Scheduler.logDecision(Decision::Kind::WaitsBesideFreeWorkers, "", "", 0, "",
                          "more steps than lines",
                          {{"more", static_cast<int64_t>(due.size() - lines)},
                           {"newly", newlyCounted}});
}

void WaitSurvey::logBesideFree(WaitingStep &step) {
  Job &job = *step.Owner;
  StepWait &wait = *step.Wait;
  const std::string &service = Scheduler.serviceOf(job);
  const ServiceCapacity &capacity = Services.at(service);
  const bool isNew = !std::exchange(wait.IsCounted, true);
  wait.NextLineAfter = wait.besideFree(Now) * 2;
  job.Waits.LastLineAt = Now;
  std::vector<DecisionInput> inputs =
      JobScheduler::waitInputs(wait, step.Main, Now);
  const auto add = [&inputs](const char *name, int64_t value) {
    inputs.push_back({name, value});
  };
  add("beside_free_ms", absl::ToInt64Milliseconds(wait.besideFree(Now)));
  add("newly", isNew ? 1 : 0);
  add("tasks", step.Tasks);
  add("tasks_running", step.Running);
  for (const auto &[condition, n] :
       Scheduler.Workers.countConditions(service, Now))
    add(workerConditionName(condition), n);
  add("free_accelerators",
      capacity.Total.Accelerators - capacity.Used.Accelerators);
  add("accelerators", capacity.Total.Accelerators);
  add("free_cores_milli", capacity.Total.MilliCores - capacity.Used.MilliCores);
  add("cores_milli", capacity.Total.MilliCores);
  Scheduler.logDecision(
      Decision::Kind::WaitsBesideFreeWorkers, step.First.Job,
      core::taskName(step.First), 0, step.Main.Cause.Worker,
      waitReasonText(step.Main.Cause.Reason, job.specOf(step.First).Gang),
      std::move(inputs));
  Scheduler.Decisions.back().Texts = JobScheduler::waitTexts(step.Main);
  Scheduler.Decisions.back().Texts["needs"] =
      core::summary(job.specOf(step.First));
}

} // namespace oriolebay::jobs
