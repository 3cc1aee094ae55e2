#pragma once

#include "cordonview.h"
#include "endpoints/peers.h"
#include "endpoints/workercalls.h"
#include "heartbeatsequence.h"
#include "leaderfinder.h"
#include "openattempts.h"
#include "platform/store.h"
#include "reportcontents.h"
#include "settings/nodesettings.h"
#include "starttracker.h"

#include <absl/time/time.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oriolebay::utils {
class EventLoop;
}

namespace oriolebay::agent {

/// Current state of an agent, for metrics and operators.
struct AgentStatus {
  bool Reachable = false;
  bool Draining = false;
  bool KnowsLeader = false;
  int64_t LeaderEpoch = 0;
  size_t Running = 0;
  /// Number of ended runs that the leader has not acknowledged.
  size_t UnacknowledgedEnds = 0;
  /// Time in seconds for which the agent may still keep its tasks alive; zero
  /// if the grant has expired.
  double GrantLeftSeconds = 0;
  /// The operator evacuates the worker's failure domain.
  bool Cordoned = false;
  /// Number of starts refused because of that since this process began.
  int64_t StartsRefusedByCordon = 0;
};

/// The process that runs beside a worker. It receives the worker's heartbeats,
/// keeps the worker's tasks alive for as long as the leader grants it, polls
/// the worker for ended runs, carries out the leader's orders and reports all
/// of this to the leader. It persists nothing: a new agent learns the state
/// from one keep-alive call to its worker. Owned by one event loop.
class WorkerAgent {
public:
  /// Called with the outcome of each order, for counting.
  using OnOrderCompleted = std::function<void(const endpoints::OrderResult &)>;

  WorkerAgent(utils::EventLoop &loop, platform::Store store,
              endpoints::Peers peers, endpoints::WorkerCalls worker,
              settings::NodeSettings settings, std::string entryPrefix,
              OnOrderCompleted onCompleted = {});
  ~WorkerAgent();
  WorkerAgent(const WorkerAgent &) = delete;
  WorkerAgent &operator=(const WorkerAgent &) = delete;

  /// Starts the periodic reports. Heartbeats and orders are handled from the
  /// construction on.
  void start();
  /// Handles a heartbeat of the worker. Returns whether the heartbeat can be
  /// acknowledged; this is always the case, also for an ignored heartbeat.
  bool onHeartbeat(const endpoints::Heartbeat &heartbeat);
  /// Handles the deregistration of a worker incarnation, which announces its
  /// end.
  void onDeregister(const endpoints::WorkerIncarnation &incarnation);
  /// Stops as planned: the tasks are kept alive for as long as granted, so that
  /// they survive the change to the next agent process. Calls done when this
  /// process can end. Further calls have no effect and do not call done.
  void stop(std::function<void()> done);
  AgentStatus status() const;

private:
  /// Lists of runs up to this size are polled and reported without a pause.
  static constexpr size_t SmallListBytes = size_t{16} * 1024;
  /// Rates at which larger lists are reported, for the leader's sake, and
  /// polled, for that of this process.
  static constexpr size_t ReportBytesPerSecond = size_t{256} * 1024;
  static constexpr size_t PollBytesPerSecond = size_t{1024} * 1024;

  struct Order;
  using OrderPtr = std::shared_ptr<Order>;
  /// Calls of one kind to the worker, of which a few are open at a time.
  struct CallWindow {
    /// Maximum number of calls without an answer. A worker and its agent have
    /// some 64 connections for each other.
    static constexpr size_t MaxInFlight = 24;

    size_t InFlight = 0;
    /// Orders that wait until a call is answered.
    std::deque<OrderPtr> Queued = {};

    bool isFull() const { return InFlight >= MaxInFlight; }
  };

  endpoints::Message onMessage(const endpoints::Message &message);
  endpoints::Ack onOrders(const endpoints::WorkerOrders &orders);
  /// Begins to carry out a stop, unless that is in progress. No attempt to
  /// start the run is sent after that.
  void onStopOrder(const endpoints::WorkerOrders &orders,
                   const endpoints::StopOrder &stop);
  /// Begins to carry out a start, or repeats its outcome if it is completed.
  /// Has no effect while the run's stop is in progress, whose outcome tells
  /// what became of the run.
  void onStartOrder(const endpoints::WorkerOrders &orders,
                    const endpoints::StartOrder &start);

