#pragma once

#include "endpoints/asyncchannel.h"
#include "platform/store.h"

#include <absl/time/time.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace oriolebay::utils {
class EventLoop;
}

namespace oriolebay::agent {

/// Finds the entry that leads: from the answers of entries, which know, and
/// from the store when no entry answers. Nothing is kept over a restart, and
/// all addresses may change. Owned by one event loop.
class LeaderFinder {
public:
  /// EntryPrefix: where entries register in the store.
  LeaderFinder(utils::EventLoop &loop, platform::Store store,
               std::string entryPrefix);
  ~LeaderFinder();
  LeaderFinder(const LeaderFinder &) = delete;
  LeaderFinder &operator=(const LeaderFinder &) = delete;

  /// Where to send the next report; null while no entry is known. Then the
  /// store is asked, and found is called once an entry is.
  endpoints::AsyncChannel *target(const std::function<void()> &found);
  /// The answer of target(): it leads, or says where the leader is (empty: it
  /// does not know), and which entries there are.
  void answered(bool leads, const std::string &hint,
                const std::vector<std::string> &entries);
  /// target() did not answer.
  void silent();
  bool knowsLeader() const { return Leads; }
  const std::string &address() const;

private:
  void use(const std::string &address);
  void next();
  void askStore(const std::function<void()> &found);

  utils::EventLoop &Loop;
  const platform::Store Calls;
  const std::string EntryPrefix;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  std::vector<std::string> Entries;
  size_t Next = 0;
  std::unique_ptr<endpoints::AsyncChannel> Channel;
  bool Leads = false;
  bool Asking = false;
  int Misses = 0;
};

} // namespace oriolebay::agent
