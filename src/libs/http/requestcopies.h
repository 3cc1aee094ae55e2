#pragma once

#include <curl/curl.h>

namespace oriolebay::http {

/// Counts the copies of one request that libcurl sends. libcurl sends a
/// request, whatever its method, once more by itself when a reused connection
/// ends before a byte of the answer.
class RequestCopies {
public:
  RequestCopies() = default;
  RequestCopies(const RequestCopies &) = delete;
  RequestCopies &operator=(const RequestCopies &) = delete;

  /// Counts the copies that handle sends from now on. handle must not be used
  /// after this object has gone.
  void observe(CURL *handle);

  /// Returns the number of copies of which at least one byte was sent.
  int sent();

private:
  static int onBeforeCopy(void *copies, char *peerIp, char *localIp,
                          int peerPort, int localPort);

  CURL *Handle = nullptr;
  /// Bytes that all copies had sent when they were last counted.
  long SentBytes = 0;
  int Sent = 0;
};

} // namespace oriolebay::http