  /// Returns whether the outcome comes from another incarnation than the called
  /// one.
  static bool
  isOtherIncarnation(const endpoints::CallOutcome &outcome,
                     const endpoints::WorkerIncarnation &incarnation);
  /// Applies a heartbeat of the served incarnation.
  void applyHeartbeat(const endpoints::Heartbeat &heartbeat);
  /// Calls the worker to check whether the incarnation of the heartbeat is the
  /// current one, and serves it if it is.
  void probeIncarnation(const endpoints::Heartbeat &heartbeat);
  void beginIncarnation(const endpoints::Heartbeat &heartbeat);
  /// How the agent learned that the served incarnation has ended.
  enum class EndReason { Deregistered, ConnectionRefused, Superseded };
  void endIncarnation(const std::string &why, EndReason reason);
  /// Calls stopOpenStarts() in the next iteration of the event loop.
  void stopOpenStartsSoon();
  /// Has the worker stop every run with an open attempt that was sent to
  /// another incarnation than the served one, until it confirms the stop.
  void stopOpenStarts();
  /// Sends one such stop, and retries it for as long as no other round begins.
  void sendOpenStartStop(const OpenAttempts::PendingStop &stop, uint64_t round);
  /// Handles the outcome of such a stop, which was sent while this incarnation
  /// was served.
  void onOpenStartStopReply(const OpenAttempts::PendingStop &stop,
                            const endpoints::WorkerIncarnation &served,
                            const endpoints::CallOutcome &outcome);
  void recordIncarnationEnd(endpoints::IncarnationEnd end);
  void logIgnoredHeartbeat(const endpoints::Heartbeat &heartbeat,
                           const std::string &why);
  bool hasEnded(const endpoints::WorkerIncarnation &incarnation) const;
  void removeIncarnationEnd(const endpoints::WorkerIncarnation &incarnation);

  /// Sends a keep-alive call, which also polls the worker. waitMs is the
  /// maximum time for which the worker may delay its answer.
  void sendKeepAlive(int64_t waitMs);
  endpoints::KeepAliveCall makeKeepAliveCall(int64_t waitMs) const;
  /// Sends a keep-alive call after delay, unless another one is scheduled or,
  /// by then, in flight.
  void scheduleKeepAlive(absl::Duration delay);
  /// Handles the answer to the keep-alive call with this number, which was sent
  /// with this epoch.
  void onKeepAliveReply(uint64_t number, int64_t epoch,
                        endpoints::KeepAliveReply reply);
  absl::Duration pauseBeforePoll() const;
  /// Handles a poll that was not answered: reports the worker as unreachable,
  /// or its process as ended, after several.
  void onFailedPoll(const endpoints::CallOutcome &outcome);
  /// Records that the worker answered, with its clock. Has no effect if the
  /// answer contained no clock (zero).
  void recordWorkerClock(int64_t clockMs);
  /// Returns the time on the worker's clock until which the grant allows its
  /// tasks to run; zero if the grant has expired or the clock is unknown.
  int64_t keepAliveUntilMs() const;

