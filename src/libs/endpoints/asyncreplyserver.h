#pragma once

#include "messages.h"
#include "utils/refusedmessage.h"

#include <functional>
#include <memory>
#include <string>

namespace oriolebay::utils {
class EventLoop;
}

namespace oriolebay::endpoints {

/// The replying side of nng req/rep for owners with an event loop: requests are
/// handled on the loop, and several can be unanswered at the same time.
class AsyncReplyServer {
public:
  /// Sends the answer to a request. Has no effect after the server was
  /// destroyed.
  using Respond = std::function<void(const Message &)>;
  using Handler = std::function<void(const Message &, Respond)>;

  /// Listens on address; port 0 selects a free port. Throws std::runtime_error
  /// if it cannot listen. Messages that cannot be decoded are answered with a
  /// negative Ack, passed to onRefused and not to the handler.
  AsyncReplyServer(utils::EventLoop &loop, const std::string &address,
                   Handler handler, utils::OnRefusedMessage onRefused);
  ~AsyncReplyServer();
  AsyncReplyServer(const AsyncReplyServer &) = delete;
  AsyncReplyServer &operator=(const AsyncReplyServer &) = delete;

  /// The bound address, with the actual port.
  std::string address() const;

private:
  struct Impl;
  class Exchange;
  std::shared_ptr<Impl> D;
};

} // namespace oriolebay::endpoints
