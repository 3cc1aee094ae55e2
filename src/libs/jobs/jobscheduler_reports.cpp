// What workers report: what runs there, what has ended, what became of orders,
// and lives that are over.
#include "jobscheduler.h"

#include <algorithm>

namespace oriolebay::jobs {

using core::TaskId;
using endpoints::OrderOutcome;
using endpoints::RunEnd;

namespace {

/// From which percent on a run is compared with its like.
constexpr int ComparedFromPercent = 25;

} // namespace

int64_t JobScheduler::onReport(const endpoints::WorkerReport &report,
                               absl::Time now) {
  const WorkerLife &life = report.Worker.Life;
  const WorkerView *before = Workers.find(life);
  const bool wasUsable = before != nullptr && Workers.usable(*before, now);
  const core::Resources capacityBefore =
      before == nullptr ? core::Resources() : before->State.Capacity;
  // Reports overtake each other: an older one would undo what a newer told.
  if (before != nullptr && report.Sequence <= before->Sequence)
    return before->SeenUpto;
  if (Workers.isOvertaken(report))
    return 0;
  for (const endpoints::LifeEnd &end : Workers.heard(report, now)) {
    if (end.Crashed)
      Crashes[report.Agent] = now;
    loseLife(end, "its worker has ended", &life, now);
  }
  endUnheard(report, now);
  Speeds.recall(report.Agent, report.Speed);
  if (life.empty())
    return 0;
  if (before == nullptr)
    takeLife(life);
  for (const endpoints::EndedTask &end : report.Ended)
    takeEnd(life, end, now);
  takeRunning(report, now);
  WorkerView *worker = Workers.find(life);
  if (!worker->Fenced && report.Epoch >= Epoch) {
    worker->Fenced = true;
    settleUnlisted(report, now);
  }
  for (const endpoints::OrderResult &result : report.Results)
    takeResult(life, result, now);
  // Most reports only tell how far runs are. Deciding anew after each of them
  // took all of the leader's time on a site of hundreds of workers.
  Changed |= wasUsable != Workers.usable(*worker, now) ||
             capacityBefore != worker->State.Capacity;
  return worker->SeenUpto;
}

// A life that an earlier leader recorded at this agent is over when another
// one stands there.
void JobScheduler::endUnheard(const endpoints::WorkerReport &report,
                              absl::Time now) {
  std::vector<endpoints::LifeEnd> ended;
  for (const auto &[life, unheard] : Unheard)
    if (unheard.Agent == report.Agent)
      if (const auto end = endOf(report, life))
        ended.push_back(*end);
  for (const endpoints::LifeEnd &end : ended) {
    Unheard.erase(end.Life);
    loseLife(end, "its worker has ended", &report.Worker.Life, now);
  }
}

// Runs that records name here take room from the first report on.
void JobScheduler::takeLife(const WorkerLife &life) {
  Unheard.erase(life);
  for (auto &entry : Jobs) {
    Job &job = entry.second;
    forEachTask(job, [&](const TaskId &task, Task &state) {
      if (state.Progress.Worker == life)
        Workers.occupy(life, {core::taskName(task), state.Progress.Run},
                       job.specOf(task).room());
    });
  }
  note(Decision::Kind::WorkerJoined, "", "", 0, life.Id);
}

void JobScheduler::loseLife(const endpoints::LifeEnd &end,
                            const std::string &why, const WorkerLife *next,
                            absl::Time now) {
  const WorkerLife &life = end.Life;
  note(Decision::Kind::WorkerLost, "", "", 0, life.Id, why,
       {{"elected_ms_ago", absl::ToInt64Milliseconds(now - ElectedAt)},
        {"crashed", end.Crashed ? 1 : 0}});
  const std::set<RunId> suspects(end.JustBegun.begin(), end.JustBegun.end());
  for (auto &entry : Jobs) {
    Job &job = entry.second;
    bool any = false;
    forEachTask(job, [&](const TaskId &task, Task &state) {
      if (state.Progress.Worker != life)
        return;
      any = true;
      state.CrashedUnlessThere |=
          suspects.count({core::taskName(task), state.Progress.Run}) != 0;
      if (mayStillBegin(task, state, end, next, now))
        settleAtNextLife(job, task, state, *next, now);
      else
        runAbsent(job, task, state, why);
    });
    if (any)
      judgeJob(job, now);
  }
  Changed = true;
}

void JobScheduler::takeRunning(const endpoints::WorkerReport &report,
                               absl::Time now) {
  for (const endpoints::RunningTask &running : report.Running) {
    TaskId id;
    Task *task = core::parseTaskName(running.Task, id) ? findTask(id) : nullptr;
    if (task == nullptr || task->Progress.Run != running.Run ||
        task->Progress.Worker != report.Worker.Life) {
      // Nobody recorded this run, or its job is gone: it must not go on.
      endpoints::WorkerOrders &orders = Orders[report.AgentAddress];
      orders.Life = report.Worker.Life;
      orders.Stops.push_back({running.Task, running.Run});
      note(Decision::Kind::Stopping, id.Job, running.Task, running.Run,
           report.Worker.Life.Id, "no record of this run");
      continue;
    }
    if (!running.Saved.empty())
      task->Progress.Saved = running.Saved;
    task->Percent = running.Percent;
    task->Listed = true;
    task->CrashedUnlessThere = false;
    if (report.Reachable) {
      task->PercentAt = now - absl::Milliseconds(report.ListedMsAgo);
      watch(id, *task, task->PercentAt);
      compareBySoFar(id, *task);
    }
    if (task->What != Phase::Running) {
      if (task->Began == absl::InfinitePast()) {
        task->Began = now;
        task->SawBegin = task->What == Phase::Ordered;
        note(Decision::Kind::Started, id.Job, running.Task, running.Run,
             report.Worker.Life.Id);
      }
      task->What = Phase::Running;
    }
    clearOutlived(Jobs.at(id.Job), id, *task);
  }
}

// The worker had seen this leader's fencing token when it listed its tasks: a
// run of an earlier leader that is in neither list can no longer begin.
void JobScheduler::settleUnlisted(const endpoints::WorkerReport &report,
                                  absl::Time now) {
  std::set<RunId> listed;
  for (const endpoints::RunningTask &r : report.Running)
    listed.insert({r.Task, r.Run});
  for (auto &entry : Jobs) {
    Job &job = entry.second;
    bool any = false;
    forEachTask(job, [&](const TaskId &task, Task &state) {
      if (state.What != Phase::Adopted ||
          state.Progress.Worker != report.Worker.Life ||
          listed.count({core::taskName(task), state.Progress.Run}) != 0)
        return;
      any = true;
      runAbsent(job, task, state, "its worker does not know it");
    });
    if (any)
      judgeJob(job, now);
  }
}

void JobScheduler::takeEnd(const WorkerLife &life,
                           const endpoints::EndedTask &end, absl::Time now) {
  if (!Workers.endListed(life, end.Number))
    return;
  Workers.vacate(life, {end.Task, end.Run});
  Changed = true;
  TaskId id;
  Task *task = core::parseTaskName(end.Task, id) ? findTask(id) : nullptr;
  const bool latest = task != nullptr && task->Progress.Worker == life &&
                      task->Progress.Run == end.Run;
  const bool counts = task != nullptr && !task->Progress.Done &&
                      end.Run <= task->Progress.Run &&
                      (latest || end.How == RunEnd::Done);
  note(Decision::Kind::Ended, id.Job, end.Task, end.Run, life.Id,
       endpoints::runEndName(end.How),
       {{"number", end.Number},
        {"counts", counts ? 1 : 0},
        {"failed_before", task == nullptr ? 0 : task->Progress.Failed},
        {"attempts", task == nullptr ? 0 : Jobs.at(id.Job).Record.Attempts}});
  if (task == nullptr) {
    Workers.endRecorded(life, end.Number);
    return;
  }
  Job &job = Jobs.at(id.Job);
  if (!counts) {
    if (latest)
      leaveWorker(job, id, *task);
    acknowledge(job, life, end.Number);
    return;
  }
  runEnded(job, id, *task, end.How, end.Saved, life, now);
  judgeJob(job, now);
  job.Dirty = true;
  acknowledge(job, life, end.Number);
}

// The worker forgets an end that was acknowledged, so all that followed from
// it has to be in the store first. That a task is done counts too when it is
// not this end that made it so: the other one may not be recorded yet.
void JobScheduler::acknowledge(Job &job, const WorkerLife &life,
                               int64_t number) {
  const int64_t version = job.Dirty ? job.Version + 1 : job.Version;
  if (version <= job.WrittenVersion)
    Workers.endRecorded(life, number);
  else
    job.EndAcks.push_back({version, life, number});
}

// Nothing of the task runs any more, and nothing is ordered.
void JobScheduler::leaveWorker(Job &job, const TaskId &id, Task &task) {
  Progress.forget({core::taskName(id), task.Progress.Run});
  task.Progress.Worker = {};
  task.Progress.Agent.clear();
  task.What = Phase::Idle;
  task.StopAsked = false;
  job.Dirty = true;
}

// What a run took teaches how far estimates are off, unless it resumed or this
// leader did not see it begin.
void JobScheduler::learnTime(const Job &job, const TaskId &id, Task &task,
                             absl::Time now) {
  const core::StepSpec &spec = job.specOf(id);
  if (task.Began == absl::InfinitePast() || !task.SawBegin ||
      !task.Progress.Saved.empty() || spec.LongRunning)
    return;
  task.Took = now - task.Began;
  if (isAway(job, id, task))
    return;
  compareSpeed(job, id, task, task.Took);
  Estimates.ended(job.Record.Spec.Queue, absl::Milliseconds(spec.EstimateMs),
                  task.Took / slownessOf(task.Progress.Worker));
}

// A run tells its worker's speed long before it ends: at a quarter of its work
// the percent, which comes in whole numbers, is good to a twenty-fifth.
void JobScheduler::compareBySoFar(const TaskId &id, Task &task) {
  if (task.Percent < ComparedFromPercent || task.Percent >= 100 ||
      !task.SawBegin || !task.Progress.Saved.empty())
    return;
  const Job &job = Jobs.at(id.Job);
  if (job.specOf(id).LongRunning || isAway(job, id, task))
    return;
  compareSpeed(job, id, task,
               (task.PercentAt - task.Began) * (100 / (task.Percent + 0.5)));
}

// Once a run. Members of a gang wait for each other, however fast their workers
// are, and tell nothing.
void JobScheduler::compareSpeed(const Job &job, const TaskId &id, Task &task,
                                absl::Duration whole) {
  const WorkerView *worker = Workers.find(task.Progress.Worker);
  if (task.Compared || worker == nullptr || job.specOf(id).Gang)
    return;
  task.Compared = true;
  Speeds.took(stepName(id), worker->Agent, whole);
}

void JobScheduler::runEnded(Job &job, const TaskId &id, Task &task, RunEnd how,
                            const std::string &saved, const WorkerLife &life,
                            absl::Time now) {
  const core::StepSpec &spec = job.specOf(id);
  if (how == RunEnd::Done && task.Progress.Worker == life)
    learnTime(job, id, task, now);
  // An earlier run that was thought not to exist may still turn out to have
  // done the work. Then the run of now is stopped.
  if (task.Progress.Worker == life)
    leaveWorker(job, id, task);
  else
    requestStop(id, task, "an earlier run has done the work");
  if (!saved.empty())
    task.Progress.Saved = saved;
  if (how == RunEnd::Failed)
    task.FailedOn.insert(life);
  if ((how == RunEnd::Done || how == RunEnd::Failed) &&
      Workers.recordEnd(life, how == RunEnd::Done, now))
    note(Decision::Kind::WorkerKeptOut, id.Job, core::taskName(id),
         task.Progress.Run, life.Id, "failed runs in a row");
  if (spec.Gang) {
    gangEnded(job, id, how);
    return;
  }
  if (how == RunEnd::Done && !spec.LongRunning)
    task.Progress.Done = true;
  else if (how == RunEnd::Failed)
    ++task.Progress.Failed;
}

// One member's end stands for the gang: done means that all are done, and any
// other end means that the run is over for all.
void JobScheduler::gangEnded(Job &job, const TaskId &id, RunEnd how) {
  std::vector<Step> &steps = occurrence(job, id.Occurrence);
  Step &step = steps[static_cast<size_t>(id.Step)];
  const int64_t run = step[static_cast<size_t>(id.Index)].Progress.Run;
  for (size_t i = 0; i < step.size(); ++i) {
    Task &member = step[i];
    if (member.Progress.Run != run)
      continue;
    if (how == RunEnd::Done)
      member.Progress.Done = true;
    else if (how == RunEnd::Failed)
      ++member.Progress.Failed;
    if (member.mayRun() && !member.Progress.Done)
      requestStop({id.Job, id.Occurrence, id.Step, static_cast<int>(i)}, member,
                  "another member of its gang ended");
  }
}

void JobScheduler::runAbsent(Job &job, const TaskId &id, Task &task,
                             const std::string &why) {
  if (std::exchange(task.CrashedUnlessThere, false))
    takeCrash(job, id, task);
  note(Decision::Kind::Settled, id.Job, core::taskName(id), task.Progress.Run,
       task.Progress.Worker.Id, why);
  Workers.vacate(task.Progress.Worker, {core::taskName(id), task.Progress.Run});
  Changed = true;
  leaveWorker(job, id, task);
  if (job.specOf(id).Gang)
    gangEnded(job, id, RunEnd::Broken);
}

void JobScheduler::requestStop(const TaskId &id, Task &task,
                               const std::string &why) {
  if (task.StopAsked || !task.mayRun())
    return;
  task.StopAsked = true;
  note(Decision::Kind::Stopping, id.Job, core::taskName(id), task.Progress.Run,
       task.Progress.Worker.Id, why);
  // A start that is not recorded yet was not ordered either; it is dropped
  // when its write is confirmed.
  if (task.What != Phase::Recording)
    orderStop(id, task, absl::InfinitePast());
}

void JobScheduler::stopStep(Job &job, int occurrence, int step,
                            const std::string &why) {
  Step &tasks = job.Occurrences.at(occurrence)[static_cast<size_t>(step)];
  for (size_t i = 0; i < tasks.size(); ++i)
    requestStop({job.Record.Spec.Id, occurrence, step, static_cast<int>(i)},
                tasks[i], why);
}

void JobScheduler::takeResult(const WorkerLife &life,
                              const endpoints::OrderResult &result,
                              absl::Time now) {
  TaskId id;
  Task *task = core::parseTaskName(result.Task, id) ? findTask(id) : nullptr;
  if (task == nullptr || task->Progress.Run != result.Run ||
      task->Progress.Worker != life || task->What == Phase::Recording)
    return;
  Job &job = Jobs.at(id.Job);
  switch (result.Outcome) {
  case OrderOutcome::Started:
    if (task->What != Phase::Running) {
      task->What = Phase::Running;
      task->Began = now;
      task->SawBegin = true;
      note(Decision::Kind::Started, id.Job, result.Task, result.Run, life.Id);
    }
    return;
  case OrderOutcome::Unconfirmed:
    requestStop(id, *task, "its start was not confirmed");
    return;
  case OrderOutcome::Fenced:
    // Another leader gave orders; the store will say so too.
    return;
  case OrderOutcome::Busy:
    if (Workers.recordEnd(life, false, now))
      note(Decision::Kind::WorkerKeptOut, id.Job, result.Task, result.Run,
           life.Id, "refuses starts");
    task->FailedOn.insert(life);
    break;
  case OrderOutcome::Refused:
  case OrderOutcome::NoRoom:
  case OrderOutcome::Gone:
  case OrderOutcome::Absent:
    break;
  }
  // A refusal that comes late, or of a repeated order. A run that was seen and
  // is absent, without an end in the list, has certainly ended all the same.
  if (task->What == Phase::Running && result.Outcome != OrderOutcome::Gone &&
      result.Outcome != OrderOutcome::Absent)
    return;
  note(Decision::Kind::StartRefused, id.Job, result.Task, result.Run, life.Id,
       result.Detail);
  runAbsent(job, id, *task, result.Detail);
  judgeJob(job, now);
}

} // namespace oriolebay::jobs
