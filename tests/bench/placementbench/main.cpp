// Measures one placement decision at three site sizes, for the packed placer
// and the first-fit baseline. The largest size is the target size of 8,600
// workers, which have about 2.2 accelerators on average; here each has 8, which
// is the harder case for the search. The README tells how to run it; compare
// the two placers within one run only. Also measures the memory of the cluster
// state, admission, and the work of a leader.
#include "placement/clusterstate.h"
#include "placement/placer.h"
#include "scheduler/gangscheduler.h"

#include <benchmark/benchmark.h>
#include <unistd.h>

#include <fstream>
#include <random>

using namespace oriolebay;

namespace {

std::vector<placement::FreeWorker> makeWorkers(int workers) {
  std::mt19937 gen(42);
  std::uniform_int_distribution<int> freeDist(0, 8);
  std::vector<placement::FreeWorker> out;
  for (int i = 0; i < workers; ++i) {
    int rack = i / 3;
    out.push_back({"w" + std::to_string(i), "fd-" + std::to_string(rack % 7),
                   "r" + std::to_string(rack), freeDist(gen)});
  }
  return out;
}

void packed(benchmark::State &state) {
  auto workers = makeWorkers(static_cast<int>(state.range(0)));
  core::Shape shape{static_cast<int>(state.range(1)), 4, 300};
  for (auto _ : state)
    benchmark::DoNotOptimize(placement::placePacked(workers, shape));
}

void firstFit(benchmark::State &state) {
  auto workers = makeWorkers(static_cast<int>(state.range(0)));
  core::Shape shape{static_cast<int>(state.range(1)), 4, 300};
  for (auto _ : state)
    benchmark::DoNotOptimize(placement::placeFirstFit(workers, shape));
}

long residentKb() {
  std::ifstream statm("/proc/self/statm");
  long pages = 0, resident = 0;
  statm >> pages >> resident;
  return resident * (sysconf(_SC_PAGESIZE) / 1024);
}

// Memory of the entry's cluster state with range(0) workers, to which gangs of
// 128 members with one accelerator each are added until range(1) members run.
// Reports the bytes per worker and per member (task), which docs/CAPACITY.md
// uses as slopes.
void stateMemory(benchmark::State &state) {
  const int workers = static_cast<int>(state.range(0));
  const int tasks = static_cast<int>(state.range(1));
  for (auto _ : state) {
    const long initialKb = residentKb();
    auto cluster = std::make_unique<placement::ClusterState>(
        placement::placeFirstFit, 1000);
    for (int i = 0; i < workers; ++i)
      cluster->upsertWorker({"w" + std::to_string(i),
                             "fd-" + std::to_string(i % 7),
                             "r" + std::to_string(i / 3), 16,
                             "tcp://127.0.0.1:" + std::to_string(i)},
                            1, absl::UnixEpoch());
    cluster->applyProfile({"site", 1, int64_t{1} << 40, {}});
    const long withWorkersKb = residentKb();
    for (int placed = 0, g = 0; placed < tasks; placed += 128, ++g) {
      core::JobRequest job;
      job.Id = "job-" + std::to_string(g);
      job.Organisation = "org";
      job.Profile = "site";
      job.GangShape = {128, 1, 1};
      job.Payload = R"({"run_ms":1000})";
      benchmark::DoNotOptimize(cluster->admit(job.Id, job, absl::UnixEpoch()));
    }
    const long withTasksKb = residentKb();
    state.counters["bytes_per_worker"] =
        1024.0 * static_cast<double>(withWorkersKb - initialKb) / workers;
    state.counters["bytes_per_task"] =
        1024.0 * static_cast<double>(withTasksKb - withWorkersKb) / tasks;
  }
}

// Returns a site of workers with 8 accelerators each. Half of the workers are
// guaranteed to 310 organisations in equal shares of whole workers. The share
// fill of all workers runs batch gangs of an organisation without a guarantee,
// with 16 members of one whole worker each.
std::unique_ptr<placement::ClusterState> sharedSite(int workers, double fill) {
  constexpr int Organisations = 310;
  auto cluster =
      std::make_unique<placement::ClusterState>(placement::placePacked, 1000);
  for (int i = 0; i < workers; ++i)
    cluster->upsertWorker({"w" + std::to_string(i),
                           "fd-" + std::to_string(i / 3 % 7),
                           "r" + std::to_string(i / 3), 8, ""},
                          1, absl::UnixEpoch());
  core::Profile profile{"site", 1, int64_t{1} << 40, {}};
  const int workersPerOrganisation = std::max(1, workers / 2 / Organisations);
  for (int i = 0; i < std::min(Organisations, workers / 2); ++i)
    profile.Guarantees.push_back(
        {"org" + std::to_string(i), workersPerOrganisation * 8, 8});
  cluster->applyProfile(profile);
  for (int g = 0; g < static_cast<int>(workers * fill) / 16; ++g) {
    core::JobRequest job;
    job.Id = "guest" + std::to_string(g);
    job.Organisation = "guest";
    job.Profile = "site";
    job.GangShape = {16, 8, 300};
    cluster->admit(job.Id, job, absl::UnixEpoch());
  }
  return cluster;
}

core::JobRequest claim() {
  core::JobRequest job;
  job.Id = "claim";
  job.Organisation = "org7";
  job.Profile = "site";
  job.GangShape = {1, 8, 300};
  job.Class = core::JobClass::Urgent;
  return job;
}

// Admission of an urgent gang on a half-full site, which has enough free
// capacity.
void admitWithRoom(benchmark::State &state) {
  auto cluster = sharedSite(static_cast<int>(state.range(0)), 0.5);
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        cluster->admit("claim", claim(), absl::UnixEpoch()));
    cluster->release("claim");
  }
}

