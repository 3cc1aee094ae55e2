#include "worker.h"

#include <algorithm>
#include <chrono>
#include <thread>

namespace sitekit {

using nlohmann::json;

namespace {

constexpr int64_t MaxWaitMs = 2000;
constexpr size_t MaxEndsListed = 500;
constexpr int ConfirmationMs = 1000;
constexpr int64_t EndlessMs = 1000000000;
/// remoteFactor: how much longer a task takes away from the rack of its data.
constexpr int64_t RemoteFactor = 3;

int64_t workMsOf(const std::string &spec) {
  const size_t at = spec.find("ms=");
  return at == std::string::npos ? EndlessMs
                                 : std::atoll(spec.c_str() + at + 3);
}

int64_t unixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

size_t RunBook::begin(SeenRun run) {
  std::lock_guard<std::mutex> lock(Mu);
  All.push_back(std::move(run));
  return All.size() - 1;
}

void RunBook::end(size_t index, const std::string &how) {
  std::lock_guard<std::mutex> lock(Mu);
  All[index].EndedAt = nowMs();
  All[index].How = how;
}

std::vector<SeenRun> RunBook::runs() {
  std::lock_guard<std::mutex> lock(Mu);
  return All;
}

Worker::Worker(Record &log, RunBook &book, WorkerOptions options)
    : Log(log), Book(book), Options(std::move(options)) {
  start();
  std::thread([this] {
    while (true) {
      sleepMs(10);
      advance();
    }
  }).detach();
}

std::string Worker::id() {
  std::lock_guard<std::mutex> lock(Mu);
  return Now.Id;
}

bool Worker::isDrainConfirmed() {
  std::lock_guard<std::mutex> lock(Mu);
  return Now.DrainConfirmed;
}

size_t Worker::runningCount() {
  std::lock_guard<std::mutex> lock(Mu);
  return Now.Running.size();
}

void Worker::setControlPort(int port) {
  std::lock_guard<std::mutex> lock(Mu);
  ControlPort = port;
}

void Worker::start() {
  std::lock_guard<std::mutex> lock(Mu);
  if (Up)
    return;
  beginLocked();
  std::thread([this, life = LifeNumber] { sendHeartbeats(life); }).detach();
}

void Worker::beginLocked() {
  Up = true;
  ++LifeNumber;
  Now = {};
  Now.Id = "i-" + Options.Name +
           (Options.KeepsId ? "" : "-" + std::to_string(LifeNumber));
  Now.BornMs = Options.KeepsId ? unixMs() : 0;
  Now.BornAt = nowMs();
  Now.ClockBase = 1000;
  Servers.push_back(std::make_unique<HttpServer>(
      [this, life = LifeNumber](const Request &request) {
        {
          std::lock_guard<std::mutex> inner(Mu);
          if (life != LifeNumber || !Up)
            return Response{};
        }
        return serve(request);
      },
      Port));
  Port = Servers.back()->port();
  Log.write(Options.Name + ": lifetime begins, id " + Now.Id + ", born " +
            std::to_string(Now.BornMs));
}

void Worker::finishLocked(const std::string &why) {
  if (!Up)
    return;
  Up = false;
  for (const auto &[task, work] : Now.Running)
    Book.end(work.BookIndex, "gone");
  Log.write(Options.Name + ": lifetime ends (" + why + "), " +
            std::to_string(Now.Running.size()) + " runs end with it");
  Now.Running.clear();
  Servers.back()->stop();
  Changed.notify_all();
}

void Worker::leave(int64_t drainMs, int64_t unconfirmedMs) {
  uint64_t life = 0;
  {
    std::lock_guard<std::mutex> lock(Mu);
    Now.Draining = true;
    Now.DrainEndsAt = nowMs() + drainMs;
    life = LifeNumber;
    Changed.notify_all();
  }
  while (!isDrainConfirmed())
    sleepMs(5);
  {
    std::lock_guard<std::mutex> lock(Mu);
    Now.DrainEndsAt = nowMs() + drainMs;
  }
  Log.write(Options.Name + ": draining is confirmed");
  sleepMs(drainMs);
  Request request{"POST", "/-/Instances.Deregister/" + id(), {}, {}, ""};
  int port = 0;
  {
    std::lock_guard<std::mutex> lock(Mu);
    if (Options.KeepsId)
      request.Body = json{{"born", Now.BornMs}}.dump();
    Now.Deregistered = true;
    port = ControlPort;
  }
  Log.write(Options.Name + ": deregisters, runs " +
            std::to_string(runningCount()) + " tasks");
  const Response answer = send(port, request, ConfirmationMs);
  const bool isConfirmed = answer.Status >= 200 && answer.Status < 300;
  Log.write(Options.Name + ": deregistration " +
            (isConfirmed ? "is confirmed" : "has no confirmation"));
  if (!isConfirmed)
    sleepMs(unconfirmedMs);
  std::lock_guard<std::mutex> lock(Mu);
  if (life == LifeNumber)
    finishLocked("leaves");
}

json Worker::heartbeatLocked() {
  json body = {
      {"service", Options.Service},
      {"address", "127.0.0.1:" + std::to_string(Port)},
      {"zone", Options.Zone},
      {"version", "v1"},
      {"slots", 8},
      {"state", Now.Draining ? "draining" : "ready"},
      {"coldRemainingMs", 0},
      {"capacity",
       {{"cpu", Options.Cpu}, {"memMb", Options.MemMb}, {"gpu", Options.Gpu}}},
      {"labels", Options.Labels},
      {"clockMs", clockMsLocked()},
      {"sequence", Now.Sequence}};
  if (Now.Draining)
    body["remainingMs"] = std::max<int64_t>(0, Now.DrainEndsAt - nowMs());
  if (Options.KeepsId)
    body["born"] = Now.BornMs;
  return body;
}

void Worker::sendHeartbeats(uint64_t life) {
  while (true) {
    Request request{"POST", "", {}, {}, ""};
    int port = 0;
    bool drains = false;
    {
      std::lock_guard<std::mutex> lock(Mu);
      if (life != LifeNumber || !Up || Now.Deregistered)
        return;
      ++Now.Sequence;
      drains = Now.Draining;
      request.Path = "/-/Instances.Heartbeat/" + Now.Id;
      request.Body = heartbeatLocked().dump();
      port = ControlPort;
    }
    const bool isConfirmed =
        port != 0 && send(port, request, ConfirmationMs).Status == 200;
    std::unique_lock<std::mutex> lock(Mu);
    if (life != LifeNumber)
      return;
    Now.DrainConfirmed = Now.DrainConfirmed || (drains && isConfirmed);
    const int64_t pause = isConfirmed ? Options.HeartbeatMs : 100;
    Changed.wait_for(lock, std::chrono::milliseconds(pause), [&] {
      return life != LifeNumber || !Up || Now.Draining != drains;
    });
  }
}

json Worker::clockLocked() const {
  json body = {{"clockMs", clockMsLocked()}};
  if (Options.KeepsId)
    body["born"] = Now.BornMs;
  return body;
}

Response Worker::refusal(const char *reason) const {
  json body = clockLocked();
  body["reason"] = reason;
  return {409, body.dump()};
}

Response Worker::serve(const Request &request) {
  if (request.Path == "/health")
    return {200, "{}"};
  const json body = json::parse(request.Body, nullptr, false);
  if (!body.is_object())
    return {400, "{}"};
  const std::string expected = request.header("oriolebay-expect-instance");
  {
    std::lock_guard<std::mutex> lock(Mu);
    if (!expected.empty() && expected != Now.Id)
      return {421, clockLocked().dump()};
  }
  return apply(request.Path, body);
}

Response Worker::apply(const std::string &path, const json &body) {
  std::unique_lock<std::mutex> lock(Mu);
  const int64_t token = body.value("fencingToken", int64_t{0});
  if (token < Now.Token)
    return refusal("fence");
  Now.Token = token;
  if (path == "/-/run-start")
    return runStart(body);
  if (path == "/-/run-stop")
    return runStop(body);
  if (path != "/-/hold")
    return {404, "{}"};
  extendLocked(body);
  const int64_t seen = body.value("seenUpto", int64_t{0});
  std::erase_if(Now.Ended, [seen](const auto &e) { return e.first <= seen; });
  const int64_t waitMs = std::min(MaxWaitMs, body.value("waitMs", int64_t{0}));
  const uint64_t life = LifeNumber;
  Changed.wait_for(lock, std::chrono::milliseconds(waitMs), [&] {
    return !Now.Ended.empty() || life != LifeNumber || !Up;
  });
  if (life != LifeNumber || !Up)
    return {};
  return {200, listsLocked().dump()};
}

void Worker::extendLocked(const json &body) {
  const int64_t until = std::min(body.value("untilMs", int64_t{0}),
                                 clockMsLocked() + Options.HoldMaxMs);
  Now.LeaseUntil = std::max(Now.LeaseUntil, until);
}

Response Worker::runStart(const json &body) {
  const std::string task = body.at("task");
  const int64_t run = body.at("run");
  const std::string what = task + " run " + std::to_string(run);
  auto running = Now.Running.find(task);
  if (running != Now.Running.end() && running->second.Run == run) {
    extendLocked(body);
    return {200, clockLocked().dump()};
  }
  if (body.value("untilMs", int64_t{0}) <= clockMsLocked()) {
    Log.write(Options.Name + ": refuses " + what + ", late");
    return refusal("late");
  }
  extendLocked(body);
  if (running != Now.Running.end() ||
      (Now.LastRuns.count(task) != 0 && run <= Now.LastRuns[task])) {
    Log.write(Options.Name + ": refuses " + what + ", old");
    return refusal("old");
  }
  const std::string spec = body.at("spec");
  const std::string saved = body.value("saved", "");
  Work work;
  work.Run = run;
  work.BeganAt = nowMs();
  work.WorkMs = workMsOf(spec);
  if (const size_t rack = spec.find("rack=");
      rack != std::string::npos &&
      spec.substr(rack + 5, Options.Labels[1].size()) != Options.Labels[1])
    work.WorkMs *= RemoteFactor;
  work.Saved = saved;
  work.SavesProgress = spec.find("saves") != std::string::npos;
  if (!saved.empty())
    work.DoneMs = std::atoll(saved.c_str()) - Options.RestoreMs;
  work.BookIndex =
      Book.begin({task, run, Now.Id, spec, saved, work.BeganAt, 0, ""});
  Now.Running[task] = work;
  Log.write(Options.Name + ": starts " + what + ", spec \"" + spec +
            "\", saved \"" + saved + "\", token " + std::to_string(Now.Token));
  return {200, clockLocked().dump()};
}

Response Worker::runStop(const json &body) {
  const std::string task = body.at("task");
  const int64_t run = body.at("run");
  int64_t &last = Now.LastRuns[task];
  auto it = Now.Running.find(task);
  Log.write(Options.Name + ": is told to stop " + task + " run " +
            std::to_string(run));
  if (it != Now.Running.end() && it->second.Run == run) {
    if (it->second.StopsAt == 0)
      it->second.StopsAt = nowMs() + Options.StopMs;
  } else {
    last = std::max(last, run);
  }
  return {200, clockLocked().dump()};
}

std::string Worker::progressLocked(const std::string &task, Work &work) const {
  const int64_t done =
      std::min(work.WorkMs, work.DoneMs + nowMs() - work.BeganAt);
  if (done <= 0 || !work.SavesProgress)
    return work.Saved;
  return std::to_string(done) + " of " + task;
}

void Worker::endLocked(const std::string &task, const std::string &how) {
  auto it = Now.Running.find(task);
  Work work = it->second;
  if (how == "stopped")
    work.Saved = progressLocked(task, work);
  Now.Running.erase(it);
  int64_t &last = Now.LastRuns[task];
  last = std::max(last, work.Run);
  ++Now.LastEnd;
  Now.Ended[Now.LastEnd] =
      json::array({Now.LastEnd, task, work.Run, how, work.Saved});
  Book.end(work.BookIndex, how);
  Log.write(Options.Name + ": ends " + task + " run " +
            std::to_string(work.Run) + ", " + how);
  Changed.notify_all();
}

void Worker::advance() {
  std::lock_guard<std::mutex> lock(Mu);
  if (!Up)
    return;
  std::map<std::string, std::string> ends;
  for (auto &[task, work] : Now.Running) {
    const int64_t done = work.DoneMs + nowMs() - work.BeganAt;
    if (clockMsLocked() >= Now.LeaseUntil)
      ends[task] = "lapsed";
    else if (work.StopsAt != 0 && nowMs() >= work.StopsAt)
      ends[task] = "stopped";
    else if (work.StopsAt == 0 && done >= work.WorkMs)
      ends[task] = "done";
    else if (done / Options.CheckpointMs >
             std::atoll(work.Saved.c_str()) / Options.CheckpointMs)
      work.Saved = progressLocked(task, work);
  }
  for (const auto &[task, how] : ends)
    endLocked(task, how);
}

json Worker::listsLocked() const {
  json body = clockLocked();
  json running = json::array();
  for (const auto &[task, work] : Now.Running) {
    const int64_t done =
        std::max<int64_t>(0, work.DoneMs + nowMs() - work.BeganAt);
    const int64_t percent =
        work.WorkMs == EndlessMs
            ? 100
            : std::min<int64_t>(99,
                                done * 100 / std::max<int64_t>(1, work.WorkMs));
    running.push_back(json::array({task, work.Run, work.Saved, percent, 1000}));
  }
  json ended = json::array();
  for (const auto &[number, row] : Now.Ended)
    if (ended.size() < MaxEndsListed)
      ended.push_back(row);
  body["running"] = running;
  body["ended"] = ended;
  return body;
}

} // namespace sitekit
