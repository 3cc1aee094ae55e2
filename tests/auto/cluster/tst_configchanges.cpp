// Tests of what callers and workers see of the configuration while it changes
// about once a second and the entries are disturbed in several ways at once.
#include "disturbedentries.h"
#include "memorycluster.h"
#include "seeds.h"
#include "settings/nodesettings.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <vector>

namespace oriolebay::cluster {
namespace {

using jobs::CallAnswer;
using jobs::CallResult;

/// Time after which a change of the configuration has to be in force at each
/// entry that serves calls.
const absl::Duration ApplyTime =
    absl::Milliseconds(settings::SiteBounds().ConfigApplyMs);
/// Time after the start of a job's task from which its effect counts as seen.
constexpr absl::Duration SeenAfterStart = absl::Milliseconds(250);
constexpr const char *LastingKey = "lasting";
constexpr const char *LastingQueue = "lasting";
/// The queue whose service is another one in each configuration.
constexpr const char *MovingQueue = "moving";
/// Configurations in a row that contain a key or queue.
constexpr int64_t Lifespan = 2;

std::string keyOf(int64_t number) { return "key" + std::to_string(number); }
std::string queueOf(int64_t number) { return "queue" + std::to_string(number); }
std::string serviceOf(int64_t number) {
  return "service" + std::to_string(number);
}

/// Configurations are numbered from 1. The one with this number contains the
/// keys and queues that were added by it and by the one before it.
class ConfigSeries {
public:
  explicit ConfigSeries(MemoryCluster &cluster) : Cluster(cluster) {}

  void writeNext() {
    WrittenAt.push_back(Cluster.loop().now());
    std::vector<core::OrganisationConfig> organisations{
        {"lasting", {LastingKey}, 16}};
    std::vector<core::QueueConfig> queues{makeQueue(LastingQueue),
                                          makeQueue(MovingQueue)};
    queues.back().Service = serviceOf(newest());
    for (int64_t n = std::max<int64_t>(1, newest() - Lifespan + 1);
         n <= newest(); ++n) {
      organisations.push_back({"org" + std::to_string(n), {keyOf(n)}, 16});
      queues.push_back(makeQueue(queueOf(n)));
    }
    Cluster.configureSite(std::move(organisations), std::move(queues));
  }

  int64_t newest() const { return static_cast<int64_t>(WrittenAt.size()); }
  /// The newest configuration that was written at this time or before.
  int64_t newestAt(absl::Time time) const {
    return std::upper_bound(WrittenAt.begin(), WrittenAt.end(), time) -
           WrittenAt.begin();
  }

private:
  MemoryCluster &Cluster;
  std::vector<absl::Time> WrittenAt;
};

/// Which configurations allow an answer: those from First to Last, or all
/// others.
struct AllowedConfigs {
  int64_t First = 0;
  int64_t Last = 0;
  bool Others = false;

  /// The oldest of them that is not older than this one.
  int64_t oldestFrom(int64_t number) const {
    if (!Others)
      return number <= Last ? std::max(number, First) : Never;
    return number < First || number > Last ? number : Last + 1;
  }

  static constexpr int64_t Never = INT64_MAX;
};

/// What a call uses that only some configurations contain. With Job, a job of
/// such a queue is submitted.
enum class Uses { Key, Queue, Service, Job };

/// An entry during one incarnation.
using EntryIncarnation = std::pair<int, int>;

/// Configurations whose effects workers have seen, as starts of jobs. A start
/// shows the configuration that decided the job's record, for the entry that
/// led and for those that have confirmed the job. If none has, it counts for
/// the entries that the job was sent to, and shows the first configuration that
/// contains the job's queue.
class StartEffects {
public:
  explicit StartEffects(MemoryCluster &cluster) : Cluster(cluster) {
    Cluster.observeStarts([this](const std::string &task, int64_t epoch) {
      core::TaskId id;
      if (core::parseTaskName(task, id))
        Starts.push_back(
            {id.Job, epoch, Cluster.loop().now(), recordedVersion(id.Job)});
    });
  }

