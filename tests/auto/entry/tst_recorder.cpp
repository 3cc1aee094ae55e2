#include "core/codec.h"
#include "entry/recorder.h"
#include "harness/launcher.h"
#include "platform/leaderelection.h"
#include "testnames.h"
#include "waituntil.h"

#include <gtest/gtest.h>

#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <vector>

namespace oriolebay::entry {
namespace {

using core::JobAnswer;
using core::Outcome;
using nlohmann::json;

constexpr long CallTimeoutMs = 5000;
constexpr size_t QueueCapacity = 16;
constexpr int64_t RetryAfterMs = 500;
constexpr const char *RequestKey = "/oriolebay/requests/org/key";
constexpr const char *GangKey = "/oriolebay/gangs/gang-1/1";

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

  json storedRequest() {
    auto item = Kv->get(RequestKey);
    return item && *item ? json::parse((*item)->Value) : json();
  }

  // Waits until the recorder has written all that it was given so far.
  void awaitEnds() {
    testwaits::waitUntil([this] {
      auto item = Kv->get(GangKey);
      return item && !*item;
    });
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

struct HolderCase {
  const char *Name;
  /// The stored record of the request when the run of gang-1 ends as failed.
  json Stored;
  /// The gang and the outcome that are stored afterwards.
  std::string Gang;
  Outcome Result;
};

void PrintTo(const HolderCase &c, std::ostream *out) { *out << c.Name; }

class EndOfAnAdoptedRun : public RecorderAtStore,
                          public testing::WithParamInterface<HolderCase> {};

// Guards against the answer of a request that is replaced by that of a gang
// which never ran: the record of its start was written late.
TEST_P(EndOfAnAdoptedRun, AnswersOnlyItsOwnRequest) {
  ASSERT_TRUE(Kv->put(GangKey, "{}"));
  if (!GetParam().Stored.is_null()) {
    ASSERT_TRUE(Kv->put(RequestKey, GetParam().Stored.dump()));
  }
  Runs->recordEnd(endOf("gang-1", Outcome::Failed));
  awaitEnds();
  const json stored = storedRequest();
  EXPECT_EQ(stored.at("gang"), GetParam().Gang);
  EXPECT_EQ(stored.at("answer").get<JobAnswer>().Result, GetParam().Result);
}

const HolderCase HolderCases[] = {
    {"Own", {{"gang", "gang-1"}}, "gang-1", Outcome::Failed},
    {"Missing", {}, "gang-1", Outcome::Failed},
    {"OfAnotherGang",
     {{"gang", "gang-2"}, {"answer", makeAnswer(Outcome::Done)}},
     "gang-2",
     Outcome::Done},
};

INSTANTIATE_TEST_SUITE_P(Table, EndOfAnAdoptedRun,
                         testing::ValuesIn(HolderCases),
                         [](const auto &info) { return info.param.Name; });

} // namespace
} // namespace oriolebay::entry
