// Heartbeats in the name of the worker that another writer has sent.
#include "agentfixture.h"

#include <gtest/gtest.h>

namespace oriolebay::agent {
namespace {

// Guards against a worker that is never used again, because a heartbeat without
// its start time was taken for the begin of another incarnation.
TEST(ForeignHeartbeat, LeavesTheWorkerInUse) {
  AgentFixture fixture;
  const endpoints::WorkerIncarnation worker{"life", 1000};
  fixture.restartWorker(worker);
  fixture.Loop.advance(absl::Seconds(1));
  endpoints::Heartbeat foreign;
  foreign.Worker.Life = {worker.Id, 0};
  fixture.Agent->onHeartbeat(foreign);
  fixture.Loop.advance(absl::Seconds(4));
  endpoints::WorkerOrders orders = AgentFixture::makeStart(5, 1);
  orders.Life = worker;
  fixture.sendOrders(orders);
  fixture.Loop.advance(absl::Seconds(1));
  EXPECT_EQ(fixture.countStartsOf("j.0.0.0"), 1U);
}

} // namespace
} // namespace oriolebay::agent
