// Carries out the leader's stops: sends each until the worker confirms it, and
// tells from the worker's lists what became of the run.
#include "workeragentorder.h"

#include "utils/eventloop.h"

#include <set>

namespace oriolebay::agent {

using endpoints::CallOutcome;
using endpoints::CallStatus;
using endpoints::OrderOutcome;
using endpoints::RunId;

namespace {

/// Maximum number of attempts to stop a run.
constexpr int MaxStopAttempts = 40;

} // namespace

void WorkerAgent::stopTask(const OrderPtr &order) {
  if (order->Epoch < Epoch) {
    StopsInProgress.erase({order->Stop.Task, order->Stop.Run});
    return;
  }
  if (StopWindow.isFull()) {
    StopWindow.Queued.push_back(order);
    return;
  }
  endpoints::StopCall call;
  call.Incarnation = order->Incarnation;
  call.Order = order->Stop;
  call.Epoch = order->Epoch;
  call.FreshConnection = order->Attempts > 0;
  ++order->Attempts;
  ++StopWindow.InFlight;
  Worker.Stop(call, [this, alive = Alive, order](const CallOutcome &outcome) {
    if (!*alive)
      return;
    if (order->Incarnation == State.Life)
      onStopReply(order, outcome);
    onWindowCallAnswered(StopWindow, &WorkerAgent::resumeStop);
  });
}

void WorkerAgent::resumeStop(const OrderPtr &order) {
  if (order->Incarnation == State.Life)
    stopTask(order);
}

void WorkerAgent::onStopReply(const OrderPtr &order,
                              const CallOutcome &outcome) {
  const RunId key{order->Stop.Task, order->Stop.Run};
  recordWorkerClock(outcome.ClockMs);
  if (outcome.Status == CallStatus::Ok) {
    // From now on the run is either listed or can never start. The next poll
    // shows which.
    StopsInProgress.erase(key);
    UnconfirmedStops[key] = KeepAlivesSent + 1;
    sendKeepAlive(0);
    return;
  }
  if (outcome.Status == CallStatus::OtherIncarnation ||
      outcome.Status == CallStatus::Refused ||
      order->Attempts >= MaxStopAttempts) {
    StopsInProgress.erase(key);
    if (outcome.Status == CallStatus::OtherIncarnation)
      completeOrder(key, OrderOutcome::Gone, outcome.Detail);
    return;
  }
  Loop.runAfter(OrderRetryPause, [this, alive = Alive, order] {
    if (*alive)
      resumeStop(order);
  });
}

void WorkerAgent::resolveStops(uint64_t callNumber) {
  std::set<RunId> running;
  for (const endpoints::RunningTask &r : Running)
    running.insert({r.Task, r.Run});
  std::set<RunId> ended;
  for (const endpoints::EndedTask &e : Ended)
    ended.insert({e.Task, e.Run});
  for (auto it = UnconfirmedStops.begin(); it != UnconfirmedStops.end();) {
    const RunId key = it->first;
    const bool mayHaveEnded = !EndsComplete && ended.count(key) == 0;
    if (callNumber < it->second || running.count(key) != 0 || mayHaveEnded) {
      ++it;
      continue;
    }
    it = UnconfirmedStops.erase(it);
    closeRefusedRun(key);
    if (ended.count(key) == 0)
      completeOrder(key, OrderOutcome::Absent, "the worker does not know it");
  }
}

} // namespace oriolebay::agent
