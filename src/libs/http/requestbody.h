#pragma once

#include "refusedrequest.h"
#include "utils/memorybudget.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace oriolebay::http {

/// What the headers of a request say about its body.
struct BodyAnnouncement {
  /// Announced size; zero if the body is chunked.
  size_t Bytes = 0;
  bool IsChunked = false;

  bool operator==(const BodyAnnouncement &) const = default;
};

/// What a request with a body holds in a budget beside its body.
inline constexpr size_t RequestOverheadBytes = 2048;

/// The body of a request as far as it was received. It holds its bytes in a
/// budget: all of them once they are announced, else those that were received.
class RequestBody {
public:
  /// The budget may be null.
  RequestBody(size_t maxBytes,
              const std::shared_ptr<utils::MemoryBudget> &budget);

  /// Returns why the announced body is refused; nothing if it may come.
  std::optional<RefusalReason> begin(const BodyAnnouncement &announcement);
  /// Adds data. Returns why the body is refused from here on; nothing if more
  /// may come.
  std::optional<RefusalReason> append(const char *data, size_t bytes);
  /// Returns the number of bytes that were announced, or received without an
  /// announcement.
  size_t bytes() const;
  /// Returns the received data; the body is empty afterwards.
  std::string take() { return std::move(Data); }
  /// Returns what holds the body's bytes in the budget; null without a budget
  /// or the second time.
  std::shared_ptr<utils::MemoryReservation> takeReservation() {
    return std::move(Reservation);
  }
  /// Frees the received data and its bytes of the budget. No more may come.
  void discard();
  bool isDiscarded() const { return Discarded; }

private:
  [[nodiscard]] bool reserve(size_t bytes);
  /// Makes room for more data. Returns false when the budget has none.
  [[nodiscard]] bool makeRoom(size_t bytes);

  size_t MaxBytes;
  size_t AnnouncedBytes = 0;
  /// The reserved part of the body's size.
  size_t Capacity = 0;
  std::string Data;
  bool Discarded = false;
  std::shared_ptr<utils::MemoryReservation> Reservation;
};

} // namespace oriolebay::http