  void addCall(const std::string &job, int64_t number,
               const EntryIncarnation &entry) {
    Jobs[job].Number = number;
    Jobs[job].SentTo.insert(entry);
  }
  void addConfirmation(const std::string &job, const EntryIncarnation &entry) {
    Jobs[job].ConfirmedBy.insert(entry);
  }
  /// Must be called often enough to see each leader before its first start.
  void observeLeader(const std::function<int(int)> &incarnationOf) {
    const int leader = Cluster.leader();
    if (leader >= 0)
      Leaders[Cluster.leaderEpoch()] = {leader, incarnationOf(leader)};
  }
  /// The newest configuration that callers of the entry may rely on now.
  int64_t newestAt(const EntryIncarnation &entry) const {
    int64_t newest = 0;
    for (const Start &start : Starts)
      if (start.At + SeenAfterStart <= Cluster.loop().now())
        newest = std::max(newest, shownBy(start, entry));
    return newest;
  }
  size_t count() const { return Starts.size(); }

private:
  struct Job {
    int64_t Number = 0;
    std::set<EntryIncarnation> SentTo;
    std::set<EntryIncarnation> ConfirmedBy;
  };
  struct Start {
    std::string Job;
    int64_t Epoch;
    absl::Time At;
    int64_t RecordedVersion;
  };

  int64_t recordedVersion(const std::string &job) const {
    const auto record = Cluster.storedRecord(job);
    return record ? record->DecidedBy.Version : 0;
  }

  /// The configuration that the start shows for the entry; zero if none.
  int64_t shownBy(const Start &start, const EntryIncarnation &entry) const {
    auto leader = Leaders.find(start.Epoch);
    if (leader != Leaders.end() && leader->second == entry)
      return start.RecordedVersion;
    auto it = Jobs.find(start.Job);
    if (it == Jobs.end())
      return 0;
    const Job &job = it->second;
    if (job.ConfirmedBy.empty())
      return job.SentTo.count(entry) > 0 ? job.Number : 0;
    return job.ConfirmedBy.count(entry) > 0 ? start.RecordedVersion : 0;
  }

  MemoryCluster &Cluster;
  std::map<std::string, Job> Jobs;
  std::map<int64_t, EntryIncarnation> Leaders;
  std::vector<Start> Starts;
};

struct SentCall {
  int Entry;
  int Incarnation;
  Uses What;
  int64_t Number;
  /// Configurations older than this one must not decide it.
  int64_t OldestAllowed;
  std::shared_ptr<MemoryCluster::CallerCall> Call;
};

/// What happens besides calls and disturbances: jobs run, so that workers see
/// effects of configurations, and leaders learn of changes only by confirming
/// their configuration.
enum class Extras { None, Jobs, JobsAndSilentWatchesOfLeaders };

struct SiteCase {
  const char *Name;
  int Entries;
  int FirstSmallEntry;
  Extras Extra;

  bool runsJobs() const { return Extra != Extras::None; }
};

/// The configuration changes about once a second, the entries are disturbed,
/// and callers use keys, queues and services that come and go.
class ConfigChanges {
public:
  ConfigChanges(const SiteCase &site, uint64_t seed)
      : Site(site), Random(seed),
        Cluster(optionsOf(site.Entries, site.FirstSmallEntry, seed)),
        Configs(Cluster), Entries(Cluster, site.Entries, Random),
        Effects(Cluster) {}

  /// Returns a description of the first call that was decided by a
  /// configuration older than callers may expect, or an empty string.
  std::string run() {
    for (int n = 0; n < 3; ++n)
      Configs.writeNext();
    Cluster.runFor(absl::Seconds(4));
    for (int tick = 0; tick < Ticks && Violation.empty(); ++tick) {
      if (randomInt(1, 50) == 1)
        Configs.writeNext();
      if (randomInt(1, 15) == 1)
        Entries.disturb();
      if (leadersHearNothing() && randomInt(1, 40) == 1 &&
          Cluster.leader() >= 0)
        Entries.silenceWatches(Cluster.leader());
      sendCall();
      Cluster.runFor(absl::Milliseconds(20));
      Effects.observeLeader(
          [this](int entry) { return Entries.incarnation(entry); });
      checkAnswers();
    }
    return Violation;
  }

  int decidedCount() const { return DecidedCount; }
  size_t startCount() const { return Effects.count(); }

private:
  static constexpr int Ticks = 1000;

