#pragma once

#include <absl/time/time.h>

#include <ctime>

namespace oriolebay::utils {

/// Returns the time of the boot clock as an absl::Time (its zero is arbitrary).
/// This clock never jumps and includes the time for which the host was
/// suspended. It is used for ages and leases that are compared with those of
/// another host: after a suspension the steady clock would still show a lease
/// as valid that has lapsed on all other hosts.
inline absl::Time bootNow() {
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return absl::UnixEpoch() + absl::DurationFromTimespec(ts);
}

} // namespace oriolebay::utils
