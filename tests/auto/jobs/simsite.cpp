#include "simsite.h"

#include <algorithm>

namespace oriolebay::jobs {

using core::TaskId;
using endpoints::RunEnd;

namespace {
constexpr double CoresPerAccelerator = 8;

TaskId idOf(const std::string &name) {
  TaskId id;
  core::parseTaskName(name, id);
  return id;
}

double weightOf(const core::Resources &r) {
  return static_cast<double>(r.MilliCores) / 1000 +
         CoresPerAccelerator * static_cast<double>(r.Accelerators);
}
} // namespace

core::JobSpec jobOf(const std::string &id, core::StepSpec step,
                    const std::string &organisation) {
  core::JobSpec spec;
  spec.Id = id;
  spec.Organisation = organisation;
  spec.Queue = "q";
  spec.Payload = "text of " + id;
  spec.Steps.push_back(std::move(step));
  return spec;
}

SimSite::SimSite(SchedulerPolicy policy) : Policy(std::move(policy)) {
  Policy.WallMs = [this] {
    return absl::ToInt64Milliseconds(Now - absl::UnixEpoch());
  };
  core::SiteConfig config;
  config.Version = 1;
  core::QueueConfig queue;
  queue.Name = "q";
  queue.Service = "service";
  config.Queues.push_back(queue);
  Config = std::make_shared<const core::SiteConfig>(config);
  changeLeader();
}

void SimSite::configure(core::SiteConfig config) {
  Config = std::make_shared<const core::SiteConfig>(std::move(config));
  Scheduler->onConfig(Config);
}

SimSite::Worker &SimSite::addWorker(const std::string &life,
                                    const std::string &rack,
                                    core::Resources capacity) {
  Worker &w = Workers[life];
  w.State.Life = {life, 1};
  w.State.Service = "service";
  w.State.Rack = rack;
  w.State.Labels = {"a", rack};
  w.State.Capacity = capacity;
  w.Agent = "agent-of-" + life;
  return w;
}

void SimSite::crash(const std::string &life, const std::string &newLife) {
  Worker old = std::move(Workers.at(life));
  Workers.erase(life);
  for (const auto &[run, state] : old.Runs)
    Wasted += absl::ToDoubleSeconds(state.Worked -
                                    saved(state, idOf(run.Task), false)) *
              weightOf(specOf(idOf(run.Task)).PerTask);
  if (newLife.empty())
    return;
  Worker &w = addWorker(newLife, old.State.Rack, old.State.Capacity);
  w.Agent = old.Agent;
}

void SimSite::fall(const std::string &life) {
  Fallen fallen{Workers.at(life), Now + NoticedAfter, Now + BackAfter};
  endpoints::LifeEnd end{fallen.Before.State.Life, true, {}, true, {}};
  for (const auto &[run, state] : fallen.Before.Runs) {
    if (Now - state.Began < endpoints::CrashShowsWithin)
      end.JustBegun.push_back(run);
    if (CrashesWorker && CrashesWorker(idOf(run.Task)))
      ++CrashesUnder[run.Task];
  }
  crash(life);
  fallen.Before.EndedLives.push_back(std::move(end));
  Down.push_back(std::move(fallen));
}

void SimSite::shrink(const std::string &life, core::Resources capacity) {
  Workers.at(life).State.Capacity = capacity;
  report(Workers.at(life));
  pump();
}

int SimSite::crashesUnder(const std::string &task) const {
  auto it = CrashesUnder.find(task);
  return it == CrashesUnder.end() ? 0 : it->second;
}

// Its agent finds that nobody answers; then the next life shows up.
void SimSite::serveFallen() {
  std::vector<Fallen> still;
  for (Fallen &one : std::exchange(Down, {})) {
    if (!one.Noticed && Now >= one.NoticedAt) {
      one.Noticed = true;
      endpoints::WorkerReport r;
      r.Agent = one.Before.Agent;
      r.AgentAddress = one.Before.Agent;
      r.EndedLives = one.Before.EndedLives;
      Scheduler->onReport(r, Now);
    }
    if (Now < one.BackAt) {
      still.push_back(std::move(one));
      continue;
    }
    const endpoints::WorkerState &old = one.Before.State;
    Worker &w = addWorker(old.Life.Id + "'", old.Rack, old.Capacity);
    w.Agent = one.Before.Agent;
    w.EndedLives = one.Before.EndedLives;
    report(w);
  }
  Down = std::move(still);
}

// At most two starts may follow the third crash.
void SimSite::countStart(const std::string &task) {
  if (crashesUnder(task) >= 3 && ++StartsAfterThird[task] == 3)
    Violations.push_back(task + " started three times more after three "
                                "workers had crashed under it");
}

void SimSite::leave(const std::string &life, absl::Duration notice) {
  auto it = Workers.find(life);
  if (it == Workers.end())
    return;
  it->second.State.Draining = true;
  it->second.LeavesAt = Now + notice;
  report(it->second);
}

// The agent beside it reports that its worker has ended.
void SimSite::goAway(const std::string &life) {
  endpoints::WorkerReport r;
  r.Agent = Workers.at(life).Agent;
  r.AgentAddress = r.Agent;
  r.EndedLives = {{Workers.at(life).State.Life}};
  crash(life);
  Scheduler->onReport(r, Now);
}

void SimSite::submit(core::JobSpec spec, int priority, int attempts) {
  Stored &job = Jobs[spec.Id];
  job.Record.Spec = std::move(spec);
  job.Record.Service = "service";
  job.Record.Priority = priority;
  job.Record.Attempts = attempts;
  if (const core::QueueConfig *queue = Config->queue(job.Record.Spec.Queue)) {
    job.Record.Stretch = queue->Stretch;
    job.Record.TargetLatencyMs = queue->TargetLatencyMs;
  }
  job.RecordRevision = ++Revision;
  job.HandedIn = Now;
  Scheduler->onRecord(job.Record, job.RecordRevision, Now);
  pump();
}

void SimSite::cancel(const std::string &jobId) {
  Stored &job = Jobs.at(jobId);
  job.Record.Cancelled = true;
  job.RecordRevision = ++Revision;
  Scheduler->onRecord(job.Record, job.RecordRevision, Now);
  pump();
}

void SimSite::changeLeader() {
  Epoch = ++Revision;
  Scheduler = std::make_unique<JobScheduler>(Policy, Epoch, Now);
  Scheduler->onConfig(Config);
  for (auto &[id, job] : Jobs) {
    Scheduler->onRecord(job.Record, job.RecordRevision, Now);
    if (job.ProgressRevision > 0)
      utils::handle<bool>(
          [&]() -> utils::Result<bool> {
            BOOST_LEAF_AUTO(progress, decodeProgress(job.Progress));
            Scheduler->onProgress(id, progress, job.ProgressRevision, Now);
            return true;
          },
          [&](const utils::Error &e) {
            Violations.push_back(e.text());
            return false;
          });
  }
  for (auto &[life, worker] : Workers)
    worker.FenceSeen = Epoch;
}

const core::StepSpec &SimSite::specOf(const TaskId &id) const {
  return Jobs.at(id.Job).Record.Spec.Steps.at(static_cast<size_t>(id.Step));
}

SimSite::GangKey SimSite::gangKey(const TaskId &id, int64_t run) {
  return {id.Job, id.Occurrence, id.Step, run};
}

void SimSite::listGangs() {
  Gangs.clear();
  for (const auto &[life, worker] : Workers)
    for (const auto &[key, run] : worker.Runs) {
      const TaskId id = idOf(key.Task);
      if (!specOf(id).Gang)
        continue;
      GangRun &gang = Gangs[gangKey(id, key.Run)];
      ++gang.Present;
      gang.Racks.insert(worker.State.Rack);
    }
}

bool SimSite::gangPresent(const TaskId &id, int64_t run) const {
  auto it = Gangs.find(gangKey(id, run));
  return it != Gangs.end() && it->second.Present == specOf(id).Count;
}

bool SimSite::gangSpread(const TaskId &id, int64_t run) const {
  auto it = Gangs.find(gangKey(id, run));
  return it != Gangs.end() && it->second.Racks.size() > 1;
}

// A stop saves all; otherwise what the last checkpoint holds.
absl::Duration SimSite::saved(const Run &run, const TaskId &id,
                              bool byStop) const {
  if (!specOf(id).Checkpoints)
    return absl::ZeroDuration();
  if (byStop)
    return run.Worked;
  return absl::Floor(run.Worked, CheckpointEvery);
}

void SimSite::end(Worker &worker, const RunId &run, RunEnd how) {
  auto it = worker.Runs.find(run);
  if (it == worker.Runs.end())
    return;
  const TaskId id = idOf(run.Task);
  absl::Duration kept = absl::ZeroDuration();
  if (how == RunEnd::Done)
    DoneTasks.insert(run.Task);
  else
    kept = saved(it->second, id, how == RunEnd::Stopped);
  if (how != RunEnd::Done)
    Wasted += absl::ToDoubleSeconds(it->second.Worked - kept) *
              weightOf(specOf(id).PerTask);
  worker.Runs.erase(it);
  worker.Ended.push_back({worker.NextEnd++, run.Task, run.Run, how,
                          kept > absl::ZeroDuration()
                              ? std::to_string(absl::ToInt64Milliseconds(kept))
                              : ""});
  if (!specOf(id).Gang)
    return;
  Gangs.erase(gangKey(id, run.Run));
  const RunEnd others = how == RunEnd::Done ? RunEnd::Done : RunEnd::Broken;
  for (auto &[life, w] : Workers) {
    std::vector<RunId> members;
    for (const auto &[key, state] : w.Runs) {
      const TaskId other = idOf(key.Task);
      if (other.Job == id.Job && other.Occurrence == id.Occurrence &&
          other.Step == id.Step && key.Run == run.Run)
        members.push_back(key);
    }
    for (const RunId &key : members)
      end(w, key, others);
  }
}

void SimSite::work(Worker &worker) {
  std::vector<std::pair<RunId, RunEnd>> ends;
  for (auto &[key, run] : worker.Runs) {
    const TaskId id = idOf(key.Task);
    if (run.Stopping && Now >= run.StopAt) {
      ends.emplace_back(key, RunEnd::Stopped);
      continue;
    }
    const core::StepSpec &spec = specOf(id);
    if (worker.Hangs || (spec.Gang && !gangPresent(id, key.Run)))
      continue;
    if (worker.FailsAll) {
      ends.emplace_back(key, RunEnd::Failed);
      continue;
    }
    double rate = 1 / worker.Slowness;
    if (spec.SameRack && gangSpread(id, key.Run))
      rate /= Policy.RemoteFactor;
    if (!spec.DataRack.empty() && spec.DataRack != worker.State.Rack)
      rate /= Policy.RemoteFactor;
    run.Worked += absl::Milliseconds(StepMs) * rate;
    if (run.Worked >= run.Needs)
      ends.emplace_back(key, FailsItself && FailsItself(id, key.Run)
                                 ? RunEnd::Failed
                                 : RunEnd::Done);
  }
  for (const auto &[key, how] : ends)
    end(worker, key, how);
}

std::string SimSite::runningSaved(const Run &run, const TaskId &id) const {
  const absl::Duration kept = saved(run, id, false);
  return kept > absl::ZeroDuration()
             ? std::to_string(absl::ToInt64Milliseconds(kept))
             : "";
}

void SimSite::report(Worker &worker) {
  if (worker.CutOff)
    return;
  endpoints::WorkerReport r;
  r.Agent = worker.Agent;
  r.AgentAddress = worker.Agent;
  r.Worker = worker.State;
  if (worker.State.Draining)
    r.Worker.RemainingMs = absl::ToInt64Milliseconds(worker.LeavesAt - Now);
  r.Sequence = ++worker.Sequence;
  r.EndedLives = worker.EndedLives;
  r.Epoch = worker.FenceSeen;
  r.Speed = worker.Speed;
  for (const auto &[key, run] : worker.Runs)
    r.Running.push_back(
        {key.Task, key.Run, runningSaved(run, idOf(key.Task)),
         static_cast<int>(100 * absl::FDivDuration(run.Worked, run.Needs))});
  r.Ended = worker.Ended;
  r.Results = std::exchange(worker.Results, {});
  worker.SeenUpto = std::max(worker.SeenUpto, Scheduler->onReport(r, Now));
  worker.Speed = Scheduler->speedOf(worker.Agent);
  worker.Ended.erase(std::remove_if(worker.Ended.begin(), worker.Ended.end(),
                                    [&](const auto &e) {
                                      return e.Number <= worker.SeenUpto;
                                    }),
                     worker.Ended.end());
}

void SimSite::checkOneRun(const endpoints::StartOrder &order) {
  if (DoneTasks.count(order.Task) != 0)
    Violations.push_back(order.Task + " started after it was done");
  for (const auto &[life, worker] : Workers)
    for (const auto &[key, run] : worker.Runs)
      if (key.Task == order.Task && key.Run != order.Run)
        Violations.push_back(order.Task + " runs twice");
}

void SimSite::checkRoom(const Worker &worker) {
  core::Resources used;
  for (const auto &[key, run] : worker.Runs)
    used += specOf(idOf(key.Task)).room();
  if (!used.fitsIn(worker.State.Capacity))
    Violations.push_back(worker.State.Life.Id + " has more than it holds");
}

void SimSite::obey(Worker &worker, const endpoints::WorkerOrders &orders) {
  if (worker.CutOff || worker.LosesOrders || orders.Life != worker.State.Life)
    return;
  for (const endpoints::StopOrder &stop : orders.Stops) {
    auto it = worker.Runs.find({stop.Task, stop.Run});
    if (it == worker.Runs.end()) {
      worker.Results.push_back(
          {stop.Task, stop.Run, endpoints::OrderOutcome::Absent, ""});
    } else if (!it->second.Stopping) {
      it->second.Stopping = true;
      it->second.StopAt =
          Now + (StopTakesOf ? StopTakesOf(idOf(stop.Task)) : StopTakes);
    }
  }
  for (const endpoints::StartOrder &start : orders.Starts) {
    const RunId key{start.Task, start.Run};
    const bool known = worker.Runs.count(key) != 0;
    if (!known && !start.DecidedOn.fitsIn(worker.State.Capacity)) {
      worker.Results.push_back(
          {start.Task, start.Run, endpoints::OrderOutcome::NoRoom, ""});
      continue;
    }
    worker.Results.push_back(
        {start.Task, start.Run, endpoints::OrderOutcome::Started, ""});
    if (known)
      continue;
    checkOneRun(start);
    const TaskId id = idOf(start.Task);
    const core::StepSpec &spec = specOf(id);
    Run run;
    run.Order = start;
    run.Began = Now;
    run.Needs = Work ? Work(id, spec) : absl::Milliseconds(spec.EstimateMs);
    if (!start.Saved.empty()) {
      run.Worked = absl::Milliseconds(std::stoll(start.Saved));
      run.Needs += absl::Milliseconds(RestoreMs);
    }
    worker.Runs[key] = run;
    ++Starts;
    countStart(start.Task);
    if (CrashesWorker && CrashesWorker(id))
      worker.CrashesAt = Now + CrashAfter;
    checkRoom(worker);
    Stored &job = Jobs.at(id.Job);
    if (!job.FirstStart)
      job.FirstStart = Now;
  }
}

void SimSite::pump() {
  // Bounded, so that a scheduler that changes its mind for ever is noticed.
  for (int round = 0; round < 20; ++round) {
    Scheduler->decide(Now);
    for (ProgressWrite &write : Scheduler->takeWrites()) {
      Stored &job = Jobs.at(write.JobId);
      if (StoreDown) {
        Scheduler->onNotWritten(write.JobId);
        continue;
      }
      if (job.RecordRevision != write.RecordRevision ||
          job.ProgressRevision != write.ProgressRevision) {
        // As the leader's duty settles a conflict.
        utils::handle<bool>(
            [&]() -> utils::Result<bool> {
              if (job.ProgressRevision != write.ProgressRevision) {
                BOOST_LEAF_AUTO(read, decodeProgress(job.Progress));
                Scheduler->onWritten(write.JobId, read.Version,
                                     job.ProgressRevision, Now);
              }
              Scheduler->onNotWritten(write.JobId);
              return true;
            },
            [&](const utils::Error &e) {
              Violations.push_back(e.text());
              return false;
            });
        continue;
      }
      job.Progress = write.Value;
      job.ProgressRevision = ++Revision;
      if (StoreLosesAnswers)
        Scheduler->onNotWritten(write.JobId);
      else
        Scheduler->onWritten(write.JobId, write.Progress.Version,
                             job.ProgressRevision, Now);
      if (isFinal(state(write.JobId)) && !job.Over)
        job.Over = Now;
    }
    for (const Decision &d : Scheduler->takeDecisions())
      Log.push_back(d);
    const auto orders = Scheduler->takeOrders();
    for (const auto &[address, one] : orders)
      for (auto &[life, worker] : Workers)
        if (worker.Agent == address)
          obey(worker, one);
    bool results = false;
    for (auto &[life, worker] : Workers)
      if (!worker.Results.empty() && !worker.CutOff) {
        report(worker);
        results = true;
      }
    if ((orders.empty() && !results) || StoreDown || StoreLosesAnswers)
      return;
  }
}

void SimSite::step() {
  Now += absl::Milliseconds(StepMs);
  const int64_t ms = absl::ToInt64Milliseconds(Now - absl::UnixEpoch());
  listGangs();
  const bool beat = ms % ReportEveryMs == 0;
  std::vector<std::string> lives;
  for (const auto &[life, worker] : Workers)
    lives.push_back(life);
  for (const std::string &life : lives) {
    work(Workers.at(life));
    if (Now >= Workers.at(life).LeavesAt)
      goAway(life);
    else if (Now >= Workers.at(life).CrashesAt)
      fall(life);
  }
  serveFallen();
  for (auto &[life, worker] : Workers)
    if (beat || !worker.Ended.empty())
      report(worker);
  if (ms % TickEveryMs == 0)
    Scheduler->tick(Now);
  pump();
}

void SimSite::runFor(absl::Duration time) {
  const absl::Time end = Now + time;
  while (Now < end)
    step();
}

bool SimSite::runUntilOver(absl::Duration limit) {
  const absl::Time end = Now + limit;
  auto allOver = [this] {
    return std::all_of(Jobs.begin(), Jobs.end(),
                       [](const auto &j) { return j.second.Over.has_value(); });
  };
  while (Now < end && !allOver())
    step();
  return allOver();
}

JobState SimSite::state(const std::string &jobId) const {
  const Stored &job = Jobs.at(jobId);
  if (job.ProgressRevision == 0)
    return shownState(job.Record, nullptr);
  return utils::handle<JobState>(
      [&]() -> utils::Result<JobState> {
        BOOST_LEAF_AUTO(progress, decodeProgress(job.Progress));
        return shownState(job.Record, &progress);
      },
      [](const utils::Error &) { return JobState::Queued; });
}

std::optional<absl::Duration> SimSite::waited(const std::string &jobId) const {
  const Stored &job = Jobs.at(jobId);
  if (!job.FirstStart)
    return std::nullopt;
  return *job.FirstStart - job.HandedIn;
}

std::optional<absl::Duration> SimSite::took(const std::string &jobId) const {
  const Stored &job = Jobs.at(jobId);
  if (!job.Over)
    return std::nullopt;
  return *job.Over - job.HandedIn;
}

std::multiset<std::string> SimSite::placesOf(const std::string &jobId) const {
  std::multiset<std::string> places;
  for (const auto &[life, worker] : Workers)
    for (const auto &[key, run] : worker.Runs)
      if (idOf(key.Task).Job == jobId)
        places.insert(life);
  return places;
}

} // namespace oriolebay::jobs
