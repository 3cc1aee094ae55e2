#pragma once

#include "loopbacklistener.h"

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
      : FirstBody(std::move(firstBody)) {
    ServerThread = std::thread([this] { serve(); });
  }
  ~VanishingPeer() { ServerThread.join(); }
  VanishingPeer(const VanishingPeer &) = delete;
  VanishingPeer &operator=(const VanishingPeer &) = delete;

  const std::string &address() const { return Listener.Address; }

private:
  void serve() const {
    const int connection = accept(Listener.Socket, nullptr, nullptr);
    readRequest(connection);
    const std::string answer =
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        "Content-Length: " +
        std::to_string(FirstBody.size()) + "\r\n\r\n" + FirstBody;
    send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
    readRequest(connection);
    close(Listener.Socket);
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
  const LoopbackListener Listener;
  std::thread ServerThread;
};

} // namespace oriolebay::adapter
