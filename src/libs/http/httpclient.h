#pragma once

#include <memory>
#include <string>

namespace oriolebay::http {

/// What a call returned. Status is zero when no HTTP answer came at all
/// (refused, timed out, connection lost); Error then says why. Sent says
/// whether any byte of the request had left: if not, the peer cannot have
/// acted on it. Both Sent and Refused: it left on a connection that was open,
/// which broke, and the next one was refused.
struct HttpResult {
  int Status = 0;
  std::string Body;
  std::string Error;
  bool Sent = true;
  /// The connection was refused: nothing listens at the address.
  bool Refused = false;

  bool answered() const { return Status != 0; }
};

/// A blocking HTTP client on libcurl, one connection kept alive. Not safe to
/// share between threads: give each thread its own.
class HttpClient {
public:
  /// TimeoutMs bounds each whole call, connection included.
  explicit HttpClient(long timeoutMs);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends body to url with method ("GET", "POST", "PUT").
  HttpResult call(const std::string &method, const std::string &url,
                  const std::string &body, long timeoutMs = 0);

private:
  struct Impl;
  std::unique_ptr<Impl> D;
};

} // namespace oriolebay::http
