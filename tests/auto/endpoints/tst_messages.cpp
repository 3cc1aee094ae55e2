#include "endpoints/messages.h"
#include "utils/text.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

using namespace oriolebay;
using namespace oriolebay::endpoints;

namespace {

class RoundTrip : public testing::TestWithParam<Message> {};

std::string caseName(const testing::TestParamInfo<Message> &info) {
  static const char *const names[] = {
      "Announce", "TaskResult", "Reserve",        "Run",     "Release",
      "Stop",     "Submit",     "Answered",       "Cancel",  "Ack",
      "Report",   "ReportAck",  "Orders",         "Written", "StandDown",
      "Ending",   "Forwarded",  "ForwardedAnswer"};
  return names[info.param.index()];
}

// Encoding a message to CBOR and decoding it must give the same message.
TEST_P(RoundTrip, DecodedMessageEqualsTheEncodedOne) {
  auto decoded = decode(encode(GetParam()));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded.value(), GetParam());
}

INSTANTIATE_TEST_SUITE_P(
    Messages, RoundTrip,
    testing::Values(
        Message(Announce{{"w1", "fd-a", "r1", 8, "tcp://127.0.0.1:5"},
                         7,
                         true,
                         4,
                         {{"job-1/4.0", 2, 310}}}),
        Message(TaskResult{"job-1/4.0", 2, "w1", TaskEnd::Stopped, "", "40"}),
        Message(Reserve{4, "job-1/4.0", {2, 3}, 4, 12}),
        Message(Run{4, "job-1/4.0", "job-1", {2, 3}, "{}", "40", 300}),
        Message(Release{4, "job-1/4.0"}), Message(Stop{4, "job-1/4.0", {2}}),
        Message(Submit{"job-1", {}, "tcp://127.0.0.1:9"}),
        Message(Answered{"job-1", core::JobAnswer()}),
        Message(Cancel{"stores-east", "job-1"}),
        Message(Ack{false, "leaving", 4, 12, 10000}),
        Message(WorkerReport{
            "a1",
            "tcp://127.0.0.1:5",
            {{"i-1", 7}, "s", "fd", "r1", {"a"}, {1, 2, 3}, true, 400, 10},
            {{{"i-0", 6}, true, {{"j.0.0.0", 1}}, true, {{"j.0.0.3", 2}}}},
            17,
            true,
            4,
            120,
            {0.25, 6},
            {0.5, 8},
            {{"j.0.0.1", 2, "saved", 40}},
            {{9, "j.0.0.0", 1, RunEnd::Lapsed, "s"}},
            {{"j.0.0.2", 1, OrderOutcome::Busy, "503"}},
            {{"j.0.0.4", 3, 14000}},
            15000}),
        Message(ReportAck{4,
                          true,
                          "e1",
                          3,
                          {"e1", "e2"},
                          5500,
                          9,
                          {0.25, 7},
                          {0.5, 9},
                          true,
                          120}),
        Message(WorkerOrders{
            4,
            {"i-1", 7},
            {{"j.0.0.1", 2, "text", "saved", "ticket", {1, 2, 3}}},
            {{"j.0.0.0", 1}},
            4711}),
        Message(JobWritten{"oriolebay/jobs/j/spec", "bytes", 12}),
        Message(StandDown{4}),
        Message(ForwardedCall{"submit",
                              "h",
                              "/p/j",
                              "key",
                              1200,
                              "j",
                              "b",
                              4711,
                              300,
                              4700,
                              {"org"},
                              {4700, 12}}),
        Message(ForwardedAnswer{"ok",
                                "",
                                0,
                                "running",
                                3,
                                {4711, 12},
                                "tcp://127.0.0.1:5",
                                true,
                                {4715, 13}})),
    caseName);

/// Decodes what an earlier version would have sent in place of message: the
/// same without these fields.
Message decodeWithout(const Message &message,
                      const std::vector<std::string> &fields) {
  nlohmann::json envelope = nlohmann::json::from_cbor(encode(message));
  for (const std::string &field : fields)
    envelope["body"].erase(field);
  const std::vector<uint8_t> earlier = nlohmann::json::to_cbor(envelope);
  return decode(std::string(earlier.begin(), earlier.end())).value();
}

