// Thousands of tasks that run at the same time and have saved long texts.
#include "crowdsite.h"
#include "testnames.h"

#include <absl/time/clock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace oriolebay::testing_system {
namespace {

using nlohmann::json;

constexpr int MemoryMb = 120;
constexpr int Workers = 3;
constexpr int LargeJobs = 4;
constexpr int TasksEach = 2000;
constexpr int64_t WorkMs = 8000;
/// Time in which the large jobs are all at work.
constexpr absl::Duration WatchTime = absl::Seconds(12);
constexpr absl::Duration SmallJobInterval = absl::Milliseconds(500);

struct RunningRow : testnames::NamedRow {
  size_t SavedBytes;
};

class ManyRunningTasks : public testing::TestWithParam<RunningRow> {};

std::string largeJob() {
  const json step = {{"count", TasksEach},
                     {"cpu", 1},
                     {"memMb", 1},
                     {"savesProgress", true},
                     {"estimateMs", WorkMs}};
  return json{{"spec", std::to_string(WorkMs)}, {"steps", json::array({step})}}
      .dump();
}

// Guards against a load of legal jobs that a leader starts at once and cannot
// serve: it is ended for its memory, all runs lapse and start again, and no job
// of anybody is completed.
TEST_P(ManyRunningTasks, LeaveTheLeaderTimeAndMemoryForOthers) {
  CrowdSite site(MemoryMb, 1, Workers, GetParam().SavedBytes);
  site.watch(*site.site().Entries[0]);
  for (int n = 0; n < LargeJobs; ++n)
    EXPECT_EQ(site.site().call(0, "POST", "/q/" + jobId(n), largeJob()), 200);
  const absl::Time end = absl::Now() + WatchTime;
  while (absl::Now() < end) {
    EXPECT_TRUE(site.completesJob(0)) << "no small job beside the large ones";
    absl::SleepFor(SmallJobInterval);
  }
  for (int n = 0; n < LargeJobs; ++n)
    EXPECT_EQ(site.site().runs().startCount(jobId(n)), TasksEach)
        << "each task runs once";
  EXPECT_EQ(site.site().runs().violations(), std::vector<std::string>());
  site.expectWithinLimits();
}

INSTANTIATE_TEST_SUITE_P(Table, ManyRunningTasks,
                         testing::Values(RunningRow{"ShortTexts", 16},
                                         RunningRow{"LongTexts", 600}),
                         testnames::rowName);

// Guards against agents that are ended for their memory by what the runs of
// their worker have saved.
TEST(LongSavedTexts, LeaveTheAgentWithinItsMemory) {
  constexpr size_t SavedBytes = 8000;
  CrowdSite site(MemoryMb, 1, 1, SavedBytes);
  site.watch(*site.site().Agents[0]);
  EXPECT_EQ(site.site().call(0, "POST", "/q/" + jobId(0), largeJob()), 200);
  absl::SleepFor(WatchTime);
  EXPECT_TRUE(site.completesJob(0)) << "no small job beside the large one";
  EXPECT_EQ(site.site().runs().startCount(jobId(0)), TasksEach);
  site.expectWithinLimits();
}

} // namespace
} // namespace oriolebay::testing_system
