#pragma once

#include "core/jobspec.h"
#include "endpoints/workerlife.h"
#include "utils/error.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oriolebay::jobs {

/// The store's keys of jobs: PREFIX ID "/spec" and PREFIX ID "/progress".
extern const char *const JobPrefix;
std::string specKey(const std::string &jobId);
std::string progressKey(const std::string &jobId);
/// The job that key belongs to and whether it is its progress; false when it
/// is no job's key.
bool parseJobKey(const std::string &key, std::string &jobId, bool &progress);

/// What an entry stores when it accepts a job: the job and the rules that its
/// queue had, so that it can be finished after the queue is gone. Only
/// Cancelled ever changes, and only to true.
struct JobRecord {
  core::JobSpec Spec;
  std::string Service;
  int Priority = 0;
  int Attempts = 1;
  double Stretch = 1.0;
  int64_t TargetLatencyMs = 0;
  bool NeedsAdvice = false;
  bool Cancelled = false;

  auto operator<=>(const JobRecord &) const = default;
};

/// What is known of one task. Run is the number of its latest run, zero before
/// the first. Worker is the life of the worker that may be running it, and
/// Agent the agent beside it; both empty when it certainly runs nowhere. The
/// agent outlives the life: a new life there tells that the old one ended.
/// CrashedAt: the agents beside the workers that crashed right after the task
/// had begun there, one entry a crash; empty once a worker has outlived it.
struct TaskProgress {
  int64_t Run = 0;
  int Failed = 0;
  bool Done = false;
  endpoints::WorkerLife Worker;
  std::string Agent;
  std::string Saved;
  std::vector<std::string> CrashedAt = {};

  auto operator<=>(const TaskProgress &) const = default;
};

enum class JobState { Queued, Running, Completed, Failed, Cancelled };
/// The stable name of state.
const char *jobStateName(JobState state);
inline bool isFinal(JobState state) {
  return state == JobState::Completed || state == JobState::Failed ||
         state == JobState::Cancelled;
}

/// A job's progress as the leader records it. Tasks holds, for each occurrence
/// that has begun, its steps' tasks. Version grows with each write, so that a
/// write whose answer was lost can be recognised.
struct JobProgress {
  int64_t Version = 0;
  JobState State = JobState::Queued;
  std::map<int, std::vector<std::vector<TaskProgress>>> Tasks;

  auto operator<=>(const JobProgress &) const = default;
};

/// What callers are shown: a cancel counts unless the job had ended before.
JobState shownState(const JobRecord &record, const JobProgress *progress);

/// The stored forms (CBOR). Reading gives ErrorKind::BadMessage on anything
/// that is not such a record.
std::string encode(const JobRecord &record);
std::string encode(const JobProgress &progress);
utils::Result<JobRecord> decodeRecord(const std::string &bytes);
utils::Result<JobProgress> decodeProgress(const std::string &bytes);

} // namespace oriolebay::jobs
