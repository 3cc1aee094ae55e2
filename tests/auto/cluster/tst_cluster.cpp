#include "servingcluster.h"

#include <gtest/gtest.h>

namespace oriolebay::cluster {
namespace {

TEST(Cluster, ServesAJobFromEndToEnd) {
  auto cluster = servingCluster();
  auto call = cluster->submit(1, "k1", makeJob("j1", 4, 2, 1000));
  cluster->runFor(absl::Milliseconds(100));
  ASSERT_TRUE(call->Answer.has_value());
  EXPECT_EQ(call->Answer->Result, jobs::CallResult::Ok);
  ASSERT_TRUE(cluster->runUntilAllEnded(absl::Seconds(5)));
  auto shown = cluster->state(2, "k1", "j1");
  cluster->runFor(absl::Milliseconds(100));
  EXPECT_EQ(shown->Answer->State, jobs::JobState::Completed);
  EXPECT_TRUE(hasNoViolations(*cluster));
}

// Guards against a load on the store that grows with the number of entries:
// with many entries and hundreds of written records a second the store was
// called two thousand times a second, as each write woke each entry. The store
// calls of an entry that only serves callers must not grow with the jobs.
TEST(Cluster, StoreCallsOfNonLeadersDoNotGrowWithJobs) {
  constexpr int Seconds = 4;
  // Two views that pause between watches, one confirmed configuration, one
  // lease and idle watches.
  constexpr int MaxCallsPerEntrySecond = 12;
  std::map<int, int> callsAtSize;
  for (int entries : {2, 12}) {
    auto cluster = servingCluster({entries, 6, 3, 1});
    const int leader = cluster->leader();
    const int before = cluster->store().calls();
    for (int n = 0; n < 20 * Seconds; ++n) {
      cluster->submit(leader, "k1",
                      makeJob("j" + std::to_string(n), 10, 0, 200));
      cluster->runFor(absl::Milliseconds(50));
    }
    callsAtSize[entries] = cluster->store().calls() - before;
  }
  const int others = 12 - 2;
  EXPECT_LE(callsAtSize[12] - callsAtSize[2],
            others * Seconds * MaxCallsPerEntrySecond);
}

struct StoreUnreachableCase {
  const char *Name;
  std::function<void(MemoryStore::Faults &)> Inject;
  /// Time from the fault to the first calls, and the maximum time of one call.
  int AfterMs;
  int WithinMs;
};

std::ostream &operator<<(std::ostream &out, const StoreUnreachableCase &c) {
  return out << c.Name;
}

class StoreUnreachableForOneEntry
    : public ::testing::TestWithParam<StoreUnreachableCase> {};

// Guards against callers that are asked to retry after a second, two or three
// times over, and see their jobs running for seconds after the end: the store
// refuses one entry, or a network partition separates the two, while the other
// entries are served.
TEST_P(StoreUnreachableForOneEntry, CallsAreServedByAnotherEntry) {
  for (int seed = 1; seed <= 3; ++seed) {
    auto cluster = servingCluster({3, 6, 3, static_cast<uint64_t>(seed)});
    const int isolated = (cluster->leader() + 1) % 3;
    GetParam().Inject(
        cluster->store().faults(MemoryCluster::entryName(isolated)));
    cluster->runFor(absl::Milliseconds(GetParam().AfterMs));
    auto call = cluster->submit(isolated, "k1", makeJob("j", 1, 1, 500));
    cluster->runFor(absl::Milliseconds(GetParam().WithinMs));
    ASSERT_TRUE(call->Answer.has_value());
    EXPECT_EQ(call->Answer->Result, jobs::CallResult::Ok)
        << call->Answer->Detail;
    ASSERT_TRUE(cluster->runUntilAllEnded(absl::Seconds(3)));
    auto shown = cluster->state(isolated, "k1", "j");
    auto unknown = cluster->state(isolated, "no such key", "j");
    cluster->runFor(absl::Milliseconds(100));
    ASSERT_TRUE(shown->Answer.has_value());
    EXPECT_EQ(shown->Answer->State, jobs::JobState::Completed);
    ASSERT_TRUE(unknown->Answer.has_value());
    EXPECT_EQ(unknown->Answer->Result, jobs::CallResult::BadKey);
    EXPECT_EQ(cluster->starts(), 1);
    EXPECT_TRUE(hasNoViolations(*cluster));
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table, StoreUnreachableForOneEntry,
    ::testing::Values(
        StoreUnreachableCase{"refuses", [](auto &f) { f.Refuses = true; }, 5,
                             50},
        StoreUnreachableCase{"refuses_for_long",
                             [](auto &f) { f.Refuses = true; }, 4000, 50},
        StoreUnreachableCase{"silent", [](auto &f) { f.Silent = true; }, 5,
                             400},
        StoreUnreachableCase{"silent_for_long",
                             [](auto &f) { f.Silent = true; }, 4000, 50}),
    [](const auto &info) { return info.param.Name; });

// Guards against a configuration change that callers see reverted at one
// address. An entry loses the store, and the configuration changes: one key is
// removed, one is added. A call with the new key was forwarded and served, but
// the next call, with the removed key, was served by the entry's old
// configuration.
TEST(Cluster, EntryThatSawANewerConfigIgnoresItsOwn) {
  auto cluster = servingCluster();
  const int isolated = (cluster->leader() + 1) % 3;
  cluster->submit(isolated, "k1", makeJob("j", 1, 1, 200));
  ASSERT_TRUE(cluster->runUntilAllEnded(absl::Seconds(3)));
  cluster->runFor(absl::Seconds(1));
  cluster->store().faults(MemoryCluster::entryName(isolated)).Silent = true;
  cluster->configure({"k2", "k3"});
  cluster->runFor(absl::Milliseconds(1100));
  auto newKey = cluster->state(isolated, "k3", "j");
  cluster->runFor(absl::Milliseconds(100));
  ASSERT_TRUE(newKey->Answer.has_value());
  ASSERT_EQ(newKey->Answer->Result, jobs::CallResult::UnknownJob);
  auto oldKey = cluster->state(isolated, "k1", "j");
  cluster->runFor(absl::Milliseconds(100));
  ASSERT_TRUE(oldKey->Answer.has_value());
  EXPECT_EQ(oldKey->Answer->Result, jobs::CallResult::BadKey);
  // Once the store has confirmed its view, the entry answers by itself again.
  cluster->store().faults(MemoryCluster::entryName(isolated)).Silent = false;
  cluster->runFor(absl::Seconds(4));
  auto later = cluster->state(isolated, "k1", "j");
  auto known = cluster->submit(isolated, "k2", makeJob("j2", 1, 1, 200));
  cluster->runFor(absl::Milliseconds(100));
  ASSERT_TRUE(known->Answer.has_value());
  EXPECT_EQ(known->Answer->Result, jobs::CallResult::Ok);
  EXPECT_EQ(known->Answer->Detail, "");
  ASSERT_TRUE(later->Answer.has_value());
  EXPECT_EQ(later->Answer->Result, jobs::CallResult::BadKey);
}

// Guards against a log that does not show which entry served a call and by
// which configuration: a decision of another entry was logged with this entry's
// configuration, which the store confirmed only later.
TEST(Cluster, LogOfForwardedCallNamesEntryAndConfig) {
  auto cluster = servingCluster();
  const int isolated = (cluster->leader() + 1) % 3;
  const std::string leader = MemoryCluster::entryName(cluster->leader());
  cluster->submit(isolated, "k1", makeJob("j", 1, 1, 200));
  ASSERT_TRUE(cluster->runUntilAllEnded(absl::Seconds(3)));
  cluster->runFor(absl::Seconds(1));
  cluster->store().faults(MemoryCluster::entryName(isolated)).Silent = true;
  cluster->configure({"k1", "k3"});
  cluster->runFor(absl::Milliseconds(1100));
  cluster->state(isolated, "k3", "j");
  cluster->runFor(absl::Milliseconds(100));
  const jobs::CallDecision &line = cluster->callDecisions().back();
  EXPECT_EQ(line.ConfigVersion, 1);
  EXPECT_GE(line.ConfigAgeMs, 1100);
  EXPECT_EQ(line.Answer.ServedBy, leader);
  EXPECT_EQ(line.Answer.DecidedBy.Version, 2);
  EXPECT_GT(line.Answer.DecidedBy.Revision, 0);
}

// The line of a submitted job tells writes that may be stored apart from writes
// that the store refused.
TEST(Cluster, LogOfASubmittedJobCountsItsWritesWithoutAnswer) {
  MemoryCluster cluster({1, 1, 1, 1});
  cluster.configure({"k1"});
  cluster.runFor(absl::Seconds(4));
  auto &faults = cluster.store().faults(MemoryCluster::entryName(0));
  faults.LostAnswerShare = 1;
  cluster.submit(0, "k1", makeJob("lost", 1, 1, 200));
  cluster.runFor(absl::Milliseconds(100));
  faults.LostAnswerShare = 0;
  cluster.runFor(absl::Seconds(2));
  faults.Refuses = true;
  cluster.submit(0, "k1", makeJob("refused", 1, 1, 200));
  cluster.runFor(absl::Seconds(2));
  const auto &lines = cluster.callDecisions();
  ASSERT_EQ(lines.size(), 2);
  EXPECT_EQ(lines[0].WritesSent, 2);
  EXPECT_EQ(lines[0].WritesUnanswered, 1);
  EXPECT_GE(lines[1].WritesSent, 1);
  EXPECT_EQ(lines[1].WritesUnanswered, 0);
}

// Guards against a caller with a new key that waits for a silent store as long
// as a store call may take, although another entry could serve it.
TEST(Cluster, ForwardsNewKeySoonWhenTheStoreIsSilent) {
  constexpr int FirstTryAndForwardMs = 400;
  auto cluster = servingCluster();
  const int isolated = (cluster->leader() + 1) % 3;
  cluster->store().faults(MemoryCluster::entryName(isolated)).Silent = true;
  cluster->configure({"k1", "k3"});
  cluster->runFor(absl::Milliseconds(50));
  auto call = cluster->countQueued(isolated, "k3", "q1");
  cluster->runFor(absl::Milliseconds(FirstTryAndForwardMs));
  ASSERT_TRUE(call->Answer.has_value());
  EXPECT_EQ(call->Answer->Result, jobs::CallResult::Ok);
}

// Guards against a leader that cannot keep up: all leases lapse in an outage,
// and one of many small entries is the first to ask for leadership.
TEST(Cluster, LargeEntryIsElectedAfterAllLeasesLapsed) {
  constexpr int Large = 2;
  constexpr int Entries = 8;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    MemoryCluster::Options options{Entries, 3, 3, seed};
    options.FirstSmallEntry = Large;
    auto cluster = servingCluster(options);
    // Staggered restarts make the small entries renew their leases at different
    // times.
    for (int n = Large; n < Entries; ++n) {
      cluster->killEntry(n);
      cluster->runFor(absl::Milliseconds(61 * static_cast<int>(seed)));
      cluster->startEntry(n);
    }
    cluster->runFor(absl::Seconds(2));
    for (int n = 0; n < Entries; ++n)
      cluster->store().faults(MemoryCluster::entryName(n)).Refuses = true;
    cluster->runFor(absl::Seconds(4));
    for (int n = 0; n < Entries; ++n)
      cluster->store().faults(MemoryCluster::entryName(n)).Refuses = false;
    cluster->runFor(absl::Seconds(3));
    EXPECT_GE(cluster->leader(), 0) << "seed " << seed;
    EXPECT_LT(cluster->leader(), Large) << "seed " << seed;
  }
}

// Guards against small entries that leave leadership to large ones that no
// longer run.
// Guards against a site that waits for the lease of a leader which has ended:
// after a loss of power all processes are back long before that lease lapses.
TEST(Cluster, LeaderIsElectedAtOnceAfterAllProcessesHaveRestarted) {
  auto cluster = servingCluster();
  const int64_t epoch =
      cluster->store().items().at(entry::JobLeaderKey).CreateRevision;
  for (int n = 0; n < 3; ++n)
    cluster->killEntry(n);
  for (int n = 0; n < 3; ++n)
    cluster->startEntry(n);
  cluster->runFor(absl::Milliseconds(300));
  const auto &items = cluster->store().items();
  ASSERT_EQ(items.count(entry::JobLeaderKey), 1u);
  EXPECT_GT(items.at(entry::JobLeaderKey).CreateRevision, epoch);
  cluster->submit(0, "k1", makeJob("j", 1, 1, 200));
  EXPECT_TRUE(cluster->runUntilAllEnded(absl::Seconds(3)));
  EXPECT_TRUE(hasNoViolations(*cluster));
}

TEST(Cluster, SmallEntryIsElectedWithoutLargeOnes) {
  MemoryCluster::Options options;
  options.FirstSmallEntry = 1;
  auto cluster = servingCluster(options);
  cluster->killEntry(0);
  cluster->runFor(absl::Seconds(5));
  EXPECT_GT(cluster->leader(), 0);
}

// The store is unavailable to all entries. Guards against a call that entries
// forward to each other until its caller's time is over; the answer "not done"
// must be true.
TEST(Cluster, CallThatNoEntryCanServeIsRefusedSoon) {
  auto cluster = servingCluster();
  for (int n = 0; n < 3; ++n)
    cluster->store().faults(MemoryCluster::entryName(n)).Refuses = true;
  cluster->runFor(absl::Seconds(1));
  std::vector<std::shared_ptr<MemoryCluster::CallerCall>> calls;
  for (int n = 0; n < 3; ++n)
    calls.push_back(
        cluster->submit(n, "k1", makeJob("j" + std::to_string(n), 1, 1, 500)));
  cluster->runFor(absl::Milliseconds(30));
  for (const auto &call : calls) {
    ASSERT_TRUE(call->Answer.has_value());
    EXPECT_EQ(call->Answer->Result, jobs::CallResult::NotDone);
    EXPECT_GT(call->Answer->RetryAfterMs, 0);
    EXPECT_FALSE(cluster->storedState(call->Job).has_value());
  }
}

// For an entry that reaches neither the store nor another entry: only the first
// caller may wait until that is detected, later ones are refused at once. Calls
// are served again once the entry reaches the other entries.
TEST(Cluster, IsolatedEntryRefusesAtOnce) {
  auto cluster = servingCluster();
  const int isolated = (cluster->leader() + 1) % 3;
  cluster->store().faults(MemoryCluster::entryName(isolated)).Refuses = true;
  cluster->setPartitioned(MemoryCluster::entryName(isolated), true);
  cluster->runFor(absl::Milliseconds(400));
  auto first = cluster->submit(isolated, "k1", makeJob("j1", 1, 1, 500));
  cluster->runFor(absl::Milliseconds(850));
  ASSERT_TRUE(first->Answer.has_value());
  auto second = cluster->submit(isolated, "k1", makeJob("j2", 1, 1, 500));
  cluster->runFor(absl::Milliseconds(20));
  ASSERT_TRUE(second->Answer.has_value());
  EXPECT_EQ(second->Answer->Result, jobs::CallResult::NotDone);
  cluster->setPartitioned(MemoryCluster::entryName(isolated), false);
  cluster->runFor(absl::Seconds(1));
  auto third = cluster->submit(isolated, "k1", makeJob("j3", 1, 1, 500));
  cluster->runFor(absl::Milliseconds(50));
  ASSERT_TRUE(third->Answer.has_value());
  EXPECT_EQ(third->Answer->Result, jobs::CallResult::Ok);
}

// Guards against a job that is accepted and then never starts: its queue's
// policy lets only some workers run its jobs, and the service that knows these
// workers is not queried yet, so that workers refuse every start.
TEST(Cluster, JobThatCannotBeServedIsRefusedAtOnce) {
  auto cluster = servingCluster();
  core::JobSpec job = makeJob("j1", 1, 1, 1000);
  job.Queue = "advised";
  auto call = cluster->submit(0, "k1", std::move(job));
  cluster->runFor(absl::Milliseconds(100));
  ASSERT_TRUE(call->Answer.has_value());
  EXPECT_EQ(call->Answer->Result, jobs::CallResult::Invalid);
  EXPECT_NE(call->Answer->Detail.find("advice"), std::string::npos);
  EXPECT_FALSE(cluster->storedState("j1").has_value());
  EXPECT_EQ(cluster->starts(), 0);
}

// Guards against callers of a slow store that wait for twice as long as it
// takes: each first try was given up before its answer came.
TEST(Cluster, JobIsAcceptedByTheFirstTryWhileTheStoreIsSlow) {
  constexpr absl::Duration StoreDelay = absl::Milliseconds(380);
  auto cluster = servingCluster();
  for (int n = 0; n < 3; ++n)
    cluster->store().faults(MemoryCluster::entryName(n)).Delay = StoreDelay;
  cluster->runFor(absl::Seconds(3));
  for (int n = 0; n < 3; ++n) {
    auto call =
        cluster->submit(n, "k1", makeJob("j" + std::to_string(n), 1, 1, 500));
    cluster->runFor(StoreDelay + absl::Milliseconds(20));
    ASSERT_TRUE(call->Answer.has_value());
    EXPECT_EQ(call->Answer->Result, jobs::CallResult::Ok);
  }
}

// The store is the scarcest resource of a site: it takes a few hundred writes a
// second for all. docs/CAPACITY.md is based on these figures.
TEST(Cluster, JobTakesThreeStoreWritesAndIdlingNone) {
  auto cluster = servingCluster();
  const int idleWrites = cluster->store().writes();
  const int idleCalls = cluster->store().calls();
  cluster->runFor(absl::Seconds(30));
  EXPECT_EQ(cluster->store().writes(), idleWrites);
  // Three entries: a lease renewed twice a second, a configuration confirmed
  // every 0.6 s, four watches every 5 s; the leader reads the cordons once a
  // second. Agents make no store calls.
  EXPECT_LE(cluster->store().calls() - idleCalls, 30 * 15);
  const int writes = cluster->store().writes();
  constexpr int Jobs = 10;
  for (int n = 0; n < Jobs; ++n) {
    core::JobSpec gang = makeJob("g" + std::to_string(n), 6, 4, 1000);
    gang.Steps[0].Gang = true;
    cluster->submit(n % 3, "k1", gang);
    ASSERT_TRUE(cluster->runUntilAllEnded(absl::Seconds(10)));
    // The ends of the other members come with or after the first one.
    cluster->runFor(absl::Seconds(1));
  }
  // One write each when a job is accepted, started and ended. The members'
  // reports of the end may need one more.
  EXPECT_LE(cluster->store().writes() - writes, Jobs * 4);
  EXPECT_GE(cluster->store().writes() - writes, Jobs * 3);
}

// Guards against a task that never ends: its worker crashes without a report
// and starts again at once, while the agent still has a poll of the old
// incarnation open, and the agent did not poll the new one again. That takes a
// heartbeat within the poll's time, so the test crashes the worker at every
// tenth of a second of a heartbeat period.
TEST(Cluster, PollsAWorkerAgainAfterACrashAtAnyMoment) {
  for (int tenth = 0; tenth < 15; ++tenth) {
    auto cluster = servingCluster();
    cluster->runFor(absl::Milliseconds(100 * tenth));
    cluster->submit(0, "k1", makeJob("j", 48, 1, 1000));
    cluster->runFor(absl::Milliseconds(500));
    cluster->worker(0).crash();
    EXPECT_TRUE(cluster->runUntilAllEnded(absl::Seconds(8))) << tenth;
    EXPECT_TRUE(hasNoViolations(*cluster));
  }
}

// Guards against a task that waits 18 s for a restart after its host is removed
// for good and the leader is killed right after, and 18 s more when the next
// leader is killed too. Each leader had to assume that an earlier one still
// extended task leases somewhere, although all of them had been restarted.
TEST(Cluster, TasksOfARemovedHostDoNotWaitForStoppedLeaders) {
  auto cluster = servingCluster();
  cluster->submit(0, "k1", makeJob("j", 12, 4, 3000));
  cluster->runFor(absl::Milliseconds(500));
  cluster->removeHost(0);
  for (int round = 0; round < 2; ++round) {
    const int leader = cluster->leader();
    ASSERT_GE(leader, 0);
    cluster->killEntry(leader);
    cluster->runFor(absl::Seconds(1));
    cluster->startEntry(leader);
    cluster->runFor(absl::Seconds(3));
  }
  EXPECT_TRUE(cluster->runUntilAllEnded(absl::Seconds(8)));
  EXPECT_TRUE(hasNoViolations(*cluster));
}

// Guards against a task that waits 18 s for a restart: the leader's host is
// removed for good, and half a minute later the next leader fails together with
// a worker. The third leader still waited for the first one, which could not
// confirm that it had ended, although its grants had expired long before.
TEST(Cluster, RemovedLeaderIsWaitedForOnce) {
  auto cluster = servingCluster();
  const int first = cluster->leader();
  ASSERT_GE(first, 0);
  cluster->killEntry(first);
  cluster->runFor(absl::Seconds(30));
  cluster->submit((first + 1) % 3, "k1", makeJob("j", 12, 4, 3000));
  cluster->runFor(absl::Milliseconds(500));
  cluster->removeHost(0);
  const int second = cluster->leader();
  ASSERT_GE(second, 0);
  cluster->killEntry(second);
  cluster->runFor(absl::Seconds(1));
  cluster->startEntry(second);
  EXPECT_TRUE(cluster->runUntilAllEnded(absl::Seconds(14)));
  EXPECT_TRUE(hasNoViolations(*cluster));
}

// Guards against a gang that goes on without a member whose host is removed for
// good: the others end as alone, and all start again.
TEST(Cluster, GangStartsAgainAfterItHasLostAMember) {
  auto cluster = servingCluster();
  core::JobSpec spec = makeJob("j", 3, 8, 5000);
  spec.Steps.front().Gang = true;
  cluster->submit(0, "k1", spec);
  cluster->runFor(absl::Seconds(1));
  ASSERT_EQ(cluster->starts(), 3);
  cluster->removeHost(0);
  EXPECT_TRUE(cluster->runUntilAllEnded(absl::Seconds(20)));
  EXPECT_NE(cluster->decisionsText("j").find("alone"), std::string::npos);
  EXPECT_EQ(cluster->starts(), 6);
  EXPECT_TRUE(hasNoViolations(*cluster));
}

// Guards against members of a gang that are done at different times, or by
// themselves while another one makes no progress.
TEST(Cluster, GangMakesProgressAndEndsAsOne) {
  auto cluster = servingCluster();
  core::JobSpec spec = makeJob("j", 3, 8, 1000);
  spec.Steps.front().Gang = true;
  cluster->worker(0).Hangs = true;
  cluster->submit(0, "k1", spec);
  cluster->runFor(absl::Milliseconds(1200));
  for (const auto &[task, runs] : cluster->sharedState().Running)
    EXPECT_EQ(runs.size(), 1u) << task;
  EXPECT_EQ(cluster->starts(), 3);
  cluster->worker(0).Hangs = false;
  EXPECT_TRUE(cluster->runUntilAllEnded(absl::Seconds(10)));
  EXPECT_TRUE(hasNoViolations(*cluster));
}

// The old leader is partitioned from the store and the new leader, but still
// reaches one agent that the new leader does not reach. The task there may run
// for as long as the old leader extends its lease; guards against a start
// elsewhere before that.
TEST(Cluster, TaskAtAnAgentThatOnlyTheOldLeaderReachesRunsOnce) {
  auto cluster = servingCluster();
  cluster->submit(0, "k1", makeJob("j", 6, 8, 25000));
  cluster->runFor(absl::Seconds(1));
  const int old = cluster->leader();
  cluster->store().faults(MemoryCluster::entryName(old)).Silent = true;
  for (int n = 0; n < 3; ++n)
    if (n != old)
      cluster->partitionPair(MemoryCluster::entryName(n),
                             MemoryCluster::agentName(0));
  for (int n = 0; n < 3; ++n)
    if (n != old)
      cluster->partitionPair(MemoryCluster::entryName(n),
                             MemoryCluster::entryName(old));
  EXPECT_TRUE(cluster->runUntilAllEnded(absl::Seconds(90)));
  EXPECT_TRUE(hasNoViolations(*cluster));
}

// Guards against an entry that accepts jobs with a removed key long after every
// other entry refuses it: the entry lost the store before the key was removed
// and went on with its old configuration.
TEST(Cluster, RemovedKeyIsRefusedAtAnIsolatedEntry) {
  auto cluster = servingCluster();
  cluster->submit(0, "k2", makeJob("before", 1, 1, 500));
  cluster->runFor(absl::Seconds(1));
  cluster->store().faults(MemoryCluster::entryName(0)).Silent = true;
  cluster->configure({"k1"});
  const absl::Time removedAt = cluster->loop().now();
  while (cluster->loop().now() - removedAt < absl::Seconds(9)) {
    auto submitted = cluster->submit(0, "k2", makeJob("late", 1, 1, 500));
    auto shown = cluster->state(0, "k2", "before");
    cluster->runFor(absl::Milliseconds(250));
    if (shown->SentAt - removedAt > absl::Seconds(5)) {
      ASSERT_TRUE(shown->Answer.has_value());
      EXPECT_NE(shown->Answer->Result, jobs::CallResult::Ok);
    }
    if (submitted->Answer) {
      EXPECT_NE(submitted->Answer->Result, jobs::CallResult::Ok);
    }
  }
  cluster->store().faults(MemoryCluster::entryName(0)).Silent = false;
  cluster->runFor(absl::Seconds(8));
  EXPECT_FALSE(cluster->storedState("late").has_value());
}

// Guards against callers that wait for their whole three seconds without an
// answer while the store does not answer, so that they retry late or not at
// all.
TEST(Cluster, SilentStoreDoesNotBlockCallers) {
  auto cluster = servingCluster();
  for (int n = 0; n < 3; ++n)
    cluster->store().faults(MemoryCluster::entryName(n)).Silent = true;
  for (int tenth = 0; tenth < 40; ++tenth) {
    auto call = cluster->submit(
        tenth % 3, "k1", makeJob("s" + std::to_string(tenth), 1, 1, 500));
    cluster->runFor(absl::Milliseconds(100));
    // Once the outage is detected, nobody waits at all.
    if (tenth >= 20) {
      ASSERT_TRUE(call->Answer.has_value()) << tenth;
      EXPECT_EQ(call->Answer->Result, jobs::CallResult::NotDone);
      EXPECT_GT(call->Answer->RetryAfterMs, 0);
      continue;
    }
    cluster->loop().runAfter(absl::Milliseconds(1300), [call, tenth] {
      ASSERT_TRUE(call->Answer.has_value()) << tenth;
      EXPECT_NE(call->Answer->Result, jobs::CallResult::Ok);
      EXPECT_GT(call->Answer->RetryAfterMs, 0);
    });
  }
  cluster->runFor(absl::Seconds(2));
}

// Guards against tasks of a job that start seconds after one entry has
// confirmed the job's cancellation, because the leader's watch is silent.
TEST(Cluster, NothingStartsAfterACancelWasConfirmed) {
  auto cluster = servingCluster();
  cluster->submit(0, "k1", makeJob("fills", 48, 1, 3000));
  cluster->runFor(absl::Milliseconds(300));
  cluster->submit(1, "k1", makeJob("waits", 8, 8, 1000));
  cluster->runFor(absl::Milliseconds(300));
  cluster->store()
      .faults(MemoryCluster::entryName(cluster->leader()))
      .WatchesSilent = true;
  const int other = (cluster->leader() + 1) % 3;
  auto cancelled = cluster->cancel(other, "k1", "waits");
  cluster->runFor(absl::Milliseconds(100));
  ASSERT_TRUE(cancelled->Answer.has_value());
  EXPECT_EQ(cancelled->Answer->Result, jobs::CallResult::Ok);
  const int starts = cluster->starts();
  cluster->runFor(absl::Seconds(6));
  EXPECT_EQ(cluster->starts(), starts);
  EXPECT_EQ(cluster->storedState("waits"), jobs::JobState::Cancelled);
}

// Callers retry when an answer is lost: the same id is submitted at two entries
// at once, and again later. It must remain one job.
TEST(Cluster, SameIdAtSeveralEntriesIsOneJob) {
  auto cluster = servingCluster();
  auto first = cluster->submit(0, "k1", makeJob("same", 2, 1, 1000));
  auto second = cluster->submit(1, "k1", makeJob("same", 2, 1, 1000));
  auto stranger = cluster->submit(2, "k2", makeJob("same", 2, 1, 1000));
  cluster->runFor(absl::Milliseconds(100));
  EXPECT_EQ(first->Answer->Result, jobs::CallResult::Ok);
  EXPECT_EQ(second->Answer->Result, jobs::CallResult::Ok);
  EXPECT_EQ(stranger->Answer->Result, jobs::CallResult::IdTaken);
  ASSERT_TRUE(cluster->runUntilAllEnded(absl::Seconds(5)));
  auto late = cluster->submit(2, "k1", makeJob("same", 2, 1, 1000));
  cluster->runFor(absl::Seconds(2));
  EXPECT_EQ(late->Answer->Result, jobs::CallResult::Ok);
  EXPECT_EQ(cluster->starts(), 2);
  EXPECT_TRUE(hasNoViolations(*cluster));
}

} // namespace
} // namespace oriolebay::cluster
