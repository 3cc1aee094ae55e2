// Tests of the largest body that each server takes.
#include "calleradapter.h"
#include "http/rawconnection.h"
#include "platformstub.h"
#include "waitingentry.h"
#include "waituntil.h"
#include "workeradapter.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

namespace oriolebay::adapter {
namespace {

constexpr size_t LargestCallBytes = 262144;
constexpr size_t LargestHeartbeatBytes = 524288;
constexpr const char *HeartbeatHead = "POST /-/Instances.Heartbeat/life-1";
constexpr const char *DeregisterHead = "POST /-/Instances.Deregister/life-1";
constexpr const char *JobHead = "POST /queue/0123456789abcdef";
constexpr const char *CancelHead = "DELETE /queue/0123456789abcdef";

std::string padded(std::string object, size_t bytes) {
  object.resize(bytes, ' ');
  return object;
}

/// Sends a request with a body. What a refused caller would have sent after
/// the headers is left out.
std::string firstLineOf(int port, const std::string &head,
                        const std::string &body, bool sendsBody) {
  testpeers::RawConnection connection(port);
  connection.send(absl::StrCat(head, " HTTP/1.1\r\nHost: h\r\nContent-Length: ",
                               body.size(), "\r\n\r\n"));
  if (sendsBody)
    connection.send(body);
  EXPECT_TRUE(connection.receiveUntil("\r\n\r\n"));
  return connection.received().substr(0, connection.received().find("\r\n"));
}

struct BodyCase {
  const char *Name;
  const char *Head;
  std::string Body;
  bool IsTaken;
};

void PrintTo(const BodyCase &c, std::ostream *out) { *out << c.Name; }

class BodiesOf : public ::testing::TestWithParam<BodyCase> {
protected:
  void check(int port) const {
    const BodyCase &c = GetParam();
    const std::string line = firstLineOf(port, c.Head, c.Body, c.IsTaken);
    if (c.IsTaken)
      EXPECT_EQ(line, "HTTP/1.1 200 OK");
    else
      EXPECT_EQ(line.substr(0, 12), "HTTP/1.1 413");
  }
};

class ReadinessBodies : public BodiesOf {};

// Guards against servers that keep bodies for which they have no use.
TEST_P(ReadinessBodies, AreNotTaken) {
  PlatformStub stub(std::nullopt);
  const ReadinessServer server(
      stub.Loop, [](std::string *) { return true; }, "127.0.0.1", 0);
  check(server.port());
}

INSTANTIATE_TEST_SUITE_P(
    Table, ReadinessBodies,
    ::testing::Values(BodyCase{"none", "GET /-/ready", "", true},
                      BodyCase{"one_byte", "GET /-/ready", "x", false},
                      BodyCase{"one_byte_sent", "POST /-/ready", "x", false}),
    [](const auto &info) { return info.param.Name; });

class WorkerBodies : public BodiesOf {};

// Guards against an agent that keeps bodies a thousand times the size of a
// heartbeat.
TEST_P(WorkerBodies, AreTakenUpToTheLimit) {
  PlatformStub stub(std::nullopt);
  const HeartbeatServer server(
      stub.Loop, "127.0.0.1", 0,
      [](const endpoints::Heartbeat &) { return true; },
      [](const endpoints::WorkerIncarnation &) {},
      [](const utils::RefusedMessage &) {});
  check(server.port());
}

const std::string Beat = R"({"service":"s"})";

INSTANTIATE_TEST_SUITE_P(
    Table, WorkerBodies,
    ::testing::Values(BodyCase{"heartbeat", HeartbeatHead, Beat, true},
                      BodyCase{"largest_heartbeat", HeartbeatHead,
                               padded(Beat, LargestHeartbeatBytes), true},
                      BodyCase{"larger_heartbeat", HeartbeatHead,
                               padded(Beat, LargestHeartbeatBytes + 1), false},
                      BodyCase{"very_deep_heartbeat", HeartbeatHead,
                               R"({"service":"s","capacity":)" +
                                   std::string(400000, '[') +
                                   std::string(400000, ']') + "}",
                               false},
                      BodyCase{"largest_deregistration", DeregisterHead,
                               padded("{}", LargestHeartbeatBytes), true},
                      BodyCase{"larger_deregistration", DeregisterHead,
                               padded("{}", LargestHeartbeatBytes + 1), false}),
    [](const auto &info) { return info.param.Name; });

class CallerBodies : public BodiesOf {};

// Guards against an entry that takes bodies over the limit, or no longer takes
// the largest one.
TEST_P(CallerBodies, AreTakenUpToTheLimit) {
  const BodyCase &c = GetParam();
  WaitingEntry entry;
  if (!c.IsTaken) {
    check(entry.port());
    return;
  }
  entry.send("POST", c.Body);
  testwaits::waitUntil([&] { return entry.waiting() == 1; });
}

const std::string Job = R"({"spec":"x","steps":[{"cpu":100}]})";

INSTANTIATE_TEST_SUITE_P(
    Table, CallerBodies,
    ::testing::Values(BodyCase{"largest_legal_job", JobHead,
                               padded(Job, LargestCallBytes), true},
                      BodyCase{"larger_job", JobHead,
                               padded(Job, 2 * LargestCallBytes + 1), false},
                      BodyCase{"larger_cancel", CancelHead,
                               padded(Job, 2 * LargestCallBytes + 1), false}),
    [](const auto &info) { return info.param.Name; });

struct ValuesCase {
  const char *Name;
  int Labels;
  int Status;
};

void PrintTo(const ValuesCase &c, std::ostream *out) { *out << c.Name; }

class HeartbeatValues : public ::testing::TestWithParam<ValuesCase> {};

// Guards against heartbeats that take many times the memory of their text.
TEST_P(HeartbeatValues, AreRefusedBeyondTheLimit) {
  PlatformStub stub(std::nullopt);
  const HeartbeatServer server(
      stub.Loop, "127.0.0.1", 0,
      [](const endpoints::Heartbeat &) { return true; },
      [](const endpoints::WorkerIncarnation &) {},
      [](const utils::RefusedMessage &) {});
  std::string body = R"({"service":"s","labels":["a")";
  for (int i = 1; i < GetParam().Labels; ++i)
    body += R"(,"b")";
  const std::string line =
      firstLineOf(server.port(), HeartbeatHead, body + "]}", true);
  EXPECT_EQ(line.substr(9, 3), std::to_string(GetParam().Status));
}

INSTANTIATE_TEST_SUITE_P(Table, HeartbeatValues,
                         ::testing::Values(ValuesCase{"usual", 2, 200},
                                           ValuesCase{"thousands", 5000, 400}),
                         [](const auto &info) { return info.param.Name; });

} // namespace
} // namespace oriolebay::adapter
