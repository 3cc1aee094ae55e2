// Tests of one fault that happens while jobs run and others are submitted.
#include "servingcluster.h"

#include <gtest/gtest.h>

namespace oriolebay::cluster {
namespace {

// A fault that happens while a long job runs, shortly before others are
// submitted.
struct FaultCase {
  const char *Name;
  std::function<void(MemoryCluster &)> Inject;
  std::function<void(MemoryCluster &)> Heal;
  absl::Duration FaultDuration;
  /// Maximum number of starts beyond one per task that the fault may cause.
  int MaxExtraStarts;
};

std::ostream &operator<<(std::ostream &out, const FaultCase &c) {
  return out << c.Name;
}

class Faults : public ::testing::TestWithParam<FaultCase> {};

// A fault happens while a job runs and more are submitted. Every accepted job
// must complete in the end, no task may run twice, and healthy runs must not be
// restarted.
TEST_P(Faults, AcceptedJobsCompleteExactlyOnce) {
  auto cluster = servingCluster();
  cluster->submit(0, "k1", makeJob("long", 6, 4, 6000));
  cluster->runFor(absl::Seconds(2));
  ASSERT_EQ(cluster->acceptedJobs().size(), 1u);
  GetParam().Inject(*cluster);
  cluster->runFor(absl::Milliseconds(200));
  std::vector<std::shared_ptr<MemoryCluster::CallerCall>> calls;
  for (int n = 0; n < 3; ++n)
    calls.push_back(cluster->submit(
        n, "k2", makeJob("more" + std::to_string(n), 2, 1, 1500)));
  cluster->runFor(GetParam().FaultDuration);
  GetParam().Heal(*cluster);
  ASSERT_TRUE(cluster->runUntilAllEnded(absl::Seconds(40)));
  EXPECT_EQ(cluster->storedState("long"), jobs::JobState::Completed);
  EXPECT_TRUE(hasNoViolations(*cluster));
  EXPECT_LE(cluster->starts(), 6 + 3 * 2 + GetParam().MaxExtraStarts);
  for (const auto &call : calls)
    if (call->Answer && call->Answer->Result == jobs::CallResult::NotDone) {
      EXPECT_FALSE(cluster->storedState(call->Job).has_value())
          << call->Job << " was refused but is in the store";
      EXPECT_GT(call->Answer->RetryAfterMs, 0);
    }
}

void forAllClients(MemoryCluster &cluster,
                   const std::function<void(MemoryStore::Faults &)> &change) {
  for (int n = 0; n < 3; ++n)
    change(cluster.store().faults(MemoryCluster::entryName(n)));
  for (int n = 0; n < 6; ++n)
    change(cluster.store().faults(MemoryCluster::agentName(n)));
}

const std::vector<FaultCase> FaultCases = {
    {"leader_killed", [](MemoryCluster &c) { c.killEntry(c.leader()); },
     [](MemoryCluster &c) {
       for (int n = 0; n < 3; ++n)
         if (!c.isEntryUp(n))
           c.startEntry(n);
     },
     absl::Seconds(3), 0},
    {"every_process_killed",
     [](MemoryCluster &c) {
       for (int n = 0; n < 3; ++n)
         c.killEntry(n);
       for (int n = 0; n < 6; ++n)
         c.killAgent(n);
     },
     [](MemoryCluster &c) {
       for (int n = 0; n < 3; ++n)
         c.startEntry(n);
       for (int n = 0; n < 6; ++n)
         c.startAgent(n);
     },
     absl::Seconds(1), 0},
    {"store_silent_for_all",
     [](MemoryCluster &c) {
       forAllClients(c, [](MemoryStore::Faults &f) { f.Silent = true; });
     },
     [](MemoryCluster &c) {
       forAllClients(c, [](MemoryStore::Faults &f) { f.Silent = false; });
     },
     absl::Seconds(8), 0},
    {"store_refuses_the_leader",
     [](MemoryCluster &c) {
       c.store().faults(MemoryCluster::entryName(c.leader())).Refuses = true;
     },
     [](MemoryCluster &c) {
       forAllClients(c, [](MemoryStore::Faults &f) { f.Refuses = false; });
     },
     absl::Seconds(8), 0},
    {"store_loses_answers",
     [](MemoryCluster &c) {
       forAllClients(c,
                     [](MemoryStore::Faults &f) { f.LostAnswerShare = 0.5; });
     },
     [](MemoryCluster &c) {
       forAllClients(c, [](MemoryStore::Faults &f) { f.LostAnswerShare = 0; });
     },
     absl::Seconds(5), 0},
    {"store_writes_late",
     [](MemoryCluster &c) {
       forAllClients(c, [](MemoryStore::Faults &f) { f.LateWriteShare = 0.5; });
     },
     [](MemoryCluster &c) {
       forAllClients(c, [](MemoryStore::Faults &f) { f.LateWriteShare = 0; });
     },
     absl::Seconds(5), 0},
    {"watches_silent_then_history_gone",
     [](MemoryCluster &c) {
       forAllClients(c, [](MemoryStore::Faults &f) { f.WatchesSilent = true; });
     },
     [](MemoryCluster &c) {
       forAllClients(c,
                     [](MemoryStore::Faults &f) { f.WatchesSilent = false; });
       c.store().compact();
     },
     absl::Seconds(2), 0},
    {"leader_cut_off",
     [](MemoryCluster &c) {
       const std::string name = MemoryCluster::entryName(c.leader());
       c.setPartitioned(name, true);
       c.store().faults(name).Silent = true;
     },
     [](MemoryCluster &c) {
       for (int n = 0; n < 3; ++n) {
         c.setPartitioned(MemoryCluster::entryName(n), false);
         c.store().faults(MemoryCluster::entryName(n)).Silent = false;
       }
     },
     absl::Seconds(8), 0},
    {"agent_killed", [](MemoryCluster &c) { c.killAgent(0); },
     [](MemoryCluster &c) { c.startAgent(0); }, absl::Seconds(2), 0},
    {"agent_cut_off_shortly",
     [](MemoryCluster &c) {
       c.setPartitioned(MemoryCluster::agentName(0), true);
     },
     [](MemoryCluster &c) {
       c.setPartitioned(MemoryCluster::agentName(0), false);
     },
     absl::Seconds(3), 0},
    {"agent_cut_off_for_long",
     [](MemoryCluster &c) {
       c.setPartitioned(MemoryCluster::agentName(0), true);
     },
     [](MemoryCluster &c) {
       c.setPartitioned(MemoryCluster::agentName(0), false);
     },
     absl::Seconds(12), 2},
    {"worker_crashes", [](MemoryCluster &c) { c.worker(0).crash(); },
     [](MemoryCluster &) {}, absl::Seconds(1), 2},
    {"orders_late_on_all_workers",
     [](MemoryCluster &c) {
       for (int n = 0; n < 6; ++n)
         c.worker(n).LateOrderShare = 0.3;
     },
     [](MemoryCluster &c) {
       for (int n = 0; n < 6; ++n)
         c.worker(n).LateOrderShare = 0;
     },
     absl::Seconds(4), 4},
    {"answers_of_workers_lost",
     [](MemoryCluster &c) {
       for (int n = 0; n < 6; ++n)
         c.worker(n).LostOrderAnswerShare = 0.5;
     },
     [](MemoryCluster &c) {
       for (int n = 0; n < 6; ++n)
         c.worker(n).LostOrderAnswerShare = 0;
     },
     absl::Seconds(4), 0},
};

INSTANTIATE_TEST_SUITE_P(Table, Faults, ::testing::ValuesIn(FaultCases),
                         [](const auto &info) { return info.param.Name; });

} // namespace
} // namespace oriolebay::cluster