  /// Sends the next attempt of a start. Completes the order without an attempt
  /// if the run must not start any more. No other function decides that, as an
  /// outcome has to hold for all copies of the order.
  void startTask(const OrderPtr &order);
  /// Completes the start without a further attempt, as its run must not start.
  void refuseStart(const OrderPtr &order, endpoints::OrderOutcome outcome,
                   const std::string &why);
  /// Sends no further attempt to start the run. Its stop tells what becomes of
  /// an attempt that was sent.
  void abandonStart(const endpoints::RunId &run);
  /// Returns whether the run's stop was ordered and is not settled yet.
  bool isStopping(const endpoints::RunId &run) const;
  void logCordonChange() const;
  /// Returns whether the start is still being carried out, that is, neither
  /// completed nor abandoned.
  bool isInProgress(const OrderPtr &start) const;
  /// Waits until the worker lists the run of the only attempt that was sent, or
  /// until that attempt's time limit has passed.
  void awaitOnlyAttempt(const OrderPtr &order);
  /// Completes a start whose run the worker lists.
  void completeListedStart(const OrderPtr &order);
  /// Completes the starts without an answer whose runs the worker lists.
  void completeListedStarts();
  /// Calls startTask() again after a pause.
  void retryStart(const OrderPtr &order);
  /// Returns whether the worker's last list names the run as running.
  bool isListedAsRunning(const endpoints::RunId &run) const;
  bool isListedAsEnded(const endpoints::RunId &run) const;
  /// Returns why starts are deferred: the served incarnation may still carry
  /// out or still run starts that were sent to earlier ones, which the leader
  /// does not count as used capacity, or the leader does not answer. Empty if
  /// no start has to be deferred.
  std::string deferralReason() const;
  /// Returns whether the last heartbeat is so old that the worker's capacity
  /// may have shrunk without the agent's knowledge.
  bool isStateOutdated() const;
  /// Logs that the start is deferred, once for each reason. atMostMs is the
  /// time after which the reason is over; zero if unknown.
  void defer(Order &order, const std::string &why, int64_t atMostMs = 0);
  /// Logs how long the start was deferred, if it was, and what comes next.
  void endDeferral(Order &order, const std::string &next) const;
  /// Returns whether the leader has not answered a report for so long that it
  /// counts the worker as unresponsive.
  bool isLeaderSilent() const;
  /// The served incarnation refuses the run from now on, as it has ended there
  /// or its stop is confirmed. Closes the attempts to start it, unless a later
  /// incarnation under the id may carry them out.
  void closeRefusedRun(const endpoints::RunId &run);
  /// Updates the open attempts with the outcome of an attempt, also if its
  /// incarnation has ended meanwhile.
  void recordAttemptOutcome(const Order &order, int attempt,
                            OpenAttempts::AttemptNumber number,
                            const endpoints::CallOutcome &outcome);
  static void logUnansweredStart(const Order &order, int attempt);
  /// Handles the outcome of an attempt of a start, also if it got no answer.
  void onStartReply(const OrderPtr &order,
                    const endpoints::CallOutcome &outcome);
  /// Sends one attempt of a start, which carries the time until which the
  /// worker may run it.
  void sendStart(const OrderPtr &order, int64_t untilMs);
  /// Call startTask() or stopTask() if the order's incarnation is still served.
  void resumeStart(const OrderPtr &order);
  void resumeStop(const OrderPtr &order);
  /// Carries out the orders that waited for one of the window's calls, which
  /// has been answered.
  void onWindowCallAnswered(CallWindow &window,
                            void (WorkerAgent::*resume)(const OrderPtr &));
  /// Sends the next attempt of a stop.
  void stopTask(const OrderPtr &order);
  /// Handles the outcome of an attempt of a stop, also if it got no answer.
  void onStopReply(const OrderPtr &order,
                   const endpoints::CallOutcome &outcome);
  /// Resolves the stops whose runs are no longer listed as running in the
  /// answer to the keep-alive call with this number. A run that is not listed
  /// as ended either is reported as absent.
  void resolveStops(uint64_t callNumber);
  static void logOutcome(const endpoints::RunId &run,
                         endpoints::OrderOutcome outcome,
                         const std::string &detail);
  /// Logs that a start was ordered that this process has received before.
  void logRepeatedStart(const endpoints::RunId &run, int64_t epoch) const;
  /// Returns what became of the earlier copies of a start; empty if this
  /// process has received none.
  std::string earlierCopyOf(const endpoints::RunId &run) const;
  /// Logs that an order for another incarnation than the served one is dropped.
  static void logOrderForOtherIncarnation(const endpoints::RunId &run);
  /// Remembers, logs and reports the outcome of an order.
  void completeOrder(const endpoints::RunId &run,
                     endpoints::OrderOutcome outcome,
                     const std::string &detail);

  /// Sends a report in the next iteration of the event loop or, if the last one
  /// was large, as soon as the next one is due.
  void reportSoon();
  void reportWhenDue();
  void report();
  /// Sends a report after the report interval, and schedules the next one.
  void scheduleReport();
  void sendReport(const std::string &address,
                  const endpoints::WorkerReport &message);
  /// Handles the answer to the report with this number. sent is when the report
  /// was sent, from which the grant counts; resultsEnd is the number after that
  /// of the last result in the report.
  void onReportAck(const std::string &address, const endpoints::ReportAck &ack,
                   absl::Time sent, int64_t sequence, uint64_t resultsEnd);
  /// Extends the grant from the time at which the report was sent, or begins a
  /// new one if the earlier one had ended by then.
  void extendGrant(absl::Time sent, int64_t sequence, absl::Duration grant);
  /// Takes over what the leader knows of starts by an earlier process of this
  /// agent, and has the worker refuse them.
  void adoptEarlierStarts(const std::vector<endpoints::EarlierStart> &starts);
  void onReportUnanswered(const std::string &address);
  void reportAfter(absl::Duration delay);
  /// Logs once that the grant has expired.
  void logGrantEnd();
  void readEntriesFromStore();
  std::vector<std::string>
  parseEntryAddresses(const platform::StorePage &page) const;

  utils::EventLoop &Loop;
  const endpoints::Peers Peers;
  const endpoints::WorkerCalls Worker;
  const settings::NodeSettings Settings;
  const settings::Timing Time;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  const platform::Store StoreClient;
  const std::string EntryPrefix;
  const OnOrderCompleted NotifyOrderCompleted;
  /// When this process began to track the starts that it sends.
  const absl::Time StartedAt;
  LeaderFinder Leader;
  bool ReadingEntries = false;

