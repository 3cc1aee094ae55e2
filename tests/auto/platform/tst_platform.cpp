#include "closingpeer.h"
#include "harness/launcher.h"
#include "http/httpclient.h"
#include "http/httpserver.h"
#include "platform/kvclient.h"
#include "platform/leaderelection.h"
#include "testnames.h"
#include "waituntil.h"

#include <gtest/gtest.h>

using namespace oriolebay;
using platform::KvClient;
using platform::Leadership;
using testwaits::waitUntil;

namespace {

constexpr long CallTimeoutMs = 300;
/// Timeout that no call of a test reaches.
constexpr long AmpleTimeoutMs = 60000;

// Starts the stand-ins without entries and agents; the tests use only the store
// stand-in.
class Store : public testing::Test {
protected:
  void SetUp() override {
    bench::LaunchSpec spec;
    spec.BinDir = ORIOLEBAY_BUILD_DIR;
    spec.WorkDir = testnames::workDir();
    spec.Entries = 0;
    Cluster = std::make_unique<bench::Launcher>(spec);
    Cluster->start();
    Kv = std::make_unique<KvClient>(Cluster->storeUrl(), CallTimeoutMs);
  }
  void TearDown() override {
    for (const std::string &name : Cluster->stopAll())
      ADD_FAILURE() << name << " did not end after SIGTERM";
  }

  void injectFault(const std::string &body) const {
    http::HttpClient client(5000);
    client.call("POST", Cluster->storeUrl() + "/fault", body);
  }

