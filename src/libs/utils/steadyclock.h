#pragma once

#include <absl/time/time.h>

#include <chrono>

namespace oriolebay::utils {

/// Returns the time of the steady clock as an absl::Time (its zero is
/// arbitrary). Leases and timeouts use it because the time of day jumps on some
/// hosts, which would make a lease appear lapsed or valid forever.
inline absl::Time steadyNow() {
  return absl::UnixEpoch() +
         absl::FromChrono(std::chrono::steady_clock::now().time_since_epoch());
}

} // namespace oriolebay::utils
