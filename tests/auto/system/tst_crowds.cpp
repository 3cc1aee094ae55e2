#include "crowdmessages.h"
#include "crowdsite.h"

#include <gtest/gtest.h>

#include <csignal>
#include <functional>
#include <ostream>

namespace oriolebay::testing_system {
namespace {

/// Memory of a host, lowered so that a small crowd exceeds it, and without
/// that.
constexpr int SmallMemoryMb = 64;
constexpr int AgentMemoryMb = 128;
constexpr int EntryMemoryMb = 260;
/// More connections than a server accepts.
constexpr int ManyClients = 1100;

/// What the clients of a crowd send at one door.
struct CrowdRow {
  const char *Name;
  Door At;
  int Clients;
  std::function<CrowdMessage(const std::string &head)> Message;
  int MemoryMb = SmallMemoryMb;
  int Answers = 0;
  /// Begins each request; else headOf() the door.
  std::function<std::string(int number)> Head = nullptr;
};

void PrintTo(const CrowdRow &row, std::ostream *out) { *out << row.Name; }

std::vector<CrowdMessage> messagesOf(const CrowdRow &row) {
  std::vector<CrowdMessage> messages;
  for (int n = 0; n < row.Clients; ++n)
    messages.push_back(row.Message(row.Head ? row.Head(n) : headOf(row.At, n)));
  return messages;
}

class CrowdAtADoor : public testing::TestWithParam<CrowdRow> {};

// Guards against clients at one door that take more memory than the process
// has, or all places of ordinary callers.
TEST_P(CrowdAtADoor, LeavesTheProcessServing) {
  const CrowdRow &row = GetParam();
  CrowdSite site(row.MemoryMb, 1);
  site.watch(site.processOf(row.At));
  Crowd crowd(site.portOf(row.At), messagesOf(row), row.Answers);
  site.awaitHeld(crowd);
  EXPECT_TRUE(site.completesJob(0)) << "no job beside the crowd";
  crowd.leave();
  EXPECT_TRUE(site.isAnsweredAt(row.At)) << "no answer after the crowd";
  EXPECT_TRUE(site.completesJob(0)) << "no job after the crowd";
  site.expectWithinLimits();
}

std::string invalidKeyHead(int number) {
  return callHead("POST", number, "unknown");
}

std::string getHead(int number) { return callHead("GET", number); }

INSTANTIATE_TEST_SUITE_P(
    Bodies, CrowdAtADoor,
    testing::Values(
        CrowdRow{"callers_whole", Door::Callers, 250, unfinishedWhole},
        CrowdRow{"ready_whole", Door::Ready, 250, unfinishedWhole},
        CrowdRow{"control_whole", Door::Control, 250, unfinishedWhole},
        CrowdRow{"metrics_whole", Door::Metrics, 250, unfinishedWhole},
        CrowdRow{"callers_whole_of_get", Door::Callers, 250, unfinishedWhole,
                 SmallMemoryMb, 0, getHead},
        CrowdRow{"callers_whole_invalid_key", Door::Callers, 250,
                 unfinishedWhole, SmallMemoryMb, 0, invalidKeyHead},
        CrowdRow{"callers_pieces", Door::Callers, 250, unfinishedPieces},
        CrowdRow{"control_pieces", Door::Control, 250, unfinishedPieces},
        CrowdRow{"callers_chunks", Door::Callers, 250, unfinishedChunks},
        CrowdRow{"ready_chunks", Door::Ready, 250, unfinishedChunks},
        CrowdRow{"control_chunks", Door::Control, 250, unfinishedChunks},
        CrowdRow{"metrics_chunks", Door::Metrics, 250, unfinishedChunks},
        CrowdRow{"callers_tiny_chunks", Door::Callers, 600,
                 unfinishedTinyChunks},
        CrowdRow{"control_tiny_chunks", Door::Control, 600,
                 unfinishedTinyChunks}),
    [](const auto &info) { return std::string(info.param.Name); });

INSTANTIATE_TEST_SUITE_P(
    OverTheLimit, CrowdAtADoor,
    testing::Values(
        CrowdRow{"callers_announced", Door::Callers, 100,
                 announcedFarOverLimit},
        CrowdRow{"ready_announced", Door::Ready, 100, announcedFarOverLimit},
        CrowdRow{"control_announced", Door::Control, 100,
                 announcedFarOverLimit},
        CrowdRow{"metrics_announced", Door::Metrics, 100,
                 announcedFarOverLimit},
        CrowdRow{"callers_endless", Door::Callers, 60, chunksWithoutEnd},
        CrowdRow{"ready_endless", Door::Ready, 60, chunksWithoutEnd},
        CrowdRow{"control_endless", Door::Control, 60, chunksWithoutEnd},
        CrowdRow{"metrics_endless", Door::Metrics, 60, chunksWithoutEnd},
        CrowdRow{"callers_headers", Door::Callers, 250, headersWithoutEnd},
        CrowdRow{"ready_headers", Door::Ready, 250, headersWithoutEnd},
        CrowdRow{"control_headers", Door::Control, 250, headersWithoutEnd},
        CrowdRow{"metrics_headers", Door::Metrics, 250, headersWithoutEnd}),
    [](const auto &info) { return std::string(info.param.Name); });

INSTANTIATE_TEST_SUITE_P(
    Complete, CrowdAtADoor,
    testing::Values(CrowdRow{"many_steps", Door::Callers, 250, callOfManySteps,
                             SmallMemoryMb, 1},
                    CrowdRow{"many_steps_invalid_key", Door::Callers, 250,
                             callOfManySteps, SmallMemoryMb, 1, invalidKeyHead},
                    CrowdRow{"nested", Door::Callers, 250, callOfNestedBody,
                             SmallMemoryMb, 1},
                    CrowdRow{"unread_answers", Door::Callers, 100, unreadCalls,
                             SmallMemoryMb, 0, getHead}),
    [](const auto &info) { return std::string(info.param.Name); });

INSTANTIATE_TEST_SUITE_P(
    BeyondTheConnections, CrowdAtADoor,
    testing::Values(CrowdRow{"callers_slow", Door::Callers, ManyClients,
                             slowBody, AgentMemoryMb},
                    CrowdRow{"callers_slow_small", Door::Callers, ManyClients,
                             slowSmallBody, AgentMemoryMb},
                    CrowdRow{"callers_slow_headers", Door::Callers, ManyClients,
                             slowHeaders, AgentMemoryMb},
                    CrowdRow{"callers_whole", Door::Callers, ManyClients,
                             unfinishedWhole, EntryMemoryMb}),
    [](const auto &info) { return std::string(info.param.Name); });

// Guards against a limit for each door where one for the process is needed.
TEST(Crowds, AtTwoDoorsLeaveTheProcessServing) {
  constexpr int ClientsPerDoor = 150;
  CrowdSite site(SmallMemoryMb, 1);
  site.watch(site.processOf(Door::Callers));
  Crowd callers(
      site.portOf(Door::Callers),
      messagesOf({"", Door::Callers, ClientsPerDoor, unfinishedWhole}));
  Crowd checks(site.portOf(Door::Ready),
               messagesOf({"", Door::Ready, ClientsPerDoor, unfinishedWhole}));
  site.awaitHeld(callers);
  site.awaitHeld(checks);
  EXPECT_TRUE(site.completesJob(0)) << "no job beside the crowds";
  callers.leave();
  checks.leave();
  EXPECT_TRUE(site.isAnsweredAt(Door::Ready));
  EXPECT_TRUE(site.completesJob(0)) << "no job after the crowds";
  site.expectWithinLimits();
}

// Guards against connections that the process keeps, with what they have sent,
// after their clients have closed them.
TEST(Crowds, ThatCloseAtOnceLeaveTheProcessServing) {
  constexpr int Crowds = 4;
  CrowdSite site(SmallMemoryMb, 1);
  site.watch(site.processOf(Door::Callers));
  for (int n = 0; n < Crowds; ++n) {
    Crowd crowd(site.portOf(Door::Callers),
                messagesOf({"", Door::Callers, 250, unfinishedWhole}));
    crowd.awaitHeld();
    crowd.leave();
  }
  EXPECT_TRUE(site.completesJob(0)) << "no job after the crowds";
  site.expectWithinLimits();
}

// Guards against calls that wait for the next leader and exhaust the memory of
// their entry, and against refused jobs that run.
TEST(Crowds, WhileTheLeaderIsKilledLeaveTheProcessServing) {
  constexpr int Clients = 250;
  CrowdSite site(SmallMemoryMb, 2);
  auto &entries = site.site().Entries;
  const size_t leader = entries[0]->eventCount("leader.elected") > 0 ? 0 : 1;
  const size_t other = 1 - leader;
  site.watch(*entries[other]);
  std::vector<CrowdMessage> messages;
  for (int n = 0; n < Clients; ++n)
    messages.push_back(inOnePart(callHead("POST", n), largeShortJob()));
  entries[leader]->signal(SIGKILL);
  Crowd crowd(entries[other]->port("callers"), messages, 1);
  site.awaitHeld(crowd);
  crowd.leave();
  EXPECT_TRUE(site.completesJob(other)) << "no job after the crowd";
  site.expectRefusedJobsNotStored(crowd.statuses(), 1);
  site.expectWithinLimits();
}

// Guards against thousands of small jobs that wait for the store and exhaust
// the memory of their entry, and against refused jobs that run.
TEST(Crowds, OfJobsThatWaitForTheStoreLeaveTheProcessServing) {
  constexpr int Clients = 1000;
  constexpr int JobsPerClient = 4;
  CrowdSite site(AgentMemoryMb, 1);
  site.watch(site.processOf(Door::Callers));
  const std::string body = smallJob();
  std::vector<CrowdMessage> messages(Clients);
  for (int n = 0; n < Clients * JobsPerClient; ++n)
    messages[static_cast<size_t>(n / JobsPerClient)].Start +=
        inOnePart(callHead("POST", n) + "Oriolebay-Deadline-Ms: 500\r\n", body)
            .text();
  site.site().setStoreFaults([](const std::string &, const ProxyRequest &) {
    return ProxyFault::StaySilent;
  });
  Crowd crowd(site.portOf(Door::Callers), messages, JobsPerClient);
  site.awaitHeld(crowd);
  site.site().setStoreFaults(nullptr);
  crowd.leave();
  EXPECT_TRUE(site.completesJob(0)) << "no job after the crowd";
  site.expectRefusedJobsNotStored(crowd.statuses(), JobsPerClient);
  site.expectWithinLimits();
}

/// A single call inside the limits.
struct LegalCall {
  const char *Name;
  CrowdMessage (*Message)(const std::string &head, const std::string &body);
};

void PrintTo(const LegalCall &row, std::ostream *out) { *out << row.Name; }

class LargestCall : public testing::TestWithParam<LegalCall> {};

// Guards against limits that refuse what callers may send.
TEST_P(LargestCall, IsServedWhenThereIsNoCrowd) {
  CrowdSite site(SmallMemoryMb, 1);
  site.watch(site.processOf(Door::Callers));
  Crowd caller(site.portOf(Door::Callers),
               {GetParam().Message(callHead("POST", 0), largestJob())}, 1);
  site.awaitHeld(caller);
  caller.leave();
  EXPECT_EQ(caller.statuses()[0], std::vector<int>{200});
  EXPECT_EQ(site.site().call(0, "GET", "/q/" + jobId(0), ""), 200);
  EXPECT_EQ(site.site().call(0, "DELETE", "/q/" + jobId(0), ""), 200);
  site.expectWithinLimits();
}

INSTANTIATE_TEST_SUITE_P(
    Table, LargestCall,
    testing::Values(LegalCall{"in_one_part", inOnePart},
                    LegalCall{"in_small_pieces", inSmallPieces},
                    LegalCall{"in_one_chunk", inOneChunk},
                    LegalCall{"in_tiny_chunks", inTinyChunks}),
    [](const auto &info) { return std::string(info.param.Name); });

} // namespace
} // namespace oriolebay::testing_system
