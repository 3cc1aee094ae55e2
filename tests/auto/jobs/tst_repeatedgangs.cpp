// Gangs of which several members fail in one run, in jobs of several gangs and
// in jobs that last.
#include "simsitesetup.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <ostream>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace oriolebay::jobs {
namespace {

constexpr int Members = 3;
constexpr int Attempts = 3;
constexpr int64_t WorkMs = 500;
constexpr absl::Duration EndLimit = absl::Minutes(2);

core::StepSpec gangStep(std::vector<int> after = {}) {
  core::StepSpec step = makeStep(Members, WholeWorker, WorkMs, true);
  step.After = std::move(after);
  return step;
}

core::JobSpec repeatedJob() {
  core::JobSpec spec = jobOf("j", gangStep());
  spec.Repeats = 3;
  spec.IntervalMs = 1000;
  return spec;
}

core::JobSpec jobOfTwoSteps() {
  core::JobSpec spec = jobOf("j", gangStep());
  spec.Steps.push_back(gangStep({0}));
  return spec;
}

core::JobSpec lastingJob() {
  core::JobSpec spec = jobOf("j", gangStep());
  spec.Steps.front().LongRunning = true;
  return spec;
}

struct RepeatedCase {
  const char *Name;
  core::JobSpec (*Spec)();
  /// Number of runs of each gang that fail.
  int FailingRuns;
  JobState State;
};

void PrintTo(const RepeatedCase &c, std::ostream *out) { *out << c.Name; }

class RepeatedGangs : public testing::TestWithParam<RepeatedCase> {};

// Guards against jobs of several gangs, or of gangs that last, that are shown
// as failed by runs of another gang, or by runs that count for each member.
TEST_P(RepeatedGangs, CountTheFailedRunsOfEachGang) {
  const RepeatedCase &c = GetParam();
  SimSite site;
  addRacks(site, 4);
  std::map<std::pair<int, int>, std::set<int64_t>> failedRuns;
  site.RunFails = [&](const core::TaskId &id, int64_t run) {
    std::set<int64_t> &failed = failedRuns[{id.Occurrence, id.Step}];
    if (static_cast<int>(failed.size()) >= c.FailingRuns)
      return false;
    failed.insert(run);
    return true;
  };
  site.EndBesideFailedMember = [](const core::TaskId &, int64_t) {
    return endpoints::RunEnd::Failed;
  };
  const bool lasts = c.State == JobState::Running;
  site.WorkTime = [&](const core::TaskId &id, const core::StepSpec &) {
    const auto failed = failedRuns.find({id.Occurrence, id.Step});
    const bool isOver =
        failed != failedRuns.end() &&
        static_cast<int>(failed->second.size()) >= c.FailingRuns;
    return lasts && isOver ? absl::Hours(1) : absl::Milliseconds(WorkMs);
  };
  site.submit(c.Spec(), 1, Attempts);
  if (lasts)
    site.runFor(absl::Minutes(1));
  else
    site.runUntilAllEnded(EndLimit);
  EXPECT_EQ(site.state("j"), c.State);
  EXPECT_EQ(site.workersOf("j").size(), lasts ? Members : 0);
  int mostFailedRuns = 0;
  for (const auto &[gang, failed] : failedRuns)
    mostFailedRuns = std::max(mostFailedRuns, static_cast<int>(failed.size()));
  EXPECT_EQ(mostFailedRuns, c.FailingRuns);
  EXPECT_TRUE(site.violations().empty()) << site.violations().front();
}

INSTANTIATE_TEST_SUITE_P(
    Table, RepeatedGangs,
    testing::Values(
        RepeatedCase{"occurrences", repeatedJob, Attempts - 1,
                     JobState::Completed},
        RepeatedCase{"occurrences_that_fail", repeatedJob, Attempts,
                     JobState::Failed},
        RepeatedCase{"steps", jobOfTwoSteps, Attempts - 1, JobState::Completed},
        RepeatedCase{"steps_that_fail", jobOfTwoSteps, Attempts,
                     JobState::Failed},
        RepeatedCase{"lasting", lastingJob, 2 * Attempts, JobState::Running}),
    [](const auto &info) { return std::string(info.param.Name); });

} // namespace
} // namespace oriolebay::jobs
