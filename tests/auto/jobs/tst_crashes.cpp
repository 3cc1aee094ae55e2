// Tests of tasks that crash the workers that start them.
#include "simsite.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace oriolebay::jobs {
namespace {

core::StepSpec step(int count, int64_t accelerators, int64_t estimateMs,
                    bool gang = false) {
  core::StepSpec s;
  s.Count = count;
  s.PerTask = {1000, 1000, accelerators};
  s.EstimateMs = estimateMs;
  s.Gang = gang;
  return s;
}

/// A site of workers. In jobs named "bad..." the first task crashes each worker
/// that starts it.
class CrashSite : public SimSite {
public:
  explicit CrashSite(int workers) {
    for (int n = 0; n < workers; ++n)
      addWorker("w" + std::to_string(n), "r" + std::to_string(n / 3));
    CrashesWorker = [](const core::TaskId &id) {
      return id.Job.rfind("bad", 0) == 0 && id.Index == 0;
    };
    runFor(absl::Milliseconds(600));
  }
};

void expectNoViolations(const SimSite &site) {
  EXPECT_TRUE(site.violations().empty()) << site.violations().front();
}

// Guards against a task that crashes the workers of a site one after another,
// as it is started again and again.
TEST(CrashingTask, FailsItsJobAfterCrashesOnTwoHosts) {
  CrashSite site(6);
  site.submit(jobOf("bad", step(2, 8, 3000)));
  site.submit(jobOf("clean", step(2, 8, 3000)));
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(30)));
  EXPECT_EQ(site.state("bad"), JobState::Failed);
  EXPECT_EQ(site.state("clean"), JobState::Completed);
  EXPECT_EQ(site.crashesCausedBy("bad.0.0.0"), 2);
  expectNoViolations(site);
}

// Guards against a caller that cannot find out why its job has failed.
TEST(CrashingTask, IsNamedAsTheCauseOfItsJobsFailure) {
  CrashSite site(6);
  site.submit(jobOf("bad", step(1, 8, 3000)));
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(30)));
  const auto end =
      std::find_if(site.Log.begin(), site.Log.end(), [](const Decision &d) {
        return d.What == Decision::Kind::JobEnded;
      });
  ASSERT_NE(end, site.Log.end());
  ASSERT_EQ(end->Texts.count("cause"), 1u);
  EXPECT_EQ(end->Texts.at("cause"), "bad.0.0.0 crashed 2 workers");
}

// Guards against a task that is started for ever because no other host has the
// capacity to confirm that the task causes the crashes.
TEST(CrashingTask, FailsItsJobWhenOnlyOneHostFits) {
  CrashSite site(1);
  site.submit(jobOf("bad", step(1, 8, 1000)));
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(30)));
  EXPECT_EQ(site.state("bad"), JobState::Failed);
  EXPECT_LE(site.crashesCausedBy("bad.0.0.0"), 3);
  expectNoViolations(site);
}

TEST(CrashingTask, FailsItsWholeGang) {
  CrashSite site(6);
  site.submit(jobOf("bad", step(4, 8, 3000, true)));
  site.submit(jobOf("clean", step(2, 8, 3000, true)));
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(30)));
  EXPECT_EQ(site.state("bad"), JobState::Failed);
  EXPECT_EQ(site.state("clean"), JobState::Completed);
  EXPECT_LE(site.crashesCausedBy("bad.0.0.0"), 3);
  expectNoViolations(site);
}

TEST(CrashingTask, IsNotRestartedAfterItsJobIsCancelled) {
  CrashSite site(6);
  site.submit(jobOf("bad", step(1, 8, 3000)));
  site.runFor(absl::Milliseconds(100));
  site.cancel("bad");
  site.runFor(absl::Seconds(10));
  EXPECT_EQ(site.state("bad"), JobState::Cancelled);
  EXPECT_EQ(site.crashesCausedBy("bad.0.0.0"), 1);
}

// Guards against jobs that fail because their tasks ran on the same workers as
// a task that crashes them.
TEST(CrashingTask, DoesNotFailTasksOnTheSameWorker) {
  CrashSite site(4);
  for (int n = 0; n < 3; ++n) {
    site.submit(jobOf("bad" + std::to_string(n), step(2, 1, 2000)));
    site.submit(jobOf("clean" + std::to_string(n), step(9, 1, 2000)));
  }
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(60)));
  for (int n = 0; n < 3; ++n) {
    EXPECT_EQ(site.state("bad" + std::to_string(n)), JobState::Failed) << n;
    EXPECT_EQ(site.state("clean" + std::to_string(n)), JobState::Completed)
        << n;
  }
  expectNoViolations(site);
}

// Guards against a second crash whose cause is as uncertain as that of the
// first: tasks that may have crashed a worker are started on other workers than
// tasks that have just started.
TEST(CrashingTask, SuspectTasksRunOnSeparateWorkers) {
  CrashSite site(4);
  site.submit(jobOf("bad", step(1, 1, 2000)));
  site.submit(jobOf("clean", step(7, 1, 2000)));
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(60)));
  std::vector<std::string> suspectsAtSecondCrash;
  std::string firstWorker;
  for (const Decision &d : site.Log) {
    if (d.What != Decision::Kind::RunCrashedWorker)
      continue;
    if (firstWorker.empty())
      firstWorker = d.Worker;
    if (d.Worker != firstWorker)
      suspectsAtSecondCrash.push_back(d.Task);
  }
  EXPECT_EQ(suspectsAtSecondCrash, std::vector<std::string>{"bad.0.0.0"});
}

