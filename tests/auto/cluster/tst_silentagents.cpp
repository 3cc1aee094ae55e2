#include "memorystore.h"

#include "entry/silentagentrecord.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace oriolebay::cluster {
namespace {

using entry::SilentAgentRecord;
using jobs::SilentAgent;

const std::string LeaderKey = "leader";
const std::string RecordKey = "oriolebay/silent-agents";

/// A leader's record of silent agents, and the leaders that follow it.
class SilentAgents : public testing::Test {
protected:
  utils::EventLoop Loop{1 << 10, utils::EventLoop::Time::Manual};
  MemoryStore Store{Loop, 1};
  const platform::Store Client = Store.clientOf("entry");
  std::vector<SilentAgent> Current;

  int64_t electLeader() {
    Store.put(LeaderKey, "entry");
    return Store.items().at(LeaderKey).ModRevision;
  }

  std::unique_ptr<SilentAgentRecord> makeRecord(int64_t epoch) {
    SilentAgentRecord::Options options;
    options.LeaderKey = LeaderKey;
    options.Epoch = epoch;
    return std::make_unique<SilentAgentRecord>(Loop, Client, options,
                                               [this] { return Current; });
  }

  std::vector<SilentAgent> read(SilentAgentRecord &record,
                                int64_t previousEpoch) {
    record.read([] {});
    Loop.advance(absl::Milliseconds(20));
    return record.agentsUnder(previousEpoch);
  }

  void updateFor(SilentAgentRecord &record, absl::Duration time) {
    for (const absl::Time end = Loop.now() + time; Loop.now() < end;) {
      record.update();
      Loop.advance(absl::Milliseconds(100));
    }
  }
};

// Guards against tasks on lost hosts that wait anew under each leader.
TEST_F(SilentAgents, TheNextLeaderKnowsHowLongTheyAreSilent) {
  const int64_t first = electLeader();
  const auto record = makeRecord(first);
  read(*record, 0);
  Current = {{"agent-1", absl::Seconds(3)}};
  updateFor(*record, absl::Seconds(3));
  const auto next = makeRecord(electLeader());
  EXPECT_EQ(read(*next, first), Current);
}

// Guards against a task that runs twice: a leader between the two has granted
// time to the agent.
TEST_F(SilentAgents, AnEarlierLeadersRecordIsNotValid) {
  const int64_t first = electLeader();
  const auto record = makeRecord(first);
  read(*record, 0);
  Current = {{"agent-1", absl::Seconds(3)}};
  updateFor(*record, absl::Seconds(3));
  const int64_t second = electLeader();
  const auto third = makeRecord(electLeader());
  EXPECT_TRUE(read(*third, second).empty());
}

// Guards against a task that runs twice: the agent gets a grant while the next
// leader would still read that it is silent.
TEST_F(SilentAgents, GetNoGrantBeforeTheyAreOutOfTheRecord) {
  const int64_t epoch = electLeader();
  const auto record = makeRecord(epoch);
  read(*record, 0);
  Current = {{"agent-1", absl::Seconds(3)}};
  updateFor(*record, absl::Seconds(3));
  Store.faults("entry").Silent = true;
  Current.clear();
  EXPECT_FALSE(record->mayGrant("agent-1"));
  EXPECT_TRUE(record->mayGrant("agent-2"));
  updateFor(*record, absl::Seconds(2));
  EXPECT_FALSE(record->mayGrant("agent-1"));
  Store.faults("entry").Silent = false;
  updateFor(*record, absl::Seconds(2));
  EXPECT_TRUE(record->mayGrant("agent-1"));
}

// Guards against a task that runs twice: a write that is carried out late puts
// an agent back into the record after it got a grant.
TEST_F(SilentAgents, ALateWriteDoesNotBringThemBack) {
  const int64_t epoch = electLeader();
  const auto record = makeRecord(epoch);
  read(*record, 0);
  Store.faults("entry").LateWriteShare = 1;
  Current = {{"agent-1", absl::Seconds(3)}};
  updateFor(*record, absl::Seconds(3));
  Store.faults("entry").LateWriteShare = 0;
  Current.clear();
  updateFor(*record, absl::Seconds(2));
  ASSERT_TRUE(record->mayGrant("agent-1"));
  Loop.advance(absl::Seconds(20));
  const auto it = Store.items().find(RecordKey);
  ASSERT_NE(it, Store.items().end());
  EXPECT_EQ(it->second.Value.find("agent-1"), std::string::npos);
}

// Guards against writes for agents that are alive: all are silent right after
// an election.
TEST_F(SilentAgents, AreNotRecordedWhileTheyMayStillReport) {
  const auto record = makeRecord(electLeader());
  read(*record, 0);
  Current = {{"agent-1", absl::Seconds(1)}};
  updateFor(*record, absl::Seconds(1));
  Current.clear();
  updateFor(*record, absl::Seconds(3));
  EXPECT_EQ(Store.items().count(RecordKey), 0u);
}

} // namespace
} // namespace oriolebay::cluster
