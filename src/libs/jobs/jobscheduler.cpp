#include "jobscheduler.h"

#include "planner.h"
#include "runjudge.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace oriolebay::jobs {

using core::TaskId;
using endpoints::OrderOutcome;
using endpoints::RunEnd;

JobScheduler::JobScheduler(SchedulerPolicy policy, int64_t epoch,
                           absl::Time electedAt)
    : Policy(std::move(policy)), Epoch(epoch), ElectedAt(electedAt),
      UnheardLostAt(electedAt + Policy.UnheardLostAfter), Workers(Policy.Fleet),
      Progress(Policy.Progress), Estimates(Policy.Progress) {}

JobScheduler::~JobScheduler() = default;

void JobScheduler::note(Decision::Kind kind, const std::string &job,
                        const std::string &task, int64_t run,
                        const std::string &worker, const std::string &why,
                        std::vector<Input> inputs) {
  Decisions.push_back({kind, job, task, run, worker, why, std::move(inputs)});
}

int64_t JobScheduler::heardMsAgo(const std::string &life,
                                 absl::Time now) const {
  const WorkerView *worker = Workers.find(life);
  return worker == nullptr ? -1
                           : absl::ToInt64Milliseconds(now - worker->LastHeard);
}

JobScheduler::Task *JobScheduler::findTask(const TaskId &id) {
  auto job = Jobs.find(id.Job);
  if (job == Jobs.end())
    return nullptr;
  auto it = job->second.Occurrences.find(id.Occurrence);
  if (it == job->second.Occurrences.end())
    return nullptr;
  std::vector<Step> &steps = it->second;
  if (id.Step < 0 || static_cast<size_t>(id.Step) >= steps.size())
    return nullptr;
  Step &step = steps[static_cast<size_t>(id.Step)];
  if (id.Index < 0 || static_cast<size_t>(id.Index) >= step.size())
    return nullptr;
  return &step[static_cast<size_t>(id.Index)];
}

std::vector<JobScheduler::Step> &JobScheduler::occurrence(Job &job,
                                                          int number) {
  std::vector<Step> &steps = job.Occurrences[number];
  if (steps.empty())
    for (const core::StepSpec &spec : job.Record.Spec.Steps)
      steps.emplace_back(static_cast<size_t>(spec.Count));
  return steps;
}

int JobScheduler::dueOccurrences(const Job &job) const {
  const core::JobSpec &spec = job.Record.Spec;
  if (spec.Repeats == 0)
    return 1;
  const int64_t elapsed = Policy.WallMs() - spec.FirstDueMs;
  if (elapsed < 0)
    return 0;
  if (spec.IntervalMs <= 0)
    return spec.Repeats;
  return static_cast<int>(
      std::min<int64_t>(spec.Repeats, elapsed / spec.IntervalMs + 1));
}

bool JobScheduler::stepDone(const Step &step) {
  return std::all_of(step.begin(), step.end(),
                     [](const Task &t) { return t.Progress.Done; });
}

bool JobScheduler::stepReady(const Job &job, const std::vector<Step> &steps,
                             size_t step) {
  const auto &after = job.Record.Spec.Steps[step].After;
  return std::all_of(after.begin(), after.end(), [&](int s) {
    return stepDone(steps[static_cast<size_t>(s)]);
  });
}

void JobScheduler::onConfig(std::shared_ptr<const core::SiteConfig> config) {
  Config = std::move(config);
  Changed = true;
}

void JobScheduler::onRecord(const JobRecord &record, int64_t revision,
                            absl::Time now) {
  auto [it, added] = Jobs.try_emplace(record.Spec.Id);
  Job &job = it->second;
  if (revision <= job.RecordRevision)
    return;
  if (added)
    job.Arrived = now;
  job.Record = record;
  job.RecordRevision = revision;
  Changed = true;
  if (record.Cancelled && !job.over())
    endJob(job, JobState::Cancelled, now);
}

