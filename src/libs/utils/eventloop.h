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
/// the owner. A loop with manual time has no thread: its tasks and timers run
/// in advance(), as if the time had passed.
class EventLoop {
public:
  using Task = std::function<void()>;
  using TimerId = uint64_t;

  enum class Time { Real, Manual };

  /// Capacity bounds the tasks that tryPost() queues.
  explicit EventLoop(size_t capacity, Time time = Time::Real)
      : Capacity(capacity), Kind(time) {}

  /// The boot clock, or the manual time: see bootNow().
  absl::Time now() const;

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

  /// Manual time only: runs all that is due within the next duration.
  void advance(absl::Duration duration);

private:
  using Clock = std::chrono::steady_clock;
  Clock::time_point timerNow() const;
  void runTasks();
  void runDueTimers();

  const size_t Capacity;
  const Time Kind;
  std::mutex Mu;
  std::condition_variable Wake;
  std::deque<Task> Tasks;
  bool Stopped = false;

  // Owned by the loop's thread.
  std::map<std::pair<Clock::time_point, TimerId>, Task> Timers;
  std::map<TimerId, Clock::time_point> DueTimes;
  TimerId NextTimer = 1;
  Clock::duration Advanced = Clock::duration::zero();
};

} // namespace oriolebay::utils
