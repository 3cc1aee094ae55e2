#include "memorycluster.h"
#include "seeds.h"

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
/// As long as a caller waits.
constexpr int LongestAnswerMs = 3000;

/// A key is in the configurations of its number and of the next one.
std::string keyOf(int64_t number) { return "key" + std::to_string(number); }

bool decided(const jobs::CallAnswer &answer) {
  return answer.Result != CallResult::NotDone &&
         answer.Result != CallResult::Open;
}

/// A cluster whose entries lose the store, its news and each other in all ways,
/// and are killed and started again.
class StruckCluster {
public:
  explicit StruckCluster(uint64_t seed)
      : Random(seed), Cluster({Entries, 3, 3, seed}) {}

  MemoryCluster &cluster() { return Cluster; }
  /// Grows with each kill of entry.
  int life(int entry) const { return Lives.at(entry); }
  int any(int from, int to) {
    return std::uniform_int_distribution<>(from, to)(Random);
  }

  void strike(int n) {
    const std::string entry = MemoryCluster::entryName(n);
    const std::string other =
        MemoryCluster::entryName((n + any(1, Entries - 1)) % Entries);
    MemoryStore::Faults &store = Cluster.store().faults(entry);
    switch (any(0, 5)) {
    case 0:
      store.Silent = true;
      return later([&store] { store.Silent = false; });
    case 1:
      store.Refuses = true;
      return later([&store] { store.Refuses = false; });
    case 2:
      store.WatchesSilent = true;
      return later([&store] { store.WatchesSilent = false; });
    case 3:
      store.Delay = absl::Milliseconds(any(4, 400));
      return later([&store] { store.Delay = absl::Milliseconds(4); });
    case 4:
      Cluster.cut(other, true);
      return later([this, other] { Cluster.cut(other, false); });
    default:
      Cluster.killEntry(n);
      ++Lives[n];
      return later([this, n] {
        if (!Cluster.entryUp(n))
          Cluster.startEntry(n);
      });
    }
  }

private:
  void later(std::function<void()> heal) {
    Cluster.loop().runAfter(absl::Milliseconds(any(50, 4000)), std::move(heal));
  }

  std::mt19937_64 Random;
  MemoryCluster Cluster;
  std::array<int, Entries> Lives{};
};

/// What callers of one entry can tell of the configurations that it has gone
/// by, in one lifetime of the entry.
class SeenByCallers {
public:
  int64_t oldest() const { return Oldest; }

  /// Takes an answer to a call with the key of number. A call that was sent
  /// when oldest() was sentAt must not be answered by an older one; newest is
  /// the newest configuration that exists. What is wrong with it, or nothing.
  std::string take(const jobs::CallAnswer &answer, int64_t number,
                   int64_t sentAt, int64_t newest) {
    if (!decided(answer))
      return "";
    if (answer.Result != CallResult::BadKey) {
      if (sentAt > number + 1)
        return "served a key that is gone";
      Oldest = std::max(Oldest, number);
      return "";
    }
    if (sentAt < number)
      return "";
    if (newest <= number + 1)
      return "refused a key that it had known";
    Oldest = std::max(Oldest, number + 2);
    return "";
  }

private:
  int64_t Oldest = 0;
};

/// One day: the configuration changes all the time, the store and the other
/// entries come and go for each entry, and callers ask with keys that are
/// about to come or have just gone.
class ConfigDay {
public:
  explicit ConfigDay(uint64_t seed) : Struck(seed) {}

  /// The first thing that callers saw go back, or nothing.
  std::string play() {
    for (int n = 0; n < 3; ++n)
      change();
    Cluster.runFor(absl::Seconds(4));
    for (int tick = 0; tick < 1000 && Broken.empty(); ++tick) {
      if (any(1, 40) == 1)
        change();
      if (any(1, 25) == 1)
        Struck.strike(any(0, Entries - 1));
      if (any(1, 3) == 1)
        ask(any(0, Entries - 1), Newest - any(0, 3));
      Cluster.runFor(absl::Milliseconds(20));
      judge();
    }
    return Broken;
  }

  int answered() const { return Answered; }

private:
  struct Asked {
    int Entry;
    int Life;
    int64_t Number;
    int64_t SentAt;
    std::shared_ptr<MemoryCluster::Called> Call;
  };

