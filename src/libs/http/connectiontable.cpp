#include "connectiontable.h"

#include "utils/steadyclock.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace oriolebay::http {

namespace {

/// Deadlines are looked at this often within a timeout at most, so that many of
/// them cost few wake-ups.
constexpr int ChecksPerTimeout = 8;

} // namespace

ConnectionTable::ConnectionTable(ConnectionLimits limits, ShutDown shutDown,
                                 OnRefused onRefused)
    : Limits(limits), ShutDownDescriptor(std::move(shutDown)),
      Report(std::move(onRefused)) {}

void ConnectionTable::add(int fd, absl::Time now) {
  std::lock_guard<std::mutex> lock(Mu);
  Connection &connection = Connections[fd];
  connection.Since = now;
  wakeBefore(deadlineOf(connection));
}

void ConnectionTable::remove(int fd) {
  std::lock_guard<std::mutex> lock(Mu);
  Connections.erase(fd);
}

bool ConnectionTable::enter(int fd, ConnectionPhase phase, absl::Time now) {
  std::lock_guard<std::mutex> lock(Mu);
  auto it = Connections.find(fd);
  if (it == Connections.end() || it->second.Phase == ConnectionPhase::ShutDown)
    return false;
  it->second.Phase = phase;
  it->second.Since = now;
  wakeBefore(deadlineOf(it->second));
  return true;
}

void ConnectionTable::setBodyBytes(int fd, size_t bytes) {
  std::lock_guard<std::mutex> lock(Mu);
  auto it = Connections.find(fd);
  if (it != Connections.end())
    it->second.BodyBytes = bytes;
}

absl::Time ConnectionTable::deadlineOf(const Connection &connection) const {
  switch (connection.Phase) {
  case ConnectionPhase::Idle:
    return connection.Since + Limits.IdleTimeout;
  case ConnectionPhase::Receiving:
  case ConnectionPhase::Answering:
    return connection.Since + Limits.RequestTimeout;
  case ConnectionPhase::Handled:
  case ConnectionPhase::ShutDown:
    break;
  }
  return absl::InfiniteFuture();
}

// The descriptor is open as long as the connection is in the table.
RefusedRequest ConnectionTable::shutDownLocked(int fd, Connection &connection,
                                               RefusalReason reason,
                                               absl::Time now) {
  const RefusedRequest refused{reason, connection.BodyBytes,
                               now - connection.Since};
  connection.Phase = ConnectionPhase::ShutDown;
  ShutDownDescriptor(fd);
  return refused;
}

absl::Time ConnectionTable::shutDownOverdue(absl::Time now) {
  std::vector<RefusedRequest> refusedRequests;
  absl::Time next = absl::InfiniteFuture();
  {
    std::lock_guard<std::mutex> lock(Mu);
    for (auto &[fd, connection] : Connections) {
      const absl::Time deadline = deadlineOf(connection);
      if (deadline <= now)
        refusedRequests.push_back(
            shutDownLocked(fd, connection, RefusalReason::TooSlow, now));
      else
        next = std::min(next, deadline);
    }
    WakeTime = next;
  }
  for (const RefusedRequest &it : refusedRequests)
    Report(it);
  return next;
}

void ConnectionTable::run() {
  const absl::Duration minSleep = Limits.RequestTimeout / ChecksPerTimeout;
  while (true) {
    const absl::Time now = utils::steadyNow();
    sleepUntil(std::max(shutDownOverdue(now), now + minSleep));
    std::lock_guard<std::mutex> lock(Mu);
    if (IsStopped)
      return;
  }
}

void ConnectionTable::wakeBefore(absl::Time deadline) {
  if (deadline >= WakeTime)
    return;
  WakeTime = deadline;
  IsWoken = true;
  Changed.notify_one();
}

void ConnectionTable::sleepUntil(absl::Time deadline) {
  std::unique_lock<std::mutex> lock(Mu);
  const auto isWoken = [this] { return IsWoken || IsStopped; };
  if (deadline == absl::InfiniteFuture())
    Changed.wait(lock, isWoken);
  else
    Changed.wait_for(lock,
                     absl::ToChronoMilliseconds(deadline - utils::steadyNow()) +
                         std::chrono::milliseconds(1),
                     isWoken);
  IsWoken = false;
}

void ConnectionTable::stop() {
  std::lock_guard<std::mutex> lock(Mu);
  IsStopped = true;
  Changed.notify_one();
}

} // namespace oriolebay::http
