#include "entry/previousleaders.h"
#include "memorystore.h"

#include <gtest/gtest.h>

namespace oriolebay::cluster {
namespace {

using entry::LeaderTerm;
using entry::PreviousLeaders;

constexpr const char *LeaderKey = "oriolebay/leader";
constexpr const char *ListKey = "oriolebay/leaders";

struct ListCase {
  const char *Name;
  /// The list that a new leader finds, and what it registers itself beside.
  std::string List;
  std::string Kept;
  /// All leaders of the list can be read, and step down when they are asked.
  bool IsReadable = false;
};

void PrintTo(const ListCase &c, std::ostream *out) { *out << c.Name; }

class ListsOfLeaders : public testing::TestWithParam<ListCase> {
protected:
  ListsOfLeaders() : Loop(100, utils::EventLoop::Time::Manual), Store(Loop, 1) {
    Peers.IsAddress = [](const std::string &address) {
      return !address.empty();
    };
    Peers.Call = [this](const std::string &, const endpoints::Message &, int,
                        const endpoints::Peers::Done &done) {
      Loop.post([done] { done({endpoints::Message(endpoints::Ack{})}); });
    };
    Store.put(ListKey, GetParam().List);
    Store.put(LeaderKey, "own");
    Options.LeaderKey = LeaderKey;
    Options.OwnTerm = {Store.items().at(LeaderKey).ModRevision, "own"};
  }

  std::string ownRow() const {
    return "[" + std::to_string(Options.OwnTerm.Epoch) + ",\"own\"]";
  }

  utils::EventLoop Loop;
  MemoryStore Store;
  endpoints::Peers Peers;
  PreviousLeaders::Options Options;
};

// Guards against a leader that never begins, and against one that forgets a
// leader which it cannot read and which may keep tasks alive.
TEST_P(ListsOfLeaders, AreWaitedForAsLongAsALeaderCanContinue) {
  bool isRegistered = false;
  absl::Time allEndedAt = absl::InfiniteFuture();
  const platform::Store client = Store.clientOf("own");
  PreviousLeaders leaders(
      Loop, client, Peers, Options, [&] { isRegistered = true; },
      [&](absl::Time at) { allEndedAt = at; });
  const absl::Time startedAt = Loop.now();
  leaders.start();
  Loop.advance(absl::Milliseconds(100));
  EXPECT_TRUE(isRegistered);
  EXPECT_EQ(allEndedAt != absl::InfiniteFuture(), GetParam().IsReadable);
  EXPECT_EQ(leaders.previousEpoch() > 0, GetParam().IsReadable);
  if (!GetParam().IsReadable) {
    EXPECT_EQ(Store.items().at(ListKey).Value,
              "[" + GetParam().Kept + ownRow() + "]");
  }
  Loop.advance(Options.TimeLimit);
  EXPECT_LE(allEndedAt, startedAt + Options.TimeLimit + absl::Seconds(1));
  EXPECT_EQ(Store.items().at(ListKey).Value, "[" + ownRow() + "]");
}

INSTANTIATE_TEST_SUITE_P(
    Table, ListsOfLeaders,
    testing::Values(ListCase{"readable", R"([[3,"a"],[5,"b"]])", "", true},
                    ListCase{"one_of_another_type", R"([[3,"a"],[5,6]])",
                             R"([3,"a"],[0,""],)"},
                    ListCase{"several_that_are_odd",
                             R"([[3,"a"],null,[-1,"c"],"x"])",
                             R"([3,"a"],[0,""],)"},
                    ListCase{"number_too_large",
                             R"([[18446744073709551615,"b"]])", R"([0,""],)"},
                    ListCase{"of_the_future", R"([[9223372036854775807,"b"]])",
                             R"([0,""],)"},
                    ListCase{"found_odd_by_an_earlier_leader",
                             R"([[0,""],[3,"a"]])", R"([3,"a"],[0,""],)"},
                    ListCase{"no_list", "{}", R"([0,""],)"},
                    ListCase{"no_json", "\xff", R"([0,""],)"}),
    [](const auto &info) { return info.param.Name; });

// Guards against calls to an address that nothing can be sent to.
TEST(PreviousLeaders, WaitsForALeaderThatCannotBeAsked) {
  utils::EventLoop loop(100, utils::EventLoop::Time::Manual);
  MemoryStore store(loop, 1);
  store.put(ListKey, R"([[3,"tcp://10.0.0.1:99999"]])");
  store.put(LeaderKey, "own");
  int calls = 0;
  endpoints::Peers peers;
  peers.IsAddress = [](const std::string &) { return false; };
  peers.Call = [&](const std::string &, const endpoints::Message &, int,
                   const endpoints::Peers::Done &) { ++calls; };
  PreviousLeaders::Options options;
  options.LeaderKey = LeaderKey;
  options.OwnTerm = {store.items().at(LeaderKey).ModRevision, "own"};
  bool haveAllEnded = false;
  const platform::Store client = store.clientOf("own");
  PreviousLeaders leaders(
      loop, client, peers, options, [] {},
      [&](absl::Time) { haveAllEnded = true; });
  leaders.start();
  loop.advance(options.TimeLimit - absl::Seconds(1));
  EXPECT_FALSE(haveAllEnded);
  loop.advance(absl::Seconds(2));
  EXPECT_TRUE(haveAllEnded);
  EXPECT_EQ(calls, 0);
}

} // namespace
} // namespace oriolebay::cluster
