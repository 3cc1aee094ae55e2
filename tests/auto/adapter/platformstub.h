#pragma once

#include "http/asyncclient.h"
#include "http/asyncserver.h"
#include "utils/eventloop.h"
#include "utils/refusedmessage.h"

#include <functional>
#include <future>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace oriolebay::adapter {

inline void ignoreRefused(const utils::RefusedMessage &) {}

/// An HTTP peer on loopback that gives the same answer to every call and
/// records the last request, with the event loop and the client that calls to
/// it need.
class PlatformStub {
public:
  /// If \p answer is empty, nothing listens at the address.
  explicit PlatformStub(std::optional<http::HttpResponse> answer) {
    http::AsyncServerOptions options;
    options.StoredHeaders = {"Oriolebay-Expect-Instance"};
    Server = std::make_unique<http::AsyncServer>(
        options, [this, answer](const http::HttpRequest &request,
                                const http::AsyncServer::Respond &respond) {
          {
            std::lock_guard<std::mutex> lock(Mu);
            LastRequest = request;
          }
          if (answer)
            respond(*answer);
        });
    Address = "127.0.0.1:" + std::to_string(Server->port());
    if (!answer)
      Server.reset();
    LoopThread = std::thread([this] { Loop.run(); });
  }
  ~PlatformStub() {
    Loop.stop();
    LoopThread.join();
  }
  PlatformStub(const PlatformStub &) = delete;
  PlatformStub &operator=(const PlatformStub &) = delete;

  /// Runs \p call with a callback for its result and waits for this result.
  template <class T>
  T callAndWait(const std::function<void(std::function<void(T)>)> &call) {
    auto promise = std::make_shared<std::promise<T>>();
    std::future<T> future = promise->get_future();
    call([promise](T value) { promise->set_value(std::move(value)); });
    return future.get();
  }
  http::HttpRequest lastRequest() {
    std::lock_guard<std::mutex> lock(Mu);
    return LastRequest;
  }

  utils::EventLoop Loop{64};
  http::AsyncClient Client;
  std::string Address;

private:
  std::mutex Mu;
  http::HttpRequest LastRequest;
  std::unique_ptr<http::AsyncServer> Server;
  std::thread LoopThread;
};

} // namespace oriolebay::adapter
