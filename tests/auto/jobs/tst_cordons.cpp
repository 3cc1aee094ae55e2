// Tests of decisions while the operator evacuates failure domains.
#include "simsite.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace oriolebay::jobs {
namespace {

constexpr core::Resources WholeWorker = {32000, 65536, 8};

core::StepSpec gangOf(int count) {
  core::StepSpec step;
  step.Count = count;
  step.PerTask = {1000, 1000, 8};
  step.EstimateMs = 1000;
  step.Gang = true;
  return step;
}

/// Three workers in each of two failure domains, d0 and d1, each of which is
/// one rack.
class CordonedDecision : public testing::Test {
protected:
  CordonedDecision() {
    for (int n = 0; n < 6; ++n) {
      const std::string index = std::to_string(n / 3);
      SimSite::Worker &worker =
          Site.addWorker("w" + std::to_string(n), "r" + index, WholeWorker);
      worker.State.FailureDomain = "d" + index;
    }
    Site.runFor(absl::Milliseconds(600));
  }
  void cordon(const std::set<std::string> &domains) {
    Site.scheduler().onCordons({domains});
  }
  std::string waitReason(const std::string &job) const {
    auto it =
        std::find_if(Site.Log.begin(), Site.Log.end(), [&](const Decision &d) {
          return d.What == Decision::Kind::Waiting && d.Job == job;
        });
    return it == Site.Log.end() ? "" : it->Why;
  }

  SimSite Site;
};

TEST_F(CordonedDecision, WorkGoesToOtherDomainsAtOnce) {
  cordon({"d0"});
  Site.submit(jobOf("j", gangOf(3)));
  Site.runFor(absl::Milliseconds(100));
  EXPECT_EQ(Site.workersOf("j"),
            (std::multiset<std::string>{"w3", "w4", "w5"}));
}

// Guards against a job that waits without a reason that an operator can see.
TEST_F(CordonedDecision, WaitForACordonIsLoggedAsSuch) {
  cordon({"d0"});
  Site.submit(jobOf("wide", gangOf(6)));
  Site.runFor(absl::Milliseconds(100));
  EXPECT_EQ(waitReason("wide"), WaitsForCordonReason);
  cordon({});
  Site.runFor(absl::Milliseconds(100));
  EXPECT_EQ(Site.workersOf("wide").size(), 6u);
}

// Guards against a wait that is put down to a cordon although the cordoned
// workers are busy too.
TEST_F(CordonedDecision, WaitForOtherWorkIsNotPutDownToACordon) {
  Site.submit(jobOf("first", gangOf(6)));
  Site.runFor(absl::Milliseconds(100));
  cordon({"d0"});
  Site.submit(jobOf("second", gangOf(3)));
  Site.runFor(absl::Milliseconds(100));
  EXPECT_EQ(waitReason("second"), "no capacity for the whole gang");
}

// Guards against a gang that waits for a rack which is cordoned.
TEST_F(CordonedDecision, GangForOneRackDoesNotWaitForACordonedOne) {
  Site.submit(jobOf("small", gangOf(1)));
  Site.runFor(absl::Milliseconds(100));
  ASSERT_EQ(Site.workersOf("small").size(), 1u);
  const bool inD0 = Site.workersOf("small").count("w0") != 0;
  cordon({inD0 ? "d1" : "d0"});
  core::StepSpec step = gangOf(3);
  step.SameRack = true;
  Site.submit(jobOf("gang", step));
  Site.runFor(absl::Milliseconds(1500));
  EXPECT_EQ(Site.workersOf("gang").size(), 3u);
}

// Guards against deadlines that count on workers which get no work.
TEST_F(CordonedDecision, CapacityCountsWithoutTheDomainAndAgainWithIt) {
  const Fleet &fleet = Site.scheduler().fleet();
  EXPECT_EQ(fleet.capacityOf("service").Accelerators, 48);
  cordon({"d0"});
  EXPECT_EQ(fleet.capacityOf("service").Accelerators, 24);
  cordon({});
  EXPECT_EQ(fleet.capacityOf("service").Accelerators, 48);
}

} // namespace
} // namespace oriolebay::jobs
