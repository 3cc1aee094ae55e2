#include "http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace sitekit {

namespace {

constexpr size_t ReadSize = 65536;
constexpr int Backlog = 1024;

sockaddr_in loopbackAddress(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int openSocket() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    throw std::runtime_error("cannot open a socket");
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

int boundPort(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
  return ntohs(address.sin_port);
}

std::string lowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::string percentDecode(const std::string &text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

void parseTarget(const std::string &target, Request &request) {
  const size_t query = target.find('?');
  request.Path = percentDecode(target.substr(0, query));
  if (query == std::string::npos)
    return;
  size_t begin = query + 1;
  while (begin < target.size()) {
    const size_t end = std::min(target.find('&', begin), target.size());
    const std::string pair = target.substr(begin, end - begin);
    const size_t equals = std::min(pair.find('='), pair.size());
    if (equals < pair.size())
      request.Arguments[pair.substr(0, equals)] =
          percentDecode(pair.substr(equals + 1));
    begin = end + 1;
  }
}

std::map<std::string, std::string> parseHeaders(const std::string &head) {
  std::map<std::string, std::string> headers;
  size_t begin = head.find("\r\n") + 2;
  while (begin < head.size()) {
    const size_t end = std::min(head.find("\r\n", begin), head.size());
    const std::string line = head.substr(begin, end - begin);
    const size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const size_t value = line.find_first_not_of(' ', colon + 1);
      headers[lowerCase(line.substr(0, colon))] =
          value == std::string::npos ? "" : line.substr(value);
    }
    begin = end + 2;
  }
  return headers;
}

size_t contentLength(const std::map<std::string, std::string> &headers) {
  auto it = headers.find("content-length");
  return it == headers.end() ? 0 : std::stoul(it->second);
}

/// Removes one complete request from text. Returns whether there was one.
bool takeRequest(std::string &text, Request &request) {
  const size_t headEnd = text.find("\r\n\r\n");
  if (headEnd == std::string::npos)
    return false;
  const std::string head = text.substr(0, headEnd + 2);
  request.Headers = parseHeaders(head);
  const size_t length = contentLength(request.Headers);
  const size_t bodyBegin = headEnd + 4;
  if (text.size() < bodyBegin + length)
    return false;
  const size_t methodEnd = head.find(' ');
  const size_t targetEnd = head.find(' ', methodEnd + 1);
  request.Method = head.substr(0, methodEnd);
  parseTarget(head.substr(methodEnd + 1, targetEnd - methodEnd - 1), request);
  request.Body = text.substr(bodyBegin, length);
  text.erase(0, bodyBegin + length);
  return true;
}

std::string valueOf(const std::map<std::string, std::string> &values,
                    const std::string &name) {
  auto it = values.find(name);
  return it == values.end() ? "" : it->second;
}

} // namespace

std::string Request::argument(const std::string &name) const {
  return valueOf(Arguments, name);
}

std::string Request::header(const std::string &name) const {
  return valueOf(Headers, name);
}

Server::Server(Loop &loop, Handler handler, size_t maxConnections)
    : EventLoop(loop), Serve(std::move(handler)),
      MaxConnections(maxConnections), Listener(openSocket()) {
  const sockaddr_in address = loopbackAddress(0);
  if (bind(Listener, reinterpret_cast<const sockaddr *>(&address),
           sizeof address) != 0 ||
      listen(Listener, Backlog) != 0)
    throw std::runtime_error("cannot listen");
  Port = boundPort(Listener);
  EventLoop.watch(Listener, POLLIN, [this](short) { accept(); });
}

Server::~Server() {
  *Alive = false;
  EventLoop.unwatch(Listener);
  ::close(Listener);
  for (const auto &[fd, connection] : Connections) {
    EventLoop.unwatch(fd);
    ::close(fd);
    connection->Fd = -1;
  }
}

void Server::accept() {
  while (Connections.size() < MaxConnections) {
    const int fd =
        accept4(Listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0)
      return;
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    auto connection = std::make_shared<Connection>();
    connection->Fd = fd;
    Connections[fd] = connection;
    updateWatch(connection);
  }
  EventLoop.unwatch(Listener);
}

void Server::updateWatch(const ConnectionPtr &connection) {
  const short events = connection->Out.empty() ? POLLIN : POLLIN | POLLOUT;
  EventLoop.watch(connection->Fd, events, [this, connection](short occurred) {
    onEvents(connection, occurred);
  });
}

void Server::onEvents(const ConnectionPtr &connection, short events) {
  if ((events & POLLOUT) != 0)
    flush(connection);
  if (connection->Fd < 0 || (events & (POLLIN | POLLHUP | POLLERR)) == 0)
    return;
  std::string buffer(ReadSize, '\0');
  const ssize_t n = recv(connection->Fd, buffer.data(), buffer.size(), 0);
  if (n <= 0) {
    if (n == 0 || (errno != EAGAIN && errno != EINTR))
      close(connection);
    return;
  }
  connection->In.append(buffer, 0, static_cast<size_t>(n));
  serveNext(connection);
}

void Server::serveNext(const ConnectionPtr &connection) {
  Request request;
  if (connection->Fd < 0 || connection->IsBusy ||
      !takeRequest(connection->In, request))
    return;
  connection->IsBusy = true;
  Serve(request,
        [this, alive = Alive, connection](int status, const json &body) {
          if (!*alive || connection->Fd < 0 || !connection->IsBusy)
            return;
          connection->IsBusy = false;
          const std::string text = body.dump();
          connection->Out += "HTTP/1.1 " + std::to_string(status) +
                             " X\r\nContent-Type: application/json\r\n"
                             "Content-Length: " +
                             std::to_string(text.size()) + "\r\n\r\n" + text;
          flush(connection);
          EventLoop.runAfter(0, [this, alive, connection] {
            if (*alive)
              serveNext(connection);
          });
        });
}

void Server::flush(const ConnectionPtr &connection) {
  if (!connection->Out.empty()) {
    const ssize_t n = ::send(connection->Fd, connection->Out.data(),
                             connection->Out.size(), MSG_NOSIGNAL);
    if (n < 0 && errno != EAGAIN && errno != EINTR) {
      close(connection);
      return;
    }
    if (n > 0)
      connection->Out.erase(0, static_cast<size_t>(n));
  }
  updateWatch(connection);
}

void Server::close(const ConnectionPtr &connection) {
  if (connection->Fd < 0)
    return;
  EventLoop.unwatch(connection->Fd);
  ::close(connection->Fd);
  Connections.erase(connection->Fd);
  connection->Fd = -1;
  EventLoop.watch(Listener, POLLIN, [this](short) { accept(); });
}

void Server::resetConnections() {
  const linger reset{1, 0};
  for (const auto &[fd, connection] : std::map(Connections)) {
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    close(connection);
  }
}

namespace {

struct OpenCall {
  int Fd = -1;
  std::string Out;
  std::string In;
  std::function<void(const Answer &)> Done;
};

void finish(Loop &loop, const std::shared_ptr<OpenCall> &call,
            const Answer &answer) {
  if (call->Fd < 0)
    return;
  loop.unwatch(call->Fd);
  close(call->Fd);
  call->Fd = -1;
  call->Done(answer);
}

/// Returns whether text is a complete answer, which is then in answer.
bool parseAnswer(const std::string &text, Answer &answer) {
  const size_t headEnd = text.find("\r\n\r\n");
  if (headEnd == std::string::npos)
    return false;
  const std::string head = text.substr(0, headEnd + 2);
  const size_t length = contentLength(parseHeaders(head));
  if (text.size() < headEnd + 4 + length)
    return false;
  answer.Status = std::stoi(head.substr(head.find(' ') + 1, 3));
  answer.Body = json::parse(text.substr(headEnd + 4, length), nullptr, false);
  return true;
}

void advance(Loop &loop, const std::shared_ptr<OpenCall> &call, short events) {
  if ((events & POLLOUT) != 0 && !call->Out.empty()) {
    const ssize_t n =
        send(call->Fd, call->Out.data(), call->Out.size(), MSG_NOSIGNAL);
    if (n > 0)
      call->Out.erase(0, static_cast<size_t>(n));
    else if (errno != EAGAIN && errno != EINTR)
      return finish(loop, call, {});
    if (call->Out.empty())
      loop.watch(call->Fd, POLLIN,
                 [&loop, call](short e) { advance(loop, call, e); });
  }
  if ((events & (POLLIN | POLLHUP | POLLERR)) == 0)
    return;
  std::string buffer(ReadSize, '\0');
  const ssize_t n = recv(call->Fd, buffer.data(), buffer.size(), 0);
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n > 0)
    call->In.append(buffer, 0, static_cast<size_t>(n));
  Answer answer;
  if (parseAnswer(call->In, answer) || n <= 0)
    finish(loop, call, answer);
}

} // namespace

