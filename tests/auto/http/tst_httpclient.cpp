#include "closingpeer.h"
#include "http/asyncserver.h"
#include "http/httpclient.h"

#include <gtest/gtest.h>

#include <future>

namespace oriolebay::http {
namespace {

using testpeers::CloseKind;
using testpeers::CloseMoment;
using testpeers::ClosingPeer;
using testpeers::PeerAnswer;

/// TimesRead: how often the peer reads the request whole.
struct CloseCase {
  const char *Name;
  const char *Method;
  CloseMoment Moment;
  std::optional<PeerAnswer> Later;
  int Status;
  int TimesRead;
};

void PrintTo(const CloseCase &c, std::ostream *out) { *out << c.Name; }

using CloseParam = std::tuple<CloseCase, CloseKind>;

class ClosedConnections : public testing::TestWithParam<CloseParam> {};

// Guards against requests that a peer carries out twice, because libcurl sends
// them again when their connection ends.
TEST_P(ClosedConnections, EndWithoutASecondCopyOfAChange) {
  const auto &[c, kind] = GetParam();
  ClosingPeer peer(c.Moment, kind, "{}", c.Later);
  HttpClient client(60000);
  const std::string url = "http://" + peer.address();
  ASSERT_EQ(client.call("POST", url + "/first", "{}").Status, 200);
  if (c.Moment == CloseMoment::WhileIdle)
    peer.waitUntilCallerIsDisconnected();
  const HttpResult result = client.call(c.Method, url + "/second", "{}");
  EXPECT_EQ(result.Status, c.Status) << result.Error;
  EXPECT_EQ(result.Error.empty(), c.Status != 0);
  EXPECT_EQ(peer.timesRead("/second"), c.TimesRead);
}

const CloseCase CloseCases[] = {
    {"post_idle", "POST", CloseMoment::WhileIdle, PeerAnswer{200}, 200, 1},
    {"post_half", "POST", CloseMoment::AfterHalfOfRequest, PeerAnswer{200}, 0,
     0},
    {"post_read", "POST", CloseMoment::AfterRequest, PeerAnswer{200}, 0, 1},
    {"post_read_then_503", "POST", CloseMoment::AfterRequest, PeerAnswer{503},
     0, 1},
    {"post_read_then_nothing", "POST", CloseMoment::AfterRequest, std::nullopt,
     0, 1},
    {"post_status_line", "POST", CloseMoment::InStatusLine, PeerAnswer{200}, 0,
     1},
    {"post_head", "POST", CloseMoment::InHeadOfAnswer, PeerAnswer{200}, 0, 1},
    {"get_head", "GET", CloseMoment::InHeadOfAnswer, PeerAnswer{200}, 0, 1},
    {"post_answer", "POST", CloseMoment::InBodyOfAnswer, PeerAnswer{200}, 0, 1},
    {"put_read", "PUT", CloseMoment::AfterRequest, PeerAnswer{200}, 0, 1},
    {"delete_read", "DELETE", CloseMoment::AfterRequest, PeerAnswer{200}, 0, 1},
    {"get_read", "GET", CloseMoment::AfterRequest, PeerAnswer{200}, 200, 2},
};

std::string nameOf(const testing::TestParamInfo<CloseParam> &info) {
  const auto &[c, kind] = info.param;
  return std::string(c.Name) + (kind == CloseKind::Fin ? "_fin" : "_reset");
}

INSTANTIATE_TEST_SUITE_P(Table, ClosedConnections,
                         testing::Combine(testing::ValuesIn(CloseCases),
                                          testing::Values(CloseKind::Fin,
                                                          CloseKind::Reset)),
                         nameOf);

// Guards against a large request that waits a second for a "100 Continue", and
// that libcurl sends again by itself when the peer answers with 417.
TEST(HttpClient, LargeRequestIsSentWithoutAskingFirst) {
  constexpr size_t LargeBytes = 2 << 20;
  AsyncServerOptions options;
  options.MaxBodyBytes = LargeBytes;
  options.StoredHeaders = {"Expect"};
  std::promise<HttpRequest> received;
  AsyncServer server(options, [&received](const HttpRequest &request,
                                          const AsyncServer::Respond &respond) {
    received.set_value(request);
    respond({200, "{}"});
  });
  const HttpResult result = HttpClient(60000).call(
      "POST", "http://127.0.0.1:" + std::to_string(server.port()) + "/large",
      std::string(LargeBytes, 'x'));
  ASSERT_EQ(result.Status, 200) << result.Error;
  const HttpRequest request = received.get_future().get();
  EXPECT_EQ(request.Body.size(), LargeBytes);
  EXPECT_EQ(request.header("Expect"), "");
}

} // namespace
} // namespace oriolebay::http
