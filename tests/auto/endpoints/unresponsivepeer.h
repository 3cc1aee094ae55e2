#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

namespace oriolebay::endpoints {

/// A peer whose socket accepts connections but that never answers, and takes no
/// part in nng's protocol.
class UnresponsivePeer {
public:
  UnresponsivePeer() : Fd(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in addr{};
    addr.sin_family = AF_INET;
    addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(Fd, reinterpret_cast<sockaddr *>(&addr), sizeof addr);
    listen(Fd, 8);
    socklen_t n = sizeof addr;
    getsockname(Fd, reinterpret_cast<sockaddr *>(&addr), &n);
    Port = ntohs(addr.sin_port);
  }
  ~UnresponsivePeer() { close(Fd); }
  UnresponsivePeer(const UnresponsivePeer &) = delete;
  UnresponsivePeer &operator=(const UnresponsivePeer &) = delete;

  std::string address() const {
    return "tcp://127.0.0.1:" + std::to_string(Port);
  }

private:
  int Fd;
  int Port = 0;
};

} // namespace oriolebay::endpoints
