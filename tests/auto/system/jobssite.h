#pragma once

#include "cluster/memorystore.h"
#include "http/httpserver.h"
#include "storeserver.h"
#include "utils/eventloop.h"
#include "workerserver.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <map>
#include <memory>
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
  /// Whether the process runs; else it has ended by itself.
  bool isRunning();
  /// The port that the process has logged for this role; zero before it has.
  int port(const std::string &role);
  /// Everything that the process has logged.
  std::string log() const;
  /// Number of logged events with this name.
  int eventCount(const std::string &event) const;

private:
  const std::string Name;
  const std::string LogPath;
  std::map<std::string, int> Ports;
  pid_t Pid = 0;
};

/// Entries and agents as processes, with a store and workers in the process of
/// the test, which all listen on loopback.
class JobsSite {
public:
  struct Options {
    int Entries = 2;
    int Workers = 2;
    uint64_t Seed = 1;
  };
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
  nlohmann::json settings(const std::string &name) const;
  std::string changeAnswer(std::string body);
  void addEntry(int n);
  void addWorker(int n);

  const std::string WorkDir;
  utils::EventLoop Loop{4096};
  // Used on the loop only, as the store and the workers are.
  std::mt19937_64 Random;
  double ChangedAnswers = 0;
  std::atomic<int> AnswerCount{0};
  cluster::MemoryStore Store;
  std::unique_ptr<StoreServer> Platform;
  std::vector<std::unique_ptr<WorkerServer>> Workers;
  std::thread LoopThread;
};

} // namespace oriolebay::testing_system
