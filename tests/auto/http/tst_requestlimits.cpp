#include "http/listensocket.h"
#include "http/requestbody.h"
#include "limitedserver.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <memory>
#include <optional>

namespace oriolebay::http {
namespace {

using testpeers::awaitEmpty;
using testpeers::awaitUsed;
using testpeers::chunkText;
using testpeers::LimitedServer;
using testpeers::RawConnection;
using testpeers::repeated;
using testpeers::requestText;
using utils::MemoryBudget;

constexpr size_t MaxBytes = 1000;

// A budget for two bodies of the largest size and a few small ones.
constexpr size_t LargeBytes = 256 << 10;
constexpr size_t BytesForSmall = 2 * utils::SmallReservationBytes;
constexpr size_t BudgetBytes =
    2 * (LargeBytes + RequestOverheadBytes) + BytesForSmall;

AsyncServerOptions optionsWithBudget() {
  AsyncServerOptions options;
  options.MaxBodyBytes = LargeBytes;
  options.Budget = std::make_shared<MemoryBudget>(BudgetBytes, BytesForSmall);
  return options;
}

std::string lengthHeader(size_t bytes) {
  return "Content-Length: " + std::to_string(bytes) + "\r\n";
}

struct HeaderCase {
  const char *Name;
  size_t MaxBodyBytes;
  const char *Headers;
  const char *Answer;
};

void PrintTo(const HeaderCase &c, std::ostream *out) { *out << c.Name; }

class RefusedHeaders : public testing::TestWithParam<HeaderCase> {};

// Guards against a server that takes in a body that it does not accept.
TEST_P(RefusedHeaders, AreAnsweredBeforeTheBodyAndClosed) {
  const HeaderCase &c = GetParam();
  AsyncServerOptions options;
  options.MaxBodyBytes = c.MaxBodyBytes;
  LimitedServer server(options);
  RawConnection caller(server.port());
  ASSERT_TRUE(caller.send(requestText(c.Headers)));
  EXPECT_TRUE(caller.receiveUntil(c.Answer));
  EXPECT_TRUE(caller.receiveUntilClosed());
  EXPECT_EQ(caller.received().rfind(c.Answer, 0), 0U) << caller.received();
  EXPECT_EQ(server.refusals(),
            std::vector<RefusalReason>{RefusalReason::TooLarge});
}

const HeaderCase RefusedHeaderCases[] = {
    {"one_byte_more", MaxBytes, "Content-Length: 1001\r\n", "HTTP/1.1 413"},
    {"10_GB", MaxBytes, "Content-Length: 10000000000\r\n", "HTTP/1.1 413"},
    {"waits_for_100_continue", MaxBytes,
     "Content-Length: 1001\r\nExpect: 100-continue\r\n", "HTTP/1.1 413"},
    {"server_without_bodies", 0, "Content-Length: 1\r\n", "HTTP/1.1 413"},
    {"chunked_to_server_without_bodies", 0, "Transfer-Encoding: chunked\r\n",
     "HTTP/1.1 413"},
};

INSTANTIATE_TEST_SUITE_P(Table, RefusedHeaders,
                         testing::ValuesIn(RefusedHeaderCases),
                         [](const auto &info) { return info.param.Name; });

struct LegalCase {
  const char *Name;
  size_t MaxBodyBytes;
  std::string Headers;
  std::string Body;
  size_t Bytes;
};

void PrintTo(const LegalCase &c, std::ostream *out) { *out << c.Name; }

class LegalBodies : public testing::TestWithParam<LegalCase> {};

// Guards against limits that refuse a body inside them, and against a
// connection that is closed after such a body.
TEST_P(LegalBodies, AreServedOnOneConnection) {
  const LegalCase &c = GetParam();
  AsyncServerOptions options;
  options.MaxBodyBytes = c.MaxBodyBytes;
  LimitedServer server(options);
  RawConnection caller(server.port());
  for (int i = 0; i < 2; ++i) {
    ASSERT_TRUE(caller.send(requestText(c.Headers, c.Body)));
    ASSERT_TRUE(caller.receiveUntil("\r\n\r\n" + std::to_string(c.Bytes)))
        << caller.received();
    caller.clearReceived();
  }
  EXPECT_TRUE(server.refusals().empty());
}

const LegalCase LegalCases[] = {
    {"none", MaxBytes, "", "", 0},
    {"none_to_server_without_bodies", 0, "", "", 0},
    {"empty_to_server_without_bodies", 0, "Content-Length: 0\r\n", "", 0},
    {"largest", MaxBytes, "Content-Length: 1000\r\n",
     std::string(MaxBytes, 'x'), MaxBytes},
    {"chunked", MaxBytes, "Transfer-Encoding: chunked\r\n",
     chunkText(MaxBytes / 2) + chunkText(MaxBytes / 2) + "0\r\n\r\n", MaxBytes},
};

INSTANTIATE_TEST_SUITE_P(Table, LegalBodies, testing::ValuesIn(LegalCases),
                         [](const auto &info) { return info.param.Name; });

// Guards against a caller that waits for "100 Continue" without getting it.
TEST(ExpectedContinue, IsSentBeforeABodyInsideTheLimits) {
  AsyncServerOptions options;
  options.MaxBodyBytes = MaxBytes;
  LimitedServer server(options);
  RawConnection caller(server.port());
  ASSERT_TRUE(caller.send(
      requestText("Content-Length: 2\r\nExpect: 100-continue\r\n")));
  ASSERT_TRUE(caller.receiveUntil("HTTP/1.1 100"));
  ASSERT_TRUE(caller.send("{}"));
  EXPECT_TRUE(caller.receiveUntil("HTTP/1.1 200"));
}

// Guards against a chunked body without end that is read until its sender
// tires.
TEST(ChunkedBody, EndsTheConnectionAsSoonAsItPassesTheLimit) {
  constexpr size_t ChunkBytes = 64 << 10;
  constexpr int MaxChunks = 1000;
  AsyncServerOptions options;
  options.MaxBodyBytes = 4 * ChunkBytes;
  LimitedServer server(options);
  RawConnection caller(server.port());
  ASSERT_TRUE(caller.send(requestText("Transfer-Encoding: chunked\r\n")));
  int sent = 0;
  while (sent < MaxChunks && caller.send(chunkText(ChunkBytes)))
    ++sent;
  EXPECT_LT(sent, MaxChunks);
  EXPECT_EQ(server.refusals(),
            std::vector<RefusalReason>{RefusalReason::TooLarge});
  EXPECT_TRUE(server.servesOrdinaryRequest());
}

struct NoRoomCase {
  const char *Name;
  std::string Headers;
  std::string Body;
  const char *Answer;
};

void PrintTo(const NoRoomCase &c, std::ostream *out) { *out << c.Name; }

class FullBudget : public testing::TestWithParam<NoRoomCase> {};

// Guards against unfinished bodies of legal size that take all memory, or that
// leave no room for a small request.
TEST_P(FullBudget, RefusesALargeBodyAndServesASmallOne) {
  const NoRoomCase &c = GetParam();
  const AsyncServerOptions options = optionsWithBudget();
  LimitedServer server(options);
  RawConnection first(server.port());
  RawConnection second(server.port());
  for (const RawConnection *it : {&first, &second})
    ASSERT_TRUE(it->send(
        requestText(lengthHeader(LargeBytes) + "Expect: 100-continue\r\n")));
  ASSERT_TRUE(first.receiveUntil("HTTP/1.1 100"));
  ASSERT_TRUE(second.receiveUntil("HTTP/1.1 100"));

  RawConnection third(server.port());
  third.send(requestText(c.Headers, c.Body));
  EXPECT_TRUE(third.receiveUntilClosed());
  EXPECT_EQ(third.received().rfind(c.Answer, 0), 0U) << third.received();
  EXPECT_EQ(server.refusals(),
            std::vector<RefusalReason>{RefusalReason::NoRoom});
  EXPECT_TRUE(server.servesOrdinaryRequest());

  ASSERT_TRUE(first.send(std::string(LargeBytes, 'x')));
  EXPECT_TRUE(first.receiveUntil("HTTP/1.1 200"));
  EXPECT_TRUE(first.receiveUntil(std::to_string(LargeBytes)));
}

const NoRoomCase NoRoomCases[] = {
    {"announced", lengthHeader(LargeBytes), "", "HTTP/1.1 503"},
    {"waits_for_100_continue",
     lengthHeader(LargeBytes) + "Expect: 100-continue\r\n", "", "HTTP/1.1 503"},
    {"chunked", "Transfer-Encoding: chunked\r\n", chunkText(LargeBytes), ""},
};

INSTANTIATE_TEST_SUITE_P(Table, FullBudget, testing::ValuesIn(NoRoomCases),
                         [](const auto &info) { return info.param.Name; });

// Guards against a caller that is refused without being told when to return.
TEST(NoRoomAnswer, TellsWhenToReturn) {
  AsyncServerOptions options = optionsWithBudget();
  options.Budget = std::make_shared<MemoryBudget>(1, 0);
  LimitedServer server(options);
  RawConnection caller(server.port());
  ASSERT_TRUE(caller.send(requestText(lengthHeader(1))));
  EXPECT_TRUE(caller.receiveUntilClosed());
  EXPECT_NE(caller.received().find("Retry-After: 1\r\n"), std::string::npos);
}

/// UsedBytes: what is reserved at least when the client closes its connection;
/// zero if it does not close it.
struct EndCase {
  const char *Name;
  std::string Headers;
  std::string Body;
  size_t UsedBytes;
};

void PrintTo(const EndCase &c, std::ostream *out) { *out << c.Name; }

class EndedRequests : public testing::TestWithParam<EndCase> {};

// Guards against a budget that shrinks with each request that ends early.
TEST_P(EndedRequests, GiveTheirBytesBack) {
  const EndCase &c = GetParam();
  const AsyncServerOptions options = optionsWithBudget();
  LimitedServer server(options);
  std::optional<RawConnection> caller(server.port());
  caller->send(requestText(c.Headers, c.Body));
  if (c.UsedBytes != 0) {
    EXPECT_TRUE(awaitUsed(*options.Budget, c.UsedBytes));
    caller.reset();
  }
  EXPECT_TRUE(awaitEmpty(*options.Budget));
}

const EndCase EndCases[] = {
    {"served", lengthHeader(2), "{}", 0},
    {"client_closes_in_body", lengthHeader(LargeBytes), "{", LargeBytes},
    {"client_closes_in_chunk", "Transfer-Encoding: chunked\r\n",
     "10\r\n0123456789abcdef", 16},
    {"too_large", lengthHeader(LargeBytes + 1), "", 0},
    {"too_many_chunks", "Transfer-Encoding: chunked\r\n",
     chunkText(LargeBytes) + chunkText(1), 0},
    {"client_closes_in_small_chunks", "Transfer-Encoding: chunked\r\n",
     repeated(chunkText(1), 1 << 16) + "1\r\nx", 1 << 17},
};

INSTANTIATE_TEST_SUITE_P(Table, EndedRequests, testing::ValuesIn(EndCases),
                         [](const auto &info) { return info.param.Name; });

// Guards against requests that wait behind the server and are not counted.
TEST(HandledRequest, HoldsItsBytesUntilItsAnswer) {
  const AsyncServerOptions options = optionsWithBudget();
  std::promise<std::pair<HttpRequest, AsyncServer::Respond>> handed;
  LimitedServer server(options, [&handed](const HttpRequest &request,
                                          const AsyncServer::Respond &respond) {
    handed.set_value({request, respond});
  });
  RawConnection caller(server.port());
  ASSERT_TRUE(caller.send(requestText(lengthHeader(2), "{}")));
  std::optional waiting(handed.get_future().get());
  ASSERT_NE(waiting->first.Reservation, nullptr);
  EXPECT_EQ(options.Budget->usedBytes(), 2 + RequestOverheadBytes);
  EXPECT_TRUE(waiting->first.Reservation->tryGrow(BytesForSmall / 2));
  waiting->second({200, "{}"});
  EXPECT_TRUE(caller.receiveUntil("HTTP/1.1 200"));
  handed = {};
  waiting.reset();
  EXPECT_TRUE(awaitEmpty(*options.Budget));
}

// Guards against received data that fills memory while the server does not read
// it: pipelined calls behind one that is being handled.
TEST(PipelinedCalls, WaitWithTheirSenderWhileOneIsHandled) {
  constexpr size_t SentBytes = 16 << 20;
  constexpr absl::Duration Patience = absl::Milliseconds(300);
  std::promise<AsyncServer::Respond> handed;
  std::atomic<int> calls{0};
  LimitedServer server(
      {}, [&](const HttpRequest &, const AsyncServer::Respond &respond) {
        if (++calls == 1)
          handed.set_value(respond);
        else
          respond({200, "{}"});
      });
  RawConnection caller(server.port());
  ASSERT_TRUE(caller.send(requestText("")));
  const AsyncServer::Respond respond = handed.get_future().get();
  EXPECT_FALSE(caller.send(
      repeated(requestText(""), SentBytes / requestText("").size()), Patience));
  EXPECT_LE(caller.unreadBytesOfServer(), 2 * ReceiveBufferBytes);
  EXPECT_EQ(calls, 1);
  respond({200, "{}"});
  EXPECT_TRUE(caller.receiveUntil("HTTP/1.1 200"));
}

// Guards against a second process that gets half of the connections.
TEST(ListenAddress, IsNotShared) {
  AsyncServerOptions options;
  LimitedServer first(options);
  options.Port = first.port();
  EXPECT_THROW(LimitedServer second(options), std::runtime_error);
  EXPECT_TRUE(first.servesOrdinaryRequest());
}

} // namespace
} // namespace oriolebay::http
