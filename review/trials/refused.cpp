// The store loses the answer to the write of a submitted job while the
// consumer's key is taken away: a job that is stored, and runs, must not be
// refused.
#include "deployment.h"

using namespace review;

namespace {

const std::string Job = "3ab0c9d1e2f45678";
const std::string Path = "/lohu930/" + Job;
constexpr int Attempts = 5;

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
  options.Entries = 2;
  options.Manifest = manifest(1, {"key-a", "key-b"});
  options.Plan = [](const std::string &, int64_t, const std::string &) {
    return RunPlan{2500, "done", 1};
  };
  Deployment site(argv[1], options);
  if (!site.awaitReady())
    site.conclude(2, "the deployment did not become ready");
  std::atomic<bool> stored{false};
  if (hasTrouble())
    site.Platform.setFaults([&](const std::string &, const HttpRequest &r) {
      const bool isSubmit =
          r.Path == "/-/kv-txn" &&
          r.Body.find("jobs/" + Job + "/spec\",\"value") != std::string::npos;
      StoreFault fault;
      fault.LoseAnswer = isSubmit && !stored.exchange(true);
      return fault;
    });
  std::thread operatorThread([&] {
    if (!hasTrouble())
      return;
    while (!stored)
      sleepMs(5);
    sleepMs(100);
    site.Log.write("store: the job is stored, the answer is lost");
    site.setManifest(manifest(2, {"key-b"}));
  });
  bool isAccepted = false;
  bool isOpen = false;
  for (int attempt = 0; attempt < Attempts && !isAccepted; ++attempt) {
    const int status = site.send(0, "POST", Path, smallJob()).Status;
    isAccepted = status == 200;
    isOpen = isOpen || status == 0 || status == 502 || status == 504;
    sleepMs(1000);
  }
  operatorThread.join();
  sleepMs(5000);
  const std::string state =
      site.send(0, "GET", Path, nullptr, "key-b").Body.value("state", "");
  const bool hasStarted = site.Gangs.runsWith("done", Job) > 0;
  const std::string seen = std::string(isAccepted ? "accepted"
                                       : isOpen   ? "open"
                                                  : "refused") +
                           " for the consumer, " +
                           (hasStarted ? "its task has run" : "not run") +
                           ", shown as '" + state + "'";
  if (!isAccepted && !isOpen && hasStarted)
    site.conclude(1, seen);
  site.conclude(isAccepted && hasStarted ? 0 : 2, seen);
}