void JobScheduler::onProgress(const std::string &jobId,
                              const JobProgress &progress, int64_t revision,
                              absl::Time now) {
  auto it = Jobs.find(jobId);
  if (it == Jobs.end())
    return;
  Job &job = it->second;
  job.ProgressRevision = revision;
  job.Version = progress.Version;
  job.WrittenVersion = progress.Version;
  job.State = progress.State;
  job.WrittenState = progress.State;
  for (const auto &[number, steps] : progress.Tasks) {
    std::vector<Step> &mine = occurrence(job, number);
    for (size_t s = 0; s < std::min(steps.size(), mine.size()); ++s)
      for (size_t i = 0; i < std::min(steps[s].size(), mine[s].size()); ++i) {
        mine[s][i].Progress = steps[s][i];
        // Whether the run was ever ordered is not known; the worker's list
        // tells.
        if (mine[s][i].mayRun()) {
          mine[s][i].What = Phase::Adopted;
          Unheard[steps[s][i].Worker] = steps[s][i].Agent;
        }
      }
  }
  if (job.over())
    job.FinishedAt = now;
  else if (job.Record.Cancelled)
    endJob(job, JobState::Cancelled, now);
}

void JobScheduler::onRecordRemoved(const std::string &jobId) {
  Jobs.erase(jobId);
}

int64_t JobScheduler::onReport(const endpoints::WorkerReport &report,
                               absl::Time now) {
  const std::string &life = report.Worker.Life;
  const WorkerView *before = Workers.find(life);
  // Reports overtake each other: an older one would undo what a newer told.
  if (before != nullptr && report.Sequence <= before->Sequence)
    return before->SeenUpto;
  for (const std::string &ended : Workers.heard(report, now))
    loseLife(ended, "its worker has ended", now);
  endUnheard(report, now);
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
  Changed = true;
  return worker->SeenUpto;
}

// A life that an earlier leader recorded at this agent is over when another
// one stands there.
void JobScheduler::endUnheard(const endpoints::WorkerReport &report,
                              absl::Time now) {
  std::vector<std::string> ended;
  for (const auto &[life, agent] : Unheard)
    if (agent == report.Agent && saysEnded(report, life))
      ended.push_back(life);
  for (const std::string &life : ended) {
    Unheard.erase(life);
    loseLife(life, "a new life of its worker reports", now);
  }
}

// Runs that records name here take room from the first report on.
void JobScheduler::takeLife(const std::string &life) {
  Unheard.erase(life);
  for (auto &entry : Jobs) {
    Job &job = entry.second;
    forEachTask(job, [&](const TaskId &task, Task &state) {
      if (state.Progress.Worker == life)
        Workers.occupy(
            life, {core::taskName(task), state.Progress.Run},
            job.Record.Spec.Steps[static_cast<size_t>(task.Step)].room());
    });
  }
  note(Decision::Kind::WorkerJoined, "", "", 0, life);
}

void JobScheduler::loseLife(const std::string &life, const std::string &why,
                            absl::Time now) {
  note(Decision::Kind::WorkerLost, "", "", 0, life, why,
       {{"elected_ms_ago", absl::ToInt64Milliseconds(now - ElectedAt)}});
  for (auto &entry : Jobs) {
    Job &job = entry.second;
    bool any = false;
    forEachTask(job, [&](const TaskId &task, Task &state) {
      if (state.Progress.Worker != life)
        return;
      any = true;
      runAbsent(job, task, state, why, now);
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
           report.Worker.Life, "no record of this run");
      continue;
    }
    if (!running.Saved.empty())
      task->Progress.Saved = running.Saved;
    task->Percent = running.Percent;
    if (report.Reachable) {
      task->PercentAt = now;
      watch(id, *task, now);
    }
    if (task->What != Phase::Running) {
      if (task->Began == absl::InfinitePast()) {
        task->Began = now;
        task->SawBegin = task->What == Phase::Ordered;
      }
      task->What = Phase::Running;
    }
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
      const RunId run{core::taskName(task), state.Progress.Run};
      if (state.What != Phase::Adopted ||
          state.Progress.Worker != report.Worker.Life || listed.count(run) != 0)
        return;
      any = true;
      runAbsent(job, task, state, "its worker does not know it", now);
    });
    if (any)
      judgeJob(job, now);
  }
}

