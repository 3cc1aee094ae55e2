#include "jobs/demandbook.h"

#include <gtest/gtest.h>

namespace oriolebay::jobs {
namespace {

struct DemandCase {
  const char *Name;
  /// Jobs of so many accelerators, one each so many milliseconds, for so long.
  int64_t Accelerators;
  int EveryMs;
  int ForMs;
  /// Then nothing comes for so long.
  int QuietMs;
  double AtLeast;
  double AtMost;
};

std::ostream &operator<<(std::ostream &out, const DemandCase &c) {
  return out << c.Name;
}

class Demands : public ::testing::TestWithParam<DemandCase> {};

// What will be asked for within a second.
TEST_P(Demands, FollowWhatComes) {
  const DemandCase &c = GetParam();
  DemandBook book;
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  for (int ms = 0; ms < c.ForMs; ms += c.EveryMs) {
    book.arrived(c.Accelerators, now);
    now += absl::Milliseconds(c.EveryMs);
  }
  now += absl::Milliseconds(c.QuietMs);
  const double need = book.within(absl::Seconds(1), now);
  EXPECT_GE(need, c.AtLeast);
  EXPECT_LE(need, c.AtMost);
}

// The mean is accelerators times jobs a second; the deviation of so many
// independent jobs adds accelerators times the root of their number. Between
// jobs that are 4 s apart the estimate fades by a fifth.
INSTANTIATE_TEST_SUITE_P(
    Table, Demands,
    ::testing::Values(DemandCase{"none", 8, 100, 0, 0, 0, 0},
                      DemandCase{"many_small", 1, 100, 60000, 0, 12, 15},
                      DemandCase{"few_wide", 40, 4000, 60000, 0, 24, 36},
                      DemandCase{"known_early", 8, 500, 2000, 0, 20, 40},
                      DemandCase{"over_long_ago", 8, 100, 20000, 120000, 0, 2}),
    [](const auto &info) { return info.param.Name; });

} // namespace
} // namespace oriolebay::jobs
