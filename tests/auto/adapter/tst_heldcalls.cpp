// Tests of what calls hold in memory while they wait for their answer.
#include "calleradapter.h"
#include "http/asyncclient.h"
#include "utils/eventloop.h"
#include "waituntil.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace oriolebay::adapter {
namespace {

using testwaits::waitUntil;

constexpr size_t LargestLegalBytes = 262144;
/// Less than the fifty bodies of a crowd take, and enough for the largest one.
constexpr size_t BudgetBytes = 2 << 20;
constexpr size_t SmallBytes = BudgetBytes / 4;

platform::Store silentStore() {
  platform::Store store;
  store.Get = [](const auto &, const auto &) {};
  store.Range = [](const auto &, const auto &, auto, const auto &) {};
  store.Watch = [](const auto &, auto, auto, const auto &) {};
  store.Transact = [](const auto &, const auto &) {};
  return store;
}

jobs::CallAnswer notDone() {
  jobs::CallAnswer answer;
  answer.Result = jobs::CallResult::NotDone;
  return answer;
}

/// An entry without a configuration, whose calls wait for another entry until
/// answerAll().
class WaitingEntry {
public:
  WaitingEntry()
      : Service(
            Loop, Store, View, Config, {},
            [] { return absl::InfiniteFuture(); },
            [] { return absl::ZeroDuration(); }, [] { return false; },
            [this](const jobs::CallRequest &, const jobs::OnForwarded &done) {
              std::lock_guard<std::mutex> lock(Mu);
              Waiting.push_back(done);
              return true;
            },
            [](const auto &, const auto &) { return false; },
            [](const auto &) {}, [](const auto &) {}),
        Server(Loop, Service, "127.0.0.1", 0,
               [](const utils::RefusedMessage &) {},
               {Budget, [this](const http::RefusedRequest &) { ++Refused; }}),
        LoopThread([this] { Loop.run(); }) {}
  ~WaitingEntry() {
    Loop.stop();
    LoopThread.join();
  }
  WaitingEntry(const WaitingEntry &) = delete;
  WaitingEntry &operator=(const WaitingEntry &) = delete;

  /// Sends a call with an id of its own, whose answer is counted by its status.
  void send(const std::string &method, const std::string &body) {
    http::HttpCall call;
    call.Method = method;
    call.Url = absl::StrCat("http://127.0.0.1:", Server.port(), "/queue/",
                            absl::Hex(++Calls, absl::kZeroPad16));
    call.Body = body;
    call.TimeoutMs = 30000;
    Client.call(call, [this](const http::HttpResult &r) {
      std::lock_guard<std::mutex> lock(Mu);
      ++Statuses[r.Status];
    });
  }
  size_t waiting() {
    std::lock_guard<std::mutex> lock(Mu);
    return Waiting.size();
  }
  int answered(int status) {
    std::lock_guard<std::mutex> lock(Mu);
    return Statuses[status];
  }
  void answerAll() {
    std::vector<jobs::OnForwarded> waiting;
    {
      std::lock_guard<std::mutex> lock(Mu);
      waiting.swap(Waiting);
    }
    Loop.post([waiting] {
      for (const jobs::OnForwarded &done : waiting)
        done(notDone(), false);
    });
  }

  const std::shared_ptr<utils::MemoryBudget> Budget =
      std::make_shared<utils::MemoryBudget>(BudgetBytes, SmallBytes);
  std::atomic<int> Refused{0};

private:
  std::mutex Mu;
  std::vector<jobs::OnForwarded> Waiting;
  std::map<int, int> Statuses;
  int Calls = 0;
  utils::EventLoop Loop{8192};
  const platform::Store Store = silentStore();
  jobs::JobView View{Loop,
                     Store,
                     {},
                     [](const auto &) {},
                     [](const auto &) {},
                     [](const auto &) {},
                     [] {},
                     [](const auto &, const auto &) {},
                     [](auto, const auto &) {}};
  operators::ConfigFollower Config{Loop,
                                   Store,
                                   {},
                                   [](const auto &) {},
                                   [](const auto &) {},
                                   [](const auto &, auto) {},
                                   [](auto, const auto &) {}};
  jobs::JobService Service;
  CallerServer Server;
  std::thread LoopThread;
  http::AsyncClient Client;
};

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