void JobScheduler::takeEnd(const std::string &life,
                           const endpoints::EndedTask &end, absl::Time now) {
  if (!Workers.endListed(life, end.Number))
    return;
  Workers.vacate(life, {end.Task, end.Run});
  TaskId id;
  Task *task = core::parseTaskName(end.Task, id) ? findTask(id) : nullptr;
  const bool counts =
      task != nullptr && !task->Progress.Done &&
      end.Run <= task->Progress.Run &&
      ((task->Progress.Worker == life && task->Progress.Run == end.Run) ||
       end.How == RunEnd::Done);
  note(Decision::Kind::Ended, id.Job, end.Task, end.Run, life,
       endpoints::runEndName(end.How),
       {{"number", end.Number},
        {"counts", counts ? 1 : 0},
        {"failed_before", task == nullptr ? 0 : task->Progress.Failed},
        {"attempts", task == nullptr ? 0 : Jobs.at(id.Job).Record.Attempts}});
  if (task == nullptr) {
    Workers.endRecorded(life, end.Number);
    return;
  }
  if (!counts) {
    Job &job = Jobs.at(id.Job);
    if (task->Progress.Worker == life && task->Progress.Run == end.Run)
      leaveWorker(job, id, *task);
    acknowledge(job, life, end.Number);
    return;
  }
  Job &job = Jobs.at(id.Job);
  runEnded(job, id, *task, end.How, end.Saved, life, now);
  judgeJob(job, now);
  job.Dirty = true;
  acknowledge(job, life, end.Number);
}

// The worker forgets an end that was acknowledged, so all that followed from
// it has to be in the store first. That a task is done counts too when it is
// not this end that made it so: the other one may not be recorded yet.
void JobScheduler::acknowledge(Job &job, const std::string &life,
                               int64_t number) {
  const int64_t version = job.Dirty ? job.Version + 1 : job.Version;
  if (version <= job.WrittenVersion)
    Workers.endRecorded(life, number);
  else
    job.EndAcks.push_back({version, life, number});
}

// The end of a member whose gang was done already: only its room is news.
void JobScheduler::leaveWorker(Job &job, const TaskId &id, Task &task) {
  Progress.forget({core::taskName(id), task.Progress.Run});
  task.Progress.Worker.clear();
  task.Progress.Agent.clear();
  task.What = Phase::Idle;
  task.StopAsked = false;
  job.Dirty = true;
}

// What a run took teaches how far estimates are off, unless it resumed or this
// leader did not see it begin.
void JobScheduler::learnTime(const Job &job, const TaskId &id, Task &task,
                             absl::Time now) {
  const core::StepSpec &spec =
      job.Record.Spec.Steps[static_cast<size_t>(id.Step)];
  if (task.Began == absl::InfinitePast() || !task.SawBegin ||
      !task.Progress.Saved.empty() || spec.LongRunning)
    return;
  task.Took = now - task.Began;
  if (!isAway(job, id, task))
    Estimates.ended(job.Record.Spec.Queue, absl::Milliseconds(spec.EstimateMs),
                    task.Took);
}

