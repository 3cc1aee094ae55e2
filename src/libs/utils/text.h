#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace oriolebay::utils {

/// Maximum number of bytes of a text from outside that an answer or a log line
/// repeats.
constexpr size_t MaxExcerptBytes = 200;

/// Returns whether text is valid UTF-8.
bool isUtf8(std::string_view text);

/// Returns the beginning of text for people to read, as valid UTF-8: at most
/// maxBytes of it, with a question mark for each byte that is not UTF-8.
std::string excerpt(std::string_view text, size_t maxBytes = MaxExcerptBytes);

} // namespace oriolebay::utils
