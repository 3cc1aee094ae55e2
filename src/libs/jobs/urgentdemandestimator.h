#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace oriolebay::jobs {

/// Estimates how many accelerators urgent work needs at short notice, from how
/// often urgent jobs arrive and how wide they are. Recent jobs count most.
class UrgentDemandEstimator {
public:
  /// Records the arrival of an urgent job that can start on the given number of
  /// accelerators.
  void recordArrival(int64_t accelerators, absl::Time now);

  /// Number of accelerators that the jobs arriving within the next span are
  /// expected to need: the mean plus one standard deviation, because arrivals
  /// are random.
  double expectedDemand(absl::Duration span, absl::Time now) const;

private:
  double decayed(double sum, absl::Time now) const;

  absl::Time FirstArrival = absl::InfiniteFuture();
  absl::Time LastArrival = absl::InfinitePast();
  /// Sums of the accelerators per job and of their squares, in which the share
  /// of each job decays with time.
  double AcceleratorSum = 0;
  double SquareSum = 0;
};

} // namespace oriolebay::jobs
