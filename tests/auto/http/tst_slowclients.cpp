#include "http/connectiontable.h"
#include "http/requestbody.h"
#include "limitedserver.h"
#include "utils/steadyclock.h"

#include <gtest/gtest.h>

#include <sys/resource.h>

#include <chrono>
#include <future>
#include <set>
#include <thread>

namespace oriolebay::http {
namespace {

using testpeers::awaitEmpty;
using testpeers::chunkText;
using testpeers::LimitedServer;
using testpeers::RawConnection;
using testpeers::requestText;
using utils::MemoryBudget;

constexpr absl::Duration ShortTimeout = absl::Milliseconds(300);
constexpr absl::Duration DripInterval = absl::Milliseconds(20);

struct DripCase {
  const char *Name;
  std::string Start;
  std::string Drip;
};

void PrintTo(const DripCase &c, std::ostream *out) { *out << c.Name; }

class DripFedRequests : public testing::TestWithParam<DripCase> {};

// Guards against a request that never ends and keeps its place and its bytes as
// it sends a little from time to time.
TEST_P(DripFedRequests, EndWithTheirTimeout) {
  const DripCase &c = GetParam();
  AsyncServerOptions options;
  options.Budget = std::make_shared<MemoryBudget>(1 << 20, 0);
  options.RequestTimeout = ShortTimeout;
  LimitedServer server(options);
  RawConnection caller(server.port());
  ASSERT_TRUE(caller.send(c.Start));
  EXPECT_TRUE(caller.sendUntilClosed(c.Drip, DripInterval));
  EXPECT_TRUE(server.awaitRefusal(RefusalReason::TooSlow));
  EXPECT_TRUE(awaitEmpty(*options.Budget));
  EXPECT_TRUE(server.servesOrdinaryRequest());
}

const DripCase DripCases[] = {
    {"silent_headers", "POST / HTTP/1.1\r\n", ""},
    {"headers", "POST / HTTP/1.1\r\n", "a:b\r\n"},
    {"silent_body", requestText("Content-Length: 9000\r\n", "x"), ""},
    {"body", requestText("Content-Length: 9000\r\n"), "x"},
    {"chunks", requestText("Transfer-Encoding: chunked\r\n"), chunkText(1)},
    {"size_of_a_chunk", requestText("Transfer-Encoding: chunked\r\n"), "0"},
    {"footers", requestText("Transfer-Encoding: chunked\r\n", "0\r\n"),
     "a:b\r\n"},
};

INSTANTIATE_TEST_SUITE_P(Table, DripFedRequests, testing::ValuesIn(DripCases),
                         [](const auto &info) { return info.param.Name; });

// Guards against an unfinished request whose bytes stay reserved after its
// client has gone: libmicrohttpd does not see an end that comes with data.
TEST(GoneClient, GivesItsBytesBackWithTheTimeout) {
  constexpr int Clients = 20;
  AsyncServerOptions options;
  options.Budget = std::make_shared<MemoryBudget>(1 << 20, 0);
  options.RequestTimeout = ShortTimeout;
  LimitedServer server(options);
  for (int i = 0; i < Clients; ++i) {
    RawConnection caller(server.port());
    ASSERT_TRUE(caller.send(requestText("Content-Length: 9000\r\n", "x")));
  }
  EXPECT_TRUE(server.servesOrdinaryRequest());
  EXPECT_TRUE(awaitEmpty(*options.Budget));
}

// Guards against a timeout of requests that ends those that are being handled.
TEST(HandledRequest, MayTakeLongerThanTheTimeout) {
  AsyncServerOptions options;
  options.RequestTimeout = ShortTimeout;
  std::promise<AsyncServer::Respond> handed;
  LimitedServer server(options, [&handed](const HttpRequest &request,
                                          const AsyncServer::Respond &respond) {
    if (request.Path == "/any")
      handed.set_value(respond);
  });
  RawConnection caller(server.port());
  ASSERT_TRUE(caller.send(requestText("")));
  const AsyncServer::Respond respond = handed.get_future().get();
  RawConnection slow(server.port());
  ASSERT_TRUE(slow.send("POST / HTTP/1.1\r\n"));
  ASSERT_TRUE(slow.receiveUntilClosed());
  respond({200, "{}"});
  EXPECT_TRUE(caller.receiveUntil("HTTP/1.1 200"));
}

constexpr ConnectionLimits TestLimits{4, absl::Seconds(30), absl::Seconds(125)};
constexpr int Fd = 7;

struct DeadlineCase {
  const char *Name;
  std::vector<ConnectionPhase> Phases;
  /// Time from the last phase to the deadline.
  absl::Duration Deadline;
};

void PrintTo(const DeadlineCase &c, std::ostream *out) { *out << c.Name; }

class Deadlines : public testing::TestWithParam<DeadlineCase> {};

// Guards against a connection that waits for its client without a bound.
TEST_P(Deadlines, FollowFromThePhase) {
  const DeadlineCase &c = GetParam();
  std::set<int> closed;
  std::vector<RefusedRequest> refused;
  ConnectionTable table(
      TestLimits, [&closed](int fd) { closed.insert(fd); },
      [&refused](const RefusedRequest &it) { refused.push_back(it); });
  absl::Time now = absl::UnixEpoch();
  table.add(Fd, now);
  for (const ConnectionPhase phase : c.Phases) {
    now += absl::Seconds(20);
    ASSERT_TRUE(table.enter(Fd, phase, now));
  }
  const absl::Time deadline = now + c.Deadline;
  EXPECT_EQ(table.shutDownOverdue(now), deadline);
  if (deadline == absl::InfiniteFuture())
    return;
  table.shutDownOverdue(deadline - absl::Milliseconds(1));
  EXPECT_TRUE(closed.empty());
  EXPECT_EQ(table.shutDownOverdue(deadline), absl::InfiniteFuture());
  EXPECT_EQ(closed, std::set<int>{Fd});
  const RefusedRequest expected{RefusalReason::TooSlow, 0, c.Deadline};
  EXPECT_EQ(refused, std::vector<RefusedRequest>{expected});
  EXPECT_FALSE(table.enter(Fd, ConnectionPhase::Handled, deadline));
}

const DeadlineCase DeadlineCases[] = {
    {"no_request_line", {}, TestLimits.IdleTimeout},
    {"receiving", {ConnectionPhase::Receiving}, TestLimits.RequestTimeout},
    {"handled",
     {ConnectionPhase::Receiving, ConnectionPhase::Handled},
     absl::InfiniteDuration()},
    {"answer_not_read",
     {ConnectionPhase::Receiving, ConnectionPhase::Handled,
      ConnectionPhase::Answering},
     TestLimits.RequestTimeout},
    {"answered",
     {ConnectionPhase::Receiving, ConnectionPhase::Handled,
      ConnectionPhase::Answering, ConnectionPhase::Idle},
     TestLimits.IdleTimeout},
};

INSTANTIATE_TEST_SUITE_P(Table, Deadlines, testing::ValuesIn(DeadlineCases),
                         [](const auto &info) { return info.param.Name; });

// Guards against a descriptor that is shut down after it was closed and opened
// anew.
TEST(ConnectionTable, ForgetsClosedConnections) {
  std::set<int> closed;
  ConnectionTable table(
      TestLimits, [&closed](int fd) { closed.insert(fd); },
      [](const RefusedRequest &) {});
  table.add(Fd, absl::UnixEpoch());
  table.remove(Fd);
  EXPECT_EQ(table.shutDownOverdue(absl::UnixEpoch() + absl::Hours(1)),
            absl::InfiniteFuture());
  EXPECT_TRUE(closed.empty());
}

// Guards against a thread that each request wakes: wake-ups cost processor time
// that callers wait for.
TEST(ConnectionTable, IsNotWokenByEachRequest) {
  constexpr int Requests = 300;
  constexpr long MaxWakeups = 10;
  constexpr std::chrono::milliseconds TimeBetween{1};
  ConnectionTable table(
      TestLimits, [](int) {}, [](const RefusedRequest &) {});
  rusage usage{};
  std::thread thread([&] {
    table.run();
    getrusage(RUSAGE_THREAD, &usage);
  });
  table.add(Fd, utils::steadyNow());
  for (int i = 0; i < Requests; ++i) {
    for (const ConnectionPhase phase :
         {ConnectionPhase::Receiving, ConnectionPhase::Handled,
          ConnectionPhase::Answering, ConnectionPhase::Idle})
      EXPECT_TRUE(table.enter(Fd, phase, utils::steadyNow()));
    std::this_thread::sleep_for(TimeBetween);
  }
  table.stop();
  thread.join();
  EXPECT_LE(usage.ru_nvcsw, MaxWakeups);
}

} // namespace
} // namespace oriolebay::http
