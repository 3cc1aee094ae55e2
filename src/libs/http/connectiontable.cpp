#include "connectiontable.h"

#include "utils/steadyclock.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace oriolebay::http {

namespace {

/// Deadlines are looked at this often within a timeout at most, so that many of
/// them cost few wake-ups.
constexpr int ChecksPerTimeout = 8;

/// Time for which an unfinished request keeps its place before idle connections
/// do: a connection that was just accepted has had no time to send.
constexpr absl::Duration PlaceGrace = absl::Seconds(1);

/// Time for which a body that arrives keeps its bytes. Without it, many large
/// bodies at once would take each other's room and none would be served.
constexpr absl::Duration BytesGrace = absl::Seconds(5);

} // namespace

ConnectionTable::ConnectionTable(ConnectionLimits limits, ShutDown shutDown,
                                 OnRefused onRefused)
    : Limits(limits), ShutDownDescriptor(std::move(shutDown)),
      Report(std::move(onRefused)) {}

bool ConnectionTable::Connection::isUnfinished() const {
  switch (Phase) {
  case ConnectionPhase::Idle:
    return !WasAnswered;
  case ConnectionPhase::Receiving:
  case ConnectionPhase::Answering:
    return true;
  case ConnectionPhase::Handled:
  case ConnectionPhase::ShutDown:
    break;
  }
  return false;
}

void ConnectionTable::add(int fd, absl::Time now) {
  std::optional<RefusedRequest> refused;
  {
    std::lock_guard<std::mutex> lock(Mu);
    Connection &connection = Connections[fd];
    connection.Since = now;
    wakeBefore(deadlineOf(connection));
    if (Entry *entry = findPlaceFor(fd, now))
      refused = shutDownLocked(*entry, RefusalReason::PlaceGivenUp, now);
  }
  if (refused)
    Report(*refused);
}

bool ConnectionTable::isFullLocked() const {
  if (std::ssize(Connections) <= Limits.MaxConnections)
    return false;
  const auto isOpen = [](const Entry &entry) {
    return entry.second.Phase != ConnectionPhase::ShutDown;
  };
  return std::ranges::count_if(Connections, isOpen) > Limits.MaxConnections;
}

ConnectionTable::Entry *
ConnectionTable::longestWaiting(int exceptFd, const Condition &condition) {
  Entry *longest = nullptr;
  for (Entry &entry : Connections) {
    const auto &[fd, connection] = entry;
    if (fd == exceptFd || !condition(connection))
      continue;
    if (longest == nullptr || connection.Since < longest->second.Since)
      longest = &entry;
  }
  return longest;
}

// Connections that callers keep open make room before requests that have just
// begun, unless most places are taken by such.
ConnectionTable::Entry *ConnectionTable::findPlaceFor(int fd, absl::Time now) {
  if (!isFullLocked())
    return nullptr;
  const auto isUnfinished = [](const Connection &it) {
    return it.isUnfinished();
  };
  const auto isIdle = [](const Connection &it) {
    return it.Phase == ConnectionPhase::Idle && it.WasAnswered;
  };
  Entry *unfinished = longestWaiting(fd, isUnfinished);
  Entry *idle = longestWaiting(fd, isIdle);
  if (unfinished == nullptr || idle == nullptr)
    return unfinished != nullptr ? unfinished : idle;
  const auto otherUnfinished =
      std::ranges::count_if(Connections, [&](const Entry &entry) {
        return entry.first != fd && isUnfinished(entry.second);
      });
  const bool areMost = 2 * otherUnfinished > Limits.MaxConnections;
  const bool hasWaited = now - unfinished->second.Since >= PlaceGrace;
  return areMost || hasWaited ? unfinished : idle;
}

std::optional<int> ConnectionTable::giveUpBytes(int forFd, absl::Time now) {
  int fd = -1;
  RefusedRequest refused;
  {
    std::lock_guard<std::mutex> lock(Mu);
    Entry *entry = longestWaiting(forFd, [](const Connection &it) {
      return it.Phase == ConnectionPhase::Receiving && it.BodyBytes != 0;
    });
    if (entry == nullptr || now - entry->second.Since < BytesGrace)
      return std::nullopt;
    fd = entry->first;
    refused = shutDownLocked(*entry, RefusalReason::PlaceGivenUp, now);
  }
  Report(refused);
  return fd;
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
  it->second.WasAnswered |= it->second.Phase == ConnectionPhase::Answering;
  it->second.Phase = phase;
  it->second.Since = now;
  it->second.BodyBytes = 0;
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
RefusedRequest ConnectionTable::shutDownLocked(Entry &entry,
                                               RefusalReason reason,
                                               absl::Time now) {
  auto &[fd, connection] = entry;
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
    for (Entry &entry : Connections) {
      const absl::Time deadline = deadlineOf(entry.second);
      if (deadline <= now)
        refusedRequests.push_back(
            shutDownLocked(entry, RefusalReason::TooSlow, now));
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
  do {
    const absl::Time now = utils::steadyNow();
    shutDownOverdue(now);
    sleepUntilDue(now + minSleep);
  } while (!isStopped());
}

void ConnectionTable::wakeBefore(absl::Time deadline) {
  if (deadline >= WakeTime)
    return;
  WakeTime = deadline;
  Changed.notify_one();
}

// A request lowers WakeTime once and does not raise it when it has ended, so
// that the thread is not woken by each one.
void ConnectionTable::sleepUntilDue(absl::Time earliest) {
  std::unique_lock<std::mutex> lock(Mu);
  while (!IsStopped) {
    const absl::Time due = std::max(WakeTime, earliest);
    const absl::Duration left = due - utils::steadyNow();
    if (left <= absl::ZeroDuration())
      return;
    if (due == absl::InfiniteFuture())
      Changed.wait(lock);
    else
      Changed.wait_for(lock, absl::ToChronoNanoseconds(left));
  }
}

bool ConnectionTable::isStopped() {
  std::lock_guard<std::mutex> lock(Mu);
  return IsStopped;
}

void ConnectionTable::stop() {
  std::lock_guard<std::mutex> lock(Mu);
  IsStopped = true;
  Changed.notify_one();
}

} // namespace oriolebay::http
