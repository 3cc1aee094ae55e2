#include "callforwarder.h"

#include "eventlog/eventlog.h"
#include "utils/eventloop.h"

#include <algorithm>

namespace oriolebay::entry {

using eventlog::Event;
using eventlog::logEvent;

namespace {

/// Time for one entry to answer. It covers a call that the store answers in a
/// few milliseconds, and the first try of a store call whose answer was lost
/// (300 ms).
constexpr int AnswerTimeoutMs = 400;
/// Time for which an entry that did not answer gets no further call. If no
/// other entry answers either, callers are refused at once during this time.
constexpr absl::Duration EntryRetryDelay = absl::Seconds(1);
/// Maximum number of entries that are tried for one call.
constexpr size_t MaxEntriesPerCall = 2;

// An entry that refuses the message has not executed the call: it has stopped,
// or it cannot read the message.
bool isPossiblyExecuted(const endpoints::PeerReply &reply) {
  const auto *ack = reply.get<endpoints::Ack>();
  const bool isRefused = ack != nullptr && !ack->Ok;
  return !reply.NotSent && !isRefused;
}

void logUnanswered(const endpoints::ForwardedCall &call,
                   const std::string &entry, absl::Duration waited,
                   const endpoints::PeerReply &reply) {
  logEvent(Event::CallUnanswered,
           {{"call", call.Call},
            {"job", call.Job},
            {"entry", entry},
            {"waited_ms", absl::ToInt64Milliseconds(waited)},
            {"newest_revision", call.OldestRevision},
            {"possibly_executed", isPossiblyExecuted(reply)}});
}

} // namespace

/// A call that is being forwarded.
struct CallForwarder::PendingCall {
  endpoints::ForwardedCall Call;
  OnAnswer Callback;
  absl::Time Deadline;
  std::vector<std::string> Candidates;
  size_t TriedCount = 0;
  /// An entry may have executed the call although it has not answered it.
  bool PossiblyExecuted = false;
};

CallForwarder::CallForwarder(utils::EventLoop &loop,
                             const endpoints::Peers &peers,
                             OtherEntries otherEntries)
    : Loop(loop), Peers(peers), ListOtherEntries(std::move(otherEntries)) {}

CallForwarder::~CallForwarder() { *Alive = false; }

std::vector<std::string> CallForwarder::candidates() const {
  std::vector<std::string> addresses = ListOtherEntries();
  addresses.erase(std::remove_if(addresses.begin(), addresses.end(),
                                 [this](const std::string &address) {
                                   auto it = RetryTimes.find(address);
                                   return it != RetryTimes.end() &&
                                          Loop.now() < it->second;
                                 }),
                  addresses.end());
  addresses.resize(std::min(addresses.size(), MaxEntriesPerCall));
  return addresses;
}

bool CallForwarder::forward(const endpoints::ForwardedCall &call,
                            OnAnswer onAnswer) {
  auto pending = std::make_shared<PendingCall>();
  pending->Call = call;
  pending->Callback = std::move(onAnswer);
  pending->Deadline = Loop.now() + absl::Milliseconds(call.TimeLeftMs);
  pending->Candidates = candidates();
  if (pending->Candidates.empty())
    return false;
  tryNextEntry(pending);
  return true;
}

// Sends the call to the next candidate, or reports that none answered.
void CallForwarder::tryNextEntry(const std::shared_ptr<PendingCall> &pending) {
  const absl::Duration left = pending->Deadline - Loop.now();
  if (pending->TriedCount == pending->Candidates.size() ||
      left <= absl::ZeroDuration()) {
    pending->Callback(std::nullopt, pending->PossiblyExecuted);
    return;
  }
  const std::string address = pending->Candidates[pending->TriedCount++];
  pending->Call.TimeLeftMs = absl::ToInt64Milliseconds(left);
  const absl::Time sentAt = Loop.now();
  Peers.Call(address, pending->Call, AnswerTimeoutMs,
             [this, alive = Alive, pending, address,
              sentAt](const endpoints::PeerReply &reply) {
               if (!*alive)
                 return;
               const auto *answer = reply.get<endpoints::ForwardedAnswer>();
               if (answer != nullptr) {
                 pending->Callback(*answer, pending->PossiblyExecuted);
                 return;
               }
               pending->PossiblyExecuted |= isPossiblyExecuted(reply);
               logUnanswered(pending->Call, address, Loop.now() - sentAt,
                             reply);
               RetryTimes[address] = Loop.now() + EntryRetryDelay;
               tryNextEntry(pending);
             });
}

} // namespace oriolebay::entry
