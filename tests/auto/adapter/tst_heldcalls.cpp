// Tests of what calls hold in memory while they wait for their answer.
#include "waitingentry.h"
#include "waituntil.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

namespace oriolebay::adapter {
namespace {

using testwaits::waitUntil;

constexpr size_t LargestLegalBytes = 262144;
std::string paddedJob(size_t bytes) {
  std::string body = R"({"spec":"x","steps":[{"cpu":100}])";
  body.resize(bytes - 1, ' ');
  return body + "}";
}

// A job whose texts have the given size, which it keeps when it is decoded.
std::string jobWithNames(size_t steps) {
  const std::string name(core::MaxNameBytes, 'n');
  std::string body = R"({"spec":"x","steps":[)";
  for (size_t i = 0; i < steps; ++i)
    absl::StrAppend(&body, i > 0 ? "," : "", R"({"needs":")", name,
                    R"(","image":")", name, R"("})");
  return body + "]}";
}

struct CallCase {
  const char *Name;
  const char *Method;
  std::string Body;
};

void PrintTo(const CallCase &c, std::ostream *out) { *out << c.Name; }

class WaitingCalls : public ::testing::TestWithParam<CallCase> {};

// Guards against a call that keeps its text, or the room for it, while it
// waits.
TEST_P(WaitingCalls, HoldLittleUntilTheirAnswer) {
  WaitingEntry entry;
  entry.send(GetParam().Method, GetParam().Body);
  waitUntil([&] { return entry.waiting() == 1; });
  EXPECT_GT(entry.Budget->usedBytes(), 0u);
  EXPECT_LT(entry.Budget->usedBytes(), 16384u);
  entry.answerAll();
  waitUntil([&] { return entry.answered(503) == 1; });
  waitUntil([&] { return entry.Budget->usedBytes() == 0; });
  EXPECT_EQ(entry.Refused, 0);
}

INSTANTIATE_TEST_SUITE_P(
    Table, WaitingCalls,
    ::testing::Values(
        CallCase{"submit", "POST", paddedJob(100)},
        CallCase{"largest_submit", "POST", paddedJob(LargestLegalBytes)},
        CallCase{"state", "GET", ""}, CallCase{"cancel", "DELETE", ""},
        CallCase{"cancel_with_a_body", "DELETE", paddedJob(LargestLegalBytes)}),
    [](const auto &info) { return info.param.Name; });

struct CrowdCase {
  const char *Name;
  int Calls;
  std::string Body;
};

void PrintTo(const CrowdCase &c, std::ostream *out) { *out << c.Name; }

class CrowdsOfWaitingCalls : public ::testing::TestWithParam<CrowdCase> {};

// Guards against calls that wait without a leader or store until the process
// has no memory left, and against a refusal of what another entry may run.
TEST_P(CrowdsOfWaitingCalls, TakeAtMostTheBudgetAndLeaveRoomForASmallOne) {
  const CrowdCase &c = GetParam();
  WaitingEntry entry;
  for (int i = 0; i < c.Calls; ++i)
    entry.send("POST", c.Body);
  const auto served = [&] {
    return entry.waiting() + static_cast<size_t>(entry.answered(503));
  };
  waitUntil([&] { return served() == static_cast<size_t>(c.Calls); });
  EXPECT_GT(entry.answered(503), 0);
  EXPECT_EQ(entry.Refused, entry.answered(503));
  EXPECT_GT(entry.waiting(), 0u);
  EXPECT_LE(entry.Budget->usedBytes(), BudgetBytes);
  const size_t waitingBefore = entry.waiting();
  entry.send("GET", "");
  waitUntil([&] { return entry.waiting() == waitingBefore + 1; });
  entry.answerAll();
  waitUntil([&] { return entry.Budget->usedBytes() == 0; });
}

INSTANTIATE_TEST_SUITE_P(
    Table, CrowdsOfWaitingCalls,
    ::testing::Values(CrowdCase{"largest_jobs", 50, jobWithNames(64)},
                      CrowdCase{"jobs_of_many_steps", 100, jobWithNames(40)}),
    [](const auto &info) { return info.param.Name; });

// Guards against small calls that are not counted, however many of them wait.
TEST(SmallWaitingCalls, TakeAtMostTheBudget) {
  constexpr size_t Calls = 600;
  WaitingEntry entry;
  for (size_t i = 0; i < Calls; ++i)
    entry.send("POST", paddedJob(100));
  waitUntil([&] {
    return entry.waiting() + static_cast<size_t>(entry.answered(503)) == Calls;
  });
  EXPECT_GT(entry.answered(503), 0);
  EXPECT_LE(entry.Budget->usedBytes(), BudgetBytes);
  entry.answerAll();
  waitUntil([&] { return static_cast<size_t>(entry.answered(503)) == Calls; });
  waitUntil([&] { return entry.Budget->usedBytes() == 0; });
}

} // namespace
} // namespace oriolebay::adapter
