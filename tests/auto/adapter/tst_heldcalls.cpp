// Tests of what calls hold in memory while they wait for their answer.
#include "http/rawconnection.h"
#include "waitingentry.h"
#include "waituntil.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

namespace oriolebay::adapter {
namespace {

using testwaits::waitUntil;

constexpr size_t LargestLegalBytes = 262144;
/// Far less than the largest body.
constexpr size_t LargestWaitingBytes = 32768;
/// Status of submissions that find no room.
constexpr int RefusedSubmission = 504;
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
  EXPECT_LT(entry.Budget->usedBytes(), LargestWaitingBytes);
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
    return entry.waiting() +
           static_cast<size_t>(entry.answered(RefusedSubmission));
  };
  waitUntil([&] { return served() == static_cast<size_t>(c.Calls); });
  EXPECT_GT(entry.answered(RefusedSubmission), 0);
  EXPECT_EQ(entry.Refused, entry.answered(RefusedSubmission));
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
    return entry.waiting() +
               static_cast<size_t>(entry.answered(RefusedSubmission)) ==
           Calls;
  });
  EXPECT_GT(entry.answered(RefusedSubmission), 0);
  EXPECT_LE(entry.Budget->usedBytes(), BudgetBytes);
  entry.answerAll();
  waitUntil([&] {
    return static_cast<size_t>(entry.answered(503) +
                               entry.answered(RefusedSubmission)) == Calls;
  });
  waitUntil([&] { return entry.Budget->usedBytes() == 0; });
}

struct FullCase {
  const char *Name;
  const char *Method;
  size_t Bytes;
  const char *Status;
};

void PrintTo(const FullCase &c, std::ostream *out) { *out << c.Name; }

class FullEntries : public ::testing::TestWithParam<FullCase> {};

// Takes all bytes of the budget.
std::vector<utils::MemoryReservation>
fill(const std::shared_ptr<utils::MemoryBudget> &budget) {
  std::vector<utils::MemoryReservation> all;
  all.reserve(BudgetBytes / utils::SmallReservationBytes);
  while (budget->usedBytes() < BudgetBytes) {
    all.emplace_back(budget);
    EXPECT_TRUE(all.back().tryGrow(utils::SmallReservationBytes));
  }
  return all;
}

// Guards against a refusal of a submission whose earlier copy is stored and
// runs.
TEST_P(FullEntries, RefuseAtOnceAndLeaveSubmissionsOpen) {
  const FullCase &c = GetParam();
  WaitingEntry entry;
  const auto held = fill(entry.Budget);
  testpeers::RawConnection connection(entry.port());
  connection.send(
      absl::StrCat(c.Method, " /queue/0123456789abcdef HTTP/1.1\r\n",
                   "Host: h\r\nContent-Length: ", c.Bytes, "\r\n\r\n"));
  EXPECT_TRUE(connection.receiveUntil("\r\n\r\n"));
  EXPECT_EQ(connection.received().substr(9, 3), c.Status);
  EXPECT_NE(connection.received().find("Retry-After: 1\r\n"),
            std::string::npos);
  EXPECT_EQ(entry.waiting(), 0u);
}

INSTANTIATE_TEST_SUITE_P(
    Table, FullEntries,
    ::testing::Values(FullCase{"submit", "POST", 100, "504"},
                      FullCase{"large_submit", "POST", LargestLegalBytes,
                               "504"},
                      FullCase{"submit_without_a_body", "POST", 0, "504"},
                      FullCase{"state", "GET", 0, "503"},
                      FullCase{"cancel", "DELETE", 0, "503"}),
    [](const auto &info) { return info.param.Name; });

} // namespace
} // namespace oriolebay::adapter
