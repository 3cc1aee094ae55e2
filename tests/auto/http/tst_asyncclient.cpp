#include "closingpeer.h"
#include "http/asyncclient.h"

#include <gtest/gtest.h>

#include <future>
#include <memory>

namespace oriolebay::http {
namespace {

using testpeers::CloseKind;
using testpeers::CloseMoment;
using testpeers::ClosingPeer;
using testpeers::PeerAnswer;

HttpCall makeCall(const std::string &url, bool repeatable) {
  HttpCall call;
  call.Method = "POST";
  call.Url = url;
  call.Body = R"({"a":1})";
  call.TimeoutMs = 60000;
  call.Repeatable = repeatable;
  return call;
}

HttpResult callAndWait(AsyncClient &client, HttpCall call) {
  auto promise = std::make_shared<std::promise<HttpResult>>();
  std::future<HttpResult> future = promise->get_future();
  client.call(std::move(call), [promise](HttpResult result) {
    promise->set_value(std::move(result));
  });
  return future.get();
}

struct RepeatCase {
  const char *Name;
  bool Repeatable;
  CloseMoment Moment;
  std::optional<PeerAnswer> Later;
  /// Copies of the report; 0 if there must be none.
  int Copies;
  int Status;
};

void PrintTo(const RepeatCase &c, std::ostream *out) { *out << c.Name; }

class RepeatedRequests
    : public testing::TestWithParam<std::tuple<RepeatCase, CloseKind>> {};

// Guards against requests that are sent twice, or whose outcome is unknown
// because they were not, without a trace in logs and metrics.
TEST_P(RepeatedRequests, AreReportedOnce) {
  const auto &[c, kind] = GetParam();
  ClosingPeer peer(c.Moment, kind, "{}", c.Later);
  std::vector<RepeatedRequest> reported;
  AsyncClient client(
      [&reported](const RepeatedRequest &r) { reported.push_back(r); });
  const std::string url = "http://" + peer.address();
  ASSERT_EQ(callAndWait(client, makeCall(url + "/first", false)).Status, 200);
  if (c.Moment == CloseMoment::WhileIdle)
    peer.waitUntilCallerIsDisconnected();
  const HttpResult result =
      callAndWait(client, makeCall(url + "/second?key=k", c.Repeatable));
  EXPECT_EQ(result.Status, c.Status) << result.Error;
  EXPECT_EQ(result.Repeated, c.Copies > 1);
  if (c.Copies == 0) {
    EXPECT_TRUE(reported.empty());
    return;
  }
  ASSERT_EQ(reported.size(), 1u);
  EXPECT_EQ(reported[0], (RepeatedRequest{"POST", peer.address(), "/second",
                                          c.Copies, c.Status, result.Error}));
}

const RepeatCase RepeatCases[] = {
    {"idle", true, CloseMoment::WhileIdle, PeerAnswer{503}, 0, 503},
    {"idle_and_nothing_listens", true, CloseMoment::WhileIdle, std::nullopt, 0,
     0},
    {"half_of_request", true, CloseMoment::AfterHalfOfRequest, PeerAnswer{503},
     2, 503},
    {"request", true, CloseMoment::AfterRequest, PeerAnswer{503}, 2, 503},
    {"request_and_nothing_listens", true, CloseMoment::AfterRequest,
     std::nullopt, 1, 0},
    {"status_line", true, CloseMoment::InStatusLine, PeerAnswer{200}, 2, 200},
    {"head_of_answer", true, CloseMoment::InHeadOfAnswer, PeerAnswer{200}, 0,
     0},
    {"body_of_answer", true, CloseMoment::InBodyOfAnswer, PeerAnswer{200}, 0,
     0},
    {"at_most_once_idle", false, CloseMoment::WhileIdle, PeerAnswer{503}, 0,
     503},
    {"at_most_once_half_of_request", false, CloseMoment::AfterHalfOfRequest,
     PeerAnswer{503}, 1, 0},
    {"at_most_once_request", false, CloseMoment::AfterRequest, PeerAnswer{503},
     1, 0},
    {"at_most_once_and_nothing_listens", false, CloseMoment::AfterRequest,
     std::nullopt, 1, 0},
    {"at_most_once_status_line", false, CloseMoment::InStatusLine,
     PeerAnswer{200}, 1, 0},
    {"at_most_once_body_of_answer", false, CloseMoment::InBodyOfAnswer,
     PeerAnswer{200}, 0, 0},
};

std::string
nameOf(const testing::TestParamInfo<std::tuple<RepeatCase, CloseKind>> &info) {
  const auto &[c, kind] = info.param;
  return std::string(c.Name) + (kind == CloseKind::Fin ? "_fin" : "_reset");
}

INSTANTIATE_TEST_SUITE_P(Table, RepeatedRequests,
                         testing::Combine(testing::ValuesIn(RepeatCases),
                                          testing::Values(CloseKind::Fin,
                                                          CloseKind::Reset)),
                         nameOf);

} // namespace
} // namespace oriolebay::http
