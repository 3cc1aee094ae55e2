#pragma once

#include "callanswer.h"
#include "core/jobspec.h"
#include "endpoints/messages.h"

#include <absl/time/time.h>

#include <optional>
#include <string>
#include <vector>

namespace oriolebay::jobs {

/// A caller's call as one entry forwards it to another.
struct CallRequest {
  /// One of submit, state, cancel and queue.
  std::string Name;
  CallerAccess Access;
  std::string JobId;
  /// The job, with submit.
  core::JobSpec Spec;
  /// The store's revision of the oldest configuration that the call may be
  /// checked against. An older one could contradict answers that callers have
  /// already received.
  int64_t OldestRevision = 0;
  /// How long ago the store may have confirmed that configuration at most.
  absl::Duration MaxConfigAge = absl::InfiniteDuration();
  /// Writes of the call that may be stored: the newest revision of the
  /// configuration that they depend on (see CallWrites), zero if there are
  /// none, and the organisations as whose job they store it.
  int64_t OpenRevision = 0;
  std::vector<std::string> OpenOrganisations = {};
  /// The newest configuration that has allowed the call; zeros if none has.
  core::ConfigStamp AllowedBy = {};

  bool operator==(const CallRequest &) const = default;
};

/// Converts call to a message, with its deadline as the time left at now.
endpoints::ForwardedCall toMessage(const CallRequest &call, absl::Time now);
/// Converts message to a call. Fails with BadMessage if its job cannot be
/// decoded.
utils::Result<CallRequest> toRequest(const endpoints::ForwardedCall &message,
                                     absl::Time now);

endpoints::ForwardedAnswer toMessage(const CallAnswer &answer);
/// Converts message to an answer, with the result Open if its result or state
/// is unknown.
CallAnswer toAnswer(const endpoints::ForwardedAnswer &message);

} // namespace oriolebay::jobs
