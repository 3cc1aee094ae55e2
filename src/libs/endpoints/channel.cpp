#include "channel.h"

#include "pendingcall.h"

#include <nng/protocol/reqrep0/rep.h>

#include <deque>
#include <optional>
#include <stdexcept>

namespace oriolebay::endpoints {

namespace {

PeerReply replyOf(const Internal::CallOutcome &outcome) {
  if (!outcome.ok())
    return {std::nullopt, !outcome.Sent};
  return utils::handle<PeerReply>(
      [&]() -> utils::Result<PeerReply> {
        BOOST_LEAF_AUTO(answer, decode(outcome.Reply));
        return PeerReply{std::move(answer)};
      },
      [](const utils::Error &) { return PeerReply{}; });
}

} // namespace

RequestChannel::RequestChannel(std::string address)
    : Address(std::move(address)),
      CurrentSocket(std::make_shared<Internal::Socket>(Address)) {}

RequestChannel::~RequestChannel() = default;

std::shared_ptr<Internal::Socket> RequestChannel::socket() {
  absl::MutexLock lock(&Mu);
  return CurrentSocket;
}

// A connection can stop working permanently while new ones work, which shows as
// a call without an answer. The next call then opens a new connection instead
// of waiting on the broken one.
void RequestChannel::replaceSocket(
    const std::shared_ptr<Internal::Socket> &unresponsive) {
  absl::MutexLock lock(&Mu);
  if (CurrentSocket == unresponsive)
    CurrentSocket = std::make_shared<Internal::Socket>(Address);
}

void callAll(const std::vector<std::shared_ptr<RequestChannel>> &channels,
             const std::vector<Message> &messages, int timeoutMs,
             const OnReply &onReply) {
  absl::Mutex mu;
  size_t unanswered = channels.size();
  std::vector<Internal::CallOutcome> outcomes(channels.size());
  std::deque<size_t> ended;
  std::vector<std::unique_ptr<Internal::PendingCall>> calls;
  for (size_t i = 0; i < channels.size(); ++i)
    calls.push_back(std::make_unique<Internal::PendingCall>(
        channels[i]->socket(), messages[i], timeoutMs,
        [&, i](const Internal::CallOutcome &outcome) {
          absl::MutexLock lock(&mu);
          outcomes[i] = outcome;
          ended.push_back(i);
        }));
  while (unanswered > 0) {
    size_t i = 0;
    {
      auto anyEnded = [&] { return !ended.empty(); };
      absl::MutexLock lock(&mu, absl::Condition(&anyEnded));
      i = ended.front();
      ended.pop_front();
    }
    --unanswered;
    const Internal::CallOutcome &outcome = outcomes[i];
    if (!outcome.ok())
      channels[i]->replaceSocket(calls[i]->socket());
    onReply(i, replyOf(outcome));
  }
}

PeerReply RequestChannel::call(const std::shared_ptr<RequestChannel> &channel,
                               const Message &message, int timeoutMs) {
  PeerReply out;
  callAll({channel}, {message}, timeoutMs,
          [&](size_t, const PeerReply &reply) { out = reply; });
  return out;
}

ReplyServer::ReplyServer(const std::string &address, Handler handler)
    : Handle(std::move(handler)) {
  if (nng_rep0_open(&Socket) != 0)
    throw std::runtime_error("cannot open an nng reply socket");
  nng_socket_set_size(Socket, NNG_OPT_RECVMAXSZ, MaxMessageBytes);
  nng_listener listener;
  int rv = nng_listen(Socket, address.c_str(), &listener, 0);
  if (rv != 0)
    throw std::runtime_error("cannot listen on " + address + ": " +
                             nng_strerror(rv));
  int port = 0;
  nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port);
  BoundAddress =
      address.substr(0, address.rfind(':') + 1) + std::to_string(port);
  Thread = std::thread([this] { serve(); });
}

ReplyServer::~ReplyServer() { stop(); }

void ReplyServer::stop() {
  if (Stopping.exchange(true))
    return;
  // Closing the socket makes the blocked nng_recv return NNG_ECLOSED, so the
  // server thread needs no receive timeout to detect the stop.
  nng_close(Socket);
  if (Thread.joinable())
    Thread.join();
}

void ReplyServer::serve() {
  while (!Stopping) {
    char *buf = nullptr;
    size_t n = 0;
    if (nng_recv(Socket, &buf, &n, NNG_FLAG_ALLOC) != 0)
      continue;
    std::string bytes(buf, n);
    nng_free(buf, n);
    ++Messages;
    Bytes += static_cast<int64_t>(n);
    Message reply = utils::handle<Message>(
        [&]() -> utils::Result<Message> {
          BOOST_LEAF_AUTO(request, decode(bytes));
          return Handle(request);
        },
        [](const utils::Error &e) -> Message {
          return Ack{false, e.text()};
        });
    std::string out = encode(reply);
    nng_send(Socket, out.data(), out.size(), 0);
  }
}

} // namespace oriolebay::endpoints
