// Tests of decisions on estimates that turn out to be wrong.
#include "simsite.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <ostream>
#include <string>

namespace oriolebay::jobs {
namespace {

constexpr core::Resources WholeWorker = {32000, 65536, 8};

core::JobSpec makeWholeWorkerJob(const std::string &id,
                                 const std::string &queue, int64_t estimateMs) {
  core::StepSpec step;
  step.PerTask = {1000, 1000, 8};
  step.EstimateMs = estimateMs;
  core::JobSpec spec = jobOf(id, step);
  spec.Queue = queue;
  return spec;
}

struct EstimateCase {
  const char *Name;
  /// How much longer or shorter than estimated the earlier urgent tasks were.
  double Error;
  double SlackDeviations;
  bool StopsOthers;
  /// The operator renames the queue before the last job comes.
  bool IsQueueRenamed = false;
};

void PrintTo(const EstimateCase &c, std::ostream *out) { *out << c.Name; }

class UrgentWork : public testing::TestWithParam<EstimateCase> {
protected:
  static SchedulerPolicy policy() {
    SchedulerPolicy p;
    p.SlackDeviations = GetParam().SlackDeviations;
    return p;
  }
  UrgentWork() : Site(policy()) {
    Config.Version = 2;
    for (const char *name : {"urgent", "batch"})
      Config.Queues.push_back(makeQueue(name, 1.5, 250));
    Site.configure(Config);
    Site.WorkTime = [](const core::TaskId &id, const core::StepSpec &step) {
      const bool isLonger = id.Job.rfind("longer", 0) == 0;
      const bool isShorter = id.Job.rfind("shorter", 0) == 0;
      const double factor = isLonger    ? GetParam().Error
                            : isShorter ? 1 / GetParam().Error
                                        : 1;
      return absl::Milliseconds(step.EstimateMs) * factor;
    };
    Site.addWorker("w", "r", WholeWorker);
    Site.runFor(absl::Milliseconds(1200));
  }
  /// Runs urgent jobs, half of which take longer and half shorter than
  /// estimated.
  void runEarlierJobs() {
    for (int n = 0; n < 12; ++n) {
      const std::string id =
          (n % 2 == 0 ? "longer" : "shorter") + std::to_string(n);
      Site.submit(makeWholeWorkerJob(id, "urgent", 400), 0);
      ASSERT_TRUE(Site.runUntilAllEnded(absl::Seconds(5)));
    }
  }

  void renameUrgentQueue(const std::string &name) {
    ++Config.Version;
    Config.Queues.front().Name = name;
    Site.configure(Config);
  }

  core::SiteConfig Config;
  SimSite Site;
};

// Guards against urgent jobs that wait for others because their estimates,
// which are often off, seem to leave them the time.
TEST_P(UrgentWork, WaitsOnlyIfItHasTheTimeWhateverItsEstimateIsWorth) {
  std::string urgent = "urgent";
  runEarlierJobs();
  if (GetParam().IsQueueRenamed)
    renameUrgentQueue(urgent = "renamed");
  Site.submit(makeWholeWorkerJob("batch", "batch", 3000), 1);
  Site.runFor(absl::Milliseconds(2450));
  Site.submit(makeWholeWorkerJob("late", urgent, 2000), 0);
  Site.runFor(absl::Milliseconds(100));
  const bool stopped =
      std::any_of(Site.Log.begin(), Site.Log.end(), [](const Decision &d) {
        return d.What == Decision::Kind::Stopping && d.Job == "batch";
      });
  EXPECT_EQ(stopped, GetParam().StopsOthers);
}

INSTANTIATE_TEST_SUITE_P(
    Table, UrgentWork,
    testing::Values(EstimateCase{"estimates_are_right", 1, 1, false},
                    EstimateCase{"estimates_are_off", 2, 1, true},
                    EstimateCase{"queue_with_wrong_estimates_is_renamed", 2, 1,
                                 true, true},
                    EstimateCase{"estimates_are_off_but_trusted", 2, 0, false}),
    [](const auto &test) { return std::string(test.param.Name); });

} // namespace
} // namespace oriolebay::jobs
