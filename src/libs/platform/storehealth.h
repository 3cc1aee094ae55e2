#pragma once

#include "store.h"

#include <absl/time/time.h>

#include <functional>
#include <memory>
#include <string>

namespace oriolebay::utils {
class EventLoop;
}

namespace oriolebay::platform {

/// Whether the store answers this process, going by all of its calls. Owned by
/// one event loop.
class StoreHealth {
public:
  /// The store was lost (Ok false, with why) or answers again.
  using OnChange = std::function<void(bool ok, const std::string &why)>;

  /// A call was answered with status, or given up on, after took.
  using OnCall = std::function<void(const char *call, StoreStatus status,
                                    absl::Duration took)>;

  StoreHealth(const utils::EventLoop &loop, OnChange onChange, OnCall onCall)
      : Loop(loop), Changed(std::move(onChange)), Called(std::move(onCall)) {}

  ~StoreHealth() { *Alive = false; }
  StoreHealth(const StoreHealth &) = delete;
  StoreHealth &operator=(const StoreHealth &) = delete;

  /// The same store with every outcome noted here. Answers that come after
  /// this object are dropped.
  Store watching(const Store &inner);

  /// The first failure since a call succeeded; infinite future without one.
  absl::Time failingSince() const { return FailingSince; }
  int64_t calls() const { return Calls; }
  int64_t failures() const { return Failures; }

private:
  template <class T>
  OnStoreReply<T> noting(const char *call, OnStoreReply<T> done);
  void note(StoreStatus status, const std::string &why);

  const utils::EventLoop &Loop;
  const OnChange Changed;
  const OnCall Called;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  absl::Time FailingSince = absl::InfiniteFuture();
  int64_t Calls = 0;
  int64_t Failures = 0;
};

} // namespace oriolebay::platform
