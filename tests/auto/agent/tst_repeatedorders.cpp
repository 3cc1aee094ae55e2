// Tests of orders of which the agent gets several copies, or a start and a
// stop: the leader repeats them, and the network may hold up a copy.
#include "agentfixture.h"

#include <gtest/gtest.h>

#include <functional>
#include <set>
#include <string>

namespace oriolebay::agent {
namespace {

using endpoints::CallOutcome;
using endpoints::CallStatus;
using endpoints::OrderOutcome;

const std::string TestTask = "j.0.0.0";

CallOutcome outcomeOf(CallStatus status) {
  CallOutcome outcome;
  outcome.Status = status;
  return outcome;
}

/// Has the leader fall silent, so that starts are deferred.
void silenceLeader(AgentFixture &fixture) {
  fixture.AnswersReports = false;
  fixture.Loop.advance(absl::Seconds(2));
}

/// The first copy of a start is not over when the worker begins to drain.
struct OpenCopyCase {
  const char *Name;
  /// Start time of the worker; a worker without one never reuses its id.
  int64_t BornMs;
  /// Brings about what happens to the first copy.
  std::function<void(AgentFixture &)> Before;
  /// Ends the reason for which a start is not sent.
  std::function<void(AgentFixture &)> After;
  OrderOutcome Reported;
};

void PrintTo(const OpenCopyCase &c, std::ostream *out) { *out << c.Name; }

class OpenCopy : public testing::TestWithParam<OpenCopyCase> {
protected:
  OpenCopy() {
    const endpoints::WorkerIncarnation worker{"life", GetParam().BornMs};
    Fixture.restartWorker(worker);
    Fixture.Loop.advance(absl::Seconds(1));
    Orders = AgentFixture::makeStart(5, 1);
    Orders.Life = worker;
    GetParam().Before(Fixture);
    Fixture.sendOrders(Orders);
    Fixture.Loop.advance(absl::Milliseconds(100));
    Attempts = Fixture.Starts.size();
    Fixture.NextHeartbeat.Worker.Draining = true;
    Fixture.sendHeartbeat();
  }
  void expectOneOutcome() {
    GetParam().After(Fixture);
    Fixture.Loop.advance(absl::Seconds(4));
    EXPECT_EQ(Fixture.Starts.size(), Attempts);
    EXPECT_EQ(Fixture.reportedOutcomes(),
              std::set<OrderOutcome>{GetParam().Reported});
  }

