#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace oriolebay::http {

/// One HTTP request as the server read it whole. Headers holds those that the
/// server was asked to keep, under the names it was asked for.
struct HttpRequest {
  std::string Method;
  std::string Path;
  std::string Body;
  std::map<std::string, std::string> Headers = {};

  /// The value of a kept header, empty when the request has none.
  std::string header(const std::string &name) const {
    auto it = Headers.find(name);
    return it == Headers.end() ? std::string() : it->second;
  }
};

/// The answer a handler gives. Headers are added as they are.
struct HttpResponse {
  int Status = 200;
  std::string Body;
  std::string ContentType = "application/json";
  std::map<std::string, std::string> Headers = {};
};

/// A threaded HTTP/1.1 server on libmicrohttpd. Each connection gets its own
/// thread, so a handler may block until its answer is ready; MaxConnections
/// bounds how many threads that can be.
class HttpServer {
public:
  using Handler = std::function<HttpResponse(const HttpRequest &)>;

  /// Listens on host:port (port 0 picks a free one) and serves handler.
  /// Throws std::runtime_error when the address cannot be bound.
  HttpServer(const std::string &host, int port, Handler handler,
             int maxConnections = 256);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// The port that was bound.
  int port() const;

  /// Stops accepting connections; requests being answered finish first.
  void stop();

  /// Opaque; defined in httpserver.cpp so that libmicrohttpd stays out of
  /// this header.
  struct Impl;

private:
  std::unique_ptr<Impl> D;
};

} // namespace oriolebay::http
