#include "seeds.h"
#include "servingcluster.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <set>
#include <tuple>

namespace oriolebay::cluster {
namespace {

using jobs::CallResult;

constexpr int Entries = 3;
constexpr const char *Queue = "q1";
/// How long a caller waits for an answer.
constexpr int CallerTimeoutMs = 3000;

/// The configuration of this number and the next one contain the key.
std::string keyOf(int64_t number) { return "key" + std::to_string(number); }

bool isDecided(const jobs::CallAnswer &answer) {
  return answer.Result != CallResult::NotDone &&
         answer.Result != CallResult::Open;
}

/// A cluster whose entries lose the store, its updates and each other in all
/// ways, and are killed and started again.
class FaultyCluster {
public:
  explicit FaultyCluster(uint64_t seed)
      : Random(seed), Cluster({Entries, 3, 3, seed}) {}

  MemoryCluster &cluster() { return Cluster; }
  /// Grows with each kill of the entry.
  int incarnation(int entry) const { return Incarnations.at(entry); }
  int randomInt(int from, int to) {
    return std::uniform_int_distribution<>(from, to)(Random);
  }

  void injectFault(int n) {
    const std::string entry = MemoryCluster::entryName(n);
    const std::string other =
        MemoryCluster::entryName((n + randomInt(1, Entries - 1)) % Entries);
    MemoryStore::Faults &store = Cluster.store().faults(entry);
    switch (randomInt(0, 5)) {
    case 0:
      store.Silent = true;
      return healLater([&store] { store.Silent = false; });
    case 1:
      store.Refuses = true;
      return healLater([&store] { store.Refuses = false; });
    case 2:
      store.WatchesSilent = true;
      return healLater([&store] { store.WatchesSilent = false; });
    case 3:
      store.Delay = absl::Milliseconds(randomInt(4, 400));
      return healLater([&store] { store.Delay = absl::Milliseconds(4); });
    case 4:
      Cluster.setPartitioned(other, true);
      return healLater([this, other] { Cluster.setPartitioned(other, false); });
    default:
      Cluster.killEntry(n);
      ++Incarnations[n];
      return healLater([this, n] {
        if (!Cluster.isEntryUp(n))
          Cluster.startEntry(n);
      });
    }
  }

private:
  void healLater(std::function<void()> heal) {
    Cluster.loop().runAfter(absl::Milliseconds(randomInt(50, 4000)),
                            std::move(heal));
  }

  std::mt19937_64 Random;
  MemoryCluster Cluster;
  std::array<int, Entries> Incarnations{};
};

/// What callers of one entry can conclude about the configurations that the
/// entry has used, during one incarnation of the entry.
class ConfigView {
public:
  int64_t minVersion() const { return MinVersion; }

  /// Evaluates the answer to a call with the key of this number. The call was
  /// sent when minVersion() was minVersionAtSend, so it must not be answered by
  /// an older configuration. newestVersion is the newest configuration that
  /// exists. Returns a description of the violation, or an empty string.
  std::string applyAnswer(const jobs::CallAnswer &answer, int64_t number,
                          int64_t minVersionAtSend, int64_t newestVersion) {
    if (!isDecided(answer))
      return "";
    if (answer.Result != CallResult::BadKey) {
      if (minVersionAtSend > number + 1)
        return "served a key that was removed";
      MinVersion = std::max(MinVersion, number);
      return "";
    }
    if (minVersionAtSend < number)
      return "";
    if (newestVersion <= number + 1)
      return "refused a key that its configuration contains";
    MinVersion = std::max(MinVersion, number + 2);
    return "";
  }

private:
  int64_t MinVersion = 0;
};

/// The configuration changes all the time, each entry loses and regains the
/// store and the other entries, and callers use keys that are about to be added
/// or have just been removed.
class ConfigChangeScenario {
public:
  explicit ConfigChangeScenario(uint64_t seed) : Faulty(seed) {}

  /// Returns the first change that callers saw reverted, or an empty string.
  std::string run() {
    for (int n = 0; n < 3; ++n)
      changeConfig();
    Cluster.runFor(absl::Seconds(4));
    for (int tick = 0; tick < 1000 && Violation.empty(); ++tick) {
      if (randomInt(1, 40) == 1)
        changeConfig();
      if (randomInt(1, 25) == 1)
        Faulty.injectFault(randomInt(0, Entries - 1));
      if (randomInt(1, 3) == 1)
        sendCall(randomInt(0, Entries - 1), NewestVersion - randomInt(0, 3));
      Cluster.runFor(absl::Milliseconds(20));
      checkAnswers();
    }
    return Violation;
  }

  int answeredCount() const { return AnsweredCount; }

private:
  struct PendingCall {
    int Entry;
    int Incarnation;
    int64_t Number;
    int64_t MinVersionAtSend;
    std::shared_ptr<MemoryCluster::CallerCall> Call;
  };

