#include "callerconnection.h"
#include "jobssite.h"
#include "testnames.h"
#include "waituntil.h"

#include <absl/strings/match.h>
#include <gtest/gtest.h>

#include <atomic>
#include <csignal>

namespace oriolebay::testing_system {
namespace {

using testwaits::waitUntil;

const std::string EarlierJob = "00000000000000f0";
const std::string LaterJob = "00000000000000f1";
constexpr absl::Duration CallGrace = absl::Seconds(10);

/// A request whose answer is cut.
struct CutRequest {
  const char *Name;
  /// Occurs in the target or in the body of the request.
  const char *Text;
};

const CutRequest CutRequests[] = {
    {"Election", "\"value\":\"dGNwOi8v"},
    {"Lease", "/kv-lease"},
    {"Jobs", "/kv-range?prefix=oriolebay/jobs"},
    {"Config", "op/config"},
};

class CutAnswers : public testing::TestWithParam<CutRequest> {
protected:
  void SetUp() override {
    JobsSite::Options options;
    options.Entries = 1;
    Site = std::make_unique<JobsSite>(testnames::workDir(), options);
    Site->awaitService();
  }

  /// Cuts the first answer to such a request of the entry.
  void cutNextAnswer() {
    Site->setStoreFaults(
        [this](const std::string &process, const ProxyRequest &r) {
          const bool isMeant = process == "entry-0" &&
                               (absl::StrContains(r.Target, GetParam().Text) ||
                                absl::StrContains(r.Body, GetParam().Text));
          const bool isCut = isMeant && !IsCut.exchange(true);
          return isCut ? ProxyFault::CutAnswer : ProxyFault::None;
        });
  }

  void restartEntry() {
    JobsProcess &entry = *Site->Entries[0];
    entry.signal(SIGKILL);
    waitUntil([&] { return !entry.isRunning(); });
    entry.restart();
    waitUntil([&] { return entry.port("callers") != 0; });
  }

  int stateOfEarlierJob() {
    return Connection
        .call(Site->Entries[0]->port("callers"), {"GET", "/q/" + EarlierJob},
              CallGrace)
        .Status;
  }

  std::unique_ptr<JobsSite> Site;
  CallerConnection Connection;
  std::atomic<bool> IsCut{false};
};

// Guards against an answer of the store that ends within its head and is taken
// for a whole one without content: the entry then leads with an epoch of zero,
// and no job runs any more.
TEST_P(CutAnswers, AreNotUsed) {
  cutNextAnswer();
  restartEntry();
  int status = 0;
  waitUntil([&] {
    status = stateOfEarlierJob();
    return status == 200 || status == 410;
  });
  EXPECT_EQ(status, 200);
  Site->completeJob(0, LaterJob);
  EXPECT_TRUE(IsCut);
}

INSTANTIATE_TEST_SUITE_P(Table, CutAnswers, testing::ValuesIn(CutRequests),
                         [](const auto &row) {
                           return std::string(row.param.Name);
                         });

} // namespace
} // namespace oriolebay::testing_system
