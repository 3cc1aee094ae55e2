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

/// Adds racks of three workers each and waits until all workers have reported.
void addRacks(SimSite &site, int racks) {
  for (int r = 0; r < racks; ++r)
    for (int w = 0; w < 3; ++w)
      site.addWorker("w" + std::to_string(r) + std::to_string(w),
                     "r" + std::to_string(r));
  site.runFor(absl::Milliseconds(600));
}

TEST(JobScheduler, RunsStepsInOrder) {
  SimSite site;
  addRacks(site, 1);
  core::JobSpec job = jobOf("j", step(4, {500, 256, 0}, 900));
  core::StepSpec second = step(20, {2000, 1024, 0}, 2000);
  second.After = {0};
  job.Steps.push_back(second);
  site.submit(job);
  EXPECT_EQ(site.workersOf("j").size(), 4u);
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(10)));
  EXPECT_EQ(site.state("j"), JobState::Completed);
  EXPECT_GE(*site.turnaroundTime("j"), absl::Milliseconds(2900));
  EXPECT_LE(*site.turnaroundTime("j"), absl::Milliseconds(3100));
  EXPECT_TRUE(site.violations().empty()) << site.violations().front();
}

// Guards against a gang that runs twice after all hosts have lost power, right
// after the first end of the gang was reported while the store was down. The
// leader acknowledged the other members' ends at once, as the first end had
// completed them in memory, and the workers dropped ends that no record held.
// Here the workers must keep the ends, from which the next leader completes the
// gang.
TEST(JobScheduler, AcknowledgesNoEndBeforeItIsRecorded) {
  SimSite site;
  addRacks(site, 1);
  site.submit(jobOf("g", step(6, {1000, 100, 4}, 1000, true)));
  site.runFor(absl::Milliseconds(900));
  site.StoreDown = true;
  site.runFor(absl::Milliseconds(600));
  for (const char *workerId : {"w00", "w01", "w02"})
    EXPECT_EQ(site.worker(workerId).AcknowledgedUpto, 0) << workerId;
  site.changeLeader();
  site.StoreDown = false;
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(10)));
  EXPECT_EQ(site.state("g"), JobState::Completed);
  EXPECT_TRUE(site.violations().empty()) << site.violations().front();
}

// Guards against a gang that waits 18 s for a restart: its host and the leader
// fail together, and the host comes back with a new worker. The new leader knew
// the old incarnation from the records only and could not tell that it had
// ended.
TEST(JobScheduler, NewIncarnationAtTheSameAgentEndsTheRecordedOne) {
  SimSite site;
  addRacks(site, 1);
  site.submit(jobOf("g", step(3, {1000, 100, 8}, 3000, true)));
  site.runFor(absl::Seconds(1));
  site.crash("w01", "w01b");
  site.changeLeader();
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(6)));
  EXPECT_EQ(site.state("g"), JobState::Completed);
  EXPECT_TRUE(site.violations().empty()) << site.violations().front();
}

// Guards against a task that runs twice: its start is on the way to a worker
// that begins to drain, and is taken for a start that was never ordered.
TEST(JobScheduler, ResolvesPendingStartOnDrainingWorkerBeforeRestart) {
  SimSite site;
  addRacks(site, 1);
  for (const char *workerId : {"w00", "w01", "w02"})
    site.worker(workerId).DropsOrders = true;
  site.submit(jobOf("j", step(1, {1000, 100, 8}, 1000)));
  const auto starts = [&site] {
    return std::count_if(
        site.Log.begin(), site.Log.end(),
        [](const Decision &d) { return d.What == Decision::Kind::Placed; });
  };
  site.runFor(absl::Milliseconds(50));
  ASSERT_EQ(starts(), 1);
  const std::string workerId = site.Log.back().Worker;
  site.drain(workerId, absl::Seconds(20));
  site.runFor(absl::Seconds(2));
  EXPECT_EQ(starts(), 1);
  for (const char *each : {"w00", "w01", "w02"})
    site.worker(each).DropsOrders = false;
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(6)));
  EXPECT_EQ(site.state("j"), JobState::Completed);
}

