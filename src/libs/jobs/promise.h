#pragma once

#include "core/jobspec.h"

#include <absl/time/time.h>

#include <functional>
#include <string>
#include <vector>

namespace oriolebay::jobs {

/// A step that takes more than this share of its service's room is not expected
/// to run all at once: its work counts in as many waves as it needs then.
constexpr int WidestShareOfRoom = 4;

/// How many waves of tasks step counts as on a service with so much room, by
/// whichever of cores, memory and accelerators it takes most of. One where the
/// room is not known yet.
int wavesOf(const core::StepSpec &step, const core::Resources &room);

/// How long a task of the step is expected to work.
using TaskTime = std::function<absl::Duration(const core::StepSpec &)>;

/// What the callers of a job were promised: it is in time when it is over
/// Within after it was handed in, and nearly worthless to them after
/// WorthlessAfter.
struct Promise {
  /// The longest chain of the steps' work, wide steps in waves.
  absl::Duration Chain;
  absl::Duration Within;
  absl::Duration WorthlessAfter;
  /// By step.
  std::vector<int> Waves;

  auto operator<=>(const Promise &) const = default;
};

/// The promise for a job of these steps: stretch times its chain and targetMs
/// more.
Promise promiseOf(const std::vector<core::StepSpec> &steps,
                  const core::Resources &room, double stretch, int64_t targetMs,
                  const TaskTime &taskTime);

/// For each step the longest chain of work from it on, itself included.
std::vector<absl::Duration> chainsFrom(const std::vector<core::StepSpec> &steps,
                                       const std::vector<int> &waves,
                                       const TaskTime &taskTime);

/// For the log: waves and predecessors of each step, such as
/// "waves=2; waves=1 after=0".
std::string stepsText(const std::vector<core::StepSpec> &steps,
                      const Promise &promise);

} // namespace oriolebay::jobs
