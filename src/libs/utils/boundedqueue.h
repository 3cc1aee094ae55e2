#pragma once

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <cstddef>
#include <deque>
#include <optional>

namespace oriolebay::utils {

/// A bounded queue between the thread of one processing stage and the thread of
/// the next. A full queue refuses an item immediately instead of blocking, so
/// that the producer can tell its caller without delay to retry later.
template <class T> class BoundedQueue {
public:
  explicit BoundedQueue(size_t capacity) : Capacity(capacity) {}

  /// Adds item unless the queue is full or closed. Returns false when item was
  /// refused.
  bool tryPush(T item) {
    absl::MutexLock lock(&Mu);
    if (Closed || Items.size() >= Capacity)
      return false;
    Items.push_back(std::move(item));
    return true;
  }

  /// Removes and returns the oldest item, waiting up to timeout for one.
  /// Returns nothing when the time runs out or when the queue is closed and
  /// empty.
  std::optional<T> pop(absl::Duration timeout) {
    absl::MutexLock lock(&Mu);
    auto ready = [this] { return !Items.empty() || Closed; };
    Mu.AwaitWithTimeout(absl::Condition(&ready), timeout);
    if (Items.empty())
      return std::nullopt;
    T item = std::move(Items.front());
    Items.pop_front();
    return item;
  }

  /// Refuses new items from now on; queued items can still be removed.
  void close() {
    absl::MutexLock lock(&Mu);
    Closed = true;
  }

  size_t size() const {
    absl::MutexLock lock(&Mu);
    return Items.size();
  }

private:
  const size_t Capacity;
  mutable absl::Mutex Mu;
  std::deque<T> Items;
  bool Closed = false;
};

} // namespace oriolebay::utils
