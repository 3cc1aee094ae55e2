#pragma once

#include "refusedrequest.h"

#include "absl/time/time.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>

namespace oriolebay::http {

/// What an open connection does.
enum class ConnectionPhase {
  /// No request line has arrived since it was opened or last answered.
  Idle,
  /// A request has begun and has not arrived completely.
  Receiving,
  /// A request is being handled.
  Handled,
  /// An answer is being sent.
  Answering,
  /// The server has shut it down, and its descriptor is still open.
  ShutDown,
};

/// Limits of a server's connections.
struct ConnectionLimits {
  /// Time for a whole request, and for the reading of its answer.
  absl::Duration RequestTimeout;
  /// Time without a whole request line.
  absl::Duration IdleTimeout;

  bool operator==(const ConnectionLimits &) const = default;
};

/// The open connections of a server, known by their descriptors, and since when
/// each waits for its client. It shuts down those that wait too long, however
/// often they send something. Safe for use by several threads.
class ConnectionTable {
public:
  using OnRefused = std::function<void(const RefusedRequest &)>;
  /// Shuts down the connection of a descriptor.
  using ShutDown = std::function<void(int fd)>;

  /// onRefused gets the reason for each shutdown.
  ConnectionTable(ConnectionLimits limits, ShutDown shutDown,
                  OnRefused onRefused);
  ConnectionTable(const ConnectionTable &) = delete;
  ConnectionTable &operator=(const ConnectionTable &) = delete;

  void add(int fd, absl::Time now);
  void remove(int fd);
  /// Begins a phase. Returns false when the connection was shut down.
  bool enter(int fd, ConnectionPhase phase, absl::Time now);
  /// Stores the size of the body that is being received.
  void setBodyBytes(int fd, size_t bytes);

  /// Shuts down the connections whose time is over, and returns when the next
  /// one's is.
  absl::Time shutDownOverdue(absl::Time now);
  /// Does so whenever it is due, until stop() is called.
  void run();
  void stop();

private:
  struct Connection {
    ConnectionPhase Phase = ConnectionPhase::Idle;
    absl::Time Since;
    size_t BodyBytes = 0;
  };

  absl::Time deadlineOf(const Connection &connection) const;
  /// The caller holds Mu.
  RefusedRequest shutDownLocked(int fd, Connection &connection,
                                RefusalReason reason, absl::Time now);
  /// Wakes run() if it would sleep beyond the deadline; the caller holds Mu.
  void wakeBefore(absl::Time deadline);
  void sleepUntil(absl::Time deadline);

  const ConnectionLimits Limits;
  const ShutDown ShutDownDescriptor;
  const OnRefused Report;
  std::mutex Mu;
  std::condition_variable Changed;
  std::map<int, Connection> Connections;
  absl::Time WakeTime = absl::InfiniteFuture();
  bool IsWoken = false;
  bool IsStopped = false;
};

} // namespace oriolebay::http
