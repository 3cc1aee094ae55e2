#include "requesthead.h"

#include <microhttpd.h>

#include <charconv>
#include <cstdint>
#include <string_view>

namespace oriolebay::http {

namespace {

// libmicrohttpd has refused what is no number.
size_t sizeOf(std::string_view text) {
  size_t bytes = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), bytes);
  return ec == std::errc() ? bytes : SIZE_MAX;
}

} // namespace

BodyAnnouncement bodyAnnouncementOf(MHD_Connection *connection) {
  BodyAnnouncement announcement;
  announcement.IsChunked =
      MHD_lookup_connection_value(connection, MHD_HEADER_KIND,
                                  MHD_HTTP_HEADER_TRANSFER_ENCODING) != nullptr;
  const char *length = MHD_lookup_connection_value(
      connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
  if (length != nullptr && !announcement.IsChunked)
    announcement.Bytes = sizeOf(length);
  return announcement;
}

} // namespace oriolebay::http
