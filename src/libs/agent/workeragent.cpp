#include "workeragent.h"

#include "eventlog/eventlog.h"
#include "platform/election.h"
#include "utils/eventloop.h"

#include <algorithm>

namespace oriolebay::agent {

using endpoints::CallOutcome;
using endpoints::CallStatus;
using endpoints::HoldReply;
using endpoints::Message;
using eventlog::Event;
using eventlog::logEvent;

namespace {

/// How long the worker may keep a look open without an end to tell: the leader
/// judges by the progress that looks show whether a run stands still.
constexpr int64_t LookWaitMs = 500;
/// Pause before a worker that did not answer is looked at again.
constexpr absl::Duration LookAgain = absl::Milliseconds(150);
/// While the worker lists ends that are not taken note of, it answers each look
/// at once, so that the agent has to come back for the next end. The first
/// looks come quickly, as ends come together, and room stands empty until the
/// leader hears of them. The leader takes note within half a second unless the
/// store is away; then looks are rare again.
constexpr absl::Duration LookWithNewEnds = absl::Milliseconds(15);
constexpr absl::Duration LookWithOldEnds = absl::Milliseconds(100);
constexpr absl::Duration EndsAreNew = absl::Milliseconds(600);
/// Looks that may fail in a row before the worker counts as not reachable.
constexpr int MostFailures = 3;
constexpr int MostNotThere = 4;
constexpr int ReportTimeoutMs = 400;
/// Pause before another entry is tried, and before the store is read again.
constexpr absl::Duration ReportAgain = absl::Milliseconds(50);
constexpr absl::Duration AskStoreAgain = absl::Milliseconds(300);

int64_t toMs(absl::Time t) {
  return absl::ToInt64Milliseconds(t - absl::UnixEpoch());
}

} // namespace

WorkerAgent::WorkerAgent(utils::EventLoop &loop, platform::Store store,
                         endpoints::Peers peers, endpoints::WorkerCalls worker,
                         settings::NodeSettings settings,
                         std::string entryPrefix, OnConcluded concluded)
    : Loop(loop), Peers(std::move(peers)), Worker(std::move(worker)),
      Settings(std::move(settings)), Time(settings::deriveTiming(Settings)),
      Calls(std::move(store)), EntryPrefix(std::move(entryPrefix)),
      Concludes(std::move(concluded)) {
  Peers.Serve([this, alive = Alive](const Message &m, const auto &respond) {
    if (*alive)
      respond(onMessage(m));
    else
      respond(endpoints::Ack{false, "this agent has stopped"});
  });
}

WorkerAgent::~WorkerAgent() { *Alive = false; }

void WorkerAgent::start() { reportLater(); }

AgentStatus WorkerAgent::status() const {
  AgentStatus s;
  s.Reachable = Reachable && !State.Life.empty();
  s.Draining = State.Draining;
  s.KnowsLeader = Leader.knowsLeader();
  s.LeaderEpoch = Epoch;
  s.Running = Running.size();
  s.EndsOpen = Ended.size();
  if (GrantEnd > Loop.now())
    s.GrantLeftSeconds = absl::ToDoubleSeconds(GrantEnd - Loop.now());
  return s;
}

// ---- Keeping its tasks alive, and looking ----

void WorkerAgent::noteClock(int64_t clockMs) {
  // The answer may have been on its way for a while: the worker's clock is
  // then further on than this says, and what is held ends the sooner.
  if (clockMs <= 0)
    return;
  ClockOffset = clockMs - toMs(Loop.now());
  Sent.answered(Loop.now());
}

int64_t WorkerAgent::untilMs() const {
  if (!ClockOffset || GrantEnd <= Loop.now())
    return 0;
  const absl::Time latest =
      Loop.now() + absl::Milliseconds(Settings.Bounds.HoldMaxMs);
  return toMs(std::min(GrantEnd, latest)) + *ClockOffset;
}

void WorkerAgent::hold(int64_t waitMs) {
  if (State.Life.empty())
    return;
  const endpoints::HoldCall call = holdCall(waitMs);
  const uint64_t number = ++HoldsSent;
  ++HoldsOut;
  Worker.Hold(call, [this, alive = Alive, number, life = State.Life,
                     epoch = Epoch](const HoldReply &reply) {
    if (!*alive || life != State.Life)
      return;
    --HoldsOut;
    onHeld(number, epoch, reply);
  });
}

endpoints::HoldCall WorkerAgent::holdCall(int64_t waitMs) const {
  endpoints::HoldCall call;
  call.Life = State.Life;
  call.UntilMs = untilMs();
  call.Epoch = Epoch;
  // A look may reach the next life under the same id, whose ends count anew: it
  // says up to which number they can be forgotten only while there are some,
  // and does not wait then.
  const bool canForget = OldestEnd != 0 && OldestEnd <= SeenUpto;
  call.SeenUpto = canForget ? SeenUpto : 0;
  call.WaitMs = canForget ? 0 : waitMs;
  return call;
}

void WorkerAgent::holdLater(absl::Duration delay) {
  if (HoldQueued)
    return;
  HoldQueued = true;
  Loop.runAfter(delay, [this, alive = Alive] {
    if (!*alive)
      return;
    HoldQueued = false;
    if (HoldsOut == 0)
      hold(Stopped.empty() ? LookWaitMs : 0);
  });
}

void WorkerAgent::onHeld(uint64_t number, int64_t epoch,
                         const HoldReply &reply) {
  const CallOutcome &outcome = reply.Outcome;
  if (isOther(outcome, State.Life)) {
    endLife("another life answered", EndSign::OtherLife);
    return;
  }
  // A process that listened here has ended. A few in a row, so that a moment
  // without a listener is not taken for it.
  NotThere = outcome.Status == CallStatus::NotThere ? NotThere + 1 : 0;
  if (outcome.Status != CallStatus::Ok)
    Sent.unanswered(Loop.now());
  if (NotThere >= MostNotThere) {
    endLife("nothing listens at its address", EndSign::NobodyListens);
    return;
  }
  if (outcome.Status != CallStatus::Ok) {
    notReached(outcome.Detail);
    holdLater(LookAgain);
    return;
  }
  noteClock(outcome.ClockMs);
  HoldFailures = 0;
  bool news = !Reachable;
  if (!Reachable)
    logEvent(Event::WorkerReachable, {{"worker", State.Life.Id}});
  Reachable = true;
  // Answers on different connections overtake each other.
  if (number > HoldsTaken) {
    HoldsTaken = number;
    Listed = true;
    ListedAt = Loop.now();
    news |= epoch > ListedEpoch || reply.Ended != Ended ||
            reply.Running.size() != Running.size();
    Running = reply.Running;
    for (const endpoints::RunningTask &r : Running)
      Sent.listed({r.Task, r.Run});
    for (const endpoints::EndedTask &e : reply.Ended)
      Sent.listed({e.Task, e.Run});
    if (!reply.Ended.empty() && reply.Ended != Ended)
      EndedAt = Loop.now();
    Ended = reply.Ended;
    OldestEnd = Ended.empty() ? 0 : Ended.front().Number;
    ListedEpoch = epoch;
    settleStops(number);
  }
  if (news)
    reportSoon();
  // The worker answers at once while it has ends to tell that were not taken
  // note of; the leader's answer starts the next look.
  holdLater(pauseBeforeLook());
}

absl::Duration WorkerAgent::pauseBeforeLook() const {
  if (Ended.empty())
    return absl::ZeroDuration();
  return Loop.now() - EndedAt < EndsAreNew ? LookWithNewEnds : LookWithOldEnds;
}

void WorkerAgent::notReached(const std::string &why) {
  if (++HoldFailures < MostFailures || !Reachable)
    return;
  Reachable = false;
  logEvent(Event::WorkerUnreachable, {{"worker", State.Life.Id}, {"why", why}});
  reportSoon();
}

// ---- Reports ----

void WorkerAgent::reportLater() {
  Loop.runAfter(Time.ReportEvery, [this, alive = Alive] {
    if (!*alive)
      return;
    noteGrantEnd();
    report();
    reportLater();
  });
}

void WorkerAgent::noteGrantEnd() {
  const bool ended = GrantEnd <= Loop.now();
  if (ended && !GrantEndTold && GrantEnd != absl::InfinitePast())
    logEvent(Event::GrantEnded,
             {{"worker", State.Life.Id}, {"running", Running.size()}});
  GrantEndTold = ended;
}

void WorkerAgent::reportSoon() {
  if (ReportQueued)
    return;
  ReportQueued = true;
  Loop.post([this, alive = Alive] {
    if (*alive)
      report();
  });
}

void WorkerAgent::report() {
  ReportQueued = false;
  // A life is reported once it has been looked at; before that its lists
  // would seem empty.
  if (!State.Life.empty() && !Listed)
    return;
  if (Leader.wantsEntries())
    askStore();
  if (Leader.target().empty())
    return;
  endpoints::WorkerReport message;
  message.Agent = Settings.Name;
  message.AgentAddress = Peers.Address;
  message.Worker = State;
  const int64_t age = absl::ToInt64Milliseconds(Loop.now() - BeatAt);
  message.Worker.RemainingMs = std::max(int64_t{0}, State.RemainingMs - age);
  message.EndedLives = EndedLives;
  message.Reachable = Reachable;
  message.Epoch = ListedEpoch;
  if (Listed)
    message.ListedMsAgo = absl::ToInt64Milliseconds(Loop.now() - ListedAt);
  message.Speed = Speed;
  message.Running = Running;
  message.Ended = Ended;
  message.Results = Results;
  LastSequence = std::max(LastSequence + 1, toMs(Loop.now()));
  message.Sequence = LastSequence;
  sendReport(Leader.target(), message);
  if (const std::optional<std::string> second = Leader.secondTarget())
    sendReport(*second, message);
}

void WorkerAgent::sendReport(const std::string &address,
                             const endpoints::WorkerReport &message) {
  Peers.Call(address, message, ReportTimeoutMs,
             [this, alive = Alive, address, sent = Loop.now(),
              life = State.Life, results = FirstResult + Results.size()](
                 const std::optional<Message> &reply) {
               if (!*alive)
                 return;
               const auto *ack =
                   reply ? std::get_if<endpoints::ReportAck>(&*reply) : nullptr;
               if (ack == nullptr)
                 onReportSilence(address);
               else if (life == State.Life)
                 onReportAnswer(address, *ack, sent, results);
             });
}

void WorkerAgent::onReportSilence(const std::string &address) {
  if (Leader.knowsLeader() && address == Leader.target())
    logEvent(Event::LeaderUnreachable, {{"leader", address}});
  Leader.onSilence(address);
  reportAgain(ReportAgain);
}

void WorkerAgent::reportAgain(absl::Duration delay) {
  Loop.runAfter(delay, [this, alive = Alive] {
    if (*alive)
      reportSoon();
  });
}

std::vector<std::string>
WorkerAgent::addressesIn(const platform::StorePage &page) {
  std::vector<std::string> addresses;
  for (const platform::KeyValue &item : page.Items)
    utils::handle<bool>(
        [&]() -> utils::Result<bool> {
          BOOST_LEAF_AUTO(entry, platform::decodeEntry(item.Value));
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

// A stale answer will do: an entry that has gone does not answer, and those
// that do know the others.
void WorkerAgent::askStore() {
  if (AskingStore)
    return;
  AskingStore = true;
  Calls.Range(EntryPrefix, "", platform::ReadMode::MaybeStale,
              [this, alive = Alive](
                  const platform::StoreReply<platform::StorePage> &reply) {
                if (!*alive)
                  return;
                std::vector<std::string> entries = addressesIn(reply.Value);
                const bool found = !entries.empty();
                Leader.learnEntries(std::move(entries));
                Loop.runAfter(found ? absl::ZeroDuration() : AskStoreAgain,
                              [this, alive] {
                                if (!*alive)
                                  return;
                                AskingStore = false;
                                reportSoon();
                              });
              });
}

void WorkerAgent::onReportAnswer(const std::string &address,
                                 const endpoints::ReportAck &ack,
                                 absl::Time sent, uint64_t results) {
  const bool knew = Leader.knowsLeader();
  const std::string before = Leader.target();
  const bool leads = Leader.onAnswer(address, ack);
  if (!leads) {
    if (Leader.target() != before || !Leader.knowsLeader())
      reportAgain(knew ? absl::ZeroDuration() : ReportAgain);
    return;
  }
  if (!knew || before != address)
    logEvent(Event::LeaderFollowed,
             {{"leader", address}, {"epoch", ack.Epoch}});
  const bool newEpoch = ack.Epoch > Epoch;
  Epoch = ack.Epoch;
  if (ack.GrantMs > 0)
    GrantEnd = std::max(GrantEnd, sent + absl::Milliseconds(ack.GrantMs));
  Speed = ack.Speed;
  const bool seenMore = ack.SeenUpto > SeenUpto;
  SeenUpto = std::max(SeenUpto, ack.SeenUpto);
  Ended.erase(std::remove_if(Ended.begin(), Ended.end(),
                             [this](const endpoints::EndedTask &e) {
                               return e.Number <= SeenUpto;
                             }),
              Ended.end());
  // Answers overtake each other: only what this report carried is dropped.
  for (; FirstResult < results && !Results.empty(); ++FirstResult)
    Results.erase(Results.begin());
  // The worker has to see the new fencing token before its lists say anything
  // to the new leader.
  if (newEpoch || (seenMore && HoldsOut == 0))
    hold(0);
}

void WorkerAgent::stop(std::function<void()> done) {
  if (StopAsked)
    return;
  StopAsked = true;
  logEvent(Event::ProcessStopping, {{"worker", State.Life.Id}});
  if (State.Life.empty()) {
    done();
    return;
  }
  Worker.Hold(holdCall(0),
              [done = std::move(done)](const HoldReply &) { done(); });
}

} // namespace oriolebay::agent
