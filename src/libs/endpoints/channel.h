#pragma once

#include "messages.h"
#include "peerreply.h"

#include <absl/synchronization/mutex.h>
#include <nng/nng.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace oriolebay::endpoints {

namespace Internal {
class Socket;
} // namespace Internal

class RequestChannel;

/// Receives how the call on the channel with this index ended.
using OnReply = std::function<void(size_t index, const PeerReply &)>;

/// Sends messages[i] on channels[i], all concurrently, and passes each answer
/// to onReply as it arrives, on the caller's thread, until all have arrived or
/// timeoutMs has passed. A peer that does not answer delays neither the
/// messages to other peers nor their answers.
void callAll(const std::vector<std::shared_ptr<RequestChannel>> &channels,
             const std::vector<Message> &messages, int timeoutMs,
             const OnReply &onReply);

/// The requesting side of an nng req/rep pair to one peer. Calls from several
/// threads run concurrently. nng's automatic resend is disabled, because a
/// resent Run could start a task twice.
class RequestChannel {
public:
  /// Connects to address (like "tcp://127.0.0.1:7000") in the background, so
  /// that a peer that is not running yet is reached as soon as it starts.
  explicit RequestChannel(std::string address);
  ~RequestChannel();
  RequestChannel(const RequestChannel &) = delete;
  RequestChannel &operator=(const RequestChannel &) = delete;

  /// Sends message on channel and waits up to timeoutMs for the answer. An
  /// answer that cannot be decoded counts as none.
  static PeerReply call(const std::shared_ptr<RequestChannel> &channel,
                        const Message &message, int timeoutMs);

  const std::string &address() const { return Address; }

private:
  friend void
  callAll(const std::vector<std::shared_ptr<RequestChannel>> &channels,
          const std::vector<Message> &messages, int timeoutMs,
          const OnReply &onReply);
  std::shared_ptr<Internal::Socket> socket();
  void replaceSocket(const std::shared_ptr<Internal::Socket> &unresponsive);

  const std::string Address;
  absl::Mutex Mu;
  std::shared_ptr<Internal::Socket> CurrentSocket;
};

/// The replying side: a thread that answers each request with the result of the
/// handler. Handlers run one at a time on that thread and must return quickly.
class ReplyServer {
public:
  using Handler = std::function<Message(const Message &)>;

  /// Listens on address; port 0 selects a free port. Throws
  /// std::runtime_error if it cannot listen.
  ReplyServer(const std::string &address, Handler handler);
  ~ReplyServer();
  ReplyServer(const ReplyServer &) = delete;
  ReplyServer &operator=(const ReplyServer &) = delete;

  /// The bound address, with the actual port.
  std::string address() const { return BoundAddress; }
  /// Number of messages and bytes received so far.
  int64_t messages() const { return Messages.load(); }
  int64_t bytes() const { return Bytes.load(); }
  void stop();

private:
  void serve();

  Handler Handle;
  nng_socket Socket = NNG_SOCKET_INITIALIZER;
  std::string BoundAddress;
  std::atomic<bool> Stopping{false};
  std::atomic<int64_t> Messages{0};
  std::atomic<int64_t> Bytes{0};
  std::thread Thread;
};

} // namespace oriolebay::endpoints
