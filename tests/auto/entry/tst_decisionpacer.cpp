#include "entry/decisionpacer.h"

#include <gtest/gtest.h>

namespace oriolebay::entry {
namespace {

struct PaceCase {
  const char *Name;
  int DecisionMs;
  /// Limits for one second in which a scheduling pass is always due.
  int MaxDecidingMs;
  int MinDecisions;
};

std::ostream &operator<<(std::ostream &out, const PaceCase &c) {
  return out << c.Name;
}

class Paces : public ::testing::TestWithParam<PaceCase> {};

// Guards against grants that are delayed by scheduling passes until all running
// tasks lapse. This occurred in a burst of urgent gangs at a large site: each
// pass took the leader tens of milliseconds, and each end of a run triggered
// another.
TEST_P(Paces, SchedulingPassesTakeABoundedShareOfTheTime) {
  constexpr int Rest = 3;
  DecisionPacer pacer(Rest);
  const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
  absl::Time now = start;
  int decisions = 0;
  absl::Duration deciding = absl::ZeroDuration();
  while (now < start + absl::Seconds(1)) {
    if (pacer.isDue(now)) {
      const absl::Time passStart = now;
      now += absl::Milliseconds(GetParam().DecisionMs);
      pacer.recordDecision(passStart, now);
      deciding += now - passStart;
      ++decisions;
    }
    now += absl::Milliseconds(1);
  }
  EXPECT_LE(deciding, absl::Milliseconds(GetParam().MaxDecidingMs));
  EXPECT_GE(decisions, GetParam().MinDecisions);
}

INSTANTIATE_TEST_SUITE_P(Table, Paces,
                         ::testing::Values(PaceCase{"no_time", 0, 0, 999},
                                           PaceCase{"short", 2, 260, 100},
                                           PaceCase{"long", 50, 260, 4}),
                         [](const auto &info) { return info.param.Name; });

} // namespace
} // namespace oriolebay::entry
