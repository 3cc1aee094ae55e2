#pragma once

#include "platform/store.h"
#include "utils/eventloop.h"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace oriolebay::cluster {

/// The platform's store in memory, on the loop's time: revisions, leases,
/// watches, and the ways in which it fails. Each client has its own view of the
/// faults.
class MemoryStore {
public:
  MemoryStore(utils::EventLoop &loop, uint64_t seed);

  /// How the store treats one client's calls.
  struct Faults {
    /// Calls are refused at once; nothing is done.
    bool Refuses = false;
    /// Calls get no answer and are not carried out.
    bool Silent = false;
    /// This share of transactions is carried out and not answered.
    double LosesAnswers = 0;
    /// This share of transactions gets no answer and is carried out later, if
    /// its conditions still hold.
    double Late = 0;
    /// Watches bring nothing although things change, until it is over; then
    /// they are cut.
    bool WatchesSilent = false;
    absl::Duration Delay = absl::Milliseconds(4);
  };

  /// The store as client sees it.
  platform::Store clientOf(const std::string &client);
  Faults &faults(const std::string &client) { return ByClient[client]; }
  /// Whether leases run out while a client is kept from the store: they always
  /// do, as nobody renews them.
  void put(const std::string &key, const std::string &value);
  const std::map<std::string, platform::KeyValue> &items() const {
    return Items;
  }
  /// Forgets all history: watches from earlier revisions get Compacted.
  void compact();
  int calls() const { return Calls; }
  /// Transactions that wrote something.
  int writes() const { return Writes; }

private:
  struct Lease {
    absl::Duration Ttl;
    absl::Time Ends;
  };
  struct Change {
    int64_t Revision = 0;
    platform::StoreEvent Event;
  };
  struct Waiting {
    std::string Client;
    std::string Prefix;
    int64_t After = 0;
    platform::OnStoreReply<platform::StoreEvents> Done;
    bool Over = false;
  };

  template <class T>
  void answer(const std::string &client, platform::OnStoreReply<T> done,
              platform::StoreReply<T> reply);
  /// False when the call is lost or refused; done has been dealt with.
  template <class T>
  bool admitted(const std::string &client,
                const platform::OnStoreReply<T> &done,
                absl::Duration timeout = absl::Milliseconds(700));
  platform::StoreReply<platform::StoreTxnReply>
  apply(const platform::StoreTxn &txn);
  void transact(const std::string &client, const platform::StoreTxn &txn,
                const platform::OnStoreReply<platform::StoreTxnReply> &done);
  void watch(const std::string &client, const std::string &prefix,
             int64_t after, int64_t waitMs,
             const platform::OnStoreReply<platform::StoreEvents> &done);
  std::vector<platform::StoreEvent> changesAfter(const std::string &prefix,
                                                 int64_t after) const;
  void notify();
  void write(const std::string &key, const std::string &value, int64_t lease);
  void remove(const std::string &key);
  void endLeases();
  bool chance(double share);

  utils::EventLoop &Loop;
  std::mt19937_64 Random;
  int64_t Revision = 10;
  int64_t Oldest = 10;
  int64_t NextLease = 1000;
  int Calls = 0;
  int Writes = 0;
  std::map<std::string, platform::KeyValue> Items;
  std::map<int64_t, Lease> Leases;
  std::vector<Change> History;
  std::vector<std::shared_ptr<Waiting>> Watches;
  std::map<std::string, Faults> ByClient;
};

} // namespace oriolebay::cluster
