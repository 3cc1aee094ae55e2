// Tests of placement on workers of different speeds: the decisions alone, and
// the scheduler under the load that they answer.
#include "jobs/unevenspeeds.h"
#include "simsite.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <ostream>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace oriolebay::jobs {
namespace {

constexpr double UrgentStretch = 1.5;
constexpr WorkerSpeed Usual = {1, true};
constexpr WorkerSpeed Slow = {2.4, true};
constexpr WorkerSpeed NotCompared = {1, false};

struct CostCase {
  const char *Name;
  std::vector<WorkerSpeed> Workers;
  double TightestStretch;
  SpeedDemand Demand;
  /// The expected order of a usual, an unknown and a slow worker; workers with
  /// the same number are equal.
  int UsualPlace;
  int UnknownPlace;
  int SlowPlace;
};

void PrintTo(const CostCase &c, std::ostream *out) { *out << c.Name; }

class SpeedCost : public testing::TestWithParam<CostCase> {};

TEST_P(SpeedCost, OrdersWorkersByDemand) {
  const CostCase &c = GetParam();
  const UnevenSpeeds speeds(c.Workers, c.TightestStretch);
  EXPECT_EQ(speeds.cost(Usual, c.Demand), c.UsualPlace);
  EXPECT_EQ(speeds.cost(NotCompared, c.Demand), c.UnknownPlace);
  EXPECT_EQ(speeds.cost(Slow, c.Demand), c.SlowPlace);
}

INSTANTIATE_TEST_SUITE_P(
    UnevenSpeeds, SpeedCost,
    testing::Values(
        CostCase{"urgent",
                 {Usual, Usual, Slow},
                 UrgentStretch,
                 SpeedDemand::UsualFirst,
                 0,
                 1,
                 2},
        CostCase{"batch",
                 {Usual, Usual, Slow},
                 UrgentStretch,
                 SpeedDemand::SlowFirst,
                 2,
                 1,
                 0},
        CostCase{"batch_without_time_to_spare",
                 {Usual, Usual, Slow},
                 UrgentStretch,
                 SpeedDemand::Any,
                 0,
                 0,
                 0},
        CostCase{"no_worker_is_too_slow",
                 {Usual, {1.3, true}},
                 UrgentStretch,
                 SpeedDemand::UsualFirst,
                 0,
                 0,
                 0},
        CostCase{"no_queue_has_an_objective",
                 {Usual, Slow},
                 std::numeric_limits<double>::infinity(),
                 SpeedDemand::UsualFirst,
                 0,
                 0,
                 0},
        CostCase{
            "no_worker", {}, UrgentStretch, SpeedDemand::UsualFirst, 0, 0, 0}),
    [](const auto &info) { return std::string(info.param.Name); });

struct BatchCase {
  const char *Name;
  absl::Duration TimeLeft;
  SpeedDemand Expected;
};

void PrintTo(const BatchCase &c, std::ostream *out) { *out << c.Name; }

class BatchDemand : public testing::TestWithParam<BatchCase> {};

TEST_P(BatchDemand, FollowsTheTimeLeft) {
  const UnevenSpeeds speeds({Usual, Usual, Slow}, UrgentStretch);
  EXPECT_EQ(speeds.batchDemand(GetParam().TimeLeft, absl::Seconds(10)),
            GetParam().Expected);
}

INSTANTIATE_TEST_SUITE_P(
    UnevenSpeeds, BatchDemand,
    testing::Values(
        BatchCase{"in_time_on_slow_workers", absl::Seconds(25),
                  SpeedDemand::SlowFirst},
        BatchCase{"late_on_slow_workers", absl::Seconds(23), SpeedDemand::Any},
        BatchCase{"late_already", -absl::Seconds(1), SpeedDemand::Any}),
    [](const auto &info) { return std::string(info.param.Name); });

TEST(UnevenSpeeds, WaitsNoLongerThanSlowWorkersTakeMore) {
  const UnevenSpeeds speeds({Usual, Usual, Slow}, UrgentStretch);
  EXPECT_NEAR(absl::ToDoubleSeconds(speeds.maxWaitForUsual(absl::Seconds(10))),
              14, 1e-6);
  EXPECT_NEAR(speeds.averageSlowness(), std::cbrt(2.4), 1e-6);
  EXPECT_EQ(UnevenSpeeds().maxWaitForUsual(absl::Seconds(10)),
            absl::ZeroDuration());
}

struct BadSpeedCase {
  const char *Name;
  endpoints::LearnedSpeed Speed;
};

void PrintTo(const BadSpeedCase &c, std::ostream *out) { *out << c.Name; }

class BadSpeed : public testing::TestWithParam<BadSpeedCase> {};

// Guards against a speed that an agent of another version reports and that is
// not a usable number: it would spoil the comparison of all workers.
TEST_P(BadSpeed, IsIgnoredByName) {
  SimSite site;
  site.addWorker("w0", "r0").SpeedWithGangs = GetParam().Speed;
  site.addWorker("w1", "r0");
  site.runFor(absl::Seconds(2));
  EXPECT_EQ(std::count_if(site.Log.begin(), site.Log.end(),
                          [](const Decision &d) {
                            return d.What == Decision::Kind::SpeedIgnored &&
                                   d.Worker == "w0";
                          }),
            1);
  EXPECT_EQ(site.scheduler().speedSummary().Known, 0);
}

constexpr double NotANumber = std::numeric_limits<double>::quiet_NaN();

INSTANTIATE_TEST_SUITE_P(
    UnevenSpeeds, BadSpeed,
    testing::Values(BadSpeedCase{"not_a_number", {NotANumber, 3}},
                    BadSpeedCase{"huge", {300, 3}},
                    BadSpeedCase{"tiny", {-300, 3}},
                    BadSpeedCase{"negative_count", {0.5, -1}},
                    BadSpeedCase{"count_not_a_number", {0.5, NotANumber}}),
    [](const auto &info) { return std::string(info.param.Name); });

/// Something that happens to the site after it has learned speeds for a while.
struct UnevenSiteCase {
  const char *Name;
  std::function<void(SimSite &)> Disturb;
};

void PrintTo(const UnevenSiteCase &c, std::ostream *out) { *out << c.Name; }

class UnevenSite : public testing::TestWithParam<UnevenSiteCase> {
protected:
  static constexpr int Racks = 4;
  static constexpr int WorkersPerRack = 6;
  static constexpr double UsualSlowness = 0.7;
  static constexpr double SlowSlowness = 1.7;
  static constexpr int64_t UrgentMs = 2000;
  static constexpr int64_t BatchMs = 8000;

