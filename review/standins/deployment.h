// A small deployment on loopback: the project's own programs as processes, with
// a stand-in for the store and one for each worker, and the operator's and the
// consumers' calls.
#pragma once

#include "worker.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <cstring>
#include <filesystem>

namespace review {

/// A process of the project, started with the command of the deploy file.
class Process {
public:
  Process(std::string name, std::vector<std::string> command, std::string log)
      : Name(std::move(name)), Command(std::move(command)),
        LogPath(std::move(log)) {}
  ~Process() { kill(SIGKILL); }
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  void start() {
    std::vector<char *> args;
    for (std::string &word : Command)
      args.push_back(word.data());
    args.push_back(nullptr);
    Pid = fork();
    if (Pid != 0)
      return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    execv(args[0], args.data());
    _exit(127);
  }

  /// Returns how the process has ended by itself; empty if it runs.
  std::string ended() {
    int status = 0;
    if (Pid <= 0 || waitpid(Pid, &status, WNOHANG) != Pid)
      return "";
    Pid = 0;
    return WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                               : "exit " + std::to_string(WEXITSTATUS(status));
  }

  void signal(int number) const {
    if (Pid > 0)
      ::kill(Pid, number);
  }

  void kill(int number) {
    if (Pid <= 0)
      return;
    ::kill(Pid, number);
    waitpid(Pid, nullptr, 0);
    Pid = 0;
  }

  const std::string Name;

private:
  std::vector<std::string> Command;
  const std::string LogPath;
  pid_t Pid = 0;
};

struct DeploymentOptions {
  int Entries = 1;
  int Workers = 2;
  /// Racks that the workers are spread over.
  int Racks = 1;
  /// The operator's first configuration.
  json Manifest;
  std::string Service = "programme-hub";
  Worker::Plan Plan;
};

/// A consumer's answer.
struct Answer {
  int Status = 0;
  json Body;
};

class Deployment {
public:
  Deployment(const std::string &caseFolder, DeploymentOptions options)
      : Log(caseFolder + "/record.txt"), Options(std::move(options)) {
    ::signal(SIGPIPE, SIG_IGN);
    char folder[] = "/tmp/oriolebay-review-XXXXXX";
    if (mkdtemp(folder) == nullptr)
      throw std::runtime_error("no temporary folder");
    WorkFolder = folder;
    setManifest(Options.Manifest);
    for (int i = 0; i < Options.Entries; ++i)
      addEntry(i);
    for (int i = 0; i < Options.Workers; ++i)
      addWorker(i);
  }
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  /// Ends the case: 0 if the rule held, 1 if it was broken, 2 if the case could
  /// not run. Ends all processes that it started, by their ids.
  [[noreturn]] void conclude(int result, const std::string &why) {
    const char *const names[] = {"HELD", "BROKEN", "COULD NOT RUN"};
    Log.write(std::string(names[result]) + ": " + why);
    std::cout << names[result] << ": " << why << std::endl;
    Processes.clear();
    std::filesystem::remove_all(WorkFolder);
    // The threads of the stand-ins still run.
    _exit(result);
  }

  /// Writes a manifest as the operator. Returns when it is confirmed.
  void setManifest(const json &manifest) {
    Platform.put("op/config", manifest.dump());
    Log.write("operator: manifest version " +
              std::to_string(manifest.at("version").get<int64_t>()) +
              " confirmed");
  }

  /// Waits until all entries are ready and the workers are known. Returns
  /// false if that takes too long.
  bool awaitReady() {
    const int64_t deadline = steadyMs() + 20000;
    for (const int port : ReadyPorts)
      while (call(port, "GET", "/-/ready", "").Status != 200) {
        if (steadyMs() > deadline) {
          for (const auto &[name, process] : Processes)
            Log.write(name + " " + process->ended());
          return false;
        }
        sleepMs(100);
      }
    // Agents find the leader and probe their workers by their next reports.
    sleepMs(4000);
    return true;
  }

  Answer send(int entry, const std::string &method, const std::string &path,
              const json &body = nullptr, const std::string &key = "key-a",
              int64_t budgetMs = 3000) {
    const std::string text = body.is_null() ? "" : body.dump();
    std::vector<std::string> headers = {
        "Host: nony24.example", "Authorization: Bearer " + key,
        "Oriolebay-Deadline-Ms: " + std::to_string(budgetMs)};
    Log.write("consumer -> entry " + std::to_string(entry) + ": " + method +
              " " + path + " " + text);
    const HttpResponse r = call(CallerPorts.at(static_cast<size_t>(entry)),
                                method, path, text, headers, budgetMs);
    Log.write("consumer <- entry " + std::to_string(entry) + ": " + method +
              " " + path + " " + std::to_string(r.Status) + " " + r.Body);
    return {r.Status, json::parse(r.Body, nullptr, false)};
  }

