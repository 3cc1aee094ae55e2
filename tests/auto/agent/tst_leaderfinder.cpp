#include "agent/leaderfinder.h"

#include <gtest/gtest.h>

namespace oriolebay::agent {
namespace {

using endpoints::ReportAck;

ReportAck leads(int64_t epoch, bool doubtful = false) {
  ReportAck ack;
  ack.Epoch = epoch;
  ack.Doubtful = doubtful;
  ack.Entries = {"a", "b", "c"};
  return ack;
}

ReportAck follows(const std::string &leader, int64_t epoch) {
  ReportAck ack;
  ack.Leader = leader;
  ack.LeaderEpoch = epoch;
  ack.Entries = {"a", "b", "c"};
  return ack;
}

TEST(LeaderFinder, FollowsTheHintOfAnyEntry) {
  LeaderFinder finder;
  EXPECT_TRUE(finder.wantsEntries());
  finder.learnEntries({"a", "b", "c"});
  EXPECT_EQ(finder.target(), "a");
  EXPECT_FALSE(finder.onAnswer("a", follows("c", 7)));
  EXPECT_EQ(finder.target(), "c");
  EXPECT_TRUE(finder.onAnswer("c", leads(7)));
  EXPECT_TRUE(finder.knowsLeader());
}

// The store turns the leader away and serves the others; another entry takes
// the lead after two seconds. Users saw nothing start for five more: agents
// went on reporting to the old leader, which still answered them.
TEST(LeaderFinder, AsksAnotherEntryWhileTheLeaderIsInDoubt) {
  LeaderFinder finder;
  finder.learnEntries({"a", "b", "c"});
  ASSERT_TRUE(finder.onAnswer("a", leads(7)));
  EXPECT_FALSE(finder.secondTarget().has_value());
  ASSERT_TRUE(finder.onAnswer("a", leads(7, true)));
  const std::optional<std::string> second = finder.secondTarget();
  ASSERT_TRUE(second.has_value());
  EXPECT_NE(*second, "a");
  EXPECT_FALSE(finder.onAnswer(*second, follows("c", 9)));
  EXPECT_EQ(finder.target(), "c");
  EXPECT_TRUE(finder.onAnswer("c", leads(9)));
  // The old leader's late answer changes nothing.
  EXPECT_FALSE(finder.onAnswer("a", leads(7)));
  EXPECT_EQ(finder.target(), "c");
}

// In an outage of the store for all, nobody can take over: the old leader,
// though in doubt, stays the one that grants.
TEST(LeaderFinder, StaysWithALeaderInDoubtWhenNobodyElseLeads) {
  LeaderFinder finder;
  finder.learnEntries({"a", "b", "c"});
  ASSERT_TRUE(finder.onAnswer("a", leads(7, true)));
  for (int i = 0; i < 5; ++i) {
    const std::optional<std::string> second = finder.secondTarget();
    ASSERT_TRUE(second.has_value());
    EXPECT_FALSE(finder.onAnswer(*second, follows("a", 7)));
    EXPECT_EQ(finder.target(), "a");
    EXPECT_TRUE(finder.knowsLeader());
  }
}

TEST(LeaderFinder, TriesOthersAndThenTheStoreWhenNobodyAnswers) {
  LeaderFinder finder;
  finder.learnEntries({"a", "b"});
  finder.onSilence("a");
  EXPECT_EQ(finder.target(), "b");
  finder.onSilence("b");
  finder.onSilence("a");
  EXPECT_TRUE(finder.wantsEntries());
  finder.learnEntries({"x"});
  EXPECT_EQ(finder.target(), "x");
}

} // namespace
} // namespace oriolebay::agent
