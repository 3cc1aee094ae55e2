#include "configmonitor.h"

#include <gtest/gtest.h>

#include <fstream>
#include <unistd.h>

namespace oriolebay::testing_system {
namespace {

std::string answer(int upMs, int tookMs, const std::string &fields) {
  return R"({"name":"call.answered","proc":"e","result":"ok","ts_us":)" +
         std::to_string(upMs * 1000) + R"(,"up_ms":)" + std::to_string(upMs) +
         R"(,"took_ms":)" + std::to_string(tookMs) + "," + fields + "}\n";
}

std::string start(int upMs, int version) {
  return R"({"name":"run.placed","proc":"e","ts_us":)" +
         std::to_string(upMs * 1000) + R"(,"up_ms":)" + std::to_string(upMs) +
         R"(,"record_config_version":)" + std::to_string(version) + "}\n";
}

struct LogCase {
  const char *Name;
  std::string Log;
  size_t Violations;
};

void PrintTo(const LogCase &c, std::ostream *out) { *out << c.Name; }

class ConfigMonitor : public testing::TestWithParam<LogCase> {};

// Guards against a judge of configurations that sees none go back.
TEST_P(ConfigMonitor, FindsAnswersByOlderConfigurations) {
  const std::string path =
      testing::TempDir() + "oriolebay-configs-" + std::to_string(::getpid());
  std::ofstream(path) << GetParam().Log;
  ConfigHistory history;
  addConfigHistory({path}, history);
  ::unlink(path.c_str());
  EXPECT_EQ(history.Violations.size(), GetParam().Violations);
}

const std::string By4 = R"("config_version":4)";
const std::string By3 = R"("config_version":3)";
const std::string ServedBy4 = R"("config_version":3,"served_config_version":4)";

INSTANTIATE_TEST_SUITE_P(
    Table, ConfigMonitor,
    testing::Values(
        LogCase{"rising", answer(1000, 5, By3) + answer(2000, 5, By4), 0},
        LogCase{"goes_back", answer(1000, 5, By4) + answer(2000, 5, By3), 1},
        LogCase{"received_before",
                answer(1000, 5, By4) + answer(2000, 990, By3), 0},
        LogCase{"goes_back_from_another_entrys",
                answer(1000, 5, ServedBy4) + answer(2000, 5, By3), 1},
        LogCase{"goes_back_from_a_start", start(1000, 4) + answer(2000, 5, By3),
                1},
        LogCase{"of_a_forwarded_call",
                start(1000, 4) +
                    answer(2000, 5, R"("forwarded":true,"config_version":3)"),
                0}),
    [](const auto &info) { return info.param.Name; });

} // namespace
} // namespace oriolebay::testing_system
