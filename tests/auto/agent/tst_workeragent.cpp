#include "agent/workeragent.h"

#include "eventlog/eventlog.h"
#include "eventlog/timeline.h"
#include "platform/election.h"
#include "utils/eventloop.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <unistd.h>
#include <utility>
#include <vector>

namespace oriolebay::agent {
namespace {

using endpoints::CallOutcome;
using endpoints::CallStatus;

/// An agent with a leader and a worker that the test simulates.
class AgentFixture {
public:
  AgentFixture() : Loop(1000, utils::EventLoop::Time::Manual) {
    settings::NodeSettings settings;
    settings.Name = "agent";
    endpoints::Peers peers;
    peers.Address = "agent";
    peers.Serve = [this](endpoints::Peers::Handler h) { Handler = h; };
    peers.Call = [this](const std::string &, const endpoints::Message &m, int,
                        const endpoints::Peers::Done &done) {
      Reports.push_back(std::get<endpoints::WorkerReport>(m));
      if (AnswersReports)
        Loop.runAfter(absl::Milliseconds(1),
                      [this, done] { done(endpoints::Message(Ack)); });
      else
        Loop.runAfter(absl::Milliseconds(400), [done] { done(std::nullopt); });
    };
    endpoints::WorkerCalls worker;
    worker.Start = [this](const endpoints::StartCall &c, const auto &done) {
      Starts.push_back(c);
      Loop.runAfter(absl::Milliseconds(StartDurationMs),
                    [this, done] { done(StartOutcome); });
    };
    worker.Stop = [this](const endpoints::StopCall &c, const auto &done) {
      Stops.push_back(c);
      Loop.runAfter(absl::Milliseconds(1), [this, done] { done(StopOutcome); });
    };
    worker.KeepAlive = [this](const endpoints::KeepAliveCall &c,
                              const auto &done) {
      KeepAliveCalls.push_back(c);
      endpoints::KeepAliveReply reply;
      reply.Running = Running;
      std::erase_if(Ended, [&](const endpoints::EndedTask &e) {
        return e.Number <= c.SeenUpto;
      });
      reply.Ended = Ended;
      const bool isLongPoll = c.WaitMs > 0 && reply.Ended.empty() &&
                              KeepAliveOutcome.Status == CallStatus::Ok;
      Loop.runAfter(absl::Milliseconds(isLongPoll ? c.WaitMs : 1),
                    [this, done, reply]() mutable {
                      reply.Outcome = KeepAliveOutcome;
                      done(reply);
                    });
    };
    platform::Store store;
    store.Range = [](const std::string &, const std::string &,
                     platform::ReadMode, const auto &done) {
      platform::StorePage page;
      page.Items.push_back({"entries/e",
                            platform::encode(platform::EntryRecord{"entry", 1}),
                            1, 1, 1});
      done({platform::StoreStatus::Ok, page, ""});
    };
    Ack.Epoch = 5;
    Ack.GrantMs = 5500;
    Ack.CordonAgeMs = 0;
    Agent = std::make_unique<WorkerAgent>(Loop, store, peers, worker, settings,
                                          "entries/");
    Agent->start();
    NextHeartbeat.Worker.Life = {"life", 1};
    NextHeartbeat.Worker.Capacity = {32000, 65536, 8};
    sendHeartbeat();
    sendHeartbeatLater();
    Loop.advance(absl::Seconds(1));
  }

  void sendHeartbeat() {
    ++NextHeartbeat.Sequence;
    Agent->onHeartbeat(NextHeartbeat);
  }
  /// Sends heartbeats at the usual interval while the worker answers.
  void sendHeartbeatLater() {
    Loop.runAfter(absl::Milliseconds(1500), [this] {
      if (SendsHeartbeats && KeepAliveOutcome.Status == CallStatus::Ok)
        sendHeartbeat();
      sendHeartbeatLater();
    });
  }
  endpoints::Ack sendOrders(const endpoints::WorkerOrders &orders) {
    endpoints::Ack ack;
    Handler(endpoints::Message(orders), [&](const endpoints::Message &reply) {
      ack = std::get<endpoints::Ack>(reply);
    });
    return ack;
  }
  static endpoints::WorkerOrders makeStart(int64_t epoch, int64_t run) {
    endpoints::WorkerOrders o{epoch, {"life", 1}, {}, {}};
    o.Starts.push_back({"j.0.0.0", run, "text", "", ""});
    return o;
  }
  /// Starts the worker again under this id and start time. Nothing runs there.
  void restartWorker(const endpoints::WorkerIncarnation &incarnation) {
    NextHeartbeat.Worker.Life = incarnation;
    NextHeartbeat.Sequence = 0;
    KeepAliveOutcome = okOutcome();
    KeepAliveOutcome.BornMs = incarnation.BornMs;
    Running.clear();
    Ended.clear();
    sendHeartbeat();
  }
  /// Returns how many stops of the run were sent since the last call, and
  /// forgets them.
  size_t takeStopsOf(const endpoints::RunId &run) {
    const std::vector<endpoints::StopCall> calls = std::exchange(Stops, {});
    return static_cast<size_t>(std::count_if(
        calls.begin(), calls.end(), [&](const endpoints::StopCall &call) {
          return call.Order.Task == run.Task && call.Order.Run == run.Run;
        }));
  }
  size_t countStartsOf(const std::string &task) const {
    return static_cast<size_t>(std::count_if(
        Starts.begin(), Starts.end(), [&](const endpoints::StartCall &call) {
          return call.Order.Task == task;
        }));
  }
  std::vector<endpoints::OrderResult> results() const {
    return Reports.empty() ? std::vector<endpoints::OrderResult>()
                           : Reports.back().Results;
  }

  /// Returns the results in all reports so far.
  std::vector<endpoints::OrderResult> allResults() const {
    std::vector<endpoints::OrderResult> all;
    for (const endpoints::WorkerReport &report : Reports)
      all.insert(all.end(), report.Results.begin(), report.Results.end());
    return all;
  }

  /// Returns the outcomes in all reports so far.
  std::set<endpoints::OrderOutcome> reportedOutcomes() const {
    std::set<endpoints::OrderOutcome> outcomes;
    for (const endpoints::WorkerReport &report : Reports)
      for (const endpoints::OrderResult &result : report.Results)
        outcomes.insert(result.Outcome);
    return outcomes;
  }

