#include "agent/leaderfinder.h"

#include <gtest/gtest.h>

namespace oriolebay::agent {
namespace {

using endpoints::ReportAck;

ReportAck leaderAck(int64_t epoch, bool doubtful = false) {
  ReportAck ack;
  ack.Epoch = epoch;
  ack.Doubtful = doubtful;
  ack.Entries = {"a", "b", "c"};
  return ack;
}

ReportAck followerAck(const std::string &leader, int64_t epoch) {
  ReportAck ack;
  ack.Leader = leader;
  ack.LeaderEpoch = epoch;
  ack.Entries = {"a", "b", "c"};
  return ack;
}

TEST(LeaderFinder, ReportsToTheLeaderThatAnyEntryNames) {
  LeaderFinder finder;
  EXPECT_TRUE(finder.needsEntries());
  finder.setEntries({"a", "b", "c"});
  EXPECT_EQ(finder.target(), "a");
  EXPECT_FALSE(finder.onAnswer("a", followerAck("c", 7)));
  EXPECT_EQ(finder.target(), "c");
  EXPECT_TRUE(finder.onAnswer("c", leaderAck(7)));
  EXPECT_TRUE(finder.knowsLeader());
}

// Guards against agents that keep reporting to a replaced leader. The store
// refuses the leader's calls and serves the other entries, one of which becomes
// leader after two seconds. No task was started for five more seconds, because
// the old leader still answered the agents.
TEST(LeaderFinder, AsksASecondEntryWhileTheLeaderIsDoubtful) {
  LeaderFinder finder;
  finder.setEntries({"a", "b", "c"});
  ASSERT_TRUE(finder.onAnswer("a", leaderAck(7)));
  EXPECT_FALSE(finder.nextSecondTarget().has_value());
  ASSERT_TRUE(finder.onAnswer("a", leaderAck(7, true)));
  const std::optional<std::string> second = finder.nextSecondTarget();
  ASSERT_TRUE(second.has_value());
  EXPECT_NE(*second, "a");
  EXPECT_FALSE(finder.onAnswer(*second, followerAck("c", 9)));
  EXPECT_EQ(finder.target(), "c");
  EXPECT_TRUE(finder.onAnswer("c", leaderAck(9)));
  // A late answer of the old leader is ignored.
  EXPECT_FALSE(finder.onAnswer("a", leaderAck(7)));
  EXPECT_EQ(finder.target(), "c");
}

// While the store is unavailable to all entries, no other entry can be elected:
// agents must keep to the old leader, although it is doubtful, because only its
// grants keep their tasks alive.
TEST(LeaderFinder, KeepsADoubtfulLeaderWhenNoOtherEntryLeads) {
  LeaderFinder finder;
  finder.setEntries({"a", "b", "c"});
  ASSERT_TRUE(finder.onAnswer("a", leaderAck(7, true)));
  for (int i = 0; i < 5; ++i) {
    const std::optional<std::string> second = finder.nextSecondTarget();
    ASSERT_TRUE(second.has_value());
    EXPECT_FALSE(finder.onAnswer(*second, followerAck("a", 7)));
    EXPECT_EQ(finder.target(), "a");
    EXPECT_TRUE(finder.knowsLeader());
  }
}

TEST(LeaderFinder, TriesOtherEntriesAndThenTheStoreWhenNoneAnswers) {
  LeaderFinder finder;
  finder.setEntries({"a", "b"});
  finder.onNoAnswer("a");
  EXPECT_EQ(finder.target(), "b");
  finder.onNoAnswer("b");
  finder.onNoAnswer("a");
  EXPECT_TRUE(finder.needsEntries());
  finder.setEntries({"x"});
  EXPECT_EQ(finder.target(), "x");
}

} // namespace
} // namespace oriolebay::agent