  std::string stateOf(int entry, const std::string &path) {
    const Answer a = send(entry, "GET", path);
    return a.Status == 200 && a.Body.is_object() ? a.Body.value("state", "")
                                                 : "";
  }

  /// The entry that leads now; -1 if none does.
  int leader() {
    const std::string address = Platform.value("oriolebay/leader");
    for (size_t i = 0; i < PeerPorts.size(); ++i)
      if (address.ends_with(":" + std::to_string(PeerPorts[i])))
        return static_cast<int>(i);
    return -1;
  }

  Process &process(const std::string &name) { return *Processes.at(name); }
  Worker &worker(int i) { return *Workers.at(static_cast<size_t>(i)); }
  int controlPort(int worker) const {
    return ControlPorts.at(static_cast<size_t>(worker));
  }

  Record Log;
  Store Platform;
  GangBoard Gangs;

private:
  // What the template platform/*.json.in yields for a small deployment.
  json settings(const std::string &name, const std::vector<int> &ports,
                int storePort) const {
    const auto address = [](int port) {
      return std::string(Loopback) + ":" + std::to_string(port);
    };
    return {{"name", name},
            {"failure_domain", "hall-a"},
            {"peers_listen", address(ports[0])},
            {"metrics_listen", address(ports[1])},
            {"store_address", address(storePort)},
            {"store_min_lease_ms", 1000},
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

  void startProcess(const std::string &name, const std::string &program,
                    const json &values) {
    const std::string file = WorkFolder + "/" + name + ".json";
    std::ofstream(file) << values.dump(2);
    Processes[name] = std::make_unique<Process>(
        name, std::vector<std::string>{program, "jobs", "--settings", file},
        WorkFolder + "/" + name + ".log");
    Processes[name]->start();
    Log.write("started " + name + ": " + program + " jobs --settings FILE");
  }

  void addEntry(int i) {
    const std::string name = "entry-" + std::to_string(i);
    const std::vector<int> ports = freePorts(5);
    Platform.listen(name, ports[2]);
    json values = settings(name, ports, ports[2]);
    values["site_failure_domains"] = {"hall-a", "hall-b", "hall-c"};
    values["processor_share"] = 0.25;
    values["callers_listen"] =
        std::string(Loopback) + ":" + std::to_string(ports[3]);
    values["ready_listen"] =
        std::string(Loopback) + ":" + std::to_string(ports[4]);
    values["bounds"]["config_rollback_ms"] = 250;
    PeerPorts.push_back(ports[0]);
    CallerPorts.push_back(ports[3]);
    ReadyPorts.push_back(ports[4]);
    startProcess(name, "target/src/app/oriolebay-entry", values);
  }

  void addWorker(int i) {
    const std::string name = "agent-" + std::to_string(i);
    const std::vector<int> ports = freePorts(5);
    Platform.listen(name, ports[2]);
    json values = settings(name, ports, ports[2]);
    values["control_listen"] =
        std::string(Loopback) + ":" + std::to_string(ports[3]);
    values["worker_address"] =
        std::string(Loopback) + ":" + std::to_string(ports[4]);
    ControlPorts.push_back(ports[3]);
    startProcess(name, "target/src/app/oriolebay-agent", values);
    WorkerOptions w;
    w.Id = "i-" + std::to_string(i);
    w.Service = Options.Service;
    w.Rack = "r1-" + std::to_string(i % Options.Racks);
    w.Port = ports[4];
    w.ControlPort = ports[3];
    // The worker lives as long as the process, since its threads do.
    Workers.push_back(new Worker(w, Gangs, Log, Options.Plan));
  }

  const DeploymentOptions Options;
  std::string WorkFolder;
  std::vector<int> PeerPorts;
  std::vector<int> CallerPorts;
  std::vector<int> ReadyPorts;
  std::vector<int> ControlPorts;
  std::map<std::string, std::unique_ptr<Process>> Processes;
  std::vector<Worker *> Workers;
};

/// A manifest with one queue for one tenant.
inline json manifest(int64_t version, const std::vector<std::string> &keys) {
  return {
      {"version", version},
      {"routes",
       {{{"name", "render"},
         {"host", "nony24.example"},
         {"prefix", "/lohu930/"},
         {"service", "programme-hub"},
         {"priority", 1},
         {"attempts", 4},
         {"stretch", 3.0},
         {"targetLatencyMs", 1000},
         {"timeoutMs", 3000}}}},
      {"services", {{{"name", "programme-hub"}, {"admissionCheck", false}}}},
      {"tenants",
       {{{"name", "tenant-a"},
         {"apiKeys", keys},
         {"guaranteed", {{"gpu", 8}}}}}},
      {"limits", {{"bodyBytes", 262144}}}};
}

/// Whether the case is run with its disruption.
inline bool hasTrouble() {
  const char *value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

} // namespace review
