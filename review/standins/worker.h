// A stand-in for an application worker, as the users' pages describe it: it
// reports itself to the control address beside it, starts and stops tasks, and
// lists what runs and what has ended.
#pragma once

#include "record.h"
#include "store.h"

#include <set>
#include <tuple>

namespace review {

/// What becomes of a run on a sound worker. A run whose DurationMs is negative
/// works until it is stopped.
struct RunPlan {
  int64_t DurationMs = 1000;
  std::string How = "done";
  /// Number of members if the run is one of a gang.
  int GangSize = 1;
};

/// The gangs of all workers: who is present, and how a run ended.
class GangBoard {
public:
  struct Gang {
    int Present = 0;
    int64_t CompleteAt = 0;
    std::string EndOfOthers;
  };
  /// If not zero, the worker that gets the first start fails all that it starts
  /// for this long.
  std::atomic<int64_t> SickOnFirstStartMs{0};
  std::mutex Mu;
  std::map<std::pair<std::string, int64_t>, Gang> Gangs;
  /// The runs of steps that have ended in some way, by outcome.
  std::map<std::string, std::set<std::pair<std::string, int64_t>>> Ended;

  /// Number of runs of the job's steps with at least one such end.
  int runsWith(const std::string &how, const std::string &job) {
    std::lock_guard<std::mutex> lock(Mu);
    const auto &runs = Ended[how];
    return static_cast<int>(
        std::count_if(runs.begin(), runs.end(), [&job](const auto &run) {
          return run.first.rfind(job, 0) == 0;
        }));
  }
};

struct WorkerOptions {
  std::string Id;
  std::string Service;
  std::string Zone = "hall-a";
  std::string Rack = "r1-1";
  int64_t Cpu = 32000;
  int64_t MemoryMb = 65536;
  int64_t Gpu = 8;
  int Port = 0;
  int ControlPort = 0;
  int64_t HeartbeatMs = 1500;
  int64_t HoldMaxMs = 6000;
  int64_t GangWaitMs = 3000;
};

class Worker {
public:
  using Plan = std::function<RunPlan(const std::string &task, int64_t run,
                                     const std::string &spec)>;

  Worker(WorkerOptions options, GangBoard &gangs, Record &record, Plan plan)
      : Options(std::move(options)), Gangs(gangs), Log(record),
        PlanOf(std::move(plan)) {
    Server = std::make_unique<HttpServer>(
        Options.Port, [this](const HttpRequest &r) { return serve(r); });
    std::thread([this] { reportLoop(); }).detach();
    std::thread([this] { tickLoop(); }).detach();
  }

  /// For this long it answers starts with 503 and does nothing.
  void refuseStarts(int64_t forMs) {
    RefusesUntil = steadyMs() + forMs;
    Log.write("worker " + Options.Id + " answers starts with 503");
  }
  bool isIdle() {
    std::lock_guard<std::mutex> lock(Mu);
    return Running.empty();
  }

  /// The process ends without notice; all that runs ends with it.
  void crash() {
    Crashed = true;
    Server->shutDown();
    std::lock_guard<std::mutex> lock(Mu);
    Log.write("worker " + Options.Id + " crashes with " +
              std::to_string(Running.size()) + " running");
    Running.clear();
  }

  /// Ends a run of the task by itself with the given outcome.
  void endTask(const std::string &task, const std::string &how) {
    std::lock_guard<std::mutex> lock(Mu);
    for (auto &[key, run] : Running)
      if (key.first == task)
        run.ForcedEnd = how;
  }

  bool isRunning(const std::string &task) {
    std::lock_guard<std::mutex> lock(Mu);
    return std::any_of(
        Running.begin(), Running.end(),
        [&task](const auto &entry) { return entry.first.first == task; });
  }

private:
  using Key = std::pair<std::string, int64_t>;
  struct Run {
    RunPlan Plan;
    int64_t StartedAt = 0;
    std::string ForcedEnd;
    bool CountedInGang = false;
  };
  struct End {
    int64_t Number = 0;
    std::string Task;
    int64_t Run = 0;
    std::string How;
  };

