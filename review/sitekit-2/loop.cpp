#include "loop.h"

#include <algorithm>
#include <chrono>
#include <poll.h>

namespace sitekit {

namespace {

constexpr int64_t MaxWaitMs = 20;

} // namespace

int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void Loop::runAfter(int64_t delayMs, Task task) {
  Timers.emplace(nowMs() + delayMs, std::move(task));
}

void Loop::watch(int fd, short events, OnEvents onEvents) {
  Descriptors[fd] = {events, std::make_shared<OnEvents>(std::move(onEvents))};
}

void Loop::unwatch(int fd) { Descriptors.erase(fd); }

void Loop::runOnce(int64_t maxWaitMs) {
  int64_t waitMs = maxWaitMs;
  if (!Timers.empty())
    waitMs = std::clamp<int64_t>(Timers.begin()->first - nowMs(), 0, waitMs);
  std::vector<pollfd> polled;
  for (const auto &[fd, watched] : Descriptors)
    polled.push_back({fd, watched.Events, 0});
  poll(polled.data(), polled.size(), static_cast<int>(waitMs));
  for (const pollfd &p : polled) {
    auto it = Descriptors.find(p.fd);
    if (p.revents == 0 || it == Descriptors.end())
      continue;
    const auto handler = it->second.Handler;
    (*handler)(p.revents);
  }
  const int64_t now = nowMs();
  while (!Timers.empty() && Timers.begin()->first <= now) {
    Task task = std::move(Timers.begin()->second);
    Timers.erase(Timers.begin());
    task();
  }
}

bool Loop::runUntil(const std::function<bool()> &done, int64_t timeoutMs) {
  const int64_t end = nowMs() + timeoutMs;
  while (!done()) {
    if (nowMs() >= end)
      return false;
    runOnce(MaxWaitMs);
  }
  return true;
}

void Loop::runFor(int64_t ms) {
  runUntil([] { return false; }, ms);
}

} // namespace sitekit
