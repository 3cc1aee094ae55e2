#include "jobssite.h"

#include "harness/process.h"
#include "http/asyncclient.h"
#include "jobs/jobrecord.h"
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

const std::string ConfigKey = "op/config";

json configOf(const SiteConfig &config, int version) {
  json routes = json::array();
  for (const std::string &queue : config.Queues)
    routes.push_back({{"name", queue},
                      {"host", "h"},
                      {"prefix", "/" + queue + "/"},
                      {"service", "s"},
                      {"priority", 1},
                      {"attempts", 4}});
  json value = {{"version", version},
                {"routes", routes},
                {"tenants",
                 {{{"name", "o"},
                   {"apiKeys", config.Keys},
                   {"guaranteed", {{"gpu", 4}}}}}}};
  if (config.MaxBodyBytes > 0)
    value["limits"] = {{"bodyBytes", config.MaxBodyBytes}};
  return value;
}

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

std::string createdFolder(const std::string &path) {
  std::filesystem::create_directories(path);
  return path;
}

} // namespace

JobsProcess::JobsProcess(const std::string &program, const std::string &workDir,
                         const json &settings)
    : Name(settings.at("name")), Program(ProgramFolder + "/" + program),
      PathStem(workDir + "/" + Name) {
  std::ofstream(PathStem + ".json") << settings.dump(2);
  start();
}

void JobsProcess::start() {
  ++Starts;
  LogPath = logPathOf(Starts);
  Pid = bench::startProcess({Program, "jobs", "--settings", PathStem + ".json"},
                            LogPath);
}

void JobsProcess::restart() {
  Ports.clear();
  start();
}

void JobsProcess::signal(int number) {
  if (isRunning())
    kill(Pid, number);
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

std::vector<std::string> JobsProcess::logPaths() const {
  std::vector<std::string> paths;
  for (int n = 1; n <= Starts; ++n)
    paths.push_back(logPathOf(n));
  return paths;
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
    : WorkDir(workDir), SiteOptions(std::move(options)),
      Runs(createdFolder(workDir) + "/runs.log"), Random(SiteOptions.Seed),
      Store(Loop, SiteOptions.Seed) {
  Store.put(ConfigKey, configOf({}, ++ConfigVersion).dump());
  Platform = std::make_unique<StoreServer>(
      Loop, Store, [this](std::string body) { return changeAnswer(body); });
  for (int n = 0; n < SiteOptions.Workers; ++n)
    Workers.push_back(std::make_unique<WorkerServer>(
        Loop, Runs, "w" + std::to_string(n), "r0", SiteOptions.SavedBytes,
        [this](std::string body) { return changeAnswer(body); }));
  LoopThread = std::thread([this] { Loop.run(); });
  for (int n = 0; n < SiteOptions.Entries; ++n)
    addEntry(n);
  for (int n = 0; n < SiteOptions.Workers; ++n)
    addWorker(n);
}

JobsSite::~JobsSite() {
  Entries.clear();
  Agents.clear();
  Proxies.clear();
  Loop.stop();
  LoopThread.join();
}

int JobsSite::addProxy(const std::string &process, int serverPort,
                       FaultHook &hook) {
  Proxies.push_back(std::make_unique<FaultyProxy>(
      serverPort, [process, &hook](const ProxyRequest &request) {
        std::lock_guard<std::mutex> lock(hook.Mu);
        return hook.Decide ? hook.Decide(process, request) : ProxyFault::None;
      }));
  return Proxies.back()->port();
}

json JobsSite::settings(const std::string &name) {
  const int storePort = addProxy(name, Platform->port(), StoreFaults);
  json values = {{"name", name},
                 {"failure_domain", "d0"},
                 {"peers_listen", "127.0.0.1:0"},
                 {"store_address", "127.0.0.1:" + std::to_string(storePort)},
                 {"heartbeat_ms", 300},
                 {"bounds", json::object()}};
  if (SiteOptions.MoreSettings)
    values.update(SiteOptions.MoreSettings(name));
  return values;
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
  const auto index = static_cast<size_t>(n);
  const std::string name = "agent-" + std::to_string(n);
  const int workerPort =
      addProxy(name, Workers.at(index)->port(), WorkerFaults);
  json values = settings(name);
  values["control_listen"] = "127.0.0.1:0";
  values["worker_address"] = "127.0.0.1:" + std::to_string(workerPort);
  Agents.push_back(
      std::make_unique<JobsProcess>("oriolebay-agent", WorkDir, values));
  waitUntil([&] { return Agents.back()->port("control") != 0; });
  connectWorker(index);
}

void JobsSite::connectWorker(size_t agent) {
  Workers.at(agent)->sendHeartbeatsTo(Agents.at(agent)->port("control"));
}

std::string JobsSite::changeAnswer(std::string body) {
  ++AnswerCount;
  if (std::uniform_real_distribution<>(0, 1)(Random) >= ChangedAnswers)
    return body;
  for (size_t n = 1 + Random() % 3; n > 0 && !body.empty(); --n)
    body[Random() % body.size()] = static_cast<char>(Random());
  return body;
}

void JobsSite::runOnLoop(const std::function<void()> &task) {
  absl::Notification done;
  Loop.post([&] {
    task();
    done.Notify();
  });
  done.WaitForNotification();
}

void JobsSite::setChangedAnswers(double share) {
  runOnLoop([&] { ChangedAnswers = share; });
}

void JobsSite::put(const std::string &key, const std::string &value) {
  runOnLoop([&] { Store.put(key, value); });
}

void JobsSite::setConfig(const SiteConfig &config) {
  put(ConfigKey, configOf(config, ++ConfigVersion).dump());
}

bool JobsSite::isStored(const std::string &jobId) {
  bool isThere = false;
  runOnLoop([&] { isThere = Store.items().count(jobs::specKey(jobId)) > 0; });
  return isThere;
}

void JobsSite::setStoreFaults(DecideFault decide) {
  std::lock_guard<std::mutex> lock(StoreFaults.Mu);
  StoreFaults.Decide = std::move(decide);
}

void JobsSite::setWorkerFaults(DecideFault decide) {
  std::lock_guard<std::mutex> lock(WorkerFaults.Mu);
  WorkerFaults.Decide = std::move(decide);
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
