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

  void finish(uint64_t id, const Internal::CallOutcome &outcome) {
    auto it = Calls.find(id);
    if (it == Calls.end())
      return;
    Call call = std::move(it->second);
    Calls.erase(it);
    const utils::ActivityScope activity("answer of a peer", Address);
    if (outcome.ok()) {
      call.OnDone({decodeReply(outcome.Reply)});
      return;
    }
    if (CurrentSocket == call.Pending->socket())
      CurrentSocket = std::make_shared<Internal::Socket>(Address);
    call.OnDone({std::nullopt, !outcome.Sent});
  }

  std::optional<Message> decodeReply(const std::string &reply) const {
    return utils::handle<std::optional<Message>>(
        [&]() -> utils::Result<std::optional<Message>> {
          BOOST_LEAF_AUTO(decoded, decode(reply));
          return std::optional<Message>(std::move(decoded));
        },
        [&](const utils::Error &e) {
          ReportRefused({"answer of a peer", Address, reply.size(), e.Message});
          return std::optional<Message>();
        });
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
       id](const Internal::CallOutcome &outcome) {
        loop.post([weak, id, outcome] {
          if (auto impl = weak.lock())
            impl->finish(id, outcome);
        });
      });
}

} // namespace oriolebay::endpoints
