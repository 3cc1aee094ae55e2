#include "limitedserver.h"

#include <gtest/gtest.h>

namespace oriolebay::http {
namespace {

using testpeers::chunkText;
using testpeers::LimitedServer;
using testpeers::RawConnection;
using testpeers::requestText;

constexpr size_t MaxBytes = 1000;

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

} // namespace
} // namespace oriolebay::http
