// Calls of the adapters on connections that the peer ends at any moment.
#include "closingpeer.h"
#include "platformstub.h"
#include "storeadapter.h"
#include "workeradapter.h"

#include <gtest/gtest.h>

namespace oriolebay::adapter {
namespace {

using endpoints::CallOutcome;
using endpoints::CallStatus;
using platform::KeyValue;
using platform::Store;
using platform::StoreLease;
using platform::StoreReply;
using platform::StoreStatus;
using platform::StoreTxnReply;
using testpeers::CloseKind;
using testpeers::CloseMoment;
using testpeers::ClosingPeer;
using testpeers::PeerAnswer;

constexpr const char *GetPath = "/-/kv-key";
constexpr const char *TransactPath = "/-/kv-txn";
constexpr const char *GrantLeasePath = "/-/kv-lease";
constexpr const char *KeepLeasePath = "/-/kv-keep/7";
constexpr const char *EndLeasePath = "/-/kv-lease-end/7";
constexpr const char *StartPath = "/-/run-start";
constexpr const char *StopPath = "/-/run-stop";
constexpr const char *KeepAlivePath = "/-/hold";

/// Timeout that no call of a test reaches, where the adapter lets its caller
/// choose one.
constexpr long AmpleTimeoutMs = 60000;

const std::optional<PeerAnswer> NothingListens = std::nullopt;
const PeerAnswer Ok{200, R"({"revision":7,"lease":7,"ttlMs":1000,
                             "clockMs":9,"running":[],"ended":[]})"};
const PeerAnswer Unavailable{503, "{}"};
const PeerAnswer TooManyCalls{429, "{}"};
const PeerAnswer ConditionFailed{412, R"({"items":[]})"};
const PeerAnswer NoSuchLease{404, "{}"};
const PeerAnswer StaleRun{409, R"({"reason":"old"})"};
const PeerAnswer OtherIncarnation{421, "{}"};

/// A call, the moment at which its connection ends, and what then holds. Path
/// selects the call. TimesRead: how often the peer reads its request whole.
template <class Status> struct CloseCase {
  std::string Name;
  const char *Path;
  CloseMoment Moment;
  std::optional<PeerAnswer> Later;
  Status Expected;
  int TimesRead;
};

template <class Status>
void PrintTo(const CloseCase<Status> &c, std::ostream *out) {
  *out << c.Name;
}

template <class Status>
using CloseParam = std::tuple<CloseCase<Status>, CloseKind>;

template <class Status>
std::string nameOf(const testing::TestParamInfo<CloseParam<Status>> &info) {
  const auto &[c, kind] = info.param;
  return c.Name + (kind == CloseKind::Fin ? "_fin" : "_reset");
}

const auto BothKinds = testing::Values(CloseKind::Fin, CloseKind::Reset);

StoreStatus callStore(PlatformStub &stub, const Store &store,
                      const std::string &path) {
  return stub.callAndWait<StoreStatus>(
      [&](const std::function<void(StoreStatus)> &done) {
        const auto onReply = [done](const auto &reply) { done(reply.Status); };
        if (path == GetPath)
          store.Get("k", onReply);
        else if (path == TransactPath)
          store.Transact({{{"k", 3}}, {{"k", "v", 0}}, {}, AmpleTimeoutMs},
                         onReply);
        else if (path == GrantLeasePath)
          store.GrantLease(1000, onReply);
        else if (path == KeepLeasePath)
          store.KeepLease(7, onReply);
        else
          store.EndLease(7, onReply);
      });
}

class StoreConnections
    : public testing::TestWithParam<CloseParam<StoreStatus>> {};

// Guards against writes that the store has carried out and that count as
// refused, or are carried out twice, because the HTTP library sends a request
// again when its connection ends.
TEST_P(StoreConnections, EndWithoutAFalseRefusalOrASecondWrite) {
  const auto &[c, kind] = GetParam();
  ClosingPeer peer(c.Moment, kind, Ok.Body, c.Later);
  PlatformStub stub(std::nullopt);
  const Store store =
      makeStore(stub.Loop, stub.Client, peer.address(), ignoreRefused);
  ASSERT_EQ(callStore(stub, store, TransactPath), StoreStatus::Ok);
  if (c.Moment == CloseMoment::WhileIdle)
    peer.waitUntilCallerIsDisconnected();
  const int readBefore = peer.timesRead(c.Path);
  EXPECT_EQ(callStore(stub, store, c.Path), c.Expected);
  EXPECT_EQ(peer.timesRead(c.Path) - readBefore, c.TimesRead);
}

const CloseCase<StoreStatus> StoreCases[] = {
    {"transact_idle_then_ok", TransactPath, CloseMoment::WhileIdle, Ok,
     StoreStatus::Ok, 1},
    {"transact_idle_then_503", TransactPath, CloseMoment::WhileIdle,
     Unavailable, StoreStatus::Refused, 1},
    {"transact_idle_then_nothing", TransactPath, CloseMoment::WhileIdle,
     NothingListens, StoreStatus::Refused, 0},
    {"transact_half_then_ok", TransactPath, CloseMoment::AfterHalfOfRequest, Ok,
     StoreStatus::Unknown, 0},
    {"transact_half_then_503", TransactPath, CloseMoment::AfterHalfOfRequest,
     Unavailable, StoreStatus::Unknown, 0},
    {"transact_half_then_nothing", TransactPath,
     CloseMoment::AfterHalfOfRequest, NothingListens, StoreStatus::Unknown, 0},
    {"transact_read_then_ok", TransactPath, CloseMoment::AfterRequest, Ok,
     StoreStatus::Unknown, 1},
    {"transact_read_then_412", TransactPath, CloseMoment::AfterRequest,
     ConditionFailed, StoreStatus::Unknown, 1},
    {"transact_read_then_429", TransactPath, CloseMoment::AfterRequest,
     TooManyCalls, StoreStatus::Unknown, 1},
    {"transact_read_then_503", TransactPath, CloseMoment::AfterRequest,
     Unavailable, StoreStatus::Unknown, 1},
    {"transact_read_then_nothing", TransactPath, CloseMoment::AfterRequest,
     NothingListens, StoreStatus::Unknown, 1},
    {"transact_status_line_then_503", TransactPath, CloseMoment::InStatusLine,
     Unavailable, StoreStatus::Unknown, 1},
    {"transact_head_then_ok", TransactPath, CloseMoment::InHeadOfAnswer, Ok,
     StoreStatus::Unknown, 1},
    {"grant_head_then_ok", GrantLeasePath, CloseMoment::InHeadOfAnswer, Ok,
     StoreStatus::Unknown, 1},
    {"get_head_then_ok", GetPath, CloseMoment::InHeadOfAnswer, Ok,
     StoreStatus::Unknown, 1},
    {"transact_answer_then_503", TransactPath, CloseMoment::InBodyOfAnswer,
     Unavailable, StoreStatus::Unknown, 1},
    {"grant_read_then_ok", GrantLeasePath, CloseMoment::AfterRequest, Ok,
     StoreStatus::Unknown, 1},
    {"grant_read_then_503", GrantLeasePath, CloseMoment::AfterRequest,
     Unavailable, StoreStatus::Unknown, 1},
    {"end_lease_read_then_503", EndLeasePath, CloseMoment::AfterRequest,
     Unavailable, StoreStatus::Unknown, 1},
    {"end_lease_read_then_404", EndLeasePath, CloseMoment::AfterRequest,
     NoSuchLease, StoreStatus::Unknown, 1},
    {"keep_lease_read_then_ok", KeepLeasePath, CloseMoment::AfterRequest, Ok,
     StoreStatus::Ok, 2},
    {"keep_lease_read_then_404", KeepLeasePath, CloseMoment::AfterRequest,
     NoSuchLease, StoreStatus::NotFound, 2},
    {"keep_lease_read_then_503", KeepLeasePath, CloseMoment::AfterRequest,
     Unavailable, StoreStatus::Unknown, 2},
    {"keep_lease_read_then_nothing", KeepLeasePath, CloseMoment::AfterRequest,
     NothingListens, StoreStatus::Unknown, 1},
    {"get_read_then_ok", GetPath, CloseMoment::AfterRequest,
     PeerAnswer{200, R"({"key":"k"})"}, StoreStatus::Ok, 2},
    {"get_read_then_503", GetPath, CloseMoment::AfterRequest, Unavailable,
     StoreStatus::Unknown, 2},
    {"get_idle_then_503", GetPath, CloseMoment::WhileIdle, Unavailable,
     StoreStatus::Refused, 1},
};

INSTANTIATE_TEST_SUITE_P(Table, StoreConnections,
                         testing::Combine(testing::ValuesIn(StoreCases),
                                          BothKinds),
                         nameOf<StoreStatus>);

CallStatus callWorker(PlatformStub &stub, const endpoints::WorkerCalls &calls,
                      const std::string &path) {
  const endpoints::WorkerIncarnation life{"life-1", 1000};
  return stub.callAndWait<CallStatus>(
      [&](const std::function<void(CallStatus)> &done) {
        const auto onOutcome = [done](const CallOutcome &o) { done(o.Status); };
        if (path == StartPath)
          calls.Start({life, {}, 5000, 11, true}, onOutcome);
        else if (path == StopPath)
          calls.Stop({life, {}, 11, false}, onOutcome);
        else
          calls.KeepAlive({life, 0, 11, 3, AmpleTimeoutMs},
                          [done](const endpoints::KeepAliveReply &reply) {
                            done(reply.Outcome.Status);
                          });
      });
}

class WorkerConnections
    : public testing::TestWithParam<CloseParam<CallStatus>> {};

// Guards against starts and stops that the worker has carried out and that
// count as refused, or are carried out twice, because the HTTP library sends a
// request again when its connection ends.
TEST_P(WorkerConnections, EndWithoutAFalseRefusalOrASecondOrder) {
  const auto &[c, kind] = GetParam();
  ClosingPeer peer(c.Moment, kind, Ok.Body, c.Later);
  PlatformStub stub(std::nullopt);
  const endpoints::WorkerCalls calls =
      makeWorkerCalls(stub.Loop, stub.Client, peer.address(),
                      [](const utils::RefusedMessage &) {});
  ASSERT_EQ(callWorker(stub, calls, KeepAlivePath), CallStatus::Ok);
  if (c.Moment == CloseMoment::WhileIdle)
    peer.waitUntilCallerIsDisconnected();
  const int readBefore = peer.timesRead(c.Path);
  EXPECT_EQ(callWorker(stub, calls, c.Path), c.Expected);
  EXPECT_EQ(peer.timesRead(c.Path) - readBefore, c.TimesRead);
}

const CloseCase<CallStatus> WorkerCases[] = {
    {"start_idle_then_ok", StartPath, CloseMoment::WhileIdle, Ok,
     CallStatus::Ok, 1},
    {"start_idle_then_nothing", StartPath, CloseMoment::WhileIdle,
     NothingListens, CallStatus::NotListening, 0},
    {"start_half_then_503", StartPath, CloseMoment::AfterHalfOfRequest,
     Unavailable, CallStatus::NoAnswer, 0},
    {"start_read_then_503", StartPath, CloseMoment::AfterRequest, Unavailable,
     CallStatus::NoAnswer, 1},
    {"start_read_then_nothing", StartPath, CloseMoment::AfterRequest,
     NothingListens, CallStatus::NoAnswer, 1},
    {"start_status_line_then_409", StartPath, CloseMoment::InStatusLine,
     StaleRun, CallStatus::NoAnswer, 1},
    {"stop_idle_then_ok", StopPath, CloseMoment::WhileIdle, Ok, CallStatus::Ok,
     1},
    {"stop_idle_then_503", StopPath, CloseMoment::WhileIdle, Unavailable,
     CallStatus::Busy, 1},
    {"stop_idle_then_nothing", StopPath, CloseMoment::WhileIdle, NothingListens,
     CallStatus::NotListening, 0},
    {"stop_half_then_503", StopPath, CloseMoment::AfterHalfOfRequest,
     Unavailable, CallStatus::NoAnswer, 0},
    {"stop_read_then_ok", StopPath, CloseMoment::AfterRequest, Ok,
     CallStatus::NoAnswer, 1},
    {"stop_read_then_409", StopPath, CloseMoment::AfterRequest, StaleRun,
     CallStatus::NoAnswer, 1},
    {"stop_read_then_503", StopPath, CloseMoment::AfterRequest, Unavailable,
     CallStatus::NoAnswer, 1},
    {"stop_read_then_nothing", StopPath, CloseMoment::AfterRequest,
     NothingListens, CallStatus::NoAnswer, 1},
    {"stop_answer_then_503", StopPath, CloseMoment::InBodyOfAnswer, Unavailable,
     CallStatus::NoAnswer, 1},
    {"keep_alive_idle_then_ok", KeepAlivePath, CloseMoment::WhileIdle, Ok,
     CallStatus::Ok, 1},
    {"keep_alive_read_then_ok", KeepAlivePath, CloseMoment::AfterRequest, Ok,
     CallStatus::Ok, 2},
    {"keep_alive_read_then_409", KeepAlivePath, CloseMoment::AfterRequest,
     StaleRun, CallStatus::NoAnswer, 2},
    {"keep_alive_read_then_421", KeepAlivePath, CloseMoment::AfterRequest,
     OtherIncarnation, CallStatus::OtherIncarnation, 2},
    {"keep_alive_read_then_503", KeepAlivePath, CloseMoment::AfterRequest,
     Unavailable, CallStatus::NoAnswer, 2},
    {"keep_alive_read_then_nothing", KeepAlivePath, CloseMoment::AfterRequest,
     NothingListens, CallStatus::NotListening, 1},
};

INSTANTIATE_TEST_SUITE_P(Table, WorkerConnections,
                         testing::Combine(testing::ValuesIn(WorkerCases),
                                          BothKinds),
                         nameOf<CallStatus>);

} // namespace
} // namespace oriolebay::adapter
