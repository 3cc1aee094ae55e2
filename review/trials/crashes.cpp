// Two workers crash, for reasons of their own, soon after the same task began
// there: its job must not be shown as failed, as no run of it has failed.
#include "deployment.h"

using namespace review;

namespace {

// Two of them are a share of 0.143.
constexpr int Workers = 14;
constexpr int Crashes = 2;
const std::string Job = "4f7a90c2e18b6d35";
const std::string Path = "/lohu930/" + Job;
const std::string Task = Job + ".0.0.0";

json smallJob() {
  return {{"spec", "render"},
          {"steps",
           {{{"count", 1},
             {"cpu", 3700},
             {"memMb", 7600},
             {"gpu", 1},
             {"estimateMs", 2500}}}}};
}

} // namespace

int main(int, char **argv) {
  DeploymentOptions options;
  options.Workers = Workers;
  options.Manifest = manifest(1, {"key-a"});
  options.Plan = [](const std::string &, int64_t, const std::string &) {
    return RunPlan{2500, "done", 1};
  };
  Deployment site(argv[1], options);
  if (!site.awaitReady())
    site.conclude(2, "the deployment did not become ready");
  if (site.send(0, "POST", Path, smallJob()).Status != 200)
    site.conclude(2, "the job was not accepted");
  int crashes = 0;
  for (int64_t end = steadyMs() + 20000; steadyMs() < end; sleepMs(20))
    for (int w = 0; w < Workers && hasTrouble() && crashes < Crashes; ++w)
      if (site.worker(w).isRunning(Task)) {
        sleepMs(150);
        site.worker(w).crash();
        ++crashes;
      }
  const std::string state = site.stateOf(0, Path);
  const int failures = site.Gangs.runsWith("failed", Job);
  const std::string seen = "the job is shown as '" + state + "' after " +
                           std::to_string(crashes) + " crashes and " +
                           std::to_string(failures) + " runs that failed";
  if (state == "failed" && failures == 0)
    site.conclude(1, seen);
  site.conclude(state == "completed" ? 0 : 2, seen);
}
