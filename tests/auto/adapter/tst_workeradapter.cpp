#include "http/httpclient.h"
#include "platformstub.h"
#include "vanishingpeer.h"
#include "workeradapter.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace oriolebay::adapter {
namespace {

using endpoints::CallOutcome;
using endpoints::CallStatus;
using endpoints::RefusalReason;
using nlohmann::json;

endpoints::StartCall makeStartCall() {
  endpoints::StartCall call;
  call.Incarnation = {"life-1", 1000};
  call.Order.Task = "j.0.0.0";
  call.Order.Run = 2;
  call.Order.Payload = "spec";
  call.UntilMs = 5000;
  call.Epoch = 11;
  return call;
}

CallOutcome sendStart(PlatformStub &stub, const endpoints::StartCall &call) {
  const endpoints::WorkerCalls calls =
      makeWorkerCalls(stub.Loop, stub.Client, stub.Address,
                      [](const utils::RefusedMessage &) {});
  return stub.callAndWait<CallOutcome>(
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
// elsewhere. Guards also against an answer with a field of the wrong type that
// terminates the agent, and with it the tasks that it keeps alive.
TEST_P(StartAnswers, MapToTheExpectedOutcome) {
  PlatformStub stub(GetParam().Answer);
  const CallOutcome outcome = sendStart(stub, makeStartCall());
  EXPECT_EQ(outcome.Status, GetParam().Status) << outcome.Detail;
  EXPECT_EQ(outcome.Reason, GetParam().Reason);
}

const OutcomeCase OutcomeCases[] = {
    {"started", http::HttpResponse{200, R"({"clockMs":5})"}, CallStatus::Ok},
    {"fenced", http::HttpResponse{409, R"({"reason":"fence"})"},
     CallStatus::Refused, RefusalReason::Fenced},
    {"old_run", http::HttpResponse{409, R"({"reason":"old"})"},
     CallStatus::Refused, RefusalReason::StaleRun},
    {"too_late", http::HttpResponse{409, R"({"reason":"late"})"},
     CallStatus::Refused, RefusalReason::TooLate},
    {"no_free_capacity", http::HttpResponse{409, R"({"reason":"room"})"},
     CallStatus::Refused, RefusalReason::NoCapacity},
    {"ticket", http::HttpResponse{409, R"({"reason":"ticket"})"},
     CallStatus::Refused, RefusalReason::Ticket},
    {"reason_unknown", http::HttpResponse{409, R"({"reason":"new one"})"},
     CallStatus::Refused},
    {"other_incarnation", http::HttpResponse{421, "{}"},
     CallStatus::OtherIncarnation},
    {"busy", http::HttpResponse{503, "{}"}, CallStatus::Busy},
    {"moved", http::HttpResponse{302, "{}"}, CallStatus::NoAnswer},
    {"server_error", http::HttpResponse{500, "{}"}, CallStatus::NoAnswer},
    {"no_json", http::HttpResponse{200, "<html>"}, CallStatus::Ok},
    {"clock_of_wrong_type", http::HttpResponse{200, R"({"clockMs":"x"})"},
     CallStatus::Ok},
    {"reason_of_wrong_type", http::HttpResponse{409, R"({"reason":[1]})"},
     CallStatus::Refused},
    {"nothing_listens", std::nullopt, CallStatus::NotListening},
};

INSTANTIATE_TEST_SUITE_P(Table, StartAnswers, ::testing::ValuesIn(OutcomeCases),
                         [](const auto &info) { return info.param.Name; });

TEST(WorkerAdapter, StartNamesIncarnationRunAndFencingToken) {
  PlatformStub stub(http::HttpResponse{200, R"({"clockMs":5})"});
  EXPECT_EQ(sendStart(stub, makeStartCall()).ClockMs, 5);
  EXPECT_EQ(stub.lastRequest().header("Oriolebay-Expect-Instance"), "life-1");
  EXPECT_EQ(json::parse(stub.lastRequest().Body),
            json::parse(R"({"task":"j.0.0.0","run":2,"spec":"spec",
                            "untilMs":5000,"fencingToken":11})"));
}

// Guards against a start that was carried out but is reported as never
// received, because its worker crashed before it answered.
TEST(WorkerAdapter, StartIsUnansweredWhenTheWorkerCrashesAfterReceivingIt) {
  PlatformStub stub(std::nullopt);
  VanishingPeer worker(R"({"clockMs":9,"running":[],"ended":[]})");
  const endpoints::WorkerCalls calls =
      makeWorkerCalls(stub.Loop, stub.Client, worker.address(),
                      [](const utils::RefusedMessage &) {});
  const auto keepAliveReply = stub.callAndWait<endpoints::KeepAliveReply>(
      [&](std::function<void(endpoints::KeepAliveReply)> done) {
        calls.KeepAlive({{"life-1", 1000}, 0, 11, 3, 0}, done);
      });
  ASSERT_EQ(keepAliveReply.Outcome.Status, CallStatus::Ok);
  const auto outcome =
      stub.callAndWait<CallOutcome>([&](std::function<void(CallOutcome)> done) {
        calls.Start(makeStartCall(), done);
      });
  EXPECT_EQ(outcome.Status, CallStatus::NoAnswer) << outcome.Detail;
}

// Guards against a crash that is detected one poll later than possible.
TEST(WorkerAdapter, KeepAliveCallReportsThatNothingListens) {
  PlatformStub stub(std::nullopt);
  VanishingPeer worker(R"({"clockMs":9,"running":[],"ended":[]})");
  const endpoints::WorkerCalls calls =
      makeWorkerCalls(stub.Loop, stub.Client, worker.address(),
                      [](const utils::RefusedMessage &) {});
  endpoints::KeepAliveReply keepAliveReply;
  for (int n = 0; n < 2; ++n)
    keepAliveReply = stub.callAndWait<endpoints::KeepAliveReply>(
        [&](std::function<void(endpoints::KeepAliveReply)> done) {
          calls.KeepAlive({{"life-1", 1000}, 0, 11, 3, 0}, done);
        });
  EXPECT_EQ(keepAliveReply.Outcome.Status, CallStatus::NotListening)
      << keepAliveReply.Outcome.Detail;
}

struct KeepAliveCase {
  const char *Name;
  const char *Body;
  CallStatus Status;
  size_t Running;
  size_t Ended;
  size_t Refused = 0;
};

void PrintTo(const KeepAliveCase &c, std::ostream *out) { *out << c.Name; }

class KeepAliveAnswers : public ::testing::TestWithParam<KeepAliveCase> {};

// A task list that cannot be parsed must not be reported as an empty list: the
// leader would start the worker's tasks elsewhere.
TEST_P(KeepAliveAnswers, AreParsedCompletelyOrRejected) {
  PlatformStub stub(http::HttpResponse{200, GetParam().Body});
  size_t refused = 0;
  const endpoints::WorkerCalls calls =
      makeWorkerCalls(stub.Loop, stub.Client, stub.Address,
                      [&](const utils::RefusedMessage &) { ++refused; });
  const auto reply = stub.callAndWait<endpoints::KeepAliveReply>(
      [&](std::function<void(endpoints::KeepAliveReply)> done) {
        calls.KeepAlive({{"life-1", 1000}, 0, 11, 3, 0}, done);
      });
  EXPECT_EQ(reply.Outcome.Status, GetParam().Status) << reply.Outcome.Detail;
  EXPECT_EQ(reply.Running.size(), GetParam().Running);
  EXPECT_EQ(reply.Ended.size(), GetParam().Ended);
  EXPECT_EQ(refused, GetParam().Refused);
}

const KeepAliveCase KeepAliveCases[] = {
    {"lists",
     R"({"clockMs":9,"running":[["j.0.0.0",2,"s",41.5,0]],
         "ended":[[1,"j.0.0.1",1,"done",""],[2,"j.0.0.2",1,"failed",""]]})",
     CallStatus::Ok, 1, 2},
    {"nothing_runs", R"({"clockMs":9,"running":[],"ended":[]})", CallStatus::Ok,
     0, 0},
    {"short_row", R"({"clockMs":9,"running":[["j.0.0.0",2]],"ended":[]})",
     CallStatus::NoAnswer, 0, 0, 1},
    {"wrong_type", R"({"clockMs":9,"running":[["j.0.0.0","x","s",1]]})",
     CallStatus::NoAnswer, 0, 0, 1},
    {"one_odd_row_among_others",
     R"({"clockMs":9,"running":[["j.0.0.0",2,"s",41,0],null],"ended":[]})",
     CallStatus::NoAnswer, 0, 0, 1},
    {"number_of_an_end_of_another_type",
     R"({"clockMs":9,"running":[],"ended":[["x","j.0.0.1",1,"done",""]]})",
     CallStatus::NoAnswer, 0, 0, 1},
    {"no_json", "<html>", CallStatus::NoAnswer, 0, 0, 1},
    {"no_lists", R"({"clockMs":9})", CallStatus::NoAnswer, 0, 0, 1},
};

INSTANTIATE_TEST_SUITE_P(Table, KeepAliveAnswers,
                         ::testing::ValuesIn(KeepAliveCases),
                         [](const auto &info) { return info.param.Name; });

// Guards against task lists of a restarted worker that are attributed to the
// previous incarnation under the same id.
TEST(WorkerAdapter, KeepAliveReplyCarriesTheStartTimeOfTheWorker) {
  PlatformStub stub(http::HttpResponse{
      200, R"({"clockMs":9,"born":1791000000000,"running":[],"ended":[]})"});
  const endpoints::WorkerCalls calls =
      makeWorkerCalls(stub.Loop, stub.Client, stub.Address,
                      [](const utils::RefusedMessage &) {});
  const auto reply = stub.callAndWait<endpoints::KeepAliveReply>(
      [&](std::function<void(endpoints::KeepAliveReply)> done) {
        calls.KeepAlive({{"life-1", 1000}, 0, 11, 3, 0}, done);
      });
  EXPECT_EQ(reply.Outcome.BornMs, 1791000000000);
}

struct EndsCase {
  const char *Name;
  int Ends;
  bool Complete;
};

void PrintTo(const EndsCase &c, std::ostream *out) { *out << c.Name; }

class ListedEnds : public ::testing::TestWithParam<EndsCase> {};

// Guards against runs that count as vanished although their ends are only not
// listed yet.
TEST_P(ListedEnds, AreCompleteBelowTheNumberThatIsListedAtATime) {
  nlohmann::json ends = nlohmann::json::array();
  for (int n = 1; n <= GetParam().Ends; ++n)
    ends.push_back({n, "j.0.0." + std::to_string(n), 1, "done", ""});
  const nlohmann::json lists = {
      {"clockMs", 9}, {"running", nlohmann::json::array()}, {"ended", ends}};
  PlatformStub stub(http::HttpResponse{200, lists.dump()});
  const endpoints::WorkerCalls calls =
      makeWorkerCalls(stub.Loop, stub.Client, stub.Address,
                      [](const utils::RefusedMessage &) {});
  const auto reply = stub.callAndWait<endpoints::KeepAliveReply>(
      [&](std::function<void(endpoints::KeepAliveReply)> done) {
        calls.KeepAlive({{"life-1", 1000}, 0, 11, 3, 0}, done);
      });
  EXPECT_EQ(reply.EndsComplete, GetParam().Complete);
}

INSTANTIATE_TEST_SUITE_P(Table, ListedEnds,
                         ::testing::Values(EndsCase{"none", 0, true},
                                           EndsCase{"below", 499, true},
                                           EndsCase{"as_many", 500, false}),
                         [](const auto &info) { return info.param.Name; });

struct HeartbeatCase {
  const char *Name;
  std::string Body;
  int Status;
};

void PrintTo(const HeartbeatCase &c, std::ostream *out) { *out << c.Name; }

class Heartbeats : public ::testing::TestWithParam<HeartbeatCase> {};

// Guards against requests of another writer that end the agent, and with it all
// tasks that it keeps alive.
TEST_P(Heartbeats, AreAcceptedOrRejected) {
  PlatformStub stub(std::nullopt);
  std::optional<endpoints::Heartbeat> received;
  std::vector<utils::RefusedMessage> refused;
  HeartbeatServer front(
      stub.Loop, "127.0.0.1", 0,
      [&received](const endpoints::Heartbeat &b) {
        received = b;
        return true;
      },
      [](const endpoints::WorkerIncarnation &) {},
      [&refused](const utils::RefusedMessage &m) { refused.push_back(m); });
  const http::HttpResult result = http::HttpClient(2000).call(
      "PUT",
      "http://127.0.0.1:" + std::to_string(front.port()) +
          "/-/Instances.Heartbeat/life-1",
      GetParam().Body);
  EXPECT_EQ(result.Status, GetParam().Status);
  EXPECT_EQ(received.has_value(), GetParam().Status == 200);
  EXPECT_EQ(refused.size(), GetParam().Status == 200 ? 0u : 1u);
  EXPECT_LT(result.Body.size(), 400u);
  if (!received)
    return;
  EXPECT_EQ(received->Worker.Life,
            (endpoints::WorkerIncarnation{"life-1", 1791000000000}));
  EXPECT_EQ(received->Worker.Rack, "r1-3");
  EXPECT_EQ(received->Worker.Capacity, (core::Resources{16000, 32768, 8}));
  EXPECT_TRUE(received->Worker.Draining);
  EXPECT_EQ(received->Worker.RemainingMs, 4500);
}

const HeartbeatCase HeartbeatCases[] = {
    {"complete",
     R"({"service":"s","state":"draining","remainingMs":4500,"sequence":4,
         "born":1791000000000,
         "capacity":{"cpu":16000,"memMb":32768,"gpu":8},
         "labels":["a","r1-3"],"clockMs":482113})",
     200},
    {"no_service", R"({"state":"ready"})", 400},
    {"start_time_of_wrong_type", R"({"service":"s","born":"x"})", 400},
    {"wrong_type", R"({"service":"s","sequence":"x"})", 400},
    {"no_json", "<html>", 400},
    {"empty", "", 400},
    {"no_object", "[1]", 400},
    {"byte_ff", "\xff", 400},
    {"text_not_utf8", "{\"service\":\"\xff\xfe\"}", 400},
    {"name_not_utf8", "{\"\xff\":1}", 400},
    {"zero_byte", std::string(1, '\0'), 400},
    {"very_deep",
     R"({"service":"s","capacity":)" + std::string(250000, '[') +
         std::string(250000, ']') + "}",
     400},
    {"capacity_out_of_range",
     R"({"service":"s","capacity":{"cpu":9223372036854775807}})", 400},
    {"capacity_negative", R"({"service":"s","capacity":{"cpu":-1}})", 400},
    {"capacity_huge", R"({"service":"s","capacity":{"cpu":1e300}})", 400},
};

