#include "mhdmessages.h"

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

MHD_Result queueResponse(MHD_Connection *connection,
                         const HttpResponse &response, bool closesConnection) {
  MHD_Response *reply = MHD_create_response_from_buffer(
      response.Body.size(), const_cast<char *>(response.Body.data()),
      MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(reply, "Content-Type", response.ContentType.c_str());
  for (const auto &[name, value] : response.Headers)
    MHD_add_response_header(reply, name.c_str(), value.c_str());
  if (closesConnection)
    MHD_add_response_header(reply, "Connection", "close");
  const MHD_Result ec = MHD_queue_response(
      connection, static_cast<unsigned>(response.Status), reply);
  MHD_destroy_response(reply);
  return ec;
}

HttpResponse refusalOf(RefusalReason reason, const HttpResponse &noRoom) {
  if (reason == RefusalReason::NoRoom)
    return noRoom;
  return {413, R"({"error":"the body is too large; send a smaller one"})"};
}

} // namespace oriolebay::http
