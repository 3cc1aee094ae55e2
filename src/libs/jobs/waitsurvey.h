#pragma once

#include "jobscheduler.h"

#include <absl/time/time.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oriolebay::jobs {

/// One look at all steps whose turn has come and that have tasks which do not
/// run: why, since when, and whether they wait beside free workers. It changes
/// only what is logged and counted. Works on the scheduler's state and lives
/// for one call of decide().
class WaitSurvey {
public:
  WaitSurvey(JobScheduler &scheduler, absl::Time now);
  void run();

private:
  using Job = JobScheduler::Job;
  using Task = JobScheduler::Task;
  using Phase = JobScheduler::Phase;

  /// The tasks of a step by what they do.
  struct StepTasks {
    int64_t Done = 0;
    int64_t Running = 0;
    /// Neither assigned nor held back by a condition of their own.
    int64_t Pending = 0;
    /// Held back by conditions of their own.
    int64_t Held = 0;
    WaitGroups HeldGroups = {};
    /// Index of the first task that waits.
    int FirstWaiting = -1;

    int64_t waiting() const { return Pending + Held; }
  };
  /// Capacity of the workers of a service, usable or not.
  struct ServiceCapacity {
    std::vector<const WorkerView *> Workers = {};
    core::Resources Total;
    core::Resources Used;

    /// Less than half of the accelerators and of the cores is in use.
    bool isMostlyFree() const;
  };
  /// A step that waits, with the reason that holds for most of its tasks.
  struct WaitingStep {
    Job *Owner = nullptr;
    core::TaskId First;
    StepWait *Wait = nullptr;
    WaitGroup Main;
    int64_t Tasks = 0;
    int64_t Running = 0;
  };

  void collectWorkers();
  void surveyJob(Job &job);
  StepTasks countTasks(const core::TaskId &first,
                       const JobScheduler::Step &step) const;
  /// Why a task that is not done does not run. Returns nothing if it runs, or
  /// if only a scheduling pass can tell.
  std::optional<WaitCause> heldCause(const core::TaskId &id,
                                     const Task &task) const;
  std::optional<WaitCause> assignedCause(const Task &task) const;
  void surveyStep(Job &job, const core::TaskId &first, const StepTasks &tasks);
  static WaitGroups groupsOf(const core::StepSpec &spec, const StepWait &wait,
                             const StepTasks &tasks);
  static const WaitGroup &mainGroup(const WaitGroups &groups, bool gang);
  void updateReasons(StepWait &wait, const WaitGroups &groups) const;
  void updateBesideFree(const WaitingStep &step);
  /// Whether the service is mostly free and the free capacity of its workers,
  /// usable or not, could hold the gang, or one of the other tasks, twice.
  bool isBesideFreeWorkers(const WaitingStep &step) const;

  void logReasons();
  void logWaitsBesideFreeWorkers();
  void logBesideFree(WaitingStep &step);

  JobScheduler &Scheduler;
  const absl::Time Now;
  std::map<std::string, ServiceCapacity> Services;
  /// Number of usable workers of all services.
  int64_t UsableWorkers = 0;
  /// Incarnations that are unreachable or silent, with the time by which their
  /// tasks have ended.
  std::map<WorkerIncarnation, absl::Time> SilentWorkers;
  /// The workers that list an unrecorded run, by task.
  std::map<std::string, WaitCause> ListedRuns;
  std::vector<WaitingStep> Steps;
};

} // namespace oriolebay::jobs
