// Jobs in queues to which the operator gives other names, or other prefixes
// that select the same calls.
#include "memorycluster.h"
#include "testnames.h"

#include "jobs/jobrecord.h"

#include <gtest/gtest.h>

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace oriolebay::cluster {
namespace {

using jobs::CallResult;
using jobs::JobState;

constexpr const char *Key = "k1";
constexpr const char *OtherKey = "k2";
constexpr int Entries = 3;
constexpr int64_t LongMs = 120000;
constexpr int64_t ShortMs = 200;
/// Time by which all entries use a configuration.
constexpr absl::Duration AppliedWithin = absl::Seconds(3);
constexpr absl::Duration CallLimit = absl::Seconds(4);
/// Time by which the tasks of a cancelled job have ended.
constexpr absl::Duration CancelledWithin = absl::Seconds(4);

using Queues = std::vector<core::QueueConfig>;
/// Makes the queues of the next configuration from those of the last one.
using Change = std::function<void(Queues &queues)>;

struct ChangeRow : testnames::NamedRow {
  /// One configuration each, all of them in force before the next one.
  std::vector<Change> Changes;
  /// Where callers send their calls afterwards.
  std::string CallersUse = "q1";
  bool EntriesRestart = false;
  /// The path that tells the length of the queue selects it.
  bool IsLengthAskedFor = true;
};

class QueuesTest : public testing::Test {
protected:
  QueuesTest() : Cluster({.Entries = Entries, .Workers = 3}) {
    All = {makeQueue("q1"), makeQueue("q2")};
    configure();
    Cluster.runFor(absl::Seconds(5));
  }

  void configure() {
    Cluster.configureSite({{"org1", {Key}, 16}, {"org2", {OtherKey}, 16}}, All);
  }

  void configureNext(const Change &makeNext) {
    makeNext(All);
    configure();
    Cluster.runFor(AppliedWithin);
  }

  static core::JobSpec jobIn(const std::string &queue, const std::string &id,
                             int64_t ms) {
    core::JobSpec spec = makeJob(id, 2, 1, ms);
    spec.Queue = queue;
    return spec;
  }

  CallResult resultOf(const std::shared_ptr<MemoryCluster::CallerCall> &call) {
    for (absl::Duration t; t < CallLimit && !call->Answer;
         t += absl::Milliseconds(10))
      Cluster.runFor(absl::Milliseconds(10));
    return call->Answer ? call->Answer->Result : CallResult::Open;
  }

  void restartEntries() {
    for (int n = 0; n < Entries; ++n) {
      Cluster.killEntry(n);
      Cluster.startEntry(n);
    }
    Cluster.runFor(absl::Seconds(3));
  }

  void expectState(const std::string &job, JobState state) {
    for (int n = 0; n < Entries; ++n) {
      const auto call = Cluster.state(n, Key, job);
      ASSERT_EQ(resultOf(call), CallResult::Ok) << job << " at entry " << n;
      EXPECT_EQ(call->Answer->State, state) << job << " at entry " << n;
    }
  }

  MemoryCluster Cluster;
  Queues All;
};

class ChangedQueue : public QueuesTest,
                     public testing::WithParamInterface<ChangeRow> {
protected:
  void change() {
    for (const Change &makeNext : GetParam().Changes)
      configureNext(makeNext);
    if (GetParam().EntriesRestart)
      restartEntries();
    for (const char *job : {"jdone", "jlong", "jwaits", "jlate"})
      Cluster.sendCallsTo(GetParam().CallersUse, job);
  }

  core::JobSpec jobInNow(const std::string &id, int64_t ms) const {
    return jobIn(GetParam().CallersUse, id, ms);
  }
};

// Guards against accepted jobs that are said not to exist, and a cancellation
// that is acknowledged while its job runs on, because their queue has another
// name than the one that accepted them.
TEST_P(ChangedQueue, KeepsItsJobs) {
  ASSERT_EQ(resultOf(Cluster.submit(0, Key, jobIn("q1", "jdone", ShortMs))),
            CallResult::Ok);
  ASSERT_TRUE(Cluster.runUntilAllEnded(absl::Seconds(10)));
  ASSERT_EQ(resultOf(Cluster.submit(0, Key, jobIn("q1", "jlong", LongMs))),
            CallResult::Ok);
  Cluster.runFor(absl::Seconds(2));
  change();
  expectState("jdone", JobState::Completed);
  expectState("jlong", JobState::Running);
  const int starts = Cluster.starts();
  EXPECT_EQ(resultOf(Cluster.submit(1, Key, jobInNow("jlong", LongMs))),
            CallResult::Ok);
  EXPECT_EQ(resultOf(Cluster.cancel(2, Key, "jlong")), CallResult::Ok);
  Cluster.runFor(CancelledWithin);
  expectState("jlong", JobState::Cancelled);
  EXPECT_EQ(Cluster.starts(), starts);
}

// Guards against jobs that wait and are counted nowhere.
TEST_P(ChangedQueue, CountsItsJobs) {
  core::JobSpec waiting = jobIn("q1", "jwaits", ShortMs);
  waiting.Steps.front().NeedsLabel = "missing";
  ASSERT_EQ(resultOf(Cluster.submit(0, Key, waiting)), CallResult::Ok);
  Cluster.runFor(absl::Seconds(2));
  change();
  expectState("jwaits", JobState::Queued);
  for (int n = 0; n < Entries && GetParam().IsLengthAskedFor; ++n) {
    const auto call = Cluster.countQueued(n, Key, GetParam().CallersUse);
    ASSERT_EQ(resultOf(call), CallResult::Ok);
    EXPECT_EQ(call->Answer->Waiting, 1) << n;
  }
}

// Guards against a job that runs although its cancellation was acknowledged,
// because the queue was renamed before its submission arrived.
TEST_P(ChangedQueue, BarsTheIdsThatWereCancelledInIt) {
  EXPECT_EQ(resultOf(Cluster.cancel(1, Key, "jlate")), CallResult::UnknownJob);
  change();
  EXPECT_EQ(resultOf(Cluster.submit(0, Key, jobInNow("jlate", ShortMs))),
            CallResult::IdTaken);
  Cluster.runFor(absl::Seconds(3));
  EXPECT_EQ(Cluster.starts(), 0);
}

// Guards against jobs that other organisations can read or cancel.
TEST_P(ChangedQueue, KeepsItsJobsFromOthers) {
  ASSERT_EQ(resultOf(Cluster.submit(0, Key, jobIn("q1", "jlong", LongMs))),
            CallResult::Ok);
  Cluster.runFor(absl::Seconds(1));
  change();
  EXPECT_EQ(resultOf(Cluster.state(1, OtherKey, "jlong")),
            CallResult::UnknownJob);
  EXPECT_EQ(resultOf(Cluster.cancel(1, OtherKey, "jlong")),
            CallResult::UnknownJob);
  expectState("jlong", JobState::Running);
}

const Change Rename = [](Queues &queues) { queues[0].Name = "q1-next"; };
const Change Remove = [](Queues &queues) { queues.erase(queues.begin()); };
const Change AddByAnotherName = [](Queues &queues) {
  queues.push_back(makeQueue("q1"));
  queues.back().Name = "q1-next";
};
const Change ExchangeNames = [](Queues &queues) {
  std::swap(queues[0].Name, queues[1].Name);
};
const Change LengthenPrefix = [](Queues &queues) {
  queues[0].Prefix = "/q1/next/";
};
const Change RenameAndShortenPrefix = [](Queues &queues) {
  queues[0].Name = "q1-next";
  queues[0].Prefix = "/q1";
};
const Change RenameAndSelectTheJobs = [](Queues &queues) {
  queues[0].Name = "q1-next";
  queues[0].Prefix = "/q1/j";
};
const Change SplitOffTheJobs = [](Queues &queues) {
  queues.push_back(makeQueue("q3"));
  queues.back().Prefix = "/q1/j";
};
const Change AddOneForAllPaths = [](Queues &queues) {
  queues.push_back(makeQueue("all"));
  queues.back().Prefix = "/";
};
const Change Join = [](Queues &queues) {
  queues = {makeQueue("all")};
  queues.front().Prefix = "/";
};

const ChangeRow ChangeRows[] = {
    {{"not_at_all"}, {}},
    {{"renamed"}, {Rename}},
    {{"renamed_before_restarts"}, {Rename}, "q1", true},
    {{"removed_and_added_by_another_name"}, {Remove, AddByAnotherName}},
    {{"removed_and_added_before_restarts"},
     {Remove, AddByAnotherName},
     "q1",
     true},
    {{"names_exchanged"}, {ExchangeNames}},
    {{"names_exchanged_before_restarts"}, {ExchangeNames}, "q1", true},
    {{"longer_prefix"}, {LengthenPrefix}, "q1/next"},
    {{"longer_prefix_beside_one_for_all"},
     {AddOneForAllPaths, LengthenPrefix},
     "q1/next"},
    {{"renamed_with_shorter_prefix"}, {RenameAndShortenPrefix}},
    {{"renamed_with_prefix_of_the_jobs"},
     {RenameAndSelectTheJobs},
     "q1",
     false,
     false},
    {{"split"}, {SplitOffTheJobs}},
    {{"joined"}, {Join}},
};

INSTANTIATE_TEST_SUITE_P(Table, ChangedQueue, testing::ValuesIn(ChangeRows),
                         testnames::rowName);

// Guards against a job that is accepted and never runs, because the
// organisation uses its id in another queue, too.
TEST_F(QueuesTest, DoNotShareIds) {
  ASSERT_EQ(resultOf(Cluster.submit(0, Key, jobIn("q1", "jlong", LongMs))),
            CallResult::Ok);
  EXPECT_EQ(resultOf(Cluster.submit(1, Key, jobIn("q2", "jlong", LongMs))),
            CallResult::IdTaken);
  EXPECT_EQ(resultOf(Cluster.submit(2, Key, jobIn("q1", "jlong", LongMs))),
            CallResult::Ok);
}

// Guards against the same where both submissions arrive at one time.
TEST_F(QueuesTest, DoNotShareIdsThatAreSubmittedAtOneTime) {
  const auto first = Cluster.submit(0, Key, jobIn("q1", "jlong", LongMs));
  const auto second = Cluster.submit(1, Key, jobIn("q2", "jlong", LongMs));
  const std::set<CallResult> results{resultOf(first), resultOf(second)};
  EXPECT_EQ(results, (std::set{CallResult::Ok, CallResult::IdTaken}));
}

// Guards against a job that runs although its cancellation was acknowledged,
// because its id was then cancelled in another queue, too.
TEST_F(QueuesTest, KeepIdsBarredThatAreCancelledInAnotherOne) {
  EXPECT_EQ(resultOf(Cluster.cancel(1, Key, "jlate")), CallResult::UnknownJob);
  Cluster.sendCallsTo("q2", "jlate");
  EXPECT_EQ(resultOf(Cluster.cancel(2, Key, "jlate")), CallResult::UnknownJob);
  EXPECT_EQ(resultOf(Cluster.submit(0, Key, jobIn("q1", "jlate", ShortMs))),
            CallResult::IdTaken);
}

// Guards against jobs that are stopped or lost for good once the operator has
// removed their queue.
TEST_F(QueuesTest, ThatAreRemovedLeaveTheirJobsRunning) {
  ASSERT_EQ(resultOf(Cluster.submit(0, Key, jobIn("q1", "jlong", 8000))),
            CallResult::Ok);
  Cluster.runFor(absl::Seconds(1));
  configureNext(Remove);
  EXPECT_EQ(resultOf(Cluster.state(1, Key, "jlong")), CallResult::UnknownQueue);
  Cluster.sendCallsTo("q2", "jlong");
  expectState("jlong", JobState::Running);
  Cluster.runFor(absl::Seconds(6));
  expectState("jlong", JobState::Completed);
}

/// Who may see a job: of a caller with the first key, or of one without a key,
/// in a queue that is public or not, which may change.
struct AccessRow : testnames::NamedRow {
  const char *SubmittedWith;
  const char *AskedWith;
  bool WasPublic;
  bool IsPublic;
  const char *AskedIn;
  CallResult Result;
};

class JobAccess : public QueuesTest,
                  public testing::WithParamInterface<AccessRow> {};

// Guards against jobs that others may see or cancel, and against jobs that
// their own callers may not.
TEST_P(JobAccess, IsThatOfTheQueueNow) {
  const AccessRow &row = GetParam();
  configureNext([&row](Queues &queues) { queues[0].Public = row.WasPublic; });
  ASSERT_EQ(resultOf(Cluster.submit(0, row.SubmittedWith,
                                    jobIn("q1", "jlong", LongMs))),
            CallResult::Ok);
  Cluster.runFor(absl::Seconds(1));
  configureNext([&row](Queues &queues) {
    queues[0].Public = row.IsPublic;
    queues[1].Public = row.IsPublic;
  });
  Cluster.sendCallsTo(row.AskedIn, "jlong");
  EXPECT_EQ(resultOf(Cluster.state(1, row.AskedWith, "jlong")), row.Result);
  EXPECT_EQ(resultOf(Cluster.cancel(2, row.AskedWith, "jlong")), row.Result);
}

const AccessRow AccessRows[] = {
    {{"own"}, Key, Key, false, false, "q1", CallResult::Ok},
    {{"own_in_another_queue"}, Key, Key, false, false, "q2", CallResult::Ok},
    {{"of_others"}, Key, OtherKey, false, false, "q1", CallResult::UnknownJob},
    {{"of_others_in_another_queue"},
     Key,
     OtherKey,
     false,
     false,
     "q2",
     CallResult::UnknownJob},
    {{"without_a_key"}, Key, "", false, false, "q1", CallResult::BadKey},
    {{"public"}, Key, "", true, true, "q1", CallResult::Ok},
    {{"public_in_another_queue"},
     Key,
     "",
     true,
     true,
     "q2",
     CallResult::UnknownJob},
    {{"public_now"}, Key, "", false, true, "q1", CallResult::Ok},
    {{"public_no_more"}, Key, Key, true, false, "q1", CallResult::Ok},
    {{"public_no_more_for_others"},
     Key,
     OtherKey,
     true,
     false,
     "q1",
     CallResult::UnknownJob},
    {{"of_nobody_in_a_public_queue"}, "", "", true, true, "q1", CallResult::Ok},
    {{"of_nobody_in_a_public_queue_with_a_key"},
     "",
     Key,
     true,
     true,
     "q1",
     CallResult::Ok},
    {{"of_nobody_in_a_queue_that_is_public_no_more"},
     "",
     Key,
     true,
     false,
     "q1",
     CallResult::Ok},
};

INSTANTIATE_TEST_SUITE_P(Table, JobAccess, testing::ValuesIn(AccessRows),
                         testnames::rowName);

/// Changes of a queue that has jobs of an earlier version.
struct EarlierRow : testnames::NamedRow {
  Change MakeNext;
};

class JobsOfAnEarlierVersion : public QueuesTest,
                               public testing::WithParamInterface<EarlierRow> {
protected:
  /// Has the store keep the record as an earlier version writes it.
  void removeAddress(const std::string &job) {
    const std::string key = jobs::specKey(job);
    ASSERT_EQ(Cluster.store().items().count(key), 1U);
    jobs::JobRecord record =
        jobs::decodeRecord(Cluster.store().items().at(key).Value).value();
    record.Spec.Address = {};
    Cluster.store().put(key, encode(record));
    Cluster.runFor(absl::Seconds(2));
  }
};

// Guards against jobs whose records name their queue and no address, that are
// said not to exist once the queue has changed.
TEST_P(JobsOfAnEarlierVersion, AreKept) {
  ASSERT_EQ(resultOf(Cluster.submit(0, Key, jobIn("q1", "jlong", LongMs))),
            CallResult::Ok);
  removeAddress("jlong");
  configureNext(GetParam().MakeNext);
  expectState("jlong", JobState::Running);
  EXPECT_EQ(resultOf(Cluster.state(1, OtherKey, "jlong")),
            CallResult::UnknownJob);
  EXPECT_EQ(resultOf(Cluster.submit(0, Key, jobIn("q1", "jlong", LongMs))),
            CallResult::Ok);
  EXPECT_EQ(resultOf(Cluster.cancel(1, Key, "jlong")), CallResult::Ok);
  Cluster.runFor(CancelledWithin);
  expectState("jlong", JobState::Cancelled);
}

// Guards against an id that is accepted after it was cancelled, because an
// entry of an earlier version has written that.
TEST_P(JobsOfAnEarlierVersion, StayBarred) {
  ASSERT_EQ(resultOf(Cluster.cancel(0, Key, "jlate")), CallResult::UnknownJob);
  removeAddress("jlate");
  configureNext(GetParam().MakeNext);
  EXPECT_EQ(resultOf(Cluster.submit(1, Key, jobIn("q1", "jlate", ShortMs))),
            CallResult::IdTaken);
}

const EarlierRow EarlierRows[] = {
    {{"not_at_all"}, [](Queues &) {}},
    {{"renamed"}, Rename},
    {{"names_exchanged"}, ExchangeNames},
    {{"joined"}, Join},
};

INSTANTIATE_TEST_SUITE_P(Table, JobsOfAnEarlierVersion,
                         testing::ValuesIn(EarlierRows), testnames::rowName);

} // namespace
} // namespace oriolebay::cluster
