#pragma once

#include <curl/curl.h>

#include <string>

namespace oriolebay::http {

/// Counts and limits the copies of one request that libcurl sends. libcurl
/// sends a request, whatever its method, once more by itself when a reused
/// connection ends before a byte of the answer. The peer may have carried out
/// the earlier copy.
class RequestCopies {
public:
  enum class Limit {
    /// No copy is sent once a byte of an earlier one was sent. The transfer
    /// then ends with CURLE_ABORTED_BY_CALLBACK.
    One,
    None,
  };

  explicit RequestCopies(Limit limit) : CopyLimit(limit) {}
  RequestCopies(const RequestCopies &) = delete;
  RequestCopies &operator=(const RequestCopies &) = delete;

  /// Counts and limits the copies that handle sends from now on. handle must be
  /// reset before it is used for another request.
  void observe(CURL *handle);

  /// Returns the number of copies of which at least one byte was sent.
  int sent();

  /// Returns the reason for a transfer that failed with ec.
  std::string errorText(CURLcode ec);

private:
  static int onBeforeCopy(void *copies, char *peerIp, char *localIp,
                          int peerPort, int localPort);

  const Limit CopyLimit;
  CURL *Handle = nullptr;
  /// Bytes that all copies had sent when they were last counted.
  long SentBytes = 0;
  int Sent = 0;
};

} // namespace oriolebay::http
