#pragma once

#include "messages.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace oriolebay::utils {
class EventLoop;
}

namespace oriolebay::endpoints {

/// How a process talks to the system's other processes: requests with one
/// answer each. Everything happens on the owner's event loop.
struct Peers {
  /// Gets the answer, or nothing when none came in time: the peer may or may
  /// not have acted.
  using Done = std::function<void(const std::optional<Message> &)>;
  /// Answers a request, at once or later.
  using Respond = std::function<void(const Message &)>;
  using Handler = std::function<void(const Message &, const Respond &)>;

  /// Where others reach this process.
  std::string Address;
  std::function<void(const std::string &address, const Message &, int timeoutMs,
                     Done)>
      Call;
  /// Sets who answers requests; before that they wait.
  std::function<void(Handler)> Serve;
};

/// Peers over nng and TCP, listening on address ("tcp://IP:PORT", port 0: a
/// free one). Throws std::runtime_error when it cannot listen.
Peers makeNngPeers(utils::EventLoop &loop, const std::string &address);

} // namespace oriolebay::endpoints
