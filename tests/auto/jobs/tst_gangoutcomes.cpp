// What the end of a gang's run tells about its workers.
#include "simsitesetup.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace oriolebay::jobs {
namespace {

constexpr int Members = 3;
constexpr absl::Duration EndLimit = absl::Seconds(60);

int countDecisions(const SimSite &site, Decision::Kind kind) {
  return static_cast<int>(
      std::count_if(site.Log.begin(), site.Log.end(),
                    [kind](const Decision &d) { return d.What == kind; }));
}

class OneFailureOf : public testing::TestWithParam<std::string> {
protected:
  OneFailureOf() {
    addRacks(Site, 1);
    Site.worker(GetParam()).State.Labels.push_back(Label);
    Site.runFor(absl::Seconds(1));
  }

  void failOnce(const std::string &job) {
    core::StepSpec step = makeStep(1, WholeWorker, 500);
    step.NeedsLabel = Label;
    Site.worker(GetParam()).FailsAll = true;
    Site.submit(jobOf(job, step), 1, 1);
    ASSERT_TRUE(Site.runUntilAllEnded(EndLimit));
    ASSERT_EQ(Site.state(job), JobState::Failed);
    Site.worker(GetParam()).FailsAll = false;
  }

  static constexpr const char *Label = "tested";
  SimSite Site;
};

// Guards against workers that are quarantined for failures in a row although
// they have completed a gang's run in between, whichever of its workers reports
// the end first.
TEST_P(OneFailureOf, EndsItsRowByAGangThatIsDone) {
  failOnce("first");
  Site.submit(jobOf("gang", makeStep(Members, WholeWorker, 500, true)));
  ASSERT_TRUE(Site.runUntilAllEnded(EndLimit));
  ASSERT_EQ(Site.state("gang"), JobState::Completed);
  failOnce("second");
  EXPECT_EQ(countDecisions(Site, Decision::Kind::WorkerQuarantined), 0);
}

INSTANTIATE_TEST_SUITE_P(Table, OneFailureOf,
                         testing::Values("w00", "w01", "w02"),
                         [](const auto &test) { return test.param; });

} // namespace
} // namespace oriolebay::jobs
