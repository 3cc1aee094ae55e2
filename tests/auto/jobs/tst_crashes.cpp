// Tasks that crash the workers that start them.
#include "simsite.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace oriolebay::jobs {
namespace {

core::StepSpec step(int count, int64_t accelerators, int64_t estimateMs,
                    bool gang = false) {
  core::StepSpec s;
  s.Count = count;
  s.PerTask = {1000, 1000, accelerators};
  s.EstimateMs = estimateMs;
  s.Gang = gang;
  return s;
}

/// A site of workers whose jobs named "bad..." have a first task that crashes
/// each worker that starts it.
class CrashSite : public SimSite {
public:
  explicit CrashSite(int workers) {
    for (int n = 0; n < workers; ++n)
      addWorker("w" + std::to_string(n), "r" + std::to_string(n / 3));
    CrashesWorker = [](const core::TaskId &id) {
      return id.Job.rfind("bad", 0) == 0 && id.Index == 0;
    };
    runFor(absl::Milliseconds(600));
  }
};

void expectKept(const SimSite &site) {
  EXPECT_TRUE(site.violations().empty()) << site.violations().front();
}

// Guards against a task that takes the site's workers down one after another.
TEST(CrashingTask, IsGivenUpAfterTwoWorkersOfDifferentHosts) {
  CrashSite site(6);
  site.submit(jobOf("bad", step(2, 8, 3000)));
  site.submit(jobOf("clean", step(2, 8, 3000)));
  ASSERT_TRUE(site.runUntilOver(absl::Seconds(30)));
  EXPECT_EQ(site.state("bad"), JobState::Failed);
  EXPECT_EQ(site.state("clean"), JobState::Completed);
  EXPECT_EQ(site.crashesUnder("bad.0.0.0"), 2);
  expectKept(site);
}

// Guards against a caller who cannot learn why the job has failed.
TEST(CrashingTask, ItsJobsEndSaysWhy) {
  CrashSite site(6);
  site.submit(jobOf("bad", step(1, 8, 3000)));
  ASSERT_TRUE(site.runUntilOver(absl::Seconds(30)));
  const auto end =
      std::find_if(site.Log.begin(), site.Log.end(), [](const Decision &d) {
        return d.What == Decision::Kind::JobEnded;
      });
  ASSERT_NE(end, site.Log.end());
  ASSERT_EQ(end->Texts.count("cause"), 1u);
  EXPECT_EQ(end->Texts.at("cause"), "bad.0.0.0 crashed 2 workers");
}

// Guards against a task that no other host can try, and that is tried for ever.
TEST(CrashingTask, IsGivenUpWhereOnlyOneHostCanHoldIt) {
  CrashSite site(1);
  site.submit(jobOf("bad", step(1, 8, 1000)));
  ASSERT_TRUE(site.runUntilOver(absl::Seconds(30)));
  EXPECT_EQ(site.state("bad"), JobState::Failed);
  EXPECT_LE(site.crashesUnder("bad.0.0.0"), 3);
  expectKept(site);
}

TEST(CrashingTask, EndsItsWholeGang) {
  CrashSite site(6);
  site.submit(jobOf("bad", step(4, 8, 3000, true)));
  site.submit(jobOf("clean", step(2, 8, 3000, true)));
  ASSERT_TRUE(site.runUntilOver(absl::Seconds(30)));
  EXPECT_EQ(site.state("bad"), JobState::Failed);
  EXPECT_EQ(site.state("clean"), JobState::Completed);
  EXPECT_LE(site.crashesUnder("bad.0.0.0"), 3);
  expectKept(site);
}

TEST(CrashingTask, OfAJobThatWasCancelledIsNotStartedAgain) {
  CrashSite site(6);
  site.submit(jobOf("bad", step(1, 8, 3000)));
  site.runFor(absl::Milliseconds(100));
  site.cancel("bad");
  site.runFor(absl::Seconds(10));
  EXPECT_EQ(site.state("bad"), JobState::Cancelled);
  EXPECT_EQ(site.crashesUnder("bad.0.0.0"), 1);
}

// Guards against jobs that fail because their tasks stood beside one that
// crashes its workers.
TEST(CrashingTask, NeighboursAreNotGivenUp) {
  CrashSite site(4);
  for (int n = 0; n < 3; ++n) {
    site.submit(jobOf("bad" + std::to_string(n), step(2, 1, 2000)));
    site.submit(jobOf("clean" + std::to_string(n), step(9, 1, 2000)));
  }
  ASSERT_TRUE(site.runUntilOver(absl::Seconds(60)));
  for (int n = 0; n < 3; ++n) {
    EXPECT_EQ(site.state("bad" + std::to_string(n)), JobState::Failed) << n;
    EXPECT_EQ(site.state("clean" + std::to_string(n)), JobState::Completed)
        << n;
  }
  expectKept(site);
}

// Guards against a second crash that again cannot tell whose fault it was: what
// may have crashed a worker is tried apart from what has just begun elsewhere.
TEST(CrashingTask, SuspectsAreTriedApart) {
  CrashSite site(4);
  site.submit(jobOf("bad", step(1, 1, 2000)));
  site.submit(jobOf("clean", step(7, 1, 2000)));
  ASSERT_TRUE(site.runUntilOver(absl::Seconds(60)));
  std::vector<std::string> suspectsOfSecond;
  std::string firstWorker;
  for (const Decision &d : site.Log) {
    if (d.What != Decision::Kind::RunCrashedWorker)
      continue;
    if (firstWorker.empty())
      firstWorker = d.Worker;
    if (d.Worker != firstWorker)
      suspectsOfSecond.push_back(d.Task);
  }
  EXPECT_EQ(suspectsOfSecond, std::vector<std::string>{"bad.0.0.0"});
}

// Guards against work that is lost with a suspect's worker although another one
// stands empty.
TEST(CrashingTask, SuspectIsTriedOnAnEmptyWorkerWhereThereIsOne) {
  CrashSite site(4);
  core::StepSpec spread = step(2, 4, 20000);
  spread.MaxPerWorker = 1;
  site.submit(jobOf("long", spread));
  site.runFor(absl::Seconds(2));
  site.submit(jobOf("bad", step(1, 1, 2000)));
  site.runFor(absl::Seconds(5));
  EXPECT_EQ(site.state("bad"), JobState::Failed);
  const auto startsOfLong =
      std::count_if(site.Log.begin(), site.Log.end(), [](const Decision &d) {
        return d.What == Decision::Kind::Placed && d.Job == "long";
      });
  // Two, and one more as the first crash could not be foreseen.
  EXPECT_EQ(startsOfLong, 3);
}

// Guards against a task that is taken for the cause for good because it
// happened to stand on workers that crashed, once each time it was started
// anew.
TEST(CrashingTask, SuspectThatItsWorkerOutlivesIsCleared) {
  CrashSite site(4);
  site.submit(jobOf("clean", step(1, 8, 4000)));
  for (int n = 0; n < 4; ++n) {
    site.runFor(absl::Milliseconds(100));
    const std::multiset<std::string> places = site.placesOf("clean");
    ASSERT_EQ(places.size(), 1u);
    site.fall(*places.begin());
    site.runFor(absl::Milliseconds(2500));
  }
  ASSERT_TRUE(site.runUntilOver(absl::Seconds(30)));
  EXPECT_EQ(site.state("clean"), JobState::Completed);
}

// Guards against jobs that fail because all workers crash at once, twice.
TEST(CrashingTask, CrashesOfAllWorkersAtOnceFailNoJob) {
  CrashSite site(6);
  for (int n = 0; n < 6; ++n)
    site.submit(jobOf("clean" + std::to_string(n), step(2, 4, 5000)));
  for (int wave = 0; wave < 2; ++wave) {
    site.runFor(absl::Milliseconds(200));
    for (int w = 0; w < 6; ++w)
      site.fall("w" + std::to_string(w) + std::string(wave, '\''));
    site.runFor(absl::Milliseconds(4000));
  }
  ASSERT_TRUE(site.runUntilOver(absl::Seconds(60)));
  for (int n = 0; n < 6; ++n)
    EXPECT_EQ(site.state("clean" + std::to_string(n)), JobState::Completed);
}

enum class LeaderChange {
  BeforeTheCrash,
  BeforeItIsNoticed,
  AfterItIsNoticed,
  WhileItIsNotRecorded,
  AfterEachCrash
};

struct ChangeCase {
  const char *Name;
  LeaderChange When;
};

void PrintTo(const ChangeCase &c, std::ostream *out) { *out << c.Name; }

class CrashAndLeaderChange : public testing::TestWithParam<ChangeCase> {};

// Guards against a count of crashes that a new leader begins anew, or takes
// twice.
TEST_P(CrashAndLeaderChange, KeepTheCount) {
  CrashSite site(6);
  const LeaderChange when = GetParam().When;
  site.submit(jobOf("bad", step(1, 8, 3000)));
  const auto changeAt = [&](absl::Duration after) {
    site.runFor(after);
    site.changeLeader();
  };
  switch (when) {
  case LeaderChange::BeforeTheCrash:
    site.changeLeader();
    break;
  case LeaderChange::BeforeItIsNoticed:
    changeAt(absl::Milliseconds(100));
    break;
  case LeaderChange::AfterItIsNoticed:
    changeAt(absl::Milliseconds(490));
    break;
  case LeaderChange::WhileItIsNotRecorded:
    site.runFor(absl::Milliseconds(400));
    site.StoreDown = true;
    changeAt(absl::Milliseconds(200));
    site.StoreDown = false;
    break;
  case LeaderChange::AfterEachCrash:
    for (int n = 0; n < 10; ++n)
      changeAt(absl::Milliseconds(490));
  }
  ASSERT_TRUE(site.runUntilOver(absl::Seconds(60)));
  EXPECT_EQ(site.state("bad"), JobState::Failed);
  EXPECT_LE(site.crashesUnder("bad.0.0.0"), 3);
  expectKept(site);
}

INSTANTIATE_TEST_SUITE_P(
    Table, CrashAndLeaderChange,
    testing::Values(
        ChangeCase{"before_the_crash", LeaderChange::BeforeTheCrash},
        ChangeCase{"before_it_is_noticed", LeaderChange::BeforeItIsNoticed},
        ChangeCase{"after_it_is_noticed", LeaderChange::AfterItIsNoticed},
        ChangeCase{"while_it_is_not_recorded",
                   LeaderChange::WhileItIsNotRecorded},
        ChangeCase{"after_each_crash", LeaderChange::AfterEachCrash}),
    [](const auto &test) { return std::string(test.param.Name); });

} // namespace
} // namespace oriolebay::jobs