  AgentFixture Fixture;
  endpoints::WorkerOrders Orders;
  size_t Attempts = 0;
};

// Guards against a task that runs twice: the second copy is refused, the first
// one starts the run, and the leader has started the task elsewhere meanwhile.
TEST_P(OpenCopy, IsNotStartedOnceAnotherIsRefused) {
  Fixture.sendOrders(Orders);
  expectOneOutcome();
}

// Guards against a start at a worker that is about to leave, of an order that
// came before the worker began to drain.
TEST_P(OpenCopy, IsNotSentToADrainingWorker) { expectOneOutcome(); }

void noChange(AgentFixture &) {}

INSTANTIATE_TEST_SUITE_P(
    Table, OpenCopy,
    testing::Values(
        OpenCopyCase{"DeferredAsTheLeaderIsSilent", 1, silenceLeader,
                     [](AgentFixture &f) { f.AnswersReports = true; },
                     OrderOutcome::Refused},
        OpenCopyCase{"DeferredAsTheCordonsAreUnknown", 1,
                     [](AgentFixture &f) {
                       f.Ack.CordonAgeMs = 6000;
                       f.Loop.advance(absl::Seconds(6));
                     },
                     [](AgentFixture &f) { f.Ack.CordonAgeMs = 0; },
                     OrderOutcome::Refused},
        OpenCopyCase{"SentAndAcceptedLater", 1,
                     [](AgentFixture &f) { f.StartDurationMs = 250; }, noChange,
                     OrderOutcome::Started},
        OpenCopyCase{"SentAndRefusedLater", 1,
                     [](AgentFixture &f) {
                       f.StartDurationMs = 250;
                       f.StartOutcome = outcomeOf(CallStatus::Busy);
                     },
                     noChange, OrderOutcome::Busy},
        OpenCopyCase{"SentWithoutAnswer", 0,
                     [](AgentFixture &f) {
                       f.StartDurationMs = 250;
                       f.StartOutcome = outcomeOf(CallStatus::NoAnswer);
                     },
                     noChange, OrderOutcome::Unconfirmed},
        OpenCopyCase{"RepeatedWithoutAnswer", 0,
                     [](AgentFixture &f) {
                       f.StartDurationMs = 10;
                       f.StartOutcome = outcomeOf(CallStatus::NoAnswer);
                     },
                     noChange, OrderOutcome::Unconfirmed},
        OpenCopyCase{"WaitsForItsOnlyAttempt", 1,
                     [](AgentFixture &f) {
                       f.StartDurationMs = 10;
                       f.StartOutcome = outcomeOf(CallStatus::NoAnswer);
                     },
                     noChange, OrderOutcome::Unconfirmed},
        OpenCopyCase{
            "NotListening", 1,
            [](AgentFixture &f) {
              f.StartDurationMs = 10;
              f.StartOutcome = outcomeOf(CallStatus::NotListening);
            },
            [](AgentFixture &f) { f.StartOutcome = AgentFixture::okOutcome(); },
            OrderOutcome::Refused}),
    [](const auto &info) { return std::string(info.param.Name); });

/// A run whose stop is ordered while its start is in progress.
struct StoppedStartCase {
  const char *Name;
  std::function<void(AgentFixture &)> Play;
  /// Attempts to start the run that were sent before the stop was ordered.
  size_t Attempts;
};

void PrintTo(const StoppedStartCase &c, std::ostream *out) { *out << c.Name; }

endpoints::WorkerOrders makeStop() {
  return {5, {"life", 1}, {}, {{TestTask, 1}}};
}

class StoppedStart : public testing::TestWithParam<StoppedStartCase> {};

// Guards against a task of a cancelled job that starts, and against attempts
// that stay open, although the run's stop was ordered before they were sent.
TEST_P(StoppedStart, IsNotSentAgain) {
  AgentFixture fixture;
  GetParam().Play(fixture);
  fixture.StopOutcome = AgentFixture::okOutcome();
  fixture.Loop.advance(absl::Seconds(1));
  EXPECT_EQ(fixture.Starts.size(), GetParam().Attempts);
  EXPECT_EQ(fixture.reportedOutcomes(),
            std::set<OrderOutcome>{OrderOutcome::Absent});
}

INSTANTIATE_TEST_SUITE_P(
    Table, StoppedStart,
    testing::Values(
        StoppedStartCase{"Deferred",
                         [](AgentFixture &f) {
                           silenceLeader(f);
                           f.sendOrders(AgentFixture::makeStart(5, 1));
                           f.StopOutcome = outcomeOf(CallStatus::NoAnswer);
                           f.sendOrders(makeStop());
                           f.AnswersReports = true;
                           f.Loop.advance(absl::Seconds(1));
                         },
                         0},
        StoppedStartCase{"NotListening",
                         [](AgentFixture &f) {
                           f.StartOutcome = outcomeOf(CallStatus::NotListening);
                           f.StopOutcome = f.StartOutcome;
                           f.sendOrders(AgentFixture::makeStart(5, 1));
                           f.Loop.advance(absl::Milliseconds(10));
                           f.sendOrders(makeStop());
                           f.Loop.advance(absl::Milliseconds(100));
                         },
                         1},
        StoppedStartCase{"OrderedWithItsStop",
                         [](AgentFixture &f) {
                           endpoints::WorkerOrders orders = makeStop();
                           orders.Starts = AgentFixture::makeStart(5, 1).Starts;
                           f.sendOrders(orders);
                         },
                         0},
        StoppedStartCase{"RepeatedAfterItsStop",
                         [](AgentFixture &f) {
                           f.StartDurationMs = 250;
                           f.sendOrders(AgentFixture::makeStart(5, 1));
                           f.Loop.advance(absl::Milliseconds(10));
                           f.sendOrders(makeStop());
                           f.Loop.advance(absl::Milliseconds(1));
                           f.sendOrders(AgentFixture::makeStart(5, 1));
                         },
                         1}),
    [](const auto &info) { return std::string(info.param.Name); });

// Guards against a task that runs twice: its worker counted as ended for a
// moment, so that the leader started the task elsewhere, and a copy of the
// order arrives when the same process of the worker answers again.
TEST(RepeatedOrder, OfAnIncarnationThatCountedAsEndedIsNotCarriedOut) {
  AgentFixture fixture;
  endpoints::WorkerOrders orders = AgentFixture::makeStart(5, 1);
  orders.LastReport = fixture.Reports.back().Sequence;
  fixture.KeepAliveOutcome = outcomeOf(CallStatus::NotListening);
  fixture.Loop.advance(absl::Milliseconds(1500));
  ASSERT_FALSE(fixture.Reports.back().EndedLives.empty());
  fixture.KeepAliveOutcome = AgentFixture::okOutcome();
  fixture.sendHeartbeat();
  fixture.Loop.advance(absl::Seconds(1));
  ASSERT_TRUE(fixture.Agent->status().Reachable);
  fixture.sendOrders(orders);
  fixture.Loop.advance(absl::Seconds(1));
  EXPECT_TRUE(fixture.Starts.empty());
  EXPECT_TRUE(fixture.allResults().empty());
  orders.LastReport = fixture.Reports.back().Sequence;
  fixture.sendOrders(orders);
  fixture.Loop.advance(absl::Seconds(1));
  EXPECT_EQ(fixture.Starts.size(), 1u);
}

} // namespace
} // namespace oriolebay::agent