// Admission of the same gang on a site that guests fill completely. This
// measures the decision which gang to stop; the agents carry out the stop.
void admitByReclaim(benchmark::State &state) {
  auto cluster = sharedSite(static_cast<int>(state.range(0)), 1.0);
  for (auto _ : state) {
    auto verdict = cluster->admit("claim", claim(), absl::UnixEpoch());
    if (!std::holds_alternative<placement::Allocation>(verdict))
      state.SkipWithError("the claim was refused");
    cluster->release("claim");
  }
}

core::WorkerInfo worker(int i) {
  return {"w" + std::to_string(i), "fd-" + std::to_string(i / 3 % 7),
          "r" + std::to_string(i / 3), 16, ""};
}

// Returns gangs of 128 members with one accelerator each over all workers, as a
// previous leader recorded them.
std::vector<scheduler::AdoptedRun> recordedRuns(int workers, int tasks) {
  std::vector<scheduler::AdoptedRun> out;
  for (int t = 0; t + 128 <= tasks; t += 128) {
    scheduler::AdoptedRun run;
    run.Run = "run-" + std::to_string(t);
    run.Request.GangId = "gang-" + std::to_string(t);
    run.Request.Job.Id = run.Request.GangId;
    run.Request.Job.Organisation = "org" + std::to_string(t / 128 % 310);
    run.Request.Job.Profile = "site";
    run.Request.Job.GangShape = {128, 1, 300};
    for (int m = 0; m < 128; ++m)
      run.Workers.push_back("w" + std::to_string((t + m) % workers));
    out.push_back(std::move(run));
  }
  return out;
}

scheduler::GangScheduler makeScheduler() {
  scheduler::GangScheduler gangScheduler(
      placement::ClusterState(placement::placePacked, 1000),
      scheduler::Policy(), "1", absl::UnixEpoch());
  gangScheduler.onProfile({"site", 1, int64_t{1} << 40, {}});
  return gangScheduler;
}

// Returns the announcement of every agent, with the members that run there.
std::vector<endpoints::Announce>
announcements(int workers, const std::vector<scheduler::AdoptedRun> &runs) {
  std::vector<endpoints::Announce> out;
  for (int i = 0; i < workers; ++i)
    out.push_back({worker(i), 1, false, 0, {}});
  for (const scheduler::AdoptedRun &run : runs)
    for (size_t m = 0; m < run.Workers.size(); ++m)
      out[std::stoul(run.Workers[m].substr(1))].Tasks.push_back(
          {run.Run, static_cast<int>(m), 300});
  return out;
}

