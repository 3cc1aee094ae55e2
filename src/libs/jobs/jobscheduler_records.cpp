// Records and progress of jobs: changes read from the store, and writes to it.
#include "jobscheduler.h"

#include "platform/store.h"

#include <algorithm>

namespace oriolebay::jobs {

using core::TaskId;

void JobScheduler::onRecord(const JobRecord &record, int64_t revision,
                            absl::Time now) {
  if (record.isTombstone()) {
    Tombstones.try_emplace(record.Spec.Id, Tombstone{revision, now})
        .first->second.Revision = revision;
    return;
  }
  Tombstones.erase(record.Spec.Id);
  const auto known = Jobs.find(record.Spec.Id);
  if (revision <= (known == Jobs.end() ? 0 : known->second.RecordRevision))
    return;
  auto [it, added] = Jobs.try_emplace(record.Spec.Id);
  Job &job = it->second;
  if (added) {
    job.Arrived = now;
    LastArrival = now;
    // Jobs that a new leader reads from the store arrived over minutes, not all
    // at once, and do not predict how many will arrive.
    if (record.Priority == 0 && isFleetKnown(now) &&
        !record.Spec.Steps.empty()) {
      const core::StepSpec &first = record.Spec.Steps.front();
      UrgentDemand.recordArrival(first.Count * first.PerTask.Accelerators, now);
    }
  }
  job.Record = record;
  job.Payload = std::exchange(job.Record.Spec.Payload, {});
  job.RecordRevision = revision;
  updateQueue(job);
  PassNeeded = true;
  if (record.Cancelled && !job.hasEnded())
    endJob(job, JobState::Cancelled, now);
}

void JobScheduler::onProgress(const std::string &jobId,
                              const JobProgress &progress, int64_t revision,
                              absl::Time now) {
  auto it = Jobs.find(jobId);
  if (it == Jobs.end())
    return;
  Job &job = it->second;
  job.ProgressRevision = revision;
  job.Version = progress.Version;
  job.WrittenVersion = progress.Version;
  job.State = progress.State;
  const int occurrences = job.Record.Spec.occurrences();
  for (const auto &[first, last] : progress.DoneOccurrences.ranges())
    job.DoneOccurrences.insert(first, std::min(last, occurrences - 1));
  for (const auto &[number, steps] : progress.Tasks)
    if (number < occurrences)
      adoptOccurrence(job, number, steps, now);
  for (const auto &[step, ms] : progress.StallTimeoutsMs)
    job.Evidence[step].MinTimeout = job.Evidence[step].RecordedTimeout =
        absl::Milliseconds(ms);
  if (job.hasEnded())
    job.FinishedAt = now;
  else if (job.Record.Cancelled)
    endJob(job, JobState::Cancelled, now);
  stopUnwantedRuns(job);
}

// The previous leader has not recorded which runs it was stopping.
void JobScheduler::stopUnwantedRuns(Job &job) {
  forEachTask(job, [&](const TaskId &id, Task &task) {
    if (task.Progress.Done || job.hasEnded())
      requestStop(id, task,
                  "its task or its job had ended before the election");
  });
}

// Earlier versions have recorded the occurrences that had not begun, too.
void JobScheduler::adoptOccurrence(Job &job, int number,
                                   const std::vector<StepProgress> &steps,
                                   absl::Time now) {
  if (std::all_of(steps.begin(), steps.end(),
                  [](const StepProgress &s) { return s.isUntouched(); }))
    return;
  std::vector<Step> &jobSteps = ensureOccurrence(job, number);
  for (size_t s = 0; s < std::min(steps.size(), jobSteps.size()); ++s)
    for (size_t i = 0; i < std::min(steps[s].size(), jobSteps[s].size()); ++i) {
      if (const TaskProgress *task = steps[s].find(i))
        adoptTask(job, jobSteps[s], i, *task, now);
      else if (steps[s].isDone(i))
        jobSteps[s].settle(i);
    }
}

// The previous leader may not have ordered the run. The worker's list of
// running tasks shows whether it did.
void JobScheduler::adoptTask(Job &job, Step &step, size_t index,
                             const TaskProgress &progress, absl::Time now) {
  if (progress.isSettled()) {
    step.settle(index);
    return;
  }
  Task &task = step[index];
  task.Progress = progress;
  job.HasSuspects |= task.isSuspect();
  adoptLateStarts(task, now);
  if (task.isAssigned()) {
    task.Phase = Phase::Adopted;
    UnreportedIncarnations[progress.Worker] = {progress.Agent};
  }
}

// The previous leader does not record until when the attempts may be carried
// out, but an agent sends none for a leader that it has not reported to.
void JobScheduler::adoptLateStarts(Task &task, absl::Time now) const {
  for (const LateStart &start : task.Progress.LateStarts) {
    const absl::Time until = now + endpoints::MaxOrderDelay -
                             silentBeforeElection(start.Agent).SilentFor;
    task.LateStartBounds[start].Until = until;
    if (task.isAssigned() && start.Run == task.Progress.Run)
      task.StartOpenUntil = until;
  }
}

void JobScheduler::onRecordRemoved(const std::string &jobId) {
  Jobs.erase(jobId);
  Tombstones.erase(jobId);
}

JobProgress JobScheduler::progressOf(const Job &job) {
  JobProgress progress{job.Version, job.State, {}, job.DoneOccurrences};
  for (const auto &[number, steps] : job.Occurrences) {
    if (std::all_of(steps.begin(), steps.end(),
                    [](const Step &s) { return s.isUntouched(); }))
      continue;
    for (const Step &step : steps)
      progress.Tasks[number].push_back(progressOf(step));
  }
  for (const auto &[step, stalls] : job.Evidence)
    if (stalls.RecordedTimeout > absl::ZeroDuration())
      progress.StallTimeoutsMs[step] =
          absl::ToInt64Milliseconds(stalls.RecordedTimeout);
  return progress;
}

StepProgress JobScheduler::progressOf(const Step &step) {
  StepProgress progress(step.size());
  for (size_t i = 0; i < step.size(); ++i) {
    const Task *task = step.find(i);
    if (task != nullptr && !task->isSettled() && !task->isUntouched())
      progress[i] = task->Progress;
    else if (step.isDone(i))
      progress.settle(i);
  }
  return progress;
}

std::optional<JobProgress>
JobScheduler::progress(const std::string &jobId) const {
  auto it = Jobs.find(jobId);
  if (it == Jobs.end())
    return std::nullopt;
  return progressOf(it->second);
}

// Large records wait for each other, as their bytes reach all entries; the one
// that was written the longest time ago goes first. Small ones, and the ends of
// jobs, do not wait for them.
std::vector<ProgressWrite> JobScheduler::takeWrites(absl::Time now) {
  std::vector<ProgressWrite> writes;
  Job *nextLarge = nullptr;
  for (auto &[id, job] : Jobs) {
    if (!job.Dirty || job.Writing)
      continue;
    if (job.hasEnded() || !isLargeRecord(job))
      writes.push_back(takeWrite(job, now));
    else if (nextLarge == nullptr || job.WrittenAt < nextLarge->WrittenAt)
      nextLarge = &job;
  }
  if (nextLarge == nullptr || now < NextLargeWriteAt)
    return writes;
  writes.push_back(takeWrite(*nextLarge, now));
  NextLargeWriteAt =
      now + absl::Seconds(static_cast<double>(writes.back().Value.size()) /
                          Policy.LargeRecordBytesPerSecond);
  return writes;
}

ProgressWrite JobScheduler::takeWrite(Job &job, absl::Time now) {
  job.Dirty = false;
  job.RecordStateAt = absl::InfiniteFuture();
  job.Writing = true;
  ++job.Version;
  BoundedProgress encoded =
      encodeWithin(progressOf(job),
                   {platform::MaxValueBytes, Policy.MaxSavedBytesPerRecord});
  noteOmittedSaves(job, encoded.OmittedSaves);
  job.WrittenAt = now;
  return {job.Record.Spec.Id, job.RecordRevision, job.ProgressRevision,
          job.Version,        job.State,          std::move(encoded.Value)};
}

// Going by the tasks that are remembered, without encoding them.
bool JobScheduler::isLargeRecord(Job &job) {
  constexpr size_t BytesPerTask = 12;
  size_t bytes = 0;
  size_t saved = 0;
  forEachTask(job, [&](const TaskId &, const Task &task) {
    bytes += BytesPerTask;
    saved += task.Progress.Done ? 0 : task.Progress.Saved.size();
  });
  return bytes + std::min(saved, Policy.MaxSavedBytesPerRecord) >
         Policy.SmallRecordBytes;
}

void JobScheduler::onWritten(const std::string &jobId, int64_t version,
                             int64_t revision, absl::Time now) {
  auto it = Jobs.find(jobId);
  if (it == Jobs.end())
    return;
  Job &job = it->second;
  job.Writing = false;
  job.ProgressRevision = revision;
  job.WrittenVersion = version;
  forEachTask(job, [&](const TaskId &id, Task &task) {
    if (task.Phase == Phase::Recording && task.StartWriteVersion <= version)
      orderStart(job, id, task, now);
  });
  std::vector<Job::PendingEndAck> remaining;
  for (const Job::PendingEndAck &ack : job.PendingEndAcks)
    if (ack.Version <= version)
      Workers.markEndRecorded(ack.Incarnation, ack.Number);
    else
      remaining.push_back(ack);
  job.PendingEndAcks = std::move(remaining);
}

void JobScheduler::onWriteFailed(const std::string &jobId) {
  auto it = Jobs.find(jobId);
  if (it == Jobs.end())
    return;
  it->second.Writing = false;
  it->second.Dirty = true;
}

std::vector<ExpiredJob> JobScheduler::takeExpiredJobs(absl::Time now) {
  std::vector<ExpiredJob> expired;
  for (auto &[id, job] : Jobs) {
    bool isRemovable = isFinal(job.State) && !job.Dirty && !job.Writing &&
                       now - job.FinishedAt > Policy.FinishedJobRetention;
    forEachTask(job, [&](const TaskId &, Task &task) {
      isRemovable = isRemovable && !task.isAssigned();
    });
    if (isRemovable)
      expired.push_back({id, job.RecordRevision, job.ProgressRevision});
  }
  for (const auto &[id, tombstone] : Tombstones)
    if (now - tombstone.Since > Policy.FinishedJobRetention)
      expired.push_back({id, tombstone.Revision, 0});
  return expired;
}

} // namespace oriolebay::jobs
