#pragma once

#include "http.h"

#include <functional>
#include <map>
#include <set>

namespace sitekit {

struct RunKey {
  std::string Task;
  int64_t Run = 0;
  auto operator<=>(const RunKey &) const = default;
};

/// How long a run works, and how it ends then.
struct RunPlan {
  int64_t WorkMs = 0;
  std::string How = "done";
};

/// What a worker is and does.
struct WorkerOptions {
  std::string Id;
  std::string Service = "s";
  std::string Zone;
  std::string Kind = "a";
  std::string Rack;
  int64_t MilliCores = 32000;
  int64_t MemoryMb = 65536;
  int64_t Accelerators = 8;
};

/// What the workers of a site do, seen by the case that runs them.
struct WorkerHooks {
  std::function<RunPlan(const std::string &worker, const RunKey &run)> Plan;
  std::function<void(const std::string &worker, const RunKey &run,
                     const std::string &spec)>
      OnStarted;
  std::function<void(const std::string &worker, const RunKey &run,
                     const std::string &how)>
      OnEnded;
  /// The end of a run is taken note of: seenUpto has reached it. With
  /// hasLapsed, the worker's lease has lapsed since the end.
  std::function<void(const std::string &worker, const RunKey &run,
                     const std::string &how, bool hasLapsed)>
      OnEndNoted;
};

/// The members of the gangs, which work only together. Gangs run on several
/// workers, so that all workers of a site share one table.
class Gangs;

/// A worker of the users' platform, as PROTOCOL.md describes it: runs tasks
/// under a lease, guards fence numbers, and lists ends until they are taken
/// note of, 500 at a time.
class Worker {
public:
  Worker(Loop &loop, WorkerOptions options, WorkerHooks hooks);

  const std::string &id() const { return Options.Id; }
  int port() const { return Http.port(); }
  void sendHeartbeatsTo(int controlPort);
  /// The members of a step that is a gang have to be present before any works.
  /// Size is asked for "ID.K.STEP"; zero means that it is no gang.
  std::function<int(const std::string &step)> GangSize;
  /// The progress that a run has saved after some checkpoints; none if unset.
  std::function<std::string(const RunKey &run, int64_t checkpoints)> Saved;
  void shareGangsWith(const Worker &other) { AllGangs = other.AllGangs; }
  /// Ends a member of a gang because another member has ended.
  void breakRun(const RunKey &run) { end(run, "broken"); }

private:
  struct RunState {
    int64_t BegunAt = 0;
    int64_t WorkMs = 0;
    bool IsStopping = false;
  };
  struct EndState {
    RunKey Run;
    std::string How;
    /// Number of leases that had lapsed by then.
    int Lapses = 0;
  };
  struct Waiting {
    int64_t EndsAt = 0;
    Respond Answer;
  };

  int64_t clockMs() const { return nowMs() - ClockOffset; }
  void serve(const Request &request, const Respond &respond);
  void start(const json &body, const Respond &respond);
  void stop(const json &body, const Respond &respond);
  void keepAlive(const json &body, const Respond &respond);
  void begin(const RunKey &run);
  void joinGang(const RunKey &run, const std::string &step, int size);
  void end(const RunKey &run, const std::string &how);
  void extendLease(int64_t untilMs);
  void checkLease();
  void tick();
  json lists() const;
  std::string savedOf(const RunKey &run, const RunState &state) const;
  json refusal(const char *reason) const;
  void sendHeartbeat();

  Loop &EventLoop;
  const WorkerOptions Options;
  const WorkerHooks Hooks;
  const int64_t ClockOffset;
  std::shared_ptr<Gangs> AllGangs;
  int ControlPort = 0;
  int64_t Sequence = 0;
  int64_t HighestToken = 0;
  int64_t LeaseEndsAt = 0;
  bool HasLapsed = true;
  int Lapses = 0;
  std::map<RunKey, RunState> Running;
  std::map<int64_t, EndState> Ended;
  int64_t LastEnd = 0;
  int64_t NotedUpto = 0;
  /// The highest run of each task that was stopped or has ended here.
  std::map<std::string, int64_t> ClosedRuns;
  std::vector<Waiting> WaitingPolls;
  Server Http;
};

} // namespace sitekit
