#pragma once

#include "loopbacklistener.h"

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
      : Parts(std::move(parts)), BodySize(bodySize), Pause(pause) {
    ServerThread = std::thread([this] { serve(); });
  }
  ~TricklingPeer() {
    shutdown(Listener.Socket, SHUT_RDWR);
    ServerThread.join();
    close(Listener.Socket);
  }
  TricklingPeer(const TricklingPeer &) = delete;
  TricklingPeer &operator=(const TricklingPeer &) = delete;

  const std::string &address() const { return Listener.Address; }

private:
  void serve() const {
    const int connection = accept(Listener.Socket, nullptr, nullptr);
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
  const LoopbackListener Listener;
  std::thread ServerThread;
};

} // namespace oriolebay::adapter