  static MemoryCluster::Options optionsOf(int entries, int firstSmallEntry,
                                          uint64_t seed) {
    MemoryCluster::Options options{entries, 3, 3, seed};
    options.FirstSmallEntry = firstSmallEntry;
    return options;
  }

  int randomInt(int from, int to) {
    return std::uniform_int_distribution<>(from, to)(Random);
  }

  void sendCall() {
    int entry = Entries.pick();
    const Uses lastUse = Site.runsJobs() ? Uses::Job : Uses::Service;
    const auto uses =
        static_cast<Uses>(randomInt(0, static_cast<int>(lastUse)));
    while (leadersHearNothing() && uses == Uses::Job &&
           entry == Cluster.leader())
      entry = Entries.pick();
    const int incarnation = Entries.incarnation(entry);
    // A caller that got no answer sends its job again, at any entry.
    const bool repeats =
        uses == Uses::Job && SubmittedJobs > 0 && randomInt(0, 3) == 0;
    const int64_t number =
        repeats ? QueueNumber
                : std::max<int64_t>(1, Configs.newest() - randomAge(uses));
    if (uses == Uses::Job && !repeats) {
      ++SubmittedJobs;
      QueueNumber = number;
    }
    const int64_t oldestAllowed =
        std::max({NewestShown[{entry, incarnation}],
                  Effects.newestAt({entry, incarnation}),
                  Configs.newestAt(Cluster.loop().now() - ApplyTime)});
    Calls.push_back({entry, incarnation, uses, number, oldestAllowed,
                     makeCall(entry, uses, number)});
  }

  // Leaders learn of a change by confirming their configuration, or by jobs of
  // other entries. So no call may make a leader ask the store, as a call does
  // that uses an item which the entry does not know.
  bool leadersHearNothing() const {
    return Site.Extra == Extras::JobsAndSilentWatchesOfLeaders;
  }

  // How many configurations ago the item was added that a call uses.
  int randomAge(Uses uses) {
    if (!leadersHearNothing())
      return randomInt(0, 3);
    return uses == Uses::Job ? 0 : randomInt(1, 2);
  }

  std::shared_ptr<MemoryCluster::CallerCall> makeCall(int entry, Uses uses,
                                                      int64_t number) {
    switch (uses) {
    case Uses::Key:
      return Cluster.countQueued(entry, keyOf(number), LastingQueue);
    case Uses::Queue:
      return Cluster.countQueued(entry, LastingKey, queueOf(number));
    case Uses::Job:
      return submitLastJob(entry);
    case Uses::Service:
      break;
    }
    core::JobSpec job = makeJob("j" + std::to_string(++Jobs), 1, 1, 100);
    job.Queue = MovingQueue;
    return Cluster.submit(entry, LastingKey, std::move(job));
  }

  std::shared_ptr<MemoryCluster::CallerCall> submitLastJob(int entry) {
    const std::string id = "s" + std::to_string(SubmittedJobs);
    core::JobSpec job = makeJob(id, 1, 1, 100);
    job.Queue = queueOf(QueueNumber);
    Effects.addCall(id, QueueNumber, {entry, Entries.incarnation(entry)});
    return Cluster.submit(entry, LastingKey, std::move(job));
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
    const std::optional<AllowedConfigs> allowed = configsThatAllow(sent);
    if (!allowed)
      return;
    ++DecidedCount;
    const int64_t decidedBy = allowed->oldestFrom(sent.OldestAllowed);
    if (decidedBy > Configs.newest()) {
      Violation =
          MemoryCluster::entryName(sent.Entry) + " answered " +
          jobs::callResultName(sent.Call->Answer->Result) +
          " to a call with item " + std::to_string(sent.Number) + " (kind " +
          std::to_string(static_cast<int>(sent.What)) +
          "), though configuration " + std::to_string(sent.OldestAllowed) +
          " or a newer one had to decide it: " + sent.Call->Answer->Detail;
      return;
    }
    int64_t &shown = NewestShown[{sent.Entry, sent.Incarnation}];
    shown = std::max(shown, decidedBy);
    checkStamp(sent, shown);
    if (isSubmission(sent.What) && sent.Call->Answer->Result == CallResult::Ok)
      Effects.addConfirmation(sent.Call->Job, {sent.Entry, sent.Incarnation});
  }

  static bool isSubmission(Uses uses) {
    return uses == Uses::Job || uses == Uses::Service;
  }