// Guards against work that is lost because a suspect task crashes the worker
// that it shares, although another worker is empty.
TEST(CrashingTask, SuspectTaskPrefersAnEmptyWorker) {
  CrashSite site(4);
  core::StepSpec spread = step(2, 4, 20000);
  spread.MaxPerWorker = 1;
  site.submit(jobOf("long", spread));
  site.runFor(absl::Seconds(2));
  site.submit(jobOf("bad", step(1, 1, 2000)));
  site.runFor(absl::Seconds(5));
  EXPECT_EQ(site.state("bad"), JobState::Failed);
  const auto startsOfLong =
      std::count_if(site.Log.begin(), site.Log.end(), [](const Decision &d) {
        return d.What == Decision::Kind::Placed && d.Job == "long";
      });
  // Two starts, and one more because the first crash could not be foreseen.
  EXPECT_EQ(startsOfLong, 3);
}

// Guards against a task that is blamed for crashes for good because it happened
// to run on several workers that crashed, one after each restart of the task.
TEST(CrashingTask, SuspectTaskIsClearedWhenItsWorkerSurvives) {
  CrashSite site(4);
  site.submit(jobOf("clean", step(1, 8, 4000)));
  for (int n = 0; n < 4; ++n) {
    site.runFor(absl::Milliseconds(100));
    const std::multiset<std::string> assigned = site.workersOf("clean");
    ASSERT_EQ(assigned.size(), 1u);
    site.crashAndRestart(*assigned.begin());
    site.runFor(absl::Milliseconds(2500));
  }
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(30)));
  EXPECT_EQ(site.state("clean"), JobState::Completed);
}

// Guards against jobs that fail because all workers crash at the same time,
// twice.
TEST(CrashingTask, SimultaneousCrashesOfAllWorkersFailNoJob) {
  CrashSite site(6);
  for (int n = 0; n < 6; ++n)
    site.submit(jobOf("clean" + std::to_string(n), step(2, 4, 5000)));
  for (int wave = 0; wave < 2; ++wave) {
    site.runFor(absl::Milliseconds(200));
    for (int w = 0; w < 6; ++w)
      site.crashAndRestart("w" + std::to_string(w) + std::string(wave, '\''));
    site.runFor(absl::Milliseconds(4000));
  }
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(60)));
  for (int n = 0; n < 6; ++n)
    EXPECT_EQ(site.state("clean" + std::to_string(n)), JobState::Completed);
}

enum class LeaderChange {
  BeforeTheCrash,
  BeforeDetection,
  AfterDetection,
  BeforeItIsRecorded,
  AfterEachCrash
};

struct ChangeCase {
  const char *Name;
  LeaderChange When;
};

void PrintTo(const ChangeCase &c, std::ostream *out) { *out << c.Name; }

class CrashAndLeaderChange : public testing::TestWithParam<ChangeCase> {};

// Guards against a count of crashes that a new leader resets, or adds to twice
// for one crash.
TEST_P(CrashAndLeaderChange, PreservesCrashCount) {
  CrashSite site(6);
  const LeaderChange when = GetParam().When;
  site.submit(jobOf("bad", step(1, 8, 3000)));
  const auto changeAt = [&](absl::Duration after) {
    site.runFor(after);
    site.changeLeader();
  };
  switch (when) {
  case LeaderChange::BeforeTheCrash:
    site.changeLeader();
    break;
  case LeaderChange::BeforeDetection:
    changeAt(absl::Milliseconds(100));
    break;
  case LeaderChange::AfterDetection:
    changeAt(absl::Milliseconds(490));
    break;
  case LeaderChange::BeforeItIsRecorded:
    site.runFor(absl::Milliseconds(400));
    site.StoreDown = true;
    changeAt(absl::Milliseconds(200));
    site.StoreDown = false;
    break;
  case LeaderChange::AfterEachCrash:
    for (int n = 0; n < 10; ++n)
      changeAt(absl::Milliseconds(490));
  }
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(60)));
  EXPECT_EQ(site.state("bad"), JobState::Failed);
  EXPECT_LE(site.crashesCausedBy("bad.0.0.0"), 3);
  expectNoViolations(site);
}

INSTANTIATE_TEST_SUITE_P(
    Table, CrashAndLeaderChange,
    testing::Values(
        ChangeCase{"before_the_crash", LeaderChange::BeforeTheCrash},
        ChangeCase{"before_detection", LeaderChange::BeforeDetection},
        ChangeCase{"after_detection", LeaderChange::AfterDetection},
        ChangeCase{"before_it_is_recorded", LeaderChange::BeforeItIsRecorded},
        ChangeCase{"after_each_crash", LeaderChange::AfterEachCrash}),
    [](const auto &test) { return std::string(test.param.Name); });

} // namespace
} // namespace oriolebay::jobs
