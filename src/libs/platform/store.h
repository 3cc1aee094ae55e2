#pragma once

#include "keyvalue.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace oriolebay::platform {

/// How a call to the store ended.
enum class StoreStatus {
  Ok,
  /// The key or lease does not exist.
  NotFound,
  /// A transaction's condition did not hold; nothing was written.
  Conflict,
  /// The store no longer has the history that a watch requested.
  Compacted,
  /// Nothing was done: the store refused the call, or was not reached.
  Refused,
  /// No valid answer: a write may have taken effect, or may still do so.
  Unknown,
};

/// Returns the stable name of status, for logs.
const char *storeStatusName(StoreStatus status);

/// The outcome of one call. Value is valid only if Status is Ok, or if it is
/// Conflict after a transaction. Why describes a failure for logs.
template <class T> struct StoreReply {
  StoreStatus Status = StoreStatus::Unknown;
  T Value = {};
  std::string Why;

  bool ok() const { return Status == StoreStatus::Ok; }
};

/// Receives the outcome of a call, on the thread that owns the Store.
template <class T>
using OnStoreReply = std::function<void(const StoreReply<T> &)>;

/// One page of the keys under a prefix. Revision is the store's revision at the
/// time of the answer; several pages together are not a snapshot.
struct StorePage {
  std::vector<KeyValue> Items;
  bool More = false;
  int64_t Revision = 0;
  /// Keys of items that could not be read and are not in Items; empty for an
  /// item whose key could not be read either.
  std::vector<std::string> UnreadableKeys = {};
};

/// Returns the key after which the next page begins; empty if no key of page
/// could be read.
std::string lastKey(const StorePage &page);

/// A changed key. Item is the key as it was written or, if Deleted, the key
/// name with the revision of its removal.
struct StoreEvent {
  KeyValue Item;
  bool Deleted = false;
};

/// Changes after the requested revision. Revision is the one from which the
/// next watch continues.
struct StoreEvents {
  std::vector<StoreEvent> Events;
  int64_t Revision = 0;
  /// Further changes could not be read.
  bool HasUnreadable = false;
};

/// Returns the item with this key, or null.
const KeyValue *findItem(const std::vector<KeyValue> &items,
                         const std::string &key);

/// Condition that the key was last changed at Revision; zero means that the key
/// does not exist.
struct StoreCondition {
  std::string Key;
  int64_t Revision = 0;
};

/// A write of a transaction. If Lease is not zero, the store removes the key
/// when that lease ends.
struct StorePut {
  std::string Key;
  std::string Value;
  int64_t Lease = 0;
};

/// A transaction: all writes and removals are done if all conditions hold, else
/// none. It can have at most MaxTxnEntries entries in total.
struct StoreTxn {
  std::vector<StoreCondition> Expected;
  std::vector<StorePut> Puts;
  std::vector<std::string> Removes;
  /// Timeout of the call; zero selects the default of the store adapter.
  long TimeoutMs = 0;
};

/// Result of a transaction: its revision or, after a Conflict, the current
/// state of the keys in its conditions, without keys that do not exist.
struct StoreTxnReply {
  int64_t Revision = 0;
  std::vector<KeyValue> Current;
};

/// Maximum number of conditions and writes of one transaction together that
/// every adapter of the platform's store supports.
constexpr size_t MaxTxnEntries = 32;

/// Maximum size of a value that every platform's store supports.
constexpr size_t MaxValueBytes = 1'000'000;

struct StoreLease {
  int64_t Id = 0;
  int64_t TtlMs = 0;
};

/// Consistency of a read. Linearizable reads include every acknowledged write.
/// MaybeStale reads can be seconds old, but cost only a fraction of a
/// linearizable read.
enum class ReadMode { Linearizable, MaybeStale };

/// The platform's key-value store as asynchronous calls. A store adapter
/// supplies the functions; every function reports its outcome exactly once,
/// within its timeout, on the owner's event loop.
struct Store {
  std::function<void(const std::string &key, OnStoreReply<KeyValue>)> Get;
  /// Reads a page of the keys under prefix, from the first key that sorts
  /// behind the key after; an empty after selects the first page.
  std::function<void(const std::string &prefix, const std::string &after,
                     ReadMode, OnStoreReply<StorePage>)>
      Range;
  /// Waits up to waitMs for changes under prefix after revision.
  std::function<void(const std::string &prefix, int64_t revision,
                     int64_t waitMs, OnStoreReply<StoreEvents>)>
      Watch;
  std::function<void(StoreTxn, OnStoreReply<StoreTxnReply>)> Transact;
  std::function<void(int64_t ttlMs, OnStoreReply<StoreLease>)> GrantLease;
  /// Renews a lease. The status is NotFound if the lease has expired.
  std::function<void(int64_t lease, OnStoreReply<StoreLease>)> KeepLease;
  std::function<void(int64_t lease, OnStoreReply<StoreLease>)> EndLease;
};

} // namespace oriolebay::platform
