#include "asyncclient.h"

#include "answerhead.h"
#include "requestcopies.h"

#include <curl/curl.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <deque>
#include <mutex>
#include <set>
#include <thread>

namespace oriolebay::http {

namespace {

/// Maximum number of connections kept open between calls, over all hosts. An
/// agent connects to two hosts, an entry to the store with a few concurrent
/// calls.
constexpr long MaxIdleConnections = 16;
/// Maximum time for which the client's thread sleeps without events; calls and
/// answers wake it immediately.
constexpr int IdleWaitMs = 60000;
/// Time without any byte of an answer that has begun to arrive, after which a
/// call with a transfer timeout fails.
constexpr std::chrono::milliseconds StallTimeout(1000);

using Clock = std::chrono::steady_clock;

/// One call and its libcurl handle, which returns to the idle handles after the
/// call.
struct Transfer {
  HttpCall Call;
  AsyncClient::Done Done;
  std::string Host;
  AnswerHead Head;
  std::string Reply;
  curl_slist *Headers = nullptr;
  CURL *Handle = nullptr;
  /// When the call fails unless some bytes of its answer arrive. Only for calls
  /// with a transfer timeout.
  Clock::time_point SilentUntil = Clock::time_point::max();
  RequestCopies Copies;

  explicit Transfer(HttpCall call)
      : Call(std::move(call)),
        Copies(Call.Repeatable ? RequestCopies::Limit::None
                               : RequestCopies::Limit::One) {}
  Transfer(const Transfer &) = delete;
  Transfer &operator=(const Transfer &) = delete;
  ~Transfer() {
    curl_slist_free_all(Headers);
    curl_easy_cleanup(Handle);
  }
};

void noteArrival(Transfer &transfer) {
  if (transfer.Call.TransferTimeoutMs > 0)
    transfer.SilentUntil = Clock::now() + StallTimeout;
}

size_t onReplyData(char *data, size_t size, size_t n, void *out) {
  auto &transfer = *static_cast<Transfer *>(out);
  noteArrival(transfer);
  transfer.Reply.append(data, size * n);
  return size * n;
}

size_t onReplyHeader(char *data, size_t size, size_t n, void *out) {
  auto &transfer = *static_cast<Transfer *>(out);
  noteArrival(transfer);
  transfer.Head.addLine({data, size * n});
  return size * n;
}

// Returns "host:port" of a URL such as "http://host:port/path".
std::string hostOf(const std::string &url) {
  const size_t begin = url.find("//");
  if (begin == std::string::npos)
    return url;
  const size_t end = url.find('/', begin + 2);
  return url.substr(begin + 2, end == std::string::npos ? std::string::npos
                                                        : end - begin - 2);
}

// Returns the path of a URL such as "http://host:port/path?query".
std::string pathOf(const std::string &url) {
  const size_t begin = url.find('/', url.find("//") + 2);
  if (begin == std::string::npos)
    return "/";
  return url.substr(begin, url.find('?', begin) - begin);
}

} // namespace

struct AsyncClient::Impl {
  OnRepeatedRequest ReportRepeated;
  CURLM *Multi = nullptr;
  std::atomic<bool> Stopping{false};
  std::mutex Mu;
  std::deque<std::unique_ptr<Transfer>> QueuedTransfers;

  // Accessed only by the client's thread.
  std::map<CURL *, std::unique_ptr<Transfer>> RunningTransfers;
  std::set<std::string> HostsNeedingNewConnection;
  std::deque<CURL *> IdleHandles;
  std::thread Thread;

  void startTransfer(std::unique_ptr<Transfer> transfer);
  void finishTransfer(CURL *handle, CURLcode ec);
  /// Reports the request if its connection ended before an answer, so that it
  /// was sent again, or would have been.
  void reportIfRepeated(Transfer &transfer, const HttpResult &result,
                        CURLcode ec) const;
  /// Ends the transfers that have been silent for too long.
  void expireSilentTransfers();
  /// Time until a transfer may have been silent for too long, in milliseconds;
  /// at most IdleWaitMs.
  int pollTimeoutMs() const;
  void run();
};

void AsyncClient::Impl::startTransfer(std::unique_ptr<Transfer> transfer) {
  Transfer &t = *transfer;
  t.Host = hostOf(t.Call.Url);
  if (!IdleHandles.empty()) {
    t.Handle = IdleHandles.front();
    IdleHandles.pop_front();
    curl_easy_reset(t.Handle);
  } else {
    t.Handle = curl_easy_init();
  }
  CURL *h = t.Handle;
  curl_easy_setopt(h, CURLOPT_URL, t.Call.Url.c_str());
  curl_easy_setopt(h, CURLOPT_CUSTOMREQUEST, t.Call.Method.c_str());
  curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(h, CURLOPT_TIMEOUT_MS,
                   t.Call.TimeoutMs + t.Call.TransferTimeoutMs);
  if (t.Call.TransferTimeoutMs > 0)
    t.SilentUntil = Clock::now() + std::chrono::milliseconds(t.Call.TimeoutMs);
  curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, &onReplyData);
  curl_easy_setopt(h, CURLOPT_WRITEDATA, &t);
  curl_easy_setopt(h, CURLOPT_HEADERFUNCTION, &onReplyHeader);
  curl_easy_setopt(h, CURLOPT_HEADERDATA, &t);
  // Requests without a body have no content type, because some peers reject a
  // GET that has one.
  if (t.Call.Method != "GET") {
    t.Headers = curl_slist_append(t.Headers, "Content-Type: application/json");
    curl_easy_setopt(h, CURLOPT_POSTFIELDS, t.Call.Body.data());
    curl_easy_setopt(h, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(t.Call.Body.size()));
    // Disables "100 Continue", for which curl would wait up to a second with
    // large bodies.
    t.Headers = curl_slist_append(t.Headers, "Expect:");
  }
  for (const std::string &header : t.Call.Headers)
    t.Headers = curl_slist_append(t.Headers, header.c_str());
  curl_easy_setopt(h, CURLOPT_HTTPHEADER, t.Headers);
  if (t.Call.FreshConnection || HostsNeedingNewConnection.erase(t.Host) > 0)
    curl_easy_setopt(h, CURLOPT_FRESH_CONNECT, 1L);
  t.Copies.observe(h);
  curl_multi_add_handle(Multi, h);
  RunningTransfers.emplace(h, std::move(transfer));
}

