#include "platformstub.h"
#include "storeadapter.h"
#include "tricklingpeer.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace oriolebay::adapter {
namespace {

using nlohmann::json;
using platform::KeyValue;
using platform::StoreReply;
using platform::StoreStatus;
using platform::StoreTxnReply;

struct AnswerCase {
  const char *Name;
  std::optional<http::HttpResponse> Answer;
  StoreStatus Status;
};

void PrintTo(const AnswerCase &c, std::ostream *out) { *out << c.Name; }

class StoreAnswers : public ::testing::TestWithParam<AnswerCase> {};

// Whether a write may have been applied decides whether it is retried. An
// answer that leaves this open must never be reported as "not applied".
TEST_P(StoreAnswers, MapToTheExpectedStatus) {
  PlatformStub stub(GetParam().Answer);
  const platform::Store store =
      makeStore(stub.Loop, stub.Client, stub.Address, ignoreRefused);
  const auto reply = stub.callAndWait<StoreReply<StoreTxnReply>>(
      [&](std::function<void(StoreReply<StoreTxnReply>)> done) {
        platform::StoreTxn txn;
        txn.Puts.push_back({"k", "v", 0});
        store.Transact(txn, done);
      });
  EXPECT_EQ(reply.Status, GetParam().Status) << reply.Why;
  EXPECT_EQ(reply.Why.empty(), GetParam().Status == StoreStatus::Ok);
}

const AnswerCase AnswerCases[] = {
    {"applied", http::HttpResponse{200, R"({"revision":7})"}, StoreStatus::Ok},
    {"condition_failed", http::HttpResponse{412, R"({"items":[]})"},
     StoreStatus::Conflict},
    {"too_many_calls", http::HttpResponse{429, "{}"}, StoreStatus::Refused},
    {"unavailable", http::HttpResponse{503, "{}"}, StoreStatus::Refused},
    {"bad_request", http::HttpResponse{400, "{}"}, StoreStatus::Refused},
    {"accepted", http::HttpResponse{202, "{}"}, StoreStatus::Unknown},
    {"moved", http::HttpResponse{302, "{}"}, StoreStatus::Unknown},
    {"server_error", http::HttpResponse{500, "{}"}, StoreStatus::Unknown},
    {"bad_gateway", http::HttpResponse{502, "{}"}, StoreStatus::Unknown},
    {"no_json", http::HttpResponse{200, "<html>"}, StoreStatus::Unknown},
    {"wrong_type", http::HttpResponse{200, R"({"revision":"x"})"},
     StoreStatus::Unknown},
    {"nothing_listens", std::nullopt, StoreStatus::Refused},
};

INSTANTIATE_TEST_SUITE_P(Table, StoreAnswers, ::testing::ValuesIn(AnswerCases),
                         [](const auto &info) { return info.param.Name; });

TEST(StoreAdapter, TransactionCarriesConditionsWritesAndLeases) {
  PlatformStub stub(http::HttpResponse{200, R"({"revision":7})"});
  const platform::Store store =
      makeStore(stub.Loop, stub.Client, stub.Address, ignoreRefused);
  const auto reply = stub.callAndWait<StoreReply<StoreTxnReply>>(
      [&](std::function<void(StoreReply<StoreTxnReply>)> done) {
        platform::StoreTxn txn;
        txn.Expected.push_back({"a", 3});
        txn.Puts.push_back({"b", "text", 9});
        txn.Removes.push_back("c");
        store.Transact(txn, done);
      });
  EXPECT_EQ(reply.Value.Revision, 7);
  EXPECT_EQ(stub.lastRequest().Method, "POST");
  EXPECT_EQ(json::parse(stub.lastRequest().Body),
            json::parse(R"({"expected":[{"key":"a","revision":3}],
                            "puts":[{"key":"b","lease":9,"value":"dGV4dA=="}],
                            "remove":["c"]})"));
}

TEST(StoreAdapter, GetReturnsValueRevisionsAndLease) {
  PlatformStub stub(http::HttpResponse{
      200,
      R"({"key":"k","value":"dGV4dA==","created":4,"revision":6,"lease":9})"});
  const platform::Store store =
      makeStore(stub.Loop, stub.Client, stub.Address, ignoreRefused);
  const auto reply = stub.callAndWait<StoreReply<KeyValue>>(
      [&](std::function<void(StoreReply<KeyValue>)> done) {
        store.Get("a key", done);
      });
  EXPECT_EQ(reply.Status, StoreStatus::Ok);
  EXPECT_EQ(reply.Value.Value, "text");
  EXPECT_EQ(reply.Value.CreateRevision, 4);
  EXPECT_EQ(reply.Value.ModRevision, 6);
  EXPECT_EQ(reply.Value.Lease, 9);
}

struct SlowCase {
  const char *Name;
  std::vector<std::string> Parts;
  size_t BodySize;
  StoreStatus Status;
};

void PrintTo(const SlowCase &c, std::ostream *out) { *out << c.Name; }

class SlowAnswers : public ::testing::TestWithParam<SlowCase> {};

// Guards against an entry on a slow link that never has a complete view: each
// page that it reads takes longer than the timeout, and is read again.
TEST_P(SlowAnswers, AreWaitedForAsLongAsTheyArrive) {
  TricklingPeer peer(GetParam().Parts, GetParam().BodySize,
                     std::chrono::milliseconds(250));
  PlatformStub stub(std::nullopt);
  const platform::Store store =
      makeStore(stub.Loop, stub.Client, peer.address(), ignoreRefused);
  const auto reply = stub.callAndWait<StoreReply<platform::StorePage>>(
      [&](std::function<void(StoreReply<platform::StorePage>)> done) {
        store.Range("jobs/", "", platform::ReadMode::Linearizable, done);
      });
  EXPECT_EQ(reply.Status, GetParam().Status) << reply.Why;
}

const std::vector<std::string> PageParts{R"({"it)",           R"(ems":[],)",
                                         R"("morePages)",     R"(":false,)",
                                         R"("storeRevision)", R"(":7})"};
constexpr size_t PageSize = 48;

const SlowCase SlowCases[] = {
    {"slow", PageParts, PageSize, StoreStatus::Ok},
    {"stands_still", {PageParts.front()}, PageSize, StoreStatus::Unknown},
    {"no_answer", {}, 0, StoreStatus::Unknown},
};

INSTANTIATE_TEST_SUITE_P(Table, SlowAnswers, ::testing::ValuesIn(SlowCases),
                         [](const auto &info) { return info.param.Name; });

} // namespace
} // namespace oriolebay::adapter
