// Checks calls against the configuration: queue and key, and whether the
// configuration known here is new enough to decide.

#include "jobservicecall.h"

#include "utils/eventloop.h"

#include <algorithm>

namespace oriolebay::jobs {

// Checks queue and key, then calls next. A call is refused only after the store
// has confirmed that the configuration is the newest one, as the key or queue
// may just have been added.
void JobService::authoriseNewCall(const CallPtr &call,
                                  const Continuation &next) {
  call->ReceivedAt = Loop.now();
  Unanswered.removeEndedBy(
      std::max(Config.confirmedAt(), Loop.now() - Policy.MaxConfigAge));
  call->OldestConfirmation =
      std::max(Unanswered.oldestConfirmation(call->ReceivedAt),
               call->ReceivedAt - call->MaxConfigAge);
  authorise(call, false, next);
}

// Whether the call can be checked against this entry's configuration. If a
// newer one is known, this entry may have passed on an answer that was based on
// it, or another entry that has done so may be asking. An answer based on the
// older one would contradict that. The same holds if a newer one may have been
// used for a call that was forwarded.
bool JobService::isConfigUsable(const CallPtr &call) const {
  return Config.current() != nullptr && !Config.isOutdated() &&
         Config.age(Loop.now()) <= Policy.MaxConfigAge &&
         Config.confirmedAt() >= call->OldestConfirmation;
}

void JobService::authorise(const CallPtr &call, bool confirmed,
                           const Continuation &next) {
  call->Config = Config.current();
  call->CheckedConfig = Config.stamp();
  call->ConfigAge = Config.age(Loop.now());
  call->IsAuthorised = false;
  if (!isConfigUsable(call)) {
    useNewerConfig(call, confirmed, next);
    return;
  }
  const core::QueueConfig *queue =
      call->Config->route(call->Access.Host, call->Access.Path);
  const core::OrganisationConfig *owner = call->Config->owner(call->Access.Key);
  if (queue != nullptr && (queue->Public || owner != nullptr)) {
    call->Queue = *queue;
    call->Organisation = owner != nullptr ? owner->Name : "";
    call->IsAuthorised = true;
    call->AllowedBy = std::max(call->AllowedBy, call->CheckedConfig);
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

// The call can only be decided by a newer configuration than this entry's: has
// the store asked for it if that answers, else another entry.
void JobService::useNewerConfig(const CallPtr &call, bool confirmed,
                                const Continuation &next) {
  if (!confirmed && isViewFresh()) {
    confirmConfig(call, next);
    return;
  }
  if (forward(call))
    return;
  const bool needsNews =
      Config.isOutdated() || Config.confirmedAt() < call->OldestConfirmation;
  if (!confirmed && needsNews && isStoreUsable()) {
    confirmConfig(call, next);
    return;
  }
  finish(call, CallResult::NotDone,
         "this entry has no fresh configuration; try another entry");
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
  Config.confirm(onConfirmed, firstTryTimeoutMs());
}

core::JobAddress JobService::addressOf(const CallPtr &call) {
  return {call->Queue.Host, call->Queue.Prefix, call->Access.Path};
}

bool JobService::isAtCalledPath(const CallPtr &call, const JobRecord &record) {
  const core::JobAddress &address = record.Spec.Address;
  return address.Host == call->Access.Host && address.Path == call->Access.Path;
}

bool JobService::isInCalledQueue(const CallPtr &call, const JobRecord &record) {
  return isAtCalledPath(call, record) ||
         call->Config->isInQueue(record.Spec, call->Queue);
}

// Operators may rename, move, split and join queues: what tells jobs apart for
// their callers is their organisation and the id. Without a key, the queue has
// to be one whose jobs anybody may see.
bool JobService::isOfCaller(const CallPtr &call, const JobRecord &record) {
  return record.Spec.Organisation == call->Organisation ||
         (call->Queue.Public && isInCalledQueue(call, record));
}

// A job without an organisation was submitted to a public queue, whatever that
// is now.
bool JobService::isAccessAllowed(const CallPtr &call, const JobRecord &record) {
  return record.Spec.Organisation.empty() || isOfCaller(call, record);
}

} // namespace oriolebay::jobs
