#pragma once

#include <absl/time/clock.h>
#include <absl/time/time.h>

#include <functional>
#include <stdexcept>

namespace oriolebay::testwaits {

/// Time after which a test gives up a condition that does not become true. It
/// is far longer than any wait of a test that passes, also on a busy machine.
constexpr absl::Duration GivesUpAfter = absl::Minutes(2);
constexpr absl::Duration CheckInterval = absl::Milliseconds(10);

/// Waits until the condition is true. Throws std::runtime_error, which fails
/// the test, if that does not happen before GivesUpAfter.
inline void waitUntil(const std::function<bool()> &condition) {
  const absl::Time end = absl::Now() + GivesUpAfter;
  while (!condition()) {
    if (absl::Now() > end)
      throw std::runtime_error("a condition that the test waits for does not "
                               "become true");
    absl::SleepFor(CheckInterval);
  }
}

} // namespace oriolebay::testwaits
