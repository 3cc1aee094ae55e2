// Tests of gangs whose runs fail: how many failed runs a gang has before its
// job fails.
#include "simsitesetup.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <utility>

namespace oriolebay::jobs {
namespace {

using endpoints::RunEnd;

constexpr int Racks = 3;
constexpr int WorkersPerRack = 3;
constexpr int Members = 3;
constexpr int Attempts = 4;
constexpr core::Resources SmallTask = {1000, 1000, 1};
constexpr int64_t WorkMs = 1000;
/// Longer than one report interval.
constexpr absl::Duration ListingDelay = absl::Milliseconds(700);

enum class Disturbance {
  None,
  /// The first worker's reports are held up, so that the ends of the members
  /// elsewhere are listed before its own.
  FirstEndListedLast,
  /// The same, and the leader is replaced before it is listed.
  LeaderLostBetweenEnds,
  LeaderLostAfterEnds,
  StoreDown,
  StoreLosesAnswers
};

struct FailureCase {
  const char *Name;
  core::Resources PerTask = WholeWorker;
  /// How the members end beside the one that fails first.
  RunEnd Others = RunEnd::Failed;
  Disturbance During = Disturbance::None;

  bool isFirstEndHeldBack() const {
    return During == Disturbance::FirstEndListedLast ||
           During == Disturbance::LeaderLostBetweenEnds;
  }
};

void PrintTo(const FailureCase &c, std::ostream *out) { *out << c.Name; }

/// A site with a gang whose first runs fail.
class FailingGangs : public testing::TestWithParam<FailureCase> {
protected:
  FailingGangs() {
    addRacks(Site, Racks);
    Site.RunFails = [this](const core::TaskId &id, int64_t run) {
      if (static_cast<int>(FailedRuns.size()) >= RunsToFail)
        return false;
      FailedRuns.insert(run);
      HasNewFailure = true;
      if (GetParam().isFirstEndHeldBack())
        holdBack({core::taskName(id), run});
      return true;
    };
    Site.EndBesideFailedMember = [](const core::TaskId &, int64_t) {
      return GetParam().Others;
    };
  }

  void runUntilEnded(int runsToFail) {
    RunsToFail = runsToFail;
    Site.submit(jobOf("g", makeStep(Members, GetParam().PerTask, WorkMs, true)),
                1, Attempts);
    const absl::Time end = Site.now() + absl::Minutes(3);
    while (!isFinal(Site.state("g")) && Site.now() < end) {
      Site.runFor(absl::Milliseconds(SimSite::StepMs));
      if (std::exchange(HasNewFailure, false))
        disturb();
    }
  }

  void disturb() {
    switch (GetParam().During) {
    case Disturbance::None:
      return;
    case Disturbance::FirstEndListedLast:
      Site.runFor(ListingDelay);
      releaseHeld();
      return;
    case Disturbance::LeaderLostBetweenEnds:
      Site.runFor(ListingDelay);
      Site.changeLeader();
      releaseHeld();
      return;
    case Disturbance::LeaderLostAfterEnds:
      Site.changeLeader();
      return;
    case Disturbance::StoreDown:
      Site.StoreDown = true;
      Site.runFor(absl::Seconds(2));
      Site.StoreDown = false;
      return;
    case Disturbance::StoreLosesAnswers:
      Site.StoreLosesAnswers = true;
      Site.runFor(absl::Seconds(2));
      Site.StoreLosesAnswers = false;
      return;
    }
  }

  /// Holds up the reports of the worker that has this run.
  void holdBack(const RunId &run) {
    for (int n = 0; n < Racks * WorkersPerRack; ++n) {
      SimSite::Worker &worker =
          Site.worker("w" + std::to_string(n / WorkersPerRack) +
                      std::to_string(n % WorkersPerRack));
      if (worker.Runs.count(run) != 0)
        Held = &worker;
    }
    Held->Partitioned = true;
  }

  void releaseHeld() {
    if (SimSite::Worker *held = std::exchange(Held, nullptr))
      held->Partitioned = false;
  }

  SimSite Site;
  int RunsToFail = 0;
  /// Numbers of the gang's runs of which a member has failed.
  std::set<int64_t> FailedRuns;
  bool HasNewFailure = false;
  SimSite::Worker *Held = nullptr;
};

// Guards against a job that is shown as failed although its gang has attempts
// left, because a run counts once for each of its members that fails.
TEST_P(FailingGangs, RunAgainWhileTheyHaveAttempts) {
  runUntilEnded(Attempts - 1);
  EXPECT_STREQ(jobStateName(Site.state("g")), "completed");
  EXPECT_EQ(FailedRuns.size(), static_cast<size_t>(Attempts - 1));
  EXPECT_TRUE(Site.violations().empty());
}

// Guards against gangs that are started once more after their last attempt.
TEST_P(FailingGangs, FailAfterTheirLastAttempt) {
  runUntilEnded(2 * Attempts);
  EXPECT_STREQ(jobStateName(Site.state("g")), "failed");
  EXPECT_EQ(FailedRuns.size(), static_cast<size_t>(Attempts));
  EXPECT_TRUE(Site.violations().empty());
}

INSTANTIATE_TEST_SUITE_P(
    Table, FailingGangs,
    testing::Values(
        FailureCase{"AllMembers"}, FailureCase{"AllOnOneWorker", SmallTask},
        FailureCase{"OneMember", WholeWorker, RunEnd::Broken},
        FailureCase{"BrokenListedFirst", WholeWorker, RunEnd::Broken,
                    Disturbance::FirstEndListedLast},
        FailureCase{"OneListedLater", WholeWorker, RunEnd::Failed,
                    Disturbance::FirstEndListedLast},
        FailureCase{"LeaderLostBetweenEnds", WholeWorker, RunEnd::Failed,
                    Disturbance::LeaderLostBetweenEnds},
        FailureCase{"LeaderLostAfterEnds", WholeWorker, RunEnd::Failed,
                    Disturbance::LeaderLostAfterEnds},
        FailureCase{"StoreDown", WholeWorker, RunEnd::Failed,
                    Disturbance::StoreDown},
        FailureCase{"StoreLosesAnswers", WholeWorker, RunEnd::Failed,
                    Disturbance::StoreLosesAnswers}),
    [](const auto &test) { return std::string(test.param.Name); });

} // namespace
} // namespace oriolebay::jobs
