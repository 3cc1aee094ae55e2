#include "entry/recorder.h"
#include "harness/launcher.h"
#include "platform/leaderelection.h"
#include "testnames.h"
#include "waituntil.h"

#include <gtest/gtest.h>

#include <absl/synchronization/mutex.h>

#include <functional>
#include <vector>

namespace oriolebay::entry {
namespace {

using core::JobAnswer;
using core::Outcome;

constexpr long CallTimeoutMs = 5000;
constexpr size_t QueueCapacity = 16;
constexpr int64_t RetryAfterMs = 500;

core::JobRequest makeRequest() {
  core::JobRequest job;
  job.Id = "job";
  job.Organisation = "org";
  job.Profile = "site";
  job.Idempotent = false;
  job.IdempotencyKey = "key";
  return job;
}

scheduler::StartGang makeStart(const std::string &gang) {
  scheduler::StartGang start;
  start.Run = gang + "/1";
  start.Request = {gang, makeRequest()};
  start.Workers = {"w0"};
  return start;
}

JobAnswer makeAnswer(Outcome result) {
  JobAnswer answer;
  answer.JobId = "job";
  answer.Result = result;
  return answer;
}

/// A recorder of the leader, beside the store stand-in.
class RecorderAtStore : public testing::Test {
protected:
  void SetUp() override {
    bench::LaunchSpec spec;
    spec.BinDir = ORIOLEBAY_BUILD_DIR;
    spec.WorkDir = testnames::workDir();
    spec.Entries = 0;
    Cluster = std::make_unique<bench::Launcher>(spec);
    Cluster->start();
    Kv = std::make_unique<platform::KvClient>(Cluster->storeUrl(),
                                              CallTimeoutMs);
    auto elected = Kv->compareAndSwap(platform::LeaderKey, "leader", 0);
    ASSERT_TRUE(elected && elected->Succeeded);
    Epoch = elected->Revision;
    Runs = std::make_unique<Recorder>(
        *Kv, QueueCapacity, RetryAfterMs,
        [this](const RecordOutcome &outcome) { onOutcome(outcome); },
        [](const utils::Error &) {});
  }
  void TearDown() override {
    if (Runs)
      Runs->stop();
    for (const std::string &name : Cluster->stopAll())
      ADD_FAILURE() << name << " did not end after SIGTERM";
  }

  void onOutcome(const RecordOutcome &outcome) {
    if (OnFirstOutcome)
      std::exchange(OnFirstOutcome, nullptr)();
    absl::MutexLock lock(&Mu);
    Outcomes.push_back(outcome);
  }

  std::vector<RecordOutcome> awaitOutcomes(size_t count) {
    testwaits::waitUntil([&] {
      absl::MutexLock lock(&Mu);
      return Outcomes.size() >= count;
    });
    absl::MutexLock lock(&Mu);
    return Outcomes;
  }

  DeleteRecord endOf(const std::string &gang, Outcome result) {
    return {Epoch, gang + "/1", makeRequest(), gang, makeAnswer(result)};
  }

  std::unique_ptr<bench::Launcher> Cluster;
  std::unique_ptr<platform::KvClient> Kv;
  int64_t Epoch = 0;
  std::function<void()> OnFirstOutcome;
  absl::Mutex Mu;
  std::vector<RecordOutcome> Outcomes;
  std::unique_ptr<Recorder> Runs;
};

// Guards against a non-idempotent request that runs twice: its first run has
// ended, and a second request with its key is recorded before that end.
TEST_F(RecorderAtStore, RequestIsAnsweredByAnEndThatIsNotWrittenYet) {
  OnFirstOutcome = [this] {
    Runs->recordEnd(endOf("gang-1", Outcome::Done));
    ASSERT_TRUE(Runs->recordStart({Epoch, makeStart("gang-2"), 0}));
  };
  ASSERT_TRUE(Runs->recordStart({Epoch, makeStart("gang-1"), 0}));
  const auto outcomes = awaitOutcomes(2);
  EXPECT_EQ(outcomes[0].What, RecordOutcome::Kind::Recorded);
  EXPECT_EQ(outcomes[1].What, RecordOutcome::Kind::Refused);
  EXPECT_EQ(outcomes[1].Answer.Result, Outcome::Done);
}

} // namespace
} // namespace oriolebay::entry
