#pragma once

#include <absl/time/time.h>

#include <ctime>

namespace oriolebay::utils {

/// A clock that never jumps and counts the time that the host was suspended,
/// as an absl::Time (its zero is arbitrary). Ages and leases that are compared
/// with another host's use it: after a suspension the steady clock shows a
/// lease as still held that lapsed everywhere else.
inline absl::Time bootNow() {
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return absl::UnixEpoch() + absl::DurationFromTimespec(ts);
}

} // namespace oriolebay::utils
