#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace oriolebay::jobs {

/// A number that a decision was based on, for the log.
struct DecisionInput {
  const char *Name;
  int64_t Value = 0;
};

/// A decision of the scheduler and what it was based on, for the log.
struct Decision {
  enum class Kind {
    Placed,
    Started,
    StartRefused,
    Stopping,
    Ended,
    RunResolved,
    JobEnded,
    WorkerJoined,
    WorkerLost,
    WorkerQuarantined,
    RunStalledOrSlow,
    RunEvacuated,
    RunCrashedWorker,
    SuspectCleared,
    Waiting,
    /// A step has waited beside free workers for longer than expected.
    WaitsBesideFreeWorkers,
    PreferencesGivenUp,
    QuarantineEnded,
    DeadlineSet,
    CapacityPlanned,
    StartBarred,
    UnexpectedRun,
    /// A worker has turned out to be slow, or not to be slow any more.
    SpeedLearned,
    /// The speed that an agent reports for its worker is not usable.
    SpeedIgnored,
    /// A job's record leaves out what some of its tasks have saved, or does not
    /// any more.
    SavesOmitted,
    /// The failed runs of a job do not count against the workers, as the job is
    /// the cause.
    FailuresDismissed,
    /// Runs of a step may stand still for longer, as several did alike.
    StallTimeoutRaised,
    /// The tasks of a step take longer than the estimates of their queue
    /// explain, and not because of their workers.
    EstimateDismissed,
  };
  Kind What = Kind::Placed;
  std::string Job;
  std::string Task;
  int64_t Run = 0;
  std::string Worker;
  std::string Why;
  std::vector<DecisionInput> Inputs;
  /// Inputs that are not numbers, by name.
  std::map<std::string, std::string> Texts = {};

  /// The value of the input called name, or zero if there is none.
  int64_t input(std::string_view name) const {
    for (const DecisionInput &i : Inputs)
      if (i.Name == name)
        return i.Value;
    return 0;
  }
};

} // namespace oriolebay::jobs
