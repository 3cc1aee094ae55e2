#pragma once

#include "httpserver.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace oriolebay::http {

/// What an AsyncServer listens on and accepts.
struct AsyncServerOptions {
  std::string Host = "127.0.0.1";
  /// Zero picks a free port.
  int Port = 0;
  int MaxConnections = 1024;
  /// Larger bodies are answered with 413 and not read to their end.
  size_t MaxBodyBytes = 1 << 20;
  /// Request headers that HttpRequest::Headers keeps.
  std::vector<std::string> KeptHeaders;
};

/// An HTTP/1.1 server on libmicrohttpd with one thread for all connections.
/// The handler gets each request whole and may answer later, from any thread;
/// until then the connection waits without a thread of its own.
class AsyncServer {
public:
  /// Gives the answer; further calls are ignored. A request whose Respond is
  /// dropped unanswered gets 500.
  using Respond = std::function<void(HttpResponse)>;
  /// Runs on the server's thread and must be quick.
  using Handler = std::function<void(HttpRequest, Respond)>;

  /// Throws std::runtime_error when the address cannot be bound.
  AsyncServer(AsyncServerOptions options, Handler handler);
  ~AsyncServer();
  AsyncServer(const AsyncServer &) = delete;
  AsyncServer &operator=(const AsyncServer &) = delete;

  int port() const;
  /// From now on each answer closes its connection, so that callers go to
  /// another process with their next request.
  void closeAfterAnswers();
  /// Requests whose answer has not been sent whole.
  int unanswered() const;
  /// Requests that still wait are answered with 503, then all is closed.
  void stop();

  struct Impl;

private:
  std::shared_ptr<Impl> D;
};

} // namespace oriolebay::http
