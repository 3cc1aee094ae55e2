#include "peers.h"

#include "asyncchannel.h"
#include "asyncreplyserver.h"
#include "peeraddress.h"
#include "utils/eventloop.h"

namespace oriolebay::endpoints {

namespace {

class NngPeers {
public:
  NngPeers(utils::EventLoop &loop, const std::string &address,
           const utils::OnRefusedMessage &onRefused)
      : Loop(loop), ReportRefused(onRefused),
        Server(
            loop, address,
            [this](const Message &m, const auto &respond) {
              if (Serve)
                Serve(m, respond);
              else
                respond(Ack{false, "not ready yet"});
            },
            onRefused) {}

  void call(const std::string &address, const Message &message, int timeoutMs,
            const Peers::Done &done) {
    AsyncChannel *channel = channelTo(address);
    if (channel != nullptr)
      channel->call(message, timeoutMs, done);
    else
      Loop.post([done] { done({std::nullopt, true}); });
  }

  std::string address() const { return Server.address(); }
  Peers::Handler Serve;

private:
  /// Null if the address cannot be called.
  AsyncChannel *channelTo(const std::string &address) {
    auto it = Channels.find(address);
    if (it != Channels.end())
      return it->second.get();
    if (!isPeerAddress(address))
      return nullptr;
    auto channel = std::make_unique<AsyncChannel>(Loop, address, ReportRefused);
    return Channels.emplace(address, std::move(channel)).first->second.get();
  }

  utils::EventLoop &Loop;
  const utils::OnRefusedMessage ReportRefused;
  AsyncReplyServer Server;
  std::map<std::string, std::unique_ptr<AsyncChannel>> Channels;
};

} // namespace

Peers makeNngPeers(utils::EventLoop &loop, const std::string &address,
                   const utils::OnRefusedMessage &onRefused) {
  auto impl = std::make_shared<NngPeers>(loop, address, onRefused);
  Peers peers;
  peers.Address = impl->address();
  peers.IsAddress = isPeerAddress;
  peers.Call = [impl](const std::string &to, const Message &message,
                      int timeoutMs, const Peers::Done &done) {
    impl->call(to, message, timeoutMs, done);
  };
  peers.Serve = [impl](Peers::Handler handler) {
    impl->Serve = std::move(handler);
  };
  return peers;
}

} // namespace oriolebay::endpoints
