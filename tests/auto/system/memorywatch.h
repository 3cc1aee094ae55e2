#pragma once

#include <atomic>
#include <cstdint>
#include <set>
#include <sys/types.h>
#include <thread>

namespace oriolebay::testing_system {

/// What a process has taken at most.
struct ProcessPeaks {
  /// The kernel's own record of the resident memory.
  int64_t ResidentBytes = 0;
  /// Received bytes at the process's ports that it has not read.
  int64_t UnreadBytes = 0;
  /// Resident memory and unread bytes at one moment.
  int64_t ChargedBytes = 0;
  int Descriptors = 0;

  auto operator<=>(const ProcessPeaks &) const = default;
};

/// Watches the memory of a process from outside until it is stopped. Unread
/// bytes are the receive queues in /proc/net/tcp of all sockets at the given
/// ports, also of those that wait to be accepted.
class MemoryWatch {
public:
  MemoryWatch(pid_t pid, std::set<int> ports);
  ~MemoryWatch();
  MemoryWatch(const MemoryWatch &) = delete;
  MemoryWatch &operator=(const MemoryWatch &) = delete;

  /// Waits until the unread bytes stay the same, so that the process has taken
  /// in what it is going to take in.
  void awaitSteady() const;
  /// Ends the watch. The process must still run, or its peaks are those that
  /// were seen before it ended.
  ProcessPeaks stop();

private:
  void run();
  void look();

  const pid_t Pid;
  const std::set<int> Ports;
  ProcessPeaks Peaks;
  std::atomic<int64_t> UnreadNow{0};
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

} // namespace oriolebay::testing_system
