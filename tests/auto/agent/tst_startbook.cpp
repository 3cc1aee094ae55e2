#include "agent/startbook.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace oriolebay::agent {
namespace {

enum class Seen { Sent, Taken, Listed, NeverBegan, Answered, Unanswered };

struct Step {
  int AtMs;
  Seen What;
};

struct Case {
  const char *Name;
  std::vector<Step> Steps;
  /// The start counts as one that may have crashed the worker, or that the next
  /// life may carry out where somebody listens, and where nobody does.
  bool JustBegun;
  bool MayBegin = true;
  bool MayBeginLater = true;
};

void PrintTo(const Case &c, std::ostream *out) { *out << c.Name; }

const endpoints::RunId OneRun{"j.0.0.0", 1};

class StartBeforeAnEnd : public testing::TestWithParam<Case> {
protected:
  StartBook play() const;
};

StartBook StartBeforeAnEnd::play() const {
  const absl::Time start = absl::UnixEpoch();
  const endpoints::RunId &run = OneRun;
  StartBook book;
  for (const Step &step : GetParam().Steps) {
    const absl::Time now = start + absl::Milliseconds(step.AtMs);
    switch (step.What) {
    case Seen::Sent:
      book.sent(run, now);
      break;
    case Seen::Taken:
      book.taken(run);
      break;
    case Seen::Listed:
      book.listed(run);
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
  return book;
}

// Guards against a crash that is blamed on a task that has nothing to do with
// it, and against one that is not blamed on the task that caused it.
TEST_P(StartBeforeAnEnd, CountsAsItsCauseIfItMayBe) {
  EXPECT_EQ(play().justBegun().size(), GetParam().JustBegun ? 1u : 0u);
}

// Guards against a start that its worker's next life carries out unnoticed, and
// against work that waits for that life although it is certainly gone.
TEST_P(StartBeforeAnEnd, IsSettledAtTheNextLifeIfThatMayHaveIt) {
  const StartBook book = play();
  EXPECT_EQ(book.mayStillBegin(false).size(), GetParam().MayBegin ? 1u : 0u);
  EXPECT_EQ(book.mayStillBegin(true).size(),
            GetParam().MayBeginLater ? 1u : 0u);
}

INSTANTIATE_TEST_SUITE_P(
    Table, StartBeforeAnEnd,
    testing::Values(
        Case{"answered_then_crashed",
             {{0, Seen::Answered},
              {10, Seen::Sent},
              {12, Seen::Taken},
              {12, Seen::Answered},
              {22, Seen::Unanswered}},
             true,
             true,
             false},
        Case{"listed_then_crashed",
             {{0, Seen::Answered},
              {10, Seen::Sent},
              {12, Seen::Answered},
              {14, Seen::Listed},
              {22, Seen::Unanswered}},
             true,
             false,
             false},
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
             {{0, Seen::Sent},
              {10, Seen::Listed},
              {500, Seen::Answered},
              {600, Seen::Unanswered}},
             false,
             false,
             false},
        Case{"never_seen_though_the_worker_lives_on",
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
             false,
             false,
             false}),
    [](const auto &test) { return std::string(test.param.Name); });

} // namespace
} // namespace oriolebay::agent
