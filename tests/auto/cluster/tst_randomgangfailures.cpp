// Random scenarios in which several members of a gang's run end failed together
// while leaders are killed, agents restart and the store fails.
#include "memorycluster.h"
#include "seeds.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace oriolebay::cluster {
namespace {

using endpoints::RunEnd;
using jobs::JobState;

constexpr int Entries = 3;
constexpr int Workers = 8;
constexpr const char *Key = "k";
/// The attempts of the three queues, which are named after their index.
constexpr int Attempts[] = {4, 2, 3};
/// Times from the first end of a failing run to that of another member.
constexpr int SpacingsMs[] = {0, 0, 0, 10, 20, 100, 250};
constexpr int Ticks = 200;
constexpr absl::Duration TickTime = absl::Milliseconds(200);
constexpr absl::Duration EndLimit = absl::Minutes(4);

std::string stepOf(const std::string &task) {
  return task.substr(0, task.rfind('.'));
}

/// What happened to one gang.
struct GangHistory {
  std::vector<absl::Time> Starts;
  /// Time of the first end `failed` in each run, and of the first of those that
  /// leaders acknowledged.
  std::map<int64_t, absl::Time> FailedAt;
  std::map<int64_t, absl::Time> AcknowledgedFailureAt;
};

class GangFailureScenario {
public:
  explicit GangFailureScenario(uint64_t seed)
      : Random(seed),
        Cluster({.Entries = Entries, .Workers = Workers, .Seed = seed}) {
    Cluster.setPlannedEnds([this](const std::string &task, int64_t run) {
      return planEnd(stepOf(task), run);
    });
    Cluster.observeStarts([this](const std::string &task, int64_t) {
      Gangs[stepOf(task)].Starts.push_back(Cluster.loop().now());
    });
    Cluster.observeEnds([this](const ObservedEnd &end) { onEnd(end); });
  }

  void run() {
    configure();
    Cluster.runFor(absl::Seconds(4));
    for (int tick = 0; tick < Ticks; ++tick) {
      if (randomInt(1, 6) == 1)
        submit();
      if (randomInt(1, 25) == 1)
        injectFault();
      Cluster.runFor(TickTime);
    }
    healAll();
    HasEnded = Cluster.runUntilAllEnded(EndLimit);
  }

  std::vector<std::string> violations() {
    std::vector<std::string> found = Cluster.violations();
    if (!HasEnded)
      found.emplace_back("a job does not end");
    collectFailures();
    for (const std::string &job : Cluster.acceptedJobs())
      addViolationsOf(job, found);
    return found;
  }

  MemoryCluster &cluster() { return Cluster; }
  int gangsThatFailedTogether() const { return FailedTogether; }

private:
  int randomInt(int from, int to) {
    return std::uniform_int_distribution<>(from, to)(Random);
  }
  static int attemptsOf(const std::string &job) {
    return Attempts[job.back() - '0'];
  }

  void configure() {
    std::vector<core::QueueConfig> queues;
    for (int n = 0; n < 3; ++n) {
      queues.push_back(makeQueue("q" + std::to_string(n)));
      queues.back().Priority = n;
      queues.back().Attempts = Attempts[n];
    }
    Cluster.configureSite({{"org", {Key}, 16}}, queues);
  }

  // The last character of a job's id is the index of its queue.
  void submit() {
    const std::string queue = std::to_string(randomInt(0, 2));
    core::JobSpec spec =
        makeJob("job" + std::to_string(++Jobs) + "-" + queue, randomInt(2, 4),
                1 << randomInt(0, 3), int64_t{100} * randomInt(5, 40));
    spec.Queue = "q" + queue;
    spec.Steps.front().Gang = true;
    spec.Steps.front().Checkpoints = randomInt(0, 1) == 1;
    Cluster.submit(randomInt(0, Entries - 1), Key, spec);
  }

  /// When the run of the gang begins to fail; nothing if it does not.
  std::optional<absl::Duration> failureTimeOf(const std::string &step,
                                              int64_t run) {
    auto [it, isNew] = FailureTimes.try_emplace({step, run});
    if (isNew && AreGangsFailing && randomInt(0, 1) == 1)
      it->second = absl::Milliseconds(10 * randomInt(1, 150));
    return it->second;
  }

  std::optional<PlannedEnd> planEnd(const std::string &step, int64_t run) {
    const std::optional<absl::Duration> time = failureTimeOf(step, run);
    if (!time || randomInt(1, 4) == 1)
      return std::nullopt;
    const int spacing =
        SpacingsMs[randomInt(0, static_cast<int>(std::size(SpacingsMs)) - 1)];
    return PlannedEnd{*time + absl::Milliseconds(spacing),
                      randomInt(1, 6) == 1 ? RunEnd::Broken : RunEnd::Failed};
  }

  void onEnd(const ObservedEnd &end) {
    if (end.How == RunEnd::Failed && AreGangsFailing && randomInt(1, 8) == 1)
      Cluster.loop().runAfter(absl::Milliseconds(randomInt(0, 40)),
                              [this] { injectFault(); });
  }

