// Jobs of which many occurrences are due at once.
#include "simsitesetup.h"
#include "testnames.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

namespace oriolebay::jobs {
namespace {

constexpr int Racks = 2;
constexpr int Repeats = 40;
constexpr int TasksEach = 2;
constexpr int64_t WorkMs = 200;
constexpr int MaxWaitingTasks = 3;
constexpr absl::Duration EndLimit = absl::Minutes(5);
constexpr absl::Duration LeaderChangeInterval = absl::Milliseconds(700);

core::JobSpec repeated(core::StepSpec step, int repeats = Repeats) {
  core::JobSpec spec = jobOf("j", std::move(step));
  spec.Repeats = repeats;
  return spec;
}

core::JobSpec repeatedTasks() {
  return repeated(makeStep(TasksEach, {1000, 1000, 4}, WorkMs));
}

core::JobSpec repeatedGangs() {
  return repeated(makeStep(TasksEach, {1000, 1000, 4}, WorkMs, true));
}

core::JobSpec spreadTasks() {
  core::StepSpec step = makeStep(8, {1000, 1000, 1}, WorkMs);
  step.MaxPerWorker = 1;
  return repeated(step);
}

core::JobSpec chains() {
  core::JobSpec spec = repeatedTasks();
  spec.Steps.push_back(makeStep(1, WholeWorker, WorkMs));
  spec.Steps.back().After = {0};
  return spec;
}

core::JobSpec dueOneByOne() {
  core::JobSpec spec = repeatedTasks();
  spec.IntervalMs = 50;
  return spec;
}

struct ManyCase : testnames::NamedRow {
  core::JobSpec (*Spec)();
  bool LeadersChange = false;
  bool FirstRunsFail = false;
};

SchedulerPolicy fewWaitingTasks() {
  SchedulerPolicy policy;
  policy.MaxWaitingTasks = MaxWaitingTasks;
  return policy;
}

int taskCount(const core::JobSpec &spec) {
  int n = 0;
  for (const core::StepSpec &step : spec.Steps)
    n += step.Count;
  return n * spec.occurrences();
}

class ManyOccurrences : public testing::TestWithParam<ManyCase> {};

// Guards against occurrences that are left out, or run twice, because a leader
// remembers nothing of those that wait and those that are done.
TEST_P(ManyOccurrences, AreAllRunOnce) {
  const ManyCase &c = GetParam();
  SimSite site(fewWaitingTasks());
  addRacks(site, Racks);
  if (c.FirstRunsFail)
    site.RunFails = [](const core::TaskId &, int64_t run) { return run == 1; };
  const core::JobSpec spec = c.Spec();
  site.submit(spec);
  for (int n = 0; c.LeadersChange && n < 6; ++n) {
    site.runFor(LeaderChangeInterval);
    site.changeLeader();
  }
  ASSERT_TRUE(site.runUntilAllEnded(EndLimit));
  EXPECT_EQ(site.state("j"), JobState::Completed);
  if (!c.LeadersChange && !c.FirstRunsFail) {
    EXPECT_EQ(site.starts(), taskCount(spec));
  }
  EXPECT_EQ(site.violations(), std::vector<std::string>());
}

INSTANTIATE_TEST_SUITE_P(
    Table, ManyOccurrences,
    testing::Values(
        ManyCase{"Tasks", repeatedTasks}, ManyCase{"Gangs", repeatedGangs},
        ManyCase{"SpreadTasks", spreadTasks}, ManyCase{"Chains", chains},
        ManyCase{"DueOneByOne", dueOneByOne},
        ManyCase{"TasksThatFail", repeatedTasks, false, true},
        ManyCase{"GangsThatFail", repeatedGangs, false, true},
        ManyCase{"TasksUnderNewLeaders", repeatedTasks, true},
        ManyCase{"GangsUnderNewLeaders", repeatedGangs, true},
        ManyCase{"SpreadTasksUnderNewLeaders", spreadTasks, true},
        ManyCase{"ChainsUnderNewLeaders", chains, true},
        ManyCase{"FailuresUnderNewLeaders", repeatedTasks, true, true}),
    testnames::rowName);

struct LargeCase : testnames::NamedRow {
  bool Gang;
  int TasksEach;
  int Repeats;
};

class LargeJobs : public testing::TestWithParam<LargeCase> {
protected:
  static constexpr int Jobs = 12;
  /// Tasks that the site can hold at the same time.
  static constexpr size_t Slots = size_t{Racks} * 3 * 8;

