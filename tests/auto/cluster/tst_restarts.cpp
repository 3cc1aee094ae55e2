// Tests of workers that start again under their previous id.
#include "memorycluster.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace oriolebay::cluster {
namespace {

using RestartId = MemoryWorker::RestartId;

constexpr int Workers = 3;

struct RestartCase {
  const char *Name;
  /// Time from the crash until the worker listens again.
  int DowntimeMs;
};

void PrintTo(const RestartCase &c, std::ostream *out) { *out << c.Name; }

class Restart : public testing::TestWithParam<RestartCase> {
protected:
  Restart() {
    MemoryCluster::Options options;
    options.Workers = Workers;
    Cluster = std::make_unique<MemoryCluster>(options);
    Cluster->configure({"k"});
    Cluster->runFor(absl::Seconds(4));
  }

  void restart(int worker) {
    Cluster->worker(worker).crashFor(absl::Milliseconds(GetParam().DowntimeMs),
                                     RestartId::Same);
  }
  void submit(const core::JobSpec &spec) {
    Cluster->submit(0, "k", spec);
    Cluster->runFor(absl::Milliseconds(100));
    ASSERT_EQ(Cluster->acceptedJobs().count(spec.Id), 1u);
  }
  /// Submits a job whose starts are all sent but reach their workers late.
  void submitWithLateStarts() {
    for (int n = 0; n < Workers; ++n)
      Cluster->worker(n).LateOrderShare = 1;
    submit(makeJob("j", Workers, 8, 6000));
    for (int n = 0; n < Workers; ++n)
      Cluster->worker(n).LateOrderShare = 0;
  }
  void expectAllCompleted(absl::Duration limit) {
    EXPECT_TRUE(Cluster->runUntilAllEnded(limit));
    for (const std::string &id : Cluster->acceptedJobs())
      EXPECT_EQ(Cluster->storedState(id), jobs::JobState::Completed)
          << id << '\n'
          << Cluster->decisionsText(id);
    const std::vector<std::string> foundViolations = Cluster->violations();
    EXPECT_TRUE(foundViolations.empty()) << foundViolations.front();
  }

  std::unique_ptr<MemoryCluster> Cluster;
};

// Guards against a worker that is never used again because its id is that of an
// incarnation that has ended.
TEST_P(Restart, WorkerIsUsedAgain) {
  for (int n = 0; n < Workers; ++n)
    restart(n);
  Cluster->runFor(absl::Seconds(4));
  submit(makeJob("all", Workers, 8, 1000));
  expectAllCompleted(absl::Seconds(6));
}

// Guards against runs that count as running on a worker that has lost them in
// its restart.
TEST_P(Restart, LostRunsStartAgainSoon) {
  submit(makeJob("j", Workers, 8, 3000));
  Cluster->runFor(absl::Seconds(1));
  restart(0);
  expectAllCompleted(absl::Seconds(9));
}

// Guards against ends that are never accepted because their numbers begin at
// one again.
TEST_P(Restart, EndsNumberedFromOneAgainAreAccepted) {
  submit(makeJob("before", 60, 1, 300));
  ASSERT_TRUE(Cluster->runUntilAllEnded(absl::Seconds(10)));
  for (int n = 0; n < Workers; ++n)
    restart(n);
  Cluster->runFor(absl::Seconds(1));
  submit(makeJob("after", 24, 1, 300));
  expectAllCompleted(absl::Seconds(9));
}

// Guards against a worker whose repeated restarts go undetected.
TEST_P(Restart, RepeatedlyRestartingWorkerIsUsedBetweenRestarts) {
  for (int n = 0; n < 12; ++n) {
    submit(makeJob("j" + std::to_string(n), Workers, 4, 1000));
    restart(n % Workers);
    Cluster->runFor(absl::Seconds(3));
  }
  expectAllCompleted(absl::Seconds(20));
}

// Guards against a task that runs twice: the start for the previous incarnation
// is carried out by the next one, which has the same id.
TEST_P(Restart, DelayedStartForPreviousIncarnationDoesNotRunTwice) {
  submitWithLateStarts();
  for (int n = 0; n < Workers; ++n)
    restart(n);
  Cluster->runFor(absl::Seconds(14));
  expectAllCompleted(absl::Seconds(30));
}

// Guards against a task that runs twice because the next incarnation carries
// out a start for the previous one while the agent is new as well and knows
// nothing of the start.
TEST_P(Restart, DelayedStartIsResolvedByANewAgent) {
  submitWithLateStarts();
  for (int n = 0; n < Workers; ++n) {
    Cluster->killAgent(n);
    restart(n);
  }
  Cluster->runFor(absl::Milliseconds(200));
  for (int n = 0; n < Workers; ++n)
    Cluster->startAgent(n);
  Cluster->runFor(absl::Seconds(14));
  expectAllCompleted(absl::Seconds(30));
}

// Guards against a task that runs twice because the next incarnation carries
// out a start for the previous one while the leader changes.
TEST_P(Restart, DelayedStartIsResolvedByTheNextLeader) {
  submitWithLateStarts();
  for (int n = 0; n < Workers; ++n)
    restart(n);
  Cluster->runFor(absl::Milliseconds(500));
  Cluster->killEntry(Cluster->leader());
  Cluster->runFor(absl::Seconds(14));
  expectAllCompleted(absl::Seconds(30));
}

INSTANTIATE_TEST_SUITE_P(
    Table, Restart,
    testing::Values(RestartCase{"between_two_polls", 20},
                    RestartCase{"quick", 200},
                    RestartCase{"when_its_end_is_detected", 500},
                    RestartCase{"later", 2500}),
    [](const auto &test) { return std::string(test.param.Name); });

struct VanishedRunCase {
  const char *Name;
  bool IsGang;
  /// Time from the start of the run until the worker has it no longer.
  int AfterMs;
};

void PrintTo(const VanishedRunCase &c, std::ostream *out) { *out << c.Name; }

class VanishedRun : public testing::TestWithParam<VanishedRunCase> {};

// Guards against a job that never ends because one of its workers has lost a
// run, and lists it neither as running nor as ended.
TEST_P(VanishedRun, IsStartedAgain) {
  MemoryCluster cluster({3, Workers, 3, 1});
  cluster.configure({"k"});
  cluster.runFor(absl::Seconds(4));
  core::JobSpec spec = makeJob("j", Workers, 8, 3000);
  spec.Steps.front().Gang = GetParam().IsGang;
  cluster.submit(0, "k", spec);
  while (cluster.starts() < Workers)
    cluster.runFor(absl::Milliseconds(1));
  cluster.runFor(absl::Milliseconds(GetParam().AfterMs));
  cluster.worker(1).loseRuns();
  EXPECT_TRUE(cluster.runUntilAllEnded(absl::Seconds(20)));
  EXPECT_EQ(cluster.storedState("j"), jobs::JobState::Completed)
      << cluster.decisionsText("j");
  EXPECT_EQ(cluster.violations(), std::vector<std::string>());
}

INSTANTIATE_TEST_SUITE_P(
    Table, VanishedRun,
    testing::Values(VanishedRunCase{"BeforeItIsListed", false, 5},
                    VanishedRunCase{"AfterItIsListed", false, 1000},
                    VanishedRunCase{"MemberOfAGangBeforeItIsListed", true, 5},
                    VanishedRunCase{"MemberOfAGang", true, 1000}),
    [](const auto &info) { return info.param.Name; });

} // namespace
} // namespace oriolebay::cluster
