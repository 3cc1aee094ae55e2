#pragma once

#include "endpoints/peers.h"

#include <absl/time/time.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oriolebay::utils {
class EventLoop;
}

namespace oriolebay::entry {

/// Hands callers' calls to other entries while the store does not serve this
/// one: the store may turn single entries away, or a cut may part them from it,
/// while the others serve. Without it such a caller was told to come back in a
/// second, and urgent jobs came late by that. Owned by one event loop.
class CallForwarder {
public:
  /// The other entries' addresses, the best to ask first.
  using Others = std::function<std::vector<std::string>()>;
  /// The answer; nothing when no entry answered. MayBeDone: one of them may
  /// have carried the call out all the same.
  using Done = std::function<void(
      const std::optional<endpoints::ForwardedAnswer> &, bool mayBeDone)>;

  CallForwarder(utils::EventLoop &loop, const endpoints::Peers &peers,
                Others others);
  ~CallForwarder();
  CallForwarder(const CallForwarder &) = delete;
  CallForwarder &operator=(const CallForwarder &) = delete;

  /// False when no other entry is known to answer; Done is not called then.
  bool forward(const endpoints::ForwardedCall &call, Done done);

private:
  struct Exchange;

  std::vector<std::string> candidates() const;
  void ask(const std::shared_ptr<Exchange> &exchange);

  utils::EventLoop &Loop;
  const endpoints::Peers &Peers;
  const Others OthersNow;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  /// Entries that did not answer, and when they may be asked again.
  std::map<std::string, absl::Time> SilentUntil;
};

} // namespace oriolebay::entry
