// Tests of the order in which waiting work gets capacity: the order alone, and
// the scheduler under the load that it answers.
#include "jobs/waitingorder.h"
#include "simsite.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

namespace oriolebay::jobs {
namespace {

constexpr absl::Duration Short = absl::Seconds(1);
constexpr absl::Duration Long = absl::Seconds(2);
const absl::Time Early = absl::UnixEpoch();
const absl::Time Later = absl::UnixEpoch() + absl::Seconds(1);

struct OrderCase {
  const char *Name;
  WaitingUnitKey First;
  WaitingUnitKey Second;
};

void PrintTo(const OrderCase &c, std::ostream *out) { *out << c.Name; }

class WaitingOrder : public testing::TestWithParam<OrderCase> {};

TEST_P(WaitingOrder, PutsTheFirstBeforeTheSecond) {
  EXPECT_TRUE(startsBefore(GetParam().First, GetParam().Second));
  EXPECT_FALSE(startsBefore(GetParam().Second, GetParam().First));
}

INSTANTIATE_TEST_SUITE_P(
    Units, WaitingOrder,
    testing::Values(OrderCase{"lower_rank",
                              {0, false, Long, Later, "b"},
                              {1, false, Short, Early, "a"}},
                    OrderCase{"overdue_of_a_lower_rank",
                              {1, true, Long, Later, "b"},
                              {2, false, Short, Early, "a"}},
                    OrderCase{"urgent_in_time_before_overdue",
                              {1, false, Long, Later, "b"},
                              {1, true, Short, Early, "a"}},
                    OrderCase{"batch_in_time_before_overdue",
                              {3, false, Long, Later, "b"},
                              {3, true, Short, Early, "a"}},
                    OrderCase{"overdue_within_a_guarantee_keeps_its_place",
                              {0, true, Long, Early, "b"},
                              {0, false, Short, Later, "a"}},
                    OrderCase{"urgent_with_less_slack",
                              {1, false, Short, Later, "b"},
                              {1, false, Long, Early, "a"}},
                    OrderCase{"batch_that_arrived_first",
                              {2, false, Long, Early, "b"},
                              {2, false, Short, Later, "a"}},
                    OrderCase{"urgent_before_a_later_occurrence",
                              {1, false, Long, Later, "b"},
                              {1, false, Short, Early, "a", 1, 0, 1}},
                    OrderCase{"batch_before_a_later_occurrence",
                              {2, false, Long, Later, "b"},
                              {2, false, Long, Early, "a", 1, 0, 1}},
                    OrderCase{"smaller_id",
                              {2, false, Short, Early, "a"},
                              {2, false, Short, Early, "b"}},
                    OrderCase{"earlier_step",
                              {2, false, Short, Early, "a", 0, 0},
                              {2, false, Short, Early, "a", 0, 1}}),
    [](const auto &info) { return std::string(info.param.Name); });

struct BurstCase {
  const char *Name;
  int Priority;
  bool Gang;
};

void PrintTo(const BurstCase &c, std::ostream *out) { *out << c.Name; }

class Burst : public testing::TestWithParam<BurstCase> {};

// Guards against a burst that makes all work late that arrives after it: the
// site served the backlog first although its callers had no use for it any
// more.
TEST_P(Burst, DoesNotDelayWorkThatArrivesAfterIt) {
  constexpr int Workers = 4;
  constexpr int JobsInBurst = 60;
  constexpr int JobsAfter = 20;
  constexpr absl::Duration Objective = absl::Milliseconds(1750);
  SimSite site;
  core::SiteConfig config;
  config.Version = 2;
  config.Queues.push_back(makeQueue("q", 1.5, 250));
  site.configure(config);
  for (int w = 0; w < Workers; ++w)
    site.addWorker("w" + std::to_string(w), "r0");
  site.runFor(absl::Milliseconds(1100));
  core::StepSpec step;
  step.Count = 1;
  step.PerTask = {1000, 1000, 8};
  step.EstimateMs = 1000;
  step.Gang = GetParam().Gang;
  const auto submit = [&](const std::string &id) {
    site.submit(jobOf(id, step), GetParam().Priority);
  };
  for (int n = 0; n < JobsInBurst; ++n)
    submit("burst" + std::to_string(n));
  site.runFor(Objective * 3 + absl::Seconds(1));
  for (int n = 0; n < JobsAfter; ++n) {
    submit("after" + std::to_string(n));
    site.runFor(absl::Milliseconds(500));
  }
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(60)));
  int inTime = 0;
  for (int n = 0; n < JobsAfter; ++n)
    inTime += *site.turnaroundTime("after" + std::to_string(n)) <= Objective;
  EXPECT_GE(inTime, JobsAfter * 9 / 10);
  EXPECT_TRUE(site.violations().empty()) << site.violations().front();
}

INSTANTIATE_TEST_SUITE_P(WaitingOrder, Burst,
                         testing::Values(BurstCase{"urgent_gangs", 0, true},
                                         BurstCase{"urgent_tasks", 0, false},
                                         BurstCase{"batch_gangs", 1, true},
                                         BurstCase{"batch_tasks", 1, false}),
                         [](const auto &info) {
                           return std::string(info.param.Name);
                         });

} // namespace
} // namespace oriolebay::jobs
