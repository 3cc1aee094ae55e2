#include "jobs/jobdeadline.h"
#include "jobs/workerspeedestimator.h"

#include <gtest/gtest.h>

#include <random>

namespace oriolebay::jobs {
namespace {

core::StepSpec step(int count, core::Resources perTask, int64_t ms,
                    std::vector<int> after = {}) {
  core::StepSpec s;
  s.Count = count;
  s.PerTask = perTask;
  s.EstimateMs = ms;
  s.After = std::move(after);
  return s;
}

absl::Duration estimate(const core::StepSpec &s) {
  return absl::Milliseconds(s.EstimateMs);
}

/// Eleven workers with 64 cores, 128 GB and 8 accelerators each.
constexpr core::Resources SiteCapacity{704000, 1441792, 88};

struct DeadlineCase {
  const char *Name;
  std::vector<core::StepSpec> Steps;
  std::vector<int> Waves;
  int CriticalPathMs;
};

void PrintTo(const DeadlineCase &c, std::ostream *out) { *out << c.Name; }

class JobDeadlines : public ::testing::TestWithParam<DeadlineCase> {};

TEST_P(JobDeadlines, CountWideStepsInWaves) {
  const DeadlineCase &c = GetParam();
  const JobDeadline deadline =
      computeDeadline(c.Steps, SiteCapacity, 1.5, 250, estimate);
  EXPECT_EQ(deadline.Waves, c.Waves);
  EXPECT_EQ(absl::ToInt64Milliseconds(deadline.CriticalPath), c.CriticalPathMs);
  EXPECT_EQ(deadline.RelativeDeadline,
            deadline.CriticalPath * 1.5 + absl::Milliseconds(250));
  EXPECT_EQ(deadline.WorthlessAfter, deadline.RelativeDeadline * 3);
}

INSTANTIATE_TEST_SUITE_P(
    Table, JobDeadlines,
    ::testing::Values(
        DeadlineCase{"narrow", {step(2, {7500, 11000, 8}, 2500)}, {1}, 2500},
        DeadlineCase{"over_a_quarter_by_accelerators",
                     {step(3, {7500, 11000, 8}, 2500)},
                     {2},
                     5000},
        DeadlineCase{"over_a_quarter_by_memory",
                     {step(9, {26000, 68000, 1}, 1000)},
                     {2},
                     2000},
        DeadlineCase{
            "whole_site", {step(11, {7500, 11000, 8}, 2000)}, {4}, 8000},
        DeadlineCase{"critical_path_of_several_steps",
                     {step(1, {1, 1, 0}, 1000), step(30, {1, 1, 1}, 2000),
                      step(1, {1, 1, 0}, 500, {0, 1})},
                     {1, 2, 1},
                     4500}),
    [](const auto &info) { return info.param.Name; });

// A leader that has just been elected knows no worker yet. Guards against
// counting each job as many waves then, which would give it a deadline so late
// that it could wait for ever.
TEST(JobDeadline, UnknownCapacityCountsOneWave) {
  EXPECT_EQ(wavesOf(step(40, {1000, 100, 8}, 100), {}), 1);
}

// One third of the workers is slower by a factor of 1.3. Tasks of one step
// differ by an eighth from each other, and steps by a factor of ten. Urgent
// jobs on the slow workers missed their deadlines, so the slow workers have to
// be known after one day of batch jobs.
TEST(WorkerSpeedEstimator, LearnsSlowWorkersFromTasksOfOneStep) {
  std::mt19937_64 random(7);
  std::lognormal_distribution<> taskVariation(0, 0.12);
  std::lognormal_distribution<> stepWork(1, 0.7);
  WorkerSpeedEstimator estimator;
  for (int s = 0; s < 16; ++s) {
    const double work = stepWork(random);
    for (int task = 0; task < 9; ++task) {
      const int w = static_cast<int>(random() % 11);
      const double slow = w % 3 == 2 ? 1.3 : 1.0;
      estimator.recordRunDuration(
          "step" + std::to_string(s), "w" + std::to_string(w),
          absl::Seconds(work * slow * taskVariation(random)));
    }
    estimator.forget("step" + std::to_string(s));
  }
  for (int w = 0; w < 11; ++w)
    EXPECT_EQ(estimator.isSlow("w" + std::to_string(w)), w % 3 == 2)
        << w << ": " << estimator.slowness("w" + std::to_string(w));
}

TEST(WorkerSpeedEstimator, UnknownWorkersHaveTheUsualSpeed) {
  WorkerSpeedEstimator estimator;
  EXPECT_EQ(estimator.slowness("w"), 1);
  estimator.recordRunDuration("s", "w", absl::Seconds(3));
  EXPECT_EQ(estimator.slowness("w"), 1);
}

// Guards against a slowness that is kept after the worker has returned to its
// usual speed.
TEST(WorkerSpeedEstimator, AdaptsWhenASpeedChanges) {
  WorkerSpeedEstimator estimator;
  auto runSteps = [&](double slow, int from) {
    for (int s = from; s < from + 12; ++s)
      for (const char *w : {"a", "b", "c"})
        estimator.recordRunDuration(std::to_string(s), w,
                                    absl::Seconds(*w == 'c' ? 2 * slow : 2.0));
  };
  runSteps(6, 0);
  EXPECT_GT(estimator.slowness("c"), 3);
  runSteps(1, 100);
  EXPECT_LT(estimator.slowness("c"), 1.5);
}

} // namespace
} // namespace oriolebay::jobs
