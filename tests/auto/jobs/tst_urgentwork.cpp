// Tests of what is stopped and kept free for work that has little time.
#include "simsitesetup.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace oriolebay::jobs {
namespace {

/// Work that fills a site of one rack when an urgent job arrives, and which of
/// it has to be stopped. Urgent jobs come in waves while other work fills the
/// workers, so that what is discarded for them counts.
struct StopCase {
  const char *Name;
  /// One job per worker, of tasks with eight accelerators each.
  std::vector<core::StepSpec> FillerSteps;
  std::vector<int> Priorities;
  absl::Duration Age;
  core::StepSpec Urgent;
  /// The jobs of FillerSteps that have to be stopped for the urgent job.
  std::set<std::string> Stopped;
};

void PrintTo(const StopCase &c, std::ostream *out) { *out << c.Name; }

class StopsForUrgentWork : public ::testing::TestWithParam<StopCase> {};

TEST_P(StopsForUrgentWork, DiscardLessThanLatenessCosts) {
  const StopCase &c = GetParam();
  SimSite site;
  core::SiteConfig config = configWithGuarantee(0);
  config.Queues[0].Stretch = 1.5;
  config.Queues[0].TargetLatencyMs = 250;
  site.configure(config);
  addRacks(site, 1);
  for (size_t n = 0; n < c.FillerSteps.size(); ++n)
    site.submit(jobOf("fill" + std::to_string(n), c.FillerSteps[n]),
                c.Priorities[n]);
  site.runFor(c.Age);
  ASSERT_EQ(site.starts(), static_cast<int>(c.FillerSteps.size()));
  site.submit(jobOf("urgent", c.Urgent), 0);
  site.runFor(absl::Milliseconds(300));
  std::set<std::string> stopped;
  for (const Decision &d : site.Log)
    if (d.What == Decision::Kind::Stopping)
      stopped.insert(d.Job);
  EXPECT_EQ(stopped, c.Stopped);
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(40)));
  EXPECT_TRUE(site.violations().empty()) << site.violations().front();
}

const StopCase StopCases[] = {
    // The first end comes in 0.4 s, and the slack of the urgent job is 1.25 s.
    {"waits_for_what_is_about_to_end",
     {makeStep(1, WholeWorker, 3000), makeStep(1, WholeWorker, 6000),
      makeStep(1, WholeWorker, 6000)},
     {2, 2, 2},
     absl::Milliseconds(2600),
     makeStep(1, WholeWorker, 2000),
     {}},
    // The urgent job is worth a loss of some 200 core-seconds; the stop would
    // lose 400.
    {"stops_nothing_that_is_worth_more",
     {makeStep(1, WholeWorker, 16000), makeStep(1, WholeWorker, 16000),
      makeStep(1, WholeWorker, 16000)},
     {2, 2, 2},
     absl::Seconds(6),
     makeStep(1, WholeWorker, 500),
     {}},
    {"stops_what_has_just_begun",
     {makeStep(1, WholeWorker, 8000), makeStep(1, WholeWorker, 8000),
      makeStep(1, WholeWorker, 8000)},
     {2, 2, 2},
     absl::Milliseconds(500),
     makeStep(1, WholeWorker, 3000),
     {"fill0"}},
    // A task with checkpoints loses nothing by a stop, so it is stopped
    // although its priority is higher.
    {"stops_what_saves_its_work",
     {makeStep(1, WholeWorker, 8000),
      withCheckpoints(makeStep(1, WholeWorker, 8000)),
      makeStep(1, WholeWorker, 8000)},
     {2, 1, 2},
     absl::Seconds(3),
     makeStep(1, WholeWorker, 3000),
     {"fill1"}},
};

INSTANTIATE_TEST_SUITE_P(Table, StopsForUrgentWork,
                         ::testing::ValuesIn(StopCases),
                         [](const auto &info) { return info.param.Name; });

// Guards against capacity that is given away while it is being freed. Small
// tasks are stopped for an urgent job of three whole workers and end one by
// one. The capacity of the first ends went to other small tasks, which were
// then stopped for the same job, up to four times each within 0.2 s, and the
// job started late.
//
// All three tasks have to run at once: either the job is within its
// organisation's guarantee, or the time is too short for waves.
struct FreedCapacityCase {
  const char *Name;
  int64_t Guaranteed;
  double Stretch;
};

void PrintTo(const FreedCapacityCase &c, std::ostream *out) { *out << c.Name; }

class CapacityBeingFreed : public ::testing::TestWithParam<FreedCapacityCase> {
};

