#pragma once

#include <compare>
#include <cstdint>

namespace oriolebay::core {

/// Shape of a gang: the number of members, the accelerators that each member
/// needs on one worker, and the electric power in watts that each member draws
/// while it runs. Members of one gang run together or not at all.
struct Shape {
  int Members = 1;
  int AcceleratorsPerMember = 1;
  int PowerWattsPerMember = 0;

  /// Returns the number of accelerators of the whole gang.
  int accelerators() const { return Members * AcceleratorsPerMember; }
  /// Returns the power draw of the whole gang in watts.
  int64_t powerWatts() const {
    return static_cast<int64_t>(Members) * PowerWattsPerMember;
  }

  auto operator<=>(const Shape &) const = default;
};

} // namespace oriolebay::core
