// Cancellations of jobs that the store does not have, or does not have yet.
#include "memorycluster.h"

#include "jobs/jobrecord.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

namespace oriolebay::cluster {
namespace {

using jobs::CallResult;

constexpr const char *Key = "k1";
constexpr const char *OtherKey = "k2";
constexpr const char *JobId = "job";
constexpr int Tasks = 2;
constexpr int64_t WorkMs = 500;
constexpr int Serving = 0;
/// Time after which a write that got no answer is not carried out any more.
constexpr absl::Duration LateWriteLimit = absl::Seconds(7);
constexpr absl::Duration CallLimit = absl::Seconds(4);
/// How long tombstones are kept, and some time for their removal.
constexpr absl::Duration Retention = absl::Seconds(160);

/// How the caller cancels the job whose submission has been left open.
struct CancelCase {
  const char *Name;
  /// The entry that is asked first.
  int At;
  bool ServingEntryRestarts = false;
  /// The caller leaves before it has the answer to its submission.
  bool CallerLeaves = false;
};

void PrintTo(const CancelCase &c, std::ostream *out) { *out << c.Name; }

class CancelledIds : public testing::Test {
protected:
  CancelledIds() : Cluster({.Entries = 3, .Workers = 2}) {
    Cluster.configure({Key, OtherKey});
    Cluster.runFor(absl::Seconds(5));
  }

  static core::JobSpec job() { return makeJob(JobId, Tasks, 1, WorkMs); }

  void setLateWrites(double share) {
    for (int n = 0; n < 3; ++n)
      Cluster.store().faults(MemoryCluster::entryName(n)).LateWriteShare =
          share;
  }

  CallResult resultOf(const std::shared_ptr<MemoryCluster::CallerCall> &call) {
    for (absl::Duration t; t < CallLimit && !call->Answer;
         t += absl::Milliseconds(10))
      Cluster.runFor(absl::Milliseconds(10));
    return call->Answer ? call->Answer->Result : CallResult::Open;
  }

  /// Cancels at one entry after the other until the answer is firm.
  CallResult cancelFrom(int first) {
    CallResult result = CallResult::Open;
    for (int n = 0; n < 3 && result == CallResult::Open; ++n)
      result = resultOf(Cluster.cancel((first + n) % 3, Key, JobId));
    return result;
  }

  bool isRecordStored() {
    return Cluster.store().items().count(jobs::specKey(JobId)) != 0;
  }

  MemoryCluster Cluster;
};

class OpenSubmission : public CancelledIds,
                       public testing::WithParamInterface<CancelCase> {};

// Guards against a job that runs although its cancellation was acknowledged,
// because a write of its submission is carried out late.
TEST_P(OpenSubmission, DoesNotRunOnceItIsCancelled) {
  const CancelCase &c = GetParam();
  setLateWrites(1);
  const auto submission = Cluster.submit(Serving, Key, job());
  if (c.CallerLeaves)
    Cluster.runFor(absl::Milliseconds(500));
  else
    EXPECT_EQ(resultOf(submission), CallResult::Open);
  setLateWrites(0);
  if (c.ServingEntryRestarts) {
    Cluster.killEntry(Serving);
    Cluster.startEntry(Serving);
    Cluster.runFor(absl::Seconds(1));
  }
  const CallResult result = cancelFrom(c.At);
  ASSERT_TRUE(result == CallResult::UnknownJob || result == CallResult::Ok)
      << jobs::callResultName(result);
  const int starts = Cluster.starts();
  Cluster.runFor(LateWriteLimit * 2);
  EXPECT_EQ(Cluster.starts(), starts);
}

INSTANTIATE_TEST_SUITE_P(
    Table, OpenSubmission,
    testing::Values(CancelCase{"AtAnotherEntry", 1},
                    CancelCase{"AtTheThirdEntry", 2},
                    CancelCase{"AtTheServingEntry", Serving},
                    CancelCase{"AtTheServingEntryOnceRestarted", Serving, true},
                    CancelCase{"AfterItsCallerHasLeft", 1, false, true}),
    [](const auto &info) { return info.param.Name; });

// Guards against a job that runs although its cancellation was acknowledged,
// because its caller's submission arrives once more.
TEST_F(CancelledIds, AreNotTakenByALaterSubmission) {
  EXPECT_EQ(cancelFrom(1), CallResult::UnknownJob);
  EXPECT_EQ(resultOf(Cluster.submit(2, Key, job())), CallResult::IdTaken);
  EXPECT_EQ(resultOf(Cluster.state(2, Key, JobId)), CallResult::UnknownJob);
  EXPECT_EQ(cancelFrom(0), CallResult::UnknownJob);
  Cluster.runFor(absl::Seconds(3));
  EXPECT_EQ(Cluster.starts(), 0);
}

// Guards against organisations that can keep others from using an id.
TEST_F(CancelledIds, StayFreeForOtherOrganisations) {
  EXPECT_EQ(cancelFrom(1), CallResult::UnknownJob);
  EXPECT_EQ(resultOf(Cluster.submit(2, OtherKey, job())), CallResult::Ok);
  EXPECT_TRUE(Cluster.runUntilAllEnded(absl::Seconds(30)));
  EXPECT_EQ(Cluster.finalState(JobId), jobs::JobState::Completed);
  EXPECT_EQ(cancelFrom(0), CallResult::UnknownJob);
  EXPECT_EQ(resultOf(Cluster.state(0, OtherKey, JobId)), CallResult::Ok);
}

// Guards against a late write of one organisation that takes effect because
// another one has cancelled the id, too.
TEST_F(CancelledIds, AreBarredForEachOrganisationThatCancels) {
  EXPECT_EQ(resultOf(Cluster.cancel(1, OtherKey, JobId)),
            CallResult::UnknownJob);
  EXPECT_EQ(cancelFrom(2), CallResult::UnknownJob);
  EXPECT_EQ(resultOf(Cluster.submit(0, Key, job())), CallResult::IdTaken);
}

// Guards against calls without access that write to the store.
TEST_F(CancelledIds, AreNotBarredWithoutAKey) {
  EXPECT_EQ(resultOf(Cluster.cancel(1, "unknown", JobId)), CallResult::BadKey);
  EXPECT_FALSE(isRecordStored());
}

// Guards against tombstones that stay in the store for good, and leaders that
// do not remove those that an earlier one knew.
TEST_F(CancelledIds, AreFreeAgainAfterTheRetention) {
  EXPECT_EQ(cancelFrom(1), CallResult::UnknownJob);
  EXPECT_TRUE(isRecordStored());
  Cluster.killEntry(Cluster.leader());
  Cluster.runFor(absl::Seconds(10));
  Cluster.runFor(Retention);
  EXPECT_FALSE(isRecordStored());
  EXPECT_EQ(resultOf(Cluster.submit(Cluster.leader(), Key, job())),
            CallResult::Ok);
  EXPECT_TRUE(Cluster.runUntilAllEnded(absl::Seconds(30)));
  EXPECT_EQ(Cluster.finalState(JobId), jobs::JobState::Completed);
}

} // namespace
} // namespace oriolebay::cluster
