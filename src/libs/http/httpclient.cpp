#include "httpclient.h"

#include "answerhead.h"
#include "requestcopies.h"

#include <curl/curl.h>

namespace oriolebay::http {

struct HttpClient::Impl {
  CURL *Handle = nullptr;
  long TimeoutMs = 0;
};

namespace {
size_t appendBody(char *data, size_t size, size_t n, void *out) {
  static_cast<std::string *>(out)->append(data, size * n);
  return size * n;
}

size_t addHeadLine(char *data, size_t size, size_t n, void *out) {
  static_cast<AnswerHead *>(out)->addLine({data, size * n});
  return size * n;
}
} // namespace

HttpClient::HttpClient(long timeoutMs) : D(std::make_unique<Impl>()) {
  // libcurl must be initialised once before any thread uses it. A static local
  // variable is initialised exactly once, even when several threads create
  // clients.
  static const CURLcode initialised = curl_global_init(CURL_GLOBAL_DEFAULT);
  (void)initialised;
  D->Handle = curl_easy_init();
  D->TimeoutMs = timeoutMs;
}

HttpClient::~HttpClient() { curl_easy_cleanup(D->Handle); }

HttpResult HttpClient::call(const std::string &method, const std::string &url,
                            const std::string &body, long timeoutMs) {
  HttpResult result;
  CURL *h = D->Handle;
  curl_easy_reset(h);
  curl_easy_setopt(h, CURLOPT_URL, url.c_str());
  curl_easy_setopt(h, CURLOPT_CUSTOMREQUEST, method.c_str());
  curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(h, CURLOPT_TIMEOUT_MS,
                   timeoutMs > 0 ? timeoutMs : D->TimeoutMs);
  curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, &appendBody);
  curl_easy_setopt(h, CURLOPT_WRITEDATA, &result.Body);
  AnswerHead head;
  curl_easy_setopt(h, CURLOPT_HEADERFUNCTION, &addHeadLine);
  curl_easy_setopt(h, CURLOPT_HEADERDATA, &head);
  curl_slist *headers =
      curl_slist_append(nullptr, "Content-Type: application/json");
  // Disables "100 Continue", for which curl would wait up to a second with
  // large bodies, and would send the request again after a refusal of it.
  headers = curl_slist_append(headers, "Expect:");
  curl_easy_setopt(h, CURLOPT_HTTPHEADER, headers);
  if (method != "GET") {
    curl_easy_setopt(h, CURLOPT_POSTFIELDS, body.data());
    curl_easy_setopt(h, CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
  }
  RequestCopies copies(method == "GET" ? RequestCopies::Limit::None
                                       : RequestCopies::Limit::One);
  copies.observe(h);
  CURLcode ec = curl_easy_perform(h);
  if (ec == CURLE_OK && head.isComplete()) {
    long status = 0;
    curl_easy_getinfo(h, CURLINFO_RESPONSE_CODE, &status);
    result.Status = static_cast<int>(status);
    result.Repeated = copies.sent() > 1;
  } else {
    result.Error =
        ec == CURLE_OK ? AnswerHead::CutOffText : copies.errorText(ec);
    result.Sent = copies.sent() > 0;
    result.Body.clear();
  }
  curl_slist_free_all(headers);
  return result;
}

} // namespace oriolebay::http
