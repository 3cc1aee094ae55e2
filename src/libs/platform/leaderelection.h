#pragma once

#include "kvclient.h"

#include <absl/synchronization/mutex.h>
#include <absl/synchronization/notification.h>
#include <absl/time/time.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace oriolebay::platform {

/// The leader as known to one entry. Epoch is the store's revision at which the
/// leader's key was created: it grows with each change of leader and is the
/// fencing token. Zero means that no entry leads.
struct Leadership {
  int64_t Epoch = 0;
  /// The leader's nng address.
  std::string Address;
  /// This entry is the leader.
  bool Mine = false;

  auto operator<=>(const Leadership &) const = default;
};

/// The leader's key in the store. Transactions compare its creation revision,
/// so that the store itself refuses writes of a leader that has been replaced.
extern const char *const LeaderKey;

/// Elects one leader among the entries by a lease in the platform's store. Its
/// thread creates the leader's key if it does not exist, renews the lease, and
/// watches the key while another entry leads. In an outage of the store the
/// leader stays leader until it learns of another one. This is safe because
/// nothing can start during the outage: a start is first written to the store
/// under the condition that the key is unchanged.
class LeaderElection {
public:
  /// Called on the election's thread after each change of leader.
  using OnChange = std::function<void(const Leadership &)>;
  using OnStoreError = std::function<void(const utils::Error &)>;

  /// address is this entry's own address; leaseS is the time to live of its
  /// lease in seconds.
  LeaderElection(KvClient &kv, std::string address, int leaseS,
                 OnChange onChange, OnStoreError onError);
  ~LeaderElection();
  LeaderElection(const LeaderElection &) = delete;
  LeaderElection &operator=(const LeaderElection &) = delete;

  /// Returns when the store last confirmed that this entry leads: the time on
  /// the steady clock at which the confirmed call was sent. Infinite past if
  /// the entry has never led; resign() resets it to infinite past.
  absl::Time confirmedAt() const;

  /// Returns whether another entry is registered and could take over. Returns
  /// false if the store does not answer.
  bool othersRegistered();
  /// Gives up leadership immediately and does not acquire it again.
  void resign();
  void stop();

private:
  /// Renews the registration and reads the leader's key. Then tries to create
  /// the key if it does not exist, or watches it if another entry leads.
  utils::Result<void> runOnce();
  /// Renews the lease. If it has expired or none was requested yet, requests a
  /// new one and registers this entry with it.
  utils::Result<void> ensureRegistered();
  utils::Result<void> readLeaderKey();
  void setLeadership(Leadership next);

  KvClient &Kv;
  const std::string Address;
  const int LeaseS;
  const OnChange NotifyChange;
  const OnStoreError NotifyStoreError;
  std::atomic<int64_t> Lease{0};
  int64_t NextRevision = 0;
  Leadership KnownLeadership;
  mutable absl::Mutex Mu;
  absl::Time ConfirmedAt = absl::InfinitePast();
  bool Resigned = false;
  absl::Notification StopRequested;
  std::thread Thread;
};

} // namespace oriolebay::platform