  utils::EventLoop Loop;
  endpoints::Peers::Handler Handler;
  bool AnswersReports = true;
  bool SendsHeartbeats = true;
  endpoints::ReportAck Ack;
  endpoints::Heartbeat NextHeartbeat;
  CallOutcome StartOutcome = okOutcome();
  CallOutcome StopOutcome = okOutcome();
  CallOutcome KeepAliveOutcome = okOutcome();
  int StartDurationMs = 1;
  std::vector<endpoints::RunningTask> Running;
  /// Ends that the worker lists until the leader has acknowledged them.
  std::vector<endpoints::EndedTask> Ended;
  std::vector<endpoints::StartCall> Starts;
  std::vector<endpoints::StopCall> Stops;
  std::vector<endpoints::KeepAliveCall> KeepAliveCalls;
  std::vector<endpoints::WorkerReport> Reports;
  std::unique_ptr<WorkerAgent> Agent;

  static CallOutcome okOutcome() {
    return {CallStatus::Ok, endpoints::RefusalReason::None, 7000, ""};
  }
};

TEST(WorkerAgent, CarriesOutAStartOnceWhenItIsOrderedRepeatedly) {
  AgentFixture fixture;
  EXPECT_TRUE(fixture.sendOrders(AgentFixture::makeStart(5, 1)).Ok);
  EXPECT_TRUE(fixture.sendOrders(AgentFixture::makeStart(5, 1)).Ok);
  fixture.Loop.advance(absl::Milliseconds(20));
  EXPECT_TRUE(fixture.sendOrders(AgentFixture::makeStart(5, 1)).Ok);
  fixture.Loop.advance(absl::Milliseconds(20));
  EXPECT_EQ(fixture.Starts.size(), 1u);
  EXPECT_GT(fixture.Starts[0].UntilMs, 7000);
}

// Guards against a task that runs twice after a change of leader. The worker
// does not answer a start, so the agent retries it; meanwhile a new leader
// reads the worker's task list and starts the task elsewhere. The retry was
// sent with the new leader's fencing token, so the worker accepted it.
TEST(WorkerAgent, OrderOfAReplacedLeaderIsNotRetried) {
  AgentFixture fixture;
  fixture.StartOutcome = {};
  fixture.StartDurationMs = 250;
  fixture.sendOrders(AgentFixture::makeStart(5, 1));
  fixture.Loop.advance(absl::Milliseconds(100));
  ASSERT_EQ(fixture.Starts.size(), 1u);
  fixture.Ack.Epoch = 6;
  fixture.sendOrders({6, {"life", 1}, {}, {}});
  fixture.Loop.advance(absl::Seconds(3));
  EXPECT_EQ(fixture.Starts.size(), 1u);
  for (const endpoints::StartCall &call : fixture.Starts)
    EXPECT_EQ(call.Epoch, 5);
  // Further orders of the replaced leader are refused.
  EXPECT_FALSE(fixture.sendOrders(AgentFixture::makeStart(5, 2)).Ok);
}

// Guards against open attempts of a run that the worker has already been told
// to refuse: each retry lets the task wait longer, and the worker's next
// incarnation may carry it out.
TEST(WorkerAgent, StartIsNotRetriedAfterAConfirmedStop) {
  AgentFixture fixture;
  fixture.StartOutcome = {};
  fixture.StartDurationMs = 250;
  fixture.sendOrders(AgentFixture::makeStart(5, 1));
  fixture.Loop.advance(absl::Milliseconds(100));
  fixture.Ack = {};
  fixture.sendOrders({5, {"life", 1}, {}, {{"j.0.0.0", 1}}});
  fixture.Loop.advance(absl::Milliseconds(3500));
  EXPECT_EQ(fixture.Starts.size(), 1u);
  ASSERT_EQ(fixture.results().size(), 1u);
  EXPECT_EQ(fixture.results().back().Outcome, endpoints::OrderOutcome::Absent);
}

/// A start of which every attempt has the same outcome.
struct FailingStartCase {
  const char *Name;
  /// Start time of the worker; a worker without one never reuses its id.
  int64_t BornMs;
  CallStatus Status;
  size_t Attempts;
  endpoints::OrderOutcome Reported;
};

void PrintTo(const FailingStartCase &c, std::ostream *out) { *out << c.Name; }

class FailingStart : public testing::TestWithParam<FailingStartCase> {};

// Guards against a task that leaves a worker which answers again after a
// second, and so waits until none of its attempts can be carried out any more.
TEST_P(FailingStart, IsRetriedAndReportedAsExpected) {
  AgentFixture fixture;
  fixture.restartWorker({"life", GetParam().BornMs});
  fixture.Loop.advance(absl::Seconds(1));
  fixture.StartOutcome = {};
  fixture.StartOutcome.Status = GetParam().Status;
  fixture.StartDurationMs = 250;
  endpoints::WorkerOrders orders = AgentFixture::makeStart(5, 1);
  orders.Life.BornMs = GetParam().BornMs;
  fixture.sendOrders(orders);
  fixture.Loop.advance(absl::Milliseconds(3500));
  EXPECT_EQ(fixture.Starts.size(), GetParam().Attempts);
  // The time limit of a start that is not repeated passes.
  fixture.KeepAliveOutcome.ClockMs += 6000;
  fixture.Loop.advance(absl::Seconds(1));
  EXPECT_EQ(fixture.Starts.size(), GetParam().Attempts);
  const std::vector<endpoints::OrderResult> results = fixture.allResults();
  ASSERT_FALSE(results.empty());
  EXPECT_EQ(results.back().Outcome, GetParam().Reported);
}

INSTANTIATE_TEST_SUITE_P(
    Table, FailingStart,
    testing::Values(FailingStartCase{"without_answer", 0, CallStatus::NoAnswer,
                                     10, endpoints::OrderOutcome::Unconfirmed},
                    FailingStartCase{"without_answer_where_ids_are_reused", 1,
                                     CallStatus::NoAnswer, 1,
                                     endpoints::OrderOutcome::Unconfirmed},
                    FailingStartCase{"not_sent", 1, CallStatus::NotSent, 4,
                                     endpoints::OrderOutcome::Refused},
                    FailingStartCase{"not_listening", 1,
                                     CallStatus::NotListening, 4,
                                     endpoints::OrderOutcome::Refused}),
    [](const auto &test) { return std::string(test.param.Name); });

// Guards against starts that are carried out after the leader has given up on
// the worker, counted from the last report that it got.
TEST(WorkerAgent, SendsNoStartWhileTheLeaderDoesNotAnswer) {
  AgentFixture fixture;
  fixture.AnswersReports = false;
  fixture.Loop.advance(absl::Seconds(2));
  fixture.sendOrders(AgentFixture::makeStart(5, 1));
  fixture.Loop.advance(absl::Seconds(1));
  EXPECT_TRUE(fixture.Starts.empty());
  fixture.AnswersReports = true;
  fixture.Loop.advance(absl::Seconds(1));
  EXPECT_EQ(fixture.Starts.size(), 1u);
}

TEST(WorkerAgent, DrainingWorkerGetsNoStart) {
  AgentFixture fixture;
  fixture.NextHeartbeat.Worker.Draining = true;
  fixture.sendHeartbeat();
  fixture.sendOrders(AgentFixture::makeStart(5, 1));
  fixture.Loop.advance(absl::Milliseconds(20));
  EXPECT_TRUE(fixture.Starts.empty());
}

// Guards against a start in a failure domain that the operator evacuates: the
// order was given before the leader knew of that, or by another leader.
TEST(WorkerAgent, CordonedWorkerGetsNoStartUntilTheCordonIsLifted) {
  AgentFixture fixture;
  fixture.Ack.Cordoned = true;
  fixture.Loop.advance(absl::Seconds(1));
  fixture.sendOrders(AgentFixture::makeStart(5, 1));
  fixture.Loop.advance(absl::Milliseconds(20));
  EXPECT_TRUE(fixture.Starts.empty());
  ASSERT_FALSE(fixture.results().empty());
  EXPECT_EQ(fixture.results().back().Outcome, endpoints::OrderOutcome::Refused);
  EXPECT_EQ(fixture.Agent->status().StartsRefusedByCordon, 1);
  fixture.Ack.Cordoned = false;
  fixture.Loop.advance(absl::Seconds(1));
  fixture.sendOrders(AgentFixture::makeStart(5, 2));
  fixture.Loop.advance(absl::Milliseconds(20));
  EXPECT_EQ(fixture.Starts.size(), 1u);
}

// Guards against a cordon that is forgotten while the worker restarts.
TEST(WorkerAgent, CordonHoldsWhileNoWorkerIsKnown) {
  AgentFixture fixture;
  fixture.Ack.Cordoned = true;
  fixture.Loop.advance(absl::Seconds(1));
  EXPECT_TRUE(fixture.Agent->status().Cordoned);
  fixture.Agent->onDeregister({"life", 1});
  fixture.Ack.Cordoned = false;
  fixture.Loop.advance(absl::Seconds(1));
  EXPECT_TRUE(fixture.Agent->status().Cordoned);
}

// Guards against a start by an earlier process of the agent that the worker
// carries out late: this process knows of it from the leader only.
TEST(WorkerAgent, EarlierStartThatTheLeaderNamesIsStoppedAtOnce) {
  AgentFixture fixture;
  fixture.Ack.EarlierStarts = {{{"j.0.0.7", 2, 9000}, {"life", 0}}};
  fixture.Loop.advance(absl::Milliseconds(600));
  EXPECT_GE(fixture.takeStopsOf({"j.0.0.7", 2}), 1u);
  fixture.Loop.advance(absl::Seconds(2));
  EXPECT_EQ(fixture.takeStopsOf({"j.0.0.7", 2}), 0u);
}

// Guards against the same at a worker that reports no start time, which the
// agent takes for the incarnation that may run the start.
TEST(WorkerAgent, EarlierStartIsStoppedAtAWorkerWithoutStartTime) {
  AgentFixture fixture;
  fixture.restartWorker({"unborn", 0});
  fixture.Loop.advance(absl::Seconds(1));
  fixture.Ack.EarlierStarts = {{{"j.0.0.7", 2, 9000}, {"unborn", 0}}};
  fixture.Loop.advance(absl::Milliseconds(600));
  EXPECT_GE(fixture.takeStopsOf({"j.0.0.7", 2}), 1u);
}

// Guards against a further attempt of a start after the cordon has become known
// here.
TEST(WorkerAgent, UnansweredStartIsNotRetriedOnceItsDomainIsCordoned) {
  AgentFixture fixture;
  fixture.StartOutcome = {};
  fixture.sendOrders(AgentFixture::makeStart(5, 1));
  fixture.Loop.advance(absl::Milliseconds(20));
  fixture.Ack.Cordoned = true;
  fixture.Loop.advance(absl::Milliseconds(600));
  const size_t attempts = fixture.Starts.size();
  fixture.Loop.advance(absl::Seconds(5));
  EXPECT_EQ(fixture.Starts.size(), attempts);
  EXPECT_EQ(
      fixture.reportedOutcomes(),
      std::set<endpoints::OrderOutcome>{endpoints::OrderOutcome::Unconfirmed});
}

// Guards against a worker that runs more than its capacity: it has shrunk while
// no heartbeat told so, and the leader placed a task there before it was told.
TEST(WorkerAgent, NoStartIsSentWithAnOutdatedStateOfTheWorker) {
  AgentFixture fixture;
  fixture.SendsHeartbeats = false;
  fixture.Loop.advance(absl::Seconds(4));
  EXPECT_TRUE(fixture.Reports.back().StateOutdated);
  fixture.sendOrders(AgentFixture::makeStart(5, 1));
  fixture.Loop.advance(absl::Milliseconds(20));
  EXPECT_TRUE(fixture.Starts.empty());
  EXPECT_EQ(fixture.reportedOutcomes(), std::set<endpoints::OrderOutcome>{
                                            endpoints::OrderOutcome::Refused});
  fixture.SendsHeartbeats = true;
  fixture.Loop.advance(absl::Seconds(2));
  EXPECT_FALSE(fixture.Reports.back().StateOutdated);
  fixture.sendOrders(AgentFixture::makeStart(5, 2));
  fixture.Loop.advance(absl::Milliseconds(20));
  EXPECT_EQ(fixture.Starts.size(), 1u);
}

// Guards against a start after the bound of a cordon that the leader cannot
// learn of: it keeps granting for seconds while the store does not serve it.
TEST(WorkerAgent, NoStartIsSentWithAnOutdatedViewOfTheCordons) {
  AgentFixture fixture;
  fixture.Ack.CordonAgeMs = 6000;
  fixture.Loop.advance(absl::Seconds(6));
  fixture.sendOrders(AgentFixture::makeStart(5, 1));
  fixture.Loop.advance(absl::Seconds(2));
  EXPECT_TRUE(fixture.Starts.empty());
  fixture.Ack.CordonAgeMs = 100;
  fixture.Loop.advance(absl::Seconds(1));
  EXPECT_EQ(fixture.Starts.size(), 1u);
}

// The leader has become unreachable. The worker's tasks must end when the grant
// does, because the leader may start them elsewhere from then on.
TEST(WorkerAgent, DoesNotKeepTasksAliveBeyondTheGrant) {
  AgentFixture fixture;
  fixture.Ack = {};
  const absl::Time leaderLost = fixture.Loop.now();
  fixture.Loop.advance(absl::Seconds(12));
  // The worker's clock always reads 7000 in this test.
  for (const endpoints::KeepAliveCall &call : fixture.KeepAliveCalls)
    EXPECT_LE(call.UntilMs, 7000 + 5500);
  EXPECT_EQ(fixture.KeepAliveCalls.back().UntilMs, 0);
  fixture.sendOrders(AgentFixture::makeStart(5, 1));
  fixture.Loop.advance(absl::Milliseconds(20));
  EXPECT_TRUE(fixture.Starts.empty());
  EXPECT_GT(fixture.Loop.now(), leaderLost);
}

// Guards against a task that runs twice: its agent was suspended until the
// leader had started the task elsewhere, and then tried the start again under
// the new grant.
TEST(WorkerAgent, StartOfAnEndedGrantIsNotTriedAgain) {
  AgentFixture fixture;
  fixture.restartWorker({"other", 0});
  fixture.Loop.advance(absl::Seconds(1));
  fixture.StartOutcome = {CallStatus::NoAnswer, endpoints::RefusalReason::None,
                          0, ""};
  fixture.StartDurationMs = 400;
  endpoints::WorkerOrders orders = AgentFixture::makeStart(5, 1);
  orders.Life = {"other", 0};
  fixture.sendOrders(orders);
  fixture.Loop.advance(absl::Milliseconds(100));
  ASSERT_EQ(fixture.Starts.size(), 1u);
  fixture.Loop.suspend(absl::Seconds(7));
  fixture.sendHeartbeat();
  fixture.Loop.advance(absl::Seconds(3));
  EXPECT_EQ(fixture.Starts.size(), 1u);
  fixture.StartOutcome = AgentFixture::okOutcome();
  orders.Starts.front().Run = 2;
  fixture.sendOrders(orders);
  fixture.Loop.advance(absl::Milliseconds(100));
  EXPECT_EQ(fixture.Starts.size(), 2u);
}

// Guards against a task that runs twice: its start was held up on the way to
// the agent until the leader had started the task elsewhere.
TEST(WorkerAgent, StartThatWasOrderedUnderAnEndedGrantIsRefused) {
  AgentFixture fixture;
  endpoints::WorkerOrders orders = AgentFixture::makeStart(5, 1);
  orders.LastReport = fixture.Reports.back().Sequence;
  fixture.Loop.suspend(absl::Seconds(7));
  fixture.sendHeartbeat();
  fixture.Loop.advance(absl::Seconds(1));
  fixture.sendOrders(orders);
  fixture.Loop.advance(absl::Seconds(1));
  EXPECT_TRUE(fixture.Starts.empty());
  orders.Starts.front().Run = 2;
  orders.LastReport = fixture.Reports.back().Sequence;
  fixture.sendOrders(orders);
  fixture.Loop.advance(absl::Seconds(1));
  EXPECT_EQ(fixture.Starts.size(), 1u);
}

// Guards against a task end that is reported late. While an earlier end was not
// yet acknowledged, the agent polled its worker only ten times a second, so a
// second end was detected up to 100 ms late: capacity stayed idle, and callers
// were told that their job was still running.
TEST(WorkerAgent, EndIsReportedSoonWhileAnotherIsUnacknowledged) {
  AgentFixture fixture;
  fixture.Ended.push_back({1, "a.0.0.0", 1, endpoints::RunEnd::Done, ""});
  for (int ms = 0; fixture.Reports.back().Ended.empty() && ms < 1000; ++ms)
    fixture.Loop.advance(absl::Milliseconds(1));
  ASSERT_EQ(fixture.Reports.back().Ended.size(), 1u);
  fixture.Loop.advance(absl::Milliseconds(2));
  fixture.Ended.push_back({2, "b.0.0.0", 1, endpoints::RunEnd::Done, ""});
  fixture.Loop.advance(absl::Milliseconds(25));
  EXPECT_EQ(fixture.Reports.back().Ended.size(), 2u);
}

// Guards against a leader that cannot tell which task crashed its worker.
TEST(WorkerAgent, CrashIsReportedWithTheRunsThatHadJustBegun) {
  AgentFixture fixture;
  fixture.sendOrders(AgentFixture::makeStart(5, 1));
  fixture.Loop.advance(absl::Milliseconds(20));
  fixture.KeepAliveOutcome = {};
  fixture.KeepAliveOutcome.Status = CallStatus::NotListening;
  fixture.Loop.advance(absl::Milliseconds(1500));
  ASSERT_EQ(fixture.Reports.back().EndedLives.size(), 1u);
  const endpoints::IncarnationEnd end =
      fixture.Reports.back().EndedLives.front();
  EXPECT_EQ(end, (endpoints::IncarnationEnd{
                     {"life", 1}, true, {{"j.0.0.0", 1}}, true, {}}));
}

// Guards against ends that the worker's next incarnation under the same id
// drops before they are reported: it numbers its ends from one again, while the
// agent still acknowledges the numbers of the previous incarnation.
TEST(WorkerAgent, EndsAreAcknowledgedOnlyWhileTheWorkerListsSome) {
  AgentFixture fixture;
  for (int64_t n = 1; n <= 5; ++n)
    fixture.Ended.push_back({n, "a.0.0.0", n, endpoints::RunEnd::Stopped, ""});
  fixture.Ack.SeenUpto = 5;
  fixture.Loop.advance(absl::Seconds(1));
  const bool acknowledged = std::any_of(
      fixture.KeepAliveCalls.begin(), fixture.KeepAliveCalls.end(),
      [](const endpoints::KeepAliveCall &call) { return call.SeenUpto == 5; });
  EXPECT_TRUE(acknowledged);
  fixture.KeepAliveCalls.clear();
  fixture.Loop.advance(absl::Seconds(2));
  ASSERT_FALSE(fixture.KeepAliveCalls.empty());
  for (const endpoints::KeepAliveCall &call : fixture.KeepAliveCalls)
    EXPECT_EQ(call.SeenUpto, 0);
}

// Guards against a restarted worker that is considered gone, because a
// deregistration of its previous incarnation arrives late and carries no start
// time.
TEST(WorkerAgent, DeregistrationWithoutStartTimeEndsOnlyADrainingWorker) {
  AgentFixture fixture;
  fixture.Agent->onDeregister({"life", 0});
  fixture.Loop.advance(absl::Milliseconds(10));
  EXPECT_TRUE(fixture.Agent->status().Reachable);
  fixture.NextHeartbeat.Worker.Draining = true;
  fixture.sendHeartbeat();
  fixture.Agent->onDeregister({"life", 0});
  fixture.Loop.advance(absl::Milliseconds(10));
  EXPECT_FALSE(fixture.Agent->status().Reachable);
}

// Guards against a worker that is never used again although it answers, because
// it was once considered gone.
TEST(WorkerAgent, IncarnationConsideredEndedIsUsedAgainWhenItAnswers) {
  AgentFixture fixture;
  fixture.KeepAliveOutcome = {};
  fixture.KeepAliveOutcome.Status = CallStatus::NotListening;
  fixture.Loop.advance(absl::Milliseconds(1500));
  ASSERT_FALSE(fixture.Agent->status().Reachable);
  fixture.KeepAliveOutcome.Status = CallStatus::Ok;
  fixture.KeepAliveOutcome.ClockMs = 7000;
  fixture.sendHeartbeat();
  fixture.Loop.advance(absl::Seconds(1));
  EXPECT_TRUE(fixture.Agent->status().Reachable);
  EXPECT_TRUE(fixture.Reports.back().EndedLives.empty());
}

// Guards against planned shutdowns of workers that are counted as crashes.
TEST(WorkerAgent, EndOfADrainingWorkerIsNotACrash) {
  AgentFixture fixture;
  fixture.sendOrders(AgentFixture::makeStart(5, 1));
  fixture.NextHeartbeat.Worker.Draining = true;
  fixture.sendHeartbeat();
  fixture.KeepAliveOutcome = {};
  fixture.KeepAliveOutcome.Status = CallStatus::NotListening;
  fixture.Loop.advance(absl::Milliseconds(1500));
  ASSERT_EQ(fixture.Reports.back().EndedLives.size(), 1u);
  EXPECT_FALSE(fixture.Reports.back().EndedLives.front().Crashed);
}

// Guards against an overcommitted worker: the leader decided with the worker's
// previous, larger capacity, and only the agent knows the current one.
TEST(WorkerAgent, StartDecidedOnALargerCapacityIsRefused) {
  AgentFixture fixture;
  endpoints::WorkerOrders orders = AgentFixture::makeStart(5, 1);
  orders.Starts.front().DecidedOn = fixture.NextHeartbeat.Worker.Capacity;
  fixture.NextHeartbeat.Worker.Capacity.Accelerators = 4;
  fixture.sendHeartbeat();
  fixture.Ack = {};
  fixture.sendOrders(orders);
  fixture.Loop.advance(absl::Milliseconds(20));
  EXPECT_TRUE(fixture.Starts.empty());
  fixture.Loop.advance(absl::Seconds(1));
  ASSERT_FALSE(fixture.results().empty());
  EXPECT_EQ(fixture.results().back().Outcome,
            endpoints::OrderOutcome::NoCapacity);
}

// Guards against capacity that is assigned after the worker has lost it, or
// that stays unused after the worker has gained it.
TEST(WorkerAgent, ChangeOfCapacityIsReportedAtOnce) {
  AgentFixture fixture;
  fixture.NextHeartbeat.Worker.Capacity.Accelerators = 4;
  fixture.sendHeartbeat();
  fixture.Loop.advance(absl::Milliseconds(2));
  EXPECT_EQ(fixture.Reports.back().Worker.Capacity.Accelerators, 4);
}

// Ends cannot be acknowledged while the store is unavailable. The agent must
// not poll its worker fifty times a second for the whole outage.
TEST(WorkerAgent, FrequentPollingForUnacknowledgedEndsIsLimited) {
  AgentFixture fixture;
  fixture.Ended.push_back({1, "a.0.0.0", 1, endpoints::RunEnd::Done, ""});
  fixture.Loop.advance(absl::Seconds(1));
  const size_t before = fixture.KeepAliveCalls.size();
  fixture.Loop.advance(absl::Seconds(10));
  EXPECT_LE(fixture.KeepAliveCalls.size() - before, 110u);
}

const endpoints::RunId TestRun{"j.0.0.0", 1};

/// An attempt to start a run, and two restarts of the worker after it.
struct AttemptCase {
  const char *Name;
  CallStatus Outcome;
  /// Time from the attempt to its outcome and to the first restart.
  int OutcomeAfterMs;
  int RestartAfterMs;
  /// Whether the incarnation that follows, and the one after it, may carry out
  /// the attempt.
  bool IsOpenAtFirst;
  bool IsOpenAtSecond;
};

void PrintTo(const AttemptCase &c, std::ostream *out) { *out << c.Name; }

class AttemptBeforeRestarts : public testing::TestWithParam<AttemptCase> {
protected:
  void sendAttempt() {
    Fixture.StartOutcome.Status = GetParam().Outcome;
    Fixture.StartDurationMs = GetParam().OutcomeAfterMs;
    Fixture.sendOrders(AgentFixture::makeStart(5, TestRun.Run));
    Fixture.Loop.advance(absl::Milliseconds(GetParam().RestartAfterMs));
  }
  bool isStoppedAtRestart(int64_t bornMs) {
    Fixture.Stops.clear();
    Fixture.restartWorker({"life", bornMs});
    Fixture.Loop.advance(absl::Milliseconds(400));
    return Fixture.takeStopsOf(TestRun) > 0;
  }

