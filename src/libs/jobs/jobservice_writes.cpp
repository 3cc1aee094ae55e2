// Calls that write to the store: submitted jobs are stored, and jobs are marked
// as cancelled.

#include "jobservicecall.h"

#include "utils/eventloop.h"

#include <algorithm>

namespace oriolebay::jobs {

using platform::KeyValue;
using platform::StoreReply;
using platform::StoreStatus;
using platform::StoreTxnReply;

namespace {

std::optional<JobRecord> tryDecodeRecord(const std::string &bytes) {
  return utils::handle<std::optional<JobRecord>>(
      [&]() -> utils::Result<std::optional<JobRecord>> {
        BOOST_LEAF_AUTO(record, decodeRecord(bytes));
        return std::optional<JobRecord>(std::move(record));
      },
      [](const utils::Error &) { return std::optional<JobRecord>(); });
}

} // namespace

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

JobRecord JobService::newRecord(const CallPtr &call) {
  JobRecord record;
  record.Spec = call->Spec;
  record.Spec.Organisation = call->Organisation;
  record.Spec.Queue = call->Queue.Name;
  record.Spec.Address = addressOf(call);
  record.Service = call->Queue.Service;
  record.Priority = call->Queue.Priority;
  record.Attempts = std::max(1, call->Queue.Attempts);
  record.Stretch = call->Queue.Stretch;
  record.TargetLatencyMs = call->Queue.TargetLatencyMs;
  record.NeedsAdvice = call->Queue.NeedsAdvice;
  record.DecidedBy = call->CheckedConfig;
  return record;
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
  const JobRecord record = newRecord(call);
  // While no task can start anywhere, or the job finds no room, the transaction
  // writes nothing and only shows whether the job was accepted before.
  std::string value;
  const bool hasRoom = hasRoomFor(record);
  if (call->Writes.isOpen() || (hasRoom && !CheckSiteCordoned()))
    value = encode(record);
  platform::StoreTxn txn = newJobTxn(call);
  if (!value.empty()) {
    txn.Puts.push_back({specKey(call->JobId), value, 0});
    takeRoomFor(call, record);
    recordWrite(call, Config.condition().Revision);
    call->WritingOrganisations.insert(call->Organisation);
  }
  const absl::Time sentAt = Loop.now();
  StoreClient.Transact(std::move(txn),
                       [this, alive = Alive, call, sentAt, value,
                        hasRoom](const StoreReply<StoreTxnReply> &reply) {
                         if (!*alive)
                           return;
                         if (reply.ok() && value.empty())
                           refuseUnstored(call, hasRoom);
                         else
                           onStoreJobReply(call, reply, sentAt, value);
                       });
}

// Returns a transaction without writes on the conditions of a new job: its key
// does not exist, or holds what the job may replace, and the configuration is
// the one known here.
platform::StoreTxn JobService::newJobTxn(const CallPtr &call) const {
  platform::StoreTxn txn;
  txn.Expected.push_back({specKey(call->JobId), call->ReplacedRevision});
  txn.Expected.push_back(Config.condition());
  txn.TimeoutMs = nextTryTimeoutMs(call);
  return txn;
}

// The store has confirmed that the job was not accepted before.
void JobService::refuseUnstored(const CallPtr &call, bool hasRoom) {
  if (hasRoom)
    finish(call, CallResult::NotDone,
           "the operator evacuates all failure domains; nothing was done");
  else
    finish(call, CallResult::NoRoom,
           "the entries have no memory for one more job; ask again later");
}

void JobService::onStoreJobReply(const CallPtr &call,
                                 const StoreReply<StoreTxnReply> &reply,
                                 absl::Time sentAt, const std::string &value) {
  if (!value.empty())
    call->Writes.recordOutcome(reply.Status);
  if (reply.ok()) {
    call->Writes.settle();
    const int64_t created =
        call->ReplacedRevision == 0 ? reply.Value.Revision : 0;
    publishWrite(
        {specKey(call->JobId), value, created, reply.Value.Revision, 0});
    finish(call, CallResult::Ok);
    return;
  }
  if (reply.Status == StoreStatus::Conflict)
    onSubmitConflict(call, reply.Value.Current, sentAt);
  else
    retryStoreCall(call, [this](const CallPtr &c) { storeJob(c); });
}

void JobService::onSubmitConflict(const CallPtr &call,
                                  const std::vector<KeyValue> &current,
                                  absl::Time sentAt) {
  const std::string configKey = Config.condition().Key;
  const KeyValue *config = findItem(current, configKey);
  if (config != nullptr)
    Config.applyItem(*config, sentAt);
  const KeyValue *existing = findItem(current, specKey(call->JobId));
  const bool isNew = existing == nullptr
                         ? call->ReplacedRevision == 0
                         : existing->ModRevision == call->ReplacedRevision;
  if (!isNew && existing != nullptr && !mayReplace(call, *existing)) {
    finishWithStoredJob(call, *existing);
    return;
  }
  if (!isNew)
    call->ReplacedRevision = existing == nullptr ? 0 : existing->ModRevision;
  if (config != nullptr)
    call->Writes.recordNothingStored(config->ModRevision);
  // Without time left, retryStoreCall() only forwards the call or finishes it.
  if (isOutOfTime(call)) {
    retryStoreCall(call, {});
    return;
  }
  authorise(call, true, [this](const CallPtr &c) { storeJob(c); });
}

// A cancellation bars only what its caller could have cancelled.
bool JobService::mayReplace(const CallPtr &call, const KeyValue &existing) {
  const std::optional<JobRecord> record = tryDecodeRecord(existing.Value);
  return record && record->isTombstone() && !isOfCaller(call, *record);
}

// The id was submitted before, by this call or an earlier one. No write can
// replace it.
void JobService::finishWithStoredJob(const CallPtr &call,
                                     const KeyValue &existing) {
  const std::optional<JobRecord> record = tryDecodeRecord(existing.Value);
  View.applyItem(existing);
  call->Writes.settle();
  if (record && record->isTombstone()) {
    finish(call, CallResult::IdTaken,
           "this id was cancelled before its job was stored; choose another");
    return;
  }
  if (record && !isOwnJob(call, *record)) {
    finish(call, CallResult::IdTaken, "another job has this id");
    return;
  }
  NotifyLeader(existing);
  finish(call, CallResult::Ok);
}

void JobService::publishWrite(const KeyValue &item) {
  View.applyItem(item);
  NotifyLeader(item);
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
  barId(call);
}

// A submission without an answer may be stored later, on condition that its key
// does not exist. Other entries do not know of it, and this one may have
// forgotten.
void JobService::barId(const CallPtr &call) {
  const StoredJob *known = View.findTombstone(call->JobId);
  if (known == nullptr)
    writeTombstone(call, 0);
  else if (isOfCaller(call, known->Record))
    confirmTombstone(call, known->RecordRevision);
  else
    writeTombstone(call, known->RecordRevision);
}

void JobService::writeTombstone(const CallPtr &call, int64_t replacedRevision) {
  JobRecord record;
  record.Spec.Id = call->JobId;
  record.Spec.Organisation = call->Organisation;
  record.Spec.Queue = call->Queue.Name;
  record.Spec.Address = addressOf(call);
  record.Cancelled = true;
  record.DecidedBy = call->CheckedConfig;
  if (!hasRoomFor(record)) {
    finish(call, CallResult::NoRoom,
           "the entries have no memory for one more record; ask again later");
    return;
  }
  takeRoomFor(call, record);
  writeRecord(call, record, replacedRevision, nextTryTimeoutMs(call),
              [this, call](const KeyValue &written,
                           const StoreReply<StoreTxnReply> &reply) {
                if (reply.ok())
                  View.applyItem(written);
                onTombstoneReply(call, reply);
              });
}

// Calls done with the record as it is stored if the write was made.
void JobService::writeRecord(const CallPtr &call, const JobRecord &record,
                             int64_t revision, long timeoutMs,
                             OnRecordWritten done) {
  const std::string key = specKey(call->JobId);
  const std::string value = encode(record);
  platform::StoreTxn txn;
  txn.Expected.push_back({key, revision});
  txn.Puts.push_back({key, value, 0});
  txn.TimeoutMs = timeoutMs;
  recordWrite(call, CallWrites::NoConfig);
  StoreClient.Transact(
      std::move(txn),
      [this, alive = Alive, call, key, value,
       done = std::move(done)](const StoreReply<StoreTxnReply> &reply) {
        if (!*alive)
          return;
        call->Writes.recordOutcome(reply.Status);
        done({key, value, 0, reply.Value.Revision, 0}, reply);
      });
}

// The tombstone that is known here may have been removed.
void JobService::confirmTombstone(const CallPtr &call, int64_t revision) {
  platform::StoreTxn txn;
  txn.Expected.push_back({specKey(call->JobId), revision});
  txn.TimeoutMs = nextTryTimeoutMs(call);
  StoreClient.Transact(
      std::move(txn),
      [this, alive = Alive, call](const StoreReply<StoreTxnReply> &reply) {
        if (*alive)
          onTombstoneReply(call, reply);
      });
}

void JobService::onTombstoneReply(const CallPtr &call,
                                  const StoreReply<StoreTxnReply> &reply) {
  if (reply.ok()) {
    finishBarred(call);
    return;
  }
  if (reply.Status != StoreStatus::Conflict) {
    retryStoreCall(call, [this](const CallPtr &c) { findJobToCancel(c); });
    return;
  }
  const KeyValue *current = findItem(reply.Value.Current, specKey(call->JobId));
  if (current == nullptr) {
    writeTombstone(call, 0);
    return;
  }
  // A job, or a tombstone whose write got no answer or that another call has
  // written.
  View.applyItem(*current);
  if (View.find(call->JobId) != nullptr ||
      View.findTombstone(call->JobId) != nullptr)
    findJobToCancel(call);
  else
    finish(call, CallResult::NotDone, "the record is unreadable");
}

// No such job exists, and none that was submitted before will.
void JobService::finishBarred(const CallPtr &call) {
  call->Writes.settle();
  call->IsIdBarred = true;
  finish(call, CallResult::UnknownJob, "no such job; its id is barred");
}

void JobService::writeCancel(const CallPtr &call, JobRecord record,
                             int64_t revision) {
  record.Cancelled = true;
  record.DecidedBy = std::max(record.DecidedBy, call->CheckedConfig);
  writeRecord(call, record, revision, platform::StoreTxn().TimeoutMs,
              [this, call](const KeyValue &written,
                           const StoreReply<StoreTxnReply> &reply) {
                onCancelReply(call, written, reply);
              });
}

void JobService::onCancelReply(const CallPtr &call, const KeyValue &written,
                               const StoreReply<StoreTxnReply> &reply) {
  if (reply.ok()) {
    publishWrite(written);
    finish(call, CallResult::Ok);
    return;
  }
  if (reply.Status != StoreStatus::Conflict) {
    retryStoreCall(call, [this](const CallPtr &c) { findJobToCancel(c); });
    return;
  }
  // The record has changed: it was cancelled by another call, or by this one
  // with the store's answer lost. No write can replace it any more.
  call->Writes.settle();
  if (const KeyValue *current = findItem(reply.Value.Current, written.Key)) {
    publishWrite(*current);
    findJobToCancel(call);
    return;
  }
  finish(call, CallResult::UnknownJob, "no such job");
}

} // namespace oriolebay::jobs