  int any(int from, int to) { return Struck.any(from, to); }

  void change() {
    ++Newest;
    Cluster.configure({"always", keyOf(Newest - 1), keyOf(Newest)});
  }

  void ask(int entry, int64_t number) {
    const int life = Struck.life(entry);
    Open.push_back({entry, life, number, Seen[{entry, life}].oldest(),
                    Cluster.count(entry, keyOf(number), Queue)});
  }

  void judge() {
    const auto first =
        std::partition(Open.begin(), Open.end(),
                       [](const Asked &asked) { return !asked.Call->Answer; });
    for (auto it = first; it != Open.end(); ++it) {
      const std::string wrong = Seen[{it->Entry, it->Life}].take(
          *it->Call->Answer, it->Number, it->SentAt, Newest);
      Answered += decided(*it->Call->Answer) ? 1 : 0;
      if (!wrong.empty())
        Broken = MemoryCluster::entryName(it->Entry) + " " + wrong + ": " +
                 it->Call->Key + ", after configuration " +
                 std::to_string(it->SentAt) + " or newer";
    }
    Open.erase(first, Open.end());
  }

  StruckCluster Struck;
  MemoryCluster &Cluster = Struck.cluster();
  int64_t Newest = 0;
  /// By entry and its life.
  std::map<std::pair<int, int>, SeenByCallers> Seen;
  std::vector<Asked> Open;
  int Answered = 0;
  std::string Broken;
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

std::unique_ptr<MemoryCluster> serving() {
  auto cluster =
      std::make_unique<MemoryCluster>(MemoryCluster::Options{Entries, 3, 3, 1});
  cluster->configure({"k1", "k2"});
  cluster->runFor(absl::Seconds(4));
  return cluster;
}

CallResult resultOf(MemoryCluster &cluster,
                    const std::shared_ptr<MemoryCluster::Called> &call) {
  for (int ms = 0; !call->Answer && ms < LongestAnswerMs; ++ms)
    cluster.runFor(absl::Milliseconds(1));
  return call->Answer ? call->Answer->Result : CallResult::Open;
}

// Guards against an entry that serves by its own old configuration after it has
// handed a call on from a fresh view, as the store would not confirm that.
TEST(ConfigOrder, EntryThatTheStoreHasJustRefusedDoesNotGoBack) {
  auto cluster = serving();
  const int away = (cluster->leader() + 1) % Entries;
  MemoryStore::Faults &store =
      cluster->store().faults(MemoryCluster::entryName(away));
  store.Refuses = true;
  store.WatchesSilent = true;
  cluster->configure({"k2", "k3"});
  cluster->runFor(absl::Milliseconds(50));
  ASSERT_EQ(resultOf(*cluster, cluster->count(away, "k3", Queue)),
            CallResult::Ok);
  EXPECT_EQ(resultOf(*cluster, cluster->count(away, "k1", Queue)),
            CallResult::BadKey);
}

// Guards against an entry that passes on what another one decided by an older
// configuration than it has served by itself.
TEST(ConfigOrder, AnswerOfAnEntryThatIsBehindIsNotPassedOn) {
  auto cluster = serving();
  const int behind = cluster->leader();
  const int newer = (behind + 1) % Entries;
  const int third = (behind + 2) % Entries;
  cluster->cut(MemoryCluster::entryName(third), true);
  cluster->store().faults(MemoryCluster::entryName(behind)).Silent = true;
  cluster->configure({"k2", "k3"});
  cluster->runFor(absl::Milliseconds(50));
  ASSERT_EQ(resultOf(*cluster, cluster->count(newer, "k3", Queue)),
            CallResult::Ok);
  cluster->store().faults(MemoryCluster::entryName(newer)).Refuses = true;
  EXPECT_NE(resultOf(*cluster, cluster->count(newer, "k1", Queue)),
            CallResult::Ok);
}

// Guards against an entry that goes back where neither its own configuration
// nor the newer one lacks the caller's key: the key has another owner.
TEST(ConfigOrder, KeyThatChangedItsOwnerDoesNotGoBack) {
  auto cluster = serving();
  const int away = (cluster->leader() + 1) % Entries;
  cluster->submit(away, "k1", job("over", 100));
  cluster->submit(away, "k1", job("runs", 20000));
  cluster->runFor(absl::Seconds(2));
  ASSERT_EQ(cluster->stored("over"), jobs::JobState::Completed);
  cluster->store().faults(MemoryCluster::entryName(away)).Silent = true;
  cluster->configureOwners({{"another", {"k1"}, 16}});
  cluster->runFor(absl::Milliseconds(1100));
  ASSERT_EQ(resultOf(*cluster, cluster->state(away, "k1", "runs")),
            CallResult::UnknownJob);
  EXPECT_EQ(resultOf(*cluster, cluster->state(away, "k1", "over")),
            CallResult::UnknownJob);
}

// Guards against an entry that answers a caller by an older configuration than
// one that it has answered by before, whoever decided either.
TEST(ConfigOrder, NoEntryGoesBackWhateverStrikes) {
  const auto [first, last] = seedsToPlay();
  int answered = 0;
  for (int seed = first; seed <= last; ++seed) {
    ConfigDay day(static_cast<uint64_t>(seed));
    EXPECT_EQ(day.play(), "") << "seed " << seed;
    answered += day.answered();
  }
  EXPECT_GT(answered, 0);
}

/// One day of short jobs whose states callers ask for all the time, everywhere.
class StatesDay {
public:
  explicit StatesDay(uint64_t seed) : Struck(seed) {}

