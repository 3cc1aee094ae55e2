#include "utils/memorybudget.h"

#include <gtest/gtest.h>

#include <memory>
#include <thread>
#include <vector>

namespace oriolebay::utils {
namespace {

constexpr size_t Small = SmallReservationBytes;

struct RoomCase {
  const char *Name;
  size_t Used;
  size_t Held;
  size_t Wanted;
  bool FindsRoom;
};

class Rooms : public testing::TestWithParam<RoomCase> {};

// Guards against large requests that leave no room for small ones.
TEST_P(Rooms, KeepRoomForSmallReservations) {
  const RoomCase &c = GetParam();
  auto budget = std::make_shared<MemoryBudget>(10 * Small, 2 * Small);
  std::vector<MemoryReservation> others;
  for (size_t used = 0; used < c.Used; used += Small) {
    others.emplace_back(budget);
    ASSERT_TRUE(others.back().tryGrow(Small));
  }
  MemoryReservation reservation(budget);
  ASSERT_TRUE(reservation.tryGrow(c.Held));
  EXPECT_EQ(reservation.tryGrow(c.Wanted), c.FindsRoom);
  EXPECT_EQ(reservation.bytes(), c.Held + (c.FindsRoom ? c.Wanted : 0));
  EXPECT_EQ(budget->usedBytes(), c.Used + reservation.bytes());
  EXPECT_EQ(budget->refusals(), c.FindsRoom ? 0U : 1U);
}

const RoomCase RoomCases[] = {
    {"large_in_empty", 0, 0, 8 * Small, true},
    {"large_in_the_small_part", 0, 0, 8 * Small + 1, false},
    {"small_beside_large", 8 * Small, 0, Small, true},
    {"slightly_larger_beside_large", 8 * Small, 0, Small + 1, false},
    {"small_in_full", 10 * Small, 0, 1, false},
    {"small_grows_large_in_full", 8 * Small, Small, 1, false},
    {"small_grows_large_in_calm", 0, Small, Small, true},
    {"announced_without_bound", 0, 1, SIZE_MAX, false},
};

INSTANTIATE_TEST_SUITE_P(Table, Rooms, testing::ValuesIn(RoomCases),
                         [](const auto &info) { return info.param.Name; });

// Guards against a budget that shrinks with each request.
TEST(MemoryReservation, GivesBackEachByteOnce) {
  auto budget = std::make_shared<MemoryBudget>(1000, 0);
  {
    MemoryReservation first(budget);
    ASSERT_TRUE(first.tryGrow(700));
    MemoryReservation second(std::move(first));
    MemoryReservation third(budget);
    ASSERT_TRUE(third.tryGrow(300));
    EXPECT_EQ(budget->usedBytes(), 1000U);
    third = std::move(second);
    EXPECT_EQ(budget->usedBytes(), 700U);
    third.shrinkTo(800);
    EXPECT_EQ(budget->usedBytes(), 700U);
    third.shrinkTo(100);
    EXPECT_EQ(budget->usedBytes(), 100U);
  }
  EXPECT_EQ(budget->usedBytes(), 0U);
}

// Guards against bytes that are lost or used twice by threads at once.
TEST(MemoryBudget, CountsReservationsOfManyThreads) {
  constexpr int Threads = 8;
  constexpr int Rounds = 2000;
  constexpr size_t Bytes = 30;
  auto budget = std::make_shared<MemoryBudget>(Threads * Bytes / 2, 0);
  std::vector<std::thread> threads;
  threads.reserve(Threads);
  for (int i = 0; i < Threads; ++i)
    threads.emplace_back([&budget] {
      for (int round = 0; round < Rounds; ++round) {
        MemoryReservation reservation(budget);
        if (reservation.tryGrow(Bytes)) {
          EXPECT_LE(budget->usedBytes(), budget->totalBytes());
        }
      }
    });
  for (std::thread &it : threads)
    it.join();
  EXPECT_EQ(budget->usedBytes(), 0U);
}

} // namespace
} // namespace oriolebay::utils
