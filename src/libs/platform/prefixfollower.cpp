#include "prefixfollower.h"

#include "utils/eventloop.h"

#include <algorithm>
#include <vector>

namespace oriolebay::platform {

PrefixFollower::PrefixFollower(utils::EventLoop &loop, const Store &store,
                               std::string prefix, FollowTiming timing,
                               OnChange onChange, OnComplete onComplete,
                               OnTrouble onTrouble)
    : Loop(loop), Calls(store), Prefix(std::move(prefix)),
      Timing(std::move(timing)), Changed(std::move(onChange)),
      Complete(std::move(onComplete)), Trouble(std::move(onTrouble)),
      Pause(Timing.FirstPause) {}

PrefixFollower::~PrefixFollower() { ++*Round; }

void PrefixFollower::start() { readAgain(); }

void PrefixFollower::readAgain() {
  const uint64_t round = ++*Round;
  Reading.clear();
  ReadingFrom = 0;
  readPage(round, "");
}

void PrefixFollower::readPage(uint64_t round, const std::string &after) {
  Calls.Range(Prefix, after, ReadMode::Linearizable,
              [this, alive = Round, round](const StoreReply<StorePage> &reply) {
                if (*alive == round)
                  onPage(round, reply);
              });
}

void PrefixFollower::onPage(uint64_t round,
                            const StoreReply<StorePage> &reply) {
  if (!reply.ok()) {
    Trouble(reply.Status, reply.Why);
    retry(round, [this] { readAgain(); });
    return;
  }
  Pause = Timing.FirstPause;
  // Pages are not a snapshot: watching on from the first page's revision
  // repeats some changes, but misses none.
  if (ReadingFrom == 0)
    ReadingFrom = reply.Value.Revision;
  std::string last;
  for (const KeyValue &item : reply.Value.Items) {
    last = item.Key;
    Reading[last] = item;
  }
  if (reply.Value.More && !last.empty())
    readPage(round, last);
  else
    finishReading(round);
}

void PrefixFollower::finishReading(uint64_t round) {
  std::vector<std::string> gone;
  for (const auto &[key, revision] : Known)
    if (!Reading.contains(key) && revision <= ReadingFrom)
      gone.push_back(key);
  for (const std::string &key : gone) {
    StoreEvent event{{key, "", 0, ReadingFrom, 0}, true};
    apply(event);
  }
  auto read = std::move(Reading);
  Reading.clear();
  for (auto &[key, item] : read)
    apply({std::move(item), false});
  Seen = std::max(Seen, ReadingFrom);
  Complete(Seen);
  if (*Round == round)
    watch(round);
}

void PrefixFollower::apply(const StoreEvent &event) {
  if (!event.Deleted) {
    if (noteKnown(event.Item.Key, event.Item.ModRevision))
      Changed(event);
    return;
  }
  const auto it = Known.find(event.Item.Key);
  if (it == Known.end() || it->second >= event.Item.ModRevision)
    return;
  Known.erase(it);
  Changed(event);
}

bool PrefixFollower::noteKnown(const std::string &key, int64_t revision) {
  const auto [it, added] = Known.emplace(key, revision);
  if (!added && it->second >= revision)
    return false;
  it->second = revision;
  return true;
}

void PrefixFollower::learn(KeyValue item) { apply({std::move(item), false}); }

void PrefixFollower::watch(uint64_t round) {
  Calls.Watch(
      Prefix, Seen, absl::ToInt64Milliseconds(Timing.WatchWait),
      [this, alive = Round, round](const StoreReply<StoreEvents> &reply) {
        if (*alive == round)
          onEvents(round, reply);
      });
}

void PrefixFollower::onEvents(uint64_t round,
                              const StoreReply<StoreEvents> &reply) {
  if (!reply.ok()) {
    Trouble(reply.Status, reply.Why);
    // A watch that was cut may have been silent for a while before: the
    // history it would go on from can be gone, or hold changes that were
    // never sent. Reading anew leaves no gap.
    retry(round, [this] { readAgain(); });
    return;
  }
  Pause = Timing.FirstPause;
  // Only the newest change of a key is of use: reading a record takes longer
  // than all else here, and one is written many times a second.
  const std::vector<StoreEvent> &events = reply.Value.Events;
  absl::flat_hash_map<std::string, size_t> newest;
  for (size_t i = 0; i < events.size(); ++i)
    newest[events[i].Item.Key] = i;
  for (size_t i = 0; i < events.size(); ++i)
    if (newest[events[i].Item.Key] == i)
      apply(events[i]);
  Seen = std::max(Seen, reply.Value.Revision);
  if (*Round != round)
    return;
  if (events.empty())
    watch(round);
  else
    watchAfterRest(round);
}

void PrefixFollower::watchAfterRest(uint64_t round) {
  const absl::Duration rest =
      Timing.RestAfterNews ? Timing.RestAfterNews() : absl::ZeroDuration();
  if (rest <= absl::ZeroDuration()) {
    watch(round);
    return;
  }
  Loop.runAfter(rest, [this, alive = Round, round] {
    if (*alive == round)
      watch(round);
  });
}

void PrefixFollower::retry(uint64_t round, std::function<void()> step) {
  const absl::Duration pause = Pause;
  Pause = std::min(Pause * 2, Timing.LongestPause);
  Loop.runAfter(pause, [alive = Round, round, step = std::move(step)] {
    if (*alive == round)
      step();
  });
}

} // namespace oriolebay::platform
