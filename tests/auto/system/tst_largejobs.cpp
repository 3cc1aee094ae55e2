// Jobs inside all limits that are large: their tasks, or those that fall due.
#include "crowdsite.h"
#include "testnames.h"

#include <absl/time/clock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <string>

namespace oriolebay::testing_system {
namespace {

using nlohmann::json;

/// Memory of a small host.
constexpr int EntryMemoryMb = 120;
constexpr int AgentMemoryMb = 128;
constexpr int Jobs = 6;
constexpr int Repeats = 1000;
constexpr int TasksEach = 64;
constexpr int64_t WorkMs = 3000;
/// Time for which the jobs run before the memory is judged.
constexpr absl::Duration WatchTime = absl::Seconds(6);

struct LargeRow : testnames::NamedRow {
  bool Gang;
  /// The first occurrence is due that long before the jobs come, and the others
  /// one after the other at this interval.
  int64_t FirstDueMsAgo;
  int64_t IntervalMs;
};

std::string largeJob(const LargeRow &row) {
  const int64_t now = absl::ToUnixMillis(absl::Now());
  // Half of the worker's cores are left for other jobs.
  const json step = {{"count", TasksEach},
                     {"cpu", row.Gang ? 60 : 500},
                     {"gpu", row.Gang ? 0 : 1},
                     {"estimateMs", WorkMs},
                     {"gang", row.Gang}};
  return json{{"spec", "large"},
              {"repeats", Repeats},
              {"firstMs", now - row.FirstDueMsAgo},
              {"intervalMs", row.IntervalMs},
              {"steps", json::array({step})}}
      .dump();
}

class LargeJobs : public testing::TestWithParam<LargeRow> {};

// Guards against entries that are ended for their memory, one after the other,
// by legal jobs with many tasks that are due, or fall due later.
TEST_P(LargeJobs, LeaveTheLeaderWithinItsMemory) {
  CrowdSite site(EntryMemoryMb, 1);
  site.watch(*site.site().Entries[0]);
  for (int n = 0; n < Jobs; ++n)
    EXPECT_EQ(
        site.site().call(0, "POST", "/q/" + jobId(n), largeJob(GetParam())),
        200);
  absl::SleepFor(WatchTime);
  EXPECT_TRUE(site.completesJob(0)) << "no small job beside the large ones";
  site.expectWithinLimits();
}

INSTANTIATE_TEST_SUITE_P(
    Table, LargeJobs,
    testing::Values(LargeRow{"Due", false, 1'000'000, 1000},
                    LargeRow{"DueGangs", true, 1'000'000, 1000},
                    LargeRow{"FallDueOneByOne", false, 0, 5}),
    testnames::rowName);

// Guards against entries that are ended for their memory by the number of legal
// jobs that they accept.
TEST(ManyJobs, AreRefusedBeforeTheyExceedTheMemory) {
  constexpr int MemoryMb = 40;
  constexpr int Jobs = 3500;
  CrowdSite site(MemoryMb, 1);
  site.watch(*site.site().Entries[0]);
  const json step = {{"cpu", 1000}, {"needs", "a label of no worker"}};
  const json job = {{"spec", std::string(4000, 'x')},
                    {"steps", json::array({step})}};
  int refused = 0;
  for (int n = 0; n < Jobs; ++n) {
    const int status =
        site.site().call(0, "POST", "/q/" + jobId(n), job.dump());
    EXPECT_TRUE(status == 200 || status == 429) << status;
    refused += status == 429 ? 1 : 0;
  }
  EXPECT_GT(refused, 0);
  EXPECT_EQ(site.site().call(0, "POST", "/q/" + jobId(0), job.dump()), 200)
      << "an accepted job is submitted once more";
  site.expectWithinLimits();
}

// Guards against agents that are ended for their memory by one legal job, whose
// text stands in each of its starts.
TEST(JobOfManyTasks, LeavesTheAgentWithinItsMemory) {
  CrowdSite site(AgentMemoryMb, 1);
  site.watch(*site.site().Agents[0]);
  const json step = {
      {"count", 4096}, {"cpu", 1}, {"memMb", 1}, {"estimateMs", WorkMs}};
  const json job = {{"spec", std::string(3900, 'x')},
                    {"steps", json::array({step})}};
  EXPECT_EQ(site.site().call(0, "POST", "/q/" + jobId(0), job.dump()), 200);
  absl::SleepFor(WatchTime);
  EXPECT_TRUE(site.completesJob(0)) << "no small job beside the large one";
  site.expectWithinLimits();
}

// Guards against entries that are ended for their memory by tasks that need no
// capacity, all of which start at once on one worker.
TEST(TasksWithoutNeeds, LeaveTheLeaderWithinItsMemory) {
  constexpr int MemoryMb = 64;
  constexpr int Jobs = 8;
  CrowdSite site(MemoryMb, 1);
  site.watch(*site.site().Entries[0]);
  const json step = {{"count", 4096}, {"estimateMs", 20'000}};
  const json job = {{"spec", "x"}, {"steps", json::array({step})}};
  for (int n = 0; n < Jobs; ++n)
    EXPECT_EQ(site.site().call(0, "POST", "/q/" + jobId(n), job.dump()), 200);
  absl::SleepFor(2 * WatchTime);
  site.expectWithinLimits();
}

} // namespace
} // namespace oriolebay::testing_system
