// Tests of attempts to start a run: those without an answer, those that are
// open when the worker restarts, and those that are deferred.
#include "agentfixture.h"
#include "eventlog/eventlog.h"
#include "eventlog/timeline.h"
#include "waituntil.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <unistd.h>
#include <vector>

namespace oriolebay::agent {
namespace {

using endpoints::CallOutcome;
using endpoints::CallStatus;

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
  std::vector<eventlog::LoggedEvent> lines;
  // The log does not wait for its last lines for longer than a moment.
  testwaits::waitUntil([&] {
    lines = eventlog::select(eventlog::readEvents({path}).Events,
                             {"", "", "", "order.defer", {}, {}});
    return lines.size() >= GetParam().Lines.size();
  });
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
