#pragma once

#include "messages.h"
#include "peerreply.h"
#include "utils/refusedmessage.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace oriolebay::utils {
class EventLoop;
}

namespace oriolebay::endpoints {

/// Communication of a process with the other processes of the system, by
/// requests with one answer each. All callbacks run on the owner's event loop.
struct Peers {
  using Done = std::function<void(const PeerReply &)>;
  /// Sends the answer to a request, either from within the handler or later.
  using Respond = std::function<void(const Message &)>;
  using Handler = std::function<void(const Message &, const Respond &)>;

  /// Address at which other processes reach this process.
  std::string Address;
  /// Returns whether an address has the form of those that can be called.
  std::function<bool(const std::string &address)> IsAddress;
  /// Sends a request to address and waits up to timeoutMs for the answer. Ends
  /// soon without an answer if the address cannot be called.
  std::function<void(const std::string &address, const Message &, int timeoutMs,
                     Done)>
      Call;
  /// Sets the handler that answers requests. Earlier requests do not reach a
  /// handler; makeNngPeers() answers them with a negative Ack.
  std::function<void(Handler)> Serve;
};

/// Returns Peers that communicate over nng and TCP, listening on address
/// ("tcp://IP:PORT"; port 0 selects a free port). Messages and answers that
/// cannot be decoded are passed to onRefused. Throws std::runtime_error if it
/// cannot listen.
Peers makeNngPeers(utils::EventLoop &loop, const std::string &address,
                   const utils::OnRefusedMessage &onRefused);

} // namespace oriolebay::endpoints