  /// Checks the configuration that the entry says has decided its answer, and
  /// adds it to what the entry has shown.
  void checkStamp(const SentCall &sent, int64_t &shown) {
    const int64_t stamped = sent.Call->Answer->DecidedBy.Version;
    if (stamped < sent.OldestAllowed)
      Violation =
          MemoryCluster::entryName(sent.Entry) + " answered " +
          jobs::callResultName(sent.Call->Answer->Result) + " by " +
          std::to_string(stamped) + ", though " +
          std::to_string(sent.OldestAllowed) +
          " or a newer one had to decide it: " + sent.Call->Answer->Detail;
    shown = std::max(shown, stamped);
  }

  // Nothing if the answer tells nothing about the configuration.
  std::optional<AllowedConfigs> configsThatAllow(const SentCall &sent) const {
    const CallResult result = sent.Call->Answer->Result;
    AllowedConfigs allowed{sent.Number, sent.Number + Lifespan - 1};
    if (sent.What == Uses::Service) {
      if (result != CallResult::Ok)
        return std::nullopt;
      allowed.First = allowed.Last = recordedNumber(sent.Call->Job);
      return allowed;
    }
    if (result == CallResult::Ok)
      return allowed;
    allowed.Others = true;
    if (result == CallResult::BadKey || result == CallResult::UnknownQueue)
      return allowed;
    return std::nullopt;
  }

  /// The number of the configuration whose service the job was stored with.
  int64_t recordedNumber(const std::string &job) const {
    const auto record = Cluster.storedRecord(job);
    for (int64_t n = 1; record && n <= Configs.newest(); ++n)
      if (record->Service == serviceOf(n))
        return n;
    return 0;
  }

  const SiteCase Site;
  std::mt19937_64 Random;
  MemoryCluster Cluster;
  ConfigSeries Configs;
  DisturbedEntries Entries;
  StartEffects Effects;
  int Jobs = 0;
  /// Number of jobs submitted with Uses::Job, and the number of the last one's
  /// queue.
  int SubmittedJobs = 0;
  int64_t QueueNumber = 0;
  int DecidedCount = 0;
  /// The newest configuration that callers know to have decided a call, by
  /// entry and its incarnation.
  std::map<EntryIncarnation, int64_t> NewestShown;
  std::vector<SentCall> Calls;
  std::string Violation;
};

void PrintTo(const SiteCase &c, std::ostream *out) { *out << c.Name; }

class ConfigUnderDisturbance : public testing::TestWithParam<SiteCase> {};

// Guards against an entry that returns to an older configuration than callers
// or workers have seen an effect of, serves by one that was replaced too long
// ago, or does not serve an added key or queue, while several entries are
// disturbed at once.
TEST_P(ConfigUnderDisturbance, NoCallIsDecidedByATooOldConfig) {
  const auto [first, last] = seedsToRun(GetParam().runsJobs() ? 70 : 20);
  int decidedCount = 0;
  size_t startCount = 0;
  for (int seed = first; seed <= last; ++seed) {
    ConfigChanges scenario(GetParam(), static_cast<uint64_t>(seed));
    EXPECT_EQ(scenario.run(), "") << "seed " << seed;
    decidedCount += scenario.decidedCount();
    startCount += scenario.startCount();
  }
  EXPECT_GT(decidedCount, 0);
  EXPECT_EQ(startCount > 0, GetParam().runsJobs());
}

INSTANTIATE_TEST_SUITE_P(
    Table, ConfigUnderDisturbance,
    testing::Values(SiteCase{"ThreeEntries", 3, 3, Extras::None},
                    SiteCase{"ThirteenEntries", 13, 8, Extras::None},
                    SiteCase{"ThreeEntriesAndJobs", 3, 3, Extras::Jobs},
                    SiteCase{"ThirteenEntriesAndJobs", 13, 8, Extras::Jobs},
                    SiteCase{"ThreeEntriesWhoseLeadersHearNothing", 3, 3,
                             Extras::JobsAndSilentWatchesOfLeaders},
                    SiteCase{"ThirteenEntriesWhoseLeadersHearNothing", 13, 8,
                             Extras::JobsAndSilentWatchesOfLeaders}),
    [](const auto &info) { return info.param.Name; });

} // namespace
} // namespace oriolebay::cluster
