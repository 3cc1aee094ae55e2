#pragma once

#include "refusedrequest.h"

#include <cstddef>
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

/// The body of a request as far as it was received.
class RequestBody {
public:
  explicit RequestBody(size_t maxBytes) : MaxBytes(maxBytes) {}

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
  /// Frees the received data.
  void discard();

private:
  size_t MaxBytes;
  size_t AnnouncedBytes = 0;
  std::string Data;
};

} // namespace oriolebay::http
