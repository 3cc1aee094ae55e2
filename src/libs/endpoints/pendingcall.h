#pragma once

#include "messages.h"
#include "socketcloser.h"

#include <nng/nng.h>
#include <nng/protocol/reqrep0/req.h>

#include <functional>
#include <memory>
#include <string>

namespace oriolebay::endpoints {

namespace Internal {

/// One nng req socket. A call that still uses the socket keeps it open after
/// the channel has replaced it by a new one.
class Socket {
public:
  explicit Socket(const std::string &address) {
    Error = nng_req0_open(&Handle);
    if (Error != 0)
      return;
    nng_socket_set_ms(Handle, NNG_OPT_REQ_RESENDTIME, NNG_DURATION_INFINITE);
    nng_socket_set_size(Handle, NNG_OPT_RECVMAXSZ, MaxMessageBytes);
    nng_socket_set_ms(Handle, NNG_OPT_RECONNMINT, ReconnectMinMs);
    nng_socket_set_ms(Handle, NNG_OPT_RECONNMAXT, ReconnectMaxMs);
    Error = nng_dial(Handle, address.c_str(), nullptr, NNG_FLAG_NONBLOCK);
  }
  ~Socket() {
    if (Handle.id != 0)
      closeInBackground(Handle);
  }
  Socket(const Socket &) = delete;
  Socket &operator=(const Socket &) = delete;

  nng_socket Handle = NNG_SOCKET_INITIALIZER;
  /// The nng error number if the socket will never connect; zero if it may.
  int Error = 0;

private:
  static constexpr int ReconnectMinMs = 50;
  static constexpr int ReconnectMaxMs = 1000;
};

/// How a call ended: with the reply, or with an nng error number. Without Sent,
/// no connection has taken the request, and none will.
struct CallOutcome {
  int Error = 0;
  bool Sent = false;
  std::string Reply = {};

  bool ok() const { return Error == 0; }
};

/// One request on its own nng context. It sends, receives and reports its
/// outcome on nng's threads, so that no thread of this process waits for it. On
/// a socket that cannot connect it reports that at once, from the constructor.
class PendingCall {
public:
  using Done = std::function<void(const CallOutcome &)>;

  PendingCall(std::shared_ptr<Socket> socket, const Message &message,
              int timeoutMs, Done done)
      : RequestSocket(std::move(socket)), OnDone(std::move(done)) {
    if (RequestSocket->Error != 0) {
      OnDone({RequestSocket->Error, false});
      return;
    }
    nng_ctx_open(&Ctx, RequestSocket->Handle);
    nng_aio_alloc(&Aio, &PendingCall::onEvent, this);
    nng_aio_set_timeout(Aio, timeoutMs);
    const std::string bytes = encode(message);
    nng_msg *msg = nullptr;
    nng_msg_alloc(&msg, 0);
    nng_msg_append(msg, bytes.data(), bytes.size());
    nng_aio_set_msg(Aio, msg);
    nng_ctx_send(Ctx, Aio);
  }
  ~PendingCall() {
    nng_aio_free(Aio);
    nng_ctx_close(Ctx);
  }
  PendingCall(const PendingCall &) = delete;
  PendingCall &operator=(const PendingCall &) = delete;

  const std::shared_ptr<Socket> &socket() const { return RequestSocket; }

private:
  static void onEvent(void *self) {
    static_cast<PendingCall *>(self)->advance();
  }

  /// Handles the end of the send, and then the end of the receive. nng ends a
  /// send once a connection has taken the request, and withdraws the request
  /// if the send fails.
  void advance() {
    const int ec = nng_aio_result(Aio);
    if (!RequestSent) {
      if (ec != 0) {
        nng_msg_free(nng_aio_get_msg(Aio));
        nng_aio_set_msg(Aio, nullptr);
        return OnDone({ec, false});
      }
      RequestSent = true;
      nng_ctx_recv(Ctx, Aio);
      return;
    }
    std::string reply;
    if (ec == 0) {
      nng_msg *msg = nng_aio_get_msg(Aio);
      reply.assign(static_cast<const char *>(nng_msg_body(msg)),
                   nng_msg_len(msg));
      nng_msg_free(msg);
    }
    OnDone({ec, true, std::move(reply)});
  }

  std::shared_ptr<Socket> RequestSocket;
  const Done OnDone;
  nng_ctx Ctx = NNG_CTX_INITIALIZER;
  nng_aio *Aio = nullptr;
  bool RequestSent = false;
};

} // namespace Internal

} // namespace oriolebay::endpoints
