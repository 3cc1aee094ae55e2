// Callers submit, query and cancel jobs while the operator renames, moves,
// splits, joins, removes and adds queues, and entries are lost.
#include "memorycluster.h"
#include "seeds.h"

#include "jobs/jobrecord.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace oriolebay::cluster {
namespace {

using jobs::CallResult;
using jobs::JobState;

constexpr int Entries = 3;
constexpr int MaxQueues = 4;
/// Time from a change until all entries decide calls by it.
constexpr absl::Duration AppliedWithin = absl::Seconds(3);
/// Time after an answer from which all entries know what it tells.
constexpr absl::Duration VisibleWithin = absl::Seconds(3);
/// Time after a cancellation from which nothing of the job runs or is started.
constexpr absl::Duration CancelledWithin = absl::Seconds(4);
constexpr absl::Duration Tick = absl::Milliseconds(100);
const std::vector<std::string> Keys = {"k1", "k2"};

/// A call whose answer is checked once it has arrived.
struct SentCall {
  enum class Kind { Submit, State, Cancel, Count };
  Kind What;
  int Entry;
  std::string Queue;
  absl::Time SentAt;
  std::shared_ptr<MemoryCluster::CallerCall> Call;
};

/// What callers know of a job id.
struct KnownJob {
  std::string Key;
  bool NeverStarts = false;
  /// Where it was accepted first, and when that was answered.
  std::string Queue;
  /// That was in the queue with this prefix for certain.
  bool IsInQueueOfPrefix = false;
  absl::Time AcceptedAt = absl::InfiniteFuture();
  /// A submission was sent, whose answer may still be open.
  bool IsSubmitted = false;
  absl::Time FirstCancelSentAt = absl::InfiniteFuture();
  absl::Time CancelledAt = absl::InfiniteFuture();
  bool IsBarred = false;
  bool HasEnded = false;

  bool isAccepted() const { return AcceptedAt != absl::InfiniteFuture(); }
};

class QueueChangesScenario {
public:
  explicit QueueChangesScenario(uint64_t seed)
      : Random(seed), Cluster(optionsOf(seed)) {
    Cluster.observeStarts([this](const std::string &task, int64_t) {
      core::TaskId id;
      if (core::parseTaskName(task, id))
        checkStart(id.Job);
    });
  }

  /// Returns descriptions of the answers and starts that contradict what
  /// callers have been told.
  std::vector<std::string> run() {
    for (int n = 0; n < 2; ++n)
      Queues.push_back(makeQueue(freshName()));
    configure();
    Cluster.runFor(absl::Seconds(5));
    for (int tick = 0; tick < Ticks; ++tick)
      runTick();
    finish();
    return Found;
  }

  int acceptedCount() const {
    return static_cast<int>(
        std::count_if(Jobs.begin(), Jobs.end(), [](const auto &entry) {
          return entry.second.isAccepted();
        }));
  }

private:
  static constexpr int Ticks = 400;

  static MemoryCluster::Options optionsOf(uint64_t seed) {
    MemoryCluster::Options options;
    options.Entries = Entries;
    options.Workers = 4;
    options.Seed = seed;
    return options;
  }

  int randomInt(int from, int to) {
    return std::uniform_int_distribution<>(from, to)(Random);
  }
  bool isOneIn(int n) { return randomInt(1, n) == 1; }
  size_t randomIndex(size_t count) {
    return static_cast<size_t>(randomInt(0, static_cast<int>(count) - 1));
  }

  void runTick() {
    if (isOneIn(15))
      changeQueues();
    if (isOneIn(60))
      loseEntry();
    if (isOneIn(2))
      sendCall();
    Cluster.runFor(Tick);
    checkAnswers();
  }

  // Names are used again, also by other queues.
  std::string freshName() { return "n" + std::to_string(randomInt(1, 6)); }
  std::string freshPath() { return "p" + std::to_string(randomInt(1, 4)); }

