#include "site.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace sitekit {

using nlohmann::json;

namespace {

constexpr int64_t HeartbeatMs = 1500;
constexpr int64_t StepMs = 20;

} // namespace

Process::Process(Record &log, std::string name,
                 std::vector<std::string> command, std::string outputPath)
    : Log(log), Name(std::move(name)), Command(std::move(command)),
      OutputPath(std::move(outputPath)) {
  start();
}

Process::~Process() {
  if (!isRunning())
    return;
  kill(Pid, SIGCONT);
  kill(Pid, SIGKILL);
  waitpid(Pid, nullptr, 0);
}

void Process::start() {
  std::vector<char *> arguments;
  for (const std::string &word : Command)
    arguments.push_back(const_cast<char *>(word.c_str()));
  arguments.push_back(nullptr);
  EndExpected = false;
  Pid = fork();
  if (Pid != 0) {
    Log.write("started " + Name + ", process " + std::to_string(Pid));
    return;
  }
  // It does not outlive the test, also when that is killed.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int out = open(OutputPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(out, STDOUT_FILENO);
  dup2(out, STDERR_FILENO);
  execv(arguments[0], arguments.data());
  _exit(127);
}

bool Process::isRunning() {
  if (Pid == 0)
    return false;
  int status = 0;
  if (waitpid(Pid, &status, WNOHANG) == 0)
    return true;
  Pid = 0;
  if (!EndExpected)
    ++OwnEnds;
  Log.write(Name + (EndExpected ? " has ended" : " has ended by itself") +
            ", status " + std::to_string(status));
  return false;
}

void Process::signal(int number) {
  if (Pid == 0)
    return;
  EndExpected = EndExpected || number == SIGKILL || number == SIGTERM;
  Log.write("signal " + std::to_string(number) + " to " + Name);
  kill(Pid, number);
}

Site::Site(Record &log, const std::string &root, const std::string &workDir,
           SiteOptions options)
    : Platform(log), Log(log), Root(root), WorkDir(workDir),
      Options(std::move(options)) {
  writeConfig();
  for (const WorkerOptions &worker : Options.Workers)
    Workers.push_back(std::make_unique<Worker>(log, Book, worker));
  for (int i = 0; i < Options.Entries; ++i)
    addEntry(i);
  for (size_t i = 0; i < Workers.size(); ++i)
    addAgent(i);
}

void Site::writeConfig(const std::string &routeSuffix) {
  ConfigVersion += 3;
  json routes = json::array();
  for (int priority = 0; priority < 3; ++priority)
    routes.push_back(
        {{"name", "r-" + std::to_string(priority) + routeSuffix},
         {"host", "site.example"},
         {"prefix",
          priority == 1 ? Prefix : "/jobs" + std::to_string(priority) + "/"},
         {"kind", "unsafe"},
         {"timeoutMs", 3000},
         {"targetLatencyMs", 1000},
         {"priority", priority},
         {"service", "svc"},
         {"attempts", Options.Attempts},
         {"stretch", 3.0},
         {"public", false}});
  Platform.put("op/config",
               {{"version", ConfigVersion},
                {"routes", routes},
                {"services",
                 {{{"name", "svc"},
                   {"healthPath", "/health"},
                   {"maxConnections", 64},
                   {"admissionCheck", false},
                   {"spare", false}}}},
                {"limits", {{"bodyBytes", 262144}}},
                {"tenants",
                 {{{"name", "tenant"},
                   {"apiKeys", {Key}},
                   {"priority", 1},
                   {"guaranteed", {{"gpu", Options.Guaranteed}}}}}}});
}

json Site::bounds() const {
  return {
      {"hold_max_ms", 6000}, {"stop_grace_ms", 900},    {"gang_wait_ms", 3000},
      {"term_grace_s", 6},   {"config_apply_ms", 2000}, {"revoke_ms", 5000},
      {"lease_ms", 3000},    {"keep_finished_s", 120},  {"remote_factor", 3},
      {"restore_ms", 600},   {"reclaim_ms", 3400}};
}

void Site::addEntry(int number) {
  const std::string name = "front-" + std::to_string(number + 1);
  CallerPorts.push_back(freePort());
  ReadyPorts.push_back(freePort());
  const std::string at = "127.0.0.1:";
  json limits = bounds();
  limits["config_rollback_ms"] = 250;
  const json settings = {
      {"name", name},
      {"failure_domain", "zone-a"},
      {"site_failure_domains", {"zone-a"}},
      {"peers_listen", at + std::to_string(freePort())},
      {"metrics_listen", at + std::to_string(freePort())},
      {"store_address", Platform.address()},
      {"store_min_lease_ms", 1000},
      {"advice_address", ""},
      {"heartbeat_ms", HeartbeatMs},
      {"processor_share", 0.25},
      {"memory_mb", 260},
      {"callers_listen", at + std::to_string(CallerPorts.back())},
      {"ready_listen", at + std::to_string(ReadyPorts.back())},
      {"bounds", limits}};
  const std::string path = WorkDir + "/" + name + ".json";
  std::ofstream(path) << settings.dump(2);
  Entries.push_back(std::make_unique<Process>(
      Log, name,
      std::vector<std::string>{Root + "/target/src/app/oriolebay-entry", "jobs",
                               "--settings", path},
      WorkDir + "/" + name + ".log"));
}