  UnevenSite() {
    configure();
    for (int r = 0; r < Racks; ++r)
      for (int w = 0; w < WorkersPerRack; ++w)
        addWorker(r, w);
    Site.runFor(absl::Milliseconds(1100));
  }

  void configure() {
    core::SiteConfig config;
    config.Version = 2;
    config.Queues = {makeQueue("urgent", UrgentStretch, 250),
                     makeQueue("batch", 3, 1000)};
    Site.configure(config);
  }

  void addWorker(int rack, int n) {
    const std::string id = "w" + std::to_string(rack) + std::to_string(n);
    Site.addWorker(id, "r" + std::to_string(rack), {128000, 524288, 8})
        .Slowness = (rack + n) % 3 == 0 ? SlowSlowness : UsualSlowness;
  }

  void submitGang(const std::string &id, const char *queue, int members,
                  int64_t accelerators, int64_t estimateMs, int priority) {
    core::StepSpec step;
    step.Count = members;
    step.PerTask = {15000, 60000, accelerators};
    step.EstimateMs = estimateMs;
    step.Gang = true;
    core::JobSpec spec = jobOf(id, step);
    spec.Queue = queue;
    Site.submit(spec, priority);
  }

  /// Submits a batch gang each 2 s, and an urgent one each second. About a
  /// third of the site is in use.
  void playLoad(const std::string &prefix, int seconds) {
    for (int n = 0; n < seconds; ++n) {
      if (n % 2 == 0)
        submitGang(prefix + "batch" + std::to_string(n), "batch", 3, 4, BatchMs,
                   1);
      submitGang(prefix + "urgent" + std::to_string(n), "urgent", 2 + n % 3,
                 n % 2 == 0 ? 8 : 2, UrgentMs, 0);
      Site.runFor(absl::Seconds(1));
    }
  }

