// Tests of values in the store in which another writer has left one odd member:
// the processes that read them go on, by the members that can be read.
#include "memorycluster.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <functional>

namespace oriolebay::cluster {
namespace {

using nlohmann::json;

constexpr const char *LeadersKey = "oriolebay/leaders";
constexpr const char *SilentAgentsKey = "oriolebay/silent-agents";
/// The longest time for which a leader can go on alone, and the time of a job.
constexpr absl::Duration BeginsWithin = absl::Seconds(20);

struct OddValue {
  const char *Name;
  const char *Key;
  /// Makes the odd value of the one that the store has.
  std::function<std::string(json value)> Change;
};

void PrintTo(const OddValue &c, std::ostream *out) { *out << c.Name; }

OddValue oddLeader(const char *name, const std::string &row) {
  return {name, LeadersKey, [row](const json &value) {
            std::string text = value.dump();
            text.insert(1, row + (value.empty() ? "" : ","));
            return text;
          }};
}

OddValue oddSilentAgent(const char *name, const std::string &row) {
  return {name, SilentAgentsKey, [row](const json &) {
            return R"({"epoch":1,"agents":[)" + row + R"(],"fenced":[]})";
          }};
}

OddValue replaced(const char *name, const char *key, const std::string &text) {
  return {name, key, [text](const json &) { return text; }};
}

class OddValues : public testing::TestWithParam<OddValue> {
protected:
  OddValues() : Cluster({3, 3, 3, 1}) {
    Cluster.configure({"key"});
    Cluster.runFor(absl::Seconds(4));
  }

  void putOddValue() {
    const auto &items = Cluster.store().items();
    const auto it = items.find(GetParam().Key);
    const json value =
        it == items.end() ? json::array() : json::parse(it->second.Value);
    Cluster.store().put(GetParam().Key, GetParam().Change(value));
  }
  /// Kills the leader for good. Returns an entry that is left.
  int loseLeader() {
    const int leader = Cluster.leader();
    Cluster.killEntry(leader);
    return leader == 0 ? 1 : 0;
  }

  MemoryCluster Cluster;
};

// Guards against a leader that never begins, so that accepted jobs do not run.
TEST_P(OddValues, DoNotKeepTheNextLeaderFromItsWork) {
  putOddValue();
  const auto call =
      Cluster.submit(loseLeader(), "key", makeJob("j", 1, 1, 200));
  Cluster.runFor(absl::Seconds(1));
  EXPECT_TRUE(Cluster.runUntilAllEnded(BeginsWithin));
  ASSERT_TRUE(call->Answer);
  EXPECT_EQ(call->Answer->Result, jobs::CallResult::Ok);
  EXPECT_EQ(Cluster.finalState("j"), jobs::JobState::Completed);
}

// Guards against entries and agents that follow no other entry any more.
TEST_P(OddValues, DoNotKeepTheSiteFromItsWork) {
  putOddValue();
  Cluster.runFor(absl::Seconds(2));
  Cluster.submit(0, "key", makeJob("j", 2, 1, 200));
  Cluster.runFor(absl::Seconds(1));
  EXPECT_TRUE(Cluster.runUntilAllEnded(BeginsWithin));
  EXPECT_EQ(Cluster.finalState("j"), jobs::JobState::Completed);
}

const std::string Deep = std::string(200000, '[') + std::string(200000, ']');

INSTANTIATE_TEST_SUITE_P(
    Table, OddValues,
    testing::Values(
        oddLeader("leader_with_a_number_too_large",
                  R"([18446744073709551615,"entry-9"])"),
        oddLeader("leader_of_the_future", R"([9223372036854775807,"entry-9"])"),
        oddLeader("leader_with_a_negative_number", R"([-5,"entry-9"])"),
        oddLeader("leader_with_a_fraction", R"([1.5,"entry-9"])"),
        oddLeader("leader_with_a_port_out_of_range",
                  R"([1,"tcp://10.0.0.1:99999"])"),
        oddLeader("leader_with_an_address_of_another_type", "[1,5]"),
        oddLeader("leader_that_is_null", "null"),
        oddLeader("leader_that_is_no_list", R"({"Epoch":1})"),
        oddLeader("leader_nested_in_lists", "[[[[1]]]]"),
        replaced("leaders_that_are_no_list", LeadersKey, "{}"),
        replaced("leaders_nested_deeply", LeadersKey, Deep),
        replaced("leaders_that_are_no_json", LeadersKey, "\xff"),
        oddSilentAgent("silent_agent_with_a_number_too_large",
                       R"(["agent-0",18446744073709551615])"),
        oddSilentAgent("silent_agent_with_a_negative_time",
                       R"(["agent-0",-1])"),
        oddSilentAgent("silent_agent_of_another_type", "[5,5]"),
        replaced("silent_agents_nested_deeply", SilentAgentsKey, Deep),
        replaced("entry_nested_deeply", "oriolebay/entries/0", Deep),
        replaced("entry_with_a_share_too_large", "oriolebay/entries/0",
                 R"({"address":"entry-9","processor_share":1e300})"),
        replaced("entry_with_a_port_out_of_range", "oriolebay/entries/0",
                 R"({"address":"tcp://10.0.0.1:99999","processor_share":1})"),
        replaced("job_nested_deeply", "oriolebay/jobs/x/spec", Deep),
        replaced("progress_nested_deeply", "oriolebay/jobs/x/progress", Deep)),
    [](const auto &info) { return info.param.Name; });

} // namespace
} // namespace oriolebay::cluster
