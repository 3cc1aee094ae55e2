#include "memorywatch.h"

#include "waituntil.h"

#include <absl/strings/match.h>
#include <absl/time/clock.h>
#include <absl/time/time.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <utility>

namespace oriolebay::testing_system {

namespace {

constexpr absl::Duration LookInterval = absl::Milliseconds(20);
constexpr absl::Duration SteadyTime = absl::Milliseconds(200);
constexpr int64_t BytesPerKb = 1024;

std::string folderOf(pid_t pid) { return "/proc/" + std::to_string(pid); }

/// Returns the value of a line such as "VmRSS:  19000 kB"; zero if the process
/// has ended.
int64_t statusBytes(pid_t pid, const std::string &name) {
  std::ifstream in(folderOf(pid) + "/status");
  for (std::string line; std::getline(in, line);)
    if (absl::StartsWith(line, name + ":"))
      return BytesPerKb * std::atoll(line.c_str() + name.size() + 1);
  return 0;
}

int descriptorCount(pid_t pid) {
  std::error_code ec;
  std::filesystem::directory_iterator it(folderOf(pid) + "/fd", ec);
  int count = 0;
  for (; !ec && it != std::filesystem::directory_iterator(); it.increment(ec))
    ++count;
  return count;
}

int64_t unreadBytes(const std::set<int> &ports) {
  constexpr unsigned Listen = 10;
  std::ifstream in("/proc/net/tcp");
  int64_t sum = 0;
  for (std::string line; std::getline(in, line);) {
    unsigned port = 0;
    unsigned state = 0;
    unsigned unread = 0;
    // Local address and port, remote ones, state, send queue, receive queue.
    const int n = std::sscanf(line.c_str(), " %*d: %*x:%x %*x:%*x %x %*x:%x",
                              &port, &state, &unread);
    if (n == 3 && state != Listen && ports.count(static_cast<int>(port)) > 0)
      sum += unread;
  }
  return sum;
}

} // namespace

MemoryWatch::MemoryWatch(pid_t pid, std::set<int> ports)
    : Pid(pid), Ports(std::move(ports)), Thread([this] { run(); }) {}

MemoryWatch::~MemoryWatch() { stop(); }

void MemoryWatch::run() {
  while (!Stopping) {
    look();
    absl::SleepFor(LookInterval);
  }
}

void MemoryWatch::look() {
  const int64_t unread = unreadBytes(Ports);
  const int64_t charged = unread + statusBytes(Pid, "VmRSS");
  UnreadNow = unread;
  Peaks.UnreadBytes = std::max(Peaks.UnreadBytes, unread);
  Peaks.ChargedBytes = std::max(Peaks.ChargedBytes, charged);
  Peaks.ResidentBytes =
      std::max(Peaks.ResidentBytes, statusBytes(Pid, "VmHWM"));
  Peaks.Descriptors = std::max(Peaks.Descriptors, descriptorCount(Pid));
}

void MemoryWatch::awaitSteady() const {
  int64_t last = -1;
  absl::Time changedAt = absl::Now();
  testwaits::waitUntil([&] {
    if (const int64_t now = UnreadNow; now != last) {
      last = now;
      changedAt = absl::Now();
    }
    return absl::Now() > changedAt + SteadyTime;
  });
}

ProcessPeaks MemoryWatch::stop() {
  if (!Stopping.exchange(true)) {
    Thread.join();
    look();
  }
  return Peaks;
}

} // namespace oriolebay::testing_system