void send(Loop &loop, const Call &call,
          std::function<void(const Answer &)> done) {
  auto open = std::make_shared<OpenCall>();
  open->Done = std::move(done);
  open->Fd = openSocket();
  std::string text = call.Method + " " + call.Path + " HTTP/1.1\r\n";
  for (const auto &[name, value] : call.Headers)
    text += name + ": " + value + "\r\n";
  if (call.Headers.count("Host") == 0)
    text += "Host: localhost\r\n";
  if (call.Method != "GET")
    text += "Content-Type: application/json\r\nContent-Length: " +
            std::to_string(call.Body.size()) + "\r\n";
  open->Out = text + "\r\n" + call.Body;
  const sockaddr_in address = loopbackAddress(call.Port);
  if (connect(open->Fd, reinterpret_cast<const sockaddr *>(&address),
              sizeof address) != 0 &&
      errno != EINPROGRESS) {
    loop.runAfter(0, [&loop, open] { finish(loop, open, {}); });
    return;
  }
  loop.watch(open->Fd, POLLIN | POLLOUT,
             [&loop, open](short events) { advance(loop, open, events); });
  loop.runAfter(call.TimeoutMs, [&loop, open] { finish(loop, open, {}); });
}

int freePort() {
  const int fd = openSocket();
  const sockaddr_in address = loopbackAddress(0);
  if (bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) !=
      0)
    throw std::runtime_error("no free port");
  const int port = boundPort(fd);
  close(fd);
  return port;
}

} // namespace sitekit
