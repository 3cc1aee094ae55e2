#include "agent/starttracker.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace oriolebay::agent {
namespace {

enum class EventKind {
  Sent,
  Accepted,
  Listed,
  Ended,
  NotStarted,
  Answered,
  Unanswered,
  ConnectionClosed,
  TimedOut
};

struct Event {
  int AtMs;
  EventKind Kind;
};

struct StartCase {
  const char *Name;
  std::vector<Event> Events;
  /// Whether the start may have crashed the worker.
  bool MayHaveCausedCrash;
  /// Whether the next incarnation may still carry out the start if something
  /// listens at the worker's address, and if nothing does.
  bool MayStillBegin = true;
  bool MayStillBeginIfNothingListens = true;
};

void PrintTo(const StartCase &c, std::ostream *out) { *out << c.Name; }

const endpoints::RunId TestRun{"j.0.0.0", 1};

class StartBeforeWorkerEnd : public testing::TestWithParam<StartCase> {
protected:
  StartTracker replay() const;
};

StartTracker StartBeforeWorkerEnd::replay() const {
  const absl::Time start = absl::UnixEpoch();
  const endpoints::RunId &run = TestRun;
  StartTracker tracker;
  for (const Event &event : GetParam().Events) {
    const absl::Time now = start + absl::Milliseconds(event.AtMs);
    switch (event.Kind) {
    case EventKind::Sent:
      tracker.recordSent(run, now);
      break;
    case EventKind::Accepted:
      tracker.recordAccepted(run);
      break;
    case EventKind::TimedOut:
      tracker.recordTimeout(run, now);
      break;
    case EventKind::Listed:
      tracker.recordListed(run);
      break;
    case EventKind::Ended:
      tracker.recordEnded(run);
      break;
    case EventKind::ConnectionClosed:
      tracker.recordConnectionClosed(now);
      break;
    case EventKind::NotStarted:
      tracker.recordNotStarted(run);
      break;
    case EventKind::Answered:
      tracker.recordAnswer(now);
      break;
    case EventKind::Unanswered:
      tracker.recordNoAnswer(now);
      break;
    }
  }
  return tracker;
}

// Guards against a crash that is attributed to an unrelated task, and against
// one that is not attributed to the task that caused it.
TEST_P(StartBeforeWorkerEnd, IsAPossibleCauseOfTheCrashWhenExpected) {
  EXPECT_EQ(replay().recentlyStartedRuns().size(),
            GetParam().MayHaveCausedCrash ? 1u : 0u);
}

// Guards against a start that the worker's next incarnation carries out
// unnoticed, and against a task that waits for the next incarnation although
// its start is certainly lost.
TEST_P(StartBeforeWorkerEnd, MayBeginInTheNextIncarnationWhenExpected) {
  const StartTracker tracker = replay();
  EXPECT_EQ(tracker.possibleLateStarts(false).size(),
            GetParam().MayStillBegin ? 1u : 0u);
  EXPECT_EQ(tracker.possibleLateStarts(true).size(),
            GetParam().MayStillBeginIfNothingListens ? 1u : 0u);
}

INSTANTIATE_TEST_SUITE_P(
    Table, StartBeforeWorkerEnd,
    testing::Values(StartCase{"answered_then_crashed",
                              {{0, EventKind::Answered},
                               {10, EventKind::Sent},
                               {12, EventKind::Accepted},
                               {12, EventKind::Answered},
                               {22, EventKind::Unanswered}},
                              true,
                              true,
                              false},
                    StartCase{"listed_then_crashed",
                              {{0, EventKind::Answered},
                               {10, EventKind::Sent},
                               {12, EventKind::Answered},
                               {14, EventKind::Listed},
                               {22, EventKind::Unanswered}},
                              true,
                              false,
                              false},
                    StartCase{"crashed_before_the_answer",
                              {{0, EventKind::Answered},
                               {10, EventKind::Sent},
                               {20, EventKind::Unanswered}},
                              true},
                    StartCase{"sent_again_without_answer",
                              {{0, EventKind::Answered},
                               {10, EventKind::Sent},
                               {20, EventKind::Unanswered},
                               {80, EventKind::Sent}},
                              true},
                    StartCase{"outlived_by_the_worker",
                              {{0, EventKind::Sent},
                               {10, EventKind::Listed},
                               {500, EventKind::Answered},
                               {600, EventKind::Unanswered}},
                              false,
                              false,
                              false},
                    StartCase{"never_listed_though_the_worker_kept_running",
                              {{0, EventKind::Sent},
                               {500, EventKind::Answered},
                               {600, EventKind::Unanswered}},
                              false},
                    StartCase{"crash_seen_late",
                              {{0, EventKind::Sent},
                               {400, EventKind::Answered},
                               {900, EventKind::Unanswered}},
                              true},
                    StartCase{"first_call_failed_too_late_for_a_crash_by_it",
                              {{0, EventKind::Answered},
                               {10, EventKind::Sent},
                               {12, EventKind::Accepted},
                               {12, EventKind::Answered},
                               {1420, EventKind::Unanswered}},
                              false,
                              true,
                              false},
                    StartCase{"ended_before_the_crash",
                              {{0, EventKind::Sent},
                               {10, EventKind::Listed},
                               {300, EventKind::Listed},
                               {300, EventKind::Ended},
                               {300, EventKind::Answered},
                               {320, EventKind::Unanswered}},
                              false,
                              false,
                              false},
                    StartCase{"connection_closed_long_after_the_start",
                              {{0, EventKind::Sent},
                               {10, EventKind::Listed},
                               {400, EventKind::Answered},
                               {700, EventKind::ConnectionClosed},
                               {700, EventKind::Unanswered}},
                              false,
                              false,
                              false},
                    StartCase{"connection_closed_right_after_the_start",
                              {{0, EventKind::Answered},
                               {300, EventKind::Sent},
                               {310, EventKind::ConnectionClosed},
                               {310, EventKind::Unanswered}},
                              true},
                    StartCase{"sent_to_an_unresponsive_worker",
                              {{0, EventKind::Answered},
                               {100, EventKind::Unanswered},
                               {200, EventKind::Sent}},
                              false},
                    StartCase{"sent_after_a_short_silence",
                              {{0, EventKind::Answered},
                               {100, EventKind::Unanswered},
                               {150, EventKind::Answered},
                               {200, EventKind::Sent},
                               {210, EventKind::Unanswered}},
                              true},
                    StartCase{"timed_out_before_the_crash",
                              {{0, EventKind::Answered},
                               {10, EventKind::Sent},
                               {260, EventKind::TimedOut},
                               {300, EventKind::Unanswered}},
                              false},
                    StartCase{"timed_out_after_the_crash",
                              {{0, EventKind::Answered},
                               {10, EventKind::Sent},
                               {20, EventKind::Unanswered},
                               {260, EventKind::TimedOut}},
                              true},
                    StartCase{"sent_again_before_the_crash",
                              {{0, EventKind::Answered},
                               {10, EventKind::Sent},
                               {260, EventKind::TimedOut},
                               {320, EventKind::Sent},
                               {330, EventKind::Unanswered}},
                              true},
                    StartCase{"sent_again_after_the_crash",
                              {{0, EventKind::Answered},
                               {10, EventKind::Sent},
                               {260, EventKind::TimedOut},
                               {300, EventKind::Unanswered},
                               {320, EventKind::Sent}},
                              false},
                    StartCase{"refused",
                              {{0, EventKind::Answered},
                               {10, EventKind::Sent},
                               {12, EventKind::NotStarted},
                               {22, EventKind::Unanswered}},
                              false,
                              false,
                              false}),
    [](const auto &test) { return std::string(test.param.Name); });

} // namespace
} // namespace oriolebay::agent
