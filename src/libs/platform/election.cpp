#include "election.h"

#include "core/processorshare.h"
#include "utils/eventloop.h"
#include "utils/jsonfields.h"
#include "utils/jsontext.h"

#include <algorithm>

namespace oriolebay::platform {

namespace {

/// Time for which an entry defers to larger entries, in renewal periods. Larger
/// entries detect the expiry of their lease with their next renewal, and then
/// need a new lease from the store.
constexpr double DeferralRenewals = 1.5;
/// Factor by which the store's clock may be faster than this entry's.
constexpr double StoreClockFactor = 1.02;

} // namespace

std::string encode(const EntryRecord &record) {
  return utils::toJsonText({{"address", record.Address},
                            {"processor_share", record.ProcessorShare},
                            {"memory_mb", record.MemoryMb}});
}

utils::Result<EntryRecord> decodeEntry(const KeyValue &item) {
  BOOST_LEAF_AUTO(j, utils::parseJson(item.Value));
  const std::string address = utils::textIn(j, "address");
  const auto share = j.find("processor_share");
  if (address.empty() || share == j.end() || !share->is_number())
    return utils::fail(utils::ErrorKind::BadMessage, "not a valid entry record",
                       "run the same version of all entries and agents");
  EntryRecord record{address, share->get<double>(),
                     std::max<int64_t>(0, utils::numberIn(j, "memory_mb"))};
  if (item.Lease == 0 || !core::isProcessorShare(record.ProcessorShare))
    return utils::fail(utils::ErrorKind::BadMessage,
                       "a record that no entry registers",
                       "remove the key if no entry has written it");
  return record;
}

Election::Election(utils::EventLoop &loop, const Store &store,
                   ElectionOptions options, OnChange onChange,
                   OnStoreError onStoreError)
    : Loop(loop), StoreClient(store), Options(std::move(options)),
      NotifyChange(std::move(onChange)),
      NotifyStoreError(std::move(onStoreError)),
      Follower(
          loop, store, Options.LeaderKey, Options.Follow,
          [this](const StoreEvent &event) { onLeaderKey(event); },
          [this](int64_t) { onViewComplete(); },
          [this](StoreStatus status, const std::string &why) {
            NotifyStoreError(status, why);
          }) {}

Election::~Election() { *Alive = false; }

template <class T> OnStoreReply<T> Election::guarded(OnStoreReply<T> handler) {
  return [alive = Alive,
          handler = std::move(handler)](const StoreReply<T> &reply) {
    if (*alive)
      handler(reply);
  };
}

absl::Duration Election::renewalPeriod() const {
  return Options.LeaseTtl / Options.RenewalsPerLease;
}

void Election::start() {
  Follower.start();
  requestLease();
}

void Election::requestLease() {
  if (Resigned)
    return;
  const absl::Time sent = Loop.now();
  StoreClient.GrantLease(
      absl::ToInt64Milliseconds(Options.LeaseTtl),
      guarded<StoreLease>([this, sent](const StoreReply<StoreLease> &r) {
        onLeaseGranted(r, sent);
      }));
}

void Election::onLeaseGranted(const StoreReply<StoreLease> &reply,
                              absl::Time sent) {
  if (Resigned)
    return;
  if (!reply.ok()) {
    NotifyStoreError(reply.Status, reply.Why);
    Loop.runAfter(renewalPeriod(), [this, alive = Alive] {
      if (*alive)
        requestLease();
    });
    return;
  }
  Lease = reply.Value.Id;
  GrantedTtl = absl::Milliseconds(reply.Value.TtlMs);
  LeaseConfirmedAt = sent;
  DeferUntil = absl::InfinitePast();
  registerEntry();
  campaign();
  scheduleRenewal();
}

void Election::registerEntry() {
  StoreTxn txn;
  txn.Puts.push_back(
      {Options.EntryPrefix + Options.Name, encode(Options.Entry), Lease});
  StoreClient.Transact(
      std::move(txn),
      guarded<StoreTxnReply>([this](const StoreReply<StoreTxnReply> &r) {
        // Agents that know no leader read this record. If the write fails,
        // they find the entry by the record of its next lease or by the
        // leader's key.
        if (!r.ok())
          NotifyStoreError(r.Status, r.Why);
      }));
}

void Election::scheduleRenewal() {
  Loop.runAfter(renewalPeriod(), [this, alive = Alive, lease = Lease] {
    if (*alive && lease != 0 && lease == Lease)
      renewLease([this] { scheduleRenewal(); });
  });
}

void Election::renewLease(std::function<void()> done) {
  const absl::Time sent = Loop.now();
  StoreClient.KeepLease(
      Lease,
      guarded<StoreLease>([this, sent, lease = Lease, done = std::move(done)](
                              const StoreReply<StoreLease> &reply) {
        const bool isCurrent = lease != 0 && lease == Lease && !Resigned;
        if (isCurrent && onLeaseRenewed(reply, sent))
          done();
      }));
}

bool Election::onLeaseRenewed(const StoreReply<StoreLease> &reply,
                              absl::Time sent) {
  if (reply.Status == StoreStatus::NotFound) {
    handleLeaseLoss();
    return false;
  }
  if (!reply.ok()) {
    NotifyStoreError(reply.Status, reply.Why);
  } else {
    LeaseConfirmedAt = sent;
    if (OwnKeyRemoved)
      setLeadership(Leadership{});
    if (KnownLeadership.Mine)
      ConfirmedAt = sent;
  }
  // The key may have been removed while this entry's watch delivered no events.
  campaign();
  return true;
}

// The lease expired during a pause or an outage. Its keys are removed, so
// another entry may lead by now.
void Election::handleLeaseLoss() {
  Lease = 0;
  if (KnownLeadership.Mine)
    setLeadership(Leadership{});
  Follower.readAgain();
  requestLease();
}

void Election::onLeaderKey(const StoreEvent &event) {
  if (event.Item.Key != Options.LeaderKey)
    return;
  if (event.Deleted) {
    // The removal of a previous leader's key may be reported after this entry's
    // own transaction has created the new key.
    if (event.Item.ModRevision >= KnownLeadership.Epoch)
      onLeaderKeyRemoved();
    return;
  }
  const bool mine = Lease != 0 && event.Item.Lease == Lease && !Resigned;
  if (mine)
    ConfirmedAt = LeaseConfirmedAt;
  // The store removes a leader's key once its lease has not been renewed for
  // the whole lease time, unless the leader ends it by itself.
  if (mine && event.Item.CreateRevision > KnownLeadership.Epoch)
    EarlierLeadersConfirmedBy = Loop.now() - GrantedTtl / StoreClockFactor;
  setLeadership({event.Item.CreateRevision, event.Item.Value, mine});
  if (!mine && event.Item.Value == Options.Entry.Address)
    removeEarlierLeadership(event.Item);
}

// In an outage that expires leases, a pending watch may still report that this
// entry's own key is gone. Nobody can be elected then, and tasks run on only
// under the grants of this leader, so it leads on until the store answers.
void Election::onLeaderKeyRemoved() {
  if (KnownLeadership.Mine) {
    OwnKeyRemoved = true;
    renewLease([] {});
    return;
  }
  setLeadership(Leadership{});
  campaign();
}

void Election::removeEarlierLeadership(const KeyValue &leaderKey) {
  if (Resigned)
    return;
  StoreTxn txn;
  txn.Expected.push_back({Options.LeaderKey, leaderKey.ModRevision});
  txn.Removes.push_back(Options.LeaderKey);
  StoreClient.Transact(
      std::move(txn),
      guarded<StoreTxnReply>([this](const StoreReply<StoreTxnReply> &r) {
        // If the key is not removed here, it is with the end of its lease.
        if (!r.ok() && r.Status != StoreStatus::Conflict)
          NotifyStoreError(r.Status, r.Why);
      }));
}

void Election::onViewComplete() {
  ViewComplete = true;
  campaign();
}

bool Election::mustDeferToLargerEntry() {
  if (!Options.IsLargerEntryKnown())
    return false;
  const absl::Time now = Loop.now();
  if (DeferUntil == absl::InfinitePast()) {
    const absl::Duration wait = renewalPeriod() * DeferralRenewals;
    DeferUntil = now + wait;
    Loop.runAfter(wait, [this, alive = Alive] {
      if (*alive)
        campaign();
    });
  }
  return now < DeferUntil;
}

void Election::campaign() {
  if (Resigned || CampaignPending || !ViewComplete || Lease == 0 ||
      KnownLeadership.Epoch != 0)
    return;
  if (mustDeferToLargerEntry())
    return;
  CampaignPending = true;
  StoreTxn txn;
  txn.Expected.push_back({Options.LeaderKey, 0});
  txn.Puts.push_back({Options.LeaderKey, Options.Entry.Address, Lease});
  const int64_t lease = Lease;
  StoreClient.Transact(
      std::move(txn),
      guarded<StoreTxnReply>([this, lease](const StoreReply<StoreTxnReply> &r) {
        CampaignPending = false;
        // The watch resolves any other outcome, including a lost answer.
        if (r.ok() && lease == Lease) {
          const int64_t revision = r.Value.Revision;
          onLeaderKey({{Options.LeaderKey, Options.Entry.Address, revision,
                        revision, Lease},
                       false});
        } else if (!r.ok() && r.Status != StoreStatus::Conflict) {
          NotifyStoreError(r.Status, r.Why);
        }
      }));
}

void Election::setLeadership(Leadership next) {
  if (next == KnownLeadership)
    return;
  // An event that the watch delivers late must not override a newer one.
  if (next.Epoch != 0 && next.Epoch < KnownLeadership.Epoch)
    return;
  KnownLeadership = std::move(next);
  OwnKeyRemoved = false;
  if (KnownLeadership.Epoch != 0)
    DeferUntil = absl::InfinitePast();
  NotifyChange(KnownLeadership);
}

void Election::resign(std::function<void()> done) {
  Resigned = true;
  const int64_t lease = Lease;
  Lease = 0;
  if (KnownLeadership.Mine)
    setLeadership(Leadership{});
  if (lease == 0) {
    done();
    return;
  }
  StoreClient.EndLease(lease, [done = std::move(done)](
                                  const StoreReply<StoreLease> &) { done(); });
}

} // namespace oriolebay::platform
