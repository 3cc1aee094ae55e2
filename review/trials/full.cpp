// A task that lasts fails once, on a site whose other workers are held by other
// lasting jobs: it has to be started again.
#include "deployment.h"

using namespace review;

namespace {

constexpr int Workers = 3;
constexpr int Failures = 1;
const std::string Job = "9e4c21b7d05f6a83";
const std::string Path = "/lohu930/" + Job;
const std::string Task = Job + ".0.0.0";
/// The limits of LOST for a task that lasts: 6 s after its last run, and 3 s.
constexpr int64_t MaxIdleMs = 9000;
constexpr int64_t WatchedMs = 60000;

json lastingJob(int gpu) {
  return {{"spec", "serve"},
          {"steps",
           {{{"count", 1},
             {"cpu", 1000 * gpu},
             {"memMb", 1000 * gpu},
             {"gpu", gpu},
             {"longRunning", true}}}}};
}

bool isRunning(Deployment &site, const std::string &task) {
  for (int w = 0; w < Workers; ++w)
    if (site.worker(w).isRunning(task))
      return true;
  return false;
}

} // namespace

int main(int, char **argv) {
  DeploymentOptions options;
  options.Workers = Workers;
  options.Manifest = manifest(1, {"key-a"});
  options.Plan = [](const std::string &task, int64_t run, const std::string &) {
    const bool fails = hasTrouble() && task == Task && run <= Failures;
    return fails ? RunPlan{3000, "failed", 1} : RunPlan{-1, "done", 1};
  };
  Deployment site(argv[1], options);
  if (!site.awaitReady())
    site.conclude(2, "the deployment did not become ready");
  for (int i = 0; i < 2; ++i)
    site.send(0, "POST", "/lohu930/000000005c0e7a0" + std::to_string(i),
              lastingJob(8));
  sleepMs(1000);
  if (site.send(0, "POST", Path, lastingJob(4)).Status != 200)
    site.conclude(2, "the job was not accepted");
  sleepMs(1500);
  if (!isRunning(site, Task))
    site.conclude(2, "the task did not start");
  int64_t idleSince = 0;
  int64_t longestIdle = 0;
  for (int64_t end = steadyMs() + WatchedMs; steadyMs() < end; sleepMs(50)) {
    if (isRunning(site, Task))
      idleSince = 0;
    else if (idleSince == 0)
      idleSince = steadyMs();
    if (idleSince != 0)
      longestIdle = std::max(longestIdle, steadyMs() - idleSince);
  }
  site.conclude(longestIdle > MaxIdleMs ? 1 : 0,
                "a lasting task did not run for up to " +
                    std::to_string(longestIdle) + " ms");
}
