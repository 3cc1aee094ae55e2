// Carries out the leader's orders: sends starts and stops to the worker until
// each order has an outcome.
#include "workeragentorder.h"

#include "eventlog/eventlog.h"
#include "utils/eventloop.h"

#include <algorithm>
#include <utility>

namespace oriolebay::agent {

using endpoints::CallOutcome;
using endpoints::CallStatus;
using endpoints::Message;
using endpoints::OrderOutcome;
using endpoints::RefusalReason;
using endpoints::RunId;
using eventlog::Event;
using eventlog::logEvent;

namespace {

/// Maximum number of attempts to start a run that certainly did nothing, and of
/// those without an answer. The latter are repeated for about as long as the
/// members of a gang wait for each other: the repeated start is idempotent, and
/// a task that leaves the worker has to wait until no attempt is open. They are
/// not repeated if the worker may start again under its id: its next
/// incarnation would run the task again, as it does not know that it is done.
constexpr int MaxUnsentStartAttempts = 4;
constexpr int MaxUnansweredStartAttempts = 10;
/// A call without an answer that took at least this long ran into its timeout.
/// A shorter one broke with its connection.
constexpr absl::Duration MinOrderTimeout = absl::Milliseconds(200);
/// Number of completed orders that are remembered to answer delayed messages.
constexpr size_t MaxCompletedOrders = 2048;
/// Minimum remaining grant that is required to send a start, so that the start
/// can reach the worker in time.
constexpr int64_t MinGrantForStartMs = 300;

} // namespace

Message WorkerAgent::onMessage(const Message &message) {
  if (const auto *orders = std::get_if<endpoints::WorkerOrders>(&message))
    return onOrders(*orders);
  return endpoints::Ack{false, "an agent does not take that message"};
}

endpoints::Ack WorkerAgent::onOrders(const endpoints::WorkerOrders &orders) {
  // An entry that was paused may still act as leader after another took over.
  if (orders.Epoch < Epoch)
    return {false, "fenced: another entry leads", Epoch};
  if (State.Life.empty())
    return {false, "no worker has shown up yet", Epoch};
  Epoch = orders.Epoch;
  logEvent(Event::OrderReceived, {{"worker", orders.Life.Id},
                                  {"epoch", orders.Epoch},
                                  {"starts", orders.Starts.size()},
                                  {"stops", orders.Stops.size()}});
  const bool otherIncarnation =
      orders.Life != State.Life || orders.LastReport < FirstReportOfIncarnation;
  for (const endpoints::StopOrder &stop : orders.Stops)
    if (otherIncarnation)
      logOrderForOtherIncarnation({stop.Task, stop.Run});
    else
      onStopOrder(orders, stop);
  for (const endpoints::StartOrder &start : orders.Starts)
    if (otherIncarnation)
      logOrderForOtherIncarnation({start.Task, start.Run});
    else
      onStartOrder(orders, start);
  return {true, "", Epoch};
}

void WorkerAgent::onStopOrder(const endpoints::WorkerOrders &orders,
                              const endpoints::StopOrder &stop) {
  const RunId key{stop.Task, stop.Run};
  if (StopsInProgress.count(key) != 0)
    return;
  abandonStart(key);
  auto order = std::make_shared<Order>();
  order->Stop = stop;
  order->Incarnation = orders.Life;
  order->Epoch = orders.Epoch;
  StopsInProgress[key] = order;
  stopTask(order);
}

void WorkerAgent::abandonStart(const RunId &run) {
  auto start = StartsInProgress.find(run);
  if (start == StartsInProgress.end())
    return;
  endDeferral(*start->second, "its stop was ordered");
  StartsInProgress.erase(start);
}

bool WorkerAgent::isStopping(const RunId &run) const {
  return StopsInProgress.count(run) != 0 || UnconfirmedStops.count(run) != 0;
}

// A further copy of a start changes nothing: the first one is carried out, or
// completed, for all of them. Only startTask() decides whether a run starts.
void WorkerAgent::onStartOrder(const endpoints::WorkerOrders &orders,
                               const endpoints::StartOrder &start) {
  const RunId key{start.Task, start.Run};
  logRepeatedStart(key, orders.Epoch);
  if (isStopping(key))
    return;
  auto completed = CompletedOrders.find(key);
  if (completed != CompletedOrders.end()) {
    Results.push_back(completed->second);
    reportSoon();
    return;
  }
  if (StartsInProgress.count(key) != 0)
    return;
  auto order = std::make_shared<Order>();
  order->Start = start;
  order->Incarnation = orders.Life;
  order->Epoch = orders.Epoch;
  order->LastReport = std::min(orders.LastReport, LastSequence);
  StartsInProgress[key] = order;
  startTask(order);
}

void WorkerAgent::logOutcome(const RunId &run, OrderOutcome outcome,
                             const std::string &detail) {
  logEvent(Event::OrderCarriedOut,
           {{"task", run.Task},
            {"run", run.Run},
            {"outcome", endpoints::orderOutcomeName(outcome)},
            {"why", detail}});
}

void WorkerAgent::logRepeatedStart(const RunId &run, int64_t epoch) const {
  const std::string known = earlierCopyOf(run);
  if (!known.empty())
    logEvent(Event::OrderRepeated, {{"task", run.Task},
                                    {"run", run.Run},
                                    {"worker", State.Life.Id},
                                    {"epoch", epoch},
                                    {"known", known}});
}

std::string WorkerAgent::earlierCopyOf(const RunId &run) const {
  if (isStopping(run))
    return "stopping";
  auto completed = CompletedOrders.find(run);
  if (completed != CompletedOrders.end())
    return endpoints::orderOutcomeName(completed->second.Outcome);
  auto start = StartsInProgress.find(run);
  return start == StartsInProgress.end() ? "" : start->second->progressName();
}

// Such an order gets no result: a result names no incarnation, and the one of
// the next report may run what was ordered for an earlier one. The leader
// learns from the report itself that the other incarnation has ended.
void WorkerAgent::logOrderForOtherIncarnation(const RunId &run) {
  logOutcome(run, OrderOutcome::Gone, "that life of the worker has ended");
}

void WorkerAgent::completeOrder(const RunId &run, OrderOutcome outcome,
                                const std::string &detail) {
  endpoints::OrderResult result{run.Task, run.Run, outcome, detail};
  logOutcome(run, outcome, detail);
  if (outcome != OrderOutcome::Started && outcome != OrderOutcome::Unconfirmed)
    SentStarts.recordNotStarted(run);
  if (NotifyOrderCompleted)
    NotifyOrderCompleted(result);
  if (CompletedOrders.emplace(run, result).second)
    CompletionOrder.push_back(run);
  else
    CompletedOrders[run] = result;
  if (CompletionOrder.size() > MaxCompletedOrders) {
    CompletedOrders.erase(CompletionOrder.front());
    CompletionOrder.pop_front();
  }
  Results.push_back(std::move(result));
  reportSoon();
}

bool WorkerAgent::isInProgress(const OrderPtr &start) const {
  auto it = StartsInProgress.find({start->Start.Task, start->Start.Run});
  return it != StartsInProgress.end() && it->second == start;
}

void WorkerAgent::startTask(const OrderPtr &order) {
  const RunId key{order->Start.Task, order->Start.Run};
  if (!isInProgress(order)) {
    endDeferral(*order, "not wanted any more");
    return;
  }
  // A new leader has taken over and resolves this run from the worker's list.
  // A further attempt could start the run after that, without its knowledge.
  if (order->Epoch < Epoch) {
    endDeferral(*order, "another leader has taken over");
    StartsInProgress.erase(key);
    return;
  }
  if (State.Draining) {
    refuseStart(order, OrderOutcome::Refused, "the worker is draining");
    return;
  }
  // Workers do not refuse tasks that exceed their capacity.
  if (isStateOutdated()) {
    refuseStart(order, OrderOutcome::Refused, "its state is outdated");
    return;
  }
  if (!order->Start.DecidedOn.fitsIn(State.Capacity)) {
    refuseStart(order, OrderOutcome::NoCapacity, "its capacity has shrunk");
    return;
  }
  // No run may start without a grant, as the leader may already count this
  // worker's tasks as ended.
  const int64_t until = keepAliveUntilMs();
  if (!ClockOffset ||
      GrantEnd - Loop.now() < absl::Milliseconds(MinGrantForStartMs)) {
    refuseStart(order, OrderOutcome::Refused, "no grant to keep it alive");
    return;
  }
  if (order->LastReport < GrantedSinceReport) {
    refuseStart(order, OrderOutcome::Refused,
                "the grant has ended since it was ordered");
    return;
  }
  const CordonView::Permission permission = Cordon.permission(Loop.now());
  if (permission == CordonView::Permission::Cordoned) {
    ++StartsRefusedByCordon;
    refuseStart(order, OrderOutcome::Refused,
                "the operator evacuates its failure domain");
    return;
  }
  const std::string deferral = permission == CordonView::Permission::Unknown
                                   ? "the cordons are not known"
                                   : deferralReason();
  if (!deferral.empty()) {
    defer(*order, deferral);
    retryStart(order);
    return;
  }
  // Each attempt that is not needed is one more that may be carried out late.
  if (isListedAsRunning(key)) {
    completeListedStart(order);
    return;
  }
  if (order->awaitsItsOnlyAttempt()) {
    awaitOnlyAttempt(order);
    return;
  }
  endDeferral(*order, "allowed");
  if (StartWindow.isFull())
    StartWindow.Queued.push_back(order);
  else
    sendStart(order, until);
}

void WorkerAgent::sendStart(const OrderPtr &order, int64_t untilMs) {
  const RunId key{order->Start.Task, order->Start.Run};
  endpoints::StartCall call;
  call.Incarnation = order->Incarnation;
  call.Order = order->Start;
  call.UntilMs = untilMs;
  call.Epoch = order->Epoch;
  // A reused connection may be silent, or end under the request, which leaves
  // the outcome unknown.
  call.FreshConnection = true;
  ++order->Attempts;
  SentStarts.recordSent(key, Loop.now());
  const OpenAttempts::AttemptNumber number =
      Attempts.open(key, order->Incarnation, Loop.now());
  order->LastAttempt = number;
  order->FirstSentAt = std::min(order->FirstSentAt, Loop.now());
  order->RefusedFromMs = untilMs;
  ++StartWindow.InFlight;
  Worker.Start(call,
               [this, alive = Alive, order, attempt = order->Attempts, number,
                key, sentAt = Loop.now()](const CallOutcome &outcome) {
                 if (!*alive)
                   return;
                 recordAttemptOutcome(*order, attempt, number, outcome);
                 if (order->Incarnation == State.Life) {
                   if (outcome.Status == CallStatus::NoAnswer &&
                       Loop.now() - sentAt >= MinOrderTimeout)
                     SentStarts.recordTimeout(key, Loop.now());
                   onStartReply(order, outcome);
                 }
                 onWindowCallAnswered(StartWindow, &WorkerAgent::resumeStart);
               });
}

// What had been decided when an order was queued may not hold any more.
void WorkerAgent::onWindowCallAnswered(
    CallWindow &window, void (WorkerAgent::*resume)(const OrderPtr &)) {
  --window.InFlight;
  while (!window.isFull() && !window.Queued.empty()) {
    const OrderPtr order = window.Queued.front();
    window.Queued.pop_front();
    (this->*resume)(order);
  }
}

bool WorkerAgent::isStateOutdated() const {
  return Loop.now() - LastHeartbeatAt >= Time.StateOutdatedAfter;
}

void WorkerAgent::refuseStart(const OrderPtr &order, OrderOutcome outcome,
                              const std::string &why) {
  const RunId key{order->Start.Task, order->Start.Run};
  endDeferral(*order, why);
  StartsInProgress.erase(key);
  completeOrder(
      key, order->isPossiblyDelivered() ? OrderOutcome::Unconfirmed : outcome,
      why);
}

void WorkerAgent::retryStart(const OrderPtr &order) {
  Loop.runAfter(OrderRetryPause, [this, alive = Alive, order] {
    if (*alive)
      resumeStart(order);
  });
}

void WorkerAgent::resumeStart(const OrderPtr &order) {
  if (order->Incarnation == State.Life)
    startTask(order);
  else
    endDeferral(*order, "that incarnation has ended");
}

std::string WorkerAgent::deferralReason() const {
  if (!Attempts.pendingStops(State.Life, Loop.now()).empty())
    return "the worker has to refuse earlier starts first";
  if (LastAppliedKeepAlive < FirstKeepAliveAfterStop)
    return "the worker has not listed its tasks since it refused earlier "
           "starts";
  const bool isEarlierStartListed =
      std::any_of(Running.begin(), Running.end(), [this](const auto &r) {
        return Attempts.isOpenElsewhere({r.Task, r.Run}, State.Life,
                                        Loop.now());
      });
  if (isEarlierStartListed)
    return "the worker runs an earlier start";
  return isLeaderSilent() ? "the leader does not answer" : "";
}

void WorkerAgent::defer(Order &order, const std::string &why,
                        int64_t atMostMs) {
  if (order.DeferredFor == why)
    return;
  endDeferral(order, why);
  order.DeferredFor = why;
  order.DeferredSince = Loop.now();
  logEvent(Event::OrderDeferred, {{"task", order.Start.Task},
                                  {"run", order.Start.Run},
                                  {"worker", order.Incarnation.Id},
                                  {"born_ms", order.Incarnation.BornMs},
                                  {"why", why},
                                  {"at_most_ms", atMostMs}});
}

void WorkerAgent::endDeferral(Order &order, const std::string &next) const {
  if (order.DeferredFor.empty())
    return;
  const absl::Duration deferred = Loop.now() - order.DeferredSince;
  logEvent(Event::OrderDeferralEnded,
           {{"task", order.Start.Task},
            {"run", order.Start.Run},
            {"worker", order.Incarnation.Id},
            {"why", std::exchange(order.DeferredFor, "")},
            {"next", next},
            {"deferred_ms", absl::ToInt64Milliseconds(deferred)}});
}

// A leader that gets no reports waits until no attempt of this agent can be
// carried out any more, counted from the last report.
bool WorkerAgent::isLeaderSilent() const {
  return Loop.now() - AnsweredReportAt > Time.UnresponsiveAfter;
}

void WorkerAgent::onStartReply(const OrderPtr &order,
                               const CallOutcome &outcome) {
  const RunId key{order->Start.Task, order->Start.Run};
  recordWorkerClock(outcome.ClockMs);
  if (outcome.Status == CallStatus::Ok)
    SentStarts.recordAccepted(key);
  if (!isInProgress(order))
    return;
  auto end = [&](OrderOutcome result) {
    StartsInProgress.erase(key);
    // The worker may still carry out an attempt that got no answer, so the
    // refusal of another attempt does not resolve the run.
    if (order->isPossiblyDelivered() && result != OrderOutcome::Started &&
        result != OrderOutcome::Gone)
      result = OrderOutcome::Unconfirmed;
    completeOrder(key, result, outcome.Detail);
  };
  switch (outcome.Status) {
  case CallStatus::Ok:
    return end(OrderOutcome::Started);
  case CallStatus::OtherIncarnation:
    return end(OrderOutcome::Gone);
  case CallStatus::Busy:
    return end(OrderOutcome::Busy);
  case CallStatus::Refused:
    if (outcome.Reason == RefusalReason::NoCapacity)
      return end(OrderOutcome::NoCapacity);
    if (outcome.Reason == RefusalReason::Fenced)
      return end(OrderOutcome::Fenced);
    return end(OrderOutcome::Refused);
  case CallStatus::NoAnswer:
    ++order->UnansweredAttempts;
    if (order->awaitsItsOnlyAttempt())
      sendKeepAlive(0);
    break;
  case CallStatus::NotSent:
  case CallStatus::NotListening:
    ++order->UnsentAttempts;
    if (!order->isPossiblyDelivered())
      SentStarts.recordNotStarted(key);
    break;
  }
  if (order->UnsentAttempts >= MaxUnsentStartAttempts ||
      order->UnansweredAttempts >= MaxUnansweredStartAttempts)
    return end(OrderOutcome::Refused);
  retryStart(order);
}

} // namespace oriolebay::agent
