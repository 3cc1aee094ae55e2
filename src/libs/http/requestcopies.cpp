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

int RequestCopies::onBeforeCopy(void *copies, char * /*peerIp*/,
                                char * /*localIp*/, int /*peerPort*/,
                                int /*localPort*/) {
  static_cast<RequestCopies *>(copies)->sent();
  return CURL_PREREQFUNC_OK;
}

} // namespace oriolebay::http