  static std::string stepOf(const std::string &task) {
    return task.substr(0, task.rfind('.'));
  }

  HttpResponse serve(const HttpRequest &r) {
    if (r.Path == "/healthy")
      return {200, "{}"};
    if (r.header("oriolebay-expect-instance") != Options.Id)
      return {421, "{}"};
    const json body = json::parse(r.Body);
    std::unique_lock<std::mutex> lock(Mu);
    const int64_t fence = body.value("fencingToken", int64_t{0});
    if (fence < Fence)
      return refuse("fence");
    Fence = fence;
    if (r.Path == "/-/run-start")
      return start(body);
    if (r.Path == "/-/run-stop")
      return stop(body);
    if (r.Path == "/-/hold")
      return hold(body, lock);
    return {400, "{}"};
  }

  HttpResponse refuse(const std::string &reason) const {
    return {409, json{{"clockMs", steadyMs()}, {"reason", reason}}.dump()};
  }

  void extend(const json &body) {
    const int64_t until = body.value("untilMs", int64_t{0});
    HeldUntil =
        std::max(HeldUntil, std::min(until, steadyMs() + Options.HoldMaxMs));
  }

  HttpResponse start(const json &body) {
    if (steadyMs() < RefusesUntil) {
      Log.write("worker " + Options.Id + " refuses " + body.value("task", "") +
                " with 503");
      return {503, "{}"};
    }
    const Key key{body.at("task"), body.at("run").get<int64_t>()};
    if (Running.count(key) != 0)
      return {200, json{{"clockMs", steadyMs()}}.dump()};
    if (body.at("untilMs").get<int64_t>() <= steadyMs())
      return refuse("late");
    extend(body);
    auto refused = RefusedUpTo.find(key.first);
    if (refused != RefusedUpTo.end() && key.second <= refused->second)
      return refuse("old");
    Run run{PlanOf(key.first, key.second, body.value("spec", "")), steadyMs(),
            "", false};
    Log.write("worker " + Options.Id + " starts " + key.first + " run " +
              std::to_string(key.second));
    if (const int64_t sickMs = Gangs.SickOnFirstStartMs.exchange(0)) {
      SickUntil = steadyMs() + sickMs;
      Log.write("worker " + Options.Id + " fails all that it starts");
    }
    if (steadyMs() < SickUntil) {
      end(key, "failed");
      return {200, json{{"clockMs", steadyMs()}}.dump()};
    }
    Running.emplace(key, std::move(run));
    return {200, json{{"clockMs", steadyMs()}}.dump()};
  }

  HttpResponse stop(const json &body) {
    const Key key{body.at("task"), body.at("run").get<int64_t>()};
    int64_t &refused = RefusedUpTo[key.first];
    refused = std::max(refused, key.second);
    auto it = Running.find(key);
    if (it != Running.end()) {
      leaveGang(key, it->second, "broken");
      Running.erase(it);
      end(key, "stopped");
    }
    return {200, json{{"clockMs", steadyMs()}}.dump()};
  }

  HttpResponse hold(const json &body, std::unique_lock<std::mutex> &lock) {
    if (body.contains("untilMs"))
      extend(body);
    const int64_t seen = body.value("seenUpto", int64_t{0});
    std::erase_if(Ends, [seen](const End &e) { return e.Number <= seen; });
    const int64_t waitMs = body.value("waitMs", int64_t{0});
    if (waitMs > 0)
      Ended.wait_for(lock, std::chrono::milliseconds(waitMs),
                     [this] { return !Ends.empty() || Crashed; });
    json running = json::array();
    for (const auto &[key, run] : Running)
      running.push_back({key.first, key.second, "", percent(run), 0});
    json ends = json::array();
    for (const End &e : Ends)
      ends.push_back({e.Number, e.Task, e.Run, e.How, ""});
    return {200,
            json{{"clockMs", steadyMs()}, {"running", running}, {"ended", ends}}
                .dump()};
  }

  static int percent(const Run &run) {
    if (run.Plan.DurationMs <= 0)
      return 100;
    return static_cast<int>(std::clamp<int64_t>(
        (steadyMs() - run.StartedAt) * 100 / run.Plan.DurationMs, 0, 99));
  }

