#include "storehealth.h"

#include "utils/eventloop.h"

#include <algorithm>

namespace oriolebay::platform {

namespace {

/// Number of answered calls that recentLatency() covers: about those of the
/// last two seconds at an entry without callers.
constexpr size_t MaxLatencies = 6;

bool isFailure(StoreStatus status) {
  return status == StoreStatus::Refused || status == StoreStatus::Unknown;
}

} // namespace

absl::Duration StoreHealth::recentLatency() const {
  const auto longest = std::max_element(Latencies.begin(), Latencies.end());
  return longest == Latencies.end() ? absl::ZeroDuration() : *longest;
}

void StoreHealth::recordLatency(StoreStatus status, absl::Duration took) {
  if (isFailure(status))
    return;
  Latencies.push_back(took);
  if (Latencies.size() > MaxLatencies)
    Latencies.pop_front();
}

void StoreHealth::recordStatus(StoreStatus status, const std::string &why) {
  ++Calls;
  const bool failed = isFailure(status);
  if (failed)
    ++Failures;
  const bool wasFailing = FailingSince != absl::InfiniteFuture();
  if (failed == wasFailing)
    return;
  FailingSince = failed ? Loop.now() : absl::InfiniteFuture();
  NotifyChange(!failed, why);
}

template <class T>
OnStoreReply<T> StoreHealth::recordingReply(const char *call,
                                            OnStoreReply<T> done) {
  return [this, alive = Alive, call, sent = Loop.now(),
          done = std::move(done)](const StoreReply<T> &reply) {
    if (!*alive)
      return;
    if (NotifyCall)
      NotifyCall(call, reply.Status, Loop.now() - sent);
    recordLatency(reply.Status, Loop.now() - sent);
    recordStatus(reply.Status, reply.Why);
    done(reply);
  };
}

Store StoreHealth::monitored(const Store &inner) {
  Store store;
  store.Get = [this, call = inner.Get](const std::string &key,
                                       OnStoreReply<KeyValue> done) {
    call(key, recordingReply("get", std::move(done)));
  };
  store.Range = [this, call = inner.Range](
                    const std::string &prefix, const std::string &after,
                    ReadMode mode, OnStoreReply<StorePage> done) {
    call(prefix, after, mode, recordingReply("range", std::move(done)));
  };
  // The outcome of a watch is not recorded: a watch without an answer does not
  // show an outage, because the store delays its answer while nothing changes.
  store.Watch = inner.Watch;
  store.Transact = [this, call = inner.Transact](
                       StoreTxn txn, OnStoreReply<StoreTxnReply> done) {
    call(std::move(txn), recordingReply("transact", std::move(done)));
  };
  store.GrantLease = [this, call = inner.GrantLease](
                         int64_t ttlMs, OnStoreReply<StoreLease> done) {
    call(ttlMs, recordingReply("grant_lease", std::move(done)));
  };
  store.KeepLease = [this, call = inner.KeepLease](
                        int64_t lease, OnStoreReply<StoreLease> done) {
    call(lease, recordingReply("keep_lease", std::move(done)));
  };
  store.EndLease = [this, call = inner.EndLease](
                       int64_t lease, OnStoreReply<StoreLease> done) {
    call(lease, recordingReply("end_lease", std::move(done)));
  };
  return store;
}

} // namespace oriolebay::platform
