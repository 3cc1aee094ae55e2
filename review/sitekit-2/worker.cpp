#include "worker.h"

#include <algorithm>

namespace sitekit {

namespace {

constexpr int64_t HoldMaxMs = 6000;
constexpr int64_t MaxPollWaitMs = 2000;
constexpr int64_t HeartbeatMs = 1500;
constexpr int64_t GangWaitMs = 3000;
/// Time until a member of a gang learns that another one has ended.
constexpr int64_t GangNewsMs = 30;
/// Time that a stop takes, below stopGraceMs.
constexpr int64_t StopMs = 100;
/// checkpointS: the time of work after which progress is saved.
constexpr int64_t CheckpointMs = 1000;
constexpr int64_t TickMs = 10;
constexpr size_t EndsPerAnswer = 500;
constexpr size_t MaxConnections = 64;

/// Returns "ID.K.STEP" of a task's name.
std::string stepOf(const std::string &task) {
  return task.substr(0, task.rfind('.'));
}

} // namespace

class Gangs {
public:
  struct Gang {
    std::map<RunKey, Worker *> Members;
    bool IsAtWork = false;
  };
  std::map<std::pair<std::string, int64_t>, Gang> ByRun;
};

Worker::Worker(Loop &loop, WorkerOptions options, WorkerHooks hooks)
    : EventLoop(loop), Options(std::move(options)), Hooks(std::move(hooks)),
      ClockOffset(nowMs() - 100000), AllGangs(std::make_shared<Gangs>()),
      Http(
          loop,
          [this](const Request &request, const Respond &respond) {
            serve(request, respond);
          },
          MaxConnections) {
  tick();
}

void Worker::tick() {
  checkLease();
  std::vector<Waiting> due;
  std::vector<Waiting> waiting;
  for (Waiting &poll : WaitingPolls)
    (poll.EndsAt <= nowMs() || !Ended.empty() ? due : waiting)
        .push_back(std::move(poll));
  WaitingPolls = std::move(waiting);
  for (const Waiting &poll : due)
    poll.Answer(200, lists());
  EventLoop.runAfter(TickMs, [this] { tick(); });
}

void Worker::checkLease() {
  if (HasLapsed || nowMs() < LeaseEndsAt)
    return;
  HasLapsed = true;
  ++Lapses;
  while (!Running.empty())
    end(RunKey(Running.begin()->first), "lapsed");
}

void Worker::extendLease(int64_t untilMs) {
  LeaseEndsAt = std::max(LeaseEndsAt,
                         std::min(untilMs + ClockOffset, nowMs() + HoldMaxMs));
  HasLapsed &= nowMs() >= LeaseEndsAt;
}

json Worker::refusal(const char *reason) const {
  return {{"clockMs", clockMs()}, {"reason", reason}};
}

void Worker::serve(const Request &request, const Respond &respond) {
  const std::string expected = request.header("oriolebay-expect-instance");
  if (!expected.empty() && expected != Options.Id)
    return respond(421, {{"clockMs", clockMs()}});
  checkLease();
  const json body = json::parse(request.Body);
  const int64_t token = body.value("fencingToken", int64_t{0});
  if (token < HighestToken)
    return respond(409, refusal("fence"));
  HighestToken = token;
  if (request.Path == "/-/run-start")
    start(body, respond);
  else if (request.Path == "/-/run-stop")
    stop(body, respond);
  else if (request.Path == "/-/hold")
    keepAlive(body, respond);
  else
    respond(404, json::object());
}

void Worker::start(const json &body, const Respond &respond) {
  const RunKey run{body.at("task"), body.at("run")};
  const int64_t untilMs = body.at("untilMs");
  if (untilMs <= clockMs())
    return respond(409, refusal("late"));
  extendLease(untilMs);
  if (Running.count(run) > 0)
    return respond(200, {{"clockMs", clockMs()}});
  auto closed = ClosedRuns.find(run.Task);
  if (closed != ClosedRuns.end() && run.Run <= closed->second)
    return respond(409, refusal("old"));
  Running[run] = {};
  Hooks.OnStarted(Options.Id, run, body.value("spec", ""));
  const int gangSize = GangSize ? GangSize(stepOf(run.Task)) : 0;
  const RunPlan plan = Hooks.Plan(Options.Id, run);
  Running[run].WorkMs = plan.WorkMs;
  if (plan.How != "done" || gangSize == 0) {
    Running[run].BegunAt = nowMs();
    EventLoop.runAfter(plan.WorkMs,
                       [this, run, how = plan.How] { end(run, how); });
  }
  if (gangSize > 0)
    joinGang(run, stepOf(run.Task), gangSize);
  respond(200, {{"clockMs", clockMs()}});
}

void Worker::joinGang(const RunKey &run, const std::string &step, int size) {
  Gangs::Gang &gang = AllGangs->ByRun[{step, run.Run}];
  gang.Members[run] = this;
  if (static_cast<int>(gang.Members.size()) == size) {
    gang.IsAtWork = true;
    for (const auto &[member, worker] : gang.Members)
      worker->begin(member);
    return;
  }
  EventLoop.runAfter(GangWaitMs, [this, run, step] {
    if (!AllGangs->ByRun[{step, run.Run}].IsAtWork)
      end(run, "alone");
  });
}

void Worker::begin(const RunKey &run) {
  auto it = Running.find(run);
  if (it == Running.end() || it->second.BegunAt != 0)
    return;
  it->second.BegunAt = nowMs();
  EventLoop.runAfter(it->second.WorkMs, [this, run] { end(run, "done"); });
}

void Worker::stop(const json &body, const Respond &respond) {
  const RunKey run{body.at("task"), body.at("run")};
  int64_t &closed = ClosedRuns[run.Task];
  closed = std::max(closed, run.Run);
  auto it = Running.find(run);
  if (it != Running.end() && !it->second.IsStopping) {
    it->second.IsStopping = true;
    EventLoop.runAfter(StopMs, [this, run] { end(run, "stopped"); });
  }
  respond(200, {{"clockMs", clockMs()}});
}

void Worker::end(const RunKey &run, const std::string &how) {
  if (Running.erase(run) == 0)
    return;
  Ended[++LastEnd] = {run, how, Lapses};
  int64_t &closed = ClosedRuns[run.Task];
  closed = std::max(closed, run.Run);
  Hooks.OnEnded(Options.Id, run, how);
  if (how == "broken")
    return;
  auto gang = AllGangs->ByRun.find({stepOf(run.Task), run.Run});
  if (gang == AllGangs->ByRun.end())
    return;
  for (const auto &[member, worker] : gang->second.Members)
    if (how == "done")
      worker->end(member, "done");
    else
      EventLoop.runAfter(GangNewsMs,
                         [worker, member] { worker->breakRun(member); });
}

void Worker::keepAlive(const json &body, const Respond &respond) {
  if (body.contains("untilMs"))
    extendLease(body.at("untilMs"));
  NotedUpto = std::max(NotedUpto, body.value("seenUpto", int64_t{0}));
  while (!Ended.empty() && Ended.begin()->first <= NotedUpto) {
    const EndState noted = Ended.begin()->second;
    Ended.erase(Ended.begin());
    Hooks.OnEndNoted(Options.Id, noted.Run, noted.How, noted.Lapses != Lapses);
  }
  const int64_t waitMs =
      std::min(body.value("waitMs", int64_t{0}), MaxPollWaitMs);
  if (waitMs > 0 && Ended.empty())
    WaitingPolls.push_back({nowMs() + waitMs, respond});
  else
    respond(200, lists());
}

std::string Worker::savedOf(const RunKey &run, const RunState &state) const {
  if (!Saved || state.BegunAt == 0)
    return "";
  const int64_t checkpoints = (nowMs() - state.BegunAt) / CheckpointMs;
  return checkpoints == 0 ? "" : Saved(run, checkpoints);
}

json Worker::lists() const {
  json running = json::array();
  for (const auto &[run, state] : Running) {
    const int64_t elapsed =
        state.BegunAt == 0 ? 0 : std::max<int64_t>(0, nowMs() - state.BegunAt);
    const int64_t percent =
        state.WorkMs == 0 ? 0
                          : std::min<int64_t>(99, elapsed * 100 / state.WorkMs);
    running.push_back({run.Task, run.Run, savedOf(run, state), percent, 0});
  }
  json ended = json::array();
  for (const auto &[number, end] : Ended) {
    if (ended.size() == EndsPerAnswer)
      break;
    ended.push_back({number, end.Run.Task, end.Run.Run, end.How, ""});
  }
  return {{"clockMs", clockMs()}, {"running", running}, {"ended", ended}};
}

void Worker::sendHeartbeatsTo(int controlPort) {
  const bool isFirst = ControlPort == 0;
  ControlPort = controlPort;
  if (isFirst)
    sendHeartbeat();
}

void Worker::sendHeartbeat() {
  Call call;
  call.Port = ControlPort;
  call.Method = "POST";
  call.Path = "/-/Instances.Heartbeat/" + Options.Id;
  call.TimeoutMs = 1000;
  call.Body = json{{"service", Options.Service},
                   {"address", "127.0.0.1:" + std::to_string(port())},
                   {"zone", Options.Zone},
                   {"version", "v1"},
                   {"slots", 8},
                   {"state", "ready"},
                   {"coldRemainingMs", 0},
                   {"capacity",
                    {{"cpu", Options.MilliCores},
                     {"memMb", Options.MemoryMb},
                     {"gpu", Options.Accelerators}}},
                   {"labels", {Options.Kind, Options.Rack}},
                   {"clockMs", clockMs()},
                   {"sequence", ++Sequence}}
                  .dump();
  send(EventLoop, call, [](const Answer &) {});
  EventLoop.runAfter(HeartbeatMs, [this] { sendHeartbeat(); });
}

} // namespace sitekit
