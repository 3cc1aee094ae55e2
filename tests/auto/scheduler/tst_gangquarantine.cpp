// How the failed members of a gang count for the workers that ran them.
#include "scheduler/gangscheduler.h"

#include <gtest/gtest.h>

#include <string>

using namespace oriolebay;

namespace {

constexpr int Members = 8;
const std::string WorkerId = "w0";

core::JobRequest makeGang() {
  core::JobRequest job;
  job.Id = "job";
  job.Organisation = "guest";
  job.Profile = "site";
  job.GangShape = {Members, 1, 100};
  job.Idempotent = true;
  return job;
}

/// A scheduler with one worker that holds the whole gang.
class GangOnOneWorker : public testing::Test {
protected:
  GangOnOneWorker()
      : Sched(placement::ClusterState(placement::placePacked, 500), policy(),
              "t", Now) {
    Sched.onProfile({"site", 1, 100000, {}});
    announce();
  }

  void announce() {
    Sched.onAnnounce({{WorkerId, "fd0", "r0", Members, ""}, 1, false, 0, {}},
                     false, Now);
  }

  /// Submits the gang or, where it is waiting, starts it again. Returns its
  /// run.
  std::string startedRun() {
    Sched.tick(Now);
    std::string run;
    for (const scheduler::Action &action : Sched.takeActions())
      if (const auto *start = std::get_if<scheduler::StartGang>(&action))
        run = start->Run;
    return run;
  }

  void failAllMembers(const std::string &run) {
    for (int m = 0; m < Members; ++m)
      Sched.onTaskResult({run, m, WorkerId, endpoints::TaskEnd::Failed, "", ""},
                         Now);
  }

  static scheduler::Policy policy() {
    scheduler::Policy p;
    p.MaxPending = 64;
    return p;
  }

  absl::Time Now = absl::UnixEpoch();
  scheduler::GangScheduler Sched;
};

// Guards against workers that are quarantined, for longer with each member,
// because several members of one run fail there together.
TEST_F(GangOnOneWorker, CountsAsOneFailureWhereItsMembersFail) {
  Sched.submit({"g0", makeGang()}, Now);
  const std::string run = startedRun();
  ASSERT_FALSE(run.empty());
  failAllMembers(run);
  EXPECT_FALSE(Sched.state().isQuarantined(WorkerId, Now));
}

} // namespace
