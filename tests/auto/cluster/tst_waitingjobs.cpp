// Random scenarios of everything that can make a job wait. Once all faults are
// over, no job may wait beside free workers.
#include "memorycluster.h"
#include "seeds.h"

#include <gtest/gtest.h>

#include <absl/time/time.h>

#include <algorithm>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace oriolebay::cluster {
namespace {

using RestartId = MemoryWorker::RestartId;

/// Time after the last fault within which all jobs have to end.
constexpr absl::Duration EndLimit = absl::Minutes(3);
/// Time after RecoveryTime for which waits are looked for.
constexpr absl::Duration WatchedTime = absl::Seconds(20);
/// Each fault is over after this time at the latest.
constexpr int LongestFaultMs = 8000;
/// Seeds to run unless the environment gives others.
constexpr int SeedsInCi = 10;
constexpr int Entries = 4;
/// Faults and submissions begin at ticks.
constexpr int TickMs = 200;
constexpr int Ticks = 150;
constexpr int TicksPerFault = 8;
constexpr int LongTaskMs = 45000;
/// Number of live entries that are never removed.
constexpr int MinEntries = 2;
/// Jobs whose names begin with this crash workers.
const std::string CrashingPrefix = "bad";
const core::Resources WholeWorker{32000, 65536, 8};

class WaitingJobsScenario {
public:
  explicit WaitingJobsScenario(uint64_t seed)
      : Random(seed), WorkersPerRack(randomInt(3, 7)), Racks(randomInt(2, 4)),
        Cluster(options(seed)) {
    ReplacesAtTheEnd = randomInt(0, 2) == 0;
    CrashesTasks = randomInt(0, 2) == 0;
    HasLongTasks = randomInt(0, 3) == 0;
    TicksPerJob = randomInt(2, 8);
    LongestTaskMs = randomInt(0, 1) == 0 ? 6000 : 15000;
    LosesHistory = randomInt(0, 3) == 0;
    LateDelayMs = randomInt(0, 1) == 0 ? 300 : 2000;
  }

  void run() {
    Cluster.configure({"k"}, randomInt(0, 2) * 16);
    Cluster.setCrashingTasks(
        [this](const std::string &task) { return crashesWorker(task); });
    Cluster.runFor(absl::Seconds(4));
    makeWorkersSick();
    for (int tick = 0; tick < Ticks; ++tick) {
      if (randomInt(1, TicksPerFault) == 1)
        injectFault();
      runTick();
    }
    while (Cluster.loop().now() < FaultsOverAt)
      runTick();
    endFaults();
    if (ReplacesAtTheEnd)
      replaceAtTheEnd();
    Cluster.watchWaits();
  }

  MemoryCluster &cluster() { return Cluster; }

private:
  MemoryCluster::Options options(uint64_t seed) const {
    MemoryCluster::Options o;
    o.Entries = Entries;
    o.Workers = WorkersPerRack * Racks;
    o.WorkersPerRack = WorkersPerRack;
    o.WorkersPerDomain = WorkersPerRack;
    o.Seed = seed;
    return o;
  }
  int randomInt(int from, int to) {
    return std::uniform_int_distribution<>(from, to)(Random);
  }
  int randomWorker() {
    int worker = randomInt(0, Cluster.workerCount() - 1);
    while (RemovedHosts.count(worker) != 0)
      worker = randomInt(0, Cluster.workerCount() - 1);
    return worker;
  }
  int randomEntry() {
    int entry = randomInt(0, EntryCount - 1);
    while (RemovedEntries.count(entry) != 0)
      entry = randomInt(0, EntryCount - 1);
    return entry;
  }
  /// While there are faults, the first task of a crashing job crashes its
  /// workers.
  bool crashesWorker(const std::string &task) const {
    core::TaskId id;
    return !AreFaultsOver && core::parseTaskName(task, id) &&
           id.Job.rfind(CrashingPrefix, 0) == 0 && id.Index == 0;
  }
  /// Some workers fail or hang until all faults end.
  void makeWorkersSick() {
    if (randomInt(0, 2) > 0)
      return;
    const int count = randomInt(0, 1) == 0
                          ? Cluster.workerCount()
                          : randomInt(1, Cluster.workerCount());
    const int first = randomInt(0, Cluster.workerCount() - 1);
    const bool fail = randomInt(0, 1) == 0;
    for (int k = 0; k < count; ++k) {
      MemoryWorker &worker =
          Cluster.worker((first + k) % Cluster.workerCount());
      (fail ? worker.FailsAll : worker.Hangs) = true;
    }
  }

