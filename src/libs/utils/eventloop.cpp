#include "eventloop.h"

#include "boottime.h"

namespace oriolebay::utils {

bool EventLoop::tryPost(Task task) {
  std::lock_guard<std::mutex> lock(Mu);
  if (Stopped || Tasks.size() >= Capacity)
    return false;
  Tasks.push_back(std::move(task));
  WakeUp.notify_one();
  return true;
}

void EventLoop::post(Task task) {
  std::lock_guard<std::mutex> lock(Mu);
  if (Stopped)
    return;
  Tasks.push_back(std::move(task));
  WakeUp.notify_one();
}

EventLoop::Clock::time_point EventLoop::timerNow() const {
  return TimeKind == Time::Real ? Clock::now()
                                : Clock::time_point(ManualElapsed);
}

absl::Time EventLoop::now() const {
  if (TimeKind == Time::Real)
    return bootNow();
  // Manual time starts an hour after zero, so that an event with a time of zero
  // does not appear recent at the start.
  return absl::UnixEpoch() + absl::Hours(1) + absl::FromChrono(ManualElapsed);
}

EventLoop::TimerId EventLoop::runAfter(absl::Duration delay, Task task) {
  const TimerId id = NextTimer++;
  const Clock::time_point due = timerNow() + absl::ToChronoNanoseconds(delay);
  Timers.emplace(std::make_pair(due, id), std::move(task));
  DueTimes.emplace(id, due);
  return id;
}

void EventLoop::cancel(TimerId id) {
  auto it = DueTimes.find(id);
  if (it == DueTimes.end())
    return;
  Timers.erase({it->second, id});
  DueTimes.erase(it);
}

void EventLoop::runDueTimers() {
  const Clock::time_point now = timerNow();
  while (!Timers.empty() && Timers.begin()->first.first <= now) {
    auto it = Timers.begin();
    Task task = std::move(it->second);
    DueTimes.erase(it->first.second);
    Timers.erase(it);
    task();
  }
}

// Each task gives up what it holds before the next one runs.
void EventLoop::runEach(std::deque<Task> &tasks) {
  while (!tasks.empty()) {
    const Task task = std::move(tasks.front());
    tasks.pop_front();
    task();
  }
}

void EventLoop::run() {
  while (true) {
    std::deque<Task> batch;
    {
      // std::condition_variable waits on the steady clock. absl's condition
      // variable waits on the time of day: when that jumps back, a timer is
      // late by the size of the jump, and leases lapse.
      std::unique_lock<std::mutex> lock(Mu);
      auto ready = [this] { return Stopped || !Tasks.empty(); };
      if (Timers.empty())
        WakeUp.wait(lock, ready);
      else
        WakeUp.wait_until(lock, Timers.begin()->first.first, ready);
      if (Stopped)
        return;
      batch.swap(Tasks);
    }
    runEach(batch);
    runDueTimers();
  }
}

void EventLoop::runTasks() {
  for (bool more = true; more;) {
    std::deque<Task> batch;
    {
      std::lock_guard<std::mutex> lock(Mu);
      batch.swap(Tasks);
    }
    more = !batch.empty();
    runEach(batch);
  }
}

void EventLoop::advance(absl::Duration duration) {
  const Clock::time_point end =
      timerNow() + absl::ToChronoNanoseconds(duration);
  runTasks();
  while (!Timers.empty() && Timers.begin()->first.first <= end) {
    ManualElapsed =
        std::max(ManualElapsed, Timers.begin()->first.first.time_since_epoch());
    runDueTimers();
    runTasks();
  }
  ManualElapsed = end.time_since_epoch();
}

void EventLoop::suspend(absl::Duration duration) {
  ManualElapsed += absl::ToChronoNanoseconds(duration);
}

void EventLoop::stop() {
  std::lock_guard<std::mutex> lock(Mu);
  Stopped = true;
  WakeUp.notify_all();
}

} // namespace oriolebay::utils
