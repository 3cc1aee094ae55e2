#include "prefixfollower.h"

#include "utils/eventloop.h"

#include <algorithm>
#include <vector>

namespace oriolebay::platform {

PrefixFollower::PrefixFollower(utils::EventLoop &loop, const Store &store,
                               std::string prefix, FollowTiming timing,
                               OnChange onChange, OnComplete onComplete,
                               OnStoreError onStoreError)
    : Loop(loop), StoreClient(store), Prefix(std::move(prefix)),
      Timing(std::move(timing)), NotifyChange(std::move(onChange)),
      NotifyComplete(std::move(onComplete)),
      NotifyStoreError(std::move(onStoreError)),
      RetryPause(Timing.InitialRetryPause) {}

PrefixFollower::~PrefixFollower() { ++*Round; }

void PrefixFollower::start() { readAgain(); }

void PrefixFollower::readAgain() {
  const uint64_t round = ++*Round;
  ReadItems.clear();
  UnreadableKeys.clear();
  FirstPageRevision = 0;
  readPage(round, "");
}

void PrefixFollower::readPage(uint64_t round, const std::string &after) {
  StoreClient.Range(
      Prefix, after, ReadMode::Linearizable,
      [this, currentRound = Round, round](const StoreReply<StorePage> &reply) {
        if (*currentRound == round)
          onPage(round, reply);
      });
}

void PrefixFollower::onPage(uint64_t round,
                            const StoreReply<StorePage> &reply) {
  if (!reply.ok()) {
    NotifyStoreError(reply.Status, reply.Why);
    retry(round, [this] { readAgain(); });
    return;
  }
  RetryPause = Timing.InitialRetryPause;
  // The pages are not a snapshot. A watch from the revision of the first page
  // repeats some changes, but misses none.
  if (FirstPageRevision == 0)
    FirstPageRevision = reply.Value.Revision;
  for (const KeyValue &item : reply.Value.Items)
    ReadItems[item.Key] = item;
  UnreadableKeys.insert(reply.Value.UnreadableKeys.begin(),
                        reply.Value.UnreadableKeys.end());
  const std::string last = lastKey(reply.Value);
  if (reply.Value.More && !last.empty())
    readPage(round, last);
  else
    finishReading(round);
}

void PrefixFollower::finishReading(uint64_t round) {
  std::vector<std::string> removed;
  for (const auto &[key, revision] : ReportedRevisions)
    if (isAbsent(key) && revision <= FirstPageRevision)
      removed.push_back(key);
  for (const std::string &key : removed) {
    StoreEvent event{{key, "", 0, FirstPageRevision, 0}, true};
    apply(event);
  }
  auto items = std::move(ReadItems);
  ReadItems.clear();
  for (auto &[key, item] : items)
    apply({std::move(item), false});
  SeenRevision = std::max(SeenRevision, FirstPageRevision);
  NotifyComplete(SeenRevision);
  if (*Round == round)
    watch(round);
}

bool PrefixFollower::isAbsent(const std::string &key) const {
  return !ReadItems.contains(key) && !UnreadableKeys.contains(key) &&
         !UnreadableKeys.contains("");
}

void PrefixFollower::apply(const StoreEvent &event) {
  if (!event.Deleted) {
    if (markKnown(event.Item.Key, event.Item.ModRevision))
      NotifyChange(event);
    return;
  }
  const auto it = ReportedRevisions.find(event.Item.Key);
  if (it == ReportedRevisions.end() || it->second >= event.Item.ModRevision)
    return;
  ReportedRevisions.erase(it);
  NotifyChange(event);
}

bool PrefixFollower::markKnown(const std::string &key, int64_t revision) {
  const auto [it, added] = ReportedRevisions.emplace(key, revision);
  if (!added && it->second >= revision)
    return false;
  it->second = revision;
  return true;
}

void PrefixFollower::applyItem(KeyValue item) {
  apply({std::move(item), false});
}

void PrefixFollower::watch(uint64_t round) {
  StoreClient.Watch(Prefix, SeenRevision,
                    absl::ToInt64Milliseconds(Timing.MaxWatchWait),
                    [this, currentRound = Round,
                     round](const StoreReply<StoreEvents> &reply) {
                      if (*currentRound == round)
                        onEvents(round, reply);
                    });
}

void PrefixFollower::onEvents(uint64_t round,
                              const StoreReply<StoreEvents> &reply) {
  if (!reply.ok()) {
    NotifyStoreError(reply.Status, reply.Why);
    // An interrupted watch may have delivered no events for a while before. The
    // store may no longer have the history from there, or the history may
    // contain changes that were never sent. Reading all keys again misses no
    // change.
    retry(round, [this] { readAgain(); });
    return;
  }
  RetryPause = Timing.InitialRetryPause;
  // Only the newest change of each key is reported: decoding a record is the
  // most expensive step here, and some records are written many times per
  // second.
  const std::vector<StoreEvent> &events = reply.Value.Events;
  absl::flat_hash_map<std::string, size_t> newest;
  for (size_t i = 0; i < events.size(); ++i)
    newest[events[i].Item.Key] = i;
  for (size_t i = 0; i < events.size(); ++i)
    if (newest[events[i].Item.Key] == i)
      apply(events[i]);
  SeenRevision = std::max(SeenRevision, reply.Value.Revision);
  if (*Round != round)
    return;
  if (reply.Value.HasUnreadable)
    retry(round, [this] { readAgain(); });
  else if (events.empty())
    watch(round);
  else
    watchAfterDelay(round);
}

void PrefixFollower::watchAfterDelay(uint64_t round) {
  const absl::Duration delay = Timing.DelayAfterChanges
                                   ? Timing.DelayAfterChanges()
                                   : absl::ZeroDuration();
  if (delay <= absl::ZeroDuration()) {
    watch(round);
    return;
  }
  Loop.runAfter(delay, [this, currentRound = Round, round] {
    if (*currentRound == round)
      watch(round);
  });
}

void PrefixFollower::retry(uint64_t round, std::function<void()> action) {
  const absl::Duration pause = RetryPause;
  RetryPause = std::min(RetryPause * 2, Timing.MaxRetryPause);
  Loop.runAfter(pause,
                [currentRound = Round, round, action = std::move(action)] {
                  if (*currentRound == round)
                    action();
                });
}

} // namespace oriolebay::platform
