// What the failures of a gang's members tell about the worker that runs all of
// them.
#include "memorycluster.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace oriolebay::cluster {
namespace {

constexpr const char *Key = "k";
constexpr const char *JobId = "gang";
constexpr int Members = 3;
constexpr int64_t WorkMs = 1000;
constexpr absl::Duration EndLimit = absl::Minutes(1);

/// One worker, which runs a gang of three.
class GangOnOneWorker : public testing::Test {
protected:
  GangOnOneWorker() : Cluster({.Entries = 3, .Workers = 1}) {
    Cluster.configure({Key});
    Cluster.runFor(absl::Seconds(5));
  }

  void submit() {
    core::JobSpec spec = makeJob(JobId, Members, 1, WorkMs);
    spec.Steps.front().Gang = true;
    Cluster.submit(0, Key, spec);
    while (Cluster.acceptedJobs().empty())
      Cluster.runFor(absl::Milliseconds(1));
  }

  void expectCompleted() {
    EXPECT_TRUE(Cluster.runUntilAllEnded(EndLimit));
    EXPECT_EQ(Cluster.finalState(JobId), jobs::JobState::Completed)
        << Cluster.decisionsText(JobId);
  }

  MemoryCluster Cluster;
};

// Guards against a worker that is quarantined for failures in a row after one
// run, because several members of a gang fail there together.
TEST_F(GangOnOneWorker, FailsOnceWhereItsMembersFailTogether) {
  Cluster.setPlannedEnds(
      [](const std::string &, int64_t run) -> std::optional<PlannedEnd> {
        if (run > 1)
          return std::nullopt;
        return PlannedEnd{absl::Milliseconds(200)};
      });
  submit();
  expectCompleted();
  EXPECT_EQ(Cluster.countDecisions(jobs::Decision::Kind::WorkerQuarantined), 0);
}

// Guards against a worker that is quarantined for failures in a row after one
// refusal, because it refuses the starts of several members of a gang together.
TEST_F(GangOnOneWorker, IsRefusedOnceWhereItsMembersAreRefusedTogether) {
  Cluster.worker(0).RefusesStarts = true;
  submit();
  while (Cluster.worker(0).startsSent() < Members)
    Cluster.runFor(absl::Milliseconds(1));
  Cluster.runFor(absl::Milliseconds(5));
  Cluster.worker(0).RefusesStarts = false;
  expectCompleted();
  ASSERT_EQ(Cluster.countDecisions(jobs::Decision::Kind::StartRefused),
            Members);
  EXPECT_EQ(Cluster.countDecisions(jobs::Decision::Kind::WorkerQuarantined), 0);
}

// Guards against a gang that is shown as failed, or never starts again, because
// one crash of its worker counts for each member that had just begun there.
TEST_F(GangOnOneWorker, SurvivesACrashThatFollowsItsStart) {
  int crashes = 0;
  Cluster.observeStarts([&](const std::string &, int64_t) {
    if (++crashes == Members)
      Cluster.loop().runAfter(absl::Milliseconds(5), [this] {
        Cluster.worker(0).crashFor(absl::Seconds(1));
      });
  });
  submit();
  expectCompleted();
}

} // namespace
} // namespace oriolebay::cluster
