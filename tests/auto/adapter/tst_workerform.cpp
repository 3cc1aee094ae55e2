#include "http/httpclient.h"
#include "platformstub.h"
#include "vanishingpeer.h"
#include "workerform.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace oriolebay::adapter {
namespace {

using endpoints::CallOutcome;
using endpoints::CallStatus;
using endpoints::RefusalReason;
using nlohmann::json;

endpoints::StartCall aStart() {
  endpoints::StartCall call;
  call.Life = {"life-1", 1000};
  call.Order.Task = "j.0.0.0";
  call.Order.Run = 2;
  call.Order.Payload = "spec";
  call.UntilMs = 5000;
  call.Epoch = 11;
  return call;
}

CallOutcome start(PlatformStub &stub, const endpoints::StartCall &call) {
  const endpoints::WorkerCalls calls =
      makeWorkerCalls(stub.Loop, stub.Client, stub.Address);
  return stub.outcome<CallOutcome>(
      [&](std::function<void(CallOutcome)> done) { calls.Start(call, done); });
}

struct OutcomeCase {
  const char *Name;
  std::optional<http::HttpResponse> Answer;
  CallStatus Status;
  RefusalReason Reason = RefusalReason::None;
};

void PrintTo(const OutcomeCase &c, std::ostream *out) { *out << c.Name; }

class StartAnswers : public ::testing::TestWithParam<OutcomeCase> {};

// Whether a start may have been carried out decides whether the task may start
// elsewhere. An answer with a field of the wrong type ended the whole agent,
// and with it the tasks that it kept alive.
TEST_P(StartAnswers, AreReadForWhatTheySay) {
  PlatformStub stub(GetParam().Answer);
  const CallOutcome outcome = start(stub, aStart());
  EXPECT_EQ(outcome.Status, GetParam().Status) << outcome.Detail;
  EXPECT_EQ(outcome.Reason, GetParam().Reason);
}

const OutcomeCase OutcomeCases[] = {
    {"started", http::HttpResponse{200, R"({"clockMs":5})"}, CallStatus::Ok},
    {"fenced", http::HttpResponse{409, R"({"reason":"fence"})"},
     CallStatus::Refused, RefusalReason::Fenced},
    {"old_run", http::HttpResponse{409, R"({"reason":"old"})"},
     CallStatus::Refused, RefusalReason::OldRun},
    {"too_late", http::HttpResponse{409, R"({"reason":"late"})"},
     CallStatus::Refused, RefusalReason::TooLate},
    {"no_room", http::HttpResponse{409, R"({"reason":"room"})"},
     CallStatus::Refused, RefusalReason::NoRoom},
    {"ticket", http::HttpResponse{409, R"({"reason":"ticket"})"},
     CallStatus::Refused, RefusalReason::Ticket},
    {"reason_unknown", http::HttpResponse{409, R"({"reason":"new one"})"},
     CallStatus::Refused},
    {"other_life", http::HttpResponse{421, "{}"}, CallStatus::OtherLife},
    {"busy", http::HttpResponse{503, "{}"}, CallStatus::Busy},
    {"server_error", http::HttpResponse{500, "{}"}, CallStatus::NoAnswer},
    {"no_json", http::HttpResponse{200, "<html>"}, CallStatus::Ok},
    {"clock_of_wrong_type", http::HttpResponse{200, R"({"clockMs":"x"})"},
     CallStatus::Ok},
    {"reason_of_wrong_type", http::HttpResponse{409, R"({"reason":[1]})"},
     CallStatus::Refused},
    {"nobody_there", std::nullopt, CallStatus::NotThere},
};

INSTANTIATE_TEST_SUITE_P(Table, StartAnswers, ::testing::ValuesIn(OutcomeCases),
                         [](const auto &info) { return info.param.Name; });

TEST(WorkerForm, StartNamesLifeRunAndFencingToken) {
  PlatformStub stub(http::HttpResponse{200, R"({"clockMs":5})"});
  EXPECT_EQ(start(stub, aStart()).ClockMs, 5);
  EXPECT_EQ(stub.asked().header("Oriolebay-Expect-Instance"), "life-1");
  EXPECT_EQ(json::parse(stub.asked().Body),
            json::parse(R"({"task":"j.0.0.0","run":2,"spec":"spec",
                            "untilMs":5000,"fencingToken":11})"));
}

// Guards against a start that was carried out and is taken for one that never
// came, as its worker crashed before it answered.
TEST(WorkerForm, StartThatItsWorkerTookBeforeItVanishedMayHaveBegun) {
  PlatformStub stub(std::nullopt);
  VanishingPeer worker(R"({"clockMs":9,"running":[],"ended":[]})");
  const endpoints::WorkerCalls calls =
      makeWorkerCalls(stub.Loop, stub.Client, worker.Address);
  const auto look = stub.outcome<endpoints::HoldReply>(
      [&](std::function<void(endpoints::HoldReply)> done) {
        calls.Hold({{"life-1", 1000}, 0, 11, 3, 0}, done);
      });
  ASSERT_EQ(look.Outcome.Status, CallStatus::Ok);
  const auto outcome =
      stub.outcome<CallOutcome>([&](std::function<void(CallOutcome)> done) {
        calls.Start(aStart(), done);
      });
  EXPECT_EQ(outcome.Status, CallStatus::NoAnswer) << outcome.Detail;
}

// Guards against a crash that is noticed one look later than it shows.
TEST(WorkerForm, LookThatFindsNobodyListeningSaysSo) {
  PlatformStub stub(std::nullopt);
  VanishingPeer worker(R"({"clockMs":9,"running":[],"ended":[]})");
  const endpoints::WorkerCalls calls =
      makeWorkerCalls(stub.Loop, stub.Client, worker.Address);
  endpoints::HoldReply look;
  for (int n = 0; n < 2; ++n)
    look = stub.outcome<endpoints::HoldReply>(
        [&](std::function<void(endpoints::HoldReply)> done) {
          calls.Hold({{"life-1", 1000}, 0, 11, 3, 0}, done);
        });
  EXPECT_EQ(look.Outcome.Status, CallStatus::NotThere) << look.Outcome.Detail;
}

struct HoldCase {
  const char *Name;
  const char *Body;
  CallStatus Status;
  size_t Running;
  size_t Ended;
};

void PrintTo(const HoldCase &c, std::ostream *out) { *out << c.Name; }

class HoldAnswers : public ::testing::TestWithParam<HoldCase> {};

// A list that cannot be read must not pass for one without tasks: the leader
// would start them elsewhere.
TEST_P(HoldAnswers, AreWholeOrNone) {
  PlatformStub stub(http::HttpResponse{200, GetParam().Body});
  const endpoints::WorkerCalls calls =
      makeWorkerCalls(stub.Loop, stub.Client, stub.Address);
  const auto reply = stub.outcome<endpoints::HoldReply>(
      [&](std::function<void(endpoints::HoldReply)> done) {
        calls.Hold({{"life-1", 1000}, 0, 11, 3, 0}, done);
      });
  EXPECT_EQ(reply.Outcome.Status, GetParam().Status) << reply.Outcome.Detail;
  EXPECT_EQ(reply.Running.size(), GetParam().Running);
  EXPECT_EQ(reply.Ended.size(), GetParam().Ended);
}

const HoldCase HoldCases[] = {
    {"lists",
     R"({"clockMs":9,"running":[["j.0.0.0",2,"s",41.5,0]],
         "ended":[[1,"j.0.0.1",1,"done",""],[2,"j.0.0.2",1,"failed",""]]})",
     CallStatus::Ok, 1, 2},
    {"nothing_runs", R"({"clockMs":9,"running":[],"ended":[]})", CallStatus::Ok,
     0, 0},
    {"short_row", R"({"clockMs":9,"running":[["j.0.0.0",2]],"ended":[]})",
     CallStatus::NoAnswer, 0, 0},
    {"wrong_type", R"({"clockMs":9,"running":[["j.0.0.0","x","s",1]]})",
     CallStatus::NoAnswer, 0, 0},
    {"no_json", "<html>", CallStatus::NoAnswer, 0, 0},
    {"no_lists", R"({"clockMs":9})", CallStatus::NoAnswer, 0, 0},
};