// Guards against a task that runs twice: a report of a worker's earlier
// incarnation arrives after a report of the next one and is taken for the end
// of the next one.
TEST(JobScheduler, IgnoresDelayedReportOfEarlierIncarnation) {
  SimSite site;
  site.addWorker("w", "r");
  site.runFor(absl::Milliseconds(600));
  endpoints::WorkerReport delayed;
  delayed.Worker = site.worker("w").State;
  delayed.Agent = site.worker("w").Agent;
  delayed.AgentAddress = delayed.Agent;
  site.crash("w", "next");
  site.worker("next").Sequence = 100;
  delayed.Sequence = 50;
  site.runFor(absl::Milliseconds(600));
  site.submit(jobOf("j", step(1, {1000, 100, 8}, 2000)));
  site.runFor(absl::Milliseconds(500));
  ASSERT_EQ(site.workersOf("j").size(), 1u);
  site.scheduler().onReport(delayed, site.now());
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(6)));
  EXPECT_EQ(site.starts(), 1);
  EXPECT_TRUE(site.violations().empty()) << site.violations().front();
}

// Guards against capacity that stays allocated to a run because no worker will
// ever report the end of that run.
TEST(JobScheduler, FreesCapacityOfAbsentRunWithoutReportedEnd) {
  SimSite site;
  site.addWorker("w", "r");
  site.runFor(absl::Milliseconds(600));
  site.submit(jobOf("gone", step(1, {1000, 100, 8}, 3000)));
  site.runFor(absl::Milliseconds(500));
  site.worker("w").Runs.clear();
  site.cancel("gone");
  site.submit(jobOf("next", step(1, {1000, 100, 8}, 1000)));
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(5)));
  EXPECT_EQ(site.state("next"), JobState::Completed);
}

// Guards against a start on a worker whose capacity was reduced after the
// decision.
TEST(JobScheduler, MovesStartWhenWorkerShrinksWhileItIsRecorded) {
  SimSite site;
  addRacks(site, 1);
  site.StoreDown = true;
  site.submit(jobOf("j", step(3, {1000, 100, 8}, 1000)));
  site.setCapacity("w01", {32000, 65536, 4});
  site.StoreDown = false;
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(6)));
  EXPECT_EQ(site.state("j"), JobState::Completed);
  EXPECT_TRUE(site.violations().empty()) << site.violations().front();
}

// Guards against stopped runs and excess starts on a worker whose capacity
// falls below what it runs: its runs continue and keep their resources.
TEST(JobScheduler, KeepsRunsOnShrunkWorkerAndStartsNoMore) {
  SimSite site;
  site.addWorker("w", "r");
  site.runFor(absl::Milliseconds(600));
  site.submit(jobOf("runs", step(3, {1000, 100, 2}, 3000)));
  site.runFor(absl::Milliseconds(500));
  site.setCapacity("w", {32000, 65536, 4});
  site.submit(jobOf("waits", step(1, {1000, 100, 2}, 500)));
  site.runFor(absl::Seconds(2));
  EXPECT_EQ(site.workersOf("runs").size(), 3u);
  EXPECT_EQ(site.workersOf("waits").size(), 0u);
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(6)));
  EXPECT_EQ(site.starts(), 4);
  EXPECT_TRUE(site.violations().empty()) << site.violations().front();
}

// Guards against restored capacity that stays unused.
TEST(JobScheduler, UsesGrownCapacityAtOnce) {
  SimSite site;
  site.addWorker("w", "r", {32000, 65536, 1});
  site.runFor(absl::Milliseconds(600));
  site.submit(jobOf("j", step(1, {1000, 100, 8}, 1000)));
  site.runFor(absl::Milliseconds(500));
  site.TickIntervalMs = 10000;
  site.setCapacity("w", {32000, 65536, 8});
  EXPECT_EQ(site.workersOf("j").size(), 1u);
}

// Guards against tasks that run twice: all processes except the workers are
// killed at once. An agent that has just started knows no worker yet, and the
// new leader took its empty report to mean that its former worker had ended.
TEST(JobScheduler, EmptyReportOfNewAgentEndsNoRun) {
  SimSite site;
  addRacks(site, 1);
  site.submit(jobOf("g", step(3, {1000, 100, 8}, 3000, true)));
  site.runFor(absl::Seconds(1));
  site.changeLeader();
  endpoints::WorkerReport empty;
  empty.Agent = site.worker("w01").Agent;
  empty.AgentAddress = empty.Agent;
  site.scheduler().onReport(empty, site.now());
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(6)));
  EXPECT_EQ(site.starts(), 3);
  EXPECT_TRUE(site.violations().empty()) << site.violations().front();
}

// Guards against urgent jobs that start late and grants that expire: hundreds
// of workers report the progress of their tasks twice a second, and the leader
// ran a scheduling pass over all waiting jobs after each report although none
// freed any capacity, which left no time for anything else. The load is a full
// site where nothing ends.
TEST(JobScheduler, UnchangedReportsTriggerNoSchedulingPass) {
  SimSite site;
  addRacks(site, 10);
  site.submit(jobOf("all", step(30, {32000, 1000, 8}, 60000)));
  site.runFor(absl::Seconds(2));
  const int64_t before = site.scheduler().passCount();
  site.runFor(absl::Seconds(5));
  EXPECT_EQ(site.scheduler().passCount(), before);
}

