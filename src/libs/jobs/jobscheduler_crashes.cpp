// Tasks that may have crashed their workers: who is a suspect, who is cleared,
// and who is given up.
#include "jobscheduler.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>

namespace oriolebay::jobs {

using core::TaskId;

// The task's worker crashed right after the task had begun there. The count is
// written with the end of the run, and so before the task's next start.
void JobScheduler::takeCrash(Job &job, const TaskId &id, Task &task) {
  task.Progress.CrashedAt.push_back(task.Progress.Agent);
  job.HasSuspects = true;
  job.Dirty = true;
  note(Decision::Kind::RunCrashedWorker, id.Job, core::taskName(id),
       task.Progress.Run, task.Progress.Worker.Id, "it had just begun there",
       {{"crashes", static_cast<int64_t>(task.Progress.CrashedAt.size())}});
}

// What crashes the workers that start it does so each time.
void JobScheduler::clearOutlived(Job &job, const TaskId &id, Task &task) {
  if (!task.isSuspect() || !task.outlived())
    return;
  task.Progress.CrashedAt.clear();
  job.Dirty = true;
  note(Decision::Kind::SuspectCleared, id.Job, core::taskName(id),
       task.Progress.Run, task.Progress.Worker.Id, "its worker lives on");
  job.HasSuspects = false;
  forEachTask(job, [&](const TaskId &, const Task &other) {
    job.HasSuspects |= other.isSuspect();
  });
}

bool JobScheduler::isGivenUp(const Task &task) const {
  const std::vector<std::string> &at = task.Progress.CrashedAt;
  const std::set<std::string> hosts(at.begin(), at.end());
  return hosts.size() >= Policy.CrashedHostsToGiveUp ||
         at.size() >= Policy.CrashesToGiveUp;
}

// Why the job has to be given up; empty when it has not.
std::string JobScheduler::givenUpFor(Job &job) {
  std::string cause;
  forEachTask(job, [&](const TaskId &id, const Task &task) {
    if (cause.empty() && isGivenUp(task))
      cause = absl::StrCat(core::taskName(id), " crashed ",
                           task.Progress.CrashedAt.size(), " workers");
  });
  return cause;
}

bool JobScheduler::crashedLately(const std::string &agent,
                                 absl::Time now) const {
  auto it = Crashes.find(agent);
  return it != Crashes.end() && now - it->second < Policy.CrashRemembered;
}

} // namespace oriolebay::jobs