// Encoded size of one announcement with range(0) running tasks, in bytes.
void announceBytes(benchmark::State &state) {
  endpoints::Announce announce{
      worker(4321), 1796244302317694, false, 12345, {}};
  for (int i = 0; i < state.range(0); ++i)
    announce.Tasks.push_back({"entry-1-1a23880e9ef-" + std::to_string(i) +
                                  "/12345." + std::to_string(i),
                              i, 300});
  std::string bytes;
  for (auto _ : state)
    bytes = endpoints::encode(announce);
  state.counters["bytes"] = static_cast<double>(bytes.size());
}

// Work of a new leader until it knows the whole site: adopting all recorded
// runs and handling the first announcement of every agent.
void takeOver(benchmark::State &state) {
  const int workers = static_cast<int>(state.range(0));
  const auto runs = recordedRuns(workers, static_cast<int>(state.range(1)));
  const auto announces = announcements(workers, runs);
  for (auto _ : state) {
    auto gangScheduler = makeScheduler();
    for (const auto &run : runs)
      gangScheduler.adopt(run, absl::UnixEpoch(), absl::Minutes(10));
    for (const auto &announce : announces)
      gangScheduler.onAnnounce(announce, true, absl::UnixEpoch());
  }
}

// Handling of one heartbeat of every agent while the site runs gangs.
void heartbeats(benchmark::State &state) {
  const int workers = static_cast<int>(state.range(0));
  const auto runs = recordedRuns(workers, static_cast<int>(state.range(1)));
  const auto announces = announcements(workers, runs);
  auto gangScheduler = makeScheduler();
  for (const auto &run : runs)
    gangScheduler.adopt(run, absl::UnixEpoch(), absl::Minutes(10));
  for (auto _ : state)
    for (const auto &announce : announces)
      gangScheduler.onAnnounce(announce, true, absl::UnixEpoch());
}

// One tick of the scheduler while the site runs gangs and nothing changes.
// Ticks are 20 ms of simulated time apart, as in the entry.
void idleTurn(benchmark::State &state) {
  const int workers = static_cast<int>(state.range(0));
  const auto runs = recordedRuns(workers, static_cast<int>(state.range(1)));
  auto gangScheduler = makeScheduler();
  for (const auto &run : runs)
    gangScheduler.adopt(run, absl::UnixEpoch(), absl::Minutes(10));
  for (const auto &announce : announcements(workers, runs))
    gangScheduler.onAnnounce(announce, true, absl::UnixEpoch());
  absl::Time now = absl::UnixEpoch();
  for (auto _ : state) {
    now += absl::Milliseconds(20);
    if (now > absl::UnixEpoch() + absl::Seconds(2))
      now = absl::UnixEpoch();
    gangScheduler.tick(now);
  }
}

} // namespace

BENCHMARK(stateMemory)
    ->Args({860, 11000})
    ->Args({8600, 110000})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(packed)->ArgsProduct({{86, 860, 8600}, {1, 16, 128}});
BENCHMARK(firstFit)->ArgsProduct({{86, 860, 8600}, {1, 16, 128}});
BENCHMARK(admitWithRoom)->Arg(86)->Arg(860)->Arg(8600);
BENCHMARK(admitByReclaim)->Arg(96)->Arg(864)->Arg(8608);
BENCHMARK(takeOver)
    ->Args({86, 1100})
    ->Args({860, 11000})
    ->Args({8600, 110000})
    ->Unit(benchmark::kMillisecond);
BENCHMARK(heartbeats)
    ->Args({86, 1100})
    ->Args({860, 11000})
    ->Args({8600, 110000})
    ->Unit(benchmark::kMillisecond);
BENCHMARK(idleTurn)
    ->Args({86, 1100})
    ->Args({860, 11000})
    ->Args({8600, 110000})
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(announceBytes)->Arg(0)->Arg(13);
BENCHMARK_MAIN();
