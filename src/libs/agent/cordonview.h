#pragma once

#include "endpoints/messages.h"

#include <absl/time/time.h>

namespace oriolebay::agent {

/// What an agent knows about the cordon of its worker's failure domain, from
/// the leaders' answers to its reports. The agent checks it immediately before
/// each attempt to start a run: an order may have been delayed, or given by a
/// leader that did not know of a cordon. Uses no threads, clock or sockets.
class CordonView {
public:
  enum class Permission {
    Granted,
    /// The failure domain is cordoned.
    Cordoned,
    /// The view is older than its maximum age, so that a cordon may have been
    /// set since.
    Unknown,
  };

  /// Starts are not permitted with a view older than maxAge.
  explicit CordonView(absl::Duration maxAge) : MaxAge(maxAge) {}

  /// Applies the answer to a report that was sent at sentAt. Answers with an
  /// older view than the current one, or without any, have no effect. Returns
  /// whether the failure domain has become cordoned or is cordoned no more.
  bool apply(const endpoints::ReportAck &ack, absl::Time sentAt);
  Permission permission(absl::Time now) const;
  bool isCordoned() const { return IsCordoned; }

private:
  const absl::Duration MaxAge;
  bool IsCordoned = false;
  /// Each cordon that was set before this time is known.
  absl::Time KnownUntil = absl::InfinitePast();
};

} // namespace oriolebay::agent
