// Tests what a channel tells of a request that gets no answer, and that no
// request is sent twice or late.
#include "closingreplypeer.h"
#include "endpoints/asyncchannel.h"
#include "endpoints/channel.h"
#include "unresponsivepeer.h"
#include "utils/eventloop.h"

#include <gtest/gtest.h>

#include <functional>
#include <future>
#include <memory>
#include <vector>

namespace oriolebay::endpoints {
namespace {

constexpr int CallTimeoutMs = 60000;
/// For calls that are not answered.
constexpr int ShortTimeoutMs = 200;
constexpr size_t QueueCapacity = 16;

const Message Request = Release{1, "r"};
const Message Refusal = Ack{false, "refused"};
const PeerReply NotSent{std::nullopt, true};
const PeerReply PossiblyProcessed{std::nullopt, false};

struct EndCase {
  const char *Name;
  ConnectionEnd End;
  /// Number of calls that are answered on the connection before it ends.
  int AnsweredBefore;
};

void PrintTo(const EndCase &c, std::ostream *out) { *out << c.Name; }

class BrokenConnection : public testing::TestWithParam<EndCase> {};

// Guards against an answer to a second copy that is taken for the outcome of
// the call, while the first copy may have been carried out.
TEST_P(BrokenConnection, DoesNotRepeatTheRequest) {
  const int dropped = GetParam().AnsweredBefore + 1;
  ClosingReplyPeer peer(GetParam().End, dropped, encode(Refusal));
  auto channel = std::make_shared<RequestChannel>(peer.address());
  for (int call = 1; call < dropped; ++call)
    ASSERT_EQ(RequestChannel::call(channel, Request, CallTimeoutMs),
              PeerReply{Refusal});
  EXPECT_EQ(RequestChannel::call(channel, Request, CallTimeoutMs),
            PossiblyProcessed);
  EXPECT_EQ(peer.requests(), dropped);
}

// Guards against the same in processes with an event loop, and against a
// request that a peer has read and that is reported as not sent.
TEST_P(BrokenConnection, DoesNotRepeatTheRequestOfALoop) {
  const int dropped = GetParam().AnsweredBefore + 1;
  ClosingReplyPeer peer(GetParam().End, dropped, encode(Refusal));
  utils::EventLoop loop(QueueCapacity);
  AsyncChannel channel(loop, peer.address(), [](const auto &) {});
  std::vector<PeerReply> replies;
  std::function<void()> callNext = [&] {
    channel.call(Request, CallTimeoutMs, [&](const PeerReply &reply) {
      replies.push_back(reply);
      if (static_cast<int>(replies.size()) == dropped)
        loop.stop();
      else
        callNext();
    });
  };
  callNext();
  loop.run();
  std::vector<PeerReply> expected(static_cast<size_t>(dropped),
                                  PeerReply{Refusal});
  expected.back() = PossiblyProcessed;
  EXPECT_EQ(replies, expected);
  EXPECT_EQ(peer.requests(), dropped);
}

INSTANTIATE_TEST_SUITE_P(
    Table, BrokenConnection,
    testing::Values(EndCase{"FirstCallFin", ConnectionEnd::Fin, 0},
                    EndCase{"FirstCallReset", ConnectionEnd::Reset, 0},
                    EndCase{"LaterCallFin", ConnectionEnd::Fin, 2},
                    EndCase{"LaterCallReset", ConnectionEnd::Reset, 2}),
    [](const auto &info) { return info.param.Name; });

// Guards against an open answer for a call that no peer can have received.
TEST(UnsentRequest, IsReportedIfThePeerTakesNoConnection) {
  UnresponsivePeer peer;
  utils::EventLoop loop(QueueCapacity);
  AsyncChannel channel(loop, peer.address(), [](const auto &) {});
  PeerReply ended;
  channel.call(Request, ShortTimeoutMs, [&](const PeerReply &reply) {
    ended = reply;
    loop.stop();
  });
  loop.run();
  EXPECT_EQ(ended, NotSent);
}

// Guards against a request that is carried out after it was reported as not
// sent: the peer listens again while its connection is still wanted.
TEST(UnsentRequest, IsNotSentLater) {
  auto peer = std::make_unique<ReplyServer>(
      "tcp://127.0.0.1:0", [](const Message &) { return Ack{}; });
  const std::string address = peer->address();
  peer.reset();
  utils::EventLoop loop(QueueCapacity);
  AsyncChannel channel(loop, address, [](const auto &) {});
  PeerReply unsent;
  PeerReply answered;
  channel.call(Request, ShortTimeoutMs, [&](const PeerReply &reply) {
    unsent = reply;
    peer = std::make_unique<ReplyServer>(address,
                                         [](const Message &) { return Ack{}; });
  });
  channel.call(Request, CallTimeoutMs, [&](const PeerReply &reply) {
    answered = reply;
    loop.stop();
  });
  loop.run();
  EXPECT_EQ(unsent, NotSent);
  EXPECT_EQ(answered, PeerReply{Ack{}});
  EXPECT_EQ(peer->messages(), 1);
}

// Guards against a refusal of a call that a silent peer has read.
TEST(SilentPeer, MayHaveProcessedTheRequest) {
  std::promise<void> released;
  int handled = 0;
  ReplyServer peer("tcp://127.0.0.1:0",
                   [&, end = released.get_future().share()](const Message &) {
                     if (++handled > 1)
                       end.wait();
                     return Ack{};
                   });
  utils::EventLoop loop(QueueCapacity);
  AsyncChannel channel(loop, peer.address(), [](const auto &) {});
  PeerReply unanswered{Refusal};
  channel.call(Request, CallTimeoutMs, [&](const PeerReply &connected) {
    EXPECT_EQ(connected, PeerReply{Ack{}});
    channel.call(Request, ShortTimeoutMs, [&](const PeerReply &reply) {
      unanswered = reply;
      loop.stop();
    });
  });
  loop.run();
  EXPECT_EQ(unanswered, PossiblyProcessed);
  released.set_value();
}

} // namespace
} // namespace oriolebay::endpoints
