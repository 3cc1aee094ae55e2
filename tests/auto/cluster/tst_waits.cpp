// Tests of jobs that wait although workers are free: the condition that keeps
// their tasks from starting outlasts the fault that has set it.
#include "memorycluster.h"

#include <gtest/gtest.h>

#include <absl/time/time.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace oriolebay::cluster {
namespace {

constexpr int Entries = 6;
constexpr int Workers = 6;
/// Time from the last fault until every job with a ready step and enough free
/// capacity runs: the site's bound on recovery and the longest wait after it.
constexpr absl::Duration RunsAgainWithin = absl::Seconds(14 + 3);
/// Time from the loss of a leader until the next one has been elected and knows
/// its workers: a lease, an election and two reports.
constexpr absl::Duration LeaderChangeTime = absl::Seconds(5);
/// Time from the last report of a worker until its tasks run elsewhere: its
/// grant with a slow clock, a decision and a start.
constexpr absl::Duration LostWithin = absl::Seconds(7);
/// Time after which a test stops waiting for tasks that do not start.
constexpr absl::Duration GivesUpAfter = absl::Seconds(60);
/// Longer than any time that passes in a test.
constexpr int64_t TaskMs = 120000;

struct Loss {
  const char *Name;
  int Tasks;
  bool Gang;
  /// Times at which a leader is lost for good, in milliseconds since the first
  /// fault.
  std::vector<int> LeadersLostAtMs;
  /// The agent beside the worker starts again at this time; negative if it
  /// stays.
  int AgentRestartsAtMs = -1;
  int64_t Accelerators = 8;

  int lastLossMs() const {
    return LeadersLostAtMs.empty() ? 0 : LeadersLostAtMs.back();
  }
};

void PrintTo(const Loss &c, std::ostream *out) { *out << c.Name; }

std::string nameOf(const testing::TestParamInfo<Loss> &test) {
  return test.param.Name;
}

class Wait : public testing::TestWithParam<Loss> {
protected:
  Wait() {
    MemoryCluster::Options options;
    options.Entries = Entries;
    options.Workers = Workers;
    Cluster = std::make_unique<MemoryCluster>(options);
    Cluster->configure({"k"});
    Cluster->runFor(absl::Seconds(4));
  }

  void submitJob() {
    core::JobSpec spec =
        makeJob("j", GetParam().Tasks, GetParam().Accelerators, TaskMs);
    spec.Steps.front().Gang = GetParam().Gang;
    Cluster->submit(0, "k", spec);
  }
  /// Submits the job and waits until all its tasks run.
  void runJob() {
    submitJob();
    Cluster->runFor(absl::Seconds(2));
    ASSERT_TRUE(areAllTasksRunning());
  }
  std::string firstTask() const { return core::taskName({"j", 0, 0, 0}); }
  bool isRunning(const std::string &task) const {
    const auto &running = Cluster->sharedState().Running;
    auto runs = running.find(task);
    return runs != running.end() && !runs->second.empty();
  }
  bool areAllTasksRunning() const {
    for (int n = 0; n < GetParam().Tasks; ++n)
      if (!isRunning(core::taskName({"j", 0, 0, n})))
        return false;
    return true;
  }
  /// The worker that runs the task; -1 if none does.
  int workerOf(const std::string &task) const {
    if (!isRunning(task))
      return -1;
    const std::string id =
        Cluster->sharedState().Running.at(task).begin()->first;
    for (int n = 0; n < Workers; ++n)
      if (Cluster->worker(n).incarnation() == id)
        return n;
    return -1;
  }
  void loseLeader() {
    const int leader = Cluster->leader();
    ASSERT_GE(leader, 0);
    ASSERT_TRUE(Cluster->isEntryUp(leader));
    Cluster->killEntry(leader);
  }
  void runUntil(absl::Time end) {
    Cluster->runFor(end - Cluster->loop().now());
  }
  /// Loses the leaders of the case, which counts its times from start.
  void loseLeaders(absl::Time start) {
    for (int ms : GetParam().LeadersLostAtMs) {
      runUntil(start + absl::Milliseconds(ms));
      loseLeader();
    }
  }
  /// Time from now until all tasks run.
  absl::Duration timeUntilAllTasksRun() {
    const absl::Time from = Cluster->loop().now();
    while (!areAllTasksRunning() && Cluster->loop().now() - from < GivesUpAfter)
      Cluster->runFor(absl::Milliseconds(50));
    return Cluster->loop().now() - from;
  }
  void expectAllTasksRunWithin(absl::Duration limit) {
    EXPECT_LE(timeUntilAllTasksRun(), limit) << Cluster->decisionsText("j");
    const std::vector<std::string> found = Cluster->violations();
    EXPECT_TRUE(found.empty()) << found.front();
  }

