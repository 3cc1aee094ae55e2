// Tests of the number of waiting jobs that callers get: the accepted jobs of
// which no worker has begun a task.
#include "memorycluster.h"
#include "seeds.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace oriolebay::cluster {
namespace {

constexpr int Entries = 2;
constexpr int Workers = 5;
constexpr int Waiting = 3;
/// Age that a count may have.
constexpr absl::Duration CountAge = absl::Seconds(2);
/// Time after which an accepted job is known to all entries.
constexpr absl::Duration VisibleAfter = absl::Seconds(3);
/// Time after which a submitted job is placed, and its start is being recorded.
constexpr absl::Duration PlacedWithin = absl::Milliseconds(7);
constexpr absl::Duration CheckInterval = absl::Milliseconds(250);
constexpr int Unlimited = std::numeric_limits<int>::max();
constexpr int64_t WholeWorker = 8;
constexpr int64_t LongMs = 120000;
constexpr const char *Queue = "q1";

/// Compares the counts of all entries with what the workers have begun.
class CountJudge {
public:
  explicit CountJudge(MemoryCluster &cluster) : Cluster(cluster) {
    Cluster.observeStarts([this](const std::string &task, int64_t) {
      core::TaskId id;
      core::parseTaskName(task, id);
      BegunAt.emplace(id.Job, Cluster.loop().now());
    });
  }

  void submit(int entry, core::JobSpec spec) {
    spec.Queue = Queue;
    Jobs.push_back(Cluster.submit(entry, "k", std::move(spec)));
  }

  /// Asks all entries, and remembers what their answers must be. Counts may be
  /// too high unless the leader and the agents can learn what has begun.
  void ask(bool canLearnOfStarts) {
    noteAcceptances();
    const int most = canLearnOfStarts ? atMost() : Unlimited;
    for (int n = 0; n < Entries; ++n)
      if (Cluster.isEntryUp(n))
        Questions.push_back({Cluster.loop().now(), n, atLeast(), most,
                             Cluster.countQueued(n, "k", Queue)});
  }

  /// Checks the answers so far.
  void check() {
    for (const Question &q : Questions) {
      ASSERT_TRUE(q.Call->Answer) << q.Entry;
      if (q.Call->Answer->Result != jobs::CallResult::Ok)
        continue;
      ++Checked;
      const int shown = q.Call->Answer->Waiting;
      EXPECT_GE(shown, q.AtLeast) << text(q);
      EXPECT_LE(shown, q.AtMost) << text(q);
    }
    Questions.clear();
  }

  int checkedCount() const { return Checked; }
  bool hasBegun(const std::string &job) const {
    return BegunAt.count(job) != 0;
  }

private:
  struct Question {
    absl::Time At;
    int Entry = 0;
    int AtLeast = 0;
    int AtMost = 0;
    std::shared_ptr<MemoryCluster::CallerCall> Call;
  };

  void noteAcceptances() {
    for (const auto &job : Jobs)
      if (job->Answer && job->Answer->Result == jobs::CallResult::Ok)
        AcceptedAt.emplace(job->Job, Cluster.loop().now());
  }
  bool hadBegun(const std::string &job, absl::Time by) const {
    auto it = BegunAt.find(job);
    return it != BegunAt.end() && it->second <= by;
  }
  int countNotBegun(absl::Time acceptedBy, absl::Time notBegunBy) const {
    return static_cast<int>(std::count_if(
        AcceptedAt.begin(), AcceptedAt.end(), [&](const auto &job) {
          return job.second <= acceptedBy && !hadBegun(job.first, notBegunBy);
        }));
  }
  int atLeast() const {
    const absl::Time now = Cluster.loop().now();
    return countNotBegun(now - VisibleAfter - CountAge, now);
  }
  int atMost() const {
    const absl::Time now = Cluster.loop().now();
    return countNotBegun(now, now - CountAge);
  }
  static std::string text(const Question &q) {
    return "entry " + std::to_string(q.Entry) + " at " +
           absl::FormatDuration(q.At - absl::UnixEpoch());
  }

