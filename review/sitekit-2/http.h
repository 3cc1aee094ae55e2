#pragma once

#include "loop.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sitekit {

using json = nlohmann::json;

struct Request {
  std::string Method;
  std::string Path;
  std::map<std::string, std::string> Arguments;
  /// Names in lower case.
  std::map<std::string, std::string> Headers;
  std::string Body;

  std::string argument(const std::string &name) const;
  std::string header(const std::string &name) const;
};

/// Sends the answer. Does nothing if the connection has ended.
using Respond = std::function<void(int status, const json &body)>;

/// A small HTTP/1.1 server on a free loopback port.
class Server {
public:
  using Handler = std::function<void(const Request &, const Respond &)>;

  /// At most maxConnections are served at a time; further ones wait in the
  /// listener's queue.
  Server(Loop &loop, Handler handler, size_t maxConnections = 1000);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  int port() const { return Port; }
  void resetConnections();

private:
  struct Connection {
    int Fd = -1;
    std::string In;
    std::string Out;
    bool IsBusy = false;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void accept();
  void onEvents(const ConnectionPtr &connection, short events);
  void serveNext(const ConnectionPtr &connection);
  void flush(const ConnectionPtr &connection);
  void close(const ConnectionPtr &connection);
  void updateWatch(const ConnectionPtr &connection);

  Loop &EventLoop;
  const Handler Serve;
  const size_t MaxConnections;
  int Listener = -1;
  int Port = 0;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  std::map<int, ConnectionPtr> Connections;
};

struct Answer {
  /// Zero if the call got no answer.
  int Status = 0;
  json Body;
};

struct Call {
  int Port = 0;
  std::string Method;
  std::string Path;
  std::map<std::string, std::string> Headers;
  std::string Body;
  int64_t TimeoutMs = 3000;
};

/// Sends one call on a connection of its own.
void send(Loop &loop, const Call &call,
          std::function<void(const Answer &)> done);

/// Returns a loopback port that nothing listens on.
int freePort();

} // namespace sitekit