  std::unique_ptr<MemoryCluster> Cluster;
};

class RemovedHost : public Wait {};

// Guards against a task that waits long after a new leader was elected for the
// tasks of a worker that is removed for good and reported to none of the last
// leaders.
TEST_P(RemovedHost, TasksRunElsewhereSoon) {
  ASSERT_NO_FATAL_FAILURE(runJob());
  const absl::Time start = Cluster->loop().now();
  Cluster->removeHost(workerOf(firstTask()));
  loseLeaders(start);
  expectAllTasksRunWithin(RunsAgainWithin);
}

INSTANTIATE_TEST_SUITE_P(
    Table, RemovedHost,
    testing::Values(
        Loss{"alone", 1, false, {}}, Loss{"gang_alone", 3, true, {}},
        Loss{"with_one_leader", 1, false, {550}},
        Loss{"gang_with_one_leader", 3, true, {550}},
        Loss{"with_three_leaders", 1, false, {550, 8550, 16550}},
        Loss{"gang_with_three_leaders", 3, true, {550, 8550, 16550}}),
    nameOf);

// Guards against a task of a removed worker that waits for longer than a
// leader may go on without the store, because the next leader counts that time
// from its own election and not from the end of the earlier one's lease.
TEST_P(RemovedHost, IsNotWaitedForLongerThanItsLastLeaderCouldGrant) {
  ASSERT_NO_FATAL_FAILURE(runJob());
  const absl::Time start = Cluster->loop().now();
  Cluster->removeHost(workerOf(firstTask()));
  loseLeaders(start);
  expectAllTasksRunWithin(MemoryCluster::RecoveryTime);
}

class RemovedHostThenLeader : public Wait {};

// Guards against a task of a removed worker that waits from the beginning when
// the leader that has counted the worker's silence is lost too.
TEST_P(RemovedHostThenLeader, TasksRunElsewhereSoonAfterTheFirstLoss) {
  ASSERT_NO_FATAL_FAILURE(runJob());
  const absl::Time start = Cluster->loop().now();
  Cluster->removeHost(workerOf(firstTask()));
  loseLeaders(start);
  expectAllTasksRunWithin(start + RunsAgainWithin - Cluster->loop().now());
}

INSTANTIATE_TEST_SUITE_P(
    Table, RemovedHostThenLeader,
    testing::Values(Loss{"soon", 1, false, {550}},
                    Loss{"before_the_grant_ends", 1, false, {5000}},
                    Loss{"gang_before_the_grant_ends", 3, true, {5000}},
                    Loss{"two_leaders", 1, false, {3000, 8000}},
                    Loss{"as_the_grant_ends", 1, false, {6200}},
                    Loss{"gang_as_the_grant_ends", 3, true, {6200}}),
    nameOf);

class StartAtRemovedHost : public Wait {};

// Guards against a task that waits for the loss of its worker and then, from
// the beginning, for a start that its leader sent to an agent already gone.
TEST_P(StartAtRemovedHost, IsNotWaitedForTwice) {
  Cluster->submit(0, "k", makeJob("before", 1, 1, TaskMs));
  Cluster->runFor(absl::Seconds(2));
  const int removed = workerOf(core::taskName({"before", 0, 0, 0}));
  ASSERT_GE(removed, 0);
  const absl::Time start = Cluster->loop().now();
  Cluster->removeHost(removed);
  // Tasks are placed on the worker with the least free capacity, which is this
  // one until its reports are missed.
  submitJob();
  Cluster->runFor(absl::Milliseconds(100));
  ASSERT_FALSE(areAllTasksRunning());
  loseLeaders(start);
  expectAllTasksRunWithin(start + RunsAgainWithin +
                          absl::Milliseconds(GetParam().lastLossMs()) -
                          Cluster->loop().now());
}

INSTANTIATE_TEST_SUITE_P(
    Table, StartAtRemovedHost,
    testing::Values(Loss{"alone", 1, false, {}, -1, 4},
                    Loss{"gang", 3, true, {}, -1, 4},
                    Loss{"with_one_leader", 1, false, {8000}, -1, 4}),
    nameOf);

// Guards against a task that waits for an unanswered start at a worker that is
// lost for good and whose time to carry the start out has passed with its
// grant.
TEST_P(StartAtRemovedHost,
       WhoseIdDoesNotComeAgainIsWaitedForUntilTheGrantEnds) {
  for (int n = 0; n < Workers; ++n) {
    Cluster->worker(n).hideStartTime();
    Cluster->worker(n).LateOrderShare = 1;
  }
  Cluster->runFor(absl::Seconds(4));
  submitJob();
  Cluster->runFor(absl::Milliseconds(300));
  ASSERT_FALSE(areAllTasksRunning());
  const absl::Time start = Cluster->loop().now();
  for (int n = 0; n < Workers; ++n) {
    if (Cluster->worker(n).startsSent() > 0)
      Cluster->removeHost(n);
    Cluster->worker(n).LateOrderShare = 0;
  }
  loseLeaders(start);
  const absl::Duration limit =
      GetParam().LeadersLostAtMs.empty()
          ? LostWithin
          : absl::Milliseconds(GetParam().lastLossMs()) + LeaderChangeTime +
                LostWithin;
  expectAllTasksRunWithin(start + limit - Cluster->loop().now());
}

class UnansweredStart : public Wait {};

// Guards against a task whose unanswered start bars it anew under each leader,
// long after the start can no longer be carried out.
TEST_P(UnansweredStart, BarsItsTaskOnlyWhileItMayBeCarriedOut) {
  for (int n = 0; n < Workers; ++n) {
    Cluster->worker(n).LateOrderShare = 1;
    Cluster->worker(n).MinLateDelay = absl::Seconds(12);
  }
  submitJob();
  Cluster->runFor(absl::Milliseconds(100));
  const absl::Time start = Cluster->loop().now();
  std::vector<int> started;
  for (int n = 0; n < Workers; ++n) {
    Cluster->worker(n).LateOrderShare = 0;
    if (Cluster->worker(n).startsSent() > 0)
      started.push_back(n);
  }
  ASSERT_EQ(started.size(), static_cast<size_t>(GetParam().Tasks));
  for (int n : started)
    Cluster->worker(n).crashFor(absl::Milliseconds(200),
                                MemoryWorker::RestartId::Same);
  if (GetParam().AgentRestartsAtMs >= 0) {
    runUntil(start + absl::Milliseconds(GetParam().AgentRestartsAtMs));
    Cluster->killAgent(started.front());
    Cluster->runFor(absl::Milliseconds(200));
    Cluster->startAgent(started.front());
  }
  loseLeaders(start);
  const absl::Time openUntil = start + endpoints::MaxOrderDelay;
  runUntil(std::max(Cluster->loop().now(), openUntil));
  expectAllTasksRunWithin(LeaderChangeTime);
}

INSTANTIATE_TEST_SUITE_P(
    Table, UnansweredStart,
    testing::Values(
        Loss{"without_a_change", 1, false, {}},
        Loss{"with_one_leader", 1, false, {8000}},
        Loss{"with_two_leaders", 1, false, {8000, 16000}},
        Loss{"gang_with_two_leaders", 3, true, {8000, 16000}},
        Loss{"agent_restarts", 1, false, {}, 3000},
        Loss{"agent_restarts_with_two_leaders", 1, false, {8000, 16000}, 3000}),
    nameOf);

/// Checks that the job does not wait beside free workers once the faults that
/// there were are over, which they are now.
void expectNoWaits(MemoryCluster &cluster, const std::string &job) {
  ASSERT_EQ(cluster.acceptedJobs().count(job), 1u);
  cluster.watchWaits();
  cluster.runFor(MemoryCluster::RecoveryTime + absl::Seconds(5));
  const std::vector<std::string> found = cluster.violations();
  if (found.empty())
    return;
  // The trace shows what ends the wait.
  cluster.runFor(GivesUpAfter);
  ADD_FAILURE() << found.front() << '\n' << cluster.decisionsText(job);
}

enum class Obstacle {
  LongTask,
  LongRunningTask,
  UnreachableWorker,
  QuarantinedWorker
};

struct ObstacleCase {
  const char *Name;
  Obstacle InEachRack;
};

void PrintTo(const ObstacleCase &c, std::ostream *out) { *out << c.Name; }

/// A site of four racks with three workers each. In each rack, the first worker
/// cannot be had for a gang that needs the whole rack.
class RackGang : public testing::TestWithParam<ObstacleCase> {
protected:
  static constexpr int Racks = 4;
  static constexpr int RackSize = 3;

