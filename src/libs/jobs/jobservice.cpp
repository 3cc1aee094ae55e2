#include "jobservicecall.h"

#include "utils/eventloop.h"

#include <algorithm>

namespace oriolebay::jobs {

using platform::KeyValue;
using platform::StoreReply;
using platform::StoreStatus;
using platform::StoreTxnReply;

namespace {

/// How long calls to the store may fail before it counts as unavailable and
/// callers are refused at once if no other entry can be asked. A single lost
/// answer is not an outage.
constexpr absl::Duration StoreFailureGrace = absl::Milliseconds(250);

const KeyValue *findItem(const std::vector<KeyValue> &items,
                         const std::string &key) {
  auto it = std::find_if(items.begin(), items.end(),
                         [&](const KeyValue &i) { return i.Key == key; });
  return it == items.end() ? nullptr : &*it;
}

std::optional<JobRecord> tryDecodeRecord(const std::string &bytes) {
  return utils::handle<std::optional<JobRecord>>(
      [&]() -> utils::Result<std::optional<JobRecord>> {
        BOOST_LEAF_AUTO(record, decodeRecord(bytes));
        return std::optional<JobRecord>(std::move(record));
      },
      [](const utils::Error &) { return std::optional<JobRecord>(); });
}

} // namespace

JobService::JobService(utils::EventLoop &loop, const platform::Store &store,
                       JobView &view, operators::ConfigFollower &config,
                       JobServicePolicy policy,
                       StoreFailingSince storeFailingSince, Forward forward,
                       AskLeader askLeader, OnWritten onWritten,
                       OnDecision onDecision)
    : Loop(loop), StoreClient(store), View(view), Config(config),
      Policy(policy), FailingSince(std::move(storeFailingSince)),
      ForwardToEntry(std::move(forward)), QueryLeader(std::move(askLeader)),
      NotifyLeader(std::move(onWritten)),
      ReportDecision(std::move(onDecision)) {}

JobService::~JobService() { *Alive = false; }

void JobService::finish(const CallPtr &call, CallResult result,
                        std::string detail) {
  CallAnswer answer;
  answer.Result = result;
  answer.Detail = std::move(detail);
  answer.DecidedBy = call->CheckedConfig;
  if (result == CallResult::NotDone || result == CallResult::Open)
    answer.RetryAfterMs = retryAfterMs();
  if (result == CallResult::Ok && call->Name == "state") {
    const StoredJob *job = View.find(call->JobId);
    if (job != nullptr)
      answer.State = visibleState(*job);
  }
  if (result == CallResult::Ok && call->Name == "queue")
    answer.Waiting = View.waitingJobCount(call->Queue.Name);
  deliver(call, std::move(answer));
}

void JobService::deliver(const CallPtr &call, CallAnswer answer) {
  if (call->Finished)
    return;
  call->Finished = true;
  ReportDecision({call->Name, call->JobId, call->Queue.Name,
                  call->Queue.Priority, call->Organisation,
                  call->Name == "submit" ? core::summary(call->Spec) : "",
                  call->CheckedConfig.Version, loggedAgeMs(call->ConfigAge),
                  answer,
                  absl::ToInt64Milliseconds(Loop.now() - call->ReceivedAt)});
  call->Answer(std::move(answer));
}

bool JobService::forward(const CallPtr &call) {
  if (call->FromOtherEntry || call->SentToOtherEntry)
    return false;
  call->SentToOtherEntry = true;
  return ForwardToEntry(
      requestOf(call),
      [this, alive = Alive, call](const std::optional<CallAnswer> &answer,
                                  bool outcomeUnknown) {
        if (*alive)
          onForwarded(call, answer, outcomeUnknown);
      });
}

CallRequest JobService::requestOf(const CallPtr &call) const {
  return {call->Name, call->Access, call->JobId, call->Spec,
          Config.newestKnownRevision()};
}

// Whether another entry's answer may be passed on to the caller. A write that
// was carried out is always reported. Any other answer that is based on an
// older configuration than the newest one known here would contradict the newer
// one.
bool JobService::isAnswerUsable(const CallPtr &call,
                                const CallAnswer &answer) const {
  const bool isWrite = call->Name == "submit" || call->Name == "cancel";
  return (isWrite && answer.Result == CallResult::Ok) ||
         answer.DecidedBy.Revision >= Config.newestKnownRevision();
}

// Answers NotDone only if nothing can still be carried out, neither an earlier
// write of this entry nor a call to an entry that did not answer.
void JobService::onForwarded(const CallPtr &call,
                             const std::optional<CallAnswer> &answer,
                             bool outcomeUnknown) {
  call->OutcomeUnknown |= outcomeUnknown;
  if (answer)
    Config.handleNewerConfig(answer->DecidedBy);
  if (answer && answer->Result != CallResult::NotDone &&
      isAnswerUsable(call, *answer)) {
    CallAnswer relayed = withReportedEnd(call, *answer);
    if (relayed.Detail.empty())
      relayed.Detail = "served by another entry";
    deliver(call, std::move(relayed));
    return;
  }
  finish(call, call->OutcomeUnknown ? CallResult::Open : CallResult::NotDone,
         answer ? "no entry reaches the store"
                : "the store is not available here, nor any other entry");
}

bool JobService::isOutOfTime(const CallPtr &call) const {
  return Loop.now() + Policy.AnswerMargin >= call->Access.Deadline;
}

bool JobService::isStoreUsable() const {
  return Loop.now() - FailingSince() < StoreFailureGrace;
}

// Whether calls can be checked against this entry's configuration. If a newer
// one is known, this entry may have passed on an answer that was based on it,
// or another entry that has done so may be asking. An answer based on the older
// one would contradict that.
bool JobService::isConfigUsable() const {
  return Config.current() != nullptr && !Config.isOutdated() &&
         Config.age(Loop.now()) <= Policy.MaxConfigAge;
}

bool JobService::isViewFresh() const {
  return isStoreUsable() && Config.age(Loop.now()) < Policy.MaxViewAge;
}

int64_t JobService::retryAfterMs() const {
  const int64_t failingFor = absl::ToInt64Milliseconds(
      std::max(Loop.now() - FailingSince(), absl::ZeroDuration()));
  return std::clamp(failingFor, Policy.MinRetryAfterMs, Policy.MaxRetryAfterMs);
}

// Checks queue and key, then calls next. A call is refused only after the store
// has confirmed that the configuration is the newest one, as the key or queue
// may just have been added.
void JobService::authoriseNewCall(const CallPtr &call,
                                  const Continuation &next) {
  call->ReceivedAt = Loop.now();
  authorise(call, false, next);
}

void JobService::authorise(const CallPtr &call, bool confirmed,
                           const Continuation &next) {
  call->Config = Config.current();
  call->CheckedConfig = Config.stamp();
  call->ConfigAge = Config.age(Loop.now());
  if (!isConfigUsable()) {
    if (forward(call))
      return;
    if (!confirmed && Config.isOutdated() && isStoreUsable()) {
      confirmConfig(call, next);
      return;
    }
    finish(call, CallResult::NotDone,
           "this entry has no fresh configuration; try another entry");
    return;
  }
  const core::QueueConfig *queue =
      call->Config->route(call->Access.Host, call->Access.Path);
  const core::OrganisationConfig *owner = call->Config->owner(call->Access.Key);
  if (queue != nullptr && (queue->Public || owner != nullptr)) {
    call->Queue = *queue;
    call->Organisation = owner != nullptr ? owner->Name : "";
    next(call);
    return;
  }
  if (!confirmed) {
    if (isViewFresh() || !forward(call))
      confirmConfig(call, next);
    return;
  }
  if (queue == nullptr)
    finish(call, CallResult::UnknownQueue,
           "no such queue; check host and path");
  else
    finish(call, CallResult::BadKey, "unknown key; check the key in use");
}

void JobService::confirmConfig(const CallPtr &call, const Continuation &next) {
  const auto onConfirmed = [this, alive = Alive, call, next](bool ok) {
    if (!*alive)
      return;
    if (ok)
      authorise(call, true, next);
    else if (!forward(call))
      finish(call, CallResult::NotDone,
             "the configuration could not be confirmed; try another entry");
  };
  Config.confirm(onConfirmed, Policy.FirstTryTimeoutMs);
}

absl::Duration JobService::storeTimeLeft(const CallPtr &call) const {
  const absl::Duration totalTime = call->Access.Deadline - call->ReceivedAt;
  return call->ReceivedAt + totalTime * Policy.MaxStoreTimeShare - Loop.now();
}

long JobService::nextTryTimeoutMs(const CallPtr &call) const {
  const bool isFirstTry = call->Tries++ == 0;
  const auto left = absl::ToInt64Milliseconds(storeTimeLeft(call));
  return std::clamp<long>(left, Policy.MinTryTimeoutMs,
                          isFirstTry ? Policy.FirstTryTimeoutMs
                                     : Policy.MaxTryTimeoutMs);
}

// Handles a failed store call: tries to forward the call, else repeats the
// store call while there is time. After that the caller learns whether the call
// may have taken effect.
void JobService::retryStoreCall(const CallPtr &call, StoreStatus status,
                                const Continuation &next) {
  if (status == StoreStatus::Unknown)
    call->OutcomeUnknown = true;
  if (forward(call))
    return;
  const absl::Duration retryLimit = call->FromOtherEntry
                                        ? Policy.MaxForwardedRefusedTime
                                        : Policy.MaxRefusedTime;
  const bool canRetry = call->OutcomeUnknown
                            ? storeTimeLeft(call) > absl::ZeroDuration()
                            : Loop.now() - call->ReceivedAt < retryLimit;
  if (isOutOfTime(call) || !canRetry) {
    if (call->OutcomeUnknown)
      finish(call, CallResult::Open,
             "the store did not confirm in time; ask again with the same id");
    else
      finish(call, CallResult::NotDone,
             "the store is not available; nothing was done");
    return;
  }
  Loop.runAfter(Policy.RetryDelay, [alive = Alive, call, next] {
    if (*alive)
      next(call);
  });
}

JobService::CallPtr JobService::newCall(CallRequest request, Done done) {
  auto call = std::make_shared<Call>();
  call->Name = std::move(request.Name);
  call->Access = std::move(request.Access);
  call->JobId = std::move(request.JobId);
  call->Spec = std::move(request.Spec);
  call->Answer = std::move(done);
  return call;
}

void JobService::serve(const CallPtr &call) {
  if (call->Name == "submit")
    authoriseNewCall(call, [this](const CallPtr &c) { validateAndStore(c); });
  else if (call->Name == "state")
    authoriseNewCall(call, [this](const CallPtr &c) { showState(c); });
  else if (call->Name == "cancel")
    authoriseNewCall(call, [this](const CallPtr &c) { findJobToCancel(c); });
  else
    authoriseNewCall(call, [this](const CallPtr &c) { answerQueueLength(c); });
}

void JobService::serveForwarded(CallRequest request, Done done) {
  Config.handleNewerConfig({request.OldestRevision, 0});
  const CallPtr call = newCall(std::move(request), std::move(done));
  call->FromOtherEntry = true;
  serve(call);
}

void JobService::submit(CallerAccess access, core::JobSpec spec, Done done) {
  const std::string id = spec.Id;
  serve(newCall({"submit", std::move(access), id, std::move(spec)},
                std::move(done)));
}

void JobService::state(CallerAccess access, std::string jobId, Done done) {
  serve(newCall({"state", std::move(access), std::move(jobId), {}},
                std::move(done)));
}

void JobService::cancel(CallerAccess access, std::string jobId, Done done) {
  serve(newCall({"cancel", std::move(access), std::move(jobId), {}},
                std::move(done)));
}

void JobService::queueLength(CallerAccess access, Done done) {
  serve(newCall({"queue", std::move(access), "", {}}, std::move(done)));
}

void JobService::validateAndStore(const CallPtr &call) {
  const std::string problem = core::validate(call->Spec);
  if (!problem.empty()) {
    finish(call, CallResult::Invalid, problem);
    return;
  }
  if (isStoreUsable()) {
    storeJob(call);
    return;
  }
  if (!forward(call))
    finish(call, CallResult::NotDone,
           "the store is not available; nothing was done");
}

// Writes the job on condition that its key does not exist and that the
// configuration the call was checked against is still the newest.
void JobService::storeJob(const CallPtr &call) {
  if (call->Config != Config.current()) {
    authorise(call, false, [this](const CallPtr &c) { storeJob(c); });
    return;
  }
  // This version does not request tickets from the advice service, and workers
  // refuse tasks without one: once accepted, the job could not start anywhere.
  if (call->Queue.NeedsAdvice) {
    finish(call, CallResult::Invalid,
           "jobs of this queue need placement advice, which is not supported; "
           "use a queue without advice");
    return;
  }
  JobRecord record;
  record.Spec = call->Spec;
  record.Spec.Organisation = call->Organisation;
  record.Spec.Queue = call->Queue.Name;
  record.Service = call->Queue.Service;
  record.Priority = call->Queue.Priority;
  record.Attempts = std::max(1, call->Queue.Attempts);
  record.Stretch = call->Queue.Stretch;
  record.TargetLatencyMs = call->Queue.TargetLatencyMs;
  record.NeedsAdvice = call->Queue.NeedsAdvice;
  std::string value = encode(record);
  platform::StoreTxn txn;
  txn.Expected.push_back({specKey(call->JobId), 0});
  txn.Expected.push_back(Config.condition());
  txn.Puts.push_back({specKey(call->JobId), value, 0});
  txn.TimeoutMs = nextTryTimeoutMs(call);
  const absl::Time sentAt = Loop.now();
  StoreClient.Transact(std::move(txn),
                       [this, alive = Alive, call, sentAt,
                        value](const StoreReply<StoreTxnReply> &reply) {
                         if (*alive)
                           onStoreJobReply(call, reply, sentAt, value);
                       });
}

void JobService::onStoreJobReply(const CallPtr &call,
                                 const StoreReply<StoreTxnReply> &reply,
                                 absl::Time sentAt, const std::string &value) {
  const std::string key = specKey(call->JobId);
  if (reply.ok()) {
    const KeyValue item{key, value, reply.Value.Revision, reply.Value.Revision,
                        0};
    View.applyItem(item);
    NotifyLeader(item);
    finish(call, CallResult::Ok);
    return;
  }
  if (reply.Status != StoreStatus::Conflict) {
    retryStoreCall(call, reply.Status,
                   [this](const CallPtr &c) { storeJob(c); });
    return;
  }
  if (const KeyValue *existing = findItem(reply.Value.Current, key)) {
    // The id was submitted before, by this call or an earlier one. That is the
    // same job if it is of the same organisation.
    const std::optional<JobRecord> record = tryDecodeRecord(existing->Value);
    View.applyItem(*existing);
    if (record && record->Spec.Organisation != call->Organisation) {
      finish(call, CallResult::IdTaken, "another job has this id");
      return;
    }
    NotifyLeader(*existing);
    finish(call, CallResult::Ok);
    return;
  }
  if (const KeyValue *config =
          findItem(reply.Value.Current, Config.condition().Key))
    Config.applyItem(*config, sentAt);
  // Without time left, retryStoreCall() only forwards the call or finishes it.
  if (isOutOfTime(call)) {
    retryStoreCall(call, StoreStatus::Refused, {});
    return;
  }
  authorise(call, true, [this](const CallPtr &c) { storeJob(c); });
}

bool JobService::isAccessAllowed(const CallPtr &call,
                                 const JobRecord &record) const {
  return record.Spec.Queue == call->Queue.Name &&
         (call->Queue.Public || record.Spec.Organisation == call->Organisation);
}

void JobService::answerQueueLength(const CallPtr &call) {
  if (View.isComplete())
    finish(call, CallResult::Ok);
  else
    finish(call, CallResult::NotDone, "this entry has not read the jobs yet");
}

void JobService::findJobToCancel(const CallPtr &call) {
  if (const StoredJob *job = View.find(call->JobId)) {
    if (!isAccessAllowed(call, job->Record))
      finish(call, CallResult::UnknownJob, "no such job");
    else if (isFinal(visibleState(*job)))
      finish(call, CallResult::Ok);
    else
      writeCancel(call, job->Record, job->RecordRevision);
    return;
  }
  fetchRecord(
      call, [this](const CallPtr &c) { findJobToCancel(c); },
      [this](const CallPtr &c) {
        if (View.find(c->JobId) != nullptr)
          findJobToCancel(c);
        else
          finish(c, CallResult::NotDone, "the record is unreadable");
      });
}

void JobService::writeCancel(const CallPtr &call, JobRecord record,
                             int64_t revision) {
  record.Cancelled = true;
  const std::string key = specKey(call->JobId);
  const std::string value = encode(record);
  platform::StoreTxn txn;
  txn.Expected.push_back({key, revision});
  txn.Puts.push_back({key, value, 0});
  StoreClient.Transact(
      std::move(txn), [this, alive = Alive, call, key,
                       value](const StoreReply<StoreTxnReply> &reply) {
        if (!*alive)
          return;
        if (reply.ok()) {
          const KeyValue item{key, value, 0, reply.Value.Revision, 0};
          View.applyItem(item);
          NotifyLeader(item);
          finish(call, CallResult::Ok);
          return;
        }
        if (reply.Status != StoreStatus::Conflict) {
          retryStoreCall(call, reply.Status,
                         [this](const CallPtr &c) { findJobToCancel(c); });
          return;
        }
        // The record has changed: it was cancelled by another call, or by this
        // one with the store's answer lost.
        if (const KeyValue *current = findItem(reply.Value.Current, key)) {
          View.applyItem(*current);
          NotifyLeader(*current);
          findJobToCancel(call);
          return;
        }
        finish(call, CallResult::UnknownJob, "no such job");
      });
}

} // namespace oriolebay::jobs
