#pragma once

#include <absl/time/time.h>

#include <string>

namespace oriolebay::jobs {

/// An agent that the leader does not hear from, as the next leader is told.
struct SilentAgent {
  std::string Agent;
  /// How much earlier the tasks beside it have ended than those beside an agent
  /// of which the next leader knows nothing. If the agent has not reported to
  /// this leader: time since the election of the first in a row of leaders that
  /// it has not reported to. If it has: time since its last report, and the
  /// time that no earlier leader can have gone on granting for.
  absl::Duration SilentFor;
  auto operator<=>(const SilentAgent &) const = default;
};

} // namespace oriolebay::jobs