  RackGang() {
    MemoryCluster::Options options;
    options.Workers = Racks * RackSize;
    options.WorkersPerRack = RackSize;
    Cluster = std::make_unique<MemoryCluster>(options);
    Cluster->configure({"k"});
    Cluster->runFor(absl::Seconds(4));
  }

  void obstruct(int rack) {
    MemoryWorker &worker = Cluster->worker(rack * RackSize);
    switch (GetParam().InEachRack) {
    case Obstacle::LongTask:
      return submitToRack(rack, false);
    case Obstacle::LongRunningTask:
      return submitToRack(rack, true);
    case Obstacle::UnreachableWorker:
      worker.Down = true;
      return;
    case Obstacle::QuarantinedWorker:
      worker.FailsAll = true;
      return;
    }
  }
  void submitToRack(int rack, bool longRunning) {
    const std::string name = "r" + std::to_string(rack);
    core::JobSpec spec = makeJob("in-" + name, 1, 1, TaskMs);
    spec.Steps.front().NeedsLabel = name;
    spec.Steps.front().LongRunning = longRunning;
    Cluster->submit(0, "k", spec);
  }
  /// Gives the workers tasks, on which those that fail get into quarantine.
  void submitShortJobs() {
    for (int n = 0; n < 120; ++n) {
      Cluster->submit(0, "k", makeJob("s" + std::to_string(n), 12, 8, 100));
      Cluster->runFor(absl::Milliseconds(250));
    }
  }

