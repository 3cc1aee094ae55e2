#pragma once

#include <absl/time/time.h>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>

namespace oriolebay::utils {

/// One thread that owns a process's state. Other threads hand it tasks through
/// a bounded queue; timers run on it as well. The thread that calls run() is
/// the owner.
class EventLoop {
public:
  using Task = std::function<void()>;
  using TimerId = uint64_t;

  /// Capacity bounds the tasks that tryPost() queues.
  explicit EventLoop(size_t capacity) : Capacity(capacity) {}

  /// Queues task unless the queue is full or the loop has stopped. For work
  /// that its sender can refuse.
  bool tryPost(Task task);
  /// Queues task beyond the bound too. For answers to calls that this loop
  /// made itself, whose number it bounds; dropped once the loop has stopped.
  void post(Task task);

  /// Runs task on the loop's thread once delay has passed. Owner thread only.
  TimerId runAfter(absl::Duration delay, Task task);
  /// Forgets a timer; one that ran already is ignored. Owner thread only.
  void cancel(TimerId id);

  /// Serves tasks and timers until stop() is called.
  void run();
  void stop();

private:
  using Clock = std::chrono::steady_clock;
  void runDueTimers();

  const size_t Capacity;
  std::mutex Mu;
  std::condition_variable Wake;
  std::deque<Task> Tasks;
  bool Stopped = false;

  // Owned by the loop's thread.
  std::map<std::pair<Clock::time_point, TimerId>, Task> Timers;
  std::map<TimerId, Clock::time_point> DueTimes;
  TimerId NextTimer = 1;
};

} // namespace oriolebay::utils
