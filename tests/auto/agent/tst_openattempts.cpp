#include "agent/openattempts.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

namespace oriolebay::agent {
namespace {

using endpoints::OpenStart;
using endpoints::RunId;

const RunId TestRun{"j.0.0.0", 1};

struct SentAttempt {
  int SentAtMs;
  bool Answered = false;
};

struct OpenCase {
  const char *Name;
  std::vector<SentAttempt> Attempts;
  int AtMs;
  /// Time for which the run may still be started; none if it may not.
  std::optional<int64_t> PossibleForMs;
};

void PrintTo(const OpenCase &c, std::ostream *out) { *out << c.Name; }

class StartWithAttempts : public testing::TestWithParam<OpenCase> {};

// Guards against a start that counts as impossible while one of its attempts
// may still be carried out, and against a task that waits for an attempt that
// was answered.
TEST_P(StartWithAttempts, IsPossibleWhileAnAttemptIsOpen) {
  const absl::Time start = absl::UnixEpoch();
  OpenAttempts attempts;
  std::vector<OpenAttempts::AttemptNumber> numbers;
  for (const SentAttempt &attempt : GetParam().Attempts)
    numbers.push_back(attempts.open(
        TestRun, {"life", 1}, start + absl::Milliseconds(attempt.SentAtMs)));
  for (size_t n = 0; n < numbers.size(); ++n)
    if (GetParam().Attempts[n].Answered)
      attempts.close(numbers[n]);
  std::vector<OpenStart> expected;
  if (GetParam().PossibleForMs)
    expected.push_back({TestRun.Task, TestRun.Run, *GetParam().PossibleForMs});
  EXPECT_EQ(attempts.openStarts(start + absl::Milliseconds(GetParam().AtMs)),
            expected);
}

INSTANTIATE_TEST_SUITE_P(
    Table, StartWithAttempts,
    testing::Values(
        OpenCase{"in_flight", {{0}}, 1, 14999},
        OpenCase{"answered", {{0, true}}, 1, std::nullopt},
        OpenCase{"without_answer_to_the_end", {{0}}, 14999, 1},
        OpenCase{"without_answer_long_ago", {{0}}, 15000, std::nullopt},
        OpenCase{"first_one_open", {{0}, {300, true}}, 1000, 14000},
        OpenCase{"second_one_open", {{0, true}, {300}}, 1000, 14300},
        OpenCase{"both_open", {{0}, {300}}, 1000, 14300}),
    [](const auto &test) { return std::string(test.param.Name); });

// Guards against an attempt that counts as harmless for every incarnation
// because one of them has confirmed a stop.
TEST(OpenAttempts, ConfirmedStopHoldsForItsIncarnationOnly) {
  const absl::Time now = absl::UnixEpoch();
  OpenAttempts attempts;
  attempts.open(TestRun, {"life", 1}, now);
  EXPECT_TRUE(attempts.pendingStops({"life", 1}, now).empty());
  attempts.recordStopped(TestRun, {"life", 2});
  EXPECT_TRUE(attempts.pendingStops({"life", 2}, now).empty());
  EXPECT_EQ(attempts.pendingStops({"life", 3}, now),
            (std::vector<OpenAttempts::PendingStop>{{TestRun, "life"}}));
  EXPECT_EQ(attempts.openRuns(now), std::vector<RunId>{TestRun});
}

// Guards against tasks that wait for attempts to a worker id that is no longer
// used.
TEST(OpenAttempts, AttemptsToUnusedIdsAreDropped) {
  const absl::Time now = absl::UnixEpoch();
  OpenAttempts attempts;
  attempts.open(TestRun, {"life", 1}, now);
  attempts.open({"k.0.0.0", 1}, {"next-life", 2}, now);
  attempts.closeOtherIds("next-life");
  EXPECT_EQ(attempts.openRuns(now), (std::vector<RunId>{{"k.0.0.0", 1}}));
  attempts.closeId("next-life");
  EXPECT_TRUE(attempts.openRuns(now).empty());
}

// Guards against a start by an earlier process of the agent that nobody stops
// at the next incarnation, and against a stop of the run that is still wanted.
TEST(OpenAttempts, AdoptedOnesAreStoppedWhereTheyMustNotRun) {
  const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  OpenAttempts attempts;
  attempts.adopt({{"over", 1, 9000}, {"w", 0}}, now);
  attempts.adopt({{"wanted", 1, 9000}, {"w", 7}}, now);
  attempts.adopt({{"wanted", 1, 9000}, {"w", 7}}, now);
  EXPECT_EQ(attempts.openRuns(now).size(), 2u);
  EXPECT_EQ(attempts.pendingStops({"w", 7}, now).size(), 1u);
  EXPECT_EQ(attempts.pendingStops({"w", 8}, now).size(), 2u);
  EXPECT_TRUE(attempts.openRuns(now + absl::Seconds(9)).empty());
}

} // namespace
} // namespace oriolebay::agent
