#include "asyncchannel.h"

#include "pendingcall.h"
#include "utils/activity.h"
#include "utils/eventloop.h"

#include <map>

namespace oriolebay::endpoints {

struct AsyncChannel::Impl {
  utils::EventLoop &Loop;
  const std::string Address;
  std::shared_ptr<Internal::Socket> CurrentSocket;
  uint64_t NextCall = 0;
  struct Call {
    Done OnDone;
    std::unique_ptr<Internal::PendingCall> Pending;
  };
  std::map<uint64_t, Call> Calls;

  Impl(utils::EventLoop &loop, std::string address)
      : Loop(loop), Address(std::move(address)),
        CurrentSocket(std::make_shared<Internal::Socket>(Address)) {}

  void finish(uint64_t id, int ec, const std::string &reply) {
    auto it = Calls.find(id);
    if (it == Calls.end())
      return;
    Call call = std::move(it->second);
    Calls.erase(it);
    const utils::ActivityScope activity("answer of a peer", Address);
    if (ec == 0) {
      call.OnDone(decode(reply));
      return;
    }
    if (CurrentSocket == call.Pending->socket())
      CurrentSocket = std::make_shared<Internal::Socket>(Address);
    call.OnDone(
        utils::fail(utils::ErrorKind::Transport,
                    "no answer from " + Address + ": " + nng_strerror(ec),
                    "check that the peer runs and is reachable"));
  }
};

AsyncChannel::AsyncChannel(utils::EventLoop &loop, std::string address)
    : D(std::make_shared<Impl>(loop, std::move(address))) {}

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
