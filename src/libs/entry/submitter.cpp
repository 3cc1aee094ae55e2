#include "submitter.h"

#include "utils/steadyclock.h"

#include <absl/strings/str_cat.h>

#include <set>

namespace oriolebay::entry {

using core::JobAnswer;
using core::NotRunReason;
using core::Outcome;
using utils::steadyNow;

namespace {
constexpr int LeaderCallTimeoutMs = 1000;
const absl::Duration RetryPeriod = absl::Milliseconds(50);

// A leader knows only its own runs and those whose records it found, not a run
// that had ended under an earlier leader.
JobAnswer possiblyRun(const JobAnswer &refusal) {
  return {refusal.JobId,
          Outcome::Failed,
          NotRunReason::None,
          "the request may have run under an earlier leader, then: " +
              refusal.Detail,
          refusal.RetryAfterMs,
          {}};
}
} // namespace

Submitter::Submitter(const std::string &name, int64_t startTime,
                     std::string replyTo, absl::Duration noLeaderTimeout,
                     int64_t retryAfterMs, LocalSender localSender)
    : GangIdPrefix(absl::StrCat(name, "-", absl::Hex(startTime), "-")),
      ReplyTo(std::move(replyTo)), NoLeaderTimeout(noLeaderTimeout),
      RetryAfterMs(retryAfterMs), SendToOwnScheduler(std::move(localSender)) {}

int Submitter::waitingCount() const {
  absl::MutexLock lock(&Mu);
  return static_cast<int>(Waiters.size());
}

void Submitter::onLeadership(const platform::Leadership &leadership) {
  absl::MutexLock lock(&Mu);
  Leader = leadership;
  LeaderChannel =
      leadership.Mine || leadership.Epoch == 0
          ? nullptr
          : std::make_shared<endpoints::RequestChannel>(leadership.Address);
  Changed.SignalAll();
}

void Submitter::handleAnswer(const endpoints::Answered &answered) {
  absl::MutexLock lock(&Mu);
  auto it = Waiters.find(answered.GangId);
  if (it == Waiters.end())
    return;
  it->second->Answer = answered.Answer;
  it->second->Answered = true;
  Changed.SignalAll();
}

void Submitter::shutDown() {
  absl::MutexLock lock(&Mu);
  Stopping = true;
  Changed.SignalAll();
}

Submitter::Delivery Submitter::cancel(const endpoints::Cancel &cancel) {
  platform::Leadership leader;
  {
    absl::MutexLock lock(&Mu);
    leader = Leader;
  }
  return sendToLeader(cancel, leader);
}

Submitter::Delivery
Submitter::sendToLeader(const endpoints::Message &message,
                        const platform::Leadership &leader) {
  if (leader.Mine)
    return SendToOwnScheduler(message) ? Delivery::Accepted
                                       : Delivery::NotAccepted;
  std::shared_ptr<endpoints::RequestChannel> channel;
  {
    absl::MutexLock lock(&Mu);
    channel = LeaderChannel;
  }
  if (channel == nullptr)
    return Delivery::NotAccepted;
  const endpoints::PeerReply reply =
      endpoints::RequestChannel::call(channel, message, LeaderCallTimeoutMs);
  if (reply.NotSent)
    return Delivery::NotAccepted;
  if (!reply.Answer)
    return Delivery::Unknown;
  const auto *ack = reply.get<endpoints::Ack>();
  return ack != nullptr && ack->Ok ? Delivery::Accepted : Delivery::NotAccepted;
}

JobAnswer Submitter::submit(const core::JobRequest &job) {
  const std::string id = absl::StrCat(GangIdPrefix, NextGangNumber++);
  auto waiter = std::make_shared<Waiter>();
  const absl::Time arrived = steadyNow();
  // The leaders that may have accepted the gang. Once there is one, only a
  // leader knows the gang's state, and this entry must not answer "not run".
  std::set<int64_t> acceptingEpochs;
  int64_t acceptedEpoch = 0;
  Mu.Lock();
  Waiters[id] = waiter;
  while (!waiter->Answered) {
    const platform::Leadership leader = Leader;
    if (leader.Epoch != 0 && leader.Epoch != acceptedEpoch && !Stopping) {
      Mu.Unlock();
      const Delivery delivery =
          sendToLeader(endpoints::Submit{id, job, ReplyTo}, leader);
      Mu.Lock();
      if (delivery != Delivery::NotAccepted)
        acceptingEpochs.insert(leader.Epoch);
      if (delivery == Delivery::Accepted)
        acceptedEpoch = leader.Epoch;
    }
    if (waiter->Answered)
      break;
    if (acceptingEpochs.empty() &&
        (Stopping || steadyNow() - arrived > NoLeaderTimeout)) {
      waiter->Answer = core::notRun(
          job.Id,
          Stopping ? NotRunReason::ShuttingDown
                   : NotRunReason::StoreUnavailable,
          "no entry leads at present; the platform's store may be down",
          RetryAfterMs);
      break;
    }
    if (!acceptingEpochs.empty() && Stopping) {
      waiter->Answer = {job.Id,
                        Outcome::Failed,
                        NotRunReason::None,
                        "this entry had to stop before the answer came; the "
                        "request may have run",
                        RetryAfterMs,
                        {}};
      break;
    }
    // If the current leader has accepted the gang, wait for the answer or for a
    // new leader; otherwise retry soon.
    if (acceptedEpoch != 0 && acceptedEpoch == Leader.Epoch)
      Changed.Wait(&Mu);
    else
      Changed.WaitWithTimeout(&Mu, RetryPeriod);
  }
  JobAnswer answer = waiter->Answer;
  Waiters.erase(id);
  Mu.Unlock();
  const bool isRefusalOfOneLeader =
      answer.Result == Outcome::NotRun && acceptingEpochs.size() > 1;
  return isRefusalOfOneLeader ? possiblyRun(answer) : answer;
}

} // namespace oriolebay::entry
