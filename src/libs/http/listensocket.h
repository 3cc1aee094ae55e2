#pragma once

#include <cstddef>
#include <string>

namespace oriolebay::http {

/// Space for received data that the server has not read yet, for each
/// connection. The kernel may use twice as much.
inline constexpr size_t ReceiveBufferBytes = 16 << 10;

/// Memory of libmicrohttpd for each connection: its headers and what was read
/// of its body.
inline constexpr size_t ConnectionMemoryBytes = 16 << 10;

/// A listening TCP socket, for libmicrohttpd, which closes it.
struct ListenSocket {
  int Descriptor = -1;
  int Port = 0;
};

/// Listens on host:port (port 0 picks a free one). Received data that is not
/// read is limited for each accepted connection. Throws std::runtime_error when
/// the address cannot be bound.
ListenSocket listenOn(const std::string &host, int port);

} // namespace oriolebay::http
