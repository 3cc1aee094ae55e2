#pragma once

#include "endpoints/peers.h"
#include "endpoints/workercalls.h"
#include "latestarts.h"
#include "leaderfinder.h"
#include "platform/store.h"
#include "settings/nodesettings.h"
#include "startbook.h"

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

/// What an agent knows at this moment, for metrics and operators.
struct AgentStatus {
  bool Reachable = false;
  bool Draining = false;
  bool KnowsLeader = false;
  int64_t LeaderEpoch = 0;
  size_t Running = 0;
  /// Ends that the leader has not taken note of.
  size_t EndsOpen = 0;
  /// For how long it may keep its tasks alive; zero when no longer.
  double GrantLeftSeconds = 0;
};

/// The process beside a worker. It takes the worker's heartbeats, keeps the
/// worker's tasks alive for as long as the leader grants it, watches for ends,
/// carries out the leader's orders and reports all of it to the leader. It
/// keeps nothing: a new agent finds all with one look at its worker. Owned by
/// one event loop.
class WorkerAgent {
public:
  /// An order has its outcome; for counting.
  using OnConcluded = std::function<void(const endpoints::OrderResult &)>;

  WorkerAgent(utils::EventLoop &loop, platform::Store store,
              endpoints::Peers peers, endpoints::WorkerCalls worker,
              settings::NodeSettings settings, std::string entryPrefix,
              OnConcluded concluded = {});
  ~WorkerAgent();
  WorkerAgent(const WorkerAgent &) = delete;
  WorkerAgent &operator=(const WorkerAgent &) = delete;

  void start();
  /// The worker announced itself. True: it may be told that it was heard.
  bool onHeartbeat(const endpoints::Heartbeat &beat);
  /// That life of the worker says that it has ended.
  void onLeave(const endpoints::WorkerLife &life);
  /// Planned stop: tasks are held as long as granted, so that they outlive the
  /// change to the next process. Done is called when this one may end.
  void stop(std::function<void()> done);
  AgentStatus status() const;

private:
  struct Order;
  using RunKey = std::pair<std::string, int64_t>;
  using OrderPtr = std::shared_ptr<Order>;

  endpoints::Message onMessage(const endpoints::Message &message);
  endpoints::Ack onOrders(const endpoints::WorkerOrders &orders);

  static bool isOther(const endpoints::CallOutcome &outcome,
                      const endpoints::WorkerLife &life);
  void takeHeartbeat(const endpoints::Heartbeat &beat);
  void tryLife(const endpoints::Heartbeat &beat);
  void adoptLife(const endpoints::Heartbeat &beat);
  /// How it shows that the life which is served is over.
  enum class EndSign { SaidSo, NobodyListens, OtherLife };
  void endLife(const std::string &why, EndSign sign);
  void settleLateStarts(const endpoints::WorkerLife &ended);
  void settleLateStart(const endpoints::WorkerLife &ended,
                       const endpoints::RunId &run);
  void noteEnded(endpoints::LifeEnd end);
  void noteIgnored(const endpoints::Heartbeat &beat);
  bool hasEnded(const endpoints::WorkerLife &life) const;
  void forgetEnd(const endpoints::WorkerLife &life);

  void hold(int64_t waitMs);
  endpoints::HoldCall holdCall(int64_t waitMs) const;
  void holdLater(absl::Duration delay);
  void onHeld(uint64_t number, int64_t epoch,
              const endpoints::HoldReply &reply);
  absl::Duration pauseBeforeLook() const;
  void notReached(const std::string &why);
  void noteClock(int64_t clockMs);
  int64_t untilMs() const;

  void startTask(const OrderPtr &order);
  void onStarted(const OrderPtr &order, const endpoints::CallOutcome &outcome);
  void stopTask(const OrderPtr &order);
  void onStopped(const OrderPtr &order, const endpoints::CallOutcome &outcome);
  void settleStops(uint64_t holdNumber);
  void conclude(const RunKey &run, endpoints::OrderOutcome outcome,
                const std::string &detail);

  void reportSoon();
  void report();
  void reportLater();
  void sendReport(const std::string &address,
                  const endpoints::WorkerReport &message);
  void onReportAnswer(const std::string &address,
                      const endpoints::ReportAck &ack, absl::Time sent,
                      uint64_t results);
  void onReportSilence(const std::string &address);
  void reportAgain(absl::Duration delay);
  void noteGrantEnd();
  void askStore();
  static std::vector<std::string> addressesIn(const platform::StorePage &page);

  utils::EventLoop &Loop;
  const endpoints::Peers Peers;
  const endpoints::WorkerCalls Worker;
  const settings::NodeSettings Settings;
  const settings::Timing Time;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  const platform::Store Calls;
  const std::string EntryPrefix;
  const OnConcluded Concludes;
  LeaderFinder Leader;
  bool AskingStore = false;

  /// The worker's life that is served; an empty Life when none is known.
  endpoints::WorkerState State;
  int64_t LastBeat = 0;
  absl::Time BeatAt;
  /// The latest lives that are over, the newest last.
  std::vector<endpoints::LifeEnd> EndedLives;
  /// Those of them whose heartbeats still came.
  std::set<endpoints::WorkerLife> IgnoredLives;
  endpoints::WorkerLife TryingLife;
  /// Worker clock less boot clock, in milliseconds, as of the last answer.
  std::optional<int64_t> ClockOffset;

  int64_t Epoch = 0;
  absl::Time GrantEnd = absl::InfinitePast();
  bool GrantEndTold = false;
  int64_t SeenUpto = 0;
  endpoints::LearnedSpeed Speed;

  // What the worker listed last.
  std::vector<endpoints::RunningTask> Running;
  std::vector<endpoints::EndedTask> Ended;
  absl::Time ListedAt = absl::InfinitePast();
  /// Number of the first end that the worker has not forgotten; zero: none.
  int64_t OldestEnd = 0;
  /// When the list of ends last became another one.
  absl::Time EndedAt = absl::InfinitePast();
  int64_t ListedEpoch = 0;
  uint64_t HoldsSent = 0;
  uint64_t HoldsTaken = 0;
  int HoldsOut = 0;
  int HoldFailures = 0;
  int NotThere = 0;
  bool HoldQueued = false;
  bool Reachable = false;
  /// This life has been looked at.
  bool Listed = false;

  /// Starts that this life was sent.
  StartBook Sent;
  /// Outlives lives, as they may share an id.
  LateStarts Late;
  /// Orders that are being carried out.
  std::map<RunKey, OrderPtr> Starting;
  std::map<RunKey, OrderPtr> StoppingRuns;
  /// Runs stopped, by the number of the first hold that was sent after.
  std::map<RunKey, uint64_t> Stopped;
  /// What starts came to, for orders that are sent again.
  std::map<RunKey, endpoints::OrderResult> Concluded;
  std::deque<RunKey> ConcludedOrder;
  /// Results that the leader has not confirmed, and the number of the first.
  std::vector<endpoints::OrderResult> Results;
  uint64_t FirstResult = 0;

  int64_t LastSequence = 0;
  bool ReportQueued = false;
  bool StopAsked = false;
};

} // namespace oriolebay::agent