// Guards against an entry that loses all its workers during an upgrade, because
// it cannot read the reports of agents that do not track open starts yet.
TEST(Decode, ReportOfAnEarlierAgentKnowsNoStarts) {
  WorkerReport report;
  report.Agent = "a1";
  const WorkerReport expected = report;
  report.OpenStarts = {{"j.0.0.4", 3, 14000}};
  report.StartsKnownForMs = 15000;
  EXPECT_EQ(decodeWithout(report, {"OpenStarts", "StartsKnownForMs"}),
            Message(expected));
}

// Guards against tasks that are started a second time during an upgrade,
// because an agent does not tell that its worker has more ends than it lists.
TEST(Decode, FullListOfAnEarlierAgentIsNotTheWholeList) {
  constexpr size_t ListedAtATime = 500;
  for (const size_t ends : {ListedAtATime - 1, ListedAtATime}) {
    WorkerReport report;
    report.Ended.resize(ends);
    const Message decoded = decodeWithout(report, {"EndsComplete"});
    EXPECT_EQ(std::get<WorkerReport>(decoded).EndsComplete,
              ends < ListedAtATime);
  }
}

// Guards against agents that lose their leader during an upgrade, because they
// cannot read the answers of an entry that knows no cordons.
TEST(Decode, AnswerOfAnEarlierEntryKnowsNoCordons) {
  ReportAck ack;
  ack.Epoch = 4;
  const ReportAck expected = ack;
  ack.Cordoned = true;
  ack.CordonAgeMs = 120;
  EXPECT_EQ(decodeWithout(ack, {"Cordoned", "CordonAgeMs"}), Message(expected));
}

// Guards against a leader and agents that lose each other during an upgrade,
// because one of them does not send speeds learned from gangs yet.
TEST(Decode, MessagesOfEarlierVersionsTellNoSpeedInGangs) {
  WorkerReport report;
  report.Agent = "a1";
  const WorkerReport expectedReport = report;
  report.SpeedWithGangs = {0.5, 8};
  EXPECT_EQ(decodeWithout(report, {"SpeedWithGangs"}), Message(expectedReport));
  ReportAck ack;
  ack.Epoch = 4;
  const ReportAck expectedAck = ack;
  ack.SpeedWithGangs = {0.5, 8};
  EXPECT_EQ(decodeWithout(ack, {"SpeedWithGangs"}), Message(expectedAck));
}

// Guards against agents that refuse all starts during an upgrade, because the
// orders of an earlier entry do not tell which report it had received.
TEST(Decode, OrdersOfAnEarlierEntryNameNoReport) {
  WorkerOrders orders{4, {"i-1", 7}, {}, {{"j.0.0.0", 1}}};
  const WorkerOrders expected = orders;
  orders.LastReport = 12;
  EXPECT_EQ(decodeWithout(orders, {"LastReport"}), Message(expected));
}

// Guards against entries that refuse each other's calls during an upgrade,
// because an earlier one does not limit the age of the configuration.
TEST(Decode, ForwardedCallOfAnEarlierEntryLimitsNoAge) {
  ForwardedCall call{"state", "h", "/p/j", "key", 1200, "j", "", 4711};
  const ForwardedCall expected = call;
  call.MaxConfigAgeMs = 300;
  EXPECT_EQ(decodeWithout(call, {"MaxConfigAgeMs"}), Message(expected));
}

// Guards against entries that refuse each other's calls during an upgrade, and
// against a refusal by an earlier one that knows nothing of open writes.
TEST(Decode, CallsAndAnswersOfAnEarlierEntryTellNothingOfOpenWrites) {
  ForwardedCall call{"submit", "h", "/p/j", "key", 1200, "j", "b", 4711, 300};
  const ForwardedCall expectedCall = call;
  call.OpenRevision = 4700;
  call.OpenOrganisations = {"org"};
  call.AllowedBy = {4700, 12};
  EXPECT_EQ(
      decodeWithout(call, {"OpenRevision", "OpenOrganisations", "AllowedBy"}),
      Message(expectedCall));
  ForwardedAnswer answer{"bad_key", "", 0, "queued", 0, {4711, 12}, "tcp://e"};
  const ForwardedAnswer expectedAnswer = answer;
  answer.Settled = true;
  EXPECT_EQ(decodeWithout(answer, {"Settled"}), Message(expectedAnswer));
}