  AgentFixture Fixture;
};

// Guards against a task that runs twice because its start, which got no answer,
// is carried out by a second incarnation that follows under the same id: only
// the first one had been told to refuse it.
TEST_P(AttemptBeforeRestarts, IsStoppedAtEachIncarnationWhileItIsOpen) {
  sendAttempt();
  EXPECT_EQ(isStoppedAtRestart(2), GetParam().IsOpenAtFirst);
  EXPECT_EQ(isStoppedAtRestart(3), GetParam().IsOpenAtSecond);
}

INSTANTIATE_TEST_SUITE_P(
    Table, AttemptBeforeRestarts,
    testing::Values(
        AttemptCase{"no_answer", CallStatus::NoAnswer, 250, 600, true, true},
        AttemptCase{"in_flight_without_answer", CallStatus::NoAnswer, 250, 100,
                    true, true},
        AttemptCase{"accepted_after_the_restart", CallStatus::Ok, 250, 100,
                    true, true},
        AttemptCase{"refused_after_the_restart", CallStatus::Refused, 250, 240,
                    true, false},
        AttemptCase{"not_answered_long_ago", CallStatus::NoAnswer, 250, 20000,
                    false, false},
        AttemptCase{"accepted", CallStatus::Ok, 1, 100, false, false},
        AttemptCase{"refused", CallStatus::Refused, 1, 100, false, false},
        AttemptCase{"busy", CallStatus::Busy, 1, 100, false, false},
        AttemptCase{"other_incarnation", CallStatus::OtherIncarnation, 1, 100,
                    false, false},
        AttemptCase{"not_sent", CallStatus::NotSent, 1, 100, false, false},
        AttemptCase{"not_listening", CallStatus::NotListening, 1, 100, false,
                    false}),
    [](const auto &test) { return std::string(test.param.Name); });

/// A worker that has restarted after a start without an answer.
class AfterRestart : public testing::Test {
protected:
  AfterRestart() {
    Fixture.StartOutcome = {};
    Fixture.StartDurationMs = 250;
    Fixture.sendOrders(AgentFixture::makeStart(5, TestRun.Run));
    Fixture.Loop.advance(absl::Milliseconds(300));
    Fixture.StartOutcome = AgentFixture::okOutcome();
    Fixture.StartDurationMs = 1;
  }
  void orderOtherStart() {
    endpoints::WorkerOrders orders{
        5, Fixture.NextHeartbeat.Worker.Life, {}, {}};
    orders.Starts.push_back({OtherTask, 1, "text", "", ""});
    EXPECT_TRUE(Fixture.sendOrders(orders).Ok);
  }

