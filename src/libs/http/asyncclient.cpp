#include "asyncclient.h"

#include <curl/curl.h>

#include <atomic>
#include <cerrno>
#include <deque>
#include <mutex>
#include <set>
#include <thread>

namespace oriolebay::http {

namespace {

/// Connections kept open between calls, over all hosts. An agent speaks to
/// two hosts, an entry to the store with a few calls side by side.
constexpr long MaxIdleConnections = 16;
/// How long the client's thread sleeps when nothing happens; calls and
/// answers wake it at once.
constexpr int IdleWaitMs = 60000;

struct Transfer {
  HttpCall Call;
  AsyncClient::Done Done;
  std::string Host;
  std::string Reply;
  curl_slist *Headers = nullptr;
  CURL *Handle = nullptr;

  Transfer() = default;
  Transfer(const Transfer &) = delete;
  Transfer &operator=(const Transfer &) = delete;
  ~Transfer() {
    curl_slist_free_all(Headers);
    curl_easy_cleanup(Handle);
  }
};

size_t appendReply(char *data, size_t size, size_t n, void *out) {
  static_cast<std::string *>(out)->append(data, size * n);
  return size * n;
}

// "http://host:port/path" -> "host:port"
std::string hostOf(const std::string &url) {
  const size_t begin = url.find("//");
  if (begin == std::string::npos)
    return url;
  const size_t end = url.find('/', begin + 2);
  return url.substr(begin + 2, end == std::string::npos ? std::string::npos
                                                        : end - begin - 2);
}

} // namespace

struct AsyncClient::Impl {
  CURLM *Multi = nullptr;
  std::atomic<bool> Stopping{false};
  std::mutex Mu;
  std::deque<std::unique_ptr<Transfer>> Waiting;

  // Owned by the client's thread.
  std::map<CURL *, std::unique_ptr<Transfer>> Running;
  std::set<std::string> Distrusted;
  std::deque<CURL *> Spare;
  std::thread Thread;

  void begin(std::unique_ptr<Transfer> transfer);
  void finish(CURL *handle, CURLcode ec);
  void serve();
};

void AsyncClient::Impl::begin(std::unique_ptr<Transfer> transfer) {
  Transfer &t = *transfer;
  t.Host = hostOf(t.Call.Url);
  if (!Spare.empty()) {
    t.Handle = Spare.front();
    Spare.pop_front();
    curl_easy_reset(t.Handle);
  } else {
    t.Handle = curl_easy_init();
  }
  CURL *h = t.Handle;
  curl_easy_setopt(h, CURLOPT_URL, t.Call.Url.c_str());
  curl_easy_setopt(h, CURLOPT_CUSTOMREQUEST, t.Call.Method.c_str());
  curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(h, CURLOPT_TIMEOUT_MS, t.Call.TimeoutMs);
  curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, &appendReply);
  curl_easy_setopt(h, CURLOPT_WRITEDATA, &t.Reply);
  // Without a body no content type: some peers reject a GET that has one.
  if (t.Call.Method != "GET") {
    t.Headers = curl_slist_append(t.Headers, "Content-Type: application/json");
    curl_easy_setopt(h, CURLOPT_POSTFIELDS, t.Call.Body.data());
    curl_easy_setopt(h, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(t.Call.Body.size()));
    // curl would wait up to a second for "100 Continue" with large bodies.
    t.Headers = curl_slist_append(t.Headers, "Expect:");
  }
  for (const std::string &header : t.Call.Headers)
    t.Headers = curl_slist_append(t.Headers, header.c_str());
  curl_easy_setopt(h, CURLOPT_HTTPHEADER, t.Headers);
  if (t.Call.FreshConnection || Distrusted.erase(t.Host) > 0)
    curl_easy_setopt(h, CURLOPT_FRESH_CONNECT, 1L);
  curl_multi_add_handle(Multi, h);
  Running.emplace(h, std::move(transfer));
}

void AsyncClient::Impl::finish(CURL *handle, CURLcode ec) {
  auto it = Running.find(handle);
  std::unique_ptr<Transfer> t = std::move(it->second);
  Running.erase(it);
  HttpResult result;
  if (ec == CURLE_OK) {
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    result.Status = static_cast<int>(status);
    result.Body = std::move(t->Reply);
  } else {
    long sentBytes = 0;
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &sentBytes);
    result.Sent = sentBytes > 0;
    long osError = 0;
    curl_easy_getinfo(handle, CURLINFO_OS_ERRNO, &osError);
    result.Refused = ec == CURLE_COULDNT_CONNECT && osError == ECONNREFUSED;
    result.Error = curl_easy_strerror(ec);
    if (ec == CURLE_OPERATION_TIMEDOUT)
      Distrusted.insert(t->Host);
  }
  curl_multi_remove_handle(Multi, handle);
  Spare.push_back(handle);
  t->Handle = nullptr;
  t->Done(std::move(result));
}

void AsyncClient::Impl::serve() {
  while (!Stopping) {
    std::deque<std::unique_ptr<Transfer>> batch;
    {
      std::lock_guard<std::mutex> lock(Mu);
      batch.swap(Waiting);
    }
    for (auto &transfer : batch)
      begin(std::move(transfer));
    int running = 0;
    curl_multi_perform(Multi, &running);
    int left = 0;
    bool ended = false;
    while (CURLMsg *msg = curl_multi_info_read(Multi, &left))
      if (msg->msg == CURLMSG_DONE) {
        finish(msg->easy_handle, msg->data.result);
        ended = true;
      }
    if (!ended)
      curl_multi_poll(Multi, nullptr, 0, IdleWaitMs, nullptr);
  }
  for (auto &[handle, transfer] : Running)
    curl_multi_remove_handle(Multi, handle);
  Running.clear();
  for (CURL *handle : Spare)
    curl_easy_cleanup(handle);
}

AsyncClient::AsyncClient() : D(std::make_unique<Impl>()) {
  static const CURLcode initialised = curl_global_init(CURL_GLOBAL_DEFAULT);
  (void)initialised;
  D->Multi = curl_multi_init();
  curl_multi_setopt(D->Multi, CURLMOPT_MAXCONNECTS, MaxIdleConnections);
  D->Thread = std::thread([this] { D->serve(); });
}

AsyncClient::~AsyncClient() {
  D->Stopping = true;
  curl_multi_wakeup(D->Multi);
  D->Thread.join();
  curl_multi_cleanup(D->Multi);
}

void AsyncClient::call(HttpCall call, Done done) {
  auto transfer = std::make_unique<Transfer>();
  transfer->Call = std::move(call);
  transfer->Done = std::move(done);
  {
    std::lock_guard<std::mutex> lock(D->Mu);
    D->Waiting.push_back(std::move(transfer));
  }
  curl_multi_wakeup(D->Multi);
}

} // namespace oriolebay::http
