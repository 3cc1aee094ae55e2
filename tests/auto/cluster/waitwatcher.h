#pragma once

#include "core/jobspec.h"
#include "endpoints/messages.h"

#include <absl/time/time.h>

#include <map>
#include <string>
#include <vector>

namespace oriolebay::cluster {

/// A worker that is up and what it really runs.
struct WorkerRoom {
  endpoints::WorkerState State;
  core::Resources Used;
  /// New tasks may start there.
  bool IsOpen = true;
};

/// A step of an accepted job whose turn has come, while no worker runs anything
/// of the job.
struct IdleStep {
  /// JOB.OCCURRENCE.STEP
  std::string Name;
  std::string Service;
  core::StepSpec Spec;
};

/// Finds jobs that wait although workers are free. A job waits beside free
/// workers while nothing of it runs, there is room for one task of a ready step
/// (for a gang: for all its tasks) Reserve times over, and less than half of
/// each resource of the service is in use. It may do so for LongestWait. Sees
/// the store and the workers only, never the state of a scheduler.
class WaitWatcher {
public:
  static constexpr absl::Duration LongestWait = absl::Seconds(3);
  static constexpr int64_t Reserve = 2;

  void observe(const std::vector<WorkerRoom> &workers,
               const std::vector<IdleStep> &idleSteps, absl::Time now);
  /// A description of each step that has waited too long, one line each. The
  /// lines begin with the step's name.
  const std::vector<std::string> &found() const { return Found; }

private:
  struct WaitingStep {
    absl::Time Since;
    bool IsReported = false;
  };

  std::map<std::string, WaitingStep> Waiting;
  std::vector<std::string> Found;
};

} // namespace oriolebay::cluster
