// Tests of starts that may be carried out after their task has left the worker.
#include "simsite.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace oriolebay::jobs {
namespace {

constexpr int64_t OpenForMs = 14000;

core::StepSpec taskStep(int count, int64_t accelerators, int64_t estimateMs,
                        bool gang = false) {
  core::StepSpec s;
  s.Count = count;
  s.PerTask = {1000, 1000, accelerators};
  s.EstimateMs = estimateMs;
  s.Gang = gang;
  return s;
}

/// A site with a job that runs on w0. An attempt to start its run there got no
/// answer.
class LateStartSite : public SimSite {
public:
  explicit LateStartSite(core::StepSpec spec = taskStep(1, 8, 60000)) {
    addWorker("w0", "r0");
    runFor(absl::Milliseconds(600));
    submit(jobOf("j", spec));
    worker("w0").OpenStarts = {{"j.0.0.0", 1, OpenForMs}};
    runFor(absl::Seconds(1));
    addWorker("w1", "r0");
    addWorker("w2", "r0");
    runFor(absl::Milliseconds(600));
  }
};

// Guards against a task that runs twice: it starts elsewhere while an attempt
// at the worker that it left can still be carried out.
TEST(LateStart, TaskWaitsUntilItCannotBeCarriedOut) {
  LateStartSite site;
  ASSERT_EQ(site.starts(), 1);
  site.crash("w0");
  site.runFor(absl::Seconds(12));
  EXPECT_EQ(site.starts(), 1);
  site.runFor(absl::Seconds(4));
  EXPECT_EQ(site.starts(), 2);
}

// Guards against a gang that runs twice, for the same reason.
TEST(LateStart, GangWaitsForEachOfItsMembers) {
  LateStartSite site(taskStep(2, 4, 60000, true));
  ASSERT_EQ(site.starts(), 2);
  site.crash("w0");
  site.runFor(absl::Seconds(12));
  EXPECT_EQ(site.starts(), 2);
  site.runFor(absl::Seconds(4));
  EXPECT_EQ(site.starts(), 4);
}

// Guards against a leader that takes over and does not know of the attempt.
TEST(LateStart, NextLeaderKeepsTheTaskWaiting) {
  LateStartSite site;
  site.crash("w0");
  site.runFor(absl::Seconds(7));
  site.changeLeader();
  site.runFor(absl::Seconds(6));
  EXPECT_EQ(site.starts(), 1);
  site.runFor(absl::Seconds(12));
  EXPECT_EQ(site.starts(), 2);
}

// Guards against a leader that takes over and learns of the attempt from the
// agent alone, which cannot reach its worker any more.
TEST(LateStart, NextLeaderLearnsOfItFromTheAgent) {
  LateStartSite site;
  site.worker("w0").OpenStarts.clear();
  site.runFor(absl::Seconds(1));
  site.changeLeader();
  endpoints::WorkerReport report;
  report.Worker = site.worker("w0").State;
  report.Agent = site.worker("w0").Agent;
  report.AgentAddress = report.Agent;
  report.Sequence = site.worker("w0").Sequence + 1;
  report.Reachable = false;
  report.OpenStarts = {{"j.0.0.0", 1, OpenForMs}};
  report.StartsKnownForMs = absl::ToInt64Milliseconds(endpoints::MaxOrderDelay);
  site.scheduler().onReport(report, site.now());
  site.crash("w0");
  site.runFor(absl::Seconds(12));
  EXPECT_EQ(site.starts(), 1);
  site.runFor(absl::Seconds(4));
  EXPECT_EQ(site.starts(), 2);
}

// Guards against a task that waits for attempts which its agent, whose process
// knows all of them, does not list any more.
TEST(LateStart, NextLeaderBelievesAnAgentThatKnowsAllItsStarts) {
  LateStartSite site;
  site.crash("w0");
  site.runFor(absl::Seconds(7));
  site.changeLeader();
  site.runFor(absl::Seconds(1));
  ASSERT_EQ(site.starts(), 1);
  endpoints::WorkerReport report;
  report.Agent = "agent-of-w0";
  report.Epoch = site.scheduler().epoch();
  report.StartsKnownForMs = absl::ToInt64Milliseconds(endpoints::MaxOrderDelay);
  site.scheduler().onReport(report, site.now());
  site.runFor(absl::Seconds(1));
  EXPECT_EQ(site.starts(), 2);
}

// Guards against a task that runs twice: the report was sent before its agent
// followed this leader, so that attempts may have been sent after it.
TEST(LateStart, NextLeaderDoesNotBelieveAReportToAnEarlierOne) {
  LateStartSite site;
  site.crash("w0");
  site.runFor(absl::Seconds(7));
  site.changeLeader();
  site.runFor(absl::Seconds(1));
  endpoints::WorkerReport report;
  report.Agent = "agent-of-w0";
  report.Epoch = site.scheduler().epoch() - 1;
  report.StartsKnownForMs = absl::ToInt64Milliseconds(endpoints::MaxOrderDelay);
  site.scheduler().onReport(report, site.now());
  site.runFor(absl::Seconds(1));
  EXPECT_EQ(site.starts(), 1);
}

struct LeaderChanges {
  const char *Name;
  int Count;
  int EverySeconds;
};

class SilentHost : public testing::TestWithParam<LeaderChanges> {};

// Guards against tasks that wait anew under each leader, although nobody has
// heard of their host since an earlier one was replaced.
TEST_P(SilentHost, DelaysItsTasksOnce) {
  constexpr absl::Duration LongestWait = absl::Seconds(16);
  for (const bool isStartOpen : {false, true}) {
    LateStartSite site;
    if (!isStartOpen)
      site.worker("w0").OpenStarts.clear();
    site.runFor(absl::Seconds(1));
    site.crash("w0");
    const absl::Time crashedAt = site.now();
    for (int n = 0; n < GetParam().Count; ++n) {
      site.changeLeader();
      site.runFor(absl::Seconds(GetParam().EverySeconds));
    }
    site.runFor(crashedAt + LongestWait - site.now());
    EXPECT_EQ(site.starts(), 2) << "an attempt is open: " << isStartOpen;
  }
}

INSTANTIATE_TEST_SUITE_P(Table, SilentHost,
                         testing::Values(LeaderChanges{"one_leader", 1, 1},
                                         LeaderChanges{"three_leaders", 3, 5},
                                         LeaderChanges{"seven_leaders", 7, 2}),
                         [](const auto &test) {
                           return std::string(test.param.Name);
                         });

// Guards against bounds that add up: the task has waited for its worker's next
// incarnation for as long as the attempt could be carried out.
TEST(LateStart, IsNotWaitedForTwice) {
  SimSite site;
  site.addWorker("w0", "r0");
  site.worker("w0").DropsOrders = true;
  site.runFor(absl::Milliseconds(600));
  site.submit(jobOf("j", taskStep(1, 8, 60000)));
  site.runFor(absl::Seconds(1));
  site.addWorker("w1", "r0");
  site.runFor(absl::Milliseconds(600));
  endpoints::WorkerReport report;
  report.Agent = site.worker("w0").Agent;
  report.Sequence = site.worker("w0").Sequence + 1;
  endpoints::IncarnationEnd end{site.worker("w0").State.Life};
  end.Witnessed = true;
  end.MayStillBegin = {{"j.0.0.0", 1}};
  report.EndedLives = {end};
  site.scheduler().onReport(report, site.now());
  site.crash("w0");
  site.runFor(endpoints::MaxOrderDelay - absl::Seconds(1));
  EXPECT_EQ(site.starts(), 0);
  site.runFor(absl::Seconds(2));
  EXPECT_EQ(site.starts(), 1);
}

// Guards against tasks that every new leader makes wait again.
TEST(LateStart, IsForgottenOnceItCannotBeCarriedOut) {
  LateStartSite site;
  for (const char *worker : {"w0", "w1", "w2"})
    site.crash(worker);
  const auto lateStarts = [&site] {
    return site.scheduler().progress("j")->Tasks.at(0)[0][0].LateStarts.size();
  };
  site.runFor(absl::Seconds(9));
  EXPECT_EQ(lateStarts(), 1u);
  site.runFor(absl::Seconds(8));
  EXPECT_EQ(lateStarts(), 0u);
}

// Guards against tasks that wait for nothing.
TEST(LateStart, TaskDoesNotWaitIfAllAttemptsWereAnswered) {
  LateStartSite site;
  site.worker("w0").OpenStarts.clear();
  site.runFor(absl::Seconds(1));
  site.crash("w0");
  site.runFor(absl::Seconds(8));
  EXPECT_EQ(site.starts(), 2);
}

// Guards against tasks that wait although calls under the worker's earlier id
// are refused.
TEST(LateStart, TaskDoesNotWaitIfTheWorkerHasAnotherId) {
  LateStartSite site;
  site.crash("w0", "w0-next");
  site.runFor(absl::Seconds(1));
  EXPECT_EQ(site.starts(), 2);
}

// Guards against a task that runs twice: the agent that sent the start is lost,
// and the next one knows nothing of it.
TEST(LateStart, TaskWaitsIfTheAgentHasForgottenItsStarts) {
  SimSite site;
  site.addWorker("w0", "r0");
  site.worker("w0").DropsOrders = true;
  site.runFor(absl::Milliseconds(600));
  site.submit(jobOf("j", taskStep(1, 8, 60000)));
  site.runFor(absl::Seconds(1));
  site.addWorker("w1", "r0");
  site.worker("w0").StartsKnownForMs = 0;
  site.worker("w0").Results.push_back(
      {"j.0.0.0", 1, endpoints::OrderOutcome::Absent, "stopped"});
  site.runFor(absl::Milliseconds(600));
  site.crash("w0");
  site.runFor(absl::Seconds(12));
  EXPECT_EQ(site.starts(), 0);
}

// Guards against a task that waits for as long as its worker stands still: the
// agent goes on reporting the last list, although the run's lease has lapsed.
TEST(LateStart, OutdatedListBarsNoTask) {
  constexpr int ReportIntervalMs = 500;
  constexpr int ReportedForMs = 11000;
  LateStartSite site;
  site.worker("w0").OpenStarts.clear();
  site.submit(jobOf("others", taskStep(2, 8, 9000)));
  site.runFor(absl::Seconds(1));
  endpoints::WorkerReport report;
  report.Worker = site.worker("w0").State;
  report.Agent = site.worker("w0").Agent;
  report.AgentAddress = report.Agent;
  report.Sequence = site.worker("w0").Sequence;
  report.Reachable = false;
  report.Running = {{"j.0.0.0", 1, "", 10}};
  report.StartsKnownForMs = absl::ToInt64Milliseconds(endpoints::MaxOrderDelay);
  site.crash("w0");
  for (int ms = 0; ms < ReportedForMs; ms += ReportIntervalMs) {
    ++report.Sequence;
    report.ListedMsAgo = ms;
    site.scheduler().onReport(report, site.now());
    site.runFor(absl::Milliseconds(ReportIntervalMs));
  }
  EXPECT_EQ(site.workersOf("j").size(), 1u);
}

// Guards against a worker that runs more than its capacity, because a run that
// nobody expects there takes resources that nobody counts.
TEST(LateStart, WorkerWithAnUnexpectedRunGetsNoTasks) {
  SimSite site;
  site.addWorker("w0", "r0");
  site.runFor(absl::Milliseconds(600));
  site.submit(jobOf("j", taskStep(1, 8, 1000)));
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(4)));
  SimSite::Run late;
  late.Order = {"j.0.0.0", 1, "", "", "", {}};
  late.StartedAt = site.now();
  late.RequiredWork = absl::Seconds(5);
  site.worker("w0").Runs[{"j.0.0.0", 1}] = late;
  site.runFor(absl::Milliseconds(600));
  site.submit(jobOf("next", taskStep(1, 8, 1000)));
  ASSERT_TRUE(site.runUntilAllEnded(absl::Seconds(6)));
  EXPECT_TRUE(site.violations().empty()) << site.violations().front();
  const auto unexpected =
      std::count_if(site.Log.begin(), site.Log.end(), [](const Decision &d) {
        return d.What == Decision::Kind::UnexpectedRun;
      });
  EXPECT_GT(unexpected, 0);
}

