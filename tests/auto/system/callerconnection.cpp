#include "callerconnection.h"

#include "httptext.h"

#include <absl/time/clock.h>

#include <algorithm>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace oriolebay::testing_system {

namespace {

std::string textOf(const CallerRequest &request) {
  return request.Method + " " + request.Path +
         " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + request.Key +
         "\r\nOriolebay-Deadline-Ms: " +
         std::to_string(absl::ToInt64Milliseconds(request.Deadline)) +
         "\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(request.Body.size()) + "\r\n\r\n" + request.Body;
}

} // namespace

CallerConnection::~CallerConnection() { disconnect(); }

void CallerConnection::disconnect() {
  if (Socket >= 0)
    close(Socket);
  Socket = -1;
}

bool CallerConnection::isStale() const {
  pollfd p{Socket, POLLIN, 0};
  return poll(&p, 1, 0) != 0;
}

bool CallerConnection::connectTo(int port) {
  if (Socket >= 0 && Port == port && !isStale())
    return true;
  disconnect();
  Port = port;
  Socket = connectLoopback(port);
  return Socket >= 0;
}

CallerAnswer CallerConnection::call(int port, const CallerRequest &request,
                                    absl::Duration grace) {
  const absl::Time end = absl::Now() + request.Deadline + grace;
  const std::string text = textOf(request);
  if (!connectTo(port))
    return {};
  const ssize_t sent = send(Socket, text.data(), text.size(), MSG_NOSIGNAL);
  CallerAnswer answer;
  if (sent == static_cast<ssize_t>(text.size()))
    answer = awaitAnswer(end);
  if (answer.Status == 0)
    disconnect();
  return answer;
}

CallerAnswer CallerConnection::awaitAnswer(absl::Time end) {
  std::string arrived;
  char data[4096];
  while (true) {
    const int64_t left =
        std::max<int64_t>(absl::ToInt64Milliseconds(end - absl::Now()), 0);
    pollfd p{Socket, POLLIN, 0};
    if (poll(&p, 1, static_cast<int>(left)) == 0)
      return {0, "", true};
    const ssize_t n = recv(Socket, data, sizeof(data), 0);
    if (n <= 0)
      return {};
    arrived.append(data, static_cast<size_t>(n));
    if (const auto answer = takeHttpMessage(arrived))
      return {httpStatus(*answer), httpBody(*answer), false};
  }
}

} // namespace oriolebay::testing_system
