// Tests of the check itself that finds jobs which wait beside free workers.
#include "memorycluster.h"

#include <gtest/gtest.h>

#include <absl/time/time.h>

#include <memory>
#include <string>
#include <vector>

namespace oriolebay::cluster {
namespace {

constexpr core::Resources WorkerCapacity{32000, 65536, 8};

WorkerRoom room(int64_t acceleratorsUsed, bool isOpen = true) {
  WorkerRoom worker;
  worker.State.Service = "service";
  worker.State.Capacity = WorkerCapacity;
  worker.State.Labels = {"a"};
  worker.Used = {0, 0, acceleratorsUsed};
  worker.IsOpen = isOpen;
  return worker;
}

IdleStep step(int count, int64_t accelerators, bool gang = false) {
  IdleStep idle;
  idle.Name = "j.0.0";
  idle.Service = "service";
  idle.Spec.Count = count;
  idle.Spec.PerTask = {1000, 1000, accelerators};
  idle.Spec.Gang = gang;
  return idle;
}

IdleStep withLabel(IdleStep idle, const std::string &label) {
  idle.Spec.NeedsLabel = label;
  return idle;
}

IdleStep onePerWorker(IdleStep idle) {
  idle.Spec.MaxPerWorker = 1;
  return idle;
}

struct Observation {
  const char *Name;
  std::vector<WorkerRoom> Workers;
  IdleStep Step;
  bool IsFound;
};

void PrintTo(const Observation &c, std::ostream *out) { *out << c.Name; }

class ObservedWait : public testing::TestWithParam<Observation> {};

TEST_P(ObservedWait, IsFoundIfThereIsRoomTwiceOver) {
  WaitWatcher watcher;
  const absl::Time start = absl::FromUnixSeconds(0);
  for (const auto time : {absl::ZeroDuration(), WaitWatcher::LongestWait})
    watcher.observe(GetParam().Workers, {GetParam().Step}, start + time);
  EXPECT_EQ(!watcher.found().empty(), GetParam().IsFound);
}

INSTANTIATE_TEST_SUITE_P(
    Table, ObservedWait,
    testing::Values(
        Observation{
            "two_workers_for_a_task", {room(0), room(0)}, step(5, 8), true},
        Observation{
            "one_worker_for_a_task", {room(0), room(2)}, step(5, 8), false},
        Observation{"four_workers_for_a_gang_of_two",
                    {room(0), room(0), room(0), room(0)},
                    step(2, 8, true),
                    true},
        Observation{"three_workers_for_a_gang_of_two",
                    {room(0), room(0), room(0), room(1)},
                    step(2, 8, true),
                    false},
        Observation{"half_in_use", {room(4), room(4)}, step(1, 1), false},
        Observation{
            "less_than_half_in_use", {room(4), room(3)}, step(1, 1), true},
        Observation{"closed_workers",
                    {room(0, false), room(0, false), room(0)},
                    step(1, 8),
                    false},
        Observation{"label_of_the_workers",
                    {room(0), room(0)},
                    withLabel(step(1, 1), "a"),
                    true},
        Observation{"label_of_no_worker",
                    {room(0), room(0)},
                    withLabel(step(1, 1), "b"),
                    false},
        Observation{"one_worker_for_one_a_worker",
                    {room(0), room(0, false)},
                    onePerWorker(step(1, 1)),
                    false}),
    [](const auto &test) { return std::string(test.param.Name); });

// Guards against a wait that is missed because the step is seen waiting for
// other reasons in between, or that is reported before it has lasted.
TEST(WaitWatcher, CountsTheTimeOfOneWaitOnly) {
  WaitWatcher watcher;
  const absl::Time start = absl::FromUnixSeconds(0);
  const std::vector<WorkerRoom> workers = {room(0), room(0)};
  watcher.observe(workers, {step(1, 8)}, start);
  watcher.observe(workers, {}, start + absl::Seconds(2));
  watcher.observe(workers, {step(1, 8)}, start + absl::Seconds(4));
  watcher.observe(workers, {step(1, 8)}, start + absl::Seconds(6));
  EXPECT_TRUE(watcher.found().empty());
  watcher.observe(workers, {step(1, 8)}, start + absl::Seconds(7));
  ASSERT_EQ(watcher.found().size(), 1u);
  EXPECT_EQ(watcher.found().front().rfind("j.0.0 ", 0), 0u);
}

class WatchedCluster : public testing::Test {
protected:
  WatchedCluster() {
    Cluster->configure({"k"});
    Cluster->runFor(absl::Seconds(4));
  }
  void submitTwoSteps() {
    core::JobSpec spec = makeJob("j", 2, 8, 500);
    spec.Steps.push_back(spec.Steps.front());
    spec.Steps.back().After = {0};
    Cluster->submit(0, "k", spec);
    Cluster->runFor(absl::Milliseconds(300));
    ASSERT_EQ(Cluster->acceptedJobs().count("j"), 1u);
  }

  std::unique_ptr<MemoryCluster> Cluster =
      std::make_unique<MemoryCluster>(MemoryCluster::Options{});
};

// Guards against a check that finds nothing: without a leader the second step
// never starts.
TEST_F(WatchedCluster, AStepThatNobodyStartsIsFound) {
  submitTwoSteps();
  Cluster->runFor(absl::Milliseconds(400));
  for (int n = 0; n < 3; ++n)
    Cluster->killEntry(n);
  Cluster->watchWaits();
  Cluster->runFor(MemoryCluster::RecoveryTime + absl::Seconds(4));
  const std::vector<std::string> found = Cluster->violations();
  ASSERT_EQ(found.size(), 1u);
  EXPECT_EQ(found.front().rfind("j.0.", 0), 0u) << found.front();
}

TEST_F(WatchedCluster, JobsThatRunOrHaveEndedAreNotFound) {
  submitTwoSteps();
  Cluster->submit(0, "k", makeJob("long", 1, 1, 60000));
  Cluster->watchWaits();
  Cluster->runFor(MemoryCluster::RecoveryTime + absl::Seconds(10));
  const std::vector<std::string> found = Cluster->violations();
  EXPECT_TRUE(found.empty()) << found.front();
  EXPECT_EQ(Cluster->storedState("j"), jobs::JobState::Completed);
}

} // namespace
} // namespace oriolebay::cluster
