// Forwards calls that this entry cannot serve to another entry, and relays the
// answers.

#include "jobservicecall.h"

#include "utils/eventloop.h"

#include <algorithm>

namespace oriolebay::jobs {

namespace {

bool isWrite(const std::string &callName) {
  return callName == "submit" || callName == "cancel";
}

} // namespace

bool JobService::forward(const CallPtr &call) {
  if (call->FromOtherEntry || call->SentToOtherEntry)
    return false;
  call->SentToOtherEntry = true;
  const std::optional<UnansweredWrites::Id> write = trackForwardedWrite(call);
  const bool isForwarded = ForwardToEntry(
      requestOf(call),
      [this, alive = Alive, call,
       write](const std::optional<CallAnswer> &answer, bool outcomeUnknown) {
        if (!*alive)
          return;
        if (write && !outcomeUnknown)
          Unanswered.remove(*write);
        onForwarded(call, answer, outcomeUnknown);
      });
  if (write && !isForwarded)
    Unanswered.remove(*write);
  if (isForwarded)
    recordJobPossiblyStored(call);
  return isForwarded;
}

std::optional<UnansweredWrites::Id>
JobService::trackForwardedWrite(const CallPtr &call) {
  if (!isWrite(call->Name))
    return std::nullopt;
  return Unanswered.add(Loop.now(),
                        call->Access.Deadline + Policy.MaxForwardDelay);
}

CallRequest JobService::requestOf(const CallPtr &call) const {
  return {
      call->Name,
      call->Access,
      call->JobId,
      call->Spec,
      Config.newestKnown().Revision,
      Loop.now() - call->OldestConfirmation,
      call->Writes.openRevision(),
      {call->WritingOrganisations.begin(), call->WritingOrganisations.end()},
      call->AllowedBy};
}

// Whether another entry's answer may be passed on to the caller. A write that
// was carried out is always reported. Any other answer that is based on an
// older configuration than the newest one known here would contradict the newer
// one.
bool JobService::isAnswerUsable(const CallPtr &call,
                                const CallAnswer &answer) const {
  return (isWrite(call->Name) && answer.Result == CallResult::Ok) ||
         answer.DecidedBy.Revision >= Config.newestKnown().Revision;
}

void JobService::onForwarded(const CallPtr &call,
                             const std::optional<CallAnswer> &answer,
                             bool outcomeUnknown) {
  recordForwardedWrites(call, answer, outcomeUnknown);
  const bool isUsable = answer && answer->Result != CallResult::NotDone &&
                        isAnswerUsable(call, *answer);
  if (answer)
    learnConfigsFrom(*answer);
  if (isUsable) {
    relay(call, *answer);
    return;
  }
  const bool isUnansweredRead = outcomeUnknown && !isWrite(call->Name);
  finish(call, isUnansweredRead ? CallResult::Open : CallResult::NotDone,
         answer ? "no entry reaches the store"
                : "the store is not available here, nor any other entry");
}

// Callers who are told the answer rely on all that it was made of.
void JobService::learnConfigsFrom(const CallAnswer &answer) {
  Config.handleNewerConfig(std::max(answer.DecidedBy, answer.NewestKnown),
                           operators::ConfigNewsSource::ForwardedAnswer);
}

void JobService::recordForwardedWrites(const CallPtr &call,
                                       const std::optional<CallAnswer> &answer,
                                       bool outcomeUnknown) {
  if (answer && answer->Settled)
    call->Writes.settle();
  // An open answer holds for earlier calls for the job, too, although the other
  // entry has settled this one.
  const bool isLeftOpen = answer && answer->Result == CallResult::Open;
  if ((outcomeUnknown || isLeftOpen) && isWrite(call->Name))
    call->Writes.recordUnansweredForward();
}

void JobService::relay(const CallPtr &call, const CallAnswer &answer) {
  if (answer.Result != CallResult::Ok &&
      isKnownToBeStored(call, answer.Result)) {
    finish(call, CallResult::Ok, "its record is known here");
    return;
  }
  if (isRefusal(answer.Result) && beginSettling(call))
    return;
  // The other entry has settled this call, but not an earlier one.
  if (answer.Result == CallResult::Open && answer.Settled) {
    call->AwaitsEarlierCall = true;
    if (serveAgain(call, answer.Result))
      return;
  }
  CallAnswer relayed = withReportedEnd(call, answer);
  if (relayed.Detail.empty())
    relayed.Detail = "served by another entry";
  deliver(call, std::move(relayed));
}

} // namespace oriolebay::jobs
