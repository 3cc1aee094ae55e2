#pragma once

#include <absl/time/time.h>

namespace oriolebay::entry {

/// Limits the share of time that the leader spends on scheduling decisions, so
/// that urgent messages are handled in time. Without it, in a burst the reports
/// by which agents are granted time to keep their tasks alive queue up behind
/// decisions; then all agents give up the leader at once and the leases of
/// their runs expire. After a decision the next one is due no sooner than a
/// multiple of its duration later. This bounds the share of time, and inputs
/// that arrive in between are covered by one decision.
class DecisionPacer {
public:
  /// After a decision of duration T the next one is due restFactor times T
  /// later at the earliest.
  explicit DecisionPacer(int restFactor) : RestFactor(restFactor) {}

  bool isDue(absl::Time now) const { return now >= NextDue; }
  /// Records the start and the end of a decision.
  void recordDecision(absl::Time began, absl::Time ended) {
    NextDue = ended + (ended - began) * RestFactor;
  }

private:
  const int RestFactor;
  absl::Time NextDue = absl::InfinitePast();
};

} // namespace oriolebay::entry
