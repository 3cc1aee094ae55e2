#include "cluster/seeds.h"
#include "endpoints/messages.h"
#include "jobs/jobrecord.h"
#include "jobssite.h"
#include "testnames.h"
#include "waituntil.h"

#include <gtest/gtest.h>

#include <nng/nng.h>
#include <nng/protocol/reqrep0/req.h>

#include <functional>

namespace oriolebay::testing_system {
namespace {

using nlohmann::json;
using testwaits::waitUntil;

constexpr nng_duration PeerTimeoutMs = 5000;

/// Bodies that are no message at all, whoever receives them.
std::vector<std::string> unreadableBodies() {
  return {"",
          "\xff",
          std::string(1, '\0'),
          "\xc3\x28",
          "{\"service\":\"\xff\xfe\",\"spec\":\"\xff\"}",
          "{\"\xff\":1}",
          "[]",
          "5",
          "null",
          "<html>",
          "{",
          "{} {}",
          "\"" + std::string(300000, 'x'),
          "{\"spec\":[1e999]}",
          R"({"spec":"\ud800"})",
          std::string(500000, '['),
          R"({"service":"s","spec":"x","steps":)" + std::string(200000, '[') +
              std::string(200000, ']') + "}",
          R"({"service":"s","capacity":)" + std::string(200000, '[') +
              std::string(200000, ']') + R"(,"steps":5})",
          R"({"service":5,"spec":5,"steps":5})"};
}

/// Changes some bytes of a valid message, so that it may be valid still.
std::string withChangedBytes(std::string bytes, std::mt19937_64 &random) {
  for (size_t n = 1 + random() % 4; n > 0; --n)
    bytes[random() % bytes.size()] = static_cast<char>(random());
  return bytes;
}

std::string validJob() {
  return json{{"spec", "x"},
              {"steps", {{{"count", 2}, {"cpu", 9000}, {"needs", "none"}}}}}
      .dump();
}

std::string validHeartbeat() {
  return json{{"service", "s"},
              {"capacity", {{"cpu", 1}, {"memMb", 1}, {"gpu", 0}}},
              {"labels", {"a", "r0"}},
              {"sequence", 1}}
      .dump();
}

/// Sends bytes to the port for peers. Returns whether anything was answered.
bool isAnsweredByPeer(int port, const std::string &bytes) {
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  nng_req0_open(&socket);
  nng_socket_set_ms(socket, NNG_OPT_RECVTIMEO, PeerTimeoutMs);
  nng_dial(socket, ("tcp://127.0.0.1:" + std::to_string(port)).c_str(), nullptr,
           0);
  nng_send(socket, const_cast<char *>(bytes.data()), bytes.size(), 0);
  char *reply = nullptr;
  size_t size = 0;
  const bool answered = nng_recv(socket, &reply, &size, NNG_FLAG_ALLOC) == 0;
  if (answered)
    nng_free(reply, size);
  nng_close(socket);
  return answered;
}

std::string jobPath(uint64_t number) {
  char id[17];
  std::snprintf(id, sizeof(id), "%016llx",
                static_cast<unsigned long long>(number));
  return std::string("/q/") + id;
}

class OddMessages : public testing::TestWithParam<int> {
protected:
  void SetUp() override {
    JobsSite::Options options;
    options.Seed = static_cast<uint64_t>(GetParam());
    Site = std::make_unique<JobsSite>(testnames::workDir(), options);
    Site->awaitService();
  }

  void expectAllRun(const std::string &after) {
    for (auto *processes : {&Site->Entries, &Site->Agents})
      for (const auto &process : *processes)
        EXPECT_TRUE(process->isRunning())
            << process->name() << " ended after " << after << "\n"
            << process->log().substr(
                   std::max<size_t>(process->log().size(), 600) - 600);
  }
  /// The site serves a new job at each entry.
  void expectService() {
    for (size_t n = 0; n < Site->Entries.size(); ++n)
      Site->completeJob(n, jobPath(0xf000 + n).substr(3));
  }
  int refusedMessages(const JobsProcess &process) {
    return process.eventCount("message.refused");
  }
  int postHeartbeat(size_t agent, const std::string &path,
                    const std::string &body) {
    return Site->callPort(Site->Agents[agent]->port("control"), "POST",
                          "/-/Instances." + path, body);
  }

