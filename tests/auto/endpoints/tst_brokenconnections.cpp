// Tests that a request is sent once, however its connection ends.
#include "closingreplypeer.h"
#include "endpoints/asyncchannel.h"
#include "endpoints/channel.h"
#include "utils/eventloop.h"

#include <gtest/gtest.h>

#include <functional>
#include <vector>

namespace oriolebay::endpoints {
namespace {

constexpr int CallTimeoutMs = 1000;
constexpr size_t QueueCapacity = 16;

struct EndCase {
  const char *Name;
  ConnectionEnd End;
  /// Number of calls that are answered on the connection before it ends.
  int AnsweredBefore;
};

void PrintTo(const EndCase &c, std::ostream *out) { *out << c.Name; }

const Message Request = Release{1, "r"};
const std::string Refusal = encode(Ack{false, "refused"});

class BrokenConnection : public testing::TestWithParam<EndCase> {};

// Guards against an answer to a second copy that is taken for the outcome of
// the call, while the first copy may have been carried out.
TEST_P(BrokenConnection, DoesNotRepeatTheRequest) {
  const int dropped = GetParam().AnsweredBefore + 1;
  ClosingReplyPeer peer(GetParam().End, dropped, Refusal);
  auto channel = std::make_shared<RequestChannel>(peer.address());
  for (int call = 1; call < dropped; ++call)
    ASSERT_TRUE(RequestChannel::call(channel, Request, CallTimeoutMs));
  EXPECT_FALSE(RequestChannel::call(channel, Request, CallTimeoutMs));
  EXPECT_EQ(peer.requests(), dropped);
}

// Guards against the same in processes with an event loop.
TEST_P(BrokenConnection, DoesNotRepeatTheRequestOfALoop) {
  const int dropped = GetParam().AnsweredBefore + 1;
  ClosingReplyPeer peer(GetParam().End, dropped, Refusal);
  utils::EventLoop loop(QueueCapacity);
  AsyncChannel channel(loop, peer.address(), [](const auto &) {});
  std::vector<bool> answered;
  std::function<void()> callNext = [&] {
    channel.call(Request, CallTimeoutMs,
                 [&](const utils::Result<Message> &reply) {
                   answered.push_back(reply.has_value());
                   if (static_cast<int>(answered.size()) == dropped)
                     loop.stop();
                   else
                     callNext();
                 });
  };
  callNext();
  loop.run();
  std::vector<bool> expected(static_cast<size_t>(dropped), true);
  expected.back() = false;
  EXPECT_EQ(answered, expected);
  EXPECT_EQ(peer.requests(), dropped);
}

INSTANTIATE_TEST_SUITE_P(
    Table, BrokenConnection,
    testing::Values(EndCase{"FirstCallFin", ConnectionEnd::Fin, 0},
                    EndCase{"FirstCallReset", ConnectionEnd::Reset, 0},
                    EndCase{"LaterCallFin", ConnectionEnd::Fin, 2},
                    EndCase{"LaterCallReset", ConnectionEnd::Reset, 2}),
    [](const auto &info) { return info.param.Name; });

} // namespace
} // namespace oriolebay::endpoints
