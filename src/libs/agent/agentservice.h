#pragma once

#include "endpoints/backendclient.h"
#include "endpoints/channel.h"
#include "settings/settings.h"
#include "tasktable.h"
#include "utils/boundedqueue.h"

#include <absl/synchronization/mutex.h>
#include <absl/synchronization/notification.h>
#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

namespace oriolebay::agent {

/// The process that runs beside an endpoint. It announces its worker to every
/// entry in its settings, keeps the reservations of that worker, runs each gang
/// member's task on the endpoint's back end, renews the back end's lease for as
/// long as the leading entry answers, and reports finished tasks to that entry.
/// Threads: the reply server (requests from entries), the announcer
/// (heartbeats, leases, reservation timeouts), one runner per accelerator, the
/// stopper and the reporter.
class AgentService {
public:
  AgentService(settings::AgentSettings settings, int64_t incarnation);
  ~AgentService();

  /// The bound nng address that entries send requests to.
  std::string address() const;

  /// Stops gracefully: notifies the entries that this worker is draining,
  /// refuses new reservations, and lets running tasks finish and report. Tasks
  /// that still run after drainTimeout are checkpointed and stopped, so that
  /// the leading entry can start them on another worker.
  void stop(absl::Duration drainTimeout);

  /// Returns counters for metrics and the load generator.
  nlohmann::json stats() const;

private:
  /// Task lease that is used until the leading entry has sent its own value:
  /// how long tasks may run without an answer from the leading entry.
  static constexpr int DefaultTaskLeaseMs = 10000;

  endpoints::Message onRequest(const endpoints::Message &message);
  /// Stops the tasks that a previous agent process left on the back end. Waits
  /// until the back end confirms this, or until this process stops.
  void stopLeftoverTasks();
  /// The announcer thread: sends heartbeats, renews the task leases and drops
  /// reservations that timed out.
  void runHeartbeats();
  void sendHeartbeats();
  std::vector<std::shared_ptr<endpoints::RequestChannel>> heartbeatTargets();
  void handleAck(const endpoints::Ack &ack,
                 const std::shared_ptr<endpoints::RequestChannel> &entry,
                 absl::Time sent);
  /// Renews the back end's lease for the rest of the time for which tasks may
  /// run without an answer from the leading entry.
  void renewTaskLeases(endpoints::BackendClient &backend);
  /// A runner thread: runs queued tasks one at a time.
  void runTasks();
  /// The stopper thread: sends requested stops to the back end.
  void stopTasks();
  /// The reporter thread: sends the results of ended tasks to the leading
  /// entry.
  void reportResults();
  /// Returns whether no task and no reservation is left, at deadline at the
  /// latest.
  bool waitUntilIdle(absl::Time deadline);

  const settings::AgentSettings Settings;
  const int64_t Incarnation;
  TaskTable Tasks;
  std::vector<std::shared_ptr<endpoints::RequestChannel>> Entries;
  std::unique_ptr<endpoints::ReplyServer> Server;

  mutable absl::Mutex Mu;
  /// Highest epoch received from any entry. Leader is the last entry whose
  /// answer had the highest epoch known by then.
  int64_t Epoch = 0;
  int64_t ConfigVersion = 0;
  std::shared_ptr<endpoints::RequestChannel> Leader;
  /// A leader answered the last heartbeat.
  bool LeaderAnswered = false;
  uint64_t HeartbeatCount = 0;
  /// When the last heartbeat that the leader answered was sent.
  absl::Time LastLeaderContact = absl::InfinitePast();
  std::atomic<int> TaskLeaseMs{DefaultTaskLeaseMs};

  utils::BoundedQueue<Task> TaskQueue;
  utils::BoundedQueue<endpoints::TaskResult> ResultQueue;
  std::atomic<bool> Draining{false};
  std::atomic<bool> Stopping{false};
  std::atomic<int64_t> SentMessages{0};
  absl::Notification StopRequested;
  std::thread Announcer;
  std::thread Stopper;
  std::thread Reporter;
  std::vector<std::thread> Runners;
};

} // namespace oriolebay::agent
