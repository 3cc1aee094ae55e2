#include "workerserver.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <utility>

namespace oriolebay::testing_system {

using nlohmann::json;

namespace {

constexpr int64_t DefaultRunTimeMs = 150;
constexpr absl::Duration PollAnswerDelay = absl::Milliseconds(30);
constexpr absl::Duration HeartbeatInterval = absl::Milliseconds(300);
/// Longest lease that the worker gives.
constexpr absl::Duration MaxLease = absl::Seconds(6);

absl::Duration runTimeOf(const json &body) {
  int64_t ms = 0;
  if (!absl::SimpleAtoi(body.value("spec", ""), &ms))
    ms = DefaultRunTimeMs;
  return absl::Milliseconds(ms);
}

} // namespace

WorkerServer::WorkerServer(utils::EventLoop &loop, RunLog &runs, std::string id,
                           std::string rack, size_t savedBytes,
                           ChangeAnswer changeAnswer)
    : Loop(loop), Runs(runs), Id(std::move(id)), Rack(std::move(rack)),
      Saved(savedBytes, 's'), Change(std::move(changeAnswer)) {
  http::AsyncServerOptions options;
  options.StoredHeaders = {"Oriolebay-Expect-Instance"};
  Server = std::make_unique<http::AsyncServer>(
      options, [this](const http::HttpRequest &request,
                      const http::AsyncServer::Respond &respond) {
        Loop.post([this, request, respond] { serve(request, respond); });
      });
}

json WorkerServer::clock() const {
  return {{"clockMs", absl::ToUnixMillis(Loop.now())}};
}

json WorkerServer::refusal(const char *reason) const {
  json body = clock();
  body["reason"] = reason;
  return body;
}

int WorkerServer::percentOf(const Work &work) const {
  constexpr double MostOfUnfinished = 99;
  const double share = absl::FDivDuration(Loop.now() - work.BeganAt, work.Time);
  return static_cast<int>(std::min(MostOfUnfinished, 100 * share));
}

json WorkerServer::lists() const {
  json body = clock();
  body["running"] = json::array();
  for (const auto &[run, work] : Running)
    body["running"].push_back(
        {run.Task, run.Number, Saved, percentOf(work), 0});
  body["ended"] = json::array();
  for (const auto &[number, end] : Ended)
    body["ended"].push_back(
        {number, end.Run.Task, end.Run.Number, end.How, ""});
  return body;
}

void WorkerServer::extendLease(int64_t untilMs) {
  const absl::Time until =
      std::min(absl::FromUnixMillis(untilMs), Loop.now() + MaxLease);
  if (until <= std::max(LeaseEnd, Loop.now()))
    return;
  LeaseEnd = until;
  IsLeaseExpired = false;
  Runs.onLeaseExtended(Id, until);
  Loop.runAfter(until - Loop.now(), [this] { checkLease(); });
}

void WorkerServer::checkLease() {
  if (IsLeaseExpired || Loop.now() < LeaseEnd)
    return;
  IsLeaseExpired = true;
  ++ExpiredLeases;
  while (!Running.empty())
    end(TaskRun(Running.begin()->first), "lapsed");
}

void WorkerServer::end(const TaskRun &run, const char *how) {
  if (Running.erase(run) == 0)
    return;
  Ended[++LastEnd] = {run, how, ExpiredLeases};
  LastRuns[run.Task] = std::max(LastRuns[run.Task], run.Number);
  Runs.onEnded(Id, run, how);
}

json WorkerServer::start(const json &body) {
  const TaskRun run{body.at("task"), body.at("run")};
  if (Running.count(run) > 0)
    return clock();
  if (absl::FromUnixMillis(body.at("untilMs")) <= Loop.now())
    return refusal("late");
  extendLease(body.at("untilMs"));
  if (run.Number <= LastRuns[run.Task])
    return refusal("old");
  const absl::Duration workTime = runTimeOf(body);
  Running.emplace(run, Work{Loop.now(), workTime});
  Runs.onStarted(Id, run, Loop.now());
  Loop.runAfter(workTime, [this, run] { end(run, "done"); });
  return clock();
}

json WorkerServer::stop(const TaskRun &run) {
  LastRuns[run.Task] = std::max(LastRuns[run.Task], run.Number);
  end(run, "stopped");
  return clock();
}

void WorkerServer::acknowledgeEnds(int64_t upTo) {
  const auto last = Ended.upper_bound(upTo);
  for (auto it = Ended.begin(); it != last; ++it)
    if (it->second.How == "done")
      Runs.onDoneAcknowledged(it->second.Run,
                              it->second.ExpiredLeases != ExpiredLeases);
  Ended.erase(Ended.begin(), last);
}

void WorkerServer::keepAlive(const json &body) {
  extendLease(body.value("untilMs", int64_t{0}));
  acknowledgeEnds(body.at("seenUpto"));
}

void WorkerServer::serve(const http::HttpRequest &request,
                         const http::AsyncServer::Respond &respond) {
  const auto answer = [this, respond](const json &body, int status = 200) {
    const bool isRefusal = body.contains("reason");
    respond({isRefusal ? 409 : status, Change(body.dump())});
  };
  if (request.header("Oriolebay-Expect-Instance") != Id) {
    answer(clock(), 421);
    return;
  }
  checkLease();
  const json body = json::parse(request.Body);
  const int64_t token = body.value("fencingToken", int64_t{0});
  if (token < HighestToken) {
    answer(refusal("fence"));
    return;
  }
  HighestToken = token;
  if (request.Path == "/-/run-start") {
    answer(start(body));
    return;
  }
  if (request.Path == "/-/run-stop") {
    answer(stop({body.at("task"), body.at("run")}));
    return;
  }
  keepAlive(body);
  const bool waits = body.value("waitMs", 0) > 0 && Ended.empty();
  Loop.runAfter(waits ? PollAnswerDelay : absl::ZeroDuration(),
                [this, answer] { answer(lists()); });
}

void WorkerServer::sendHeartbeatsTo(int controlPort) {
  Loop.post([this, controlPort] {
    const bool isFirst = std::exchange(ControlPort, controlPort) == 0;
    if (isFirst)
      sendHeartbeat();
  });
}

void WorkerServer::sendHeartbeat() {
  http::HttpCall call;
  call.Method = "POST";
  call.Url = "http://127.0.0.1:" + std::to_string(ControlPort) +
             "/-/Instances.Heartbeat/" + Id;
  call.Body = json{{"service", "s"},
                   {"zone", "d0"},
                   {"state", "ready"},
                   {"capacity", {{"cpu", 8000}, {"memMb", 8000}, {"gpu", 8}}},
                   {"labels", {"a", Rack}},
                   {"clockMs", absl::ToUnixMillis(Loop.now())},
                   {"sequence", ++Heartbeats}}
                  .dump();
  Client.call(std::move(call), [](const http::HttpResult &) {});
  Loop.runAfter(HeartbeatInterval, [this] { sendHeartbeat(); });
}

} // namespace oriolebay::testing_system
