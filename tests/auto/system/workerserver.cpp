#include "workerserver.h"

namespace oriolebay::testing_system {

using nlohmann::json;

namespace {

constexpr absl::Duration RunTime = absl::Milliseconds(150);
constexpr absl::Duration PollAnswerDelay = absl::Milliseconds(30);
constexpr absl::Duration HeartbeatInterval = absl::Milliseconds(300);

} // namespace

WorkerServer::WorkerServer(utils::EventLoop &loop, std::string id,
                           std::string rack, ChangeAnswer changeAnswer)
    : Loop(loop), Id(std::move(id)), Rack(std::move(rack)),
      Change(std::move(changeAnswer)) {
  http::AsyncServerOptions options;
  options.StoredHeaders = {"Oriolebay-Expect-Instance"};
  Server = std::make_unique<http::AsyncServer>(
      options, [this](const http::HttpRequest &request,
                      const http::AsyncServer::Respond &respond) {
        Loop.post([this, request, respond] { serve(request, respond); });
      });
}

std::string WorkerServer::address() const {
  return "127.0.0.1:" + std::to_string(Server->port());
}

json WorkerServer::clock() const {
  return {{"clockMs", absl::ToUnixMillis(Loop.now())}};
}

json WorkerServer::lists() const {
  json body = clock();
  body["running"] = json::array();
  for (const auto &[run, running] : Running)
    body["running"].push_back({run.Task, run.Number, "", 50, 0});
  body["ended"] = json::array();
  for (const auto &[number, end] : Ended)
    body["ended"].push_back(end);
  return body;
}

json WorkerServer::start(const Run &run) {
  if (Running.emplace(run, true).second)
    Loop.runAfter(RunTime, [this, run] { end(run, "done"); });
  return clock();
}

json WorkerServer::end(const Run &run, const char *how) {
  if (Running.erase(run) > 0) {
    ++LastEnd;
    Ended[LastEnd] = {LastEnd, run.Task, run.Number, how, ""};
  }
  return clock();
}

void WorkerServer::serve(const http::HttpRequest &request,
                         const http::AsyncServer::Respond &respond) {
  const auto answer = [this, respond](int status, const json &body) {
    respond({status, Change(body.dump())});
  };
  if (request.header("Oriolebay-Expect-Instance") != Id) {
    answer(421, clock());
    return;
  }
  const json body = json::parse(request.Body);
  if (request.Path == "/-/run-start") {
    answer(200, start({body.at("task"), body.at("run")}));
    return;
  }
  if (request.Path == "/-/run-stop") {
    answer(200, end({body.at("task"), body.at("run")}, "stopped"));
    return;
  }
  Ended.erase(Ended.begin(), Ended.upper_bound(body.at("seenUpto")));
  const bool waits = body.value("waitMs", 0) > 0 && Ended.empty();
  Loop.runAfter(waits ? PollAnswerDelay : absl::ZeroDuration(),
                [this, answer] { answer(200, lists()); });
}

void WorkerServer::beginHeartbeats(int controlPort) {
  Loop.post([this, controlPort] { sendHeartbeat(controlPort); });
}

void WorkerServer::sendHeartbeat(int controlPort) {
  http::HttpCall call;
  call.Method = "POST";
  call.Url = "http://127.0.0.1:" + std::to_string(controlPort) +
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
  Loop.runAfter(HeartbeatInterval,
                [this, controlPort] { sendHeartbeat(controlPort); });
}

} // namespace oriolebay::testing_system
