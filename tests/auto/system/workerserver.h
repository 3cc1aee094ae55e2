#pragma once

#include "http/asyncclient.h"
#include "http/asyncserver.h"
#include "utils/eventloop.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace oriolebay::testing_system {

/// A worker that runs what it is told to, by the protocol of the users'
/// platform. Each run is done after a fixed time.
class WorkerServer {
public:
  /// Changes the body of an answer before it is sent. Called on loop.
  using ChangeAnswer = std::function<std::string(std::string body)>;

  /// Loop owns the worker and runs on a thread of its own.
  WorkerServer(utils::EventLoop &loop, std::string id, std::string rack,
               ChangeAnswer changeAnswer);

  const std::string &id() const { return Id; }
  std::string address() const;
  /// Sends heartbeats to the agent that listens at this port from now on.
  void beginHeartbeats(int controlPort);

private:
  struct Run {
    std::string Task;
    int64_t Number = 0;
    auto operator<=>(const Run &) const = default;
  };

  void serve(const http::HttpRequest &request,
             const http::AsyncServer::Respond &respond);
  nlohmann::json start(const Run &run);
  nlohmann::json end(const Run &run, const char *how);
  nlohmann::json lists() const;
  nlohmann::json clock() const;
  void sendHeartbeat(int controlPort);

  utils::EventLoop &Loop;
  const std::string Id;
  const std::string Rack;
  const ChangeAnswer Change;
  http::AsyncClient Client;
  int64_t Heartbeats = 0;
  std::map<Run, bool> Running;
  std::map<int64_t, nlohmann::json> Ended;
  int64_t LastEnd = 0;
  std::unique_ptr<http::AsyncServer> Server;
};

} // namespace oriolebay::testing_system
