// Sends answers to the entries that wait for them, and keeps the latest ones
// for entries that submit a gang again.
#include "entryservice.h"

#include "core/codec.h"
#include "eventlog/eventlog.h"

namespace oriolebay::entry {

using core::JobAnswer;
using core::Outcome;
using eventlog::Event;
using eventlog::logEvent;

namespace {
constexpr int EntryCallTimeoutMs = 1000;
constexpr int ReplyAttempts = 10;
// Number of answers that are kept for entries that submit a gang again.
constexpr size_t MaxRecentAnswers = 4096;
} // namespace

void EntryService::perform(const scheduler::AnswerCaller &answer) {
  if (answer.Answer.Result == Outcome::Done ||
      answer.Answer.Result == Outcome::Failed) {
    ++Finished;
    logEvent(Event::JobFinished, {{"job", answer.Request.Job.Id},
                                  {"outcome", answer.Answer.Result}});
  }
  // The answer of a non-idempotent gang must always be cached. An adopted
  // idempotent gang that has not been submitted to this leader can run again if
  // it is submitted later.
  if (!answer.Orphan || !answer.Request.Job.Idempotent)
    cacheAnswer(answer.Request.GangId, answer.Answer);
  sendAnswer(answer.Request.GangId, answer.Answer);
}

void EntryService::cacheAnswer(const std::string &gangId,
                               const JobAnswer &answer) {
  if (!RecentAnswers.emplace(gangId, answer).second)
    return;
  RecentAnswerOrder.push_back(gangId);
  if (RecentAnswerOrder.size() > MaxRecentAnswers) {
    RecentAnswers.erase(RecentAnswerOrder.front());
    RecentAnswerOrder.pop_front();
  }
}

// Sends the answer to the entry that submitted the gang last. Does nothing if
// that entry is unknown or has been sent an answer already.
void EntryService::sendAnswer(const std::string &gangId,
                              const JobAnswer &answer) {
  auto it = ReplyAddresses.find(gangId);
  if (it == ReplyAddresses.end())
    return;
  const Reply reply{it->second, {gangId, answer}};
  ReplyAddresses.erase(it);
  if (reply.Address == Server->address())
    Callers->handleAnswer(reply.Answer);
  else
    // The answer must not be dropped here, because a lost answer is requested
    // again only after a change of leader. The reply thread empties the queue
    // continuously.
    while (!Replies.tryPush(reply) && !Stopping)
      absl::SleepFor(absl::Milliseconds(1));
}

void EntryService::sendReplies() {
  std::map<std::string, std::shared_ptr<endpoints::RequestChannel>> channels;
  while (std::optional<Reply> reply = Replies.pop(absl::InfiniteDuration())) {
    auto &channel = channels[reply->Address];
    if (!channel)
      channel = std::make_shared<endpoints::RequestChannel>(reply->Address);
    bool acknowledged = false;
    for (int i = 0; i < ReplyAttempts && !acknowledged && !Stopping; ++i)
      acknowledged = endpoints::RequestChannel::call(channel, reply->Answer,
                                                     EntryCallTimeoutMs)
                         .Answer.has_value();
    // An entry that does not answer after all attempts has died, and its
    // callers' connections with it.
    if (!acknowledged)
      channels.erase(reply->Address);
  }
}

} // namespace oriolebay::entry