  /// Share of the urgent jobs that end within the callers' objective, which
  /// counts the work on a worker of average speed.
  double shareInTime(const std::string &prefix, int seconds) const {
    const absl::Duration objective =
        absl::Milliseconds(UrgentMs) * UrgentStretch + absl::Milliseconds(250);
    int inTime = 0;
    for (int n = 0; n < seconds; ++n) {
      const auto took =
          Site.turnaroundTime(prefix + "urgent" + std::to_string(n));
      inTime += took && *took <= objective ? 1 : 0;
    }
    return static_cast<double>(inTime) / seconds;
  }

  SimSite Site;
};

// Guards against urgent gangs that are late on a site with free capacity,
// because one of their members runs on a slow worker: no worker's speed was
// learned from gangs, and batch gangs held the fast workers.
TEST_P(UnevenSite, ServesUrgentGangsInTime) {
  constexpr int Seconds = 20;
  playLoad("before-", Seconds);
  GetParam().Disturb(Site);
  playLoad("between-", 5);
  playLoad("after-", Seconds);
  ASSERT_TRUE(Site.runUntilAllEnded(absl::Seconds(60)));
  EXPECT_GE(shareInTime("after-", Seconds), 0.9);
  EXPECT_TRUE(Site.violations().empty()) << Site.violations().front();
}

void forgetSpeeds(SimSite &site) {
  for (int r = 0; r < 4; ++r)
    for (int w = 0; w < 6; ++w)
      site.worker("w" + std::to_string(r) + std::to_string(w))
          .SpeedWithGangs = {};
}

INSTANTIATE_TEST_SUITE_P(
    UnevenSpeeds, UnevenSite,
    testing::Values(UnevenSiteCase{"undisturbed", [](SimSite &) {}},
                    UnevenSiteCase{"leader_changes",
                                   [](SimSite &site) { site.changeLeader(); }},
                    UnevenSiteCase{"leader_and_agents_are_replaced",
                                   [](SimSite &site) {
                                     forgetSpeeds(site);
                                     site.changeLeader();
                                   }},
                    UnevenSiteCase{
                        "usual_worker_turns_slow",
                        [](SimSite &site) { site.worker("w01").Slowness = 5; }},
                    UnevenSiteCase{"slow_worker_recovers",
                                   [](SimSite &site) {
                                     site.worker("w00").Slowness = 0.7;
                                   }}),
    [](const auto &info) { return std::string(info.param.Name); });

/// A site where w0 to w3 are known to be slow and w4 to w7 to be of usual
/// speed. Each worker holds one task of an urgent gang.
class KnownSpeeds : public testing::Test {
protected:
  KnownSpeeds() {
    core::SiteConfig config;
    config.Version = 2;
    config.Queues.push_back(makeQueue("q", UrgentStretch, 250));
    config.Organisations.push_back({"guaranteed", {}, 64});
    Site.configure(config);
    for (int n = 0; n < 8; ++n)
      addWorker("w" + std::to_string(n), n < 4 ? 2.4 : 1);
    Site.runFor(absl::Milliseconds(1100));
  }

  void addWorker(const std::string &id, double slowness) {
    SimSite::Worker &worker = Site.addWorker(id, "r0");
    worker.SpeedWithGangs = {std::log(slowness), 12};
    worker.Slowness = slowness;
  }

  void submitGang(const std::string &id, int members, int64_t estimateMs,
                  int priority, const std::string &organisation = "org-a") {
    core::StepSpec step;
    step.Count = members;
    step.PerTask = {1000, 1000, 8};
    step.EstimateMs = estimateMs;
    step.Gang = true;
    Site.submit(jobOf(id, step, organisation), priority);
  }

