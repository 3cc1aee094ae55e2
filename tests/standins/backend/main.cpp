// Stand-in for the back end of an endpoint: the oven programme service of the
// Brno site (checks a recipe, renders the door guidance) or the foot scan
// service of the Pennington site (compares growth, suggests sizes).
//   POST /run    runs one task and answers when the task has ended
//   POST /stop   checkpoints and stops one task, or all tasks of an endpoint
//   POST /hold   renews the endpoint's lease; its tasks stop when it expires
//   POST /fault  sets the endpoints that fail every task
//   POST /peak   resets the highest power draw in /stats to the present draw
//   GET /stats   returns how often each task ran, so that tests can check that
//                no task ran twice, and the power draw
// The run time and the failure rate are set on the command line; the payload
// may set "run_ms" and "draw_watts" for one task.
#include "http/httpserver.h"
#include "utils/steadyclock.h"

#include <absl/random/random.h>
#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <map>
#include <set>

using nlohmann::json;
using oriolebay::http::HttpRequest;
using oriolebay::http::HttpResponse;
using oriolebay::utils::steadyNow;

namespace {

struct Task {
  bool Stop = false;
  int64_t Watts = 0;
};

class Backend {
public:
  Backend(std::string service, int runMs, double failureRate)
      : Service(std::move(service)), RunMs(runMs), FailureRate(failureRate) {}

  HttpResponse serve(const HttpRequest &req) {
    json b = json::parse(req.Body, nullptr, false);
    if (req.Path == "/stats")
      return stats();
    if (!b.is_object())
      return {400, R"({"ok":false,"output":"bad request"})"};
    if (req.Path == "/run")
      return run(b);
    if (req.Path == "/stop")
      return stop(b);
    if (req.Path == "/hold")
      return renewLease(b);
    if (req.Path == "/peak") {
      absl::MutexLock lock(&Mu);
      PeakWatts = totalWatts();
      return {200, R"({"ok":true})"};
    }
    if (req.Path == "/fault") {
      absl::MutexLock lock(&Mu);
      FailingEndpoints = b.value("broken_endpoints", std::set<std::string>());
      return {200, R"({"ok":true})"};
    }
    return {404, R"({"ok":false,"output":"no such path"})"};
  }

private:
  static std::string taskKey(const json &b) {
    return b.value("endpoint", "") + " " + b.value("run", "") + "#" +
           std::to_string(b.value("member", 0));
  }

  HttpResponse run(const json &b) {
    json payload = json::parse(b.value("payload", ""), nullptr, false);
    int64_t totalMs = RunMs;
    int64_t watts = b.value("power_limit_watts", int64_t{0});
    if (payload.is_object()) {
      totalMs = payload.value("run_ms", RunMs);
      watts = payload.value("draw_watts", watts);
    }
    const std::string savedText = b.value("saved", "");
    const int64_t savedMs = savedText.empty() ? 0 : std::stoll(savedText);
    const std::string endpoint = b.value("endpoint", "");
    const std::string key = taskKey(b);
    absl::MutexLock lock(&Mu);
    ++Runs[b.value("job_id", "") + "#" + std::to_string(b.value("member", 0))];
    if (FailingEndpoints.count(endpoint) != 0 ||
        absl::Bernoulli(Gen, FailureRate))
      return {500, R"({"ok":false,"output":"back end failed"})"};
    Task &task = Tasks[key];
    task = Task{false, watts};
    PeakWatts = std::max(PeakWatts, totalWatts());
    const absl::Time start = steadyNow();
    LeaseExpiresAt[endpoint] = std::max(
        LeaseExpiresAt[endpoint],
        start + absl::Milliseconds(b.value("lease_ms", DefaultLeaseMs)));
    const absl::Time end = start + absl::Milliseconds(totalMs - savedMs);
    while (!task.Stop && steadyNow() < end &&
           steadyNow() < LeaseExpiresAt[endpoint])
      Changed.WaitWithTimeout(&Mu, std::min(end, LeaseExpiresAt[endpoint]) -
                                       steadyNow());
    Tasks.erase(key);
    if (steadyNow() < end) {
      const int64_t doneMs =
          savedMs + absl::ToInt64Milliseconds(steadyNow() - start);
      return {200, json{{"ok", false},
                        {"stopped", true},
                        {"saved", std::to_string(doneMs)},
                        {"output", "stopped"}}
                       .dump()};
    }
    const std::string output =
        Service == "oven"
            ? "recipe checked for " + endpoint + "; door guidance rendered"
            : "growth compared on " + endpoint + "; sizes suggested";
    return {200, json{{"ok", true}, {"output", output}}.dump()};
  }

  HttpResponse stop(const json &b) {
    absl::MutexLock lock(&Mu);
    const std::string endpointPrefix = b.value("endpoint", "") + " ";
    for (auto &[key, task] : Tasks)
      if (b.contains("run") ? key == taskKey(b)
                            : key.rfind(endpointPrefix, 0) == 0)
        task.Stop = true;
    Changed.SignalAll();
    return {200, R"({"ok":true})"};
  }

  HttpResponse renewLease(const json &b) {
    absl::MutexLock lock(&Mu);
    const std::string endpoint = b.value("endpoint", "");
    LeaseExpiresAt[endpoint] =
        steadyNow() + absl::Milliseconds(b.value("lease_ms", DefaultLeaseMs));
    Changed.SignalAll();
    json tasks = json::array();
    for (const auto &[key, task] : Tasks) {
      const size_t space = key.find(' ');
      const size_t hash = key.rfind('#');
      if (key.substr(0, space) == endpoint)
        tasks.push_back({{"run", key.substr(space + 1, hash - space - 1)},
                         {"member", std::stoi(key.substr(hash + 1))},
                         {"watts", task.Watts}});
    }
    return {200, json{{"tasks", tasks}}.dump()};
  }

  int64_t totalWatts() const {
    int64_t watts = 0;
    for (const auto &[key, task] : Tasks)
      watts += task.Watts;
    return watts;
  }

  HttpResponse stats() {
    absl::MutexLock lock(&Mu);
    return {200, json{{"runs", Runs},
                      {"running", Tasks.size()},
                      {"watts", totalWatts()},
                      {"peak_watts", PeakWatts}}
                     .dump()};
  }

  static constexpr int DefaultLeaseMs = 60000;
  const std::string Service;
  const int RunMs;
  const double FailureRate;
  absl::Mutex Mu;
  absl::CondVar Changed;
  absl::BitGen Gen{std::seed_seq{42}};
  std::map<std::string, int> Runs;
  std::map<std::string, Task> Tasks;
  std::map<std::string, absl::Time> LeaseExpiresAt;
  std::set<std::string> FailingEndpoints;
  int64_t PeakWatts = 0;
};

} // namespace

int main(int argc, char **argv) {
  if (argc < 5) {
    std::cerr << "usage: oriolebay-backend-standin SERVICE PORT RUN_MS "
                 "FAILURE_RATE [READY_FILE]\n  SERVICE: oven or footscan\n";
    return 2;
  }
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  Backend backend(argv[1], std::stoi(argv[3]), std::stod(argv[4]));
  oriolebay::http::HttpServer server(
      "127.0.0.1", std::stoi(argv[2]),
      [&](const HttpRequest &r) { return backend.serve(r); }, 1024);
  const std::string ready = argc > 5 ? argv[5] : "";
  if (!ready.empty()) {
    std::ofstream(ready + ".tmp") << json{{"port", server.port()}}.dump();
    std::rename((ready + ".tmp").c_str(), ready.c_str());
  }
  int sig = 0;
  sigwait(&set, &sig);
  return 0;
}
