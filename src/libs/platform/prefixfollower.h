#pragma once

#include "store.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <functional>
#include <memory>
#include <string>

namespace oriolebay::utils {
class EventLoop;
}

namespace oriolebay::platform {

/// Wait times of a PrefixFollower.
struct FollowTiming {
  /// Maximum time for which the store delays the answer to a watch without
  /// changes.
  absl::Duration MaxWatchWait = absl::Seconds(5);
  /// Pause after the first failed call; doubles with each further failure up to
  /// MaxRetryPause.
  absl::Duration InitialRetryPause = absl::Milliseconds(100);
  absl::Duration MaxRetryPause = absl::Seconds(1);
  /// Returns the delay between received changes and the next watch, so that
  /// changes in short succession are fetched with one call. Each change wakes
  /// every process that watches: without a delay the number of calls grows with
  /// the number of processes times the number of changes. Empty: no delay.
  std::function<absl::Duration()> DelayAfterChanges = {};
};

/// Follows all keys under a prefix: reads them, then watches for changes. If
/// the store no longer has the history, or a watch was interrupted and may have
/// missed changes, it reads all keys again and reports only the differences, so
/// its user never misses a change. An item that cannot be read counts as
/// unchanged. Owned by one event loop.
class PrefixFollower {
public:
  /// Called when a key was written (Deleted false) or removed. For each key the
  /// revision never decreases between calls.
  using OnChange = std::function<void(const StoreEvent &)>;
  /// Called when all keys have been read, initially and after each further
  /// reading.
  using OnComplete = std::function<void(int64_t revision)>;
  /// Called when a call to the store failed.
  using OnStoreError = std::function<void(StoreStatus, const std::string &why)>;

  PrefixFollower(utils::EventLoop &loop, const Store &store, std::string prefix,
                 FollowTiming timing, OnChange onChange, OnComplete onComplete,
                 OnStoreError onStoreError);
  ~PrefixFollower();
  PrefixFollower(const PrefixFollower &) = delete;
  PrefixFollower &operator=(const PrefixFollower &) = delete;

  void start();
  /// Reads all keys again, even while a watch is waiting.
  void readAgain();
  /// Applies a key that another call returned or wrote, without waiting for the
  /// watch to report it. Only its key, value, revision and lease need to be
  /// set.
  void applyItem(KeyValue item);
  /// Marks this revision of key as known to the caller, so that it is not
  /// reported. Returns false if the same or a newer revision was already
  /// reported.
  bool markKnown(const std::string &key, int64_t revision);
  /// Returns the store's revision up to which changes were reported.
  int64_t revision() const { return SeenRevision; }

private:
  void readPage(uint64_t round, const std::string &after);
  void onPage(uint64_t round, const StoreReply<StorePage> &reply);
  void finishReading(uint64_t round);
  /// Returns whether the current reading shows that key does not exist.
  bool isAbsent(const std::string &key) const;
  void watch(uint64_t round);
  void watchAfterDelay(uint64_t round);
  void onEvents(uint64_t round, const StoreReply<StoreEvents> &reply);
  /// Calls action after the retry pause and doubles the pause, up to its
  /// maximum.
  void retry(uint64_t round, std::function<void()> action);
  /// Reports the event unless its revision, or a newer one of the same key, is
  /// known.
  void apply(const StoreEvent &event);

  utils::EventLoop &Loop;
  const Store &StoreClient;
  const std::string Prefix;
  const FollowTiming Timing;
  const OnChange NotifyChange;
  const OnComplete NotifyComplete;
  const OnStoreError NotifyStoreError;
  /// Number of the current reading and its watches. Answers to an earlier
  /// round, or after destruction, are ignored.
  std::shared_ptr<uint64_t> Round = std::make_shared<uint64_t>(0);
  absl::Duration RetryPause;
  int64_t SeenRevision = 0;
  /// Revision of the first page of the current reading; zero before that page.
  int64_t FirstPageRevision = 0;
  /// Keys of the current reading.
  absl::flat_hash_map<std::string, KeyValue> ReadItems;
  /// Keys of the current reading whose items could not be read. They exist; the
  /// empty one stands for any key.
  absl::flat_hash_set<std::string> UnreadableKeys;
  /// Last reported revision of each key that exists.
  absl::flat_hash_map<std::string, int64_t> ReportedRevisions;
};

} // namespace oriolebay::platform
