#include "agent/workeragent.h"

#include "platform/election.h"
#include "utils/eventloop.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace oriolebay::agent {
namespace {

using endpoints::CallOutcome;
using endpoints::CallStatus;

/// An agent between a leader and a worker that the test plays.
class AgentBench {
public:
  AgentBench() : Loop(1000, utils::EventLoop::Time::Manual) {
    settings::NodeSettings settings;
    settings.Name = "agent";
    endpoints::Peers peers;
    peers.Address = "agent";
    peers.Serve = [this](endpoints::Peers::Handler h) { Handler = h; };
    peers.Call = [this](const std::string &, const endpoints::Message &m, int,
                        const endpoints::Peers::Done &done) {
      Reports.push_back(std::get<endpoints::WorkerReport>(m));
      Loop.runAfter(absl::Milliseconds(1),
                    [this, done] { done(endpoints::Message(Ack)); });
    };
    endpoints::WorkerCalls worker;
    worker.Start = [this](const endpoints::StartCall &c, const auto &done) {
      Starts.push_back(c);
      Loop.runAfter(absl::Milliseconds(StartTakesMs),
                    [this, done] { done(StartAnswer); });
    };
    worker.Stop = [this](const endpoints::StopCall &c, const auto &done) {
      Stops.push_back(c);
      Loop.runAfter(absl::Milliseconds(1), [this, done] { done(answer()); });
    };
    worker.Hold = [this](const endpoints::HoldCall &c, const auto &done) {
      Holds.push_back(c);
      endpoints::HoldReply reply;
      reply.Running = Running;
      std::erase_if(Ended, [&](const endpoints::EndedTask &e) {
        return e.Number <= c.SeenUpto;
      });
      reply.Ended = Ended;
      const bool waits = c.WaitMs > 0 && reply.Ended.empty() &&
                         HoldAnswer.Status == CallStatus::Ok;
      Loop.runAfter(absl::Milliseconds(waits ? c.WaitMs : 1),
                    [this, done, reply]() mutable {
                      reply.Outcome = HoldAnswer;
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
    Agent = std::make_unique<WorkerAgent>(Loop, store, peers, worker, settings,
                                          "entries/");
    Agent->start();
    Beat.Worker.Life = {"life", 1};
    Beat.Worker.Capacity = {32000, 65536, 8};
    beat();
    Loop.advance(absl::Seconds(1));
  }

  void beat() {
    ++Beat.Sequence;
    Agent->onHeartbeat(Beat);
  }
  endpoints::Ack order(const endpoints::WorkerOrders &orders) {
    endpoints::Ack ack;
    Handler(endpoints::Message(orders), [&](const endpoints::Message &reply) {
      ack = std::get<endpoints::Ack>(reply);
    });
    return ack;
  }
  static endpoints::WorkerOrders start(int64_t epoch, int64_t run) {
    endpoints::WorkerOrders o{epoch, {"life", 1}, {}, {}};
    o.Starts.push_back({"j.0.0.0", run, "text", "", ""});
    return o;
  }
  std::vector<endpoints::OrderResult> results() const {
    return Reports.empty() ? std::vector<endpoints::OrderResult>()
                           : Reports.back().Results;
  }

  utils::EventLoop Loop;
  endpoints::Peers::Handler Handler;
  endpoints::ReportAck Ack;
  endpoints::Heartbeat Beat;
  CallOutcome StartAnswer = answer();
  CallOutcome HoldAnswer = answer();
  int StartTakesMs = 1;
  std::vector<endpoints::RunningTask> Running;
  /// Ends that the worker lists until they are taken note of.
  std::vector<endpoints::EndedTask> Ended;
  std::vector<endpoints::StartCall> Starts;
  std::vector<endpoints::StopCall> Stops;
  std::vector<endpoints::HoldCall> Holds;
  std::vector<endpoints::WorkerReport> Reports;
  std::unique_ptr<WorkerAgent> Agent;

private:
  static CallOutcome answer() {
    return {CallStatus::Ok, endpoints::RefusalReason::None, 7000, ""};
  }
};

TEST(WorkerAgent, CarriesOutAStartOnceHoweverOftenItIsOrdered) {
  AgentBench bench;
  EXPECT_TRUE(bench.order(AgentBench::start(5, 1)).Ok);
  EXPECT_TRUE(bench.order(AgentBench::start(5, 1)).Ok);
  bench.Loop.advance(absl::Milliseconds(20));
  EXPECT_TRUE(bench.order(AgentBench::start(5, 1)).Ok);
  bench.Loop.advance(absl::Milliseconds(20));
  EXPECT_EQ(bench.Starts.size(), 1u);
  EXPECT_GT(bench.Starts[0].UntilMs, 7000);
}

// A leader's order gets no answer from the worker, and the agent tries again;
// meanwhile another leader takes over, has the worker's list and starts the
// task elsewhere. Users saw it run twice: the next try went out under the new
// leader's fencing token, which the worker accepted.
TEST(WorkerAgent, OrderOfAReplacedLeaderIsNotTriedAgain) {
  AgentBench bench;
  bench.StartAnswer = {};
  bench.StartTakesMs = 250;
  bench.order(AgentBench::start(5, 1));
  bench.Loop.advance(absl::Milliseconds(100));
  ASSERT_EQ(bench.Starts.size(), 1u);
  bench.Ack.Epoch = 6;
  bench.order({6, {"life", 1}, {}, {}});
  bench.Loop.advance(absl::Seconds(3));
  EXPECT_EQ(bench.Starts.size(), 1u);
  for (const endpoints::StartCall &call : bench.Starts)
    EXPECT_EQ(call.Epoch, 5);
  // What the replaced leader still sends is refused.
  EXPECT_FALSE(bench.order(AgentBench::start(5, 2)).Ok);
}

TEST(WorkerAgent, StartWithoutAnswerIsUnconfirmedAndNeverRefused) {
  AgentBench bench;
  bench.StartAnswer = {};
  bench.StartTakesMs = 250;
  bench.order(AgentBench::start(5, 1));
  bench.Ack = {};
  bench.Loop.advance(absl::Seconds(2));
  ASSERT_FALSE(bench.results().empty());
  EXPECT_EQ(bench.results().back().Outcome,
            endpoints::OrderOutcome::Unconfirmed);
}

TEST(WorkerAgent, DrainingWorkerTakesNoStart) {
  AgentBench bench;
  bench.Beat.Worker.Draining = true;
  bench.beat();
  bench.order(AgentBench::start(5, 1));
  bench.Loop.advance(absl::Milliseconds(20));
  EXPECT_TRUE(bench.Starts.empty());
}

// The leader cannot be reached any more. What the worker runs must end when
// the grant does, because it may start elsewhere from then on.
TEST(WorkerAgent, HoldsNothingBeyondTheGrant) {
  AgentBench bench;
  bench.Ack = {};
  const absl::Time silent = bench.Loop.now();
  bench.Loop.advance(absl::Seconds(12));
  // The worker's clock stands at 7000 in this test whenever it is asked.
  for (const endpoints::HoldCall &call : bench.Holds)
    EXPECT_LE(call.UntilMs, 7000 + 5500);
  EXPECT_EQ(bench.Holds.back().UntilMs, 0);
  bench.order(AgentBench::start(5, 1));
  bench.Loop.advance(absl::Milliseconds(20));
  EXPECT_TRUE(bench.Starts.empty());
  EXPECT_GT(bench.Loop.now(), silent);
}

// Two tasks end at a worker, a little apart. While the first end was not taken
// note of, its agent looked at the worker ten times a second, so that the other
// end was known up to 100 ms late: room stood empty, and callers were told that
// their job still ran.
TEST(WorkerAgent, EndBehindAnotherIsReportedSoon) {
  AgentBench bench;
  bench.Ended.push_back({1, "a.0.0.0", 1, endpoints::RunEnd::Done, ""});
  for (int ms = 0; bench.Reports.back().Ended.empty() && ms < 1000; ++ms)
    bench.Loop.advance(absl::Milliseconds(1));
  ASSERT_EQ(bench.Reports.back().Ended.size(), 1u);
  bench.Loop.advance(absl::Milliseconds(2));
  bench.Ended.push_back({2, "b.0.0.0", 1, endpoints::RunEnd::Done, ""});
  bench.Loop.advance(absl::Milliseconds(25));
  EXPECT_EQ(bench.Reports.back().Ended.size(), 2u);
}

// Guards against a leader that cannot tell which task crashed its worker.
TEST(WorkerAgent, LeaderIsToldOfACrashAndWhatHadJustBegun) {
  AgentBench bench;
  bench.order(AgentBench::start(5, 1));
  bench.Loop.advance(absl::Milliseconds(20));
  bench.HoldAnswer = {};
  bench.HoldAnswer.Status = CallStatus::NotThere;
  bench.Loop.advance(absl::Milliseconds(1500));
  ASSERT_EQ(bench.Reports.back().EndedLives.size(), 1u);
  const endpoints::LifeEnd end = bench.Reports.back().EndedLives.front();
  EXPECT_EQ(
      end, (endpoints::LifeEnd{{"life", 1}, true, {{"j.0.0.0", 1}}, true, {}}));
}

// Guards against a worker's next life under the same id that forgets its ends
// unseen, as they count from one again.
TEST(WorkerAgent, EndsAreForgottenOnlyWhileThereAreSome) {
  AgentBench bench;
  for (int64_t n = 1; n <= 5; ++n)
    bench.Ended.push_back({n, "a.0.0.0", n, endpoints::RunEnd::Stopped, ""});
  bench.Ack.SeenUpto = 5;
  bench.Loop.advance(absl::Seconds(1));
  const bool told = std::any_of(
      bench.Holds.begin(), bench.Holds.end(),
      [](const endpoints::HoldCall &call) { return call.SeenUpto == 5; });
  EXPECT_TRUE(told);
  bench.Holds.clear();
  bench.Loop.advance(absl::Seconds(2));
  ASSERT_FALSE(bench.Holds.empty());
  for (const endpoints::HoldCall &call : bench.Holds)
    EXPECT_EQ(call.SeenUpto, 0);
}

// Guards against a worker that has started again under its id and is taken for
// gone, as a leave of its life before comes late and names no birth.
TEST(WorkerAgent, LeaveWithoutABirthEndsOnlyAWorkerThatDrains) {
  AgentBench bench;
  bench.Agent->onLeave({"life", 0});
  bench.Loop.advance(absl::Milliseconds(10));
  EXPECT_TRUE(bench.Agent->status().Reachable);
  bench.Beat.Worker.Draining = true;
  bench.beat();
  bench.Agent->onLeave({"life", 0});
  bench.Loop.advance(absl::Milliseconds(10));
  EXPECT_FALSE(bench.Agent->status().Reachable);
}

// Guards against a worker that answers and is never used again, as it was once
// taken for gone.
TEST(WorkerAgent, LifeThatWasTakenForEndedIsServedAgainIfItAnswers) {
  AgentBench bench;
  bench.HoldAnswer = {};
  bench.HoldAnswer.Status = CallStatus::NotThere;
  bench.Loop.advance(absl::Milliseconds(1500));
  ASSERT_FALSE(bench.Agent->status().Reachable);
  bench.HoldAnswer.Status = CallStatus::Ok;
  bench.HoldAnswer.ClockMs = 7000;
  bench.beat();
  bench.Loop.advance(absl::Seconds(1));
  EXPECT_TRUE(bench.Agent->status().Reachable);
  EXPECT_TRUE(bench.Reports.back().EndedLives.empty());
}

// Guards against planned ends of workers that are taken for crashes.
TEST(WorkerAgent, EndOfADrainingWorkerIsNoCrash) {
  AgentBench bench;
  bench.order(AgentBench::start(5, 1));
  bench.Beat.Worker.Draining = true;
  bench.beat();
  bench.HoldAnswer = {};
  bench.HoldAnswer.Status = CallStatus::NotThere;
  bench.Loop.advance(absl::Milliseconds(1500));
  ASSERT_EQ(bench.Reports.back().EndedLives.size(), 1u);
  EXPECT_FALSE(bench.Reports.back().EndedLives.front().Crashed);
}

// Guards against a worker that gets more than it holds: the leader decided on
// what the worker had before, and only the agent knows better.
TEST(WorkerAgent, StartDecidedOnALargerCapacityIsRefused) {
  AgentBench bench;
  endpoints::WorkerOrders orders = AgentBench::start(5, 1);
  orders.Starts.front().DecidedOn = bench.Beat.Worker.Capacity;
  bench.Beat.Worker.Capacity.Accelerators = 4;
  bench.beat();
  bench.Ack = {};
  bench.order(orders);
  bench.Loop.advance(absl::Milliseconds(20));
  EXPECT_TRUE(bench.Starts.empty());
  bench.Loop.advance(absl::Seconds(1));
  ASSERT_FALSE(bench.results().empty());
  EXPECT_EQ(bench.results().back().Outcome, endpoints::OrderOutcome::NoRoom);
}

// Guards against room that is given out after it has gone, or stays unused
// after it has come.
TEST(WorkerAgent, ChangeOfCapacityIsReportedAtOnce) {
  AgentBench bench;
  bench.Beat.Worker.Capacity.Accelerators = 4;
  bench.beat();
  bench.Loop.advance(absl::Milliseconds(2));
  EXPECT_EQ(bench.Reports.back().Worker.Capacity.Accelerators, 4);
}

// Ends cannot be taken note of while the store is away. The agent must not
// look at its worker fifty times a second all that time.
TEST(WorkerAgent, EndsThatStayOpenAreNotLookedAtForEver) {
  AgentBench bench;
  bench.Ended.push_back({1, "a.0.0.0", 1, endpoints::RunEnd::Done, ""});
  bench.Loop.advance(absl::Seconds(1));
  const size_t before = bench.Holds.size();
  bench.Loop.advance(absl::Seconds(10));
  EXPECT_LE(bench.Holds.size() - before, 110u);
}

} // namespace
} // namespace oriolebay::agent
