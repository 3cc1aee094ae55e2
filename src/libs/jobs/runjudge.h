#pragma once

#include "jobscheduler.h"

#include <absl/time/time.h>

#include <optional>
#include <string>

namespace oriolebay::jobs {

/// Judges what runs: how long it still needs, and whether it is better started
/// anew elsewhere, because it stands still, crawls, or will not be done before
/// its worker leaves. Works on the scheduler's state and lives for one tick().
class RunJudge {
public:
  RunJudge(JobScheduler &scheduler, absl::Time now) : S(scheduler), Now(now) {}

  /// Asks for the stop of every run that is better started anew.
  void judge();

  /// How long the run is expected to need still: by its rate once that shows,
  /// else by what its queue's estimates have been worth.
  absl::Duration remaining(const JobScheduler::Job &job, const core::TaskId &id,
                           const JobScheduler::Task &task) const;

private:
  using Job = JobScheduler::Job;
  using Step = JobScheduler::Step;
  using Task = JobScheduler::Task;

  /// How long the tasks of one step take.
  struct LikeTimes {
    bool Known = false;
    /// Infinite where it does not show yet.
    std::vector<absl::Duration> ByIndex;
    /// Those that show.
    std::vector<absl::Duration> Sorted;
  };

  void judgeStep(Job &job, const core::TaskId &first);
  void judgeRun(Job &job, const core::TaskId &id, Task &task, LikeTimes &like);
  bool standsStill(const Job &job, const core::TaskId &id,
                   const Task &task) const;
  static bool behindItsGang(const Step &step, const Task &task);
  bool crawls(const Job &job, const core::TaskId &id, const Task &task,
              LikeTimes &like) const;
  void findLikeTimes(const Job &job, const core::TaskId &first,
                     LikeTimes &like) const;
  std::optional<absl::Duration>
  soundTime(const Job &job, const core::TaskId &id, LikeTimes &like) const;
  bool mustLeave(const Job &job, const core::TaskId &id,
                 const Task &task) const;
  void restart(Job &job, const core::TaskId &id, Task &task,
               const std::string &why);
  void moveFromSlow(Job &job, const core::TaskId &id, Task &task,
                    const std::string &why);
  void evacuate(Job &job, const core::TaskId &id, Task &task);

  JobScheduler &S;
  const absl::Time Now;
};

} // namespace oriolebay::jobs
