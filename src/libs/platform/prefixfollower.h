#pragma once

#include "store.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <functional>
#include <memory>
#include <string>

namespace oriolebay::utils {
class EventLoop;
}

namespace oriolebay::platform {

/// How a PrefixFollower waits.
struct FollowTiming {
  /// How long the store may hold a watch without news.
  absl::Duration WatchWait = absl::Seconds(5);
  /// Pause after the first failed call; doubles up to LongestPause.
  absl::Duration FirstPause = absl::Milliseconds(100);
  absl::Duration LongestPause = absl::Seconds(1);
  /// How long to wait after news before the next watch, so that changes which
  /// come close together are fetched with one call. Each change wakes every
  /// process that watches: without a rest the calls grow with the processes
  /// times the changes. Empty: no rest.
  std::function<absl::Duration()> RestAfterNews = {};
};

/// Keeps a view of all keys under a prefix: reads them, then watches for
/// changes. When the history is gone, or a watch was cut and may have missed
/// something, it reads all again and reports only the differences, so its user
/// never sees a gap. Owned by one event loop.
class PrefixFollower {
public:
  /// A key was written (Deleted false) or removed. Never called with a
  /// revision lower than the one reported before for the key.
  using OnChange = std::function<void(const StoreEvent &)>;
  /// The view became complete, at first and after each new reading.
  using OnComplete = std::function<void(int64_t revision)>;
  /// A call failed.
  using OnTrouble = std::function<void(StoreStatus, const std::string &why)>;

  PrefixFollower(utils::EventLoop &loop, const Store &store, std::string prefix,
                 FollowTiming timing, OnChange onChange, OnComplete onComplete,
                 OnTrouble onTrouble);
  ~PrefixFollower();
  PrefixFollower(const PrefixFollower &) = delete;
  PrefixFollower &operator=(const PrefixFollower &) = delete;

  void start();
  /// Reads everything again, also while a watch waits.
  void readAgain();
  /// Takes a key as another call returned or wrote it, without waiting for the
  /// watch to tell. Only its key, value, revision and lease need be set.
  void learn(KeyValue item);
  /// The caller holds key as of revision already: it is not reported again.
  /// False when a newer one was reported.
  bool noteKnown(const std::string &key, int64_t revision);
  /// The store's revision up to which changes were reported.
  int64_t revision() const { return Seen; }

private:
  void readPage(uint64_t round, const std::string &after);
  void onPage(uint64_t round, const StoreReply<StorePage> &reply);
  void finishReading(uint64_t round);
  void watch(uint64_t round);
  void watchAfterRest(uint64_t round);
  void onEvents(uint64_t round, const StoreReply<StoreEvents> &reply);
  void retry(uint64_t round, std::function<void()> step);
  void apply(const StoreEvent &event);

  utils::EventLoop &Loop;
  const Store &Calls;
  const std::string Prefix;
  const FollowTiming Timing;
  const OnChange Changed;
  const OnComplete Complete;
  const OnTrouble Trouble;
  /// Answers of an earlier round, or after destruction, are ignored.
  std::shared_ptr<uint64_t> Round = std::make_shared<uint64_t>(0);
  absl::Duration Pause;
  int64_t Seen = 0;
  /// Revision of the first page of the reading that is under way.
  int64_t ReadingFrom = 0;
  absl::flat_hash_map<std::string, KeyValue> Reading;
  /// Revision at which each key was last reported; those that exist.
  absl::flat_hash_map<std::string, int64_t> Known;
};

} // namespace oriolebay::platform
