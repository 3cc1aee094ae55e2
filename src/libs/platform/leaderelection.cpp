#include "leaderelection.h"

#include "utils/steadyclock.h"

#include <absl/strings/str_cat.h>

namespace oriolebay::platform {

using utils::steadyNow;

const char *const LeaderKey = "/oriolebay/leader";

namespace {
const char *const EntryPrefix = "/oriolebay/entries/";
// Number of renewals per lease time; two can be lost before the lease expires.
constexpr int RenewalsPerLease = 3;
} // namespace

LeaderElection::LeaderElection(KvClient &kv, std::string address, int leaseS,
                               OnChange onChange, OnStoreError onError)
    : Kv(kv), Address(std::move(address)), LeaseS(leaseS),
      NotifyChange(std::move(onChange)), NotifyStoreError(std::move(onError)),
      Thread([this] {
        const absl::Duration pause = absl::Seconds(LeaseS) / RenewalsPerLease;
        while (!StopRequested.HasBeenNotified()) {
          const bool ok = utils::handle<bool>(
              [&]() -> utils::Result<bool> {
                BOOST_LEAF_CHECK(runOnce());
                return true;
              },
              [&](const utils::Error &e) {
                NotifyStoreError(e);
                return false;
              });
          // The watch of a follower has already waited. Only the leader, and
          // any entry after a failed call, pauses between calls.
          if (!ok || KnownLeadership.Mine)
            StopRequested.WaitForNotificationWithTimeout(pause);
        }
      }) {}

LeaderElection::~LeaderElection() { stop(); }

absl::Time LeaderElection::confirmedAt() const {
  absl::MutexLock lock(&Mu);
  return ConfirmedAt;
}

void LeaderElection::stop() {
  if (!StopRequested.HasBeenNotified())
    StopRequested.Notify();
  if (Thread.joinable())
    Thread.join();
}

void LeaderElection::setLeadership(Leadership next) {
  if (next == KnownLeadership)
    return;
  KnownLeadership = std::move(next);
  NotifyChange(KnownLeadership);
}

// The registration of this entry and, while it leads, the leader's key are
// attached to the same lease, so that both are removed when the process dies.
utils::Result<void> LeaderElection::ensureRegistered() {
  if (Lease != 0) {
    auto problem = utils::handle<std::optional<utils::Error>>(
        [&]() -> utils::Result<std::optional<utils::Error>> {
          BOOST_LEAF_CHECK(Kv.keepAlive(Lease));
          return std::optional<utils::Error>();
        },
        [](const utils::Error &e) { return std::optional<utils::Error>(e); });
    if (!problem)
      return {};
    // A lease that expired while this process was paused is removed with its
    // keys. After any other failure the state of the lease is unknown.
    if (problem->Kind != utils::ErrorKind::NotFound)
      return boost::leaf::new_error(*problem);
    Lease = 0;
  }
  BOOST_LEAF_AUTO(lease, Kv.grantLease(LeaseS));
  BOOST_LEAF_CHECK(Kv.put(absl::StrCat(EntryPrefix, Address), Address, lease));
  Lease = lease;
  return {};
}

utils::Result<void> LeaderElection::readLeaderKey() {
  const absl::Time sent = steadyNow();
  BOOST_LEAF_AUTO(current, Kv.get(LeaderKey));
  if (!current) {
    setLeadership(Leadership{});
    return {};
  }
  const bool mine = current->Lease == Lease && Lease != 0;
  if (mine) {
    absl::MutexLock lock(&Mu);
    ConfirmedAt = sent;
  }
  setLeadership(Leadership{current->CreateRevision, current->Value, mine});
  return {};
}

utils::Result<void> LeaderElection::runOnce() {
  BOOST_LEAF_CHECK(ensureRegistered());
  BOOST_LEAF_CHECK(readLeaderKey());
  bool resigned = false;
  {
    absl::MutexLock lock(&Mu);
    resigned = Resigned;
  }
  if (KnownLeadership.Epoch == 0 && !resigned) {
    // The key is created only if it does not exist, so only one of several
    // entries succeeds. Reading the key afterwards resolves a lost reply.
    auto won = Kv.compareAndSwap(LeaderKey, Address, 0, Lease);
    (void)won;
    return readLeaderKey();
  }
  if (!KnownLeadership.Mine) {
    BOOST_LEAF_AUTO(batch, Kv.watch(LeaderKey, NextRevision + 1,
                                    LeaseS * 1000 / RenewalsPerLease));
    NextRevision = std::max(NextRevision, batch.Revision);
  }
  return {};
}

bool LeaderElection::othersRegistered() {
  auto entries = Kv.list(EntryPrefix);
  if (!entries)
    return false;
  for (const KeyValue &kv : *entries)
    if (kv.Value != Address)
      return true;
  return false;
}

void LeaderElection::resign() {
  absl::MutexLock lock(&Mu);
  Resigned = true;
  ConfirmedAt = absl::InfinitePast();
  auto done = Kv.revokeLease(Lease);
  (void)done;
}

} // namespace oriolebay::platform
