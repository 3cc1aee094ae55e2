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

/// The result of a compare-and-swap. When Succeeded is false, Current holds
/// the value that won (absent when the key does not exist).
struct CasResult {
  bool Succeeded = false;
  int64_t Revision = 0;
  std::optional<KeyValue> Current;
};

/// One condition of a transaction: the key was created, or last changed, at
/// this revision; zero means that the key does not exist.
struct Compare {
  enum class Field { CreateRevision, ModRevision };
  std::string Key;
  Field What = Field::ModRevision;
  int64_t Revision = 0;
};

/// One write of a transaction: a value, or none to delete the key.
struct Write {
  std::string Key;
  std::optional<std::string> Value;
  int64_t Lease = 0;
};

/// The result of a transaction. When Succeeded is false nothing was written
/// and Current holds the compared keys that exist.
struct TxnResult {
  bool Succeeded = false;
  int64_t Revision = 0;
  std::vector<KeyValue> Current;
};

/// Changes to watched keys after a revision. Revision is the store's revision
/// when it answered; watch again from Revision + 1. Deleted keys come with an
/// empty Value and ModRevision set to the deleting revision.
struct WatchBatch {
  int64_t Revision = 0;
  std::vector<KeyValue> Changes;
};

/// A client of the platform's key-value store, speaking the JSON gateway
/// form of the etcd v3 API over HTTP (keys and values in base64, int64 in
/// strings). Watches are long polls: one call waits for changes or a timeout.
/// Every call can fail with ErrorKind::StoreUnavailable (outage, slow store,
/// or a lost reply, in which case the write may have taken effect) or
/// StoreBadReply. Safe to share between threads: each call takes a client
/// from a small pool.
class KvClient {
public:
  /// BaseUrl is like "http://127.0.0.1:2379"; timeoutMs bounds each call.
  KvClient(std::string baseUrl, long timeoutMs);

  /// The key's current value, or empty when it does not exist.
  utils::Result<std::optional<KeyValue>> get(const std::string &key);
  /// All keys that start with prefix, and the store's revision.
  utils::Result<std::vector<KeyValue>> list(const std::string &prefix,
                                            int64_t *revision = nullptr);
  /// Writes value under key unconditionally; returns the new revision.
  utils::Result<int64_t> put(const std::string &key, const std::string &value,
                             int64_t lease = 0);
  /// Writes value only if key's modification revision is expected (zero: only
  /// if the key does not exist).
  utils::Result<CasResult> compareAndSwap(const std::string &key,
                                          const std::string &value,
                                          int64_t expectedModRevision,
                                          int64_t lease = 0);
  /// Makes all writes if every condition holds, else none.
  utils::Result<TxnResult> txn(const std::vector<Compare> &conditions,
                               const std::vector<Write> &writes);
  /// A lease that lapses after ttlSeconds without a keep-alive; its id.
  utils::Result<int64_t> grantLease(int64_t ttlSeconds);
  /// Renews lease; NotFound when it has already lapsed.
  utils::Result<int64_t> keepAlive(int64_t lease);
  /// Ends lease now; its keys are removed.
  utils::Result<void> revokeLease(int64_t lease);
  /// Waits up to timeoutMs for changes under prefix from fromRevision on.
  utils::Result<WatchBatch> watch(const std::string &prefix,
                                  int64_t fromRevision, long timeoutMs);

  /// Calls made by this client since it was made, for metrics and the load
  /// tool.
  int64_t calls() const { return Calls.load(); }

private:
  utils::Result<nlohmann::json>
  post(const std::string &path, const nlohmann::json &body, long timeoutMs = 0);

  const std::string BaseUrl;
  const long TimeoutMs;
  std::atomic<int64_t> Calls{0};
  absl::Mutex Mu;
  std::vector<std::unique_ptr<http::HttpClient>> Idle;
};

/// The end of the key range that holds every key starting with prefix, as
/// etcd's range_end expects it.
std::string prefixEnd(const std::string &prefix);

} // namespace oriolebay::platform
