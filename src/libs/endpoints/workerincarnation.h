#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace oriolebay::endpoints {

/// One incarnation of a worker, from a start of its process to its end. A
/// worker may restart under the same id, without any of its previous tasks and
/// state. BornMs, the time of day of the start in milliseconds since 1970,
/// distinguishes the incarnations. It does not order them, because clocks can
/// be set back. Zero if unknown.
struct WorkerIncarnation {
  std::string Id;
  int64_t BornMs = 0;

  bool empty() const { return Id.empty(); }
  /// Returns the same worker id without a start time, which stands for any
  /// incarnation under that id.
  WorkerIncarnation withoutStartTime() const { return {Id, 0}; }
  /// Returns whether another incarnation may follow under the same id. Workers
  /// that report no start time get another id with each start.
  bool mayReuseId() const { return BornMs != 0; }
  auto operator<=>(const WorkerIncarnation &) const = default;
  template <class H>
  // NOLINTNEXTLINE(readability-identifier-naming): Abseil's name for it.
  friend H AbslHashValue(H h, const WorkerIncarnation &incarnation) {
    return H::combine(std::move(h), incarnation.Id, incarnation.BornMs);
  }
};

} // namespace oriolebay::endpoints
