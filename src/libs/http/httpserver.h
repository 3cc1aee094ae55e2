#pragma once

#include "refusedrequest.h"
#include "utils/memorybudget.h"

#include "absl/time/time.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace oriolebay::http {

/// One complete HTTP request. Headers and Arguments contain the headers and the
/// arguments of the query that the server is configured to store, under their
/// configured names.
struct HttpRequest {
  std::string Method;
  std::string Path;
  std::string Body;
  std::map<std::string, std::string> Headers = {};
  std::map<std::string, std::string> Arguments = {};
  /// The bytes that the request holds in the server's memory budget; null
  /// without one. Whoever holds the request's data on its way holds this as
  /// well, and reserves more before it makes something larger of the data.
  std::shared_ptr<utils::MemoryReservation> Reservation = {};

  /// Returns the value of a stored header; empty when the request does not have
  /// it.
  std::string header(const std::string &name) const {
    auto it = Headers.find(name);
    return it == Headers.end() ? std::string() : it->second;
  }
  /// Does the same for an argument of the query.
  std::string argument(const std::string &name) const {
    auto it = Arguments.find(name);
    return it == Arguments.end() ? std::string() : it->second;
  }
};

/// The answer of a handler. Headers are added unchanged.
struct HttpResponse {
  int Status = 200;
  std::string Body;
  std::string ContentType = "application/json";
  std::map<std::string, std::string> Headers = {};
};

/// Time for a whole request, from the end of its request line to its last byte.
inline constexpr absl::Duration DefaultRequestTimeout = absl::Seconds(30);

/// The answer to a request that finds no room in a memory budget, if its door
/// has no other.
inline HttpResponse defaultNoRoomAnswer() {
  return {503,
          R"({"error":"too many large requests; nothing was done"})",
          "application/json",
          {{"Retry-After", "1"}}};
}

/// Limits of an HttpServer.
struct HttpServerOptions {
  int MaxConnections = 256;
  /// Maximum size of a request's body. A larger one is answered with 413 as
  /// soon as it is announced. The connection of a chunked one is closed when it
  /// passes the limit.
  size_t MaxBodyBytes = 1 << 20;
  /// Budget of bytes for the requests; null for no budget. A request that finds
  /// no room is answered with 503, or closed if its body is chunked.
  std::shared_ptr<utils::MemoryBudget> Budget = {};
  /// Maximum time for a whole request. A slower one is closed.
  absl::Duration RequestTimeout = DefaultRequestTimeout;
  /// Called once for each request that the server refuses or closes, on one of
  /// its threads; it must return quickly.
  std::function<void(const RefusedRequest &)> OnRefused = {};
};

/// A threaded HTTP/1.1 server based on libmicrohttpd. Each connection has its
/// own thread, so that a handler may block until its answer is ready;
/// maxConnections limits the number of these threads.
class HttpServer {
public:
  using Handler = std::function<HttpResponse(const HttpRequest &)>;

  /// Listens on host:port (port 0 picks a free one) and answers requests with
  /// handler. Throws std::runtime_error when the address cannot be bound.
  HttpServer(const std::string &host, int port, Handler handler,
             int maxConnections = 256);
  HttpServer(const std::string &host, int port, Handler handler,
             HttpServerOptions options);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Returns the port that was bound.
  int port() const;

  /// Stops accepting connections; requests that are being answered are
  /// completed first.
  void stop();

  /// Defined in httpserver.cpp, so that this header does not depend on
  /// libmicrohttpd.
  struct Impl;

private:
  std::unique_ptr<Impl> D;
};

} // namespace oriolebay::http
