#pragma once

#include "connectiontable.h"

#include <microhttpd.h>

#include <thread>

namespace oriolebay::http {

/// Time after which idle connections are closed. It is longer than the idle
/// timeout of callers, so that the caller closes first and no request is sent
/// on a connection that is being closed.
inline constexpr unsigned IdleTimeoutS = 120;

/// Time for a whole request line. It is longer than the idle timeout, which
/// closes what sends nothing.
inline constexpr absl::Duration RequestLineTimeout =
    absl::Seconds(IdleTimeoutS + 5);

/// Connections beyond the limit that libmicrohttpd accepts, so that it does not
/// stop accepting while one gives up its place.
inline constexpr unsigned AcceptedBeyondLimit = 16;

/// Keeps the connections of a libmicrohttpd daemon in a ConnectionTable and
/// shuts down those that wait too long, on a thread of its own.
class ConnectionWatch {
public:
  ConnectionWatch(ConnectionLimits limits,
                  ConnectionTable::OnRefused onRefused);
  ~ConnectionWatch();
  ConnectionWatch(const ConnectionWatch &) = delete;
  ConnectionWatch &operator=(const ConnectionWatch &) = delete;

  /// Returns the descriptor by which the table knows a connection.
  static int descriptorOf(MHD_Connection *connection);

  /// Begins a phase of a connection. Returns false when it was shut down.
  bool enter(MHD_Connection *connection, ConnectionPhase phase);
  ConnectionTable &table() { return Table; }
  /// Starts the thread, which ends with stop().
  void start();
  void stop();

  /// For MHD_OPTION_URI_LOG_CALLBACK with a ConnectionWatch as its argument:
  /// begins a request. Its state is null at its first call of the handler.
  static void *onRequestLine(void *watch, const char *uri,
                             MHD_Connection *connection);
  /// For MHD_OPTION_NOTIFY_CONNECTION with a ConnectionWatch as its argument.
  static void onConnection(void *watch, MHD_Connection *connection,
                           void **socketContext,
                           MHD_ConnectionNotificationCode code);

private:
  ConnectionTable Table;
  std::thread TimeoutThread;
};

} // namespace oriolebay::http
