#pragma once

#include "httpclient.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace oriolebay::http {

/// One call of an AsyncClient. TimeoutMs bounds it whole, connecting included.
/// FreshConnection keeps it off connections that were used before.
struct HttpCall {
  std::string Method = "GET";
  std::string Url;
  std::string Body;
  std::vector<std::string> Headers;
  long TimeoutMs = 1000;
  bool FreshConnection = false;
};

/// An HTTP client whose calls run side by side on one thread (libcurl's multi
/// interface), with connections kept alive between calls. After a call that
/// timed out the next call to the same host opens a new connection: something
/// between the two ends may have lost track of all the old ones, and these
/// stay silent for good without a reset.
class AsyncClient {
public:
  using Done = std::function<void(HttpResult)>;

  AsyncClient();
  /// Calls that have not ended are dropped; their Done is not called.
  ~AsyncClient();
  AsyncClient(const AsyncClient &) = delete;
  AsyncClient &operator=(const AsyncClient &) = delete;

  /// Starts call. Done runs on the client's thread and must be quick.
  void call(HttpCall call, Done done);

private:
  struct Impl;
  std::unique_ptr<Impl> D;
};

} // namespace oriolebay::http
