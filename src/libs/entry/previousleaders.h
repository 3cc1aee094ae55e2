#pragma once

#include "endpoints/peers.h"
#include "platform/store.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace oriolebay::utils {
class EventLoop;
}

namespace oriolebay::entry {

/// A term of an entry as leader; the entry may still believe that it leads.
struct LeaderTerm {
  int64_t Epoch = 0;
  std::string Address;
  auto operator<=>(const LeaderTerm &) const = default;
};

/// The previous leaders that may still keep tasks alive on agents which the new
/// leader cannot reach. Without this list, a new leader would have to wait for
/// the longest time that any previous leader can continue without the store. A
/// previous leader keeps no task alive once it confirms that it has stepped
/// down; a process that was restarted since its term confirms at once. The list
/// is kept in the store, and each leader registers itself before it does
/// anything else, so that the list is complete. A leader whose time limit has
/// passed is removed from the list without its confirmation: its host may never
/// answer again, and every later leader would wait for it too, each for the
/// whole limit. Owned by one event loop.
class PreviousLeaders {
public:
  struct Options {
    std::string Key = "oriolebay/leaders";
    std::string LeaderKey;
    LeaderTerm OwnTerm;
    /// Time after this leader's election by which no previous leader keeps any
    /// task alive, whether it answers or not.
    absl::Duration TimeLimit = absl::Milliseconds(13500);
    absl::Duration RetryDelay = absl::Milliseconds(300);
    int PeerTimeoutMs = 400;
  };
  /// This leader is registered in the list and can begin.
  using OnRegistered = std::function<void()>;
  /// From the given time on, no previous leader keeps any task alive.
  using OnAllEnded = std::function<void(absl::Time)>;

  PreviousLeaders(utils::EventLoop &loop, const platform::Store &store,
                  const endpoints::Peers &peers, Options options,
                  OnRegistered onRegistered, OnAllEnded onAllEnded);
  ~PreviousLeaders();
  PreviousLeaders(const PreviousLeaders &) = delete;
  PreviousLeaders &operator=(const PreviousLeaders &) = delete;

  void start() { read(); }
  /// Epoch of the leader before this one; zero if there was none, or if it
  /// cannot be read. Known once this leader is registered.
  int64_t previousEpoch() const { return PreviousEpoch; }

private:
  void read();
  void onRead(const platform::StoreReply<platform::KeyValue> &reply);
  void registerTerm(std::vector<LeaderTerm> previousTerms, int64_t revision);
  void scheduleRead();
  void requestStepDown(const LeaderTerm &term);
  void completeRegistration();
  void onSteppedDown(const LeaderTerm &term);
  void onTimeLimit();
  void onNoneLeft();
  void removePreviousTerms();

  utils::EventLoop &Loop;
  const platform::Store &StoreClient;
  const endpoints::Peers &Peers;
  const Options Params;
  const OnRegistered ReportRegistered;
  const OnAllEnded ReportAllEnded;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  std::vector<LeaderTerm> PreviousTerms;
  int64_t PreviousEpoch = 0;
  int64_t Revision = 0;
};

} // namespace oriolebay::entry
