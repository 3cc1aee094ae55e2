#include "faultyproxy.h"

#include "httptext.h"

#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace oriolebay::testing_system {

namespace {

constexpr int Backlog = 128;
constexpr size_t ReadSize = size_t{64} << 10;
const std::string RefusalText =
    "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
    "Content-Length: 2\r\n\r\n{}";

ProxyRequest parseRequest(const std::string &text) {
  const size_t methodEnd = text.find(' ');
  const size_t targetEnd = text.find(' ', methodEnd + 1);
  return {text.substr(0, methodEnd),
          text.substr(methodEnd + 1, targetEnd - methodEnd - 1),
          httpBody(text)};
}

/// Reads what has arrived. Returns false if the peer has closed the connection.
bool receive(int socket, std::string &arrived) {
  char data[ReadSize];
  while (true) {
    const ssize_t n = recv(socket, data, sizeof(data), MSG_DONTWAIT);
    if (n > 0)
      arrived.append(data, static_cast<size_t>(n));
    else
      return n < 0 && (errno == EAGAIN || errno == EINTR);
  }
}

/// Sends what the connection takes. Returns false if the connection has ended.
bool sendSome(int socket, std::string &toSend) {
  while (!toSend.empty()) {
    const ssize_t n =
        send(socket, toSend.data(), toSend.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (n < 0)
      return errno == EAGAIN || errno == EINTR;
    toSend.erase(0, static_cast<size_t>(n));
  }
  return true;
}

void closeSocket(int &socket) {
  if (socket >= 0)
    ::close(socket);
  socket = -1;
}

} // namespace

const char *proxyFaultName(ProxyFault fault) {
  switch (fault) {
  case ProxyFault::None:
    return "none";
  case ProxyFault::CloseBefore:
    return "close before";
  case ProxyFault::CloseAfter:
    return "close after";
  case ProxyFault::ResetAfter:
    return "reset after";
  case ProxyFault::CutAnswer:
    return "cut answer";
  case ProxyFault::StaySilent:
    return "stay silent";
  case ProxyFault::Refuse:
    return "refuse";
  }
  return "";
}

FaultyProxy::FaultyProxy(int serverPort, Decide decide)
    : ServerPort(serverPort), DecideFault(std::move(decide)) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto *const bound = reinterpret_cast<sockaddr *>(&address);
  Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (bind(Listener, bound, size) != 0 || listen(Listener, Backlog) != 0 ||
      getsockname(Listener, bound, &size) != 0)
    throw std::runtime_error("the proxy cannot listen");
  Port = ntohs(address.sin_port);
  WakeUp = eventfd(0, EFD_CLOEXEC);
  Thread = std::thread([this] { run(); });
}

FaultyProxy::~FaultyProxy() {
  Stopping = true;
  eventfd_write(WakeUp, 1);
  Thread.join();
  for (Connection &connection : Connections)
    close(connection);
  closeSocket(Listener);
  closeSocket(WakeUp);
}

void FaultyProxy::run() {
  while (!Stopping) {
    std::vector<pollfd> watched = {{WakeUp, POLLIN, 0}, {Listener, POLLIN, 0}};
    for (const Connection &connection : Connections)
      for (const Stream *stream : {&connection.Client, &connection.Server}) {
        const int events = stream->ToSend.empty() ? POLLIN : POLLIN | POLLOUT;
        watched.push_back({stream->Socket, static_cast<short>(events), 0});
      }
    poll(watched.data(), watched.size(), -1);
    size_t n = 2;
    for (Connection &connection : Connections) {
      const bool isReady =
          watched[n].revents != 0 || watched[n + 1].revents != 0;
      n += 2;
      if (isReady)
        handle(connection);
    }
    Connections.remove_if([](const Connection &c) { return c.IsClosed; });
    if (watched[1].revents != 0)
      acceptClient();
  }
}

void FaultyProxy::acceptClient() {
  const int s = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
  if (s < 0)
    return;
  const int on = 1;
  setsockopt(s, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  Connections.emplace_back().Client.Socket = s;
}

void FaultyProxy::handle(Connection &connection) {
  Stream &client = connection.Client;
  Stream &server = connection.Server;
  if (!receive(client.Socket, client.Arrived)) {
    close(connection);
    return;
  }
  const bool isServerOpen =
      server.Socket >= 0 && receive(server.Socket, server.Arrived);
  if (connection.AwaitsAnswer)
    if (const auto answer = takeHttpMessage(server.Arrived))
      onAnswer(connection, *answer);
  if (server.Socket >= 0 && !isServerOpen) {
    closeSocket(server.Socket);
    if (connection.AwaitsAnswer)
      close(connection);
  }
  takeRequests(connection);
  if (connection.IsClosed)
    return;
  const bool isSent = sendSome(client.Socket, client.ToSend);
  if (!isSent || (connection.ClosesOnceSent && client.ToSend.empty()))
    close(connection);
  else if (server.Socket >= 0 && !sendSome(server.Socket, server.ToSend))
    close(connection);
}

void FaultyProxy::takeRequests(Connection &connection) {
  while (!connection.IsClosed && !connection.AwaitsAnswer &&
         !connection.IsSilent && !connection.ClosesOnceSent) {
    std::optional<std::string> request =
        takeHttpMessage(connection.Client.Arrived);
    if (!request)
      return;
    connection.Fault = DecideFault(parseRequest(*request));
    if (connection.Fault == ProxyFault::CloseBefore)
      close(connection);
    else if (connection.Fault == ProxyFault::Refuse)
      connection.Client.ToSend += RefusalText;
    else
      passOn(connection, std::move(*request));
  }
}

void FaultyProxy::passOn(Connection &connection, std::string request) {
  Stream &server = connection.Server;
  if (server.Socket < 0)
    server = {connectLoopback(ServerPort), "", ""};
  if (server.Socket < 0) {
    close(connection);
    return;
  }
  server.ToSend = std::move(request);
  connection.AwaitsAnswer = true;
}

void FaultyProxy::onAnswer(Connection &connection, const std::string &answer) {
  connection.AwaitsAnswer = false;
  switch (connection.Fault) {
  case ProxyFault::CloseAfter:
    close(connection);
    return;
  case ProxyFault::ResetAfter:
    reset(connection);
    return;
  case ProxyFault::CutAnswer:
    connection.Client.ToSend += answer.substr(0, answer.size() / 2);
    connection.ClosesOnceSent = true;
    return;
  case ProxyFault::StaySilent:
    connection.IsSilent = true;
    return;
  default:
    connection.Client.ToSend += answer;
  }
}

void FaultyProxy::close(Connection &connection) {
  closeSocket(connection.Client.Socket);
  closeSocket(connection.Server.Socket);
  connection.IsClosed = true;
}

void FaultyProxy::reset(Connection &connection) {
  const linger noLinger{1, 0};
  setsockopt(connection.Client.Socket, SOL_SOCKET, SO_LINGER, &noLinger,
             sizeof(noLinger));
  close(connection);
}

} // namespace oriolebay::testing_system
