#pragma once

#include "requestbody.h"

struct MHD_Connection;

namespace oriolebay::http {

/// Returns what the headers of a connection's request say about its body.
BodyAnnouncement bodyAnnouncementOf(MHD_Connection *connection);

} // namespace oriolebay::http
