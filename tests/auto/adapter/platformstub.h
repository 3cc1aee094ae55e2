#pragma once

#include "http/asyncclient.h"
#include "http/asyncserver.h"
#include "utils/eventloop.h"

#include <functional>
#include <future>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace oriolebay::adapter {

/// A peer on loopback that gives one answer to every call and keeps what it was
/// asked, and the loop and client that calls to it need.
class PlatformStub {
public:
  /// Without an answer nothing listens at the address.
  explicit PlatformStub(std::optional<http::HttpResponse> answer) {
    http::AsyncServerOptions options;
    options.KeptHeaders = {"Oriolebay-Expect-Instance"};
    Server = std::make_unique<http::AsyncServer>(
        options, [this, answer](const http::HttpRequest &request,
                                const http::AsyncServer::Respond &respond) {
          {
            std::lock_guard<std::mutex> lock(Mu);
            Asked = request;
          }
          if (answer)
            respond(*answer);
        });
    Address = "127.0.0.1:" + std::to_string(Server->port());
    if (!answer)
      Server.reset();
    Runner = std::thread([this] { Loop.run(); });
  }
  ~PlatformStub() {
    Loop.stop();
    Runner.join();
  }
  PlatformStub(const PlatformStub &) = delete;
  PlatformStub &operator=(const PlatformStub &) = delete;

  /// Makes a call, which gets a hook for its outcome, and waits for that.
  template <class T>
  T outcome(const std::function<void(std::function<void(T)>)> &call) {
    auto promise = std::make_shared<std::promise<T>>();
    std::future<T> future = promise->get_future();
    call([promise](T value) { promise->set_value(std::move(value)); });
    return future.get();
  }
  http::HttpRequest asked() {
    std::lock_guard<std::mutex> lock(Mu);
    return Asked;
  }

  utils::EventLoop Loop{64};
  http::AsyncClient Client;
  std::string Address;

private:
  std::mutex Mu;
  http::HttpRequest Asked;
  std::unique_ptr<http::AsyncServer> Server;
  std::thread Runner;
};

} // namespace oriolebay::adapter
