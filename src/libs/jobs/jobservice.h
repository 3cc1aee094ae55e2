#pragma once

#include "acceptancebudget.h"
#include "callanswer.h"
#include "callcodec.h"
#include "jobview.h"
#include "openjobs.h"
#include "operators/configfollower.h"
#include "unansweredwrites.h"

#include <absl/time/time.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oriolebay::utils {
class EventLoop;
}

namespace oriolebay::jobs {

/// Time limits of calls, and how old the data that answers them may be.
struct JobServicePolicy {
  /// Maximum age of the configuration view that calls are checked against. Keys
  /// may have been revoked since.
  absl::Duration MaxConfigAge = absl::Milliseconds(2500);
  /// Time after an effect of a configuration from which calls may not be
  /// decided by an older one.
  absl::Duration MaxRollbackTime = absl::Milliseconds(250);
  /// Time after its deadline until which a forwarded call may still be carried
  /// out: an outage of the network holds it up for as long as it lasts.
  absl::Duration MaxForwardDelay = endpoints::MaxOrderDelay;
  /// Time reserved for sending the answer to the caller before its deadline.
  absl::Duration AnswerMargin = absl::Milliseconds(150);
  /// Delay before a failed store call is repeated.
  absl::Duration RetryDelay = absl::Milliseconds(60);
  /// How long a call is retried while the store refuses, before the caller is
  /// asked to retry later.
  absl::Duration MaxRefusedTime = absl::Milliseconds(400);
  /// The same limit for calls forwarded by another entry, which is waiting for
  /// the answer.
  absl::Duration MaxForwardedRefusedTime = absl::Milliseconds(250);
  /// Maximum age of the configuration view at which the view of the jobs, which
  /// depends on the store's watches, is relied on as well. The configuration
  /// view is confirmed continuously, so that its age shows how long the store
  /// has not served this entry. Without this check an entry that the store had
  /// stopped serving showed jobs as running long after their end.
  absl::Duration MaxViewAge = absl::Milliseconds(800);
  /// Maximum share of the caller's time that a call spends on a store that does
  /// not answer. The rest is left to the caller for asking another entry.
  double MaxStoreTimeShare = 0.4;
  /// Timeouts of store calls in milliseconds. The first try has a short one: a
  /// healthy store usually answers much faster, and if only the answer was
  /// lost, repeating the call shows its outcome.
  long FirstTryTimeoutMs = 300;
  /// The first try waits for at least this many times the recent latency of the
  /// store: a slow store would answer each first try too late.
  double MinLatenciesPerTry = 1.5;
  long MinTryTimeoutMs = 50;
  long MaxTryTimeoutMs = 700;
  /// Bounds of the delay after which callers are asked to retry, which is the
  /// time that the store has been failing so far.
  int64_t MinRetryAfterMs = 1000;
  int64_t MaxRetryAfterMs = 3000;
  /// How long a state call waits for an end that the leader knows of to be
  /// recorded; a healthy store takes a few milliseconds. Callers query as soon
  /// as a job's last task has ended, while the end is still being written, and
  /// then again a quarter of a second later. Short urgent jobs cannot afford to
  /// lose much more than that quarter of a second.
  absl::Duration EndRecordWaitLimit = absl::Milliseconds(150);
  /// How long a state call for a running job waits for a report of its end.
  /// Callers may query so soon after the end that the report is still on its
  /// way from the worker through its agent to the leader, which takes two hops
  /// and a turn of three processes. The delay is too short for callers to
  /// notice.
  absl::Duration EndReportDelay = absl::Milliseconds(20);
};

/// Receives the answer of another entry, or nothing if none answered. With
/// outcomeUnknown, an entry that did not answer may have carried out the call.
using OnForwarded =
    std::function<void(const std::optional<CallAnswer> &, bool outcomeUnknown)>;

/// Receives the leader's answer to a state call, or nothing if it did not
/// answer.
using OnLeaderAnswer =
    std::function<void(const std::optional<CallAnswer> &answer)>;

/// Serves callers at one entry: stores submitted jobs, cancels jobs, and
/// reports their state and the lengths of queues. Confirms only what the store
/// has recorded. Must be used on one event loop.
class JobService {
public:
  using Done = std::function<void(CallAnswer)>;
  /// Notifies the leader of a job's key that was written.
  using OnWritten = std::function<void(const platform::KeyValue &)>;
  using OnDecision = std::function<void(const CallDecision &)>;
  /// Returns the time since which calls to the store have been failing, or the
  /// infinite future if they are not.
  using StoreFailingSince = std::function<absl::Time()>;
  /// Returns the longest time that the store recently took for an answer.
  using StoreLatency = std::function<absl::Duration()>;
  /// Returns whether the operator evacuates all failure domains of the site.
  using IsSiteCordoned = std::function<bool()>;
  /// Returns what all entries together may hold of accepted jobs.
  using MemoryLimit = std::function<JobMemoryLimit()>;
  /// Forwards a call to another entry. Returns false if no other entry can be
  /// asked.
  using Forward = std::function<bool(const CallRequest &, const OnForwarded &)>;
  /// Asks the leader for a job's state. Returns false if this entry is the
  /// leader or no leader is known.
  using AskLeader =
      std::function<bool(const CallRequest &, const OnLeaderAnswer &)>;

