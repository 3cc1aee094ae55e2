#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace oriolebay::endpoints {

/// One life of a worker: from a start of its process to its end. A worker may
/// start again under the id that it had, holding and knowing nothing of before.
/// BornMs, the time of day of its start in milliseconds since 1970, tells its
/// lives apart; it does not order them, as clocks step back. Zero: not known.
struct WorkerLife {
  std::string Id;
  int64_t BornMs = 0;

  bool empty() const { return Id.empty(); }
  /// Whichever life answers to the id.
  WorkerLife ofAnyBirth() const { return {Id, 0}; }
  auto operator<=>(const WorkerLife &) const = default;
  template <class H>
  // NOLINTNEXTLINE(readability-identifier-naming): Abseil's name for it.
  friend H AbslHashValue(H h, const WorkerLife &life) {
    return H::combine(std::move(h), life.Id, life.BornMs);
  }
};

} // namespace oriolebay::endpoints
