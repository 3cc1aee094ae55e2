#pragma once

#include "jobscheduler.h"

#include <absl/time/time.h>

#include <optional>
#include <string>
#include <vector>

namespace oriolebay::jobs {

/// Monitors running tasks: predicts how long they still take, and requests the
/// stop of those that are better restarted elsewhere because they are stalled,
/// too slow, or will not end before their worker shuts down. Works on the
/// scheduler's state and lives for one call of tick().
class RunMonitor {
public:
  RunMonitor(JobScheduler &scheduler, absl::Time now)
      : Scheduler(scheduler), Now(now) {}

  /// Requests the stop of every run that is better restarted elsewhere, and
  /// quarantines its worker if the run is stalled or too slow.
  void checkRuns();

  /// Expected remaining time of the run, derived from its rate of progress once
  /// that is known. Before that, derived from its estimate, corrected by the
  /// error that the estimates of its queue have had.
  absl::Duration remainingTime(const JobScheduler::Job &job,
                               const core::TaskId &id,
                               const JobScheduler::Task &task) const;

private:
  using Job = JobScheduler::Job;
  using Step = JobScheduler::Step;
  using Task = JobScheduler::Task;

  /// Durations of the tasks of one step.
  struct PeerTimes {
    bool Collected = false;
    /// By index of the task; infinite where the duration is not known yet.
    std::vector<absl::Duration> ByIndex;
    /// The known durations in ascending order.
    std::vector<absl::Duration> Sorted;
  };

  void checkStep(Job &job, const core::TaskId &first);
  void checkRun(Job &job, const core::TaskId &id, Task &task, PeerTimes &peers);
  bool isRunStalled(const Job &job, const core::TaskId &id,
                    const Task &task) const;
  static bool isBehindGang(const Step &step, const Task &task);
  bool isRunTooSlow(const Job &job, const core::TaskId &id, const Task &task,
                    PeerTimes &peers) const;
  void collectPeerTimes(const Job &job, const core::TaskId &first,
                        PeerTimes &peers) const;
  std::optional<absl::Duration> medianPeerTime(const Job &job,
                                               const core::TaskId &id,
                                               PeerTimes &peers) const;
  bool mustEvacuate(const Job &job, const core::TaskId &id,
                    const Task &task) const;
  void requestRestart(Job &job, const core::TaskId &id, Task &task,
                      const std::string &why);
  void countMove(Job &job, const core::TaskId &id, Task &task);
  std::vector<DecisionInput>
  restartInputs(const Job &job, const core::TaskId &id, const Task &task) const;
  void quarantineAndRestart(Job &job, const core::TaskId &id, Task &task,
                            const std::string &why);
  void evacuate(Job &job, const core::TaskId &id, Task &task);

  JobScheduler &Scheduler;
  const absl::Time Now;
};

} // namespace oriolebay::jobs
