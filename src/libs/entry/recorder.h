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

/// A run to be recorded before it starts. PriorRevision is the revision of an
/// abandoned at-most-once record that it may replace, zero for none.
struct RecordStart {
  int64_t Epoch = 0;
  scheduler::StartGang Start;
  int64_t PriorRevision = 0;
};
/// A run that ended, or will not start: its record goes. Answer completes the
/// at-most-once record of a non-idempotent request that ran.
struct RecordEnd {
  int64_t Epoch = 0;
  scheduler::RunId Run;
  std::optional<core::JobRequest> Job;
  std::string GangId;
  std::optional<core::JobAnswer> Answer;
};

/// What became of a RecordStart. Recorded: the store has the run under this
/// leader's epoch and it may start. Refused: it must not start, and Answer is
/// the caller's. Taken: another gang holds the idempotency key. Deposed:
/// another entry leads, which is to be asked instead.
struct RecordOutcome {
  enum class Kind { Recorded, Refused, Taken, Deposed };
  Kind What = Kind::Refused;
  RecordStart Request;
  core::JobAnswer Answer;
  std::string Holder;
  int64_t HolderRevision = 0;
};

/// Keeps in the platform's store what must outlive a leader: which runs were
/// started where, and which non-idempotent requests were taken. Its thread
/// writes one transaction a run before it starts and one after it ended, each
/// under the condition that this entry still leads.
class Recorder {
public:
  using OnOutcome = std::function<void(RecordOutcome)>;
  using OnStoreError = std::function<void(const utils::Error &)>;

  Recorder(platform::KvClient &kv, size_t capacity, int64_t retryAfterMs,
           OnOutcome onOutcome, OnStoreError onError);
  ~Recorder();

  /// False when too much waits to be recorded.
  bool start(RecordStart request);
  void end(RecordEnd request);
  void stop();

  /// The runs that earlier leaders recorded and that have not ended.
  utils::Result<std::vector<scheduler::AdoptedRun>> load();

private:
  using Request = std::variant<RecordStart, RecordEnd>;
  enum class Written { Yes, No, Unknown };

  void work();
  void record(const RecordStart &request);
  Written write(const std::vector<platform::Compare> &conditions,
                const std::vector<platform::Write> &writes,
                std::vector<platform::KeyValue> &current);
  RecordOutcome judge(const RecordStart &request,
                      const std::vector<platform::KeyValue> &current,
                      bool &tryAgain, int64_t &revision);
  void flushEnds();
  core::JobAnswer refusal(const RecordStart &request,
                          const std::string &detail) const;

  platform::KvClient &Kv;
  const int64_t RetryAfterMs;
  const OnOutcome Deliver;
  const OnStoreError Report;
  utils::BoundedQueue<Request> Requests;
  std::deque<RecordEnd> Ends;
  absl::Time DownUntil = absl::InfinitePast();
  absl::Notification StopNow;
  std::thread Thread;
};

} // namespace oriolebay::entry
