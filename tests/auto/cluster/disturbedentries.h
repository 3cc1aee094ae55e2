#pragma once

#include "memorycluster.h"

#include <functional>
#include <map>
#include <random>
#include <vector>

namespace oriolebay::cluster {

/// The entries of a cluster. They lose the store, its updates and each other in
/// all ways, answer late, and are killed, stopped and replaced, several of them
/// at a time.
class DisturbedEntries {
public:
  DisturbedEntries(MemoryCluster &cluster, int count, std::mt19937_64 &random);

  int incarnation(int entry) const;
  /// Returns a random entry, half of the time one that was disturbed lately.
  int pick();
  void silenceWatches(int entry);
  /// For a while the store carries out the entry's writes without an answer,
  /// half of the time seconds later.
  void loseAnswers(int entry);
  /// Disturbs a random entry in a random way, for a random time.
  void disturb();

private:
  static constexpr size_t MaxDisturbed = 4;
  /// Time from the request to stop until the process ends.
  static constexpr absl::Duration StopTime = absl::Milliseconds(2400);

  int randomInt(int from, int to) {
    return std::uniform_int_distribution<>(from, to)(Random);
  }
  absl::Duration randomTime() {
    return absl::Milliseconds(randomInt(50, 5000));
  }
  void rememberDisturbed(int entry);
  template <class T> void set(T &fault, T value, T usual) {
    fault = value;
    healLater([&fault, usual] { fault = usual; });
  }
  void healLater(std::function<void()> heal);
  void kill(int entry);
  /// Kills the entry and starts it again; half of the time it is stopped first,
  /// as by SIGTERM.
  void restart(int entry);
  /// Another entry, with another address, takes the place of this one.
  void replace(int entry);
  bool isLive(int entry) const;

  MemoryCluster &Cluster;
  std::mt19937_64 &Random;
  std::vector<int> Live;
  std::vector<int> Disturbed;
  /// Number of kills, by entry.
  std::map<int, int> Incarnations;
};

} // namespace oriolebay::cluster
