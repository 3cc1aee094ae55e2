#include "utils/eventloop.h"

#include <gtest/gtest.h>

#include <memory>

namespace oriolebay::utils {
namespace {

struct TimeCase {
  const char *Name;
  EventLoop::Time Time;
};

void PrintTo(const TimeCase &c, std::ostream *out) { *out << c.Name; }

class QueuedTasks : public ::testing::TestWithParam<TimeCase> {};

// Guards against a queue of requests whose memory is held until the last one of
// them has run.
TEST_P(QueuedTasks, GiveUpWhatTheyHoldBeforeTheNextOneRuns) {
  EventLoop loop(4, GetParam().Time);
  auto held = std::make_shared<int>(1);
  const std::weak_ptr<int> watched = held;
  bool isHeldInNext = true;
  loop.post([held] {});
  loop.post([&] { isHeldInNext = !watched.expired(); });
  loop.post([&loop] { loop.stop(); });
  held.reset();
  if (GetParam().Time == EventLoop::Time::Real)
    loop.run();
  else
    loop.advance(absl::ZeroDuration());
  EXPECT_FALSE(isHeldInNext);
}

INSTANTIATE_TEST_SUITE_P(
    Table, QueuedTasks,
    ::testing::Values(TimeCase{"real_time", EventLoop::Time::Real},
                      TimeCase{"manual_time", EventLoop::Time::Manual}),
    [](const auto &info) { return info.param.Name; });

} // namespace
} // namespace oriolebay::utils
