#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>

#include <string>

namespace oriolebay::adapter {

/// A listening socket on loopback. Its owner closes it.
struct LoopbackListener {
  LoopbackListener() : Socket(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    bind(Socket, reinterpret_cast<sockaddr *>(&address), size);
    listen(Socket, 1);
    getsockname(Socket, reinterpret_cast<sockaddr *>(&address), &size);
    Address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  }

  const int Socket;
  std::string Address;
};

} // namespace oriolebay::adapter
