// Hands in large repeated jobs of one organisation, at about twice the usual
// rate, beside small jobs of another. Ends each process that exceeds the memory
// of its machine and starts it again, as the platform does, and counts that.
#include "../sitekit-2/site.h"

#include <fstream>
#include <set>
#include <sys/time.h>

using namespace sitekit;

namespace {

constexpr int LargeJobs = 12;
constexpr int Repeats = 1000;
constexpr int TasksEach = 64;
constexpr int64_t IntervalMs = 1000;
constexpr int64_t WorkMs = 5000;
constexpr int64_t PauseMs = 600;
constexpr int SmallJobs = 3;
/// memoryMb of a front machine, and the delay of a restart.
constexpr int64_t MemoryMb = 260;
constexpr int64_t RestartMs = 1000;
constexpr int64_t CheckMs = 50;
/// A process that ends that often on that many machines is a fault: a tenth of
/// the 14 machines, two at least.
constexpr int EndsOfAFault = 3;
constexpr int MachinesOfAFault = 2;
constexpr int64_t WatchMs = 60000;
/// finish_s: how long the small jobs are watched at least.
constexpr int64_t FinishMs = 14000;

std::string jobId(const char *kind, int number) {
  char id[17];
  std::snprintf(id, sizeof id, "%s%012d", kind, number);
  return id;
}

json route(const std::string &name, int priority) {
  return {
      {"name", name},   {"host", "brno.example"}, {"prefix", "/" + name + "/"},
      {"service", "s"}, {"priority", priority},   {"attempts", 4},
      {"stretch", 3.0}, {"targetLatencyMs", 1000}};
}

json manifest() {
  return {{"version", 1},
          {"routes", {route("large", 2), route("small", 1)}},
          {"services", {{{"name", "s"}}}},
          {"tenants",
           {{{"name", "t1"}, {"apiKeys", {"key-1"}}},
            {{"name", "t2"}, {"apiKeys", {"key-2"}}}}},
          {"limits", {{"bodyBytes", 262144}}}};
}

int64_t unixMs() {
  timeval now{};
  gettimeofday(&now, nullptr);
  return int64_t{1000} * now.tv_sec + now.tv_usec / 1000;
}

/// Memory of a process that no file backs, in MB.
int64_t memoryMbOf(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);)
    if (line.compare(0, 8, "RssAnon:") == 0)
      return std::stoll(line.substr(8)) / 1024;
  return 0;
}

/// Ends entries that exceed their memory, and starts them again.
class MemoryGuard {
public:
  explicit MemoryGuard(Site &site) : Deployment(site) { check(); }

  const std::map<size_t, int> &ends() const { return Ends; }
  int64_t mostMb() const { return MostMb; }

private:
  void check() {
    for (size_t n = 0; n < Deployment.Entries.size(); ++n)
      checkEntry(n);
    Deployment.EventLoop.runAfter(CheckMs, [this] { check(); });
  }

  void checkEntry(size_t n) {
    Process &entry = *Deployment.Entries[n];
    if (!entry.isRunning())
      return;
    const int64_t mb = memoryMbOf(entry.pid());
    MostMb = std::max(MostMb, mb);
    if (mb <= MemoryMb)
      return;
    entry.kill();
    ++Ends[n];
    Deployment.record("entry " + std::to_string(n) + " has " +
                      std::to_string(mb) + " MB and is ended, time " +
                      std::to_string(Ends[n]));
    Deployment.EventLoop.runAfter(RestartMs, [&entry] { entry.start(); });
  }

  Site &Deployment;
  std::map<size_t, int> Ends;
  int64_t MostMb = 0;
};

} // namespace

int main(int argc, char **argv) {
  if (argc != 2)
    return CannotRun;
  std::map<char, int> starts;
  WorkerHooks hooks;
  hooks.Plan = [](const std::string &, const RunKey &) {
    return RunPlan{WorkMs, "done"};
  };
  hooks.OnStarted = [&](const std::string &, const RunKey &run,
                        const std::string &) { ++starts[run.Task.front()]; };
  hooks.OnEnded = [](const std::string &, const RunKey &, const std::string &) {
  };
  hooks.OnEndNoted = [](const std::string &, const RunKey &,
                        const std::string &, bool) {};
  SiteOptions options;
  options.Workers = brnoWorkers(11);
  options.Manifest = manifest();
  Site site(options, hooks, argv[1]);
  if (!site.start())
    return CannotRun;
  MemoryGuard guard(site);
  const json small = {{"spec", "small"},
                      {"steps",
                       {{{"count", 1},
                         {"cpu", 1000},
                         {"memMb", 256},
                         {"estimateMs", WorkMs}}}}};
  const json large = {{"spec", "large"},
                      {"repeats", Repeats},
                      {"firstMs", unixMs() - Repeats * IntervalMs},
                      {"intervalMs", IntervalMs},
                      {"steps",
                       {{{"count", TasksEach},
                         {"cpu", 1000},
                         {"memMb", 256},
                         {"gpu", 1},
                         {"estimateMs", WorkMs}}}}};
  int accepted = 0;
  for (int n = 0; n < LargeJobs && !isWithoutTrouble(); ++n) {
    site.submit(n % 3, "/large/", jobId("1a0e", n), large, "key-1",
                [&](int status) { accepted += status == 200 ? 1 : 0; });
    site.EventLoop.runFor(PauseMs);
  }
  for (int n = 0; n < SmallJobs; ++n) {
    site.submit(n % 3, "/small/", jobId("2b0e", n), small, "key-2", [](int) {});
    site.EventLoop.runFor(PauseMs);
  }
  const auto machines = [&guard] {
    int count = 0;
    for (const auto &[entry, ends] : guard.ends())
      count += ends >= EndsOfAFault ? 1 : 0;
    return count;
  };
  site.EventLoop.runFor(FinishMs);
  site.EventLoop.runUntil([&] { return machines() >= MachinesOfAFault; },
                          WatchMs - FinishMs);
  site.record("large jobs accepted: " + std::to_string(accepted) +
              "; starts of large jobs " + std::to_string(starts['1']) +
              ", of small jobs " + std::to_string(starts['2']) +
              "; most memory of an entry " + std::to_string(guard.mostMb()) +
              " MB; machines with a process that ended " +
              std::to_string(EndsOfAFault) +
              " times: " + std::to_string(machines()));
  return machines() >= MachinesOfAFault ? RuleBroken : RuleHeld;
}
