#pragma once

#include "httpclient.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace oriolebay::http {

/// One call of an AsyncClient. TimeoutMs limits the whole call, including the
/// time to connect. An answer that has begun to arrive by then may take up to
/// TransferTimeoutMs longer, unless nothing of it arrives for a second.
/// FreshConnection makes the call open a new connection.
struct HttpCall {
  std::string Method = "GET";
  std::string Url;
  std::string Body;
  std::vector<std::string> Headers;
  long TimeoutMs = 1000;
  long TransferTimeoutMs = 0;
  bool FreshConnection = false;
};

/// An HTTP client whose calls run concurrently on one thread (libcurl's multi
/// interface), with connections kept alive between calls. After a call that
/// timed out, the next call to the same host opens a new connection: a network
/// device between both ends may have lost the state of all older connections,
/// which then stay silent forever without a reset.
class AsyncClient {
public:
  using Done = std::function<void(HttpResult)>;

  AsyncClient();
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