// Guards against entries that refuse each other's answers during an upgrade.
TEST(Decode, AnswerOfAnEarlierEntryTellsOfNoNewerConfiguration) {
  ForwardedAnswer answer{"ok", "", 0, "queued", 0, {4711, 12}, "tcp://e", true};
  const ForwardedAnswer expected = answer;
  answer.NewestKnown = {4715, 13};
  EXPECT_EQ(decodeWithout(answer, {"NewestKnown"}), Message(expected));
}

// A message of another version, or a corrupted frame, must give a typed error
// with which the reply thread answers, and must not crash the agent or the
// entry.
TEST(Decode, InvalidBytesGiveABadMessageError) {
  auto kind = utils::handle<utils::ErrorKind>(
      [&]() -> utils::Result<utils::ErrorKind> {
        BOOST_LEAF_CHECK(decode("\xff\x00garbage"));
        return utils::ErrorKind::Transport;
      },
      [](const utils::Error &e) { return e.Kind; });
  EXPECT_EQ(kind, utils::ErrorKind::BadMessage);
}

std::string cborOf(const nlohmann::json &document) {
  const std::vector<uint8_t> bytes = nlohmann::json::to_cbor(document);
  return {bytes.begin(), bytes.end()};
}

struct OddCase {
  const char *Name;
  std::string Bytes;
};

void PrintTo(const OddCase &c, std::ostream *out) { *out << c.Name; }

class OddMessages : public testing::TestWithParam<OddCase> {};

// Guards against messages that end the process that receives them.
TEST_P(OddMessages, AreRefusedWithAShortReadableText) {
  const std::string text = utils::handle<std::string>(
      [&]() -> utils::Result<std::string> {
        BOOST_LEAF_CHECK(decode(GetParam().Bytes));
        return std::string();
      },
      [](const utils::Error &e) { return e.text(); });
  EXPECT_FALSE(text.empty());
  EXPECT_LT(text.size(), 400u);
  EXPECT_TRUE(utils::isUtf8(text)) << text;
}

const OddCase OddCases[] = {
    {"empty", ""},
    {"byte_ff", "\xff"},
    {"json", R"({"type":"ack","body":{}})"},
    {"no_object", cborOf(5)},
    {"no_type", cborOf({{"body", 1}})},
    {"type_is_no_text", cborOf({{"type", 1}, {"body", 1}})},
    {"unknown_type", cborOf({{"type", std::string(5000, 'x')}, {"body", 1}})},
    {"body_of_another_type", cborOf({{"type", "ack"}, {"body", {1}}})},
    {"very_deep", std::string(900000, '\x81') + '\x80'},
    {"text_not_utf8", cborOf({{"type", "\xff"}, {"body", 1}})},
    {"orders_not_utf8",
     encode(WorkerOrders{4, {"i-1", 7}, {{"j.0.0.1", 2, "\xff"}}, {}})},
    {"agent_not_utf8",
     [] {
       WorkerReport report;
       report.Agent = "\xff";
       return encode(report);
     }()},
};

INSTANTIATE_TEST_SUITE_P(Table, OddMessages, testing::ValuesIn(OddCases),
                         [](const auto &info) { return info.param.Name; });

TEST(Decode, RecordsInMessagesMayHoldAnyBytes) {
  const JobWritten written{"oriolebay/jobs/j/spec", "\xff\x80", 12};
  EXPECT_EQ(decode(encode(written)).value(), Message(written));
  ForwardedCall call;
  call.Record = "\xff\x80";
  EXPECT_EQ(decode(encode(call)).value(), Message(call));
}

} // namespace
