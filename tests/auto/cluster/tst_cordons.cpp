// Tests of evacuated failure domains: no agent sends a start to a cordoned
// domain later than the bound after the cordon was set.
#include "memorycluster.h"
#include "seeds.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace oriolebay::cluster {
namespace {

constexpr int WorkerCount = 6;
constexpr int DomainCount = 3;
/// Time within which a cordon is in force in a system without faults: one read
/// of the leader and one report of the agents.
constexpr absl::Duration InForceTime = absl::Milliseconds(1600);
constexpr absl::Duration EndLimit = absl::Minutes(3);

std::unique_ptr<MemoryCluster> servingCluster(uint64_t seed = 1) {
  MemoryCluster::Options options;
  options.Workers = WorkerCount;
  options.Seed = seed;
  for (int n = 0; n < DomainCount; ++n)
    options.SiteDomains.push_back(MemoryCluster::domainName(n));
  auto cluster = std::make_unique<MemoryCluster>(options);
  cluster->configure({"k"});
  cluster->runFor(absl::Seconds(4));
  return cluster;
}

int startsSentIn(MemoryCluster &cluster, const std::string &domain) {
  int count = 0;
  for (int n = 0; n < WorkerCount; ++n)
    if (cluster.worker(n).failureDomain() == domain)
      count += cluster.worker(n).startsSent();
  return count;
}

void setLateOrderShare(MemoryCluster &cluster, double share) {
  for (int n = 0; n < WorkerCount; ++n)
    cluster.worker(n).LateOrderShare = share;
}

core::JobSpec makeGang(const std::string &id, int count, int64_t ms) {
  core::JobSpec spec = makeJob(id, count, 8, ms);
  spec.Steps.front().Gang = true;
  return spec;
}

core::JobSpec makeJobOfSteps(const std::string &id, int steps, int64_t ms) {
  core::JobSpec spec = makeJob(id, WorkerCount, 8, ms);
  for (int s = 1; s < steps; ++s) {
    spec.Steps.push_back(spec.Steps.front());
    spec.Steps.back().After = {s - 1};
  }
  return spec;
}

/// Checks that nothing broke a rule and that, once the cordons are lifted, all
/// jobs are completed.
void expectServedAfterLifting(MemoryCluster &cluster) {
  for (int n = 0; n < DomainCount; ++n)
    cluster.liftCordon(MemoryCluster::domainName(n));
  EXPECT_TRUE(cluster.runUntilAllEnded(EndLimit)) << "a job does not end";
  for (const std::string &job : cluster.acceptedJobs())
    EXPECT_EQ(cluster.storedState(job), jobs::JobState::Completed)
        << cluster.decisionsText(job);
  const std::vector<std::string> found = cluster.violations();
  EXPECT_TRUE(found.empty())
      << found.size() << " violations, the first: " << found.front();
}

/// What happens around the cordon of domain d0, which is set between the two
/// parts; at the end, tasks still wait to start.
struct CordonCase {
  const char *Name;
  std::function<void(MemoryCluster &)> Before;
  std::function<void(MemoryCluster &)> After;
};

void PrintTo(const CordonCase &c, std::ostream *out) { *out << c.Name; }

class CordonedDomain : public testing::TestWithParam<CordonCase> {};

// Guards against starts in a failure domain that the operator evacuates.
TEST_P(CordonedDomain, GetsNoStartAfterTheBound) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    auto cluster = servingCluster(seed);
    GetParam().Before(*cluster);
    cluster->cordon("d0");
    GetParam().After(*cluster);
    for (int n = 0; n < 20; ++n) {
      cluster->submit(n % 3, "k",
                      makeJob("later" + std::to_string(n), 2, 8, 700));
      cluster->runFor(absl::Milliseconds(700));
    }
    expectServedAfterLifting(*cluster);
  }
}

void runNothing(MemoryCluster &) {}

void submitAndRun(MemoryCluster &cluster, const core::JobSpec &spec,
                  absl::Duration time) {
  cluster.submit(0, "k", spec);
  cluster.runFor(time);
}

