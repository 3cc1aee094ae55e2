#pragma once

#include "leaderelection.h"
#include "prefixfollower.h"
#include "store.h"
#include "utils/error.h"

#include <absl/time/time.h>

#include <functional>
#include <memory>
#include <string>

namespace oriolebay::platform {

/// The record by which an entry registers itself in the store.
struct EntryRecord {
  std::string Address;
  /// Processor time that the entry gets, as a fraction of one core.
  double ProcessorShare = 0;
  /// Memory of its host in MB; zero if unknown, as of entries of earlier
  /// versions.
  int64_t MemoryMb = 0;
  auto operator<=>(const EntryRecord &) const = default;
};
std::string encode(const EntryRecord &record);
/// Decodes the record of an entry. Fails with ErrorKind::BadMessage if item is
/// none: entries register under a lease, and no process has more than
/// core::MaxProcessorShare.
utils::Result<EntryRecord> decodeEntry(const KeyValue &item);

/// The keys and the timing of an election.
struct ElectionOptions {
  std::string LeaderKey = "oriolebay/leader";
  std::string EntryPrefix = "oriolebay/entries/";
  /// This entry's name, and the record with the address at which other
  /// processes reach it.
  std::string Name;
  EntryRecord Entry;
  /// Returns whether an entry with a larger processor share is known. This
  /// entry then defers to it for the time that the larger entry may need to
  /// detect that its lease has expired.
  std::function<bool()> IsLargerEntryKnown = [] { return false; };
  /// Time without a renewal after which the store removes the leader's key.
  absl::Duration LeaseTtl = absl::Seconds(2);
  /// Number of renewals per lease time; three can be lost before the lease
  /// expires.
  int RenewalsPerLease = 4;
  FollowTiming Follow;
};

/// Elects one leader among the entries by a lease in the store, on one event
/// loop. An entry leads while the leader's key is attached to its lease. In an
/// outage the leader stays leader until it learns otherwise, also if it sees
/// its own key removed; confirmedAt() returns when its leadership was last
/// confirmed, and the store refuses its writes after it has been replaced.
class Election {
public:
  using OnChange = std::function<void(const Leadership &)>;
  using OnStoreError = std::function<void(StoreStatus, const std::string &why)>;

  Election(utils::EventLoop &loop, const Store &store, ElectionOptions options,
           OnChange onChange, OnStoreError onStoreError);
  ~Election();
  Election(const Election &) = delete;
  Election &operator=(const Election &) = delete;

  void start();
  /// Returns the current leader as far as this entry knows.
  const Leadership &leadership() const { return KnownLeadership; }
  /// Returns when the store last confirmed this entry's lease while it led: the
  /// time on the boot clock at which the confirmed call was sent.
  absl::Time confirmedAt() const { return ConfirmedAt; }
  /// Returns a time after which the store has renewed no earlier leader's
  /// lease. Known while this entry leads. It does not hold for leaders that
  /// have ended or resigned: they did so before this entry's election.
  absl::Time earlierLeadersConfirmedBy() const {
    return EarlierLeadersConfirmedBy;
  }
  /// Ends the lease and leaves the election. Calls done after the call to the
  /// store has ended, with or without success.
  void resign(std::function<void()> done);

private:
  /// Wraps handler so that it is not called after the destruction of this
  /// object.
  template <class T> OnStoreReply<T> guarded(OnStoreReply<T> handler);
  void requestLease();
  void onLeaseGranted(const StoreReply<StoreLease> &reply, absl::Time sent);
  void registerEntry();
  void scheduleRenewal();
  /// Renews the lease, and calls done if it is still this entry's lease after
  /// that.
  void renewLease(std::function<void()> done);
  /// Handles the answer to a renewal. Returns false if the lease is lost.
  bool onLeaseRenewed(const StoreReply<StoreLease> &reply, absl::Time sent);
  void handleLeaseLoss();
  void onLeaderKey(const StoreEvent &event);
  void onLeaderKeyRemoved();
  void onViewComplete();
  /// Removes the leader's key if an earlier process at this entry's address
  /// left it behind. That process has ended, as this one has its address, so
  /// that nobody has to wait for the end of its lease.
  void removeEarlierLeadership(const KeyValue &leaderKey);
  /// Returns whether this entry currently leaves the election to a larger
  /// entry. Starts the waiting time on the first call.
  bool mustDeferToLargerEntry();
  /// Tries to create the leader's key, if no entry leads.
  void campaign();
  void setLeadership(Leadership next);
  absl::Duration renewalPeriod() const;

  utils::EventLoop &Loop;
  const Store &StoreClient;
  const ElectionOptions Options;
  const OnChange NotifyChange;
  const OnStoreError NotifyStoreError;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  PrefixFollower Follower;
  int64_t Lease = 0;
  /// Duration of the lease as the store has set it.
  absl::Duration GrantedTtl;
  absl::Time LeaseConfirmedAt = absl::InfinitePast();
  absl::Time ConfirmedAt = absl::InfinitePast();
  absl::Time EarlierLeadersConfirmedBy = absl::InfinitePast();
  /// The leader's key has been read at least once.
  bool ViewComplete = false;
  /// The transaction that creates the leader's key is in progress.
  bool CampaignPending = false;
  /// Until when this entry defers to larger entries; infinite past if it has
  /// not started to defer.
  absl::Time DeferUntil = absl::InfinitePast();
  bool Resigned = false;
  /// The leader according to the last known value of its key; Epoch is zero if
  /// the key does not exist.
  Leadership KnownLeadership;
  /// The key was removed while this entry led, and the store has not answered a
  /// renewal since.
  bool OwnKeyRemoved = false;
};

} // namespace oriolebay::platform
