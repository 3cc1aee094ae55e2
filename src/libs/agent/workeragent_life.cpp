// Which life of the worker is served: lives begin with a heartbeat and end with
// word, silence or another life.
#include "workeragent.h"

#include "eventlog/eventlog.h"
#include "utils/eventloop.h"

#include <algorithm>

namespace oriolebay::agent {

using endpoints::CallOutcome;
using endpoints::CallStatus;
using endpoints::Heartbeat;
using endpoints::HoldReply;
using endpoints::LifeEnd;
using endpoints::WorkerLife;
using eventlog::Event;
using eventlog::logEvent;

namespace {

/// Ended lives remembered, so that late messages find them.
constexpr size_t MostEndedLives = 8;
/// Pause before the next life is told again what it must refuse.
constexpr absl::Duration SettleAgain = absl::Milliseconds(60);

} // namespace

// A worker may start again under its id: what was meant for another life, and
// only the time of its birth tells.
bool WorkerAgent::isOther(const CallOutcome &outcome, const WorkerLife &life) {
  if (outcome.Status == CallStatus::OtherLife)
    return true;
  return outcome.BornMs != 0 && life.BornMs != 0 &&
         outcome.BornMs != life.BornMs;
}

bool WorkerAgent::onHeartbeat(const Heartbeat &beat) {
  if (beat.Worker.Life == State.Life)
    takeHeartbeat(beat);
  else if (hasEnded(beat.Worker.Life) && !State.Life.empty())
    noteIgnored(beat);
  else
    tryLife(beat);
  return true;
}

void WorkerAgent::takeHeartbeat(const Heartbeat &beat) {
  // A heartbeat that was held up on its way tells an older state.
  if (beat.Sequence <= LastBeat)
    return;
  LastBeat = beat.Sequence;
  BeatAt = Loop.now();
  const bool draining = beat.Worker.Draining && !State.Draining;
  const core::Resources before = State.Capacity;
  State = beat.Worker;
  if (State.Capacity != before) {
    logEvent(Event::WorkerCapacityChanged,
             {{"worker", State.Life.Id},
              {"cores_milli", State.Capacity.MilliCores},
              {"memory_mb", State.Capacity.MemoryMb},
              {"accelerators", State.Capacity.Accelerators},
              {"accelerators_before", before.Accelerators}});
    reportSoon();
  }
  if (draining) {
    logEvent(Event::WorkerDraining,
             {{"worker", State.Life.Id}, {"remaining_ms", State.RemainingMs}});
    reportSoon();
  }
}

// Once a life: a late one is common, many tell that the life goes on.
void WorkerAgent::noteIgnored(const Heartbeat &beat) {
  if (!IgnoredLives.insert(beat.Worker.Life).second)
    return;
  logEvent(Event::WorkerHeartbeatIgnored, {{"worker", beat.Worker.Life.Id},
                                           {"born_ms", beat.Worker.Life.BornMs},
                                           {"sequence", beat.Sequence},
                                           {"clock_ms", beat.ClockMs},
                                           {"why", "that life has ended"}});
}

// A heartbeat that a cut delayed may come after its sender has crashed and a
// new life has begun at the same address. Only the worker itself can tell
// which of two lives is the present one.
void WorkerAgent::tryLife(const Heartbeat &beat) {
  const WorkerLife &life = beat.Worker.Life;
  if (TryingLife == life)
    return;
  TryingLife = life;
  endpoints::HoldCall look;
  look.Life = life;
  look.Epoch = Epoch;
  Worker.Hold(look, [this, alive = Alive, beat](const HoldReply &reply) {
    if (!*alive || TryingLife != beat.Worker.Life)
      return;
    TryingLife = {};
    if (isOther(reply.Outcome, beat.Worker.Life)) {
      noteEnded({beat.Worker.Life});
      return;
    }
    if (reply.Outcome.Status != CallStatus::Ok)
      return;
    adoptLife(beat);
    noteClock(reply.Outcome.ClockMs);
    hold(0);
  });
}

void WorkerAgent::adoptLife(const Heartbeat &beat) {
  if (!State.Life.empty())
    endLife("a new life answers", EndSign::OtherLife);
  forgetEnd(beat.Worker.Life);
  State = beat.Worker;
  LastBeat = beat.Sequence;
  BeatAt = Loop.now();
  logEvent(Event::WorkerLifeBegan,
           {{"worker", State.Life.Id},
            {"born_ms", State.Life.BornMs},
            {"rack", State.Rack},
            {"cores_milli", State.Capacity.MilliCores},
            {"accelerators", State.Capacity.Accelerators}});
}

void WorkerAgent::endLife(const std::string &why, EndSign sign) {
  LifeEnd end{State.Life};
  end.Crashed = sign != EndSign::SaidSo && !State.Draining;
  if (end.Crashed)
    end.JustBegun = Sent.justBegun();
  end.Witnessed = true;
  end.MayStillBegin = Sent.mayStillBegin(sign == EndSign::NobodyListens);
  for (const endpoints::RunId &run : Late.open(Loop.now()))
    if (std::count(end.MayStillBegin.begin(), end.MayStillBegin.end(), run) ==
        0)
      end.MayStillBegin.push_back(run);
  logEvent(Event::WorkerLifeEnded, {{"worker", State.Life.Id},
                                    {"born_ms", State.Life.BornMs},
                                    {"why", why},
                                    {"crashed", end.Crashed},
                                    {"just_begun", end.JustBegun.size()},
                                    {"may_begin", end.MayStillBegin.size()}});
  noteEnded(std::move(end));
  settleLateStarts(State.Life);
  Sent = {};
  State = {};
  LastBeat = 0;
  ClockOffset.reset();
  SeenUpto = 0;
  Running.clear();
  Ended.clear();
  OldestEnd = 0;
  ListedEpoch = 0;
  HoldsTaken = HoldsSent;
  // A look at the old life may stay open for a while yet; it must not keep the
  // new life from being looked at.
  HoldsOut = 0;
  HoldFailures = 0;
  NotThere = 0;
  Reachable = false;
  Listed = false;
  Starting.clear();
  StoppingRuns.clear();
  Stopped.clear();
  Concluded.clear();
  ConcludedOrder.clear();
  FirstResult += Results.size();
  Results.clear();
  reportSoon();
}

// The next life under the id is told to refuse what may come late before it can
// be given anything, and as soon as it listens.
void WorkerAgent::settleLateStarts(const WorkerLife &ended) {
  if (ended.BornMs == 0)
    Late.clear();
  for (const endpoints::RunId &run : Late.open(Loop.now()))
    settleLateStart(ended, run);
}

void WorkerAgent::settleLateStart(const WorkerLife &ended,
                                  const endpoints::RunId &run) {
  if (!Late.isOpen(run, Loop.now()))
    return;
  endpoints::StopCall call{ended, {run.Task, run.Run}, Epoch, true};
  Worker.Stop(call, [this, alive = Alive, ended, run](const CallOutcome &o) {
    if (!*alive)
      return;
    if (o.Status == CallStatus::OtherLife)
      Late.clear();
    if (o.Status == CallStatus::Ok)
      Late.settled(run);
    Loop.runAfter(SettleAgain, [this, alive, ended, run] {
      if (*alive)
        settleLateStart(ended, run);
    });
  });
}

void WorkerAgent::noteEnded(LifeEnd end) {
  if (hasEnded(end.Life))
    return;
  EndedLives.push_back(std::move(end));
  if (EndedLives.size() <= MostEndedLives)
    return;
  IgnoredLives.erase(EndedLives.front().Life);
  EndedLives.erase(EndedLives.begin());
}

bool WorkerAgent::hasEnded(const WorkerLife &life) const {
  return std::any_of(EndedLives.begin(), EndedLives.end(),
                     [&](const LifeEnd &end) { return end.Life == life; });
}

// A life that was taken for ended goes on after all.
void WorkerAgent::forgetEnd(const WorkerLife &life) {
  IgnoredLives.erase(life);
  std::erase_if(EndedLives,
                [&](const LifeEnd &end) { return end.Life == life; });
}

// A worker that does not say which of its lives leaves has said before that it
// drains; one that does not drain has started again since.
void WorkerAgent::onLeave(const WorkerLife &life) {
  const bool anyLife = life.BornMs == 0 && life.Id == State.Life.Id;
  if (life == State.Life || (anyLife && State.Draining))
    endLife("it said so", EndSign::SaidSo);
  else if (!anyLife)
    noteEnded({life});
}

} // namespace oriolebay::agent
