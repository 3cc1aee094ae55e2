#pragma once

#include "http/asyncclient.h"
#include "http/asyncserver.h"
#include "runlog.h"
#include "utils/eventloop.h"

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace oriolebay::testing_system {

/// A worker that runs what it is told to, by the protocol of the users'
/// platform, with leases and fencing tokens. Each run is done after the time
/// that its payload gives in milliseconds, or after a fixed one.
class WorkerServer {
public:
  /// Changes the body of an answer before it is sent. Called on loop.
  using ChangeAnswer = std::function<std::string(std::string body)>;

  /// Loop owns the worker and runs on a thread of its own. Each run has saved a
  /// text of this many bytes.
  WorkerServer(utils::EventLoop &loop, RunLog &runs, std::string id,
               std::string rack, size_t savedBytes, ChangeAnswer changeAnswer);

  const std::string &id() const { return Id; }
  int port() const { return Server->port(); }
  /// Sends heartbeats to the agent that listens at this port from now on, and
  /// none to an earlier one.
  void sendHeartbeatsTo(int controlPort);

private:
  struct Work {
    absl::Time BeganAt;
    absl::Duration Time;
  };
  /// The end of a run that is not acknowledged yet.
  struct End {
    TaskRun Run;
    std::string How;
    /// Number of leases that had expired by then.
    int ExpiredLeases = 0;
  };

  void serve(const http::HttpRequest &request,
             const http::AsyncServer::Respond &respond);
  nlohmann::json start(const nlohmann::json &body);
  nlohmann::json stop(const TaskRun &run);
  void keepAlive(const nlohmann::json &body);
  void extendLease(int64_t untilMs);
  /// Ends everything that runs if the lease has expired.
  void checkLease();
  void end(const TaskRun &run, const char *how);
  void acknowledgeEnds(int64_t upTo);
  int percentOf(const Work &work) const;
  nlohmann::json lists() const;
  nlohmann::json clock() const;
  nlohmann::json refusal(const char *reason) const;
  void sendHeartbeat();

  utils::EventLoop &Loop;
  RunLog &Runs;
  const std::string Id;
  const std::string Rack;
  const std::string Saved;
  const ChangeAnswer Change;
  http::AsyncClient Client;
  int ControlPort = 0;
  int64_t Heartbeats = 0;
  std::map<TaskRun, Work> Running;
  std::map<int64_t, End> Ended;
  int64_t LastEnd = 0;
  /// The highest run of each task that was stopped or has ended here.
  std::map<std::string, int64_t> LastRuns;
  int64_t HighestToken = 0;
  absl::Time LeaseEnd = absl::InfinitePast();
  bool IsLeaseExpired = false;
  int ExpiredLeases = 0;
  std::unique_ptr<http::AsyncServer> Server;
};

} // namespace oriolebay::testing_system
