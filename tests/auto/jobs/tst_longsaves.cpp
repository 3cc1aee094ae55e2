// Tasks that save long texts, in the leader's memory and in its records.
#include "simsitesetup.h"
#include "testnames.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace oriolebay::jobs {
namespace {

constexpr core::Resources SmallTask = {10, 10, 0};
constexpr int64_t WorkMs = 3000;

size_t savesOmitted(const SimSite &site) {
  return static_cast<size_t>(
      std::count_if(site.Log.begin(), site.Log.end(), [](const Decision &d) {
        return d.What == Decision::Kind::SavesOmitted;
      }));
}

struct SavedRow : testnames::NamedRow {
  int Tasks;
  size_t SavedBytes;
};

class TasksThatSaveLongTexts : public testing::TestWithParam<SavedRow> {
protected:
  static constexpr int LargeJobs = 4;
  static constexpr size_t MaxSavedBytes = 100'000;

  static SchedulerPolicy limited() {
    SchedulerPolicy policy;
    policy.MaxSavedBytes = MaxSavedBytes;
    return policy;
  }
  TasksThatSaveLongTexts() : Site(limited()) {
    Site.SavedPadding = GetParam().SavedBytes;
    addRacks(Site, 2);
    for (int n = 0; n < LargeJobs; ++n)
      Site.submit(jobOf(
          "large" + std::to_string(n),
          withCheckpoints(makeStep(GetParam().Tasks, SmallTask, 20 * WorkMs))));
    Site.runFor(absl::Seconds(3));
  }

  SimSite Site;
};

// Guards against leaders that run out of memory by what tasks have saved.
TEST_P(TasksThatSaveLongTexts, LeaveTheLeaderWithinItsMemory) {
  for (int n = 0; n < 20; ++n) {
    Site.scheduler().tick(Site.now());
    EXPECT_LE(Site.scheduler().savedBytes(), MaxSavedBytes);
    Site.runFor(absl::Milliseconds(500));
  }
  EXPECT_GT(Site.scheduler().savedBytes(), MaxSavedBytes / 3);
  EXPECT_GT(savesOmitted(Site), 0u) << "the decision is in the log";
}

// Guards against entries and links that have no time left for other jobs,
// because the whole record of a large one follows each of its changes.
TEST_P(TasksThatSaveLongTexts, AreRecordedAtABoundedRate) {
  const SchedulerPolicy policy;
  constexpr int Seconds = 20;
  size_t largeBytes = 0;
  size_t largest = 0;
  Site.OnWrite = [&](const ProgressWrite &write) {
    largest = std::max(largest, write.Value.size());
    if (write.Value.size() > policy.SmallRecordBytes)
      largeBytes += write.Value.size();
  };
  for (int n = 0; n < 10 * Seconds; ++n) {
    // Something of each job changes all the time.
    for (int job = 0; job < LargeJobs; ++job)
      Site.scheduler().onWriteFailed("large" + std::to_string(job));
    Site.runFor(absl::Milliseconds(100));
  }
  EXPECT_LE(static_cast<double>(largeBytes) / Seconds,
            policy.LargeRecordBytesPerSecond + largest);
  EXPECT_GT(largeBytes, 0u);
}

INSTANTIATE_TEST_SUITE_P(Table, TasksThatSaveLongTexts,
                         testing::Values(SavedRow{"ManyTasks", 1000, 60},
                                         SavedRow{"LongTexts", 100, 2000},
                                         SavedRow{"VeryLongTexts", 8, 30'000}),
                         testnames::rowName);

// Guards against small jobs that start late, because their records wait for
// those of large ones.
TEST(SmallRecords, DoNotWaitForLargeOnes) {
  SchedulerPolicy policy;
  policy.LargeRecordBytesPerSecond = 1000;
  SimSite site(policy);
  site.SavedPadding = 1000;
  addRacks(site, 2);
  for (int n = 0; n < 3; ++n)
    site.submit(jobOf("large" + std::to_string(n),
                      withCheckpoints(makeStep(200, SmallTask, 20 * WorkMs))));
  site.runFor(absl::Seconds(5));
  for (int n = 0; n < 10; ++n) {
    const std::string id = "small" + std::to_string(n);
    site.submit(jobOf(id, makeStep(1, SmallTask, 100)));
    site.runFor(absl::Milliseconds(100));
    ASSERT_TRUE(site.waitTime(id).has_value()) << id;
    EXPECT_LE(*site.waitTime(id), absl::Milliseconds(50)) << id;
  }
  site.cancel("large0");
  site.runFor(absl::Milliseconds(100));
  EXPECT_EQ(site.state("large0"), JobState::Cancelled)
      << "the end of a job does not wait either";
}

// Guards against tasks that start from the beginning, because the longer texts
// of others have taken the memory for what they have saved.
TEST(ShortSavedTexts, AreKeptBesideLongOnes) {
  SchedulerPolicy policy;
  policy.MaxSavedBytes = 50'000;
  SimSite site(policy);
  addRacks(site, 1);
  site.submit(
      jobOf("short", withCheckpoints(makeStep(1, SmallTask, 10 * WorkMs))));
  site.runFor(absl::Seconds(4));
  site.SavedPadding = 2000;
  site.submit(
      jobOf("long", withCheckpoints(makeStep(100, SmallTask, 10 * WorkMs))));
  site.runFor(absl::Milliseconds(2500));
  site.SavedPadding = 0;
  site.runFor(absl::Seconds(1));
  const std::string worker = *site.workersOf("short").begin();
  site.crash(worker);
  site.runFor(absl::Seconds(12));
  ASSERT_FALSE(site.workersOf("short").empty());
  EXPECT_FALSE(
      site.scheduler().progress("short")->Tasks.at(0)[0][0].Saved.empty());
}

} // namespace
} // namespace oriolebay::jobs
