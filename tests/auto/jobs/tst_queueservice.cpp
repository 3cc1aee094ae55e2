// Tests of the service on which the jobs of a queue run while the queue moves
// to another service.
#include "simsite.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

namespace oriolebay::jobs {
namespace {

constexpr const char *WorkerOfLeadersService = "w-leader";
constexpr const char *WorkerOfRecordsService = "w-record";

struct ServiceCase {
  const char *Name;
  /// The version that accepted the job. The leader has version 1.
  int64_t AcceptedBy;
  const char *Worker;
};

void PrintTo(const ServiceCase &c, std::ostream *out) { *out << c.Name; }

class QueueService : public testing::TestWithParam<ServiceCase> {};

// Guards against a leader that starts a job on the service that its queue had
// before the configuration that accepted the job.
TEST_P(QueueService, IsTheOneOfTheNewerConfig) {
  SimSite site;
  site.addWorker(WorkerOfLeadersService, "r0");
  site.addWorker(WorkerOfRecordsService, "r0").State.Service = "other";
  site.runFor(absl::Milliseconds(600));
  core::StepSpec step;
  step.PerTask = {1000, 1000, 1};
  step.EstimateMs = 5000;
  JobRecord record;
  record.Spec = jobOf("j", step);
  record.Service = "other";
  record.DecidedBy = {100, GetParam().AcceptedBy};
  site.submitRecord(std::move(record));
  site.runFor(absl::Seconds(2));
  EXPECT_EQ(site.workersOf("j"), std::multiset<std::string>{GetParam().Worker});
}

// Guards against a leader that goes on with the service that a queue had before
// it was given another name and another service.
TEST(RenamedQueue, HasItsNewService) {
  SimSite site;
  site.addWorker("w-old", "r0").State.Service = "old";
  site.addWorker("w-new", "r0").State.Service = "new";
  site.runFor(absl::Milliseconds(600));
  core::SiteConfig config;
  config.Version = 2;
  config.Queues = {makeQueue("q", 1, 0)};
  config.Queues.front().Name = "q-next";
  config.Queues.front().Service = "new";
  core::StepSpec step;
  step.PerTask = {1000, 1000, 1};
  step.EstimateMs = 5000;
  JobRecord record;
  record.Spec = jobOf("j", step);
  record.Spec.Address = {"host", "/q/", "/q/j"};
  record.Service = "old";
  record.DecidedBy = {100, 1};
  site.configure(config);
  site.submitRecord(std::move(record));
  site.runFor(absl::Seconds(2));
  EXPECT_EQ(site.workersOf("j"), std::multiset<std::string>{"w-new"});
}

INSTANTIATE_TEST_SUITE_P(
    Table, QueueService,
    testing::Values(
        ServiceCase{"RecordOfAnEarlierVersion", 0, WorkerOfLeadersService},
        ServiceCase{"AcceptedByTheLeadersConfig", 1, WorkerOfLeadersService},
        ServiceCase{"AcceptedByANewerConfig", 2, WorkerOfRecordsService}),
    [](const auto &info) { return info.param.Name; });

} // namespace
} // namespace oriolebay::jobs
