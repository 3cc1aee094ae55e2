#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace oriolebay::jobs {

/// Learns how much room urgent work asks for at short notice: how often it
/// comes and how wide it is, the latest jobs counting most.
class DemandBook {
public:
  /// An urgent job came that can begin with so many accelerators.
  void arrived(int64_t accelerators, absl::Time now);

  /// Accelerators that the jobs which come within the next span will ask for:
  /// the mean, and a standard deviation more, as they come by chance.
  double within(absl::Duration span, absl::Time now) const;

private:
  double decayed(double sum, absl::Time now) const;

  absl::Time First = absl::InfiniteFuture();
  absl::Time Last = absl::InfinitePast();
  /// Of accelerators and of their squares, each job's share fading with time.
  double Sum = 0;
  double Squares = 0;
};

} // namespace oriolebay::jobs
