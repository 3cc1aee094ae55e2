#include "callerconnection.h"
#include "jobs/jobrecord.h"
#include "jobssite.h"
#include "testnames.h"
#include "waituntil.h"

#include <absl/strings/match.h>
#include <absl/time/clock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <thread>

namespace oriolebay::testing_system {
namespace {

using testwaits::waitUntil;

const std::string Job = "3ab0c9d1e2f45678";
const std::string JobBody =
    R"({"spec":"x","steps":[{"cpu":1000,"estimateMs":150}]})";
constexpr int MaxTries = 4;
/// Time after which a caller sends its call again.
constexpr absl::Duration RetryInterval = absl::Seconds(1);
/// Time for which a caller waits after its deadline.
constexpr absl::Duration CallGrace = absl::Seconds(10);

/// What happens once the write of the job is stored.
enum class Next {
  StoreRefuses,
  KeyRevoked,
  QueueDropped,
  KeyRevokedThenStoreRefuses
};

struct LostAnswer {
  const char *Name;
  int Entries;
  /// How the answer to the write is lost.
  ProxyFault Fault;
  Next Then;
};

const LostAnswer LostAnswers[] = {
    {"ClosedThenStoreRefuses", 2, ProxyFault::CloseAfter, Next::StoreRefuses},
    {"ResetThenStoreRefuses", 2, ProxyFault::ResetAfter, Next::StoreRefuses},
    {"CutThenStoreRefuses", 2, ProxyFault::CutAnswer, Next::StoreRefuses},
    {"SilentThenStoreRefuses", 2, ProxyFault::StaySilent, Next::StoreRefuses},
    {"SilentThenKeyRevoked", 2, ProxyFault::StaySilent, Next::KeyRevoked},
    {"SilentThenQueueDropped", 2, ProxyFault::StaySilent, Next::QueueDropped},
    {"OneEntryKeyRevokedThenStoreRefuses", 1, ProxyFault::StaySilent,
     Next::KeyRevokedThenStoreRefuses},
};

bool isRefusal(int status) {
  return status != 0 && status != 200 && status != 502 && status != 504;
}

/// The answer says that the job never runs.
bool saysNeverRuns(int status) { return status == 503 || status == 429; }

bool isWriteOf(const std::string &jobId, const ProxyRequest &request) {
  return request.Method == "POST" &&
         absl::StrContains(request.Body,
                           "\"" + jobs::specKey(jobId) + "\",\"value\"");
}

class RefusedJobs : public testing::TestWithParam<LostAnswer> {
protected:
  void SetUp() override {
    JobsSite::Options options;
    options.Entries = GetParam().Entries;
    Site = std::make_unique<JobsSite>(testnames::workDir(), options);
    Site->awaitService();
    Site->setStoreFaults([this](const std::string &, const ProxyRequest &r) {
      return faultOf(r);
    });
  }

  /// Sends the job again and again while the row's faults happen. Returns the
  /// statuses of the answers.
  std::vector<int> submitWithFaults() {
    std::thread operatorThread([this] { changeAfterWrite(); });
    CallerConnection connections[2];
    std::vector<int> statuses;
    for (int n = 0; n < MaxTries; ++n) {
      const size_t entry = static_cast<size_t>(n) % Site->Entries.size();
      const CallerAnswer answer = connections[entry].call(
          Site->Entries[entry]->port("callers"),
          {"POST", "/q/" + Job, "key", JobBody}, CallGrace);
      statuses.push_back(answer.Status);
      if (answer.Status == 200)
        break;
      absl::SleepFor(RetryInterval);
    }
    operatorThread.join();
    StoreRefuses = false;
    return statuses;
  }

  std::unique_ptr<JobsSite> Site;

private:
  /// Called on the threads of the proxies.
  ProxyFault faultOf(const ProxyRequest &request) {
    if (StoreRefuses)
      return ProxyFault::Refuse;
    if (!isWriteOf(Job, request) || IsWritten.exchange(true))
      return ProxyFault::None;
    StoreRefuses = GetParam().Then == Next::StoreRefuses;
    return GetParam().Fault;
  }

  void changeAfterWrite() {
    waitUntil([this] { return Site->isStored(Job); });
    const Next next = GetParam().Then;
    if (next == Next::StoreRefuses)
      return;
    const int configs = Site->Entries[0]->eventCount("config.accepted");
    if (next == Next::QueueDropped)
      Site->setConfig({{"key"}, {"other"}});
    else
      Site->setConfig({{"other"}, {"q"}});
    if (next != Next::KeyRevokedThenStoreRefuses)
      return;
    waitUntil([&] {
      return Site->Entries[0]->eventCount("config.accepted") > configs;
    });
    StoreRefuses = true;
  }

  std::atomic<bool> IsWritten{false};
  std::atomic<bool> StoreRefuses{false};
};

// Guards against a job that runs although all tries of its caller were refused,
// because the answer to its write was lost.
TEST_P(RefusedJobs, DoNotRun) {
  const std::vector<int> statuses = submitWithFaults();
  waitUntil([this] { return Site->runs().startCount(Job) > 0; });
  EXPECT_FALSE(std::all_of(statuses.begin(), statuses.end(), isRefusal))
      << testing::PrintToString(statuses);
}

// Guards against an answer which says that a stored job never runs.
TEST_P(RefusedJobs, AreNotStored) {
  const std::vector<int> statuses = submitWithFaults();
  EXPECT_TRUE(std::none_of(statuses.begin(), statuses.end(), saysNeverRuns))
      << testing::PrintToString(statuses);
}

INSTANTIATE_TEST_SUITE_P(Table, RefusedJobs, testing::ValuesIn(LostAnswers),
                         [](const auto &row) {
                           return std::string(row.param.Name);
                         });

} // namespace
} // namespace oriolebay::testing_system
