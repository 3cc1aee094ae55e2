// Tests of orders that a leader repeats before it hears what became of the
// first copy.
#include "memorycluster.h"

#include <gtest/gtest.h>

#include <memory>

namespace oriolebay::cluster {
namespace {

/// Accelerators of a whole worker.
constexpr int64_t WholeWorker = 8;
/// Longer than the leader may leave reports without an answer before the agent
/// defers starts.
constexpr absl::Duration UntilStartsAreDeferred = absl::Seconds(2);
/// A job that occupies a worker until the order is refused at the other one.
constexpr int64_t OtherJobMs = 3000;
/// The worker's next heartbeat tells its agent that it drains, and the leader
/// repeats the order after that.
constexpr absl::Duration UntilTheOrderIsRefused = absl::Milliseconds(2000);

// Guards against a task that runs twice: the agent defers its start, refuses a
// repeated copy of the order as the worker has begun to drain, and sends the
// first copy when the leader answers again, which has started the task
// elsewhere.
TEST(RepeatedOrder, IsNotStartedAtADrainingWorkerBesideAnotherRun) {
  MemoryCluster::Options options;
  options.Workers = 2;
  MemoryCluster cluster(options);
  cluster.configure({"k"});
  cluster.runFor(absl::Seconds(4));
  cluster.submit(0, "k", makeJob("other", 1, WholeWorker, OtherJobMs));
  cluster.runFor(absl::Milliseconds(100));
  ASSERT_EQ(cluster.starts(), 1);
  const int freeWorker = cluster.worker(0).startsSent() == 0 ? 0 : 1;
  const std::string leader = MemoryCluster::entryName(cluster.leader());
  cluster.delayAnswers(leader, absl::Seconds(10));
  cluster.runFor(UntilStartsAreDeferred);
  cluster.submit(cluster.leader(), "k", makeJob("j", 1, WholeWorker, 3000));
  cluster.runFor(absl::Milliseconds(100));
  ASSERT_EQ(cluster.acceptedJobs().count("j"), 1u);
  cluster.worker(freeWorker).drain(20000);
  cluster.holdMessages(leader, UntilTheOrderIsRefused);
  cluster.runFor(UntilTheOrderIsRefused);
  ASSERT_EQ(cluster.starts(), 1);
  cluster.delayAnswers(leader, absl::ZeroDuration());
  EXPECT_TRUE(cluster.runUntilAllEnded(absl::Seconds(30)));
  EXPECT_EQ(cluster.storedState("j"), jobs::JobState::Completed);
  const std::vector<std::string> found = cluster.violations();
  EXPECT_TRUE(found.empty()) << found.front() << '\n'
                             << cluster.decisionsText("j");
}

} // namespace
} // namespace oriolebay::cluster
