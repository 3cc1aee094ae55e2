#include "memorystore.h"

#include "platform/prefixfollower.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

namespace oriolebay::cluster {
namespace {

// Guards against an entry that takes a job, a peer or a cordon for removed,
// because its item could not be read.
TEST(PrefixFollower, ItemThatCannotBeReadIsNotTakenForRemoved) {
  utils::EventLoop loop(100, utils::EventLoop::Time::Manual);
  MemoryStore store(loop, 1);
  platform::Store client = store.clientOf("entry");
  const auto range = client.Range;
  std::string unreadable;
  client.Range = [&](const std::string &prefix, const std::string &after,
                     platform::ReadMode mode,
                     platform::OnStoreReply<platform::StorePage> done) {
    range(prefix, after, mode,
          [&, done](platform::StoreReply<platform::StorePage> reply) {
            if (std::erase_if(reply.Value.Items, [&](const auto &item) {
                  return item.Key == unreadable;
                }) > 0)
              reply.Value.UnreadableKeys.push_back(unreadable);
            done(reply);
          });
  };
  std::set<std::string> known;
  platform::PrefixFollower follower(
      loop, client, "jobs/", {},
      [&](const platform::StoreEvent &e) {
        if (e.Deleted)
          known.erase(e.Item.Key);
        else
          known.insert(e.Item.Key);
      },
      [](int64_t) {}, [](platform::StoreStatus, const std::string &) {});
  for (const char *key : {"jobs/a", "jobs/b", "jobs/c"})
    store.put(key, "x");
  follower.start();
  loop.advance(absl::Milliseconds(100));
  unreadable = "jobs/b";
  store.faults("entry").WatchesSilent = true;
  store.erase("jobs/c");
  store.put("jobs/d", "x");
  follower.readAgain();
  loop.advance(absl::Milliseconds(100));
  EXPECT_EQ(known, (std::set<std::string>{"jobs/a", "jobs/b", "jobs/d"}));
}

struct DelayCase {
  const char *Name;
  absl::Duration Delay;
  /// Maximum numbers for 200 writes within a second.
  int MaxCalls;
  int MaxReports;
};

std::ostream &operator<<(std::ostream &out, const DelayCase &c) {
  return out << c.Name;
}

class PrefixFollowerDelay : public ::testing::TestWithParam<DelayCase> {};

// Guards against a load on the store that grows with the number of entries: a
// job's record is written many times a second, and each write wakes every
// entry's watch. With 55 entries the store was called two thousand times a
// second, and idle entries read each version of each record. The load is two
// keys that change every 10 ms for a second.
TEST_P(PrefixFollowerDelay, CoalescesChangesAndReportsTheNewest) {
  utils::EventLoop loop(100, utils::EventLoop::Time::Manual);
  MemoryStore store(loop, 1);
  const platform::Store client = store.clientOf("entry");
  platform::FollowTiming timing;
  timing.DelayAfterChanges = [] { return GetParam().Delay; };
  std::vector<std::string> reported;
  platform::PrefixFollower follower(
      loop, client, "jobs/", timing,
      [&](const platform::StoreEvent &e) {
        reported.push_back(e.Item.Key + "=" + e.Item.Value);
      },
      [](int64_t) {},
      [](platform::StoreStatus, const std::string &why) {
        ADD_FAILURE() << why;
      });
  follower.start();
  loop.advance(absl::Milliseconds(100));
  const int before = store.calls();
  for (int n = 1; n <= 100; ++n) {
    store.put("jobs/a", std::to_string(n));
    store.put("jobs/b", std::to_string(n));
    loop.advance(absl::Milliseconds(10));
  }
  loop.advance(absl::Seconds(1));
  EXPECT_LE(store.calls() - before, GetParam().MaxCalls);
  EXPECT_LE(static_cast<int>(reported.size()), GetParam().MaxReports);
  ASSERT_GE(reported.size(), 2u);
  EXPECT_EQ(reported[reported.size() - 2], "jobs/a=100");
  EXPECT_EQ(reported.back(), "jobs/b=100");
}

INSTANTIATE_TEST_SUITE_P(
    Table, PrefixFollowerDelay,
    ::testing::Values(DelayCase{"half_a_second", absl::Milliseconds(500), 5,
                                10},
                      DelayCase{"a_tenth", absl::Milliseconds(100), 15, 30},
                      DelayCase{"none", absl::ZeroDuration(), 202, 400}),
    [](const auto &info) { return info.param.Name; });

} // namespace
} // namespace oriolebay::cluster