  MemoryCluster &Cluster;
  std::vector<std::shared_ptr<MemoryCluster::CallerCall>> Jobs;
  std::map<std::string, absl::Time> AcceptedAt;
  std::map<std::string, absl::Time> BegunAt;
  std::vector<Question> Questions;
  int Checked = 0;
};

MemoryCluster::Options siteOptions(uint64_t seed) {
  MemoryCluster::Options options;
  options.Entries = Entries;
  options.Workers = Workers;
  options.Seed = seed;
  return options;
}

/// A way in which starts at the only free worker do not happen.
struct NoStart {
  const char *Name;
  /// Called before the jobs are submitted, and when they have been placed.
  std::function<void(MemoryCluster &, int worker)> Before;
  std::function<void(MemoryCluster &, int worker)> OncePlaced;
  /// Whether a worker begins the jobs nevertheless.
  bool Begins = false;
  bool Gang = false;
};

void PrintTo(const NoStart &c, std::ostream *out) { *out << c.Name; }

class WaitingCount : public testing::TestWithParam<NoStart> {
protected:
  WaitingCount() : Cluster(siteOptions(1)), Judge(Cluster) {
    Cluster.configure({"k"});
    Cluster.runFor(absl::Seconds(4));
    for (int n = 0; n < Workers - 1; ++n)
      Judge.submit(0,
                   makeJob("long" + std::to_string(n), 1, WholeWorker, LongMs));
    Cluster.runFor(absl::Seconds(4));
  }

  /// The worker that runs nothing.
  int freeWorker() const {
    std::set<std::string> busy;
    for (const auto &[task, runs] : Cluster.sharedState().Running)
      for (const auto &[incarnation, run] : runs)
        busy.insert(incarnation);
    int found = -1;
    for (int n = 0; n < Workers; ++n)
      if (busy.count(
              const_cast<MemoryCluster &>(Cluster).worker(n).incarnation()) ==
          0)
        found = n;
    return found;
  }

  /// Callers who ask for a job are told the same as the count says.
  void expectStatesAsCounted() {
    for (int n = 0; n < Waiting; ++n) {
      const std::string job = "w" + std::to_string(n);
      const auto shown = Cluster.state(Cluster.leader(), "k", job);
      Cluster.runFor(absl::Seconds(1));
      ASSERT_TRUE(shown->Answer);
      EXPECT_EQ(shown->Answer->State == jobs::JobState::Queued,
                !Judge.hasBegun(job))
          << job;
    }
  }

  MemoryCluster Cluster;
  CountJudge Judge;
};

// Guards against waiting jobs that callers are told not to wait, because a
// start was ordered that no worker has carried out.
TEST_P(WaitingCount, HoldsTheJobsThatNoWorkerHasBegun) {
  const NoStart &c = GetParam();
  const int worker = freeWorker();
  ASSERT_GE(worker, 0);
  if (c.Before)
    c.Before(Cluster, worker);
  for (int n = 0; n < Waiting; ++n) {
    core::JobSpec spec =
        c.Gang ? makeJob("w" + std::to_string(n), 2, WholeWorker / 2, LongMs)
               : makeJob("w" + std::to_string(n), 1, WholeWorker, LongMs);
    spec.Steps.front().Gang = c.Gang;
    Judge.submit(n % Entries, spec);
  }
  Cluster.runFor(PlacedWithin);
  if (c.OncePlaced) {
    ASSERT_NE(Cluster.decisionsText("w0"), "");
    c.OncePlaced(Cluster, worker);
  }
  for (absl::Duration t; t < absl::Seconds(14); t += CheckInterval) {
    const bool hasSameLeader = Cluster.isEntryUp(0) && Cluster.isEntryUp(1);
    Judge.ask(hasSameLeader);
    Cluster.runFor(CheckInterval);
  }
  Judge.check();
  EXPECT_GT(Judge.checkedCount(), 20);
  EXPECT_EQ(Judge.hasBegun("w0") || Judge.hasBegun("w1"), c.Begins);
  expectStatesAsCounted();
}

const NoStart NoStarts[] = {
    {"RefusedAsBusy",
     [](MemoryCluster &site, int w) { site.worker(w).RefusesStarts = true; },
     {}},
    {"RefusedGang",
     [](MemoryCluster &site, int w) { site.worker(w).RefusesStarts = true; },
     {},
     false,
     true},
    {"RefusedForAWhile",
     [](MemoryCluster &site, int w) {
       site.worker(w).RefusesStarts = true;
       site.loop().runAfter(absl::Milliseconds(500), [&site, w] {
         site.worker(w).RefusesStarts = false;
       });
     },
     {},
     true},
    {"WithoutAnswer",
     [](MemoryCluster &site, int w) {
       site.worker(w).LateOrderShare = 1;
       site.worker(w).MinLateDelay = absl::Seconds(60);
       site.worker(w).MaxLateDelay = absl::Seconds(61);
     },
     {}},
    {"BegunWithoutAnswer",
     [](MemoryCluster &site, int w) {
       site.worker(w).LostOrderAnswerShare = 1;
     },
     {},
     true},
    {"WorkerGone",
     {},
     [](MemoryCluster &site, int w) { site.worker(w).Down = true; }},
    {"WorkerDrains",
     [](MemoryCluster &site, int w) {
       site.worker(w).drain(60000);
       site.runFor(absl::Seconds(2));
     },
     {}},
    {"AgentLost", {}, [](MemoryCluster &site, int w) { site.killAgent(w); }},
    {"HostLost", {}, [](MemoryCluster &site, int w) { site.removeHost(w); }},
    {"AgentCutOff",
     [](MemoryCluster &site, int w) {
       site.holdMessages(MemoryCluster::agentName(w), absl::Seconds(60));
     },
     {}},
    {"LeaderLost",
     [](MemoryCluster &site, int w) { site.worker(w).RefusesStarts = true; },
     [](MemoryCluster &site, int) { site.killEntry(site.leader()); }},
    {"BegunAndFailed",
     [](MemoryCluster &site, int w) { site.worker(w).FailsAll = true; },
     {},
     true},
    {"Begun", {}, {}, true},
};

INSTANTIATE_TEST_SUITE_P(Table, WaitingCount, testing::ValuesIn(NoStarts),
                         [](const auto &test) { return test.param.Name; });

/// A day on which workers fail to start what they are ordered, in many ways,
/// while jobs come all the time.
class CountDay {
public:
  explicit CountDay(uint64_t seed)
      : Random(seed), Cluster(siteOptions(seed)), Judge(Cluster) {}

