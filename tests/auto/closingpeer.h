#pragma once

#include "adapter/loopbacklistener.h"
#include "waituntil.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace oriolebay::testpeers {

/// When a ClosingPeer ends a connection: after its answer to the first request,
/// or at the second request.
enum class CloseMoment {
  WhileIdle,
  AfterHalfOfRequest,
  AfterRequest,
  InStatusLine,
  InHeadOfAnswer,
  InBodyOfAnswer,
};

/// How a ClosingPeer ends a connection.
enum class CloseKind { Fin, Reset };

struct PeerAnswer {
  int Status = 200;
  std::string Body = "{}";
};

/// An HTTP peer on loopback that answers the first request with status 200,
/// ends the connection at a given moment, and gives all requests after that the
/// same answer. If \p later is empty, nothing listens from that moment on. It
/// counts the requests that it has read whole.
class ClosingPeer {
public:
  ClosingPeer(CloseMoment moment, CloseKind kind, std::string firstBody,
              std::optional<PeerAnswer> later)
      : Moment(moment), Kind(kind), FirstBody(std::move(firstBody)),
        Later(std::move(later)) {
    if (pipe(WakePipe.data()) != 0)
      std::abort();
    ServerThread = std::thread([this] { serve(); });
  }
  ~ClosingPeer() {
    close(WakePipe[1]);
    ServerThread.join();
    close(WakePipe[0]);
    if (Listens)
      close(Listener.Socket);
    for (const int socket : FinishedSockets)
      close(socket);
  }
  ClosingPeer(const ClosingPeer &) = delete;
  ClosingPeer &operator=(const ClosingPeer &) = delete;

  const std::string &address() const { return Listener.Address; }

  /// Returns how many requests for this path were read whole.
  int timesRead(const std::string &path) const {
    std::lock_guard<std::mutex> lock(Mu);
    auto it = TimesRead.find(path);
    return it == TimesRead.end() ? 0 : it->second;
  }

  /// Waits until the caller's end of the first connection has got its end.
  void waitUntilCallerIsDisconnected() const {
    testwaits::waitUntil([this] {
      std::lock_guard<std::mutex> lock(Mu);
      return EndedPort != 0 && !isEstablished(EndedPort);
    });
  }

private:
  struct Connection {
    int Socket;
    std::string Received;
    bool IsOpen;
  };

