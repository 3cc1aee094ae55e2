#include "http/connectiontable.h"
#include "limitedserver.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <iterator>

namespace oriolebay::http {
namespace {

using testpeers::awaitCondition;
using testpeers::awaitEmpty;
using testpeers::awaitUsed;
using testpeers::chunkText;
using testpeers::LimitedServer;
using testpeers::RawConnection;
using testpeers::requestText;
using utils::MemoryBudget;

constexpr int Limit = 4;
constexpr int NewFd = 100;

/// A connection before the new one: how long it has been in its phase, and
/// whether a request on it was answered before.
struct Place {
  ConnectionPhase Phase;
  absl::Duration Waited;
  bool WasAnswered = false;
};

constexpr auto Idle = ConnectionPhase::Idle;
constexpr auto Receiving = ConnectionPhase::Receiving;
constexpr auto Handled = ConnectionPhase::Handled;
constexpr auto Answering = ConnectionPhase::Answering;

/// GivesUp: which of the places is given up, or none.
struct PlaceCase {
  const char *Name;
  std::vector<Place> Places;
  std::vector<int> GivesUp;
};

void PrintTo(const PlaceCase &c, std::ostream *out) { *out << c.Name; }

class Places : public testing::TestWithParam<PlaceCase> {};

// Guards against a new caller that waits while others only hold their places,
// and against a place that is taken from a request that is being handled.
TEST_P(Places, AreGivenUpByWhoWaitsLongestForItsClient) {
  const PlaceCase &c = GetParam();
  std::vector<int> closed;
  std::vector<RefusalReason> refused;
  ConnectionTable table(
      {Limit, absl::Seconds(30), absl::Seconds(125)},
      [&closed](int fd) { closed.push_back(fd); },
      [&refused](const RefusedRequest &it) { refused.push_back(it.Reason); });
  const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  for (int fd = 0; fd < std::ssize(c.Places); ++fd) {
    const auto &[phase, waited, wasAnswered] = c.Places[size_t(fd)];
    table.add(fd, now - waited);
    if (wasAnswered) {
      ASSERT_TRUE(table.enter(fd, Answering, now - waited));
      ASSERT_TRUE(table.enter(fd, Idle, now - waited));
    }
    if (phase != Idle) {
      ASSERT_TRUE(table.enter(fd, phase, now - waited));
    }
  }
  table.add(NewFd, now);
  EXPECT_EQ(closed, c.GivesUp);
  EXPECT_EQ(refused,
            std::vector(c.GivesUp.size(), RefusalReason::PlaceGivenUp));
}

constexpr absl::Duration Long = absl::Seconds(20);
constexpr absl::Duration Longer = absl::Seconds(25);
constexpr absl::Duration Short = absl::Milliseconds(10);
constexpr bool Answered = true;

const PlaceCase PlaceCases[] = {
    {"there_is_room", {{Receiving, Long}, {Receiving, Long}, {Idle, Long}}, {}},
    {"oldest_request",
     {{Receiving, Long}, {Receiving, Longer}, {Handled, Longer}, {Idle, Short}},
     {1}},
    {"never_sent",
     {{Idle, Longer},
      {Receiving, Long},
      {Idle, Longer, Answered},
      {Idle, Long}},
     {0}},
    {"answer_not_read",
     {{Answering, Longer}, {Receiving, Long}, {Handled, Long}, {Idle, Long}},
     {0}},
    {"kept_open_before_just_begun",
     {{Idle, Long, Answered},
      {Receiving, Short},
      {Idle, Longer, Answered},
      {Idle, Short}},
     {2}},
    {"unfinished_before_kept_open",
     {{Idle, Longer, Answered},
      {Receiving, Long},
      {Idle, Longer, Answered},
      {Handled, Longer}},
     {1}},
    {"most_have_just_begun",
     {{Idle, Long, Answered},
      {Receiving, Short},
      {Receiving, 2 * Short},
      {Idle, Short}},
     {2}},
    {"all_are_handled",
     {{Handled, Long}, {Handled, Long}, {Handled, Long}, {Handled, Long}},
     {}},
};

INSTANTIATE_TEST_SUITE_P(Table, Places, testing::ValuesIn(PlaceCases),
                         [](const auto &info) { return info.param.Name; });

constexpr int ManyConnections = 60;

/// AnswerBytes: the size of the answers that the crowd gets.
struct CrowdCase {
  const char *Name;
  std::string Text;
  size_t AnswerBytes = 0;
  bool ReadsAnswer = false;
};

void PrintTo(const CrowdCase &c, std::ostream *out) { *out << c.Name; }

class Crowds : public testing::TestWithParam<CrowdCase> {};

std::ptrdiff_t openDescriptors() {
  return std::distance(std::filesystem::directory_iterator("/proc/self/fd"),
                       {});
}

// Guards against a caller that finds no place beside others that hold theirs
// without finishing.
TEST_P(Crowds, LeaveAPlaceForAnOrdinaryCaller) {
  const CrowdCase &c = GetParam();
  constexpr int MaxConnections = 8;
  constexpr int Margin = 24;
  AsyncServerOptions options;
  options.MaxConnections = MaxConnections;
  const std::string largeAnswer(c.AnswerBytes, 'x');
  LimitedServer server(
      options, [&largeAnswer](const HttpRequest &request,
                              const AsyncServer::Respond &respond) {
        respond({200, request.Path == "/large" ? largeAnswer : "2"});
      });
  const std::ptrdiff_t before = openDescriptors();
  std::vector<RawConnection> crowd;
  crowd.reserve(ManyConnections);
  for (int i = 0; i < ManyConnections; ++i) {
    crowd.emplace_back(server.port());
    crowd.back().send(c.Text);
    if (c.ReadsAnswer) {
      ASSERT_TRUE(crowd.back().receiveUntil("HTTP/1.1 200"));
    }
  }
  for (int i = 0; i < ManyConnections; ++i)
    ASSERT_TRUE(server.servesOrdinaryRequest());
  EXPECT_LE(openDescriptors() - before,
            ManyConnections + MaxConnections + Margin);
}

const CrowdCase CrowdCases[] = {
    {"silent", ""},
    {"headers", "POST / HTTP/1.1\r\nHost: a\r\n"},
    {"body", requestText("Content-Length: 9000\r\n", "x")},
    {"chunks", requestText("Transfer-Encoding: chunked\r\n", chunkText(1))},
    {"answer_not_read", "GET /large HTTP/1.1\r\nHost: a\r\n\r\n", 8 << 20},
    {"kept_open", requestText(""), 0, true},
};

INSTANTIATE_TEST_SUITE_P(Table, Crowds, testing::ValuesIn(CrowdCases),
                         [](const auto &info) { return info.param.Name; });

struct BytesCase {
  const char *Name;
  std::vector<absl::Duration> Waited;
  std::optional<int> GivesUp;
};

void PrintTo(const BytesCase &c, std::ostream *out) { *out << c.Name; }

class Bytes : public testing::TestWithParam<BytesCase> {};

// Guards against unfinished bodies that hold all bytes until their timeout, and
// against large bodies that take each other's room.
TEST_P(Bytes, AreGivenUpByTheBodyThatArrivesForLongest) {
  const BytesCase &c = GetParam();
  std::vector<int> closed;
  ConnectionTable table(
      {Limit, absl::Seconds(30), absl::Seconds(125)},
      [&closed](int fd) { closed.push_back(fd); },
      [](const RefusedRequest &) {});
  const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  for (int fd = 0; fd < std::ssize(c.Waited); ++fd) {
    const absl::Time begun = now - c.Waited[size_t(fd)];
    table.add(fd, begun);
    ASSERT_TRUE(table.enter(fd, Receiving, begun));
    table.setBodyBytes(fd, 1000);
  }
  table.add(NewFd, now);
  EXPECT_EQ(table.giveUpBytes(NewFd, now), c.GivesUp);
  EXPECT_EQ(closed.size(), c.GivesUp ? 1U : 0U);
}

const BytesCase BytesCases[] = {
    {"oldest", {Long, Longer}, 1},
    {"all_have_just_begun", {Short, absl::Seconds(4)}, std::nullopt},
    {"none", {}, std::nullopt},
};

INSTANTIATE_TEST_SUITE_P(Table, Bytes, testing::ValuesIn(BytesCases),
                         [](const auto &info) { return info.param.Name; });

// Guards against unfinished bodies that hold all bytes of a server until their
// timeout, and against bytes that stay reserved for a body that was given up.
TEST(UnfinishedBodies, GiveTheirBytesToANewOne) {
  constexpr size_t LargeBytes = 256 << 10;
  constexpr int Unfinished = 4;
  AsyncServerOptions options;
  options.Budget =
      std::make_shared<MemoryBudget>(Unfinished * (LargeBytes + 4096), 0);
  LimitedServer server(options);
  const std::string headers =
      "Content-Length: " + std::to_string(LargeBytes) + "\r\n";
  std::vector<RawConnection> crowd;
  crowd.reserve(Unfinished);
  for (int i = 0; i < Unfinished; ++i) {
    crowd.emplace_back(server.port());
    ASSERT_TRUE(crowd.back().send(
        requestText(headers, std::string(LargeBytes - 1, 'x'))));
  }
  ASSERT_TRUE(awaitUsed(*options.Budget, Unfinished * LargeBytes));
  EXPECT_TRUE(awaitCondition([&] {
    RawConnection caller(server.port());
    caller.send(requestText(headers, std::string(LargeBytes, 'x')));
    return caller.receiveUntil("HTTP/1.1 200");
  }));
  crowd.clear();
  EXPECT_TRUE(awaitEmpty(*options.Budget));
}

} // namespace
} // namespace oriolebay::http
