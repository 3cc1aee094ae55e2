#pragma once

#include "messages.h"

#include <functional>
#include <memory>
#include <string>

namespace oriolebay::utils {
class EventLoop;
}

namespace oriolebay::endpoints {

/// The requesting side to one peer for owners with an event loop: calls run
/// side by side and their answers come on the loop. After a call without an
/// answer the next one dials anew, because a connection can go silent for good
/// without a reset. Owned by one event loop.
class AsyncChannel {
public:
  using Done = std::function<void(utils::Result<Message>)>;

  /// Dials address in the background, so that a peer that is not up yet is
  /// reached once it is.
  AsyncChannel(utils::EventLoop &loop, std::string address);
  /// Calls that have not ended are dropped; their Done is not called.
  ~AsyncChannel();
  AsyncChannel(const AsyncChannel &) = delete;
  AsyncChannel &operator=(const AsyncChannel &) = delete;

  /// Sends message. Transport when no answer came within timeoutMs: the peer
  /// may or may not have acted.
  void call(const Message &message, int timeoutMs, Done done);
  const std::string &address() const;

private:
  struct Impl;
  std::shared_ptr<Impl> D;
};

} // namespace oriolebay::endpoints
