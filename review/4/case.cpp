// Liveness reports of another writer that can't be read: the agent must go on.
#include "deployment.h"

using namespace review;

namespace {

constexpr int Agents = 2;
constexpr int Reports = 3;

} // namespace

int main(int, char **argv) {
  DeploymentOptions options;
  options.Workers = Agents;
  options.Manifest = manifest(1, {"key-a"});
  options.Plan = [](const std::string &, int64_t, const std::string &) {
    return RunPlan{2500, "done", 1};
  };
  Deployment site(argv[1], options);
  if (!site.awaitReady())
    site.conclude(2, "the deployment did not become ready");
  // A body that is no UTF-8 or, without the disruption, one that is readable
  // but lacks all fields.
  const std::string body = hasTrouble() ? "{\"service\":\"\xff\xfe\"}" : "{}";
  int ends = 0;
  for (int report = 0; report < Reports; ++report)
    for (int agent = 0; agent < Agents; ++agent) {
      const HttpResponse r =
          call(site.controlPort(agent), "POST",
               "/-/Instances.Heartbeat/i-other", body, {}, 1000);
      sleepMs(500);
      Process &process = site.process("agent-" + std::to_string(agent));
      const std::string end = process.ended();
      site.Log.write("report " + std::to_string(report) + " -> agent " +
                     std::to_string(agent) + ": status " +
                     std::to_string(r.Status) +
                     (end.empty() ? ", it runs" : ", it ended by " + end));
      if (end.empty())
        continue;
      ++ends;
      // The platform starts it again after a short delay.
      sleepMs(1000);
      process.start();
      sleepMs(2000);
    }
  const std::string seen = std::to_string(ends) + " ends of " +
                           std::to_string(Agents) + " agents after " +
                           std::to_string(Reports) + " reports to each";
  site.conclude(ends > 0 ? 1 : 0, seen);
}
