#pragma once

#include <compare>
#include <cstddef>
#include <initializer_list>
#include <map>
#include <utility>
#include <vector>

namespace oriolebay::jobs {

/// The tasks of one step. Only a task of which something has to be remembered
/// has an object of its own; the others wait for their first run or are done,
/// which takes one bit each. That keeps the memory of a job with many tasks in
/// proportion to those that run. Task has the members isUntouched(), isDone()
/// and isSettled(): whether it has no history, is done, and is done with
/// nothing else to remember.
template <class Task> class SparseStep {
public:
  /// A step of this many tasks, which are all done or all untouched.
  explicit SparseStep(size_t count = 0, bool done = false) : Count(count) {
    if (done)
      Settled.assign(count, true);
    SettledCount = Settled.size();
  }
  SparseStep(std::initializer_list<Task> tasks)
      : SparseStep(std::vector<Task>(tasks)) {}
  // Lists of tasks are converted, as a step is one.
  // NOLINTNEXTLINE(google-explicit-constructor)
  SparseStep(const std::vector<Task> &tasks) : Count(tasks.size()) {
    for (size_t i = 0; i < Count; ++i)
      if (!tasks[i].isUntouched())
        Objects.emplace(i, tasks[i]);
  }

  size_t size() const { return Count; }
  /// The task's object, which is created if the task has none.
  Task &operator[](size_t index) {
    auto [it, added] = Objects.try_emplace(index);
    if (added && isMarked(index)) {
      Settled[index] = false;
      --SettledCount;
      it->second.setDone();
    }
    return it->second;
  }
  /// The task's object; null if the task has none.
  const Task *find(size_t index) const {
    auto it = Objects.find(index);
    return it == Objects.end() ? nullptr : &it->second;
  }
  bool isDone(size_t index) const {
    const Task *task = find(index);
    return task == nullptr ? isMarked(index) : task->isDone();
  }
  size_t doneCount() const {
    size_t n = SettledCount;
    for (const auto &[index, task] : Objects)
      n += task.isDone() ? 1 : 0;
    return n;
  }
  bool isAllDone() const { return doneCount() == Count; }
  /// Whether no task has any history.
  bool isUntouched() const {
    if (SettledCount > 0)
      return false;
    for (const auto &[index, task] : Objects)
      if (!task.isUntouched())
        return false;
    return true;
  }

  /// The tasks that have objects, by index.
  const std::map<size_t, Task> &objects() const { return Objects; }
  std::map<size_t, Task> &objects() { return Objects; }

  /// Marks the task as done with nothing else to remember.
  void settle(size_t index) {
    Objects.erase(index);
    if (isMarked(index))
      return;
    if (Settled.empty())
      Settled.resize(Count);
    Settled[index] = true;
    ++SettledCount;
  }
  /// Removes the objects of tasks of which nothing has to be remembered. Calls
  /// onSettled with each that is done, before it is removed.
  template <class Callback> void compact(Callback onSettled) {
    for (auto it = Objects.begin(); it != Objects.end();) {
      const auto current = it++;
      if (current->second.isSettled()) {
        onSettled(static_cast<const Task &>(current->second));
        settle(current->first);
      } else if (current->second.isUntouched()) {
        Objects.erase(current);
      }
    }
  }
  /// Removes the objects of the tasks that the predicate holds for.
  template <class Predicate> void drop(Predicate predicate) {
    std::erase_if(Objects, [&predicate](const auto &entry) {
      return predicate(entry.second);
    });
  }

  auto operator<=>(const SparseStep &) const = default;

private:
  bool isMarked(size_t index) const {
    return index < Settled.size() && Settled[index];
  }

  size_t Count = 0;
  size_t SettledCount = 0;
  std::map<size_t, Task> Objects;
  /// By index; empty while no task is settled.
  std::vector<bool> Settled;
};

} // namespace oriolebay::jobs
