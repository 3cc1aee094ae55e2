#pragma once

#include <absl/time/time.h>

#include <ctime>

namespace oriolebay::utils {

/// The time of day as the host has it at this moment. absl::Now() goes by the
/// processor's cycle counter between two looks at the host's clock, so that it
/// follows a step of that clock, or a pause of the process, seconds late: log
/// lines of one moment then stood seconds apart.
inline absl::Time wallNow() {
  timespec ts{};
  clock_gettime(CLOCK_REALTIME, &ts);
  return absl::TimeFromTimespec(ts);
}

} // namespace oriolebay::utils
