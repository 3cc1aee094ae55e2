// Tests of what is logged and counted of steps whose tasks do not run.
#include "simsite.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace oriolebay::jobs {
namespace {

constexpr int64_t LongMs = 600000;
constexpr int64_t Unknown = -1;

core::StepSpec taskStep(int count, int64_t accelerators,
                        int64_t estimateMs = LongMs) {
  core::StepSpec s;
  s.Count = count;
  s.PerTask = {1000, 1000, accelerators};
  s.EstimateMs = estimateMs;
  return s;
}

core::StepSpec gangStep(int count, int64_t accelerators) {
  core::StepSpec s = taskStep(count, accelerators);
  s.Gang = true;
  return s;
}

void addWorkers(SimSite &site, int count) {
  for (int n = 0; n < count; ++n)
    site.addWorker("w" + std::to_string(n), "r0");
  site.runFor(absl::Milliseconds(1100));
}

/// Lets the worker list a run of a job that is done, for as long as the test
/// takes.
void listUnexpectedRun(SimSite &site, const std::string &worker) {
  site.StopDuration = absl::Hours(1);
  SimSite::Run late;
  late.Order = {"past.0.0.0", 1, "", "", "", {}};
  late.StartedAt = site.now();
  late.RequiredWork = absl::Hours(1);
  site.worker(worker).Runs[{"past.0.0.0", 1}] = late;
  site.runFor(absl::Milliseconds(600));
}

void finishPastJob(SimSite &site) {
  site.submit(jobOf("past", taskStep(1, 1, 100)));
  site.runFor(absl::Milliseconds(600));
}

void reportUnreachable(SimSite &site, const std::string &worker) {
  SimSite::Worker &state = site.worker(worker);
  state.Partitioned = true;
  endpoints::WorkerReport report;
  report.Worker = state.State;
  report.Agent = state.Agent;
  report.AgentAddress = state.Agent;
  report.Sequence = ++state.Sequence;
  report.Epoch = state.ObservedEpoch;
  report.Reachable = false;
  report.StartsKnownForMs = state.StartsKnownForMs;
  site.scheduler().onReport(report, site.now());
}

const Decision *lastLine(const SimSite &site, Decision::Kind kind,
                         const std::string &job) {
  auto it =
      std::find_if(site.Log.rbegin(), site.Log.rend(), [&](const Decision &d) {
        return d.What == kind && d.Job == job;
      });
  return it == site.Log.rend() ? nullptr : &*it;
}

int64_t countLines(const SimSite &site, Decision::Kind kind,
                   const std::string &job) {
  return std::count_if(
      site.Log.begin(), site.Log.end(),
      [&](const Decision &d) { return d.What == kind && d.Job == job; });
}

/// A condition that keeps job "j" waiting.
struct WaitCase {
  const char *Name;
  std::function<void(SimSite &)> SetUp;
  WaitReason Reason;
  /// Bounds of the time until the condition ends, as logged.
  int64_t MinEndsInMs = Unknown;
  int64_t MaxEndsInMs = Unknown;
  const char *Worker = "";
};

void PrintTo(const WaitCase &c, std::ostream *out) { *out << c.Name; }

class WaitingJob : public testing::TestWithParam<WaitCase> {};

// Guards against a job that waits and of which no log tells what for.
TEST_P(WaitingJob, IsLoggedWithItsReasonAndItsEnd) {
  SchedulerPolicy policy;
  policy.Headroom = 1000;
  SimSite site(policy);
  GetParam().SetUp(site);
  const Decision *line = lastLine(site, Decision::Kind::Waiting, "j");
  ASSERT_NE(line, nullptr);
  EXPECT_EQ(line->Texts.at("reason"), waitReasonName(GetParam().Reason));
  EXPECT_GE(line->input("ends_in_ms"), GetParam().MinEndsInMs);
  EXPECT_LE(line->input("ends_in_ms"), GetParam().MaxEndsInMs);
  EXPECT_EQ(line->Worker, GetParam().Worker);
  EXPECT_GE(line->input("waits_ms"), line->input("reason_ms"));
  EXPECT_GT(line->input("tasks"), 0);
  EXPECT_FALSE(line->Why.empty());
  EXPECT_EQ(site.scheduler().waitSummary().Steps.count(GetParam().Reason), 1u);
}

std::vector<WaitCase> waitCases() {
  return {
      {"start_not_recorded",
       [](SimSite &site) {
         addWorkers(site, 1);
         site.StoreDown = true;
         site.submit(jobOf("j", taskStep(1, 8)));
         site.runFor(absl::Seconds(3));
       },
       WaitReason::StartNotRecorded, Unknown, Unknown, "w0"},
      {"start_unconfirmed",
       [](SimSite &site) {
         addWorkers(site, 1);
         site.worker("w0").DropsOrders = true;
         site.submit(jobOf("j", taskStep(1, 8)));
         site.runFor(absl::Seconds(3));
       },
       WaitReason::StartUnconfirmed, Unknown, Unknown, "w0"},
      {"run_unresolved",
       [](SimSite &site) {
         addWorkers(site, 1);
         site.submit(jobOf("j", taskStep(1, 8)));
         site.runFor(absl::Seconds(1));
         site.changeLeader();
         site.worker("w0").ObservedEpoch = 0;
         site.worker("w0").Runs.clear();
         site.runFor(absl::Seconds(4));
       },
       WaitReason::RunUnresolved, Unknown, Unknown, "w0"},
      {"unreported_worker",
       [](SimSite &site) {
         addWorkers(site, 2);
         site.submit(jobOf("j", gangStep(2, 8)));
         site.runFor(absl::Seconds(1));
         site.crash("w0");
         site.changeLeader();
         site.runFor(absl::Seconds(3));
       },
       WaitReason::UnreportedWorker, 10500, 13500, "w0"},
      {"silent_worker",
       [](SimSite &site) {
         addWorkers(site, 1);
         site.submit(jobOf("j", taskStep(1, 8)));
         site.runFor(absl::Seconds(1));
         site.worker("w0").Partitioned = true;
         site.runFor(absl::Seconds(4));
       },
       WaitReason::SilentWorker, 2000, 4500, "w0"},
      {"awaits_stop",
       [](SimSite &site) {
         addWorkers(site, 2);
         site.StopDuration = absl::Hours(1);
         site.submit(jobOf("j", gangStep(2, 8)));
         site.runFor(absl::Seconds(1));
         site.crash("w0", "w0-next");
         site.runFor(absl::Seconds(3));
       },
       WaitReason::AwaitsStop, Unknown, Unknown, "w1"},
      {"start_barred",
       [](SimSite &site) {
         addWorkers(site, 1);
         site.submit(jobOf("j", taskStep(1, 8)));
         site.worker("w0").OpenStarts = {{"j.0.0.0", 1, 14000}};
         site.runFor(absl::Seconds(1));
         site.crash("w0");
         site.addWorker("w1", "r0");
         site.runFor(absl::Seconds(9));
       },
       WaitReason::StartBarred, 4000, 9000, "w0"},
      {"run_still_listed",
       [](SimSite &site) {
         addWorkers(site, 1);
         finishPastJob(site);
         site.submit(jobOf("other", taskStep(1, 8)));
         site.submit(jobOf("j", taskStep(1, 8)));
         site.StopDuration = absl::Hours(1);
         SimSite::Run late;
         late.Order = {"j.0.0.0", 1, "", "", "", {}};
         late.RequiredWork = absl::Hours(1);
         site.worker("w0").Runs[{"j.0.0.0", 1}] = late;
         site.runFor(absl::Seconds(5));
       },
       WaitReason::RunStillListed, Unknown, Unknown, "w0"},
      {"gang_incomplete",
       [](SimSite &site) {
         addWorkers(site, 2);
         site.submit(jobOf("other", gangStep(2, 8)));
         site.submit(jobOf("j", gangStep(2, 8)));
         JobProgress progress{1, JobState::Running, {}};
         progress.Tasks[0] = {std::vector<TaskProgress>(2)};
         progress.Tasks[0][0][0].Done = true;
         site.scheduler().onProgress("j", progress, 1, site.now());
         site.runFor(absl::Seconds(4));
       },
       WaitReason::GangIncomplete},
      {"fleet_unknown",
       [](SimSite &site) { site.submit(jobOf("j", taskStep(1, 8))); },
       WaitReason::FleetUnknown, 1000, 1000},
      {"no_eligible_worker",
       [](SimSite &site) {
         addWorkers(site, 1);
         core::StepSpec step = taskStep(1, 1);
         step.NeedsLabel = "no worker has it";
         site.submit(jobOf("j", step));
         site.runFor(absl::Seconds(2));
       },
       WaitReason::NoEligibleWorker},
      {"exceeds_capacity",
       [](SimSite &site) {
         addWorkers(site, 2);
         site.submit(jobOf("j", gangStep(3, 8)));
         site.runFor(absl::Seconds(2));
       },
       WaitReason::ExceedsCapacity},
      {"cordoned",
       [](SimSite &site) {
         addWorkers(site, 1);
         site.worker("w0").State.FailureDomain = "d0";
         site.runFor(absl::Seconds(1));
         site.scheduler().onCordons({{"d0"}});
         site.submit(jobOf("j", taskStep(1, 8)));
         site.runFor(absl::Seconds(2));
       },
       WaitReason::Cordoned},
      {"rack_unusable",
       [](SimSite &site) {
         addWorkers(site, 2);
         site.addWorker("w2", "r1");
         finishPastJob(site);
         listUnexpectedRun(site, "w0");
         core::StepSpec step = gangStep(2, 8);
         step.SameRack = true;
         site.submit(jobOf("j", step));
         site.runFor(absl::Seconds(2));
       },
       WaitReason::RackUnusable},
      {"headroom",
       [](SimSite &site) {
         addWorkers(site, 8);
         site.runFor(absl::Seconds(1));
         site.submit(jobOf("batch", taskStep(7, 8)));
         site.submit(jobOf("urgent", taskStep(1, 1, 100)), 0);
         site.runFor(absl::Seconds(1));
         site.submit(jobOf("j", taskStep(1, 8)));
         site.runFor(absl::Seconds(2));
       },
       WaitReason::Headroom},
      {"reserved",
       [](SimSite &site) {
         addWorkers(site, 2);
         site.submit(jobOf("batch", taskStep(1, 8)));
         site.runFor(absl::Milliseconds(100));
         site.submit(jobOf("large", gangStep(2, 8)));
         site.runFor(absl::Milliseconds(100));
         site.submit(jobOf("j", taskStep(1, 1, LongMs * 2)));
         site.runFor(absl::Seconds(2));
       },
       WaitReason::Reserved},
      {"suspect_isolation",
       [](SimSite &site) {
         addWorkers(site, 2);
         site.RestartDelay = absl::Hours(1);
         site.CrashesWorker = [](const core::TaskId &id) {
           return id.Job == "bad";
         };
         site.worker("w1").DropsOrders = true;
         site.submit(jobOf("bad", taskStep(1, 1)));
         site.runFor(absl::Seconds(1));
         site.submit(jobOf("j", taskStep(1, 1)));
         site.runFor(absl::Seconds(2));
       },
       WaitReason::SuspectIsolation},
      {"avoids",
       [](SimSite &site) {
         addWorkers(site, 2);
         site.submit(jobOf("other", taskStep(1, 8)));
         site.runFor(absl::Milliseconds(100));
         const std::string empty =
             site.workersOf("other").count("w0") != 0 ? "w1" : "w0";
         site.worker(empty).FailsAll = true;
         site.submit(jobOf("j", taskStep(1, 8)));
         site.runFor(absl::Seconds(3));
       },
       WaitReason::Avoids},
      {"max_per_worker",
       [](SimSite &site) {
         addWorkers(site, 2);
         core::StepSpec step = taskStep(4, 1);
         step.MaxPerWorker = 1;
         site.submit(jobOf("j", step));
         site.runFor(absl::Seconds(3));
       },
       WaitReason::MaxPerWorker},
      {"quarantined",
       [](SimSite &site) {
         addWorkers(site, 1);
         site.worker("w0").FailsAll = true;
         site.submit(jobOf("bad", taskStep(1, 8)), 1, 2);
         site.runFor(absl::Seconds(1));
         site.submit(jobOf("j", taskStep(1, 8)));
         site.runFor(absl::Seconds(1));
       },
       WaitReason::Quarantined, 2000, 4000},
      {"unexpected_runs",
       [](SimSite &site) {
         addWorkers(site, 1);
         finishPastJob(site);
         listUnexpectedRun(site, "w0");
         site.submit(jobOf("j", taskStep(1, 8)));
         site.runFor(absl::Seconds(2));
       },
       WaitReason::UnexpectedRuns},
      {"late_stops",
       [](SimSite &site) {
         addWorkers(site, 1);
         site.submit(jobOf("other", taskStep(1, 1)));
         site.worker("w0").OpenStarts = {{"other.0.0.0", 1, 14000}};
         site.runFor(absl::Seconds(1));
         site.crash("w0");
         site.runFor(absl::Seconds(8));
         site.addWorker("w0", "r0").State.Life.BornMs = 2;
         site.worker("w0").DropsOrders = true;
         site.runFor(absl::Seconds(1));
         site.submit(jobOf("j", taskStep(1, 8)));
         site.runFor(absl::Seconds(2));
       },
       WaitReason::LateStops, 3000, 6000},
      {"unreachable",
       [](SimSite &site) {
         addWorkers(site, 1);
         reportUnreachable(site, "w0");
         site.submit(jobOf("j", taskStep(1, 8)));
         site.runFor(absl::Seconds(1));
       },
       WaitReason::Unreachable, 5000, 6000},
      {"silent",
       [](SimSite &site) {
         addWorkers(site, 1);
         site.worker("w0").Partitioned = true;
         site.runFor(absl::Seconds(2));
         site.submit(jobOf("j", taskStep(1, 8)));
         site.runFor(absl::Seconds(1));
       },
       WaitReason::Silent, 3000, 4500},
      {"draining",
       [](SimSite &site) {
         addWorkers(site, 1);
         site.drain("w0", absl::Minutes(1));
         site.submit(jobOf("j", taskStep(1, 8)));
         site.runFor(absl::Seconds(1));
       },
       WaitReason::Draining},
      {"several_conditions",
       [](SimSite &site) {
         addWorkers(site, 2);
         finishPastJob(site);
         listUnexpectedRun(site, "w0");
         site.drain("w1", absl::Minutes(1));
         site.submit(jobOf("j", gangStep(2, 8)));
         site.runFor(absl::Seconds(1));
       },
       WaitReason::SeveralConditions},
      {"too_few_usable_workers",
       [](SimSite &site) {
         addWorkers(site, 2);
         finishPastJob(site);
         site.submit(jobOf("other", taskStep(2, 8)));
         listUnexpectedRun(site, "w0");
         site.submit(jobOf("j", gangStep(2, 8)));
         site.runFor(absl::Seconds(1));
       },
       WaitReason::TooFewUsableWorkers},
      {"follows_own_tasks",
       [](SimSite &site) {
         core::SiteConfig config;
         core::QueueConfig queue;
         queue.Name = "q";
         queue.Service = "service";
         queue.Stretch = 50;
         config.Queues.push_back(queue);
         site.configure(config);
         addWorkers(site, 2);
         site.runFor(absl::Seconds(1));
         site.submit(jobOf("j", taskStep(4, 8, 5000)), 0);
         site.runFor(absl::Seconds(2));
       },
       WaitReason::FollowsOwnTasks},
      {"no_capacity",
       [](SimSite &site) {
         addWorkers(site, 1);
         site.submit(jobOf("other", taskStep(1, 8)));
         site.submit(jobOf("j", taskStep(1, 8)));
         site.runFor(absl::Seconds(2));
       },
       WaitReason::NoCapacity},
  };
}

INSTANTIATE_TEST_SUITE_P(Table, WaitingJob, testing::ValuesIn(waitCases()),
                         [](const auto &info) { return info.param.Name; });

// Guards against a job that waits while most of the site is free, and of which
// nobody hears.
TEST(WaitBesideFreeWorkers, IsLoggedOnceItIsLongerThanExpected) {
  SimSite site;
  addWorkers(site, 4);
  site.submit(jobOf("j", taskStep(1, 8)));
  site.runFor(absl::Seconds(1));
  const std::string worker = *site.workersOf("j").begin();
  site.crash(worker);
  site.changeLeader();
  site.runFor(absl::Seconds(9));
  constexpr auto Kind = Decision::Kind::WaitsBesideFreeWorkers;
  EXPECT_EQ(countLines(site, Kind, "j"), 0);
  site.runFor(absl::Seconds(3));
  ASSERT_EQ(countLines(site, Kind, "j"), 1);
  const Decision &line = *lastLine(site, Kind, "j");
  EXPECT_EQ(line.Texts.at("reason"), "unreported_worker");
  EXPECT_EQ(line.Texts.at("needs").substr(0, 8), "1x1000m/");
  EXPECT_EQ(line.Worker, worker);
  EXPECT_EQ(line.input("tasks"), 1);
  EXPECT_EQ(line.input("newly"), 1);
  EXPECT_EQ(line.input("usable_workers"), 3);
  EXPECT_EQ(line.input("free_accelerators"), 24);
  EXPECT_EQ(line.input("accelerators"), 24);
  EXPECT_GE(line.input("beside_free_ms"), 10000);
  EXPECT_GE(line.input("waits_ms"), line.input("beside_free_ms"));
  EXPECT_GT(line.input("ends_in_ms"), 1500);
  EXPECT_LE(line.input("ends_in_ms"), 3500);
  EXPECT_GE(site.scheduler().waitSummary().LongestBesideFree, MaxExpectedWait);
}

// Guards against an alarm for work that waits because the site is busy.
TEST(WaitBesideFreeWorkers, IsNotAssumedWhileHalfOfTheSiteIsInUse) {
  SimSite site;
  addWorkers(site, 4);
  site.submit(jobOf("busy", taskStep(2, 8)));
  core::StepSpec step = taskStep(1, 1);
  step.NeedsLabel = "no worker has it";
  site.submit(jobOf("j", step));
  site.runFor(absl::Seconds(15));
  EXPECT_EQ(countLines(site, Decision::Kind::WaitsBesideFreeWorkers, "j"), 0);
  EXPECT_EQ(site.scheduler().waitSummary().LongestBesideFree,
            absl::ZeroDuration());
}

// Guards against lines and gauges about jobs that do not wait any more.
TEST(WaitBesideFreeWorkers, EndsWithTheWait) {
  SimSite site;
  addWorkers(site, 2);
  site.worker("w0").State.FailureDomain = "d0";
  site.worker("w1").State.FailureDomain = "d0";
  site.runFor(absl::Seconds(1));
  site.scheduler().onCordons({{"d0"}});
  site.submit(jobOf("j", taskStep(1, 1)));
  site.runFor(absl::Seconds(12));
  EXPECT_EQ(countLines(site, Decision::Kind::WaitsBesideFreeWorkers, "j"), 1);
  site.scheduler().onCordons({});
  site.runFor(absl::Seconds(2));
  EXPECT_EQ(site.scheduler().waitSummary(), WaitSummary());
}

// Guards against a log that is flooded by jobs that wait for long.
TEST(WaitLines, AreBoundedWhileManyJobsWait) {
  constexpr int Jobs = 40;
  SimSite site;
  addWorkers(site, 4);
  for (const char *name : {"w0", "w1", "w2", "w3"}) {
    site.worker(name).State.FailureDomain = "d0";
    site.drain(name, absl::Hours(1));
  }
  site.runFor(absl::Seconds(1));
  for (int n = 0; n < Jobs; ++n)
    site.submit(jobOf("j" + std::to_string(n), taskStep(1, 1)));
  std::map<std::string, int> linesOfJob;
  std::set<std::string> reasons;
  for (int second = 0; second < 60; ++second) {
    const bool cordoned = second / 4 % 2 == 0;
    site.scheduler().onCordons(
        {cordoned ? std::set<std::string>{"d0"} : std::set<std::string>{}});
    site.Log.clear();
    site.runFor(absl::Seconds(1));
    int reasonLines = 0;
    int besideFreeLines = 0;
    for (const Decision &d : site.Log) {
      const bool isReason = d.What == Decision::Kind::Waiting;
      const bool isBesideFree =
          d.What == Decision::Kind::WaitsBesideFreeWorkers;
      reasonLines += isReason ? 1 : 0;
      besideFreeLines += isBesideFree ? 1 : 0;
      if (isReason || isBesideFree)
        ++linesOfJob[d.Job];
      if (isReason)
        reasons.insert(d.Texts.at("reason"));
    }
    // Each job's first wait is logged at once.
    EXPECT_LE(reasonLines, second == 0 ? Jobs : 20) << "in second " << second;
    EXPECT_LE(besideFreeLines, 9) << "in second " << second;
  }
  EXPECT_EQ(reasons, (std::set<std::string>{"cordoned", "draining"}));
  EXPECT_EQ(linesOfJob.size(), static_cast<size_t>(Jobs) + 1);
  for (const auto &[job, lines] : linesOfJob)
    EXPECT_LE(lines, 10) << job;
}

// Guards against a job whose attempts are used up within moments on workers
// that are known to be unhealthy, because it finds no others.
TEST(WaitBesideFreeWorkers, EndsWithOneAttemptAtATime) {
  SimSite site;
  addWorkers(site, 2);
  site.RunFails = [](const core::TaskId &, int64_t) { return true; };
  site.WorkTime = [](const core::TaskId &, const core::StepSpec &) {
    return absl::Milliseconds(10);
  };
  site.submit(jobOf("j", taskStep(1, 8)), 1, 20);
  site.runFor(absl::Seconds(8));
  const auto quarantines =
      countLines(site, Decision::Kind::WorkerQuarantined, "j");
  ASSERT_GT(quarantines, 2);
  const int before = site.starts();
  for (int n = 0; n < 8; ++n) {
    const int startsBefore = site.starts();
    site.runFor(absl::Seconds(4));
    EXPECT_LE(site.starts() - startsBefore, 2);
  }
  EXPECT_GT(site.starts(), before);
}

} // namespace
} // namespace oriolebay::jobs