// Guards against a scheduling pass after each report while a job waits on a
// full site. The job may become startable through time alone, so each tick runs
// a pass, but a report that frees no capacity runs none.
TEST(JobScheduler, WaitingJobIsScheduledOnTicksOnly) {
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
  const int64_t before = scheduler.passCount();
  scheduler.onReport(report, site.now());
  scheduler.decide(site.now());
  EXPECT_EQ(scheduler.passCount(), before);
  scheduler.tick(site.now());
  scheduler.decide(site.now());
  EXPECT_EQ(scheduler.passCount(), before + 1);
}

// Guards against the same after a second restart: the incarnation that has just
// ended is not the one of the delayed report.
TEST(JobScheduler, IgnoresDelayedReportOfTheIncarnationBeforeThePrevious) {
  SimSite site;
  site.addWorker("w", "r");
  site.runFor(absl::Milliseconds(600));
  endpoints::WorkerReport delayed;
  delayed.Worker = site.worker("w").State;
  delayed.Agent = site.worker("w").Agent;
  delayed.AgentAddress = delayed.Agent;
  delayed.Sequence = 50;
  site.crash("w", "next");
  site.worker("next").Sequence = 100;
  site.runFor(absl::Milliseconds(600));
  site.crash("next", "latest");
  site.worker("latest").Sequence = 200;
  site.runFor(absl::Milliseconds(600));
  site.submit(jobOf("j", step(1, {1000, 100, 8}, 2000)));
  site.runFor(absl::Milliseconds(500));
  ASSERT_EQ(site.workersOf("j").size(), 1u);
  site.scheduler().onReport(delayed, site.now());
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(6)));
  EXPECT_EQ(site.starts(), 1);
  EXPECT_TRUE(site.violations().empty()) << site.violations().front();
}

core::SiteConfig configWithGuarantee(int64_t accelerators) {
  core::SiteConfig config;
  config.Version = 1;
  core::QueueConfig queue;
  queue.Name = "q";
  queue.Service = "service";
  config.Queues.push_back(queue);
  config.Organisations.push_back({"org-a", {}, accelerators});
  return config;
}

// Guards against an urgent gang of two whole workers that waits for seconds on
// a site full of small batch tasks: the capacity freed by the first stop was
// given away before the last stop had completed, so that the tasks stopped for
// the gang started again at once, dozens of times.
TEST(JobScheduler, ReservesCapacityFreedByStops) {
  SimSite site;
  site.configure(configWithGuarantee(16));
  addRacks(site, 2);
  site.submit(jobOf("batch", step(60, {3000, 1000, 1}, 8000)), 2);
  site.runFor(absl::Seconds(3));
  ASSERT_EQ(site.workersOf("batch").size(), 48u);
  site.submit(jobOf("urgent", step(2, {4000, 8000, 8}, 2500, true, true)), 0);
  site.runFor(absl::Seconds(2));
  ASSERT_TRUE(site.waitTime("urgent").has_value());
  EXPECT_LE(*site.waitTime("urgent"), absl::Seconds(1));
  EXPECT_LE(site.starts(), 60 + 2 + 16);
  EXPECT_TRUE(site.violations().empty()) << site.violations().front();
}

// Guards against urgent gangs of whole workers that each wait for stops of up
// to a second, which is all that a short job may wait, and against batch work
// that is discarded for each of them. The gangs arrive twice a second on a site
// full of batch tasks; the workers of one gang went back to batch tasks before
// the next gang came.
TEST(JobScheduler, KeepsWorkersEmptyForRecurringUrgentJobs) {
  SchedulerPolicy policy;
  policy.StopDuration = absl::Milliseconds(900);
  SimSite site(policy);
  site.StopDuration = policy.StopDuration;
  addRacks(site, 10);
  for (int n = 0; n < 3; ++n)
    site.submit(
        jobOf("batch" + std::to_string(n), step(800, {500, 100, 1}, 3000)), 2);
  site.runFor(absl::Seconds(1));
  constexpr int Gangs = 40;
  constexpr int WarmupGangs = 20;
  const auto idOf = [](int n) { return "urgent" + std::to_string(n); };
  for (int n = 0; n < Gangs; ++n) {
    site.submit(jobOf(idOf(n), step(2, {4000, 8000, 8}, 1000, true)), 0);
    site.runFor(absl::Milliseconds(500));
  }
  site.runFor(absl::Seconds(3));
  int startedAtOnce = 0;
  for (int n = WarmupGangs; n < Gangs; ++n) {
    ASSERT_TRUE(site.waitTime(idOf(n)).has_value()) << n;
    startedAtOnce += *site.waitTime(idOf(n)) <= absl::Milliseconds(100) ? 1 : 0;
  }
  EXPECT_GE(startedAtOnce, (Gangs - WarmupGangs) * 9 / 10);
  EXPECT_TRUE(site.violations().empty()) << site.violations().front();
}