  std::unique_ptr<MemoryCluster> Cluster;
};

// Guards against a gang that waits for a whole rack although no rack can be had
// and the rest of the site is free.
TEST_P(RackGang, DoesNotWaitForARackThatCannotBeHad) {
  for (int rack = 0; rack < Racks; ++rack)
    obstruct(rack);
  if (GetParam().InEachRack == Obstacle::QuarantinedWorker)
    submitShortJobs();
  else
    Cluster->runFor(absl::Seconds(10));
  core::JobSpec gang = makeJob("gang", RackSize, 8, 2000);
  gang.Steps.front().Gang = true;
  gang.Steps.front().SameRack = true;
  Cluster->submit(0, "k", gang);
  for (int n = 0; n < Racks * RackSize; ++n)
    Cluster->worker(n).FailsAll = false;
  Cluster->runFor(absl::Milliseconds(200));
  expectNoWaits(*Cluster, "gang");
}

INSTANTIATE_TEST_SUITE_P(
    Table, RackGang,
    testing::Values(
        ObstacleCase{"long_tasks", Obstacle::LongTask},
        ObstacleCase{"long_running_tasks", Obstacle::LongRunningTask},
        ObstacleCase{"unreachable_workers", Obstacle::UnreachableWorker},
        ObstacleCase{"quarantined_workers", Obstacle::QuarantinedWorker}),
    [](const auto &test) { return std::string(test.param.Name); });

/// A site of five workers of which some fail or hang for a while.
class SickSite : public testing::TestWithParam<bool> {
protected:
  static constexpr int SiteSize = 5;

