#include "requestcopies.h"

namespace oriolebay::http {

void RequestCopies::observe(CURL *handle) {
  Handle = handle;
  curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &onBeforeCopy);
  curl_easy_setopt(handle, CURLOPT_PREREQDATA, this);
}

int RequestCopies::sent() {
  long bytes = 0;
  curl_easy_getinfo(Handle, CURLINFO_REQUEST_SIZE, &bytes);
  if (bytes > SentBytes)
    ++Sent;
  SentBytes = bytes;
  return Sent;
}

std::string RequestCopies::errorText(CURLcode ec) {
  const bool copyWithheld =
      ec == CURLE_ABORTED_BY_CALLBACK ||
      (ec == CURLE_COULDNT_CONNECT && CopyLimit == Limit::One && sent() > 0);
  return copyWithheld ? "the connection ended before an answer"
                      : curl_easy_strerror(ec);
}

int RequestCopies::onBeforeCopy(void *copies, char * /*peerIp*/,
                                char * /*localIp*/, int /*peerPort*/,
                                int /*localPort*/) {
  auto &self = *static_cast<RequestCopies *>(copies);
  const bool isRepeat = self.sent() > 0;
  return isRepeat && self.CopyLimit == Limit::One ? CURL_PREREQFUNC_ABORT
                                                  : CURL_PREREQFUNC_OK;
}

} // namespace oriolebay::http
