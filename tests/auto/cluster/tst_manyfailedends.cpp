// Runs that fail while their worker lists more ends than one answer holds, so
// that a leader is told of some of them later.
#include "memorycluster.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace oriolebay::cluster {
namespace {

constexpr const char *Key = "k";
constexpr int Attempts = 2;
constexpr int64_t WorkMs = 1000;
constexpr absl::Duration FailsAfter = absl::Milliseconds(200);
/// The ends of this job fill a whole list.
constexpr const char *FirstJob = "first";
constexpr int FirstTasks = 500;
/// The ends of this job come after them.
constexpr const char *LaterJob = "later";
constexpr int LaterTasks = 20;
constexpr absl::Duration LaterBy = absl::Milliseconds(20);
constexpr core::Resources SmallTask = {10, 10, 0};
constexpr absl::Duration EndLimit = absl::Minutes(2);
/// Time after the end of a job in which its last ends are acknowledged.
constexpr absl::Duration AcknowledgedWithin = absl::Seconds(1);

bool isLater(const std::string &task) { return task.rfind(LaterJob, 0) == 0; }

class ManyEnds : public testing::TestWithParam<bool> {
protected:
  ManyEnds() : Cluster({.Entries = 3, .Workers = 1}) {
    Cluster.setPlannedEnds(
        [this](const std::string &task, int64_t) { return endOf(task); });
    Cluster.observeStarts([this](const std::string &task, int64_t) {
      Starts[task] += 1;
      StartsAfterLastAttempt += Failures[task] >= Attempts ? 1 : 0;
    });
    Cluster.observeEnds([this](const ObservedEnd &end) { onEnd(end); });
    core::QueueConfig queue = makeQueue("q1");
    queue.Attempts = Attempts;
    Cluster.configureSite({{"org", {Key}, 16}}, {queue});
    Cluster.runFor(absl::Seconds(5));
  }

  /// The first runs fail, those of the later job once more.
  std::optional<PlannedEnd> endOf(const std::string &task) {
    if (Starts[task] > (isLater(task) ? Attempts : 1))
      return std::nullopt;
    return PlannedEnd{FailsAfter +
                      (isLater(task) ? LaterBy : absl::ZeroDuration())};
  }

  void onEnd(const ObservedEnd &end) {
    if (end.How != endpoints::RunEnd::Failed)
      return;
    ++Failures[end.Task];
    if (isLater(end.Task) || !std::exchange(KillsLeader, false))
      return;
    Cluster.loop().runAfter(absl::ZeroDuration(),
                            [this] { Cluster.killEntry(Cluster.leader()); });
  }

  void submit(const char *job, int tasks) {
    core::JobSpec spec = makeJob(job, tasks, 0, WorkMs);
    spec.Steps.front().PerTask = SmallTask;
    Cluster.submit(0, Key, spec);
  }

  int unacknowledgedEnds() const {
    const std::vector<ObservedEnd> &ends = Cluster.sharedState().Ends;
    return static_cast<int>(
        std::count_if(ends.begin(), ends.end(), [](const ObservedEnd &end) {
          return end.How == endpoints::RunEnd::Failed && !end.Acknowledged;
        }));
  }

  MemoryCluster Cluster;
  std::map<std::string, int> Starts;
  std::map<std::string, int> Failures;
  int StartsAfterLastAttempt = 0;
  bool KillsLeader = GetParam();
};

// Guards against runs after the last attempt: a next leader takes a run that
// its worker does not list yet for one that never began.
TEST_P(ManyEnds, CountAsFailedRunsAlsoIfListedLate) {
  submit(FirstJob, FirstTasks);
  submit(LaterJob, LaterTasks);
  Cluster.runFor(absl::Milliseconds(100));
  EXPECT_TRUE(Cluster.runUntilAllEnded(EndLimit));
  EXPECT_EQ(Cluster.acceptedJobs().size(), 2U);
  EXPECT_EQ(Cluster.finalState(FirstJob), jobs::JobState::Completed);
  EXPECT_EQ(Cluster.finalState(LaterJob), jobs::JobState::Failed);
  Cluster.runFor(AcknowledgedWithin);
  EXPECT_EQ(unacknowledgedEnds(), 0);
  EXPECT_EQ(StartsAfterLastAttempt, 0) << Cluster.decisionsText(LaterJob);
  EXPECT_TRUE(Cluster.violations().empty()) << Cluster.violations().front();
}

INSTANTIATE_TEST_SUITE_P(Table, ManyEnds, testing::Bool(),
                         [](const auto &test) {
                           return test.param ? std::string("leader_killed")
                                             : std::string("in_calm");
                         });

} // namespace
} // namespace oriolebay::cluster