  void runTick() {
    if (randomInt(1, TicksPerJob) == 1)
      submitRandomJob();
    Cluster.runFor(absl::Milliseconds(TickMs));
  }
  /// Returns a random time until which a fault lasts that begins now.
  absl::Duration lastFor(int minMs, int maxMs) {
    const absl::Duration time = absl::Milliseconds(randomInt(minMs, maxMs));
    FaultsOverAt = std::max(FaultsOverAt, Cluster.loop().now() + time);
    return time;
  }
  void healLater(std::function<void()> heal) {
    Cluster.loop().runAfter(lastFor(300, LongestFaultMs), std::move(heal));
  }
  /// Runs what adds to the site. Its lack until then is no fault.
  void addLater(std::function<void()> add) {
    Cluster.loop().runAfter(absl::Milliseconds(randomInt(300, 4000)),
                            std::move(add));
  }

  void submitRandomJob() {
    const bool crashes = CrashesTasks && randomInt(1, 8) == 1;
    const std::string id =
        (crashes ? CrashingPrefix : "job") + std::to_string(++Jobs);
    core::JobSpec spec = makeJob(id, 1, 1, randomInt(300, LongestTaskMs));
    spec.Queue = "q" + std::to_string(randomInt(0, 2));
    core::StepSpec &step = spec.Steps.front();
    step.PerTask = {1000 * randomInt(1, 8), 1000 * randomInt(1, 16),
                    1 << randomInt(0, 3)};
    step.Checkpoints = randomInt(0, 1) == 1;
    switch (randomInt(0, 6)) {
    case 6:
      // Small, and outlasts the time in which waits are looked for.
      if (HasLongTasks)
        step.EstimateMs = LongTaskMs;
      step.PerTask = {1000, 1000, 1};
      break;
    case 0:
      // Up to a whole rack.
      step.Gang = true;
      step.SameRack = true;
      step.Count = randomInt(2, WorkersPerRack);
      step.PerTask.Accelerators = randomInt(0, 1) == 0 ? 8 : 4;
      break;
    case 1:
      step.Gang = true;
      step.Count = randomInt(2, WorkersPerRack + 1);
      break;
    case 2:
      step.Count = randomInt(2, 3 * WorkersPerRack);
      break;
    case 3:
      step.Count = randomInt(1, WorkersPerRack);
      step.MaxPerWorker = 1;
      break;
    case 4:
      step.Count = randomInt(1, WorkersPerRack);
      step.NeedsLabel = "r" + std::to_string(randomInt(0, Racks - 1));
      break;
    default:
      step.Count = randomInt(1, 4);
    }
    if (step.EstimateMs < LongTaskMs && randomInt(1, 4) == 1) {
      spec.Steps.push_back(spec.Steps.front());
      spec.Steps.back().After = {0};
    }
    Cluster.submit(randomEntry(), "k", spec);
  }

  void injectFault() {
    switch (randomInt(0, 3)) {
    case 0:
      return injectEntryFault();
    case 1:
      return injectStoreFault();
    default:
      return injectWorkerFault();
    }
  }

  void injectEntryFault() {
    const int entry = randomInt(0, 1) == 0 ? randomEntry() : leaderOrAny();
    switch (randomInt(0, 4)) {
    case 0:
    case 1:
      Cluster.killEntry(entry);
      return healLater([this, entry] { startEntry(entry); });
    case 2:
      Cluster.setPartitioned(MemoryCluster::entryName(entry), true);
      Cluster.store().faults(MemoryCluster::entryName(entry)).Silent = true;
      return healLater([this, entry] {
        Cluster.setPartitioned(MemoryCluster::entryName(entry), false);
        Cluster.store().faults(MemoryCluster::entryName(entry)).Silent = false;
      });
    case 3:
      return Cluster.holdMessages(MemoryCluster::entryName(entry),
                                  lastFor(300, 6000));
    default:
      return replaceEntry(entry);
    }
  }

