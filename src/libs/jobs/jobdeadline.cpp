#include "jobdeadline.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>

namespace oriolebay::jobs {

namespace {

/// A late answer still has some value up to this multiple of the deadline.
constexpr int64_t WorthlessAfterFactor = 3;

int64_t wavesFor(int64_t required, int64_t capacity) {
  const int64_t share = capacity / WaveCapacityDivisor;
  if (required <= 0 || share <= 0)
    return 1;
  return (required + share - 1) / share;
}

} // namespace

int wavesOf(const core::StepSpec &step, const core::Resources &capacity) {
  const core::Resources perTask = step.taskResources();
  const int64_t n = step.Count;
  const int64_t waves =
      std::max({wavesFor(n * perTask.MilliCores, capacity.MilliCores),
                wavesFor(n * perTask.MemoryMb, capacity.MemoryMb),
                wavesFor(n * perTask.Accelerators, capacity.Accelerators)});
  return static_cast<int>(std::min<int64_t>(waves, n));
}

// Steps depend on earlier steps only, so a single pass from the last step to
// the first visits the successors of each step before the step itself.
std::vector<absl::Duration>
criticalPathsFrom(const std::vector<core::StepSpec> &steps,
                  const std::vector<int> &waves, const TaskTime &taskTime) {
  std::vector<absl::Duration> criticalPaths(steps.size(), absl::ZeroDuration());
  for (size_t s = steps.size(); s-- > 0;) {
    criticalPaths[s] += taskTime(steps[s]) * waves[s];
    for (int predecessor : steps[s].After) {
      absl::Duration &pathBefore =
          criticalPaths[static_cast<size_t>(predecessor)];
      pathBefore = std::max(pathBefore, criticalPaths[s]);
    }
  }
  return criticalPaths;
}

JobDeadline computeDeadline(const std::vector<core::StepSpec> &steps,
                            const core::Resources &capacity, double stretch,
                            int64_t targetMs, const TaskTime &taskTime) {
  JobDeadline deadline;
  for (const core::StepSpec &step : steps)
    deadline.Waves.push_back(wavesOf(step, capacity));
  const auto criticalPaths = criticalPathsFrom(steps, deadline.Waves, taskTime);
  deadline.CriticalPath =
      criticalPaths.empty()
          ? absl::ZeroDuration()
          : *std::max_element(criticalPaths.begin(), criticalPaths.end());
  deadline.RelativeDeadline =
      deadline.CriticalPath * stretch + absl::Milliseconds(targetMs);
  deadline.WorthlessAfter = deadline.RelativeDeadline * WorthlessAfterFactor;
  return deadline;
}

std::string stepsText(const std::vector<core::StepSpec> &steps,
                      const JobDeadline &deadline) {
  std::vector<std::string> out;
  for (size_t s = 0; s < steps.size(); ++s) {
    out.push_back(absl::StrCat("waves=", deadline.Waves[s]));
    if (!steps[s].After.empty())
      absl::StrAppend(&out.back(),
                      " after=", absl::StrJoin(steps[s].After, ","));
  }
  return absl::StrJoin(out, "; ");
}

} // namespace oriolebay::jobs
