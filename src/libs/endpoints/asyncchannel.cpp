#include "asyncchannel.h"

#include "pendingcall.h"
#include "utils/activity.h"
#include "utils/eventloop.h"

#include <map>
#include <optional>

namespace oriolebay::endpoints {

struct AsyncChannel::Impl {
  utils::EventLoop &Loop;
  const std::string Address;
  const utils::OnRefusedMessage ReportRefused;
  std::shared_ptr<Internal::Socket> CurrentSocket;
  uint64_t NextCall = 0;
  struct Call {
    Done OnDone;
    std::unique_ptr<Internal::PendingCall> Pending;
  };
  std::map<uint64_t, Call> Calls;

  Impl(utils::EventLoop &loop, std::string address,
       utils::OnRefusedMessage onRefused)
      : Loop(loop), Address(std::move(address)),
        ReportRefused(std::move(onRefused)),
        CurrentSocket(std::make_shared<Internal::Socket>(Address)) {}

  void finish(uint64_t id, int ec, const std::string &reply) {
    auto it = Calls.find(id);
    if (it == Calls.end())
      return;
    Call call = std::move(it->second);
    Calls.erase(it);
    const utils::ActivityScope activity("answer of a peer", Address);
    if (ec == 0) {
      call.OnDone(decodeReply(reply));
      return;
    }
    if (CurrentSocket == call.Pending->socket())
      CurrentSocket = std::make_shared<Internal::Socket>(Address);
    call.OnDone(
        utils::fail(utils::ErrorKind::Transport,
                    "no answer from " + Address + ": " + nng_strerror(ec),
                    "check that the peer runs and is reachable"));
  }

  utils::Result<Message> decodeReply(const std::string &reply) const {
    std::optional<Message> message = utils::handle<std::optional<Message>>(
        [&]() -> utils::Result<std::optional<Message>> {
          BOOST_LEAF_AUTO(decoded, decode(reply));
          return std::optional<Message>(std::move(decoded));
        },
        [&](const utils::Error &e) {
          ReportRefused({"answer of a peer", Address, reply.size(), e.Message});
          return std::optional<Message>();
        });
    if (message)
      return std::move(*message);
    return utils::fail(utils::ErrorKind::BadMessage,
                       "unreadable answer from " + Address,
                       "run the same version of entry and agent");
  }
};

AsyncChannel::AsyncChannel(utils::EventLoop &loop, std::string address,
                           utils::OnRefusedMessage onRefused)
    : D(std::make_shared<Impl>(loop, std::move(address),
                               std::move(onRefused))) {}

AsyncChannel::~AsyncChannel() = default;

const std::string &AsyncChannel::address() const { return D->Address; }

void AsyncChannel::call(const Message &message, int timeoutMs, Done done) {
  const uint64_t id = ++D->NextCall;
  // The answer may arrive before the map holds the pending call. This is safe
  // because it is posted to the loop, which finishes this function first.
  D->Calls[id].OnDone = std::move(done);
  D->Calls[id].Pending = std::make_unique<Internal::PendingCall>(
      D->CurrentSocket, message, timeoutMs,
      [weak = std::weak_ptr<Impl>(D), &loop = D->Loop,
       id](int ec, const std::string &reply) {
        loop.post([weak, id, ec, reply] {
          if (auto impl = weak.lock())
            impl->finish(id, ec, reply);
        });
      });
}

} // namespace oriolebay::endpoints