// Guards against a new leader that takes the urgent jobs which it reads from
// the store, and which ended long ago, for a burst of demand: it kept workers
// empty for half a minute while a batch gang as wide as the site waited.
TEST(JobScheduler, NewLeaderDoesNotCountRecordedJobsAsDemand) {
  SimSite site;
  addRacks(site, 4);
  for (int n = 0; n < 20; ++n) {
    site.submit(jobOf("urgent" + std::to_string(n),
                      step(2, {4000, 8000, 8}, 300, true)),
                0);
    site.runFor(absl::Milliseconds(500));
  }
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(5)));
  site.runFor(absl::Seconds(60));
  site.changeLeader();
  site.runFor(absl::Seconds(2));
  site.submit(jobOf("wide", step(12, {4000, 8000, 8}, 1000, true)), 1);
  site.runFor(absl::Seconds(1));
  ASSERT_TRUE(site.waitTime("wide").has_value());
}

// Guards against a gang that runs three times as long after a failure of its
// own in the only rack that has the capacity for it. A placement looked up
// while the worker of the failure was avoided was still used when it was no
// longer avoided, so that the gang was spread over two racks.
TEST(JobScheduler, FailedGangStaysInTheOnlyRackThatFits) {
  SimSite site;
  for (const char *workerId : {"a0", "a1", "a2"})
    site.addWorker(workerId, "ra");
  for (const char *workerId : {"b0", "b1"})
    site.addWorker(workerId, "rb");
  site.RunFails = [](const core::TaskId &, int64_t run) { return run == 1; };
  site.runFor(absl::Milliseconds(600));
  site.submit(jobOf("g", step(3, {1000, 100, 8}, 1000, true, true)));
  site.runFor(absl::Milliseconds(1800));
  const std::multiset<std::string> second = {"a0", "a1", "a2"};
  EXPECT_EQ(site.workersOf("g"), second);
}

// Guards against wide jobs that fail because of one worker that fails every
// run: each gang with a member on it ended as a whole, was started again with
// that worker among its own, and used up its attempts. The load is a sequence
// of gangs as wide as half the site.
TEST(JobScheduler, WideGangsAvoidWorkerWhoseLastRunFailed) {
  SimSite site;
  addRacks(site, 4);
  site.worker("w00").FailsAll = true;
  int failedJobs = 0;
  for (int n = 0; n < 6; ++n) {
    const std::string id = "g" + std::to_string(n);
    site.submit(jobOf(id, step(6, {1000, 100, 8}, 5000, true)), 1, 2);
    ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(20)));
    failedJobs += site.state(id) == JobState::Completed ? 0 : 1;
  }
  EXPECT_EQ(failedJobs, 0);
  // The first gang detects the faulty worker; the others avoid it.
  EXPECT_LE(site.starts(), 6 * 6 + 6);
}

// Guards against batch work that is discarded for an urgent job although half
// of the workers is empty: after a change of leader these workers were slow to
// report, and the new leader took the workers it knew for all there were.
TEST(JobScheduler, NewLeaderStopsNothingBeforeWorkersReport) {
  SimSite site;
  addRacks(site, 2);
  site.submit(jobOf("batch", step(3, {3000, 1000, 8}, 20000)), 2);
  site.runFor(absl::Seconds(1));
  const std::multiset<std::string> busy = site.workersOf("batch");
  ASSERT_EQ(busy.size(), 3u);
  std::vector<std::string> idle;
  for (const char *workerId : {"w00", "w01", "w02", "w10", "w11", "w12"})
    if (busy.count(workerId) == 0)
      idle.push_back(workerId);
  for (const std::string &workerId : idle)
    site.worker(workerId).Partitioned = true;
  site.changeLeader();
  site.submit(jobOf("urgent", step(2, {4000, 8000, 8}, 4000, true)), 0);
  site.runFor(absl::Milliseconds(700));
  for (const std::string &workerId : idle)
    site.worker(workerId).Partitioned = false;
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(30)));
  EXPECT_EQ(site.lostWork(), 0);
  EXPECT_LE(*site.waitTime("urgent"), absl::Milliseconds(1500));
}

