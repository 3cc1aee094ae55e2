#pragma once

#include <absl/time/time.h>

namespace oriolebay::entry {

/// Leaves the leader time for what must not wait while there is more to decide
/// than it has time for. In a burst, reports that grant its agents time queued
/// up behind decisions; all agents gave the leader up at once, and their runs
/// lapsed. After a decision the next one is due no sooner than a few times what
/// that took, so that a bounded share of the time goes to decisions, and facts
/// that come meanwhile are decided on together.
class DecisionPacer {
public:
  /// A decision that took T is followed by a rest of rest times T.
  explicit DecisionPacer(int rest) : Rest(rest) {}

  bool due(absl::Time now) const { return now >= Next; }
  void decided(absl::Time began, absl::Time ended) {
    Next = ended + (ended - began) * Rest;
  }

private:
  const int Rest;
  absl::Time Next = absl::InfinitePast();
};

} // namespace oriolebay::entry
