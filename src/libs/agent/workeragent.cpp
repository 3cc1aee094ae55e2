#include "workeragent.h"

#include "eventlog/eventlog.h"
#include "utils/eventloop.h"

#include <algorithm>

namespace oriolebay::agent {

using endpoints::CallOutcome;
using endpoints::CallStatus;
using endpoints::KeepAliveReply;
using endpoints::Message;
using eventlog::Event;
using eventlog::logEvent;

namespace {

/// Maximum time for which the worker may delay the answer to a poll while no
/// run ends. It is bounded because the leader detects stalled runs by the
/// progress that polls report.
constexpr int64_t MaxPollWaitMs = 500;
/// Pause before a worker that did not answer is polled again.
constexpr absl::Duration PollRetryPause = absl::Milliseconds(150);
/// The same while attempts to start runs are open, so that the next incarnation
/// is noticed before it can carry them out.
constexpr absl::Duration PollRetryPauseWithOpenStarts = absl::Milliseconds(10);
/// While the worker lists ends that the leader has not acknowledged, it answers
/// each poll at once, so that the agent has to poll again for the next end. The
/// first polls follow quickly, because several runs often end together and
/// their capacity stays idle until the leader receives the ends. The leader
/// acknowledges ends within half a second unless the store is unavailable;
/// after that time polls are less frequent.
constexpr absl::Duration PollPauseWithRecentEnds = absl::Milliseconds(15);
constexpr absl::Duration PollPauseWithOldEnds = absl::Milliseconds(100);
constexpr absl::Duration RecentEndsPeriod = absl::Milliseconds(600);
/// Number of consecutive failed polls after which the worker counts as
/// unreachable.
constexpr int FailuresUntilUnreachable = 3;
/// Number of consecutive refused connections after which the worker's process
/// counts as ended.
constexpr int RefusalsUntilProcessEnded = 4;
} // namespace

WorkerAgent::WorkerAgent(utils::EventLoop &loop, platform::Store store,
                         endpoints::Peers peers, endpoints::WorkerCalls worker,
                         settings::NodeSettings settings,
                         std::string entryPrefix, OnOrderCompleted onCompleted)
    : Loop(loop), Peers(std::move(peers)), Worker(std::move(worker)),
      Settings(std::move(settings)), Time(settings::deriveTiming(Settings)),
      StoreClient(std::move(store)), EntryPrefix(std::move(entryPrefix)),
      NotifyOrderCompleted(std::move(onCompleted)), StartedAt(Loop.now()),
      Cordon(Time.MaxCordonAge) {
  Peers.Serve([this, alive = Alive](const Message &m, const auto &respond) {
    if (*alive)
      respond(onMessage(m));
    else
      respond(endpoints::Ack{false, "this agent has stopped"});
  });
}

WorkerAgent::~WorkerAgent() { *Alive = false; }

// The first report is sent at once: the answer names the starts of an earlier
// process that the worker must refuse.
void WorkerAgent::start() {
  reportSoon();
  scheduleReport();
}

AgentStatus WorkerAgent::status() const {
  AgentStatus s;
  s.Reachable = Reachable && !State.Life.empty();
  s.Draining = State.Draining;
  s.KnowsLeader = Leader.knowsLeader();
  s.LeaderEpoch = Epoch;
  s.Running = Running.size();
  s.UnacknowledgedEnds = Ended.size();
  s.Cordoned = Cordon.isCordoned();
  s.StartsRefusedByCordon = StartsRefusedByCordon;
  if (GrantEnd > Loop.now())
    s.GrantLeftSeconds = absl::ToDoubleSeconds(GrantEnd - Loop.now());
  return s;
}

// ---- Keep-alive calls: they extend the tasks and poll the worker ----

void WorkerAgent::recordWorkerClock(int64_t clockMs) {
  // The answer may have been delayed. The worker's clock is then ahead of this
  // estimate, so tasks expire earlier than granted, never later.
  if (clockMs <= 0)
    return;
  ClockOffset = clockMs - absl::ToUnixMillis(Loop.now());
  SentStarts.recordAnswer(Loop.now());
}

int64_t WorkerAgent::keepAliveUntilMs() const {
  if (!ClockOffset || GrantEnd <= Loop.now())
    return 0;
  const absl::Time latest =
      Loop.now() + absl::Milliseconds(Settings.Bounds.HoldMaxMs);
  return absl::ToUnixMillis(std::min(GrantEnd, latest)) + *ClockOffset;
}

void WorkerAgent::sendKeepAlive(int64_t waitMs) {
  if (State.Life.empty())
    return;
  const endpoints::KeepAliveCall call = makeKeepAliveCall(waitMs);
  const uint64_t number = ++KeepAlivesSent;
  ++KeepAlivesInFlight;
  Worker.KeepAlive(call, [this, alive = Alive, number, incarnation = State.Life,
                          epoch = Epoch, sent = Loop.now(),
                          waitMs = call.WaitMs](KeepAliveReply reply) {
    if (!*alive || incarnation != State.Life)
      return;
    --KeepAlivesInFlight;
    // A poll that fails while the worker may still delay its answer has not
    // run into its timeout.
    if (reply.Outcome.Status == CallStatus::NoAnswer &&
        Loop.now() - sent < absl::Milliseconds(waitMs))
      SentStarts.recordConnectionClosed(Loop.now());
    onKeepAliveReply(number, epoch, std::move(reply));
  });
}

endpoints::KeepAliveCall WorkerAgent::makeKeepAliveCall(int64_t waitMs) const {
  endpoints::KeepAliveCall call;
  call.Incarnation = State.Life;
  call.UntilMs = keepAliveUntilMs();
  call.Epoch = Epoch;
  // The call may reach the next incarnation under the same id, which numbers
  // its ends from the start again. Therefore the call acknowledges ends only
  // while the worker lists some that are recorded, and does not wait in that
  // case.
  const bool canAcknowledge =
      OldestEndNumber != 0 && OldestEndNumber <= SeenUpto;
  call.SeenUpto = canAcknowledge ? SeenUpto : 0;
  call.WaitMs = canAcknowledge ? 0 : waitMs;
  return call;
}

void WorkerAgent::scheduleKeepAlive(absl::Duration delay) {
  if (KeepAliveQueued)
    return;
  KeepAliveQueued = true;
  Loop.runAfter(delay, [this, alive = Alive] {
    if (!*alive)
      return;
    KeepAliveQueued = false;
    // A worker that did not answer may have restarted: a poll that waits would
    // learn of that late.
    const bool canWait =
        UnconfirmedStops.empty() && ConsecutivePollFailures == 0;
    if (KeepAlivesInFlight == 0)
      sendKeepAlive(canWait ? MaxPollWaitMs : 0);
  });
}

void WorkerAgent::onKeepAliveReply(uint64_t number, int64_t epoch,
                                   KeepAliveReply reply) {
  const CallOutcome &outcome = reply.Outcome;
  if (isOtherIncarnation(outcome, State.Life)) {
    endIncarnation("another incarnation answered", EndReason::Superseded);
    return;
  }
  if (outcome.Status != CallStatus::Ok) {
    onFailedPoll(outcome);
    return;
  }
  recordWorkerClock(outcome.ClockMs);
  ConsecutivePollFailures = 0;
  RefusedConnections = 0;
  LastCountedFailureAt = absl::InfinitePast();
  bool changed = !Reachable;
  if (!Reachable)
    logEvent(Event::WorkerReachable, {{"worker", State.Life.Id}});
  Reachable = true;
  // Answers on different connections can arrive out of order.
  if (number > LastAppliedKeepAlive) {
    LastAppliedKeepAlive = number;
    ListsReceived = true;
    ListedAt = Loop.now();
    ListedClockMs = outcome.ClockMs;
    changed |= epoch > ListedEpoch || reply.Ended != Ended ||
               reply.EndsComplete != EndsComplete ||
               reply.Running.size() != Running.size();
    Running = std::move(reply.Running);
    for (const endpoints::RunningTask &r : Running)
      SentStarts.recordListed({r.Task, r.Run});
    for (const endpoints::EndedTask &e : reply.Ended) {
      SentStarts.recordListed({e.Task, e.Run});
      SentStarts.recordEnded({e.Task, e.Run});
      closeRefusedRun({e.Task, e.Run});
    }
    if (!reply.Ended.empty() && reply.Ended != Ended)
      EndsChangedAt = Loop.now();
    Ended = std::move(reply.Ended);
    EndsComplete = reply.EndsComplete;
    OldestEndNumber = Ended.empty() ? 0 : Ended.front().Number;
    ListedEpoch = epoch;
    completeListedStarts();
    resolveStops(number);
  }
  if (changed)
    reportSoon();
  // While the worker lists ends that are not acknowledged, it answers each poll
  // at once, so the next poll follows after a pause. An acknowledgement of the
  // leader starts a poll earlier.
  scheduleKeepAlive(pauseBeforePoll());
}

absl::Duration WorkerAgent::pauseBeforePoll() const {
  const absl::Duration pauseForSize =
      PollPacer.pauseAfter(listBytes(Running, Ended));
  if (Ended.empty())
    return pauseForSize;
  const bool isRecent = Loop.now() - EndsChangedAt < RecentEndsPeriod;
  return std::max(pauseForSize,
                  isRecent ? PollPauseWithRecentEnds : PollPauseWithOldEnds);
}

// If nothing listens at the worker's address, its process has ended. Several
// consecutive refusals are required, because a listener may be missing for a
// moment. Polls that follow more quickly than PollRetryPause count as one.
void WorkerAgent::onFailedPoll(const CallOutcome &outcome) {
  SentStarts.recordNoAnswer(Loop.now());
  if (Loop.now() - LastCountedFailureAt >= PollRetryPause) {
    LastCountedFailureAt = Loop.now();
    ++ConsecutivePollFailures;
    RefusedConnections =
        outcome.Status == CallStatus::NotListening ? RefusedConnections + 1 : 0;
  }
  if (RefusedConnections >= RefusalsUntilProcessEnded) {
    endIncarnation("nothing listens at its address",
                   EndReason::ConnectionRefused);
    return;
  }
  if (Reachable && ConsecutivePollFailures >= FailuresUntilUnreachable) {
    Reachable = false;
    logEvent(Event::WorkerUnreachable,
             {{"worker", State.Life.Id}, {"why", outcome.Detail}});
    reportSoon();
  }
  scheduleKeepAlive(Attempts.openRuns(Loop.now()).empty()
                        ? PollRetryPause
                        : PollRetryPauseWithOpenStarts);
}

void WorkerAgent::stop(std::function<void()> done) {
  if (StopRequested)
    return;
  StopRequested = true;
  logEvent(Event::ProcessStopping, {{"worker", State.Life.Id}});
  if (State.Life.empty()) {
    done();
    return;
  }
  Worker.KeepAlive(
      makeKeepAliveCall(0),
      [done = std::move(done)](const KeepAliveReply &) { done(); });
}

} // namespace oriolebay::agent
