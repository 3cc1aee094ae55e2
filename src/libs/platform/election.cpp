#include "election.h"

#include "utils/eventloop.h"
#include "utils/jsonfields.h"

#include <algorithm>

namespace oriolebay::platform {

namespace {

/// Larger entries learn with their next renewal that their lease has lapsed,
/// and have to be granted a new one.
constexpr double RenewalsLeftToLarger = 1.5;

} // namespace

std::string encode(const EntryRecord &record) {
  return nlohmann::json{{"address", record.Address},
                        {"processor_share", record.ProcessorShare}}
      .dump();
}

utils::Result<EntryRecord> decodeEntry(const std::string &value) {
  const auto j = nlohmann::json::parse(value, nullptr, false);
  if (!j.is_object() || !j.contains("processor_share") ||
      !j["processor_share"].is_number() || utils::textIn(j, "address").empty())
    return utils::fail(utils::ErrorKind::BadMessage, "no record of an entry",
                       "run one version of all entries and agents");
  return EntryRecord{utils::textIn(j, "address"),
                     j["processor_share"].get<double>()};
}

Election::Election(utils::EventLoop &loop, const Store &store,
                   ElectionOptions options, OnChange onChange,
                   OnTrouble onTrouble)
    : Loop(loop), Calls(store), Options(std::move(options)),
      Changed(std::move(onChange)), Trouble(std::move(onTrouble)),
      Follower(
          loop, store, Options.LeaderKey, Options.Follow,
          [this](const StoreEvent &event) { onLeaderKey(event); },
          [this](int64_t) { onView(); },
          [this](StoreStatus status, const std::string &why) {
            Trouble(status, why);
          }) {}

Election::~Election() { *Alive = false; }

template <class T> OnStoreReply<T> Election::guarded(OnStoreReply<T> handler) {
  return [alive = Alive,
          handler = std::move(handler)](const StoreReply<T> &reply) {
    if (*alive)
      handler(reply);
  };
}

absl::Duration Election::period() const {
  return Options.LeaseTtl / Options.RenewalsPerLease;
}

void Election::start() {
  Follower.start();
  grant();
}

void Election::grant() {
  if (Resigned)
    return;
  const absl::Time sent = Loop.now();
  Calls.GrantLease(
      absl::ToInt64Milliseconds(Options.LeaseTtl),
      guarded<StoreLease>([this, sent](const StoreReply<StoreLease> &r) {
        onGranted(r, sent);
      }));
}

void Election::onGranted(const StoreReply<StoreLease> &reply, absl::Time sent) {
  if (Resigned)
    return;
  if (!reply.ok()) {
    Trouble(reply.Status, reply.Why);
    Loop.runAfter(period(), [this, alive = Alive] {
      if (*alive)
        grant();
    });
    return;
  }
  Lease = reply.Value.Id;
  LeaseConfirmed = sent;
  LeftUntil = absl::InfinitePast();
  registerEntry();
  contend();
  keepLater();
}

void Election::registerEntry() {
  StoreTxn txn;
  txn.Puts.push_back(
      {Options.EntryPrefix + Options.Name, encode(Options.Entry), Lease});
  Calls.Transact(
      std::move(txn),
      guarded<StoreTxnReply>([this](const StoreReply<StoreTxnReply> &r) {
        // Agents that know no leader look here; the next lease, or
        // the leader's key, leads them as well.
        if (!r.ok())
          Trouble(r.Status, r.Why);
      }));
}

void Election::keepLater() {
  Loop.runAfter(period(), [this, alive = Alive] {
    if (*alive && Lease != 0)
      keep();
  });
}

void Election::keep() {
  const absl::Time sent = Loop.now();
  Calls.KeepLease(
      Lease, guarded<StoreLease>([this, sent](const StoreReply<StoreLease> &r) {
        onKept(r, sent);
      }));
}

void Election::onKept(const StoreReply<StoreLease> &reply, absl::Time sent) {
  if (Lease == 0 || Resigned)
    return;
  if (reply.Status == StoreStatus::NotFound) {
    loseLease();
    return;
  }
  if (!reply.ok()) {
    Trouble(reply.Status, reply.Why);
  } else {
    LeaseConfirmed = sent;
    if (Known.Mine)
      Confirmed = sent;
  }
  keepLater();
  // The key can have gone while this entry's watch was silent.
  contend();
}

// The lease lapsed, in a pause or an outage: the keys under it are gone, so
// another entry may lead by now.
void Election::loseLease() {
  Lease = 0;
  if (Known.Mine)
    change(Leadership{});
  Follower.readAgain();
  grant();
}

void Election::onLeaderKey(const StoreEvent &event) {
  if (event.Item.Key != Options.LeaderKey)
    return;
  if (event.Deleted) {
    // The removal of an earlier leader's key may be told after this entry's
    // own transaction has made the new one.
    if (event.Item.ModRevision < Known.Epoch)
      return;
    change(Leadership{});
    contend();
    return;
  }
  const bool mine = Lease != 0 && event.Item.Lease == Lease && !Resigned;
  if (mine)
    Confirmed = LeaseConfirmed;
  change({event.Item.CreateRevision, event.Item.Value, mine});
}

void Election::onView() {
  ViewComplete = true;
  contend();
}

bool Election::leavesLeadToLarger() {
  if (!Options.LargerIsKnown())
    return false;
  const absl::Time now = Loop.now();
  if (LeftUntil == absl::InfinitePast()) {
    const absl::Duration wait = period() * RenewalsLeftToLarger;
    LeftUntil = now + wait;
    Loop.runAfter(wait, [this, alive = Alive] {
      if (*alive)
        contend();
    });
  }
  return now < LeftUntil;
}

void Election::contend() {
  if (Resigned || Contending || !ViewComplete || Lease == 0 || Known.Epoch != 0)
    return;
  if (leavesLeadToLarger())
    return;
  Contending = true;
  StoreTxn txn;
  txn.Expected.push_back({Options.LeaderKey, 0});
  txn.Puts.push_back({Options.LeaderKey, Options.Entry.Address, Lease});
  const int64_t lease = Lease;
  Calls.Transact(
      std::move(txn),
      guarded<StoreTxnReply>([this, lease](const StoreReply<StoreTxnReply> &r) {
        Contending = false;
        // Any other outcome, a lost answer too, is settled by the watch.
        if (r.ok() && lease == Lease) {
          const int64_t revision = r.Value.Revision;
          onLeaderKey({{Options.LeaderKey, Options.Entry.Address, revision,
                        revision, Lease},
                       false});
        } else if (!r.ok() && r.Status != StoreStatus::Conflict) {
          Trouble(r.Status, r.Why);
        }
      }));
}

void Election::change(Leadership next) {
  if (next == Known)
    return;
  // An event that the watch brings late must not undo a newer one.
  if (next.Epoch != 0 && next.Epoch < Known.Epoch)
    return;
  Known = std::move(next);
  if (Known.Epoch != 0)
    LeftUntil = absl::InfinitePast();
  Changed(Known);
}

void Election::resign(std::function<void()> done) {
  Resigned = true;
  const int64_t lease = Lease;
  Lease = 0;
  if (Known.Mine)
    change(Leadership{});
  if (lease == 0) {
    done();
    return;
  }
  Calls.EndLease(lease, [done = std::move(done)](
                            const StoreReply<StoreLease> &) { done(); });
}

} // namespace oriolebay::platform
