#include "requestbody.h"

#include <algorithm>

namespace oriolebay::http {

RequestBody::RequestBody(size_t maxBytes,
                         const std::shared_ptr<utils::MemoryBudget> &budget)
    : MaxBytes(maxBytes) {
  if (budget != nullptr)
    Reservation = std::make_shared<utils::MemoryReservation>(budget);
}

bool RequestBody::reserve(size_t bytes) {
  return Reservation == nullptr || Reservation->tryGrow(bytes);
}

std::optional<RefusalReason>
RequestBody::begin(const BodyAnnouncement &announcement) {
  AnnouncedBytes = announcement.Bytes;
  if (announcement.Bytes > MaxBytes)
    return RefusalReason::TooLarge;
  if (announcement.IsChunked && MaxBytes == 0)
    return RefusalReason::TooLarge;
  if (announcement.Bytes == 0 && !announcement.IsChunked)
    return std::nullopt;
  if (!reserve(RequestOverheadBytes + announcement.Bytes))
    return RefusalReason::NoRoom;
  Capacity = announcement.Bytes;
  Data.reserve(Capacity);
  return std::nullopt;
}

std::optional<RefusalReason> RequestBody::append(const char *data,
                                                 size_t bytes) {
  if (bytes > MaxBytes - Data.size())
    return RefusalReason::TooLarge;
  if (!makeRoom(bytes))
    return RefusalReason::NoRoom;
  Data.append(data, bytes);
  return std::nullopt;
}

// The buffer of a chunked body doubles, so that its data is copied seldom.
bool RequestBody::makeRoom(size_t bytes) {
  const size_t needed = Data.size() + bytes;
  if (needed <= Capacity)
    return true;
  const size_t capacity = std::min(MaxBytes, std::max(needed, 2 * Capacity));
  if (!reserve(capacity - Capacity))
    return false;
  Capacity = capacity;
  Data.reserve(Capacity);
  return true;
}

size_t RequestBody::bytes() const {
  return std::max(AnnouncedBytes, Data.size());
}

void RequestBody::discard() {
  std::string().swap(Data);
  Reservation.reset();
  Discarded = true;
}

} // namespace oriolebay::http
