// Workers that list many runs, or runs that have saved long texts.
#include "agentfixture.h"
#include "testnames.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace oriolebay::agent {
namespace {

constexpr size_t MaxSavedBytesPerReport = 64 * 1024;
constexpr size_t MaxEndBytesPerReport = 64 * 1024;
constexpr absl::Duration WatchTime = absl::Seconds(10);

struct ListRow : testnames::NamedRow {
  int Runs;
  size_t SavedBytes;
};

std::string taskOf(int n) { return "j.0.0." + std::to_string(n); }

size_t savedBytes(const endpoints::WorkerReport &report) {
  size_t bytes = 0;
  for (const endpoints::RunningTask &task : report.Running)
    bytes += task.Saved.size();
  return bytes;
}

class LargeLists : public AgentFixture, public testing::TestWithParam<ListRow> {
protected:
  LargeLists() {
    for (int n = 0; n < GetParam().Runs; ++n)
      Running.push_back(
          {taskOf(n), 1, std::string(GetParam().SavedBytes, 's'), 50});
    Loop.advance(absl::Seconds(2));
    Reports.clear();
    KeepAliveCalls.clear();
  }

  /// Has a run end every 20 ms, which the leader acknowledges at once.
  void endRuns(int64_t number) {
    Ended.push_back({number, taskOf(static_cast<int>(number)), 1,
                     endpoints::RunEnd::Done, ""});
    Ack.SeenUpto = number - 1;
    Loop.runAfter(absl::Milliseconds(20),
                  [this, number] { endRuns(number + 1); });
  }
};

// Guards against leaders that lose all agents, because their time goes into
// reading the same long lists for each run that starts or ends.
TEST_P(LargeLists, AreReportedAndPolledAFewTimesASecond) {
  constexpr size_t MaxReportsPerSecond = 6;
  constexpr size_t MaxPollsPerSecond = 10;
  endRuns(1);
  Loop.advance(WatchTime);
  const auto seconds = static_cast<size_t>(absl::ToInt64Seconds(WatchTime));
  EXPECT_LE(Reports.size(), MaxReportsPerSecond * seconds);
  EXPECT_GE(Reports.size(), 2 * seconds) << "the grants come with the answers";
  EXPECT_LE(KeepAliveCalls.size(), MaxPollsPerSecond * seconds);
}

// Guards against leaders that run out of memory and time by what tasks have
// saved; and against tasks that start from the beginning because the leader has
// never heard what they have saved.
TEST_P(LargeLists, NameASavedTextOfEachTaskInTurn) {
  std::map<std::string, int> told;
  Loop.advance(WatchTime);
  for (const endpoints::WorkerReport &report : Reports) {
    EXPECT_LE(savedBytes(report),
              MaxSavedBytesPerReport + GetParam().SavedBytes);
    EXPECT_EQ(report.Running.size(), Running.size());
    for (const endpoints::RunningTask &task : report.Running)
      told[task.Task] += task.Saved.empty() ? 0 : 1;
  }
  for (const auto &[task, times] : told)
    EXPECT_GT(times, 0) << task;
}

INSTANTIATE_TEST_SUITE_P(Table, LargeLists,
                         testing::Values(ListRow{"ManyRuns", 4000, 16},
                                         ListRow{"ManySavedTexts", 1500, 600},
                                         ListRow{"LongSavedTexts", 20,
                                                 200'000}),
                         testnames::rowName);

class FewRuns : public AgentFixture, public testing::Test {};

// Guards against ends of runs that the leader of a small site hears late.
TEST_F(FewRuns, AreReportedAtOnce) {
  for (int n = 0; n < 60; ++n)
    Running.push_back({taskOf(n), 1, std::string(16, 's'), 50});
  Loop.advance(absl::Seconds(2));
  Ended.push_back({1, taskOf(1), 1, endpoints::RunEnd::Done, ""});
  Loop.advance(absl::Milliseconds(520));
  Reports.clear();
  Ended.push_back({2, taskOf(2), 1, endpoints::RunEnd::Done, ""});
  Loop.advance(absl::Milliseconds(20));
  ASSERT_FALSE(Reports.empty());
  EXPECT_EQ(Reports.back().Ended.size(), 2u);
  EXPECT_TRUE(Reports.back().EndsComplete);
}

class LongEnds : public AgentFixture, public testing::Test {};

// Guards against leaders that run out of memory by what ended tasks have saved;
// and against ends that the leader takes for the only ones and never hears of.
TEST_F(LongEnds, AreReportedAFewAtATimeAndAllInTheEnd) {
  constexpr int Ends = 400;
  constexpr size_t SavedBytes = 1000;
  for (int n = 1; n <= Ends; ++n)
    Ended.push_back({n, taskOf(n), 1, endpoints::RunEnd::Stopped,
                     std::string(SavedBytes, 's')});
  Loop.advance(absl::Seconds(2));
  ASSERT_FALSE(Reports.empty());
  EXPECT_FALSE(Reports.back().EndsComplete);
  EXPECT_EQ(Reports.back().Ended.front().Number, 1);
  std::map<int64_t, std::string> heard;
  for (int round = 0; round < 60; ++round) {
    EXPECT_LE(Reports.back().Ended.size() * SavedBytes, MaxEndBytesPerReport);
    for (const endpoints::EndedTask &end : Reports.back().Ended)
      heard[end.Number] = end.Saved;
    Ack.SeenUpto = heard.rbegin()->first;
    Loop.advance(absl::Seconds(1));
  }
  EXPECT_EQ(heard.size(), static_cast<size_t>(Ends));
  EXPECT_TRUE(Reports.back().EndsComplete);
}

} // namespace
} // namespace oriolebay::agent
