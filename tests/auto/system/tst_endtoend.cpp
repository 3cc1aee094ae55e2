#include "harness/workload.h"
#include "systemfixture.h"
#include "testnames.h"

#include <gtest/gtest.h>

#include <csignal>
#include <future>
#include <sys/wait.h>

using namespace oriolebay;
using nlohmann::json;

namespace {

using testing_system::Profile;
using testing_system::singleMemberJob;
using testing_system::submit;
using testing_system::System;
using testwaits::waitUntil;

// Many callers submit at once: gangs and single tasks, some non-idempotent.
// Each caller must get its own answer with every member's result. Each member
// of a non-idempotent job must run exactly once; others run again only after a
// preemption.
TEST_F(System, EveryCallerGetsItsOwnCompleteAnswer) {
  json workload = {{"seed", 5},
                   {"jobs",
                    {{{"name", "gang"},
                      {"organisation", "ovenmaker-a"},
                      {"profile", "site"},
                      {"count", 8},
                      {"members", 2},
                      {"accelerators_per_member", 4},
                      {"run_ms", 60},
                      {"spacing_ms", 30}},
                     {{"name", "check"},
                      {"organisation", "ovenmaker-b"},
                      {"profile", "site"},
                      {"class", "urgent"},
                      {"count", 24},
                      {"members", 1},
                      {"accelerators_per_member", 1},
                      {"run_ms", 10},
                      {"spacing_ms", 10}},
                     {{"name", "plan"},
                      {"organisation", "ovenmaker-b"},
                      {"profile", "site"},
                      {"class", "urgent"},
                      {"count", 8},
                      {"members", 1},
                      {"accelerators_per_member", 2},
                      {"run_ms", 10},
                      {"spacing_ms", 20},
                      {"idempotent", false}}}}};
  auto records = bench::runWorkload(Cluster->httpPort(),
                                    bench::planWorkload(workload), nullptr);
  json runs = backend().value("runs", json::object());
  size_t expectedRuns = 0;
  int extraRuns = 0;
  for (const auto &r : records) {
    ASSERT_EQ(r.Answer.JobId, r.Job.Request.Id);
    ASSERT_EQ(r.Answer.Result, core::Outcome::Done) << r.Answer.Detail;
    ASSERT_EQ(static_cast<int>(r.Answer.Members.size()),
              r.Job.Request.GangShape.Members);
    for (int m = 0; m < r.Job.Request.GangShape.Members; ++m) {
      const int n = runs.value(r.Job.Request.Id + "#" + std::to_string(m), 0);
      EXPECT_GE(n, 1) << r.Job.Request.Id;
      if (!r.Job.Request.Idempotent) {
        EXPECT_EQ(n, 1) << r.Job.Request.Id;
      }
      extraRuns += n - 1;
    }
    expectedRuns += static_cast<size_t>(r.Job.Request.GangShape.Members);
  }
  EXPECT_EQ(runs.size(), expectedRuns);
  // A gang beyond its organisation's guarantee may be preempted for another
  // organisation's guarantee and start again; without a preemption nothing runs
  // twice.
  constexpr int LargestGang = 2;
  EXPECT_LE(extraRuns, LargestGang * stats().value("gangs_stopped", 0));
}

enum class Fault { LostStoreReply, StoreOutage };

struct FaultCase {
  const char *Description;
  Fault Kind;
  core::Outcome Expected;
  int ExpectedRuns;
};

class StoreFaults : public System,
                    public testing::WithParamInterface<FaultCase> {};

TEST_P(StoreFaults, NonIdempotentRequestRunsAtMostOnce) {
  const FaultCase &c = GetParam();
  if (c.Kind == Fault::LostStoreReply)
    injectStoreFault({{"lose_replies", 1}});
  else
    injectStoreFault({{"outage", true}});
  auto first = submit(Cluster->httpPort(), singleMemberJob("order-1", false));
  EXPECT_EQ(first.Result, c.Expected) << c.Description << ": " << first.Detail;
  if (first.Result == core::Outcome::NotRun) {
    EXPECT_GT(first.RetryAfterMs, 0) << c.Description;
  }
  EXPECT_EQ(runCount("order-1#0"), c.ExpectedRuns) << c.Description;
  injectStoreFault({{"outage", false}, {"lose_replies", 0}});
  if (c.Kind == Fault::LostStoreReply) {
    // The caller retries with the same idempotency key: it gets the first
    // answer, and the request does not run again.
    auto again = submit(Cluster->httpPort(), singleMemberJob("order-1", false));
    EXPECT_EQ(again, first) << c.Description;
    EXPECT_EQ(runCount("order-1#0"), 1) << c.Description;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table, StoreFaults,
    testing::Values(
        // The store creates the at-most-once record, but its reply is lost.
        // The entry retries, finds its own token in the record and runs the
        // request once; it must not refuse it as a duplicate.
        FaultCase{"lost reply", Fault::LostStoreReply, core::Outcome::Done, 1},
        // The store is unavailable when a request arrives. The entry cannot
        // record it, so it must not run it and must answer "not run" with a
        // retry delay.
        FaultCase{"store outage", Fault::StoreOutage, core::Outcome::NotRun,
                  0}),
    [](const auto &info) {
      return oriolebay::testnames::testNameFrom(info.param.Description);
    });

// The host of an endpoint is taken out of service: its agent gets SIGTERM,
// notifies the entry that it drains, and exits. Afterwards no job may be placed
// on its worker, while the other workers still get jobs.
TEST_F(System, DrainingEndpointGetsNoNewJob) {
  kill(Cluster->agentPid(0), SIGTERM);
  waitpid(Cluster->agentPid(0), nullptr, 0);
  for (int i = 0; i < 6; ++i) {
    auto a =
        submit(Cluster->httpPort(),
               singleMemberJob("after-leave-" + std::to_string(i), true, 8));
    ASSERT_EQ(a.Result, core::Outcome::Done) << a.Detail;
    EXPECT_NE(a.Members.at(0).WorkerId, "w0");
  }
}

// An operator stops the entry with SIGTERM while a caller's job runs. The entry
// must wait for this job before it exits, so that the caller still gets the
// complete answer.
TEST_F(System, GracefulStopOfAnEntryInterruptsNoJob) {
  auto answer = std::async(std::launch::async, [&] {
    return submit(Cluster->httpPort(), singleMemberJob("long", true, 1, 800));
  });
  waitUntil([&] { return runCount("long#0") > 0; });
  kill(Cluster->entryPid(0), SIGTERM);
  auto a = answer.get();
  EXPECT_EQ(a.Result, core::Outcome::Done) << a.Detail;
}

// Guards against a lost update: two operators read the same profile version and
// both write a change. The store accepts the first write; the second must fail
// with a conflict that names the current version, and must not overwrite the
// first operator's change.
TEST_F(System, SecondOfTwoConcurrentProfileWritesFailsWithAConflict) {
  const int64_t version = stats().value("profile_version", 0);
  json first = Profile;
  first["power_cap_watts"] = 90000;
  json second = Profile;
  second["power_cap_watts"] = 80000;
  Cluster->putProfile(first, version);
  EXPECT_THROW(Cluster->putProfile(second, version), std::runtime_error);
  waitUntil([&] { return stats().value("profile_version", 0) != version; });
  auto a = submit(Cluster->httpPort(), [] {
    auto j = singleMemberJob("over-second-cap", true);
    j.GangShape.PowerWattsPerMember = 85000;
    return j;
  }());
  // 85 kW fits only under the first operator's cap of 90 kW: the job runs only
  // if the second write had no effect.
  EXPECT_EQ(a.Result, core::Outcome::Done) << a.Detail;
}

} // namespace
