// Open connections of one entry to the store go silent: the number of waiting
// jobs that it shows must stay within the limit.
#include "deployment.h"

using namespace review;

namespace {

constexpr int Jobs = 8;
/// visible_ms + 2 s.
constexpr int64_t VisibleMs = 5000;
/// contactMs.
constexpr int64_t ContactMs = 3000;

json wholeWorkerJob() {
  return {{"spec", "verify"},
          {"steps",
           {{{"count", 1},
             {"cpu", 13000},
             {"memMb", 26000},
             {"gpu", 8},
             {"estimateMs", 60000}}}}};
}

std::string jobPath(int number) {
  char id[17];
  std::snprintf(id, sizeof id, "%016x", 0x5c0e7a00 + number);
  return std::string("/lohu930/") + id;
}

} // namespace

int main(int, char **argv) {
  DeploymentOptions options;
  options.Entries = 2;
  options.Workers = 1;
  options.Manifest = manifest(1, {"key-a"});
  options.Plan = [](const std::string &, int64_t, const std::string &) {
    return RunPlan{90000, "done", 1};
  };
  Deployment site(argv[1], options);
  if (!site.awaitReady() || site.leader() < 0)
    site.conclude(2, "the deployment did not become ready");
  const int leader = site.leader();
  const int other = 1 - leader;
  site.Log.write("entry " + std::to_string(leader) + " leads");
  // One job takes the only worker, so that all others wait.
  if (site.send(leader, "POST", jobPath(0), wholeWorkerJob()).Status != 200)
    site.conclude(2, "the first job was not accepted");
  sleepMs(1500);
  const int64_t silentAt = steadyMs();
  if (hasTrouble()) {
    site.Platform.silenceOpenConnections("entry-" + std::to_string(other));
    site.Log.write("the open connections of entry " + std::to_string(other) +
                   " to the store go silent");
  }
  for (int i = 1; i <= Jobs; ++i)
    if (site.send(leader, "POST", jobPath(i), wholeWorkerJob()).Status != 200)
      site.conclude(2, "a job was not accepted");
  const int64_t acceptedAt = steadyMs();
  std::string seen = "no count was wrong";
  int wrong = 0;
  int counted = 0;
  // Asks at times at which the entry is in touch again and all of the jobs were
  // accepted longer ago than the limit.
  sleepMs(std::max(acceptedAt + VisibleMs, silentAt + ContactMs) - steadyMs() +
          100);
  for (int64_t end = steadyMs() + 3000; steadyMs() < end; sleepMs(100)) {
    const int64_t askedAt = steadyMs();
    const Answer a = site.send(other, "GET", "/lohu930/");
    if (a.Status != 200)
      continue;
    ++counted;
    const int waiting = a.Body.value("waiting", -1);
    if (waiting * 2 >= Jobs)
      continue;
    if (++wrong == 1)
      seen = "entry " + std::to_string(other) + " shows " +
             std::to_string(waiting) + " of " + std::to_string(Jobs) +
             " waiting jobs " + std::to_string(askedAt - acceptedAt) +
             " ms after the last was accepted";
  }
  if (counted == 0)
    site.conclude(2, "no count was answered");
  site.conclude(wrong > 0 ? 1 : 0, seen);
}
