#include "jsontext.h"

#include "text.h"

#include <limits>
#include <utility>
#include <vector>

namespace oriolebay::utils {

using nlohmann::json;

namespace {

/// What becomes of an array or object below MaxJsonDepth levels.
enum class TooDeep { EndsParser, BecomesNull };

constexpr size_t AnyNumberOfValues = std::numeric_limits<size_t>::max();

/// Builds a document from the events of a parser, and ends the parser at the
/// first thing that the document must not hold.
class DocumentBuilder final : public json::json_sax_t {
public:
  /// The members that byteMembers names may hold bytes that are not UTF-8.
  DocumentBuilder(const std::set<std::string> &byteMembers, TooDeep tooDeep,
                  size_t maxValues)
      : ByteMembers(byteMembers), Deeper(tooDeep), MaxValues(maxValues) {}

  bool null() override { return add(json()); }
  bool boolean(bool value) override { return add(json(value)); }
  bool number_integer(number_integer_t value) override {
    return add(json(value));
  }
  bool number_unsigned(number_unsigned_t value) override {
    return add(json(value));
  }
  bool number_float(number_float_t value, const string_t & /*text*/) override {
    return add(json(value));
  }
  bool string(string_t &value) override {
    if (!isByteMember() && !checkText(value))
      return false;
    return add(json(std::move(value)));
  }
  bool binary(binary_t &value) override {
    return add(json::binary(std::move(value)));
  }
  bool start_object(std::size_t /*elements*/) override {
    return open(json::object());
  }
  bool key(string_t &name) override {
    if (!checkText(name))
      return false;
    if (SkippedLevels > 0)
      return true;
    const auto it = Open.back()->emplace(name, nullptr).first;
    MemberName = &it.key();
    Member = &*it;
    return true;
  }
  bool end_object() override { return close(); }
  bool start_array(std::size_t /*elements*/) override {
    return open(json::array());
  }
  bool end_array() override { return close(); }
  bool parse_error(std::size_t position, const std::string & /*lastToken*/,
                   const json::exception & /*error*/) override {
    Problem = "malformed at byte " + std::to_string(position);
    return false;
  }

  json takeDocument() { return std::move(Document); }
  const std::string &problem() const { return Problem; }

private:
  bool add(json value) {
    if (!countValue())
      return false;
    if (SkippedLevels == 0)
      place(std::move(value));
    return true;
  }

  bool countValue() {
    if (Values < MaxValues) {
      ++Values;
      return true;
    }
    Problem = "more than " + std::to_string(MaxValues) + " values";
    return false;
  }

  // Puts value where the parser is and returns its place there.
  json *place(json value) {
    if (Open.empty()) {
      Document = std::move(value);
      return &Document;
    }
    json &parent = *Open.back();
    if (parent.is_array()) {
      parent.push_back(std::move(value));
      return &parent.back();
    }
    *Member = std::move(value);
    return Member;
  }

  bool open(json container) {
    if (SkippedLevels == 0 && Open.size() < MaxJsonDepth) {
      if (!countValue())
        return false;
      Open.push_back(place(std::move(container)));
      return true;
    }
    if (Deeper == TooDeep::EndsParser) {
      Problem = "more than " + std::to_string(MaxJsonDepth) + " levels";
      return false;
    }
    if (!add(json()))
      return false;
    ++SkippedLevels;
    return true;
  }

  bool close() {
    if (SkippedLevels > 0)
      --SkippedLevels;
    else
      Open.pop_back();
    return true;
  }

  bool isByteMember() const {
    return !ByteMembers.empty() && !Open.empty() && Open.back()->is_object() &&
           ByteMembers.count(*MemberName) != 0;
  }

  bool checkText(const std::string &text) {
    if (isUtf8(text))
      return true;
    Problem = "a text that is not UTF-8";
    return false;
  }

  const std::set<std::string> &ByteMembers;
  const TooDeep Deeper;
  const size_t MaxValues;
  size_t Values = 0;
  json Document;
  /// The arrays and objects that the parser is in, the innermost last.
  std::vector<json *> Open;
  /// The member of the innermost object that the next value is for.
  const std::string *MemberName = nullptr;
  json *Member = nullptr;
  /// Number of arrays and objects below the deepest level that the parser is
  /// in.
  size_t SkippedLevels = 0;
  std::string Problem;
};

Result<json> parse(std::string_view input, json::input_format_t format,
                   const char *formatName,
                   const std::set<std::string> &byteMembers,
                   TooDeep tooDeep = TooDeep::EndsParser,
                   size_t maxValues = AnyNumberOfValues) {
  DocumentBuilder builder(byteMembers, tooDeep, maxValues);
  if (json::sax_parse(input.begin(), input.end(), &builder, format))
    return builder.takeDocument();
  return fail(ErrorKind::BadMessage,
              std::string("not valid ") + formatName + ": " + builder.problem(),
              "check what its sender writes");
}

} // namespace

Result<json> parseJson(std::string_view text) {
  return parse(text, json::input_format_t::json, "JSON", {});
}

Result<json> parseBoundedJson(std::string_view text, size_t maxValues) {
  return parse(text, json::input_format_t::json, "JSON", {},
               TooDeep::EndsParser, maxValues);
}

Result<json> parseJsonToDepth(std::string_view text) {
  return parse(text, json::input_format_t::json, "JSON", {},
               TooDeep::BecomesNull);
}

Result<json> parseCbor(std::string_view bytes,
                       const std::set<std::string> &byteMembers) {
  return parse(bytes, json::input_format_t::cbor, "CBOR", byteMembers);
}

std::string toJsonText(const json &document) {
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace oriolebay::utils
