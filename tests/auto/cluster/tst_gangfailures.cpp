// Gangs of which several members end failed in one run, on workers of their own
// or on one, beside lost leaders, agents that restart and outages of the store.
#include "memorycluster.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace oriolebay::cluster {
namespace {

using endpoints::RunEnd;
using jobs::JobState;

constexpr int Entries = 3;
constexpr const char *Key = "k";
constexpr const char *JobId = "gang";
constexpr int64_t WorkMs = 2000;
/// Time after which the first member of a failing run ends.
constexpr absl::Duration FailsAfter = absl::Milliseconds(200);
/// Time from the end of one member to that of the next, where the leader notes
/// the first before the second happens.
constexpr absl::Duration Spacing = absl::Milliseconds(120);
/// The least time from one end to the next: a step of the workers.
constexpr absl::Duration ShortSpacing = absl::Milliseconds(10);
constexpr absl::Duration StoreOutageTime = absl::Seconds(2);
constexpr absl::Duration EntryDowntime = absl::Seconds(3);
constexpr absl::Duration AgentDowntime = absl::Seconds(1);
constexpr absl::Duration EndLimit = absl::Minutes(4);
/// Time after the job's end in which nothing may start.
constexpr absl::Duration QuietTime = absl::Seconds(10);

/// A gang whose first FailingRuns runs fail.
struct Gang {
  int Members;
  int Attempts;
  int FailingRuns;
};

constexpr Gang Gangs[] = {{3, 4, 3}, {3, 4, 4}, {2, 2, 1}, {2, 2, 2}};

int memberIndex(const std::string &task) {
  core::TaskId id;
  core::parseTaskName(task, id);
  return id.Index;
}

class GangSite;

/// How the runs fail, and what else happens then.
struct FailingRuns {
  const char *Name;
  std::optional<PlannedEnd> (*EndOf)(int member, int64_t run, const Gang &gang);
  /// Called at each end of a failing run, with the number of its ends so far.
  void (*Disturb)(GangSite &site, int endsOfRun);
  int Workers = 8;
};

class GangSite {
public:
  GangSite(const FailingRuns &failing, const Gang &gang, uint64_t seed)
      : Failing(failing), Tested(gang),
        Cluster(
            {.Entries = Entries, .Workers = failing.Workers, .Seed = seed}) {
    Cluster.setPlannedEnds([this](const std::string &task, int64_t run) {
      return isFailing(run) ? Failing.EndOf(memberIndex(task), run, Tested)
                            : std::nullopt;
    });
    Cluster.observeEnds([this](const ObservedEnd &end) { onEnd(end); });
    Cluster.observeStarts([this](const std::string &, int64_t) { onStart(); });
    configure();
    Cluster.runFor(absl::Seconds(4) + absl::Milliseconds(137 * seed));
    submit();
  }

  MemoryCluster &cluster() { return Cluster; }
  int failedRuns() const { return static_cast<int>(FailedRuns.size()); }
  int startsAfterLastAttempt() const { return StartsAfterLastAttempt; }
  int members() const { return Tested.Members; }

  void killLeader() {
    const int leader = Cluster.leader();
    if (leader < 0 || !Cluster.isEntryUp(leader))
      return;
    Cluster.killEntry(leader);
    Cluster.loop().runAfter(EntryDowntime,
                            [this, leader] { Cluster.startEntry(leader); });
  }

  /// Kills the leader as soon as the store has an end that the worker still
  /// lists.
  void killLeaderOnceEndIsRecorded() {
    if (isEndRecorded())
      killLeader();
    else
      Cluster.loop().runAfter(absl::Milliseconds(1),
                              [this] { killLeaderOnceEndIsRecorded(); });
  }

  void setStoreFaults(const MemoryStore::Faults &faults) {
    for (int n = 0; n < Entries; ++n)
      Cluster.store().faults(MemoryCluster::entryName(n)) = faults;
    Cluster.loop().runAfter(StoreOutageTime, [this] {
      for (int n = 0; n < Entries; ++n)
        Cluster.store().faults(MemoryCluster::entryName(n)) = {};
    });
  }

  /// Restarts every step-th agent.
  void restartAgents(int step) {
    for (int n = 0; n < Failing.Workers; n += step) {
      Cluster.killAgent(n);
      Cluster.loop().runAfter(AgentDowntime,
                              [this, n] { Cluster.startAgent(n); });
    }
  }

