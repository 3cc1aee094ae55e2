// Tests of the states of jobs that callers are shown.
#include "servingcluster.h"

#include <gtest/gtest.h>

namespace oriolebay::cluster {
namespace {

// Guards against late answers to callers that query a job's state the moment
// its last task has ended, and again a quarter of a second later. The first
// answer was "running", as the end was still being written to the store, and
// the next quarter of a second made urgent jobs late, which have a second and a
// half in all.
TEST(Cluster, StateQueriedRightAfterTheEndIsCompleted) {
  for (int queried = 0; queried < 3; ++queried) {
    auto cluster = servingCluster();
    cluster->submit(0, "k1", makeJob("j", 1, 1, 1000));
    cluster->runFor(absl::Milliseconds(200));
    const auto running = [&] {
      const auto &runs = cluster->sharedState().Running;
      auto it = runs.find("j.0.0.0");
      return it != runs.end() && !it->second.empty();
    };
    ASSERT_TRUE(running());
    for (int ms = 0; running() && ms < 2000; ++ms)
      cluster->runFor(absl::Milliseconds(1));
    ASSERT_FALSE(running());
    // The caller learns of the end, and its call arrives.
    cluster->runFor(absl::Milliseconds(2));
    ASSERT_NE(cluster->storedState("j"), jobs::JobState::Completed);
    auto shown = cluster->state(queried, "k1", "j");
    cluster->runFor(absl::Milliseconds(50));
    ASSERT_TRUE(shown->Answer.has_value());
    EXPECT_EQ(shown->Answer->State, jobs::JobState::Completed)
        << "asked at entry " << queried;
  }
}

// Guards against the answer "running" to callers whose query arrives after the
// end of the job's last task, but before the leader has received the report of
// the end.
TEST(Cluster, StateQueriedBeforeTheEndIsReportedIsCompleted) {
  auto cluster = servingCluster();
  cluster->submit(0, "k1", makeJob("j", 1, 1, 1000));
  cluster->runFor(absl::Milliseconds(200));
  const auto running = [&] {
    const auto &runs = cluster->sharedState().Running;
    auto it = runs.find("j.0.0.0");
    return it != runs.end() && !it->second.empty();
  };
  for (int ms = 0; running() && ms < 2000; ++ms)
    cluster->runFor(absl::Milliseconds(1));
  ASSERT_FALSE(running());
  std::vector<std::shared_ptr<MemoryCluster::CallerCall>> calls;
  for (int entry = 0; entry < 3; ++entry)
    calls.push_back(cluster->state(entry, "k1", "j"));
  cluster->runFor(absl::Milliseconds(60));
  for (const auto &call : calls) {
    ASSERT_TRUE(call->Answer.has_value());
    EXPECT_EQ(call->Answer->State, jobs::JobState::Completed);
  }
}

// Guards against ended jobs that are shown as running for six seconds, even by
// the leader that had recorded their ends: the store's watches report nothing
// for a while, and then the store drops its history.
TEST(Cluster, ShowsEndsWhileWatchesAreSilent) {
  auto cluster = servingCluster();
  for (int n = 0; n < 3; ++n)
    cluster->store().faults(MemoryCluster::entryName(n)).WatchesSilent = true;
  cluster->submit(cluster->leader(), "k1", makeJob("j", 1, 1, 500));
  cluster->runFor(absl::Milliseconds(700));
  ASSERT_EQ(cluster->storedState("j"), jobs::JobState::Completed);
  for (int n = 0; n < 3; ++n) {
    auto shown = cluster->state(n, "k1", "j");
    cluster->runFor(absl::Milliseconds(50));
    ASSERT_TRUE(shown->Answer.has_value());
    EXPECT_EQ(shown->Answer->State, jobs::JobState::Completed) << n;
  }
}

// Guards against an entry that has shown a job's end as the leader reported it
// and then, when the leader cannot be reached, shows the job as running
// according to its own view.
TEST(Cluster, EndReportedByTheLeaderIsNotRevoked) {
  auto cluster = servingCluster();
  const int leader = cluster->leader();
  const int queried = (leader + 1) % 3;
  cluster->submit(queried, "k1", makeJob("j", 1, 1, 500));
  cluster->runFor(absl::Milliseconds(300));
  cluster->store().faults(MemoryCluster::entryName(queried)).WatchesSilent =
      true;
  cluster->runFor(absl::Milliseconds(400));
  ASSERT_EQ(cluster->storedState("j"), jobs::JobState::Completed);
  auto reported = cluster->state(queried, "k1", "j");
  cluster->runFor(absl::Milliseconds(50));
  ASSERT_TRUE(reported->Answer.has_value());
  ASSERT_EQ(reported->Answer->State, jobs::JobState::Completed);
  cluster->partitionPair(MemoryCluster::entryName(queried),
                         MemoryCluster::entryName(leader));
  auto again = cluster->state(queried, "k1", "j");
  cluster->runFor(absl::Milliseconds(400));
  ASSERT_TRUE(again->Answer.has_value());
  EXPECT_EQ(again->Answer->State, jobs::JobState::Completed);
}

// Guards against an entry that shows a job as queued long after its end because
// the store refuses to return the job's progress.
TEST(Cluster, JobWhoseProgressCannotBeReadIsNotShownAsQueued) {
  auto cluster = servingCluster();
  const int leader = cluster->leader();
  const int queried = (leader + 1) % 3;
  MemoryStore::Faults &store =
      cluster->store().faults(MemoryCluster::entryName(queried));
  store.WatchesSilent = true;
  cluster->submit(leader, "k1", makeJob("j", 1, 1, 200));
  cluster->runFor(absl::Milliseconds(700));
  ASSERT_EQ(cluster->storedState("j"), jobs::JobState::Completed);
  cluster->partitionPair(MemoryCluster::entryName(queried),
                         MemoryCluster::entryName(leader));
  auto shown = cluster->state(queried, "k1", "j");
  cluster->runFor(absl::Milliseconds(1));
  store.Refuses = true;
  cluster->runFor(absl::Seconds(2));
  ASSERT_TRUE(shown->Answer.has_value());
  ASSERT_EQ(shown->Answer->Result, jobs::CallResult::Ok);
  EXPECT_EQ(shown->Answer->State, jobs::JobState::Completed);
}

// The end of a job is known but cannot be recorded because the store is down:
// the caller gets the recorded state, without a long wait.
TEST(Cluster, StateIsAnsweredWhenTheEndCannotBeRecorded) {
  auto cluster = servingCluster();
  cluster->submit(0, "k1", makeJob("j", 1, 1, 1000));
  cluster->runFor(absl::Milliseconds(800));
  for (int n = 0; n < 3; ++n)
    cluster->store().faults(MemoryCluster::entryName(n)).Silent = true;
  cluster->runFor(absl::Milliseconds(400));
  auto shown = cluster->state(1, "k1", "j");
  cluster->runFor(absl::Milliseconds(300));
  ASSERT_TRUE(shown->Answer.has_value());
  EXPECT_EQ(shown->Answer->State, jobs::JobState::Running);
}

} // namespace
} // namespace oriolebay::cluster
