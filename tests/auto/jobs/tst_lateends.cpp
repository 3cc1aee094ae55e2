// Ends of a run that the leader learns of only after it has placed the next
// one.
#include "simsitesetup.h"
#include "testnames.h"

#include <gtest/gtest.h>

#include <string>

namespace oriolebay::jobs {
namespace {

using endpoints::RunEnd;

constexpr int Tasks = 3;
constexpr int64_t WorkMs = 3000;
/// Time after which tasks of a worker that is silent are placed elsewhere.
constexpr absl::Duration PlacedElsewhereWithin = absl::Seconds(30);

struct LateEndRow : testnames::NamedRow {
  bool IsGang = true;
  /// The next run is ordered, and its workers have not carried that out.
  bool IsOrdered = false;
  bool HasLaterStep = false;
  /// The worker that reports the end of its task first.
  int First = 0;
};

class LateEnd : public testing::TestWithParam<LateEndRow> {
protected:
  LateEnd() {
    addRacks(Site, 2);
    core::SiteConfig config = configWithGuarantee(48);
    Site.configure(config);
  }

  static std::string workerName(int n) {
    return "w" + std::to_string(n / 3) + std::to_string(n % 3);
  }

  core::JobSpec job() const {
    core::JobSpec spec = jobOf(
        "j", makeStep(Tasks, WholeWorker, WorkMs, GetParam().IsGang, true));
    if (GetParam().HasLaterStep) {
      spec.Steps.push_back(makeStep(1, WholeWorker, 20000));
      spec.Steps.back().After = {0};
    }
    return spec;
  }

  /// Has the first run be done while nobody hears of it, and the next one
  /// placed on other workers.
  void placeNextRunBesideDoneOne() {
    Site.submit(job());
    Site.runFor(absl::Seconds(1));
    Silent = Site.workersOf("j");
    ASSERT_EQ(Silent.size(), static_cast<size_t>(Tasks));
    for (int n = 0; n < 6; ++n) {
      const bool isSilent = Silent.count(workerName(n)) != 0;
      Site.worker(workerName(n)).Partitioned = isSilent;
      Site.worker(workerName(n)).DropsOrders = !isSilent;
    }
    const int64_t run = lastPlacedRun();
    const auto isNextRunPlaced = [&] { return lastPlacedRun() > run; };
    Site.StoreDown = !GetParam().IsOrdered;
    for (absl::Duration t; t < PlacedElsewhereWithin && !isNextRunPlaced();
         t += absl::Milliseconds(SimSite::StepMs))
      Site.runFor(absl::Milliseconds(SimSite::StepMs));
    ASSERT_TRUE(isNextRunPlaced());
  }

  int64_t lastPlacedRun() const {
    int64_t run = 0;
    for (const Decision &d : Site.Log)
      if (d.What == Decision::Kind::Placed)
        run = std::max(run, d.Run);
    return run;
  }

  void hearOfTheDoneRun() {
    int n = 0;
    for (const std::string &name : Silent)
      if (n++ == GetParam().First)
        Site.worker(name).Partitioned = false;
    Site.runFor(absl::Milliseconds(SimSite::ReportIntervalMs));
    for (const std::string &name : Silent)
      Site.worker(name).Partitioned = false;
    Site.runFor(absl::Milliseconds(SimSite::ReportIntervalMs));
  }

  SimSite Site;
  std::multiset<std::string> Silent;
};

// Guards against orders to start a task that is done, after its job has ended
// even without the job's text, because the end of an earlier run arrived when
// the next one had been placed.
TEST_P(LateEnd, TakesBackTheNextRun) {
  placeNextRunBesideDoneOne();
  const int starts = Site.starts();
  hearOfTheDoneRun();
  Site.StoreDown = false;
  for (int n = 0; n < 6; ++n)
    Site.worker(workerName(n)).DropsOrders = false;
  Site.runFor(absl::Seconds(5));
  EXPECT_EQ(Site.starts(), starts + (GetParam().HasLaterStep ? 1 : 0));
  EXPECT_TRUE(Site.runUntilAllEnded(absl::Seconds(60)));
  EXPECT_EQ(Site.state("j"), JobState::Completed);
  EXPECT_EQ(Site.violations(), std::vector<std::string>());
}

const LateEndRow LateEndRows[] = {
    {{"of_the_first_member"}},
    {{"of_the_second_member"}, true, false, false, 1},
    {{"of_the_last_member"}, true, false, false, 2},
    {{"of_a_gang_that_others_wait_for"}, true, false, true, 2},
    {{"of_a_gang_that_is_ordered_again"}, true, true, false, 1},
    {{"of_a_gang_that_is_ordered_again_and_others_wait_for"},
     true,
     true,
     true,
     0},
    {{"of_single_tasks"}, false, false, false, 0},
    {{"of_single_tasks_that_are_ordered_again"}, false, true, false, 1},
};

// Guards against tasks that last and are stopped for nothing, because the end
// of an earlier run arrives late.
TEST(LastingTask, RunsOnAfterTheLateEndOfAnEarlierRun) {
  SimSite site;
  addRacks(site, 1);
  site.configure(configWithGuarantee(48));
  core::StepSpec step = makeStep(1, WholeWorker, 60000);
  step.LongRunning = true;
  site.submit(jobOf("j", step));
  site.runFor(absl::Seconds(1));
  ASSERT_EQ(site.workersOf("j").size(), 1U);
  SimSite::Worker &first = site.worker(*site.workersOf("j").begin());
  first.Partitioned = true;
  first.Runs.clear();
  first.Ended.push_back(
      {first.NextEndNumber++, "j.0.0.0", 1, RunEnd::Done, ""});
  site.runFor(absl::Seconds(20));
  ASSERT_EQ(site.workersOf("j").size(), 1U);
  const int starts = site.starts();
  first.Partitioned = false;
  site.runFor(absl::Seconds(5));
  EXPECT_EQ(site.workersOf("j").size(), 1U);
  EXPECT_EQ(site.starts(), starts);
}

// Guards against tasks of a cancelled job that run on, because the leader that
// was to stop them is lost.
TEST(CancelledJob, IsStoppedByTheNextLeader) {
  SimSite site;
  addRacks(site, 1);
  site.configure(configWithGuarantee(48));
  site.submit(jobOf("j", makeStep(2, WholeWorker, 60000)));
  site.runFor(absl::Seconds(2));
  ASSERT_EQ(site.workersOf("j").size(), 2U);
  for (const char *name : {"w00", "w01", "w02"})
    site.worker(name).DropsOrders = true;
  site.cancel("j");
  site.runFor(absl::Seconds(1));
  ASSERT_EQ(site.workersOf("j").size(), 2U);
  site.changeLeader();
  for (const char *name : {"w00", "w01", "w02"})
    site.worker(name).DropsOrders = false;
  site.runFor(absl::Seconds(2));
  EXPECT_EQ(site.workersOf("j").size(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Table, LateEnd, testing::ValuesIn(LateEndRows),
                         testnames::rowName);

} // namespace
} // namespace oriolebay::jobs
