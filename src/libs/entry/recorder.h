#pragma once

#include "platform/kvclient.h"
#include "scheduler/gangscheduler.h"
#include "utils/boundedqueue.h"

#include <absl/synchronization/notification.h>
#include <absl/time/time.h>

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <variant>

namespace oriolebay::entry {

/// A run that must be recorded before it starts. PriorRevision is the revision
/// of an abandoned at-most-once record that it may replace, zero for none.
struct RecordStart {
  int64_t Epoch = 0;
  scheduler::StartGang Start;
  int64_t PriorRevision = 0;
};
/// The deletion of the record of a run that ended or will not start. If the run
/// is of a non-idempotent request that ran, Job and Answer are set and complete
/// its at-most-once record, unless another gang holds that by now.
struct DeleteRecord {
  int64_t Epoch = 0;
  scheduler::RunId Run;
  std::optional<core::JobRequest> Job;
  std::string GangId;
  std::optional<core::JobAnswer> Answer;
  /// The latest known revision of the at-most-once record, zero for none.
  int64_t KeyRevision = 0;
};

/// The result of a RecordStart. Recorded: the store has the run under this
/// leader's epoch and it can start. Refused: it must not start, and Answer is
/// sent to the caller. KeyInUse: another gang holds the idempotency key.
/// LeadershipLost: another entry leads and must be asked instead.
struct RecordOutcome {
  enum class Kind { Recorded, Refused, KeyInUse, LeadershipLost };
  Kind What = Kind::Refused;
  RecordStart Request;
  core::JobAnswer Answer;
  /// The gang id of the gang that holds the key, and the revision of its
  /// record.
  std::string Holder;
  int64_t HolderRevision = 0;
  /// Recorded: the store's revision at which it was.
  int64_t Revision = 0;
};

/// Keeps in the platform's store the data that must outlive a leader: which
/// runs were started on which workers, and which non-idempotent requests were
/// accepted. Its thread writes one transaction for each run before it starts
/// and one after it has ended, each on condition that this entry still leads.
class Recorder {
public:
  using OnOutcome = std::function<void(RecordOutcome)>;
  using OnStoreError = std::function<void(const utils::Error &)>;

  Recorder(platform::KvClient &kv, size_t capacity, int64_t retryAfterMs,
           OnOutcome onOutcome, OnStoreError onError);
  ~Recorder();

  /// Queues a run to be recorded. Returns false if the queue is full.
  bool recordStart(RecordStart request);
  /// Queues the deletion of a run's record; blocks while the queue is full.
  void recordEnd(DeleteRecord request);
  void stop();

  /// Reads the runs that earlier leaders recorded and that have not ended.
  utils::Result<std::vector<scheduler::AdoptedRun>> loadUnendedRuns();

private:
  using Request = std::variant<RecordStart, DeleteRecord>;
  /// Conflict: a condition was not met. Unknown: the store call failed, so the
  /// write may have taken effect, or no call was made because the store counts
  /// as down.
  enum class WriteResult { Done, Conflict, Unknown };
  /// Revision is that of a write that is done. After a conflict, Current has
  /// the items that the conditions refer to.
  struct WriteReply {
    WriteResult Result = WriteResult::Unknown;
    int64_t Revision = 0;
    std::vector<platform::KeyValue> Current;
  };

  void processRequests();
  void writeStart(const RecordStart &request);
  WriteReply write(const std::vector<platform::Compare> &conditions,
                   const std::vector<platform::Write> &writes);
  RecordOutcome
  explainConflict(const RecordStart &request,
                  const std::vector<platform::KeyValue> &currentItems,
                  bool &canRetry, int64_t &keyRevision);
  /// Returns the answer of a gang whose end is not written yet, or null.
  const core::JobAnswer *pendingAnswer(const std::string &gangId) const;
  void writeEnds();
  WriteResult writeEnd(DeleteRecord &end);
  static bool adjustToConflict(DeleteRecord &end,
                               const std::vector<platform::KeyValue> &current);
  core::JobAnswer refusal(const RecordStart &request,
                          const std::string &detail) const;

  platform::KvClient &Kv;
  const int64_t RetryAfterMs;
  const OnOutcome DeliverOutcome;
  const OnStoreError ReportError;
  utils::BoundedQueue<Request> Requests;
  std::deque<DeleteRecord> PendingEnds;
  /// After a failed write no other is attempted before this time.
  absl::Time StoreDownUntil = absl::InfinitePast();
  absl::Notification StopRequested;
  std::thread Thread;
};

} // namespace oriolebay::entry
