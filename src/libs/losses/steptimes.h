#pragma once

#include "jobhistory.h"

#include <absl/time/time.h>

#include <vector>

namespace oriolebay::losses::Internal {

/// The runs of one task.
using Runs = std::vector<RunHistory>;

/// Returns whether the run completed its task.
bool isDone(const RunHistory &run);

/// Returns the time from the start of an ended run to its end; zero if it did
/// not start.
absl::Duration durationOf(const RunHistory &run);

/// Returns the flag of the step; false if the logs do not contain it.
bool flagOf(const std::vector<bool> &flags, int step);

/// Returns whether the work of the run is saved: it was stopped in an orderly
/// way, and its step saves its progress.
bool isSaved(const RunHistory &run, bool checkpoints);

/// The completed tasks of one step in one occurrence of a job, and the
/// durations of their work.
class StepTimes {
public:
  StepTimes(const JobHistory &job, const SiteHistory &site, int occurrence,
            int step);

  /// Returns the completed run that ended last (of a gang, that ended first);
  /// null when no task was completed.
  const RunHistory *last() const { return Last; }
  const core::TaskId &lastTask() const { return LastTask; }

  /// Returns the duration of the step's longest task on a healthy worker. From
  /// three tasks on it is at most SlowRunFactor times their median.
  absl::Duration healthyDuration() const;

private:
  double slowness(const RunHistory &run) const;

  // Returns the time that the task's work would take on a healthy worker: the
  // completed run and the earlier runs whose progress was saved.
  absl::Duration workDurationOf(const Runs &runs, const RunHistory &done,
                                bool checkpoints) const;

  const SiteHistory &Site;
  const bool Gang;
  double MaxSlowness = 1;
  std::vector<absl::Duration> Durations;
  const RunHistory *Last = nullptr;
  core::TaskId LastTask;
};

} // namespace oriolebay::losses::Internal
