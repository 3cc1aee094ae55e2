// A version of the configuration replaces a route by one with the same host,
// prefix and service.
#include "site.h"

using namespace sitekit;
using nlohmann::json;

namespace {

constexpr int64_t ReadyMs = 20000;
/// configApplyMs, outerBoundMs and visible_ms.
constexpr int64_t ConfigMs = 10000;
/// cancel_ms and stopGraceMs, and a second.
constexpr int64_t CancelMs = 4900;
constexpr int Gone = 410;

SiteOptions options() {
  SiteOptions options;
  for (const char *name : {"w1", "w2", "w3"}) {
    WorkerOptions worker;
    worker.Name = name;
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
  const std::string id = "5c0e7a21d94b36f8";
  const json step = {
      {"count", 2}, {"cpu", 1000}, {"memMb", 100}, {"estimateMs", 40000}};
  if (site.submit(0, id, {{"spec", "ms=40000"}, {"steps", {step}}}).Status !=
      200)
    endCase(site, log, false, "the job is not accepted");
  if (!site.awaitState(1, id, "running", ReadyMs))
    endCase(site, log, false, "the job does not begin");
  site.writeConfig(arguments.Trouble ? "-next" : "");
  sleepMs(ConfigMs);
  const CallAnswer first = site.call(0, "GET", id);
  const CallAnswer second = site.call(1, "GET", id);
  const size_t running = runningCount(site);
  const bool isLost = first.Status == Gone || second.Status == Gone;
  const CallAnswer cancelled = site.call(0, "DELETE", id);
  sleepMs(CancelMs);
  const size_t later = runningCount(site);
  log.write("the job's cancelling was answered " +
            std::to_string(cancelled.Status) + "; " + std::to_string(later) +
            " of its tasks run " + std::to_string(CancelMs) + " ms later");
  std::string broken;
  if (isLost)
    broken = "LOST, GET for job " + id + " is answered 410, with " +
             std::to_string(running) + " of its tasks running";
  if (later > 0 && (cancelled.Status == 200 || cancelled.Status == Gone))
    broken += "; UNASKED, " + std::to_string(later) +
              " tasks run on after its cancelling was acknowledged with " +
              std::to_string(cancelled.Status);
  endCase(site, log, true, broken);
}
