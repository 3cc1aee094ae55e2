#pragma once

#include "crowd.h"

#include <string>

namespace oriolebay::testing_system {

/// Largest body of a call, as the operator configures it.
constexpr size_t MaxCallBodyBytes = 262144;

/// Messages of clients that do not behave. Head is the beginning of a request,
/// without the headers that concern its body.

/// A body of the largest size without its last byte: in few pieces, in many, or
/// in chunks of which the last one is missing.
CrowdMessage unfinishedWhole(const std::string &head);
CrowdMessage unfinishedPieces(const std::string &head);
CrowdMessage unfinishedChunks(const std::string &head);
/// 64 kB in chunks of one byte, of which the last one is missing.
CrowdMessage unfinishedTinyChunks(const std::string &head);
/// A body of the largest size, of which a little is sent, and then a byte now
/// and again.
CrowdMessage slowBody(const std::string &head);
/// The same with a body of 2 kB, and with a header that does not end.
CrowdMessage slowSmallBody(const std::string &head);
CrowdMessage slowHeaders(const std::string &head);
/// 4 MB of a body that is announced with 10 GB.
CrowdMessage announcedFarOverLimit(const std::string &head);
/// 16 MB in chunks, of which the last one is missing.
CrowdMessage chunksWithoutEnd(const std::string &head);
/// 1 MB of headers, of which the last one is missing.
CrowdMessage headersWithoutEnd(const std::string &head);
/// 1 MB of calls without a body, whose answers are not read.
CrowdMessage unreadCalls(const std::string &head);
/// Complete calls of the largest size that hold no valid job: too many steps,
/// or too many levels.
CrowdMessage callOfManySteps(const std::string &head);
CrowdMessage callOfNestedBody(const std::string &head);

/// Return complete calls inside the limits with this body, sent in one part, in
/// small pieces, in one chunk and in chunks of one byte.
CrowdMessage inOnePart(const std::string &head, const std::string &body);
CrowdMessage inSmallPieces(const std::string &head, const std::string &body);
CrowdMessage inOneChunk(const std::string &head, const std::string &body);
CrowdMessage inTinyChunks(const std::string &head, const std::string &body);

/// Returns a job of one task that takes a millisecond, in a body of the largest
/// size.
std::string largeShortJob();
/// Returns a job of one task with the longest text, in a body without padding.
std::string smallJob();
/// Returns a job that has as much of all as is allowed, in a body of the
/// largest size. It names a label that no worker has.
std::string largestJob();

} // namespace oriolebay::testing_system