  void changeQueues() {
    std::vector<core::QueueConfig> next = Queues;
    core::QueueConfig &one = next[randomIndex(next.size())];
    switch (randomInt(0, 7)) {
    case 0:
      one.Name = freshName();
      break;
    case 1:
      std::swap(one.Name, next[randomIndex(next.size())].Name);
      break;
    case 2:
      Removed.push_back(one);
      next.erase(next.begin() + (&one - next.data()));
      break;
    case 3:
      if (!Removed.empty()) {
        next.push_back(Removed[randomIndex(Removed.size())]);
        next.back().Name = freshName();
      }
      break;
    case 4:
      one.Prefix = "/" + freshPath() + "/";
      break;
    case 5:
      next.push_back(makeQueue(freshName()));
      next.back().Prefix = one.Prefix + "next/";
      break;
    case 6:
      next.push_back(makeQueue(freshName()));
      next.back().Prefix = "/";
      break;
    default:
      one.Public = !one.Public;
    }
    if (isUsable(next)) {
      Queues = std::move(next);
      configure();
    }
  }

  static bool isUsable(const std::vector<core::QueueConfig> &queues) {
    std::set<std::string> names;
    std::set<std::string> prefixes;
    for (const core::QueueConfig &queue : queues) {
      names.insert(queue.Name);
      prefixes.insert(queue.Prefix);
    }
    return !queues.empty() && queues.size() <= MaxQueues &&
           names.size() == queues.size() && prefixes.size() == queues.size();
  }

  void configure() {
    Cluster.configureSite({{"org1", {Keys[0]}, 16}, {"org2", {Keys[1]}, 16}},
                          Queues);
    Configs.push_back({Cluster.loop().now(), Queues});
  }

  void loseEntry() {
    const int leader = Cluster.leader();
    const bool losesLeader = leader >= 0 && isOneIn(2);
    const int entry = losesLeader ? leader : randomInt(0, Entries - 1);
    Cluster.killEntry(entry);
    Cluster.loop().runAfter(absl::Milliseconds(randomInt(100, 3000)),
                            [this, entry] { startEntry(entry); });
  }

  void startEntry(int entry) {
    if (Cluster.isEntryUp(entry))
      return;
    Cluster.startEntry(entry);
    StartedAt[entry] = Cluster.loop().now();
  }

  std::string newJob() {
    const std::string id = "j" + std::to_string(Jobs.size() + 1);
    KnownJob &job = Jobs[id];
    job.Key = Keys[randomIndex(Keys.size())];
    job.NeverStarts = isOneIn(3);
    return id;
  }

  std::string knownJob() {
    return "j" + std::to_string(randomInt(1, static_cast<int>(Jobs.size())));
  }

  /// Where a call is sent: the path of a queue there is.
  std::string somePath() {
    const std::string &prefix = Queues[randomIndex(Queues.size())].Prefix;
    return prefix == "/" ? freshPath() : prefix.substr(1, prefix.size() - 2);
  }

  void sendCall() {
    const int entry = randomInt(0, Entries - 1);
    const std::string path = somePath();
    if (Jobs.empty() || isOneIn(4))
      submit(entry, newJob(), path);
    else if (isOneIn(5))
      submit(entry, knownJob(), path);
    else if (isOneIn(8))
      cancel(entry, isOneIn(4) ? newJob() : knownJob(), path);
    else if (isOneIn(4))
      count(entry, path);
    else
      query(entry, knownJob(), path);
  }

  core::JobSpec specOf(const std::string &id, const std::string &path) {
    core::JobSpec spec =
        makeJob(id, 1, 1, 300 * (1 + std::hash<std::string>()(id) % 20));
    spec.Queue = path;
    if (Jobs[id].NeverStarts)
      spec.Steps.front().NeedsLabel = "missing";
    return spec;
  }

  void submit(int entry, const std::string &id, const std::string &path) {
    KnownJob &job = Jobs[id];
    job.IsSubmitted = true;
    add(SentCall::Kind::Submit, entry, path,
        Cluster.submit(entry, job.Key, specOf(id, path)));
  }

  void cancel(int entry, const std::string &id, const std::string &path) {
    KnownJob &job = Jobs[id];
    job.FirstCancelSentAt =
        std::min(job.FirstCancelSentAt, Cluster.loop().now());
    Cluster.sendCallsTo(path, id);
    add(SentCall::Kind::Cancel, entry, path,
        Cluster.cancel(entry, job.Key, id));
  }

  void query(int entry, const std::string &id, const std::string &path) {
    Cluster.sendCallsTo(path, id);
    add(SentCall::Kind::State, entry, path,
        Cluster.state(entry, Jobs[id].Key, id));
  }