void JobScheduler::runEnded(Job &job, const TaskId &id, Task &task, RunEnd how,
                            const std::string &saved, const std::string &life,
                            absl::Time now) {
  const core::StepSpec &spec =
      job.Record.Spec.Steps[static_cast<size_t>(id.Step)];
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
         task.Progress.Run, life, "failed runs in a row");
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
                             const std::string &why, absl::Time /*now*/) {
  note(Decision::Kind::Settled, id.Job, core::taskName(id), task.Progress.Run,
       task.Progress.Worker, why);
  const RunId run{core::taskName(id), task.Progress.Run};
  Progress.forget(run);
  Workers.vacate(task.Progress.Worker, run);
  task.Progress.Worker.clear();
  task.Progress.Agent.clear();
  task.What = Phase::Idle;
  task.StopAsked = false;
  job.Dirty = true;
  if (job.Record.Spec.Steps[static_cast<size_t>(id.Step)].Gang)
    gangEnded(job, id, RunEnd::Broken);
}

void JobScheduler::requestStop(const TaskId &id, Task &task,
                               const std::string &why) {
  if (task.StopAsked || !task.mayRun())
    return;
  task.StopAsked = true;
  note(Decision::Kind::Stopping, id.Job, core::taskName(id), task.Progress.Run,
       task.Progress.Worker, why);
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

void JobScheduler::takeResult(const std::string &life,
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
      note(Decision::Kind::Started, id.Job, result.Task, result.Run, life);
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
      note(Decision::Kind::WorkerKeptOut, id.Job, result.Task, result.Run, life,
           "refuses starts");
    task->FailedOn.insert(life);
    break;
  case OrderOutcome::Refused:
  case OrderOutcome::NoRoom:
  case OrderOutcome::Gone:
  case OrderOutcome::Absent:
    break;
  }
  // A run that was seen running and then "absent" has an end in the list.
  if (task->What == Phase::Running && result.Outcome != OrderOutcome::Gone)
    return;
  note(Decision::Kind::StartRefused, id.Job, result.Task, result.Run, life,
       result.Detail);
  runAbsent(job, id, *task, result.Detail, now);
  judgeJob(job, now);
}

void JobScheduler::judgeJob(Job &job, absl::Time now) {
  if (job.over())
    return;
  bool failed = false;
  bool allDone = true;
  for (const auto &[number, steps] : job.Occurrences)
    for (size_t s = 0; s < steps.size(); ++s) {
      const bool lasts = job.Record.Spec.Steps[s].LongRunning;
      for (const Task &t : steps[s]) {
        failed |= !lasts && t.Progress.Failed >= job.Record.Attempts;
        allDone &= t.Progress.Done;
      }
    }
  if (failed)
    endJob(job, JobState::Failed, now);
  else if (allDone && static_cast<int>(job.Occurrences.size()) ==
                          job.Record.Spec.occurrences())
    endJob(job, JobState::Completed, now);
}

void JobScheduler::endJob(Job &job, JobState state, absl::Time now) {
  job.State = state;
  job.FinishedAt = now;
  job.Dirty = true;
  note(Decision::Kind::JobEnded, job.Record.Spec.Id, "", 0, "",
       jobStateName(state),
       {{"priority", job.Record.Priority},
        {"took_ms", absl::ToInt64Milliseconds(now - job.Arrived)}});
  forEachTask(job, [&](const TaskId &id, Task &task) {
    if (!task.Progress.Done)
      requestStop(id, task, absl::StrCat("job ", jobStateName(state)));
  });
}

std::vector<ProgressWrite> JobScheduler::takeWrites() {
  std::vector<ProgressWrite> writes;
  for (auto &[id, job] : Jobs) {
    if (!job.Dirty || job.Writing)
      continue;
    job.Dirty = false;
    job.Writing = true;
    ++job.Version;
    JobProgress progress;
    progress.Version = job.Version;
    progress.State = job.State;
    for (const auto &[number, steps] : job.Occurrences) {
      auto &out = progress.Tasks[number];
      for (const Step &step : steps) {
        auto &tasks = out.emplace_back();
        for (const Task &t : step)
          tasks.push_back(t.Progress);
      }
    }
    writes.push_back({id, job.RecordRevision, job.ProgressRevision, job.Version,
                      encode(progress)});
  }
  return writes;
}

