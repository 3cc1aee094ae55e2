#pragma once

#include "callanswer.h"
#include "core/jobspec.h"
#include "endpoints/messages.h"

#include <absl/time/time.h>

#include <optional>
#include <string>

namespace oriolebay::jobs {

/// A caller's call as one entry hands it to another.
struct CallRequest {
  /// submit, state, cancel or queue.
  std::string Name;
  CallerAccess Access;
  std::string JobId;
  /// With submit.
  core::JobSpec Spec;
  /// The store's revision of the oldest configuration that may decide it; an
  /// older one would take back what callers have seen.
  int64_t OldestRevision = 0;

  bool operator==(const CallRequest &) const = default;
};

/// The call as a message; its deadline becomes the time that is left.
endpoints::ForwardedCall toMessage(const CallRequest &call, absl::Time now);
/// The call in the message; BadMessage when the job in it is none.
utils::Result<CallRequest> toRequest(const endpoints::ForwardedCall &message,
                                     absl::Time now);

endpoints::ForwardedAnswer toMessage(const CallAnswer &answer);
/// The answer in the message; an unknown result or state counts as Open.
CallAnswer toAnswer(const endpoints::ForwardedAnswer &message);

} // namespace oriolebay::jobs
