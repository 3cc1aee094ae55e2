#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace oriolebay::core {

/// Outcome of a job. NotRun guarantees that no member ran. Failed means that at
/// least one member started and did not finish successfully. InProgress answers
/// a retry of a non-idempotent request whose first attempt has not ended yet.
enum class Outcome { Done, Failed, NotRun, InProgress };

/// Reason why a job did not run. It tells the caller whether a retry makes
/// sense.
enum class NotRunReason {
  None,
  InvalidRequest,
  UnknownProfile,
  CanNeverFit,
  OverGuarantee,
  NoCapacity,
  PowerCap,
  Overloaded,
  ShuttingDown,
  StoreUnavailable,
  Cancelled,
};

/// Result of one gang member's task as returned by its endpoint's back end.
struct MemberResult {
  int Member = 0;
  std::string WorkerId;
  bool Ok = false;
  std::string Output;

  auto operator<=>(const MemberResult &) const = default;
};

/// Complete answer to a caller's job. RetryAfterMs is the delay in milliseconds
/// before a NotRun job should be retried; zero means do not retry.
struct JobAnswer {
  std::string JobId;
  Outcome Result = Outcome::NotRun;
  NotRunReason Reason = NotRunReason::None;
  std::string Detail;
  int64_t RetryAfterMs = 0;
  std::vector<MemberResult> Members;

  auto operator<=>(const JobAnswer &) const = default;
};

/// Returns the answer for a job of which no member ran. RetryAfterMs is as in
/// JobAnswer.
inline JobAnswer notRun(std::string jobId, NotRunReason reason,
                        std::string detail, int64_t retryAfterMs) {
  return {std::move(jobId),  Outcome::NotRun, reason,
          std::move(detail), retryAfterMs,    {}};
}

} // namespace oriolebay::core
