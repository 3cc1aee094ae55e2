// Writes of calls whose outcome is open: what has to be known before such a
// call may be refused.

#include "jobservicecall.h"

#include "utils/eventloop.h"

namespace oriolebay::jobs {

using platform::StoreReply;
using platform::StoreStatus;
using platform::StoreTxnReply;

void JobService::recordWrite(const CallPtr &call, int64_t configRevision) {
  call->Writes.recordSent(configRevision);
  recordJobPossiblyStored(call);
}

void JobService::recordJobPossiblyStored(const CallPtr &call) {
  if (call->Name == "submit" && !call->OpenJob)
    call->OpenJob = JobsPossiblyStored.add(
        call->JobId, call->Access.Deadline + Policy.MaxForwardDelay,
        Loop.now());
}

void JobService::forgetIfSettled(const CallPtr &call) {
  if (call->Writes.isOpen() || !call->OpenJob)
    return;
  JobsPossiblyStored.remove(*call->OpenJob);
  call->OpenJob.reset();
}

// A write that depends on an older configuration than the one known here can be
// settled: if the job is not stored now, it never will be.
bool JobService::beginSettling(const CallPtr &call) {
  if (!call->Writes.isOpen() || call->SettlingBegun || isOutOfTime(call) ||
      !call->Writes.canBeSettledBy(Config.stamp().Revision))
    return false;
  call->SettlingBegun = true;
  if (!isStoreUsable())
    return forward(call);
  checkNotStored(call);
  return true;
}

void JobService::checkNotStored(const CallPtr &call) {
  const int64_t configRevision = Config.condition().Revision;
  const absl::Time sentAt = Loop.now();
  StoreClient.Transact(
      newJobTxn(call), [this, alive = Alive, call, configRevision,
                        sentAt](const StoreReply<StoreTxnReply> &reply) {
        if (!*alive)
          return;
        if (reply.Status == StoreStatus::Conflict) {
          onSubmitConflict(call, reply.Value.Current, sentAt);
          return;
        }
        if (!reply.ok()) {
          retryStoreCall(call, [this](const CallPtr &c) { checkNotStored(c); });
          return;
        }
        call->Writes.recordNothingStored(configRevision);
        authorise(call, true, [this](const CallPtr &c) { storeJob(c); });
      });
}

} // namespace oriolebay::jobs
