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

/// An event loop whose thread owns the state of a process. Other threads pass
/// it tasks through a bounded queue; timers run on it as well. The thread that
/// calls run() is the owner. A loop with manual time has no thread: its tasks
/// and timers run in advance(), as if the time had passed.
class EventLoop {
public:
  using Task = std::function<void()>;
  using TimerId = uint64_t;

  enum class Time { Real, Manual };

  /// Capacity limits the number of tasks that tryPost() queues.
  explicit EventLoop(size_t capacity, Time time = Time::Real)
      : Capacity(capacity), TimeKind(time) {}

  /// Returns the time of the boot clock (see bootNow()), or the manual time.
  absl::Time now() const;

  /// Queues task unless the queue is full or the loop has stopped. For tasks
  /// whose sender can handle a refusal.
  bool tryPost(Task task);
  /// Queues task even when the queue is full. For answers to calls that this
  /// loop itself made and whose number it limits. Tasks are dropped once the
  /// loop has stopped.
  void post(Task task);

  /// Runs task on the loop's thread once delay has passed. Owner thread only.
  TimerId runAfter(absl::Duration delay, Task task);
  /// Cancels a timer; does nothing when it has already run. Owner thread only.
  void cancel(TimerId id);

  /// Runs tasks and timers until stop() is called.
  void run();
  void stop();

  /// Manual time only: runs the queued tasks and moves the time forward by
  /// duration, running each timer that becomes due at its time.
  void advance(absl::Duration duration);
  /// Manual time only: moves the time forward by duration and runs nothing, as
  /// if the process were suspended. What became due runs with the next
  /// advance().
  void suspend(absl::Duration duration);

private:
  using Clock = std::chrono::steady_clock;
  Clock::time_point timerNow() const;
  static void runEach(std::deque<Task> &tasks);
  void runTasks();
  void runDueTimers();

  const size_t Capacity;
  const Time TimeKind;
  std::mutex Mu;
  std::condition_variable WakeUp;
  std::deque<Task> Tasks;
  bool Stopped = false;

  // Accessed only by the loop's thread.
  std::map<std::pair<Clock::time_point, TimerId>, Task> Timers;
  std::map<TimerId, Clock::time_point> DueTimes;
  TimerId NextTimer = 1;
  Clock::duration ManualElapsed = Clock::duration::zero();
};

} // namespace oriolebay::utils