const CordonCase CordonCases[] = {
    {"while_idle", runNothing, runNothing},
    {"while_orders_are_late",
     [](MemoryCluster &c) {
       setLateOrderShare(c, 1);
       submitAndRun(c, makeJob("j", WorkerCount, 8, 3000),
                    absl::Milliseconds(100));
     },
     [](MemoryCluster &c) {
       c.runFor(absl::Seconds(6));
       setLateOrderShare(c, 0);
     }},
    {"while_answers_are_lost",
     [](MemoryCluster &c) {
       for (int n = 0; n < WorkerCount; ++n)
         c.worker(n).LostOrderAnswerShare = 0.5;
       submitAndRun(c, makeJob("j", 30, 8, 500), absl::Seconds(1));
     },
     [](MemoryCluster &c) {
       c.runFor(absl::Seconds(8));
       for (int n = 0; n < WorkerCount; ++n)
         c.worker(n).LostOrderAnswerShare = 0;
     }},
    {"while_workers_do_not_listen",
     [](MemoryCluster &c) {
       for (int n = 0; n < 2; ++n)
         c.worker(n).crashFor(absl::Seconds(7), MemoryWorker::RestartId::Same);
       submitAndRun(c, makeJob("j", WorkerCount, 8, 3000),
                    absl::Milliseconds(100));
     },
     runNothing},
    {"while_orders_are_held_up",
     [](MemoryCluster &c) {
       c.runFor(absl::Milliseconds(100));
       for (int n = 0; n < 2; ++n)
         c.holdMessages(MemoryCluster::agentName(n), absl::Seconds(7));
       submitAndRun(c, makeJob("j", WorkerCount, 8, 9000),
                    absl::Milliseconds(400));
     },
     runNothing},
    {"while_agents_are_cut_off",
     [](MemoryCluster &c) {
       setLateOrderShare(c, 1);
       submitAndRun(c, makeJob("j", WorkerCount, 8, 3000),
                    absl::Milliseconds(30));
       for (int n = 0; n < 2; ++n)
         c.setPartitioned(MemoryCluster::agentName(n), true);
     },
     [](MemoryCluster &c) {
       c.runFor(absl::Seconds(9));
       setLateOrderShare(c, 0);
       for (int n = 0; n < 2; ++n)
         c.setPartitioned(MemoryCluster::agentName(n), false);
     }},
    {"while_the_leader_is_cut_off",
     [](MemoryCluster &c) {
       submitAndRun(c, makeJob("j", 30, 8, 500), absl::Milliseconds(200));
       c.store().faults(MemoryCluster::entryName(c.leader())).Silent = true;
     },
     [](MemoryCluster &c) {
       c.runFor(absl::Seconds(9));
       for (int n = 0; n < 3; ++n)
         c.store().faults(MemoryCluster::entryName(n)).Silent = false;
     }},
    {"while_the_leader_is_killed",
     [](MemoryCluster &c) {
       submitAndRun(c, makeJob("j", 30, 8, 500), absl::Milliseconds(200));
     },
     [](MemoryCluster &c) { c.killEntry(c.leader()); }},
    {"while_agents_are_killed",
     [](MemoryCluster &c) {
       submitAndRun(c, makeJob("j", 30, 8, 500), absl::Milliseconds(200));
     },
     [](MemoryCluster &c) {
       for (int n = 0; n < 2; ++n)
         c.killAgent(n);
       c.runFor(absl::Milliseconds(500));
       for (int n = 0; n < 2; ++n)
         c.startAgent(n);
     }},
    {"while_everything_is_killed",
     [](MemoryCluster &c) {
       submitAndRun(c, makeJob("j", 30, 8, 500), absl::Milliseconds(200));
     },
     [](MemoryCluster &c) {
       for (int n = 0; n < 3; ++n)
         c.killEntry(n);
       for (int n = 0; n < WorkerCount; ++n)
         c.killAgent(n);
       c.runFor(absl::Seconds(1));
       for (int n = 0; n < 3; ++n)
         c.startEntry(n);
       for (int n = 0; n < WorkerCount; ++n)
         c.startAgent(n);
     }},
    {"while_a_gang_is_half_started",
     [](MemoryCluster &c) {
       for (int n = 0; n < 2; ++n)
         c.worker(n).LateOrderShare = 1;
       submitAndRun(c, makeGang("gang", WorkerCount, 2000),
                    absl::Milliseconds(60));
     },
     [](MemoryCluster &c) {
       c.runFor(absl::Seconds(3));
       setLateOrderShare(c, 0);
     }},
    {"while_a_gang_fails",
     [](MemoryCluster &c) {
       submitAndRun(c, makeGang("gang", 4, 3000), absl::Seconds(1));
       c.worker(0).crash();
     },
     runNothing},
    {"between_steps",
     [](MemoryCluster &c) {
       submitAndRun(c, makeJobOfSteps("steps", 6, 1500), absl::Seconds(1));
     },
     runNothing},
    {"while_tasks_are_retried",
     [](MemoryCluster &c) {
       for (int n = 0; n < 2; ++n)
         c.worker(n).FailsAll = true;
       submitAndRun(c, makeJob("j", 30, 8, 500), absl::Seconds(1));
       for (int n = 0; n < 2; ++n)
         c.worker(n).FailsAll = false;
     },
     runNothing},
    {"while_others_are_stopped_for_urgent_work",
     [](MemoryCluster &c) {
       core::JobSpec batch = makeJob("batch", WorkerCount, 8, 6000);
       batch.Steps.front().Checkpoints = true;
       submitAndRun(c, batch, absl::Seconds(1));
       core::JobSpec urgent = makeJob("urgent", WorkerCount, 8, 1500);
       urgent.Queue = "q0";
       submitAndRun(c, urgent, absl::Milliseconds(100));
     },
     runNothing},
    {"lifted_and_set_again_at_once",
     [](MemoryCluster &c) {
       submitAndRun(c, makeJob("j", 60, 8, 500), absl::Seconds(1));
       c.cordon("d0");
       c.runFor(absl::Seconds(3));
       c.liftCordon("d0");
       c.runFor(absl::Milliseconds(700));
     },
     runNothing},
    {"with_another_domain",
     [](MemoryCluster &c) {
       submitAndRun(c, makeJob("j", 60, 8, 500), absl::Seconds(1));
       c.cordon("d1");
     },
     runNothing},
    {"with_an_unknown_domain", [](MemoryCluster &c) { c.cordon("nowhere"); },
     runNothing},
    {"while_its_value_is_unreadable",
     [](MemoryCluster &c) { c.cordon("d0", "\xff{not json"); }, runNothing},
    {"while_the_store_forgets_its_history",
     [](MemoryCluster &c) {
       submitAndRun(c, makeJob("j", 60, 8, 500), absl::Seconds(1));
       c.store().compact();
     },
     [](MemoryCluster &c) { c.store().compact(); }},
    {"while_watches_are_silent",
     [](MemoryCluster &c) {
       for (int n = 0; n < 3; ++n)
         c.store().faults(MemoryCluster::entryName(n)).WatchesSilent = true;
       submitAndRun(c, makeJob("j", 60, 8, 500), absl::Seconds(1));
     },
     runNothing},
    {"while_the_store_is_slow",
     [](MemoryCluster &c) {
       for (int n = 0; n < 3; ++n)
         c.store().faults(MemoryCluster::entryName(n)).Delay =
             absl::Milliseconds(400);
       submitAndRun(c, makeJob("j", 60, 8, 500), absl::Seconds(1));
     },
     runNothing},
};

