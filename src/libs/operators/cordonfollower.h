#pragma once

#include "core/cordons.h"
#include "platform/store.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace oriolebay::utils {
class EventLoop;
}

namespace oriolebay::operators {

/// Location of the operator's cordons in the store and how often they are read.
struct CordonSource {
  /// A key under this prefix cordons the failure domain that the rest of its
  /// name denotes, whatever its value is.
  std::string Prefix;
  /// Pause between two reads while a cordon is known or NeedsFreshView returns
  /// true. In the latter case the store answers from its newest state.
  absl::Duration ReadInterval = absl::Seconds(1);
  /// Pause between two reads otherwise. Their answers may be outdated.
  absl::Duration IdleReadInterval = absl::Seconds(5);
  /// Pause before a failed read is repeated.
  absl::Duration RetryPause = absl::Milliseconds(100);
  std::function<bool()> NeedsFreshView;
};

/// Follows the operator's cordons on one event loop and keeps track of how
/// fresh the local view is. Reads all keys each time: a watch that is silent
/// would not show that no cordon was set.
class CordonFollower {
public:
  using OnChange = std::function<void(const core::Cordons &)>;
  using OnStoreError =
      std::function<void(platform::StoreStatus, const std::string &why)>;

  CordonFollower(utils::EventLoop &loop, const platform::Store &store,
                 CordonSource source, OnChange onChange,
                 OnStoreError onStoreError);
  ~CordonFollower();
  CordonFollower(const CordonFollower &) = delete;
  CordonFollower &operator=(const CordonFollower &) = delete;

  /// Starts reading, or reads again at once.
  void read();
  const core::Cordons &current() const { return Current; }
  /// Returns whether the store has returned its newest state at least once.
  bool isConfirmed() const { return ConfirmedAt != absl::InfinitePast(); }
  /// Returns the age of the view: each cordon that was set earlier than that is
  /// known here, unless it was lifted again. Infinite before the first answer
  /// from the store's newest state.
  absl::Duration age(absl::Time now) const { return now - ConfirmedAt; }

private:
  /// One read of all keys, which may take several pages.
  struct Reading {
    uint64_t Number = 0;
    platform::ReadMode Mode = platform::ReadMode::Linearizable;
    absl::Time SentAt;
    core::Cordons Found;
  };
  using ReadingPtr = std::shared_ptr<Reading>;

  void readPage(const ReadingPtr &reading, const std::string &after);
  void onPage(const ReadingPtr &reading,
              const platform::StoreReply<platform::StorePage> &reply);
  void addCordon(Reading &reading, const std::string &key) const;
  void finish(const Reading &reading);
  void readAfter(absl::Duration pause);
  bool needsFreshView() const {
    return !Source.NeedsFreshView || Source.NeedsFreshView();
  }

  utils::EventLoop &Loop;
  const platform::Store &StoreClient;
  const CordonSource Source;
  const OnChange NotifyChanged;
  const OnStoreError NotifyStoreError;
  /// Number of the current reading. Answers to an earlier one, or after
  /// destruction, are ignored.
  std::shared_ptr<uint64_t> CurrentNumber = std::make_shared<uint64_t>(0);
  core::Cordons Current;
  absl::Time ConfirmedAt = absl::InfinitePast();
};

} // namespace oriolebay::operators
