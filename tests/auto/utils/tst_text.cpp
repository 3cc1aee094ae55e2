#include "utils/text.h"

#include <gtest/gtest.h>

namespace oriolebay::utils {
namespace {

struct TextCase {
  const char *Name;
  std::string Text;
  bool IsUtf8;
  std::string Excerpt;
};

void PrintTo(const TextCase &c, std::ostream *out) { *out << c.Name; }

class Texts : public ::testing::TestWithParam<TextCase> {};

TEST_P(Texts, AreCheckedAndMadeReadable) {
  EXPECT_EQ(isUtf8(GetParam().Text), GetParam().IsUtf8);
  EXPECT_EQ(excerpt(GetParam().Text, 12), GetParam().Excerpt);
}

const TextCase TextCases[] = {
    {"empty", "", true, ""},
    {"ascii", "abc", true, "abc"},
    {"cut", "abcdefghijklmnop", true, "abcdefghijkl..."},
    {"two_bytes", "\xc3\xa9", true, "\xc3\xa9"},
    {"three_bytes", "\xe2\x82\xac", true, "\xe2\x82\xac"},
    {"four_bytes", "\xf0\x9f\x8d\x9e", true, "\xf0\x9f\x8d\x9e"},
    {"cut_before_a_sequence", "abcdefghijk\xe2\x82\xac", true,
     "abcdefghijk..."},
    {"single_byte_ff", "\xff", false, "?"},
    {"stray_continuation", "a\x80z", false, "a?z"},
    {"cut_sequence", "abcdefg\xe2\x82", false, "abcdefg??"},
    {"overlong", "\xc0\xaf", false, "??"},
    {"surrogate", "\xed\xa0\x80", false, "???"},
    {"too_large", "\xf4\x90\x80\x80", false, "????"},
    {"late_in_long_ascii", std::string(40, 'a') + "\xff", false,
     "aaaaaaaaaaaa..."},
};

INSTANTIATE_TEST_SUITE_P(Table, Texts, ::testing::ValuesIn(TextCases),
                         [](const auto &info) { return info.param.Name; });

} // namespace
} // namespace oriolebay::utils