// Guards against urgent tasks as wide as a worker that wait on a site full of
// batch tasks until these end by themselves: other tasks were stopped for gangs
// only.
TEST(JobScheduler, UrgentNonGangTasksReclaimCapacity) {
  SimSite site;
  site.configure(configWithGuarantee(24));
  addRacks(site, 2);
  site.submit(jobOf("batch", step(60, {3000, 1000, 1}, 8000)), 2);
  site.runFor(absl::Seconds(3));
  site.submit(jobOf("urgent", step(3, {4000, 8000, 8}, 2500)), 0);
  site.runFor(absl::Seconds(1));
  EXPECT_EQ(site.workersOf("urgent").size(), 3u);
  EXPECT_TRUE(site.violations().empty()) << site.violations().front();
}

// The first member's end completes a gang. Guards against ends of the other
// members that are not logged, so that three of four runs of a job seem to go
// on for ever.
TEST(JobScheduler, LogsEveryEndOfAGang) {
  SimSite site;
  addRacks(site, 1);
  site.submit(jobOf("g", step(4, {1000, 100, 4}, 1000, true)));
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(10)));
  site.runFor(absl::Seconds(2));
  std::set<std::string> ended;
  int64_t countedEnds = 0;
  for (const Decision &d : site.Log)
    if (d.What == Decision::Kind::Ended) {
      ended.insert(d.Task);
      countedEnds += d.input("counts");
    }
  EXPECT_EQ(ended.size(), 4u);
  EXPECT_EQ(countedEnds, 1);
}

/// Work that fills a site of one rack when an urgent job arrives, and which of
/// it has to be stopped. On both users' sites urgent jobs come in waves of
/// twice their usual number while other work fills the workers. Up to 2,900
/// core-seconds of work a day were discarded for them, a third of the value of
/// such a day.
struct StopCase {
  const char *Name;
  /// One job per worker, of tasks with eight accelerators each.
  std::vector<core::StepSpec> FillerSteps;
  std::vector<int> Priorities;
  absl::Duration Age;
  core::StepSpec Urgent;
  /// The jobs of FillerSteps that have to be stopped for the urgent job.
  std::set<std::string> Stopped;
};

void PrintTo(const StopCase &c, std::ostream *out) { *out << c.Name; }

core::StepSpec withCheckpoints(core::StepSpec step) {
  step.Checkpoints = true;
  return step;
}

class StopsForUrgentWork : public ::testing::TestWithParam<StopCase> {};

TEST_P(StopsForUrgentWork, DiscardLessThanLatenessCosts) {
  const StopCase &c = GetParam();
  SimSite site;
  core::SiteConfig config = configWithGuarantee(0);
  config.Queues[0].Stretch = 1.5;
  config.Queues[0].TargetLatencyMs = 250;
  site.configure(config);
  addRacks(site, 1);
  for (size_t n = 0; n < c.FillerSteps.size(); ++n)
    site.submit(jobOf("fill" + std::to_string(n), c.FillerSteps[n]),
                c.Priorities[n]);
  site.runFor(c.Age);
  ASSERT_EQ(site.starts(), static_cast<int>(c.FillerSteps.size()));
  site.submit(jobOf("urgent", c.Urgent), 0);
  site.runFor(absl::Milliseconds(300));
  std::set<std::string> stopped;
  for (const Decision &d : site.Log)
    if (d.What == Decision::Kind::Stopping)
      stopped.insert(d.Job);
  EXPECT_EQ(stopped, c.Stopped);
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(40)));
  EXPECT_TRUE(site.violations().empty()) << site.violations().front();
}

const core::Resources WholeWorker = {4000, 1000, 8};
const StopCase StopCases[] = {
    // The first end comes in 0.4 s, and the slack of the urgent job is 1.25 s.
    {"waits_for_what_is_about_to_end",
     {step(1, WholeWorker, 3000), step(1, WholeWorker, 6000),
      step(1, WholeWorker, 6000)},
     {2, 2, 2},
     absl::Milliseconds(2600),
     step(1, WholeWorker, 2000),
     {}},
    // The urgent job is worth a loss of some 200 core-seconds; the stop would
    // lose 400.
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
    // A task with checkpoints loses nothing by a stop, so it is stopped
    // although its priority is higher.
    {"stops_what_saves_its_work",
     {step(1, WholeWorker, 8000), withCheckpoints(step(1, WholeWorker, 8000)),
      step(1, WholeWorker, 8000)},
     {2, 1, 2},
     absl::Seconds(3),
     step(1, WholeWorker, 3000),
     {"fill1"}},
};

