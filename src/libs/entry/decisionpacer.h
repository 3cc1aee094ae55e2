#pragma once

#include <absl/time/time.h>

namespace oriolebay::entry {

/// Limits the share of time that the leader spends on scheduling decisions, so
/// that urgent messages are handled in time. Without this limit, a burst of
/// inputs makes the agents' reports queue up behind decisions. The answers to
/// these reports are the grants that keep tasks alive, so all agents give up
/// the leader at once and the leases of their runs expire. After a decision the
/// next one is due no sooner than a multiple of its duration later. Inputs that
/// arrive in between are covered by one decision.
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
