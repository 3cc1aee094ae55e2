// Forwards calls that this entry cannot serve to another entry, and relays the
// answers.

#include "jobservicecall.h"

namespace oriolebay::jobs {

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
    Config.handleNewerConfig(answer->DecidedBy,
                             operators::ConfigNewsSource::ForwardedAnswer);
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

} // namespace oriolebay::jobs
