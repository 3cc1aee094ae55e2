// What one look at all that waits costs the leader, by the number of workers: a
// site full of batch tasks, in which urgent gangs wait for room.
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
/// One gang waits for so many workers.
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

class Site {
public:
  explicit Site(int workers)
      : Scheduler(jobs::SchedulerPolicy(), 1, Now), WorkerCount(workers) {
    Scheduler.onConfig(makeConfig());
    for (int w = 0; w < workers; ++w)
      report(w);
    const int slots = workers * AcceleratorsPerWorker;
    for (int j = 0; j * TasksPerJob < slots; ++j)
      submit("b" + std::to_string(j), "batch", 2, TasksPerJob, 1, false);
    settle();
    for (int j = 0; j * WorkersPerWaitingGang < workers; ++j)
      submit("u" + std::to_string(j), "urgent", 0, WorkersPerRack, 8, true);
  }

  /// One worker tells what it told before, and time passes.
  void turn() {
    Now += absl::Milliseconds(200);
    report(NextWorker++ % WorkerCount);
    Scheduler.tick(Now);
    Scheduler.decide(Now);
    benchmark::DoNotOptimize(Scheduler.takeDecisions());
  }

private:
  endpoints::WorkerLife life(int worker) const {
    return {"w" + std::to_string(worker), 1};
  }

  void report(int worker) {
    endpoints::WorkerReport r;
    r.Worker.Life = life(worker);
    r.Worker.Service = "service";
    r.Worker.Rack = "r" + std::to_string(worker / WorkersPerRack);
    r.Worker.Capacity = {32000, 131072, AcceleratorsPerWorker};
    r.Agent = "agent-" + std::to_string(worker);
    r.AgentAddress = r.Agent;
    r.Sequence = ++Sequence;
    r.Reachable = true;
    r.Epoch = 1;
    r.Running = RunningAt[r.Worker.Life];
    Scheduler.onReport(r, Now);
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

  // What was placed is recorded, ordered and reported as running.
  void settle() {
    Scheduler.decide(Now);
    for (const jobs::ProgressWrite &write : Scheduler.takeWrites())
      Scheduler.onWritten(write.JobId, write.Progress.Version, ++Revision, Now);
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
  std::map<endpoints::WorkerLife, std::vector<endpoints::RunningTask>>
      RunningAt;
};

void decideWhileGangsWait(benchmark::State &state) {
  Site site(static_cast<int>(state.range(0)));
  site.turn();
  for (auto _ : state)
    site.turn();
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