  void injectStoreFault() {
    switch (randomInt(0, 3)) {
    case 0:
      return setStoreFault(
          [](MemoryStore::Faults &f, bool on) { f.Silent = on; });
    case 1:
      return setStoreFault(
          [](MemoryStore::Faults &f, bool on) { f.Refuses = on; });
    case 2:
      setStoreFault(
          [](MemoryStore::Faults &f, bool on) { f.WatchesSilent = on; });
      if (LosesHistory)
        Cluster.store().compact();
      return;
    default:
      return setStoreFault([](MemoryStore::Faults &f, bool on) {
        f.LostAnswerShare = on ? 0.4 : 0;
        f.LateWriteShare = on ? 0.2 : 0;
      });
    }
  }

  /// Sets a fault of the store for all entries, and ends it later.
  void setStoreFault(
      const std::function<void(MemoryStore::Faults &, bool on)> &set) {
    auto setForAll = [this, set](bool on) {
      for (int n = 0; n < EntryCount; ++n)
        set(Cluster.store().faults(MemoryCluster::entryName(n)), on);
    };
    setForAll(true);
    healLater([setForAll] { setForAll(false); });
  }

  void injectWorkerFault() {
    const int n = randomWorker();
    MemoryWorker &worker = Cluster.worker(n);
    switch (randomInt(0, 11)) {
    case 0:
      worker.Hangs = true;
      return healLater([&worker] { worker.Hangs = false; });
    case 1:
      worker.FailsAll = true;
      return healLater([&worker] { worker.FailsAll = false; });
    case 2:
      worker.Down = true;
      return healLater(
          [this, n] { Cluster.worker(n).Down = RemovedHosts.count(n) != 0; });
    case 3:
    case 4:
      return crashSomeWorkers();
    case 5:
      worker.setCapacity({4000 * randomInt(1, 8), 65536, randomInt(0, 8)});
      return healLater([&worker] { worker.setCapacity(WholeWorker); });
    case 6:
      return drain(n);
    case 7:
      return replaceHost(n);
    case 8:
      return replaceAgent(n);
    case 9:
      return makeOrdersLate();
    case 10:
      worker.LostOrderAnswerShare = 0.5;
      return healLater([&worker] { worker.LostOrderAnswerShare = 0; });
    default:
      return cordon(worker.failureDomain());
    }
  }

  void crashSomeWorkers() {
    const int count = randomInt(1, WorkersPerRack);
    for (int k = 0; k < count; ++k)
      Cluster.worker(randomWorker())
          .crashFor(lastFor(20, 3000),
                    randomInt(0, 1) == 0 ? RestartId::New : RestartId::Same);
  }

  void drain(int n) {
    const absl::Duration remaining = lastFor(1000, 4000);
    Cluster.worker(n).drain(absl::ToInt64Milliseconds(remaining));
    Cluster.loop().runAfter(remaining, [this, n] {
      if (RemovedHosts.count(n) == 0)
        Cluster.worker(n).crashFor(lastFor(300, 1000));
    });
  }

  void makeOrdersLate() {
    for (int n = 0; n < Cluster.workerCount(); ++n) {
      Cluster.worker(n).MinLateDelay = absl::Milliseconds(LateDelayMs);
      Cluster.worker(n).LateOrderShare = 0.5;
      Cluster.worker(n).LateKeepAliveShare = 0.1;
    }
    healLater([this] { makeOrdersPrompt(); });
  }
  void makeOrdersPrompt() {
    for (int n = 0; n < Cluster.workerCount(); ++n) {
      Cluster.worker(n).LateOrderShare = 0;
      Cluster.worker(n).LateKeepAliveShare = 0;
    }
  }

  void cordon(const std::string &domain) {
    Cluster.cordon(domain);
    healLater([this, domain] { Cluster.liftCordon(domain); });
  }