INSTANTIATE_TEST_SUITE_P(Table, HoldAnswers, ::testing::ValuesIn(HoldCases),
                         [](const auto &info) { return info.param.Name; });

// Guards against lists of a worker that has started again under its id, which
// are taken for those of the life before.
TEST(WorkerForm, ListSaysWhenItsWorkerWasBorn) {
  PlatformStub stub(http::HttpResponse{
      200, R"({"clockMs":9,"born":1791000000000,"running":[],"ended":[]})"});
  const endpoints::WorkerCalls calls =
      makeWorkerCalls(stub.Loop, stub.Client, stub.Address);
  const auto reply = stub.outcome<endpoints::HoldReply>(
      [&](std::function<void(endpoints::HoldReply)> done) {
        calls.Hold({{"life-1", 1000}, 0, 11, 3, 0}, done);
      });
  EXPECT_EQ(reply.Outcome.BornMs, 1791000000000);
}

struct BeatCase {
  const char *Name;
  const char *Body;
  int Status;
};

void PrintTo(const BeatCase &c, std::ostream *out) { *out << c.Name; }

class Heartbeats : public ::testing::TestWithParam<BeatCase> {};

TEST_P(Heartbeats, AreTakenOrRefused) {
  PlatformStub stub(std::nullopt);
  std::optional<endpoints::Heartbeat> heard;
  HeartbeatFront front(
      stub.Loop, "127.0.0.1", 0,
      [&heard](const endpoints::Heartbeat &b) {
        heard = b;
        return true;
      },
      [](const endpoints::WorkerLife &) {});
  const http::HttpResult result = http::HttpClient(2000).call(
      "PUT",
      "http://127.0.0.1:" + std::to_string(front.port()) +
          "/-/Instances.Heartbeat/life-1",
      GetParam().Body);
  EXPECT_EQ(result.Status, GetParam().Status);
  EXPECT_EQ(heard.has_value(), GetParam().Status == 200);
  if (!heard)
    return;
  EXPECT_EQ(heard->Worker.Life,
            (endpoints::WorkerLife{"life-1", 1791000000000}));
  EXPECT_EQ(heard->Worker.Rack, "r1-3");
  EXPECT_EQ(heard->Worker.Capacity, (core::Resources{16000, 32768, 8}));
  EXPECT_TRUE(heard->Worker.Draining);
  EXPECT_EQ(heard->Worker.RemainingMs, 4500);
}

