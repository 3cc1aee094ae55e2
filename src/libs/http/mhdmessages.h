#pragma once

#include "httpserver.h"
#include "requestbody.h"

#include <microhttpd.h>

namespace oriolebay::http {

/// Returns what the headers of a connection's request say about its body.
BodyAnnouncement bodyAnnouncementOf(MHD_Connection *connection);

/// Answers a connection's request. An answer that precedes the body of its
/// request closes the connection.
MHD_Result queueResponse(MHD_Connection *connection,
                         const HttpResponse &response, bool closesConnection);

/// Returns the answer to a request that is refused before its body; noRoom is
/// the one to a request that finds no room.
HttpResponse refusalOf(RefusalReason reason, const HttpResponse &noRoom);

} // namespace oriolebay::http
