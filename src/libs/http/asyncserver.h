#pragma once

#include "httpserver.h"
#include "refusedrequest.h"

#include "absl/time/time.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace oriolebay::http {

/// Address and limits of an AsyncServer.
struct AsyncServerOptions {
  std::string Host = "127.0.0.1";
  /// Zero picks a free port.
  int Port = 0;
  int MaxConnections = 1024;
  /// Maximum size of a request's body; zero if requests have none. A larger one
  /// is answered with 413 as soon as it is announced. The connection of a
  /// chunked one is closed when it passes the limit.
  size_t MaxBodyBytes = 1 << 20;
  /// Budget of bytes for the requests; null for no budget. A request that finds
  /// no room is answered with 503, or closed if its body is chunked.
  std::shared_ptr<utils::MemoryBudget> Budget = {};
  /// The answer to a request that finds no room. Where an earlier copy of a
  /// request may have been carried out it must leave that open.
  HttpResponse NoRoomAnswer = defaultNoRoomAnswer();
  /// Maximum time for a whole request. A slower one is closed.
  absl::Duration RequestTimeout = DefaultRequestTimeout;
  /// Names of the request headers that are stored in HttpRequest::Headers.
  std::vector<std::string> StoredHeaders;
  /// Names of the query's arguments that are stored in HttpRequest::Arguments.
  std::vector<std::string> StoredArguments = {};
  /// Called once for each request that the server refuses or closes, on one of
  /// its threads; it must return quickly.
  std::function<void(const RefusedRequest &)> OnRefused = {};
};

/// An HTTP/1.1 server based on libmicrohttpd, with one thread for all
/// connections. The handler gets each complete request and may answer it later,
/// from any thread; until then the connection waits without a thread of its
/// own.
class AsyncServer {
public:
  /// Sends the answer; further calls are ignored. A request is answered with
  /// 500 when its Respond is destroyed without having been called.
  using Respond = std::function<void(HttpResponse)>;
  /// Runs on the server's thread and must return quickly.
  using Handler = std::function<void(HttpRequest, Respond)>;

  /// Throws std::runtime_error when the address cannot be bound.
  AsyncServer(AsyncServerOptions options, Handler handler);
  ~AsyncServer();
  AsyncServer(const AsyncServer &) = delete;
  AsyncServer &operator=(const AsyncServer &) = delete;

  int port() const;
  /// From now on closes each connection after its answer, so that callers send
  /// their next request to another process.
  void closeAfterAnswers();
  /// Returns the number of requests whose answer has not been sent completely.
  int unanswered() const;
  /// Answers pending requests and then closes all connections: with 504 if the
  /// handler has got them, with 503 if they have not arrived completely.
  void stop();

  struct Impl;

private:
  std::shared_ptr<Impl> D;
};

} // namespace oriolebay::http
