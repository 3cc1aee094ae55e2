#include "memorycluster.h"
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

constexpr int Workers = 6;

struct Silence {
  const char *Name;
  /// Time for which the leader does not hear from the agent, in milliseconds.
  int SilentMs;
  /// Time for which it does again before it is cut off itself.
  int HeardMs;
};

void PrintTo(const Silence &c, std::ostream *out) { *out << c.Name; }

/// The only worker that runs a task; -1 if none does.
int busyWorker(MemoryCluster &cluster) {
  for (const auto &[task, runs] : cluster.sharedState().Running)
    for (int n = 0; n < Workers && !runs.empty(); ++n)
      if (cluster.worker(n).incarnation() == runs.begin()->first)
        return n;
  return -1;
}

class AgentThatComesBack : public testing::TestWithParam<Silence> {};

// Guards against a task that runs twice: the leader has recorded that the agent
// is silent, loses the store and hears from the agent again, which the next
// leader cannot reach.
TEST_P(AgentThatComesBack, ToACutOffLeaderRunsItsTasksOnce) {
  MemoryCluster::Options options;
  options.Workers = Workers;
  MemoryCluster cluster(options);
  cluster.configure({"k"});
  cluster.runFor(absl::Seconds(4));
  cluster.submit(0, "k", makeJob("j", 1, 8, 25000));
  cluster.runFor(absl::Seconds(1));
  const int old = cluster.leader();
  ASSERT_GE(old, 0);
  const int worker = busyWorker(cluster);
  ASSERT_GE(worker, 0);
  const std::string agent = MemoryCluster::agentName(worker);
  cluster.setPartitioned(agent, true);
  cluster.runFor(absl::Milliseconds(GetParam().SilentMs));
  cluster.setPartitioned(agent, false);
  cluster.runFor(absl::Milliseconds(GetParam().HeardMs));
  cluster.store().faults(MemoryCluster::entryName(old)).Silent = true;
  for (int n = 0; n < 3; ++n)
    if (n != old) {
      cluster.partitionPair(MemoryCluster::entryName(n), agent);
      cluster.partitionPair(MemoryCluster::entryName(n),
                            MemoryCluster::entryName(old));
    }
  EXPECT_TRUE(cluster.runUntilAllEnded(absl::Seconds(90)));
  const std::vector<std::string> found = cluster.violations();
  EXPECT_TRUE(found.empty()) << found.front();
}

INSTANTIATE_TEST_SUITE_P(Table, AgentThatComesBack,
                         testing::Values(Silence{"after_2_s", 2300, 0},
                                         Silence{"after_4_s", 4000, 0},
                                         Silence{"after_5_s", 5000, 0},
                                         Silence{"and_stays_a_moment", 4000,
                                                 100},
                                         Silence{"and_stays", 4000, 1500}),
                         [](const auto &test) { return test.param.Name; });

struct LostAgent {
  const char *Name;
  /// When the leader is lost, in milliseconds since the agent was.
  int LeaderLostAtMs;
};

void PrintTo(const LostAgent &c, std::ostream *out) { *out << c.Name; }

/// Time from the loss of the agent until its worker restarts. The worker's
/// clock then still allows the start when it is carried out.
constexpr absl::Duration WorkerRestartsAfter = absl::Milliseconds(6500);

class StartOfALostAgent : public testing::TestWithParam<LostAgent> {};

// Guards against a task that runs twice: the agent has sent a start that the
// worker's next incarnation carries out late, and the next leader counts from
// the agent's silence.
TEST_P(StartOfALostAgent, IsWaitedForByTheNextLeader) {
  MemoryCluster::Options options;
  options.Workers = Workers;
  MemoryCluster cluster(options);
  cluster.configure({"k"});
  cluster.runFor(absl::Seconds(4));
  for (int n = 0; n < Workers; ++n) {
    cluster.worker(n).LateOrderShare = 1;
    cluster.worker(n).MinLateDelay = absl::Seconds(12);
  }
  cluster.submit(0, "k", makeJob("j", 1, 8, 25000));
  cluster.runFor(absl::Milliseconds(100));
  const absl::Time lostAt = cluster.loop().now();
  int worker = -1;
  for (int n = 0; n < Workers; ++n) {
    cluster.worker(n).LateOrderShare = 0;
    if (cluster.worker(n).startsSent() > 0)
      worker = n;
  }
  ASSERT_GE(worker, 0);
  cluster.killAgent(worker);
  cluster.runFor(absl::Milliseconds(GetParam().LeaderLostAtMs));
  ASSERT_GE(cluster.leader(), 0);
  cluster.killEntry(cluster.leader());
  cluster.runFor(lostAt + WorkerRestartsAfter - cluster.loop().now());
  cluster.worker(worker).crashFor(absl::Milliseconds(200),
                                  MemoryWorker::RestartId::Same);
  cluster.runFor(absl::Seconds(40));
  const std::vector<std::string> found = cluster.violations();
  EXPECT_TRUE(found.empty()) << found.front() << '\n'
                             << cluster.decisionsText("j");
}

INSTANTIATE_TEST_SUITE_P(
    Table, StartOfALostAgent,
    testing::Values(LostAgent{"before_it_is_recorded", 1000},
                    LostAgent{"soon", 2500},
                    LostAgent{"before_the_grant_ends", 4000},
                    LostAgent{"as_the_grant_ends", 5600},
                    LostAgent{"after_the_grant_ends", 6400}),
    [](const auto &test) { return test.param.Name; });

} // namespace
} // namespace oriolebay::cluster
