// A small blocking HTTP/1.1 server and client on loopback addresses, for the
// stand-ins of the review's cases.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace review {

using SteadyClock = std::chrono::steady_clock;
inline const char *const Loopback = "127.0.0.1";

inline void sleepMs(int64_t ms) {
  std::this_thread::sleep_for(
      std::chrono::milliseconds(std::max<int64_t>(ms, 0)));
}

inline int64_t steadyMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             SteadyClock::now().time_since_epoch())
      .count();
}

struct HttpRequest {
  std::string Method;
  /// Path and query are percent-decoded.
  std::string Path;
  std::map<std::string, std::string> Query;
  std::map<std::string, std::string> Headers;
  std::string Body;
  /// Number of the connection that the request came on.
  uint64_t Connection = 0;

  std::string header(const std::string &lowerCaseName) const {
    auto it = Headers.find(lowerCaseName);
    return it == Headers.end() ? "" : it->second;
  }
  std::string query(const std::string &name) const {
    auto it = Query.find(name);
    return it == Query.end() ? "" : it->second;
  }
};

struct HttpResponse {
  int Status = 200;
  std::string Body = "{}";
};

inline std::string percentDecode(const std::string &text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i)
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  return out;
}

/// Reads one message (a request or a response) from a socket. Bytes beyond the
/// message stay in the buffer for the next one.
class MessageReader {
public:
  explicit MessageReader(int socket) : Socket(socket) {}

  /// Returns false if the connection ended before a whole message was read or
  /// deadlineMs (steady clock) has passed.
  bool read(std::string &head, std::string &body, int64_t deadlineMs) {
    size_t end = 0;
    while ((end = Buffer.find("\r\n\r\n")) == std::string::npos)
      if (!fill(deadlineMs))
        return false;
    head = Buffer.substr(0, end + 2);
    const size_t length = contentLength(head);
    while (Buffer.size() < end + 4 + length)
      if (!fill(deadlineMs))
        return false;
    body = Buffer.substr(end + 4, length);
    Buffer.erase(0, end + 4 + length);
    return true;
  }

private:
  static size_t contentLength(const std::string &head) {
    std::string lower = head;
    std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
    const size_t at = lower.find("\r\ncontent-length:");
    return at == std::string::npos
               ? 0
               : static_cast<size_t>(std::atoll(lower.c_str() + at + 17));
  }

  bool fill(int64_t deadlineMs) {
    const int64_t left = deadlineMs - steadyMs();
    pollfd p{Socket, POLLIN, 0};
    if (left <= 0 || poll(&p, 1, static_cast<int>(left)) <= 0)
      return false;
    char data[16384];
    const ssize_t n = recv(Socket, data, sizeof data, 0);
    if (n <= 0)
      return false;
    Buffer.append(data, static_cast<size_t>(n));
    return true;
  }

  const int Socket;
  std::string Buffer;
};

inline bool sendAll(int socket, const std::string &data) {
  size_t sent = 0;
  while (sent < data.size()) {
    const ssize_t n =
        send(socket, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    sent += static_cast<size_t>(n);
  }
  return true;
}

inline sockaddr_in loopbackAddress(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, Loopback, &address.sin_addr);
  return address;
}

/// Returns count free ports. They lie below the range from which outgoing
/// connections get theirs.
inline std::vector<int> freePorts(size_t count) {
  constexpr int First = 18000;
  constexpr int Count = 14000;
  static int next = static_cast<int>(getpid() % Count * 997LL % Count);
  std::vector<int> ports;
  for (int tries = 0; ports.size() < count; ++tries) {
    if (tries == Count)
      throw std::runtime_error("no free port");
    const int port = First + next;
    next = (next + 1) % Count;
    const int s = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = loopbackAddress(port);
    if (bind(s, reinterpret_cast<const sockaddr *>(&address), sizeof address) ==
        0)
      ports.push_back(port);
    close(s);
  }
  return ports;
}

/// Serves each connection on a thread of its own. A handler that returns
/// nothing leaves the request without an answer and the connection silent.
class HttpServer {
public:
  using Handler =
      std::function<std::optional<HttpResponse>(const HttpRequest &request)>;

  HttpServer(int port, Handler handler)
      : Serve(std::move(handler)), Listener(socket(AF_INET, SOCK_STREAM, 0)) {
    const int on = 1;
    setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = loopbackAddress(port);
    if (bind(Listener, reinterpret_cast<sockaddr *>(&address),
             sizeof address) != 0 ||
        listen(Listener, 256) != 0)
      throw std::runtime_error("cannot listen on port " + std::to_string(port));
    std::thread([this] { acceptAll(); }).detach();
  }

