#pragma once

#include "core/workerinfo.h"

#include <nlohmann/json.hpp>

#include <string>
#include <sys/types.h>
#include <vector>

namespace oriolebay::bench {

/// Describes the processes to start: the store stand-in, one back end stand-in,
/// the entries and one agent per worker. All of them listen on loopback at
/// ports that the kernel chooses: each process binds port 0 and writes its port
/// to a ready file.
struct LaunchSpec {
  std::string BinDir;
  std::string WorkDir;
  std::string Service = "oven";
  int BackendRunMs = 20;
  double BackendFailureRate = 0.0;
  std::vector<core::WorkerInfo> Workers;
  int Entries = 1;
  std::string Placer = "packed";
  int HeartbeatMs = 1000;
  int MaxQueueWaitMs = 2000;
  int TaskLeaseMs = 10000;
  int LeaderLeaseS = 3;
  int StarveAfterMs = 500;
  int AgentDrainMs = 30000;
};

/// CPU seconds and resident memory of one process, read from /proc.
struct ProcessUsage {
  std::string Role;
  std::string Name;
  pid_t Pid = 0;
  double CpuSeconds = 0;
  long RssKb = 0;
};

/// Starts and stops the processes of one run of a test or benchmark. The
/// product's own processes start no other process.
class Launcher {
public:
  explicit Launcher(LaunchSpec spec);
  ~Launcher();

  /// Starts all processes and waits until each has written its ready file.
  /// Throws std::runtime_error if a process exits or is not ready in time.
  void start();
  /// Writes profile to the store with the command line of the entry binary.
  /// Throws std::runtime_error if that fails.
  void putProfile(const nlohmann::json &profile, int64_t expectVersion = 0);
  /// Starts entry i again at its previous addresses.
  void restartEntry(int i);
  /// Starts the agent of worker i again, on a new port.
  void restartAgent(size_t i);
  /// Ends all agents and entries gracefully with SIGTERM, then the stand-ins,
  /// and waits for them. Kills the processes that have not ended StopTimeout
  /// after their signal, and returns their names.
  std::vector<std::string> stopAll();

  int httpPort(int entry = 0) const {
    return HttpPorts.at(static_cast<size_t>(entry));
  }
  int entries() const { return static_cast<int>(EntryPids.size()); }
  const std::string &workDir() const { return Spec.WorkDir; }
  std::string storeUrl() const;
  std::string backendUrl() const;
  pid_t agentPid(size_t i) const { return AgentPids.at(i); }
  pid_t entryPid(int i) const { return EntryPids.at(static_cast<size_t>(i)); }
  /// Returns the CPU time and the memory of all started processes, for the load
  /// tool.
  std::vector<ProcessUsage> usage() const;

private:
  std::string entryFile(int i, const std::string &suffix) const;
  pid_t startEntry(int i, int httpPort, const std::string &listen);
  pid_t startAgent(const core::WorkerInfo &info);
  nlohmann::json waitReady(const std::string &path, pid_t pid);

  LaunchSpec Spec;
  int StorePort = 0;
  int BackendPort = 0;
  pid_t StorePid = 0;
  pid_t BackendPid = 0;
  std::vector<pid_t> EntryPids;
  std::vector<int> HttpPorts;
  std::vector<std::string> EntryAddresses;
  std::vector<pid_t> AgentPids;
};

/// Returns workers in racks of three that are spread over the failure domains,
/// named wN in rN in fd-N.
std::vector<core::WorkerInfo> makeWorkers(int count, int failureDomains,
                                          int acceleratorsPerWorker);

} // namespace oriolebay::bench
