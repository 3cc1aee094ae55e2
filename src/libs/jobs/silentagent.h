#pragma once

#include <absl/time/time.h>

#include <string>

namespace oriolebay::jobs {

/// An agent that the leader does not hear from, as the next leader is told.
struct SilentAgent {
  std::string Agent;
  /// Time for which it has neither been granted time by this leader, or by the
  /// ones before it that it has not reported to, nor sent starts for them.
  absl::Duration SilentFor;
  /// It has reported to one of these leaders, and its worker has received that
  /// leader's fencing token, so that no earlier leader can grant either.
  bool Fenced = false;
  auto operator<=>(const SilentAgent &) const = default;
};

} // namespace oriolebay::jobs
