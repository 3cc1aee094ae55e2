// Tests the removal of ended jobs from the store, and jobs that are submitted
// anew under the id of a removed one.
#include "memorycluster.h"
#include "testnames.h"

#include <gtest/gtest.h>

namespace oriolebay::cluster {
namespace {

using jobs::CallResult;
using jobs::JobState;

constexpr const char *Key = "k1";
constexpr const char *JobId = "job";
/// Time after its end for which a job is certainly still stored.
constexpr absl::Duration StoredTime = absl::Seconds(149);
/// Time in which the leader sends the removal, and sends it again.
constexpr absl::Duration RemovalTime = absl::Seconds(2);
constexpr absl::Duration RemovalLimit = absl::Seconds(10);
constexpr absl::Duration EndLimit = absl::Seconds(60);
/// Time after which a write that got no answer is not carried out any more.
constexpr absl::Duration LateWriteLimit = absl::Seconds(7);
constexpr int64_t FirstWorkMs = 300;
constexpr int64_t SecondWorkMs = 20000;

/// A cluster with one job that has ended and is about to be removed.
class SiteWithEndedJob {
public:
  explicit SiteWithEndedJob(uint64_t seed) : Cluster({3, 2, 2, seed}) {
    Cluster.configure({Key});
    Cluster.runFor(absl::Seconds(4));
    EXPECT_EQ(submit(FirstWorkMs), CallResult::Ok);
    runUntilEnded();
    Cluster.runFor(StoredTime);
  }

  MemoryCluster &cluster() { return Cluster; }
  MemoryStore::Faults &leaderFaults() {
    return Cluster.store().faults(MemoryCluster::entryName(Cluster.leader()));
  }
  bool isStored() const { return Cluster.storedState(JobId).has_value(); }

  void runUntilRemoved() {
    const absl::Time end = Cluster.loop().now() + RemovalLimit;
    while (isStored() && Cluster.loop().now() < end)
      Cluster.runFor(absl::Milliseconds(1));
  }

  void runUntilEnded() {
    const absl::Time end = Cluster.loop().now() + EndLimit;
    while (isStored() && !isFinal(*Cluster.storedState(JobId)) &&
           Cluster.loop().now() < end)
      Cluster.runFor(absl::Milliseconds(100));
  }

  CallResult submit(int64_t workMs) {
    auto call = Cluster.submit((Cluster.leader() + 1) % 3, Key,
                               makeJob(JobId, 1, 1, workMs));
    Cluster.runFor(absl::Milliseconds(100));
    return call->Answer ? call->Answer->Result : CallResult::Open;
  }

  JobState reportedState() {
    auto call = Cluster.state((Cluster.leader() + 1) % 3, Key, JobId);
    Cluster.runFor(absl::Seconds(1));
    return call->Answer ? call->Answer->State : JobState::Failed;
  }

private:
  MemoryCluster Cluster;
};

class ExpiredJob : public testing::TestWithParam<int> {};

// Guards against an accepted job that vanishes: a removal of the earlier job of
// the same id got no answer and is carried out late.
TEST_P(ExpiredJob, IsNotRemovedAfterItWasSubmittedAnew) {
  SiteWithEndedJob site(static_cast<uint64_t>(GetParam()));
  ASSERT_TRUE(site.isStored());
  site.leaderFaults().LateWriteShare = 1;
  site.cluster().runFor(RemovalTime);
  site.leaderFaults().LateWriteShare = 0;
  site.runUntilRemoved();
  ASSERT_FALSE(site.isStored());
  ASSERT_EQ(site.submit(SecondWorkMs), CallResult::Ok);
  site.cluster().runFor(LateWriteLimit);
  ASSERT_TRUE(site.isStored());
  site.runUntilEnded();
  EXPECT_EQ(site.cluster().storedState(JobId), JobState::Completed);
}

// Guards against an accepted job that never runs: the leader has not learned
// that the ended job of the same id was removed, and takes the new one for it.
TEST_P(ExpiredJob, RunsAnewIfTheAnswerToItsRemovalWasLost) {
  SiteWithEndedJob site(static_cast<uint64_t>(GetParam()));
  const int startsBefore = site.cluster().starts();
  site.leaderFaults().LostAnswerShare = 1;
  site.leaderFaults().WatchesSilent = true;
  site.runUntilRemoved();
  ASSERT_EQ(site.submit(SecondWorkMs), CallResult::Ok);
  site.leaderFaults().LostAnswerShare = 0;
  site.leaderFaults().WatchesSilent = false;
  EXPECT_FALSE(isFinal(site.reportedState()));
  site.cluster().runFor(LateWriteLimit);
  ASSERT_TRUE(site.isStored());
  EXPECT_EQ(site.cluster().starts(), startsBefore + 1);
}

// Guards against ended jobs that fill the store, because the progress of one of
// them was removed by somebody else and their removal is refused with it.
TEST(ExpiredJobs, AreRemovedBesideOneWithoutProgress) {
  constexpr const char *OtherJob = "other";
  SiteWithEndedJob site(1);
  MemoryCluster &cluster = site.cluster();
  cluster.submit(cluster.leader(), Key, makeJob(OtherJob, 1, 1, FirstWorkMs));
  cluster.runFor(absl::Milliseconds(100));
  cluster.store().erase(jobs::progressKey(JobId));
  cluster.runFor(StoredTime + RemovalLimit);
  EXPECT_TRUE(site.isStored());
  EXPECT_FALSE(cluster.storedState(OtherJob).has_value());
}

INSTANTIATE_TEST_SUITE_P(Seeds, ExpiredJob, testing::Range(1, 6),
                         testing::PrintToStringParamName());

} // namespace
} // namespace oriolebay::cluster
