// Orders for many runs at once.
#include "agentfixture.h"

#include <gtest/gtest.h>

#include <string>

namespace oriolebay::agent {
namespace {

constexpr int Runs = 300;
/// Connections that a worker has for its agent.
constexpr size_t MaxCalls = 64;
constexpr absl::Duration CallDuration = absl::Milliseconds(20);

class ManyOrders : public AgentFixture, public testing::Test {
protected:
  ManyOrders() {
    StartDurationMs = static_cast<int>(absl::ToInt64Milliseconds(CallDuration));
  }

  static endpoints::WorkerOrders starts() {
    endpoints::WorkerOrders orders{5, {"life", 1}, {}, {}};
    for (int n = 0; n < Runs; ++n)
      orders.Starts.push_back({taskOf(n), 1, "text", "", ""});
    return orders;
  }
  static endpoints::WorkerOrders stops() {
    endpoints::WorkerOrders orders{5, {"life", 1}, {}, {}};
    for (int n = 0; n < Runs; ++n)
      orders.Stops.push_back({taskOf(n), 1});
    return orders;
  }
  static std::string taskOf(int n) { return "j.0.0." + std::to_string(n); }
};

// Guards against agents that run out of memory and descriptors, because each
// start of a large job has a connection to the worker at the same time.
TEST_F(ManyOrders, AreSentAFewAtATime) {
  sendOrders(starts());
  Loop.advance(CallDuration / 2);
  EXPECT_LE(Starts.size(), MaxCalls);
  Loop.advance(absl::Seconds(2));
  EXPECT_EQ(Starts.size(), static_cast<size_t>(Runs));
  sendOrders(stops());
  Loop.advance(absl::Microseconds(500));
  EXPECT_LE(Stops.size(), MaxCalls);
  Loop.advance(absl::Seconds(2));
  EXPECT_EQ(Stops.size(), static_cast<size_t>(Runs));
}

// Guards against a run that starts after its stop, because the start waited for
// a connection.
TEST_F(ManyOrders, AreNotStartedOnceTheirStopIsOrdered) {
  sendOrders(starts());
  Loop.advance(CallDuration / 2);
  const size_t sent = Starts.size();
  sendOrders(stops());
  Loop.advance(absl::Seconds(2));
  EXPECT_EQ(Starts.size(), sent);
}

// Guards against starts that never come, because those before them got no
// answer or their incarnation has ended.
TEST_F(ManyOrders, AreStartedOnceEarlierCallsHaveEnded) {
  StartOutcome = {endpoints::CallStatus::NoAnswer,
                  endpoints::RefusalReason::None, 0, ""};
  sendOrders(starts());
  Loop.advance(CallDuration / 2);
  restartWorker({"other", 2});
  StartOutcome = okOutcome();
  Loop.advance(absl::Seconds(2));
  Starts.clear();
  endpoints::WorkerOrders orders{5, {"other", 2}, {}, {}};
  for (int n = 0; n < Runs; ++n)
    orders.Starts.push_back({"k.0.0." + std::to_string(n), 1, "t", "", ""});
  sendOrders(orders);
  Loop.advance(absl::Seconds(3));
  EXPECT_EQ(Starts.size(), static_cast<size_t>(Runs));
}

} // namespace
} // namespace oriolebay::agent
