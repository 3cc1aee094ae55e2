// More tasks that could run than a leader can serve.
#include "simsitesetup.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace oriolebay::jobs {
namespace {

constexpr core::Resources SmallTask = {10, 10, 0};
constexpr int64_t WorkMs = 3000;
constexpr int64_t LongestWorkMs = 6000;

class MoreTasksThanTheLeaderServes : public testing::Test {
protected:
  static constexpr size_t MaxRunning = 80;
  static constexpr int LargeJobs = 4;

  static SchedulerPolicy limited() {
    SchedulerPolicy policy;
    policy.MaxRunningTasks = MaxRunning;
    policy.RunningTasksPerReservedOne = 4;
    policy.ReservedTasksPerJob = 2;
    return policy;
  }
  MoreTasksThanTheLeaderServes() : Site(limited()) {
    addRacks(Site, 2);
    for (int n = 0; n < LargeJobs; ++n)
      submitLarge("large", n);
  }
  /// Their tasks do not all end at the same time.
  void submitLarge(const std::string &name, int n) {
    const int64_t workMs =
        WorkMs + n * (LongestWorkMs - WorkMs) / (2 * LargeJobs);
    Site.submit(
        jobOf(name + std::to_string(n), makeStep(200, SmallTask, workMs)));
  }
  /// Returns how many tasks have run at the same time.
  size_t runUntilCompleted(const std::string &job) {
    size_t most = 0;
    const absl::Time giveUpAt = Site.now() + absl::Minutes(5);
    while (Site.state(job) != JobState::Completed && Site.now() < giveUpAt) {
      Site.runFor(absl::Milliseconds(SimSite::StepMs));
      most = std::max(most, Site.scheduler().runningTaskCount());
    }
    EXPECT_EQ(Site.state(job), JobState::Completed);
    return most;
  }

  SimSite Site;
};

// Guards against leaders that start more tasks than they can serve, lose the
// agents with their grants, and start all of them again.
TEST_F(MoreTasksThanTheLeaderServes, WaitUnstarted) {
  const size_t most = runUntilCompleted("large3");
  EXPECT_LE(most, MaxRunning);
  EXPECT_GE(most, MaxRunning / 2);
  EXPECT_EQ(Site.starts(), LargeJobs * 200);
}

// Guards against jobs that stand still beside free workers, because other jobs
// have taken all that the leader can serve.
TEST_F(MoreTasksThanTheLeaderServes, LeaveEachJobSomethingThatRuns) {
  Site.runFor(absl::Seconds(1));
  for (int n = 0; n < LargeJobs; ++n)
    EXPECT_FALSE(Site.workersOf("large" + std::to_string(n)).empty()) << n;
  Site.submit(jobOf("small", makeStep(1, SmallTask, WorkMs)));
  Site.submit(jobOf("gang", makeStep(4, SmallTask, WorkMs, true)));
  Site.runFor(absl::Milliseconds(500));
  EXPECT_EQ(Site.workersOf("small").size(), 1u);
  EXPECT_EQ(Site.workersOf("gang").size(), 4u);
}

// Guards against gangs that never start because jobs that came later take each
// place that becomes free.
TEST_F(MoreTasksThanTheLeaderServes, LeaveTheirPlacesToAWideGang) {
  Site.runFor(absl::Seconds(1));
  Site.submit(jobOf("gang", makeStep(60, SmallTask, WorkMs, true)));
  for (int n = 0; n < 2 * LargeJobs; ++n)
    submitLarge("later", n);
  runUntilCompleted("large3");
  Site.runFor(4 * absl::Milliseconds(LongestWorkMs));
  EXPECT_EQ(Site.state("gang"), JobState::Completed);
  EXPECT_EQ(Site.state("later7"), JobState::Running);
}

// Guards against operators who cannot tell why tasks wait beside free workers.
TEST_F(MoreTasksThanTheLeaderServes, SayWhatTheyWaitFor) {
  Site.runFor(absl::Seconds(1));
  const auto &steps = Site.scheduler().waitSummary().Steps;
  ASSERT_EQ(steps.count(WaitReason::TooManyRunning), 1u);
  EXPECT_EQ(steps.at(WaitReason::TooManyRunning), LargeJobs);
}

} // namespace
} // namespace oriolebay::jobs
