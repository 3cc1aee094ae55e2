// Gangs that take far longer than estimated, so that their members make
// progress more slowly than they are reported.
#include "memorycluster.h"

#include <gtest/gtest.h>

#include <string>

namespace oriolebay::cluster {
namespace {

constexpr const char *Key = "k";
constexpr const char *JobId = "gang";
constexpr int Workers = 8;
/// Enough for the leader to know that the queue's estimates are right.
constexpr int EarlierJobs = 12;
constexpr int64_t EarlierWorkMs = 1000;
constexpr int64_t EstimateMs = 4000;
constexpr absl::Duration WorkTime = absl::Seconds(80);
constexpr absl::Duration EndLimit = absl::Minutes(20);

class SlowGang : public testing::TestWithParam<int> {
protected:
  SlowGang() : Cluster({.Entries = 3, .Workers = Workers}) {
    Cluster.configure({Key});
    Cluster.runFor(absl::Seconds(5));
  }

  void submit(const core::JobSpec &spec) {
    const size_t before = Cluster.acceptedJobs().size();
    Cluster.submit(0, Key, spec);
    while (Cluster.acceptedJobs().size() == before)
      Cluster.runFor(absl::Milliseconds(1));
  }

  void runEarlierJobs() {
    for (int n = 0; n < EarlierJobs; ++n)
      submit(makeJob("earlier" + std::to_string(n), 1, 8, EarlierWorkMs));
    ASSERT_TRUE(Cluster.runUntilAllEnded(EndLimit));
  }

  MemoryCluster Cluster;
};

// Guards against gangs that are stopped as too slow, and workers that are
// quarantined for it, as often for each member as for a single task.
TEST_P(SlowGang, IsMovedNoMoreOftenThanATask) {
  runEarlierJobs();
  Cluster.setWorkTime([](const std::string &) { return WorkTime; });
  core::JobSpec gang = makeJob(JobId, GetParam(), 8, EstimateMs);
  gang.Steps.front().Gang = true;
  submit(gang);
  EXPECT_TRUE(Cluster.runUntilAllEnded(EndLimit));
  EXPECT_LE(Cluster.countDecisions(jobs::Decision::Kind::RunStalledOrSlow),
            jobs::SchedulerPolicy().MaxMoves)
      << Cluster.decisionsText(JobId);
}

INSTANTIATE_TEST_SUITE_P(Table, SlowGang, testing::Values(1, 2, 3, Workers),
                         [](const auto &test) {
                           return std::to_string(test.param) + "_members";
                         });

} // namespace
} // namespace oriolebay::cluster
