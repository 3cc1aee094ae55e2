#include "requestbody.h"

#include <algorithm>

namespace oriolebay::http {

std::optional<RefusalReason>
RequestBody::begin(const BodyAnnouncement &announcement) {
  AnnouncedBytes = announcement.Bytes;
  if (announcement.Bytes > MaxBytes)
    return RefusalReason::TooLarge;
  if (announcement.IsChunked && MaxBytes == 0)
    return RefusalReason::TooLarge;
  Data.reserve(announcement.Bytes);
  return std::nullopt;
}

std::optional<RefusalReason> RequestBody::append(const char *data,
                                                 size_t bytes) {
  if (bytes > MaxBytes - Data.size())
    return RefusalReason::TooLarge;
  Data.append(data, bytes);
  return std::nullopt;
}

size_t RequestBody::bytes() const {
  return std::max(AnnouncedBytes, Data.size());
}

void RequestBody::discard() { std::string().swap(Data); }

} // namespace oriolebay::http