  int randomInt(int from, int to) { return Faulty.randomInt(from, to); }

  void changeConfig() {
    ++NewestVersion;
    Cluster.configure(
        {"always", keyOf(NewestVersion - 1), keyOf(NewestVersion)});
  }

  void sendCall(int entry, int64_t number) {
    const int incarnation = Faulty.incarnation(entry);
    PendingCalls.push_back({entry, incarnation, number,
                            ConfigViews[{entry, incarnation}].minVersion(),
                            Cluster.countQueued(entry, keyOf(number), Queue)});
  }

  void checkAnswers() {
    const auto first = std::partition(
        PendingCalls.begin(), PendingCalls.end(),
        [](const PendingCall &pending) { return !pending.Call->Answer; });
    for (auto it = first; it != PendingCalls.end(); ++it) {
      const std::string violation =
          ConfigViews[{it->Entry, it->Incarnation}].applyAnswer(
              *it->Call->Answer, it->Number, it->MinVersionAtSend,
              NewestVersion);
      AnsweredCount += isDecided(*it->Call->Answer) ? 1 : 0;
      if (!violation.empty())
        Violation = MemoryCluster::entryName(it->Entry) + " " + violation +
                    ": " + it->Call->Key +
                    ", after it had used configuration " +
                    std::to_string(it->MinVersionAtSend) + " or newer";
    }
    PendingCalls.erase(first, PendingCalls.end());
  }

  FaultyCluster Faulty;
  MemoryCluster &Cluster = Faulty.cluster();
  int64_t NewestVersion = 0;
  /// By entry and its incarnation.
  std::map<std::pair<int, int>, ConfigView> ConfigViews;
  std::vector<PendingCall> PendingCalls;
  int AnsweredCount = 0;
  std::string Violation;
};

core::JobSpec job(const std::string &id, int64_t ms) {
  core::JobSpec spec;
  spec.Id = id;
  spec.Queue = Queue;
  spec.Payload = "text";
  core::StepSpec step;
  step.PerTask = {1000, 1000, 1};
  step.EstimateMs = ms;
  spec.Steps.push_back(step);
  return spec;
}

CallResult resultOf(MemoryCluster &cluster,
                    const std::shared_ptr<MemoryCluster::CallerCall> &call) {
  for (int ms = 0; !call->Answer && ms < CallerTimeoutMs; ++ms)
    cluster.runFor(absl::Milliseconds(1));
  return call->Answer ? call->Answer->Result : CallResult::Open;
}

// Guards against an entry that answers by its own old configuration, which it
// read recently, after it has forwarded a call because the store would not
// confirm that configuration and another entry has answered by a newer one.
TEST(ConfigMonotonicity, EntryRefusedByTheStoreDoesNotUseItsOldConfig) {
  auto cluster = servingCluster({Entries, 3, 3, 1});
  const int isolated = (cluster->leader() + 1) % Entries;
  MemoryStore::Faults &store =
      cluster->store().faults(MemoryCluster::entryName(isolated));
  store.Refuses = true;
  store.WatchesSilent = true;
  cluster->configure({"k2", "k3"});
  cluster->runFor(absl::Milliseconds(50));
  ASSERT_EQ(resultOf(*cluster, cluster->countQueued(isolated, "k3", Queue)),
            CallResult::Ok);
  EXPECT_EQ(resultOf(*cluster, cluster->countQueued(isolated, "k1", Queue)),
            CallResult::BadKey);
}

// Guards against an entry that forwards the answer of another entry whose
// configuration is older than one that it has already answered by itself.
TEST(ConfigMonotonicity, AnswerOfAStaleEntryIsNotForwarded) {
  auto cluster = servingCluster({Entries, 3, 3, 1});
  const int stale = cluster->leader();
  const int newer = (stale + 1) % Entries;
  const int third = (stale + 2) % Entries;
  cluster->setPartitioned(MemoryCluster::entryName(third), true);
  cluster->store().faults(MemoryCluster::entryName(stale)).Silent = true;
  cluster->configure({"k2", "k3"});
  cluster->runFor(absl::Milliseconds(50));
  ASSERT_EQ(resultOf(*cluster, cluster->countQueued(newer, "k3", Queue)),
            CallResult::Ok);
  cluster->store().faults(MemoryCluster::entryName(newer)).Refuses = true;
  EXPECT_NE(resultOf(*cluster, cluster->countQueued(newer, "k1", Queue)),
            CallResult::Ok);
}

// Guards against an entry that returns to its old configuration because both
// its own and the newer one contain the caller's key, which now belongs to
// another organisation.
TEST(ConfigMonotonicity, KeyMovedToAnotherOrganisationStaysMoved) {
  auto cluster = servingCluster({Entries, 3, 3, 1});
  const int isolated = (cluster->leader() + 1) % Entries;
  cluster->submit(isolated, "k1", job("over", 100));
  cluster->submit(isolated, "k1", job("runs", 20000));
  cluster->runFor(absl::Seconds(2));
  ASSERT_EQ(cluster->storedState("over"), jobs::JobState::Completed);
  cluster->store().faults(MemoryCluster::entryName(isolated)).Silent = true;
  cluster->configureOrganisations({{"another", {"k1"}, 16}});
  cluster->runFor(absl::Milliseconds(1100));
  ASSERT_EQ(resultOf(*cluster, cluster->state(isolated, "k1", "runs")),
            CallResult::UnknownJob);
  EXPECT_EQ(resultOf(*cluster, cluster->state(isolated, "k1", "over")),
            CallResult::UnknownJob);
}

// Guards against an entry that answers a caller by an older configuration than
// an earlier answer of it, whichever entry decided the two answers.
TEST(ConfigMonotonicity, NoEntryUsesAnOlderConfigUnderRandomFaults) {
  const auto [first, last] = seedsToRun();
  int answeredCount = 0;
  for (int seed = first; seed <= last; ++seed) {
    ConfigChangeScenario scenario(static_cast<uint64_t>(seed));
    EXPECT_EQ(scenario.run(), "") << "seed " << seed;
    answeredCount += scenario.answeredCount();
  }
  EXPECT_GT(answeredCount, 0);
}

/// Short jobs whose states callers query all the time at all entries.
class JobStateScenario {
public:
  explicit JobStateScenario(uint64_t seed) : Faulty(seed) {}

