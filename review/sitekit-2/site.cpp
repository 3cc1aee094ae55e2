#include "site.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace sitekit {

namespace {

constexpr int64_t StartTimeoutMs = 20000;
constexpr int64_t AfterReadyMs = 2500;
constexpr int64_t ReadyIntervalMs = 200;
constexpr int64_t RetryMs = 300;
const std::vector<std::string> Zones = {"hall-a", "hall-b", "hall-c"};
const std::string ProgramFolder = "target/src/app/";

std::string zoneOf(int number) {
  return Zones[static_cast<size_t>(number) % Zones.size()];
}

std::string loopback(int port) { return "127.0.0.1:" + std::to_string(port); }

} // namespace

bool isWithoutTrouble() {
  const char *trouble = std::getenv("TROUBLE");
  return trouble != nullptr && std::string(trouble) == "0";
}

Process::Process(std::string program, std::string settingsPath,
                 std::string logPath)
    : Program(std::move(program)), SettingsPath(std::move(settingsPath)),
      LogPath(std::move(logPath)) {
  start();
}

Process::~Process() { kill(); }

void Process::start() {
  Pid = fork();
  if (Pid < 0)
    throw std::runtime_error("cannot start a process");
  if (Pid > 0)
    return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log = open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  execl(Program.c_str(), Program.c_str(), "jobs", "--settings",
        SettingsPath.c_str(), nullptr);
  _exit(127);
}

void Process::signal(int number) const {
  if (Pid > 0)
    ::kill(Pid, number);
}

void Process::kill() {
  if (!isRunning())
    return;
  ::kill(Pid, SIGKILL);
  waitpid(Pid, &Status, 0);
  Pid = 0;
}

bool Process::isRunning() {
  if (Pid > 0 && waitpid(Pid, &Status, WNOHANG) == Pid)
    Pid = 0;
  return Pid > 0;
}

std::string Process::how() const {
  if (WIFSIGNALED(Status))
    return "signal " + std::to_string(WTERMSIG(Status));
  return "exit " + std::to_string(WEXITSTATUS(Status));
}

std::vector<WorkerOptions> brnoWorkers(int count) {
  std::vector<WorkerOptions> workers;
  for (int n = 0; n < count; ++n) {
    WorkerOptions worker;
    worker.Id = "i-" + std::to_string(1000 + n);
    worker.Zone = zoneOf(n);
    worker.Rack = "r1-" + std::to_string(n / 3);
    workers.push_back(worker);
  }
  return workers;
}

Site::Site(SiteOptions options, WorkerHooks hooks,
           const std::string &recordPath)
    : Platform(std::make_unique<Store>(EventLoop)), Options(std::move(options)),
      Hooks(std::move(hooks)), Record(std::fopen(recordPath.c_str(), "w")),
      StartedAt(nowMs()) {
  std::string folder =
      (std::filesystem::temp_directory_path() / "site-XXXXXX").string();
  if (Record == nullptr || mkdtemp(folder.data()) == nullptr)
    throw std::runtime_error("cannot write the record or a temporary folder");
  Folder = folder;
  Platform->put("op/config", Options.Manifest.dump());
  for (const WorkerOptions &worker : Options.Workers) {
    Workers.push_back(std::make_unique<Worker>(EventLoop, worker, Hooks));
    Workers.back()->shareGangsWith(*Workers.front());
  }
}

Site::~Site() {
  Entries.clear();
  Agents.clear();
  std::fclose(Record);
  if (std::getenv("KEEP_LOGS") == nullptr)
    std::filesystem::remove_all(Folder);
  else
    std::fprintf(stderr, "logs: %s\n", Folder.c_str());
}

void Site::record(const std::string &line) {
  std::fprintf(Record, "%6lld %s\n",
               static_cast<long long>(nowMs() - StartedAt), line.c_str());
  std::fflush(Record);
}

int Site::newPort() {
  int port = freePort();
  while (!UsedPorts.insert(port).second)
    port = freePort();
  return port;
}

// The keys are those of the templates in platform/, the bounds those of the
// site stp-brno.
json Site::commonSettings(const std::string &name, const std::string &zone) {
  return {{"name", name},
          {"failure_domain", zone},
          {"peers_listen", loopback(newPort())},
          {"metrics_listen", loopback(newPort())},
          {"store_address", loopback(Platform->port())},
          {"store_min_lease_ms", 1000},
          {"advice_address", ""},
          {"heartbeat_ms", 1500},
          {"bounds",
           {{"hold_max_ms", 6000},
            {"stop_grace_ms", 900},
            {"gang_wait_ms", 3000},
            {"term_grace_s", 6},
            {"config_apply_ms", 2000},
            {"revoke_ms", 5000},
            {"lease_ms", 3000},
            {"keep_finished_s", 120},
            {"remote_factor", 3},
            {"restore_ms", 600},
            {"reclaim_ms", 3400}}}};
}