const BeatCase BeatCases[] = {
    {"whole",
     R"({"service":"s","state":"draining","remainingMs":4500,"sequence":4,
         "born":1791000000000,
         "capacity":{"cpu":16000,"memMb":32768,"gpu":8},
         "labels":["a","r1-3"],"clockMs":482113})",
     200},
    {"no_service", R"({"state":"ready"})", 400},
    {"born_of_wrong_type", R"({"service":"s","born":"x"})", 400},
    {"wrong_type", R"({"service":"s","sequence":"x"})", 400},
    {"no_json", "<html>", 400},
};

INSTANTIATE_TEST_SUITE_P(Table, Heartbeats, ::testing::ValuesIn(BeatCases),
                         [](const auto &info) { return info.param.Name; });

struct LeaveCase {
  const char *Name;
  const char *Body;
  int64_t BornMs;
};

void PrintTo(const LeaveCase &c, std::ostream *out) { *out << c.Name; }

class Leaves : public ::testing::TestWithParam<LeaveCase> {};

// Guards against a leave of an earlier life that is taken for the present
// one's.
TEST_P(Leaves, SayWhichLifeLeavesIfTheyCan) {
  PlatformStub stub(std::nullopt);
  std::optional<endpoints::WorkerLife> left;
  HeartbeatFront front(
      stub.Loop, "127.0.0.1", 0,
      [](const endpoints::Heartbeat &) { return true; },
      [&left](const endpoints::WorkerLife &life) { left = life; });
  const http::HttpResult result = http::HttpClient(2000).call(
      "POST",
      "http://127.0.0.1:" + std::to_string(front.port()) +
          "/-/Instances.Deregister/life-1",
      GetParam().Body);
  EXPECT_EQ(result.Status, 200);
  EXPECT_EQ(left, (endpoints::WorkerLife{"life-1", GetParam().BornMs}));
}

INSTANTIATE_TEST_SUITE_P(
    Table, Leaves,
    ::testing::Values(LeaveCase{"born", R"({"born":1791000000000})",
                                1791000000000},
                      LeaveCase{"not_told", "{}", 0},
                      LeaveCase{"wrong_type", R"({"born":"x"})", 0},
                      LeaveCase{"no_json", "<html>", 0}),
    [](const auto &test) { return std::string(test.param.Name); });

} // namespace
} // namespace oriolebay::adapter
