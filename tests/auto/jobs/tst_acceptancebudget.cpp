// How many jobs the entries accept, by the memory that they take.
#include "jobs/acceptancebudget.h"

#include <gtest/gtest.h>

#include <ostream>
#include <vector>

namespace oriolebay::jobs {
namespace {

const absl::Time Start = absl::UnixEpoch();
constexpr size_t Limit = 1200;

struct RoomCase {
  const char *Name;
  size_t Bytes;
  size_t Known;
  size_t Entries;
  /// What this entry has sent a second ago.
  size_t Sent;
  bool HasRoom;
};

void PrintTo(const RoomCase &c, std::ostream *out) { *out << c.Name; }

class RoomForJobs : public testing::TestWithParam<RoomCase> {};

TEST_P(RoomForJobs, IsAShareOfWhatIsFree) {
  const RoomCase &c = GetParam();
  AcceptanceBudget budget;
  budget.recordSent(c.Sent, Start);
  EXPECT_EQ(budget.hasRoom(c.Bytes, c.Known, {Limit, c.Entries},
                           Start + absl::Seconds(1)),
            c.HasRoom);
}

INSTANTIATE_TEST_SUITE_P(
    Table, RoomForJobs,
    testing::Values(RoomCase{"AllForOne", 1200, 0, 1, 0, true},
                    RoomCase{"TooLarge", 1201, 0, 1, 0, false},
                    RoomCase{"ShareOfOneInThree", 400, 0, 3, 0, true},
                    RoomCase{"MoreThanItsShare", 401, 0, 3, 0, false},
                    RoomCase{"ShareIsUsedUp", 100, 400, 3, 400, false},
                    RoomCase{"RestOfItsShare", 100, 300, 3, 300, true},
                    RoomCase{"JobsOfOthers", 101, 900, 3, 0, false},
                    RoomCase{"Full", 1, 1200, 1, 0, false},
                    RoomCase{"BeyondTheLimit", 1, 5000, 1, 0, false},
                    RoomCase{"EntriesUnknown", 1200, 0, 0, 0, true}),
    [](const auto &info) { return info.param.Name; });

// Guards against entries whose memory is exceeded, because each takes all that
// is free before it learns of the others' jobs.
TEST(EntriesThatAcceptAtOnce, StayWithinTheLimitTogether) {
  constexpr size_t Entries = 4;
  constexpr size_t Job = 7;
  std::vector<AcceptanceBudget> budgets(Entries);
  std::vector<size_t> own(Entries);
  size_t total = 0;
  for (int round = 0; round < 1000; ++round)
    for (size_t n = 0; n < Entries; ++n) {
      const absl::Time now = Start + absl::Milliseconds(round);
      if (!budgets[n].hasRoom(Job, own[n], {Limit, Entries}, now))
        continue;
      budgets[n].recordSent(Job, now);
      own[n] += Job;
      total += Job;
    }
  EXPECT_LE(total, Limit);
  EXPECT_GT(total, Limit * 9 / 10);
}

struct RetryCase {
  const char *Name;
  size_t Known;
  /// What is freed in the ten seconds before the second refusal.
  size_t Freed;
  absl::Duration After;
};

void PrintTo(const RetryCase &c, std::ostream *out) { *out << c.Name; }

class RefusedForMemory : public testing::TestWithParam<RetryCase> {};

// Guards against callers who are told to come again long before or after there
// is room.
TEST_P(RefusedForMemory, ComeAgainWhenThereIsRoom) {
  const RetryCase &c = GetParam();
  const JobMemoryLimit limit{Limit, 1};
  AcceptanceBudget budget;
  budget.retryAfter(100, c.Known, limit, 0, Start);
  EXPECT_EQ(budget.retryAfter(100, c.Known, limit, c.Freed,
                              Start + absl::Seconds(10)),
            c.After);
}

INSTANTIATE_TEST_SUITE_P(
    Table, RefusedForMemory,
    testing::Values(
        RetryCase{"NothingFreed", 1200, 0, AcceptanceBudget::MaxRetryAfter},
        RetryCase{"Steadily", 1200, 200, absl::Seconds(5)},
        RetryCase{"Fast", 1200, 100'000, AcceptanceBudget::MinRetryAfter},
        RetryCase{"Slowly", 1200, 1, AcceptanceBudget::MaxRetryAfter},
        RetryCase{"OwnShare", 500, 0, AcceptanceBudget::ViewDelay}),
    [](const auto &info) { return info.param.Name; });

} // namespace
} // namespace oriolebay::jobs
