#include "settings/settings.h"
#include "testnames.h"

#include <gtest/gtest.h>

using namespace oriolebay;

namespace {

const char *const ValidEntry = R"({"name":"e1","failure_domain":"fd-a",
  "http_port":8080,"agent_listen":"tcp://127.0.0.1:7000",
  "store_url":"http://127.0.0.1:2379"})";

struct InvalidCase {
  const char *Description;
  std::string Text;
  const char *MessagePart;
};

class EntrySettingsRejected : public testing::TestWithParam<InvalidCase> {};

// Guards against an entry that runs with a default value instead of reporting a
// mistake in its settings file: it must exit at once with an error that names
// the setting.
TEST_P(EntrySettingsRejected, NamesTheSetting) {
  const InvalidCase &c = GetParam();
  std::string message = utils::handle<std::string>(
      [&]() -> utils::Result<std::string> {
        BOOST_LEAF_CHECK(settings::parseEntrySettings(c.Text));
        return std::string("accepted");
      },
      [](const utils::Error &e) {
        EXPECT_EQ(e.Kind, utils::ErrorKind::BadSettings);
        EXPECT_FALSE(e.Remedy.empty());
        return e.Message;
      });
  EXPECT_NE(message.find(c.MessagePart), std::string::npos)
      << c.Description << ": " << message;
}

std::string entryWith(const std::string &field) {
  std::string text = ValidEntry;
  return text.substr(0, text.size() - 1) + "," + field + "}";
}

INSTANTIATE_TEST_SUITE_P(
    Table, EntrySettingsRejected,
    testing::Values(
        InvalidCase{"not JSON", "{", "not a JSON object"},
        InvalidCase{"unknown key (a typo)", entryWith(R"("http_prot":1)"),
                    "unknown setting http_prot"},
        InvalidCase{"wrong type", entryWith(R"("max_pending_jobs":"many")"),
                    "max_pending_jobs has the wrong type"},
        InvalidCase{"missing address",
                    R"({"name":"e","failure_domain":"f","http_port":1,
                    "store_url":"http://x:1"})",
                    "missing setting agent_listen"},
        InvalidCase{"address without a port",
                    R"({"name":"e","failure_domain":"f","http_port":1,
                    "agent_listen":"tcp://127.0.0.1","store_url":"http://x:1"})",
                    "agent_listen is not an address"},
        InvalidCase{"unknown placer", entryWith(R"("placer":"random")"),
                    "placer must be"}),
    [](const auto &info) {
      return oriolebay::testnames::testNameFrom(info.param.Description);
    });

TEST(EntrySettings, ValidFileIsParsed) {
  auto s = settings::parseEntrySettings(ValidEntry);
  ASSERT_TRUE(s);
  EXPECT_EQ(s.value().Name, "e1");
  EXPECT_EQ(s.value().HttpPort, 8080);
  EXPECT_EQ(s.value().Placer, "packed");
}

class AgentSettingsRejected : public testing::TestWithParam<InvalidCase> {};

TEST_P(AgentSettingsRejected, NamesTheSetting) {
  const InvalidCase &c = GetParam();
  std::string message = utils::handle<std::string>(
      [&]() -> utils::Result<std::string> {
        BOOST_LEAF_CHECK(settings::parseAgentSettings(c.Text));
        return std::string("accepted");
      },
      [](const utils::Error &e) { return e.Message; });
  EXPECT_NE(message.find(c.MessagePart), std::string::npos)
      << c.Description << ": " << message;
}

INSTANTIATE_TEST_SUITE_P(
    Table, AgentSettingsRejected,
    testing::Values(
        InvalidCase{"no entries",
                    R"({"worker":{"id":"w","failure_domain":"f","rack":"r",
                    "accelerators":8},"listen":"tcp://127.0.0.1:0",
                    "entries":[],"backend_url":"http://x:1"})",
                    "entries is empty"},
        InvalidCase{"unknown worker key",
                    R"({"worker":{"id":"w","failure_domain":"f","rack":"r",
                    "accelerators":8,"gpus":8},"listen":"tcp://127.0.0.1:0",
                    "entries":["tcp://127.0.0.1:1"],"backend_url":"http://x:1"})",
                    "unknown setting worker.gpus"},
        InvalidCase{"no accelerators",
                    R"({"worker":{"id":"w","failure_domain":"f","rack":"r",
                    "accelerators":0},"listen":"tcp://127.0.0.1:0",
                    "entries":["tcp://127.0.0.1:1"],"backend_url":"http://x:1"})",
                    "worker.accelerators must be above zero"}),
    [](const auto &info) {
      return oriolebay::testnames::testNameFrom(info.param.Description);
    });

} // namespace
