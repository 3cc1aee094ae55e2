#include "crowd.h"

#include "httptext.h"
#include "waituntil.h"

#include <absl/time/clock.h>

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace oriolebay::testing_system {

namespace {

constexpr int PollTimeoutMs = 20;

} // namespace

size_t CrowdMessage::size() const {
  return Start.size() + Part.size() * Parts + End.size();
}

std::string CrowdMessage::text() const {
  std::string all;
  for (std::string_view bytes = next(0); !bytes.empty();
       bytes = next(all.size()))
    all += bytes;
  return all;
}

std::string_view CrowdMessage::next(size_t sent) const {
  if (sent < Start.size())
    return std::string_view(Start).substr(sent);
  sent -= Start.size();
  if (sent < Part.size() * Parts)
    return std::string_view(Part).substr(sent % Part.size());
  sent -= Part.size() * Parts;
  return std::string_view(End).substr(std::min(sent, End.size()));
}

Crowd::Crowd(int port, std::vector<CrowdMessage> messages, int expectedAnswers)
    : ExpectedAnswers(static_cast<size_t>(expectedAnswers)),
      NextTrickle(absl::Now()) {
  for (CrowdMessage &message : messages) {
    Clients.emplace_back();
    Clients.back().Message = std::move(message);
    connectTo(port, Clients.back());
  }
  Thread = std::thread([this] { run(); });
}

Crowd::~Crowd() { leave(); }

void Crowd::connectTo(int port, Client &client) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  client.Socket =
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int on = 1;
  setsockopt(client.Socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const int ec = connect(client.Socket, reinterpret_cast<sockaddr *>(&address),
                         sizeof(address));
  if (ec != 0 && errno != EINPROGRESS)
    disconnect(client);
}

void Crowd::run() {
  while (!Leaving) {
    pollOnce();
    trickle();
    AllDone = std::all_of(Clients.begin(), Clients.end(),
                          [this](const Client &c) { return isDone(c); });
  }
}

void Crowd::pollOnce() {
  std::vector<pollfd> sockets;
  for (const Client &client : Clients) {
    short events = POLLRDHUP;
    if (client.Message.ReadsAnswers)
      events |= POLLIN;
    if (!client.Message.next(client.Sent).empty())
      events |= POLLOUT;
    // poll() passes over a negative descriptor.
    sockets.push_back({client.Socket, events, 0});
  }
  poll(sockets.data(), sockets.size(), PollTimeoutMs);
  for (size_t n = 0; n < Clients.size(); ++n)
    if (sockets[n].revents != 0)
      handle(Clients[n], sockets[n].revents);
}

void Crowd::handle(Client &client, short events) {
  const bool isClosed = (events & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  if (client.Message.ReadsAnswers && (isClosed || (events & POLLIN) != 0))
    receive(client);
  else if (isClosed)
    disconnect(client);
  if (client.Socket >= 0 && (events & POLLOUT) != 0)
    send(client);
}

void Crowd::send(Client &client) {
  const std::string_view bytes = client.Message.next(client.Sent);
  const ssize_t n =
      ::send(client.Socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  if (n > 0) {
    client.Sent += static_cast<size_t>(n);
    MovedBytes += n;
  } else if (errno != EAGAIN) {
    receive(client);
    disconnect(client);
  }
}

void Crowd::receive(Client &client) {
  char data[16384];
  const ssize_t n = recv(client.Socket, data, sizeof(data), 0);
  if (n <= 0) {
    if (n == 0 || errno != EAGAIN)
      disconnect(client);
    return;
  }
  MovedBytes += n;
  client.Arrived.append(data, static_cast<size_t>(n));
  while (const auto answer = takeHttpMessage(client.Arrived))
    client.Statuses.push_back(httpStatus(*answer));
}

void Crowd::trickle() {
  if (absl::Now() < NextTrickle)
    return;
  NextTrickle = absl::Now() + TrickleInterval;
  for (Client &client : Clients) {
    const std::string &bytes = client.Message.Trickle;
    if (client.Socket >= 0 && client.Sent == client.Message.size() &&
        !bytes.empty())
      ::send(client.Socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
}

bool Crowd::isDone(const Client &client) const {
  return client.Socket < 0 || (client.Sent == client.Message.size() &&
                               client.Statuses.size() >= ExpectedAnswers);
}

void Crowd::disconnect(Client &client) {
  if (client.Socket >= 0)
    close(client.Socket);
  client.Socket = -1;
}

void Crowd::awaitHeld() const {
  if (ExpectedAnswers > 0) {
    testwaits::waitUntil([this] { return AllDone.load(); });
    return;
  }
  int64_t moved = -1;
  absl::Time movedAt = absl::Now();
  testwaits::waitUntil([&] {
    if (const int64_t now = MovedBytes; now != moved) {
      moved = now;
      movedAt = absl::Now();
    }
    return AllDone || absl::Now() > movedAt + QuietTime;
  });
}

void Crowd::leave() {
  if (Leaving.exchange(true))
    return;
  Thread.join();
  for (Client &client : Clients)
    disconnect(client);
}

std::vector<std::vector<int>> Crowd::statuses() const {
  std::vector<std::vector<int>> all;
  for (const Client &client : Clients)
    all.push_back(client.Statuses);
  return all;
}

} // namespace oriolebay::testing_system
