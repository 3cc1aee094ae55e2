#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>

namespace oriolebay::utils {

/// A message from another process that cannot be read, and was refused or, if
/// it was an answer, not used. Kind: what it should have been. Subject: its
/// request line, or the address of the peer; empty if that is unknown.
struct RefusedMessage {
  std::string Kind;
  std::string Subject;
  size_t Bytes = 0;
  std::string Why;

  auto operator<=>(const RefusedMessage &) const = default;
};

using OnRefusedMessage = std::function<void(const RefusedMessage &)>;

} // namespace oriolebay::utils
