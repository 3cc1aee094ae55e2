#pragma once

#include <compare>
#include <memory>
#include <string>
#include <utility>

namespace oriolebay::core {

/// A text that its copies share, so that a text which goes to many places takes
/// its memory once. Texts are compared by their contents.
class SharedText {
public:
  SharedText() = default;
  // A text is converted, as it is one.
  // NOLINTNEXTLINE(google-explicit-constructor)
  SharedText(std::string text)
      : Text(std::make_shared<const std::string>(std::move(text))) {}
  // NOLINTNEXTLINE(google-explicit-constructor)
  SharedText(const char *text) : SharedText(std::string(text)) {}

  const std::string &str() const {
    static const std::string none;
    return Text == nullptr ? none : *Text;
  }
  bool operator==(const SharedText &other) const {
    return Text == other.Text || str() == other.str();
  }
  std::strong_ordering operator<=>(const SharedText &other) const {
    return str() <=> other.str();
  }

private:
  std::shared_ptr<const std::string> Text;
};

} // namespace oriolebay::core
