#pragma once

#include "core/jobspec.h"
#include "core/siteconfig.h"
#include "endpoints/workerincarnation.h"
#include "numberranges.h"
#include "sparsestep.h"
#include "utils/error.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oriolebay::jobs {

/// The store has two keys for each job: its record, JobPrefix ID "/spec", and
/// its progress, JobPrefix ID "/progress".
extern const char *const JobPrefix;
std::string specKey(const std::string &jobId);
std::string progressKey(const std::string &jobId);
/// Sets jobId to the job that key belongs to, and progress to whether key is
/// the key of its progress. Returns false if key is not the key of a job.
bool parseJobKey(const std::string &key, std::string &jobId, bool &progress);

/// The record that an entry writes when it accepts a job. It contains the job
/// and the settings of its queue, so that the job can be completed after the
/// queue was removed. Only Cancelled ever changes, and only to true. DecidedBy
/// is the newest configuration by which a call was accepted that has written
/// the record; zeros if an earlier version of the product wrote it.
///
/// A record without steps is a tombstone: a caller has cancelled the id before
/// any job was stored under it. While it is stored, a late write of such a job
/// fails.
struct JobRecord {
  core::JobSpec Spec;
  std::string Service;
  int Priority = 0;
  int Attempts = 1;
  double Stretch = 1.0;
  int64_t TargetLatencyMs = 0;
  bool NeedsAdvice = false;
  bool Cancelled = false;
  core::ConfigStamp DecidedBy = {};

  bool isTombstone() const { return Cancelled && Spec.Steps.empty(); }
  auto operator<=>(const JobRecord &) const = default;
};

/// An attempt to start a run that got no answer and may still be carried out by
/// any later incarnation with the worker's id beside the same agent.
struct LateStart {
  std::string WorkerId;
  std::string Agent;
  int64_t Run = 0;

  auto operator<=>(const LateStart &) const = default;
};

/// The recorded progress of one task. Run is the number of its latest run, zero
/// before the first. Worker is the incarnation of the worker that may be
/// running it, and Agent is that worker's agent; both are empty if the task is
/// certainly not running. The agent outlives the worker's process, so that a
/// report of another incarnation by the same agent shows that the earlier one
/// has ended. CrashedAt lists the agents whose workers crashed right after the
/// task had started there, one item for each crash. It is cleared once a worker
/// has survived the start of the task. LateStarts lists the open attempts to
/// start its latest run and earlier ones. They bar further runs, but not for
/// longer than MaxOrderDelay. Failed is the number of failed runs, and
/// FailedRuns lists them, of tasks that last the latest alone: the members of a
/// gang list the end of one run each, also to a later leader or after a later
/// run, and it counts once.
struct TaskProgress {
  int64_t Run = 0;
  int Failed = 0;
  bool Done = false;
  endpoints::WorkerIncarnation Worker;
  std::string Agent;
  std::string Saved;
  std::vector<std::string> CrashedAt = {};
  std::vector<LateStart> LateStarts = {};
  std::vector<int64_t> FailedRuns = {};

  bool isDone() const { return Done; }
  void setDone() { Done = true; }
  /// Nothing has happened to the task.
  bool isUntouched() const { return *this == TaskProgress(); }
  /// The task is done, no attempt to start it is open, and it is no suspect.
  bool isOver() const {
    return Done && Worker.empty() && LateStarts.empty() && CrashedAt.empty();
  }
  /// The task is over, and no run of it has failed.
  bool isSettled() const { return isOver() && Failed == 0; }

  auto operator<=>(const TaskProgress &) const = default;
};
using StepProgress = SparseStep<TaskProgress>;

/// Queued: no worker is known to have begun a task of the job. Running: one has
/// begun a task; the job stays so when the task fails and waits again.
enum class JobState { Queued, Running, Completed, Failed, Cancelled };
/// The stable name of state, for logs, metrics and messages.
const char *jobStateName(JobState state);
inline bool isFinal(JobState state) {
  return state == JobState::Completed || state == JobState::Failed ||
         state == JobState::Cancelled;
}

/// A job's progress as the leader records it. Tasks contains the tasks of each
/// step of each occurrence of which something has begun, except those in
/// DoneOccurrences, of which all is done. StallTimeoutsMs contains, by step,
/// the time in milliseconds for which runs have to stand still to be stalled,
/// where that is known to be longer than the estimate suggests. Version grows
/// with each write, so that a write whose answer was lost can be recognised.
struct JobProgress {
  int64_t Version = 0;
  JobState State = JobState::Queued;
  std::map<int, std::vector<StepProgress>> Tasks;
  NumberRanges DoneOccurrences = {};
  std::map<int, int64_t> StallTimeoutsMs = {};

  auto operator<=>(const JobProgress &) const = default;
};

/// The state to report to callers, if this is the recorded one: Cancelled as
/// soon as the job is cancelled, unless it had ended before.
JobState visibleStateOf(const JobRecord &record, JobState state);

/// Encode and decode the stored values as CBOR. Decoding fails with
/// ErrorKind::BadMessage if bytes are not a valid value.
std::string encode(const JobRecord &record);
std::string encode(const JobProgress &progress);
/// A stored value, and how many tasks are recorded without what they have
/// saved.
struct BoundedProgress {
  std::string Value;
  int OmittedSaves = 0;
};
/// Bounds of a stored value in bytes.
struct ProgressLimits {
  size_t MaxBytes = 0;
  /// Of that, for what the tasks have saved.
  size_t MaxSavedBytes = 0;
};
/// Encodes progress within the limits if that is possible without what the
/// tasks have saved and without the numbers of their failed runs. The longest
/// saved texts are left out, as few as suffice; such a task starts from the
/// beginning under the next leader, unless its worker still lists it. The
/// numbers of the failed runs are left out last; their count stays.
BoundedProgress encodeWithin(const JobProgress &progress,
                             const ProgressLimits &limits);
utils::Result<JobRecord> decodeRecord(const std::string &bytes);
utils::Result<JobProgress> decodeProgress(const std::string &bytes);

} // namespace oriolebay::jobs
