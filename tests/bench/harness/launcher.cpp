#include "launcher.h"

#include "process.h"

#include <absl/time/clock.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace oriolebay::bench {

namespace {
constexpr int ReadyTimeoutMs = 15000;
/// Longer than an entry waits for its callers before it ends.
constexpr absl::Duration StopTimeout = absl::Minutes(2);
constexpr int WorkersPerRack = 3;

void writeJson(const std::string &path, const nlohmann::json &j) {
  std::ofstream(path) << j.dump(2) << '\n';
}
} // namespace

std::vector<core::WorkerInfo> makeWorkers(int count, int failureDomains,
                                          int acceleratorsPerWorker) {
  std::vector<core::WorkerInfo> out;
  for (int i = 0; i < count; ++i) {
    int rack = i / WorkersPerRack;
    out.push_back(core::WorkerInfo{
        "w" + std::to_string(i), "fd-" + std::to_string(rack % failureDomains),
        "r" + std::to_string(rack), acceleratorsPerWorker, ""});
  }
  return out;
}

Launcher::Launcher(LaunchSpec spec) : Spec(std::move(spec)) {}

Launcher::~Launcher() { stopAll(); }

nlohmann::json Launcher::waitReady(const std::string &path, pid_t pid) {
  const absl::Time deadline = absl::Now() + absl::Milliseconds(ReadyTimeoutMs);
  while (absl::Now() < deadline) {
    std::ifstream in(path);
    auto j = nlohmann::json::parse(in, nullptr, false);
    if (!j.is_discarded())
      return j;
    int status = 0;
    if (waitpid(pid, &status, WNOHANG) == pid)
      throw std::runtime_error("process for " + path + " exited early");
    absl::SleepFor(absl::Milliseconds(10));
  }
  throw std::runtime_error("no ready file " + path);
}

std::string Launcher::storeUrl() const {
  return "http://127.0.0.1:" + std::to_string(StorePort);
}

std::string Launcher::backendUrl() const {
  return "http://127.0.0.1:" + std::to_string(BackendPort);
}

void Launcher::start() {
  const std::string &workDir = Spec.WorkDir;
  // Ready files of an earlier run name ports at which nothing listens any more,
  // and its logs would mix old events into the time line.
  std::filesystem::create_directories(workDir);
  for (const auto &file : std::filesystem::directory_iterator(workDir))
    if (file.path().extension() == ".ready" ||
        file.path().extension() == ".log")
      std::filesystem::remove(file.path());
  const std::string tests = Spec.BinDir + "/tests/standins/";
  StorePid =
      startProcess({tests + "oriolebay-kv-standin", "0", workDir + "/kv.ready"},
                   workDir + "/kv.out");
  StorePort = waitReady(workDir + "/kv.ready", StorePid)["port"];
  BackendPid = startProcess({tests + "oriolebay-backend-standin", Spec.Service,
                             "0", std::to_string(Spec.BackendRunMs),
                             std::to_string(Spec.BackendFailureRate),
                             workDir + "/backend.ready"},
                            workDir + "/backend.out");
  BackendPort = waitReady(workDir + "/backend.ready", BackendPid)["port"];
  for (int i = 0; i < Spec.Entries; ++i) {
    pid_t pid = startEntry(i, 0, "tcp://127.0.0.1:0");
    auto ready = waitReady(entryFile(i, ".ready"), pid);
    EntryPids.push_back(pid);
    HttpPorts.push_back(ready["http_port"]);
    EntryAddresses.push_back(ready["agent_address"]);
  }
  for (const core::WorkerInfo &info : Spec.Workers)
    AgentPids.push_back(startAgent(info));
  for (size_t i = 0; i < AgentPids.size(); ++i)
    waitReady(workDir + "/agent-" + Spec.Workers[i].Id + ".ready",
              AgentPids[i]);
}

std::string Launcher::entryFile(int i, const std::string &suffix) const {
  return Spec.WorkDir + "/entry-" + std::to_string(i) + suffix;
}

pid_t Launcher::startEntry(int i, int httpPort, const std::string &listen) {
  writeJson(entryFile(i, ".json"),
            {{"name", "entry-" + std::to_string(i)},
             {"failure_domain", "fd-" + std::to_string(i)},
             {"http_port", httpPort},
             {"agent_listen", listen},
             {"store_url", storeUrl()},
             {"log_path", entryFile(i, ".log")},
             {"ready_file", entryFile(i, ".ready")},
             {"placer", Spec.Placer},
             {"heartbeat_timeout_ms", Spec.HeartbeatMs * 3},
             {"task_lease_ms", Spec.TaskLeaseMs},
             {"leader_lease_s", Spec.LeaderLeaseS},
             {"starve_after_ms", Spec.StarveAfterMs},
             {"max_queue_wait_ms", Spec.MaxQueueWaitMs}});
  return startProcess({Spec.BinDir + "/src/app/oriolebay-entry", "serve",
                       "--settings", entryFile(i, ".json")},
                      entryFile(i, ".out"));
}

