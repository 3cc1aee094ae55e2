#pragma once

#include "core/siteconfig.h"
#include "jobrecord.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace oriolebay::jobs {

/// The outcome of a caller's call.
enum class CallResult {
  Ok,
  /// The request is malformed or exceeds a limit.
  Invalid,
  /// No such queue.
  UnknownQueue,
  /// The call has no key, or one that belongs to no organisation.
  BadKey,
  /// No such job.
  UnknownJob,
  /// Another job has this id, or it was cancelled before.
  IdTaken,
  /// The call was not carried out and will not be; the caller should retry
  /// later.
  NotDone,
  /// The outcome is unknown; the caller should retry with the same id.
  Open,
  /// The entries have no memory for one more job; the call was not carried out
  /// and will not be.
  NoRoom,
};

/// The stable name of result, for logs, metrics and messages.
const char *callResultName(CallResult result);

/// The address and key of a caller's call, and the deadline, on the boot clock,
/// until which the caller waits for the answer.
struct CallerAccess {
  std::string Host;
  std::string Path;
  std::string Key;
  absl::Time Deadline;
};

struct CallAnswer {
  CallResult Result = CallResult::NotDone;
  std::string Detail;
  /// Delay before the caller should retry, with NotDone, Open and NoRoom.
  int64_t RetryAfterMs = 0;
  JobState State = JobState::Queued;
  int Waiting = 0;
  /// No write of the call can be carried out any more without the answering
  /// entry knowing of it. Not set by entries of earlier versions.
  bool Settled = false;
  /// The configuration that the answer is based on; zeros if there was none.
  core::ConfigStamp DecidedBy;
  /// The newest configuration that the answering entry knew to exist. What it
  /// has read for the answer may come from that one.
  core::ConfigStamp NewestKnown;
  /// The address of the entry that answered, if it was another one.
  std::string ServedBy;
};

/// The age of a configuration in milliseconds for log lines, limited to an
/// hour, because a configuration that was never confirmed has an infinite age.
int64_t loggedAgeMs(absl::Duration age);

/// A call, the configuration that it was checked against, and its answer, for
/// the log.
struct CallDecision {
  std::string Call;
  std::string Job;
  /// The call came from another entry, which answers its caller.
  bool Forwarded = false;
  std::string Queue;
  int Priority = 0;
  std::string Organisation;
  /// With submit: what the job requests; see core::summary().
  std::string Asked;
  /// The configuration that the answer is based on or, if another entry has
  /// answered, the one of this entry that the call was checked against; and the
  /// age of this entry's configuration at the check.
  int64_t ConfigVersion = 0;
  int64_t ConfigAgeMs = 0;
  /// A newer configuration was known to exist when the call was answered.
  bool ConfigOutdated = false;
  /// The version of the configuration that decided the record of the call's
  /// job, as it is known here; zero if it is not known.
  int64_t RecordConfigVersion = 0;
  /// The queue and the organisation of the record that the store has under the
  /// call's id, as it is known here; empty if none is.
  std::string RecordQueue;
  std::string RecordOrganisation;
  /// Number of writes that this entry sent to the store for the call, and of
  /// those that got no answer.
  int WritesSent = 0;
  int WritesUnanswered = 0;
  /// The refusal in whose place the answer is Open, because a write of the call
  /// may be stored.
  std::optional<CallResult> WithheldRefusal;
  CallAnswer Answer;
  int64_t TookMs = 0;
};

} // namespace oriolebay::jobs
