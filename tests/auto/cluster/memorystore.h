#pragma once

#include "platform/store.h"
#include "utils/eventloop.h"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace oriolebay::cluster {

/// The platform's store in memory, on the loop's time, with revisions, leases,
/// watches and the store's failure modes. Faults are set for each client
/// separately. Leases always expire while their client cannot reach the store,
/// as nobody renews them.
class MemoryStore {
public:
  MemoryStore(utils::EventLoop &loop, uint64_t seed);

  /// How the store fails calls of one client.
  struct Faults {
    /// Calls are refused at once and not carried out.
    bool Refuses = false;
    /// Calls get no answer. Calls that arrive meanwhile are not carried out.
    bool Silent = false;
    /// Share of transactions that are carried out but not answered.
    double LostAnswerShare = 0;
    /// Share of transactions that get no answer and are carried out later, if
    /// their conditions still hold.
    double LateWriteShare = 0;
    /// Watches report no changes; they return empty when their wait time is
    /// over.
    bool WatchesSilent = false;
    /// Time that a transaction takes, with half of it in each direction. Reads
    /// are carried out at once and answered after half of it.
    absl::Duration Delay = absl::Milliseconds(4);
  };

  /// Returns the store as client sees it.
  platform::Store clientOf(const std::string &client);
  Faults &faults(const std::string &client) { return FaultsByClient[client]; }
  /// Refuses all transactions that write this key from now on.
  void refuseWritesOf(const std::string &key) { RefusedKeys.insert(key); }
  /// Writes value directly, without any client's faults.
  void put(const std::string &key, const std::string &value);
  /// Removes key directly.
  void erase(const std::string &key);
  const std::map<std::string, platform::KeyValue> &items() const {
    return Items;
  }
  /// Drops all history: watches from earlier revisions get Compacted.
  void compact();
  int calls() const { return Calls; }
  /// Number of transactions that wrote something.
  int writes() const { return Writes; }

private:
  struct Lease {
    absl::Duration Ttl;
    absl::Time ExpiresAt;
  };
  struct Change {
    int64_t Revision = 0;
    platform::StoreEvent Event;
  };
  struct PendingWatch {
    std::string Client;
    std::string Prefix;
    int64_t After = 0;
    platform::OnStoreReply<platform::StoreEvents> Done;
    bool Answered = false;
  };

  template <class T>
  void answer(const std::string &client, platform::OnStoreReply<T> done,
              platform::StoreReply<T> reply);
  /// Counts the call and applies the client's faults to it. Returns false if
  /// the call is lost or refused; done is then called by this function.
  template <class T>
  bool admitCall(const std::string &client,
                 const platform::OnStoreReply<T> &done,
                 absl::Duration timeout = absl::Milliseconds(700));
  platform::StoreReply<platform::StoreTxnReply>
  applyTxn(const platform::StoreTxn &txn);
  void transact(const std::string &client, const platform::StoreTxn &txn,
                const platform::OnStoreReply<platform::StoreTxnReply> &done);
  void watch(const std::string &client, const std::string &prefix,
             int64_t after, int64_t waitMs,
             const platform::OnStoreReply<platform::StoreEvents> &done);
  std::vector<platform::StoreEvent> changesAfter(const std::string &prefix,
                                                 int64_t after) const;
  void notifyWatches();
  void write(const std::string &key, const std::string &value, int64_t lease);
  void remove(const std::string &key);
  void expireLeases();
  bool chance(double share);

  utils::EventLoop &Loop;
  std::mt19937_64 Random;
  int64_t Revision = 10;
  int64_t OldestRevision = 10;
  int64_t NextLease = 1000;
  int Calls = 0;
  int Writes = 0;
  std::map<std::string, platform::KeyValue> Items;
  std::map<int64_t, Lease> Leases;
  std::vector<Change> History;
  std::vector<std::shared_ptr<PendingWatch>> Watches;
  std::map<std::string, Faults> FaultsByClient;
  std::set<std::string> RefusedKeys;
};

} // namespace oriolebay::cluster