/// A job takes the whole worker, and another one waits. The outcome of the
/// first job's start is reported by an agent process that may not have sent it.
class RefusedStartSite : public SimSite {
public:
  RefusedStartSite(endpoints::OrderOutcome outcome,
                   absl::Duration startsKnownFor) {
    addWorker("w0", "r0").DropsOrders = true;
    runFor(absl::Milliseconds(600));
    submit(jobOf("j", taskStep(1, 8, 1000)));
    runFor(absl::Seconds(1));
    submit(jobOf("next", taskStep(1, 8, 1000)), 0);
    worker("w0").StartsKnownForMs = absl::ToInt64Milliseconds(startsKnownFor);
    worker("w0").Results.push_back({"j.0.0.0", 1, outcome, "refused"});
    runFor(absl::Milliseconds(600));
  }
  bool isPlaced(const std::string &job) const {
    return std::any_of(Log.begin(), Log.end(), [&job](const Decision &d) {
      return d.What == Decision::Kind::Placed && d.Job == job;
    });
  }
};

/// Outcomes with which an agent says that the run will not start.
constexpr endpoints::OrderOutcome Refusals[] = {
    endpoints::OrderOutcome::Refused, endpoints::OrderOutcome::Busy,
    endpoints::OrderOutcome::NoCapacity};