INSTANTIATE_TEST_SUITE_P(Table, CordonedDomain, testing::ValuesIn(CordonCases),
                         [](const auto &test) {
                           return std::string(test.param.Name);
                         });

// Guards against a cordon that takes as long as its bound: without faults it is
// in force much sooner, and work goes elsewhere.
TEST(Cordons, AreInForceSoonWithoutFaults) {
  auto cluster = servingCluster();
  cluster->cordon("d0");
  cluster->runFor(InForceTime);
  const int before = startsSentIn(*cluster, "d0");
  submitAndRun(*cluster, makeJob("j", 24, 8, 500), absl::Seconds(6));
  EXPECT_EQ(startsSentIn(*cluster, "d0"), before);
  EXPECT_EQ(cluster->storedState("j"), jobs::JobState::Completed);
}

// Guards against tasks that are stopped although their failure domain is only
// to get no new ones.
TEST(Cordons, LeaveRunningTasksAlone) {
  auto cluster = servingCluster();
  submitAndRun(*cluster, makeJob("j", WorkerCount, 8, 4000), absl::Seconds(1));
  cluster->cordon("d0");
  ASSERT_TRUE(cluster->runUntilAllEnded(absl::Seconds(6)));
  EXPECT_EQ(cluster->starts(), WorkerCount);
}

