// Tests of an agent between its leader and its worker: which orders it carries
// out, what it keeps alive and what it reports.
#include "agentfixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace oriolebay::agent {
namespace {

using endpoints::CallOutcome;
using endpoints::CallStatus;

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

} // namespace
} // namespace oriolebay::agent