  SimSite Site;
};

// Guards against an urgent gang that starts on slow workers although usual ones
// are about to become free: it would end later.
TEST_F(KnownSpeeds, UrgentGangWaitsForUsualWorkersWhereItEndsSooner) {
  submitGang("first", 4, 1000, 0);
  Site.runFor(absl::Milliseconds(500));
  submitGang("second", 4, 2000, 0);
  Site.runFor(absl::Milliseconds(100));
  EXPECT_TRUE(Site.workersOf("second").empty());
  EXPECT_EQ(std::count_if(Site.Log.begin(), Site.Log.end(),
                          [](const Decision &d) {
                            return d.What == Decision::Kind::Waiting &&
                                   d.Texts.at("reason") ==
                                       waitReasonName(WaitReason::SlowWorkers);
                          }),
            1);
  ASSERT_TRUE(Site.runUntilAllEnded(absl::Seconds(10)));
  EXPECT_LE(*Site.turnaroundTime("second"), absl::Milliseconds(3250));
}

// Guards against a wait for workers of usual speed that is longer than what it
// gains: the usual workers are busy for a minute with urgent work.
TEST_F(KnownSpeeds, UrgentGangStartsOnSlowWorkersWhereItEndsSooner) {
  submitGang("first", 4, 60000, 0);
  Site.runFor(absl::Milliseconds(500));
  submitGang("second", 4, 2000, 0);
  Site.runFor(absl::Milliseconds(100));
  EXPECT_EQ(Site.workersOf("second"),
            (std::multiset<std::string>{"w0", "w1", "w2", "w3"}));
}

// Guards against work within a guarantee that waits for usual workers for
// longer than it may wait at all, while slow ones are free.
TEST_F(KnownSpeeds, GuaranteedGangStartsOnSlowWorkersInTime) {
  submitGang("first", 4, 9000, 0, "guaranteed");
  Site.runFor(absl::Milliseconds(500));
  submitGang("second", 4, 20000, 0, "guaranteed");
  Site.runFor(SchedulerPolicy().ReclaimAfter + absl::Milliseconds(100));
  EXPECT_EQ(Site.workersOf("second"),
            (std::multiset<std::string>{"w0", "w1", "w2", "w3"}));
}

// Guards against work of others that is lost without need: usual workers are
// freed for work within a guarantee at any cost although slow ones are free.
TEST_F(KnownSpeeds, GuaranteedGangStopsLittleForUsualWorkers) {
  submitGang("on-slow", 4, 60000, 1);
  submitGang("on-usual", 4, 60000, 1);
  Site.runFor(absl::Seconds(20));
  Site.cancel("on-slow");
  Site.runFor(absl::Seconds(1));
  const double lostBefore = Site.lostWork();
  submitGang("j", 4, 500, 0, "guaranteed");
  Site.runFor(absl::Seconds(3));
  EXPECT_EQ(Site.lostWork(), lostBefore);
  EXPECT_TRUE(Site.waitTime("j"));
}

// Guards against a gang that never starts because the usual workers could not
// hold it even if they were empty.
TEST_F(KnownSpeeds, GangThatNeedsSlowWorkersStartsAtOnce) {
  submitGang("j", 6, 2000, 0);
  Site.runFor(absl::Milliseconds(100));
  EXPECT_EQ(Site.workersOf("j").size(), 6u);
}

// Guards against batch work that holds usual workers although it is in time on
// slow ones.
TEST_F(KnownSpeeds, BatchGangTakesSlowWorkersIfItIsInTimeThere) {
  core::SiteConfig config;
  config.Version = 3;
  config.Queues = {makeQueue("q", 3, 0), makeQueue("urgent", 1.5, 0)};
  Site.configure(config);
  submitGang("j", 4, 8000, 1);
  Site.runFor(absl::Milliseconds(100));
  EXPECT_EQ(Site.workersOf("j"),
            (std::multiset<std::string>{"w0", "w1", "w2", "w3"}));
}

} // namespace
} // namespace oriolebay::jobs