INSTANTIATE_TEST_SUITE_P(Table, StopsForUrgentWork,
                         ::testing::ValuesIn(StopCases),
                         [](const auto &info) { return info.param.Name; });

// Guards against capacity that is given away while it is being freed. Small
// tasks are stopped for an urgent job of three whole workers and end one by
// one. The capacity of the first ends went to other small tasks, which were
// then stopped for the same job, up to four times each within 0.2 s, and the
// job started late.
//
// All three tasks have to run at once: either the job is within its
// organisation's guarantee, or the time is too short for waves.
struct FreedCapacityCase {
  const char *Name;
  int64_t Guaranteed;
  double Stretch;
};

void PrintTo(const FreedCapacityCase &c, std::ostream *out) { *out << c.Name; }

class CapacityBeingFreed : public ::testing::TestWithParam<FreedCapacityCase> {
};

TEST_P(CapacityBeingFreed, IsNotGivenToOtherTasks) {
  SimSite site;
  core::SiteConfig config = configWithGuarantee(GetParam().Guaranteed);
  config.Queues[0].Stretch = GetParam().Stretch;
  config.Queues[0].TargetLatencyMs = 1000;
  site.configure(config);
  site.StopDurationOf = [](const core::TaskId &id) {
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
  EXPECT_EQ(site.workersOf("urgent").size(), 3u);
}

INSTANTIATE_TEST_SUITE_P(
    UrgentWork, CapacityBeingFreed,
    ::testing::Values(FreedCapacityCase{"within_a_guarantee", 24, 2},
                      FreedCapacityCase{"no_time_for_waves", 0, 0.75}),
    [](const auto &info) { return info.param.Name; });

core::SiteConfig configWithDeadline(double stretch, int64_t targetMs) {
  core::SiteConfig config = configWithGuarantee(0);
  config.Queues[0].Stretch = stretch;
  config.Queues[0].TargetLatencyMs = targetMs;
  return config;
}

// Guards against work of five workers that is discarded at once for a job that
// would meet its deadline with two. An urgent step of five whole workers comes
// to a site of six that is full of batch tasks. Its deadline counts it in
// waves, as it takes more than a quarter of the capacity, so two workers at a
// time are enough.
TEST(UrgentWork, WideStepStopsOnlyWhatItsDeadlineNeeds) {
  SimSite site;
  site.configure(configWithDeadline(1.5, 250));
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
  // Four waves of two seconds, times 1.5, plus a quarter of a second.
  EXPECT_LE(*site.turnaroundTime("urgent"), absl::Milliseconds(12250));
}

// Guards against a small urgent job that misses its deadline needlessly: it has
// one second of slack and comes while a wide urgent job with seconds of slack
// waits. The first free worker has to go to the small job.
TEST(UrgentWork, LeastSlackIsScheduledFirst) {
  SimSite site;
  site.configure(configWithDeadline(1.5, 250));
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
  EXPECT_EQ(site.workersOf("small").size(), 1u);
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(30)));
  EXPECT_LE(*site.turnaroundTime("small"), absl::Milliseconds(3250));
  EXPECT_LE(*site.turnaroundTime("wide"), absl::Milliseconds(13750));
}

core::StepSpec asGang(core::StepSpec step) {
  step.Gang = true;
  return step;
}

struct FailingWorkersCase {
  const char *Name;
  core::StepSpec Step;
  /// Number of workers, out of three, that fail every run.
  int FailingCount;
  JobState State;
};

void PrintTo(const FailingWorkersCase &c, std::ostream *out) { *out << c.Name; }

class FailingWorkers : public ::testing::TestWithParam<FailingWorkersCase> {};

// Guards against a job that fails for good after half a second: a worker that
// fails every run is the only one with free capacity, and both attempts of the
// job went to it although the others would have had capacity a little later.
TEST_P(FailingWorkers, DoNotUseUpAttempts) {
  const FailingWorkersCase &c = GetParam();
  SimSite site;
  addRacks(site, 1);
  for (int n = c.FailingCount; n < 3; ++n)
    site.submit(jobOf("fill" + std::to_string(n), step(1, WholeWorker, 3000)),
                1);
  site.runFor(absl::Milliseconds(200));
  const std::multiset<std::string> busy = [&] {
    std::multiset<std::string> all;
    for (int n = c.FailingCount; n < 3; ++n)
      all.merge(site.workersOf("fill" + std::to_string(n)));
    return all;
  }();
  for (const char *workerId : {"w00", "w01", "w02"})
    site.worker(workerId).FailsAll = busy.count(workerId) == 0;
  site.submit(jobOf("j", c.Step), 1, 2);
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(30)));
  EXPECT_EQ(site.state("j"), c.State);
  EXPECT_TRUE(site.violations().empty()) << site.violations().front();
}

