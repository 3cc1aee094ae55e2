#pragma once

#include "jobrecord.h"
#include "platform/prefixfollower.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace oriolebay::jobs {

/// A job as recorded in the store.
struct StoredJob {
  JobRecord Record;
  int64_t RecordRevision = 0;
  /// The state in the recorded progress.
  JobState RecordedState = JobState::Queued;
  /// The progress in its stored encoding, of which a leader alone needs more
  /// than the state; empty if there is none.
  std::string Progress;
  /// Zero until the leader has recorded any progress.
  int64_t ProgressRevision = 0;

  /// The configuration that decided the record; zeros if it is not known. A
  /// record was written while that configuration existed: a stamp from a store
  /// that was replaced since may be newer than the record, and tells nothing.
  core::ConfigStamp decidedBy() const {
    return Record.DecidedBy.Revision < RecordRevision ? Record.DecidedBy
                                                      : core::ConfigStamp();
  }
  /// The state to report to callers.
  JobState visibleState() const {
    return visibleStateOf(Record, RecordedState);
  }
};

/// An entry's copy of all jobs in the store, kept up to date by a watch. The
/// copy may lag behind the store while the watch delivers nothing: the states
/// that it holds were true at some time, and a job that it does not contain may
/// exist.
class JobView {
public:
  /// A job's record was added or changed.
  using OnRecord = std::function<void(const StoredJob &)>;
  using OnRemoved = std::function<void(const std::string &jobId)>;
  /// A job's progress shows that it has ended.
  using OnEnded = std::function<void(const std::string &jobId)>;
  /// All jobs have been read, at first and after each readAgain().
  using OnComplete = std::function<void()>;
  /// The value of key cannot be decoded. The job keeps its previous state.
  using OnRefused =
      std::function<void(const std::string &key, const utils::Error &)>;
  using OnStoreError =
      std::function<void(platform::StoreStatus, const std::string &why)>;

  JobView(utils::EventLoop &loop, const platform::Store &store,
          platform::FollowTiming timing, OnRecord onRecord, OnRemoved onRemoved,
          OnEnded onEnded, OnComplete onComplete, OnRefused onRefused,
          OnStoreError onStoreError);

  void start() { Follower.start(); }
  /// Reads all jobs again; calls OnComplete when done.
  void readAgain() { Follower.readAgain(); }
  /// Applies a job's key that another call has just written or read.
  void applyItem(platform::KeyValue item) {
    Follower.applyItem(std::move(item));
  }
  /// Applies a job's progress that this process has just written.
  void applyWrittenProgress(const std::string &jobId, JobState state,
                            std::string value, int64_t revision);

  /// All jobs have been read at least once.
  bool isComplete() const { return Complete; }
  /// Null if the job is not known. A tombstone is no job.
  const StoredJob *find(const std::string &jobId) const;
  /// Null if no tombstone is known for the id.
  const StoredJob *findTombstone(const std::string &jobId) const;
  const std::map<std::string, StoredJob> &jobs() const { return Jobs; }
  /// What the jobs take in memory, here and at the leader, as far as that does
  /// not depend on the tasks that run; and what all that were removed took.
  size_t memoryBytes() const { return MemoryBytes; }
  size_t freedBytes() const { return FreedBytes; }
  /// Number of the jobs in a queue that have not started, repeating jobs
  /// excluded.
  int waitingJobCount(
      const std::function<bool(const JobRecord &)> &isInQueue) const;

private:
  /// Returns the job, which is added if it is not known.
  StoredJob &ensureJob(const std::string &jobId);
  void removeJob(const std::string &jobId);
  void onChange(const platform::StoreEvent &event);
  void applyRecord(const std::string &jobId, JobRecord record,
                   const platform::KeyValue &item);
  void applyProgress(const std::string &jobId, JobState state,
                     std::string value, int64_t revision);

  const OnRecord RecordChanged;
  const OnRemoved Removed;
  const OnEnded Ended;
  const OnRefused Refused;
  bool Complete = false;
  std::map<std::string, StoredJob> Jobs;
  size_t MemoryBytes = 0;
  size_t FreedBytes = 0;
  platform::PrefixFollower Follower;
};

} // namespace oriolebay::jobs
