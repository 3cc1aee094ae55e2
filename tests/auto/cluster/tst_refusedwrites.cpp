// A job whose progress the store does not take.
#include "memorycluster.h"

#include "jobs/jobrecord.h"

#include <gtest/gtest.h>

#include <string>

namespace oriolebay::cluster {
namespace {

constexpr const char *Key = "k1";
constexpr int OtherJobs = 12;

// Guards against a job that holds up all others for good, because each
// transaction that holds its progress is refused.
TEST(ProgressThatTheStoreRefuses, HoldsUpNoOtherJob) {
  MemoryCluster cluster({.Entries = 3, .Workers = 6});
  cluster.configure({Key});
  cluster.runFor(absl::Seconds(5));
  cluster.store().refuseWritesOf(jobs::progressKey("refused"));
  cluster.submit(0, Key, makeJob("refused", 1, 1, 100));
  for (int n = 0; n < OtherJobs; ++n)
    cluster.submit(n % 3, Key, makeJob("job" + std::to_string(n), 1, 1, 300));
  cluster.runFor(absl::Seconds(20));
  for (int n = 0; n < OtherJobs; ++n)
    EXPECT_EQ(cluster.finalState("job" + std::to_string(n)),
              jobs::JobState::Completed)
        << n;
}

} // namespace
} // namespace oriolebay::cluster
