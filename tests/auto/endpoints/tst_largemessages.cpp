// Tests of the largest message that a process takes from its peers.
#include "endpoints/asyncreplyserver.h"
#include "endpoints/channel.h"
#include "http/rawconnection.h"
#include "utils/eventloop.h"

#include <gtest/gtest.h>

#include <memory>
#include <thread>

namespace oriolebay::endpoints {
namespace {

constexpr int CallTimeoutMs = 60000;
/// Bytes of the greeting of the protocol for scalable messages.
constexpr size_t GreetingBytes = 8;

// The greeting of a requesting peer, and the size of its first message.
std::string announcement(uint64_t bytes) {
  std::string text("\0SP\0\0\x30\0\0", GreetingBytes);
  for (int shift = 56; shift >= 0; shift -= 8)
    text += static_cast<char>(bytes >> shift);
  return text;
}

int portOf(const std::string &address) {
  return std::stoi(address.substr(address.rfind(':') + 1));
}

/// A server that acknowledges each message, with its loop.
class AcknowledgingServer {
public:
  AcknowledgingServer()
      : Server(
            Loop, "tcp://127.0.0.1:0",
            [](const Message &, const AsyncReplyServer::Respond &respond) {
              respond(Ack{});
            },
            [](const utils::RefusedMessage &) {}),
        LoopThread([this] { Loop.run(); }) {}
  ~AcknowledgingServer() {
    Loop.stop();
    LoopThread.join();
  }
  AcknowledgingServer(const AcknowledgingServer &) = delete;
  AcknowledgingServer &operator=(const AcknowledgingServer &) = delete;

  std::string address() const { return Server.address(); }

private:
  utils::EventLoop Loop{16};
  AsyncReplyServer Server;
  std::thread LoopThread;
};

struct SizeCase {
  const char *Name;
  uint64_t Bytes;
};

void PrintTo(const SizeCase &c, std::ostream *out) { *out << c.Name; }

class LargeAnnouncements : public testing::TestWithParam<SizeCase> {};

// Guards against a peer that fills the memory of a process with one message.
TEST_P(LargeAnnouncements, EndTheirConnection) {
  const AcknowledgingServer server;
  testpeers::RawConnection connection(portOf(server.address()));
  connection.send(announcement(GetParam().Bytes));
  EXPECT_TRUE(connection.receiveUntilClosed());
}

INSTANTIATE_TEST_SUITE_P(Table, LargeAnnouncements,
                         testing::Values(SizeCase{"one_byte_more",
                                                  MaxMessageBytes + 1},
                                         SizeCase{"twice", 2 * MaxMessageBytes},
                                         SizeCase{"huge", uint64_t{1} << 40}),
                         [](const auto &info) { return info.param.Name; });

/// Starts of all tasks of the largest job.
WorkerOrders largestOrders() {
  StartOrder start;
  start.Task = "0123456789abcdef.999.63.4095";
  start.Payload = std::string(core::MaxPayloadBytes, 'x');
  start.Saved = "00000bb87a21d94b";
  WorkerOrders orders;
  orders.Starts.assign(core::MaxTasksPerJob, start);
  return orders;
}

class OrdersOfTheLargestJob : public testing::TestWithParam<bool> {};

// Guards against starts that get another payload, or none, because the message
// contains it once or is one for an agent of an earlier version.
TEST_P(OrdersOfTheLargestJob, AreReadAsWritten) {
  WorkerOrders orders = largestOrders();
  orders.PayloadsShared = GetParam();
  orders.Starts[1].Payload = "of another job";
  EXPECT_EQ(std::get<WorkerOrders>(decode(encode(orders)).value()), orders);
}

INSTANTIATE_TEST_SUITE_P(Table, OrdersOfTheLargestJob, testing::Bool(),
                         [](const auto &info) {
                           return info.param ? "shared" : "earlier_version";
                         });

// Guards against agents that are ended for their memory by the text of a job
// that stands in each of its starts.
TEST(SharedPayloads, TakeTheirMemoryOnce) {
  WorkerOrders orders = largestOrders();
  orders.PayloadsShared = true;
  const std::string bytes = encode(orders);
  EXPECT_LT(bytes.size(), core::MaxTasksPerJob * core::MaxPayloadBytes / 10);
  const auto read = std::get<WorkerOrders>(decode(bytes).value());
  EXPECT_EQ(&read.Starts.front().Payload.str(),
            &read.Starts.back().Payload.str());
}

// Guards against a limit that orders meet.
TEST(LargeMessages, OrdersForTheLargestJobAreTaken) {
  const AcknowledgingServer server;
  const WorkerOrders orders = largestOrders();
  EXPECT_LT(encode(orders).size(), MaxMessageBytes);
  const auto channel = std::make_shared<RequestChannel>(server.address());
  const PeerReply reply = RequestChannel::call(channel, orders, CallTimeoutMs);
  EXPECT_EQ(reply, PeerReply{Ack{}});
}

} // namespace
} // namespace oriolebay::endpoints