void JobScheduler::onWritten(const std::string &jobId, int64_t version,
                             int64_t revision, absl::Time now) {
  auto it = Jobs.find(jobId);
  if (it == Jobs.end())
    return;
  Job &job = it->second;
  job.Writing = false;
  job.ProgressRevision = revision;
  job.WrittenVersion = version;
  forEachTask(job, [&](const TaskId &id, Task &task) {
    if (task.What == Phase::Recording && task.StartVersion <= version)
      order(job, id, task, now);
  });
  std::vector<Job::EndAck> later;
  for (const Job::EndAck &ack : job.EndAcks)
    if (ack.Version <= version)
      Workers.endRecorded(ack.Life, ack.Number);
    else
      later.push_back(ack);
  job.EndAcks = std::move(later);
  Changed = true;
}

void JobScheduler::onNotWritten(const std::string &jobId) {
  auto it = Jobs.find(jobId);
  if (it == Jobs.end())
    return;
  it->second.Writing = false;
  it->second.Dirty = true;
}

// The start is recorded: it is ordered, unless the job ended or the worker
// was lost meanwhile. Then it certainly never ran.
void JobScheduler::order(Job &job, const TaskId &id, Task &task,
                         absl::Time now) {
  const WorkerView *worker = Workers.find(task.Progress.Worker);
  if (worker == nullptr || worker->State.Draining || task.StopAsked) {
    runAbsent(job, id, task, "not ordered: no longer wanted there", now);
    return;
  }
  task.What = Phase::Ordered;
  task.LastOrder = now;
  task.Began = absl::InfinitePast();
  endpoints::WorkerOrders &orders = Orders[worker->AgentAddress];
  orders.Life = task.Progress.Worker;
  endpoints::StartOrder start{core::taskName(id), task.Progress.Run,
                              job.Record.Spec.Payload, task.Progress.Saved, ""};
  orders.Starts.push_back(std::move(start));
}

void JobScheduler::orderStop(const TaskId &id, Task &task, absl::Time now) {
  const WorkerView *worker = Workers.find(task.Progress.Worker);
  if (worker == nullptr)
    return;
  task.LastOrder = now;
  endpoints::WorkerOrders &orders = Orders[worker->AgentAddress];
  orders.Life = task.Progress.Worker;
  orders.Stops.push_back({core::taskName(id), task.Progress.Run});
}

void JobScheduler::start(Job &job, const TaskId &id, const std::string &life,
                         const std::string &saved, int64_t run, int rank,
                         absl::Time now) {
  Task &task = *findTask(id);
  task.Progress.Run = run;
  task.Progress.Worker = life;
  task.Progress.Agent = Workers.find(life)->Agent;
  task.Progress.Saved = saved;
  task.What = Phase::Recording;
  task.StartVersion = job.Version + 1;
  task.StopAsked = false;
  task.Percent = 0;
  task.SawBegin = false;
  if (job.State == JobState::Queued)
    job.State = JobState::Running;
  job.Dirty = true;
  Workers.occupy(life, {core::taskName(id), run},
                 job.Record.Spec.Steps[static_cast<size_t>(id.Step)].room());
  note(Decision::Kind::Placed, id.Job, core::taskName(id), run, life, "",
       {{"rank", rank},
        {"waited_ms", absl::ToInt64Milliseconds(now - job.Arrived)},
        {"worker_heard_ms_ago", heardMsAgo(life, now)},
        {"accelerators_left", Workers.find(life)->room().Accelerators},
        {"config_version", Config->Version}});
}

void JobScheduler::watch(const TaskId &id, const Task &task, absl::Time now) {
  const core::StepSpec &spec =
      Jobs.at(id.Job).Record.Spec.Steps[static_cast<size_t>(id.Step)];
  if (!spec.LongRunning)
    Progress.seen({core::taskName(id), task.Progress.Run}, task.Progress.Worker,
                  task.Percent, absl::Milliseconds(spec.EstimateMs),
                  !task.Progress.Saved.empty(), now);
}

