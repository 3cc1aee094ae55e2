// Reports of the agents: running tasks, ended runs, and ended worker
// incarnations.
#include "jobscheduler.h"

#include <algorithm>

namespace oriolebay::jobs {

using core::TaskId;
using endpoints::RunEnd;

namespace {

constexpr const char *DoneEarlier = "an earlier run has done the work";

bool hasFailed(const TaskProgress &progress, int64_t run) {
  const std::vector<int64_t> &failed = progress.FailedRuns;
  return std::find(failed.begin(), failed.end(), run) != failed.end();
}

// Several members of a gang may list the same run as failed.
void countFailedRun(const core::StepSpec &spec, TaskProgress &progress,
                    int64_t run) {
  if (hasFailed(progress, run))
    return;
  if (spec.LongRunning)
    progress.FailedRuns.clear();
  progress.FailedRuns.push_back(run);
  ++progress.Failed;
}

} // namespace

int64_t JobScheduler::onReport(const endpoints::WorkerReport &report,
                               absl::Time now) {
  const WorkerIncarnation &incarnation = report.Worker.Life;
  const WorkerView *known = Workers.find(incarnation);
  const bool wasUsable = known != nullptr && Workers.isUsable(*known, now);
  const core::Resources previousCapacity =
      known == nullptr ? core::Resources() : known->State.Capacity;
  // Reports may arrive out of order; an older one would undo a newer one.
  if (known != nullptr && report.Sequence <= known->Sequence)
    return known->SeenUpto;
  if (Workers.isOutdated(report))
    return 0;
  OpenStarts.applyReport(report, now);
  barListedStarts(report, now);
  shortenBars(report, now);
  for (const endpoints::IncarnationEnd &end :
       Workers.applyReport(report, now)) {
    if (end.Crashed)
      LastCrashes[report.Agent] = now;
    handleIncarnationEnd(end, "the worker's process has ended", &incarnation,
                         now);
  }
  endReplacedIncarnations(report, now);
  adoptSpeed(report, now);
  if (incarnation.empty())
    return 0;
  if (known == nullptr)
    registerIncarnation(incarnation, report.Agent, now);
  for (const endpoints::EndedTask &end : report.Ended)
    handleTaskEnd(incarnation, end, now);
  handleRunningTasks(report, now);
  WorkerView *worker = Workers.find(incarnation);
  worker->Fenced |= report.Epoch >= Epoch;
  if (worker->Fenced)
    FencedAgents.insert(report.Agent);
  if (worker->Fenced && !worker->UnlistedRunsResolved && report.EndsComplete) {
    worker->UnlistedRunsResolved = true;
    resolveUnlistedRuns(report, now);
  }
  for (const endpoints::OrderResult &result : report.Results)
    handleOrderResult(incarnation, result, now);
  // Most reports only update the progress of runs. A scheduling pass after each
  // of them used up all of the leader's time on a site of hundreds of workers.
  PassNeeded |= wasUsable != Workers.isUsable(*worker, now) ||
                previousCapacity != worker->State.Capacity;
  return worker->SeenUpto;
}

// Ends the incarnations that are recorded for this agent, have not reported to
// this leader and are over according to the report, which lists their end or
// names another incarnation.
void JobScheduler::endReplacedIncarnations(
    const endpoints::WorkerReport &report, absl::Time now) {
  std::vector<endpoints::IncarnationEnd> endedIncarnations;
  for (const auto &[incarnation, unreported] : UnreportedIncarnations)
    if (unreported.Agent == report.Agent)
      if (const auto end = findIncarnationEnd(report, incarnation))
        endedIncarnations.push_back(*end);
  for (const endpoints::IncarnationEnd &end : endedIncarnations) {
    UnreportedIncarnations.erase(end.Life);
    handleIncarnationEnd(end, "the worker's process has ended",
                         &report.Worker.Life, now);
  }
}

// Runs that are recorded for the incarnation occupy resources of the worker
// from its first report on.
void JobScheduler::registerIncarnation(const WorkerIncarnation &incarnation,
                                       const std::string &agent,
                                       absl::Time now) {
  UnreportedIncarnations.erase(incarnation);
  for (auto &entry : Jobs) {
    Job &job = entry.second;
    forEachTask(job, [&](const TaskId &id, Task &task) {
      if (task.Progress.Worker == incarnation)
        Workers.allocate(incarnation, {core::taskName(id), task.Progress.Run},
                         job.specOf(id).taskResources());
      resolveLateStarts(job, id, task, incarnation, agent, now);
    });
  }
  logDecision(Decision::Kind::WorkerJoined, "", "", 0, incarnation.Id);
}

void JobScheduler::handleIncarnationEnd(const endpoints::IncarnationEnd &end,
                                        const std::string &why,
                                        const WorkerIncarnation *next,
                                        absl::Time now) {
  const WorkerIncarnation &incarnation = end.Life;
  logDecision(Decision::Kind::WorkerLost, "", "", 0, incarnation.Id, why,
              {{"elected_ms_ago", absl::ToInt64Milliseconds(now - ElectedAt)},
               {"crashed", end.Crashed ? 1 : 0}});
  const std::set<RunId> crashCandidates(end.JustBegun.begin(),
                                        end.JustBegun.end());
  for (auto &entry : Jobs) {
    Job &job = entry.second;
    bool anyChanged = false;
    forEachTask(job, [&](const TaskId &id, Task &task) {
      if (task.Progress.Worker != incarnation)
        return;
      anyChanged = true;
      task.CountCrashIfAbsent |=
          crashCandidates.count({core::taskName(id), task.Progress.Run}) != 0;
      if (end.Witnessed)
        updateStartOpenUntil(job, id, task, now);
      if (canStillStart(id, task, end, next, now))
        resolveAtNextIncarnation(job, id, task, *next, now);
      else
        handleAbsentRun(job, id, task, why, now,
                        next == nullptr ? Settlement::ByExpiry
                                        : Settlement::Otherwise);
    });
    if (anyChanged)
      checkJobEnd(job, now);
  }
  PassNeeded = true;
}

void JobScheduler::handleRunningTasks(const endpoints::WorkerReport &report,
                                      absl::Time now) {
  WorkerView &worker = *Workers.find(report.Worker.Life);
  worker.UnexpectedRuns.clear();
  // The leases of what an older list names have lapsed.
  const bool isOutdated =
      absl::Milliseconds(report.ListedMsAgo) >= Policy.Fleet.LostAfter;
  for (const endpoints::RunningTask &running : report.Running) {
    TaskId id;
    Task *task = core::parseTaskName(running.Task, id) ? findTask(id) : nullptr;
    if (task != nullptr)
      noteBegun(Jobs.at(id.Job), now);
    if (task == nullptr || task->Progress.Run != running.Run ||
        task->Progress.Worker != report.Worker.Life) {
      if (!isOutdated)
        worker.UnexpectedRuns.insert({running.Task, running.Run});
      stopUnexpectedRun(worker, running, task);
      continue;
    }
    updateStartOpenUntil(Jobs.at(id.Job), id, *task, now);
    if (!running.Saved.empty())
      task->Progress.Saved = running.Saved;
    task->Percent = running.Percent;
    task->ListedByWorker = true;
    task->CountCrashIfAbsent = false;
    if (report.Reachable) {
      task->PercentReportedAt = now - absl::Milliseconds(report.ListedMsAgo);
      trackProgress(id, *task, task->PercentReportedAt);
      compareSpeedByProgress(id, *task);
    }
    if (task->Phase != Phase::Running) {
      if (task->StartedAt == absl::InfinitePast()) {
        task->StartedAt = now;
        task->StartObserved = task->Phase == Phase::Ordered;
        logDecision(Decision::Kind::Started, id.Job, running.Task, running.Run,
                    report.Worker.Life.Id);
      }
      task->Phase = Phase::Running;
    }
    clearSuspectIfOutlived(Jobs.at(id.Job), id, *task);
  }
  // The end of a run that is not listed may be among those still to be listed.
  if (report.Reachable && report.EndsComplete)
    stopVanishedRuns(worker, now - absl::Milliseconds(report.ListedMsAgo));
}

// A worker that has lost a run never lists its end. The answer to a stop tells
// whether the run is really gone.
void JobScheduler::stopVanishedRuns(const WorkerView &worker,
                                    absl::Time listedAt) {
  for (const auto &[run, resources] : worker.Allocations) {
    TaskId id;
    Task *task = core::parseTaskName(run.Task, id) ? findTask(id) : nullptr;
    if (task == nullptr || task->Progress.Run != run.Run ||
        task->Progress.Worker != worker.State.Life ||
        task->Phase != Phase::Running)
      continue;
    const absl::Time lastKnownAt =
        std::max(task->StartedAt, task->PercentReportedAt);
    if (listedAt - lastKnownAt >= Policy.VanishedRunDelay)
      requestStop(id, *task, "its worker lists it no longer");
  }
}

// The run is not recorded, or its job was removed: it must be stopped.
void JobScheduler::stopUnexpectedRun(const WorkerView &worker,
                                     const endpoints::RunningTask &running,
                                     const Task *task) {
  ordersFor(worker).Stops.push_back({running.Task, running.Run});
  TaskId id;
  core::parseTaskName(running.Task, id);
  logDecision(Decision::Kind::UnexpectedRun, id.Job, running.Task, running.Run,
              worker.State.Life.Id, "no record of this run",
              {{"born_ms", worker.State.Life.BornMs},
               {"accelerators_counted", worker.Used.Accelerators},
               {"latest_run", task == nullptr ? 0 : task->Progress.Run},
               {"late_starts",
                task == nullptr
                    ? 0
                    : static_cast<int64_t>(task->Progress.LateStarts.size())}});
  if (task != nullptr)
    Decisions.back().Texts = {{"latest_worker", task->Progress.Worker.Id}};
}

// The worker had seen this leader's fencing token when it listed its tasks. A
// run of a previous leader that it lists neither as running nor as ended can
// therefore no longer start.
void JobScheduler::resolveUnlistedRuns(const endpoints::WorkerReport &report,
                                       absl::Time now) {
  std::set<RunId> listed;
  for (const endpoints::RunningTask &r : report.Running)
    listed.insert({r.Task, r.Run});
  for (auto &entry : Jobs) {
    Job &job = entry.second;
    bool anyChanged = false;
    forEachTask(job, [&](const TaskId &id, Task &task) {
      if (task.Phase != Phase::Adopted ||
          task.Progress.Worker != report.Worker.Life ||
          listed.count({core::taskName(id), task.Progress.Run}) != 0)
        return;
      anyChanged = true;
      updateStartOpenUntil(job, id, task, now);
      handleAbsentRun(job, id, task, "its worker does not list it", now,
                      Settlement::ByWorker);
    });
    if (anyChanged)
      checkJobEnd(job, now);
  }
}

// Handles an end that a worker lists. It counts if it is the end of the latest
// run, or if an earlier run has completed the task or has failed. Other ends
// are only acknowledged.
void JobScheduler::handleTaskEnd(const WorkerIncarnation &incarnation,
                                 const endpoints::EndedTask &end,
                                 absl::Time now) {
  Workers.removeLateStop(incarnation, {end.Task, end.Run});
  if (!Workers.registerEnd(incarnation, end.Number))
    return;
  Workers.release(incarnation, {end.Task, end.Run});
  PassNeeded = true;
  TaskId id;
  Task *task = core::parseTaskName(end.Task, id) ? findTask(id) : nullptr;
  const bool isLatest = task != nullptr &&
                        task->Progress.Worker == incarnation &&
                        task->Progress.Run == end.Run;
  if (isLatest)
    updateStartOpenUntil(Jobs.at(id.Job), id, *task, now);
  const bool isCounted = task != nullptr && !task->Progress.Done &&
                         end.Run <= task->Progress.Run &&
                         (isLatest || isLateSuccess(Jobs.at(id.Job), id, end) ||
                          isLateFailure(Jobs.at(id.Job), id, *task, end));
  logDecision(
      Decision::Kind::Ended, id.Job, end.Task, end.Run, incarnation.Id,
      endpoints::runEndName(end.How),
      {{"number", end.Number},
       {"counts", isCounted ? 1 : 0},
       {"failed_before", task == nullptr ? 0 : task->Progress.Failed},
       {"attempts", task == nullptr ? 0 : Jobs.at(id.Job).Record.Attempts}});
  if (task == nullptr) {
    Workers.markEndRecorded(incarnation, end.Number);
    return;
  }
  Job &job = Jobs.at(id.Job);
  noteBegun(job, now);
  if (!isCounted) {
    // The end of another member has completed the gang.
    if (isLatest && end.How == RunEnd::Done)
      recordSuccessOn(incarnation, job, id, *task, now);
    if (isLatest)
      unassign(job, id, *task, Settlement::ByWorker, now);
    acknowledgeEnd(job, incarnation, end.Number);
    return;
  }
  if (isLatest || isLateSuccess(job, id, end))
    handleRunEnd(job, id, *task, end, incarnation, now);
  else
    recordFailedRun(job, id, end.Run);
  checkJobEnd(job, now);
  job.Dirty = true;
  acknowledgeEnd(job, incarnation, end.Number);
}

// Acknowledges the end of a run once all its consequences are in the store,
// because the worker forgets acknowledged ends. If the task was already done by
// the end of another run, that end may not be recorded yet either.
void JobScheduler::acknowledgeEnd(Job &job,
                                  const WorkerIncarnation &incarnation,
                                  int64_t number) {
  const int64_t version = job.Dirty ? job.Version + 1 : job.Version;
  if (version <= job.WrittenVersion)
    Workers.markEndRecorded(incarnation, number);
  else
    job.PendingEndAcks.push_back({version, incarnation, number});
}

// Marks the task as not running on any worker, with no order pending.
void JobScheduler::unassign(Job &job, const TaskId &id, Task &task,
                            Settlement settlement, absl::Time now) {
  barLateStart(job, id, task, settlement, now);
  Progress.forget({core::taskName(id), task.Progress.Run});
  task.Progress.Worker = {};
  task.Progress.Agent.clear();
  task.Phase = Phase::Idle;
  task.IdleSince = now;
  task.StopRequested = false;
  task.StartRefused = false;
  job.Dirty = true;
}

RunId JobScheduler::judgedRun(const Job &job, const TaskId &id, int64_t run) {
  return {job.specOf(id).Gang ? stepName(id) : core::taskName(id), run};
}

void JobScheduler::handleRunEnd(Job &job, const TaskId &id, Task &task,
                                const endpoints::EndedTask &end,
                                const WorkerIncarnation &incarnation,
                                absl::Time now) {
  const core::StepSpec &spec = job.specOf(id);
  const bool isLatest =
      task.Progress.Worker == incarnation && task.Progress.Run == end.Run;
  if (end.How == RunEnd::Done && isLatest)
    learnTaskDuration(job, id, task, now);
  // An earlier run that was presumed absent may turn out to have completed the
  // task. In that case the current run is stopped.
  if (isLatest)
    unassign(job, id, task, Settlement::ByWorker, now);
  else
    requestStop(id, task, DoneEarlier);
  if (!end.Saved.empty())
    task.Progress.Saved = end.Saved;
  if (end.How == RunEnd::Done)
    recordSuccessOn(incarnation, job, id, task, now);
  if (end.How == RunEnd::Failed) {
    task.FailedOn.insert(incarnation);
    recordFailureOn(incarnation, job, id, task.Progress.Run, now);
    recordFailedRun(job, id, task.Progress.Run);
  }
  if (spec.Gang)
    handleGangMemberEnd(job, id, end.Run, end.How);
  else if (end.How == RunEnd::Done && !spec.LongRunning)
    task.Progress.Done = true;
}

bool JobScheduler::isLateSuccess(const Job &job, const TaskId &id,
                                 const endpoints::EndedTask &end) {
  return end.How == RunEnd::Done && !job.specOf(id).LongRunning;
}

// An earlier version recorded how many runs had failed and not which ones. The
// end may be that of one of them, listed again.
bool JobScheduler::isLateFailure(const Job &job, const TaskId &id,
                                 const Task &task,
                                 const endpoints::EndedTask &end) {
  const TaskProgress &progress = task.Progress;
  return end.How == RunEnd::Failed && !job.specOf(id).LongRunning &&
         progress.FailedRuns.size() == static_cast<size_t>(progress.Failed) &&
         !hasFailed(progress, end.Run);
}

void JobScheduler::recordFailedRun(Job &job, const TaskId &id, int64_t run) {
  const core::StepSpec &spec = job.specOf(id);
  Step &step = job.stepOf(id);
  if (!spec.Gang) {
    countFailedRun(spec, step[static_cast<size_t>(id.Index)].Progress, run);
    return;
  }
  for (size_t i = 0; i < step.size(); ++i)
    if (step.find(i) != nullptr || !step.isDone(i))
      countFailedRun(spec, step[i].Progress, run);
}

// If one member is done, all are, unless they are to run on; with any other end
// the run is over for all of them. Members of a run that is done end by
// themselves; a later run has to be stopped.
void JobScheduler::handleGangMemberEnd(Job &job, const TaskId &id, int64_t run,
                                       RunEnd how) {
  std::vector<Step> &steps = ensureOccurrence(job, id.Occurrence);
  Step &step = steps[static_cast<size_t>(id.Step)];
  const int64_t latest = step[static_cast<size_t>(id.Index)].Progress.Run;
  const bool isDone = how == RunEnd::Done && !job.specOf(id).LongRunning;
  for (auto &[index, member] : step.objects()) {
    if (member.Progress.Run != latest)
      continue;
    member.Progress.Done |= isDone;
    const TaskId memberId{id.Job, id.Occurrence, id.Step,
                          static_cast<int>(index)};
    if (run < latest)
      requestStop(memberId, member, DoneEarlier);
    else if (!member.Progress.Done)
      requestStop(memberId, member, "another member of its gang ended");
  }
}

// Handles a run that certainly is not running and cannot start any more, and
// whose end is not known: releases its resources and unassigns the task, which
// can then be started again. For a gang, the run is over for all members.
void JobScheduler::handleAbsentRun(Job &job, const TaskId &id, Task &task,
                                   const std::string &why, absl::Time now,
                                   Settlement settlement) {
  if (std::exchange(task.CountCrashIfAbsent, false))
    recordCrash(job, id, task);
  logDecision(Decision::Kind::RunResolved, id.Job, core::taskName(id),
              task.Progress.Run, task.Progress.Worker.Id, why);
  Workers.release(task.Progress.Worker,
                  {core::taskName(id), task.Progress.Run});
  PassNeeded = true;
  unassign(job, id, task, settlement, now);
  if (job.specOf(id).Gang)
    handleGangMemberEnd(job, id, task.Progress.Run, RunEnd::Broken);
}

} // namespace oriolebay::jobs
