#include "eventloop.h"

#include "boottime.h"

namespace oriolebay::utils {

bool EventLoop::tryPost(Task task) {
  std::lock_guard<std::mutex> lock(Mu);
  if (Stopped || Tasks.size() >= Capacity)
    return false;
  Tasks.push_back(std::move(task));
  Wake.notify_one();
  return true;
}

void EventLoop::post(Task task) {
  std::lock_guard<std::mutex> lock(Mu);
  if (Stopped)
    return;
  Tasks.push_back(std::move(task));
  Wake.notify_one();
}

EventLoop::Clock::time_point EventLoop::timerNow() const {
  return Kind == Time::Real ? Clock::now() : Clock::time_point(Advanced);
}

absl::Time EventLoop::now() const {
  if (Kind == Time::Real)
    return bootNow();
  // Some way from zero, so that nothing seems to have happened at the start.
  return absl::UnixEpoch() + absl::Hours(1) + absl::FromChrono(Advanced);
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

void EventLoop::run() {
  while (true) {
    std::deque<Task> batch;
    {
      // std::condition_variable waits on the steady clock. absl's waits on
      // the time of day: when that jumps back, a timer would be late by the
      // jump, and leases would lapse.
      std::unique_lock<std::mutex> lock(Mu);
      auto ready = [this] { return Stopped || !Tasks.empty(); };
      if (Timers.empty())
        Wake.wait(lock, ready);
      else
        Wake.wait_until(lock, Timers.begin()->first.first, ready);
      if (Stopped)
        return;
      batch.swap(Tasks);
    }
    for (Task &task : batch)
      task();
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
    for (Task &task : batch)
      task();
  }
}

void EventLoop::advance(absl::Duration duration) {
  const Clock::time_point end =
      timerNow() + absl::ToChronoNanoseconds(duration);
  runTasks();
  while (!Timers.empty() && Timers.begin()->first.first <= end) {
    Advanced =
        std::max(Advanced, Timers.begin()->first.first.time_since_epoch());
    runDueTimers();
    runTasks();
  }
  Advanced = end.time_since_epoch();
}

void EventLoop::stop() {
  std::lock_guard<std::mutex> lock(Mu);
  Stopped = true;
  Wake.notify_all();
}

} // namespace oriolebay::utils
