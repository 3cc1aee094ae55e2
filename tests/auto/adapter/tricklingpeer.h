#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace oriolebay::adapter {

/// An HTTP peer on loopback that accepts one call and sends its answer in
/// parts, with a pause before each, like a peer at the end of a slow link. Then
/// it waits until the caller closes the connection.
class TricklingPeer {
public:
  /// The parts are those of the body, which is as long as bodySize says.
  TricklingPeer(std::vector<std::string> parts, size_t bodySize,
                std::chrono::milliseconds pause)
      : Parts(std::move(parts)), BodySize(bodySize), Pause(pause),
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
  ~TricklingPeer() {
    shutdown(Listener, SHUT_RDWR);
    ServerThread.join();
    close(Listener);
  }
  TricklingPeer(const TricklingPeer &) = delete;
  TricklingPeer &operator=(const TricklingPeer &) = delete;

  std::string Address;

private:
  void serve() const {
    const int connection = accept(Listener, nullptr, nullptr);
    if (!Parts.empty())
      sendText(connection, "HTTP/1.1 200 OK\r\nContent-Length: " +
                               std::to_string(BodySize) + "\r\n\r\n");
    for (const std::string &part : Parts) {
      std::this_thread::sleep_for(Pause);
      sendText(connection, part);
    }
    char buf[1024];
    while (recv(connection, buf, sizeof(buf), 0) > 0) {
    }
    close(connection);
  }
  static void sendText(int connection, const std::string &text) {
    send(connection, text.data(), text.size(), MSG_NOSIGNAL);
  }

  const std::vector<std::string> Parts;
  const size_t BodySize;
  const std::chrono::milliseconds Pause;
  const int Listener;
  std::thread ServerThread;
};

} // namespace oriolebay::adapter
