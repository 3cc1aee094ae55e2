#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <thread>

namespace oriolebay::adapter {

/// An HTTP peer on loopback that answers one call, reads the next one on the
/// same connection and then closes the connection and the listening socket
/// without an answer, like a peer whose process has ended.
class VanishingPeer {
public:
  explicit VanishingPeer(std::string firstBody)
      : FirstBody(std::move(firstBody)),
        Listener(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    bind(Listener, reinterpret_cast<sockaddr *>(&address), size);
    listen(Listener, 1);
    getsockname(Listener, reinterpret_cast<sockaddr *>(&address), &size);
    Address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    ServerThread = std::thread([this] { serve(); });
  }
  ~VanishingPeer() { ServerThread.join(); }
  VanishingPeer(const VanishingPeer &) = delete;
  VanishingPeer &operator=(const VanishingPeer &) = delete;

  std::string Address;

private:
  void serve() const {
    const int connection = accept(Listener, nullptr, nullptr);
    readRequest(connection);
    const std::string answer =
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        "Content-Length: " +
        std::to_string(FirstBody.size()) + "\r\n\r\n" + FirstBody;
    send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
    readRequest(connection);
    close(Listener);
    close(connection);
  }

  // Reads one complete request. The end of its body is recognised by the first
  // closing brace, because the JSON bodies of these tests are not nested.
  static void readRequest(int connection) {
    std::string text;
    char buf[1024];
    while (text.find('}') == std::string::npos) {
      const ssize_t n = recv(connection, buf, sizeof(buf), 0);
      if (n <= 0)
        return;
      text.append(buf, static_cast<size_t>(n));
    }
  }

  const std::string FirstBody;
  const int Listener;
  std::thread ServerThread;
};

} // namespace oriolebay::adapter
