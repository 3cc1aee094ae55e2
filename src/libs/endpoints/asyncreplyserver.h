#pragma once

#include "messages.h"

#include <functional>
#include <memory>
#include <string>

namespace oriolebay::utils {
class EventLoop;
}

namespace oriolebay::endpoints {

/// The replying side of nng req/rep for owners with an event loop: requests
/// come on the loop, and several may be unanswered at the same time.
class AsyncReplyServer {
public:
  using Respond = std::function<void(const Message &)>;
  using Handler = std::function<void(const Message &, Respond)>;

  /// Listens on address; port 0 picks a free port. Throws std::runtime_error
  /// when it cannot listen. Messages that cannot be read are answered with a
  /// negative Ack and not handed over.
  AsyncReplyServer(utils::EventLoop &loop, const std::string &address,
                   Handler handler);
  ~AsyncReplyServer();
  AsyncReplyServer(const AsyncReplyServer &) = delete;
  AsyncReplyServer &operator=(const AsyncReplyServer &) = delete;

  /// The address that was bound, with the real port.
  std::string address() const;

private:
  struct Impl;
  class Exchange;
  std::shared_ptr<Impl> D;
};

} // namespace oriolebay::endpoints
