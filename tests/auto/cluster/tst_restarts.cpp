// Workers that start again under the id that they had.
#include "memorycluster.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace oriolebay::cluster {
namespace {

using Id = MemoryWorker::Id;

constexpr int Workers = 3;

core::JobSpec job(const std::string &id, int count, int64_t accelerators,
                  int64_t ms) {
  core::JobSpec spec;
  spec.Id = id;
  spec.Queue = "q1";
  spec.Payload = "text";
  core::StepSpec step;
  step.Count = count;
  step.PerTask = {1000, 1000, accelerators};
  step.EstimateMs = ms;
  spec.Steps.push_back(step);
  return spec;
}

struct Case {
  const char *Name;
  /// From its crash until it listens again.
  int BackAfterMs;
};

void PrintTo(const Case &c, std::ostream *out) { *out << c.Name; }

class Restart : public testing::TestWithParam<Case> {
protected:
  Restart() {
    MemoryCluster::Options options;
    options.Workers = Workers;
    Site = std::make_unique<MemoryCluster>(options);
    Site->configure({"k"});
    Site->runFor(absl::Seconds(4));
  }

  void restart(int worker) {
    Site->worker(worker).fall(absl::Milliseconds(GetParam().BackAfterMs),
                              Id::Same);
  }
  void submit(const core::JobSpec &spec) {
    Site->submit(0, "k", spec);
    Site->runFor(absl::Milliseconds(100));
    ASSERT_EQ(Site->accepted().count(spec.Id), 1u);
  }
  /// Hands in a job whose starts all go out and come late to their workers.
  void submitWithLateStarts() {
    for (int n = 0; n < Workers; ++n)
      Site->worker(n).LateOrders = 1;
    submit(job("j", Workers, 8, 6000));
    for (int n = 0; n < Workers; ++n)
      Site->worker(n).LateOrders = 0;
  }
  void expectOver(absl::Duration limit) {
    EXPECT_TRUE(Site->runUntilOver(limit));
    for (const std::string &id : Site->accepted())
      EXPECT_EQ(Site->stored(id), jobs::JobState::Completed)
          << id << '\n'
          << Site->storyOf(id);
    const std::vector<std::string> broken = Site->violations();
    EXPECT_TRUE(broken.empty()) << broken.front();
  }

  std::unique_ptr<MemoryCluster> Site;
};

// Guards against a worker that is never used again, as its id is that of a life
// that has ended.
TEST_P(Restart, WorkerIsUsedAgain) {
  for (int n = 0; n < Workers; ++n)
    restart(n);
  Site->runFor(absl::Seconds(4));
  submit(job("all", Workers, 8, 1000));
  expectOver(absl::Seconds(6));
}

// Guards against work that counts as running at a worker that has forgotten it.
TEST_P(Restart, LostWorkStartsAgainSoon) {
  submit(job("j", Workers, 8, 3000));
  Site->runFor(absl::Seconds(1));
  restart(0);
  expectOver(absl::Seconds(9));
}

// Guards against ends that are never taken, as they count from one again.
TEST_P(Restart, EndsThatCountFromOneAgainAreTaken) {
  submit(job("before", 60, 1, 300));
  ASSERT_TRUE(Site->runUntilOver(absl::Seconds(10)));
  for (int n = 0; n < Workers; ++n)
    restart(n);
  Site->runFor(absl::Seconds(1));
  submit(job("after", 24, 1, 300));
  expectOver(absl::Seconds(9));
}

// Guards against a restart that goes unnoticed again and again.
TEST_P(Restart, WorkerThatRestartsOverAndOverIsUsedInBetween) {
  for (int n = 0; n < 12; ++n) {
    submit(job("j" + std::to_string(n), Workers, 4, 1000));
    restart(n % Workers);
    Site->runFor(absl::Seconds(3));
  }
  expectOver(absl::Seconds(20));
}

// Guards against a task that runs twice: the start for the life before is
// carried out by the next one, which answers to the same id.
TEST_P(Restart, LateStartForTheLifeBeforeDoesNotRunBesideItsTask) {
  submitWithLateStarts();
  for (int n = 0; n < Workers; ++n)
    restart(n);
  Site->runFor(absl::Seconds(14));
  expectOver(absl::Seconds(30));
}

// Guards against the same where the agent is new, too, and knows of nothing.
TEST_P(Restart, LateStartIsSettledByAnAgentThatIsNewToo) {
  submitWithLateStarts();
  for (int n = 0; n < Workers; ++n) {
    Site->killAgent(n);
    restart(n);
  }
  Site->runFor(absl::Milliseconds(200));
  for (int n = 0; n < Workers; ++n)
    Site->startAgent(n);
  Site->runFor(absl::Seconds(14));
  expectOver(absl::Seconds(30));
}

// Guards against the same where the leader is new.
TEST_P(Restart, LateStartIsSettledByTheNextLeader) {
  submitWithLateStarts();
  for (int n = 0; n < Workers; ++n)
    restart(n);
  Site->runFor(absl::Milliseconds(500));
  Site->killEntry(Site->leader());
  Site->runFor(absl::Seconds(14));
  expectOver(absl::Seconds(30));
}

INSTANTIATE_TEST_SUITE_P(
    Table, Restart,
    testing::Values(Case{"between_two_looks", 20}, Case{"quick", 200},
                    Case{"when_its_end_is_noticed", 500}, Case{"later", 2500}),
    [](const auto &test) { return std::string(test.param.Name); });

} // namespace
} // namespace oriolebay::cluster
