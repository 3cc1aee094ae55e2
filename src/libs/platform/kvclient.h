#pragma once

#include "http/httpclient.h"
#include "keyvalue.h"
#include "utils/error.h"

#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oriolebay::platform {

/// The result of a compare-and-swap. If Succeeded is false, Current is the
/// conflicting value of the key (empty if the key does not exist).
struct CasResult {
  bool Succeeded = false;
  int64_t Revision = 0;
  std::optional<KeyValue> Current;
};

/// One condition of a transaction: the key was created, or last changed, at
/// this revision. Zero means that the key does not exist.
struct Compare {
  enum class Field { CreateRevision, ModRevision };
  std::string Key;
  Field What = Field::ModRevision;
  int64_t Revision = 0;
};

/// One write of a transaction: the new value, or no value to delete the key.
struct Write {
  std::string Key;
  std::optional<std::string> Value;
  int64_t Lease = 0;
};

/// The result of a transaction. If Succeeded is false, nothing was written and
/// Current contains the compared keys, without keys that do not exist.
struct TxnResult {
  bool Succeeded = false;
  int64_t Revision = 0;
  std::vector<KeyValue> Current;
};

/// Changes to watched keys after a revision. Revision is the store's revision
/// at the time of the answer; the next watch starts from Revision + 1. Deleted
/// keys have an empty Value and the revision of the deletion as ModRevision.
struct WatchBatch {
  int64_t Revision = 0;
  std::vector<KeyValue> Changes;
};

/// A client of the platform's key-value store. Uses the JSON gateway of the
/// etcd v3 API over HTTP (keys and values in base64, int64 as strings). Watches
/// are long polls: one call waits for changes or a timeout. Every call can fail
/// with ErrorKind::StoreUnavailable (outage, slow store, or a lost reply, in
/// which case the write may have taken effect) or StoreBadReply. Thread-safe:
/// each call uses an HTTP client from a small pool.
class KvClient {
public:
  /// baseUrl is like "http://127.0.0.1:2379"; timeoutMs is the timeout of each
  /// call.
  KvClient(std::string baseUrl, long timeoutMs);

  /// Returns the key's current value, or nothing if the key does not exist.
  utils::Result<std::optional<KeyValue>> get(const std::string &key);
  /// Returns all keys that start with prefix, and the store's revision.
  utils::Result<std::vector<KeyValue>> list(const std::string &prefix,
                                            int64_t *revision = nullptr);
  /// Writes value under key unconditionally; returns the new revision.
  utils::Result<int64_t> put(const std::string &key, const std::string &value,
                             int64_t lease = 0);
  /// Writes value only if the key's modification revision is
  /// expectedModRevision; zero writes only if the key does not exist.
  utils::Result<CasResult> compareAndSwap(const std::string &key,
                                          const std::string &value,
                                          int64_t expectedModRevision,
                                          int64_t lease = 0);
  /// Performs all writes if every condition holds, else none.
  utils::Result<TxnResult> txn(const std::vector<Compare> &conditions,
                               const std::vector<Write> &writes);
  /// Creates a lease that expires after ttlSeconds without a keep-alive, and
  /// returns its id.
  utils::Result<int64_t> grantLease(int64_t ttlSeconds);
  /// Renews lease and returns its remaining seconds. Fails with
  /// ErrorKind::NotFound if the lease has already expired.
  utils::Result<int64_t> keepAlive(int64_t lease);
  /// Ends lease immediately; the store removes its keys.
  utils::Result<void> revokeLease(int64_t lease);
  /// Waits up to timeoutMs for changes under prefix, starting with
  /// fromRevision.
  utils::Result<WatchBatch> watch(const std::string &prefix,
                                  int64_t fromRevision, long timeoutMs);

  /// Returns the number of calls since this client was created, for metrics and
  /// the load generator.
  int64_t calls() const { return Calls.load(); }

private:
  /// Sends a call and returns the JSON of the answer. timeoutMs zero selects
  /// TimeoutMs.
  utils::Result<nlohmann::json>
  post(const std::string &path, const nlohmann::json &body, long timeoutMs = 0);

  const std::string BaseUrl;
  const long TimeoutMs;
  std::atomic<int64_t> Calls{0};
  absl::Mutex Mu;
  std::vector<std::unique_ptr<http::HttpClient>> IdleClients;
};

/// Returns the end of the key range that contains every key with this prefix,
/// as etcd expects it in range_end.
std::string prefixEnd(const std::string &prefix);

} // namespace oriolebay::platform
