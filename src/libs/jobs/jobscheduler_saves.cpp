// What the tasks have saved: the leader keeps it for the next run of each, but
// no more of it than its memory holds.
#include "jobscheduler.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace oriolebay::jobs {

using core::TaskId;

namespace {

/// Minimum time between two lines about the same job.
constexpr absl::Duration DroppedSavesLogInterval = absl::Seconds(10);

} // namespace

void JobScheduler::limitSavedBytes(absl::Time now) {
  SavedBytes = 0;
  for (auto &[id, job] : Jobs)
    forEachTask(job, [this](const TaskId &, const Task &task) {
      SavedBytes += task.Progress.Saved.size();
    });
  if (SavedBytes > Policy.MaxSavedBytes)
    dropLongestSaves(now);
}

void JobScheduler::dropLongestSaves(absl::Time now) {
  std::vector<std::pair<Job *, Task *>> saves;
  for (auto &[id, job] : Jobs)
    forEachTask(job, [&saves, owner = &job](const TaskId &, Task &task) {
      if (!task.Progress.Saved.empty())
        saves.emplace_back(owner, &task);
    });
  std::stable_sort(saves.begin(), saves.end(),
                   [](const auto &a, const auto &b) {
                     return a.second->Progress.Saved.size() >
                            b.second->Progress.Saved.size();
                   });
  std::map<Job *, int64_t> dropped;
  for (const auto &[job, task] : saves) {
    if (SavedBytes <= Policy.MaxSavedBytes)
      break;
    SavedBytes -= task->Progress.Saved.size();
    std::string().swap(task->Progress.Saved);
    ++dropped[job];
  }
  for (const auto &[job, count] : dropped)
    noteDroppedSaves(*job, count, now);
}

void JobScheduler::noteDroppedSaves(Job &job, int64_t dropped, absl::Time now) {
  if (now - job.DroppedSavesLoggedAt < DroppedSavesLogInterval)
    return;
  job.DroppedSavesLoggedAt = now;
  logDecision(Decision::Kind::SavesOmitted, job.Record.Spec.Id, "", 0, "",
              "what all tasks have saved would take too much memory",
              {{"tasks", dropped}});
}

// Logs it when it begins and when it ends.
void JobScheduler::noteOmittedSaves(Job &job, int omitted) {
  if ((std::exchange(job.OmittedSaves, omitted) > 0) == (omitted > 0))
    return;
  logDecision(Decision::Kind::SavesOmitted, job.Record.Spec.Id, "", 0, "",
              omitted > 0 ? "the record of all tasks would be too large"
                          : "the record holds what all tasks have saved",
              {{"tasks", omitted}});
}

} // namespace oriolebay::jobs
