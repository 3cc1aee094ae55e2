#pragma once

#include "peerreply.h"
#include "utils/refusedmessage.h"

#include <functional>
#include <memory>
#include <string>

namespace oriolebay::utils {
class EventLoop;
}

namespace oriolebay::endpoints {

/// The requesting side of a connection to one peer, for owners with an event
/// loop: calls run concurrently and their answers are delivered on the loop.
/// After a call without an answer the next call opens a new connection, because
/// a connection can stop working permanently without a reset. Owned by one
/// event loop.
class AsyncChannel {
public:
  using Done = std::function<void(const PeerReply &)>;

  /// Connects to address in the background, so that a peer that is not running
  /// yet is reached as soon as it starts. Answers that cannot be decoded are
  /// passed to onRefused; their calls end without an answer.
  AsyncChannel(utils::EventLoop &loop, std::string address,
               utils::OnRefusedMessage onRefused);
  /// Drops calls that have not ended; their Done is not called.
  ~AsyncChannel();
  AsyncChannel(const AsyncChannel &) = delete;
  AsyncChannel &operator=(const AsyncChannel &) = delete;

  /// Sends message and waits for the answer. A message that no connection has
  /// taken within timeoutMs is not sent any more.
  void call(const Message &message, int timeoutMs, Done done);
  const std::string &address() const;

private:
  struct Impl;
  std::shared_ptr<Impl> D;
};

} // namespace oriolebay::endpoints
