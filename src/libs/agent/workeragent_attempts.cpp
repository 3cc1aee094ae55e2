// Attempts to start a run that got no answer: what became of them, and the wait
// for the only one that may be sent.
#include "workeragentorder.h"

#include "eventlog/eventlog.h"
#include "utils/eventloop.h"

#include <algorithm>

namespace oriolebay::agent {

using endpoints::CallOutcome;
using endpoints::CallStatus;
using endpoints::OrderOutcome;
using endpoints::RunId;
using eventlog::Event;
using eventlog::logEvent;

namespace {

template <class List> bool contains(const List &list, const RunId &run) {
  return std::any_of(list.begin(), list.end(), [&run](const auto &entry) {
    return entry.Task == run.Task && entry.Run == run.Run;
  });
}

} // namespace

void WorkerAgent::awaitOnlyAttempt(const OrderPtr &order) {
  if (ListedClockMs >= order->RefusedFromMs) {
    refuseStart(order, OrderOutcome::Refused, "its time limit has passed");
    return;
  }
  defer(*order, "its attempt may still be carried out",
        order->RefusedFromMs - ListedClockMs);
  retryStart(order);
}

void WorkerAgent::completeListedStart(const OrderPtr &order) {
  const RunId key{order->Start.Task, order->Start.Run};
  endDeferral(*order, "the worker lists it");
  StartsInProgress.erase(key);
  // An earlier process may have sent the attempt that was carried out.
  const bool isOnlyAttempt =
      order->Attempts - order->UnsentAttempts == 1 &&
      order->FirstSentAt - StartedAt >= endpoints::MaxOrderDelay;
  if (isOnlyAttempt)
    Attempts.close(order->LastAttempt);
  completeOrder(key, OrderOutcome::Started, "the worker lists it");
}

void WorkerAgent::completeListedStarts() {
  std::vector<OrderPtr> listed;
  for (const auto &[run, order] : StartsInProgress)
    if (order->isPossiblyDelivered() &&
        (isListedAsRunning(run) || isListedAsEnded(run)))
      listed.push_back(order);
  for (const OrderPtr &order : listed)
    completeListedStart(order);
}

bool WorkerAgent::isListedAsRunning(const RunId &run) const {
  return contains(Running, run);
}

bool WorkerAgent::isListedAsEnded(const RunId &run) const {
  return contains(Ended, run);
}

void WorkerAgent::recordAttemptOutcome(const Order &order, int attempt,
                                       OpenAttempts::AttemptNumber number,
                                       const CallOutcome &outcome) {
  if (outcome.Status == CallStatus::NoAnswer) {
    logUnansweredStart(order, attempt);
    return;
  }
  // An attempt that was accepted after its incarnation had ended may have been
  // carried out by the next one, which still has to stop the run.
  if (outcome.Status == CallStatus::Ok && order.Incarnation != State.Life)
    return;
  Attempts.close(number);
}

void WorkerAgent::closeRefusedRun(const RunId &run) {
  if (!State.Life.mayReuseId())
    Attempts.closeRun(run);
}

void WorkerAgent::logUnansweredStart(const Order &order, int attempt) {
  logEvent(Event::OrderUnanswered, {{"task", order.Start.Task},
                                    {"run", order.Start.Run},
                                    {"attempt", attempt},
                                    {"worker", order.Incarnation.Id},
                                    {"born_ms", order.Incarnation.BornMs}});
}

} // namespace oriolebay::agent
