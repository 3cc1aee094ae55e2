#include "jobs/jobscheduler.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>
#include <vector>

namespace oriolebay::jobs {
namespace {

constexpr absl::Time Start = absl::UnixEpoch();
constexpr int64_t LeaderEpoch = 7;
const SchedulerPolicy Policy;
struct SilenceCase {
  const char *Name;
  /// The highest epoch that the worker has received.
  int64_t WorkerEpoch;
  absl::Duration SinceReport;
  bool IsTold;
};

void PrintTo(const SilenceCase &c, std::ostream *out) { *out << c.Name; }

class AgentThatHasReported : public testing::TestWithParam<SilenceCase> {};

// Guards against a task that runs twice, as the next leader takes it for ended
// while an earlier one may still keep it alive (workers that have not received
// the leader's epoch), and against one that waits although it has ended.
TEST_P(AgentThatHasReported, IsToldToTheNextLeaderOnceItIsSilent) {
  const SilenceCase &c = GetParam();
  JobScheduler scheduler(Policy, LeaderEpoch, Start);
  endpoints::WorkerReport report;
  report.Agent = "agent";
  report.Worker.Life = {"w", 1};
  report.Sequence = 1;
  report.Epoch = c.WorkerEpoch;
  scheduler.onReport(report, Start);
  const absl::Time now = Start + c.SinceReport;
  scheduler.tick(now);
  const std::vector<SilentAgent> expected =
      c.IsTold ? std::vector<SilentAgent>{{"agent",
                                           c.SinceReport -
                                               Policy.Fleet.UnresponsiveAfter,
                                           true}}
               : std::vector<SilentAgent>();
  EXPECT_EQ(scheduler.silentAgents(now), expected);
}

INSTANTIATE_TEST_SUITE_P(
    Table, AgentThatHasReported,
    testing::Values(
        SilenceCase{"just_reported", LeaderEpoch, absl::Seconds(1), false},
        SilenceCase{"silent", LeaderEpoch, absl::Seconds(3), true},
        SilenceCase{"lost", LeaderEpoch, absl::Seconds(8), true},
        SilenceCase{"lost_long_ago", LeaderEpoch, absl::Minutes(1), false},
        SilenceCase{"not_fenced", LeaderEpoch - 1, absl::Seconds(3), false}),
    [](const auto &test) { return test.param.Name; });

// Guards against a task that is taken for ended while an agent that has come
// back keeps it alive.
TEST(AgentThatHasReported, IsNotToldOnceItReportsAgain) {
  JobScheduler scheduler(Policy, LeaderEpoch, Start);
  endpoints::WorkerReport report;
  report.Agent = "agent";
  report.Worker.Life = {"w", 1};
  report.Epoch = LeaderEpoch;
  report.Sequence = 1;
  scheduler.onReport(report, Start);
  ASSERT_EQ(scheduler.silentAgents(Start + absl::Seconds(4)).size(), 1u);
  report.Sequence = 2;
  scheduler.onReport(report, Start + absl::Seconds(4));
  EXPECT_TRUE(scheduler.silentAgents(Start + absl::Seconds(5)).empty());
}

} // namespace
} // namespace oriolebay::jobs
