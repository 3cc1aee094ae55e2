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
    /// The times that one percent takes, in ascending order, once collected.
    std::optional<std::vector<absl::Duration>> PercentTimes;
  };

  /// Expected duration of the whole run.
  absl::Duration expectedRunTime(const Job &job, const core::TaskId &id,
                                 const Task &task) const;
  void checkStep(Job &job, const core::TaskId &first);
  void checkRun(Job &job, const core::TaskId &id, Task &task, PeerTimes &peers);
  absl::Duration stallTimeoutByEstimate(const Job &job, const core::TaskId &id,
                                        const Task &task) const;
  absl::Duration stallTimeoutByDuration(const Job &job, const core::TaskId &id,
                                        const Task &task,
                                        PeerTimes &peers) const;
  /// Time without an increase from which on the run is stalled.
  absl::Duration stallTimeout(const Job &job, const core::TaskId &id,
                              const Task &task, PeerTimes &peers) const;
  void collectPercentTimes(const Job &job, const core::TaskId &first,
                           PeerTimes &peers) const;
  std::optional<absl::Duration> medianPercentTime(const Job &job,
                                                  const core::TaskId &id,
                                                  PeerTimes &peers) const;
  static bool isBehindGang(const Step &step, const Task &task);
  bool isWorkerProgressing(const RunId &run, const Task &task) const;
  bool hasStoodStillTooLong(Job &job, const core::TaskId &id, const Task &task,
                            PeerTimes &peers);
  bool isRunStalled(Job &job, const core::TaskId &id, const Task &task,
                    PeerTimes &peers);
  static void noteLongPercent(Job &job, const core::TaskId &id,
                              absl::Duration timeout);
  size_t countAlikeWorkers(const Job &job, const core::TaskId &id,
                           const Task &task) const;
  bool isWorkerSuspected(const Job &job, const core::TaskId &id,
                         const Task &task, PeerTimes &peers) const;
  /// Whether the run stands still for a reason of its task, not of its worker.
  bool isTaskTheCause(const Job &job, const core::TaskId &id, const Task &task,
                      PeerTimes &peers) const;
  void handleStalledRun(Job &job, const core::TaskId &id, Task &task,
                        PeerTimes &peers);
  void raiseStallTimeout(Job &job, const core::TaskId &id, Task &task,
                         PeerTimes &peers);
  int64_t raiseStepTimeout(Job &job, const core::TaskId &id,
                           absl::Duration timeout);
  bool isSlowElsewhere(const Job &job, const core::TaskId &id, const Task &task,
                       absl::Duration duration) const;
  bool isSlowAllAlong(const Task &task, absl::Duration duration) const;
  bool isWorkerAsUsual(const core::TaskId &id, const Task &task) const;
  std::string whyTaskIsSlow(const Job &job, const core::TaskId &id,
                            const Task &task, absl::Duration duration,
                            PeerTimes &peers) const;
  std::optional<absl::Duration> exceededNormalTime(const Job &job,
                                                   const core::TaskId &id,
                                                   absl::Duration duration,
                                                   PeerTimes &peers) const;
  std::optional<absl::Duration> tooSlowDuration(const Job &job,
                                                const core::TaskId &id,
                                                const Task &task,
                                                PeerTimes &peers) const;
  void handleSlowRun(Job &job, const core::TaskId &id, Task &task,
                     absl::Duration duration, PeerTimes &peers);
  void dismissEstimate(Job &job, const core::TaskId &id, const Task &task,
                       const std::string &why, PeerTimes &peers);
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
  std::vector<DecisionInput> restartInputs(const Job &job,
                                           const core::TaskId &id,
                                           const Task &task,
                                           PeerTimes &peers) const;
  void quarantineAndRestart(Job &job, const core::TaskId &id, Task &task,
                            const std::string &why, PeerTimes &peers);
  void evacuate(Job &job, const core::TaskId &id, Task &task);

  JobScheduler &Scheduler;
  const absl::Time Now;
};

} // namespace oriolebay::jobs