void AsyncClient::Impl::finishTransfer(CURL *handle, CURLcode ec) {
  auto it = RunningTransfers.find(handle);
  std::unique_ptr<Transfer> t = std::move(it->second);
  RunningTransfers.erase(it);
  HttpResult result;
  if (ec == CURLE_OK && t->Head.isComplete()) {
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    result.Status = static_cast<int>(status);
    result.Body = std::move(t->Reply);
    result.Repeated = t->Copies.sent() > 1;
  } else {
    result.Sent = t->Copies.sent() > 0;
    long osError = 0;
    curl_easy_getinfo(handle, CURLINFO_OS_ERRNO, &osError);
    result.Refused = ec == CURLE_COULDNT_CONNECT && osError == ECONNREFUSED;
    result.Error =
        ec == CURLE_OK ? AnswerHead::CutOffText : t->Copies.errorText(ec);
    if (ec == CURLE_OPERATION_TIMEDOUT)
      HostsNeedingNewConnection.insert(t->Host);
  }
  reportIfRepeated(*t, result, ec);
  curl_multi_remove_handle(Multi, handle);
  IdleHandles.push_back(handle);
  t->Handle = nullptr;
  t->Done(std::move(result));
}

void AsyncClient::Impl::reportIfRepeated(Transfer &transfer,
                                         const HttpResult &result,
                                         CURLcode ec) const {
  const int copies = transfer.Copies.sent();
  const bool isWithheld = copies == 1 && (ec == CURLE_ABORTED_BY_CALLBACK ||
                                          ec == CURLE_COULDNT_CONNECT);
  if (!ReportRepeated || (copies <= 1 && !isWithheld))
    return;
  ReportRepeated({transfer.Call.Method, transfer.Host,
                  pathOf(transfer.Call.Url), copies, result.Status,
                  result.Error});
}

void AsyncClient::Impl::expireSilentTransfers() {
  const Clock::time_point now = Clock::now();
  std::vector<CURL *> expired;
  for (const auto &[handle, transfer] : RunningTransfers)
    if (transfer->SilentUntil <= now)
      expired.push_back(handle);
  for (CURL *handle : expired)
    finishTransfer(handle, CURLE_OPERATION_TIMEDOUT);
}

int AsyncClient::Impl::pollTimeoutMs() const {
  Clock::time_point next = Clock::time_point::max();
  for (const auto &[handle, transfer] : RunningTransfers)
    next = std::min(next, transfer->SilentUntil);
  if (next == Clock::time_point::max())
    return IdleWaitMs;
  const auto left =
      std::chrono::ceil<std::chrono::milliseconds>(next - Clock::now()).count();
  return static_cast<int>(std::clamp<int64_t>(left, 0, IdleWaitMs));
}

void AsyncClient::Impl::run() {
  while (!Stopping) {
    std::deque<std::unique_ptr<Transfer>> batch;
    {
      std::lock_guard<std::mutex> lock(Mu);
      batch.swap(QueuedTransfers);
    }
    for (auto &transfer : batch)
      startTransfer(std::move(transfer));
    int running = 0;
    curl_multi_perform(Multi, &running);
    int left = 0;
    bool hasEnded = false;
    while (CURLMsg *msg = curl_multi_info_read(Multi, &left))
      if (msg->msg == CURLMSG_DONE) {
        finishTransfer(msg->easy_handle, msg->data.result);
        hasEnded = true;
      }
    expireSilentTransfers();
    if (!hasEnded)
      curl_multi_poll(Multi, nullptr, 0, pollTimeoutMs(), nullptr);
  }
  for (auto &[handle, transfer] : RunningTransfers)
    curl_multi_remove_handle(Multi, handle);
  RunningTransfers.clear();
  for (CURL *handle : IdleHandles)
    curl_easy_cleanup(handle);
}

AsyncClient::AsyncClient(OnRepeatedRequest onRepeated)
    : D(std::make_unique<Impl>()) {
  D->ReportRepeated = std::move(onRepeated);
  static const CURLcode initialised = curl_global_init(CURL_GLOBAL_DEFAULT);
  (void)initialised;
  D->Multi = curl_multi_init();
  curl_multi_setopt(D->Multi, CURLMOPT_MAXCONNECTS, MaxIdleConnections);
  D->Thread = std::thread([this] { D->run(); });
}

AsyncClient::~AsyncClient() {
  D->Stopping = true;
  curl_multi_wakeup(D->Multi);
  D->Thread.join();
  curl_multi_cleanup(D->Multi);
}

void AsyncClient::call(HttpCall call, Done done) {
  auto transfer = std::make_unique<Transfer>(std::move(call));
  transfer->Done = std::move(done);
  {
    std::lock_guard<std::mutex> lock(D->Mu);
    D->QueuedTransfers.push_back(std::move(transfer));
  }
  curl_multi_wakeup(D->Multi);
}

} // namespace oriolebay::http
