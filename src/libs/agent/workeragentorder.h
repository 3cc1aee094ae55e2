#pragma once

#include "workeragent.h"

namespace oriolebay::agent {

/// Pause before an order without an answer is sent again, on another
/// connection. The worker on the same machine normally answers within
/// milliseconds.
constexpr absl::Duration OrderRetryPause = absl::Milliseconds(60);

/// An order that is being carried out.
struct WorkerAgent::Order {
  endpoints::StartOrder Start;
  endpoints::StopOrder Stop;
  endpoints::WorkerIncarnation Incarnation;
  /// Epoch of the leader that gave the order. Every attempt carries this epoch,
  /// never a newer one.
  int64_t Epoch = 0;
  /// Number of this agent's latest report, at most, when the order was given.
  int64_t LastReport = 0;
  int Attempts = 0;
  /// Attempts of a start that certainly did nothing.
  int UnsentAttempts = 0;
  /// Attempts of a start without an answer. The worker may have carried them
  /// out or may still do so.
  int UnansweredAttempts = 0;
  /// The latest attempt of a start, and the time on the worker's clock from
  /// which that incarnation refuses it.
  OpenAttempts::AttemptNumber LastAttempt = 0;
  absl::Time FirstSentAt = absl::InfiniteFuture();
  int64_t RefusedFromMs = 0;
  /// Why the start is deferred, and since when; empty if it is not.
  std::string DeferredFor;
  absl::Time DeferredSince;

  /// How far a start has come, for the log.
  const char *progressName() const {
    if (Attempts > UnsentAttempts)
      return "sent";
    return DeferredFor.empty() ? "unsent" : "deferred";
  }
  bool isPossiblyDelivered() const { return UnansweredAttempts > 0; }
  /// Whether the run must not be sent again, because the attempt without an
  /// answer would remain open when the run has ended.
  bool awaitsItsOnlyAttempt() const {
    return isPossiblyDelivered() && Incarnation.mayReuseId();
  }
};

} // namespace oriolebay::agent
