#include "jobs/urgentdemandestimator.h"

#include <gtest/gtest.h>

namespace oriolebay::jobs {
namespace {

struct DemandCase {
  const char *Name;
  /// Jobs of this many accelerators arrive, one each IntervalMs, for
  /// DurationMs.
  int64_t Accelerators;
  int IntervalMs;
  int DurationMs;
  /// Time without arrivals after the last job.
  int IdleMs;
  double AtLeast;
  double AtMost;
};

std::ostream &operator<<(std::ostream &out, const DemandCase &c) {
  return out << c.Name;
}

class DemandEstimate : public ::testing::TestWithParam<DemandCase> {};

// Compares the accelerators expected to be requested within one second with the
// bounds of the case.
TEST_P(DemandEstimate, TracksRecentArrivals) {
  const DemandCase &c = GetParam();
  UrgentDemandEstimator estimator;
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  for (int ms = 0; ms < c.DurationMs; ms += c.IntervalMs) {
    estimator.recordArrival(c.Accelerators, now);
    now += absl::Milliseconds(c.IntervalMs);
  }
  now += absl::Milliseconds(c.IdleMs);
  const double need = estimator.expectedDemand(absl::Seconds(1), now);
  EXPECT_GE(need, c.AtLeast);
  EXPECT_LE(need, c.AtMost);
}

// The mean is accelerators times jobs per second. The deviation of that many
// independent jobs adds accelerators times the square root of their number.
// Between jobs that are 4 s apart the estimate decays by a fifth.
INSTANTIATE_TEST_SUITE_P(
    Table, DemandEstimate,
    ::testing::Values(DemandCase{"none", 8, 100, 0, 0, 0, 0},
                      DemandCase{"many_small", 1, 100, 60000, 0, 12, 15},
                      DemandCase{"few_wide", 40, 4000, 60000, 0, 24, 36},
                      DemandCase{"known_early", 8, 500, 2000, 0, 20, 40},
                      DemandCase{"over_long_ago", 8, 100, 20000, 120000, 0, 2}),
    [](const auto &info) { return info.param.Name; });

} // namespace
} // namespace oriolebay::jobs
