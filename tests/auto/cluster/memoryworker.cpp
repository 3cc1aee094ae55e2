#include "memoryworker.h"

#include <algorithm>

namespace oriolebay::cluster {

using endpoints::CallOutcome;
using endpoints::CallStatus;
using endpoints::RefusalReason;
using endpoints::RunEnd;

namespace {
constexpr absl::Duration StepInterval = absl::Milliseconds(10);
constexpr absl::Duration OrderTimeout = absl::Milliseconds(250);
constexpr absl::Duration PollTimeout = absl::Milliseconds(1400);
constexpr absl::Duration AnswerDelay = absl::Milliseconds(1);
constexpr absl::Duration StopDuration = absl::Milliseconds(300);
constexpr int64_t MaxLeaseMs = 6000;
/// The platform's limit for the delay of a worker's updates, plus one heartbeat
/// period.
constexpr absl::Duration CapacityReductionDelay =
    absl::Milliseconds(3000 + 1500);
/// The other ends are listed once these are acknowledged.
constexpr size_t MaxListedEnds = 500;
constexpr absl::Duration CrashDelay = absl::Milliseconds(10);
constexpr absl::Duration RestartDelay = absl::Seconds(2);
} // namespace

MemoryWorker::MemoryWorker(utils::EventLoop &loop, SharedWorkerState &shared,
                           std::string name, std::string domain,
                           std::string rack, core::Resources capacity,
                           uint64_t seed)
    : Loop(loop), Shared(shared), Name(std::move(name)), Random(seed) {
  State.Service = "service";
  State.FailureDomain = std::move(domain);
  State.Rack = std::move(rack);
  State.Labels = {"a", State.Rack};
  State.Capacity = capacity;
  IncarnationStart = Loop.now();
  ClockStart = Loop.now();
  State.Life = {Name + "-0", randomStartTimeMs()};
  Loop.runAfter(StepInterval, [this] { step(); });
}

// The start time is given in time of day, which may step back between two
// incarnations: it is off by up to 5 s either way.
int64_t MemoryWorker::randomStartTimeMs() {
  if (!ReportsStartTime)
    return 0;
  const int64_t stepMs = std::uniform_int_distribution<>(-5000, 5000)(Random);
  return absl::ToUnixMillis(IncarnationStart) + 1000000 + stepMs;
}

bool MemoryWorker::chance(double share) {
  return share > 0 && std::uniform_real_distribution<>(0, 1)(Random) < share;
}

absl::Duration MemoryWorker::randomLateDelay() {
  const auto ms = std::uniform_int_distribution<int64_t>(
      absl::ToInt64Milliseconds(MinLateDelay),
      absl::ToInt64Milliseconds(MaxLateDelay))(Random);
  return absl::Milliseconds(ms);
}

int64_t MemoryWorker::clockMs() const {
  return 1000 +
         static_cast<int64_t>(
             absl::ToDoubleMilliseconds(Loop.now() - ClockStart) * ClockRate);
}

endpoints::Heartbeat MemoryWorker::heartbeat() {
  return {State, ++HeartbeatSequence, clockMs()};
}

void MemoryWorker::loseRuns() {
  for (const auto &[key, run] : Runs) {
    Shared.Running[key.first].erase({State.Life.Id, key.second});
    ++Shared.WorkersLostByTask[key.first];
    if (run.Gang != nullptr)
      --run.Gang->Members;
  }
  Runs.clear();
}

void MemoryWorker::crash(RestartId id) {
  loseRuns();
  Ended.clear();
  HighestRunByTask.clear();
  // Open polls get no answer and run into their timeout.
  for (PendingPoll &poll : std::exchange(PendingPolls, {}))
    Loop.runAfter(PollTimeout, [done = poll.Done] { done({}); });
  FencingToken = 0;
  LeaseUntilMs = 0;
  NextEndNumber = 1;
  HeartbeatSequence = 0;
  IncarnationStart = Loop.now();
  if (!ClockGoesOn)
    ClockStart = Loop.now();
  State.Draining = false;
  if (id == RestartId::New)
    State.Life.Id = Name + "-" + std::to_string(++IncarnationCount);
  State.Life.BornMs = randomStartTimeMs();
}

void MemoryWorker::hideStartTime() {
  ReportsStartTime = false;
  State.Life.BornMs = 0;
}

void MemoryWorker::setCapacity(core::Resources capacity) {
  PreviousCapacities.emplace_back(Loop.now(), State.Capacity);
  State.Capacity = capacity;
}

// Returns the largest amount of each resource that the worker has had within
// CapacityReductionDelay.
core::Resources MemoryWorker::enforcedCapacity() const {
  core::Resources most = State.Capacity;
  for (const auto &[until, capacity] : PreviousCapacities)
    if (Loop.now() - until < CapacityReductionDelay)
      most = {std::max(most.MilliCores, capacity.MilliCores),
              std::max(most.MemoryMb, capacity.MemoryMb),
              std::max(most.Accelerators, capacity.Accelerators)};
  return most;
}

void MemoryWorker::crashFor(absl::Duration downtime, RestartId id) {
  std::vector<PendingPoll> pending = std::exchange(PendingPolls, {});
  crash(id);
  ListensFrom = Loop.now() + downtime;
  // The connections of open polls are closed, so the polls fail at once.
  for (PendingPoll &poll : pending)
    Loop.runAfter(AnswerDelay, [done = poll.Done] { done({}); });
}

// At most two starts of a task may follow the third crash that it caused.
void MemoryWorker::countStart(const std::string &task) {
  ++Shared.Starts;
  if (!Shared.CrashesWorker || !Shared.CrashesWorker(task))
    return;
  if (Shared.CrashesByTask[task] >= 3 &&
      ++Shared.StartsAfterThirdCrash[task] == 3)
    Shared.Violations.push_back(
        task + " was started three times after it had crashed three workers");
  Loop.runAfter(CrashDelay, [this, task, incarnation = State.Life] {
    if (incarnation != State.Life)
      return;
    ++Shared.CrashesByTask[task];
    crashFor(RestartDelay, IdAfterTaskCrash);
  });
}

void MemoryWorker::drain(int64_t remainingMs) {
  State.Draining = true;
  State.RemainingMs = remainingMs;
}

CallOutcome MemoryWorker::ok() const {
  return {CallStatus::Ok, RefusalReason::None, clockMs(), ""};
}

CallOutcome MemoryWorker::refuse(RefusalReason reason) const {
  return {CallStatus::Refused, reason, clockMs(), "refused"};
}

void MemoryWorker::extendLease(int64_t untilMs) {
  LeaseUntilMs =
      std::max(LeaseUntilMs, std::min(untilMs, clockMs() + MaxLeaseMs));
}

// Records what no start may cause: a second run of a task, a start after an
// acknowledged end, and more than the worker's capacity.
void MemoryWorker::checkStart(const Key &key) {
  const std::string started =
      key.first + " run " + std::to_string(key.second) + " on " +
      State.Life.Id + " at " +
      absl::FormatTime("%M:%E3S", Loop.now(), absl::UTCTimeZone());
  if (Shared.AcknowledgedDone.count(key.first) != 0)
    Shared.Violations.push_back(started +
                                " was started after its end was acknowledged");
  for (const auto &[worker, run] : Shared.Running[key.first])
    Shared.Violations.push_back(started + " runs twice: beside run " +
                                std::to_string(run) + " on " + worker);
  core::Resources used = Shared.StepOf(key.first).taskResources();
  std::string others;
  for (const auto &[k, run] : Runs) {
    used += Shared.StepOf(k.first).taskResources();
    others += ' ' + k.first + " run " + std::to_string(k.second);
  }
  if (!used.fitsIn(enforcedCapacity()))
    Shared.Violations.push_back(
        started + " makes the worker run more than its capacity: beside" +
        others);
}

void MemoryWorker::checkCordon(const endpoints::StartCall &call) {
  auto since = Shared.CordonedSince.find(State.FailureDomain);
  if (since == Shared.CordonedSince.end() ||
      Loop.now() - since->second <= Shared.CordonBound)
    return;
  Shared.Violations.push_back(call.Order.Task + " run " +
                              std::to_string(call.Order.Run) + " on " +
                              State.Life.Id + " is started " +
                              absl::FormatDuration(Loop.now() - since->second) +
                              " after the cordon of " + State.FailureDomain);
}

CallOutcome MemoryWorker::start(const endpoints::StartCall &call) {
  const Key key{call.Order.Task, call.Order.Run};
  if (RefusesStarts)
    return {CallStatus::Busy, RefusalReason::None, clockMs(), "unhealthy"};
  if (call.Epoch < FencingToken)
    return refuse(RefusalReason::Fenced);
  FencingToken = call.Epoch;
  if (Runs.count(key) != 0)
    return ok();
  extendLease(call.UntilMs);
  auto highest = HighestRunByTask.find(key.first);
  if (highest != HighestRunByTask.end() && key.second <= highest->second)
    return refuse(RefusalReason::StaleRun);
  if (call.UntilMs <= clockMs())
    return refuse(RefusalReason::TooLate);
  checkStart(key);
  countStart(key.first);
  if (Shared.OnStart)
    Shared.OnStart(key.first, call.Epoch);
  Shared.Running[key.first].insert({State.Life.Id, key.second});
  Run run;
  run.StartedAt = Loop.now();
  joinGang(key, run);
  if (Shared.PlanEnd)
    run.Planned = Shared.PlanEnd(key.first, key.second);
  Runs[key] = run;
  return ok();
}

CallOutcome MemoryWorker::stop(const endpoints::StopCall &call) {
  const Key key{call.Order.Task, call.Order.Run};
  if (call.Epoch < FencingToken)
    return refuse(RefusalReason::Fenced);
  FencingToken = call.Epoch;
  HighestRunByTask[key.first] =
      std::max(HighestRunByTask[key.first], key.second);
  auto it = Runs.find(key);
  if (it != Runs.end())
    it->second.StopAt = std::min(it->second.StopAt, Loop.now() + StopDuration);
  return ok();
}

endpoints::KeepAliveReply
MemoryWorker::keepAlive(const endpoints::KeepAliveCall &call) {
  endpoints::KeepAliveReply reply;
  reply.Outcome = ok();
  reply.Outcome.BornMs = State.Life.BornMs;
  if (call.Epoch < FencingToken) {
    reply.Outcome = refuse(RefusalReason::Fenced);
    return reply;
  }
  FencingToken = call.Epoch;
  if (call.UntilMs > 0)
    extendLease(call.UntilMs);
  for (const auto &e : Ended)
    if (e.Number <= call.SeenUpto && LapseCountAtEnd[e.Number] == LapseCount)
      noteAcknowledged(e);
  Ended.erase(
      std::remove_if(Ended.begin(), Ended.end(),
                     [&](const auto &e) { return e.Number <= call.SeenUpto; }),
      Ended.end());
  for (const auto &[key, run] : Runs) {
    const double share =
        absl::FDivDuration(run.WorkDone, Shared.WorkTimeOf(key.first));
    reply.Running.push_back({key.first, key.second, run.Saved,
                             static_cast<int>(100 * std::min(1.0, share))});
  }
  reply.Ended.assign(Ended.begin(),
                     Ended.begin() + static_cast<std::ptrdiff_t>(std::min(
                                         Ended.size(), MaxListedEnds)));
  reply.EndsComplete = Ended.size() < MaxListedEnds;
  return reply;
}

void MemoryWorker::noteAcknowledged(const endpoints::EndedTask &end) {
  Shared.Ends[ObservedEndIndex.at(end.Number)].Acknowledged = true;
  if (end.How == RunEnd::Done)
    Shared.AcknowledgedDone.insert(end.Task);
}

void MemoryWorker::deliverOrder(const endpoints::WorkerIncarnation &incarnation,
                                const std::function<CallOutcome()> &execute,
                                const std::function<void(CallOutcome)> &done) {
  auto noAnswer = [this, done] {
    Loop.runAfter(OrderTimeout, [done] {
      done({CallStatus::NoAnswer, RefusalReason::None, 0, "timeout"});
    });
  };
  if (Down) {
    noAnswer();
    return;
  }
  if (!isListening()) {
    Loop.runAfter(AnswerDelay, [done] {
      done({CallStatus::NotListening, RefusalReason::None, 0, "refused"});
    });
    return;
  }
  // Calls name only the id of the incarnation, not its start time.
  auto executeIfAddressed = [this, incarnation, execute]() -> CallOutcome {
    if (!isListening())
      return {};
    if (incarnation.Id != State.Life.Id)
      return {CallStatus::OtherIncarnation, RefusalReason::None, clockMs(), ""};
    return execute();
  };
  if (chance(LateOrderShare)) {
    Loop.runAfter(randomLateDelay(),
                  [executeIfAddressed] { executeIfAddressed(); });
    noAnswer();
    return;
  }
  Loop.runAfter(AnswerDelay, [this, executeIfAddressed, done, noAnswer] {
    const CallOutcome outcome = executeIfAddressed();
    if (chance(LostOrderAnswerShare))
      noAnswer();
    else
      Loop.runAfter(AnswerDelay, [done, outcome] { done(outcome); });
  });
}

endpoints::WorkerCalls MemoryWorker::calls() {
  endpoints::WorkerCalls calls;
  calls.Start = [this](const endpoints::StartCall &c, const auto &done) {
    ++StartsSent;
    checkCordon(c);
    deliverOrder(
        c.Incarnation, [this, c] { return start(c); }, done);
  };
  calls.Stop = [this](const endpoints::StopCall &c, const auto &done) {
    deliverOrder(
        c.Incarnation, [this, c] { return stop(c); }, done);
  };
  calls.KeepAlive = [this](const endpoints::KeepAliveCall &c,
                           const auto &done) { deliverKeepAlive(c, done); };
  return calls;
}

void MemoryWorker::deliverKeepAlive(
    const endpoints::KeepAliveCall &call,
    const std::function<void(endpoints::KeepAliveReply)> &done) {
  if (Down) {
    Loop.runAfter(OrderTimeout, [done] { done({}); });
    return;
  }
  if (KeepAlivesLeft == 0) {
    Loop.runAfter(PollTimeout, [done] { done({}); });
    return;
  }
  --KeepAlivesLeft;
  if (isListening() && chance(LateKeepAliveShare)) {
    Loop.runAfter(randomLateDelay(), [this, call] {
      if (isListening() && call.Incarnation.Id == State.Life.Id)
        keepAlive(call);
    });
    Loop.runAfter(PollTimeout, [done] { done({}); });
    return;
  }
  Loop.runAfter(AnswerDelay, [this, call, done] {
    endpoints::KeepAliveReply reply;
    if (!isListening()) {
      reply.Outcome.Status = CallStatus::NotListening;
      done(reply);
      return;
    }
    if (call.Incarnation.Id != State.Life.Id) {
      reply.Outcome.Status = CallStatus::OtherIncarnation;
      done(reply);
      return;
    }
    reply = keepAlive(call);
    if (call.WaitMs == 0 || !reply.Ended.empty() ||
        reply.Outcome.Status != CallStatus::Ok) {
      done(reply);
      return;
    }
    PendingPolls.push_back(
        {call, done, Loop.now() + absl::Milliseconds(call.WaitMs)});
  });
}

void MemoryWorker::joinGang(const Key &key, Run &run) {
  const core::StepSpec spec = Shared.StepOf(key.first);
  if (!spec.Gang)
    return;
  const std::string step = key.first.substr(0, key.first.rfind('.'));
  run.Gang = &Shared.Gangs[{step, key.second}];
  run.GangSize = spec.Count;
  run.GangCompleteAt = Loop.now();
  ++run.Gang->Members;
  if (run.Gang->Members == run.GangSize)
    run.Gang->CompleteSince = std::min(run.Gang->CompleteSince, Loop.now());
}

void MemoryWorker::endRun(const Key &key, RunEnd how) {
  const std::string saved = Runs.at(key).Saved;
  if (GangRun *gang = Runs.at(key).Gang) {
    --gang->Members;
    if (gang->EndedAt == absl::InfiniteFuture()) {
      gang->EndedAt = Loop.now();
      gang->EndOfOthers = how == RunEnd::Done ? RunEnd::Done : RunEnd::Broken;
    }
  }
  Runs.erase(key);
  Shared.Running[key.first].erase({State.Life.Id, key.second});
  HighestRunByTask[key.first] =
      std::max(HighestRunByTask[key.first], key.second);
  LapseCountAtEnd[NextEndNumber] = LapseCount;
  ObservedEndIndex[NextEndNumber] = Shared.Ends.size();
  Shared.Ends.push_back({key.first, key.second, how, Loop.now()});
  Ended.push_back({NextEndNumber++, key.first, key.second, how, saved});
  if (Shared.OnEnd)
    Shared.OnEnd(Shared.Ends.back());
}

void MemoryWorker::answerPolls() {
  std::vector<PendingPoll> remaining;
  for (PendingPoll &poll : PendingPolls) {
    if (Ended.empty() && Loop.now() < poll.Until) {
      remaining.push_back(std::move(poll));
      continue;
    }
    // The lease was extended when the call arrived.
    endpoints::KeepAliveCall pollOnly = poll.Call;
    pollOnly.UntilMs = 0;
    poll.Done(keepAlive(pollOnly));
  }
  PendingPolls = std::move(remaining);
}

// A member that starts after the end of the others waits for them in vain.
std::optional<RunEnd> MemoryWorker::endOfGangMember(Run &run) const {
  if (!run.Planned && run.StartedAt <= run.Gang->EndedAt &&
      run.Gang->EndedAt <= Loop.now())
    return run.Gang->EndOfOthers;
  if (run.Gang->Members == run.GangSize)
    run.GangCompleteAt = Loop.now();
  if (Loop.now() - run.GangCompleteAt >= Shared.GangWait)
    return RunEnd::Alone;
  return std::nullopt;
}

bool MemoryWorker::isPlannedEndDue(const Run &run) const {
  const absl::Time begun =
      run.Gang == nullptr ? run.StartedAt : run.Gang->CompleteSince;
  return run.Planned && Loop.now() - begun >= run.Planned->After;
}

bool MemoryWorker::makesProgress(const Run &run) const {
  if (run.Gang == nullptr)
    return !Hangs;
  if (Hangs)
    run.Gang->StandsStillUntil = Loop.now() + 2 * StepInterval;
  return run.Gang->Members == run.GangSize &&
         Loop.now() >= run.Gang->StandsStillUntil;
}

std::optional<RunEnd> MemoryWorker::endOf(const Key &key, Run &run,
                                          bool lapsed) {
  if (lapsed)
    return RunEnd::Lapsed;
  if (Loop.now() >= run.StopAt)
    return RunEnd::Stopped;
  if (FailsAll)
    return RunEnd::Failed;
  if (isPlannedEndDue(run))
    return run.Planned->How;
  if (run.Gang != nullptr)
    if (const std::optional<RunEnd> end = endOfGangMember(run))
      return end;
  if (!makesProgress(run))
    return std::nullopt;
  run.WorkDone += StepInterval;
  if (run.WorkDone >= Shared.WorkTimeOf(key.first))
    return RunEnd::Done;
  return std::nullopt;
}

void MemoryWorker::step() {
  std::vector<std::pair<Key, RunEnd>> ends;
  const bool lapsed = clockMs() >= LeaseUntilMs;
  LapseCount += lapsed && !LeaseLapsed ? 1 : 0;
  LeaseLapsed = lapsed;
  for (auto &[key, run] : Runs)
    if (const std::optional<RunEnd> how = endOf(key, run, lapsed))
      ends.emplace_back(key, *how);
  for (const auto &[key, how] : ends)
    endRun(key, how);
  answerPolls();
  Loop.runAfter(StepInterval, [this] { step(); });
}

} // namespace oriolebay::cluster
