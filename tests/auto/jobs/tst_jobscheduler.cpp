#include "simsitesetup.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace oriolebay::jobs {
namespace {

TEST(JobScheduler, RunsStepsInOrder) {
  SimSite site;
  addRacks(site, 1);
  core::JobSpec job = jobOf("j", makeStep(4, {500, 256, 0}, 900));
  core::StepSpec second = makeStep(20, {2000, 1024, 0}, 2000);
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
  site.submit(jobOf("g", makeStep(6, {1000, 100, 4}, 1000, true)));
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
  site.submit(jobOf("g", makeStep(3, {1000, 100, 8}, 3000, true)));
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
  site.submit(jobOf("j", makeStep(1, {1000, 100, 8}, 1000)));
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
  site.submit(jobOf("j", makeStep(1, {1000, 100, 8}, 2000)));
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
  site.submit(jobOf("gone", makeStep(1, {1000, 100, 8}, 3000)));
  site.runFor(absl::Milliseconds(500));
  site.worker("w").Runs.clear();
  site.cancel("gone");
  site.submit(jobOf("next", makeStep(1, {1000, 100, 8}, 1000)));
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(5)));
  EXPECT_EQ(site.state("next"), JobState::Completed);
}

// Guards against a start on a worker whose capacity was reduced after the
// decision.
TEST(JobScheduler, MovesStartWhenWorkerShrinksWhileItIsRecorded) {
  SimSite site;
  addRacks(site, 1);
  site.StoreDown = true;
  site.submit(jobOf("j", makeStep(3, {1000, 100, 8}, 1000)));
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
  site.submit(jobOf("runs", makeStep(3, {1000, 100, 2}, 3000)));
  site.runFor(absl::Milliseconds(500));
  site.setCapacity("w", {32000, 65536, 4});
  site.submit(jobOf("waits", makeStep(1, {1000, 100, 2}, 500)));
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
  site.submit(jobOf("j", makeStep(1, {1000, 100, 8}, 1000)));
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
  site.submit(jobOf("g", makeStep(3, {1000, 100, 8}, 3000, true)));
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
  site.submit(jobOf("all", makeStep(30, {32000, 1000, 8}, 60000)));
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
  site.submit(jobOf("all", makeStep(3, {32000, 1000, 8}, 60000)));
  site.runFor(absl::Seconds(2));
  site.submit(jobOf("waits", makeStep(2, {32000, 1000, 8}, 1000, true)));
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
  site.submit(jobOf("j", makeStep(1, {1000, 100, 8}, 2000)));
  site.runFor(absl::Milliseconds(500));
  ASSERT_EQ(site.workersOf("j").size(), 1u);
  site.scheduler().onReport(delayed, site.now());
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(6)));
  EXPECT_EQ(site.starts(), 1);
  EXPECT_TRUE(site.violations().empty()) << site.violations().front();
}

// Guards against an urgent gang of two whole workers that waits for seconds on
// a site full of small batch tasks: the capacity freed by the first stop was
// given away before the last stop had completed, so that the tasks stopped for
// the gang started again at once, dozens of times.
TEST(JobScheduler, ReservesCapacityFreedByStops) {
  SimSite site;
  site.configure(configWithGuarantee(16));
  addRacks(site, 2);
  site.submit(jobOf("batch", makeStep(60, {3000, 1000, 1}, 8000)), 2);
  site.runFor(absl::Seconds(3));
  ASSERT_EQ(site.workersOf("batch").size(), 48u);
  site.submit(jobOf("urgent", makeStep(2, {4000, 8000, 8}, 2500, true, true)),
              0);
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
        jobOf("batch" + std::to_string(n), makeStep(800, {500, 100, 1}, 3000)),
        2);
  site.runFor(absl::Seconds(1));
  constexpr int Gangs = 40;
  constexpr int WarmupGangs = 20;
  const auto idOf = [](int n) { return "urgent" + std::to_string(n); };
  for (int n = 0; n < Gangs; ++n) {
    site.submit(jobOf(idOf(n), makeStep(2, {4000, 8000, 8}, 1000, true)), 0);
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
                      makeStep(2, {4000, 8000, 8}, 300, true)),
                0);
    site.runFor(absl::Milliseconds(500));
  }
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(5)));
  site.runFor(absl::Seconds(60));
  site.changeLeader();
  site.runFor(absl::Seconds(2));
  site.submit(jobOf("wide", makeStep(12, {4000, 8000, 8}, 1000, true)), 1);
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
  site.submit(jobOf("g", makeStep(3, {1000, 100, 8}, 1000, true, true)));
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
    site.submit(jobOf(id, makeStep(6, {1000, 100, 8}, 5000, true)), 1, 2);
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
  site.submit(jobOf("batch", makeStep(3, {3000, 1000, 8}, 20000)), 2);
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
  site.submit(jobOf("urgent", makeStep(2, {4000, 8000, 8}, 4000, true)), 0);
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
  site.submit(jobOf("batch", makeStep(60, {3000, 1000, 1}, 8000)), 2);
  site.runFor(absl::Seconds(3));
  site.submit(jobOf("urgent", makeStep(3, {4000, 8000, 8}, 2500)), 0);
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
  site.submit(jobOf("g", makeStep(4, {1000, 100, 4}, 1000, true)));
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

} // namespace
} // namespace oriolebay::jobs