  SickSite() {
    MemoryCluster::Options options;
    options.Workers = SiteSize;
    Cluster = std::make_unique<MemoryCluster>(options);
    Cluster->configure({"k"});
    Cluster->runFor(absl::Seconds(4));
  }
  void setAllSick(bool sick) {
    for (int n = 0; n < SiteSize; ++n)
      (GetParam() ? Cluster->worker(n).Hangs : Cluster->worker(n).FailsAll) =
          sick;
  }
  std::unique_ptr<MemoryCluster> Cluster;
};

// Guards against quarantines that grow while all workers are sick and then keep
// all of them from being used long after they are sound again.
TEST_P(SickSite, IsUsedSoonAfterAllWorkersWereSick) {
  setAllSick(true);
  for (int n = 0; n < 60; ++n) {
    Cluster->submit(0, "k", makeJob("s" + std::to_string(n), 5, 8, 500));
    Cluster->runFor(absl::Milliseconds(500));
  }
  setAllSick(false);
  Cluster->submit(0, "k", makeJob("j", 1, 8, 500));
  Cluster->runFor(absl::Milliseconds(200));
  expectNoWaits(*Cluster, "j");
}

INSTANTIATE_TEST_SUITE_P(Table, SickSite, testing::Bool(),
                         [](const auto &test) {
                           return test.param ? "hanging" : "failing";
                         });

// Guards against a job that waits for workers in quarantine, although it has
// attempts to spare and the rest of the site has become idle.
TEST(QuietSite, UsesQuarantinedWorkersForTasksWithAttemptsToSpare) {
  constexpr int Sick = 3;
  constexpr int64_t MidMs = 15000;
  /// Longest time for which a job may have nothing running beside free workers.
  constexpr absl::Duration MaxIdle = absl::Seconds(3);
  MemoryCluster::Options options;
  options.Workers = 8;
  options.WorkersPerRack = Sick;
  MemoryCluster cluster(options);
  cluster.configure({"k"});
  cluster.runFor(absl::Seconds(4));
  const auto inSickRack = [](core::JobSpec spec) {
    spec.Steps.front().NeedsLabel = "r0";
    return spec;
  };
  for (int n = 0; n < Sick; ++n)
    cluster.worker(n).FailsAll = true;
  for (int n = 0; n < 30; ++n) {
    cluster.submit(0, "k",
                   inSickRack(makeJob("s" + std::to_string(n), Sick, 8, 500)));
    cluster.runFor(absl::Seconds(1));
  }
  ASSERT_TRUE(cluster.runUntilAllEnded(absl::Minutes(3)));
  for (int n = 0; n < Sick; ++n)
    cluster.worker(n).FailsAll = false;
  // More than half of the site is in use until the second of these jobs ends.
  cluster.submit(0, "k", makeJob("long", 3, 8, TaskMs));
  cluster.submit(0, "k", makeJob("mid", 2, 8, MidMs));
  cluster.submit(0, "k", inSickRack(makeJob("j", 1, 8, TaskMs)));
  const auto isRunning = [&cluster] {
    const auto &running = cluster.sharedState().Running;
    auto runs = running.find(core::taskName({"j", 0, 0, 0}));
    return runs != running.end() && !runs->second.empty();
  };
  cluster.runFor(absl::Milliseconds(MidMs) + absl::Seconds(1));
  ASSERT_FALSE(isRunning());
  cluster.runFor(MaxIdle);
  EXPECT_TRUE(isRunning()) << cluster.decisionsText("j");
}

// Guards against a task that waits for workers that are full for long, as it
// has not failed there, beside free workers where it has failed.
TEST(FailedTask, RunsWhereItHasFailedIfOnlyThatIsFree) {
  MemoryCluster::Options options;
  options.Workers = 5;
  MemoryCluster cluster(options);
  cluster.configure({"k"});
  cluster.runFor(absl::Seconds(4));
  cluster.submit(0, "k", makeJob("long", 2, 8, TaskMs));
  cluster.runFor(absl::Seconds(2));
  for (int n = 0; n < options.Workers; ++n)
    cluster.worker(n).FailsAll = cluster.worker(n).startsSent() == 0;
  cluster.submit(0, "k", makeJob("j", 1, 8, 500));
  cluster.runFor(absl::Seconds(2));
  for (int n = 0; n < options.Workers; ++n)
    cluster.worker(n).FailsAll = false;
  expectNoWaits(cluster, "j");
}

// Guards against batch work that waits for the last empty workers, which are
// kept for urgent work long after the last urgent job.
TEST(Headroom, DoesNotOutlastUrgentWork) {
  constexpr int Size = 16;
  MemoryCluster::Options options;
  options.Workers = Size;
  MemoryCluster cluster(options);
  cluster.configure({"k"});
  cluster.runFor(absl::Seconds(4));
  for (int n = 0; n < 20; ++n) {
    core::JobSpec urgent = makeJob("u" + std::to_string(n), Size, 4, 100);
    urgent.Queue = "q0";
    cluster.submit(0, "k", urgent);
    cluster.runFor(absl::Milliseconds(300));
  }
  core::JobSpec small = makeJob("small", Size - 2, 1, TaskMs);
  small.Steps.front().MaxPerWorker = 1;
  cluster.submit(0, "k", small);
  cluster.runFor(absl::Seconds(1));
  cluster.submit(0, "k", makeJob("j", 1, 8, 500));
  cluster.runFor(absl::Milliseconds(200));
  expectNoWaits(cluster, "j");
}

// Guards against a task that waits while idle workers are reserved for a gang
// that can start only in a long time.
TEST(Reservation, DoesNotKeepWorkersIdleForLong) {
  constexpr int Size = 16;
  MemoryCluster::Options options;
  options.Workers = Size;
  MemoryCluster cluster(options);
  cluster.configure({"k"});
  cluster.runFor(absl::Seconds(4));
  cluster.submit(0, "k", makeJob("long", 2, 8, TaskMs));
  cluster.runFor(absl::Seconds(1));
  core::JobSpec gang = makeJob("gang", Size - 1, 8, 500);
  gang.Steps.front().Gang = true;
  cluster.submit(0, "k", gang);
  cluster.runFor(absl::Milliseconds(200));
  cluster.submit(0, "k", makeJob("j", 1, 8, 2 * TaskMs));
  cluster.runFor(absl::Milliseconds(200));
  expectNoWaits(cluster, "j");
}

} // namespace
} // namespace oriolebay::cluster
