#include "rawconnection.h"

#include "utils/steadyclock.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <stdexcept>
#include <utility>

namespace oriolebay::testpeers {

namespace {

bool waitFor(int socket, short events, absl::Time end) {
  const absl::Duration left = end - utils::steadyNow();
  pollfd it{socket, events, 0};
  const int ms =
      static_cast<int>(std::max<int64_t>(0, absl::ToInt64Milliseconds(left)));
  return poll(&it, 1, ms) == 1;
}

sockaddr_in localAddress(int socket) {
  sockaddr_in addr{};
  socklen_t bytes = sizeof(addr);
  getsockname(socket, reinterpret_cast<sockaddr *>(&addr), &bytes);
  return addr;
}

sockaddr_in peerAddress(int socket) {
  sockaddr_in addr{};
  socklen_t bytes = sizeof(addr);
  getpeername(socket, reinterpret_cast<sockaddr *>(&addr), &bytes);
  return addr;
}

} // namespace

RawConnection::RawConnection(int port) {
  sockaddr_in addr{};
  addr.sin_family = AF_INET;
  addr.sin_port = htons(static_cast<uint16_t>(port));
  addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect(Socket, reinterpret_cast<sockaddr *>(&addr), sizeof(addr)) != 0)
    throw std::runtime_error("cannot connect to the server");
}

RawConnection::~RawConnection() {
  if (Socket >= 0)
    close(Socket);
}

RawConnection::RawConnection(RawConnection &&other) noexcept
    : Socket(std::exchange(other.Socket, -1)),
      Received(std::move(other.Received)) {}

bool RawConnection::send(const std::string &text,
                         absl::Duration patience) const {
  const absl::Time end = utils::steadyNow() + patience;
  size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t n = ::send(Socket, text.data() + sent, text.size() - sent,
                             MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n >= 0)
      sent += static_cast<size_t>(n);
    else if (errno != EAGAIN || !waitFor(Socket, POLLOUT, end))
      return false;
  }
  return true;
}

RawConnection::ReadResult RawConnection::receiveSome(absl::Time end) {
  if (!waitFor(Socket, POLLIN, end))
    return ReadResult::TimedOut;
  char buf[4096];
  const ssize_t n = recv(Socket, buf, sizeof(buf), 0);
  if (n <= 0)
    return ReadResult::Closed;
  Received.append(buf, static_cast<size_t>(n));
  return ReadResult::Data;
}

bool RawConnection::receiveUntil(const std::string &text) {
  const absl::Time end = utils::steadyNow() + PatienceOfTests;
  while (Received.find(text) == std::string::npos)
    if (receiveSome(end) != ReadResult::Data)
      return false;
  return true;
}

bool RawConnection::receiveUntilClosed() {
  const absl::Time end = utils::steadyNow() + PatienceOfTests;
  ReadResult result = ReadResult::Data;
  while (result == ReadResult::Data)
    result = receiveSome(end);
  return result == ReadResult::Closed;
}

bool RawConnection::sendUntilClosed(const std::string &text,
                                    absl::Duration interval) {
  const absl::Time end = utils::steadyNow() + PatienceOfTests;
  while (utils::steadyNow() < end)
    if (receiveSome(utils::steadyNow() + interval) == ReadResult::Closed ||
        !send(text))
      return true;
  return false;
}

size_t RawConnection::unreadBytesOfServer() const {
  constexpr int MaxDescriptors = 1024;
  const in_port_t ownPort = localAddress(Socket).sin_port;
  int unread = 0;
  for (int fd = 0; fd < MaxDescriptors; ++fd)
    if (peerAddress(fd).sin_port == ownPort)
      ioctl(fd, FIONREAD, &unread);
  return static_cast<size_t>(unread);
}

} // namespace oriolebay::testpeers
