// Tests of starts that may be carried out after their task has left the worker.
#include "simsite.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace oriolebay::jobs {
namespace {

core::StepSpec taskStep(int count, int64_t accelerators, int64_t estimateMs,
                        bool gang = false) {
  core::StepSpec s;
  s.Count = count;
  s.PerTask = {1000, 1000, accelerators};
  s.EstimateMs = estimateMs;
  s.Gang = gang;
  return s;
}

// Guards against a worker that runs more than its capacity, because a run that
// nobody expects there takes resources that nobody counts.
TEST(LateStart, WorkerWithAnUnexpectedRunGetsNoTasks) {
  SimSite site;
  site.addWorker("w0", "r0");
  site.runFor(absl::Milliseconds(600));
  site.submit(jobOf("j", taskStep(1, 8, 1000)));
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(4)));
  SimSite::Run late;
  late.Order = {"j.0.0.0", 1, "", "", "", {}};
  late.StartedAt = site.now();
  late.RequiredWork = absl::Seconds(5);
  site.worker("w0").Runs[{"j.0.0.0", 1}] = late;
  site.runFor(absl::Milliseconds(600));
  site.submit(jobOf("next", taskStep(1, 8, 1000)));
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(6)));
  EXPECT_TRUE(site.violations().empty()) << site.violations().front();
  const auto unexpected =
      std::count_if(site.Log.begin(), site.Log.end(), [](const Decision &d) {
        return d.What == Decision::Kind::UnexpectedRun;
      });
  EXPECT_GT(unexpected, 0);
}

} // namespace
} // namespace oriolebay::jobs