  void healLater(std::function<void()> heal) {
    Cluster.loop().runAfter(absl::Milliseconds(randomInt(300, 6000)),
                            std::move(heal));
  }

  void injectFault() {
    const int entry = randomInt(0, Entries - 1);
    const int worker = randomInt(0, Workers - 1);
    MemoryStore::Faults &faults =
        Cluster.store().faults(MemoryCluster::entryName(entry));
    switch (randomInt(0, 6)) {
    case 0:
      return killEntry(Cluster.leader());
    case 1:
      return killEntry(entry);
    case 2:
      Cluster.killAgent(worker);
      return healLater([this, worker] { Cluster.startAgent(worker); });
    case 3:
      setStoreSilent(true);
      return healLater([this] { setStoreSilent(false); });
    case 4:
      faults.LostAnswerShare = 0.4;
      return healLater([&faults] { faults.LostAnswerShare = 0; });
    case 5:
      faults.LateWriteShare = 0.3;
      return healLater([&faults] { faults.LateWriteShare = 0; });
    default:
      Cluster.worker(worker).LostOrderAnswerShare = 0.4;
      return healLater(
          [this, worker] { Cluster.worker(worker).LostOrderAnswerShare = 0; });
    }
  }

  void killEntry(int entry) {
    if (entry < 0 || !Cluster.isEntryUp(entry))
      return;
    Cluster.killEntry(entry);
    healLater([this, entry] { restartEntry(entry); });
  }

  void restartEntry(int entry) {
    if (!Cluster.isEntryUp(entry))
      Cluster.startEntry(entry);
  }

  void setStoreSilent(bool silent) {
    for (int n = 0; n < Entries; ++n)
      Cluster.store().faults(MemoryCluster::entryName(n)).Silent = silent;
  }

  void healAll() {
    AreGangsFailing = false;
    Cluster.runFor(absl::Seconds(8));
    for (int n = 0; n < Entries; ++n)
      restartEntry(n);
    Cluster.watchWaits();
  }

  void collectFailures() {
    for (const ObservedEnd &end : Cluster.sharedState().Ends) {
      if (end.How != RunEnd::Failed)
        continue;
      GangHistory &gang = Gangs[stepOf(end.Task)];
      FailedTogether += gang.FailedAt.emplace(end.Run, end.At).second ? 0 : 1;
      if (end.Acknowledged)
        gang.AcknowledgedFailureAt.emplace(end.Run, end.At);
    }
  }

  // Jobs that crash workers may fail earlier: no worker crashes here.
  void addViolationsOf(const std::string &job,
                       std::vector<std::string> &found) {
    const GangHistory &gang = Gangs[job + ".0.0"];
    const auto failedRuns = static_cast<int>(gang.FailedAt.size());
    if (Cluster.finalState(job) == JobState::Failed &&
        failedRuns < attemptsOf(job))
      found.push_back(job + ".0.0 has failed in " + std::to_string(failedRuns) +
                      " runs of " + std::to_string(attemptsOf(job)) +
                      ", and its job is shown as failed");
    if (startsTooOften(gang, attemptsOf(job)))
      found.push_back(job + ".0.0 is started after " +
                      std::to_string(attemptsOf(job)) +
                      " acknowledged runs have failed");
  }

  static bool startsTooOften(const GangHistory &gang, int attempts) {
    std::vector<absl::Time> failures;
    for (const auto &[run, at] : gang.AcknowledgedFailureAt)
      failures.push_back(at);
    std::sort(failures.begin(), failures.end());
    if (static_cast<int>(failures.size()) < attempts)
      return false;
    const absl::Time lastAttempt = failures[static_cast<size_t>(attempts - 1)];
    return std::any_of(
        gang.Starts.begin(), gang.Starts.end(),
        [lastAttempt](absl::Time start) { return start > lastAttempt; });
  }

  std::mt19937_64 Random;
  MemoryCluster Cluster;
  int Jobs = 0;
  bool AreGangsFailing = true;
  bool HasEnded = false;
  int FailedTogether = 0;
  std::map<std::pair<std::string, int64_t>, std::optional<absl::Duration>>
      FailureTimes;
  std::map<std::string, GangHistory> Gangs;
};

// Guards against jobs that are shown as failed before their gang has failed in
// as many runs as it has attempts, and against runs after that.
TEST(RandomGangFailures, AttemptsAreCountedByRun) {
  const auto [first, last] = seedsToRun();
  for (int seed = first; seed <= last; ++seed) {
    GangFailureScenario scenario(static_cast<uint64_t>(seed));
    scenario.run();
    const std::vector<std::string> found = scenario.violations();
    EXPECT_TRUE(found.empty())
        << "seed " << seed << ": " << found.size()
        << " violations, the first: " << found.front() << '\n'
        << scenario.cluster().decisionsText(
               found.front().substr(0, found.front().find('.')));
    EXPECT_GT(scenario.gangsThatFailedTogether(), 0) << "seed " << seed;
  }
}

} // namespace
} // namespace oriolebay::cluster
