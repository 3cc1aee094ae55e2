#include "jobssite.h"

#include "harness/process.h"
#include "http/asyncclient.h"
#include "waituntil.h"

#include <absl/synchronization/notification.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sys/wait.h>

namespace oriolebay::testing_system {

using nlohmann::json;
using testwaits::waitUntil;

namespace {

constexpr long CallTimeoutMs = 5000;
const std::string ProgramFolder = std::string(ORIOLEBAY_BUILD_DIR) + "/src/app";

const json Config = {
    {"version", 1},
    {"routes",
     {{{"name", "q"},
       {"host", "h"},
       {"prefix", "/q/"},
       {"service", "s"},
       {"priority", 1},
       {"attempts", 4}}}},
    {"tenants",
     {{{"name", "o"}, {"apiKeys", {"key"}}, {"guaranteed", {{"gpu", 4}}}}}}};

std::string jobText() {
  return json{{"spec", "x"}, {"steps", {{{"cpu", 1000}, {"estimateMs", 150}}}}}
      .dump();
}

http::HttpResult send(http::HttpCall call) {
  http::AsyncClient client;
  absl::Notification done;
  http::HttpResult result;
  call.TimeoutMs = CallTimeoutMs;
  client.call(std::move(call), [&](http::HttpResult r) {
    result = std::move(r);
    done.Notify();
  });
  done.WaitForNotification();
  return result;
}

http::HttpResult send(int port, const std::string &method,
                      const std::string &path, const std::string &body,
                      std::vector<std::string> headers) {
  http::HttpCall call;
  call.Method = method;
  call.Url = "http://127.0.0.1:" + std::to_string(port) + path;
  call.Body = body;
  call.Headers = std::move(headers);
  return send(std::move(call));
}

http::HttpResult sendWithKey(int port, const std::string &method,
                             const std::string &path, const std::string &body,
                             const std::string &key = "key") {
  return send(port, method, path, body,
              {"Host: h", "Authorization: Bearer " + key});
}

} // namespace

JobsProcess::JobsProcess(const std::string &program, const std::string &workDir,
                         const json &settings)
    : Name(settings.at("name")), LogPath(workDir + "/" + Name + ".log") {
  const std::string file = workDir + "/" + Name + ".json";
  std::ofstream(file) << settings.dump(2);
  Pid = bench::startProcess(
      {ProgramFolder + "/" + program, "jobs", "--settings", file}, LogPath);
}

JobsProcess::~JobsProcess() {
  if (!isRunning())
    return;
  kill(Pid, SIGKILL);
  waitpid(Pid, nullptr, 0);
}

bool JobsProcess::isRunning() {
  if (Pid > 0 && waitpid(Pid, nullptr, WNOHANG) == Pid)
    Pid = 0;
  return Pid > 0;
}

std::string JobsProcess::log() const {
  std::ifstream in(LogPath);
  return {std::istreambuf_iterator<char>(in), {}};
}

int JobsProcess::port(const std::string &role) {
  if (auto it = Ports.find(role); it != Ports.end())
    return it->second;
  std::ifstream in(LogPath);
  for (std::string line; std::getline(in, line);) {
    const json event = json::parse(line, nullptr, false);
    if (!event.is_object() || event.value("name", "") != "listener.bound")
      continue;
    const std::string address = event.value("address", "");
    Ports[event.value("role", "")] =
        address.empty() ? event.value("port", 0)
                        : std::stoi(address.substr(address.rfind(':') + 1));
  }
  auto it = Ports.find(role);
  return it == Ports.end() ? 0 : it->second;
}

int JobsProcess::eventCount(const std::string &event) const {
  const std::string text = log();
  const std::string name = "\"name\":\"" + event + "\"";
  int count = 0;
  for (size_t at = text.find(name); at != std::string::npos;
       at = text.find(name, at + 1))
    ++count;
  return count;
}

JobsSite::JobsSite(const std::string &workDir, Options options)
    : WorkDir(workDir), Random(options.Seed), Store(Loop, options.Seed) {
  std::filesystem::create_directories(WorkDir);
  Store.put("op/config", Config.dump());
  Platform = std::make_unique<StoreServer>(
      Loop, Store, [this](std::string body) { return changeAnswer(body); });
  for (int n = 0; n < options.Workers; ++n)
    Workers.push_back(std::make_unique<WorkerServer>(
        Loop, "w" + std::to_string(n), "r0",
        [this](std::string body) { return changeAnswer(body); }));
  LoopThread = std::thread([this] { Loop.run(); });
  for (int n = 0; n < options.Entries; ++n)
    addEntry(n);
  for (int n = 0; n < options.Workers; ++n)
    addWorker(n);
}

JobsSite::~JobsSite() {
  Entries.clear();
  Agents.clear();
  Loop.stop();
  LoopThread.join();
}

json JobsSite::settings(const std::string &name) const {
  return {{"name", name},
          {"failure_domain", "d0"},
          {"peers_listen", "127.0.0.1:0"},
          {"store_address", "127.0.0.1:" + std::to_string(Platform->port())},
          {"heartbeat_ms", 300},
          {"bounds", json::object()}};
}

void JobsSite::addEntry(int n) {
  json values = settings("entry-" + std::to_string(n));
  values["site_failure_domains"] = {"d0"};
  values["callers_listen"] = "127.0.0.1:0";
  values["ready_listen"] = "127.0.0.1:0";
  Entries.push_back(
      std::make_unique<JobsProcess>("oriolebay-entry", WorkDir, values));
}

void JobsSite::addWorker(int n) {
  WorkerServer &worker = *Workers.at(static_cast<size_t>(n));
  json values = settings("agent-" + std::to_string(n));
  values["control_listen"] = "127.0.0.1:0";
  values["worker_address"] = worker.address();
  Agents.push_back(
      std::make_unique<JobsProcess>("oriolebay-agent", WorkDir, values));
  JobsProcess &agent = *Agents.back();
  waitUntil([&agent] { return agent.port("control") != 0; });
  worker.beginHeartbeats(agent.port("control"));
}

std::string JobsSite::changeAnswer(std::string body) {
  ++AnswerCount;
  if (std::uniform_real_distribution<>(0, 1)(Random) >= ChangedAnswers)
    return body;
  for (size_t n = 1 + Random() % 3; n > 0 && !body.empty(); --n)
    body[Random() % body.size()] = static_cast<char>(Random());
  return body;
}

void JobsSite::setChangedAnswers(double share) {
  absl::Notification done;
  Loop.post([&] {
    ChangedAnswers = share;
    done.Notify();
  });
  done.WaitForNotification();
}

void JobsSite::put(const std::string &key, const std::string &value) {
  absl::Notification done;
  Loop.post([&] {
    Store.put(key, value);
    done.Notify();
  });
  done.WaitForNotification();
}

int JobsSite::call(size_t entry, const std::string &method,
                   const std::string &path, const std::string &body) {
  return sendWithKey(Entries.at(entry)->port("callers"), method, path, body)
      .Status;
}

int JobsSite::callWithKey(size_t entry, const std::string &key,
                          const std::string &method, const std::string &path) {
  return sendWithKey(Entries.at(entry)->port("callers"), method, path, "", key)
      .Status;
}

int JobsSite::callWithoutKey(size_t entry, const std::string &method,
                             const std::string &path, const std::string &body) {
  return send(Entries.at(entry)->port("callers"), method, path, body,
              {"Host: h"})
      .Status;
}

int JobsSite::callPort(int port, const std::string &method,
                       const std::string &path, const std::string &body) {
  return send(port, method, path, body, {}).Status;
}

void JobsSite::completeJob(size_t entry, const std::string &id) {
  const int port = Entries.at(entry)->port("callers");
  waitUntil([&] {
    return sendWithKey(port, "POST", "/q/" + id, jobText()).Status == 200;
  });
  waitUntil([&] {
    const std::string body = sendWithKey(port, "GET", "/q/" + id, "").Body;
    return body.find("completed") != std::string::npos;
  });
}

void JobsSite::awaitService() {
  for (size_t n = 0; n < Entries.size(); ++n) {
    waitUntil([&] { return Entries[n]->port("callers") != 0; });
    const std::string id = "00000000000000f" + std::to_string(n);
    completeJob(n, id);
  }
}

} // namespace oriolebay::testing_system
