#pragma once

#include <absl/time/time.h>

#include <ctime>

namespace oriolebay::utils {

/// Returns the time of day from the host's clock. absl::Now() extrapolates from
/// the processor's cycle counter between two readings of that clock, and
/// therefore follows a step of the clock, or a pause of the process, seconds
/// late: log lines of the same moment then differed by seconds.
inline absl::Time wallNow() {
  timespec ts{};
  clock_gettime(CLOCK_REALTIME, &ts);
  return absl::TimeFromTimespec(ts);
}

} // namespace oriolebay::utils
