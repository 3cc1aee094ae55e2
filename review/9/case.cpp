// A consumer whose submission ends in 504 cancels the job at another entry,
// which answers 410. Checks that nothing of the job runs on.
#include "../sitekit-2/site.h"

#include <set>

using namespace sitekit;

namespace {

/// The store carries out the writes of the job this late, without an answer, as
/// long as the submission is under way.
constexpr int64_t LateMs = 6000;
constexpr int64_t WorkMs = 15000;
/// contactMs: how long the store has been sound by the end of the check.
constexpr int64_t ContactMs = 3000;
const std::string JobId = "9a0e7a21d94b36f8";
const std::string Prefix = "/q/";

json manifest() {
  return {{"version", 1},
          {"routes",
           {{{"name", "q"},
             {"host", "brno.example"},
             {"prefix", Prefix},
             {"service", "s"},
             {"priority", 1},
             {"attempts", 4},
             {"stretch", 3.0},
             {"targetLatencyMs", 1000}}}},
          {"services", {{{"name", "s"}}}},
          {"tenants", {{{"name", "t"}, {"apiKeys", {"key-t"}}}}},
          {"limits", {{"bodyBytes", 262144}}}};
}

bool writesJob(const json &txn) {
  for (const json &put : txn.value("puts", json::array()))
    if (put.at("key").get<std::string>().find(JobId) != std::string::npos)
      return true;
  return false;
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 2)
    return CannotRun;
  Site *site = nullptr;
  std::set<RunKey> running;
  int startsAfterCancel = 0;
  int64_t cancelledAt = 0;
  WorkerHooks hooks;
  hooks.Plan = [](const std::string &, const RunKey &) {
    return RunPlan{WorkMs, "done"};
  };
  hooks.OnStarted = [&](const std::string &worker, const RunKey &run,
                        const std::string &) {
    site->record("start " + run.Task + " run " + std::to_string(run.Run) +
                 " on " + worker);
    running.insert(run);
    startsAfterCancel += cancelledAt != 0 ? 1 : 0;
  };
  hooks.OnEnded = [&](const std::string &worker, const RunKey &run,
                      const std::string &how) {
    site->record("end " + run.Task + " run " + std::to_string(run.Run) +
                 " on " + worker + ": " + how);
    running.erase(run);
  };
  hooks.OnEndNoted = [](const std::string &, const RunKey &,
                        const std::string &, bool) {};
  SiteOptions options;
  options.Workers = brnoWorkers(11);
  options.Manifest = manifest();
  Site runningSite(options, hooks, argv[1]);
  site = &runningSite;
  if (!site->start())
    return CannotRun;
  int lateWrites = 0;
  int otherWrites = 0;
  int postStatus = -1;
  if (!isWithoutTrouble())
    site->Platform->LateBy = [&](const json &txn) -> int64_t {
      if (postStatus >= 0)
        return -1;
      ++(writesJob(txn) ? lateWrites : otherWrites);
      return writesJob(txn) ? LateMs : -1;
    };
  const json job = {{"spec", "no longer wanted"},
                    {"steps",
                     {{{"count", 2},
                       {"cpu", 2000},
                       {"memMb", 1024},
                       {"gpu", 1},
                       {"estimateMs", WorkMs}}}}};
  site->call(0, "POST", Prefix + JobId, job, "key-t",
             [&](const Answer &answer) {
               postStatus = answer.Status;
               site->record("POST " + Prefix + JobId +
                            " at entry 0: " + std::to_string(postStatus));
             });
  site->EventLoop.runUntil([&] { return postStatus >= 0; }, 5000);
  site->record("writes that the store carries out late, unanswered: " +
               std::to_string(lateWrites) +
               "; other writes meanwhile: " + std::to_string(otherWrites));
  int status = 0;
  for (int entry = 1; entry < 3 && status != 200 && status != 410; ++entry) {
    status = 0;
    site->call(entry, "DELETE", Prefix + JobId, json(), "key-t",
               [&](const Answer &answer) {
                 status = answer.Status == 0 ? -1 : answer.Status;
                 site->record("DELETE " + Prefix + JobId + " at entry " +
                              std::to_string(entry) + ": " +
                              std::to_string(answer.Status));
               });
    site->EventLoop.runUntil([&] { return status != 0; }, 5000);
  }
  if (status != 200 && status != 410)
    return CannotRun;
  cancelledAt = nowMs();
  site->EventLoop.runFor(LateMs + 2 * ContactMs);
  std::string state;
  site->state(2, Prefix + JobId, "key-t",
              [&](const std::string &answer) { state = answer; });
  site->EventLoop.runFor(1000);
  site->record(
      std::to_string(nowMs() - cancelledAt) +
      " ms after the cancelling was acknowledged: state " + state + ", " +
      std::to_string(startsAfterCancel) +
      " starts since, tasks that run: " + std::to_string(running.size()));
  return running.empty() ? RuleHeld : RuleBroken;
}
