// Tests of lists of the platform in which another writer, or a fault, has left
// one member that cannot be read: the others are read.
#include "platformstub.h"
#include "storeadapter.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace oriolebay::adapter {
namespace {

using platform::ReadMode;
using platform::StoreEvents;
using platform::StorePage;
using platform::StoreReply;

/// A member of a list of items, and what becomes of it: it is read with an
/// empty value, which its reader refuses, or it is left out.
struct OddItem {
  const char *Name;
  std::string Json;
  bool IsRead = false;
  std::string UnreadableKey = {};
};

void PrintTo(const OddItem &c, std::ostream *out) { *out << c.Name; }

std::string nested(int levels) {
  return std::string(static_cast<size_t>(levels), '[') +
         std::string(static_cast<size_t>(levels), ']');
}

std::string listBody(const char *list, const std::string &odd) {
  const auto item = [](const char *key) {
    return std::string(R"({"key":")") + key +
           R"(","value":"dGV4dA==","created":4,"revision":6,"lease":0})";
  };
  return std::string("{\"") + list + "\":[" + item("a") + "," + odd + "," +
         item("c") + R"(],"storeRevision":9})";
}

std::vector<std::string> keysOf(const StorePage &page) {
  std::vector<std::string> keys;
  for (const platform::KeyValue &item : page.Items)
    keys.push_back(item.Key);
  return keys;
}

class OddItems : public ::testing::TestWithParam<OddItem> {
protected:
  const std::vector<std::string> Expected =
      GetParam().IsRead ? std::vector<std::string>{"a", "b", "c"}
                        : std::vector<std::string>{"a", "c"};
  int Refused = 0;
  const utils::OnRefusedMessage CountRefused =
      [this](const utils::RefusedMessage &) { ++Refused; };
};

// Guards against an entry that is never ready, because one item keeps it from
// reading all others.
TEST_P(OddItems, OfAPageLeaveTheOthersReadable) {
  PlatformStub stub(
      http::HttpResponse{200, listBody("items", GetParam().Json)});
  const platform::Store store =
      makeStore(stub.Loop, stub.Client, stub.Address, CountRefused);
  const auto reply = stub.callAndWait<StoreReply<StorePage>>(
      [&](std::function<void(StoreReply<StorePage>)> done) {
        store.Range("", "", ReadMode::Linearizable, done);
      });
  ASSERT_TRUE(reply.ok()) << reply.Why;
  EXPECT_EQ(keysOf(reply.Value), Expected);
  EXPECT_EQ(reply.Value.UnreadableKeys.size(), GetParam().IsRead ? 0u : 1u);
  if (!GetParam().IsRead) {
    EXPECT_EQ(reply.Value.UnreadableKeys[0], GetParam().UnreadableKey);
  }
  EXPECT_EQ(Refused, GetParam().IsRead ? 0 : 1);
}

// Guards against an entry that stops following all keys at one odd change.
TEST_P(OddItems, OfAWatchLeaveTheOthersReadable) {
  PlatformStub stub(
      http::HttpResponse{200, listBody("events", GetParam().Json)});
  const platform::Store store =
      makeStore(stub.Loop, stub.Client, stub.Address, CountRefused);
  const auto reply = stub.callAndWait<StoreReply<StoreEvents>>(
      [&](std::function<void(StoreReply<StoreEvents>)> done) {
        store.Watch("", 1, 0, done);
      });
  ASSERT_TRUE(reply.ok()) << reply.Why;
  StorePage read;
  for (const platform::StoreEvent &event : reply.Value.Events)
    read.Items.push_back(event.Item);
  EXPECT_EQ(keysOf(read), Expected);
  EXPECT_EQ(reply.Value.HasUnreadable, !GetParam().IsRead);
}

const OddItem OddItemRows[] = {
    {"value_of_another_type", R"({"key":"b","value":null,"revision":6})", true},
    {"value_is_no_base64", R"({"key":"b","value":"?","revision":6})", true},
    {"value_nested_deeply",
     R"({"key":"b","value":)" + nested(200000) + R"(,"revision":6})", true},
    {"revision_of_another_type", R"({"key":"b","revision":"6"})", false, "b"},
    {"key_of_another_type", R"({"key":5,"revision":6})"},
    {"no_key", R"({"value":"dGV4dA==","revision":6})"},
    {"no_object", "5"},
    {"null", "null"},
    {"nested_deeply", nested(200000)},
};

INSTANTIATE_TEST_SUITE_P(Table, OddItems, ::testing::ValuesIn(OddItemRows),
                         [](const auto &info) { return info.param.Name; });

} // namespace
} // namespace oriolebay::adapter
