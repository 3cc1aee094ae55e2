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

/// An entry as it registers itself in the store.
struct EntryRecord {
  std::string Address;
  /// Of a core.
  double ProcessorShare = 0;
  auto operator<=>(const EntryRecord &) const = default;
};
std::string encode(const EntryRecord &record);
/// BadMessage when value is no such record.
utils::Result<EntryRecord> decodeEntry(const std::string &value);

/// The keys of an election and how it keeps time.
struct ElectionOptions {
  std::string LeaderKey = "oriolebay/leader";
  std::string EntryPrefix = "oriolebay/entries/";
  /// This entry's name and the address that others reach it at.
  std::string Name;
  EntryRecord Entry;
  /// Whether an entry with a larger share of a processor is known: it is left
  /// the lead for as long as it may take to learn that its lease has lapsed.
  std::function<bool()> LargerIsKnown = [] { return false; };
  /// How long the leader may be silent before the store removes its key.
  absl::Duration LeaseTtl = absl::Seconds(2);
  /// Renewals in one lease's time: three may be lost before it lapses.
  int RenewalsPerLease = 4;
  FollowTiming Follow;
};

/// Elects one leader among the entries with a lease in the store, on one event
/// loop. An entry leads when the leader's key carries its lease. In an outage
/// the leader stays leader until it learns otherwise; confirmed() says how old
/// that belief is, and the store refuses its writes once it has been replaced.
class Election {
public:
  using OnChange = std::function<void(const Leadership &)>;
  using OnTrouble = std::function<void(StoreStatus, const std::string &why)>;

  Election(utils::EventLoop &loop, const Store &store, ElectionOptions options,
           OnChange onChange, OnTrouble onTrouble);
  ~Election();
  Election(const Election &) = delete;
  Election &operator=(const Election &) = delete;

  void start();
  const Leadership &known() const { return Known; }
  /// When the store last confirmed this entry's lease while it led (the time
  /// the confirmed call was sent, on the boot clock).
  absl::Time confirmed() const { return Confirmed; }
  /// Gives up the lease and takes no part any more. Done is called once the
  /// store answered, or did not.
  void resign(std::function<void()> done);

private:
  template <class T> OnStoreReply<T> guarded(OnStoreReply<T> handler);
  void grant();
  void onGranted(const StoreReply<StoreLease> &reply, absl::Time sent);
  void registerEntry();
  void keepLater();
  void keep();
  void onKept(const StoreReply<StoreLease> &reply, absl::Time sent);
  void loseLease();
  void onLeaderKey(const StoreEvent &event);
  void onView();
  bool leavesLeadToLarger();
  void contend();
  void change(Leadership next);
  absl::Duration period() const;

  utils::EventLoop &Loop;
  const Store &Calls;
  const ElectionOptions Options;
  const OnChange Changed;
  const OnTrouble Trouble;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  PrefixFollower Follower;
  int64_t Lease = 0;
  absl::Time LeaseConfirmed = absl::InfinitePast();
  absl::Time Confirmed = absl::InfinitePast();
  bool ViewComplete = false;
  bool Contending = false;
  /// Until when larger entries are left the lead; infinite past: not yet asked.
  absl::Time LeftUntil = absl::InfinitePast();
  bool Resigned = false;
  /// The leader's key as the follower saw it last; Epoch zero when absent.
  Leadership Known;
};

} // namespace oriolebay::platform
