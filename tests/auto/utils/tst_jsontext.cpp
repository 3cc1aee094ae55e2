#include "utils/jsonfields.h"
#include "utils/jsontext.h"
#include "utils/text.h"

#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <random>

namespace oriolebay::utils {
namespace {

using nlohmann::json;

std::string nested(int levels) {
  return std::string(static_cast<size_t>(levels), '[') +
         std::string(static_cast<size_t>(levels), ']');
}

// CBOR of arrays with one element each, the innermost empty.
std::string nestedCbor(int levels) {
  return std::string(static_cast<size_t>(levels - 1), '\x81') + '\x80';
}

struct InputCase {
  const char *Name;
  std::string Input;
  bool IsValid;
};

void PrintTo(const InputCase &c, std::ostream *out) { *out << c.Name; }

/// The message of the error that the input is refused with; empty if it is
/// accepted.
std::string
problemOf(const std::function<Result<json>(std::string_view)> &parse,
          const std::string &input) {
  return handle<std::string>(
      [&]() -> Result<std::string> {
        BOOST_LEAF_AUTO(document, parse(input));
        const json copy = document;
        EXPECT_TRUE(isUtf8(toJsonText(copy)));
        return std::string();
      },
      [](const Error &e) {
        EXPECT_EQ(e.Kind, ErrorKind::BadMessage);
        EXPECT_LT(e.text().size(), 300u);
        EXPECT_TRUE(isUtf8(e.text()));
        return e.Message;
      });
}

struct DeepCase {
  const char *Name;
  std::string Input;
  std::string Output;
};

void PrintTo(const DeepCase &c, std::ostream *out) { *out << c.Name; }

class DeepMembers : public ::testing::TestWithParam<DeepCase> {};

// Guards against a list that cannot be read for one member nested too deeply.
TEST_P(DeepMembers, BecomeNullAndLeaveTheOthers) {
  const auto document = parseJsonToDepth(GetParam().Input);
  ASSERT_TRUE(document);
  EXPECT_EQ(toJsonText(*document), GetParam().Output);
}

const DeepCase DeepCases[] = {
    {"none", "[1,[2],3]", "[1,[2],3]"},
    {"deepest_that_is_kept", nested(MaxJsonDepth), nested(MaxJsonDepth)},
    {"one_level_more", nested(MaxJsonDepth + 1),
     std::string(MaxJsonDepth, '[') + "null" + std::string(MaxJsonDepth, ']')},
    {"beside_others",
     std::string(MaxJsonDepth, '[') + R"(1,{"a":[[2],{"b":3}],"c":4},5)" +
         std::string(MaxJsonDepth, ']'),
     std::string(MaxJsonDepth, '[') + "1,null,5" +
         std::string(MaxJsonDepth, ']')},
};

INSTANTIATE_TEST_SUITE_P(Table, DeepMembers, ::testing::ValuesIn(DeepCases),
                         [](const auto &info) { return info.param.Name; });

class JsonInputs : public ::testing::TestWithParam<InputCase> {};

// Guards against input that ends the process or that an answer repeats at
// length.
TEST_P(JsonInputs, AreAcceptedOrRefusedWithAShortReadableText) {
  EXPECT_EQ(problemOf(parseJson, GetParam().Input).empty(), GetParam().IsValid);
}

const InputCase JsonCases[] = {
    {"object", R"({"a":[1,-2,3.5,true,null,"x"],"b":{}})", true},
    {"repeated_member", R"({"a":1,"a":[2]})", true},
    {"deepest", nested(MaxJsonDepth), true},
    {"too_deep", nested(MaxJsonDepth + 1), false},
    {"very_deep", nested(400000), false},
    {"very_deep_and_open", std::string(1000000, '['), false},
    {"deep_objects", R"({"a":)" + nested(MaxJsonDepth) + "}", false},
    {"empty", "", false},
    {"zero_bytes", std::string(3, '\0'), false},
    {"byte_ff", "\xff", false},
    {"text_not_utf8", "{\"a\":\"\xff\xfe\"}", false},
    {"name_not_utf8", "{\"\xff\":1}", false},
    {"cut_sequence", "{\"a\":\"\xe2\x82", false},
    {"open_text", "\"" + std::string(1000000, 'x'), false},
    {"lone_surrogate", R"(["\ud800"])", false},
    {"number_too_large", "[1e999]", false},
    {"trailing", "{} {}", false},
    {"html", "<html>", false},
};

INSTANTIATE_TEST_SUITE_P(Table, JsonInputs, ::testing::ValuesIn(JsonCases),
                         [](const auto &info) { return info.param.Name; });

struct CountCase {
  const char *Name;
  std::string Input;
  size_t Values;
};

void PrintTo(const CountCase &c, std::ostream *out) { *out << c.Name; }

class CountedValues : public ::testing::TestWithParam<CountCase> {};

// Guards against documents that take many times the memory of their text.
TEST_P(CountedValues, AreRefusedBeyondTheLimit) {
  const auto parseUpTo = [](size_t maxValues) {
    return [maxValues](std::string_view text) {
      return parseBoundedJson(text, maxValues);
    };
  };
  EXPECT_EQ(problemOf(parseUpTo(GetParam().Values), GetParam().Input), "");
  EXPECT_NE(problemOf(parseUpTo(GetParam().Values - 1), GetParam().Input)
                .find("values"),
            std::string::npos);
}

const CountCase CountCases[] = {
    {"number", "1", 1},
    {"list", "[1,2,3]", 4},
    {"empty_lists", "[[],[],[]]", 4},
    {"empty_objects", "[{},{}]", 3},
    {"object", R"({"a":1,"b":"x"})", 3},
    {"repeated_member", R"({"a":1,"a":2,"a":3})", 4},
};

INSTANTIATE_TEST_SUITE_P(Table, CountedValues, ::testing::ValuesIn(CountCases),
                         [](const auto &info) { return info.param.Name; });

class CborInputs : public ::testing::TestWithParam<InputCase> {};

// Guards against messages of peers and stored values that end the process.
TEST_P(CborInputs, AreAcceptedOrRefusedWithAShortReadableText) {
  const auto parse = [](std::string_view bytes) { return parseCbor(bytes); };
  EXPECT_EQ(problemOf(parse, GetParam().Input).empty(), GetParam().IsValid);
}

const InputCase CborCases[] = {
    {"deepest", nestedCbor(MaxJsonDepth), true},
    {"too_deep", nestedCbor(MaxJsonDepth + 1), false},
    {"very_deep", nestedCbor(1000000), false},
    {"huge_length", "\x9b\xff\xff\xff\xff\xff\xff\xff\xff", false},
    {"huge_text", "\x7b\x7f\xff\xff\xff\xff\xff\xff\xff", false},
    {"text_not_utf8", "\x62\xff\xfe", false},
    {"empty", "", false},
    {"byte_ff", "\xff", false},
};

INSTANTIATE_TEST_SUITE_P(Table, CborInputs, ::testing::ValuesIn(CborCases),
                         [](const auto &info) { return info.param.Name; });

TEST(Cbor, NamedMembersMayHoldBytes) {
  const std::vector<uint8_t> bytes =
      json::to_cbor({{"Record", "\xff"}, {"Text", {"\xff"}}});
  const std::string input(bytes.begin(), bytes.end());
  EXPECT_FALSE(parseCbor(input, {"Record"}));
  EXPECT_TRUE(parseCbor(input, {"Record", "Text"}).has_error());
}

class SeededDocuments : public ::testing::TestWithParam<int> {};

json randomDocument(std::mt19937_64 &random, int levels) {
  switch (random() % (levels > 0 ? 9 : 7)) {
  case 0:
    return nullptr;
  case 1:
    return random() % 2 == 0;
  case 2:
    return static_cast<int64_t>(random());
  case 3:
    return random();
  case 4:
    return std::ldexp(static_cast<double>(random() % 1000), -3);
  case 5:
    return std::string(random() % 20, static_cast<char>('a' + random() % 26));
  case 6:
    return "\xe2\x82\xac\n\"\\";
  case 7: {
    json list = json::array();
    for (size_t n = random() % 5; n > 0; --n)
      list.push_back(randomDocument(random, levels - 1));
    return list;
  }
  default: {
    json object = json::object();
    for (size_t n = random() % 5; n > 0; --n)
      object[std::string(1, static_cast<char>('a' + random() % 26))] =
          randomDocument(random, levels - 1);
    return object;
  }
  }
}

TEST_P(SeededDocuments, AreReadAsTheLibraryReadsThem) {
  std::mt19937_64 random(static_cast<uint64_t>(GetParam()));
  for (int i = 0; i < 200; ++i) {
    const json document = randomDocument(random, 5);
    EXPECT_EQ(parseJson(toJsonText(document)).value(),
              json::parse(document.dump()));
    const std::vector<uint8_t> cbor = json::to_cbor(document);
    EXPECT_EQ(
        parseCbor({reinterpret_cast<const char *>(cbor.data()), cbor.size()})
            .value(),
        json::from_cbor(cbor));
  }
}

// Bytes that were changed at random are refused or read, and never throw.
TEST_P(SeededDocuments, WithChangedBytesDoNotThrow) {
  std::mt19937_64 random(static_cast<uint64_t>(GetParam()));
  for (int i = 0; i < 500; ++i) {
    const json document = randomDocument(random, 4);
    const std::vector<uint8_t> cbor = json::to_cbor(document);
    std::string bytes =
        i % 2 == 0 ? document.dump() : std::string(cbor.begin(), cbor.end());
    for (size_t n = 1 + random() % 4; n > 0 && !bytes.empty(); --n)
      bytes[random() % bytes.size()] = static_cast<char>(random());
    EXPECT_NO_THROW({
      const auto text = parseJson(bytes);
      const auto binary = parseCbor(bytes);
      if (text)
        toJsonText(*text);
      if (binary)
        toJsonText(*binary);
    });
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, SeededDocuments, ::testing::Range(1, 6));

struct NumberCase {
  const char *Name;
  json Value;
  int64_t AsInt64;
  bool FitsInt;
};

void PrintTo(const NumberCase &c, std::ostream *out) { *out << c.Name; }

class Numbers : public ::testing::TestWithParam<NumberCase> {};

// Guards against amounts from outside that change their sign or their size.
TEST_P(Numbers, AreConvertedToTheNearestValueOrRefused) {
  EXPECT_EQ(toInt64(GetParam().Value), GetParam().AsInt64);
  if (GetParam().FitsInt)
    EXPECT_EQ(checkedNumber<int>(GetParam().Value), GetParam().AsInt64);
  else
    EXPECT_ANY_THROW(checkedNumber<int>(GetParam().Value));
}

constexpr int64_t Largest = std::numeric_limits<int64_t>::max();
constexpr int64_t Smallest = std::numeric_limits<int64_t>::min();

INSTANTIATE_TEST_SUITE_P(
    Table, Numbers,
    ::testing::Values(
        NumberCase{"small", 41, 41, true},
        NumberCase{"negative", -41, -41, true},
        NumberCase{"fraction", 41.9, 41, true},
        NumberCase{"beyond_int", int64_t{1} << 40, int64_t{1} << 40, false},
        NumberCase{"beyond_int64", std::numeric_limits<uint64_t>::max(),
                   Largest, false},
        NumberCase{"large_double", 1e300, Largest, false},
        NumberCase{"small_double", -1e300, Smallest, false},
        NumberCase{"not_a_number", std::nan(""), 0, true},
        NumberCase{"text", "41", 0, false},
        NumberCase{"null", nullptr, 0, false},
        NumberCase{"list", json::array({1}), 0, false}),
    [](const auto &info) { return info.param.Name; });

TEST(JsonFields, OfDocumentsThatAreNoObjectsAreMissing) {
  for (const json &document :
       {json(), json(5), json("x"), json::array({1, 2}), json(true)}) {
    EXPECT_EQ(textIn(document, "a"), "");
    EXPECT_EQ(numberIn(document, "a"), 0);
    EXPECT_FALSE(flagIn(document, "a"));
    EXPECT_TRUE(containerIn(document, "a").empty());
    EXPECT_EQ(checkedNumberIn(document, "a", 3), 3);
  }
}

} // namespace
} // namespace oriolebay::utils