  /// The worker incarnation that is served; Life is empty if none is known.
  endpoints::WorkerState State;
  /// Number of the first report since the served incarnation counted as ended;
  /// zero if it never did. The leader may have given up what it ordered before.
  int64_t FirstReportOfIncarnation = 0;
  HeartbeatSequence HeartbeatNumbers{Time.StateOutdatedAfter};
  absl::Time LastHeartbeatAt;
  /// The latest incarnations that have ended, the newest last.
  std::vector<endpoints::IncarnationEnd> EndedIncarnations;
  /// Ended incarnations whose heartbeats were ignored. Only the first one of
  /// each is logged.
  std::set<endpoints::WorkerIncarnation> IgnoredIncarnations;
  /// Incarnation that is being probed; empty if none.
  endpoints::WorkerIncarnation ProbedIncarnation;
  /// Worker clock minus boot clock in milliseconds, as of the last answer.
  std::optional<int64_t> ClockOffset;

  /// Highest leader epoch received.
  int64_t Epoch = 0;
  /// Until when the leader lets this agent keep the worker's tasks alive.
  absl::Time GrantEnd = absl::InfinitePast();
  bool GrantEndLogged = false;
  /// Number of the report with which the current grant began. What the leader
  /// ordered before it received that report it may have given up, because the
  /// grant before had ended.
  int64_t GrantedSinceReport = 0;
  /// When the latest report that the leader has answered was sent.
  absl::Time AnsweredReportAt = absl::InfinitePast();
  CordonView Cordon;
  int64_t StartsRefusedByCordon = 0;
  /// Number up to which the leader has recorded ends of this incarnation.
  int64_t SeenUpto = 0;
  /// Speed of the worker as the last leader reported it.
  endpoints::LearnedSpeed Speed;
  endpoints::LearnedSpeed SpeedWithGangs;

  // The lists of the worker's last answer.
  std::vector<endpoints::RunningTask> Running;
  std::vector<endpoints::EndedTask> Ended;
  /// The worker had no other ends when it listed these.
  bool EndsComplete = true;
  absl::Time ListedAt = absl::InfinitePast();
  /// The worker's clock when it sent these lists; zero if unknown.
  int64_t ListedClockMs = 0;
  /// Number of the first end that the worker still lists; zero if none.
  int64_t OldestEndNumber = 0;
  /// When the list of ends last changed.
  absl::Time EndsChangedAt = absl::InfinitePast();
  /// Epoch that the worker knew when it listed its tasks.
  int64_t ListedEpoch = 0;
  /// Number of the last keep-alive call.
  uint64_t KeepAlivesSent = 0;
  /// Highest number of a keep-alive call whose answer was applied.
  uint64_t LastAppliedKeepAlive = 0;
  int KeepAlivesInFlight = 0;
  /// Consecutive keep-alive calls that failed.
  int ConsecutivePollFailures = 0;
  /// Consecutive keep-alive calls whose connection was refused.
  int RefusedConnections = 0;
  absl::Time LastCountedFailureAt = absl::InfinitePast();
  bool KeepAliveQueued = false;
  bool Reachable = false;
  /// The lists of this incarnation have been received.
  bool ListsReceived = false;

  /// Starts that were sent to this incarnation.
  StartTracker SentStarts;
  /// Open attempts to start runs. Kept across incarnations, as they may share
  /// an id.
  OpenAttempts Attempts;
  /// Number of the current round of stops of open attempts. A new round
  /// replaces the previous one.
  uint64_t StopRound = 0;
  bool StopRoundQueued = false;
  /// Number of the first keep-alive call that was sent after the last confirmed
  /// stop of an open attempt.
  uint64_t FirstKeepAliveAfterStop = 0;
  CallWindow StartWindow;
  CallWindow StopWindow;
  /// Starts and stops that are being carried out.
  std::map<endpoints::RunId, OrderPtr> StartsInProgress;
  std::map<endpoints::RunId, OrderPtr> StopsInProgress;
  /// Stopped runs that the worker's lists have not confirmed yet, with the
  /// number of the first keep-alive call that was sent after the stop.
  std::map<endpoints::RunId, uint64_t> UnconfirmedStops;
  /// Outcomes of completed orders, to answer starts that are sent again.
  std::map<endpoints::RunId, endpoints::OrderResult> CompletedOrders;
  std::deque<endpoints::RunId> CompletionOrder;
  /// Results that the leader has not acknowledged. FirstResultNumber is the
  /// number of the first.
  std::vector<endpoints::OrderResult> Results;
  uint64_t FirstResultNumber = 0;

  /// Sequence number of the last report.
  int64_t LastSequence = 0;
  bool ReportQueued = false;
  SavedProgressTurns SavedTurns;
  /// For the reports of changes. Those at the usual interval are sent all the
  /// same, as the answers to them are the grants.
  SizePacer ReportPacer{SmallListBytes, ReportBytesPerSecond,
                        Time.ReportInterval};
  /// For polls.
  const SizePacer PollPacer{SmallListBytes, PollBytesPerSecond,
                            Time.ReportInterval};
  bool StopRequested = false;
};

} // namespace oriolebay::agent
