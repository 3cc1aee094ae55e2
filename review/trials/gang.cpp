// A gang on one worker that fails all that it starts: its job must not be shown
// as failed before the gang has failed as often as its queue allows.
#include "deployment.h"

using namespace review;

namespace {

// One of them is a share of 0.143.
constexpr int Workers = 7;
constexpr int Members = 4;
constexpr int Attempts = 4;
const std::string Job = "5c0e7a21d94b36f8";
const std::string Path = "/lohu930/" + Job;

json gangJob() {
  return {{"spec", "gang"},
          {"steps",
           {{{"count", Members},
             {"cpu", 3700},
             {"memMb", 7600},
             {"gpu", 1},
             {"estimateMs", 2500},
             {"gang", true}}}}};
}

} // namespace

int main(int, char **argv) {
  DeploymentOptions options;
  options.Workers = Workers;
  options.Manifest = manifest(1, {"key-a"});
  options.Plan = [](const std::string &, int64_t, const std::string &) {
    return RunPlan{2500, "done", Members};
  };
  Deployment site(argv[1], options);
  if (!site.awaitReady())
    site.conclude(2, "the deployment did not become ready");
  // The planner fills one worker with a small gang. Which one is not known
  // before, so that the worker of the first start turns sick with it.
  if (hasTrouble())
    site.Gangs.SickOnFirstStartMs = 6500;
  if (site.send(0, "POST", Path, gangJob()).Status != 200)
    site.conclude(2, "the job was not accepted");
  std::string state;
  for (int64_t end = steadyMs() + 30000; steadyMs() < end; sleepMs(500)) {
    state = site.stateOf(0, Path);
    if (state == "completed" || state == "failed")
      break;
  }
  const int runs = site.Gangs.runsWith("failed", Job);
  const std::string seen = "the job is shown as '" + state + "' after " +
                           std::to_string(runs) +
                           " failed run(s) of its gang, " +
                           std::to_string(Attempts) + " attempts allowed";
  if (state == "failed" && runs < Attempts)
    site.conclude(1, seen);
  site.conclude(state == "completed" ? 0 : 2, seen);
}
