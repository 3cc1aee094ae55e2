// Sound tasks of which one percent takes longer than their estimate suggests,
// and runs that really stand still.
#include "simsitesetup.h"
#include "testnames.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>

namespace oriolebay::jobs {
namespace {

constexpr core::Resources SmallTask = {100, 100, 0};
constexpr int64_t SmallWorkMs = 300;
constexpr absl::Duration SmallJobInterval = absl::Milliseconds(500);
/// A job whose turn has come must not wait for longer beside free workers.
constexpr absl::Duration MaxWait = absl::Seconds(3);
constexpr const char *JobId = "long";
constexpr const char *Label = "big";
/// Time for which a step is watched that may take hours.
constexpr absl::Duration WatchTime = absl::Seconds(80);

struct LongStepRow : testnames::NamedRow {
  int Racks;
  int Tasks;
  core::Resources PerTask;
  bool Gang = false;
  /// It needs the label of two workers, in whose rack its data isn't.
  bool AwayFromData = false;
  /// Interval at which the leader is lost.
  absl::Duration LeaderChanges = absl::InfiniteDuration();
  /// Number of jobs of its queue that have taken as long as estimated.
  int EarlierJobs = 0;
};

/// Shape of the step, factor by which it takes longer than its estimate, and
/// its work.
using LongStepCase = std::tuple<LongStepRow, double, absl::Duration>;

class LongPercents : public testing::TestWithParam<LongStepCase> {
protected:
  LongPercents() : Row(std::get<0>(GetParam())), Work(std::get<2>(GetParam())) {
    addRacks(Site, Row.Racks);
    int offset = 0;
    for (int r = 0; r < Row.Racks; ++r)
      for (int w = 0; w < 3; ++w)
        Site.worker("w" + std::to_string(r) + std::to_string(w))
            .ReportOffsetMs = (offset += 130) % SimSite::ReportIntervalMs;
    for (const char *worker : {"w00", "w01"})
      Site.worker(worker).State.Labels.emplace_back(Label);
    Site.WorkTime = [this](const core::TaskId &id, const core::StepSpec &spec) {
      return id.Job == JobId ? Work : absl::Milliseconds(spec.EstimateMs);
    };
    for (int n = 0; n < Row.EarlierJobs; ++n)
      Site.submit(jobOf("earlier" + std::to_string(n),
                        makeStep(1, SmallTask, SmallWorkMs)));
    Site.runUntilAllEnded(absl::Seconds(10));
  }

  core::JobSpec job() const {
    core::StepSpec step =
        makeStep(Row.Tasks, Row.PerTask, absl::ToInt64Milliseconds(estimate()),
                 Row.Gang);
    if (Row.AwayFromData) {
      step.NeedsLabel = Label;
      step.DataRack = "elsewhere";
    }
    return jobOf(JobId, step);
  }

  absl::Duration estimate() const { return Work / std::get<1>(GetParam()); }

  absl::Duration runTime() const {
    return Row.AwayFromData ? Work * SchedulerPolicy().RemoteFactor : Work;
  }

  /// A task may be started again once, and once more each time that runs may
  /// stand still for several times as long.
  int maxStarts() const {
    const ProgressPolicy policy;
    const absl::Duration timeout =
        std::max(policy.StalledAfter, estimate() * policy.StalledEstimateShare);
    const double missing = absl::FDivDuration(
        runTime() / 100 + absl::Milliseconds(SimSite::ReportIntervalMs),
        timeout);
    const int raises =
        static_cast<int>(std::ceil(std::log(std::max(1.0, missing)) /
                                   std::log(policy.StallTimeoutGrowth)));
    return 1 + raises;
  }

  /// The runs of each task. A new leader logs those that go on once more.
  std::map<std::string, std::set<int64_t>> runsByTask() const {
    std::map<std::string, std::set<int64_t>> runs;
    for (const Decision &d : Site.Log)
      if (d.What == Decision::Kind::Started && d.Job == JobId)
        runs[d.Task].insert(d.Run);
    return runs;
  }

  void runUntilEnded(absl::Duration limit) {
    const absl::Time giveUpAt = Site.now() + limit;
    const absl::Duration step = std::min(Row.LeaderChanges, limit);
    while (!isFinal(Site.state(JobId)) && Site.now() < giveUpAt) {
      Site.runUntilAllEnded(step);
      if (step < limit)
        Site.changeLeader();
    }
  }

