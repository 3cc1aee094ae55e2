#pragma once

#include "core/jobspec.h"

#include <absl/time/time.h>

#include <functional>
#include <string>
#include <vector>

namespace oriolebay::jobs {

/// A step that needs more than 1/WaveCapacityDivisor of the capacity of its
/// service is not expected to run all at once. Its work then counts as several
/// waves, each of at most that share.
constexpr int WaveCapacityDivisor = 4;

/// Number of waves that a step counts as on a service with the given capacity,
/// determined by the one of cores, memory and accelerators that it needs the
/// largest share of. Returns 1 while the capacity is not known.
int wavesOf(const core::StepSpec &step, const core::Resources &capacity);

/// Returns the expected duration of a task of the step.
using TaskTime = std::function<absl::Duration(const core::StepSpec &)>;

/// Deadline of a job: it is on time if it ends at most RelativeDeadline after
/// its submission, and is nearly worthless to its caller if it ends more than
/// WorthlessAfter after its submission.
struct JobDeadline {
  /// Length of the critical path through the steps, with wide steps counted in
  /// waves.
  absl::Duration CriticalPath;
  absl::Duration RelativeDeadline;
  absl::Duration WorthlessAfter;
  /// Number of waves by step.
  std::vector<int> Waves;

  auto operator<=>(const JobDeadline &) const = default;
};

/// Computes the deadline of a job with these steps: stretch times its critical
/// path, plus targetMs.
JobDeadline computeDeadline(const std::vector<core::StepSpec> &steps,
                            const core::Resources &capacity, double stretch,
                            int64_t targetMs, const TaskTime &taskTime);

/// For each step, the length of the critical path that starts with it.
std::vector<absl::Duration>
criticalPathsFrom(const std::vector<core::StepSpec> &steps,
                  const std::vector<int> &waves, const TaskTime &taskTime);

/// Waves and predecessors of each step for the log, such as
/// "waves=2; waves=1 after=0".
std::string stepsText(const std::vector<core::StepSpec> &steps,
                      const JobDeadline &deadline);

} // namespace oriolebay::jobs
