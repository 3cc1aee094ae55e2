#pragma once

#include <absl/time/time.h>

#include <string>

namespace oriolebay::jobs {

/// An agent that has not reported to the leader, although tasks are recorded as
/// running beside it or as possibly started there. SilentFor: time since the
/// election of the first in a row of leaders that it has not reported to.
struct SilentAgent {
  std::string Agent;
  absl::Duration SilentFor;
  auto operator<=>(const SilentAgent &) const = default;
};

} // namespace oriolebay::jobs