  void cutOffEverySecondAgent() {
    for (int n = 0; n < Failing.Workers; n += 2) {
      const std::string agent = MemoryCluster::agentName(n);
      Cluster.setPartitioned(agent, true);
      Cluster.loop().runAfter(AgentDowntime, [this, agent] {
        Cluster.setPartitioned(agent, false);
      });
    }
  }

private:
  void configure() {
    core::QueueConfig queue = makeQueue("q1");
    queue.Attempts = Tested.Attempts;
    Cluster.configureSite({{"org", {Key}, 16}}, {queue});
  }

  void submit() {
    const int64_t accelerators = Failing.Workers == 1 ? 1 : 8;
    core::JobSpec spec = makeJob(JobId, Tested.Members, accelerators, WorkMs);
    spec.Steps.front().Gang = true;
    Cluster.submit(0, Key, spec);
    Cluster.runFor(absl::Milliseconds(100));
  }

  // A run fails or not as a whole, whatever ends until its last member starts.
  bool isFailing(int64_t run) {
    return IsFailing.emplace(run, failedRuns() < Tested.FailingRuns)
        .first->second;
  }

  void onStart() {
    StartsAfterLastAttempt += failedRuns() >= Tested.Attempts ? 1 : 0;
  }

  void onEnd(const ObservedEnd &end) {
    if (end.How == RunEnd::Failed)
      FailedRuns.insert(end.Run);
    const int endsOfRun = ++EndsByRun[end.Run];
    if (isFailing(end.Run) && Failing.Disturb != nullptr)
      Cluster.loop().runAfter(absl::ZeroDuration(), [this, endsOfRun] {
        Failing.Disturb(*this, endsOfRun);
      });
  }

  // Whether the store says that a member of the latest run has ended while a
  // worker lists the end as unacknowledged.
  bool isEndRecorded() const {
    const auto progress = Cluster.storedProgress(JobId);
    if (!progress || progress->Tasks.empty())
      return true;
    const jobs::StepProgress &members = progress->Tasks.at(0).at(0);
    for (size_t i = 0; i < members.size(); ++i)
      if (members.find(i) == nullptr || members.find(i)->Worker.empty())
        return true;
    return false;
  }

