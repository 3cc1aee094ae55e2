#include "asyncreplyserver.h"

#include "messagequeue.h"
#include "socketcloser.h"
#include "utils/activity.h"
#include "utils/eventloop.h"

#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>

#include <atomic>
#include <optional>
#include <stdexcept>
#include <vector>

namespace oriolebay::endpoints {

namespace {
/// Maximum number of requests that are unanswered at the same time. Further
/// requests wait in the sockets.
constexpr int MaxExchanges = 16;
} // namespace

struct AsyncReplyServer::Impl {
  utils::EventLoop &Loop;
  const Handler Serve;
  const utils::OnRefusedMessage ReportRefused;
  nng_socket Socket = NNG_SOCKET_INITIALIZER;
  std::string BoundAddress;
  std::atomic<bool> Closed{false};
  std::vector<std::unique_ptr<Exchange>> Exchanges;
  Internal::MessageQueue Received;

  Impl(utils::EventLoop &loop, Handler serve, utils::OnRefusedMessage onRefused)
      : Loop(loop), Serve(std::move(serve)),
        ReportRefused(std::move(onRefused)), Received(loop) {}
};

/// One nng context: receives a request, waits for its answer, sends the answer
/// and receives the next request.
class AsyncReplyServer::Exchange {
public:
  Exchange(Impl &server, std::weak_ptr<Impl> weak)
      : Server(server), WeakServer(std::move(weak)) {
    nng_ctx_open(&Ctx, Server.Socket);
    nng_aio_alloc(&Aio, &Exchange::onEvent, this);
    receive();
  }
  ~Exchange() {
    nng_aio_free(Aio);
    nng_ctx_close(Ctx);
  }
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;

private:
  static void onEvent(void *self) { static_cast<Exchange *>(self)->advance(); }

  void receive() {
    Sending = false;
    nng_ctx_recv(Ctx, Aio);
  }

  void advance() {
    const int ec = nng_aio_result(Aio);
    if (Server.Closed || ec == NNG_ECLOSED || ec == NNG_ECANCELED)
      return;
    if (Sending) {
      // On an error the requester is gone, and the answer is discarded.
      if (ec != 0)
        nng_msg_free(nng_aio_get_msg(Aio));
      receive();
      return;
    }
    if (ec != 0) {
      receive();
      return;
    }
    nng_msg *msg = nng_aio_get_msg(Aio);
    std::string bytes(static_cast<const char *>(nng_msg_body(msg)),
                      nng_msg_len(msg));
    nng_msg_free(msg);
    Server.Loop.post([this, weak = WeakServer, bytes = std::move(bytes)] {
      auto server = weak.lock();
      if (!server)
        return;
      server->Received.handle(bytes.size(), [this, weak, bytes] {
        if (auto server = weak.lock())
          serve(weak, bytes);
      });
    });
  }

  void serve(const std::weak_ptr<Impl> &weak, const std::string &bytes) {
    auto respond = [this, weak](const Message &reply) {
      if (auto server = weak.lock())
        send(reply);
    };
    const std::optional<Message> request = decodeOrRefuse(bytes, respond);
    if (!request)
      return;
    const utils::ActivityScope activity("message of a peer",
                                        messageName(*request));
    Server.Serve(*request, respond);
  }

  std::optional<Message> decodeOrRefuse(const std::string &bytes,
                                        const Respond &respond) {
    return utils::handle<std::optional<Message>>(
        [&]() -> utils::Result<std::optional<Message>> {
          BOOST_LEAF_AUTO(request, decode(bytes));
          return std::optional<Message>(std::move(request));
        },
        [&](const utils::Error &e) {
          Server.ReportRefused(
              {"message of a peer", "", bytes.size(), e.Message});
          respond(Ack{false, e.text()});
          return std::optional<Message>();
        });
  }

  void send(const Message &reply) {
    const std::string bytes = encode(reply);
    nng_msg *msg = nullptr;
    nng_msg_alloc(&msg, 0);
    nng_msg_append(msg, bytes.data(), bytes.size());
    nng_aio_set_msg(Aio, msg);
    Sending = true;
    nng_ctx_send(Ctx, Aio);
  }

  Impl &Server;
  const std::weak_ptr<Impl> WeakServer;
  nng_ctx Ctx = NNG_CTX_INITIALIZER;
  nng_aio *Aio = nullptr;
  bool Sending = false;
};

AsyncReplyServer::AsyncReplyServer(utils::EventLoop &loop,
                                   const std::string &address, Handler handler,
                                   utils::OnRefusedMessage onRefused)
    : D(std::make_shared<Impl>(loop, std::move(handler),
                               std::move(onRefused))) {
  if (nng_rep0_open(&D->Socket) != 0)
    throw std::runtime_error("cannot open an nng reply socket");
  nng_socket_set_size(D->Socket, NNG_OPT_RECVMAXSZ, MaxMessageBytes);
  nng_listener listener;
  const int ec = nng_listen(D->Socket, address.c_str(), &listener, 0);
  if (ec != 0) {
    nng_close(D->Socket);
    throw std::runtime_error("cannot listen on " + address + ": " +
                             nng_strerror(ec));
  }
  int port = 0;
  nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port);
  D->BoundAddress =
      address.substr(0, address.rfind(':') + 1) + std::to_string(port);
  for (int i = 0; i < MaxExchanges; ++i)
    D->Exchanges.push_back(std::make_unique<Exchange>(*D, D));
}

AsyncReplyServer::~AsyncReplyServer() {
  D->Closed = true;
  Internal::closeInBackground(D->Socket);
  D->Exchanges.clear();
}

std::string AsyncReplyServer::address() const { return D->BoundAddress; }

} // namespace oriolebay::endpoints
