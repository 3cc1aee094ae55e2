#include "endpoints/messagequeue.h"
#include "utils/eventloop.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace oriolebay::endpoints {
namespace {

constexpr size_t SmallBytes = 1000;
constexpr size_t LargeBytes = 100'000;

class ReceivedMessages : public testing::Test {
protected:
  void receive(const std::string &name, size_t bytes) {
    Loop.post([this, name, bytes] {
      Queue->handle(bytes, [this, name] { Handled.push_back(name); });
    });
  }

  utils::EventLoop Loop{100, utils::EventLoop::Time::Manual};
  std::unique_ptr<Internal::MessageQueue> Queue =
      std::make_unique<Internal::MessageQueue>(Loop);
  std::vector<std::string> Handled;
};

// Guards against grants and callers' questions that come too late, because they
// wait behind the long lists of all agents.
TEST_F(ReceivedMessages, AreHandledBetweenLargeOnes) {
  receive("large 1", LargeBytes);
  receive("large 2", LargeBytes);
  receive("large 3", LargeBytes);
  Loop.post([this] {
    Loop.post([this] { receive("small 1", SmallBytes); });
    receive("small 2", SmallBytes);
  });
  Loop.advance(absl::Milliseconds(1));
  EXPECT_EQ(Handled, (std::vector<std::string>{"large 1", "small 2", "large 2",
                                               "small 1", "large 3"}));
}

TEST_F(ReceivedMessages, AreHandledInOrderIfAllAreSmall) {
  receive("1", SmallBytes);
  receive("2", SmallBytes);
  Loop.advance(absl::Milliseconds(1));
  EXPECT_EQ(Handled, (std::vector<std::string>{"1", "2"}));
}

// Guards against a process that ends while it stops, because a large message is
// handled after its receiver is gone.
TEST_F(ReceivedMessages, AreDroppedWithTheQueue) {
  receive("large 1", LargeBytes);
  receive("large 2", LargeBytes);
  Loop.post([this] { Loop.post([this] { Queue.reset(); }); });
  Loop.advance(absl::Milliseconds(1));
  EXPECT_EQ(Handled.front(), "large 1");
  EXPECT_LE(Handled.size(), 2u);
}

} // namespace
} // namespace oriolebay::endpoints
