#include "listensocket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <stdexcept>
#include <system_error>

namespace oriolebay::http {

namespace {

sockaddr_in addressOf(const std::string &host, int port) {
  sockaddr_in addr{};
  addr.sin_family = AF_INET;
  addr.sin_port = htons(static_cast<uint16_t>(port));
  if (inet_pton(AF_INET, host.c_str(), &addr.sin_addr) != 1)
    throw std::runtime_error("not an IPv4 address: " + host);
  return addr;
}

// SO_REUSEADDR allows a restart beside old connections. SO_REUSEPORT is not
// used: it would let a second process listen on the same address and receive
// half of the connections.
bool setOptions(int fd) {
  const int on = 1;
  const int bytes = static_cast<int>(ReceiveBufferBytes);
  return setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) == 0 &&
         setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes)) == 0;
}

bool bindAndListen(int fd, sockaddr_in &addr) {
  auto *generic = reinterpret_cast<sockaddr *>(&addr);
  socklen_t bytes = sizeof(addr);
  return bind(fd, generic, bytes) == 0 && listen(fd, SOMAXCONN) == 0 &&
         getsockname(fd, generic, &bytes) == 0;
}

} // namespace

ListenSocket listenOn(const std::string &host, int port) {
  sockaddr_in addr = addressOf(host, port);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd >= 0 && setOptions(fd) && bindAndListen(fd, addr))
    return {fd, ntohs(addr.sin_port)};
  const std::error_code ec(errno, std::generic_category());
  if (fd >= 0)
    close(fd);
  throw std::runtime_error("cannot listen on " + host + ":" +
                           std::to_string(port) + ": " + ec.message());
}

} // namespace oriolebay::http