  void count(int entry, const std::string &path) {
    add(SentCall::Kind::Count, entry, path,
        Cluster.countQueued(entry, Keys.front(), path));
  }

  void add(SentCall::Kind what, int entry, const std::string &path,
           std::shared_ptr<MemoryCluster::CallerCall> call) {
    Calls.push_back({what, entry, path, Cluster.loop().now(), std::move(call)});
  }

  void checkAnswers() {
    const auto first =
        std::partition(Calls.begin(), Calls.end(),
                       [](const SentCall &sent) { return !sent.Call->Answer; });
    for (auto it = first; it != Calls.end(); ++it)
      checkAnswer(*it);
    Calls.erase(first, Calls.end());
  }

  void checkAnswer(const SentCall &sent) {
    switch (sent.What) {
    case SentCall::Kind::Submit:
      return checkSubmission(sent);
    case SentCall::Kind::State:
      return checkState(sent);
    case SentCall::Kind::Cancel:
      return checkCancellation(sent);
    case SentCall::Kind::Count:
      return checkCount(sent);
    }
  }

  void report(const SentCall &sent, const std::string &what) {
    Found.push_back(absl::FormatTime("%M:%E3S ", Cluster.loop().now(),
                                     absl::UTCTimeZone()) +
                    sent.Call->Job + " at /" + sent.Queue + "/: " + what +
                    ": " + jobs::callResultName(sent.Call->Answer->Result) +
                    " " + sent.Call->Answer->Detail);
  }

  void checkSubmission(const SentCall &sent) {
    KnownJob &job = Jobs[sent.Call->Job];
    const CallResult result = sent.Call->Answer->Result;
    if (result == CallResult::Ok) {
      if (job.IsBarred)
        report(sent, "accepted after its id was barred");
      if (!job.isAccepted()) {
        job.AcceptedAt = Cluster.loop().now();
        job.Queue = sent.Queue;
        job.IsInQueueOfPrefix = isUnchanged(sent.Queue, sent.SentAt);
      }
      return;
    }
    const bool isSameAddress = job.Queue == sent.Queue;
    if (result == CallResult::IdTaken && job.isAccepted() && isSameAddress)
      report(sent, "refused what was accepted before");
    // An entry that has just started knows neither jobs nor queues.
    if (StartedAt[sent.Entry] + AppliedWithin > sent.SentAt)
      return;
    if ((result == CallResult::NotDone || result == CallResult::NoRoom) &&
        job.AcceptedAt + VisibleWithin < sent.SentAt)
      report(sent, "said never to run, though it was accepted before");
  }

  void checkState(const SentCall &sent) {
    KnownJob &job = Jobs[sent.Call->Job];
    const jobs::CallAnswer &answer = *sent.Call->Answer;
    if (answer.Result == CallResult::UnknownJob &&
        job.AcceptedAt + VisibleWithin < sent.SentAt)
      report(sent, "an accepted job is said not to exist");
    if (answer.Result != CallResult::Ok)
      return;
    if (!job.IsSubmitted)
      report(sent, "shows a job that nobody has submitted");
    const bool isFinal = jobs::isFinal(answer.State);
    if (job.HasEnded && !isFinal)
      report(sent, "shows a job that has ended as not ended");
    job.HasEnded = job.HasEnded || isFinal;
    if (job.NeverStarts && answer.State == JobState::Completed)
      report(sent, "shows a job as completed that could not start");
    if (answer.State == JobState::Cancelled &&
        job.FirstCancelSentAt == absl::InfiniteFuture())
      report(sent, "shows a job as cancelled that nobody has cancelled");
  }

  void checkCancellation(const SentCall &sent) {
    KnownJob &job = Jobs[sent.Call->Job];
    const CallResult result = sent.Call->Answer->Result;
    if (result != CallResult::Ok && result != CallResult::UnknownJob)
      return;
    job.CancelledAt = std::min(job.CancelledAt, Cluster.loop().now());
    if (result == CallResult::Ok)
      return;
    if (job.AcceptedAt + VisibleWithin < sent.SentAt)
      report(sent, "an accepted job is said not to exist");
    job.IsBarred = true;
  }

