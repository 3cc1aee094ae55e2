#include "placement/clusterstate.h"
#include "testnames.h"

#include <gtest/gtest.h>

using namespace oriolebay;
using core::NotRunReason;

namespace {

const absl::Time Start = absl::UnixEpoch();

core::Profile makeProfile(int64_t version = 1, int64_t cap = 10000) {
  return core::Profile{"site", version, cap, {{"big", 8, 8}, {"small", 4, 1}}};
}

// Returns a cluster of two workers with 8 accelerators each in one rack: of
// the 16 accelerators, 12 are guaranteed and 4 are shared.
placement::ClusterState makeState() {
  placement::ClusterState state(placement::placePacked, 500);
  state.upsertWorker({"w1", "fd", "r", 8, "tcp://127.0.0.1:1"}, 1, Start);
  state.upsertWorker({"w2", "fd", "r", 8, "tcp://127.0.0.1:2"}, 1, Start);
  state.applyProfile(makeProfile());
  return state;
}

core::JobRequest makeJob(const std::string &id, const std::string &org,
                         core::Shape shape) {
  core::JobRequest job;
  job.Id = id;
  job.Organisation = org;
  job.Profile = "site";
  job.GangShape = shape;
  return job;
}

core::JobRequest nonIdempotent(core::JobRequest job) {
  job.Idempotent = false;
  job.IdempotencyKey = job.Id;
  return job;
}

struct AdmissionCase {
  const char *Description;
  std::vector<core::JobRequest> Before;
  core::JobRequest Job;
  NotRunReason Expected;
};

class Admission : public testing::TestWithParam<AdmissionCase> {};

TEST_P(Admission, AllocatesOrRefusesWithExpectedReason) {
  const AdmissionCase &c = GetParam();
  auto state = makeState();
  for (const auto &job : c.Before)
    ASSERT_TRUE(std::holds_alternative<placement::Allocation>(
        state.admit(job.Id, job, Start)))
        << c.Description;
  auto decision = state.admit(c.Job.Id, c.Job, Start);
  if (c.Expected == NotRunReason::None) {
    EXPECT_TRUE(std::holds_alternative<placement::Allocation>(decision))
        << c.Description;
    return;
  }
  ASSERT_TRUE(std::holds_alternative<placement::Refusal>(decision))
      << c.Description;
  const auto &refusal = std::get<placement::Refusal>(decision);
  EXPECT_EQ(refusal.Reason, c.Expected) << c.Description;
  // A refusal that may be lifted names a retry delay; a permanent one does
  // not.
  EXPECT_EQ(refusal.RetryAfterMs == 0, c.Expected == NotRunReason::CanNeverFit)
      << c.Description;
}

INSTANTIATE_TEST_SUITE_P(
    Table, Admission,
    testing::Values(
        AdmissionCase{"a guaranteed organisation gets its guaranteed capacity",
                      {},
                      makeJob("a", "big", {1, 8, 100}),
                      NotRunReason::None},
        AdmissionCase{"idle guaranteed capacity is lent to a preemptible gang",
                      {makeJob("b1", "other", {1, 8, 100})},
                      makeJob("b2", "other", {1, 8, 100}),
                      NotRunReason::None},
        // All accelerators of both workers are borrowed; the organisation's
        // gang is admitted and waits until a borrower has been stopped.
        AdmissionCase{"a guarantee is reclaimed from borrowers",
                      {makeJob("b1", "other", {1, 8, 100}),
                       makeJob("b2", "other", {1, 8, 100})},
                      makeJob("a", "big", {1, 8, 100}),
                      NotRunReason::None},
        AdmissionCase{"a borrower does not preempt another borrower",
                      {makeJob("b1", "other", {1, 8, 100}),
                       makeJob("b2", "other", {1, 8, 100})},
                      makeJob("b3", "other", {1, 1, 100}),
                      NotRunReason::NoCapacity},
        // 4 of the 16 accelerators are guaranteed to no organisation: a
        // non-preemptible gang without a guarantee may use only these.
        AdmissionCase{"a non-idempotent gang may use shared capacity",
                      {},
                      nonIdempotent(makeJob("b1", "other", {1, 4, 100})),
                      NotRunReason::None},
        AdmissionCase{
            "a non-idempotent gang cannot use guaranteed capacity of others",
            {nonIdempotent(makeJob("b1", "other", {1, 4, 100}))},
            nonIdempotent(makeJob("b2", "other", {1, 1, 100})),
            NotRunReason::OverGuarantee},
        AdmissionCase{"a non-idempotent gang larger than the shared capacity",
                      {},
                      nonIdempotent(makeJob("b1", "other", {1, 8, 100})),
                      NotRunReason::CanNeverFit},
        AdmissionCase{"a gang wider than any worker can never fit",
                      {},
                      makeJob("a", "big", {1, 9, 100}),
                      NotRunReason::CanNeverFit},
        AdmissionCase{"a gang over the power cap can never fit",
                      {},
                      makeJob("a", "big", {1, 1, 20000}),
                      NotRunReason::CanNeverFit},
        AdmissionCase{"running gangs count towards the power cap",
                      {makeJob("p1", "big", {1, 8, 9000})},
                      makeJob("p2", "small", {1, 1, 2000}),
                      NotRunReason::PowerCap},
        AdmissionCase{"an unknown profile is refused with a retry",
                      {},
                      [] {
                        auto job = makeJob("a", "big", {1, 1, 1});
                        job.Profile = "nope";
                        return job;
                      }(),
                      NotRunReason::UnknownProfile}),
    [](const auto &info) {
      return oriolebay::testnames::testNameFrom(info.param.Description);
    });

// Guards against a profile that is reverted: an operator writes version 3, and
// a delayed watch delivers version 2 afterwards. The older version must be
// rejected, so that version 3 stays in force.
TEST(Profiles, OlderVersionIsRejected) {
  auto state = makeState();
  EXPECT_TRUE(state.applyProfile(makeProfile(3, 5000)));
  EXPECT_FALSE(state.applyProfile(makeProfile(2, 9000)));
  EXPECT_EQ(state.profile("site")->PowerCapWatts, 5000);
}

// A worker sends no heartbeats because its host has failed. After the timeout
// it must be removed, and the ids of its jobs must be returned, so that their
// callers get an answer.
TEST(Workers, UnresponsiveWorkerExpiresAndItsJobsAreReturned) {
  auto state = makeState();
  ASSERT_TRUE(std::holds_alternative<placement::Allocation>(
      state.admit("a", makeJob("a", "big", {1, 8, 100}), Start)));
  state.upsertWorker({"w2", "fd", "r", 8, "tcp://127.0.0.1:2"}, 1,
                     Start + absl::Seconds(5));
  auto lostJobs = state.expireWorkers(absl::UnixEpoch() + absl::Seconds(5),
                                      absl::Seconds(3));
  EXPECT_EQ(lostJobs, std::vector<std::string>{"a"});
  EXPECT_FALSE(state.isWorkerKnown("w1"));
  EXPECT_TRUE(state.isWorkerKnown("w2"));
}

// Guards against preempting a gang that runs within its organisation's own
// guarantee. Guests without a guarantee fill the rest of the site, and another
// organisation then claims its guarantee: only guests may be preempted. The
// fault occurred when gangs with few accelerators per member were allowed to
// borrow: they counted as borrowers and were preempted.
TEST(Reclaim, GangWithinItsGuaranteeIsNotPreempted) {
  auto state = makeState();
  ASSERT_TRUE(std::holds_alternative<placement::Allocation>(
      state.admit("own", makeJob("own", "big", {2, 1, 100}), Start)));
  for (const char *guest : {"g1", "g2", "g3", "g4", "g5", "g6", "g7"})
    state.admit(guest, makeJob(guest, "guest", {1, 2, 100}), Start);
  auto decision = state.admit(
      "claim", nonIdempotent(makeJob("c", "small", {4, 1, 100})), Start);
  ASSERT_TRUE(std::holds_alternative<placement::Allocation>(decision));
  EXPECT_EQ(std::get<placement::Allocation>(decision).WaitsFor.count("own"),
            0u);
  EXPECT_TRUE(state.allocation("own")->hasOwnCapacity());
}

// No new gang may be placed on a worker that drains.
TEST(Workers, DrainingWorkerGetsNoNewGang) {
  auto state = makeState();
  state.markDraining("w1");
  state.markDraining("w2");
  auto decision = state.admit("a", makeJob("a", "big", {1, 1, 100}), Start);
  ASSERT_TRUE(std::holds_alternative<placement::Refusal>(decision));
  EXPECT_EQ(std::get<placement::Refusal>(decision).Reason,
            NotRunReason::NoCapacity);
}

} // namespace