  JobService(utils::EventLoop &loop, const platform::Store &store,
             JobView &view, operators::ConfigFollower &config,
             JobServicePolicy policy, StoreFailingSince storeFailingSince,
             StoreLatency storeLatency, IsSiteCordoned isSiteCordoned,
             MemoryLimit memoryLimit, Forward forward, AskLeader askLeader,
             OnWritten onWritten, OnDecision onDecision);
  ~JobService();
  JobService(const JobService &) = delete;
  JobService &operator=(const JobService &) = delete;

  /// Stores spec under its id, with the organisation and queue that access
  /// identifies. Succeeds also if the organisation has submitted that id to the
  /// queue before.
  void submit(CallerAccess access, core::JobSpec spec, Done done);
  void state(CallerAccess access, std::string jobId, Done done);
  void cancel(CallerAccess access, std::string jobId, Done done);
  /// Serves a call that another entry could not serve, without forwarding it
  /// again.
  void serveForwarded(CallRequest request, Done done);
  /// The leading scheduler has ended the job, and the end is being recorded.
  void onEndPending(const std::string &jobId);
  /// The end of the job is recorded.
  void onEndRecorded(const std::string &jobId);
  /// The job's record was removed from the store.
  void onRecordRemoved(const std::string &jobId) { ReportedEnds.erase(jobId); }
  /// Number of forwarded calls that write, have not been answered, and may
  /// still be carried out.
  size_t unansweredWriteCount() const { return Unanswered.count(); }
  /// Counts the queue's jobs that have not started.
  void queueLength(CallerAccess access, Done done);

private:
  struct Call;
  using CallPtr = std::shared_ptr<Call>;
  using Continuation = std::function<void(const CallPtr &)>;

