#include "simsite.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace oriolebay::jobs {
namespace {

core::StepSpec step(int count, core::Resources each, int64_t estimateMs,
                    bool gang = false, bool sameRack = false) {
  core::StepSpec s;
  s.Count = count;
  s.PerTask = each;
  s.EstimateMs = estimateMs;
  s.Gang = gang;
  s.SameRack = sameRack;
  return s;
}

/// A site of racks with three workers each, all reported.
void addRacks(SimSite &site, int racks) {
  for (int r = 0; r < racks; ++r)
    for (int w = 0; w < 3; ++w)
      site.addWorker("w" + std::to_string(r) + std::to_string(w),
                     "r" + std::to_string(r));
  site.runFor(absl::Milliseconds(600));
}

TEST(JobScheduler, RunsAJobOfStepsInOrder) {
  SimSite site;
  addRacks(site, 1);
  core::JobSpec job = jobOf("j", step(4, {500, 256, 0}, 900));
  core::StepSpec second = step(20, {2000, 1024, 0}, 2000);
  second.After = {0};
  job.Steps.push_back(second);
  site.submit(job);
  EXPECT_EQ(site.placesOf("j").size(), 4u);
  ASSERT_TRUE(site.runUntilOver(absl::Seconds(10)));
  EXPECT_EQ(site.state("j"), JobState::Completed);
  EXPECT_GE(*site.took("j"), absl::Milliseconds(2900));
  EXPECT_LE(*site.took("j"), absl::Milliseconds(3100));
  EXPECT_TRUE(site.violations().empty()) << site.violations().front();
}

// All machines lose power right after a gang's first end came in, while the
// store is down. Users saw the gang run twice: the other members' ends were
// acknowledged at once, because the first one had made them done in memory,
// and the workers forgot ends that no record held.
TEST(JobScheduler, NoEndIsAcknowledgedBeforeItIsRecorded) {
  SimSite site;
  addRacks(site, 1);
  site.submit(jobOf("g", step(6, {1000, 100, 4}, 1000, true)));
  site.runFor(absl::Milliseconds(900));
  site.StoreDown = true;
  site.runFor(absl::Milliseconds(600));
  for (const char *life : {"w00", "w01", "w02"})
    EXPECT_EQ(site.worker(life).SeenUpto, 0) << life;
  site.changeLeader();
  site.StoreDown = false;
  ASSERT_TRUE(site.runUntilOver(absl::Seconds(10)));
  EXPECT_EQ(site.state("g"), JobState::Completed);
  EXPECT_TRUE(site.violations().empty()) << site.violations().front();
}

// Machine and leader die together; the machine comes back with a new worker.
// Users waited 18 s for a gang that ran there: the new leader knew the old
// life from the records only and could not tell that it had ended.
TEST(JobScheduler, NewLifeAtTheSameAgentEndsTheRecordedOne) {
  SimSite site;
  addRacks(site, 1);
  site.submit(jobOf("g", step(3, {1000, 100, 8}, 3000, true)));
  site.runFor(absl::Seconds(1));
  site.crash("w01", "w01b");
  site.changeLeader();
  ASSERT_TRUE(site.runUntilOver(absl::Seconds(6)));
  EXPECT_EQ(site.state("g"), JobState::Completed);
  EXPECT_TRUE(site.violations().empty()) << site.violations().front();
}

// Guards against a task that runs twice: its start is on its way to a worker
// that begins to drain, and is taken for one that was never ordered.
TEST(JobScheduler, StartOnItsWayToADrainingWorkerIsSettledFirst) {
  SimSite site;
  addRacks(site, 1);
  for (const char *life : {"w00", "w01", "w02"})
    site.worker(life).LosesOrders = true;
  site.submit(jobOf("j", step(1, {1000, 100, 8}, 1000)));
  const auto starts = [&site] {
    return std::count_if(
        site.Log.begin(), site.Log.end(),
        [](const Decision &d) { return d.What == Decision::Kind::Placed; });
  };
  site.runFor(absl::Milliseconds(50));
  ASSERT_EQ(starts(), 1);
  const std::string life = site.Log.back().Worker;
  site.leave(life, absl::Seconds(20));
  site.runFor(absl::Seconds(2));
  EXPECT_EQ(starts(), 1);
  for (const char *each : {"w00", "w01", "w02"})
    site.worker(each).LosesOrders = false;
  ASSERT_TRUE(site.runUntilOver(absl::Seconds(6)));
  EXPECT_EQ(site.state("j"), JobState::Completed);
}

// Guards against a task that runs twice: a report of a worker's earlier life,
// overtaken by the next one's, is taken for the end of that.
TEST(JobScheduler, ReportOfAnEarlierLifeThatComesLateEndsNothing) {
  SimSite site;
  site.addWorker("w", "r");
  site.runFor(absl::Milliseconds(600));
  endpoints::WorkerReport late;
  late.Worker = site.worker("w").State;
  late.Agent = site.worker("w").Agent;
  late.AgentAddress = late.Agent;
  site.crash("w", "next");
  site.worker("next").Sequence = 100;
  late.Sequence = 50;
  site.runFor(absl::Milliseconds(600));
  site.submit(jobOf("j", step(1, {1000, 100, 8}, 2000)));
  site.runFor(absl::Milliseconds(500));
  ASSERT_EQ(site.placesOf("j").size(), 1u);
  site.scheduler().onReport(late, site.now());
  ASSERT_TRUE(site.runUntilOver(absl::Seconds(6)));
  EXPECT_EQ(site.starts(), 1);
  EXPECT_TRUE(site.violations().empty()) << site.violations().front();
}

// Guards against room that stays taken by a run whose end nobody will list.
TEST(JobScheduler, RunThatIsAbsentWithoutAnEndGivesItsRoomBack) {
  SimSite site;
  site.addWorker("w", "r");
  site.runFor(absl::Milliseconds(600));
  site.submit(jobOf("gone", step(1, {1000, 100, 8}, 3000)));
  site.runFor(absl::Milliseconds(500));
  site.worker("w").Runs.clear();
  site.cancel("gone");
  site.submit(jobOf("next", step(1, {1000, 100, 8}, 1000)));
  ASSERT_TRUE(site.runUntilOver(absl::Seconds(5)));
  EXPECT_EQ(site.state("next"), JobState::Completed);
}

// Guards against a start that was decided on before its worker had less.
TEST(JobScheduler, StartRecordedWhileItsWorkerShrinksGoesElsewhere) {
  SimSite site;
  addRacks(site, 1);
  site.StoreDown = true;
  site.submit(jobOf("j", step(3, {1000, 100, 8}, 1000)));
  site.shrink("w01", {32000, 65536, 4});
  site.StoreDown = false;
  ASSERT_TRUE(site.runUntilOver(absl::Seconds(6)));
  EXPECT_EQ(site.state("j"), JobState::Completed);
  EXPECT_TRUE(site.violations().empty()) << site.violations().front();
}

// Guards against runs that are stopped, and starts beyond what is left, where a
// worker shrinks below what it runs: what it runs stays, and takes its room.
TEST(JobScheduler, ShrunkWorkerKeepsWhatItRunsAndGetsNoMore) {
  SimSite site;
  site.addWorker("w", "r");
  site.runFor(absl::Milliseconds(600));
  site.submit(jobOf("runs", step(3, {1000, 100, 2}, 3000)));
  site.runFor(absl::Milliseconds(500));
  site.shrink("w", {32000, 65536, 4});
  site.submit(jobOf("waits", step(1, {1000, 100, 2}, 500)));
  site.runFor(absl::Seconds(2));
  EXPECT_EQ(site.placesOf("runs").size(), 3u);
  EXPECT_EQ(site.placesOf("waits").size(), 0u);
  ASSERT_TRUE(site.runUntilOver(absl::Seconds(6)));
  EXPECT_EQ(site.starts(), 4);
  EXPECT_TRUE(site.violations().empty()) << site.violations().front();
}

// Guards against room that has come back and stays unused.
TEST(JobScheduler, GrownWorkerIsUsedAtOnce) {
  SimSite site;
  site.addWorker("w", "r", {32000, 65536, 1});
  site.runFor(absl::Milliseconds(600));
  site.submit(jobOf("j", step(1, {1000, 100, 8}, 1000)));
  site.runFor(absl::Milliseconds(500));
  site.TickEveryMs = 10000;
  site.shrink("w", {32000, 65536, 8});
  EXPECT_EQ(site.placesOf("j").size(), 1u);
}

// All processes are killed at once, the workers run on. Users saw tasks run
// twice: an agent that had just started knew no worker yet, and the new leader
// took its empty report to mean that the worker it had before was gone.
TEST(JobScheduler, AgentThatKnowsNoWorkerYetEndsNothing) {
  SimSite site;
  addRacks(site, 1);
  site.submit(jobOf("g", step(3, {1000, 100, 8}, 3000, true)));
  site.runFor(absl::Seconds(1));
  site.changeLeader();
  endpoints::WorkerReport empty;
  empty.Agent = site.worker("w01").Agent;
  empty.AgentAddress = empty.Agent;
  site.scheduler().onReport(empty, site.now());
  ASSERT_TRUE(site.runUntilOver(absl::Seconds(6)));
  EXPECT_EQ(site.starts(), 3);
  EXPECT_TRUE(site.violations().empty()) << site.violations().front();
}

// Hundreds of workers tell twice a second how far their tasks are. Callers saw
// urgent jobs start late and grants lapse: the leader looked at all that waits
// after each of these reports, though none of them freed any room, and had no
// time left for anything else. The load: a full site where nothing ends.
TEST(JobScheduler, ReportsWithoutNewsAreNotDecidedOn) {
  SimSite site;
  addRacks(site, 10);
  site.submit(jobOf("all", step(30, {32000, 1000, 8}, 60000)));
  site.runFor(absl::Seconds(2));
  const int64_t before = site.scheduler().passes();
  site.runFor(absl::Seconds(5));
  EXPECT_EQ(site.scheduler().passes(), before);
}

// As above, with a job that waits. Time alone may let it start, so that it is
// looked at with each tick, but not with each report.
TEST(JobScheduler, WhatWaitsIsLookedAtWithTicksOnly) {
  SimSite site;
  addRacks(site, 1);
  site.submit(jobOf("all", step(3, {32000, 1000, 8}, 60000)));
  site.runFor(absl::Seconds(2));
  site.submit(jobOf("waits", step(2, {32000, 1000, 8}, 1000, true)));
  site.runFor(absl::Seconds(1));
  JobScheduler &scheduler = site.scheduler();
  const SimSite::Worker &worker = site.worker("w01");
  endpoints::WorkerReport report;
  report.Worker = worker.State;
  report.Agent = worker.Agent;
  report.AgentAddress = worker.Agent;
  report.Sequence = worker.Sequence + 1;
  report.Reachable = true;
  const int64_t before = scheduler.passes();
  scheduler.onReport(report, site.now());
  scheduler.decide(site.now());
  EXPECT_EQ(scheduler.passes(), before);
  scheduler.tick(site.now());
  scheduler.decide(site.now());
  EXPECT_EQ(scheduler.passes(), before + 1);
}

core::SiteConfig guaranteeing(int64_t accelerators) {
  core::SiteConfig config;
  config.Version = 1;
  core::QueueConfig queue;
  queue.Name = "q";
  queue.Service = "service";
  config.Queues.push_back(queue);
  config.Organisations.push_back({"org-a", {}, accelerators});
  return config;
}

// A site full of small batch tasks, and an urgent gang that needs two whole
// workers. Users saw it wait for seconds while the tasks that were stopped for
// it started again at once, dozens of times: the room of the first stop was
// given away before the last one had come.
TEST(JobScheduler, RoomThatIsBeingMadeIsKept) {
  SimSite site;
  site.configure(guaranteeing(16));
  addRacks(site, 2);
  site.submit(jobOf("batch", step(60, {3000, 1000, 1}, 8000)), 2);
  site.runFor(absl::Seconds(3));
  ASSERT_EQ(site.placesOf("batch").size(), 48u);
  site.submit(jobOf("urgent", step(2, {4000, 8000, 8}, 2500, true, true)), 0);
  site.runFor(absl::Seconds(2));
  ASSERT_TRUE(site.waited("urgent").has_value());
  EXPECT_LE(*site.waited("urgent"), absl::Seconds(1));
  EXPECT_LE(site.starts(), 60 + 2 + 16);
  EXPECT_TRUE(site.violations().empty()) << site.violations().front();
}

// Urgent gangs of whole workers come twice a second to a site that batch work
// fills. Their callers saw each of them wait for stops of up to a second, which
// is all that a short job may wait, and batch work thrown away for each: the
// workers of one gang went back to batch work before the next came.
TEST(JobScheduler, WorkersAreKeptEmptyForUrgentWorkThatKeepsComing) {
  SchedulerPolicy policy;
  policy.StopTakes = absl::Milliseconds(900);
  SimSite site(policy);
  site.StopTakes = policy.StopTakes;
  addRacks(site, 10);
  for (int n = 0; n < 3; ++n)
    site.submit(
        jobOf("batch" + std::to_string(n), step(800, {500, 100, 1}, 3000)), 2);
  site.runFor(absl::Seconds(1));
  constexpr int Gangs = 40;
  constexpr int Warm = 20;
  const auto idOf = [](int n) { return "urgent" + std::to_string(n); };
  for (int n = 0; n < Gangs; ++n) {
    site.submit(jobOf(idOf(n), step(2, {4000, 8000, 8}, 1000, true)), 0);
    site.runFor(absl::Milliseconds(500));
  }
  site.runFor(absl::Seconds(3));
  int atOnce = 0;
  for (int n = Warm; n < Gangs; ++n) {
    ASSERT_TRUE(site.waited(idOf(n)).has_value()) << n;
    atOnce += *site.waited(idOf(n)) <= absl::Milliseconds(100) ? 1 : 0;
  }
  EXPECT_GE(atOnce, (Gangs - Warm) * 9 / 10);
  EXPECT_TRUE(site.violations().empty()) << site.violations().front();
}

// Urgent jobs have come and gone, and the leader changes. The new one reads all
// of them back at once and took them for a burst: for half a minute it kept
// workers empty, and a batch gang as wide as the site waited.
TEST(JobScheduler, NewLeaderKeepsNothingEmptyForWhatItReadsBack) {
  SimSite site;
  addRacks(site, 4);
  for (int n = 0; n < 20; ++n) {
    site.submit(jobOf("urgent" + std::to_string(n),
                      step(2, {4000, 8000, 8}, 300, true)),
                0);
    site.runFor(absl::Milliseconds(500));
  }
  ASSERT_TRUE(site.runUntilOver(absl::Seconds(5)));
  site.runFor(absl::Seconds(60));
  site.changeLeader();
  site.runFor(absl::Seconds(2));
  site.submit(jobOf("wide", step(12, {4000, 8000, 8}, 1000, true)), 1);
  site.runFor(absl::Seconds(1));
  ASSERT_TRUE(site.waited("wide").has_value());
}

// A gang fails by its own fault in the only rack that can hold it. Callers saw
// its next run take three times as long: what was looked up while the worker
// that failed it was avoided still held when it was not avoided any more, and
// the gang was spread over two racks.
TEST(JobScheduler, GangThatFailedStaysInTheOnlyRackThatHoldsIt) {
  SimSite site;
  for (const char *life : {"a0", "a1", "a2"})
    site.addWorker(life, "ra");
  for (const char *life : {"b0", "b1"})
    site.addWorker(life, "rb");
  site.FailsItself = [](const core::TaskId &, int64_t run) { return run == 1; };
  site.runFor(absl::Milliseconds(600));
  site.submit(jobOf("g", step(3, {1000, 100, 8}, 1000, true, true)));
  site.runFor(absl::Milliseconds(1800));
  const std::multiset<std::string> second = {"a0", "a1", "a2"};
  EXPECT_EQ(site.placesOf("g"), second);
}

// One worker of many fails all that it starts. Each gang that touched it ended
// whole, was tried again with it among its workers, and used up its attempts:
// callers saw wide jobs fail. The load: gangs as wide as half the site, one
// after another.
TEST(JobScheduler, WideGangsKeepOffAWorkerWhoseLatestRunFailed) {
  SimSite site;
  addRacks(site, 4);
  site.worker("w00").FailsAll = true;
  int failedJobs = 0;
  for (int n = 0; n < 6; ++n) {
    const std::string id = "g" + std::to_string(n);
    site.submit(jobOf(id, step(6, {1000, 100, 8}, 5000, true)), 1, 2);
    ASSERT_TRUE(site.runUntilOver(absl::Seconds(20)));
    failedJobs += site.state(id) == JobState::Completed ? 0 : 1;
  }
  EXPECT_EQ(failedJobs, 0);
  // The first gang found out; the others were spared.
  EXPECT_LE(site.starts(), 6 * 6 + 6);
}

// The leader changes while half of the workers are slow to report to the new
// one. Users saw batch work thrown away for an urgent job although the other
// half stood empty: the new leader took what it knew for all there was.
TEST(JobScheduler, NewLeaderStopsNothingBeforeItKnowsItsWorkers) {
  SimSite site;
  addRacks(site, 2);
  site.submit(jobOf("batch", step(3, {3000, 1000, 8}, 20000)), 2);
  site.runFor(absl::Seconds(1));
  const std::multiset<std::string> busy = site.placesOf("batch");
  ASSERT_EQ(busy.size(), 3u);
  std::vector<std::string> idle;
  for (const char *life : {"w00", "w01", "w02", "w10", "w11", "w12"})
    if (busy.count(life) == 0)
      idle.push_back(life);
  for (const std::string &life : idle)
    site.worker(life).CutOff = true;
  site.changeLeader();
  site.submit(jobOf("urgent", step(2, {4000, 8000, 8}, 4000, true)), 0);
  site.runFor(absl::Milliseconds(700));
  for (const std::string &life : idle)
    site.worker(life).CutOff = false;
  ASSERT_TRUE(site.runUntilOver(absl::Seconds(30)));
  EXPECT_EQ(site.wasted(), 0);
  EXPECT_LE(*site.waited("urgent"), absl::Milliseconds(1500));
}

// Urgent tasks that are no gang, each as wide as a worker, come to a site full
// of batch work. Users saw them wait until batch tasks ended by themselves:
// room was made for gangs only.
TEST(JobScheduler, UrgentTasksThatAreNoGangReclaimRoomToo) {
  SimSite site;
  site.configure(guaranteeing(24));
  addRacks(site, 2);
  site.submit(jobOf("batch", step(60, {3000, 1000, 1}, 8000)), 2);
  site.runFor(absl::Seconds(3));
  site.submit(jobOf("urgent", step(3, {4000, 8000, 8}, 2500)), 0);
  site.runFor(absl::Seconds(1));
  EXPECT_EQ(site.placesOf("urgent").size(), 3u);
  EXPECT_TRUE(site.violations().empty()) << site.violations().front();
}

/// Work that fills a site of one rack when an urgent job comes, and what of it
/// may be stopped. On both users' sites urgent jobs come in waves of twice
/// their usual number while other work fills the workers; up to 2,900
/// core-seconds a day were thrown away for them, a third of what such a day is
/// worth.
// A gang is done with the first member's end; the ends of the others were not
// logged, so that three of four runs of a job seemed to go on for ever.
TEST(JobScheduler, EveryEndOfAGangIsLogged) {
  SimSite site;
  addRacks(site, 1);
  site.submit(jobOf("g", step(4, {1000, 100, 4}, 1000, true)));
  ASSERT_TRUE(site.runUntilOver(absl::Seconds(10)));
  site.runFor(absl::Seconds(2));
  std::set<std::string> ended;
  int64_t counting = 0;
  for (const Decision &d : site.Log)
    if (d.What == Decision::Kind::Ended) {
      ended.insert(d.Task);
      counting += d.input("counts");
    }
  EXPECT_EQ(ended.size(), 4u);
  EXPECT_EQ(counting, 1);
}

struct StopCase {
  const char *Name;
  /// One job a worker, of tasks of eight accelerators each.
  std::vector<core::StepSpec> Fills;
  std::vector<int> Priorities;
  absl::Duration Age;
  core::StepSpec Urgent;
  /// The jobs of Fills that are stopped for it.
  std::set<std::string> Stopped;
};

void PrintTo(const StopCase &c, std::ostream *out) { *out << c.Name; }

core::StepSpec saving(core::StepSpec step) {
  step.Checkpoints = true;
  return step;
}

class StopsForUrgentWork : public ::testing::TestWithParam<StopCase> {};

TEST_P(StopsForUrgentWork, ThrowAwayLessThanLatenessWould) {
  const StopCase &c = GetParam();
  SimSite site;
  core::SiteConfig config = guaranteeing(0);
  config.Queues[0].Stretch = 1.5;
  config.Queues[0].TargetLatencyMs = 250;
  site.configure(config);
  addRacks(site, 1);
  for (size_t n = 0; n < c.Fills.size(); ++n)
    site.submit(jobOf("fill" + std::to_string(n), c.Fills[n]), c.Priorities[n]);
  site.runFor(c.Age);
  ASSERT_EQ(site.starts(), static_cast<int>(c.Fills.size()));
  site.submit(jobOf("urgent", c.Urgent), 0);
  site.runFor(absl::Milliseconds(300));
  std::set<std::string> stopped;
  for (const Decision &d : site.Log)
    if (d.What == Decision::Kind::Stopping)
      stopped.insert(d.Job);
  EXPECT_EQ(stopped, c.Stopped);
  ASSERT_TRUE(site.runUntilOver(absl::Seconds(40)));
  EXPECT_TRUE(site.violations().empty()) << site.violations().front();
}

const core::Resources WholeWorker = {4000, 1000, 8};
const StopCase StopCases[] = {
    // 0.4 s to the first end, and the urgent job has 1.25 s to spare.
    {"waits_for_what_is_about_to_end",
     {step(1, WholeWorker, 3000), step(1, WholeWorker, 6000),
      step(1, WholeWorker, 6000)},
     {2, 2, 2},
     absl::Milliseconds(2600),
     step(1, WholeWorker, 2000),
     {}},
    // Some 200 core-seconds may be lost for the urgent job; 400 would be.
    {"stops_nothing_that_is_worth_more",
     {step(1, WholeWorker, 16000), step(1, WholeWorker, 16000),
      step(1, WholeWorker, 16000)},
     {2, 2, 2},
     absl::Seconds(6),
     step(1, WholeWorker, 500),
     {}},
    {"stops_what_has_just_begun",
     {step(1, WholeWorker, 8000), step(1, WholeWorker, 8000),
      step(1, WholeWorker, 8000)},
     {2, 2, 2},
     absl::Milliseconds(500),
     step(1, WholeWorker, 3000),
     {"fill0"}},
    // What saves its work loses nothing by a stop, though it comes first.
    {"stops_what_saves_its_work",
     {step(1, WholeWorker, 8000), saving(step(1, WholeWorker, 8000)),
      step(1, WholeWorker, 8000)},
     {2, 1, 2},
     absl::Seconds(3),
     step(1, WholeWorker, 3000),
     {"fill1"}},
};

INSTANTIATE_TEST_SUITE_P(Table, StopsForUrgentWork,
                         ::testing::ValuesIn(StopCases),
                         [](const auto &info) { return info.param.Name; });

// An urgent job of three whole workers has small tasks stopped; they end one by
// one. Users saw the room of the first ends go to other small tasks, which were
// then stopped for the same job, up to four times each within 0.2 s, and the
// job began late: while its room was on the way, nothing was kept for it.
//
// All three tasks have to run at once: because the job is within its
// organisation's guarantee, or because the time is too short for waves.
struct OnItsWayCase {
  const char *Name;
  int64_t Guaranteed;
  double Stretch;
};

void PrintTo(const OnItsWayCase &c, std::ostream *out) { *out << c.Name; }

class RoomOnItsWay : public ::testing::TestWithParam<OnItsWayCase> {};

TEST_P(RoomOnItsWay, IsNotGivenAway) {
  SimSite site;
  core::SiteConfig config = guaranteeing(GetParam().Guaranteed);
  config.Queues[0].Stretch = GetParam().Stretch;
  config.Queues[0].TargetLatencyMs = 1000;
  site.configure(config);
  site.StopTakesOf = [](const core::TaskId &id) {
    return absl::Milliseconds(50 + 40 * id.Index);
  };
  addRacks(site, 1);
  for (int n = 0; n < 6; ++n)
    site.submit(
        jobOf("fill" + std::to_string(n), step(8, {1000, 1000, 1}, 9000)), 2);
  site.runFor(absl::Seconds(1));
  const int before = site.starts();
  site.submit(jobOf("urgent", step(3, WholeWorker, 4000)), 0);
  site.runFor(absl::Seconds(2));
  std::map<std::string, int> stops;
  for (const Decision &d : site.Log)
    if (d.What == Decision::Kind::Stopping)
      ++stops[d.Task];
  for (const auto &[task, n] : stops)
    EXPECT_EQ(n, 1) << task;
  EXPECT_EQ(site.starts(), before + 3);
  EXPECT_EQ(site.placesOf("urgent").size(), 3u);
}

INSTANTIATE_TEST_SUITE_P(
    UrgentWork, RoomOnItsWay,
    ::testing::Values(OnItsWayCase{"within_a_guarantee", 24, 2},
                      OnItsWayCase{"no_time_for_waves", 0, 0.75}),
    [](const auto &info) { return info.param.Name; });

core::SiteConfig urgentInTime(double stretch, int64_t targetMs) {
  core::SiteConfig config = guaranteeing(0);
  config.Queues[0].Stretch = stretch;
  config.Queues[0].TargetLatencyMs = targetMs;
  return config;
}

// An urgent step of five whole workers on a site of six, full of batch work.
// Its promise counts it in waves, as it takes more than a quarter of the room:
// two workers at a time are enough. Users saw work of five workers thrown away
// at once for a job that would have been in time with two.
TEST(UrgentWork, WideStepTakesNoMoreFromOthersThanItNeeds) {
  SimSite site;
  site.configure(urgentInTime(1.5, 250));
  addRacks(site, 2);
  for (int n = 0; n < 6; ++n)
    site.submit(jobOf("fill" + std::to_string(n), step(1, WholeWorker, 30000)),
                2);
  site.runFor(absl::Seconds(1));
  site.submit(jobOf("urgent", step(5, WholeWorker, 2000)), 0);
  ASSERT_EQ(site.state("urgent"), JobState::Queued);
  site.runFor(absl::Seconds(13));
  std::set<std::string> stopped;
  for (const Decision &d : site.Log)
    if (d.What == Decision::Kind::Stopping)
      stopped.insert(d.Job);
  EXPECT_LE(stopped.size(), 2u);
  EXPECT_EQ(site.state("urgent"), JobState::Completed);
  // Four waves of two seconds, one and a half times, and a quarter second.
  EXPECT_LE(*site.took("urgent"), absl::Milliseconds(12250));
}

// A wide urgent job waits with seconds to spare; then a small one comes that
// has one. The first worker that comes free must go to the small one, or it is
// late for nothing.
TEST(UrgentWork, ThatHasLeastTimeToSpareComesFirst) {
  SimSite site;
  site.configure(urgentInTime(1.5, 250));
  addRacks(site, 1);
  for (int n = 0; n < 3; ++n)
    site.submit(
        jobOf("fill" + std::to_string(n), step(1, WholeWorker, 4000 + n * 900)),
        0);
  site.runFor(absl::Seconds(3));
  site.submit(jobOf("wide", step(5, WholeWorker, 3000)), 0);
  site.runFor(absl::Milliseconds(100));
  site.submit(jobOf("small", step(1, WholeWorker, 2000)), 0);
  site.runFor(absl::Milliseconds(1300));
  EXPECT_EQ(site.placesOf("small").size(), 1u);
  ASSERT_TRUE(site.runUntilOver(absl::Seconds(30)));
  EXPECT_LE(*site.took("small"), absl::Milliseconds(3250));
  EXPECT_LE(*site.took("wide"), absl::Milliseconds(13750));
}

core::StepSpec gangOf(core::StepSpec step) {
  step.Gang = true;
  return step;
}

struct SickCase {
  const char *Name;
  core::StepSpec Step;
  /// Workers that fail all they start, of three.
  int Sick;
  JobState State;
};

void PrintTo(const SickCase &c, std::ostream *out) { *out << c.Name; }

class SickWorkers : public ::testing::TestWithParam<SickCase> {};

// A worker fails all that it starts and is the only one with room. Users saw a
// job fail for good after half a second: both its attempts went to that worker,
// although the others would have had room a little later.
TEST_P(SickWorkers, DoNotUseUpAttempts) {
  const SickCase &c = GetParam();
  SimSite site;
  addRacks(site, 1);
  for (int n = c.Sick; n < 3; ++n)
    site.submit(jobOf("fill" + std::to_string(n), step(1, WholeWorker, 3000)),
                1);
  site.runFor(absl::Milliseconds(200));
  const std::multiset<std::string> busy = [&] {
    std::multiset<std::string> all;
    for (int n = c.Sick; n < 3; ++n)
      all.merge(site.placesOf("fill" + std::to_string(n)));
    return all;
  }();
  for (const char *life : {"w00", "w01", "w02"})
    site.worker(life).FailsAll = busy.count(life) == 0;
  site.submit(jobOf("j", c.Step), 1, 2);
  ASSERT_TRUE(site.runUntilOver(absl::Seconds(30)));
  EXPECT_EQ(site.state("j"), c.State);
  EXPECT_TRUE(site.violations().empty()) << site.violations().front();
}

const SickCase SickCases[] = {
    {"one_task", step(1, WholeWorker, 1000), 1, JobState::Completed},
    {"several_tasks", step(3, WholeWorker, 1000), 1, JobState::Completed},
    {"gang", gangOf(step(2, {4000, 1000, 4}, 1000)), 1, JobState::Completed},
    // Nothing else could hold it: it must come to its end all the same.
    {"all_workers", step(1, WholeWorker, 1000), 3, JobState::Failed},
};

INSTANTIATE_TEST_SUITE_P(Table, SickWorkers, ::testing::ValuesIn(SickCases),
                         [](const auto &info) { return info.param.Name; });

struct LeavingCase {
  const char *Name;
  core::StepSpec Step;
  /// How long the tasks have run when their worker says that it leaves.
  absl::Duration Age;
  int Stops;
  /// Most work thrown away, in seconds of one task.
  double MostLost;
};

void PrintTo(const LeavingCase &c, std::ostream *out) { *out << c.Name; }

class WorkerLeaves : public ::testing::TestWithParam<LeavingCase> {};

// A worker says that it leaves in 4.5 s and takes its agent along. Users
// saw what ran there start anew some 6 s after it had gone, when a silent
// worker's tasks have certainly ended, 22 to 26 times a day: nobody had
// stopped it.
TEST_P(WorkerLeaves, NothingIsLeftOnIt) {
  const LeavingCase &c = GetParam();
  SimSite site;
  addRacks(site, 1);
  site.submit(jobOf("j", c.Step));
  site.runFor(c.Age);
  ASSERT_EQ(site.starts(), c.Step.Count);
  site.leave(*site.placesOf("j").begin(), absl::Milliseconds(4500));
  ASSERT_TRUE(site.runUntilOver(absl::Seconds(40)));
  int stops = 0;
  int lost = 0;
  for (const Decision &d : site.Log) {
    stops += d.What == Decision::Kind::Stopping ? 1 : 0;
    lost += d.What == Decision::Kind::Settled ? 1 : 0;
  }
  EXPECT_EQ(stops, c.Stops);
  EXPECT_EQ(lost, 0);
  EXPECT_LE(site.wasted(), c.MostLost * 68);
  EXPECT_TRUE(site.violations().empty()) << site.violations().front();
}

const LeavingCase LeavingCases[] = {
    {"lets_end_what_can", step(1, WholeWorker, 4000), absl::Seconds(1), 0, 0},
    {"stops_at_once_what_cannot", step(1, WholeWorker, 12000), absl::Seconds(2),
     1, 3.5},
    {"keeps_the_work_that_is_saved", saving(step(1, WholeWorker, 12000)),
     absl::Seconds(2), 1, 0.1},
    // The other member's end breaks it off at its last checkpoint.
    {"moves_a_gang_whole", gangOf(saving(step(2, WholeWorker, 12000))),
     absl::Seconds(2), 2, 1.0},
};

INSTANTIATE_TEST_SUITE_P(Table, WorkerLeaves, ::testing::ValuesIn(LeavingCases),
                         [](const auto &info) { return info.param.Name; });

// A worker takes all it is told and answers in time, but its tasks do not get
// on. Users waited for it until it came to itself: for an urgent job of two
// seconds, six.
TEST(JobScheduler, RunsThatStandStillAreStartedElsewhere) {
  for (bool gang : {false, true}) {
    SimSite site;
    addRacks(site, 2);
    site.worker("w00").Hangs = true;
    site.submit(jobOf("j", step(5, {1000, 1000, 8}, 2000, gang)), 0);
    ASSERT_TRUE(site.runUntilOver(absl::Seconds(8))) << gang;
    EXPECT_EQ(site.state("j"), JobState::Completed);
    EXPECT_LE(*site.took("j"), absl::Seconds(6)) << gang;
    EXPECT_TRUE(site.violations().empty()) << site.violations().front();
  }
}

// A worker takes six times as long for a while. Users waited 15 s for urgent
// tasks of five: whatever it had been given it kept.
TEST(JobScheduler, RunsThatCrawlAreStartedElsewhere) {
  for (bool gang : {false, true}) {
    SimSite site;
    addRacks(site, 2);
    site.worker("w00").Slowness = 6;
    site.submit(jobOf("j", step(5, {1000, 1000, 8}, 4000, gang)), 0);
    ASSERT_TRUE(site.runUntilOver(absl::Seconds(30)));
    EXPECT_LE(*site.took("j"), absl::Seconds(10)) << gang;
    EXPECT_TRUE(site.violations().empty()) << site.violations().front();
  }
}

// The same for a task without its like beside it: what its queue's tasks took
// before tells that it is slow.
TEST(JobScheduler, SingleRunThatCrawlsIsStartedElsewhere) {
  SimSite site;
  addRacks(site, 2);
  for (int n = 0; n < 12; ++n) {
    site.submit(
        jobOf("before" + std::to_string(n), step(1, {1000, 1000, 8}, 3000)));
    ASSERT_TRUE(site.runUntilOver(absl::Seconds(5)));
  }
  for (const char *life : {"w00", "w01"})
    site.worker(life).Slowness = 6;
  site.submit(jobOf("slow", step(1, {1000, 1000, 8}, 3000)), 0);
  ASSERT_TRUE(site.runUntilOver(absl::Seconds(30)));
  EXPECT_LE(*site.took("slow"), absl::Seconds(12));
}

// A long gang on many workers starts a little apart, and estimates are off by
// up to ten times. Users saw most of their work started over and over, and
// sound workers kept out, when its pace was judged by the estimate: nothing may
// be taken for standing still.
TEST(JobScheduler, SoundRunsAreLeftAlone) {
  for (double off : {0.5, 1.0, 2.0, 10.0}) {
    SimSite site;
    addRacks(site, 3);
    site.worker("w01").Slowness = 1.3;
    site.Work = [off](const core::TaskId &, const core::StepSpec &spec) {
      return absl::Milliseconds(spec.EstimateMs) * off;
    };
    site.submit(jobOf("gang", step(6, {1000, 1000, 8}, 4000, true)));
    site.submit(jobOf("tasks", step(20, {1000, 1000, 1}, 2000)));
    ASSERT_TRUE(site.runUntilOver(absl::Seconds(90)));
    EXPECT_EQ(site.starts(), 26);
  }
}

// A third of the workers takes 1.3 times as long, as on the users' sites.
// Urgent work has half its length and a quarter second to spare: on a slow
// worker it came late after any wait. The scheduler has to know the slow ones
// from the batch work that runs, and a new leader from the agents.
TEST(JobScheduler, UrgentWorkKeepsOffSlowWorkers) {
  SimSite site;
  const std::set<std::string> slow = {"w02", "w12"};
  for (const char *life : {"w00", "w01", "w02", "w10", "w11", "w12"}) {
    // The slow ones are smaller: by what is free they would be taken first.
    const bool isSlow = slow.count(life) != 0;
    site.addWorker(life, life[1] == '0' ? "r0" : "r1",
                   {32000, 65536, isSlow ? 8 : 12});
    site.worker(life).Slowness = isSlow ? 1.3 : 1.0;
  }
  site.runFor(absl::Milliseconds(600));
  core::StepSpec everywhere = step(6, {1000, 100, 1}, 5000);
  everywhere.MaxPerWorker = 1;
  for (int n = 0; n < 4; ++n)
    site.submit(jobOf("batch" + std::to_string(n), everywhere), 2);
  site.runFor(absl::Seconds(2));
  site.changeLeader();
  site.runFor(absl::Milliseconds(700));
  for (int n = 0; n < 4; ++n) {
    const std::string id = "urgent" + std::to_string(n);
    site.submit(jobOf(id, step(2, {1000, 100, 1}, 2500, n % 2 == 0)), 0);
    site.runFor(absl::Milliseconds(50));
    for (const std::string &life : site.placesOf(id))
      EXPECT_EQ(slow.count(life), 0u) << id << " stands on " << life;
  }
  ASSERT_TRUE(site.runUntilOver(absl::Seconds(20)));
  EXPECT_TRUE(site.violations().empty()) << site.violations().front();
}

} // namespace
} // namespace oriolebay::jobs
