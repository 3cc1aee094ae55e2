// Measures the cost of one scheduling pass of the leader by the number of
// workers, on a site that is full of batch tasks while urgent gangs wait for
// capacity.
#include "jobs/jobscheduler.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <string>

using namespace oriolebay;

namespace {

constexpr int Organisations = 24;
constexpr int TasksPerJob = 80;
constexpr int WorkersPerRack = 8;
constexpr int AcceleratorsPerWorker = 8;
/// Number of workers of the site for each waiting gang.
constexpr int WorkersPerWaitingGang = 12;

std::shared_ptr<const core::SiteConfig> makeConfig() {
  auto config = std::make_shared<core::SiteConfig>();
  config->Version = 1;
  for (const char *name : {"urgent", "wide", "batch"}) {
    core::QueueConfig queue;
    queue.Name = name;
    queue.Service = "service";
    config->Queues.push_back(queue);
  }
  for (int o = 0; o < Organisations; ++o)
    config->Organisations.push_back({"org-" + std::to_string(o), {}, 0});
  return config;
}

class SiteSimulation {
public:
  explicit SiteSimulation(int workers)
      : Scheduler(jobs::SchedulerPolicy(), 1, Now), WorkerCount(workers) {
    Scheduler.onConfig(makeConfig());
    for (int w = 0; w < workers; ++w)
      report(w);
    const int slots = workers * AcceleratorsPerWorker;
    for (int j = 0; j * TasksPerJob < slots; ++j)
      submit("b" + std::to_string(j), "batch", 2, TasksPerJob, 1, false);
    startPlacedRuns();
    for (int j = 0; j * WorkersPerWaitingGang < workers; ++j)
      submit("u" + std::to_string(j), "urgent", 0, WorkersPerRack, 8, true);
  }

  /// Advances the time, repeats the report of one worker, and runs a scheduling
  /// pass.
  void advanceAndDecide() {
    Now += absl::Milliseconds(200);
    report(NextWorker++ % WorkerCount);
    Scheduler.tick(Now);
    Scheduler.decide(Now);
    benchmark::DoNotOptimize(Scheduler.takeDecisions());
  }

private:
  endpoints::WorkerIncarnation incarnation(int worker) const {
    return {"w" + std::to_string(worker), 1};
  }

  void report(int worker) {
    endpoints::WorkerReport workerReport;
    workerReport.Worker.Life = incarnation(worker);
    workerReport.Worker.Service = "service";
    workerReport.Worker.Rack = "r" + std::to_string(worker / WorkersPerRack);
    workerReport.Worker.Capacity = {32000, 131072, AcceleratorsPerWorker};
    workerReport.Agent = "agent-" + std::to_string(worker);
    workerReport.AgentAddress = workerReport.Agent;
    workerReport.Sequence = ++Sequence;
    workerReport.Reachable = true;
    workerReport.Epoch = 1;
    workerReport.Running = RunningAt[workerReport.Worker.Life];
    Scheduler.onReport(workerReport, Now);
  }

  void submit(const std::string &id, const std::string &queue, int priority,
              int count, int64_t accelerators, bool gang) {
    jobs::JobRecord record;
    core::StepSpec step;
    step.Count = count;
    step.PerTask = {2800, 8000, accelerators};
    step.EstimateMs = 1000000;
    step.Gang = gang;
    step.SameRack = gang;
    record.Spec.Id = id;
    record.Spec.Organisation =
        "org-" + std::to_string(Revision % Organisations);
    record.Spec.Queue = queue;
    record.Spec.Steps = {step};
    record.Service = "service";
    record.Priority = priority;
    record.Attempts = 3;
    record.Stretch = 1.5;
    Scheduler.onRecord(record, ++Revision, Now);
  }

  // Runs a scheduling pass, confirms the writes of the placed runs, and reports
  // the ordered runs as running.
  void startPlacedRuns() {
    Scheduler.decide(Now);
    for (const jobs::ProgressWrite &write : Scheduler.takeWrites(Now))
      Scheduler.onWritten(write.JobId, write.Version, ++Revision, Now);
    for (const auto &[address, orders] : Scheduler.takeOrders())
      for (const endpoints::StartOrder &start : orders.Starts)
        RunningAt[orders.Life].push_back({start.Task, start.Run, "", 1});
    for (int w = 0; w < WorkerCount; ++w)
      report(w);
  }

  absl::Time Now = absl::UnixEpoch() + absl::Hours(1);
  jobs::JobScheduler Scheduler;
  const int WorkerCount;
  int NextWorker = 0;
  int64_t Sequence = 0;
  int64_t Revision = 0;
  std::map<endpoints::WorkerIncarnation, std::vector<endpoints::RunningTask>>
      RunningAt;
};

void decideWhileGangsWait(benchmark::State &state) {
  SiteSimulation site(static_cast<int>(state.range(0)));
  site.advanceAndDecide();
  for (auto _ : state)
    site.advanceAndDecide();
}
BENCHMARK(decideWhileGangsWait)
    ->Arg(15)
    ->Arg(62)
    ->Arg(240)
    ->Arg(1000)
    ->Iterations(6)
    ->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