std::string Site::writeSettings(const std::string &name, const json &settings) {
  const std::string path = Folder + "/" + name + ".json";
  std::ofstream(path) << settings.dump(2);
  return path;
}

void Site::addEntry(int number) {
  const std::string name = "front-" + std::to_string(number);
  json settings = commonSettings(name, zoneOf(number));
  CallerPorts.push_back(newPort());
  ReadyPorts.push_back(newPort());
  PeerAddresses.push_back("tcp://" +
                          settings["peers_listen"].get<std::string>());
  settings["site_failure_domains"] = Zones;
  settings["processor_share"] = 0.25;
  settings["callers_listen"] = loopback(CallerPorts.back());
  settings["ready_listen"] = loopback(ReadyPorts.back());
  settings["bounds"]["config_rollback_ms"] = 250;
  Entries.push_back(std::make_unique<Process>(ProgramFolder + "oriolebay-entry",
                                              writeSettings(name, settings),
                                              Folder + "/" + name + ".log"));
}

void Site::addAgent(int number) {
  Worker &worker = *Workers[static_cast<size_t>(number)];
  const std::string name = "side-" + std::to_string(number);
  json settings = commonSettings(name, zoneOf(number));
  const int control = newPort();
  settings["control_listen"] = loopback(control);
  settings["worker_address"] = loopback(worker.port());
  Agents.push_back(std::make_unique<Process>(ProgramFolder + "oriolebay-agent",
                                             writeSettings(name, settings),
                                             Folder + "/" + name + ".log"));
  EventLoop.runAfter(500,
                     [&worker, control] { worker.sendHeartbeatsTo(control); });
}

void Site::askReady(int entry) {
  Call call;
  call.Port = ReadyPorts[static_cast<size_t>(entry)];
  call.Method = "GET";
  call.Path = "/-/ready";
  call.TimeoutMs = 1000;
  send(EventLoop, call, [this, entry](const Answer &answer) {
    if (answer.Status == 200)
      ReadyEntries.insert(entry);
    else
      EventLoop.runAfter(ReadyIntervalMs, [this, entry] { askReady(entry); });
  });
}

bool Site::start() {
  for (int n = 0; n < Options.Entries; ++n)
    addEntry(n);
  for (size_t n = 0; n < Workers.size(); ++n)
    addAgent(static_cast<int>(n));
  for (int n = 0; n < Options.Entries; ++n)
    askReady(n);
  const bool isReady = EventLoop.runUntil(
      [this] {
        return static_cast<int>(ReadyEntries.size()) == Options.Entries;
      },
      StartTimeoutMs);
  EventLoop.runFor(AfterReadyMs);
  record(isReady ? "all entries are ready" : "the entries do not get ready");
  return isReady;
}

void Site::call(int entry, const std::string &method, const std::string &path,
                const json &body, const std::string &key,
                std::function<void(const Answer &)> done,
                int64_t leavesAfterMs) {
  Call call;
  call.Port = CallerPorts[static_cast<size_t>(entry)];
  call.Method = method;
  call.Path = path;
  call.Headers = {{"Host", "brno.example"},
                  {"Authorization", "Bearer " + key},
                  {"Oriolebay-Deadline-Ms", std::to_string(CallerDeadlineMs)}};
  if (!body.is_null())
    call.Body = body.dump();
  call.TimeoutMs = leavesAfterMs;
  send(EventLoop, call, std::move(done));
}

void Site::submit(int entry, const std::string &prefix, const std::string &id,
                  const json &job, const std::string &key,
                  std::function<void(int)> done) {
  call(entry, "POST", prefix + id, job, key, [=, this](const Answer &answer) {
    record("POST " + prefix + id + " at entry " + std::to_string(entry) + ": " +
           std::to_string(answer.Status));
    const bool isOpen = answer.Status == 0 || answer.Status == 502 ||
                        answer.Status == 503 || answer.Status == 504 ||
                        answer.Status == 429;
    if (!isOpen)
      return done(answer.Status);
    EventLoop.runAfter(RetryMs, [=, this] {
      submit((entry + 1) % Options.Entries, prefix, id, job, key, done);
    });
  });
}

void Site::state(int entry, const std::string &path, const std::string &key,
                 std::function<void(const std::string &)> done) {
  call(entry, "GET", path, json(), key, [done](const Answer &answer) {
    done(answer.Status == 200 && answer.Body.is_object()
             ? answer.Body.value("state", "")
             : std::to_string(answer.Status));
  });
}

void Site::writeManifest(const json &manifest) {
  Platform->put("op/config", manifest.dump());
}

} // namespace sitekit
