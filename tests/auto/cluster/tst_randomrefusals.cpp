// Random days on which answers of the store are lost, keys and queues come and
// go, and entries are disturbed: no job runs whose tries were all refused.
#include "disturbedentries.h"
#include "jobs/callwrites.h"
#include "memorycluster.h"
#include "seeds.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace oriolebay::cluster {
namespace {

using jobs::CallResult;

struct SiteCase {
  const char *Name;
  int Entries;
  /// Some queues are public, keys move between organisations, and some callers
  /// wait for less than a second.
  bool IsVaried = false;
};

void PrintTo(const SiteCase &c, std::ostream *out) { *out << c.Name; }

/// An entry during one incarnation.
using EntryIncarnation = std::pair<int, int>;

/// A job and all tries of its caller to submit it.
struct SubmittedJob {
  std::string Id;
  std::string Key;
  std::string Queue;
  std::vector<std::shared_ptr<MemoryCluster::CallerCall>> Tries;
  std::set<EntryIncarnation> Entries;
  /// The answer to the last try was looked at.
  bool IsLastTryChecked = false;
};

/// A day on which callers submit jobs and try again as long as they are not
/// accepted.
class RefusalDay {
public:
  RefusalDay(const SiteCase &site, uint64_t seed)
      : IsVaried(site.IsVaried), Random(seed),
        Cluster({site.Entries, 3, 3, seed}),
        Entries(Cluster, site.Entries, Random) {}

  /// Returns a description of the first untrue refusal; empty if there is none.
  std::string run() {
    writeConfig();
    Cluster.runFor(absl::Seconds(4));
    for (int tick = 0; tick < Ticks && Violation.empty(); ++tick) {
      if (randomInt(1, 25) == 1)
        writeConfig();
      if (randomInt(1, 20) == 1)
        Entries.loseAnswers(Entries.pick());
      if (randomInt(1, 20) == 1)
        Entries.disturb();
      if (randomInt(1, 4) == 1)
        submitNewJob();
      Cluster.runFor(absl::Milliseconds(20));
      checkAnswers();
    }
    Cluster.runFor(LateWriteLimit);
    checkRefusedJobs();
    return Violation;
  }

  int refusedCount() const { return RefusedCount; }
  /// Number of answers in which a refusal was withheld.
  size_t withheldCount() const {
    const auto &calls = Cluster.callDecisions();
    return static_cast<size_t>(
        std::count_if(calls.begin(), calls.end(), [](const auto &call) {
          return call.WithheldRefusal.has_value();
        }));
  }

private:
  static constexpr int Ticks = 1000;
  static constexpr int KeyCount = 4;
  static constexpr size_t MaxTries = 4;
  /// Time after which a write that got no answer is not carried out any more,
  /// and each call has its answer.
  static constexpr absl::Duration LateWriteLimit = absl::Seconds(10);

  int randomInt(int from, int to) {
    return std::uniform_int_distribution<>(from, to)(Random);
  }
  static std::string keyOf(int n) { return "key" + std::to_string(n); }
  static std::string queueOf(int n) { return "queue" + std::to_string(n); }

  // Each key and queue is there half of the time.
  void writeConfig() {
    std::vector<core::OrganisationConfig> organisations;
    std::vector<core::QueueConfig> queues;
    for (int n = 0; n < KeyCount; ++n) {
      if (randomInt(0, 1) == 0)
        organisations.push_back({"org" + std::to_string(n), {keyOf(n)}, 16});
      if (randomInt(0, 1) == 0)
        queues.push_back(makeQueue(queueOf(n)));
    }
    if (IsVaried)
      vary(organisations, queues);
    Cluster.configureSite(std::move(organisations), std::move(queues));
  }

  // A third of the queues is public. Each organisation has one key more, which
  // may be another one's.
  void vary(std::vector<core::OrganisationConfig> &organisations,
            std::vector<core::QueueConfig> &queues) {
    for (core::QueueConfig &queue : queues)
      queue.Public = randomInt(0, 2) == 0;
    for (core::OrganisationConfig &organisation : organisations)
      organisation.Keys.push_back(keyOf(randomInt(0, KeyCount - 1)));
  }