  std::unique_ptr<JobsSite> Site;
  std::mt19937_64 Random{static_cast<uint64_t>(GetParam())};
};

// Guards against bodies and paths of callers, with and without a key, that end
// an entry.
TEST_P(OddMessages, OfCallersAreRefused) {
  for (const std::string &body : unreadableBodies()) {
    EXPECT_EQ(Site->call(0, "POST", jobPath(Random()), body), 400);
    EXPECT_EQ(Site->callWithoutKey(1, "POST", jobPath(Random()), body), 400);
    expectAllRun("a body of " + std::to_string(body.size()) + " bytes");
  }
  for (int i = 0; i < 150; ++i) {
    const std::string body = withChangedBytes(validJob(), Random);
    const int status = Site->call(0, "POST", jobPath(Random()), body);
    EXPECT_TRUE(status == 200 || status == 400) << status << body;
  }
  for (const char *method : {"GET", "POST", "DELETE"})
    for (const char *path :
         {"/q/%ff%fe", "/%ff/0123456789abcdef", "/%00", "/q/%c3%28/"}) {
      const int status = Site->call(0, method, path, validJob());
      EXPECT_TRUE(status >= 400 && status < 500) << status << path;
    }
  EXPECT_EQ(Site->callWithKey(0, "\xff\xfe", "GET", "/q/"), 401);
  expectAllRun("calls");
  EXPECT_GT(refusedMessages(*Site->Entries[0]), 0);
  expectService();
}

// Guards against requests to the agent that end it, and with it the tasks that
// it keeps alive.
TEST_P(OddMessages, OfWorkersAreRefused) {
  for (const std::string &body : unreadableBodies()) {
    EXPECT_EQ(postHeartbeat(0, "Heartbeat/i-other", body), 400);
    EXPECT_EQ(postHeartbeat(0, "Deregister/i-other", body), 200);
    expectAllRun("a body of " + std::to_string(body.size()) + " bytes");
  }
  for (int i = 0; i < 150; ++i) {
    const int status = postHeartbeat(
        1, "Heartbeat/i-other", withChangedBytes(validHeartbeat(), Random));
    EXPECT_TRUE(status == 200 || status == 400) << status;
  }
  for (const char *path : {"Heartbeat/%ff", "Heartbeat/", "Deregister/%ff%fe"})
    EXPECT_EQ(postHeartbeat(0, path, validHeartbeat()), 400) << path;
  EXPECT_EQ(
      postHeartbeat(0, "Heartbeat/" + std::string(300, 'x'), validHeartbeat()),
      400);
  expectAllRun("heartbeats");
  EXPECT_GT(refusedMessages(*Site->Agents[0]), 0);
  expectService();
}

// Guards against messages to the port of entries and agents for each other that
// end the receiver.
TEST_P(OddMessages, OfPeersAreRefused) {
  std::vector<int> ports;
  for (auto *processes : {&Site->Entries, &Site->Agents})
    for (const auto &process : *processes)
      ports.push_back(process->port("peers"));
  std::vector<std::string> messages = unreadableBodies();
  messages.push_back(std::string(900000, '\x81') + '\x80');
  endpoints::WorkerReport report;
  report.Agent = "other";
  const std::vector<endpoints::Message> valid = {
      report, endpoints::WorkerOrders{1, {"w0", 0}, {{"j.0.0.0", 1, "x"}}, {}},
      endpoints::JobWritten{"oriolebay/jobs/j/spec", "x", 1},
      endpoints::ForwardedCall{"submit", "h", "/q/j", "key", 1000, "j", "x"}};
  for (int i = 0; i < 60; ++i)
    for (const endpoints::Message &message : valid)
      messages.push_back(withChangedBytes(endpoints::encode(message), Random));
  for (size_t i = 0; i < messages.size(); ++i)
    EXPECT_TRUE(isAnsweredByPeer(ports[i % ports.size()], messages[i])) << i;
  expectAllRun("messages of peers");
  expectService();
}

// Values of the store that no entry has written are left alone.
TEST_P(OddMessages, StoredByOtherWritersAreLeftAlone) {
  std::vector<std::string> values = unreadableBodies();
  values.push_back(std::string(900000, '\x81') + '\x80');
  jobs::JobRecord record;
  record.Spec.Id = "0000000000000bad";
  record.Spec.Queue = "q";
  record.Spec.Steps.resize(1);
  record.Spec.Steps[0].Count = 1000000000;
  values.push_back(jobs::encode(record));
  record.Spec.Steps[0].Count = 1;
  record.Spec.Steps[0].After = {70000};
  values.push_back(jobs::encode(record));
  record.Spec.Steps[0].After.clear();
  record.Spec.Payload = "\xff";
  values.push_back(jobs::encode(record));
  for (int i = 0; i < 40; ++i)
    values.push_back(withChangedBytes(jobs::encode(record), Random));
  const std::vector<std::string> keys = {
      "op/config",
      "op/evacuate/dx",
      "oriolebay/entries/other",
      "oriolebay/jobs/0000000000000bad/spec",
      "oriolebay/jobs/0000000000000bad/progress",
      "oriolebay/jobs/\xc3\xa9/spec",
      "oriolebay/jobs//spec",
      "oriolebay/jobs/x"};
  for (const std::string &value : values)
    for (const std::string &key : keys)
      Site->put(key, value);
  expectService();
  expectAllRun("stored values");
  EXPECT_GT(Site->Entries[0]->eventCount("record.refused"), 0);
}

// Answers of the store and the workers that cannot be read are not used.
TEST_P(OddMessages, InAnswersAreNotUsed) {
  constexpr double ChangedAnswers = 0.2;
  constexpr int Answers = 400;
  Site->setChangedAnswers(ChangedAnswers);
  const int before = Site->answerCount();
  uint64_t job = 0xe000;
  while (Site->answerCount() < before + Answers)
    Site->call(0, "POST", jobPath(++job), validJob());
  expectAllRun("changed answers");
  Site->setChangedAnswers(0);
  expectService();
  expectAllRun("changed answers");
}

constexpr int LastSeedInCi = 2;
const auto [FirstSeed, LastSeed] = cluster::seedsToRun(LastSeedInCi);

INSTANTIATE_TEST_SUITE_P(Seeds, OddMessages,
                         testing::Range(FirstSeed, LastSeed + 1));

} // namespace
} // namespace oriolebay::testing_system
