#include "jobs/promise.h"
#include "jobs/speedbook.h"

#include <gtest/gtest.h>

#include <random>

namespace oriolebay::jobs {
namespace {

core::StepSpec step(int count, core::Resources each, int64_t ms,
                    std::vector<int> after = {}) {
  core::StepSpec s;
  s.Count = count;
  s.PerTask = each;
  s.EstimateMs = ms;
  s.After = std::move(after);
  return s;
}

absl::Duration estimate(const core::StepSpec &s) {
  return absl::Milliseconds(s.EstimateMs);
}

/// Eleven workers of 64 cores, 128 GB and 8 accelerators.
constexpr core::Resources Site{704000, 1441792, 88};

struct PromiseCase {
  const char *Name;
  std::vector<core::StepSpec> Steps;
  std::vector<int> Waves;
  int ChainMs;
};

void PrintTo(const PromiseCase &c, std::ostream *out) { *out << c.Name; }

class Promises : public ::testing::TestWithParam<PromiseCase> {};

TEST_P(Promises, CountWideStepsInWaves) {
  const PromiseCase &c = GetParam();
  const Promise p = promiseOf(c.Steps, Site, 1.5, 250, estimate);
  EXPECT_EQ(p.Waves, c.Waves);
  EXPECT_EQ(absl::ToInt64Milliseconds(p.Chain), c.ChainMs);
  EXPECT_EQ(p.Within, p.Chain * 1.5 + absl::Milliseconds(250));
  EXPECT_EQ(p.WorthlessAfter, p.Within * 3);
}

INSTANTIATE_TEST_SUITE_P(
    Promise, Promises,
    ::testing::Values(
        PromiseCase{"narrow", {step(2, {7500, 11000, 8}, 2500)}, {1}, 2500},
        PromiseCase{"over_a_quarter_by_accelerators",
                    {step(3, {7500, 11000, 8}, 2500)},
                    {2},
                    5000},
        PromiseCase{"over_a_quarter_by_memory",
                    {step(9, {26000, 68000, 1}, 1000)},
                    {2},
                    2000},
        PromiseCase{
            "whole_site", {step(11, {7500, 11000, 8}, 2000)}, {4}, 8000},
        PromiseCase{"longest_chain_of_several",
                    {step(1, {1, 1, 0}, 1000), step(30, {1, 1, 1}, 2000),
                     step(1, {1, 1, 0}, 500, {0, 1})},
                    {1, 2, 1},
                    4500}),
    [](const auto &info) { return info.param.Name; });

// A leader that has just been elected knows no worker yet. It must not take
// every job for one of many waves, which could wait for ever.
TEST(Promise, UnknownRoomCountsOneWave) {
  EXPECT_EQ(wavesOf(step(40, {1000, 100, 8}, 100), {}), 1);
}

// A third of the workers is slower by 1.3 times. Tasks of one step differ by an
// eighth among themselves, and their steps by ten times. Urgent work on the
// slow ones came late; from a day's work of batch jobs they must be known.
TEST(SpeedBook, LearnsSlowWorkersFromTasksOfOneStep) {
  std::mt19937_64 random(7);
  std::lognormal_distribution<> uneven(0, 0.12);
  std::lognormal_distribution<> stepWork(1, 0.7);
  SpeedBook book;
  for (int s = 0; s < 16; ++s) {
    const double work = stepWork(random);
    for (int task = 0; task < 9; ++task) {
      const int w = static_cast<int>(random() % 11);
      const double slow = w % 3 == 2 ? 1.3 : 1.0;
      book.took("step" + std::to_string(s), "w" + std::to_string(w),
                absl::Seconds(work * slow * uneven(random)));
    }
    book.forget("step" + std::to_string(s));
  }
  for (int w = 0; w < 11; ++w)
    EXPECT_EQ(book.isSlow("w" + std::to_string(w)), w % 3 == 2)
        << w << ": " << book.slowness("w" + std::to_string(w));
}

TEST(SpeedBook, UnknownWorkersAreSound) {
  SpeedBook book;
  EXPECT_EQ(book.slowness("w"), 1);
  book.took("s", "w", absl::Seconds(3));
  EXPECT_EQ(book.slowness("w"), 1);
}

// Slow for a while and then sound again: what was learned must not stick.
TEST(SpeedBook, ForgetsASpeedThatChanged) {
  SpeedBook book;
  auto play = [&](double slow, int from) {
    for (int s = from; s < from + 12; ++s)
      for (const char *w : {"a", "b", "c"})
        book.took(std::to_string(s), w,
                  absl::Seconds(*w == 'c' ? 2 * slow : 2.0));
  };
  play(6, 0);
  EXPECT_GT(book.slowness("c"), 3);
  play(1, 100);
  EXPECT_LT(book.slowness("c"), 1.5);
}

} // namespace
} // namespace oriolebay::jobs
