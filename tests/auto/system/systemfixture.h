#pragma once

#include "core/codec.h"
#include "harness/launcher.h"
#include "http/httpclient.h"
#include "testnames.h"
#include "waituntil.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <functional>
#include <memory>
#include <string>

namespace oriolebay::testing_system {

using nlohmann::json;
using testwaits::waitUntil;

inline const json Profile = {
    {"name", "site"},
    {"power_cap_watts", 100000},
    {"guarantees",
     {{{"organisation", "ovenmaker-a"},
       {"accelerators", 16},
       {"accelerators_per_member", 8}},
      {{"organisation", "ovenmaker-b"}, {"accelerators", 8}}}}};

inline json getJson(const std::string &url) {
  http::HttpClient client(5000);
  json j = json::parse(client.call("GET", url, "").Body, nullptr, false);
  return j.is_object() ? j : json::object();
}

inline void postJson(const std::string &url, const json &body) {
  http::HttpClient client(5000);
  client.call("POST", url, body.dump());
}

inline core::JobAnswer submit(int port, const core::JobRequest &job) {
  http::HttpClient client(60000);
  auto res = client.call(
      "POST", "http://127.0.0.1:" + std::to_string(port) + "/v1/jobs",
      json(job).dump());
  json body = json::parse(res.Body, nullptr, false);
  if (body.is_object())
    return body.get<core::JobAnswer>();
  core::JobAnswer none;
  none.Detail = "no answer: " + res.Error;
  return none;
}

/// Returns an urgent job of ovenmaker-a with one member. Tests change the
/// fields that matter to them.
inline core::JobRequest singleMemberJob(const std::string &id, bool idempotent,
                                        int accelerators = 1, int runMs = 20) {
  core::JobRequest j;
  j.Id = id;
  j.Organisation = "ovenmaker-a";
  j.Profile = "site";
  j.GangShape = {1, accelerators, 100};
  j.Class = core::JobClass::Urgent;
  j.Idempotent = idempotent;
  if (!idempotent)
    j.IdempotencyKey = "key-" + id;
  j.Payload = json{{"run_ms", runMs}}.dump();
  return j;
}

/// Runs four agents for workers of 8 accelerators in two racks, the given
/// number of entries, and stand-ins for the store and the back end. Tests wait
/// for conditions, never for a fixed time.
class System : public testing::Test {
protected:
  explicit System(int entries = 1) : EntryCount(entries) {}

  void SetUp() override {
    bench::LaunchSpec spec;
    spec.BinDir = ORIOLEBAY_BUILD_DIR;
    spec.WorkDir = testnames::workDir();
    spec.Workers = bench::makeWorkers(WorkerCount, 2, 8);
    spec.HeartbeatMs = 200;
    spec.TaskLeaseMs = 4000;
    spec.LeaderLeaseS = 1;
    spec.MaxQueueWaitMs = 20000;
    spec.AgentDrainMs = 300;
    spec.Entries = EntryCount;
    Cluster = std::make_unique<bench::Launcher>(spec);
    Cluster->start();
    Cluster->putProfile(Profile);
    waitUntil([&] { return leader() >= 0; });
  }
  void TearDown() override {
    // A process stopped by SIGSTOP does not handle SIGTERM.
    for (size_t i = 0; i < static_cast<size_t>(WorkerCount); ++i)
      kill(Cluster->agentPid(i), SIGCONT);
    for (int i = 0; i < Cluster->entries(); ++i)
      kill(Cluster->entryPid(i), SIGCONT);
    for (const std::string &name : Cluster->stopAll())
      ADD_FAILURE() << name << " did not end after SIGTERM";
  }

  json stats(int entry = 0) const {
    return getJson("http://127.0.0.1:" +
                   std::to_string(Cluster->httpPort(entry)) + "/v1/stats");
  }
  /// Returns the index of the entry that leads and knows all workers and the
  /// profile, or -1 if there is none.
  int leader(int workers = WorkerCount) const {
    for (int i = 0; i < Cluster->entries(); ++i) {
      const json s = stats(i);
      if (s.value("leading", 0) == 1 && s.value("workers", 0) == workers &&
          s.value("profile_version", 0) > 0)
        return i;
    }
    return -1;
  }
  json backend() const { return getJson(Cluster->backendUrl() + "/stats"); }
  int runCount(const std::string &task) const {
    return backend().value("runs", json::object()).value(task, 0);
  }
  /// Returns whether the process has logged an event with this name.
  bool agentLogHas(size_t i, const std::string &event) const {
    return logHas("/agent-w" + std::to_string(i) + ".log", event);
  }
  bool entryLogHas(const std::string &event, int entry = 0) const {
    return logHas("/entry-" + std::to_string(entry) + ".log", event);
  }
  void injectStoreFault(const json &fault) const {
    postJson(Cluster->storeUrl() + "/fault", fault);
  }

  /// Returns whether the log file contains the event name in quotes.
  bool logHas(const std::string &file, const std::string &event) const {
    std::ifstream in(Cluster->workDir() + file);
    const std::string text((std::istreambuf_iterator<char>(in)), {});
    return text.find("\"" + event + "\"") != std::string::npos;
  }

  static constexpr int WorkerCount = 4;
  const int EntryCount;
  std::unique_ptr<bench::Launcher> Cluster;
};

} // namespace oriolebay::testing_system