  void submitLarge(SimSite &site) {
    const LargeCase &c = GetParam();
    core::JobSpec spec = repeated(
        makeStep(c.TasksEach, {1000, 1000, 1}, WorkMs, c.Gang), c.Repeats);
    for (int n = 0; n < Jobs; ++n) {
      spec.Id = "large" + std::to_string(n);
      site.submit(spec, 2);
    }
  }
};

// Guards against leaders that exceed their memory, one after the other, because
// each keeps the state of all tasks that are due.
TEST_P(LargeJobs, TakeMemoryForTheTasksThatRun) {
  SimSite site;
  addRacks(site, Racks);
  submitLarge(site);
  site.runFor(absl::Seconds(5));
  EXPECT_LE(site.scheduler().rememberedTaskCount(), 3 * Slots);
  site.changeLeader();
  site.runFor(absl::Seconds(2));
  EXPECT_LE(site.scheduler().rememberedTaskCount(), 3 * Slots);
  EXPECT_GT(site.starts(), 0);
}

// Guards against small jobs that wait behind all that is due of large ones.
TEST_P(LargeJobs, LetAMoreUrgentJobStart) {
  SimSite site;
  addRacks(site, Racks);
  submitLarge(site);
  site.runFor(absl::Seconds(1));
  site.submit(jobOf("small", makeStep(1, {1000, 1000, 0}, WorkMs), "org-b"), 1);
  site.runFor(absl::Seconds(3));
  EXPECT_EQ(site.state("small"), JobState::Completed);
}

// Guards against small jobs that wait until nothing is due of the large jobs of
// their priority that came before them.
TEST(RepeatedJobs, TakeTurnsWithOthersOfTheirPriority) {
  SimSite site;
  addRacks(site, Racks);
  for (const char *id : {"large0", "large1"}) {
    core::JobSpec spec = repeated(makeStep(16, {1000, 1000, 1}, WorkMs), 1000);
    spec.Id = id;
    site.submit(spec);
  }
  site.runFor(absl::Seconds(2));
  site.submit(jobOf("small", makeStep(1, {1000, 1000, 1}, WorkMs), "org-b"));
  site.runFor(absl::Seconds(3));
  EXPECT_EQ(site.state("small"), JobState::Completed);
}

INSTANTIATE_TEST_SUITE_P(Table, LargeJobs,
                         testing::Values(LargeCase{"Tasks", false, 64, 1000},
                                         LargeCase{"Gangs", true, 32, 1000},
                                         LargeCase{"Wide", false, 4096, 16},
                                         LargeCase{"Once", false, 4096, 0}),
                         testnames::rowName);

// Guards against a leader that exceeds its memory by what an earlier version
// has stored, which lists each task that is due.
TEST(ProgressOfAnEarlierVersion, LeavesUntouchedTasksOut) {
  SimSite site;
  site.submit(repeated(makeStep(64, {1000, 1000, 1}, WorkMs), 1000));
  JobProgress progress{1, JobState::Running, {}};
  for (int number = 0; number < 1000; ++number)
    progress.Tasks[number] = {StepProgress(64, number < 500)};
  const JobProgress read = decodeProgress(encode(progress)).value();
  site.scheduler().onProgress("j", read, 1, site.now());
  EXPECT_EQ(site.scheduler().rememberedTaskCount(), 0u);
}

// Guards against a job that stands still for good, because its record names the
// failed tasks of all its occurrences and is too large for the store.
TEST(FailingOccurrences, BeginAFewAtATime) {
  constexpr int MaxOpen = 6;
  SchedulerPolicy policy;
  policy.MaxOpenTasks = MaxOpen * TasksEach;
  SimSite site(policy);
  addRacks(site, Racks);
  site.RunFails = [](const core::TaskId &, int64_t run) { return run == 1; };
  site.submit(repeatedTasks());
  size_t most = 0;
  const absl::Time giveUpAt = site.now() + EndLimit;
  while (site.state("j") != JobState::Completed && site.now() < giveUpAt) {
    site.runFor(absl::Milliseconds(SimSite::StepMs));
    most = std::max(most, site.scheduler().progress("j")->Tasks.size());
  }
  EXPECT_EQ(site.state("j"), JobState::Completed);
  EXPECT_EQ(site.starts(), 2 * Repeats * TasksEach);
  EXPECT_LE(most, static_cast<size_t>(MaxOpen));
}

// Guards against leaders that end because of a record whose revision was
// changed on its way, which left a job without steps.
TEST(RecordWithoutARevision, IsNoJob) {
  SimSite site;
  addRacks(site, 1);
  JobRecord record;
  record.Spec = jobOf("j", makeStep(1, {1000, 1000, 1}, WorkMs));
  site.scheduler().onRecord(record, 0, site.now());
  site.runFor(absl::Seconds(1));
  EXPECT_EQ(site.scheduler().unfinishedJobCount(), 0u);
}

// Guards against tasks that need no capacity, all of which start at once and
// use up the memory of the leader.
TEST(TasksWithoutNeeds, StartAsFarAsTheyCanBeRemembered) {
  constexpr size_t Most = 10;
  SchedulerPolicy policy;
  policy.MaxRememberedTasks = Most;
  SimSite site(policy);
  addRacks(site, Racks);
  site.submit(jobOf("j", makeStep(50, {0, 0, 0}, WorkMs)));
  size_t most = 0;
  while (site.state("j") != JobState::Completed &&
         site.now() < absl::UnixEpoch() + absl::Hours(2)) {
    site.runFor(absl::Milliseconds(SimSite::StepMs));
    most = std::max(most, site.scheduler().rememberedTaskCount());
  }
  EXPECT_EQ(site.state("j"), JobState::Completed);
  EXPECT_LE(most, Most);
}

// Guards against orders, reports and records that grow with the number of tasks
// that need no capacity.
TEST(TasksWithoutNeeds, StartAFewAtATimeOnEachWorker) {
  SchedulerPolicy policy;
  policy.MaxRunsPerWorker = 20;
  policy.MaxUnconfirmedStarts = 5;
  SimSite site(policy);
  addRacks(site, 1);
  site.worker("w00").DropsOrders = true;
  site.submit(jobOf("j", makeStep(200, {0, 0, 0}, WorkMs)));
  size_t most = 0;
  for (int n = 0; n < 50; ++n) {
    site.runFor(absl::Milliseconds(SimSite::StepMs));
    const auto workers = site.workersOf("j");
    most = std::max({most, workers.count("w01"), workers.count("w02")});
  }
  EXPECT_LE(most, 20u);
  EXPECT_GT(most, 5u);
  const JobProgress progress = *site.scheduler().progress("j");
  const auto &tasks = progress.Tasks.at(0).front().objects();
  EXPECT_EQ(std::count_if(tasks.begin(), tasks.end(),
                          [](const auto &entry) {
                            return entry.second.Worker.Id == "w00";
                          }),
            5);
  site.worker("w00").DropsOrders = false;
  EXPECT_TRUE(site.runUntilAllEnded(absl::Minutes(1)));
}

} // namespace
} // namespace oriolebay::jobs
