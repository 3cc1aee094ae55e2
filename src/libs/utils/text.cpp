#include "text.h"

#include <cstdint>
#include <cstring>

namespace oriolebay::utils {

namespace {

constexpr const char *Ellipsis = "...";
constexpr uint64_t NonAsciiBits = 0x8080808080808080;

bool isContinuation(unsigned char c) { return (c & 0xc0) == 0x80; }

// Returns the length of the UTF-8 sequence that text, which is not empty,
// begins with; zero if it begins with none.
size_t sequenceLength(std::string_view text) {
  const auto byte = [&](size_t i) {
    return i < text.size() ? static_cast<unsigned char>(text[i])
                           : static_cast<unsigned char>(0);
  };
  const unsigned char first = byte(0);
  if (first < 0x80)
    return 1;
  if (first >= 0xc2 && first <= 0xdf)
    return isContinuation(byte(1)) ? 2 : 0;
  if (first >= 0xe0 && first <= 0xef) {
    // Overlong forms and surrogates are not valid.
    const unsigned char low = first == 0xe0 ? 0xa0 : 0x80;
    const unsigned char high = first == 0xed ? 0x9f : 0xbf;
    const bool isValid =
        byte(1) >= low && byte(1) <= high && isContinuation(byte(2));
    return isValid ? 3 : 0;
  }
  if (first >= 0xf0 && first <= 0xf4) {
    // Overlong forms and values above U+10FFFF are not valid.
    const unsigned char low = first == 0xf0 ? 0x90 : 0x80;
    const unsigned char high = first == 0xf4 ? 0x8f : 0xbf;
    const bool isValid = byte(1) >= low && byte(1) <= high &&
                         isContinuation(byte(2)) && isContinuation(byte(3));
    return isValid ? 4 : 0;
  }
  return 0;
}

} // namespace

bool isUtf8(std::string_view text) {
  while (!text.empty()) {
    uint64_t word = NonAsciiBits;
    if (text.size() >= sizeof(word))
      std::memcpy(&word, text.data(), sizeof(word));
    if ((word & NonAsciiBits) == 0) {
      text.remove_prefix(sizeof(word));
      continue;
    }
    const size_t n = sequenceLength(text);
    if (n == 0)
      return false;
    text.remove_prefix(n);
  }
  return true;
}

std::string excerpt(std::string_view text, size_t maxBytes) {
  std::string out;
  while (!text.empty()) {
    const size_t n = sequenceLength(text);
    const std::string_view next = n == 0 ? "?" : text.substr(0, n);
    if (out.size() + next.size() > maxBytes)
      return out + Ellipsis;
    out += next;
    text.remove_prefix(n == 0 ? 1 : n);
  }
  return out;
}

} // namespace oriolebay::utils
