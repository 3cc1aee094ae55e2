#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace oriolebay::platform {

/// One key of the platform's store, with its value, the revisions at which it
/// was created and last changed, and the lease that it is attached to (zero if
/// none).
struct KeyValue {
  std::string Key;
  std::string Value;
  int64_t CreateRevision = 0;
  int64_t ModRevision = 0;
  int64_t Lease = 0;

  auto operator<=>(const KeyValue &) const = default;
};

} // namespace oriolebay::platform
