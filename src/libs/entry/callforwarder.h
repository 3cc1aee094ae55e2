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

/// Forwards callers' calls to other entries while the store does not serve this
/// one: the store may refuse single entries, or a network partition may
/// separate them from it, while it serves the others. Without forwarding, the
/// callers of such an entry would be asked to retry after a second, which
/// delays urgent jobs by that time. Owned by one event loop.
class CallForwarder {
public:
  /// Returns the addresses of the other entries, the preferred one first.
  using OtherEntries = std::function<std::vector<std::string>()>;
  /// Called with the answer, or with nothing if no entry answered.
  /// PossiblyExecuted: an entry may have executed the call although its answer
  /// is missing.
  using OnAnswer =
      std::function<void(const std::optional<endpoints::ForwardedAnswer> &,
                         bool possiblyExecuted)>;

  CallForwarder(utils::EventLoop &loop, const endpoints::Peers &peers,
                OtherEntries otherEntries);
  ~CallForwarder();
  CallForwarder(const CallForwarder &) = delete;
  CallForwarder &operator=(const CallForwarder &) = delete;

  /// Forwards a call. Returns false, without calling onAnswer, if no other
  /// entry is known or all of them are skipped because they recently failed to
  /// answer.
  bool forward(const endpoints::ForwardedCall &call, OnAnswer onAnswer);

private:
  struct PendingCall;

  std::vector<std::string> candidates() const;
  void tryNextEntry(const std::shared_ptr<PendingCall> &pending);

  utils::EventLoop &Loop;
  const endpoints::Peers &Peers;
  const OtherEntries ListOtherEntries;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  /// Entries that did not answer, and when they can be tried again.
  std::map<std::string, absl::Time> RetryTimes;
};

} // namespace oriolebay::entry