  void run() {
    Cluster.configure({"k"});
    Cluster.runFor(absl::Seconds(4));
    for (int tick = 0; tick < 160; ++tick) {
      if (randomInt(1, 4) == 1)
        submitJob();
      if (randomInt(1, 8) == 1)
        injectFault();
      Judge.ask(Cluster.loop().now() - AgentsRunSince >= CountAge);
      Cluster.runFor(CheckInterval);
    }
    Judge.check();
  }
  int checkedCount() const { return Judge.checkedCount(); }

private:
  int randomInt(int from, int to) {
    return std::uniform_int_distribution<>(from, to)(Random);
  }
  void submitJob() {
    core::JobSpec spec = makeJob("j" + std::to_string(++Jobs), randomInt(1, 3),
                                 1 << randomInt(0, 3), 500 * randomInt(1, 10));
    spec.Steps.front().Gang = randomInt(1, 3) == 1;
    Judge.submit(randomInt(0, Entries - 1), spec);
  }
  void healLater(std::function<void()> heal) {
    Cluster.loop().runAfter(absl::Milliseconds(randomInt(300, 8000)),
                            std::move(heal));
  }
  void startAgent(int n) {
    Cluster.startAgent(n);
    AgentsDown.erase(n);
    if (AgentsDown.empty())
      AgentsRunSince = Cluster.loop().now();
  }
  void injectFault() {
    const int n = randomInt(0, Workers - 1);
    MemoryWorker &worker = Cluster.worker(n);
    switch (randomInt(0, 6)) {
    case 0:
    case 1:
      worker.RefusesStarts = true;
      return healLater([&worker] { worker.RefusesStarts = false; });
    case 2:
      worker.LateOrderShare = 0.5;
      return healLater([&worker] { worker.LateOrderShare = 0; });
    case 3:
      worker.LostOrderAnswerShare = 0.5;
      return healLater([&worker] { worker.LostOrderAnswerShare = 0; });
    case 4:
      return worker.crash();
    case 5:
      Cluster.killAgent(n);
      AgentsDown.insert(n);
      AgentsRunSince = absl::InfiniteFuture();
      return healLater([this, n] { startAgent(n); });
    default:
      worker.FailsAll = true;
      return healLater([&worker] { worker.FailsAll = false; });
    }
  }

  std::mt19937_64 Random;
  MemoryCluster Cluster;
  CountJudge Judge;
  int Jobs = 0;
  std::set<int> AgentsDown;
  /// Nobody beside a worker learns what it begins while its agent is down.
  absl::Time AgentsRunSince = absl::InfinitePast();
};

TEST(WaitingCounts, AreRightOnRandomDays) {
  const auto [first, last] = seedsToRun();
  for (int seed = first; seed <= last; ++seed) {
    CountDay day(static_cast<uint64_t>(seed));
    day.run();
    EXPECT_GT(day.checkedCount(), 100);
    if (testing::Test::HasFailure()) {
      ADD_FAILURE() << "seed " << seed;
      return;
    }
  }
}

} // namespace
} // namespace oriolebay::cluster
