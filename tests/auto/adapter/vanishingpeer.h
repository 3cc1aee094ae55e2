#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <thread>

namespace oriolebay::adapter {

/// An HTTP peer on loopback that answers one call, takes the next one on the
/// same connection, and is gone without a word: its process has ended.
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
    Runner = std::thread([this] { serve(); });
  }
  ~VanishingPeer() { Runner.join(); }
  VanishingPeer(const VanishingPeer &) = delete;
  VanishingPeer &operator=(const VanishingPeer &) = delete;

  std::string Address;

private:
  void serve() const {
    const int connection = accept(Listener, nullptr, nullptr);
    readCall(connection);
    const std::string answer =
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        "Content-Length: " +
        std::to_string(FirstBody.size()) + "\r\n\r\n" + FirstBody;
    send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
    readCall(connection);
    close(Listener);
    close(connection);
  }

  // A whole call: its body is a JSON object, and these tests' calls nest none.
  static void readCall(int connection) {
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
  std::thread Runner;
};

} // namespace oriolebay::adapter
