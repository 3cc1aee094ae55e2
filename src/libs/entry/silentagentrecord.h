#pragma once

#include "jobs/silentagent.h"
#include "platform/store.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace oriolebay::utils {
class EventLoop;
}

namespace oriolebay::entry {

/// The agents that the leader does not hear from, kept in the store. Tasks
/// beside such an agent start elsewhere only when no earlier leader can keep
/// them alive any more, which a leader counts from its own election unless this
/// record tells it that the agent was silent before. Without the record, each
/// leader that is lost delays those tasks anew.
///
/// The record is valid for the leader that follows its writer. An agent that is
/// in it gets no grant before the store has confirmed a record without it.
/// Owned by one event loop.
class SilentAgentRecord {
public:
  struct Options {
    std::string Key = "oriolebay/silent-agents";
    std::string LeaderKey;
    /// Epoch of this leader.
    int64_t Epoch = 0;
    /// Time after the start by which agents that are alive have reported, so
    /// that the first record does not contain them.
    absl::Duration FirstWriteAfter = absl::Seconds(2);
    /// Time after which a record is written again: each agent in it has been
    /// silent for longer by then.
    absl::Duration RewriteAfter = absl::Seconds(2);
    /// Pause after a call to the store that failed.
    absl::Duration RetryDelay = absl::Milliseconds(300);
  };
  /// Returns the agents that this leader does not hear from.
  using CurrentAgents = std::function<std::vector<jobs::SilentAgent>()>;
  using OnRead = std::function<void()>;

  SilentAgentRecord(utils::EventLoop &loop, const platform::Store &store,
                    Options options, CurrentAgents currentAgents);
  ~SilentAgentRecord();
  SilentAgentRecord(const SilentAgentRecord &) = delete;
  SilentAgentRecord &operator=(const SilentAgentRecord &) = delete;

  /// Reads the record of an earlier leader.
  void read(OnRead onRead);
  bool isRead() const { return IsRead; }
  /// The agents that were silent under the leader with previousEpoch; none if
  /// the record that was read is of another one.
  std::vector<jobs::SilentAgent> agentsUnder(int64_t previousEpoch) const;
  /// Writes the record if it is due. Must be called a few times a second once
  /// it has been read.
  void update();
  /// Whether the agent may get a grant. If not, a record without it is written
  /// at once.
  bool mayGrant(const std::string &agent);

private:
  void onRecord(const platform::StoreReply<platform::KeyValue> &reply,
                const OnRead &onRead);
  void decodeRecord(const std::string &value);
  bool isWriteDue(const std::vector<jobs::SilentAgent> &agents) const;
  void write(const std::vector<jobs::SilentAgent> &agents);
  void onWritten(const platform::StoreReply<platform::StoreTxnReply> &reply,
                 std::set<std::string> agents);
  void onConflict(const std::vector<platform::KeyValue> &current);

  utils::EventLoop &Loop;
  const platform::Store &StoreClient;
  const Options Params;
  const CurrentAgents ReadCurrentAgents;
  const absl::Time StartedAt;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  bool IsRead = false;
  int64_t ReadEpoch = 0;
  std::vector<jobs::SilentAgent> ReadAgents;
  int64_t Revision = 0;
  bool WriteUnderWay = false;
  absl::Time LastWriteAt = absl::InfinitePast();
  absl::Time WritesPausedUntil = absl::InfinitePast();
  /// Names in the record that the store last confirmed.
  std::set<std::string> ConfirmedAgents;
  /// Names in that record, or in a later one whose write may have taken effect.
  std::set<std::string> PossibleAgents;
};

} // namespace oriolebay::entry
