#include "endpoints/channel.h"
#include "unresponsivepeer.h"
#include "waituntil.h"

#include <gtest/gtest.h>

using namespace oriolebay::endpoints;

namespace {

// One of two peers accepts connections and never answers. The call to it must
// end with a typed error, and the answer of the other peer must not be delayed
// until then.
TEST(Channel, UnresponsivePeerDoesNotDelayOtherAnswers) {
  UnresponsivePeer unresponsive;
  ReplyServer live("tcp://127.0.0.1:0", [](const Message &) {
    return Ack{true, "live"};
  });
  std::vector<size_t> order;
  callAll({std::make_shared<RequestChannel>(unresponsive.address()),
           std::make_shared<RequestChannel>(live.address())},
          {Release{1, "r"}, Release{1, "r"}}, 500,
          [&](size_t i, const PeerReply &reply) {
            order.push_back(i);
            EXPECT_EQ(reply.Answer.has_value(), i == 1);
          });
  EXPECT_EQ(order, (std::vector<size_t>{1, 0}));
}

// A peer ends and is restarted at the same address: the channel must reach it
// again.
TEST(Channel, RestartedPeerIsReachedAgain) {
  auto peer = std::make_unique<ReplyServer>(
      "tcp://127.0.0.1:0", [](const Message &) { return Ack{}; });
  const std::string address = peer->address();
  auto channel = std::make_shared<RequestChannel>(address);
  EXPECT_TRUE(RequestChannel::call(channel, Release{1, "r"}, 5000).Answer);
  peer.reset();
  EXPECT_FALSE(RequestChannel::call(channel, Release{1, "r"}, 200).Answer);
  peer = std::make_unique<ReplyServer>(address,
                                       [](const Message &) { return Ack{}; });
  oriolebay::testwaits::waitUntil([&] {
    return RequestChannel::call(channel, Release{1, "r"}, 500)
        .Answer.has_value();
  });
}

} // namespace