  /// From now on neither reads nor writes on the connections that are open;
  /// they stay open without a reset. Later ones work.
  void silenceOpenConnections() { SilentUpTo = LastConnection.load(); }

  /// Stops listening and resets all connections, as if the process had ended.
  void shutDown() {
    Closed = true;
    ::shutdown(Listener, SHUT_RDWR);
    close(Listener);
    std::lock_guard<std::mutex> lock(Mu);
    for (int s : Sockets)
      ::shutdown(s, SHUT_RDWR);
  }

private:
  void acceptAll() {
    while (!Closed) {
      const int s = accept(Listener, nullptr, nullptr);
      if (s < 0) {
        if (Closed)
          return;
        continue;
      }
      const int on = 1;
      setsockopt(s, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      const uint64_t number = ++LastConnection;
      {
        std::lock_guard<std::mutex> lock(Mu);
        Sockets.push_back(s);
      }
      std::thread([this, s, number] { serveConnection(s, number); }).detach();
    }
  }

  void serveConnection(int s, uint64_t number) {
    MessageReader reader(s);
    std::string head;
    std::string body;
    while (!Closed && reader.read(head, body, steadyMs() + 600000)) {
      if (number <= SilentUpTo) {
        holdOpen(s);
        break;
      }
      const std::optional<HttpResponse> response =
          Serve(parse(head, body, number));
      if (!response || number <= SilentUpTo) {
        holdOpen(s);
        break;
      }
      if (!sendAll(s, format(*response)))
        break;
    }
    std::lock_guard<std::mutex> lock(Mu);
    std::erase(Sockets, s);
    close(s);
  }

  // Waits until the peer gives the connection up.
  void holdOpen(int s) const {
    char data[4096];
    while (!Closed && recv(s, data, sizeof data, 0) > 0) {
    }
  }

  static HttpRequest parse(const std::string &head, const std::string &body,
                           uint64_t connection) {
    HttpRequest request;
    request.Connection = connection;
    request.Body = body;
    const size_t methodEnd = head.find(' ');
    const size_t targetEnd = head.find(' ', methodEnd + 1);
    request.Method = head.substr(0, methodEnd);
    const std::string target =
        head.substr(methodEnd + 1, targetEnd - methodEnd - 1);
    const size_t mark = target.find('?');
    request.Path = percentDecode(target.substr(0, mark));
    if (mark != std::string::npos)
      parseQuery(target.substr(mark + 1), request.Query);
    parseHeaders(head, request.Headers);
    return request;
  }

  static void parseQuery(const std::string &text,
                         std::map<std::string, std::string> &query) {
    size_t at = 0;
    while (at < text.size()) {
      const size_t end = std::min(text.find('&', at), text.size());
      const std::string pair = text.substr(at, end - at);
      const size_t equals = pair.find('=');
      if (equals != std::string::npos)
        query[pair.substr(0, equals)] = percentDecode(pair.substr(equals + 1));
      at = end + 1;
    }
  }

  static void parseHeaders(const std::string &head,
                           std::map<std::string, std::string> &headers) {
    size_t at = head.find("\r\n") + 2;
    while (at < head.size()) {
      const size_t end = head.find("\r\n", at);
      const std::string line = head.substr(at, end - at);
      const size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), ::tolower);
        const size_t begin = line.find_first_not_of(' ', colon + 1);
        headers[name] = begin == std::string::npos ? "" : line.substr(begin);
      }
      at = end + 2;
    }
  }

  static std::string format(const HttpResponse &response) {
    return "HTTP/1.1 " + std::to_string(response.Status) +
           " X\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(response.Body.size()) + "\r\n\r\n" + response.Body;
  }

  const Handler Serve;
  const int Listener;
  std::atomic<bool> Closed{false};
  std::atomic<uint64_t> LastConnection{0};
  std::atomic<uint64_t> SilentUpTo{0};
  std::mutex Mu;
  std::vector<int> Sockets;
};

/// Sends one request on a connection of its own. The status is 0 if there was
/// no complete answer within timeoutMs.
inline HttpResponse call(int port, const std::string &method,
                         const std::string &path, const std::string &body,
                         const std::vector<std::string> &headers = {},
                         int64_t timeoutMs = 3000) {
  const int64_t deadline = steadyMs() + timeoutMs;
  const int s = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = loopbackAddress(port);
  HttpResponse response{0, ""};
  if (connect(s, reinterpret_cast<const sockaddr *>(&address),
              sizeof address) == 0) {
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    for (const std::string &header : headers)
      text += header + "\r\n";
    text += "Content-Type: application/json\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string head;
    if (sendAll(s, text) &&
        MessageReader(s).read(head, response.Body, deadline))
      response.Status = std::atoi(head.c_str() + head.find(' ') + 1);
  }
  close(s);
  return response;
}

} // namespace review
