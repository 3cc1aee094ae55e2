#include "agent/tasktable.h"

#include <gtest/gtest.h>

using namespace oriolebay;
using agent::Task;
using agent::TaskTable;

namespace {

const absl::Time Start = absl::UnixEpoch();

endpoints::Reserve makeReserve(const std::string &run, std::vector<int> members,
                               int width) {
  return {1, run, std::move(members), width, 0};
}
endpoints::Run makeStart(const std::string &run, std::vector<int> members) {
  return {1, run, "job", std::move(members), "{}", "", 100};
}

class TaskTableTest : public testing::Test {
protected:
  bool tryStart(const std::string &run, std::vector<int> members) {
    std::vector<Task> out;
    return Tasks.start(makeStart(run, std::move(members)), out).empty();
  }
  TaskTable Tasks{8, absl::Seconds(10)};
};

// Guards against a task that runs twice: its start arrives a second time,
// resent by the transport or by an entry that did not receive the answer.
TEST_F(TaskTableTest, SecondStartIsRefused) {
  EXPECT_EQ(Tasks.reserve(makeReserve("r", {0, 1}, 4), Start), "");
  EXPECT_TRUE(tryStart("r", {0, 1}));
  EXPECT_FALSE(tryStart("r", {0, 1}));
  Tasks.endRun({"r", 0});
  Tasks.remove({"r", 0});
  EXPECT_NE(Tasks.reserve(makeReserve("r", {0}, 4), Start), "");
}

// Messages of one run arrive out of order: the release or the stop precedes the
// reservation or the start. No task of the run may start afterwards, because
// the leader considers the run ended.
TEST_F(TaskTableTest, NoTaskStartsAfterReleaseOrStop) {
  Tasks.release("late");
  EXPECT_NE(Tasks.reserve(makeReserve("late", {0}, 8), Start), "");
  EXPECT_EQ(Tasks.reserve(makeReserve("stopped", {0, 1}, 4), Start), "");
  EXPECT_EQ(Tasks.requestStop({1, "stopped", {0, 1}}),
            (std::vector<int>{0, 1}));
  EXPECT_FALSE(tryStart("stopped", {0, 1}));
  EXPECT_EQ(Tasks.reserve(makeReserve("next", {0}, 8), Start), "");
}

// A stop arrives while one member runs and another is unknown to this agent:
// the agent has to report the end of the unknown members itself, and of no
// others.
TEST_F(TaskTableTest, StopReturnsMembersThatTheTableDoesNotHold) {
  ASSERT_EQ(Tasks.reserve(makeReserve("r", {0, 1}, 4), Start), "");
  ASSERT_TRUE(tryStart("r", {0, 1}));
  EXPECT_TRUE(Tasks.beginRun({"r", 0}));
  EXPECT_EQ(Tasks.requestStop({1, "r", {0, 1, 2}}), std::vector<int>{2});
  EXPECT_FALSE(Tasks.beginRun({"r", 1}));
  EXPECT_EQ(Tasks.awaitStops(absl::Seconds(1)),
            (std::vector<agent::TaskKey>{{"r", 0}}));
}

// Guards against accelerators that stay reserved for ever because the entry
// failed between the reservation and the start.
TEST_F(TaskTableTest, ReservationWithoutAStartExpires) {
  ASSERT_EQ(Tasks.reserve(makeReserve("r", {0}, 8), Start), "");
  EXPECT_NE(Tasks.reserve(makeReserve("s", {0}, 1), Start), "");
  EXPECT_TRUE(Tasks.dropExpired(Start + absl::Seconds(9)).empty());
  EXPECT_EQ(Tasks.dropExpired(Start + absl::Seconds(11)),
            std::vector<std::string>{"r"});
  EXPECT_EQ(Tasks.reserve(makeReserve("s", {0}, 8), Start), "");
  EXPECT_FALSE(tryStart("r", {0}));
}

} // namespace
