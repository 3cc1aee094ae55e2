#pragma once

#include "httpclient.h"

#include <compare>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace oriolebay::http {

/// One call of an AsyncClient. TimeoutMs limits the whole call, including the
/// time to connect. An answer that has begun to arrive by then may take up to
/// TransferTimeoutMs longer, unless nothing of it arrives for a second.
/// FreshConnection makes the call open a new connection. If a reused connection
/// ends before an answer, a Repeatable request is sent again on another one;
/// any other request is sent at most once. Only requests that have the same
/// effect when they are carried out twice, also late, may be Repeatable.
struct HttpCall {
  std::string Method = "GET";
  std::string Url;
  std::string Body;
  std::vector<std::string> Headers;
  long TimeoutMs = 1000;
  long TransferTimeoutMs = 0;
  bool FreshConnection = false;
  bool Repeatable = false;
};

/// A request whose reused connection ended before a byte of the answer. Copies
/// counts those of which at least one byte was sent; 1 means that the request
/// was not sent again, because it is not repeatable or no new connection was
/// possible. Status and Error are the result of the call, as in HttpResult.
struct RepeatedRequest {
  std::string Method;
  std::string Host;
  /// Path of the URL, without its query.
  std::string Path;
  int Copies = 0;
  int Status = 0;
  std::string Error;

  auto operator<=>(const RepeatedRequest &) const = default;
};

using OnRepeatedRequest = std::function<void(const RepeatedRequest &)>;

/// An HTTP client whose calls run concurrently on one thread (libcurl's multi
/// interface), with connections kept alive between calls. After a call that
/// timed out, the next call to the same host opens a new connection: a network
/// device between both ends may have lost the state of all older connections,
/// which then stay silent forever without a reset.
class AsyncClient {
public:
  using Done = std::function<void(HttpResult)>;

  /// onRepeated is called on the client's thread, before the Done of the call,
  /// and must return quickly.
  explicit AsyncClient(OnRepeatedRequest onRepeated = nullptr);
  /// Drops calls that have not ended; their Done is not called.
  ~AsyncClient();
  AsyncClient(const AsyncClient &) = delete;
  AsyncClient &operator=(const AsyncClient &) = delete;

  /// Starts call. Done runs on the client's thread and must return quickly.
  void call(HttpCall call, Done done);

private:
  struct Impl;
  std::unique_ptr<Impl> D;
};

} // namespace oriolebay::http
