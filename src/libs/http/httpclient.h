#pragma once

#include <memory>
#include <string>

namespace oriolebay::http {

/// Result of a call. Status is zero when there was no HTTP answer at all
/// (connection refused, timeout, connection lost); Error then contains the
/// reason. Sent tells whether any byte of the request was sent: if not, the
/// peer cannot have acted on it. When both Sent and Refused are set, the
/// request was sent on an open connection that broke, and the next connection
/// was refused.
struct HttpResult {
  int Status = 0;
  std::string Body;
  std::string Error;
  bool Sent = true;
  /// The connection was refused: no process listens at the address.
  bool Refused = false;
  /// The answer is that to a second copy of a repeatable request. An earlier
  /// copy may have been carried out, also if this one was refused.
  bool Repeated = false;

  bool hasAnswer() const { return Status != 0; }
  /// The peer has refused the request as one that it cannot carry out (4xx).
  bool isClientError() const { return Status >= 400 && Status < 500; }
};

/// A blocking HTTP client based on libcurl that keeps one connection alive. It
/// is not thread-safe; each thread needs its own client.
class HttpClient {
public:
  /// timeoutMs limits each whole call, including the time to connect.
  explicit HttpClient(long timeoutMs);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends body to url with method ("GET", "POST", "PUT"). If the reused
  /// connection ends before an answer, a GET is sent again on another one; any
  /// other request is sent at most once.
  HttpResult call(const std::string &method, const std::string &url,
                  const std::string &body, long timeoutMs = 0);

private:
  struct Impl;
  std::unique_ptr<Impl> D;
};

} // namespace oriolebay::http
