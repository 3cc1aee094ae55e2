#include "peers.h"

#include "asyncchannel.h"
#include "asyncreplyserver.h"

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
    auto &channel = Channels[address];
    if (channel == nullptr)
      channel = std::make_unique<AsyncChannel>(Loop, address, ReportRefused);
    channel->call(message, timeoutMs, done);
  }

  std::string address() const { return Server.address(); }
  Peers::Handler Serve;

private:
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