void Site::addAgent(size_t number) {
  const std::string name = "side-" + std::to_string(number + 1);
  ControlPorts.push_back(freePort());
  const std::string at = "127.0.0.1:";
  const json settings = {
      {"name", name},
      {"failure_domain", "zone-a"},
      {"peers_listen", at + std::to_string(freePort())},
      {"metrics_listen", at + std::to_string(freePort())},
      {"store_address", Platform.address()},
      {"store_min_lease_ms", 1000},
      {"advice_address", ""},
      {"heartbeat_ms", HeartbeatMs},
      {"memory_mb", 128},
      {"control_listen", at + std::to_string(ControlPorts.back())},
      {"worker_address", Workers[number]->address()},
      {"bounds", bounds()}};
  const std::string path = WorkDir + "/" + name + ".json";
  std::ofstream(path) << settings.dump(2);
  Agents.push_back(std::make_unique<Process>(
      Log, name,
      std::vector<std::string>{Root + "/target/src/app/oriolebay-agent", "jobs",
                               "--settings", path},
      WorkDir + "/" + name + ".log"));
  Workers[number]->setControlPort(ControlPorts.back());
}

CallAnswer Site::call(size_t entry, const std::string &method,
                      const std::string &id, const json &body, int timeoutMs) {
  Request request{method, Prefix + id, {}, {}, ""};
  request.Headers = {{"Host", "site.example"},
                     {"Authorization", "Bearer " + Key},
                     {"Oriolebay-Deadline-Ms", std::to_string(timeoutMs)}};
  if (!body.is_null())
    request.Body = body.dump();
  const Response response = send(CallerPorts[entry], request, timeoutMs);
  json parsed = json::parse(response.Body, nullptr, false);
  Log.write("consumer: " + method + " " + request.Path + " at " +
            Entries[entry]->name() + " -> " + std::to_string(response.Status) +
            " " + response.Body.substr(0, 120));
  return {response.Status, parsed.is_object() ? parsed : json::object()};
}

CallAnswer Site::submit(size_t entry, const std::string &id, const json &job) {
  return call(entry, "POST", id, job);
}

std::string Site::state(size_t entry, const std::string &id) {
  return call(entry, "GET", id).Body.value("state", "");
}

bool Site::awaitState(size_t entry, const std::string &id,
                      const std::string &wanted, int64_t timeoutMs) {
  for (const int64_t end = nowMs() + timeoutMs; nowMs() < end; sleepMs(250))
    if (state(entry, id) == wanted)
      return true;
  return false;
}

bool Site::awaitReady(int64_t timeoutMs) {
  const int64_t end = nowMs() + timeoutMs;
  for (const int port : ReadyPorts)
    while (
        send(port, {"GET", "/-/ready", {}, {{"Host", "x"}}, ""}, 500).Status !=
        200) {
      if (nowMs() > end)
        return false;
      sleepMs(StepMs);
    }
  // A first job shows that a leader knows the workers.
  const std::string id = "00000000000000aa";
  const json job = {{"spec", "ms=100"},
                    {"steps", {{{"count", 1}, {"cpu", 100}, {"memMb", 10}}}}};
  while (submit(0, id, job).Status != 200) {
    if (nowMs() > end)
      return false;
    sleepMs(200);
  }
  return awaitState(0, id, "completed", end - nowMs());
}

CaseArguments parseArguments(int argc, char **argv) {
  constexpr int ArgumentCount = 5;
  constexpr int CannotRun = 2;
  if (argc != ArgumentCount)
    std::_Exit(CannotRun);
  return {argv[1], argv[2], argv[3], std::string(argv[4]) != "0"};
}

void endCase(Site &site, Record &log, bool hasRun, const std::string &broken) {
  site.Entries.clear();
  site.Agents.clear();
  if (!hasRun)
    log.write("the case could not run: " + broken);
  else if (broken.empty())
    log.write("the rule held");
  else
    log.write("the rule was broken: " + broken);
  std::_Exit(!hasRun ? 2 : broken.empty() ? 0 : 1);
}

std::string overlapOf(const std::vector<SeenRun> &runs) {
  for (size_t i = 0; i < runs.size(); ++i)
    for (size_t j = i + 1; j < runs.size(); ++j) {
      const SeenRun &a = runs[i];
      const SeenRun &b = runs[j];
      if (a.Task == b.Task && (a.EndedAt == 0 || b.BeganAt < a.EndedAt))
        return "task " + a.Task + ": run " + std::to_string(a.Run) + " at " +
               a.Worker + " from " + std::to_string(a.BeganAt) + " ms to " +
               std::to_string(a.EndedAt) + " ms, run " + std::to_string(b.Run) +
               " at " + b.Worker + " from " + std::to_string(b.BeganAt) + " ms";
    }
  return "";
}

} // namespace sitekit
