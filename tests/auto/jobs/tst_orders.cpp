// Tests of the orders that a leader gives to the agents.
#include "simsite.h"

#include <gtest/gtest.h>

namespace oriolebay::jobs {
namespace {

// Guards against a task that runs twice: its start was ordered for an
// incarnation whose end is reported before the order is sent, and goes to the
// next incarnation with the orders for that.
TEST(Orders, NameTheIncarnationThatEachWasGivenFor) {
  SimSite site;
  site.addWorker("w0", "r0");
  site.worker("w0").DropsOrders = true;
  site.runFor(absl::Milliseconds(600));
  core::StepSpec step;
  step.Count = 2;
  step.PerTask = {1000, 1000, 4};
  step.EstimateMs = 60000;
  site.submit(jobOf("j", step));
  site.runFor(absl::Seconds(1));
  const absl::Time later = site.now() + absl::Seconds(1);
  site.scheduler().tick(later);

  const SimSite::Worker &worker = site.worker("w0");
  const endpoints::WorkerIncarnation ended = worker.State.Life;
  endpoints::WorkerReport report;
  report.Agent = worker.Agent;
  report.AgentAddress = worker.Agent;
  report.Sequence = worker.Sequence + 1;
  report.Worker = worker.State;
  ++report.Worker.Life.BornMs;
  endpoints::IncarnationEnd end{ended};
  end.Witnessed = true;
  // The agent has received the start of this one only.
  end.MayStillBegin = {{"j.0.0.1", 1}};
  report.EndedLives = {end};
  site.scheduler().onReport(report, later);

  bool stopsAtNext = false;
  for (const auto &[address, orders] : site.scheduler().takeOrders()) {
    stopsAtNext |= orders.Life == report.Worker.Life && !orders.Stops.empty();
    if (orders.Life != ended) {
      EXPECT_TRUE(orders.Starts.empty()) << orders.Starts.front().Task;
    }
  }
  EXPECT_TRUE(stopsAtNext);
}

} // namespace
} // namespace oriolebay::jobs
