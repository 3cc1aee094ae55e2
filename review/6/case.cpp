// Starts a job of many small tasks that end together on one worker while the
// store is down, and checks that no task starts again once it has ended done.
#include "../sitekit-2/site.h"

#include <cstdlib>
#include <set>

using namespace sitekit;

namespace {

constexpr int TaskCount = 600;
constexpr int64_t WorkMs = 3000;
/// From the start of the first task to the outage, and its length.
constexpr int64_t OutageAfterMs = 2000;
constexpr int64_t OutageMs = 4500;
/// From the start of the first task to the kill of the leader.
constexpr int64_t KillAfterMs = 2800;
constexpr int64_t RestartMs = 1000;
constexpr int64_t FinishMs = 40000;
const std::string JobId = "5c0e7a21d94b36f8";

/// What became of one task.
struct TaskLog {
  int Starts = 0;
  std::set<std::pair<std::string, int64_t>> Running;
  bool HasEndedDone = false;
  bool IsDoneNoted = false;
  int StartsAfterDone = 0;
  int Overlaps = 0;
};

json manifest() {
  return {
      {"version", 1},
      {"routes",
       {{{"name", "q"},
         {"host", "brno.example"},
         {"prefix", "/q/"},
         {"service", "s"},
         {"priority", 1},
         {"attempts", 4},
         {"stretch", 3.0},
         {"targetLatencyMs", 1000}}}},
      {"services", {{{"name", "s"}}}},
      {"tenants",
       {{{"name", "t"}, {"apiKeys", {"key-t"}}, {"guaranteed", {{"gpu", 8}}}}}},
      {"limits", {{"bodyBytes", 262144}}}};
}

/// Whether the leader is to be killed in place of the outage (TROUBLE=leader).
bool isLeaderKilled() {
  const char *trouble = std::getenv("TROUBLE");
  return trouble != nullptr && std::string(trouble) == "leader";
}

/// Kills the leader's process and starts it again after a second.
void killLeader(Site &site) {
  const std::string leader = site.Platform->value("oriolebay/leader");
  for (size_t n = 0; n < site.Entries.size(); ++n) {
    if (site.PeerAddresses[n] != leader)
      continue;
    site.record("the leader, entry " + std::to_string(n) + ", is killed");
    site.Entries[n]->kill();
    site.EventLoop.runFor(RestartMs);
    site.Entries[n]->start();
    site.record("it is started again");
  }
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 2)
    return CannotRun;
  std::map<std::string, TaskLog> tasks;
  int64_t firstStart = 0;
  int ended = 0;
  Site *site = nullptr;
  WorkerHooks hooks;
  hooks.Plan = [](const std::string &, const RunKey &) {
    return RunPlan{WorkMs, "done"};
  };
  hooks.OnStarted = [&](const std::string &worker, const RunKey &run,
                        const std::string &) {
    TaskLog &task = tasks[run.Task];
    if (firstStart == 0)
      firstStart = nowMs();
    task.StartsAfterDone += task.HasEndedDone ? 1 : 0;
    task.Overlaps += task.Running.empty() ? 0 : 1;
    if (++task.Starts > 1)
      site->record("start again: " + run.Task + " run " +
                   std::to_string(run.Run) + " on " + worker);
    task.Running.insert({worker, run.Run});
  };
  hooks.OnEnded = [&](const std::string &worker, const RunKey &run,
                      const std::string &how) {
    tasks[run.Task].Running.erase({worker, run.Run});
    tasks[run.Task].HasEndedDone |= how == "done";
    ++ended;
  };
  hooks.OnEndNoted = [&](const std::string &, const RunKey &run,
                         const std::string &how, bool hasLapsed) {
    tasks[run.Task].IsDoneNoted |= how == "done" && !hasLapsed;
  };
  SiteOptions options;
  options.Workers = brnoWorkers(11);
  options.Manifest = manifest();
  Site running(options, hooks, argv[1]);
  site = &running;
  if (!site->start())
    return CannotRun;
  const json job = {{"spec", "small tasks"},
                    {"steps",
                     {{{"count", TaskCount},
                       {"cpu", 40},
                       {"memMb", 64},
                       {"estimateMs", WorkMs}}}}};
  int accepted = 0;
  site->submit(0, "/q/", JobId, job, "key-t",
               [&](int status) { accepted = status; });
  if (!site->EventLoop.runUntil([&] { return accepted != 0; }, 10000) ||
      accepted != 200)
    return CannotRun;
  if (!site->EventLoop.runUntil([&] { return firstStart != 0; }, 10000))
    return CannotRun;
  site->EventLoop.runFor(isLeaderKilled() ? KillAfterMs : OutageAfterMs);
  site->record(std::to_string(tasks.size()) + " tasks have started, " +
               std::to_string(ended) + " runs have ended");
  if (isLeaderKilled()) {
    killLeader(*site);
  } else if (!isWithoutTrouble()) {
    site->record("the store is down: it answers 503");
    site->Platform->setMode(Store::Mode::Busy);
    site->EventLoop.runFor(OutageMs);
    site->Platform->setMode(Store::Mode::Serving);
    site->record("the store serves again; " + std::to_string(ended) +
                 " runs have ended");
  }
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
  site->EventLoop.runFor(3000);
  int twice = 0;
  int overlaps = 0;
  for (const auto &[name, task] : tasks) {
    twice += task.IsDoneNoted && task.StartsAfterDone > 0 ? 1 : 0;
    overlaps += task.Overlaps > 0 ? 1 : 0;
  }
  site->record("state " + state +
               "; tasks that started after an end done "
               "that was taken note of: " +
               std::to_string(twice) +
               "; tasks with two runs at a time: " + std::to_string(overlaps));
  return twice > 0 || overlaps > 0 ? RuleBroken : RuleHeld;
}
