#include "closingpeer.h"
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

using testpeers::CloseKind;
using testpeers::CloseMoment;
using testpeers::ClosingPeer;
using testpeers::PeerAnswer;

/// TimesRead: how often the back end reads the request for the task whole.
struct ClosedCase {
  const char *Name;
  CloseMoment Moment;
  CloseKind Kind;
  TaskEnd End;
  int TimesRead;
};

void PrintTo(const ClosedCase &c, std::ostream *out) { *out << c.Name; }

class BackendConnections : public testing::TestWithParam<ClosedCase> {};

// Guards against a task that its back end runs twice, because the HTTP library
// sends the request again when its connection ends.
TEST_P(BackendConnections, EndWithoutASecondRun) {
  const ClosedCase &c = GetParam();
  ClosingPeer peer(c.Moment, c.Kind, "{}", PeerAnswer{200, R"({"ok":true})"});
  BackendClient client("http://" + peer.address(), "e1", 60000);
  client.renewLeases(1000);
  if (c.Moment == CloseMoment::WhileIdle)
    peer.waitUntilCallerIsDisconnected();
  EXPECT_EQ(client.run({}, 1000).End, c.End);
  EXPECT_EQ(peer.timesRead("/run"), c.TimesRead);
}

const ClosedCase ClosedCases[] = {
    {"idle_fin", CloseMoment::WhileIdle, CloseKind::Fin, TaskEnd::Done, 1},
    {"idle_reset", CloseMoment::WhileIdle, CloseKind::Reset, TaskEnd::Done, 1},
    {"read_fin", CloseMoment::AfterRequest, CloseKind::Fin, TaskEnd::Failed, 1},
    {"read_reset", CloseMoment::AfterRequest, CloseKind::Reset, TaskEnd::Failed,
     1},
    {"status_line_fin", CloseMoment::InStatusLine, CloseKind::Fin,
     TaskEnd::Failed, 1},
};

INSTANTIATE_TEST_SUITE_P(Table, BackendConnections,
                         testing::ValuesIn(ClosedCases),
                         [](const auto &info) { return info.param.Name; });

} // namespace
} // namespace oriolebay::endpoints
