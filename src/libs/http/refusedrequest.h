#pragma once

#include "absl/time/time.h"

#include <cstddef>

namespace oriolebay::http {

/// Why a server refused a request or closed its connection.
enum class RefusalReason {
  /// The body is larger than the server accepts.
  TooLarge,
  /// The body finds no room in the memory budget.
  NoRoom,
  /// The request or the reading of its answer took too long.
  TooSlow,
  /// The connection or the bytes were given to another caller.
  PlaceGivenUp,
};

/// Returns the reason's name in events and metrics, as "too_large".
constexpr const char *refusalReasonName(RefusalReason reason) {
  switch (reason) {
  case RefusalReason::TooLarge:
    return "too_large";
  case RefusalReason::NoRoom:
    return "no_room";
  case RefusalReason::TooSlow:
    return "too_slow";
  case RefusalReason::PlaceGivenUp:
    return "place_given_up";
  }
  return "unknown";
}

/// A request that a server refused, or whose connection it closed.
struct RefusedRequest {
  RefusalReason Reason = RefusalReason::TooLarge;
  /// Announced size of the body, or its received part if it is chunked.
  size_t Bytes = 0;
  /// Time since the request began, or since the connection began to wait.
  absl::Duration Age = absl::ZeroDuration();

  bool operator==(const RefusedRequest &) const = default;
};

} // namespace oriolebay::http
