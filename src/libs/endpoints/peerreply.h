#pragma once

#include "messages.h"

#include <optional>
#include <variant>

namespace oriolebay::endpoints {

/// How a call to a peer ended. Without an answer the peer may have processed
/// the request, unless the request was not sent.
struct PeerReply {
  std::optional<Message> Answer;
  /// No connection has taken the request, and none will.
  bool NotSent = false;

  /// Returns the answer if it is a T, or else null.
  template <class T> const T *get() const {
    return Answer ? std::get_if<T>(&*Answer) : nullptr;
  }
  auto operator<=>(const PeerReply &) const = default;
};

} // namespace oriolebay::endpoints
