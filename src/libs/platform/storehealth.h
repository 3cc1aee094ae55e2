#pragma once

#include "store.h"

#include <absl/time/time.h>

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace oriolebay::utils {
class EventLoop;
}

namespace oriolebay::platform {

/// Monitors the store calls of this process, except watches, to detect whether
/// the store is available. Owned by one event loop.
class StoreHealth {
public:
  /// Called when the store becomes unavailable (ok false, with the error in
  /// why) and when it answers again.
  using OnChange = std::function<void(bool ok, const std::string &why)>;

  /// Called when a call has ended with status, or timed out, after the duration
  /// took.
  using OnCall = std::function<void(const char *call, StoreStatus status,
                                    absl::Duration took)>;

  StoreHealth(const utils::EventLoop &loop, OnChange onChange, OnCall onCall)
      : Loop(loop), NotifyChange(std::move(onChange)),
        NotifyCall(std::move(onCall)) {}

  ~StoreHealth() { *Alive = false; }
  StoreHealth(const StoreHealth &) = delete;
  StoreHealth &operator=(const StoreHealth &) = delete;

  /// Returns a store that forwards to inner and records the outcome of every
  /// call except watches here. Answers that arrive after the destruction of
  /// this object are dropped.
  Store monitored(const Store &inner);

  /// Returns the time of the first failure since the store last answered a
  /// call, or infinite future if there is none. An answer that the key or lease
  /// does not exist, or that a condition does not hold, is not a failure.
  absl::Time failingSince() const { return FailingSince; }
  /// Returns the longest time that one of the latest answered calls took; zero
  /// if none was answered.
  absl::Duration recentLatency() const;
  /// Number of recorded calls, and number of those that failed.
  int64_t calls() const { return Calls; }
  int64_t failures() const { return Failures; }

private:
  template <class T>
  OnStoreReply<T> recordingReply(const char *call, OnStoreReply<T> done);
  void recordStatus(StoreStatus status, const std::string &why);
  void recordLatency(StoreStatus status, absl::Duration took);

  const utils::EventLoop &Loop;
  const OnChange NotifyChange;
  const OnCall NotifyCall;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  absl::Time FailingSince = absl::InfiniteFuture();
  int64_t Calls = 0;
  int64_t Failures = 0;
  /// Durations of the latest answered calls, the newest last.
  std::deque<absl::Duration> Latencies;
};

} // namespace oriolebay::platform
