#pragma once

#include "jobrecord.h"
#include "platform/prefixfollower.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace oriolebay::jobs {

/// A job as the store holds it.
struct StoredJob {
  JobRecord Record;
  int64_t RecordRevision = 0;
  JobProgress Progress;
  /// Zero: the leader has written nothing of it yet.
  int64_t ProgressRevision = 0;

  JobState shown() const {
    return shownState(Record, ProgressRevision > 0 ? &Progress : nullptr);
  }
};

/// Every entry's copy of the jobs in the store, kept by a watch. It may lag
/// while the watch is silent: what it shows was true, and a job that it does
/// not know may still exist.
class JobView {
public:
  /// A job's record is new or changed.
  using OnRecord = std::function<void(const StoredJob &)>;
  using OnRemoved = std::function<void(const std::string &jobId)>;
  /// A job's progress shows its end.
  using OnEnded = std::function<void(const std::string &jobId)>;
  /// All jobs were read.
  using OnComplete = std::function<void()>;
  using OnRefused =
      std::function<void(const std::string &key, const utils::Error &)>;
  using OnTrouble =
      std::function<void(platform::StoreStatus, const std::string &why)>;

  JobView(utils::EventLoop &loop, const platform::Store &store,
          platform::FollowTiming timing, OnRecord onRecord, OnRemoved onRemoved,
          OnEnded onEnded, OnComplete onComplete, OnRefused onRefused,
          OnTrouble onTrouble);

  void start() { Follower.start(); }
  /// Reads everything again; OnComplete tells when.
  void readAgain() { Follower.readAgain(); }
  /// Takes a job's key as it was just written or read.
  void learn(platform::KeyValue item) { Follower.learn(std::move(item)); }
  /// Takes a job's progress as this process has just written it.
  void learnProgress(const std::string &jobId, JobProgress progress,
                     int64_t revision);

  bool complete() const { return Complete; }
  const StoredJob *find(const std::string &jobId) const;
  const std::map<std::string, StoredJob> &jobs() const { return Jobs; }
  /// The queue's jobs without due times of which no task has started.
  int waiting(const std::string &queue) const;

private:
  void onChange(const platform::StoreEvent &event);
  void takeProgress(const std::string &jobId, JobProgress progress,
                    int64_t revision);

  const OnRecord RecordChanged;
  const OnRemoved Removed;
  const OnEnded Ended;
  const OnRefused Refused;
  bool Complete = false;
  std::map<std::string, StoredJob> Jobs;
  platform::PrefixFollower Follower;
};

} // namespace oriolebay::jobs
