#include "memorycluster.h"

#include <gtest/gtest.h>

namespace oriolebay::cluster {
namespace {

core::JobSpec job(const std::string &id, int count, int64_t accelerators,
                  int64_t ms, const std::string &queue = "q1") {
  core::JobSpec spec;
  spec.Id = id;
  spec.Queue = queue;
  spec.Payload = "text";
  core::StepSpec step;
  step.Count = count;
  step.PerTask = {1000, 1000, accelerators};
  step.EstimateMs = ms;
  spec.Steps.push_back(step);
  return spec;
}

/// A cluster that serves: configured, a leader elected, all workers known.
std::unique_ptr<MemoryCluster> serving(MemoryCluster::Options options = {}) {
  auto cluster = std::make_unique<MemoryCluster>(options);
  cluster->configure({"k1", "k2"});
  cluster->runFor(absl::Seconds(4));
  return cluster;
}

::testing::AssertionResult keptAllRules(MemoryCluster &cluster) {
  const std::vector<std::string> broken = cluster.violations();
  if (broken.empty())
    return ::testing::AssertionSuccess();
  return ::testing::AssertionFailure()
         << broken.size() << " broken, first: " << broken.front();
}

TEST(Cluster, ServesAJobFromEndToEnd) {
  auto cluster = serving();
  auto call = cluster->submit(1, "k1", job("j1", 4, 2, 1000));
  cluster->runFor(absl::Milliseconds(100));
  ASSERT_TRUE(call->Answer.has_value());
  EXPECT_EQ(call->Answer->Result, jobs::CallResult::Ok);
  ASSERT_TRUE(cluster->runUntilOver(absl::Seconds(5)));
  auto shown = cluster->state(2, "k1", "j1");
  cluster->runFor(absl::Milliseconds(100));
  EXPECT_EQ(shown->Answer->State, jobs::JobState::Completed);
  EXPECT_TRUE(keptAllRules(*cluster));
}

// Callers ask for a job's state the moment its last task has ended, and again a
// quarter of a second later. Urgent jobs have a second and a half in all: the
// first answer said "running", as the end was still on its way into the store,
// and the quarter second after it made jobs late.
TEST(Cluster, StateAskedRightAfterTheEndIsTheEnd) {
  for (int asked = 0; asked < 3; ++asked) {
    auto cluster = serving();
    cluster->submit(0, "k1", job("j", 1, 1, 1000));
    cluster->runFor(absl::Milliseconds(200));
    const auto running = [&] {
      const auto &runs = cluster->field().Running;
      auto it = runs.find("j.0.0.0");
      return it != runs.end() && !it->second.empty();
    };
    ASSERT_TRUE(running());
    for (int ms = 0; running() && ms < 2000; ++ms)
      cluster->runFor(absl::Milliseconds(1));
    ASSERT_FALSE(running());
    // The caller hears of the end, and its call comes in.
    cluster->runFor(absl::Milliseconds(2));
    ASSERT_NE(cluster->stored("j"), jobs::JobState::Completed);
    auto shown = cluster->state(asked, "k1", "j");
    cluster->runFor(absl::Milliseconds(50));
    ASSERT_TRUE(shown->Answer.has_value());
    EXPECT_EQ(shown->Answer->State, jobs::JobState::Completed)
        << "asked at entry " << asked;
  }
}

// As above, but the call is faster than the news of the end.
TEST(Cluster, StateAskedJustBeforeTheNewsOfTheEndIsTheEnd) {
  auto cluster = serving();
  cluster->submit(0, "k1", job("j", 1, 1, 1000));
  cluster->runFor(absl::Milliseconds(200));
  const auto running = [&] {
    const auto &runs = cluster->field().Running;
    auto it = runs.find("j.0.0.0");
    return it != runs.end() && !it->second.empty();
  };
  for (int ms = 0; running() && ms < 2000; ++ms)
    cluster->runFor(absl::Milliseconds(1));
  ASSERT_FALSE(running());
  std::vector<std::shared_ptr<MemoryCluster::Called>> calls;
  for (int entry = 0; entry < 3; ++entry)
    calls.push_back(cluster->state(entry, "k1", "j"));
  cluster->runFor(absl::Milliseconds(60));
  for (const auto &call : calls) {
    ASSERT_TRUE(call->Answer.has_value());
    EXPECT_EQ(call->Answer->State, jobs::JobState::Completed);
  }
}

// The store drops its history; before that its watches bring nothing for a
// while. Jobs that were over were shown as running for six seconds, also by the
// leader, which had recorded their ends itself.
TEST(Cluster, EndsAreShownWhileWatchesAreSilent) {
  auto cluster = serving();
  for (int n = 0; n < 3; ++n)
    cluster->store().faults(MemoryCluster::entryName(n)).WatchesSilent = true;
  cluster->submit(cluster->leader(), "k1", job("j", 1, 1, 500));
  cluster->runFor(absl::Milliseconds(700));
  ASSERT_EQ(cluster->stored("j"), jobs::JobState::Completed);
  for (int n = 0; n < 3; ++n) {
    auto shown = cluster->state(n, "k1", "j");
    cluster->runFor(absl::Milliseconds(50));
    ASSERT_TRUE(shown->Answer.has_value());
    EXPECT_EQ(shown->Answer->State, jobs::JobState::Completed) << n;
  }
}

// Guards against an entry that has shown a job's end as the leader told it and
// then shows the job as running, by its own view, when the leader is cut off.
TEST(Cluster, EndThatTheLeaderToldIsNotTakenBack) {
  auto cluster = serving();
  const int leader = cluster->leader();
  const int asked = (leader + 1) % 3;
  cluster->submit(asked, "k1", job("j", 1, 1, 500));
  cluster->runFor(absl::Milliseconds(300));
  cluster->store().faults(MemoryCluster::entryName(asked)).WatchesSilent = true;
  cluster->runFor(absl::Milliseconds(400));
  ASSERT_EQ(cluster->stored("j"), jobs::JobState::Completed);
  auto told = cluster->state(asked, "k1", "j");
  cluster->runFor(absl::Milliseconds(50));
  ASSERT_TRUE(told->Answer.has_value());
  ASSERT_EQ(told->Answer->State, jobs::JobState::Completed);
  cluster->cutPair(MemoryCluster::entryName(asked),
                   MemoryCluster::entryName(leader));
  auto again = cluster->state(asked, "k1", "j");
  cluster->runFor(absl::Milliseconds(400));
  ASSERT_TRUE(again->Answer.has_value());
  EXPECT_EQ(again->Answer->State, jobs::JobState::Completed);
}

// Guards against an entry that shows a job as queued, long over, since the
// store refused to tell how far it is.
TEST(Cluster, JobWhoseProgressCannotBeReadIsNotShownAsQueued) {
  auto cluster = serving();
  const int leader = cluster->leader();
  const int asked = (leader + 1) % 3;
  MemoryStore::Faults &store =
      cluster->store().faults(MemoryCluster::entryName(asked));
  store.WatchesSilent = true;
  cluster->submit(leader, "k1", job("j", 1, 1, 200));
  cluster->runFor(absl::Milliseconds(700));
  ASSERT_EQ(cluster->stored("j"), jobs::JobState::Completed);
  cluster->cutPair(MemoryCluster::entryName(asked),
                   MemoryCluster::entryName(leader));
  auto shown = cluster->state(asked, "k1", "j");
  cluster->runFor(absl::Milliseconds(1));
  store.Refuses = true;
  cluster->runFor(absl::Seconds(2));
  ASSERT_TRUE(shown->Answer.has_value());
  ASSERT_EQ(shown->Answer->Result, jobs::CallResult::Ok);
  EXPECT_EQ(shown->Answer->State, jobs::JobState::Completed);
}

// Many entries, hundreds of records written a second. The store was called two
// thousand times a second, as each write woke each entry. What an entry that
// only serves callers asks of the store must not grow with the jobs.
TEST(Cluster, CallsOfEntriesThatDoNotLeadDoNotGrowWithTheJobs) {
  constexpr int Seconds = 4;
  // Two resting views, one confirmed configuration, one lease and idle watches.
  constexpr int MostCallsAnEntrySecond = 12;
  std::map<int, int> callsAtSize;
  for (int entries : {2, 12}) {
    auto cluster = serving({entries, 6, 3, 1});
    const int leader = cluster->leader();
    const int before = cluster->store().calls();
    for (int n = 0; n < 20 * Seconds; ++n) {
      cluster->submit(leader, "k1", job("j" + std::to_string(n), 10, 0, 200));
      cluster->runFor(absl::Milliseconds(50));
    }
    callsAtSize[entries] = cluster->store().calls() - before;
  }
  const int others = 12 - 2;
  EXPECT_LE(callsAtSize[12] - callsAtSize[2],
            others * Seconds * MostCallsAnEntrySecond);
}

struct AwayCase {
  const char *Name;
  std::function<void(MemoryStore::Faults &)> Strike;
  /// From when on after the strike calls come, and how long one may take.
  int AfterMs;
  int WithinMs;
};

std::ostream &operator<<(std::ostream &out, const AwayCase &c) {
  return out << c.Name;
}

class StoreAwayForOne : public ::testing::TestWithParam<AwayCase> {};

// The store turns one entry away, or a cut parts it from the store, while the
// others are served. Its callers were told to come back in a second, two or
// three times over, and saw their jobs running for seconds after the end.
TEST_P(StoreAwayForOne, CallsAreServedByAnotherEntry) {
  for (int seed = 1; seed <= 3; ++seed) {
    auto cluster = serving({3, 6, 3, static_cast<uint64_t>(seed)});
    const int away = (cluster->leader() + 1) % 3;
    GetParam().Strike(cluster->store().faults(MemoryCluster::entryName(away)));
    cluster->runFor(absl::Milliseconds(GetParam().AfterMs));
    auto call = cluster->submit(away, "k1", job("j", 1, 1, 500));
    cluster->runFor(absl::Milliseconds(GetParam().WithinMs));
    ASSERT_TRUE(call->Answer.has_value());
    EXPECT_EQ(call->Answer->Result, jobs::CallResult::Ok)
        << call->Answer->Detail;
    ASSERT_TRUE(cluster->runUntilOver(absl::Seconds(3)));
    auto shown = cluster->state(away, "k1", "j");
    auto unknown = cluster->state(away, "no such key", "j");
    cluster->runFor(absl::Milliseconds(100));
    ASSERT_TRUE(shown->Answer.has_value());
    EXPECT_EQ(shown->Answer->State, jobs::JobState::Completed);
    ASSERT_TRUE(unknown->Answer.has_value());
    EXPECT_EQ(unknown->Answer->Result, jobs::CallResult::BadKey);
    EXPECT_EQ(cluster->starts(), 1);
    EXPECT_TRUE(keptAllRules(*cluster));
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table, StoreAwayForOne,
    ::testing::Values(
        AwayCase{"refuses", [](auto &f) { f.Refuses = true; }, 5, 50},
        AwayCase{"refuses_for_long", [](auto &f) { f.Refuses = true; }, 4000,
                 50},
        AwayCase{"silent", [](auto &f) { f.Silent = true; }, 5, 400},
        AwayCase{"silent_for_long", [](auto &f) { f.Silent = true; }, 4000,
                 50}),
    [](const auto &info) { return info.param.Name; });

// An entry loses the store, and the configuration changes: one key goes, one
// comes. A caller with the new key was served, as its call was handed over; the
// next one, with the key that was gone, was served by the entry's old
// configuration. Callers saw the change come and go again at one address.
TEST(Cluster, EntryThatHeardOfANewerConfigurationServesNothingByItsOwn) {
  auto cluster = serving();
  const int away = (cluster->leader() + 1) % 3;
  cluster->submit(away, "k1", job("j", 1, 1, 200));
  ASSERT_TRUE(cluster->runUntilOver(absl::Seconds(3)));
  cluster->runFor(absl::Seconds(1));
  cluster->store().faults(MemoryCluster::entryName(away)).Silent = true;
  cluster->configure({"k2", "k3"});
  cluster->runFor(absl::Milliseconds(1100));
  auto newKey = cluster->state(away, "k3", "j");
  cluster->runFor(absl::Milliseconds(100));
  ASSERT_TRUE(newKey->Answer.has_value());
  ASSERT_EQ(newKey->Answer->Result, jobs::CallResult::UnknownJob);
  auto oldKey = cluster->state(away, "k1", "j");
  cluster->runFor(absl::Milliseconds(100));
  ASSERT_TRUE(oldKey->Answer.has_value());
  EXPECT_EQ(oldKey->Answer->Result, jobs::CallResult::BadKey);
  // Once the store has confirmed its view, the entry serves by itself again.
  cluster->store().faults(MemoryCluster::entryName(away)).Silent = false;
  cluster->runFor(absl::Seconds(4));
  auto later = cluster->state(away, "k1", "j");
  auto known = cluster->submit(away, "k2", job("j2", 1, 1, 200));
  cluster->runFor(absl::Milliseconds(100));
  ASSERT_TRUE(known->Answer.has_value());
  EXPECT_EQ(known->Answer->Result, jobs::CallResult::Ok);
  EXPECT_EQ(known->Answer->Detail, "");
  ASSERT_TRUE(later->Answer.has_value());
  EXPECT_EQ(later->Answer->Result, jobs::CallResult::BadKey);
}

// What another entry decided was logged as decided by the configuration here,
// confirmed only later: nobody could tell who had served a call and by what.
TEST(Cluster, LogOfACallServedElsewhereNamesEntryAndConfiguration) {
  auto cluster = serving();
  const int away = (cluster->leader() + 1) % 3;
  const std::string leader = MemoryCluster::entryName(cluster->leader());
  cluster->submit(away, "k1", job("j", 1, 1, 200));
  ASSERT_TRUE(cluster->runUntilOver(absl::Seconds(3)));
  cluster->runFor(absl::Seconds(1));
  cluster->store().faults(MemoryCluster::entryName(away)).Silent = true;
  cluster->configure({"k1", "k3"});
  cluster->runFor(absl::Milliseconds(1100));
  cluster->state(away, "k3", "j");
  cluster->runFor(absl::Milliseconds(100));
  const jobs::CallDecision &line = cluster->decisions().back();
  EXPECT_EQ(line.ConfigVersion, 1);
  EXPECT_GE(line.ConfigAgeMs, 1100);
  EXPECT_EQ(line.Answer.ServedBy, leader);
  EXPECT_EQ(line.Answer.DecidedBy.Version, 2);
  EXPECT_GT(line.Answer.DecidedBy.Revision, 0);
}

// Guards against a caller with a new key that waits for a silent store as long
// as a store call may take, though another entry could serve it.
TEST(Cluster, NewKeyAtAnEntryWhoseStoreFellSilentIsServedElsewhereSoon) {
  constexpr int FirstTryAndHandOverMs = 400;
  auto cluster = serving();
  const int away = (cluster->leader() + 1) % 3;
  cluster->store().faults(MemoryCluster::entryName(away)).Silent = true;
  cluster->configure({"k1", "k3"});
  cluster->runFor(absl::Milliseconds(50));
  auto call = cluster->count(away, "k3", "q1");
  cluster->runFor(absl::Milliseconds(FirstTryAndHandOverMs));
  ASSERT_TRUE(call->Answer.has_value());
  EXPECT_EQ(call->Answer->Result, jobs::CallResult::Ok);
}

// Guards against a leader that cannot keep up: all leases lapse in an outage,
// and one of many small entries is the first to ask for the lead.
TEST(Cluster, LargeEntriesLeadOnceAllLeasesHaveLapsed) {
  constexpr int Large = 2;
  constexpr int Entries = 8;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    MemoryCluster::Options options{Entries, 3, 3, seed};
    options.FirstWeakEntry = Large;
    auto cluster = serving(options);
    // Their renewals come at different times.
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

// Guards against small entries that leave the lead to large ones that are gone.
TEST(Cluster, SmallEntriesLeadWhereNoLargeOneIsLeft) {
  MemoryCluster::Options options;
  options.FirstWeakEntry = 1;
  auto cluster = serving(options);
  cluster->killEntry(0);
  cluster->runFor(absl::Seconds(5));
  EXPECT_GT(cluster->leader(), 0);
}

// The store is away for all: the entries must not hand a call round until its
// caller's time is over, and "not done" must be true.
TEST(Cluster, CallThatNoEntryCanServeIsRefusedSoon) {
  auto cluster = serving();
  for (int n = 0; n < 3; ++n)
    cluster->store().faults(MemoryCluster::entryName(n)).Refuses = true;
  cluster->runFor(absl::Seconds(1));
  std::vector<std::shared_ptr<MemoryCluster::Called>> calls;
  for (int n = 0; n < 3; ++n)
    calls.push_back(
        cluster->submit(n, "k1", job("j" + std::to_string(n), 1, 1, 500)));
  cluster->runFor(absl::Milliseconds(30));
  for (const auto &call : calls) {
    ASSERT_TRUE(call->Answer.has_value());
    EXPECT_EQ(call->Answer->Result, jobs::CallResult::NotDone);
    EXPECT_GT(call->Answer->RetryAfterMs, 0);
    EXPECT_FALSE(cluster->stored(call->Job).has_value());
  }
}

// An entry that reaches neither the store nor another entry: the first caller
// pays for finding that out, those after it are refused at once.
TEST(Cluster, EntryOnItsOwnRefusesAtOnce) {
  auto cluster = serving();
  const int away = (cluster->leader() + 1) % 3;
  cluster->store().faults(MemoryCluster::entryName(away)).Refuses = true;
  cluster->cut(MemoryCluster::entryName(away), true);
  cluster->runFor(absl::Milliseconds(400));
  auto first = cluster->submit(away, "k1", job("j1", 1, 1, 500));
  cluster->runFor(absl::Milliseconds(850));
  ASSERT_TRUE(first->Answer.has_value());
  auto second = cluster->submit(away, "k1", job("j2", 1, 1, 500));
  cluster->runFor(absl::Milliseconds(20));
  ASSERT_TRUE(second->Answer.has_value());
  EXPECT_EQ(second->Answer->Result, jobs::CallResult::NotDone);
  cluster->cut(MemoryCluster::entryName(away), false);
  cluster->runFor(absl::Seconds(1));
  auto third = cluster->submit(away, "k1", job("j3", 1, 1, 500));
  cluster->runFor(absl::Milliseconds(50));
  ASSERT_TRUE(third->Answer.has_value());
  EXPECT_EQ(third->Answer->Result, jobs::CallResult::Ok);
}

// The end of a job is known but cannot be recorded, as the store is down: the
// caller gets what is recorded, and without waiting for long.
TEST(Cluster, StateOfAnEndThatCannotBeRecordedIsStillAnswered) {
  auto cluster = serving();
  cluster->submit(0, "k1", job("j", 1, 1, 1000));
  cluster->runFor(absl::Milliseconds(800));
  for (int n = 0; n < 3; ++n)
    cluster->store().faults(MemoryCluster::entryName(n)).Silent = true;
  cluster->runFor(absl::Milliseconds(400));
  auto shown = cluster->state(1, "k1", "j");
  cluster->runFor(absl::Milliseconds(300));
  ASSERT_TRUE(shown->Answer.has_value());
  EXPECT_EQ(shown->Answer->State, jobs::JobState::Running);
}

// A queue's policy lets only some workers run its jobs, and the service that
// knows them is not asked yet: workers refuse every start. Users saw such a job
// accepted and then start nowhere, for ever.
TEST(Cluster, JobThatCannotBeServedIsRefusedAtOnce) {
  auto cluster = serving();
  auto call = cluster->submit(0, "k1", job("j1", 1, 1, 1000, "advised"));
  cluster->runFor(absl::Milliseconds(100));
  ASSERT_TRUE(call->Answer.has_value());
  EXPECT_EQ(call->Answer->Result, jobs::CallResult::Invalid);
  EXPECT_NE(call->Answer->Detail.find("advice"), std::string::npos);
  EXPECT_FALSE(cluster->stored("j1").has_value());
  EXPECT_EQ(cluster->starts(), 0);
}

// The store is the scarcest thing on a site: a few hundred writes a second for
// all. docs/CAPACITY.md rests on these figures.
TEST(Cluster, JobCostsThreeWritesAndIdlingNone) {
  auto cluster = serving();
  const int idleWrites = cluster->store().writes();
  const int idleCalls = cluster->store().calls();
  cluster->runFor(absl::Seconds(30));
  EXPECT_EQ(cluster->store().writes(), idleWrites);
  // Three entries: a lease renewed twice a second, a configuration confirmed
  // every 0.6 s, four watches every 5 s. Agents make none.
  EXPECT_LE(cluster->store().calls() - idleCalls, 30 * 15);
  const int writes = cluster->store().writes();
  constexpr int Jobs = 10;
  for (int n = 0; n < Jobs; ++n) {
    core::JobSpec gang = job("g" + std::to_string(n), 6, 4, 1000);
    gang.Steps[0].Gang = true;
    cluster->submit(n % 3, "k1", gang);
    ASSERT_TRUE(cluster->runUntilOver(absl::Seconds(10)));
    // Ends of the other members come with or after the first.
    cluster->runFor(absl::Seconds(1));
  }
  // Accepted; started; ended, for which the members' reports may need one more.
  EXPECT_LE(cluster->store().writes() - writes, Jobs * 4);
  EXPECT_GE(cluster->store().writes() - writes, Jobs * 3);
}

// A fault that strikes while a long job runs and another one comes.
struct FaultCase {
  const char *Name;
  std::function<void(MemoryCluster &)> Strike;
  std::function<void(MemoryCluster &)> Heal;
  absl::Duration Lasts;
  /// Starts beyond the tasks' number that the fault may cost.
  int MoreStarts;
};

std::ostream &operator<<(std::ostream &out, const FaultCase &c) {
  return out << c.Name;
}

class Faults : public ::testing::TestWithParam<FaultCase> {};

// Work is running and more comes in when something breaks. Callers must find
// every accepted job completed in the end, no task may run twice, and what ran
// soundly must not be started again.
TEST_P(Faults, AcceptedWorkEndsOnceAndWhole) {
  auto cluster = serving();
  cluster->submit(0, "k1", job("long", 6, 4, 6000));
  cluster->runFor(absl::Seconds(2));
  ASSERT_EQ(cluster->accepted().size(), 1u);
  GetParam().Strike(*cluster);
  cluster->runFor(absl::Milliseconds(200));
  std::vector<std::shared_ptr<MemoryCluster::Called>> calls;
  for (int n = 0; n < 3; ++n)
    calls.push_back(
        cluster->submit(n, "k2", job("more" + std::to_string(n), 2, 1, 1500)));
  cluster->runFor(GetParam().Lasts);
  GetParam().Heal(*cluster);
  ASSERT_TRUE(cluster->runUntilOver(absl::Seconds(40)));
  EXPECT_EQ(cluster->stored("long"), jobs::JobState::Completed);
  EXPECT_TRUE(keptAllRules(*cluster));
  EXPECT_LE(cluster->starts(), 6 + 3 * 2 + GetParam().MoreStarts);
  for (const auto &call : calls)
    if (call->Answer && call->Answer->Result == jobs::CallResult::NotDone) {
      EXPECT_FALSE(cluster->stored(call->Job).has_value())
          << call->Job << " was refused and stored";
      EXPECT_GT(call->Answer->RetryAfterMs, 0);
    }
}

void forAllClients(MemoryCluster &cluster,
                   const std::function<void(MemoryStore::Faults &)> &change) {
  for (int n = 0; n < 3; ++n)
    change(cluster.store().faults(MemoryCluster::entryName(n)));
  for (int n = 0; n < 6; ++n)
    change(cluster.store().faults(MemoryCluster::agentName(n)));
}

const std::vector<FaultCase> FaultCases = {
    {"leader_killed", [](MemoryCluster &c) { c.killEntry(c.leader()); },
     [](MemoryCluster &c) {
       for (int n = 0; n < 3; ++n)
         if (!c.entryUp(n))
           c.startEntry(n);
     },
     absl::Seconds(3), 0},
    {"every_process_killed",
     [](MemoryCluster &c) {
       for (int n = 0; n < 3; ++n)
         c.killEntry(n);
       for (int n = 0; n < 6; ++n)
         c.killAgent(n);
     },
     [](MemoryCluster &c) {
       for (int n = 0; n < 3; ++n)
         c.startEntry(n);
       for (int n = 0; n < 6; ++n)
         c.startAgent(n);
     },
     absl::Seconds(1), 0},
    {"store_silent_for_all",
     [](MemoryCluster &c) {
       forAllClients(c, [](MemoryStore::Faults &f) { f.Silent = true; });
     },
     [](MemoryCluster &c) {
       forAllClients(c, [](MemoryStore::Faults &f) { f.Silent = false; });
     },
     absl::Seconds(8), 0},
    {"store_refuses_the_leader",
     [](MemoryCluster &c) {
       c.store().faults(MemoryCluster::entryName(c.leader())).Refuses = true;
     },
     [](MemoryCluster &c) {
       forAllClients(c, [](MemoryStore::Faults &f) { f.Refuses = false; });
     },
     absl::Seconds(8), 0},
    {"store_loses_answers",
     [](MemoryCluster &c) {
       forAllClients(c, [](MemoryStore::Faults &f) { f.LosesAnswers = 0.5; });
     },
     [](MemoryCluster &c) {
       forAllClients(c, [](MemoryStore::Faults &f) { f.LosesAnswers = 0; });
     },
     absl::Seconds(5), 0},
    {"store_writes_late",
     [](MemoryCluster &c) {
       forAllClients(c, [](MemoryStore::Faults &f) { f.Late = 0.5; });
     },
     [](MemoryCluster &c) {
       forAllClients(c, [](MemoryStore::Faults &f) { f.Late = 0; });
     },
     absl::Seconds(5), 0},
    {"watches_silent_then_history_gone",
     [](MemoryCluster &c) {
       forAllClients(c, [](MemoryStore::Faults &f) { f.WatchesSilent = true; });
     },
     [](MemoryCluster &c) {
       forAllClients(c,
                     [](MemoryStore::Faults &f) { f.WatchesSilent = false; });
       c.store().compact();
     },
     absl::Seconds(2), 0},
    {"leader_cut_off",
     [](MemoryCluster &c) {
       const std::string name = MemoryCluster::entryName(c.leader());
       c.cut(name, true);
       c.store().faults(name).Silent = true;
     },
     [](MemoryCluster &c) {
       for (int n = 0; n < 3; ++n) {
         c.cut(MemoryCluster::entryName(n), false);
         c.store().faults(MemoryCluster::entryName(n)).Silent = false;
       }
     },
     absl::Seconds(8), 0},
    {"agent_killed", [](MemoryCluster &c) { c.killAgent(0); },
     [](MemoryCluster &c) { c.startAgent(0); }, absl::Seconds(2), 0},
    {"agent_cut_off_shortly",
     [](MemoryCluster &c) { c.cut(MemoryCluster::agentName(0), true); },
     [](MemoryCluster &c) { c.cut(MemoryCluster::agentName(0), false); },
     absl::Seconds(3), 0},
    {"agent_cut_off_for_long",
     [](MemoryCluster &c) { c.cut(MemoryCluster::agentName(0), true); },
     [](MemoryCluster &c) { c.cut(MemoryCluster::agentName(0), false); },
     absl::Seconds(12), 2},
    {"worker_crashes", [](MemoryCluster &c) { c.worker(0).crash(); },
     [](MemoryCluster &) {}, absl::Seconds(1), 2},
    {"orders_late_on_all_workers",
     [](MemoryCluster &c) {
       for (int n = 0; n < 6; ++n)
         c.worker(n).LateOrders = 0.3;
     },
     [](MemoryCluster &c) {
       for (int n = 0; n < 6; ++n)
         c.worker(n).LateOrders = 0;
     },
     absl::Seconds(4), 4},
    {"answers_of_workers_lost",
     [](MemoryCluster &c) {
       for (int n = 0; n < 6; ++n)
         c.worker(n).LostAnswers = 0.5;
     },
     [](MemoryCluster &c) {
       for (int n = 0; n < 6; ++n)
         c.worker(n).LostAnswers = 0;
     },
     absl::Seconds(4), 0},
};

INSTANTIATE_TEST_SUITE_P(Table, Faults, ::testing::ValuesIn(FaultCases),
                         [](const auto &info) { return info.param.Name; });

// A worker dies without a word and stands up again at once. Users saw a task
// there never end: the agent still had a look at the old life open, and did not
// look at the new one again. It takes a heartbeat within the look's time, so
// the crash is played at every tenth of a second of a heartbeat period.
TEST(Cluster, WorkerThatCrashesAtAnyMomentIsLookedAtAgain) {
  for (int tenth = 0; tenth < 15; ++tenth) {
    auto cluster = serving();
    cluster->runFor(absl::Milliseconds(100 * tenth));
    cluster->submit(0, "k1", job("j", 48, 1, 1000));
    cluster->runFor(absl::Milliseconds(500));
    cluster->worker(0).crash();
    EXPECT_TRUE(cluster->runUntilOver(absl::Seconds(8))) << tenth;
    EXPECT_TRUE(keptAllRules(*cluster));
  }
}

// A machine is taken away for good and the leader is killed right after. Users
// waited 18 s for the task that ran there, and again as long when the next
// leader was killed too: each had to allow for an earlier one that went on
// granting somewhere, though all of them had been started anew.
TEST(Cluster, TasksOfARemovedMachineDoNotWaitForLeadersThatAreGone) {
  auto cluster = serving();
  cluster->submit(0, "k1", job("j", 12, 4, 3000));
  cluster->runFor(absl::Milliseconds(500));
  cluster->removeMachine(0);
  for (int round = 0; round < 2; ++round) {
    const int leader = cluster->leader();
    ASSERT_GE(leader, 0);
    cluster->killEntry(leader);
    cluster->runFor(absl::Seconds(1));
    cluster->startEntry(leader);
    cluster->runFor(absl::Seconds(3));
  }
  EXPECT_TRUE(cluster->runUntilOver(absl::Seconds(8)));
  EXPECT_TRUE(keptAllRules(*cluster));
}

// The leader's machine is taken away for good, and half a minute later the next
// leader goes as well, together with a worker. Users waited 18 s for the task
// that ran there: the third leader still allowed for the first one, which could
// not say that it was gone, although its time had long been over.
TEST(Cluster, LeaderThatWasRemovedIsWaitedForOnce) {
  auto cluster = serving();
  const int first = cluster->leader();
  ASSERT_GE(first, 0);
  cluster->killEntry(first);
  cluster->runFor(absl::Seconds(30));
  cluster->submit((first + 1) % 3, "k1", job("j", 12, 4, 3000));
  cluster->runFor(absl::Milliseconds(500));
  cluster->removeMachine(0);
  const int second = cluster->leader();
  ASSERT_GE(second, 0);
  cluster->killEntry(second);
  cluster->runFor(absl::Seconds(1));
  cluster->startEntry(second);
  EXPECT_TRUE(cluster->runUntilOver(absl::Seconds(14)));
  EXPECT_TRUE(keptAllRules(*cluster));
}

// The old leader is cut off from store and new leader, but still reaches one
// agent, which the new leader does not. The task there may run on for as long
// as the old leader grants: it must not start elsewhere before that.
TEST(Cluster, TaskAtAnAgentThatOnlyTheOldLeaderReachesRunsOnce) {
  auto cluster = serving();
  cluster->submit(0, "k1", job("j", 6, 8, 25000));
  cluster->runFor(absl::Seconds(1));
  const int old = cluster->leader();
  cluster->store().faults(MemoryCluster::entryName(old)).Silent = true;
  for (int n = 0; n < 3; ++n)
    if (n != old)
      cluster->cutPair(MemoryCluster::entryName(n),
                       MemoryCluster::agentName(0));
  for (int n = 0; n < 3; ++n)
    if (n != old)
      cluster->cutPair(MemoryCluster::entryName(n),
                       MemoryCluster::entryName(old));
  EXPECT_TRUE(cluster->runUntilOver(absl::Seconds(90)));
  EXPECT_TRUE(keptAllRules(*cluster));
}

// An entry is cut off from the store while a key is taken away. A caller with
// that key could still hand in jobs there, long after every other entry
// refused it: the entry went on with the configuration it had.
TEST(Cluster, KeyTakenAwayIsRefusedAtAnEntryThatIsCutOff) {
  auto cluster = serving();
  cluster->submit(0, "k2", job("before", 1, 1, 500));
  cluster->runFor(absl::Seconds(1));
  cluster->store().faults(MemoryCluster::entryName(0)).Silent = true;
  cluster->configure({"k1"});
  const absl::Time taken = cluster->loop().now();
  while (cluster->loop().now() - taken < absl::Seconds(9)) {
    auto submitted = cluster->submit(0, "k2", job("late", 1, 1, 500));
    auto shown = cluster->state(0, "k2", "before");
    cluster->runFor(absl::Milliseconds(250));
    if (shown->Sent - taken > absl::Seconds(5)) {
      ASSERT_TRUE(shown->Answer.has_value());
      EXPECT_NE(shown->Answer->Result, jobs::CallResult::Ok);
    }
    if (submitted->Answer) {
      EXPECT_NE(submitted->Answer->Result, jobs::CallResult::Ok);
    }
  }
  cluster->store().faults(MemoryCluster::entryName(0)).Silent = false;
  cluster->runFor(absl::Seconds(8));
  EXPECT_FALSE(cluster->stored("late").has_value());
}

// The store falls silent. Callers were kept waiting for their whole three
// seconds and then got nothing, so that they tried again late or not at all.
TEST(Cluster, SilentStoreKeepsNoCallerWaiting) {
  auto cluster = serving();
  for (int n = 0; n < 3; ++n)
    cluster->store().faults(MemoryCluster::entryName(n)).Silent = true;
  for (int tenth = 0; tenth < 40; ++tenth) {
    auto call = cluster->submit(tenth % 3, "k1",
                                job("s" + std::to_string(tenth), 1, 1, 500));
    cluster->runFor(absl::Milliseconds(100));
    // Once the silence is known nobody waits at all.
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

// A cancel is confirmed at one entry while the leader's watch is silent. Users
// saw tasks of the job start seconds later.
TEST(Cluster, NothingStartsAfterACancelWasConfirmed) {
  auto cluster = serving();
  cluster->submit(0, "k1", job("fills", 48, 1, 3000));
  cluster->runFor(absl::Milliseconds(300));
  cluster->submit(1, "k1", job("waits", 8, 8, 1000));
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
  EXPECT_EQ(cluster->stored("waits"), jobs::JobState::Cancelled);
}

// The same id is handed in at two entries at once, and again later: callers
// ask again when an answer is lost. It is one job.
TEST(Cluster, SameIdIsOneJobWhereverItIsHandedIn) {
  auto cluster = serving();
  auto first = cluster->submit(0, "k1", job("same", 2, 1, 1000));
  auto second = cluster->submit(1, "k1", job("same", 2, 1, 1000));
  auto stranger = cluster->submit(2, "k2", job("same", 2, 1, 1000));
  cluster->runFor(absl::Milliseconds(100));
  EXPECT_EQ(first->Answer->Result, jobs::CallResult::Ok);
  EXPECT_EQ(second->Answer->Result, jobs::CallResult::Ok);
  EXPECT_EQ(stranger->Answer->Result, jobs::CallResult::IdTaken);
  ASSERT_TRUE(cluster->runUntilOver(absl::Seconds(5)));
  auto late = cluster->submit(2, "k1", job("same", 2, 1, 1000));
  cluster->runFor(absl::Seconds(2));
  EXPECT_EQ(late->Answer->Result, jobs::CallResult::Ok);
  EXPECT_EQ(cluster->starts(), 2);
  EXPECT_TRUE(keptAllRules(*cluster));
}

} // namespace
} // namespace oriolebay::cluster