  // Returns whether the caller's socket with this port is in the system's table
  // as an established connection to this peer.
  bool isEstablished(uint16_t callerPort) const {
    constexpr const char *Established = "01";
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line);
    while (std::getline(table, line)) {
      std::istringstream fields(line);
      std::string number;
      std::string local;
      std::string remote;
      std::string state;
      fields >> number >> local >> remote >> state;
      if (state == Established && portOf(local, 16) == callerPort &&
          portOf(remote, 16) == portOf(address(), 10))
        return true;
    }
    return false;
  }
  static unsigned long portOf(const std::string &address, int base) {
    return std::stoul(address.substr(address.find(':') + 1), nullptr, base);
  }

  void serve() {
    std::vector<Connection> connections;
    for (;;) {
      std::vector<pollfd> polled{{WakePipe[0], POLLIN, 0},
                                 {Listens ? Listener.Socket : -1, POLLIN, 0}};
      for (const Connection &c : connections)
        polled.push_back({c.Socket, POLLIN, 0});
      poll(polled.data(), polled.size(), -1);
      if (polled[0].revents != 0)
        break;
      for (size_t n = 0; n < connections.size(); ++n)
        if (polled[n + 2].revents != 0)
          receive(connections[n]);
      if (polled[1].revents != 0 && Listens)
        connections.push_back(
            {accept(Listener.Socket, nullptr, nullptr), "", true});
      connections.erase(
          std::remove_if(connections.begin(), connections.end(),
                         [](const Connection &c) { return !c.IsOpen; }),
          connections.end());
    }
    for (const Connection &c : connections)
      close(c.Socket);
  }

  void receive(Connection &c) {
    char buf[4096];
    const ssize_t n = recv(c.Socket, buf, sizeof(buf), 0);
    if (n <= 0) {
      close(c.Socket);
      c.IsOpen = false;
      return;
    }
    c.Received.append(buf, static_cast<size_t>(n));
    if (Answered == 1 && !Ended && Moment == CloseMoment::AfterHalfOfRequest) {
      end(c);
      return;
    }
    while (c.IsOpen && takeRequest(c))
      answer(c);
  }

  // Takes a complete request from what was received, if there is one.
  bool takeRequest(Connection &c) {
    const size_t headersEnd = c.Received.find("\r\n\r\n");
    if (headersEnd == std::string::npos)
      return false;
    const std::string lengthField = "\r\nContent-Length: ";
    const size_t field = c.Received.find(lengthField);
    size_t size = headersEnd + 4;
    if (field < headersEnd)
      size += std::stoul(c.Received.substr(field + lengthField.size()));
    if (c.Received.size() < size)
      return false;
    std::istringstream requestLine(c.Received);
    std::string method;
    std::string target;
    requestLine >> method >> target;
    c.Received.erase(0, size);
    std::lock_guard<std::mutex> lock(Mu);
    ++TimesRead[target.substr(0, target.find('?'))];
    return true;
  }

  void answer(Connection &c) {
    if (Ended) {
      sendText(c, textOf(*Later));
      return;
    }
    const std::string text = textOf({200, FirstBody});
    if (Answered++ == 0) {
      sendText(c, text);
      if (Moment == CloseMoment::WhileIdle)
        end(c);
      return;
    }
    if (Moment == CloseMoment::InStatusLine)
      sendText(c, text.substr(0, 6));
    if (Moment == CloseMoment::InHeadOfAnswer)
      sendText(c, text.substr(0, text.find("Content-Length")));
    if (Moment == CloseMoment::InBodyOfAnswer)
      sendText(c, text.substr(0, text.size() - 1));
    end(c);
  }

  void end(Connection &c) {
    if (!Later) {
      close(Listener.Socket);
      Listens = false;
    }
    Ended = true;
    c.IsOpen = false;
    sockaddr_in caller{};
    socklen_t size = sizeof(caller);
    getpeername(c.Socket, reinterpret_cast<sockaddr *>(&caller), &size);
    if (Kind == CloseKind::Fin) {
      // Closing a socket whose data was not read would reset the connection.
      shutdown(c.Socket, SHUT_WR);
      FinishedSockets.push_back(c.Socket);
    } else {
      const linger resets{1, 0};
      setsockopt(c.Socket, SOL_SOCKET, SO_LINGER, &resets, sizeof(resets));
      close(c.Socket);
    }
    std::lock_guard<std::mutex> lock(Mu);
    EndedPort = ntohs(caller.sin_port);
  }

  static std::string textOf(const PeerAnswer &answer) {
    return "HTTP/1.1 " + std::to_string(answer.Status) +
           " x\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(answer.Body.size()) + "\r\n\r\n" + answer.Body;
  }
  static void sendText(const Connection &c, const std::string &text) {
    send(c.Socket, text.data(), text.size(), MSG_NOSIGNAL);
  }

  const CloseMoment Moment;
  const CloseKind Kind;
  const std::string FirstBody;
  const std::optional<PeerAnswer> Later;
  const adapter::LoopbackListener Listener;
  std::array<int, 2> WakePipe{};
  mutable std::mutex Mu;
  std::map<std::string, int> TimesRead;
  /// The caller's port of the connection that was ended; 0 before that.
  uint16_t EndedPort = 0;
  // Accessed only by the server's thread, and after it has ended.
  bool Listens = true;
  bool Ended = false;
  int Answered = 0;
  std::vector<int> FinishedSockets;
  std::thread ServerThread;
};

} // namespace oriolebay::testpeers