  const std::string OtherTask = "k.0.0.0";
  AgentFixture Fixture;
};

// Guards against a worker that runs more than its capacity: a start arrives
// before it was told to refuse a delayed start for its previous incarnation.
TEST_F(AfterRestart, NoStartIsSentBeforeTheStopsAreConfirmed) {
  Fixture.StopOutcome = {};
  Fixture.restartWorker({"life", 2});
  Fixture.Loop.advance(absl::Milliseconds(100));
  orderOtherStart();
  Fixture.Loop.advance(absl::Milliseconds(500));
  EXPECT_EQ(Fixture.countStartsOf(OtherTask), 0u);
  Fixture.StopOutcome = AgentFixture::okOutcome();
  Fixture.Loop.advance(absl::Milliseconds(200));
  EXPECT_EQ(Fixture.countStartsOf(OtherTask), 1u);
}

// Guards against a worker that runs more than its capacity: it has carried out
// a delayed start for its previous incarnation and is still stopping the run.
TEST_F(AfterRestart, NoStartIsSentWhileADelayedOneIsStillRunning) {
  Fixture.restartWorker({"life", 2});
  Fixture.Running.push_back({TestRun.Task, TestRun.Run, "", 0});
  Fixture.Loop.advance(absl::Milliseconds(100));
  orderOtherStart();
  Fixture.Loop.advance(absl::Milliseconds(500));
  EXPECT_EQ(Fixture.countStartsOf(OtherTask), 0u);
  Fixture.Running.clear();
  // The next poll that begins after the end lists it.
  Fixture.Loop.advance(absl::Milliseconds(1200));
  EXPECT_EQ(Fixture.countStartsOf(OtherTask), 1u);
}

// Guards against a deferred start that outlives the grant.
TEST_F(AfterRestart, DeferredStartEndsWithTheGrant) {
  Fixture.StopOutcome = {};
  Fixture.restartWorker({"life", 2});
  Fixture.Loop.advance(absl::Milliseconds(100));
  orderOtherStart();
  Fixture.Ack = {};
  Fixture.Loop.advance(absl::Seconds(6));
  Fixture.StopOutcome = AgentFixture::okOutcome();
  Fixture.Loop.advance(absl::Seconds(1));
  EXPECT_EQ(Fixture.countStartsOf(OtherTask), 0u);
  ASSERT_FALSE(Fixture.results().empty());
  EXPECT_EQ(Fixture.results().back().Outcome, endpoints::OrderOutcome::Refused);
}

// Guards against a delayed start that the next incarnation carries out before
// it receives the stop, because the stop is sent too seldom while nothing
// listens.
TEST_F(AfterRestart, StopIsSentAsSoonAsTheWorkerListensAgain) {
  Fixture.KeepAliveOutcome = {};
  Fixture.KeepAliveOutcome.Status = CallStatus::NotListening;
  Fixture.StopOutcome = Fixture.KeepAliveOutcome;
  Fixture.Loop.advance(absl::Seconds(2));
  ASSERT_FALSE(Fixture.Agent->status().Reachable);
  Fixture.Stops.clear();
  Fixture.Loop.advance(absl::Milliseconds(12));
  EXPECT_EQ(Fixture.takeStopsOf(TestRun), 1u);
}

// Guards against stops that do not end when the worker's id is no longer used.
TEST_F(AfterRestart, StopsEndWhenTheWorkerHasAnotherId) {
  Fixture.StopOutcome.Status = CallStatus::OtherIncarnation;
  Fixture.KeepAliveOutcome.Status = CallStatus::OtherIncarnation;
  Fixture.Loop.advance(absl::Seconds(1));
  Fixture.Stops.clear();
  Fixture.restartWorker({"another-life", 2});
  Fixture.Loop.advance(absl::Seconds(1));
  EXPECT_EQ(Fixture.takeStopsOf(TestRun), 0u);
}

// Guards against a leader that starts a task elsewhere while an attempt to
// start its previous run may still be carried out: only the agent knew of it.
TEST_F(AfterRestart, ReportsListOpenStartsAlsoWithoutAWorker) {
  const auto openStarts = [this] {
    std::vector<endpoints::RunId> runs;
    for (const auto &start : Fixture.Reports.back().OpenStarts) {
      EXPECT_GT(start.PossibleForMs, 0);
      EXPECT_LE(start.PossibleForMs, 15000);
      runs.push_back({start.Task, start.Run});
    }
    return runs;
  };
  Fixture.KeepAliveOutcome = {};
  Fixture.KeepAliveOutcome.Status = CallStatus::NotListening;
  Fixture.Loop.advance(absl::Seconds(2));
  ASSERT_TRUE(Fixture.Reports.back().Worker.Life.empty());
  EXPECT_EQ(openStarts(), std::vector<endpoints::RunId>{TestRun});
  Fixture.restartWorker({"life", 2});
  Fixture.Loop.advance(absl::Seconds(2));
  ASSERT_FALSE(Fixture.Reports.back().Worker.Life.empty());
  EXPECT_EQ(openStarts(), std::vector<endpoints::RunId>{TestRun});
  Fixture.Loop.advance(absl::Seconds(15));
  EXPECT_TRUE(openStarts().empty());
}

// Guards against a leader that takes the silence of a new agent for knowledge
// of all starts: its previous process may have sent some.
TEST(WorkerAgent, ReportsTellForHowLongStartsAreKnown) {
  AgentFixture fixture;
  ASSERT_FALSE(fixture.Reports.empty());
  EXPECT_LE(fixture.Reports.front().StartsKnownForMs, 1000);
  fixture.Loop.advance(absl::Seconds(9));
  EXPECT_GE(fixture.Reports.back().StartsKnownForMs, 9000);
  EXPECT_LE(fixture.Reports.back().StartsKnownForMs, 10000);
  fixture.Loop.advance(absl::Seconds(20));
  EXPECT_EQ(fixture.Reports.back().StartsKnownForMs, 15000);
}

// Guards against attempts that are carried out late although the run had
// started long before: the answer of the first one was lost.
TEST(WorkerAgent, StartIsNotRetriedOnceTheRunIsListed) {
  AgentFixture fixture;
  fixture.StartOutcome = CallOutcome();
  fixture.StartDurationMs = 250;
  fixture.sendOrders(AgentFixture::makeStart(5, 1));
  fixture.Running = {{"j.0.0.0", 1, "", 1}};
  fixture.Loop.advance(absl::Seconds(1));
  const size_t attempts = fixture.Starts.size();
  fixture.Loop.advance(absl::Seconds(2));
  EXPECT_EQ(fixture.Starts.size(), attempts);
  const bool reported = std::any_of(
      fixture.Reports.begin(), fixture.Reports.end(), [](const auto &report) {
        return !report.Results.empty() && report.Results.front().Outcome ==
                                              endpoints::OrderOutcome::Started;
      });
  EXPECT_TRUE(reported);
}

// Guards against a run that the leader takes for gone although the worker lists
// it: its stop was ordered for an earlier incarnation, and the next one has
// carried out its start.
TEST(WorkerAgent, OrderForAnEarlierIncarnationHasNoResult) {
  AgentFixture fixture;
  fixture.restartWorker({"life", 2});
  fixture.Loop.advance(absl::Seconds(1));
  fixture.Running = {{"j.0.0.0", 1, "", 1}};
  fixture.Reports.clear();
  fixture.sendOrders({5, {"life", 1}, {}, {{"j.0.0.0", 1}}});
  fixture.sendOrders(AgentFixture::makeStart(5, 2));
  fixture.Loop.advance(absl::Seconds(1));
  ASSERT_FALSE(fixture.Reports.empty());
  EXPECT_EQ(fixture.Reports.back().Worker.Life.BornMs, 2);
  EXPECT_TRUE(fixture.allResults().empty());
  EXPECT_TRUE(fixture.Starts.empty());
}

/// Lists that show that a start without an answer was carried out.
struct LateListCase {
  const char *Name;
  bool HasEnded;
};

void PrintTo(const LateListCase &c, std::ostream *out) { *out << c.Name; }

class OnlyAttempt : public testing::TestWithParam<LateListCase> {};

// Guards against a task that waits although its start was carried out, and
// against an attempt that counts as open, and bars the task, after that.
TEST_P(OnlyAttempt, IsOverOnceTheRunIsListed) {
  AgentFixture fixture;
  fixture.Loop.advance(absl::Seconds(15));
  fixture.StartOutcome = {};
  fixture.StartDurationMs = 250;
  fixture.sendOrders(AgentFixture::makeStart(5, 1));
  fixture.Loop.advance(absl::Seconds(2));
  ASSERT_FALSE(fixture.Reports.back().OpenStarts.empty());
  if (GetParam().HasEnded)
    fixture.Ended = {{1, "j.0.0.0", 1, endpoints::RunEnd::Done, ""}};
  else
    fixture.Running = {{"j.0.0.0", 1, "", 1}};
  fixture.Loop.advance(absl::Seconds(1));
  EXPECT_EQ(fixture.Starts.size(), 1u);
  EXPECT_TRUE(fixture.Reports.back().OpenStarts.empty());
  EXPECT_EQ(fixture.reportedOutcomes(), std::set<endpoints::OrderOutcome>{
                                            endpoints::OrderOutcome::Started});
}

INSTANTIATE_TEST_SUITE_P(Table, OnlyAttempt,
                         testing::Values(LateListCase{"as_running", false},
                                         LateListCase{"as_ended", true}),
                         [](const auto &test) {
                           return std::string(test.param.Name);
                         });

/// How a run with an open attempt is over at its worker.
struct RefusedRunCase {
  const char *Name;
  /// Start time of the worker; a worker without one never reuses its id.
  int64_t BornMs;
  /// The worker lists its end; otherwise it confirms a stop of it.
  bool HasEnded;
  size_t OpenStartsLeft;
};

void PrintTo(const RefusedRunCase &c, std::ostream *out) { *out << c.Name; }

class RefusedRun : public testing::TestWithParam<RefusedRunCase> {};

// Guards against a task that waits until an attempt to start its earlier run
// can no longer be carried out, although its worker refuses that run.
TEST_P(RefusedRun, HasOpenAttemptsOnlyWhereIdsAreReused) {
  AgentFixture fixture;
  const endpoints::WorkerIncarnation worker{"life", GetParam().BornMs};
  fixture.restartWorker(worker);
  fixture.Loop.advance(absl::Seconds(1));
  fixture.StartOutcome = {};
  fixture.StartDurationMs = 250;
  endpoints::WorkerOrders orders = AgentFixture::makeStart(5, 1);
  orders.Life = worker;
  fixture.sendOrders(orders);
  fixture.Loop.advance(absl::Milliseconds(600));
  ASSERT_EQ(fixture.Reports.back().OpenStarts.size(), 1u);
  if (GetParam().HasEnded)
    fixture.Ended = {{1, "j.0.0.0", 1, endpoints::RunEnd::Broken, ""}};
  else
    fixture.sendOrders({5, worker, {}, {{"j.0.0.0", 1}}});
  fixture.Loop.advance(absl::Seconds(1));
  EXPECT_EQ(fixture.Reports.back().OpenStarts.size(),
            GetParam().OpenStartsLeft);
}

INSTANTIATE_TEST_SUITE_P(
    Table, RefusedRun,
    testing::Values(RefusedRunCase{"ended", 0, true, 0},
                    RefusedRunCase{"stopped", 0, false, 0},
                    RefusedRunCase{"ended_where_ids_are_reused", 1, true, 1},
                    RefusedRunCase{"stopped_where_ids_are_reused", 1, false,
                                   1}),
    [](const auto &test) { return std::string(test.param.Name); });

// Guards against a start that reaches the worker twice without the agent's
// knowledge: a call on a reused connection may be repeated by the HTTP library.
TEST(WorkerAgent, EachStartUsesAFreshConnection) {
  AgentFixture fixture;
  fixture.sendOrders(AgentFixture::makeStart(5, 1));
  fixture.Loop.advance(absl::Seconds(1));
  ASSERT_EQ(fixture.Starts.size(), 1u);
  EXPECT_TRUE(fixture.Starts.front().FreshConnection);
}

/// A start that is deferred, and the log lines about it.
struct DeferralCase {
  const char *Name;
  std::function<void(AgentFixture &)> Play;
  struct Line {
    const char *Why;
    /// Empty for the begin of a deferral.
    const char *Next;
    int64_t MinMs;
    int64_t MaxMs;
  };
  std::vector<Line> Lines;
};

void PrintTo(const DeferralCase &c, std::ostream *out) { *out << c.Name; }

/// Begins a start without an answer, restarts the worker under its id and
/// orders the start of another task there.
void orderStartAfterRestart(AgentFixture &fixture) {
  fixture.StartOutcome = {};
  fixture.StartDurationMs = 250;
  fixture.sendOrders(AgentFixture::makeStart(5, 1));
  fixture.Loop.advance(absl::Milliseconds(300));
  fixture.StartOutcome = AgentFixture::okOutcome();
  fixture.StartDurationMs = 1;
  fixture.StopOutcome = {};
  fixture.restartWorker({"life", 2});
  fixture.Loop.advance(absl::Milliseconds(100));
  endpoints::WorkerOrders orders{5, {"life", 2}, {}, {}};
  orders.Starts.push_back({"k.0.0.0", 1, "text", "", ""});
  fixture.sendOrders(orders);
}

class DeferredStart : public testing::TestWithParam<DeferralCase> {};

// Guards against a run that counts as ordered and is not sent, of which no log
// tells.
TEST_P(DeferredStart, IsLoggedOncePerReasonAndWhenItEnds) {
  const std::string path =
      testing::TempDir() + "oriolebay-deferrals-" + std::to_string(::getpid());
  ::unlink(path.c_str());
  const bool ready = utils::handle<bool>(
      [&]() -> utils::Result<bool> {
        BOOST_LEAF_CHECK(eventlog::initEventLog("agent", path));
        return true;
      },
      [](const utils::Error &) { return false; });
  ASSERT_TRUE(ready);
  AgentFixture fixture;
  GetParam().Play(fixture);
  eventlog::closeEventLog();
  const auto lines = eventlog::select(eventlog::readEvents({path}).Events,
                                      {"", "", "", "order.defer", {}, {}});
  ::unlink(path.c_str());
  ASSERT_EQ(lines.size(), GetParam().Lines.size());
  for (size_t i = 0; i < lines.size(); ++i) {
    const nlohmann::json &fields = lines[i].Fields;
    const DeferralCase::Line &expected = GetParam().Lines[i];
    EXPECT_EQ(fields.at("why"), expected.Why);
    EXPECT_EQ(fields.value("next", ""), expected.Next);
    EXPECT_GE(fields.value("deferred_ms", int64_t{0}), expected.MinMs);
    EXPECT_LE(fields.value("deferred_ms", int64_t{0}), expected.MaxMs);
    EXPECT_EQ(fields.at("name"),
              *expected.Next == 0 ? "order.deferred" : "order.deferral_ended");
  }
}

const char *const NoCordons = "the cordons are not known";
const char *const NotRefused = "the worker has to refuse earlier starts first";
const char *const StillRuns = "the worker runs an earlier start";

INSTANTIATE_TEST_SUITE_P(
    Table, DeferredStart,
    testing::Values(
        DeferralCase{"not_deferred",
                     [](AgentFixture &fixture) {
                       fixture.sendOrders(AgentFixture::makeStart(5, 1));
                       fixture.Loop.advance(absl::Seconds(1));
                     },
                     {}},
        DeferralCase{
            "cordons_unknown",
            [](AgentFixture &fixture) {
              fixture.Ack.CordonAgeMs = 6000;
              fixture.Loop.advance(absl::Seconds(6));
              fixture.sendOrders(AgentFixture::makeStart(5, 1));
              fixture.Loop.advance(absl::Seconds(2));
              fixture.Ack.CordonAgeMs = 100;
              fixture.Loop.advance(absl::Seconds(1));
            },
            {{NoCordons, "", 0, 0}, {NoCordons, "allowed", 2000, 3000}}},
        DeferralCase{
            "earlier_starts_to_be_refused",
            [](AgentFixture &fixture) {
              orderStartAfterRestart(fixture);
              fixture.Loop.advance(absl::Seconds(1));
              fixture.StopOutcome = AgentFixture::okOutcome();
              fixture.Loop.advance(absl::Seconds(1));
            },
            {{NotRefused, "", 0, 0}, {NotRefused, "allowed", 1000, 1500}}},
        DeferralCase{"earlier_start_runs",
                     [](AgentFixture &fixture) {
                       orderStartAfterRestart(fixture);
                       fixture.Running.push_back({"j.0.0.0", 1, "", 0});
                       fixture.StopOutcome = AgentFixture::okOutcome();
                       fixture.Loop.advance(absl::Seconds(1));
                       fixture.Running.clear();
                       fixture.Loop.advance(absl::Milliseconds(1200));
                     },
                     {{NotRefused, "", 0, 0},
                      {NotRefused, StillRuns, 0, 200},
                      {StillRuns, "", 0, 0},
                      {StillRuns, "allowed", 900, 2200}}},
        DeferralCase{"grant_ends",
                     [](AgentFixture &fixture) {
                       orderStartAfterRestart(fixture);
                       fixture.Ack = {};
                       fixture.Loop.advance(absl::Seconds(7));
                     },
                     {{NotRefused, "", 0, 0},
                      {NotRefused, NoCordons, 2500, 3600},
                      {NoCordons, "", 0, 0},
                      {NoCordons, "no grant to keep it alive", 1000, 2500}}},
        DeferralCase{"worker_restarts_again",
                     [](AgentFixture &fixture) {
                       orderStartAfterRestart(fixture);
                       fixture.Loop.advance(absl::Seconds(1));
                       fixture.restartWorker({"life", 3});
                       fixture.Loop.advance(absl::Seconds(1));
                     },
                     {{NotRefused, "", 0, 0},
                      {NotRefused, "that incarnation has ended", 1000, 1200}}}),
    [](const auto &info) { return std::string(info.param.Name); });

} // namespace
} // namespace oriolebay::agent