  static CallPtr newCall(CallRequest request, Done done);
  CallRequest requestOf(const CallPtr &call) const;
  void serve(const CallPtr &call);
  /// Begins what the call's name stands for.
  void carryOut(const CallPtr &call);
  /// Forwards the call unless it came from another entry or was forwarded
  /// before. Returns false if it was not forwarded.
  bool forward(const CallPtr &call);
  void onForwarded(const CallPtr &call, const std::optional<CallAnswer> &answer,
                   bool outcomeUnknown);
  /// Another entry's answer tells of newer configurations.
  void learnConfigsFrom(const CallAnswer &answer);
  /// Records what the end of a forwarded call tells of its writes.
  static void recordForwardedWrites(const CallPtr &call,
                                    const std::optional<CallAnswer> &answer,
                                    bool outcomeUnknown);
  /// Passes on the answer of another entry, unless more is known here.
  void relay(const CallPtr &call, const CallAnswer &answer);
  /// Records that other entries may carry out the call from now on. Returns
  /// nothing if it does not write.
  std::optional<UnansweredWrites::Id> trackForwardedWrite(const CallPtr &call);
  bool isAnswerUsable(const CallPtr &call, const CallAnswer &answer) const;
  /// Returns the newest configuration that an answer with result, given by this
  /// entry, is based on.
  core::ConfigStamp decidedBy(const CallPtr &call, CallResult result) const;
  /// Logs the call and sends the answer, unless the call was answered before.
  /// All answers to calls pass here. A refusal becomes Open while it may be
  /// untrue.
  void deliver(const CallPtr &call, CallAnswer answer);
  /// Returns what the log tells of the call and its answer.
  CallDecision decisionOf(const CallPtr &call,
                          std::optional<CallResult> withheld,
                          const CallAnswer &answer) const;
  /// Returns whether a refusal of the call may be untrue: a write of it, or of
  /// an earlier call for the job, may be stored.
  bool mayBeStored(const CallPtr &call, CallResult refusal);
  /// Returns whether the view shows that the submitted job is stored, so that
  /// the caller should be told so in place of result.
  bool isKnownToBeStored(const CallPtr &call, CallResult result) const;
  /// The record is one that a write of the call may have stored.
  static bool isWrittenBy(const CallPtr &call, const JobRecord &record);
  /// The record is of the job that the call submits.
  static bool isOwnJob(const CallPtr &call, const JobRecord &record);
  /// Serves a call that would end with result once more, after a delay, if its
  /// outcome is open and there is time. Returns false if not.
  bool serveAgain(const CallPtr &call, CallResult result);
  /// A write of the call is sent, which can only be done while the
  /// configuration has this revision.
  void recordWrite(const CallPtr &call, int64_t configRevision);
  /// From now on the call's job may be stored without this entry's knowledge.
  void recordJobPossiblyStored(const CallPtr &call);
  /// Once no write of the call is open, later calls need not know of it.
  void forgetIfSettled(const CallPtr &call);
  /// Asks the store what became of the call's open writes, and then serves the
  /// call again. Returns false if nothing can be learned that way.
  bool beginSettling(const CallPtr &call);
  /// Learns whether the call's job is stored while the configuration is the one
  /// known here.
  void checkNotStored(const CallPtr &call);
  void authoriseNewCall(const CallPtr &call, const Continuation &next);
  /// Checks queue and key, then calls next. With confirmed, the store has just
  /// confirmed the configuration, so that the call can be refused.
  void authorise(const CallPtr &call, bool confirmed, const Continuation &next);
  /// Serves a call for which the configuration here is too old.
  void useNewerConfig(const CallPtr &call, bool confirmed,
                      const Continuation &next);
  /// Has the store confirm the configuration, then authorises the call.
  void confirmConfig(const CallPtr &call, const Continuation &next);
  /// Answers the call from result and the view.
  void finish(const CallPtr &call, CallResult result, std::string detail = "");
  /// Too little time is left to send an answer before the deadline.
  bool isOutOfTime(const CallPtr &call) const;
  /// Time that the call may still spend on store calls; see MaxStoreTimeShare.
  absl::Duration storeTimeLeft(const CallPtr &call) const;
  /// Counts a try and returns the timeout of its store call.
  long nextTryTimeoutMs(const CallPtr &call) const;
  long firstTryTimeoutMs() const;
  /// Calls to the store succeed, or have been failing for less than
  /// StoreFailureGrace.
  bool isStoreUsable() const;
  bool isConfigUsable(const CallPtr &call) const;
  /// The store answers, and its watches can be relied on; see MaxViewAge.
  bool isViewFresh() const;
  int64_t retryAfterMs() const;
  /// Whether the entries have memory for one more job with this record.
  bool hasRoomFor(const JobRecord &record);
  /// The record is about to be written for the call, which counts once however
  /// often it is tried.
  void takeRoomFor(const CallPtr &call, const JobRecord &record);
  /// Time after which the call's job may find room.
  int64_t roomRetryAfterMs(const CallPtr &call);
  /// There is time to try the call once more.
  bool canRetry(const CallPtr &call);
  void retryStoreCall(const CallPtr &call, const Continuation &next);
  /// Answers a submit call: checks the job, then stores it or forwards the
  /// call.
  void validateAndStore(const CallPtr &call);
  void storeJob(const CallPtr &call);
  /// The record of the job that a call submits.
  static JobRecord newRecord(const CallPtr &call);
  void
  onStoreJobReply(const CallPtr &call,
                  const platform::StoreReply<platform::StoreTxnReply> &reply,
                  absl::Time sentAt, const std::string &value);
  /// Answers a submit call whose job was not written.
  void refuseUnstored(const CallPtr &call, bool hasRoom);
  platform::StoreTxn newJobTxn(const CallPtr &call) const;
  /// Whether the job of a submit call may be stored in place of this record.
  static bool mayReplace(const CallPtr &call,
                         const platform::KeyValue &existing);
  /// Answers a submit call whose id the store has.
  void finishWithStoredJob(const CallPtr &call,
                           const platform::KeyValue &existing);
  /// The store has the call's job, or a newer configuration than the one that
  /// the call was checked against.
  void onSubmitConflict(const CallPtr &call,
                        const std::vector<platform::KeyValue> &current,
                        absl::Time sentAt);
  /// Updates the view with a job's key as it is in the store now, and notifies
  /// the leader of it.
  void publishWrite(const platform::KeyValue &item);
  /// Answers a state call.
  void showState(const CallPtr &call);
  /// Reads the record of the call's job from the store into the view and calls
  /// next, or retry after a delay if the store did not answer.
  void fetchRecord(const CallPtr &call, const Continuation &retry,
                   const Continuation &next);
  /// Reads the progress of the call's job from the store into the view and
  /// answers the call.
  void fetchProgress(const CallPtr &call);
  void answerQueueLength(const CallPtr &call);
  int countWaitingJobs(const CallPtr &call) const;
  /// Answers a cancel call.
  void findJobToCancel(const CallPtr &call);
  void writeCancel(const CallPtr &call, JobRecord record, int64_t revision);
  void
  onCancelReply(const CallPtr &call, const platform::KeyValue &written,
                const platform::StoreReply<platform::StoreTxnReply> &reply);
  using OnRecordWritten = std::function<void(
      const platform::KeyValue &written,
      const platform::StoreReply<platform::StoreTxnReply> &reply)>;
  /// Writes the record of a cancel call's job in place of the one with this
  /// revision, or where there is none if that is zero.
  void writeRecord(const CallPtr &call, const JobRecord &record,
                   int64_t revision, long timeoutMs, OnRecordWritten done);
  /// Bars the id of a cancel call for which the store has no job, so that no
  /// write of a submission can take effect any more, and answers the call.
  void barId(const CallPtr &call);
  /// Writes a tombstone, in place of the one with this revision unless that is
  /// zero.
  void writeTombstone(const CallPtr &call, int64_t replacedRevision);
  /// Has the store confirm that it holds the tombstone with this revision.
  void confirmTombstone(const CallPtr &call, int64_t revision);
  void
  onTombstoneReply(const CallPtr &call,
                   const platform::StoreReply<platform::StoreTxnReply> &reply);
  void finishBarred(const CallPtr &call);
  /// Where the job of a call is, by the configuration it was checked against.
  static core::JobAddress addressOf(const CallPtr &call);
  /// The record is of a job that was submitted to the call's host and path.
  static bool isAtCalledPath(const CallPtr &call, const JobRecord &record);
  /// The same, or the job is in the queue that the call reaches.
  static bool isInCalledQueue(const CallPtr &call, const JobRecord &record);
  /// The record, of a job or a tombstone, is of the call's organisation or of
  /// the public queue that the call reaches.
  static bool isOfCaller(const CallPtr &call, const JobRecord &record);
  /// The call's caller may see the job and cancel it.
  static bool isAccessAllowed(const CallPtr &call, const JobRecord &record);
  /// Answers a state call. If the job has not ended in the view, asks the
  /// leader first, or else waits for a report or the record of its end; see
  /// EndReportDelay and EndRecordWaitLimit.
  void answerState(const CallPtr &call, const StoredJob &job);
  bool askLeader(const CallPtr &call);
  void onLeaderAnswer(const CallPtr &call,
                      const std::optional<CallAnswer> &answer);
  bool waitForEndRecord(const CallPtr &call);
  JobState visibleState(const StoredJob &job) const;
  /// Returns the answer of another entry to a state call with the job's final
  /// state filled in if that entry does not know it yet, but the view or an
  /// earlier answer of another entry contains it.
  CallAnswer withReportedEnd(const CallPtr &call, CallAnswer answer);

  utils::EventLoop &Loop;
  const platform::Store &StoreClient;
  JobView &View;
  operators::ConfigFollower &Config;
  const JobServicePolicy Policy;
  UnansweredWrites Unanswered;
  OpenJobs JobsPossiblyStored;
  const StoreFailingSince FailingSince;
  const StoreLatency RecentLatency;
  const IsSiteCordoned CheckSiteCordoned;
  const MemoryLimit JobMemory;
  AcceptanceBudget Budget;
  const Forward ForwardToEntry;
  const AskLeader QueryLeader;
  const OnWritten NotifyLeader;
  const OnDecision ReportDecision;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  /// State calls that wait for the end of a job to be recorded, by job. Has an
  /// item for each job whose end is being recorded, for EndRecordWaitLimit at
  /// most.
  std::map<std::string, std::vector<CallPtr>> CallsAwaitingEnd;
  /// Final states that were reported to callers from answers of other entries,
  /// by job, until the view has them too.
  std::map<std::string, JobState> ReportedEnds;
};

} // namespace oriolebay::jobs