  std::unique_ptr<bench::Launcher> Cluster;
  std::unique_ptr<KvClient> Kv;
};

struct StoreCase {
  const char *Description;
  const char *Fault;
  bool Answered;
  bool Applied;
};
class StoreContract : public Store,
                      public testing::WithParamInterface<StoreCase> {};

// A write is affected by a fault of the store. The client must report
// StoreUnavailable whenever the outcome is unknown, also if the write took
// effect: a caller that considers a lost reply as "not written" would write
// twice.
TEST_P(StoreContract, UnknownOutcomeIsNeitherSuccessNorRefusal) {
  const StoreCase &c = GetParam();
  injectFault(c.Fault);
  auto outcome = utils::handle<std::string>(
      [&]() -> utils::Result<std::string> {
        BOOST_LEAF_AUTO(res, Kv->compareAndSwap("/k", "v", 0));
        return std::string(res.Succeeded ? "written" : "refused");
      },
      [](const utils::Error &e) {
        return e.Kind == utils::ErrorKind::StoreUnavailable ? "unknown"
                                                            : "other";
      });
  EXPECT_EQ(outcome, c.Answered ? "written" : "unknown") << c.Description;
  injectFault(R"({"outage":false,"delay_ms":0,"lose_replies":0})");
  // A slow write may take effect after its call has timed out.
  waitUntil([&] {
    auto kv = Kv->get("/k");
    return kv && kv->has_value() == c.Applied;
  });
}

INSTANTIATE_TEST_SUITE_P(
    Table, StoreContract,
    testing::Values(StoreCase{"no fault", "{}", true, true},
                    StoreCase{"outage", R"({"outage":true})", false, false},
                    StoreCase{"slower than the timeout", R"({"delay_ms":600})",
                              false, true},
                    StoreCase{"lost reply", R"({"lose_replies":1})", false,
                              true}),
    [](const auto &info) {
      return testnames::testNameFrom(info.param.Description);
    });

class StoreConnections : public testing::TestWithParam<testpeers::CloseKind> {};

// Guards against a write that is carried out and reported as a conflict with
// itself, because the HTTP library sends it again when its connection ends.
TEST_P(StoreConnections, EndWithoutASecondCopyOfAWrite) {
  testpeers::ClosingPeer peer(
      testpeers::CloseMoment::AfterRequest, GetParam(), "{}",
      testpeers::PeerAnswer{200, R"({"succeeded":false})"});
  KvClient kv("http://" + peer.address(), AmpleTimeoutMs);
  ASSERT_TRUE(kv.get("/k"));
  const auto outcome = utils::handle<std::string>(
      [&]() -> utils::Result<std::string> {
        BOOST_LEAF_AUTO(res, kv.compareAndSwap("/k", "v", 0));
        return std::string(res.Succeeded ? "written" : "conflict");
      },
      [](const utils::Error &e) {
        return e.Kind == utils::ErrorKind::StoreUnavailable ? "unknown"
                                                            : "other";
      });
  EXPECT_EQ(outcome, "unknown");
  EXPECT_EQ(peer.timesRead("/v3/kv/txn"), 1);
}

INSTANTIATE_TEST_SUITE_P(Kinds, StoreConnections,
                         testing::Values(testpeers::CloseKind::Fin,
                                         testpeers::CloseKind::Reset),
                         [](const auto &info) {
                           return info.param == testpeers::CloseKind::Fin
                                      ? "fin"
                                      : "reset";
                         });

// Guards against a new leader that starts gangs again which a previous leader
// has started: it reads more gang records than one reply of the store may
// contain, and must get all of them.
TEST_F(Store, ListReadsEveryPage) {
  constexpr int Keys = 1001;
  for (int i = 0; i < Keys; ++i)
    ASSERT_TRUE(Kv->put("/oriolebay/gangs/" + std::to_string(i), "{}"));
  ASSERT_TRUE(Kv->put("/oriolebay/other", "{}"));
  auto listed = Kv->list("/oriolebay/gangs/");
  ASSERT_TRUE(listed);
  EXPECT_EQ(static_cast<int>(listed->size()), Keys);
  EXPECT_GE(Kv->calls(), Keys + 1 + 3);
}

// A candidate of a leader election and the leadership that it was last notified
// of.
class Candidate {
public:
  Candidate(KvClient &kv, std::string address)
      : Election(
            kv, std::move(address), 1,
            [this](const Leadership &l) {
              absl::MutexLock lock(&Mu);
              Known = l;
            },
            [](const utils::Error &) {}) {}
  Leadership known() {
    absl::MutexLock lock(&Mu);
    return Known;
  }

private:
  absl::Mutex Mu;
  Leadership Known;

public:
  platform::LeaderElection Election;
};

// The leader is suspended beyond its lease, and another entry takes over. The
// old leader resumes and tries to record a start under its epoch: the store
// must refuse the write, and the new epoch must be greater.
TEST_F(Store, SuspendedLeaderIsFenced) {
  Candidate first(*Kv, "tcp://first");
  waitUntil([&] { return first.known().Mine; });
  Candidate second(*Kv, "tcp://second");
  waitUntil([&] { return second.known().Epoch == first.known().Epoch; });
  EXPECT_FALSE(second.known().Mine);
  const int64_t oldEpoch = first.known().Epoch;
  // The candidate stops without resigning, which looks to the store like a
  // suspended process.
  first.Election.stop();
  waitUntil([&] { return second.known().Mine; });
  EXPECT_GT(second.known().Epoch, oldEpoch);
  auto staleTxn =
      Kv->txn({{platform::LeaderKey, platform::Compare::Field::CreateRevision,
                oldEpoch}},
              {{"/oriolebay/gangs/late", "{}", 0}});
  ASSERT_TRUE(staleTxn);
  EXPECT_FALSE(staleTxn->Succeeded);
  auto currentTxn =
      Kv->txn({{platform::LeaderKey, platform::Compare::Field::CreateRevision,
                second.known().Epoch}},
              {{"/oriolebay/gangs/now", "{}", 0}});
  ASSERT_TRUE(currentTxn);
  EXPECT_TRUE(currentTxn->Succeeded);
}

// Replies to the calls of the election itself are lost. Whichever calls took
// effect, in the end exactly one of the two candidates must lead, and both must
// agree on the leader.
TEST_F(Store, LostRepliesLeaveExactlyOneLeader) {
  injectFault(R"({"lose_replies":6})");
  Candidate first(*Kv, "tcp://first");
  Candidate second(*Kv, "tcp://second");
  waitUntil([&] {
    const Leadership a = first.known();
    const Leadership b = second.known();
    return a.Epoch != 0 && a.Epoch == b.Epoch && a.Mine != b.Mine;
  });
  EXPECT_EQ(first.known().Address, second.known().Address);
}

struct OddAnswer {
  const char *Name;
  std::string Body;
};

void PrintTo(const OddAnswer &c, std::ostream *out) { *out << c.Name; }

class OddAnswers : public testing::TestWithParam<OddAnswer> {};

// Guards against answers of the store that end the thread that asked.
TEST_P(OddAnswers, DoNotThrow) {
  http::HttpServer server("127.0.0.1", 0, [](const http::HttpRequest &) {
    return http::HttpResponse{200, GetParam().Body};
  });
  KvClient kv("http://127.0.0.1:" + std::to_string(server.port()),
              CallTimeoutMs);
  EXPECT_NO_THROW(kv.get("/k"));
  EXPECT_NO_THROW(kv.list("/k"));
  EXPECT_NO_THROW(kv.put("/k", "v"));
  EXPECT_NO_THROW(kv.compareAndSwap("/k", "v", 1));
  EXPECT_NO_THROW(kv.grantLease(1));
  EXPECT_NO_THROW(kv.keepAlive(1));
  EXPECT_NO_THROW(kv.watch("/k", 1, 10));
}

const OddAnswer OddStoreAnswers[] = {
    {"number", "5"},
    {"list", "[1]"},
    {"byte_ff", "\xff"},
    {"text_not_utf8", "{\"kvs\":\"\xff\"}"},
    {"very_deep", std::string(400000, '[')},
    {"lists_of_other_types",
     R"({"kvs":5,"header":"x","responses":[7],"result":{"events":"x"}})"},
    {"members_of_other_types",
     R"({"kvs":[5],"header":{"revision":"x"},"succeeded":"no","more":1,
         "responses":[{"response_range":{"kvs":[[]]}}],"ID":[1],
         "result":{"TTL":"99999999999999999999","events":[{"kv":5}]}})"},
    {"keys_of_other_types",
     R"({"kvs":[{"key":5,"value":[],"mod_revision":"abc"}]})"},
};

INSTANTIATE_TEST_SUITE_P(Table, OddAnswers, testing::ValuesIn(OddStoreAnswers),
                         [](const auto &info) { return info.param.Name; });

} // namespace