  void submitNewJob() {
    SubmittedJob job;
    job.Id = "j" + std::to_string(Jobs.size());
    job.Key = keyOf(randomInt(0, KeyCount - 1));
    job.Queue = queueOf(randomInt(0, KeyCount - 1));
    Jobs.push_back(std::move(job));
    submitAgain(Jobs.back());
  }

  void submitAgain(SubmittedJob &job) {
    const int entry = Entries.pick();
    if (IsVaried)
      Cluster.setCallerPatience(absl::Milliseconds(randomInt(400, 3000)));
    core::JobSpec spec = makeJob(job.Id, 1, 1, 100);
    spec.Queue = job.Queue;
    job.Entries.insert({entry, Entries.incarnation(entry)});
    job.Tries.push_back(Cluster.submit(entry, job.Key, std::move(spec)));
    job.IsLastTryChecked = false;
  }

  bool isStored(const SubmittedJob &job) const {
    return Cluster.storedState(job.Id).has_value();
  }

  // Half of the callers that were not served try again.
  void checkAnswers() {
    for (SubmittedJob &job : Jobs) {
      if (job.IsLastTryChecked || !job.Tries.back()->Answer)
        continue;
      job.IsLastTryChecked = true;
      const CallResult result = job.Tries.back()->Answer->Result;
      // One entry has all that was tried.
      if (result == CallResult::NotDone && job.Entries.size() == 1 &&
          isStored(job))
        report(job, "is stored, and the entry that stored it says not done");
      if (result != CallResult::Ok && job.Tries.size() < MaxTries &&
          randomInt(0, 1) == 0)
        submitAgain(job);
    }
  }

  void checkRefusedJobs() {
    for (const SubmittedJob &job : Jobs) {
      const bool areAllRefused =
          std::all_of(job.Tries.begin(), job.Tries.end(), [](const auto &call) {
            return call->Answer && jobs::isRefusal(call->Answer->Result);
          });
      if (!areAllRefused)
        continue;
      ++RefusedCount;
      if (isStored(job))
        report(job, "is stored, and all its tries were refused");
    }
  }

  void report(const SubmittedJob &job, const std::string &what) {
    Violation = job.Id + " " + what + ":";
    for (const auto &call : job.Tries)
      Violation += std::string(" ") +
                   jobs::callResultName(call->Answer->Result) + " (" +
                   call->Answer->Detail + ")";
  }

  const bool IsVaried;
  std::mt19937_64 Random;
  MemoryCluster Cluster;
  DisturbedEntries Entries;
  std::vector<SubmittedJob> Jobs;
  int RefusedCount = 0;
  std::string Violation;
};

class RefusalsUnderDisturbance : public testing::TestWithParam<SiteCase> {};

// Guards against jobs that run although all tries of their callers were
// refused, and against "not done" by the entry that stored the job.
TEST_P(RefusalsUnderDisturbance, AreTrue) {
  const auto [first, last] = seedsToRun(40);
  int refusedCount = 0;
  size_t withheldCount = 0;
  for (int seed = first; seed <= last; ++seed) {
    RefusalDay day(GetParam(), static_cast<uint64_t>(seed));
    EXPECT_EQ(day.run(), "") << "seed " << seed;
    refusedCount += day.refusedCount();
    withheldCount += day.withheldCount();
  }
  EXPECT_GT(refusedCount, 0);
  EXPECT_GT(withheldCount, 0);
}

INSTANTIATE_TEST_SUITE_P(
    Table, RefusalsUnderDisturbance,
    testing::Values(SiteCase{"OneEntry", 1}, SiteCase{"ThreeEntries", 3},
                    SiteCase{"ThirteenEntries", 13},
                    SiteCase{"VariedOneEntry", 1, true},
                    SiteCase{"VariedThreeEntries", 3, true}),
    [](const auto &info) { return info.param.Name; });

} // namespace
} // namespace oriolebay::cluster
