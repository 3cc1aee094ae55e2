#include "simsite.h"

#include <algorithm>

namespace oriolebay::jobs {

using core::TaskId;
using endpoints::RunEnd;

namespace {
constexpr double CoresPerAccelerator = 8;

TaskId taskIdOf(const std::string &name) {
  TaskId id;
  core::parseTaskName(name, id);
  return id;
}

double coreEquivalents(const core::Resources &r) {
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

core::QueueConfig makeQueue(const std::string &name, double stretch,
                            int64_t targetMs) {
  core::QueueConfig queue;
  queue.Name = name;
  queue.Host = "host";
  queue.Prefix = "/" + name + "/";
  queue.Service = "service";
  queue.Stretch = stretch;
  queue.TargetLatencyMs = targetMs;
  return queue;
}

SimSite::SimSite(SchedulerPolicy policy) : Policy(std::move(policy)) {
  Policy.WallMs = [this] {
    return absl::ToInt64Milliseconds(Now - absl::UnixEpoch());
  };
  core::SiteConfig config;
  config.Version = 1;
  const core::QueueConfig defaults;
  config.Queues.push_back(
      makeQueue("q", defaults.Stretch, defaults.TargetLatencyMs));
  Config = std::make_shared<const core::SiteConfig>(config);
  changeLeader();
}

void SimSite::configure(core::SiteConfig config) {
  Config = std::make_shared<const core::SiteConfig>(std::move(config));
  Scheduler->onConfig(Config);
}

SimSite::Worker &SimSite::addWorker(const std::string &incarnation,
                                    const std::string &rack,
                                    core::Resources capacity) {
  Worker &w = Workers[incarnation];
  w.State.Life = {incarnation, 1};
  w.State.Service = "service";
  w.State.Rack = rack;
  w.State.Labels = {"a", rack};
  w.State.Capacity = capacity;
  w.Agent = "agent-of-" + incarnation;
  return w;
}

void SimSite::crash(const std::string &incarnation,
                    const std::string &newIncarnation) {
  Worker previous = std::move(Workers.at(incarnation));
  Workers.erase(incarnation);
  for (const auto &[run, state] : previous.Runs)
    LostWork +=
        absl::ToDoubleSeconds(state.WorkDone -
                              savedWork(state, taskIdOf(run.Task), false)) *
        coreEquivalents(stepOf(taskIdOf(run.Task)).PerTask);
  if (newIncarnation.empty())
    return;
  Worker &w =
      addWorker(newIncarnation, previous.State.Rack, previous.State.Capacity);
  w.Agent = previous.Agent;
}

void SimSite::crashAndRestart(const std::string &incarnation) {
  CrashedWorker crashed{Workers.at(incarnation), Now + CrashDetectionDelay,
                        Now + RestartDelay};
  endpoints::IncarnationEnd end{
      crashed.LastState.State.Life, true, {}, true, {}};
  for (const auto &[run, state] : crashed.LastState.Runs) {
    if (Now - state.StartedAt < endpoints::CrashDetectionWindow)
      end.JustBegun.push_back(run);
    if (CrashesWorker && CrashesWorker(taskIdOf(run.Task)))
      ++CrashesByTask[run.Task];
  }
  crash(incarnation);
  crashed.LastState.EndedLives.push_back(std::move(end));
  CrashedWorkers.push_back(std::move(crashed));
}

void SimSite::setCapacity(const std::string &incarnation,
                          core::Resources capacity) {
  Workers.at(incarnation).State.Capacity = capacity;
  sendReport(Workers.at(incarnation));
  exchangeMessages();
}

int SimSite::crashesCausedBy(const std::string &task) const {
  auto it = CrashesByTask.find(task);
  return it == CrashesByTask.end() ? 0 : it->second;
}

// First the agent detects that its worker does not answer and reports the end;
// later the next incarnation reports.
void SimSite::processCrashedWorkers() {
  std::vector<CrashedWorker> remaining;
  for (CrashedWorker &crashedWorker : std::exchange(CrashedWorkers, {})) {
    if (!crashedWorker.Detected && Now >= crashedWorker.DetectedAt) {
      crashedWorker.Detected = true;
      endpoints::WorkerReport r;
      r.Agent = crashedWorker.LastState.Agent;
      r.AgentAddress = crashedWorker.LastState.Agent;
      r.EndedLives = crashedWorker.LastState.EndedLives;
      r.StartsKnownForMs = absl::ToInt64Milliseconds(endpoints::MaxOrderDelay);
      Scheduler->onReport(r, Now);
    }
    if (Now < crashedWorker.RestartsAt) {
      remaining.push_back(std::move(crashedWorker));
      continue;
    }
    const endpoints::WorkerState &previous = crashedWorker.LastState.State;
    Worker &w =
        addWorker(previous.Life.Id + "'", previous.Rack, previous.Capacity);
    w.Agent = crashedWorker.LastState.Agent;
    w.EndedLives = crashedWorker.LastState.EndedLives;
    sendReport(w);
  }
  CrashedWorkers = std::move(remaining);
}

// At most two starts of a task may follow the third crash that it caused.
void SimSite::countStart(const std::string &task) {
  if (crashesCausedBy(task) >= 3 && ++StartsAfterThirdCrash[task] == 3)
    Violations.push_back(
        task + " was started three times after it had crashed three workers");
}

void SimSite::drain(const std::string &incarnation, absl::Duration notice) {
  auto it = Workers.find(incarnation);
  if (it == Workers.end())
    return;
  it->second.State.Draining = true;
  it->second.ShutsDownAt = Now + notice;
  sendReport(it->second);
}

// The agent beside the worker reports that the worker has ended.
void SimSite::shutDown(const std::string &incarnation) {
  endpoints::WorkerReport r;
  r.Agent = Workers.at(incarnation).Agent;
  r.AgentAddress = r.Agent;
  r.EndedLives = {{Workers.at(incarnation).State.Life}};
  r.StartsKnownForMs = absl::ToInt64Milliseconds(endpoints::MaxOrderDelay);
  crash(incarnation);
  Scheduler->onReport(r, Now);
}

void SimSite::submit(core::JobSpec spec, int priority, int attempts) {
  JobRecord record;
  record.Spec = std::move(spec);
  record.Service = "service";
  record.Priority = priority;
  record.Attempts = attempts;
  if (const core::QueueConfig *queue = Config->queue(record.Spec.Queue)) {
    record.Spec.Address = {queue->Host, queue->Prefix,
                           queue->Prefix + record.Spec.Id};
    record.Stretch = queue->Stretch;
    record.TargetLatencyMs = queue->TargetLatencyMs;
  }
  submitRecord(std::move(record));
}

void SimSite::submitRecord(JobRecord record) {
  StoredJob &job = Jobs[record.Spec.Id];
  job.Record = std::move(record);
  job.RecordRevision = ++Revision;
  job.SubmittedAt = Now;
  Scheduler->onRecord(job.Record, job.RecordRevision, Now);
  exchangeMessages();
}

void SimSite::cancel(const std::string &jobId) {
  StoredJob &job = Jobs.at(jobId);
  job.Record.Cancelled = true;
  job.RecordRevision = ++Revision;
  Scheduler->onRecord(job.Record, job.RecordRevision, Now);
  exchangeMessages();
}

void SimSite::changeLeader() {
  Epoch = ++Revision;
  const std::vector<SilentAgent> silentAgents =
      Scheduler == nullptr ? std::vector<SilentAgent>()
                           : Scheduler->silentAgents(Now);
  Scheduler = std::make_unique<JobScheduler>(Policy, Epoch, Now);
  Scheduler->adoptSilentAgents(silentAgents);
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
  for (auto &[incarnation, worker] : Workers)
    worker.ObservedEpoch = Epoch;
}

const core::StepSpec &SimSite::stepOf(const TaskId &id) const {
  return Jobs.at(id.Job).Record.Spec.Steps.at(static_cast<size_t>(id.Step));
}

SimSite::GangKey SimSite::gangKey(const TaskId &id, int64_t run) {
  return {id.Job, id.Occurrence, id.Step, run};
}

void SimSite::updateGangs() {
  Gangs.clear();
  for (const auto &[incarnation, worker] : Workers)
    for (const auto &[key, run] : worker.Runs) {
      const TaskId id = taskIdOf(key.Task);
      if (!stepOf(id).Gang)
        continue;
      GangRun &gang = Gangs[gangKey(id, key.Run)];
      ++gang.RunningMembers;
      gang.Racks.insert(worker.State.Rack);
    }
}

bool SimSite::isGangComplete(const TaskId &id, int64_t run) const {
  auto it = Gangs.find(gangKey(id, run));
  return it != Gangs.end() && it->second.RunningMembers == stepOf(id).Count;
}

// A member that has done its work waits for the others.
bool SimSite::isGangDone(const TaskId &id, int64_t run) const {
  for (const auto &[incarnation, worker] : Workers)
    for (const auto &[key, member] : worker.Runs)
      if (gangKey(taskIdOf(key.Task), key.Run) == gangKey(id, run) &&
          member.WorkDone < member.RequiredWork)
        return false;
  return true;
}

bool SimSite::isGangAcrossRacks(const TaskId &id, int64_t run) const {
  auto it = Gangs.find(gangKey(id, run));
  return it != Gangs.end() && it->second.Racks.size() > 1;
}

// A stopped run saves all of its work; any other run keeps what its last
// checkpoint holds.
absl::Duration SimSite::savedWork(const Run &run, const TaskId &id,
                                  bool byStop) const {
  if (!stepOf(id).Checkpoints)
    return absl::ZeroDuration();
  if (byStop)
    return run.WorkDone;
  return absl::Floor(run.WorkDone, CheckpointInterval);
}

// How a member ends when another one of its run has ended first.
RunEnd SimSite::endBesideMember(const RunId &run, RunEnd how) const {
  if (how == RunEnd::Done)
    return RunEnd::Done;
  if (how == RunEnd::Failed && EndBesideFailedMember)
    return EndBesideFailedMember(taskIdOf(run.Task), run.Run);
  return RunEnd::Broken;
}

void SimSite::endRun(Worker &worker, const RunId &run, RunEnd how) {
  auto it = worker.Runs.find(run);
  if (it == worker.Runs.end())
    return;
  const TaskId id = taskIdOf(run.Task);
  absl::Duration savedTime = absl::ZeroDuration();
  if (how == RunEnd::Done && !stepOf(id).LongRunning)
    DoneTasks.insert(run.Task);
  if (how != RunEnd::Done)
    savedTime = savedWork(it->second, id, how == RunEnd::Stopped);
  if (how != RunEnd::Done)
    LostWork += absl::ToDoubleSeconds(it->second.WorkDone - savedTime) *
                coreEquivalents(stepOf(id).PerTask);
  worker.Runs.erase(it);
  worker.Ended.push_back(
      {worker.NextEndNumber++, run.Task, run.Run, how,
       savedTime > absl::ZeroDuration()
           ? std::to_string(absl::ToInt64Milliseconds(savedTime))
           : ""});
  if (!stepOf(id).Gang)
    return;
  Gangs.erase(gangKey(id, run.Run));
  for (auto &[incarnation, w] : Workers) {
    std::vector<RunId> members;
    for (const auto &[key, state] : w.Runs) {
      const TaskId other = taskIdOf(key.Task);
      if (other.Job == id.Job && other.Occurrence == id.Occurrence &&
          other.Step == id.Step && key.Run == run.Run)
        members.push_back(key);
    }
    for (const RunId &key : members)
      endRun(w, key, endBesideMember(key, how));
  }
}

void SimSite::advanceRuns(Worker &worker) {
  std::vector<std::pair<RunId, RunEnd>> ends;
  for (auto &[key, run] : worker.Runs) {
    const TaskId id = taskIdOf(key.Task);
    if (run.Stopping && Now >= run.StopAt) {
      ends.emplace_back(key, RunEnd::Stopped);
      continue;
    }
    const core::StepSpec &spec = stepOf(id);
    if (worker.Hangs || (spec.Gang && !isGangComplete(id, key.Run)))
      continue;
    if (worker.FailsAll) {
      ends.emplace_back(key, RunEnd::Failed);
      continue;
    }
    double rate = 1 / worker.Slowness;
    if (spec.SameRack && isGangAcrossRacks(id, key.Run))
      rate /= Policy.RemoteFactor;
    if (!spec.DataRack.empty() && spec.DataRack != worker.State.Rack)
      rate /= Policy.RemoteFactor;
    run.WorkDone += absl::Milliseconds(StepMs) * rate;
    if (run.WorkDone < run.RequiredWork)
      continue;
    run.WorkDone = run.RequiredWork;
    if (!spec.Gang || isGangDone(id, key.Run))
      ends.emplace_back(key, RunFails && RunFails(id, key.Run) ? RunEnd::Failed
                                                               : RunEnd::Done);
  }
  for (const auto &[key, how] : ends)
    endRun(worker, key, how);
}

std::string SimSite::runningCheckpoint(const Run &run, const TaskId &id) const {
  const absl::Duration savedTime = savedWork(run, id, false);
  return savedTime > absl::ZeroDuration()
             ? std::to_string(absl::ToInt64Milliseconds(savedTime)) +
                   std::string(SavedPadding, '/')
             : "";
}

void SimSite::sendReport(Worker &worker) {
  if (worker.Partitioned)
    return;
  endpoints::WorkerReport r;
  r.Agent = worker.Agent;
  r.AgentAddress = worker.Agent;
  r.Worker = worker.State;
  if (worker.State.Draining)
    r.Worker.RemainingMs = absl::ToInt64Milliseconds(worker.ShutsDownAt - Now);
  r.Sequence = ++worker.Sequence;
  r.EndedLives = worker.EndedLives;
  r.Epoch = worker.ObservedEpoch;
  r.Speed = worker.Speed;
  r.SpeedWithGangs = worker.SpeedWithGangs;
  for (const auto &[key, run] : worker.Runs)
    r.Running.push_back(
        {key.Task, key.Run, runningCheckpoint(run, taskIdOf(key.Task)),
         static_cast<int>(100 *
                          absl::FDivDuration(run.WorkDone, run.RequiredWork))});
  const size_t listed = std::min(worker.Ended.size(), worker.MaxEndsListed);
  r.Ended.assign(worker.Ended.begin(),
                 worker.Ended.begin() + static_cast<ptrdiff_t>(listed));
  r.EndsComplete = listed == worker.Ended.size();
  r.Results = std::exchange(worker.Results, {});
  r.OpenStarts = worker.OpenStarts;
  r.StartsKnownForMs = worker.StartsKnownForMs;
  worker.AcknowledgedUpto =
      std::max(worker.AcknowledgedUpto, Scheduler->onReport(r, Now));
  worker.Speed = Scheduler->speedOf(worker.Agent);
  worker.SpeedWithGangs = Scheduler->speedWithGangsOf(worker.Agent);
  worker.Ended.erase(std::remove_if(worker.Ended.begin(), worker.Ended.end(),
                                    [&](const auto &e) {
                                      return e.Number <=
                                             worker.AcknowledgedUpto;
                                    }),
                     worker.Ended.end());
}

void SimSite::checkTaskRunsOnce(const endpoints::StartOrder &order) {
  if (DoneTasks.count(order.Task) != 0)
    Violations.push_back(order.Task + " was started after it was done");
  for (const auto &[incarnation, worker] : Workers)
    for (const auto &[key, run] : worker.Runs)
      if (key.Task == order.Task && key.Run != order.Run)
        Violations.push_back(order.Task + " runs twice");
}

void SimSite::checkCapacity(const Worker &worker) {
  core::Resources used;
  for (const auto &[key, run] : worker.Runs)
    used += stepOf(taskIdOf(key.Task)).taskResources();
  if (!used.fitsIn(worker.State.Capacity))
    Violations.push_back(worker.State.Life.Id + " runs more than its capacity");
}

void SimSite::executeOrders(Worker &worker,
                            const endpoints::WorkerOrders &orders) {
  if (worker.Partitioned || worker.DropsOrders ||
      orders.Life != worker.State.Life)
    return;
  for (const endpoints::StopOrder &stop : orders.Stops) {
    auto it = worker.Runs.find({stop.Task, stop.Run});
    if (it == worker.Runs.end()) {
      worker.Results.push_back(
          {stop.Task, stop.Run, endpoints::OrderOutcome::Absent, ""});
    } else if (!it->second.Stopping) {
      it->second.Stopping = true;
      it->second.StopAt =
          Now +
          (StopDurationOf ? StopDurationOf(taskIdOf(stop.Task)) : StopDuration);
    }
  }
  for (const endpoints::StartOrder &start : orders.Starts) {
    const RunId key{start.Task, start.Run};
    const bool known = worker.Runs.count(key) != 0;
    if (!known && !start.DecidedOn.fitsIn(worker.State.Capacity)) {
      worker.Results.push_back(
          {start.Task, start.Run, endpoints::OrderOutcome::NoCapacity, ""});
      continue;
    }
    worker.Results.push_back(
        {start.Task, start.Run, endpoints::OrderOutcome::Started, ""});
    if (known)
      continue;
    checkTaskRunsOnce(start);
    const TaskId id = taskIdOf(start.Task);
    const core::StepSpec &spec = stepOf(id);
    Run run;
    run.Order = start;
    run.StartedAt = Now;
    run.RequiredWork =
        WorkTime ? WorkTime(id, spec) : absl::Milliseconds(spec.EstimateMs);
    if (!start.Saved.empty()) {
      run.WorkDone = absl::Milliseconds(std::stoll(start.Saved));
      run.RequiredWork += absl::Milliseconds(RestoreMs);
    }
    worker.Runs[key] = run;
    ++Starts;
    countStart(start.Task);
    if (CrashesWorker && CrashesWorker(id))
      worker.CrashesAt = Now + CrashDelay;
    checkCapacity(worker);
    StoredJob &job = Jobs.at(id.Job);
    if (!job.FirstStartAt)
      job.FirstStartAt = Now;
  }
}

void SimSite::exchangeMessages() {
  // The number of rounds is limited, so that a scheduler that revises its
  // decisions endlessly is detected.
  for (int round = 0; round < 20; ++round) {
    Scheduler->decide(Now);
    for (ProgressWrite &write : Scheduler->takeWrites(Now)) {
      StoredJob &job = Jobs.at(write.JobId);
      if (OnWrite)
        OnWrite(write);
      if (StoreDown) {
        Scheduler->onWriteFailed(write.JobId);
        continue;
      }
      if (job.RecordRevision != write.RecordRevision ||
          job.ProgressRevision != write.ProgressRevision) {
        // Resolves the conflict as the leader session does.
        utils::handle<bool>(
            [&]() -> utils::Result<bool> {
              if (job.ProgressRevision != write.ProgressRevision) {
                BOOST_LEAF_AUTO(read, decodeProgress(job.Progress));
                Scheduler->onWritten(write.JobId, read.Version,
                                     job.ProgressRevision, Now);
              }
              Scheduler->onWriteFailed(write.JobId);
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
        Scheduler->onWriteFailed(write.JobId);
      else
        Scheduler->onWritten(write.JobId, write.Version, job.ProgressRevision,
                             Now);
      if (isFinal(state(write.JobId)) && !job.EndedAt)
        job.EndedAt = Now;
    }
    for (const Decision &d : Scheduler->takeDecisions())
      Log.push_back(d);
    const auto orders = Scheduler->takeOrders();
    for (const auto &[address, workerOrders] : orders)
      for (auto &[incarnation, worker] : Workers)
        if (worker.Agent == address)
          executeOrders(worker, workerOrders);
    bool results = false;
    for (auto &[incarnation, worker] : Workers)
      if (!worker.Results.empty() && !worker.Partitioned) {
        sendReport(worker);
        results = true;
      }
    if ((orders.empty() && !results) || StoreDown || StoreLosesAnswers)
      return;
  }
}

void SimSite::step() {
  Now += absl::Milliseconds(StepMs);
  const int64_t ms = absl::ToInt64Milliseconds(Now - absl::UnixEpoch());
  updateGangs();
  std::vector<std::string> incarnations;
  for (const auto &[incarnation, worker] : Workers)
    incarnations.push_back(incarnation);
  for (const std::string &incarnation : incarnations) {
    advanceRuns(Workers.at(incarnation));
    if (Now >= Workers.at(incarnation).ShutsDownAt)
      shutDown(incarnation);
    else if (Now >= Workers.at(incarnation).CrashesAt)
      crashAndRestart(incarnation);
  }
  processCrashedWorkers();
  for (auto &[incarnation, worker] : Workers)
    if ((ms - worker.ReportOffsetMs) % ReportIntervalMs == 0 ||
        !worker.Ended.empty())
      sendReport(worker);
  if (ms % TickIntervalMs == 0)
    Scheduler->tick(Now);
  exchangeMessages();
}

void SimSite::runFor(absl::Duration time) {
  const absl::Time end = Now + time;
  while (Now < end)
    step();
}

bool SimSite::runUntilAllEnded(absl::Duration limit) {
  const absl::Time end = Now + limit;
  auto allEnded = [this] {
    return std::all_of(Jobs.begin(), Jobs.end(), [](const auto &j) {
      return j.second.EndedAt.has_value();
    });
  };
  while (Now < end && !allEnded())
    step();
  return allEnded();
}

JobState SimSite::state(const std::string &jobId) const {
  const StoredJob &job = Jobs.at(jobId);
  if (job.ProgressRevision == 0)
    return visibleStateOf(job.Record, JobState::Queued);
  return utils::handle<JobState>(
      [&]() -> utils::Result<JobState> {
        BOOST_LEAF_AUTO(progress, decodeProgress(job.Progress));
        return visibleStateOf(job.Record, progress.State);
      },
      [](const utils::Error &) { return JobState::Queued; });
}

std::optional<absl::Duration>
SimSite::waitTime(const std::string &jobId) const {
  const StoredJob &job = Jobs.at(jobId);
  if (!job.FirstStartAt)
    return std::nullopt;
  return *job.FirstStartAt - job.SubmittedAt;
}

std::optional<absl::Duration>
SimSite::turnaroundTime(const std::string &jobId) const {
  const StoredJob &job = Jobs.at(jobId);
  if (!job.EndedAt)
    return std::nullopt;
  return *job.EndedAt - job.SubmittedAt;
}

std::multiset<std::string> SimSite::workersOf(const std::string &jobId) const {
  std::multiset<std::string> workers;
  for (const auto &[incarnation, worker] : Workers)
    for (const auto &[key, run] : worker.Runs)
      if (taskIdOf(key.Task).Job == jobId)
        workers.insert(incarnation);
  return workers;
}

} // namespace oriolebay::jobs
