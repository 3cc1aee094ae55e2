#include "entry/decisionpacer.h"

#include <gtest/gtest.h>

namespace oriolebay::entry {
namespace {

struct PaceCase {
  const char *Name;
  int TakesMs;
  /// Of a second in which something is to be decided all the time.
  int MostMsDeciding;
  int LeastDecisions;
};

std::ostream &operator<<(std::ostream &out, const PaceCase &c) {
  return out << c.Name;
}

class Paces : public ::testing::TestWithParam<PaceCase> {};

// A burst of urgent gangs at a large site: each look at what waits takes the
// leader tens of milliseconds, and each end brings another. Callers saw all
// running work lapse, because grants waited behind decisions.
TEST_P(Paces, DecisionsTakeABoundedShareOfTheTime) {
  constexpr int Rest = 3;
  DecisionPacer pacer(Rest);
  const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
  absl::Time now = start;
  int decisions = 0;
  absl::Duration deciding = absl::ZeroDuration();
  while (now < start + absl::Seconds(1)) {
    if (pacer.due(now)) {
      const absl::Time began = now;
      now += absl::Milliseconds(GetParam().TakesMs);
      pacer.decided(began, now);
      deciding += now - began;
      ++decisions;
    }
    now += absl::Milliseconds(1);
  }
  EXPECT_LE(deciding, absl::Milliseconds(GetParam().MostMsDeciding));
  EXPECT_GE(decisions, GetParam().LeastDecisions);
}

INSTANTIATE_TEST_SUITE_P(Table, Paces,
                         ::testing::Values(PaceCase{"no_time", 0, 0, 999},
                                           PaceCase{"short", 2, 260, 100},
                                           PaceCase{"long", 50, 260, 4}),
                         [](const auto &info) { return info.param.Name; });

} // namespace
} // namespace oriolebay::entry
