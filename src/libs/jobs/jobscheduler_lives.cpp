// Starts that outlive the life they were sent to: a worker that starts again
// under its id would carry them out.
#include "jobscheduler.h"

#include <algorithm>

namespace oriolebay::jobs {

using core::TaskId;

// Orders name the id only. What the ended life was seen to have is gone with
// it; what it was not may be on its way still.
bool JobScheduler::mayStillBegin(const TaskId &id, const Task &task,
                                 const endpoints::LifeEnd &end,
                                 const WorkerLife *next, absl::Time now) const {
  if (next == nullptr || task.What == Phase::Recording)
    return false;
  if (!next->empty() && next->Id != end.Life.Id)
    return false;
  if (now < task.MayBeginUntil)
    return true;
  // Where births are not told, ids do not come again.
  if (end.Life.BornMs == 0 && next->empty())
    return false;
  if (!end.Witnessed)
    return !task.Listed;
  const auto &open = end.MayStillBegin;
  return std::find(open.begin(), open.end(),
                   RunId{core::taskName(id), task.Progress.Run}) != open.end();
}

// The next life under the id is told to stop the run: from then on it has
// listed it, or will refuse it. Until then the task starts nowhere else.
void JobScheduler::settleAtNextLife(Job &job, const TaskId &id, Task &task,
                                    const WorkerLife &next, absl::Time now) {
  if (task.MayBeginUntil == absl::InfinitePast())
    task.MayBeginUntil = now + endpoints::LateOrdersWithin;
  const WorkerLife earlier = task.Progress.Worker;
  task.Progress.Worker = next.empty() ? earlier.ofAnyBirth() : next;
  if (next.empty())
    Unheard[task.Progress.Worker] = {task.Progress.Agent, task.MayBeginUntil};
  else
    Workers.occupy(next, {core::taskName(id), task.Progress.Run},
                   job.specOf(id).room());
  job.Dirty = true;
  task.What = Phase::Ordered;
  task.StopAsked = false;
  requestStop(id, task, "may begin in its worker's next life");
  if (job.specOf(id).Gang)
    gangEnded(job, id, endpoints::RunEnd::Broken);
}

} // namespace oriolebay::jobs
