// Tests of tasks that run until their job is cancelled, and are started again
// however they end.
#include "simsite.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace oriolebay::jobs {
namespace {

/// Longest time for which a lasting task may not run: six seconds after its
/// last run, and three.
constexpr absl::Duration MaxIdle = absl::Seconds(9);
constexpr int64_t WholeWorker = 8;

core::StepSpec lastingStep(int count, int64_t accelerators, bool gang = false) {
  core::StepSpec step;
  step.Count = count;
  step.PerTask = {1000, 1000, accelerators};
  step.LongRunning = true;
  step.Gang = gang;
  return step;
}

struct LastingCase {
  const char *Name;
  core::StepSpec Step;
  int Workers = 3;
  /// How the first runs of the first task end, and after which time each does.
  bool Fails = true;
  int Ends = 2;
  absl::Duration RunTime = absl::Seconds(2);
  /// Workers that other lasting jobs hold.
  int WorkersHeld = 0;
};

void PrintTo(const LastingCase &c, std::ostream *out) { *out << c.Name; }

class LastingTasks : public testing::TestWithParam<LastingCase> {};

// Guards against a lasting task that is not started again after it has failed
// or is done.
TEST_P(LastingTasks, AreStartedAgainHoweverTheyEnd) {
  const LastingCase &c = GetParam();
  SimSite site;
  for (int n = 0; n < c.Workers; ++n)
    site.addWorker("w" + std::to_string(n), "r0").State.Labels = {
        n == c.Workers - 1 ? "last" : "other"};
  site.runFor(absl::Seconds(1));
  int ends = 0;
  site.WorkTime = [&](const core::TaskId &id, const core::StepSpec &) {
    const bool mayEnd = id.Index == 0 || c.Step.Gang;
    const bool isEnding = id.Job == "j" && mayEnd && ends < c.Ends;
    return isEnding ? c.RunTime : absl::Hours(1);
  };
  site.RunFails = [&](const core::TaskId &, int64_t) {
    ++ends;
    return c.Fails;
  };
  for (int n = 0; n < c.WorkersHeld; ++n)
    site.submit(jobOf("held" + std::to_string(n), lastingStep(1, WholeWorker)));
  site.runFor(absl::Seconds(1));
  site.submit(jobOf("j", c.Step));
  site.runFor(absl::Seconds(1));
  absl::Duration idle;
  absl::Duration longest;
  for (int i = 0; i < 600; ++i) {
    site.runFor(absl::Milliseconds(100));
    const auto running = static_cast<int>(site.workersOf("j").size());
    idle = running == c.Step.Count ? absl::ZeroDuration()
                                   : idle + absl::Milliseconds(100);
    longest = std::max(longest, idle);
  }
  EXPECT_GE(ends, c.Ends);
  EXPECT_LE(longest, MaxIdle);
  EXPECT_EQ(site.state("j"), JobState::Running);
  EXPECT_TRUE(site.violations().empty());
}

core::StepSpec labelledStep() {
  core::StepSpec step = lastingStep(1, 1);
  step.NeedsLabel = "last";
  return step;
}

INSTANTIATE_TEST_SUITE_P(
    Table, LastingTasks,
    testing::Values(
        LastingCase{"FailsBesideItsSibling", lastingStep(2, WholeWorker)},
        LastingCase{"FailsOftenBesideItsSibling", lastingStep(2, WholeWorker),
                    3, true, 8},
        LastingCase{"FailsOnAFullSite", lastingStep(1, WholeWorker), 3, true, 1,
                    absl::Seconds(2), 2},
        LastingCase{"FailsOnItsOnlyWorker", labelledStep(), 3, true, 8,
                    absl::Seconds(3), 2},
        LastingCase{"IsDone", lastingStep(2, WholeWorker), 3, false, 3},
        LastingCase{"GangIsDone", lastingStep(2, 1, true), 2, false, 3},
        LastingCase{"GangFails", lastingStep(2, 1, true), 2, true, 6}),
    [](const auto &test) { return std::string(test.param.Name); });

} // namespace
} // namespace oriolebay::jobs
