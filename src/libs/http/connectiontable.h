#pragma once

#include "refusedrequest.h"

#include "absl/time/time.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>

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
  /// Number of connections beyond which one gives up its place for a new one.
  int MaxConnections;
  /// Time for a whole request, and for the reading of its answer.
  absl::Duration RequestTimeout;
  /// Time without a whole request line; infinite for no limit.
  absl::Duration IdleTimeout;

  bool operator==(const ConnectionLimits &) const = default;
};

/// The open connections of a server, known by their descriptors, and since when
/// each waits for its client. It shuts down those that wait too long, however
/// often they send something. A connection that has waited long for its client
/// gives up its place, or its bytes, to a new one if none is left; one whose
/// request is being handled never does. Safe for use by several threads.
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

  /// Adds a connection; beyond the limit another one is shut down for it.
  void add(int fd, absl::Time now);
  void remove(int fd);
  /// Begins a phase. Returns false when the connection was shut down.
  bool enter(int fd, ConnectionPhase phase, absl::Time now);
  /// Stores the size of the body that is being received.
  void setBodyBytes(int fd, size_t bytes);

  /// Shuts down another connection, whose body has been arriving for long, for
  /// one that finds no room for its body. Returns its descriptor.
  std::optional<int> giveUpBytes(int forFd, absl::Time now);

  /// Shuts down the connections whose time is over, and returns when the next
  /// one's is.
  absl::Time shutDownOverdue(absl::Time now);
  /// Does so whenever it is due, until stop() is called.
  void run();
  void stop();

private:
  struct Connection {
    /// Returns whether it waits for its client within a request, or never had
    /// one answered.
    bool isUnfinished() const;

    ConnectionPhase Phase = ConnectionPhase::Idle;
    absl::Time Since;
    bool WasAnswered = false;
    size_t BodyBytes = 0;
  };
  using Entry = std::map<int, Connection>::value_type;
  using Condition = std::function<bool(const Connection &)>;

  absl::Time deadlineOf(const Connection &connection) const;
  /// Returns the one of the connections with a condition, other than exceptFd,
  /// that has been in its phase for longest; null if there is none. The caller
  /// holds Mu.
  Entry *longestWaiting(int exceptFd, const Condition &condition);
  /// Returns which connection gives up its place; null if none can. The caller
  /// holds Mu.
  Entry *findPlaceFor(int fd, absl::Time now);
  bool isFullLocked() const;
  /// The caller holds Mu.
  RefusedRequest shutDownLocked(Entry &entry, RefusalReason reason,
                                absl::Time now);
  /// Wakes run() if it would sleep beyond the deadline; the caller holds Mu.
  void wakeBefore(absl::Time deadline);
  /// Sleeps until WakeTime has come, but at least until the earliest time.
  void sleepUntilDue(absl::Time earliest);
  bool isStopped();

  const ConnectionLimits Limits;
  const ShutDown ShutDownDescriptor;
  const OnRefused Report;
  std::mutex Mu;
  std::condition_variable Changed;
  std::map<int, Connection> Connections;
  /// When run() looks at the connections next.
  absl::Time WakeTime = absl::InfiniteFuture();
  bool IsStopped = false;
};

} // namespace oriolebay::http
