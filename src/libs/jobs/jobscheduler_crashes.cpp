// Tasks that may have crashed their workers: which ones are suspects, when they
// are cleared, and when their job fails.
#include "jobscheduler.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>

namespace oriolebay::jobs {

using core::TaskId;

// Counts a crash of the task's worker right after the task had started there.
// The count is written together with the end of the run, and therefore before
// the next start of the task.
void JobScheduler::recordCrash(Job &job, const TaskId &id, Task &task) {
  task.Progress.CrashedAt.push_back(task.Progress.Agent);
  job.HasSuspects = true;
  job.Dirty = true;
  logDecision(
      Decision::Kind::RunCrashedWorker, id.Job, core::taskName(id),
      task.Progress.Run, task.Progress.Worker.Id, "it had just started there",
      {{"crashes", static_cast<int64_t>(task.Progress.CrashedAt.size())}});
}

// A task that crashes workers does so at each start. A suspect whose worker
// survived its start is therefore cleared.
void JobScheduler::clearSuspectIfOutlived(Job &job, const TaskId &id,
                                          Task &task) {
  if (!task.isSuspect() || !task.hasOutlivedCrashWindow())
    return;
  task.Progress.CrashedAt.clear();
  job.Dirty = true;
  logDecision(Decision::Kind::SuspectCleared, id.Job, core::taskName(id),
              task.Progress.Run, task.Progress.Worker.Id,
              "its worker survived the start");
  job.HasSuspects = false;
  forEachTask(job, [&](const TaskId &, const Task &other) {
    job.HasSuspects |= other.isSuspect();
  });
}

bool JobScheduler::hasCrashedTooOften(const Task &task) const {
  const std::vector<std::string> &at = task.Progress.CrashedAt;
  const std::set<std::string> hosts(at.begin(), at.end());
  return hosts.size() >= Policy.CrashedHostsBeforeFailure ||
         at.size() >= Policy.CrashesBeforeFailure;
}

// The cause if the job has to fail because one of its tasks crashed too many
// workers, or an empty string.
std::string JobScheduler::crashFailureCause(Job &job) {
  std::string cause;
  forEachTask(job, [&](const TaskId &id, const Task &task) {
    if (cause.empty() && hasCrashedTooOften(task))
      cause = absl::StrCat(core::taskName(id), " crashed ",
                           task.Progress.CrashedAt.size(), " workers");
  });
  return cause;
}

bool JobScheduler::hasCrashedRecently(const std::string &agent,
                                      absl::Time now) const {
  auto it = LastCrashes.find(agent);
  return it != LastCrashes.end() && now - it->second < Policy.RecentCrashWindow;
}

} // namespace oriolebay::jobs
