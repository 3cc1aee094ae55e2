#include "jobview.h"

#include "jobmemory.h"

#include <algorithm>

namespace oriolebay::jobs {

namespace {

// Another writer may have stored a job that no entry would have accepted.
utils::Result<void> checkRecord(const JobRecord &record,
                                const std::string &id) {
  std::string problem;
  if (record.Spec.Id != id)
    problem = "it belongs to another job";
  else if (!record.isTombstone())
    problem = core::validateStored(record.Spec);
  if (problem.empty())
    return {};
  return utils::fail(utils::ErrorKind::BadMessage,
                     "unusable job record: " + problem,
                     "remove the record if no entry has written it");
}

// No task of a job that has ended starts any more.
void dropPayloadIfEnded(StoredJob &job) {
  if (isFinal(job.RecordedState))
    std::string().swap(job.Record.Spec.Payload);
}

size_t bytesOf(const StoredJob &job) {
  return memoryBytes(job.Record) + job.Progress.size();
}

} // namespace

JobView::JobView(utils::EventLoop &loop, const platform::Store &store,
                 platform::FollowTiming timing, OnRecord onRecord,
                 OnRemoved onRemoved, OnEnded onEnded, OnComplete onComplete,
                 OnRefused onRefused, OnStoreError onStoreError)
    : RecordChanged(std::move(onRecord)), Removed(std::move(onRemoved)),
      Ended(std::move(onEnded)), Refused(std::move(onRefused)),
      Follower(
          loop, store, JobPrefix, std::move(timing),
          [this](const platform::StoreEvent &event) { onChange(event); },
          [this, done = std::move(onComplete)](int64_t) {
            Complete = true;
            done();
          },
          std::move(onStoreError)) {}

const StoredJob *JobView::find(const std::string &jobId) const {
  auto it = Jobs.find(jobId);
  // A job's progress may be read before its record; until then it is unknown.
  const bool isJob = it != Jobs.end() && it->second.RecordRevision > 0 &&
                     !it->second.Record.isTombstone();
  return isJob ? &it->second : nullptr;
}

const StoredJob *JobView::findTombstone(const std::string &jobId) const {
  auto it = Jobs.find(jobId);
  return it != Jobs.end() && it->second.Record.isTombstone() ? &it->second
                                                             : nullptr;
}

int JobView::waitingJobCount(
    const std::function<bool(const JobRecord &)> &isInQueue) const {
  return static_cast<int>(
      std::count_if(Jobs.begin(), Jobs.end(), [&](const auto &entry) {
        const StoredJob &job = entry.second;
        return job.RecordRevision > 0 && job.Record.Spec.Repeats == 0 &&
               job.visibleState() == JobState::Queued && isInQueue(job.Record);
      }));
}

StoredJob &JobView::ensureJob(const std::string &jobId) {
  auto [it, added] = Jobs.try_emplace(jobId);
  if (added)
    MemoryBytes += bytesOf(it->second);
  return it->second;
}

void JobView::removeJob(const std::string &jobId) {
  auto it = Jobs.find(jobId);
  if (it == Jobs.end())
    return;
  MemoryBytes -= bytesOf(it->second);
  FreedBytes += bytesOf(it->second);
  Jobs.erase(it);
  Removed(jobId);
}

void JobView::applyWrittenProgress(const std::string &jobId, JobState state,
                                   std::string value, int64_t revision) {
  if (Follower.markKnown(progressKey(jobId), revision))
    applyProgress(jobId, state, std::move(value), revision);
}

void JobView::applyProgress(const std::string &jobId, JobState state,
                            std::string value, int64_t revision) {
  StoredJob &job = ensureJob(jobId);
  MemoryBytes -= bytesOf(job);
  job.RecordedState = state;
  job.Progress = std::move(value);
  job.ProgressRevision = revision;
  dropPayloadIfEnded(job);
  MemoryBytes += bytesOf(job);
  if (isFinal(state))
    Ended(jobId);
}

namespace {

/// Returns whether the item with this record is that of another job than the
/// one known under its id, whose removal was not seen. A record is only changed
/// by a cancellation. The time of its creation is not known if it was sent by
/// another entry.
bool isNewJob(const StoredJob &known, const JobRecord &record,
              const platform::KeyValue &item) {
  if (known.RecordRevision == 0)
    return false;
  if (known.Record.isTombstone() != record.isTombstone())
    return true;
  if (item.CreateRevision > 0)
    return item.CreateRevision > known.RecordRevision;
  return !record.Cancelled;
}

} // namespace

void JobView::applyRecord(const std::string &jobId, JobRecord record,
                          const platform::KeyValue &item) {
  StoredJob &job = ensureJob(jobId);
  MemoryBytes -= bytesOf(job);
  if (isNewJob(job, record, item)) {
    Removed(jobId);
    if (job.ProgressRevision < item.ModRevision)
      job = {};
  }
  job.Record = std::move(record);
  job.RecordRevision = item.ModRevision;
  dropPayloadIfEnded(job);
  MemoryBytes += bytesOf(job);
  RecordChanged(job);
}

void JobView::onChange(const platform::StoreEvent &event) {
  std::string id;
  bool progress = false;
  if (!parseJobKey(event.Item.Key, id, progress))
    return;
  if (event.Deleted) {
    if (!progress)
      removeJob(id);
    return;
  }
  utils::handle<bool>(
      [&]() -> utils::Result<bool> {
        if (progress) {
          BOOST_LEAF_AUTO(decoded, decodeProgress(event.Item.Value));
          applyProgress(id, decoded.State, event.Item.Value,
                        event.Item.ModRevision);
          return true;
        }
        BOOST_LEAF_AUTO(decoded, decodeRecord(event.Item.Value));
        BOOST_LEAF_CHECK(checkRecord(decoded, id));
        applyRecord(id, std::move(decoded), event.Item);
        return true;
      },
      [&](const utils::Error &e) {
        Refused(event.Item.Key, e);
        return false;
      });
}

} // namespace oriolebay::jobs