  /// The first end that callers saw taken back, or nothing.
  std::string play() {
    Cluster.configure({"k1"});
    Cluster.runFor(absl::Seconds(4));
    for (int tick = 0; tick < 1000 && Broken.empty(); ++tick) {
      if (Struck.any(1, 20) == 1)
        Cluster.submit(Struck.any(0, Entries - 1), "k1",
                       job("j" + std::to_string(++Jobs), Struck.any(50, 800)));
      if (Struck.any(1, 25) == 1)
        Struck.strike(Struck.any(0, Entries - 1));
      if (Jobs > 0)
        ask(Struck.any(0, Entries - 1),
            Struck.any(std::max(1, Jobs - 3), Jobs));
      Cluster.runFor(absl::Milliseconds(20));
      judge();
    }
    return Broken;
  }

  int ends() const { return static_cast<int>(Over.size()); }

private:
  using AtEntry = std::tuple<int, int, std::string>;
  struct Asked {
    AtEntry At;
    bool WasOver;
    std::shared_ptr<MemoryCluster::Called> Call;
  };

  void ask(int entry, int number) {
    const std::string id = "j" + std::to_string(number);
    const AtEntry at{entry, Struck.life(entry), id};
    Open.push_back({at, Over.count(at) > 0, Cluster.state(entry, "k1", id)});
  }

  void judge() {
    const auto first =
        std::partition(Open.begin(), Open.end(),
                       [](const Asked &asked) { return !asked.Call->Answer; });
    for (auto it = first; it != Open.end(); ++it) {
      const jobs::CallAnswer &answer = *it->Call->Answer;
      const bool isOver = answer.Result == CallResult::Ok &&
                          answer.State == jobs::JobState::Completed;
      if (it->WasOver && decided(answer) && !isOver)
        Broken = MemoryCluster::entryName(std::get<0>(it->At)) +
                 " took back the end of " + it->Call->Job + ": " +
                 jobs::callResultName(answer.Result) + " " +
                 jobs::jobStateName(answer.State) + " " + answer.Detail;
      if (isOver)
        Over.insert(it->At);
    }
    Open.erase(first, Open.end());
  }

  StruckCluster Struck;
  MemoryCluster &Cluster = Struck.cluster();
  int Jobs = 0;
  /// Ends that callers have seen, by entry, its life and the job.
  std::set<AtEntry> Over;
  std::vector<Asked> Open;
  std::string Broken;
};

// Guards against an entry that shows a job as over and later as not over.
TEST(EndOrder, NoEntryTakesAnEndBackWhateverStrikes) {
  const auto [first, last] = seedsToPlay();
  int ends = 0;
  for (int seed = first; seed <= last; ++seed) {
    StatesDay day(static_cast<uint64_t>(seed));
    EXPECT_EQ(day.play(), "") << "seed " << seed;
    ends += day.ends();
  }
  EXPECT_GT(ends, 0);
}

} // namespace
} // namespace oriolebay::cluster
