#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <optional>
#include <stdexcept>
#include <thread>

namespace sitekit {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int ListenBacklog = 128;
/// Ports for the project's processes, below those that the kernel gives to
/// outgoing connections, which could take a free one in the meantime.
constexpr int FirstPort = 20000;
constexpr int PortCount = 12000;
constexpr int PortStep = 64;
/// Time after which a connection without a request is closed.
constexpr int IdleTimeoutMs = 60000;

std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port));
  return address;
}

std::string decodePercent(const std::string &text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(
          std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

void parseTarget(const std::string &target, Request &request) {
  const size_t mark = target.find('?');
  request.Path = decodePercent(target.substr(0, mark));
  if (mark == std::string::npos)
    return;
  size_t at = mark + 1;
  while (at < target.size()) {
    const size_t end = std::min(target.find('&', at), target.size());
    const std::string pair = target.substr(at, end - at);
    const size_t equals = pair.find('=');
    if (equals != std::string::npos)
      request.Query[pair.substr(0, equals)] =
          decodePercent(pair.substr(equals + 1));
    at = end + 1;
  }
}

/// Reads messages of one connection, one after the other.
class Reader {
public:
  explicit Reader(int fd) : Fd(fd) {}

  /// Returns the lines of a head and the body behind it; nothing if the
  /// connection ends or the time is over before.
  std::optional<std::pair<std::string, std::string>>
  message(Clock::time_point deadline) {
    size_t end = 0;
    while ((end = Buffer.find("\r\n\r\n")) == std::string::npos)
      if (!fill(deadline))
        return std::nullopt;
    const std::string head = Buffer.substr(0, end + 2);
    const size_t length = bodyLength(head);
    while (Buffer.size() < end + 4 + length)
      if (!fill(deadline))
        return std::nullopt;
    std::string body = Buffer.substr(end + 4, length);
    Buffer.erase(0, end + 4 + length);
    return std::make_pair(head, body);
  }

private:
  static size_t bodyLength(const std::string &head) {
    const std::string name = "\r\ncontent-length:";
    const size_t at = lower(head).find(name);
    return at == std::string::npos
               ? 0
               : std::strtoul(head.c_str() + at + name.size(), nullptr, 10);
  }

  bool fill(Clock::time_point deadline) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
                          deadline - Clock::now())
                          .count();
    pollfd waiting{Fd, POLLIN, 0};
    if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) <= 0)
      return false;
    char bytes[16384];
    const ssize_t n = recv(Fd, bytes, sizeof bytes, 0);
    if (n <= 0)
      return false;
    Buffer.append(bytes, static_cast<size_t>(n));
    return true;
  }

  const int Fd;
  std::string Buffer;
};

bool sendAll(int fd, const std::string &bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    sent += static_cast<size_t>(n);
  }
  return true;
}

Request parseRequest(const std::string &head, std::string body) {
  Request request;
  request.Body = std::move(body);
  size_t at = head.find("\r\n");
  const std::string first = head.substr(0, at);
  const size_t space = first.find(' ');
  request.Method = first.substr(0, space);
  parseTarget(first.substr(space + 1, first.rfind(' ') - space - 1), request);
  for (at += 2; at < head.size();) {
    const size_t end = head.find("\r\n", at);
    const std::string line = head.substr(at, end - at);
    const size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const size_t value = line.find_first_not_of(' ', colon + 1);
      request.Headers[lower(line.substr(0, colon))] =
          value == std::string::npos ? "" : line.substr(value);
    }
    at = end + 2;
  }
  return request;
}

} // namespace

std::string Request::header(const std::string &name) const {
  auto it = Headers.find(name);
  return it == Headers.end() ? "" : it->second;
}

std::string Request::query(const std::string &name) const {
  auto it = Query.find(name);
  return it == Query.end() ? "" : it->second;
}

HttpServer::HttpServer(Handler handler, int port) : Handle(std::move(handler)) {
  ListenFd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(ListenFd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = loopback(port);
  socklen_t size = sizeof address;
  if (bind(ListenFd, reinterpret_cast<sockaddr *>(&address), size) != 0 ||
      listen(ListenFd, ListenBacklog) != 0)
    throw std::runtime_error("cannot listen on loopback");
  getsockname(ListenFd, reinterpret_cast<sockaddr *>(&address), &size);
  Port = ntohs(address.sin_port);
  std::thread([this] { accept(); }).detach();
}

void HttpServer::stop() {
  Stopped = true;
  shutdown(ListenFd, SHUT_RDWR);
  close(ListenFd);
  std::lock_guard<std::mutex> lock(Mu);
  for (const int fd : Connections)
    shutdown(fd, SHUT_RDWR);
}

void HttpServer::accept() {
  while (!Stopped) {
    const int fd = accept4(ListenFd, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0)
      return;
    std::thread([this, fd] { serve(fd); }).detach();
  }
}

void HttpServer::serve(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  {
    std::lock_guard<std::mutex> lock(Mu);
    Connections.insert(fd);
  }
  Reader reader(fd);
  while (!Stopped) {
    const auto message =
        reader.message(Clock::now() + std::chrono::milliseconds(IdleTimeoutMs));
    if (!message || Stopped)
      break;
    const Response response =
        Handle(parseRequest(message->first, message->second));
    if (response.Status == 0 || Stopped ||
        !sendAll(fd, "HTTP/1.1 " + std::to_string(response.Status) +
                         " X\r\nContent-Type: application/json\r\n"
                         "Content-Length: " +
                         std::to_string(response.Body.size()) + "\r\n\r\n" +
                         response.Body))
      break;
  }
  std::lock_guard<std::mutex> lock(Mu);
  Connections.erase(fd);
  close(fd);
}

Response send(int port, const Request &request, int timeoutMs) {
  const auto deadline = Clock::now() + std::chrono::milliseconds(timeoutMs);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback(port);
  Response response;
  std::string head = request.Method + " " + request.Path + " HTTP/1.1\r\n";
  for (const auto &[name, value] : request.Headers)
    head += name + ": " + value + "\r\n";
  head += "Content-Type: application/json\r\nContent-Length: " +
          std::to_string(request.Body.size()) + "\r\n\r\n";
  if (connect(fd, reinterpret_cast<const sockaddr *>(&address),
              sizeof address) == 0 &&
      sendAll(fd, head + request.Body)) {
    if (const auto answer = Reader(fd).message(deadline)) {
      response.Status =
          std::atoi(answer->first.c_str() + answer->first.find(' '));
      response.Body = answer->second;
    }
  }
  close(fd);
  return response;
}

int freePort() {
  static int next =
      FirstPort + static_cast<int>(getpid()) * PortStep % PortCount;
  for (int tries = 0; tries < PortCount; ++tries) {
    next = FirstPort + (next + 1 - FirstPort) % PortCount;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(next);
    const bool isFree = bind(fd, reinterpret_cast<const sockaddr *>(&address),
                             sizeof address) == 0;
    close(fd);
    if (isFree)
      return next;
  }
  throw std::runtime_error("no free port");
}

} // namespace sitekit
