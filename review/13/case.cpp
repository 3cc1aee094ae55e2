// The worker in the rack of a job's data leaves, so that the job has to run on
// another rack, where it takes longer.
#include "site.h"

#include <algorithm>
#include <thread>

using namespace sitekit;
using nlohmann::json;

namespace {

constexpr int64_t ReadyMs = 20000;
constexpr int64_t DrainMs = 2200;
constexpr int64_t FinishMs = 14000;
constexpr int64_t MaxIdleMs = 3000;
constexpr int64_t WatchMs = 95000;
constexpr int64_t StepMs = 20;
/// The time that the task takes in the rack of its data, and its rough
/// estimate. In any other rack it takes three times as long.
constexpr int64_t WorkMs = 52000;
constexpr int64_t EstimateMs = 26000;
constexpr size_t WorkerCount = 10;
const std::string Label = "big";
const std::string DataRack = "r4";

// Workers 1, 2 and 10 have the label, the last one is alone in its rack.
SiteOptions options() {
  SiteOptions options;
  options.Attempts = 1;
  for (size_t i = 1; i <= WorkerCount; ++i) {
    WorkerOptions worker;
    worker.Name = "w" + std::to_string(i);
    worker.Labels = {"a", "r" + std::to_string((i + 2) / 3)};
    if (i <= 2 || i == WorkerCount)
      worker.Labels.push_back(Label);
    options.Workers.push_back(worker);
  }
  return options;
}

size_t runningCount(Site &site) {
  size_t n = 0;
  for (const auto &worker : site.Workers)
    n += worker->runningCount();
  return n;
}

} // namespace

int main(int argc, char **argv) {
  const CaseArguments arguments = parseArguments(argc, argv);
  Record log(arguments.RecordPath);
  Site site(log, arguments.Root, arguments.WorkDir, options());
  if (!site.awaitReady(ReadyMs))
    endCase(site, log, false, "the site is not ready");
  if (arguments.Trouble)
    site.Workers.back()->leave(DrainMs, 0);
  const std::string id = "5c0e7a21d94b36f8";
  const json step = {{"count", 1},
                     {"cpu", 1000},
                     {"memMb", 100},
                     {"gpu", 1},
                     {"needs", Label},
                     {"affinity", DataRack},
                     {"estimateMs", EstimateMs}};
  const json job = {
      {"spec", "ms=" + std::to_string(WorkMs) + " rack=" + DataRack},
      {"steps", {step}}};
  if (site.submit(0, id, job).Status != 200)
    endCase(site, log, false, "the job is not accepted");
  // The last call of the traffic.
  const int64_t trafficEnd = nowMs();
  int64_t idleSince = trafficEnd + FinishMs;
  int64_t nextLook = trafficEnd;
  std::string state;
  while (nowMs() < trafficEnd + WatchMs && state != "completed" &&
         nowMs() - idleSince <= MaxIdleMs) {
    if (runningCount(site) > 0)
      idleSince = std::max(idleSince, nowMs());
    if (nowMs() >= nextLook) {
      state = site.state(1, id);
      nextLook = nowMs() + 2000;
    }
    sleepMs(StepMs);
  }
  state = site.state(1, id);
  const bool isIdle = nowMs() - idleSince > MaxIdleMs && state != "completed";
  const size_t runs = site.Book.runs().size() - 1;
  log.write("the job is " + state + " after " + std::to_string(runs) + " runs");
  endCase(site, log, true,
          isIdle ? "LOST, job " + id + " is " + state +
                       " and has had nothing running for " +
                       std::to_string(nowMs() - idleSince) +
                       " ms, with two idle workers that have room for it; " +
                       std::to_string(runs) +
                       " runs were stopped before it was done"
                 : "");
}
