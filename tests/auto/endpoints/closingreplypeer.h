#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

namespace oriolebay::endpoints {

/// How a ClosingReplyPeer ends a connection.
enum class ConnectionEnd { Fin, Reset };

/// A replying peer of nng's req/rep protocol on loopback that answers all
/// requests but one with the same reply. That one it reads, ends the connection
/// without an answer, and listens on.
class ClosingReplyPeer {
public:
  /// The request with this number, counted from one, is not answered.
  ClosingReplyPeer(ConnectionEnd end, int droppedRequest, std::string reply)
      : End(end), DroppedRequest(droppedRequest), Reply(std::move(reply)),
        Listener(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in addr{};
    addr.sin_family = AF_INET;
    addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(Listener, reinterpret_cast<sockaddr *>(&addr), sizeof addr);
    listen(Listener, 8);
    socklen_t n = sizeof addr;
    getsockname(Listener, reinterpret_cast<sockaddr *>(&addr), &n);
    Address = "tcp://127.0.0.1:" + std::to_string(ntohs(addr.sin_port));
    Thread = std::thread([this] { serve(); });
  }
  ~ClosingReplyPeer() {
    Stopping = true;
    shutdown(Listener, SHUT_RDWR);
    shutdown(Connection, SHUT_RDWR);
    Thread.join();
    close(Listener);
  }
  ClosingReplyPeer(const ClosingReplyPeer &) = delete;
  ClosingReplyPeer &operator=(const ClosingReplyPeer &) = delete;

  const std::string &address() const { return Address; }
  /// Number of requests that were read completely.
  int requests() const { return Requests; }

private:
  static constexpr size_t LengthBytes = 8;
  static constexpr size_t RequestIdBytes = 4;

  void serve() {
    while (!Stopping) {
      const int fd = accept(Listener, nullptr, nullptr);
      if (fd < 0)
        continue;
      Connection = fd;
      serveConnection(fd);
      Connection = -1;
      close(fd);
    }
  }

  void serveConnection(int fd) {
    // "SP", version 0, and the number of the protocol rep0.
    constexpr std::array<char, 8> Greeting{0, 'S', 'P', 0, 0, 0x31, 0, 0};
    send(fd, Greeting.data(), Greeting.size(), MSG_NOSIGNAL);
    std::string peerGreeting(Greeting.size(), '\0');
    if (!readAll(fd, peerGreeting))
      return;
    for (std::string request; readFrame(fd, request);) {
      if (++Requests == DroppedRequest) {
        if (End == ConnectionEnd::Reset) {
          const linger discard{1, 0};
          setsockopt(fd, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
        }
        return;
      }
      sendFrame(fd, request.substr(0, RequestIdBytes) + Reply);
    }
  }

  static bool readAll(int fd, std::string &bytes) {
    return bytes.empty() || recv(fd, bytes.data(), bytes.size(), MSG_WAITALL) ==
                                static_cast<ssize_t>(bytes.size());
  }

  static bool readFrame(int fd, std::string &body) {
    std::string length(LengthBytes, '\0');
    if (!readAll(fd, length))
      return false;
    uint64_t size = 0;
    for (const char c : length)
      size = size << 8U | static_cast<unsigned char>(c);
    body.assign(size, '\0');
    return readAll(fd, body);
  }

  static void sendFrame(int fd, const std::string &body) {
    std::string frame(LengthBytes, '\0');
    for (size_t i = 0, left = body.size(); i < LengthBytes; ++i, left >>= 8U)
      frame[LengthBytes - 1 - i] = static_cast<char>(left & 0xffU);
    frame += body;
    send(fd, frame.data(), frame.size(), MSG_NOSIGNAL);
  }

  const ConnectionEnd End;
  const int DroppedRequest;
  const std::string Reply;
  const int Listener;
  std::string Address;
  std::atomic<int> Requests{0};
  std::atomic<int> Connection{-1};
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

} // namespace oriolebay::endpoints