// A run away from its data, or a gang over several racks, is slow by nature.
bool JobScheduler::isAway(const Job &job, const TaskId &id,
                          const Task &task) const {
  const core::StepSpec &spec =
      job.Record.Spec.Steps[static_cast<size_t>(id.Step)];
  const WorkerView *worker = Workers.find(task.Progress.Worker);
  if (worker == nullptr)
    return true;
  if (!spec.DataRack.empty() && worker->State.Rack != spec.DataRack)
    return true;
  if (!spec.SameRack)
    return false;
  const Step &step =
      job.Occurrences.at(id.Occurrence)[static_cast<size_t>(id.Step)];
  return std::any_of(step.begin(), step.end(), [&](const Task &t) {
    const WorkerView *other = Workers.find(t.Progress.Worker);
    return other != nullptr && other->State.Rack != worker->State.Rack;
  });
}

void JobScheduler::onPredecessorsGone(absl::Time gone) {
  UnheardLostAt = std::min(UnheardLostAt, gone + Policy.Fleet.LostAfter);
}

void JobScheduler::tick(absl::Time now) {
  RunJudge(*this, now).judge();
  for (const std::string &life : Workers.takeLost(now))
    loseLife(life, "silent until its tasks had certainly ended", now);
  if (!Unheard.empty() && now >= UnheardLostAt) {
    const auto lives = std::exchange(Unheard, {});
    for (const auto &[life, agent] : lives)
      loseLife(life, "never reported to this leader", now);
  }
  for (auto &entry : Jobs) {
    Job &job = entry.second;
    if (!job.over() &&
        dueOccurrences(job) > static_cast<int>(job.Occurrences.size()))
      Changed = true;
    forEachTask(job, [&](const TaskId &task, Task &state) {
      if (!state.mayRun() || state.What == Phase::Recording)
        return;
      if (now - state.LastOrder < Policy.ResendAfter)
        return;
      if (state.StopAsked)
        orderStop(task, state, now);
      else if (state.What == Phase::Ordered)
        order(job, task, state, now);
    });
  }
}

void JobScheduler::decide(absl::Time now) {
  if (!Changed || Config == nullptr)
    return;
  Changed = false;
  Planner(*this, now).run();
}

std::map<std::string, endpoints::WorkerOrders> JobScheduler::takeOrders() {
  for (auto &[address, orders] : Orders)
    orders.Epoch = Epoch;
  return std::exchange(Orders, {});
}

std::vector<Decision> JobScheduler::takeDecisions() {
  return std::exchange(Decisions, {});
}

std::vector<std::string> JobScheduler::takeExpired(absl::Time now) {
  std::vector<std::string> expired;
  for (auto &[id, job] : Jobs) {
    bool settled = isFinal(job.State) && !job.Dirty && !job.Writing &&
                   now - job.FinishedAt > Policy.KeepFinished;
    forEachTask(job, [&](const TaskId &, Task &task) {
      settled = settled && !task.mayRun();
    });
    if (settled)
      expired.push_back(id);
  }
  return expired;
}

size_t JobScheduler::activeJobs() const {
  return static_cast<size_t>(
      std::count_if(Jobs.begin(), Jobs.end(),
                    [](const auto &j) { return !j.second.over(); }));
}

std::optional<JobProgress>
JobScheduler::progress(const std::string &jobId) const {
  auto it = Jobs.find(jobId);
  if (it == Jobs.end())
    return std::nullopt;
  JobProgress progress{it->second.Version, it->second.State, {}};
  for (const auto &[number, steps] : it->second.Occurrences)
    for (const Step &step : steps) {
      auto &tasks = progress.Tasks[number].emplace_back();
      for (const Task &t : step)
        tasks.push_back(t.Progress);
    }
  return progress;
}

} // namespace oriolebay::jobs
