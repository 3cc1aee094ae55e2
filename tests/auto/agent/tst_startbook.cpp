#include "agent/startbook.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace oriolebay::agent {
namespace {

enum class Seen { Sent, NeverBegan, Answered, Unanswered };

struct Step {
  int AtMs;
  Seen What;
};

struct Case {
  const char *Name;
  std::vector<Step> Steps;
  /// The start counts as one that may have crashed the worker.
  bool JustBegun;
};

void PrintTo(const Case &c, std::ostream *out) { *out << c.Name; }

class StartBeforeACrash : public testing::TestWithParam<Case> {};

// Guards against a crash that is blamed on a task that has nothing to do with
// it, and against one that is not blamed on the task that caused it.
TEST_P(StartBeforeACrash, CountsIfItMayBeWhy) {
  const absl::Time start = absl::UnixEpoch();
  const endpoints::RunId run{"j.0.0.0", 1};
  StartBook book;
  for (const Step &step : GetParam().Steps) {
    const absl::Time now = start + absl::Milliseconds(step.AtMs);
    switch (step.What) {
    case Seen::Sent:
      book.sent(run, now);
      break;
    case Seen::NeverBegan:
      book.neverBegan(run);
      break;
    case Seen::Answered:
      book.answered(now);
      break;
    case Seen::Unanswered:
      book.unanswered(now);
      break;
    }
  }
  EXPECT_EQ(book.justBegun().size(), GetParam().JustBegun ? 1u : 0u);
}

INSTANTIATE_TEST_SUITE_P(
    Table, StartBeforeACrash,
    testing::Values(
        Case{"answered_then_crashed",
             {{0, Seen::Answered},
              {10, Seen::Sent},
              {12, Seen::Answered},
              {22, Seen::Unanswered}},
             true},
        Case{"crashed_before_the_answer",
             {{0, Seen::Answered}, {10, Seen::Sent}, {20, Seen::Unanswered}},
             true},
        Case{"sent_again_without_answer",
             {{0, Seen::Answered},
              {10, Seen::Sent},
              {20, Seen::Unanswered},
              {80, Seen::Sent}},
             true},
        Case{"outlived_by_the_worker",
             {{0, Seen::Sent}, {500, Seen::Answered}, {600, Seen::Unanswered}},
             false},
        Case{"crash_seen_late",
             {{0, Seen::Sent}, {400, Seen::Answered}, {900, Seen::Unanswered}},
             true},
        Case{"sent_to_a_worker_that_was_silent",
             {{0, Seen::Answered}, {100, Seen::Unanswered}, {200, Seen::Sent}},
             false},
        Case{"sent_after_a_moment_of_silence",
             {{0, Seen::Answered},
              {100, Seen::Unanswered},
              {150, Seen::Answered},
              {200, Seen::Sent},
              {210, Seen::Unanswered}},
             true},
        Case{"refused",
             {{0, Seen::Answered},
              {10, Seen::Sent},
              {12, Seen::NeverBegan},
              {22, Seen::Unanswered}},
             false}),
    [](const auto &test) { return std::string(test.param.Name); });

} // namespace
} // namespace oriolebay::agent
