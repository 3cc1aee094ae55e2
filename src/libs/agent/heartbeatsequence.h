#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace oriolebay::agent {

/// Tells the delayed heartbeats of one incarnation of a worker from the current
/// ones by their numbers, which rise. One heartbeat of another writer with a
/// number that is too large must not make all later ones of the worker count as
/// delayed: a rising series of them, and none above, is taken for the worker's
/// after a while. Uses no threads, clock or sockets.
class HeartbeatSequence {
public:
  /// seriesTime: how long such a series must last. It must be longer than what
  /// a network outage delivers at its end.
  explicit HeartbeatSequence(absl::Duration seriesTime)
      : SeriesTime(seriesTime) {}

  /// An incarnation begins with this heartbeat.
  void begin(int64_t number);
  /// Returns whether the heartbeat with this number, received at now, is a
  /// current one.
  bool accept(int64_t number, absl::Time now);

private:
  const absl::Duration SeriesTime;
  int64_t Last = 0;
  /// The last one of the current series of numbers that are not above Last, and
  /// when the series began; zero if there is none.
  int64_t LastOfSeries = 0;
  absl::Time SeriesBegan;
};

} // namespace oriolebay::agent