// Guards against a worker that runs more than its capacity: an earlier process
// of the agent may have sent the refused start, and its capacity is given out.
TEST(RefusedStart, OfAnEarlierAgentProcessKeepsItsCapacity) {
  for (const endpoints::OrderOutcome outcome : Refusals) {
    SCOPED_TRACE(endpoints::orderOutcomeName(outcome));
    const RefusedStartSite site(outcome, absl::ZeroDuration());
    EXPECT_FALSE(site.isPlaced("next"));
  }
}

// Guards against capacity that stays idle although the worker has confirmed
// that it will not start the run.
TEST(RefusedStart, FreesItsCapacityOnceItsStopIsConfirmed) {
  for (const endpoints::OrderOutcome outcome : Refusals) {
    SCOPED_TRACE(endpoints::orderOutcomeName(outcome));
    RefusedStartSite site(outcome, absl::ZeroDuration());
    site.worker("w0").DropsOrders = false;
    site.runFor(absl::Seconds(2));
    EXPECT_EQ(site.state("next"), JobState::Completed);
  }
}

// Guards against capacity that stays idle although no attempt to start the run
// is open.
TEST(RefusedStart, OfTheSameAgentProcessFreesItsCapacity) {
  for (const endpoints::OrderOutcome outcome : Refusals) {
    SCOPED_TRACE(endpoints::orderOutcomeName(outcome));
    const RefusedStartSite site(outcome, endpoints::MaxOrderDelay);
    EXPECT_TRUE(site.isPlaced("next"));
  }
}

} // namespace
} // namespace oriolebay::jobs
