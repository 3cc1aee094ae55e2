#include "http/httpserver.h"
#include "http/requestbody.h"
#include "limitedserver.h"

#include <gtest/gtest.h>

#include <memory>

namespace oriolebay::http {
namespace {

using testpeers::awaitEmpty;
using testpeers::awaitUsed;
using testpeers::chunkText;
using testpeers::RawConnection;
using testpeers::requestText;
using utils::MemoryBudget;

constexpr size_t MaxBytes = 100'000;
constexpr int MaxConnections = 4;
constexpr absl::Duration ShortTimeout = absl::Milliseconds(300);
constexpr absl::Duration DripInterval = absl::Milliseconds(20);

HttpServerOptions testOptions() {
  HttpServerOptions options;
  options.MaxConnections = MaxConnections;
  options.MaxBodyBytes = MaxBytes;
  options.Budget = std::make_shared<MemoryBudget>(2 * MaxBytes, MaxBytes / 2);
  return options;
}

HttpResponse sizeOfBody(const HttpRequest &request) {
  return {200, std::to_string(request.Body.size())};
}

bool servesOrdinaryRequest(const HttpServer &server) {
  RawConnection caller(server.port());
  return caller.send(requestText("Content-Length: 2\r\n", "{}")) &&
         caller.receiveUntil("HTTP/1.1 200") &&
         caller.receiveUntil("\r\n\r\n2");
}

std::string lengthHeader(size_t bytes) {
  return "Content-Length: " + std::to_string(bytes) + "\r\n";
}

/// Text: the start of a request. Drip: what is sent on and on after it.
struct EndedCase {
  const char *Name;
  std::string Text;
  std::string Drip;
  const char *Answer;
  RefusalReason Reason;
};

void PrintTo(const EndedCase &c, std::ostream *out) { *out << c.Name; }

class RequestsToThreads : public testing::TestWithParam<EndedCase> {};

// Guards against a threaded server that takes in whatever it is sent, or that
// waits for the end of a request without a bound.
TEST_P(RequestsToThreads, EndAtTheLimitsOfTheServer) {
  const EndedCase &c = GetParam();
  std::mutex mu;
  std::vector<RefusalReason> reasons;
  HttpServerOptions options = testOptions();
  options.RequestTimeout = ShortTimeout;
  options.OnRefused = [&](const RefusedRequest &refused) {
    std::lock_guard<std::mutex> lock(mu);
    reasons.push_back(refused.Reason);
  };
  utils::MemoryReservation others(options.Budget);
  ASSERT_TRUE(others.tryGrow(MaxBytes));
  {
    HttpServer server("127.0.0.1", 0, sizeOfBody, options);
    RawConnection caller(server.port());
    ASSERT_TRUE(caller.send(requestText(c.Text)));
    EXPECT_TRUE(caller.sendUntilClosed(c.Drip, DripInterval));
    EXPECT_EQ(caller.received().rfind(c.Answer, 0), 0U) << caller.received();
    EXPECT_TRUE(servesOrdinaryRequest(server));
  }
  others.release();
  EXPECT_TRUE(awaitEmpty(*options.Budget));
  EXPECT_EQ(reasons, std::vector<RefusalReason>{c.Reason});
}

const EndedCase EndedCases[] = {
    {"announced", lengthHeader(MaxBytes + 1), "", "HTTP/1.1 413",
     RefusalReason::TooLarge},
    {"no_room", lengthHeader(MaxBytes), "", "HTTP/1.1 503",
     RefusalReason::NoRoom},
    {"chunked", "Transfer-Encoding: chunked\r\n", chunkText(20'000), "",
     RefusalReason::NoRoom},
    {"drip_fed", lengthHeader(5000), "x", "", RefusalReason::TooSlow},
};

INSTANTIATE_TEST_SUITE_P(Table, RequestsToThreads,
                         testing::ValuesIn(EndedCases),
                         [](const auto &info) { return info.param.Name; });

// Guards against a threaded server whose places are all held by requests that
// do not end.
TEST(HttpServer, ServesAnOrdinaryCallerBesideUnfinishedRequests) {
  constexpr int Unfinished = 20;
  HttpServer server("127.0.0.1", 0, sizeOfBody, testOptions());
  std::vector<RawConnection> crowd;
  crowd.reserve(Unfinished);
  for (int i = 0; i < Unfinished; ++i) {
    crowd.emplace_back(server.port());
    crowd.back().send(requestText(lengthHeader(10), "x"));
  }
  EXPECT_TRUE(servesOrdinaryRequest(server));
}

// Guards against limits that refuse what is inside them.
TEST(HttpServer, ServesTheLargestBody) {
  HttpServerOptions options = testOptions();
  HttpServer server("127.0.0.1", 0, sizeOfBody, options);
  RawConnection caller(server.port());
  for (int i = 0; i < 2; ++i) {
    caller.clearReceived();
    ASSERT_TRUE(caller.send(
        requestText(lengthHeader(MaxBytes), std::string(MaxBytes, 'x'))));
    EXPECT_TRUE(caller.receiveUntil("\r\n\r\n" + std::to_string(MaxBytes)));
  }
  EXPECT_TRUE(awaitEmpty(*options.Budget));
}

} // namespace
} // namespace oriolebay::http
