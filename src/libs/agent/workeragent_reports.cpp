// Reports the worker to the leader, finds the leader, and applies its answers.
#include "workeragent.h"

#include "eventlog/eventlog.h"
#include "platform/election.h"
#include "utils/eventloop.h"

#include <algorithm>

namespace oriolebay::agent {

using endpoints::Message;
using eventlog::Event;
using eventlog::logEvent;

namespace {

constexpr int ReportTimeoutMs = 400;
/// Pauses before the report goes to another entry, and before the store is read
/// again.
constexpr absl::Duration ReportRetryPause = absl::Milliseconds(50);
constexpr absl::Duration StoreReadRetryPause = absl::Milliseconds(300);
/// Bounds of what a report contains of the texts that tasks have saved, and of
/// the ends. The others follow in later reports.
constexpr size_t MaxSavedBytesPerReport = size_t{64} * 1024;
constexpr size_t MaxEndBytesPerReport = size_t{64} * 1024;

} // namespace

void WorkerAgent::scheduleReport() {
  Loop.runAfter(Time.ReportInterval, [this, alive = Alive] {
    if (!*alive)
      return;
    logGrantEnd();
    report();
    scheduleReport();
  });
}

void WorkerAgent::logGrantEnd() {
  const bool ended = GrantEnd <= Loop.now();
  if (ended && !GrantEndLogged && GrantEnd != absl::InfinitePast())
    logEvent(Event::GrantEnded,
             {{"worker", State.Life.Id}, {"running", Running.size()}});
  GrantEndLogged = ended;
}

void WorkerAgent::reportSoon() {
  if (ReportQueued)
    return;
  ReportQueued = true;
  Loop.post([this, alive = Alive] {
    if (*alive)
      reportWhenDue();
  });
}

// A report that was sent in the meantime has told everything.
void WorkerAgent::reportWhenDue() {
  if (!ReportQueued)
    return;
  const absl::Duration pause = ReportPacer.remaining(Loop.now());
  if (pause == absl::ZeroDuration()) {
    report();
    return;
  }
  Loop.runAfter(pause, [this, alive = Alive] {
    if (*alive)
      reportWhenDue();
  });
}

void WorkerAgent::report() {
  ReportQueued = false;
  // An incarnation is reported only after its lists were received. Before that
  // they would appear empty.
  if (!State.Life.empty() && !ListsReceived)
    return;
  if (Leader.needsEntries())
    readEntriesFromStore();
  if (Leader.target().empty())
    return;
  endpoints::WorkerReport message;
  message.Agent = Settings.Name;
  message.AgentAddress = Peers.Address;
  message.Worker = State;
  const int64_t age = absl::ToInt64Milliseconds(Loop.now() - LastHeartbeatAt);
  message.Worker.RemainingMs = std::max(int64_t{0}, State.RemainingMs - age);
  message.EndedLives = EndedIncarnations;
  message.Reachable = Reachable;
  message.StateOutdated = !State.Life.empty() && isStateOutdated();
  message.Epoch = ListedEpoch;
  if (ListsReceived)
    message.ListedMsAgo = absl::ToInt64Milliseconds(Loop.now() - ListedAt);
  message.Speed = Speed;
  message.SpeedWithGangs = SpeedWithGangs;
  message.Running = SavedTurns.select(Running, MaxSavedBytesPerReport);
  message.Ended = firstEndsWithin(Ended, MaxEndBytesPerReport);
  message.EndsComplete = EndsComplete && message.Ended.size() == Ended.size();
  message.ReadsSharedPayloads = true;
  message.Results = Results;
  message.OpenStarts = Attempts.openStarts(Loop.now());
  message.StartsKnownForMs = absl::ToInt64Milliseconds(
      std::min(Loop.now() - StartedAt, endpoints::MaxOrderDelay));
  LastSequence = std::max(LastSequence + 1, absl::ToUnixMillis(Loop.now()));
  message.Sequence = LastSequence;
  ReportPacer.record(listBytes(message.Running, message.Ended), Loop.now());
  sendReport(Leader.target(), message);
  if (const std::optional<std::string> second = Leader.nextSecondTarget())
    sendReport(*second, message);
}

void WorkerAgent::sendReport(const std::string &address,
                             const endpoints::WorkerReport &message) {
  Peers.Call(address, message, ReportTimeoutMs,
             [this, alive = Alive, address, sent = Loop.now(),
              sequence = message.Sequence, incarnation = State.Life,
              resultsEnd = FirstResultNumber +
                           Results.size()](const endpoints::PeerReply &reply) {
               if (!*alive)
                 return;
               const auto *ack = reply.get<endpoints::ReportAck>();
               if (ack == nullptr)
                 onReportUnanswered(address);
               else if (incarnation == State.Life)
                 onReportAck(address, *ack, sent, sequence, resultsEnd);
             });
}

void WorkerAgent::onReportUnanswered(const std::string &address) {
  if (Leader.knowsLeader() && address == Leader.target())
    logEvent(Event::LeaderUnreachable, {{"leader", address}});
  Leader.onNoAnswer(address);
  reportAfter(ReportRetryPause);
}

void WorkerAgent::reportAfter(absl::Duration delay) {
  Loop.runAfter(delay, [this, alive = Alive] {
    if (*alive)
      reportSoon();
  });
}

std::vector<std::string>
WorkerAgent::parseEntryAddresses(const platform::StorePage &page) const {
  std::vector<std::string> addresses;
  for (const platform::KeyValue &item : page.Items)
    utils::handle<bool>(
        [&]() -> utils::Result<bool> {
          BOOST_LEAF_AUTO(entry, platform::decodeEntry(item));
          if (Peers.IsAddress(entry.Address))
            addresses.push_back(entry.Address);
          return true;
        },
        [&](const utils::Error &e) {
          logEvent(Event::RecordRefused,
                   {{"key", item.Key}, {"error", e.text()}});
          return false;
        });
  return addresses;
}

// A stale read is sufficient: entries that are gone do not answer, and those
// that answer know the other entries.
void WorkerAgent::readEntriesFromStore() {
  if (ReadingEntries)
    return;
  ReadingEntries = true;
  StoreClient.Range(
      EntryPrefix, "", platform::ReadMode::MaybeStale,
      [this,
       alive = Alive](const platform::StoreReply<platform::StorePage> &reply) {
        if (!*alive)
          return;
        std::vector<std::string> entries = parseEntryAddresses(reply.Value);
        const bool found = !entries.empty();
        Leader.setEntries(std::move(entries));
        Loop.runAfter(found ? absl::ZeroDuration() : StoreReadRetryPause,
                      [this, alive] {
                        if (!*alive)
                          return;
                        ReadingEntries = false;
                        reportSoon();
                      });
      });
}

void WorkerAgent::onReportAck(const std::string &address,
                              const endpoints::ReportAck &ack, absl::Time sent,
                              int64_t sequence, uint64_t resultsEnd) {
  const bool knewLeader = Leader.knowsLeader();
  const std::string previousTarget = Leader.target();
  const bool leads = Leader.onAnswer(address, ack);
  if (!leads) {
    if (Leader.target() != previousTarget || !Leader.knowsLeader())
      reportAfter(knewLeader ? absl::ZeroDuration() : ReportRetryPause);
    return;
  }
  if (!knewLeader || previousTarget != address)
    logEvent(Event::LeaderFollowed,
             {{"leader", address}, {"epoch", ack.Epoch}});
  const bool newEpoch = ack.Epoch > Epoch;
  Epoch = ack.Epoch;
  AnsweredReportAt = std::max(AnsweredReportAt, sent);
  if (ack.GrantMs > 0)
    extendGrant(sent, sequence, absl::Milliseconds(ack.GrantMs));
  // A report without a worker names no failure domain, and its answer is about
  // none.
  if (!State.Life.empty() && Cordon.apply(ack, sent))
    logCordonChange();
  adoptEarlierStarts(ack.EarlierStarts);
  Speed = ack.Speed;
  SpeedWithGangs = ack.SpeedWithGangs;
  const bool moreEndsRecorded = ack.SeenUpto > SeenUpto;
  SeenUpto = std::max(SeenUpto, ack.SeenUpto);
  Ended.erase(std::remove_if(Ended.begin(), Ended.end(),
                             [this](const endpoints::EndedTask &e) {
                               return e.Number <= SeenUpto;
                             }),
              Ended.end());
  // Answers can arrive out of order, so only the results that this report
  // contained are dropped.
  for (; FirstResultNumber < resultsEnd && !Results.empty();
       ++FirstResultNumber)
    Results.erase(Results.begin());
  // The worker has to receive the new fencing token before the new leader can
  // rely on its lists.
  if (newEpoch || (moreEndsRecorded && KeepAlivesInFlight == 0))
    sendKeepAlive(0);
}

void WorkerAgent::extendGrant(absl::Time sent, int64_t sequence,
                              absl::Duration grant) {
  if (sent > GrantEnd)
    GrantedSinceReport = sequence;
  GrantEnd = std::max(GrantEnd, sent + grant);
}

void WorkerAgent::adoptEarlierStarts(
    const std::vector<endpoints::EarlierStart> &starts) {
  for (const endpoints::EarlierStart &earlier : starts)
    if (State.Life.empty() || State.Life.Id == earlier.Life.Id)
      Attempts.adopt(earlier, Loop.now());
  if (!starts.empty())
    stopOpenStartsSoon();
}

void WorkerAgent::logCordonChange() const {
  logEvent(Cordon.isCordoned() ? Event::CordonInForce : Event::CordonOver,
           {{"worker", State.Life.Id},
            {"domain", State.FailureDomain},
            {"epoch", Epoch}});
}

} // namespace oriolebay::agent
