// Lets both members of a gang fail in the same runs, because their workers fail
// all that they start for a while, and checks that the job is not shown as
// failed before its gang has used up its attempts.
#include "../sitekit-2/site.h"

#include <set>

using namespace sitekit;

namespace {

constexpr int Attempts = 4;
constexpr int SickWorkers = 2;
/// Time after which a sick worker fails a run, and a sound one ends it.
constexpr int64_t FailMs = 200;
constexpr int64_t WorkMs = 2000;
/// Time for which two workers fail all that they start, from the job's first
/// start: it covers two runs of the gang.
constexpr int64_t SickMs = 350;
constexpr int64_t FinishMs = 40000;
const std::string JobId = "7d0e7a21d94b36f8";
/// The kind of worker that the gang needs.
const std::string GangKind = "b";

json manifest() {
  return {{"version", 1},
          {"routes",
           {{{"name", "q"},
             {"host", "brno.example"},
             {"prefix", "/q/"},
             {"service", "s"},
             {"priority", 1},
             {"attempts", Attempts},
             {"stretch", 3.0},
             {"targetLatencyMs", 1000}}}},
          {"services", {{{"name", "s"}}}},
          {"tenants", {{{"name", "t"}, {"apiKeys", {"key-t"}}}}},
          {"limits", {{"bodyBytes", 262144}}}};
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 2)
    return CannotRun;
  std::vector<WorkerOptions> workers = brnoWorkers(14);
  std::set<std::string> sick;
  for (int n = 0; n < SickWorkers; ++n) {
    workers[static_cast<size_t>(n)].Kind = GangKind;
    sick.insert(workers[static_cast<size_t>(n)].Id);
  }
  bool areSick = false;
  std::set<int64_t> failedRuns;
  int failedEnds = 0;
  int64_t firstStart = 0;
  Site *site = nullptr;
  WorkerHooks hooks;
  hooks.Plan = [&](const std::string &worker, const RunKey &) {
    return areSick && sick.count(worker) > 0 ? RunPlan{FailMs, "failed"}
                                             : RunPlan{WorkMs, "done"};
  };
  hooks.OnStarted = [&](const std::string &worker, const RunKey &run,
                        const std::string &) {
    if (firstStart == 0)
      firstStart = nowMs();
    site->record("start " + run.Task + " run " + std::to_string(run.Run) +
                 " on " + worker);
  };
  hooks.OnEnded = [&](const std::string &worker, const RunKey &run,
                      const std::string &how) {
    site->record("end " + run.Task + " run " + std::to_string(run.Run) +
                 " on " + worker + ": " + how);
    if (how == "failed") {
      failedRuns.insert(run.Run);
      ++failedEnds;
    }
  };
  hooks.OnEndNoted = [](const std::string &, const RunKey &,
                        const std::string &, bool) {};
  SiteOptions options;
  options.Workers = workers;
  options.Manifest = manifest();
  Site running(options, hooks, argv[1]);
  site = &running;
  if (!site->start())
    return CannotRun;
  if (!isWithoutTrouble()) {
    areSick = true;
    site->record("two workers fail all that they start");
  }
  const json job = {{"spec", "a gang"},
                    {"steps",
                     {{{"count", SickWorkers},
                       {"cpu", 2000},
                       {"memMb", 1024},
                       {"gpu", 8},
                       {"gang", true},
                       {"needs", GangKind},
                       {"estimateMs", WorkMs}}}}};
  for (const auto &worker : site->Workers)
    worker->GangSize = [](const std::string &) { return SickWorkers; };
  int accepted = 0;
  site->submit(0, "/q/", JobId, job, "key-t",
               [&](int status) { accepted = status; });
  if (!site->EventLoop.runUntil(
          [&] { return accepted != 0 && firstStart != 0; }, 10000) ||
      accepted != 200)
    return CannotRun;
  site->EventLoop.runFor(firstStart + SickMs - nowMs());
  if (areSick)
    site->record("the two workers are sound again");
  areSick = false;
  std::string state;
  const int64_t end = nowMs() + FinishMs;
  while (state != "completed" && state != "failed" && nowMs() < end) {
    bool isAnswered = false;
    site->state(1, "/q/" + JobId, "key-t", [&](const std::string &answer) {
      state = answer;
      isAnswered = true;
    });
    site->EventLoop.runUntil([&] { return isAnswered; }, 4000);
    site->EventLoop.runFor(250);
  }
  const auto failedRunCount = static_cast<int>(failedRuns.size());
  site->record("state " + state + "; " + std::to_string(failedRunCount) +
               " runs of the gang failed, with " + std::to_string(failedEnds) +
               " ends failed; attempts " + std::to_string(Attempts));
  return state == "failed" && failedRunCount < Attempts ? RuleBroken : RuleHeld;
}
