#pragma once

#include "utils/boundedqueue.h"

#include <nng/nng.h>

#include <functional>
#include <thread>

namespace oriolebay::endpoints::Internal {

/// Closes nng sockets on a thread of its own. nng_close() waits until nng has
/// ended all connections of the socket, which can last for ever.
class SocketCloser {
public:
  using Close = std::function<void(nng_socket)>;
  /// Called when the number of sockets that wait reaches ReportedBacklog, and
  /// when it reaches MaxWaiting.
  using OnBacklog = std::function<void(size_t waiting)>;

  SocketCloser(Close close, OnBacklog onBacklog);
  /// Waits until all sockets are closed.
  ~SocketCloser();
  SocketCloser(const SocketCloser &) = delete;
  SocketCloser &operator=(const SocketCloser &) = delete;

  /// Has the socket closed soon, without waiting for that. If MaxWaiting
  /// sockets wait already, it stays open.
  void close(nng_socket socket);

  static constexpr size_t ReportedBacklog = 32;
  static constexpr size_t MaxWaiting = 1024;

private:
  void run();

  const Close CloseSocket;
  const OnBacklog ReportBacklog;
  utils::BoundedQueue<nng_socket> Waiting{MaxWaiting};
  std::thread Thread;
};

/// Closes a socket of this process by a SocketCloser that lives as long as the
/// process: a close that does not end must not keep the process from ending.
void closeInBackground(nng_socket socket);

} // namespace oriolebay::endpoints::Internal
