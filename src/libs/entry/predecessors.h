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

/// One time that an entry led, or may still believe that it leads.
struct Reign {
  int64_t Epoch = 0;
  std::string Address;
  auto operator<=>(const Reign &) const = default;
};

/// The earlier leaders that may still keep tasks alive at agents which the new
/// one cannot reach. A new leader would have to wait for the longest that any
/// of them may go on without the store; but one that answers that it has stood
/// down, or whose process has been started anew, has stopped already. The list
/// lies in the store and each leader enters itself before it does anything, so
/// that none is forgotten. One whose time is over leaves the list unasked: its
/// machine may never answer again, and every later leader would wait for it
/// anew (18 s each, for a task on a machine that is gone as well). Owned by one
/// event loop.
class Predecessors {
public:
  struct Options {
    std::string Key = "oriolebay/leaders";
    std::string LeaderKey;
    Reign Mine;
    /// By then after this leader's election no earlier one keeps any task
    /// alive, whether it answers or not.
    absl::Duration AllOverAfter = absl::Seconds(18);
    absl::Duration AskAgain = absl::Milliseconds(300);
    int PeerTimeoutMs = 400;
  };
  /// This leader stands in the list and may begin.
  using OnEntered = std::function<void()>;
  /// All earlier ones have stood down by now.
  using OnGone = std::function<void(absl::Time)>;

  Predecessors(utils::EventLoop &loop, const platform::Store &store,
               const endpoints::Peers &peers, Options options,
               OnEntered onEntered, OnGone onGone);
  ~Predecessors();
  Predecessors(const Predecessors &) = delete;
  Predecessors &operator=(const Predecessors &) = delete;

  void start() { read(); }

private:
  void read();
  void onRead(const platform::StoreReply<platform::KeyValue> &reply);
  void enter(std::vector<Reign> earlier, int64_t revision);
  void readLater();
  void ask(const Reign &reign);
  void askAll();
  void stoodDown(const Reign &reign);
  void allOver();
  void noneLeft();
  void forgetAll();

  utils::EventLoop &Loop;
  const platform::Store &Calls;
  const endpoints::Peers &Peers;
  const Options Setup;
  const OnEntered Entered;
  const OnGone Gone;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  std::vector<Reign> Earlier;
  int64_t Revision = 0;
};

} // namespace oriolebay::entry