const FailingWorkersCase FailingWorkersCases[] = {
    {"one_task", step(1, WholeWorker, 1000), 1, JobState::Completed},
    {"several_tasks", step(3, WholeWorker, 1000), 1, JobState::Completed},
    {"gang", asGang(step(2, {4000, 1000, 4}, 1000)), 1, JobState::Completed},
    // No other worker has the capacity, so the job must reach its final state
    // on the failing ones.
    {"all_workers", step(1, WholeWorker, 1000), 3, JobState::Failed},
};

INSTANTIATE_TEST_SUITE_P(Table, FailingWorkers,
                         ::testing::ValuesIn(FailingWorkersCases),
                         [](const auto &info) { return info.param.Name; });

struct DrainCase {
  const char *Name;
  core::StepSpec Step;
  /// How long the tasks have run when their worker reports that it drains.
  absl::Duration Age;
  int Stops;
  /// Maximum discarded work, in seconds of one task.
  double MaxLostWork;
};

void PrintTo(const DrainCase &c, std::ostream *out) { *out << c.Name; }

class DrainingWorker : public ::testing::TestWithParam<DrainCase> {};

// Guards against tasks that stay on a worker which drains and shuts down after
// 4.5 s together with its agent. As nobody stopped them, they were restarted
// only some 6 s after the shutdown, when the tasks of an unresponsive worker
// have certainly ended; that happened 22 to 26 times a day.
TEST_P(DrainingWorker, IsVacatedBeforeShutdown) {
  const DrainCase &c = GetParam();
  SimSite site;
  addRacks(site, 1);
  site.submit(jobOf("j", c.Step));
  site.runFor(c.Age);
  ASSERT_EQ(site.starts(), c.Step.Count);
  site.drain(*site.workersOf("j").begin(), absl::Milliseconds(4500));
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(40)));
  int stops = 0;
  int resolvedRuns = 0;
  for (const Decision &d : site.Log) {
    stops += d.What == Decision::Kind::Stopping ? 1 : 0;
    resolvedRuns += d.What == Decision::Kind::RunResolved ? 1 : 0;
  }
  EXPECT_EQ(stops, c.Stops);
  EXPECT_EQ(resolvedRuns, 0);
  EXPECT_LE(site.lostWork(), c.MaxLostWork * 68);
  EXPECT_TRUE(site.violations().empty()) << site.violations().front();
}

const DrainCase DrainCases[] = {
    {"lets_end_what_can", step(1, WholeWorker, 4000), absl::Seconds(1), 0, 0},
    {"stops_at_once_what_cannot", step(1, WholeWorker, 12000), absl::Seconds(2),
     1, 3.5},
    {"keeps_the_work_that_is_saved",
     withCheckpoints(step(1, WholeWorker, 12000)), absl::Seconds(2), 1, 0.1},
    // The other member's end interrupts it at its last checkpoint.
    {"moves_a_gang_whole", asGang(withCheckpoints(step(2, WholeWorker, 12000))),
     absl::Seconds(2), 2, 1.0},
};

INSTANTIATE_TEST_SUITE_P(Table, DrainingWorker, ::testing::ValuesIn(DrainCases),
                         [](const auto &info) { return info.param.Name; });

// Guards against runs that stay on a worker that accepts all orders and answers
// in time, but whose tasks make no progress. An urgent job of two seconds
// waited six until the worker recovered.
TEST(JobScheduler, RestartsStalledRunsElsewhere) {
  for (bool gang : {false, true}) {
    SimSite site;
    addRacks(site, 2);
    site.worker("w00").Hangs = true;
    site.submit(jobOf("j", step(5, {1000, 1000, 8}, 2000, gang)), 0);
    ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(8))) << gang;
    EXPECT_EQ(site.state("j"), JobState::Completed);
    EXPECT_LE(*site.turnaroundTime("j"), absl::Seconds(6)) << gang;
    EXPECT_TRUE(site.violations().empty()) << site.violations().front();
  }
}

// Guards against runs that stay on a worker which is slower by a factor of six
// for a while: urgent tasks of five seconds took 15 s.
// Guards against urgent runs that stand still for longer than they can afford,
// although they progressed from poll to poll before.
TEST(JobScheduler, RunThatSuddenlyStopsProgressingIsNoticedWithinTwoPolls) {
  SimSite site;
  addRacks(site, 1);
  site.submit(jobOf("j", step(1, {1000, 1000, 8}, 5000)), 0);
  site.runFor(absl::Seconds(2));
  const std::string worker = *site.workersOf("j").begin();
  site.worker(worker).Hangs = true;
  site.runFor(absl::Milliseconds(1600));
  const std::multiset<std::string> workers = site.workersOf("j");
  ASSERT_EQ(workers.size(), 1u);
  EXPECT_NE(*workers.begin(), worker);
}

