#include "endpoints/backendclient.h"
#include "http/httpserver.h"

#include <gtest/gtest.h>

namespace oriolebay::endpoints {
namespace {

struct OddAnswer {
  const char *Name;
  std::string Body;
  TaskEnd End;
  size_t Tasks;
};

void PrintTo(const OddAnswer &c, std::ostream *out) { *out << c.Name; }

class BackendAnswers : public testing::TestWithParam<OddAnswer> {};

// Guards against answers of a back end that end its agent.
TEST_P(BackendAnswers, AreReadOrCountAsFailures) {
  const OddAnswer &c = GetParam();
  http::HttpServer server("127.0.0.1", 0, [&c](const http::HttpRequest &) {
    return http::HttpResponse{200, c.Body};
  });
  BackendClient client("http://127.0.0.1:" + std::to_string(server.port()),
                       "e1", 5000);
  EXPECT_EQ(client.run({}, 1000).End, c.End);
  EXPECT_EQ(client.renewLeases(1000).size(), c.Tasks);
}

const OddAnswer OddAnswers[] = {
    {"done", R"({"ok":true,"tasks":[{"run":"r","member":1}]})", TaskEnd::Done,
     1},
    {"stopped", R"({"stopped":true,"saved":"s"})", TaskEnd::Stopped, 0},
    {"number", "5", TaskEnd::Failed, 0},
    {"byte_ff", "\xff", TaskEnd::Failed, 0},
    {"very_deep", std::string(400000, '['), TaskEnd::Failed, 0},
    {"output_of_another_type", R"({"ok":true,"output":[1],"saved":5})",
     TaskEnd::Done, 0},
    {"flags_of_another_type", R"({"ok":"yes","stopped":1})", TaskEnd::Failed,
     0},
    {"tasks_are_no_list", R"({"tasks":"x"})", TaskEnd::Failed, 0},
    {"tasks_are_no_objects", R"({"tasks":[5,[]]})", TaskEnd::Failed, 2},
};

INSTANTIATE_TEST_SUITE_P(Table, BackendAnswers, testing::ValuesIn(OddAnswers),
                         [](const auto &info) { return info.param.Name; });

} // namespace
} // namespace oriolebay::endpoints