INSTANTIATE_TEST_SUITE_P(Table, Heartbeats, ::testing::ValuesIn(HeartbeatCases),
                         [](const auto &info) { return info.param.Name; });

struct DeregistrationCase {
  const char *Name;
  const char *Body;
  int64_t StartTimeMs;
};

void PrintTo(const DeregistrationCase &c, std::ostream *out) { *out << c.Name; }

class Deregistrations : public ::testing::TestWithParam<DeregistrationCase> {};

// Guards against a deregistration of a previous incarnation that is attributed
// to the current one.
TEST_P(Deregistrations, NameTheIncarnationIfTheStartTimeIsGiven) {
  PlatformStub stub(std::nullopt);
  std::optional<endpoints::WorkerIncarnation> deregistered;
  HeartbeatServer front(
      stub.Loop, "127.0.0.1", 0,
      [](const endpoints::Heartbeat &) { return true; },
      [&deregistered](const endpoints::WorkerIncarnation &incarnation) {
        deregistered = incarnation;
      },
      [](const utils::RefusedMessage &) {});
  const http::HttpResult result = http::HttpClient(2000).call(
      "POST",
      "http://127.0.0.1:" + std::to_string(front.port()) +
          "/-/Instances.Deregister/life-1",
      GetParam().Body);
  EXPECT_EQ(result.Status, 200);
  EXPECT_EQ(deregistered,
            (endpoints::WorkerIncarnation{"life-1", GetParam().StartTimeMs}));
}

INSTANTIATE_TEST_SUITE_P(
    Table, Deregistrations,
    ::testing::Values(DeregistrationCase{"start_time",
                                         R"({"born":1791000000000})",
                                         1791000000000},
                      DeregistrationCase{"no_start_time", "{}", 0},
                      DeregistrationCase{"wrong_type", R"({"born":"x"})", 0},
                      DeregistrationCase{"no_json", "<html>", 0}),
    [](const auto &test) { return std::string(test.param.Name); });

} // namespace
} // namespace oriolebay::adapter
