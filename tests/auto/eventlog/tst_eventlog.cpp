#include "eventlog/eventlog.h"

#include "waituntil.h"

#include <gtest/gtest.h>

#include <optional>

#include <fcntl.h>
#include <fstream>
#include <regex>
#include <set>
#include <sys/stat.h>
#include <unistd.h>

namespace oriolebay::eventlog {
namespace {

// On-call engineers look events up in the catalogue: an event that is missing
// there, or has another name, cannot be found.
TEST(EventLog, CatalogueAndCodeAgree) {
  std::ifstream in(ORIOLEBAY_SOURCE_DIR "/docs/EVENTS.md");
  ASSERT_TRUE(in.is_open());
  std::set<std::pair<int, std::string>> documented;
  const std::regex row(R"(^\| (\d+) \| `?([a-z_.]+)`? \|.*)");
  for (std::string line; std::getline(in, line);) {
    std::smatch m;
    if (std::regex_match(line, m, row))
      documented.insert({std::stoi(m[1]), m[2]});
  }
  std::set<std::pair<int, std::string>> defined;
  for (const EventInfo &info : allEvents())
    defined.insert({static_cast<int>(info.Number), info.Name});
  for (const auto &[number, name] : defined)
    EXPECT_EQ(documented.count({number, name}), 1u)
        << number << " " << name << " is not in docs/EVENTS.md";
  for (const auto &[number, name] : documented)
    EXPECT_EQ(defined.count({number, name}), 1u)
        << number << " " << name << " is only in docs/EVENTS.md";
}

// Guards against a log path in a folder that does not exist: it terminated the
// process at its first event with an uncaught exception and exit status 134.
TEST(EventLog, PathThatCannotBeWrittenIsASettingsError) {
  const auto kind = utils::handle<std::optional<utils::ErrorKind>>(
      []() -> utils::Result<std::optional<utils::ErrorKind>> {
        BOOST_LEAF_CHECK(initEventLog("p", "/no/such/folder/log.jsonl"));
        return std::optional<utils::ErrorKind>();
      },
      [](const utils::Error &e) {
        EXPECT_NE(e.text().find("log_path"), std::string::npos);
        return std::optional<utils::ErrorKind>(e.Kind);
      });
  EXPECT_EQ(kind, utils::ErrorKind::BadSettings);
}

// Guards against a caller whose text fills the log.
TEST(EventLog, LongFieldsAreCut) {
  const std::string path =
      ::testing::TempDir() + "oriolebay-log-" + std::to_string(::getpid());
  const bool ready = utils::handle<bool>(
      [&]() -> utils::Result<bool> {
        BOOST_LEAF_CHECK(initEventLog("p", path));
        return true;
      },
      [](const utils::Error &) { return false; });
  ASSERT_TRUE(ready);
  logEvent(Event::CallAnswered, {{"asked", std::string(1000000, 'x')}});
  closeEventLog();
  // The log does not wait for its last lines for longer than a moment.
  std::string line;
  testwaits::waitUntil([&] {
    std::ifstream in(path);
    return std::getline(in, line) && !in.eof();
  });
  EXPECT_NE(line.find("call.answered"), std::string::npos);
  EXPECT_LT(line.size(), 20000u);
  ::unlink(path.c_str());
}

// Guards against requests that block because the reader of the log has stopped
// reading: lines must be left out and counted instead.
TEST(EventLog, LinesAreLeftOutWhenTheReaderStopsReading) {
  const std::string path =
      ::testing::TempDir() + "oriolebay-fifo-" + std::to_string(::getpid());
  ASSERT_EQ(::mkfifo(path.c_str(), 0600), 0);
  const int reader = ::open(path.c_str(), O_RDONLY | O_NONBLOCK);
  ASSERT_GE(reader, 0);
  const bool ready = utils::handle<bool>(
      [&]() -> utils::Result<bool> {
        BOOST_LEAF_CHECK(initEventLog("p", path));
        return true;
      },
      [](const utils::Error &) { return false; });
  ASSERT_TRUE(ready);
  // Events of several kinds are logged, so that the rate limit of one kind does
  // not keep the queue from filling.
  for (int round = 0; round < 100; ++round)
    for (const EventInfo &info : allEvents())
      logEvent(info.Number, {{"text", std::string(200, 'x')}});
  EXPECT_GT(droppedLineCount(), 0);
  closeEventLog();
  ::unlink(path.c_str());
}

} // namespace
} // namespace oriolebay::eventlog
