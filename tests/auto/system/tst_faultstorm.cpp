#include "cluster/seeds.h"
#include "configmonitor.h"
#include "faultstorm.h"
#include "stormcallers.h"
#include "testnames.h"
#include "waituntil.h"

#include <absl/strings/match.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>

namespace oriolebay::testing_system {
namespace {

using testwaits::waitUntil;

constexpr int Callers = 6;
/// Every such seed has a larger site.
constexpr int LargeSiteEvery = 4;
constexpr int SmallSite = 3;
constexpr int LargeSite = 4;
/// Time for which a call of the test waits after its deadline.
constexpr absl::Duration CallGrace = absl::Seconds(5);

class FaultStorms : public testing::TestWithParam<int> {
protected:
  FaultStorms() {
    const bool isLarge = GetParam() % LargeSiteEvery == 0;
    Size.Entries = Size.Agents = isLarge ? LargeSite : SmallSite;
  }

  void SetUp() override {
    WorkDir = testnames::workDir();
    JobsSite::Options options;
    options.Entries = Size.Entries;
    options.Workers = Size.Agents;
    options.Seed = Seed;
    Site = std::make_unique<JobsSite>(WorkDir, options);
    Site->awaitService();
  }

  // The logs of a storm that has shown a fault are kept.
  void TearDown() override {
    const bool hasFailed = HasFailure();
    Site.reset();
    if (hasFailed)
      std::cout << "Seed " << Seed << ", logs in " << WorkDir << "\n";
    else
      std::filesystem::remove_all(WorkDir);
  }

  /// Runs the storm beside callers, which go on until it is over.
  void runStorm() {
    const std::vector<StormStep> plan = makeStormPlan(Seed, Size);
    std::ofstream(WorkDir + "/plan.txt") << describe(plan);
    FaultStorm storm(*Site, plan, Seed);
    for (int n = 0; n < Callers; ++n)
      CallersOfStorm.push_back(
          std::make_unique<StormCaller>(storm, Site->Entries.size(), Seed, n));
    std::atomic<bool> isOver{false};
    std::vector<std::thread> threads;
    for (const auto &caller : CallersOfStorm)
      threads.emplace_back([&] { caller->run(isOver); });
    storm.run();
    isOver = true;
    for (std::thread &thread : threads)
      thread.join();
    for (const std::string &process : storm.unexpectedEnds())
      ADD_FAILURE() << process << " has ended by itself";
  }

  std::vector<SentJob> sentJobs() const {
    std::vector<SentJob> all;
    for (const auto &caller : CallersOfStorm)
      all.insert(all.end(), caller->jobs().begin(), caller->jobs().end());
    return all;
  }

  bool isCompleted(const SentJob &job) {
    const size_t entry = NextEntry++ % Site->Entries.size();
    const CallerAnswer answer =
        Connection.call(Site->Entries[entry]->port("callers"),
                        {"GET", "/" + job.Queue + "/" + job.Id}, CallGrace);
    return answer.Status == 200 && absl::StrContains(answer.Body, "completed");
  }

  /// Each accepted job that nobody has cancelled is completed.
  void expectAcceptedJobsCompleted() {
    std::vector<SentJob> open = sentJobs();
    std::erase_if(open, [](const SentJob &job) {
      return !job.isAccepted() || job.IsCancelled;
    });
    Accepted = open.size();
    try {
      waitUntil([&] {
        std::erase_if(open,
                      [this](const SentJob &job) { return isCompleted(job); });
        return open.empty();
      });
    } catch (const std::runtime_error &) {
      for (const SentJob &job : open)
        ADD_FAILURE() << job.Id << " is accepted and not completed";
    }
  }

  /// No job runs whose tries were all refused. One whose record is stored gets
  /// the time to run.
  void expectRefusedJobsNotRun() {
    for (const SentJob &job : sentJobs()) {
      if (!job.isRefused())
        continue;
      ++Refused;
      if (Site->isStored(job.Id) && !job.IsCancelled)
        waitUntil([&] { return Site->runs().startCount(job.Id) > 0; });
      EXPECT_EQ(Site->runs().startCount(job.Id), 0)
          << job.Id << " was refused: " << testing::PrintToString(job.Statuses);
    }
  }

  void expectRulesKept() {
    for (const std::string &violation : Site->runs().violations())
      ADD_FAILURE() << violation;
    for (const auto &caller : CallersOfStorm)
      for (const std::string &call : caller->unanswered())
        ADD_FAILURE() << "no answer in time: " << call;
  }

  /// No entry goes back to an older configuration than it has shown.
  void expectNoConfigWentBack() {
    for (const auto &entry : Site->Entries)
      addConfigHistory(entry->logPaths(), Configs);
    for (const std::string &violation : Configs.Violations)
      ADD_FAILURE() << violation;
    EXPECT_GT(Configs.Answers, 0);
    EXPECT_GT(Configs.Starts, 0);
  }

  void printCounts() const {
    int calls = 0;
    for (const auto &caller : CallersOfStorm)
      calls += caller->callCount();
    std::cout << "Seed " << Seed << ": " << calls << " calls, "
              << sentJobs().size() << " jobs, of which " << Accepted
              << " accepted and not cancelled, " << Refused << " refused; "
              << Configs.Answers << " decided answers, " << Configs.Starts
              << " starts\n";
  }

  const uint64_t Seed = static_cast<uint64_t>(GetParam());
  StormSize Size;
  std::string WorkDir;
  std::unique_ptr<JobsSite> Site;
  std::vector<std::unique_ptr<StormCaller>> CallersOfStorm;
  CallerConnection Connection;
  size_t NextEntry = 0;
  size_t Accepted = 0;
  int Refused = 0;
  ConfigHistory Configs;
};

// Guards against answers that do not tell what became of a call, against tasks
// that run twice, and against entries that go back to an older configuration,
// while connections, answers and processes are lost.
TEST_P(FaultStorms, EndAsCallersWereTold) {
  runStorm();
  expectAcceptedJobsCompleted();
  expectRefusedJobsNotRun();
  expectRulesKept();
  expectNoConfigWentBack();
  printCounts();
}

constexpr int LastSeedInCi = 2;
const auto [FirstSeed, LastSeed] = cluster::seedsToRun(LastSeedInCi);

INSTANTIATE_TEST_SUITE_P(Seeds, FaultStorms,
                         testing::Range(FirstSeed, LastSeed + 1));

} // namespace
} // namespace oriolebay::testing_system
