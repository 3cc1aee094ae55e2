#include "memorystore.h"

#include <algorithm>
#include <memory>

namespace oriolebay::cluster {

using platform::KeyValue;
using platform::OnStoreReply;
using platform::StoreReply;
using platform::StoreStatus;

namespace {
constexpr absl::Duration CallTimeout = absl::Milliseconds(700);
constexpr absl::Duration WatchTimeoutMargin = absl::Milliseconds(1000);

bool startsWith(const std::string &s, const std::string &prefix) {
  return s.compare(0, prefix.size(), prefix) == 0;
}
} // namespace

MemoryStore::MemoryStore(utils::EventLoop &loop, uint64_t seed)
    : Loop(loop), Random(seed) {}

bool MemoryStore::chance(double share) {
  return share > 0 && std::uniform_real_distribution<>(0, 1)(Random) < share;
}

template <class T>
void MemoryStore::answer(const std::string &client, OnStoreReply<T> done,
                         StoreReply<T> reply) {
  // The answer is lost if the client cannot be reached when it is sent.
  const Faults &f = FaultsByClient[client];
  if (f.Silent) {
    Loop.runAfter(CallTimeout, [done = std::move(done)] {
      done({StoreStatus::Unknown, {}, "timeout"});
    });
    return;
  }
  Loop.runAfter(f.Delay / 2, [done = std::move(done),
                              reply = std::move(reply)] { done(reply); });
}

template <class T>
bool MemoryStore::admitCall(const std::string &client,
                            const OnStoreReply<T> &done,
                            absl::Duration timeout) {
  ++Calls;
  const Faults &f = FaultsByClient[client];
  if (f.Silent) {
    Loop.runAfter(timeout, [done] {
      done({StoreStatus::Unknown, {}, "timeout"});
    });
    return false;
  }
  if (f.Refuses) {
    Loop.runAfter(f.Delay, [done] {
      done({StoreStatus::Refused, {}, "status 503"});
    });
    return false;
  }
  return true;
}

void MemoryStore::write(const std::string &key, const std::string &value,
                        int64_t lease) {
  KeyValue &item = Items[key];
  if (item.Key.empty())
    item.CreateRevision = Revision;
  item.Key = key;
  item.Value = value;
  item.ModRevision = Revision;
  item.Lease = lease;
  History.push_back({Revision, {item, false}});
}

void MemoryStore::remove(const std::string &key) {
  if (Items.erase(key) > 0)
    History.push_back({Revision, {{key, "", 0, Revision, 0}, true}});
}

void MemoryStore::put(const std::string &key, const std::string &value) {
  ++Revision;
  write(key, value, 0);
  notifyWatches();
}

void MemoryStore::erase(const std::string &key) {
  ++Revision;
  remove(key);
  notifyWatches();
}

void MemoryStore::compact() {
  OldestRevision = Revision;
  History.clear();
  for (auto &w : std::exchange(Watches, {}))
    if (!std::exchange(w->Answered, true))
      w->Done({StoreStatus::Unknown, {}, "cut"});
}

void MemoryStore::expireLeases() {
  std::vector<int64_t> expired;
  for (const auto &[id, lease] : Leases)
    if (lease.ExpiresAt <= Loop.now())
      expired.push_back(id);
  for (int64_t id : expired) {
    Leases.erase(id);
    std::vector<std::string> keys;
    for (const auto &[key, item] : Items)
      if (item.Lease == id)
        keys.push_back(key);
    if (keys.empty())
      continue;
    ++Revision;
    for (const std::string &key : keys)
      remove(key);
    notifyWatches();
  }
}

std::vector<platform::StoreEvent>
MemoryStore::changesAfter(const std::string &prefix, int64_t after) const {
  std::vector<platform::StoreEvent> events;
  for (const Change &c : History)
    if (c.Revision > after && startsWith(c.Event.Item.Key, prefix))
      events.push_back(c.Event);
  return events;
}

void MemoryStore::notifyWatches() {
  auto waiting = std::exchange(Watches, {});
  for (auto &w : waiting) {
    if (w->Answered)
      continue;
    const Faults &f = FaultsByClient[w->Client];
    std::vector<platform::StoreEvent> events;
    if (!f.WatchesSilent && !f.Silent)
      events = changesAfter(w->Prefix, w->After);
    if (events.empty()) {
      Watches.push_back(w);
      continue;
    }
    w->Answered = true;
    answer<platform::StoreEvents>(w->Client, w->Done,
                                  {StoreStatus::Ok, {events, Revision}, ""});
  }
}

StoreReply<platform::StoreTxnReply>
MemoryStore::applyTxn(const platform::StoreTxn &txn) {
  expireLeases();
  StoreReply<platform::StoreTxnReply> reply;
  bool conditionsMet = true;
  for (const platform::StoreCondition &c : txn.Expected) {
    auto it = Items.find(c.Key);
    conditionsMet &=
        (it == Items.end() ? 0 : it->second.ModRevision) == c.Revision;
  }
  for (const platform::StorePut &p : txn.Puts)
    if (p.Lease != 0 && Leases.count(p.Lease) == 0) {
      reply.Status = StoreStatus::NotFound;
      return reply;
    }
  if (!conditionsMet) {
    reply.Status = StoreStatus::Conflict;
    for (const platform::StoreCondition &c : txn.Expected)
      if (auto it = Items.find(c.Key); it != Items.end())
        reply.Value.Current.push_back(it->second);
    return reply;
  }
  if (!txn.Puts.empty() || !txn.Removes.empty()) {
    ++Revision;
    ++Writes;
  }
  for (const platform::StorePut &p : txn.Puts)
    write(p.Key, p.Value, p.Lease);
  for (const std::string &key : txn.Removes)
    remove(key);
  reply.Status = StoreStatus::Ok;
  reply.Value.Revision = Revision;
  notifyWatches();
  return reply;
}

void MemoryStore::transact(const std::string &client,
                           const platform::StoreTxn &txn,
                           const OnStoreReply<platform::StoreTxnReply> &done) {
  const absl::Duration timeout =
      txn.TimeoutMs > 0 ? absl::Milliseconds(txn.TimeoutMs) : CallTimeout;
  if (!admitCall(client, done, timeout))
    return;
  for (const platform::StorePut &put : txn.Puts)
    if (RefusedKeys.count(put.Key) > 0) {
      answer(client, done,
             platform::StoreReply<platform::StoreTxnReply>{
                 StoreStatus::Refused, {}, "status 400"});
      return;
    }
  const Faults &f = FaultsByClient[client];
  auto timeOut = [this, done, timeout] {
    Loop.runAfter(timeout, [done] {
      done({StoreStatus::Unknown, {}, "timeout"});
    });
  };
  if (chance(f.LateWriteShare)) {
    const auto ms = std::uniform_int_distribution<>(1000, 6000)(Random);
    Loop.runAfter(absl::Milliseconds(ms), [this, txn] { applyTxn(txn); });
    timeOut();
    return;
  }
  const bool isAnswerLate = f.Delay > timeout;
  Loop.runAfter(f.Delay / 2, [this, client, txn, done, timeOut, isAnswerLate] {
    const auto reply = applyTxn(txn);
    if (isAnswerLate || chance(FaultsByClient[client].LostAnswerShare))
      timeOut();
    else
      answer(client, done, reply);
  });
}

void MemoryStore::watch(const std::string &client, const std::string &prefix,
                        int64_t after, int64_t waitMs,
                        const OnStoreReply<platform::StoreEvents> &done) {
  ++Calls;
  const Faults &f = FaultsByClient[client];
  const absl::Duration wait = absl::Milliseconds(waitMs);
  if (f.Silent) {
    Loop.runAfter(wait + WatchTimeoutMargin, [done] {
      done({StoreStatus::Unknown, {}, "timeout"});
    });
    return;
  }
  if (f.Refuses) {
    Loop.runAfter(f.Delay, [done] {
      done({StoreStatus::Refused, {}, "status 503"});
    });
    return;
  }
  if (after < OldestRevision) {
    answer<platform::StoreEvents>(client, done,
                                  {StoreStatus::Compacted, {}, "410"});
    return;
  }
  auto waiting = std::make_shared<PendingWatch>(
      PendingWatch{client, prefix, after, done, false});
  Watches.push_back(waiting);
  notifyWatches();
  Loop.runAfter(wait, [this, waiting] {
    if (std::exchange(waiting->Answered, true))
      return;
    const bool silent = FaultsByClient[waiting->Client].WatchesSilent;
    answer<platform::StoreEvents>(
        waiting->Client, waiting->Done,
        {StoreStatus::Ok, {{}, silent ? waiting->After : Revision}, ""});
  });
}

platform::Store MemoryStore::clientOf(const std::string &client) {
  platform::Store store;
  store.Get = [this, client](const std::string &key,
                             OnStoreReply<KeyValue> done) {
    if (!admitCall(client, done))
      return;
    expireLeases();
    auto it = Items.find(key);
    if (it == Items.end())
      answer<KeyValue>(client, done, {StoreStatus::NotFound, {}, ""});
    else
      answer<KeyValue>(client, done, {StoreStatus::Ok, it->second, ""});
  };
  store.Range = [this, client](const std::string &prefix,
                               const std::string &after, platform::ReadMode,
                               OnStoreReply<platform::StorePage> done) {
    if (!admitCall(client, done))
      return;
    expireLeases();
    platform::StorePage page;
    page.Revision = Revision;
    for (const auto &[key, item] : Items)
      if (startsWith(key, prefix) && key > after)
        page.Items.push_back(item);
    answer<platform::StorePage>(client, done, {StoreStatus::Ok, page, ""});
  };
  store.Watch = [this, client](const std::string &prefix, int64_t after,
                               int64_t waitMs,
                               const OnStoreReply<platform::StoreEvents> &d) {
    watch(client, prefix, after, waitMs, d);
  };
  store.Transact = [this,
                    client](const platform::StoreTxn &txn,
                            const OnStoreReply<platform::StoreTxnReply> &done) {
    transact(client, txn, done);
  };
  store.GrantLease = [this, client](int64_t ttlMs,
                                    OnStoreReply<platform::StoreLease> done) {
    if (!admitCall(client, done))
      return;
    const int64_t id = NextLease++;
    Leases[id] = {absl::Milliseconds(ttlMs),
                  Loop.now() + absl::Milliseconds(ttlMs)};
    Loop.runAfter(absl::Milliseconds(ttlMs), [this] { expireLeases(); });
    answer<platform::StoreLease>(client, done,
                                 {StoreStatus::Ok, {id, ttlMs}, ""});
  };
  store.KeepLease = [this, client](int64_t id,
                                   OnStoreReply<platform::StoreLease> done) {
    if (!admitCall(client, done))
      return;
    expireLeases();
    auto it = Leases.find(id);
    if (it == Leases.end()) {
      answer<platform::StoreLease>(client, done,
                                   {StoreStatus::NotFound, {}, ""});
      return;
    }
    it->second.ExpiresAt = Loop.now() + it->second.Ttl;
    Loop.runAfter(it->second.Ttl, [this] { expireLeases(); });
    answer<platform::StoreLease>(
        client, done,
        {StoreStatus::Ok, {id, absl::ToInt64Milliseconds(it->second.Ttl)}, ""});
  };
  store.EndLease = [this, client](int64_t id,
                                  OnStoreReply<platform::StoreLease> done) {
    if (!admitCall(client, done))
      return;
    auto it = Leases.find(id);
    if (it != Leases.end())
      it->second.ExpiresAt = Loop.now();
    expireLeases();
    answer<platform::StoreLease>(client, done, {StoreStatus::Ok, {}, ""});
  };
  return store;
}

} // namespace oriolebay::cluster
