// Sets of numbers that are kept as ranges.
#include "jobs/numberranges.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <ostream>
#include <random>
#include <set>

namespace oriolebay::jobs {
namespace {

struct RangesCase {
  const char *Name;
  std::function<void(NumberRanges &)> Change;
  std::map<int, int> Ranges;
  int Count;
};

void PrintTo(const RangesCase &c, std::ostream *out) { *out << c.Name; }

class Ranges : public testing::TestWithParam<RangesCase> {};

TEST_P(Ranges, AreJoinedAndSplit) {
  NumberRanges ranges;
  GetParam().Change(ranges);
  EXPECT_EQ(ranges.ranges(), GetParam().Ranges);
  EXPECT_EQ(ranges.count(), GetParam().Count);
}

INSTANTIATE_TEST_SUITE_P(
    Table, Ranges,
    testing::Values(
        RangesCase{"None", [](NumberRanges &) {}, {}, 0},
        RangesCase{"Neighbours",
                   [](NumberRanges &r) {
                     r.insert(3);
                     r.insert(5);
                     r.insert(4);
                   },
                   {{3, 5}},
                   3},
        RangesCase{"Twice",
                   [](NumberRanges &r) {
                     r.insert(3);
                     r.insert(3);
                   },
                   {{3, 3}},
                   1},
        RangesCase{"Overlap",
                   [](NumberRanges &r) {
                     r.insert(2, 4);
                     r.insert(8, 9);
                     r.insert(3, 8);
                   },
                   {{2, 9}},
                   8},
        RangesCase{"Backwards", [](NumberRanges &r) { r.insert(5, 4); }, {}, 0},
        RangesCase{"ErasedWithin",
                   [](NumberRanges &r) {
                     r.insert(0, 4);
                     r.erase(2);
                   },
                   {{0, 1}, {3, 4}},
                   4},
        RangesCase{"ErasedAtEnds",
                   [](NumberRanges &r) {
                     r.insert(0, 4);
                     r.erase(0);
                     r.erase(4);
                     r.erase(7);
                   },
                   {{1, 3}},
                   3}),
    [](const auto &info) { return info.param.Name; });

TEST(RangesOfRandomNumbers, ContainWhatASetContains) {
  std::mt19937 random(7);
  std::set<int> expected;
  NumberRanges ranges;
  for (int n = 0; n < 5000; ++n) {
    const int number = static_cast<int>(random() % 60);
    if (random() % 2 == 0) {
      expected.insert(number);
      ranges.insert(number);
    } else {
      expected.erase(number);
      ranges.erase(number);
    }
    ASSERT_EQ(ranges.count(), static_cast<int>(expected.size()));
    for (int i = 0; i < 60; ++i)
      ASSERT_EQ(ranges.contains(i), expected.count(i) != 0);
  }
}

} // namespace
} // namespace oriolebay::jobs