// Guards against a failure domain that stays unused after its cordon is lifted.
TEST(Cordons, EndWhenTheyAreLifted) {
  auto cluster = servingCluster();
  cluster->cordon("d0");
  cluster->runFor(absl::Seconds(8));
  cluster->liftCordon("d0");
  cluster->runFor(InForceTime);
  submitAndRun(*cluster, makeJob("j", WorkerCount, 8, 1000),
               absl::Milliseconds(500));
  EXPECT_EQ(startsSentIn(*cluster, "d0"), 2);
}

class CordonedSite : public testing::Test {
protected:
  CordonedSite() : Cluster(servingCluster()) {}
  void cordonAll() {
    for (int n = 0; n < DomainCount; ++n)
      Cluster->cordon(MemoryCluster::domainName(n));
    Cluster->runFor(absl::Seconds(3));
  }
  std::unique_ptr<MemoryCluster> Cluster;
};

// Guards against callers that wait for a job that cannot start anywhere, and
// against a "not done" for a job that was accepted.
TEST_F(CordonedSite, RefusesNewJobsAtOnceButConfirmsAcceptedOnes) {
  submitAndRun(*Cluster, makeJob("accepted", 1, 8, 9000), absl::Seconds(1));
  cordonAll();
  for (int entry = 0; entry < 3; ++entry) {
    const std::string id = "refused" + std::to_string(entry);
    auto refused = Cluster->submit(entry, "k", makeJob(id, 1, 8, 1000));
    auto repeated =
        Cluster->submit(entry, "k", makeJob("accepted", 1, 8, 9000));
    Cluster->runFor(absl::Milliseconds(100));
    ASSERT_TRUE(refused->Answer && repeated->Answer);
    EXPECT_EQ(refused->Answer->Result, jobs::CallResult::NotDone);
    EXPECT_GT(refused->Answer->RetryAfterMs, 0);
    EXPECT_FALSE(Cluster->storedState(id));
    EXPECT_EQ(repeated->Answer->Result, jobs::CallResult::Ok);
  }
}

// Guards against accepted jobs that are lost or fail while nothing can start.
TEST_F(CordonedSite, KeepsAcceptedJobsUntilACordonIsLifted) {
  submitAndRun(*Cluster, makeJob("j", 30, 8, 2000), absl::Seconds(1));
  cordonAll();
  Cluster->runFor(absl::Seconds(20));
  EXPECT_EQ(Cluster->storedState("j"), jobs::JobState::Running);
  expectServedAfterLifting(*Cluster);
}

/// Cordons are set and lifted while leaders change, messages are held up,
/// orders are late, and workers, agents and the store fail.
class CordonScenario {
public:
  explicit CordonScenario(uint64_t seed)
      : Random(seed), Cluster(servingCluster(seed)) {}

  void run() {
    for (int tick = 0; tick < 120; ++tick) {
      if (randomInt(1, 4) == 1)
        submitRandomJob();
      if (randomInt(1, 10) == 1)
        changeCordon();
      if (randomInt(1, 10) == 1)
        injectFault();
      Cluster->runFor(absl::Milliseconds(250));
    }
    Cluster->runFor(absl::Seconds(15));
  }
  MemoryCluster &cluster() { return *Cluster; }

private:
  int randomInt(int from, int to) {
    return std::uniform_int_distribution<>(from, to)(Random);
  }
  void healLater(std::function<void()> heal) {
    Cluster->loop().runAfter(absl::Milliseconds(randomInt(300, 9000)),
                             std::move(heal));
  }

