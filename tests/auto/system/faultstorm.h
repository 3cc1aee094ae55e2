#pragma once

#include "jobssite.h"
#include "stormplan.h"

#include <absl/time/time.h>

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace oriolebay::testing_system {

/// Carries out the plan of a storm on a site, beside faults of single requests
/// to the store and to the workers at random. The steps and the random numbers
/// of each proxy repeat with the seed; which request they meet does not.
class FaultStorm {
public:
  FaultStorm(JobsSite &site, std::vector<StormStep> plan, uint64_t seed);
  ~FaultStorm();
  FaultStorm(const FaultStorm &) = delete;
  FaultStorm &operator=(const FaultStorm &) = delete;

  /// Runs the storm. When it returns, all processes run, the configuration is
  /// whole, and nothing fails any more.
  void run();

  /// Can be called on any thread: the port for callers, zero while the entry is
  /// not there, and a number that changes when a signal may hold it up.
  int callerPort(size_t entry) const { return Nodes.at(entry).Port; }
  int disturbanceCount(size_t entry) const {
    return Nodes.at(entry).Disturbances;
  }
  bool isPaused(size_t entry) const { return Nodes.at(entry).IsPaused; }

  /// Processes that have ended without a signal.
  const std::vector<std::string> &unexpectedEnds() const {
    return UnexpectedEnds;
  }

  /// The key and the queue that come and go.
  static const std::string ChangingKey;
  static const std::string ChangingQueue;

private:
  struct Node {
    JobsProcess *Process = nullptr;
    bool IsEntry = false;
    absl::Time RestartAt = absl::InfiniteFuture();
    absl::Time KillAt = absl::InfiniteFuture();
    absl::Time ContinueAt = absl::InfiniteFuture();
    std::atomic<int> Port{0};
    std::atomic<int> Disturbances{0};
    std::atomic<bool> IsPaused{false};
  };
  /// The faults of the requests of one process.
  struct Faults {
    /// How long the store refuses once it has lost the answer to a job; zero
    /// if it loses none.
    absl::Duration RefusalAfterLoss;
    /// The store then refuses all processes.
    bool IsRefusalForAll = false;
    absl::Time StoreRefusesUntil = absl::InfinitePast();
    absl::Time WorkerRefusesUntil = absl::InfinitePast();
    std::mt19937_64 Random;
  };

  void addNode(JobsProcess &process, bool isEntry, uint64_t seed);
  void apply(const StormStep &step);
  /// Applies a step that is a fault of requests.
  void applyFault(const StormStep &step);
  static void setFault(Faults &faults, const StormStep &step);
  ProxyFault loseJob(Faults &faults);
  void end(Node &node, absl::Duration restartAfter);
  void pause(Node &node, absl::Duration length);
  /// Continues, kills, starts again and looks for the port, as it is time.
  void update(size_t index);
  void updateProcess(Node &node);
  void publishPort(size_t index);
  void updateConfig();
  bool isCalm() const;
  ProxyFault storeFault(const std::string &process,
                        const ProxyRequest &request);
  ProxyFault workerFault(const std::string &process,
                         const ProxyRequest &request);
  static ProxyFault randomFault(Faults &faults, double share);

  JobsSite &Site;
  const std::vector<StormStep> Plan;
  std::deque<Node> Nodes;
  absl::Time KeyBackAt = absl::InfinitePast();
  absl::Time QueueBackAt = absl::InfinitePast();
  SiteConfig Config;
  std::vector<std::string> UnexpectedEnds;
  std::mutex Mu;
  std::map<std::string, Faults> FaultsByProcess;
};

} // namespace oriolebay::testing_system
