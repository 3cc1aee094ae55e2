#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sitekit {

/// Milliseconds of the steady clock.
int64_t nowMs();

/// One thread that waits for sockets and timers.
class Loop {
public:
  using Task = std::function<void()>;
  using OnEvents = std::function<void(short events)>;

  void runAfter(int64_t delayMs, Task task);
  /// Calls onEvents when poll() reports one of events for the descriptor.
  void watch(int fd, short events, OnEvents onEvents);
  void unwatch(int fd);
  /// Runs until done() holds or the time has passed. Returns whether it holds.
  bool runUntil(const std::function<bool()> &done, int64_t timeoutMs);
  void runFor(int64_t ms);

private:
  struct Watched {
    short Events = 0;
    std::shared_ptr<OnEvents> Handler;
  };

  void runOnce(int64_t maxWaitMs);

  std::multimap<int64_t, Task> Timers;
  std::map<int, Watched> Descriptors;
};

} // namespace sitekit
