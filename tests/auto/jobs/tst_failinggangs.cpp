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
  /// The store is down when the ends are listed, so that their count is written
  /// later.
  StoreDown,
  /// The same, and the leader is replaced before the count is written.
  LeaderLostWithStoreDown,
  /// The answer to the write of the count is lost.
  StoreLosesAnswers,
  /// The same, and the leader is replaced before it has read the store again.
  LeaderLostWithAnswers
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
  bool isStoreDown() const {
    return During == Disturbance::StoreDown ||
           During == Disturbance::LeaderLostWithStoreDown;
  }
  bool losesAnswers() const {
    return During == Disturbance::StoreLosesAnswers ||
           During == Disturbance::LeaderLostWithAnswers;
  }
  size_t workersPerRun() const { return PerTask == WholeWorker ? Members : 1; }
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
      if (FailedRuns.insert(run).second)
        WorkersOfFailedRuns.insert(workerCount());
      HasNewFailure = true;
      Site.StoreDown = GetParam().isStoreDown();
      Site.StoreLosesAnswers = GetParam().losesAnswers();
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
      EXPECT_EQ(recordedFailures(), FailedRuns.size());
      return;
    case Disturbance::StoreDown:
    case Disturbance::StoreLosesAnswers:
      Site.runFor(absl::Seconds(2));
      mendStore();
      return;
    case Disturbance::LeaderLostWithStoreDown:
      Site.changeLeader();
      EXPECT_EQ(recordedFailures(), FailedRuns.size() - 1);
      mendStore();
      return;
    case Disturbance::LeaderLostWithAnswers:
      Site.changeLeader();
      EXPECT_EQ(recordedFailures(), FailedRuns.size());
      mendStore();
      return;
    }
  }

  void mendStore() {
    Site.StoreDown = false;
    Site.StoreLosesAnswers = false;
  }

  /// How often the gang has failed, as far as a new leader knows.
  size_t recordedFailures() {
    return static_cast<size_t>(
        Site.scheduler().progress("g")->Tasks.at(0)[0][0].Failed);
  }

  size_t workerCount() const {
    const std::multiset<std::string> workers = Site.workersOf("g");
    return std::set<std::string>(workers.begin(), workers.end()).size();
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
  /// On how many workers each of them worked.
  std::set<size_t> WorkersOfFailedRuns;
  bool HasNewFailure = false;
  SimSite::Worker *Held = nullptr;
};

// Guards against a job that is shown as failed although its gang has attempts
// left, because a run counts once for each of its members that fails.
TEST_P(FailingGangs, RunAgainWhileTheyHaveAttempts) {
  runUntilEnded(Attempts - 1);
  EXPECT_STREQ(jobStateName(Site.state("g")), "completed");
  EXPECT_EQ(FailedRuns.size(), static_cast<size_t>(Attempts - 1));
  EXPECT_EQ(WorkersOfFailedRuns, std::set{GetParam().workersPerRun()});
  EXPECT_TRUE(Site.violations().empty());
}

// Guards against gangs that are started once more after their last attempt.
TEST_P(FailingGangs, FailAfterTheirLastAttempt) {
  runUntilEnded(2 * Attempts);
  EXPECT_STREQ(jobStateName(Site.state("g")), "failed");
  EXPECT_EQ(FailedRuns.size(), static_cast<size_t>(Attempts));
  EXPECT_EQ(WorkersOfFailedRuns, std::set{GetParam().workersPerRun()});
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
        FailureCase{"LeaderLostWithStoreDown", WholeWorker, RunEnd::Failed,
                    Disturbance::LeaderLostWithStoreDown},
        FailureCase{"StoreLosesAnswers", WholeWorker, RunEnd::Failed,
                    Disturbance::StoreLosesAnswers},
        FailureCase{"LeaderLostWithAnswers", WholeWorker, RunEnd::Failed,
                    Disturbance::LeaderLostWithAnswers}),
    [](const auto &test) { return std::string(test.param.Name); });

} // namespace
} // namespace oriolebay::jobs