void Launcher::restartEntry(int i) {
  const auto n = static_cast<size_t>(i);
  std::filesystem::remove(entryFile(i, ".ready"));
  EntryPids.at(n) = startEntry(i, HttpPorts.at(n), EntryAddresses.at(n));
  waitReady(entryFile(i, ".ready"), EntryPids.at(n));
}

pid_t Launcher::startAgent(const core::WorkerInfo &info) {
  const std::string base = Spec.WorkDir + "/agent-" + info.Id;
  writeJson(base + ".json", {{"worker",
                              {{"id", info.Id},
                               {"failure_domain", info.FailureDomain},
                               {"rack", info.Rack},
                               {"accelerators", info.Accelerators}}},
                             {"listen", "tcp://127.0.0.1:0"},
                             {"entries", EntryAddresses},
                             {"backend_url", backendUrl()},
                             {"heartbeat_ms", Spec.HeartbeatMs},
                             {"log_path", base + ".log"},
                             {"ready_file", base + ".ready"}});
  return startProcess({Spec.BinDir + "/src/app/oriolebay-agent", "serve",
                       "--settings", base + ".json", "--drain-ms",
                       std::to_string(Spec.AgentDrainMs)},
                      base + ".out");
}

void Launcher::restartAgent(size_t i) {
  const core::WorkerInfo &info = Spec.Workers.at(i);
  const std::string ready = Spec.WorkDir + "/agent-" + info.Id + ".ready";
  std::filesystem::remove(ready);
  AgentPids.at(i) = startAgent(info);
  waitReady(ready, AgentPids.at(i));
}

void Launcher::putProfile(const nlohmann::json &profile,
                          int64_t expectVersion) {
  const std::string path = Spec.WorkDir + "/profile.json";
  writeJson(path, profile);
  pid_t pid = startProcess({Spec.BinDir + "/src/app/oriolebay-entry", "profile",
                            "put", "--store", storeUrl(), "--file", path,
                            "--expect-version", std::to_string(expectVersion)},
                           Spec.WorkDir + "/profile-put.out");
  int status = 0;
  waitpid(pid, &status, 0);
  if (!WIFEXITED(status) || WEXITSTATUS(status) != 0)
    throw std::runtime_error("profile put failed; see profile-put.out");
}

std::vector<std::string> Launcher::stopAll() {
  std::vector<std::string> killed;
  auto awaitEnd = [&](pid_t pid, const std::string &name, absl::Time limit) {
    if (waitForEnd(pid, limit))
      return;
    killed.push_back(name);
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  };
  auto terminate = [&](pid_t pid, const std::string &name) {
    if (pid <= 0)
      return;
    kill(pid, SIGTERM);
    awaitEnd(pid, name, absl::Now() + StopTimeout);
  };
  for (pid_t pid : AgentPids)
    kill(pid, SIGTERM);
  const absl::Time limit = absl::Now() + StopTimeout;
  for (size_t i = 0; i < AgentPids.size(); ++i)
    awaitEnd(AgentPids[i], "agent-" + Spec.Workers[i].Id, limit);
  AgentPids.clear();
  for (size_t i = 0; i < EntryPids.size(); ++i)
    terminate(EntryPids[i], "entry-" + std::to_string(i));
  EntryPids.clear();
  terminate(BackendPid, "backend");
  terminate(StorePid, "kv");
  BackendPid = StorePid = 0;
  return killed;
}

std::vector<ProcessUsage> Launcher::usage() const {
  const long ticks = sysconf(_SC_CLK_TCK);
  const long pageKb = sysconf(_SC_PAGESIZE) / 1024;
  auto read = [&](const std::string &role, const std::string &name, pid_t pid) {
    ProcessUsage processUsage{role, name, pid, 0, 0};
    std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(stat)), {});
    auto close = text.rfind(')');
    if (close == std::string::npos)
      return processUsage;
    std::istringstream rest(text.substr(close + 2));
    std::vector<std::string> fields;
    for (std::string s; rest >> s;)
      fields.push_back(s);
    // Indices of the fields after the command name: state is 0, utime 11, stime
    // 12, rss 21.
    if (fields.size() > 21) {
      processUsage.CpuSeconds =
          (std::stod(fields[11]) + std::stod(fields[12])) / ticks;
      processUsage.RssKb = std::stol(fields[21]) * pageKb;
    }
    return processUsage;
  };
  std::vector<ProcessUsage> out;
  out.push_back(read("store", "kv", StorePid));
  out.push_back(read("backend", "backend", BackendPid));
  for (size_t i = 0; i < EntryPids.size(); ++i)
    out.push_back(read("entry", "entry-" + std::to_string(i), EntryPids[i]));
  for (size_t i = 0; i < AgentPids.size(); ++i)
    out.push_back(read("agent", Spec.Workers[i].Id, AgentPids[i]));
  return out;
}

} // namespace oriolebay::bench
