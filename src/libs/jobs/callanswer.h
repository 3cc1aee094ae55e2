#pragma once

#include "core/siteconfig.h"
#include "jobrecord.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>

namespace oriolebay::jobs {

/// How a caller's call ended.
enum class CallResult {
  Ok,
  /// The request cannot be understood or is out of bounds.
  Invalid,
  /// No such queue.
  UnknownQueue,
  /// The call carries no key that is known.
  BadKey,
  /// No such job.
  UnknownJob,
  /// Another job has this id.
  IdTaken,
  /// Not done, and it never will be on account of this call: come back later.
  NotDone,
  /// It may have been done: ask again with the same id.
  Open,
};

/// The stable name of result, for logs.
const char *callResultName(CallResult result);

/// Where a call is addressed to, who makes it, and until when (on the boot
/// clock) its caller waits.
struct CallerAccess {
  std::string Host;
  std::string Path;
  std::string Key;
  absl::Time Deadline;
};

struct CallAnswer {
  CallResult Result = CallResult::NotDone;
  std::string Detail;
  /// When to come back, with NotDone and Open.
  int64_t RetryAfterMs = 0;
  JobState State = JobState::Queued;
  int Waiting = 0;
  /// The configuration that decided it; zeros where there was none.
  core::ConfigStamp DecidedBy;
  /// The address of the entry that decided it, where that was another one.
  std::string ServedBy;
};

/// The age of a configuration in milliseconds as lines show it, an hour at
/// most: one that was never confirmed has none.
int64_t shownAgeMs(absl::Duration age);

/// For the log: what a call asked for, what decided it, and the answer.
struct CallDecision {
  std::string Call;
  std::string Job;
  std::string Queue;
  int Priority = 0;
  std::string Organisation;
  /// What the job asks for, with a submit; see core::summary().
  std::string Asked;
  /// The configuration here, and its age, when the call was checked against it.
  int64_t ConfigVersion = 0;
  int64_t ConfigAgeMs = 0;
  CallAnswer Answer;
  int64_t TookMs = 0;
};

} // namespace oriolebay::jobs