  /// Checks a queue that has had the same prefix for a while against the jobs
  /// that wait and were accepted at that prefix.
  void checkCount(const SentCall &sent) {
    if (sent.Call->Answer->Result != CallResult::Ok ||
        !isUnchanged(sent.Queue, sent.SentAt - VisibleWithin))
      return;
    const int waiting = static_cast<int>(
        std::count_if(Jobs.begin(), Jobs.end(), [&](const auto &entry) {
          const KnownJob &job = entry.second;
          return job.NeverStarts && job.Queue == sent.Queue &&
                 job.IsInQueueOfPrefix &&
                 job.AcceptedAt + VisibleWithin < sent.SentAt &&
                 job.FirstCancelSentAt == absl::InfiniteFuture();
        }));
    if (sent.Call->Answer->Waiting < waiting)
      report(sent, "counts " + std::to_string(sent.Call->Answer->Waiting) +
                       " jobs where " + std::to_string(waiting) + " wait");
  }

  /// There has been a queue with this path as its prefix in all configurations
  /// in force since then.
  bool isUnchanged(const std::string &path, absl::Time since) const {
    const std::string prefix = "/" + path + "/";
    for (auto it = Configs.rbegin(); it != Configs.rend(); ++it) {
      const auto &queues = it->second;
      if (std::none_of(queues.begin(), queues.end(), [&](const auto &queue) {
            return queue.Prefix == prefix;
          }))
        return false;
      if (it->first + AppliedWithin < since)
        return true;
    }
    return false;
  }

  void checkStart(const std::string &id) {
    const KnownJob &job = Jobs[id];
    if (job.NeverStarts)
      Found.push_back(id + " is started without the label");
    if (job.CancelledAt + CancelledWithin < Cluster.loop().now())
      Found.push_back(id + " is started after it was cancelled");
  }

  // Once the operator has a queue for each path, all jobs can be asked for and
  // all that can start end.
  void finish() {
    for (int n = 0; n < Entries; ++n)
      startEntry(n);
    Queues = {makeQueue("all")};
    Queues.front().Prefix = "/";
    configure();
    Cluster.runFor(absl::Seconds(30));
    checkAnswers();
    // What is left was sent to entries that were lost.
    Calls.clear();
    for (const auto &[id, job] : Jobs)
      if (job.isAccepted())
        query(randomInt(0, Entries - 1), id, job.Queue);
    Cluster.runFor(absl::Seconds(5));
    for (const SentCall &sent : Calls)
      checkEnd(sent);
    checkAnswers();
    for (const std::string &violation : Cluster.violations())
      Found.push_back(violation);
  }

  void checkEnd(const SentCall &sent) {
    if (!sent.Call->Answer) {
      Found.push_back(sent.Call->Job + " cannot be asked for");
      return;
    }
    const KnownJob &job = Jobs[sent.Call->Job];
    const jobs::CallAnswer &answer = *sent.Call->Answer;
    const bool isCancelled = job.CancelledAt != absl::InfiniteFuture();
    const bool isWaiting = job.NeverStarts && !isCancelled;
    if (answer.Result != CallResult::Ok)
      report(sent, "an accepted job cannot be asked for");
    else if (!isWaiting && !jobs::isFinal(answer.State))
      report(sent, "a job that could run has not ended");
  }

  std::mt19937_64 Random;
  MemoryCluster Cluster;
  std::vector<core::QueueConfig> Queues;
  std::vector<core::QueueConfig> Removed;
  std::vector<std::pair<absl::Time, std::vector<core::QueueConfig>>> Configs;
  std::map<std::string, KnownJob> Jobs;
  std::map<int, absl::Time> StartedAt;
  std::vector<SentCall> Calls;
  std::vector<std::string> Found;
};

// Guards against jobs that are lost, run after their cancellation or are
// counted nowhere, because a change of the queues makes entries take them for
// others.
TEST(RandomQueueChanges, LeaveJobsAsTheyAre) {
  const auto [first, last] = seedsToRun();
  int accepted = 0;
  for (int seed = first; seed <= last; ++seed) {
    QueueChangesScenario scenario(static_cast<uint64_t>(seed));
    EXPECT_THAT(scenario.run(), testing::IsEmpty()) << "seed " << seed;
    accepted += scenario.acceptedCount();
  }
  EXPECT_GT(accepted, last - first);
}

} // namespace
} // namespace oriolebay::cluster