  const FailingRuns Failing;
  const Gang Tested;
  MemoryCluster Cluster;
  std::set<int64_t> FailedRuns;
  std::map<int64_t, bool> IsFailing;
  std::map<int64_t, int> EndsByRun;
  int StartsAfterLastAttempt = 0;
};

std::optional<PlannedEnd> allAtOnce(int, int64_t, const Gang &) {
  return PlannedEnd{FailsAfter};
}

std::optional<PlannedEnd> shortlyOneByOne(int member, int64_t, const Gang &) {
  return PlannedEnd{FailsAfter + member * ShortSpacing};
}

std::optional<PlannedEnd> oneByOne(int member, int64_t, const Gang &) {
  return PlannedEnd{FailsAfter + member * Spacing};
}

// The others end broken with it.
std::optional<PlannedEnd> oneOnly(int member, int64_t run, const Gang &gang) {
  if (member != run % gang.Members)
    return std::nullopt;
  return PlannedEnd{FailsAfter};
}

std::optional<PlannedEnd> oneBrokenFirst(int member, int64_t, const Gang &) {
  if (member == 0)
    return PlannedEnd{FailsAfter, RunEnd::Broken};
  return PlannedEnd{FailsAfter + Spacing};
}

void killLeaderAfterFirstEnd(GangSite &site, int endsOfRun) {
  if (endsOfRun == 1)
    site.killLeader();
}

void killLeaderAfterLastEnd(GangSite &site, int endsOfRun) {
  if (endsOfRun == site.members())
    site.killLeader();
}

void killLeaderBetweenWrites(GangSite &site, int endsOfRun) {
  if (endsOfRun == 1)
    site.cluster().loop().runAfter(Spacing / 2, [&site] { site.killLeader(); });
}

void killLeaderBeforeAcknowledgement(GangSite &site, int endsOfRun) {
  if (endsOfRun == 1)
    site.killLeaderOnceEndIsRecorded();
}

void silenceStore(GangSite &site, int endsOfRun) {
  if (endsOfRun == 1)
    site.setStoreFaults({.Silent = true});
}

void loseStoreAnswers(GangSite &site, int endsOfRun) {
  if (endsOfRun == 1)
    site.setStoreFaults({.LostAnswerShare = 1});
}

void restartAllAgents(GangSite &site, int endsOfRun) {
  if (endsOfRun == 1)
    site.restartAgents(1);
}

void restartEverySecondAgent(GangSite &site, int endsOfRun) {
  if (endsOfRun == 1)
    site.restartAgents(2);
}

void cutOffAgents(GangSite &site, int endsOfRun) {
  if (endsOfRun == 1)
    site.cutOffEverySecondAgent();
}

class GangThatFails : public testing::TestWithParam<FailingRuns> {};

void expectAttemptsAreCountedByRun(const FailingRuns &failing, const Gang &gang,
                                   uint64_t seed) {
  GangSite site(failing, gang, seed);
  MemoryCluster &cluster = site.cluster();
  ASSERT_EQ(cluster.acceptedJobs().size(), 1U);
  EXPECT_TRUE(cluster.runUntilAllEnded(EndLimit));
  const JobState expected =
      gang.FailingRuns < gang.Attempts ? JobState::Completed : JobState::Failed;
  const std::optional<JobState> state = cluster.finalState(JobId);
  ASSERT_TRUE(state.has_value());
  EXPECT_STREQ(jobs::jobStateName(*state), jobs::jobStateName(expected))
      << cluster.decisionsText(JobId);
  EXPECT_EQ(site.failedRuns(), gang.FailingRuns);
  cluster.runFor(QuietTime);
  EXPECT_EQ(site.startsAfterLastAttempt(), 0) << cluster.decisionsText(JobId);
  EXPECT_TRUE(cluster.violations().empty()) << cluster.violations().front();
}

// Guards against jobs that are shown as failed before their gang has failed in
// as many runs as it has attempts, and against runs after that.
TEST_P(GangThatFails, HasAsManyFailedRunsAsAttempts) {
  for (const Gang &gang : Gangs)
    for (uint64_t seed = 1; seed <= 3; ++seed) {
      SCOPED_TRACE(std::to_string(gang.FailingRuns) + " failing runs of " +
                   std::to_string(gang.Attempts) + ", " +
                   std::to_string(gang.Members) + " members, seed " +
                   std::to_string(seed));
      expectAttemptsAreCountedByRun(GetParam(), gang, seed);
    }
}

INSTANTIATE_TEST_SUITE_P(
    Table, GangThatFails,
    testing::Values(
        FailingRuns{"all_at_once", allAtOnce, nullptr},
        FailingRuns{"shortly_one_by_one", shortlyOneByOne, nullptr},
        FailingRuns{"one_by_one", oneByOne, nullptr},
        FailingRuns{"all_on_one_worker", allAtOnce, nullptr, 1},
        FailingRuns{"one_member_only", oneOnly, nullptr},
        FailingRuns{"one_broken_first", oneBrokenFirst, nullptr},
        FailingRuns{"leader_killed_after_the_first_end", oneByOne,
                    killLeaderAfterFirstEnd},
        FailingRuns{"leader_killed_after_the_last_end", allAtOnce,
                    killLeaderAfterLastEnd},
        FailingRuns{"leader_killed_between_writes", oneByOne,
                    killLeaderBetweenWrites},
        FailingRuns{"leader_killed_before_it_acknowledges", allAtOnce,
                    killLeaderBeforeAcknowledgement},
        FailingRuns{"leader_killed_before_it_acknowledges_the_first", oneByOne,
                    killLeaderBeforeAcknowledgement},
        FailingRuns{"store_is_silent", allAtOnce, silenceStore},
        FailingRuns{"store_is_silent_one_by_one", oneByOne, silenceStore},
        FailingRuns{"store_loses_answers", allAtOnce, loseStoreAnswers},
        FailingRuns{"store_loses_answers_one_by_one", oneByOne,
                    loseStoreAnswers},
        FailingRuns{"all_agents_restart", allAtOnce, restartAllAgents},
        FailingRuns{"some_agents_restart", allAtOnce, restartEverySecondAgent},
        FailingRuns{"some_agents_are_cut_off", allAtOnce, cutOffAgents}),
    [](const auto &test) { return std::string(test.param.Name); });

} // namespace
} // namespace oriolebay::cluster
