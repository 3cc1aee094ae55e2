// Tests of agents that fall silent and leaders that are lost after them: the
// next leader knows of the silence and must not wait for too short a time.
#include "memorycluster.h"

#include <gtest/gtest.h>

#include <absl/time/time.h>

#include <ostream>
#include <string>
#include <vector>

namespace oriolebay::cluster {
namespace {

constexpr int Workers = 6;

/// A cluster with a job of one task, which outlasts the faults.
template <class Case> class OneTask : public testing::TestWithParam<Case> {
protected:
  static MemoryCluster::Options options() {
    MemoryCluster::Options options;
    options.Workers = Workers;
    return options;
  }

  OneTask() {
    Cluster.configure({"k"});
    Cluster.runFor(absl::Seconds(4));
  }

  void submitJob() { Cluster.submit(0, "k", makeJob("j", 1, 8, 25000)); }
  /// The worker that runs the task; -1 if none does.
  int busyWorker() {
    for (const auto &[task, runs] : Cluster.sharedState().Running)
      for (int n = 0; n < Workers && !runs.empty(); ++n)
        if (Cluster.worker(n).incarnation() == runs.begin()->first)
          return n;
    return -1;
  }
  void expectNoViolations() {
    const std::vector<std::string> found = Cluster.violations();
    EXPECT_TRUE(found.empty()) << found.front() << '\n'
                               << Cluster.decisionsText("j");
  }

  MemoryCluster Cluster{options()};
};

struct Silence {
  const char *Name;
  /// Time for which the leader does not hear from the agent, in milliseconds.
  int SilentMs;
  /// Time for which it does again before it is cut off itself.
  int HeardMs;
};

void PrintTo(const Silence &c, std::ostream *out) { *out << c.Name; }

class AgentThatComesBack : public OneTask<Silence> {};

// Guards against a task that runs twice: the leader has recorded that the agent
// is silent, loses the store and hears from the agent again, which the next
// leader cannot reach.
TEST_P(AgentThatComesBack, ToACutOffLeaderRunsItsTasksOnce) {
  submitJob();
  Cluster.runFor(absl::Seconds(1));
  const int old = Cluster.leader();
  ASSERT_GE(old, 0);
  const int worker = busyWorker();
  ASSERT_GE(worker, 0);
  const std::string agent = MemoryCluster::agentName(worker);
  Cluster.setPartitioned(agent, true);
  Cluster.runFor(absl::Milliseconds(GetParam().SilentMs));
  Cluster.setPartitioned(agent, false);
  Cluster.runFor(absl::Milliseconds(GetParam().HeardMs));
  Cluster.store().faults(MemoryCluster::entryName(old)).Silent = true;
  for (int n = 0; n < options().Entries; ++n)
    if (n != old) {
      Cluster.partitionPair(MemoryCluster::entryName(n), agent);
      Cluster.partitionPair(MemoryCluster::entryName(n),
                            MemoryCluster::entryName(old));
    }
  EXPECT_TRUE(Cluster.runUntilAllEnded(absl::Seconds(90)));
  expectNoViolations();
}

INSTANTIATE_TEST_SUITE_P(Table, AgentThatComesBack,
                         testing::Values(Silence{"after_2_s", 2300, 0},
                                         Silence{"after_4_s", 4000, 0},
                                         Silence{"after_5_s", 5000, 0},
                                         Silence{"and_stays_a_moment", 4000,
                                                 100},
                                         Silence{"and_stays", 4000, 1500}),
                         [](const auto &test) { return test.param.Name; });

struct LostAgent {
  const char *Name;
  /// When the leader is lost, in milliseconds since the agent was.
  int LeaderLostAtMs;
};

void PrintTo(const LostAgent &c, std::ostream *out) { *out << c.Name; }

/// Time from the loss of the agent until its worker restarts. The worker's
/// clock then still allows the start when it is carried out.
constexpr absl::Duration WorkerRestartsAfter = absl::Milliseconds(6500);

class StartOfALostAgent : public OneTask<LostAgent> {
protected:
  /// Submits the job while all starts are late. Returns the worker that was
  /// told to start its task; -1 if none was.
  int submitWithLateStart() {
    for (int n = 0; n < Workers; ++n) {
      Cluster.worker(n).LateOrderShare = 1;
      Cluster.worker(n).MinLateDelay = absl::Seconds(12);
    }
    submitJob();
    Cluster.runFor(absl::Milliseconds(100));
    int worker = -1;
    for (int n = 0; n < Workers; ++n) {
      Cluster.worker(n).LateOrderShare = 0;
      if (Cluster.worker(n).startsSent() > 0)
        worker = n;
    }
    return worker;
  }
};

// Guards against a task that runs twice: the agent has sent a start that the
// worker's next incarnation carries out late, and the next leader counts from
// the agent's silence.
TEST_P(StartOfALostAgent, IsWaitedForByTheNextLeader) {
  const int worker = submitWithLateStart();
  ASSERT_GE(worker, 0);
  const absl::Time lostAt = Cluster.loop().now();
  Cluster.killAgent(worker);
  Cluster.runFor(absl::Milliseconds(GetParam().LeaderLostAtMs));
  ASSERT_GE(Cluster.leader(), 0);
  Cluster.killEntry(Cluster.leader());
  Cluster.runFor(lostAt + WorkerRestartsAfter - Cluster.loop().now());
  Cluster.worker(worker).crashFor(absl::Milliseconds(200),
                                  MemoryWorker::RestartId::Same);
  Cluster.runFor(absl::Seconds(40));
  expectNoViolations();
}

INSTANTIATE_TEST_SUITE_P(
    Table, StartOfALostAgent,
    testing::Values(LostAgent{"before_it_is_recorded", 1000},
                    LostAgent{"soon", 2500},
                    LostAgent{"before_the_grant_ends", 4000},
                    LostAgent{"as_the_grant_ends", 5600},
                    LostAgent{"after_the_grant_ends", 6400}),
    [](const auto &test) { return test.param.Name; });

} // namespace
} // namespace oriolebay::cluster
