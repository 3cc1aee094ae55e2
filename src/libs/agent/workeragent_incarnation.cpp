// Selects the worker incarnation that the agent serves. An incarnation begins
// with a heartbeat. It ends when the worker deregisters, when nothing listens
// at its address any more, or when another incarnation answers.
#include "workeragent.h"

#include "eventlog/eventlog.h"
#include "utils/eventloop.h"

#include <algorithm>

namespace oriolebay::agent {

using endpoints::CallOutcome;
using endpoints::CallStatus;
using endpoints::Heartbeat;
using endpoints::IncarnationEnd;
using endpoints::KeepAliveReply;
using endpoints::WorkerIncarnation;
using eventlog::Event;
using eventlog::logEvent;

namespace {

/// Number of ended incarnations that are remembered to recognise their delayed
/// messages.
constexpr size_t MaxEndedIncarnations = 8;
/// Pause before a worker receives the stop of an open attempt again.
constexpr absl::Duration ResolveRetryPause = absl::Milliseconds(60);
/// The same while nothing listens at the worker's address. The next incarnation
/// should receive the stop as soon as it listens.
constexpr absl::Duration ListenerRetryPause = absl::Milliseconds(10);

} // namespace

// A worker may restart under the same id. Only the start time tells whether an
// answer comes from another incarnation than the one that was called.
bool WorkerAgent::isOtherIncarnation(const CallOutcome &outcome,
                                     const WorkerIncarnation &incarnation) {
  if (outcome.Status == CallStatus::OtherIncarnation)
    return true;
  return outcome.BornMs != 0 && incarnation.BornMs != 0 &&
         outcome.BornMs != incarnation.BornMs;
}

bool WorkerAgent::onHeartbeat(const Heartbeat &heartbeat) {
  if (heartbeat.Worker.Life == State.Life)
    applyHeartbeat(heartbeat);
  else if (hasEnded(heartbeat.Worker.Life) && !State.Life.empty())
    logIgnoredHeartbeat(heartbeat, "that incarnation has ended");
  else
    probeIncarnation(heartbeat);
  return true;
}

void WorkerAgent::applyHeartbeat(const Heartbeat &heartbeat) {
  // A delayed heartbeat carries an outdated state.
  if (!HeartbeatNumbers.accept(heartbeat.Sequence, Loop.now()))
    return;
  LastHeartbeatAt = Loop.now();
  const bool draining = heartbeat.Worker.Draining && !State.Draining;
  const core::Resources previousCapacity = State.Capacity;
  State = heartbeat.Worker;
  if (State.Capacity != previousCapacity) {
    logEvent(Event::WorkerCapacityChanged,
             {{"worker", State.Life.Id},
              {"cores_milli", State.Capacity.MilliCores},
              {"memory_mb", State.Capacity.MemoryMb},
              {"accelerators", State.Capacity.Accelerators},
              {"accelerators_before", previousCapacity.Accelerators}});
    reportSoon();
  }
  if (draining) {
    logEvent(Event::WorkerDraining,
             {{"worker", State.Life.Id}, {"remaining_ms", State.RemainingMs}});
    reportSoon();
  }
}

// Logs only the first ignored heartbeat of each incarnation. A single delayed
// heartbeat is common, while many mean that the incarnation is still running
// although it counts as ended.
void WorkerAgent::logIgnoredHeartbeat(const Heartbeat &heartbeat,
                                      const std::string &why) {
  if (!IgnoredIncarnations.insert(heartbeat.Worker.Life).second)
    return;
  logEvent(Event::WorkerHeartbeatIgnored,
           {{"worker", heartbeat.Worker.Life.Id},
            {"born_ms", heartbeat.Worker.Life.BornMs},
            {"sequence", heartbeat.Sequence},
            {"clock_ms", heartbeat.ClockMs},
            {"why", why}});
}

// A heartbeat that was delayed by a network outage may arrive after its sender
// crashed and a new incarnation began at the same address. Only the worker
// itself can tell which of two incarnations is the current one.
void WorkerAgent::probeIncarnation(const Heartbeat &heartbeat) {
  const WorkerIncarnation &incarnation = heartbeat.Worker.Life;
  if (ProbedIncarnation == incarnation)
    return;
  ProbedIncarnation = incarnation;
  endpoints::KeepAliveCall probe;
  probe.Incarnation = incarnation;
  probe.Epoch = Epoch;
  Worker.KeepAlive(
      probe, [this, alive = Alive, heartbeat](const KeepAliveReply &reply) {
        if (!*alive || ProbedIncarnation != heartbeat.Worker.Life)
          return;
        ProbedIncarnation = {};
        if (isOtherIncarnation(reply.Outcome, heartbeat.Worker.Life)) {
          recordIncarnationEnd({heartbeat.Worker.Life});
          return;
        }
        if (reply.Outcome.Status != CallStatus::Ok)
          return;
        // A worker that has a start time names it in each of its heartbeats.
        if (reply.Outcome.BornMs != heartbeat.Worker.Life.BornMs &&
            reply.Outcome.BornMs != 0) {
          logIgnoredHeartbeat(heartbeat, "the worker has another start time");
          return;
        }
        beginIncarnation(heartbeat);
        recordWorkerClock(reply.Outcome.ClockMs);
        sendKeepAlive(0);
      });
}

void WorkerAgent::beginIncarnation(const Heartbeat &heartbeat) {
  if (!State.Life.empty())
    endIncarnation("a new incarnation answers", EndReason::Superseded);
  FirstReportOfIncarnation =
      hasEnded(heartbeat.Worker.Life) ? LastSequence + 1 : 0;
  removeIncarnationEnd(heartbeat.Worker.Life);
  State = heartbeat.Worker;
  HeartbeatNumbers.begin(heartbeat.Sequence);
  LastHeartbeatAt = Loop.now();
  logEvent(Event::WorkerLifeBegan,
           {{"worker", State.Life.Id},
            {"born_ms", State.Life.BornMs},
            {"clock_ms", heartbeat.ClockMs},
            {"rack", State.Rack},
            {"cores_milli", State.Capacity.MilliCores},
            {"accelerators", State.Capacity.Accelerators}});
  Attempts.closeOtherIds(State.Life.Id);
  stopOpenStartsSoon();
}

void WorkerAgent::endIncarnation(const std::string &why, EndReason reason) {
  IncarnationEnd end{State.Life};
  end.Crashed = reason != EndReason::Deregistered && !State.Draining;
  if (end.Crashed)
    end.JustBegun = SentStarts.recentlyStartedRuns();
  end.Witnessed = true;
  end.MayStillBegin =
      SentStarts.possibleLateStarts(reason == EndReason::ConnectionRefused);
  for (const endpoints::RunId &run : Attempts.openRuns(Loop.now()))
    if (std::count(end.MayStillBegin.begin(), end.MayStillBegin.end(), run) ==
        0)
      end.MayStillBegin.push_back(run);
  logEvent(Event::WorkerLifeEnded, {{"worker", State.Life.Id},
                                    {"born_ms", State.Life.BornMs},
                                    {"why", why},
                                    {"crashed", end.Crashed},
                                    {"just_begun", end.JustBegun.size()},
                                    {"may_begin", end.MayStillBegin.size()}});
  recordIncarnationEnd(std::move(end));
  // Ids of workers that report no start time are not used again.
  if (!State.Life.mayReuseId())
    Attempts.closeId(State.Life.Id);
  SentStarts = {};
  State = {};
  HeartbeatNumbers.begin(0);
  ClockOffset.reset();
  SeenUpto = 0;
  Running.clear();
  Ended.clear();
  EndsComplete = true;
  OldestEndNumber = 0;
  ListedClockMs = 0;
  ListedEpoch = 0;
  LastAppliedKeepAlive = KeepAlivesSent;
  // A poll of the previous incarnation may still be waiting for its answer. It
  // must not prevent polls of the new incarnation.
  KeepAlivesInFlight = 0;
  ConsecutivePollFailures = 0;
  RefusedConnections = 0;
  LastCountedFailureAt = absl::InfinitePast();
  Reachable = false;
  ListsReceived = false;
  StartsInProgress.clear();
  StopsInProgress.clear();
  UnconfirmedStops.clear();
  CompletedOrders.clear();
  CompletionOrder.clear();
  FirstResultNumber += Results.size();
  Results.clear();
  stopOpenStartsSoon();
  reportSoon();
}

// Every later incarnation under the id receives a stop for every start that may
// still arrive late, as soon as it listens and before it can get any orders, so
// that it refuses these starts. An incarnation does not know of the stops that
// an earlier one confirmed.
void WorkerAgent::stopOpenStartsSoon() {
  if (StopRoundQueued)
    return;
  StopRoundQueued = true;
  Loop.post([this, alive = Alive] {
    if (!*alive)
      return;
    StopRoundQueued = false;
    stopOpenStarts();
  });
}

void WorkerAgent::stopOpenStarts() {
  ++StopRound;
  for (const auto &stop : Attempts.pendingStops(State.Life, Loop.now()))
    sendOpenStartStop(stop, StopRound);
}

void WorkerAgent::sendOpenStartStop(const OpenAttempts::PendingStop &stop,
                                    uint64_t round) {
  const auto pending = Attempts.pendingStops(State.Life, Loop.now());
  if (round != StopRound ||
      std::find(pending.begin(), pending.end(), stop) == pending.end())
    return;
  endpoints::StopCall call;
  call.Incarnation = {stop.WorkerId, 0};
  call.Order = {stop.Run.Task, stop.Run.Run};
  call.Epoch = Epoch;
  call.FreshConnection = true;
  // The next stop does not wait for the answer to this one, which may be
  // carried out later than the start.
  const auto resend = [this, alive = Alive, stop, round,
                       resent = std::make_shared<bool>(false)] {
    if (*alive && !std::exchange(*resent, true))
      sendOpenStartStop(stop, round);
  };
  Loop.runAfter(ResolveRetryPause, resend);
  Worker.Stop(call, [this, alive = Alive, stop, resend,
                     served = State.Life](const CallOutcome &outcome) {
    if (!*alive)
      return;
    onOpenStartStopReply(stop, served, outcome);
    if (outcome.Status == CallStatus::NotListening)
      Loop.runAfter(ListenerRetryPause, resend);
  });
}

void WorkerAgent::onOpenStartStopReply(const OpenAttempts::PendingStop &stop,
                                       const WorkerIncarnation &served,
                                       const CallOutcome &outcome) {
  if (outcome.Status == CallStatus::OtherIncarnation)
    Attempts.closeId(stop.WorkerId);
  if (outcome.Status != CallStatus::Ok)
    return;
  const WorkerIncarnation stoppedAt =
      outcome.BornMs != 0 ? WorkerIncarnation{stop.WorkerId, outcome.BornMs}
                          : served;
  if (stoppedAt.empty())
    return;
  Attempts.recordStopped(stop.Run, stoppedAt);
  if (stoppedAt != State.Life)
    return;
  FirstKeepAliveAfterStop = KeepAlivesSent + 1;
  if (Attempts.pendingStops(State.Life, Loop.now()).empty())
    sendKeepAlive(0);
}

void WorkerAgent::recordIncarnationEnd(IncarnationEnd end) {
  if (hasEnded(end.Life))
    return;
  EndedIncarnations.push_back(std::move(end));
  if (EndedIncarnations.size() <= MaxEndedIncarnations)
    return;
  IgnoredIncarnations.erase(EndedIncarnations.front().Life);
  EndedIncarnations.erase(EndedIncarnations.begin());
}

bool WorkerAgent::hasEnded(const WorkerIncarnation &incarnation) const {
  return std::any_of(
      EndedIncarnations.begin(), EndedIncarnations.end(),
      [&](const IncarnationEnd &end) { return end.Life == incarnation; });
}

// Removes the record of an incarnation that counted as ended, but turned out to
// be still running.
void WorkerAgent::removeIncarnationEnd(const WorkerIncarnation &incarnation) {
  IgnoredIncarnations.erase(incarnation);
  std::erase_if(EndedIncarnations, [&](const IncarnationEnd &end) {
    return end.Life == incarnation;
  });
}

// A worker that deregisters without its start time has announced before that it
// drains. If the served incarnation does not drain, it is a later one.
void WorkerAgent::onDeregister(const WorkerIncarnation &incarnation) {
  const bool anyIncarnation =
      incarnation.BornMs == 0 && incarnation.Id == State.Life.Id;
  if (incarnation == State.Life || (anyIncarnation && State.Draining))
    endIncarnation("the worker deregistered", EndReason::Deregistered);
  else if (!anyIncarnation)
    recordIncarnationEnd({incarnation});
}

} // namespace oriolebay::agent
