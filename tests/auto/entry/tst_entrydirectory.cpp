#include "entry/entrydirectory.h"

#include <gtest/gtest.h>

#include <absl/strings/match.h>

namespace oriolebay::entry {
namespace {

using platform::StoreEvent;

constexpr int64_t Lease = 7;
const absl::Time Start = absl::UnixEpoch();

EntryDirectory makeDirectory() {
  return EntryDirectory([](const std::string &address) {
    return absl::StartsWith(address, "tcp://");
  });
}

std::string valueOf(const std::string &address, const std::string &share) {
  return R"({"address":")" + address + R"(","processor_share":)" + share + "}";
}

StoreEvent makeWrite(const std::string &key, const std::string &value,
                     int64_t lease = Lease) {
  return {{key, value, 1, 1, lease}, false};
}

StoreEvent makeRemoval(const std::string &key) {
  return {{key, "", 0, 2, 0}, true};
}

bool apply(EntryDirectory &directory, const StoreEvent &event,
           absl::Time now = Start) {
  return utils::handle<bool>(
      [&]() -> utils::Result<bool> {
        BOOST_LEAF_CHECK(directory.apply(event, now));
        return true;
      },
      [](const utils::Error &e) {
        EXPECT_EQ(e.Kind, utils::ErrorKind::BadMessage);
        return false;
      });
}

struct OddEntry {
  const char *Name;
  std::string Value;
  int64_t LeaseOfKey = Lease;
};

void PrintTo(const OddEntry &c, std::ostream *out) { *out << c.Name; }

class OddEntries : public testing::TestWithParam<OddEntry> {};

// Guards against an entry of another writer that gets calls, or that delays
// each election.
TEST_P(OddEntries, NameNoEntryAndLeaveTheOthers) {
  EntryDirectory directory = makeDirectory();
  ASSERT_TRUE(apply(directory, makeWrite("a", valueOf("tcp://a", "0.5"))));
  ASSERT_TRUE(apply(directory, makeWrite("c", valueOf("tcp://c", "0.5"))));
  EXPECT_FALSE(apply(directory,
                     makeWrite("b", GetParam().Value, GetParam().LeaseOfKey)));
  EXPECT_FALSE(apply(directory,
                     makeWrite("c", GetParam().Value, GetParam().LeaseOfKey)));
  EXPECT_EQ(directory.addresses(),
            (std::vector<std::string>{"tcp://a", "tcp://c"}));
  EXPECT_FALSE(directory.isLargerKnown(0.5, Start));
}

INSTANTIATE_TEST_SUITE_P(
    Table, OddEntries,
    testing::Values(
        OddEntry{"no_json", "\xff"}, OddEntry{"no_object", "[1,2]"},
        OddEntry{"nested_deeply", std::string(200000, '[')},
        OddEntry{"no_address", R"({"processor_share":1})"},
        OddEntry{"no_share", R"({"address":"tcp://b"})"},
        OddEntry{"address_of_another_type",
                 R"({"address":5,"processor_share":1})"},
        OddEntry{"address_of_another_form", valueOf("http://b", "1")},
        OddEntry{"share_of_another_type", valueOf("tcp://b", "\"1\"")},
        OddEntry{"share_beyond_all_processes", valueOf("tcp://b", "1e300")},
        OddEntry{"share_beyond_a_double", valueOf("tcp://b", "1e999")},
        OddEntry{"negative_share", valueOf("tcp://b", "-1")},
        OddEntry{"no_lease", valueOf("tcp://b", "1"), 0}),
    [](const auto &info) { return info.param.Name; });

// Guards against elections that each wait for a larger entry that is gone for
// good, and against a small leader after all registrations have expired at
// once.
TEST(EntryDirectory, RemovedEntryCountsAsKnownForAWhile) {
  EntryDirectory directory = makeDirectory();
  apply(directory, makeWrite("a", valueOf("tcp://a", "1")));
  apply(directory, makeWrite("b", valueOf("tcp://b", "0.1")));
  EXPECT_TRUE(directory.isLargerKnown(0.1, Start));
  EXPECT_FALSE(directory.isLargerKnown(1, Start));
  apply(directory, makeRemoval("a"), Start + absl::Minutes(5));
  EXPECT_EQ(directory.addresses(), (std::vector<std::string>{"tcp://b"}));
  EXPECT_TRUE(directory.isLargerKnown(0.1, Start + absl::Minutes(5) +
                                               absl::Seconds(29)));
  EXPECT_FALSE(directory.isLargerKnown(0.1, Start + absl::Minutes(5) +
                                                absl::Seconds(30)));
}

// Guards against an entry that counts as gone after it has registered again.
TEST(EntryDirectory, EntryThatRegistersAgainIsKnown) {
  EntryDirectory directory = makeDirectory();
  apply(directory, makeWrite("a", valueOf("tcp://a", "1")));
  apply(directory, makeRemoval("a"));
  apply(directory, makeWrite("a", valueOf("tcp://a2", "1")));
  EXPECT_EQ(directory.addresses(), (std::vector<std::string>{"tcp://a2"}));
  EXPECT_TRUE(directory.isLargerKnown(0.5, Start + absl::Hours(1)));
}

} // namespace
} // namespace oriolebay::entry
