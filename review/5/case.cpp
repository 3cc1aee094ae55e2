// A worker turns unhealthy and answers starts with 503: jobs whose start it
// refused still wait, and have to be counted as waiting.
#include "deployment.h"

using namespace review;

namespace {

constexpr int Workers = 7;
constexpr int Waiting = 3;
/// visible_ms + 2 s.
constexpr int64_t VisibleMs = 5000;
/// How long the unhealthy worker refuses starts.
constexpr int64_t UnhealthyMs = 6500;

json wholeWorkerJob() {
  return {{"spec", "verify"},
          {"steps",
           {{{"count", 1},
             {"cpu", 13000},
             {"memMb", 26000},
             {"gpu", 8},
             {"estimateMs", 60000}}}}};
}

std::string jobId(int number) {
  char id[17];
  std::snprintf(id, sizeof id, "%016x", 0x5c0e7a00 + number);
  return id;
}

std::string jobPath(int number) { return "/lohu930/" + jobId(number); }

/// The waiting jobs of which no worker has begun a task.
int countNotBegun(Deployment &site) {
  int count = 0;
  for (int i = 0; i < Waiting; ++i) {
    bool begun = false;
    for (int w = 0; w < Workers; ++w)
      begun |= site.worker(w).isRunning(jobId(100 + i) + ".0.0.0");
    count += begun ? 0 : 1;
  }
  return count;
}

} // namespace

int main(int, char **argv) {
  DeploymentOptions options;
  options.Workers = Workers;
  options.Manifest = manifest(1, {"key-a"});
  options.Plan = [](const std::string &, int64_t, const std::string &) {
    return RunPlan{90000, "done", 1};
  };
  Deployment site(argv[1], options);
  if (!site.awaitReady())
    site.conclude(2, "the deployment did not become ready");
  // Long jobs take all workers but one. Without the disruption the last worker
  // is taken as well, so that the same jobs wait.
  const int longJobs = hasTrouble() ? Workers - 1 : Workers;
  for (int i = 0; i < longJobs; ++i)
    if (site.send(0, "POST", jobPath(i), wholeWorkerJob()).Status != 200)
      site.conclude(2, "a long job was not accepted");
  sleepMs(3000);
  int idle = -1;
  int idleCount = 0;
  for (int w = 0; w < Workers; ++w)
    if (site.worker(w).isIdle()) {
      idle = w;
      ++idleCount;
    }
  if (idleCount != Workers - longJobs)
    site.conclude(2, "the long jobs did not start");
  if (hasTrouble())
    site.worker(idle).refuseStarts(UnhealthyMs);
  for (int i = 0; i < Waiting; ++i)
    if (site.send(0, "POST", jobPath(100 + i), wholeWorkerJob()).Status != 200)
      site.conclude(2, "a job was not accepted");
  const int64_t acceptedAt = steadyMs();
  sleepMs(VisibleMs + 200);
  int wrong = 0;
  std::string seen = "no count was wrong";
  for (int i = 0; i < 20; ++i, sleepMs(250)) {
    const int64_t askedAt = steadyMs();
    const Answer a = site.send(0, "GET", "/lohu930/");
    if (a.Status != 200)
      site.conclude(2, "no count was answered");
    const int shown = a.Body.value("waiting", -1);
    const int notBegun = countNotBegun(site);
    if (shown * 2 < notBegun && ++wrong == 1)
      seen = std::to_string(shown) + " of " + std::to_string(notBegun) +
             " waiting jobs are shown " + std::to_string(askedAt - acceptedAt) +
             " ms after the last was accepted";
  }
  for (int i = 0; i < Waiting; ++i)
    site.stateOf(0, jobPath(100 + i));
  site.conclude(wrong > 0 ? 1 : 0,
                seen + "; " + std::to_string(wrong) + " of 20 counts wrong");
}