  void replaceAgent(int n) {
    Cluster.killAgent(n);
    healLater([this, n] {
      if (RemovedHosts.count(n) == 0)
        Cluster.startAgent(n);
    });
  }

  /// Removes a worker and its agent for good. Another host takes their place.
  void replaceHost(int n) {
    RemovedHosts.insert(n);
    Cluster.removeHost(n);
    addLater([this, n] { Cluster.addHostLike(n); });
  }

  /// Removes an entry for good. Another one takes its place.
  void replaceEntry(int entry) {
    if (EntryCount - static_cast<int>(RemovedEntries.size()) <= MinEntries)
      return;
    RemovedEntries.insert(entry);
    Cluster.killEntry(entry);
    addLater([this] {
      Cluster.addEntry();
      ++EntryCount;
    });
  }

  int leaderOrAny() {
    const int leader = Cluster.leader();
    return leader < 0 || RemovedEntries.count(leader) != 0 ? randomEntry()
                                                           : leader;
  }
  void startEntry(int entry) {
    if (RemovedEntries.count(entry) == 0 && !Cluster.isEntryUp(entry))
      Cluster.startEntry(entry);
  }

  /// Replaces hosts of workers, and perhaps the leader, as the last faults.
  void replaceAtTheEnd() {
    const int count = randomInt(1, 3);
    for (int k = 0; k < count; ++k)
      replaceHost(randomWorker());
    Cluster.runFor(absl::Milliseconds(randomInt(0, 1500)));
    if (randomInt(0, 1) == 0)
      replaceEntry(leaderOrAny());
  }

  /// Ends what faults there may still be.
  void endFaults() {
    AreFaultsOver = true;
    for (int n = 0; n < EntryCount; ++n) {
      const std::string name = MemoryCluster::entryName(n);
      Cluster.store().faults(name) = {};
      Cluster.setPartitioned(name, false);
      startEntry(n);
    }
    makeOrdersPrompt();
    for (int n = 0; n < Cluster.workerCount(); ++n)
      healWorker(n);
    for (int n = 0; n < Racks; ++n)
      Cluster.liftCordon(MemoryCluster::domainName(n));
  }

  void healWorker(int n) {
    if (RemovedHosts.count(n) != 0)
      return;
    MemoryWorker &worker = Cluster.worker(n);
    worker.Hangs = false;
    worker.FailsAll = false;
    worker.Down = false;
    worker.LostOrderAnswerShare = 0;
    worker.setCapacity(WholeWorker);
  }

  std::mt19937_64 Random;
  const int WorkersPerRack;
  const int Racks;
  MemoryCluster Cluster;
  bool ReplacesAtTheEnd = false;
  bool LosesHistory = false;
  bool CrashesTasks = false;
  bool HasLongTasks = false;
  bool AreFaultsOver = false;
  int LateDelayMs = 0;
  int TicksPerJob = 0;
  int LongestTaskMs = 0;
  int Jobs = 0;
  absl::Time FaultsOverAt = absl::InfinitePast();
  int EntryCount = Entries;
  std::set<int> RemovedEntries;
  std::set<int> RemovedHosts;
};

std::string jobOf(const std::string &violation) {
  return violation.substr(0, violation.find('.'));
}

// Guards against conditions that keep tasks from starting for longer than the
// faults that have set them.
TEST(WaitingJobs, NoneWaitsBesideFreeWorkersAfterRandomFaults) {
  const auto [first, last] = seedsToRun(SeedsInCi);
  for (int seed = first; seed <= last; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    WaitingJobsScenario scenario(static_cast<uint64_t>(seed));
    scenario.run();
    MemoryCluster &cluster = scenario.cluster();
    cluster.runFor(MemoryCluster::RecoveryTime + WatchedTime);
    for (const std::string &violation : cluster.violations())
      ADD_FAILURE() << violation << '\n'
                    << cluster.decisionsText(jobOf(violation));
    EXPECT_TRUE(cluster.runUntilAllEnded(EndLimit)) << "a job does not end";
  }
}

} // namespace
} // namespace oriolebay::cluster
