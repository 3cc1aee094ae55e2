#include "stepwait.h"

#include <algorithm>

namespace oriolebay::jobs {

namespace {

/// Minimum time between two lines about one job, and the time to which it grows
/// for lines of changed reasons.
constexpr absl::Duration MinLineInterval = absl::Seconds(2);
constexpr absl::Duration MaxReasonLineInterval = absl::Seconds(64);
/// Number of times for which the interval doubles.
constexpr int MaxDoublings = 5;

} // namespace

bool JobWaits::mayLog(absl::Time now) const {
  return now - LastLineAt >= MinLineInterval;
}

bool JobWaits::mayLogReason(absl::Time now) const {
  const int doublings = std::clamp(ReasonLines - 1, 0, MaxDoublings);
  const absl::Duration interval =
      std::min(MinLineInterval * (1 << doublings), MaxReasonLineInterval);
  return now - LastLineAt >= interval;
}

void JobWaits::recordReasonLine(absl::Time now) {
  ++ReasonLines;
  LastLineAt = now;
}

} // namespace oriolebay::jobs
