#pragma once

#include "cluster/memorystore.h"
#include "http/asyncserver.h"
#include "utils/eventloop.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>

namespace oriolebay::testing_system {

/// Serves a MemoryStore over HTTP, by the protocol of the users' platform.
class StoreServer {
public:
  /// Changes the body of an answer before it is sent. Called on loop.
  using ChangeAnswer = std::function<std::string(std::string body)>;

  /// Loop owns the store and runs on a thread of its own.
  StoreServer(utils::EventLoop &loop, cluster::MemoryStore &store,
              ChangeAnswer changeAnswer);

  int port() const { return Server->port(); }

private:
  using Respond = http::AsyncServer::Respond;

  void serve(const http::HttpRequest &request, const Respond &respond);
  void transact(const nlohmann::json &body, const Respond &respond);
  template <class T>
  platform::OnStoreReply<T>
  answerTo(const Respond &respond,
           std::function<nlohmann::json(const T &)> toBody) const;

  const platform::Store Store;
  const ChangeAnswer Change;
  std::unique_ptr<http::AsyncServer> Server;
};

} // namespace oriolebay::testing_system