  /// Returns the first end of a job that callers saw revoked, or an empty
  /// string.
  std::string run() {
    Cluster.configure({"k1"});
    Cluster.runFor(absl::Seconds(4));
    for (int tick = 0; tick < 1000 && Violation.empty(); ++tick) {
      if (Faulty.randomInt(1, 20) == 1)
        Cluster.submit(
            Faulty.randomInt(0, Entries - 1), "k1",
            job("j" + std::to_string(++Jobs), Faulty.randomInt(50, 800)));
      if (Faulty.randomInt(1, 25) == 1)
        Faulty.injectFault(Faulty.randomInt(0, Entries - 1));
      if (Jobs > 0)
        sendCall(Faulty.randomInt(0, Entries - 1),
                 Faulty.randomInt(std::max(1, Jobs - 3), Jobs));
      Cluster.runFor(absl::Milliseconds(20));
      checkAnswers();
    }
    return Violation;
  }

  int endedJobCount() const { return static_cast<int>(EndedJobs.size()); }

private:
  using JobAtEntry = std::tuple<int, int, std::string>;
  struct PendingCall {
    JobAtEntry At;
    bool WasEnded;
    std::shared_ptr<MemoryCluster::CallerCall> Call;
  };

  void sendCall(int entry, int number) {
    const std::string id = "j" + std::to_string(number);
    const JobAtEntry at{entry, Faulty.incarnation(entry), id};
    PendingCalls.push_back(
        {at, EndedJobs.count(at) > 0, Cluster.state(entry, "k1", id)});
  }

  void checkAnswers() {
    const auto first = std::partition(
        PendingCalls.begin(), PendingCalls.end(),
        [](const PendingCall &pending) { return !pending.Call->Answer; });
    for (auto it = first; it != PendingCalls.end(); ++it) {
      const jobs::CallAnswer &answer = *it->Call->Answer;
      const bool isEnded = answer.Result == CallResult::Ok &&
                           answer.State == jobs::JobState::Completed;
      if (it->WasEnded && isDecided(answer) && !isEnded)
        Violation = MemoryCluster::entryName(std::get<0>(it->At)) +
                    " revoked the end of " + it->Call->Job + ": " +
                    jobs::callResultName(answer.Result) + " " +
                    jobs::jobStateName(answer.State) + " " + answer.Detail;
      if (isEnded)
        EndedJobs.insert(it->At);
    }
    PendingCalls.erase(first, PendingCalls.end());
  }

  FaultyCluster Faulty;
  MemoryCluster &Cluster = Faulty.cluster();
  int Jobs = 0;
  /// Ends that callers have seen, by entry, its incarnation and the job.
  std::set<JobAtEntry> EndedJobs;
  std::vector<PendingCall> PendingCalls;
  std::string Violation;
};

// Guards against an entry that shows a job as ended and later as not ended.
TEST(FinalStateMonotonicity, NoEntryRevokesAnEndUnderRandomFaults) {
  const auto [first, last] = seedsToRun();
  int endedJobCount = 0;
  for (int seed = first; seed <= last; ++seed) {
    JobStateScenario scenario(static_cast<uint64_t>(seed));
    EXPECT_EQ(scenario.run(), "") << "seed " << seed;
    endedJobCount += scenario.endedJobCount();
  }
  EXPECT_GT(endedJobCount, 0);
}

} // namespace
} // namespace oriolebay::cluster
