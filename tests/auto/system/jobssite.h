#pragma once

#include "cluster/memorystore.h"
#include "faultyproxy.h"
#include "http/httpserver.h"
#include "runlog.h"
#include "storeserver.h"
#include "utils/eventloop.h"
#include "workerserver.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace oriolebay::testing_system {

/// One of the product's programs as a process of its own, serving jobs. It is
/// killed at the end of the test if it still runs.
class JobsProcess {
public:
  /// Starts the program, which listens at ports that the kernel chooses. Name
  /// is the one in settings.
  JobsProcess(const std::string &program, const std::string &workDir,
              const nlohmann::json &settings);
  ~JobsProcess();
  JobsProcess(const JobsProcess &) = delete;
  JobsProcess &operator=(const JobsProcess &) = delete;

  const std::string &name() const { return Name; }
  /// Whether the process runs; else it has ended by itself, or by a signal.
  bool isRunning();
  /// Zero after the process has ended.
  pid_t pid() const { return Pid; }
  /// Sends a signal to the process if it runs.
  void signal(int number);
  /// Starts the program again after its process has ended, with a log of its
  /// own.
  void restart();
  /// The port that the process has logged for this role; zero before it has.
  int port(const std::string &role);
  /// The logs of all starts of the process, the first one first.
  std::vector<std::string> logPaths() const;
  /// Everything that the process has logged since it was last started.
  std::string log() const;
  /// Number of logged events with this name.
  int eventCount(const std::string &event) const;

private:
  void start();
  std::string logPathOf(int start) const {
    return PathStem + "." + std::to_string(start) + ".log";
  }

  const std::string Name;
  const std::string Program;
  const std::string PathStem;
  int Starts = 0;
  std::string LogPath;
  std::map<std::string, int> Ports;
  pid_t Pid = 0;
};

/// What the operator's configuration contains. All keys are those of one
/// organisation, and all queues are served by the workers.
struct SiteConfig {
  std::vector<std::string> Keys = {"key"};
  std::vector<std::string> Queues = {"q"};
  /// Largest body of a call; zero leaves it to the entries.
  int64_t MaxBodyBytes = 0;
};

/// Entries and agents as processes, with a store and workers in the process of
/// the test, which all listen on loopback. Each process reaches the store, and
/// each agent its worker, through a proxy of its own.
class JobsSite {
public:
  struct Options {
    int Entries = 2;
    int Workers = 2;
    uint64_t Seed = 1;
    /// Length of what each run has saved.
    size_t SavedBytes = 0;
    /// Returns further settings of the process with this name.
    std::function<nlohmann::json(const std::string &process)> MoreSettings =
        nullptr;
  };
  /// Decides what becomes of a request of the process with this name. Called on
  /// the threads of the proxies.
  using DecideFault = std::function<ProxyFault(const std::string &process,
                                               const ProxyRequest &request)>;

  JobsSite(const std::string &workDir, Options options);
  ~JobsSite();
  JobsSite(const JobsSite &) = delete;
  JobsSite &operator=(const JobsSite &) = delete;

  /// Waits until all entries accept callers and a first job is completed.
  void awaitService();
  /// Send a call to an entry, with the organisation's key or another one, or
  /// without any. Return the status of the answer; zero if there is none.
  int call(size_t entry, const std::string &method, const std::string &path,
           const std::string &body);
  int callWithKey(size_t entry, const std::string &key,
                  const std::string &method, const std::string &path);
  int callWithoutKey(size_t entry, const std::string &method,
                     const std::string &path, const std::string &body);
  /// Sends an HTTP request to a port. Returns the status of the answer.
  static int callPort(int port, const std::string &method,
                      const std::string &path, const std::string &body);
  /// Submits a job of one task at an entry and waits until it is completed.
  void completeJob(size_t entry, const std::string &id);
  /// Set the faults of calls to the store and to the workers.
  void setStoreFaults(DecideFault decide);
  void setWorkerFaults(DecideFault decide);
  /// Writes the next version of the configuration. Returns when it is stored.
  void setConfig(const SiteConfig &config);
  /// Whether the store has the record of a job.
  bool isStored(const std::string &jobId);
  /// Has the worker beside an agent that was started again send its heartbeats
  /// there.
  void connectWorker(size_t agent);
  const RunLog &runs() const { return Runs; }
  /// Writes a value to the store as another writer.
  void put(const std::string &key, const std::string &value);
  /// Sets the share of answers of the store and of the workers in which bytes
  /// are changed.
  void setChangedAnswers(double share);
  /// Number of answers of the store and of the workers so far.
  int answerCount() const { return AnswerCount; }

  std::vector<std::unique_ptr<JobsProcess>> Entries;
  std::vector<std::unique_ptr<JobsProcess>> Agents;

private:
  /// A hook that can be changed at any time.
  struct FaultHook {
    std::mutex Mu;
    DecideFault Decide;
  };

  /// Runs task on the loop and waits until it has run.
  void runOnLoop(const std::function<void()> &task);
  /// Returns the port of a new proxy between the process and a server.
  int addProxy(const std::string &process, int serverPort, FaultHook &hook);
  nlohmann::json settings(const std::string &name);
  std::string changeAnswer(std::string body);
  void addEntry(int n);
  void addWorker(int n);

  const std::string WorkDir;
  const Options SiteOptions;
  RunLog Runs;
  FaultHook StoreFaults;
  FaultHook WorkerFaults;
  utils::EventLoop Loop{4096};
  // Used on the loop only, as the store and the workers are.
  std::mt19937_64 Random;
  double ChangedAnswers = 0;
  std::atomic<int> AnswerCount{0};
  cluster::MemoryStore Store;
  std::unique_ptr<StoreServer> Platform;
  std::vector<std::unique_ptr<WorkerServer>> Workers;
  std::vector<std::unique_ptr<FaultyProxy>> Proxies;
  int ConfigVersion = 0;
  std::thread LoopThread;
};

} // namespace oriolebay::testing_system
