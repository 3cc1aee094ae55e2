#include "disturbedentries.h"

#include <algorithm>

namespace oriolebay::cluster {

DisturbedEntries::DisturbedEntries(MemoryCluster &cluster, int count,
                                   std::mt19937_64 &random)
    : Cluster(cluster), Random(random), Live(static_cast<size_t>(count)) {
  for (int n = 0; n < count; ++n)
    Live[static_cast<size_t>(n)] = n;
}

int DisturbedEntries::incarnation(int entry) const {
  auto it = Incarnations.find(entry);
  return it == Incarnations.end() ? 0 : it->second;
}

int DisturbedEntries::pick() {
  if (!Disturbed.empty() && randomInt(0, 1) == 0)
    return Disturbed[static_cast<size_t>(
        randomInt(0, static_cast<int>(Disturbed.size()) - 1))];
  return Live[static_cast<size_t>(
      randomInt(0, static_cast<int>(Live.size()) - 1))];
}

void DisturbedEntries::silenceWatches(int entry) {
  rememberDisturbed(entry);
  set(Cluster.store().faults(MemoryCluster::entryName(entry)).WatchesSilent,
      true, false);
}

void DisturbedEntries::loseAnswers(int entry) {
  rememberDisturbed(entry);
  MemoryStore::Faults &store =
      Cluster.store().faults(MemoryCluster::entryName(entry));
  if (randomInt(0, 1) == 0)
    set(store.LostAnswerShare, 0.5, 0.0);
  else
    set(store.LateWriteShare, 0.5, 0.0);
}

void DisturbedEntries::disturb() {
  const int entry = pick();
  rememberDisturbed(entry);
  const std::string name = MemoryCluster::entryName(entry);
  MemoryStore::Faults &store = Cluster.store().faults(name);
  switch (randomInt(0, 11)) {
  case 0:
    return set(store.Silent, true, false);
  case 1:
    return set(store.Refuses, true, false);
  case 2:
    return set(store.WatchesSilent, true, false);
  case 3:
    return set(store.Delay, absl::Milliseconds(randomInt(4, 1300)),
               MemoryStore::Faults().Delay);
  case 4:
    return set(store.LostAnswerShare, 0.5, 0.0);
  case 5:
    return set(store.LateWriteShare, 0.5, 0.0);
  case 6:
    Cluster.setPartitioned(name, true);
    return healLater([this, name] { Cluster.setPartitioned(name, false); });
  case 7:
    Cluster.delayAnswers(name, absl::Milliseconds(randomInt(100, 1500)));
    return healLater(
        [this, name] { Cluster.delayAnswers(name, absl::ZeroDuration()); });
  case 8:
    return Cluster.holdMessages(name, randomTime());
  case 9:
    return Cluster.store().compact();
  case 10:
    return restart(entry);
  default:
    return replace(entry);
  }
}

void DisturbedEntries::rememberDisturbed(int entry) {
  Disturbed.push_back(entry);
  if (Disturbed.size() > MaxDisturbed)
    Disturbed.erase(Disturbed.begin());
}

void DisturbedEntries::healLater(std::function<void()> heal) {
  Cluster.loop().runAfter(randomTime(), std::move(heal));
}

void DisturbedEntries::kill(int entry) {
  Cluster.killEntry(entry);
  ++Incarnations[entry];
}

void DisturbedEntries::restart(int entry) {
  if (!Cluster.isEntryUp(entry))
    return;
  const bool planned = randomInt(0, 1) == 0;
  if (planned)
    Cluster.beginEntryStop(entry);
  const absl::Duration stopTime = planned ? StopTime : absl::ZeroDuration();
  const int stopped = incarnation(entry);
  Cluster.loop().runAfter(stopTime, [this, entry, stopped] {
    if (incarnation(entry) != stopped)
      return;
    kill(entry);
    healLater([this, entry] {
      if (!Cluster.isEntryUp(entry) && isLive(entry))
        Cluster.startEntry(entry);
    });
  });
}

void DisturbedEntries::replace(int entry) {
  if (!Cluster.isEntryUp(entry))
    return;
  kill(entry);
  std::replace(Live.begin(), Live.end(), entry, Cluster.addEntry());
  Disturbed.erase(std::remove(Disturbed.begin(), Disturbed.end(), entry),
                  Disturbed.end());
}

bool DisturbedEntries::isLive(int entry) const {
  return std::find(Live.begin(), Live.end(), entry) != Live.end();
}

} // namespace oriolebay::cluster