TEST_P(CapacityBeingFreed, IsNotGivenToOtherTasks) {
  SimSite site;
  core::SiteConfig config = configWithGuarantee(GetParam().Guaranteed);
  config.Queues[0].Stretch = GetParam().Stretch;
  config.Queues[0].TargetLatencyMs = 1000;
  site.configure(config);
  site.StopDurationOf = [](const core::TaskId &id) {
    return absl::Milliseconds(50 + 40 * id.Index);
  };
  addRacks(site, 1);
  for (int n = 0; n < 6; ++n)
    site.submit(
        jobOf("fill" + std::to_string(n), makeStep(8, {1000, 1000, 1}, 9000)),
        2);
  site.runFor(absl::Seconds(1));
  const int before = site.starts();
  site.submit(jobOf("urgent", makeStep(3, WholeWorker, 4000)), 0);
  site.runFor(absl::Seconds(2));
  std::map<std::string, int> stops;
  for (const Decision &d : site.Log)
    if (d.What == Decision::Kind::Stopping)
      ++stops[d.Task];
  for (const auto &[task, n] : stops)
    EXPECT_EQ(n, 1) << task;
  EXPECT_EQ(site.starts(), before + 3);
  EXPECT_EQ(site.workersOf("urgent").size(), 3u);
}

INSTANTIATE_TEST_SUITE_P(
    UrgentWork, CapacityBeingFreed,
    ::testing::Values(FreedCapacityCase{"within_a_guarantee", 24, 2},
                      FreedCapacityCase{"no_time_for_waves", 0, 0.75}),
    [](const auto &info) { return info.param.Name; });

core::SiteConfig configWithDeadline(double stretch, int64_t targetMs) {
  core::SiteConfig config = configWithGuarantee(0);
  config.Queues[0].Stretch = stretch;
  config.Queues[0].TargetLatencyMs = targetMs;
  return config;
}

// Guards against work of five workers that is discarded at once for a job that
// would meet its deadline with two. An urgent step of five whole workers comes
// to a site of six that is full of batch tasks. Its deadline counts it in
// waves, as it takes more than a quarter of the capacity, so two workers at a
// time are enough.
TEST(UrgentWork, WideStepStopsOnlyWhatItsDeadlineNeeds) {
  SimSite site;
  site.configure(configWithDeadline(1.5, 250));
  addRacks(site, 2);
  for (int n = 0; n < 6; ++n)
    site.submit(
        jobOf("fill" + std::to_string(n), makeStep(1, WholeWorker, 30000)), 2);
  site.runFor(absl::Seconds(1));
  site.submit(jobOf("urgent", makeStep(5, WholeWorker, 2000)), 0);
  ASSERT_EQ(site.state("urgent"), JobState::Queued);
  site.runFor(absl::Seconds(13));
  std::set<std::string> stopped;
  for (const Decision &d : site.Log)
    if (d.What == Decision::Kind::Stopping)
      stopped.insert(d.Job);
  EXPECT_LE(stopped.size(), 2u);
  EXPECT_EQ(site.state("urgent"), JobState::Completed);
  // Four waves of two seconds, times 1.5, plus a quarter of a second.
  EXPECT_LE(*site.turnaroundTime("urgent"), absl::Milliseconds(12250));
}

// Guards against a small urgent job that misses its deadline needlessly: it has
// one second of slack and comes while a wide urgent job with seconds of slack
// waits. The first free worker has to go to the small job.
TEST(UrgentWork, LeastSlackIsScheduledFirst) {
  SimSite site;
  site.configure(configWithDeadline(1.5, 250));
  addRacks(site, 1);
  for (int n = 0; n < 3; ++n)
    site.submit(jobOf("fill" + std::to_string(n),
                      makeStep(1, WholeWorker, 4000 + n * 900)),
                0);
  site.runFor(absl::Seconds(3));
  site.submit(jobOf("wide", makeStep(5, WholeWorker, 3000)), 0);
  site.runFor(absl::Milliseconds(100));
  site.submit(jobOf("small", makeStep(1, WholeWorker, 2000)), 0);
  site.runFor(absl::Milliseconds(1300));
  EXPECT_EQ(site.workersOf("small").size(), 1u);
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(30)));
  EXPECT_LE(*site.turnaroundTime("small"), absl::Milliseconds(3250));
  EXPECT_LE(*site.turnaroundTime("wide"), absl::Milliseconds(13750));
}

} // namespace
} // namespace oriolebay::jobs