  void submitRandomJob() {
    const std::string id = "job" + std::to_string(++Jobs);
    core::JobSpec spec = makeJob(id, randomInt(1, 8), 1 << randomInt(1, 3),
                                 100 * randomInt(3, 30));
    spec.Queue = "q" + std::to_string(randomInt(0, 2));
    spec.Steps.front().Checkpoints = randomInt(0, 1) == 1;
    if (randomInt(0, 2) == 0) {
      spec.Steps.front().Count = randomInt(2, 4);
      spec.Steps.front().Gang = true;
    }
    Cluster->submit(randomInt(0, 2), "k", spec);
  }

  void changeCordon() {
    const std::string domain =
        MemoryCluster::domainName(randomInt(0, DomainCount - 1));
    if (!Cordoned.insert(domain).second) {
      Cordoned.erase(domain);
      return Cluster->liftCordon(domain);
    }
    Cluster->cordon(domain);
  }

  void injectFault() {
    const int entry = randomInt(0, 2);
    const int worker = randomInt(0, WorkerCount - 1);
    const std::string process = randomInt(0, 1) == 0
                                    ? MemoryCluster::entryName(entry)
                                    : MemoryCluster::agentName(worker);
    MemoryCluster &c = *Cluster;
    switch (randomInt(0, 9)) {
    case 0:
      c.killEntry(entry);
      return healLater([&c, entry] {
        if (!c.isEntryUp(entry))
          c.startEntry(entry);
      });
    case 1:
      c.killAgent(worker);
      return healLater([&c, worker] { c.startAgent(worker); });
    case 2:
      c.setPartitioned(process, true);
      return healLater([&c, process] { c.setPartitioned(process, false); });
    case 3:
    case 4:
      return c.holdMessages(process, absl::Milliseconds(randomInt(300, 12000)));
    case 5:
      c.store().faults(process).Silent = true;
      return healLater(
          [&c, process] { c.store().faults(process).Silent = false; });
    case 6:
      c.store().faults(process).Delay = absl::Milliseconds(randomInt(50, 900));
      return healLater([&c, process] {
        c.store().faults(process).Delay = absl::Milliseconds(4);
      });
    case 7:
      c.worker(worker).LateOrderShare = 0.5;
      return healLater([&c, worker] { c.worker(worker).LateOrderShare = 0; });
    case 8:
      c.worker(worker).LostOrderAnswerShare = 0.5;
      return healLater(
          [&c, worker] { c.worker(worker).LostOrderAnswerShare = 0; });
    default:
      return c.worker(worker).crashFor(absl::Milliseconds(randomInt(20, 3000)),
                                       MemoryWorker::RestartId::New);
    }
  }

  std::mt19937_64 Random;
  std::unique_ptr<MemoryCluster> Cluster;
  int Jobs = 0;
  std::set<std::string> Cordoned;
};

// Guards against starts in a cordoned domain under any mix of faults, and
// against jobs that are lost by them.
TEST(Cordons, InvariantsHoldUnderRandomFaults) {
  const auto [first, last] = seedsToRun();
  for (int seed = first; seed <= last; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    CordonScenario scenario(static_cast<uint64_t>(seed));
    scenario.run();
    MemoryCluster &cluster = scenario.cluster();
    for (int n = 0; n < DomainCount; ++n)
      cluster.liftCordon(MemoryCluster::domainName(n));
    cluster.watchWaits();
    EXPECT_TRUE(cluster.runUntilAllEnded(EndLimit)) << "a job does not end";
    const std::vector<std::string> found = cluster.violations();
    EXPECT_TRUE(found.empty())
        << found.size() << " violations, the first: " << found.front();
  }
}

} // namespace
} // namespace oriolebay::cluster
