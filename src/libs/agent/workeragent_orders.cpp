// The leader's orders: starts and stops that are carried out at the worker
// until each has an outcome.
#include "workeragent.h"

#include "eventlog/eventlog.h"
#include "utils/eventloop.h"

#include <algorithm>

namespace oriolebay::agent {

using endpoints::CallOutcome;
using endpoints::CallStatus;
using endpoints::Message;
using endpoints::OrderOutcome;
using endpoints::RefusalReason;
using eventlog::Event;
using eventlog::logEvent;

namespace {

/// An order without an answer is given again after this long, on another
/// connection: the worker beside answers in milliseconds when it answers.
constexpr int StartTries = 4;
constexpr int StopTries = 40;
constexpr absl::Duration OrderAgain = absl::Milliseconds(60);
/// Results remembered, so that late messages find them.
constexpr size_t MostConcluded = 2048;
/// Worker time that is left for a start to arrive.
constexpr int64_t LeastHoldMs = 300;

} // namespace

/// An order while it is carried out.
struct WorkerAgent::Order {
  endpoints::StartOrder Start;
  endpoints::StopOrder Stop;
  endpoints::WorkerLife Life;
  /// Of the leader that gave it: every try carries this one, never a newer.
  int64_t Epoch = 0;
  int Tries = 0;
  /// An earlier try had no answer: it may have been carried out, or may yet.
  bool MayHaveArrived = false;
};

Message WorkerAgent::onMessage(const Message &message) {
  if (const auto *orders = std::get_if<endpoints::WorkerOrders>(&message))
    return onOrders(*orders);
  return endpoints::Ack{false, "an agent does not take that message"};
}

endpoints::Ack WorkerAgent::onOrders(const endpoints::WorkerOrders &orders) {
  // An entry that was paused may go on as leader after another took over.
  if (orders.Epoch < Epoch)
    return {false, "fenced: another entry leads", Epoch};
  if (State.Life.empty())
    return {false, "no worker has shown up yet", Epoch};
  Epoch = orders.Epoch;
  logEvent(Event::OrderReceived, {{"worker", orders.Life.Id},
                                  {"epoch", orders.Epoch},
                                  {"starts", orders.Starts.size()},
                                  {"stops", orders.Stops.size()}});
  const bool otherLife = orders.Life != State.Life;
  for (const endpoints::StopOrder &stop : orders.Stops) {
    const RunKey key{stop.Task, stop.Run};
    if (otherLife)
      conclude(key, OrderOutcome::Gone, "that life of the worker has ended");
    else if (StoppingRuns.count(key) == 0) {
      auto order = std::make_shared<Order>();
      order->Stop = stop;
      order->Life = orders.Life;
      order->Epoch = orders.Epoch;
      StoppingRuns[key] = order;
      stopTask(order);
    }
  }
  for (const endpoints::StartOrder &start : orders.Starts) {
    const RunKey key{start.Task, start.Run};
    auto known = Concluded.find(key);
    if (otherLife) {
      conclude(key, OrderOutcome::Gone, "that life of the worker has ended");
    } else if (known != Concluded.end()) {
      Results.push_back(known->second);
      reportSoon();
    } else if (State.Draining) {
      conclude(key, OrderOutcome::Refused, "the worker is draining");
    } else if (Starting.count(key) == 0) {
      auto order = std::make_shared<Order>();
      order->Start = start;
      order->Life = orders.Life;
      order->Epoch = orders.Epoch;
      Starting[key] = order;
      startTask(order);
    }
  }
  return {true, "", Epoch};
}

void WorkerAgent::conclude(const RunKey &run, OrderOutcome outcome,
                           const std::string &detail) {
  endpoints::OrderResult result{run.first, run.second, outcome, detail};
  logEvent(Event::OrderCarriedOut,
           {{"task", run.first},
            {"run", run.second},
            {"outcome", endpoints::orderOutcomeName(outcome)},
            {"why", detail}});
  if (outcome != OrderOutcome::Started && outcome != OrderOutcome::Unconfirmed)
    Sent.neverBegan({run.first, run.second});
  if (Concludes)
    Concludes(result);
  if (Concluded.emplace(run, result).second)
    ConcludedOrder.push_back(run);
  else
    Concluded[run] = result;
  if (ConcludedOrder.size() > MostConcluded) {
    Concluded.erase(ConcludedOrder.front());
    ConcludedOrder.pop_front();
  }
  Results.push_back(std::move(result));
  reportSoon();
}

void WorkerAgent::startTask(const OrderPtr &order) {
  const RunKey key{order->Start.Task, order->Start.Run};
  auto known = Starting.find(key);
  if (known == Starting.end() || known->second != order)
    return;
  // Another leader leads by now. It settles this run from the worker's list,
  // after which a further try would start it behind its back.
  if (order->Epoch < Epoch) {
    Starting.erase(known);
    return;
  }
  // The worker has shrunk since the leader decided, and does not refuse by
  // itself what it cannot hold.
  if (!order->Start.DecidedOn.fitsIn(State.Capacity)) {
    Starting.erase(key);
    conclude(key,
             order->MayHaveArrived ? OrderOutcome::Unconfirmed
                                   : OrderOutcome::NoRoom,
             "its capacity has shrunk");
    return;
  }
  // What is not granted any more must not begin: the leader may count this
  // worker's tasks as ended.
  const int64_t until = untilMs();
  if (!ClockOffset || GrantEnd - Loop.now() < absl::Milliseconds(LeastHoldMs)) {
    Starting.erase(key);
    conclude(key,
             order->MayHaveArrived ? OrderOutcome::Unconfirmed
                                   : OrderOutcome::Refused,
             "no grant to keep it alive");
    return;
  }
  endpoints::StartCall call;
  call.Life = order->Life;
  call.Order = order->Start;
  call.UntilMs = until;
  call.Epoch = order->Epoch;
  call.FreshConnection = order->Tries > 0;
  ++order->Tries;
  Sent.sent({key.first, key.second}, Loop.now());
  Worker.Start(call, [this, alive = Alive, order](const CallOutcome &outcome) {
    if (*alive && order->Life == State.Life)
      onStarted(order, outcome);
  });
}

void WorkerAgent::onStarted(const OrderPtr &order, const CallOutcome &outcome) {
  const RunKey key{order->Start.Task, order->Start.Run};
  noteClock(outcome.ClockMs);
  auto end = [&](OrderOutcome result) {
    Starting.erase(key);
    // A try without an answer may still be carried out, so that another's
    // refusal does not settle the run.
    if (order->MayHaveArrived && result != OrderOutcome::Started &&
        result != OrderOutcome::Gone)
      result = OrderOutcome::Unconfirmed;
    conclude(key, result, outcome.Detail);
  };
  switch (outcome.Status) {
  case CallStatus::Ok:
    Sent.taken({key.first, key.second});
    return end(OrderOutcome::Started);
  case CallStatus::OtherLife:
    return end(OrderOutcome::Gone);
  case CallStatus::Busy:
    return end(OrderOutcome::Busy);
  case CallStatus::Refused:
    if (outcome.Reason == RefusalReason::NoRoom)
      return end(OrderOutcome::NoRoom);
    if (outcome.Reason == RefusalReason::Fenced)
      return end(OrderOutcome::Fenced);
    return end(OrderOutcome::Refused);
  case CallStatus::NoAnswer:
    order->MayHaveArrived = true;
    Late.unanswered({key.first, key.second}, Loop.now());
    break;
  case CallStatus::NotSent:
  case CallStatus::NotThere:
    if (!order->MayHaveArrived)
      Sent.neverBegan({key.first, key.second});
    break;
  }
  if (order->Tries >= StartTries)
    return end(OrderOutcome::Refused);
  Loop.runAfter(OrderAgain, [this, alive = Alive, order] {
    if (*alive && order->Life == State.Life)
      startTask(order);
  });
}

void WorkerAgent::stopTask(const OrderPtr &order) {
  if (order->Epoch < Epoch) {
    StoppingRuns.erase({order->Stop.Task, order->Stop.Run});
    return;
  }
  endpoints::StopCall call;
  call.Life = order->Life;
  call.Order = order->Stop;
  call.Epoch = order->Epoch;
  call.FreshConnection = order->Tries > 0;
  ++order->Tries;
  Worker.Stop(call, [this, alive = Alive, order](const CallOutcome &outcome) {
    if (*alive && order->Life == State.Life)
      onStopped(order, outcome);
  });
}

void WorkerAgent::onStopped(const OrderPtr &order, const CallOutcome &outcome) {
  const RunKey key{order->Stop.Task, order->Stop.Run};
  noteClock(outcome.ClockMs);
  if (outcome.Status == CallStatus::Ok) {
    // From now on the run is listed or can never begin; the next look tells.
    StoppingRuns.erase(key);
    Stopped[key] = HoldsSent + 1;
    hold(0);
    return;
  }
  if (outcome.Status == CallStatus::OtherLife ||
      outcome.Status == CallStatus::Refused || order->Tries >= StopTries) {
    StoppingRuns.erase(key);
    if (outcome.Status == CallStatus::OtherLife)
      conclude(key, OrderOutcome::Gone, outcome.Detail);
    return;
  }
  Loop.runAfter(OrderAgain, [this, alive = Alive, order] {
    if (*alive && order->Life == State.Life)
      stopTask(order);
  });
}

void WorkerAgent::settleStops(uint64_t holdNumber) {
  std::set<RunKey> listed;
  for (const endpoints::RunningTask &r : Running)
    listed.insert({r.Task, r.Run});
  std::set<RunKey> ended;
  for (const endpoints::EndedTask &e : Ended)
    ended.insert({e.Task, e.Run});
  for (auto it = Stopped.begin(); it != Stopped.end();) {
    const RunKey key = it->first;
    if (holdNumber < it->second || listed.count(key) != 0) {
      ++it;
      continue;
    }
    it = Stopped.erase(it);
    if (ended.count(key) == 0)
      conclude(key, OrderOutcome::Absent, "the worker does not know it");
  }
}

} // namespace oriolebay::agent
