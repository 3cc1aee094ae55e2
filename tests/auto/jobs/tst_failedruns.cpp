// Tests of failed runs whose end is listed after their task has started again.
#include "simsitesetup.h"
#include "testnames.h"

#include <gtest/gtest.h>

#include <string>

namespace oriolebay::jobs {
namespace {

using endpoints::RunEnd;

constexpr int Racks = 4;
constexpr int WorkersPerRack = 3;
constexpr int Attempts = 4;
constexpr int64_t WorkMs = 1000;
constexpr int64_t OpenForMs = 14000;

enum class Absence {
  /// A new leader gets a list from which the run is missing, as it lies beyond
  /// the ends that a worker lists at a time.
  BeyondFirstList,
  /// The worker was cut off until its tasks had certainly ended.
  CutOff,
  /// The worker restarts under its id, carries the start out late and lists the
  /// end at once.
  LateStart
};

struct AbsentRunCase : testnames::NamedRow {
  int Members;
  Absence Way;
};

/// A site with a job whose first run fails on w00, where it is found absent.
/// The end is listed while the second run works.
class FailedRunsListedLate : public testing::TestWithParam<AbsentRunCase> {
protected:
  FailedRunsListedLate() {
    Site.addWorker("w00", "r0");
    Site.runFor(absl::Milliseconds(600));
    const int members = GetParam().Members;
    const core::Resources each = {1000, 1000, 8 / members};
    Site.submit(jobOf("j", makeStep(members, each, WorkMs, members > 1)), 1,
                Attempts);
    Site.runFor(absl::Milliseconds(100));
    EXPECT_EQ(Site.workersOf("j").size(), static_cast<size_t>(members));
    for (int n = 1; n < Racks * WorkersPerRack; ++n)
      Site.addWorker("w" + std::to_string(n / WorkersPerRack) +
                         std::to_string(n % WorkersPerRack),
                     "r" + std::to_string(n / WorkersPerRack));
    Site.RunFails = [this](const core::TaskId &, int64_t run) {
      return run < FirstSoundRun;
    };
    failUnlisted();
  }

  void failUnlisted() {
    if (GetParam().Way == Absence::LateStart) {
      restartWorker();
      return;
    }
    SimSite::Worker &worker = Site.worker("w00");
    if (GetParam().Way == Absence::CutOff)
      worker.Partitioned = true;
    worker.Runs.clear();
    if (GetParam().Way == Absence::BeyondFirstList)
      Site.changeLeader();
    while (secondRunStarts() == 0)
      Site.runFor(absl::Milliseconds(SimSite::StepMs));
  }

  void restartWorker() {
    Site.worker("w00").OpenStarts = {{"j.0.0.0", 1, OpenForMs}};
    Site.runFor(absl::Milliseconds(SimSite::ReportIntervalMs));
    Site.crash("w00");
    Site.addWorker("w00", "r0").State.Life.BornMs = 2;
  }

  void listFirstEnd() {
    SimSite::Worker &worker = Site.worker("w00");
    worker.Partitioned = false;
    worker.Ended.push_back(
        {worker.NextEndNumber++, "j.0.0.0", 1, RunEnd::Failed, ""});
  }

  int64_t latestRun() {
    return Site.scheduler().progress("j")->Tasks.at(0)[0][0].Run;
  }
  bool secondRunStarts() { return latestRun() > 1; }

  SimSite Site;
  int64_t FirstSoundRun = Attempts + 1;
};

// Guards against a task that is started after its last attempt, because a
// failed run that was found absent before does not count.
TEST_P(FailedRunsListedLate, CountAsAttempts) {
  listFirstEnd();
  ASSERT_TRUE(Site.runUntilAllEnded(absl::Minutes(3)));
  EXPECT_STREQ(jobStateName(Site.state("j")), "failed");
  EXPECT_EQ(latestRun(), Attempts);
  EXPECT_TRUE(Site.violations().empty());
}

// Guards against a job that fails early, because the next leader counts an end
// that is listed to it again.
TEST_P(FailedRunsListedLate, CountOnce) {
  FirstSoundRun = Attempts;
  listFirstEnd();
  Site.runFor(absl::Milliseconds(SimSite::StepMs));
  Site.changeLeader();
  ASSERT_TRUE(Site.runUntilAllEnded(absl::Minutes(3)));
  EXPECT_STREQ(jobStateName(Site.state("j")), "completed");
  EXPECT_EQ(latestRun(), Attempts);
  EXPECT_TRUE(Site.violations().empty());
}

INSTANTIATE_TEST_SUITE_P(
    Table, FailedRunsListedLate,
    testing::Values(
        AbsentRunCase{"TaskBeyondFirstList", 1, Absence::BeyondFirstList},
        AbsentRunCase{"TaskCutOff", 1, Absence::CutOff},
        AbsentRunCase{"TaskStartedLate", 1, Absence::LateStart},
        AbsentRunCase{"GangBeyondFirstList", 2, Absence::BeyondFirstList},
        AbsentRunCase{"GangCutOff", 2, Absence::CutOff}),
    [](const auto &test) { return std::string(test.param.Name); });

// Guards against a job that fails early after an upgrade: an earlier version
// has counted the run and not recorded which one it was.
TEST(FailedRunOfAnEarlierVersion, CountsOnceIfListedAgain) {
  SimSite site;
  site.addWorker("w0", "r0");
  site.runFor(absl::Milliseconds(600));
  JobRecord record;
  record.Spec = jobOf("j", makeStep(1, WholeWorker, WorkMs));
  record.Attempts = Attempts;
  const TaskProgress task{1, 1, false, {}, "", ""};
  site.scheduler().onRecord(record, 1, site.now());
  site.scheduler().onProgress("j", {1, JobState::Running, {{0, {{task}}}}}, 2,
                              site.now());
  endpoints::WorkerReport report;
  report.Worker = site.worker("w0").State;
  report.Agent = site.worker("w0").Agent;
  report.Sequence = site.worker("w0").Sequence + 1;
  report.Ended = {{1, "j.0.0.0", 1, RunEnd::Failed, ""}};
  site.scheduler().onReport(report, site.now());
  EXPECT_EQ(site.scheduler().progress("j")->Tasks.at(0)[0][0].Failed, 1);
}

} // namespace
} // namespace oriolebay::jobs
