#include "storehealth.h"

#include "utils/eventloop.h"

namespace oriolebay::platform {

void StoreHealth::note(StoreStatus status, const std::string &why) {
  ++Calls;
  const bool failed =
      status == StoreStatus::Refused || status == StoreStatus::Unknown;
  if (failed)
    ++Failures;
  const bool wasFailing = FailingSince != absl::InfiniteFuture();
  if (failed == wasFailing)
    return;
  FailingSince = failed ? Loop.now() : absl::InfiniteFuture();
  Changed(!failed, why);
}

template <class T>
OnStoreReply<T> StoreHealth::noting(const char *call, OnStoreReply<T> done) {
  return [this, alive = Alive, call, sent = Loop.now(),
          done = std::move(done)](const StoreReply<T> &reply) {
    if (!*alive)
      return;
    if (Called)
      Called(call, reply.Status, Loop.now() - sent);
    note(reply.Status, reply.Why);
    done(reply);
  };
}

Store StoreHealth::watching(const Store &inner) {
  Store store;
  store.Get = [this, call = inner.Get](const std::string &key,
                                       OnStoreReply<KeyValue> done) {
    call(key, noting("get", std::move(done)));
  };
  store.Range = [this, call = inner.Range](
                    const std::string &prefix, const std::string &after,
                    ReadMode mode, OnStoreReply<StorePage> done) {
    call(prefix, after, mode, noting("range", std::move(done)));
  };
  // A watch that times out says nothing: the store may hold it without news.
  store.Watch = inner.Watch;
  store.Transact = [this, call = inner.Transact](
                       StoreTxn txn, OnStoreReply<StoreTxnReply> done) {
    call(std::move(txn), noting("transact", std::move(done)));
  };
  store.GrantLease = [this, call = inner.GrantLease](
                         int64_t ttlMs, OnStoreReply<StoreLease> done) {
    call(ttlMs, noting("grant_lease", std::move(done)));
  };
  store.KeepLease = [this, call = inner.KeepLease](
                        int64_t lease, OnStoreReply<StoreLease> done) {
    call(lease, noting("keep_lease", std::move(done)));
  };
  store.EndLease = [this, call = inner.EndLease](
                       int64_t lease, OnStoreReply<StoreLease> done) {
    call(lease, noting("end_lease", std::move(done)));
  };
  return store;
}

} // namespace oriolebay::platform