TEST(JobScheduler, RestartsTooSlowRunsElsewhere) {
  for (bool gang : {false, true}) {
    SimSite site;
    addRacks(site, 2);
    site.worker("w00").Slowness = 6;
    site.submit(jobOf("j", step(5, {1000, 1000, 8}, 4000, gang)), 0);
    ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(30)));
    EXPECT_LE(*site.turnaroundTime("j"), absl::Seconds(10)) << gang;
    EXPECT_TRUE(site.violations().empty()) << site.violations().front();
  }
}

// Guards against a run that stays on a slow worker because its task has no
// peers in its step to compare with. The times that earlier tasks of its queue
// took show that it is too slow.
TEST(JobScheduler, RestartsSingleTooSlowRunElsewhere) {
  SimSite site;
  addRacks(site, 2);
  for (int n = 0; n < 12; ++n) {
    site.submit(
        jobOf("before" + std::to_string(n), step(1, {1000, 1000, 8}, 3000)));
    ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(5)));
  }
  for (const char *workerId : {"w00", "w01"})
    site.worker(workerId).Slowness = 6;
  site.submit(jobOf("slow", step(1, {1000, 1000, 8}, 3000)), 0);
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(30)));
  EXPECT_LE(*site.turnaroundTime("slow"), absl::Seconds(12));
}

// Guards against healthy runs that are taken for stalled. Members of a long
// gang on many workers start at slightly different times, and estimates are off
// by up to ten times. When progress was compared with the estimate, most of
// their work was restarted over and over and healthy workers were quarantined.
TEST(JobScheduler, DoesNotRestartHealthyRuns) {
  for (double workFactor : {0.5, 1.0, 2.0, 10.0}) {
    SimSite site;
    addRacks(site, 3);
    site.worker("w01").Slowness = 1.3;
    site.WorkTime = [workFactor](const core::TaskId &,
                                 const core::StepSpec &spec) {
      return absl::Milliseconds(spec.EstimateMs) * workFactor;
    };
    site.submit(jobOf("gang", step(6, {1000, 1000, 8}, 4000, true)));
    site.submit(jobOf("tasks", step(20, {1000, 1000, 1}, 2000)));
    ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(90)));
    EXPECT_EQ(site.starts(), 26);
  }
}

// Guards against urgent jobs on slow workers, where they miss their deadlines
// after any wait: a third of the workers takes 1.3 times as long, as on the
// users' sites, and the slack of urgent jobs is half their length and a quarter
// of a second. The scheduler has to learn the slow workers from the batch tasks
// that run, and a new leader from the agents.
TEST(JobScheduler, UrgentWorkAvoidsSlowWorkers) {
  SimSite site;
  const std::set<std::string> slow = {"w02", "w12"};
  for (const char *workerId : {"w00", "w01", "w02", "w10", "w11", "w12"}) {
    // The slow ones are smaller, so they would be preferred by free capacity
    // alone.
    const bool isSlow = slow.count(workerId) != 0;
    site.addWorker(workerId, workerId[1] == '0' ? "r0" : "r1",
                   {32000, 65536, isSlow ? 8 : 12});
    site.worker(workerId).Slowness = isSlow ? 1.3 : 1.0;
  }
  site.runFor(absl::Milliseconds(600));
  core::StepSpec onEveryWorker = step(6, {1000, 100, 1}, 5000);
  onEveryWorker.MaxPerWorker = 1;
  for (int n = 0; n < 4; ++n)
    site.submit(jobOf("batch" + std::to_string(n), onEveryWorker), 2);
  site.runFor(absl::Seconds(2));
  site.changeLeader();
  site.runFor(absl::Milliseconds(700));
  for (int n = 0; n < 4; ++n) {
    const std::string id = "urgent" + std::to_string(n);
    site.submit(jobOf(id, step(2, {1000, 100, 1}, 2500, n % 2 == 0)), 0);
    site.runFor(absl::Milliseconds(50));
    for (const std::string &workerId : site.workersOf(id))
      EXPECT_EQ(slow.count(workerId), 0u) << id << " runs on " << workerId;
  }
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(20)));
  EXPECT_TRUE(site.violations().empty()) << site.violations().front();
}

} // namespace
} // namespace oriolebay::jobs