  void end(const Key &key, const std::string &how) {
    Log.write("worker " + Options.Id + " lists the end " + key.first + " run " +
              std::to_string(key.second) + " " + how);
    Ends.push_back({++LastEnd, key.first, key.second, how});
    {
      std::lock_guard<std::mutex> lock(Gangs.Mu);
      Gangs.Ended[how].insert({stepOf(key.first), key.second});
    }
    int64_t &refused = RefusedUpTo[key.first];
    refused = std::max(refused, key.second);
    Ended.notify_all();
  }

  void leaveGang(const Key &key, const Run &run, const std::string &others) {
    if (run.Plan.GangSize <= 1)
      return;
    std::lock_guard<std::mutex> lock(Gangs.Mu);
    std::string &end = Gangs.Gangs[{stepOf(key.first), key.second}].EndOfOthers;
    if (end.empty())
      end = others;
  }

  // The outcome with which the run ends now; empty if it works on.
  std::string outcomeOf(const Key &key, Run &run) {
    const int64_t now = steadyMs();
    if (HeldUntil <= now)
      return "lapsed";
    int64_t worksSince = run.StartedAt;
    if (run.Plan.GangSize > 1) {
      std::lock_guard<std::mutex> lock(Gangs.Mu);
      GangBoard::Gang &gang = Gangs.Gangs[{stepOf(key.first), key.second}];
      if (!std::exchange(run.CountedInGang, true) &&
          ++gang.Present == run.Plan.GangSize)
        gang.CompleteAt = now;
      if (!gang.EndOfOthers.empty())
        return gang.EndOfOthers;
      if (gang.CompleteAt == 0)
        return now - run.StartedAt >= Options.GangWaitMs ? "alone" : "";
      worksSince = gang.CompleteAt;
    }
    if (!run.ForcedEnd.empty())
      return run.ForcedEnd;
    const int64_t duration = run.Plan.DurationMs;
    return duration >= 0 && now - worksSince >= duration ? run.Plan.How : "";
  }

  void tickLoop() {
    while (!Crashed) {
      sleepMs(10);
      std::lock_guard<std::mutex> lock(Mu);
      for (auto it = Running.begin(); it != Running.end();) {
        const std::string how = outcomeOf(it->first, it->second);
        if (how.empty()) {
          ++it;
          continue;
        }
        leaveGang(it->first, it->second, how == "done" ? "done" : "broken");
        end(it->first, how);
        it = Running.erase(it);
      }
    }
  }

  void reportLoop() {
    for (int64_t sequence = 1; !Crashed; ++sequence) {
      const json report = {{"service", Options.Service},
                           {"address", std::string(Loopback) + ":" +
                                           std::to_string(Options.Port)},
                           {"zone", Options.Zone},
                           {"version", "v1"},
                           {"slots", 8},
                           {"state", "ready"},
                           {"coldRemainingMs", 0},
                           {"capacity",
                            {{"cpu", Options.Cpu},
                             {"memMb", Options.MemoryMb},
                             {"gpu", Options.Gpu}}},
                           {"labels", {"a", Options.Rack}},
                           {"clockMs", steadyMs()},
                           {"sequence", sequence}};
      call(Options.ControlPort, "POST", "/-/Instances.Heartbeat/" + Options.Id,
           report.dump(), {}, 1000);
      for (int64_t waited = 0; waited < Options.HeartbeatMs && !Crashed;
           waited += 50)
        sleepMs(50);
    }
  }

  const WorkerOptions Options;
  GangBoard &Gangs;
  Record &Log;
  const Plan PlanOf;
  int64_t SickUntil = 0;
  std::atomic<int64_t> RefusesUntil{0};
  std::atomic<bool> Crashed{false};
  std::mutex Mu;
  std::condition_variable Ended;
  std::map<Key, Run> Running;
  std::vector<End> Ends;
  std::map<std::string, int64_t> RefusedUpTo;
  int64_t LastEnd = 0;
  int64_t Fence = 0;
  int64_t HeldUntil = 0;
  std::unique_ptr<HttpServer> Server;
};

} // namespace review