  /// Runs the site for WatchTime, or until the job has ended, and calls onStep
  /// all the while. Returns the longest time for which nothing of the job ran.
  absl::Duration longestIdleTime(const std::function<void()> &onStep) {
    const absl::Time end = Site.now() + WatchTime;
    absl::Time atWorkAt = Site.now();
    absl::Duration longestIdle = absl::ZeroDuration();
    while (Site.now() < end && !isFinal(Site.state(JobId))) {
      onStep();
      Site.runFor(absl::Milliseconds(SimSite::StepMs));
      if (!Site.workersOf(JobId).empty())
        atWorkAt = Site.now();
      longestIdle = std::max(longestIdle, Site.now() - atWorkAt);
    }
    return longestIdle;
  }

  const LongStepRow Row;
  const absl::Duration Work;
  SimSite Site;
};

// Guards against sound tasks that are stopped as stalled without end, because
// their next percent is not due yet.
TEST_P(LongPercents, AreNotStoppedAgainAndAgain) {
  Site.TickIntervalMs = 100;
  Site.submit(job(), 1, 1);
  runUntilEnded(runTime() * 4);
  EXPECT_EQ(Site.state(JobId), JobState::Completed);
  for (const auto &[task, runs] : runsByTask())
    EXPECT_LE(static_cast<int>(runs.size()), maxStarts()) << task;
  EXPECT_TRUE(Site.violations().empty()) << Site.violations().front();
}

// Guards against a job of which nothing runs beside free workers, because all
// on which it can run are quarantined by its own runs.
TEST_P(LongPercents, AlwaysRunSomewhere) {
  Site.submit(job(), 1, 1);
  EXPECT_LE(longestIdleTime([] {}), MaxWait);
}

// Guards against sound workers that are kept from the jobs of others, because
// runs there were taken for stalled.
TEST_P(LongPercents, LeaveTheWorkersToOthers) {
  Site.submit(job(), 1, 1);
  absl::Time nextSmallAt = Site.now();
  int smallJobs = 0;
  const auto submitSmallJobs = [&] {
    if (Site.now() < nextSmallAt)
      return;
    nextSmallAt += SmallJobInterval;
    Site.submit(jobOf("small" + std::to_string(smallJobs++),
                      makeStep(1, SmallTask, SmallWorkMs)));
  };
  EXPECT_LE(longestIdleTime(submitSmallJobs), MaxWait);
  for (int n = 0; n + 1 < smallJobs; ++n) {
    const auto wait = Site.waitTime("small" + std::to_string(n));
    ASSERT_TRUE(wait.has_value()) << n;
    EXPECT_LE(*wait, MaxWait) << n;
  }
}

using RatioAndWork = std::tuple<int, absl::Duration>;
class SeveralLongJobs : public testing::TestWithParam<RatioAndWork> {};

// Guards against all workers in quarantine, because a run of another job was
// taken for stalled on each of them.
TEST_P(SeveralLongJobs, LeaveTheWorkersToOthers) {
  constexpr int Jobs = 9;
  constexpr core::Resources Most = {4000, 1000, 7};
  const auto [ratio, work] = GetParam();
  SimSite site;
  addRacks(site, 3);
  site.WorkTime = [work = work](const core::TaskId &id,
                                const core::StepSpec &spec) {
    return id.Job.rfind(JobId, 0) == 0 ? work
                                       : absl::Milliseconds(spec.EstimateMs);
  };
  for (int n = 0; n < Jobs; ++n)
    site.submit(
        jobOf(JobId + std::to_string(n),
              makeStep(1, Most, absl::ToInt64Milliseconds(work / ratio))),
        1, 1);
  const auto count = static_cast<int>(WatchTime / SmallJobInterval);
  for (int n = 0; n < count; ++n) {
    site.submit(jobOf("small" + std::to_string(n),
                      makeStep(1, {100, 100, 1}, SmallWorkMs)));
    site.runFor(SmallJobInterval);
  }
  site.runFor(MaxWait);
  for (int n = 0; n < count; ++n) {
    const auto wait = site.waitTime("small" + std::to_string(n));
    ASSERT_TRUE(wait.has_value()) << n;
    EXPECT_LE(*wait, MaxWait) << n;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table, SeveralLongJobs,
    testing::Combine(testing::Values(6, 20, 100),
                     testing::Values(absl::Seconds(150), absl::Seconds(2400))),
    [](const auto &info) {
      return std::to_string(std::get<0>(info.param)) + "_times_" +
             std::to_string(absl::ToInt64Seconds(std::get<1>(info.param))) +
             "_s";
    });

struct HangRow : testnames::NamedRow {
  int Tasks;
  bool Gang;
  int64_t EstimateMs;
  /// When the worker of the first task stops working, after its start.
  absl::Duration HangsAfter;
};

class RunThatHangs : public testing::TestWithParam<HangRow> {};

// Guards against runs that stand still and are noticed later than their sound
// estimates allow, because their tasks are taken to be slow.
TEST_P(RunThatHangs, IsNoticedInTime) {
  const ProgressPolicy policy;
  SimSite site;
  addRacks(site, 2);
  site.TickIntervalMs = 100;
  site.submit(jobOf(JobId, makeStep(GetParam().Tasks, WholeWorker,
                                    GetParam().EstimateMs, GetParam().Gang)));
  site.runFor(GetParam().HangsAfter);
  const std::string worker = *site.workersOf(JobId).begin();
  site.worker(worker).Hangs = true;
  site.runFor(
      std::max(policy.StalledAfter, absl::Milliseconds(GetParam().EstimateMs) *
                                        policy.StalledEstimateShare) +
      absl::Milliseconds(SimSite::ReportIntervalMs + site.TickIntervalMs) +
      site.StopDuration);
  EXPECT_EQ(site.workersOf(JobId).count(worker), 0u);
  ASSERT_TRUE(
      site.runUntilAllEnded(absl::Milliseconds(GetParam().EstimateMs) * 3));
  EXPECT_EQ(site.state(JobId), JobState::Completed);
}

constexpr absl::Duration AtOnce = absl::Milliseconds(20);
const HangRow HangRows[] = {
    {{"one_short_task"}, 1, false, 2500, AtOnce},
    {{"one_long_task"}, 1, false, 60000, AtOnce},
    {{"short_tasks"}, 3, false, 2500, AtOnce},
    {{"long_tasks"}, 3, false, 60000, AtOnce},
    {{"short_gang"}, 3, true, 2500, AtOnce},
    {{"one_short_task_on_its_way"}, 1, false, 6000, absl::Seconds(3)},
    {{"one_long_task_on_its_way"}, 1, false, 60000, absl::Seconds(20)},
    {{"short_tasks_on_their_way"}, 3, false, 6000, absl::Seconds(3)},
    {{"long_tasks_on_their_way"}, 3, false, 60000, absl::Seconds(20)},
    {{"long_gang_on_its_way"}, 3, true, 60000, absl::Seconds(20)},
};

INSTANTIATE_TEST_SUITE_P(Table, RunThatHangs, testing::ValuesIn(HangRows),
                         testnames::rowName);

std::string caseName(const testing::TestParamInfo<LongStepCase> &info) {
  return std::string(std::get<0>(info.param).Name) + "_" +
         std::to_string(static_cast<int>(std::get<1>(info.param))) + "_times_" +
         std::to_string(absl::ToInt64Seconds(std::get<2>(info.param))) + "_s";
}

const LongStepRow LongStepRows[] = {
    {{"one_task"}, 2, 1, WholeWorker},
    {{"tasks_on_one_worker"}, 2, 4, SmallTask},
    {{"a_task_for_each_worker"}, 2, 4, WholeWorker},
    {{"wide"}, 3, 40, {1000, 100, 1}},
    {{"gang"}, 2, 3, WholeWorker, true},
    {{"away_from_its_data"}, 2, 1, WholeWorker, false, true},
    {{"two_tasks_away_from_their_data"}, 2, 2, WholeWorker, false, true},
    {{"under_several_leaders"},
     2,
     4,
     WholeWorker,
     false,
     false,
     absl::Seconds(97)},
    {{"beside_right_estimates"},
     2,
     4,
     WholeWorker,
     false,
     false,
     absl::InfiniteDuration(),
     12},
    {{"gang_beside_right_estimates"},
     2,
     3,
     WholeWorker,
     true,
     false,
     absl::InfiniteDuration(),
     12},
};

INSTANTIATE_TEST_SUITE_P(Table, LongPercents,
                         testing::Combine(testing::ValuesIn(LongStepRows),
                                          testing::Values(2, 6, 20, 100),
                                          testing::Values(absl::Seconds(10),
                                                          absl::Seconds(150),
                                                          absl::Seconds(2400))),
                         caseName);

INSTANTIATE_TEST_SUITE_P(Hours, LongPercents,
                         testing::Combine(testing::Values(LongStepRows[0],
                                                          LongStepRows[4],
                                                          LongStepRows[7]),
                                          testing::Values(6, 100),
                                          testing::Values(absl::Hours(3))),
                         caseName);

} // namespace
} // namespace oriolebay::jobs
