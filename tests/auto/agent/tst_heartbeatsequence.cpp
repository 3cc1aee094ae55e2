#include "agent/heartbeatsequence.h"
#include "agentfixture.h"

#include <gtest/gtest.h>

#include <limits>
#include <vector>

namespace oriolebay::agent {
namespace {

constexpr int64_t Largest = std::numeric_limits<int64_t>::max();
constexpr absl::Duration SeriesTime = absl::Seconds(3);

/// A heartbeat, when it is received, and whether it counts as current.
struct Received {
  int64_t Number;
  int64_t AtMs;
  bool IsCurrent;
};

struct SequenceCase {
  const char *Name;
  std::vector<Received> Heartbeats;
};

void PrintTo(const SequenceCase &c, std::ostream *out) { *out << c.Name; }

class HeartbeatNumbers : public testing::TestWithParam<SequenceCase> {};

// Guards against the state of a delayed heartbeat, and against a number of
// another writer after which no heartbeat counts any more.
TEST_P(HeartbeatNumbers, TellCurrentFromDelayed) {
  HeartbeatSequence sequence(SeriesTime);
  sequence.begin(1);
  for (const Received &h : GetParam().Heartbeats)
    EXPECT_EQ(sequence.accept(h.Number,
                              absl::UnixEpoch() + absl::Milliseconds(h.AtMs)),
              h.IsCurrent)
        << "number " << h.Number << " at " << h.AtMs << " ms";
}

INSTANTIATE_TEST_SUITE_P(
    Table, HeartbeatNumbers,
    testing::Values(
        SequenceCase{"rising",
                     {{2, 0, true}, {3, 1500, true}, {9, 3000, true}}},
        SequenceCase{"delayed_one", {{5, 0, true}, {3, 100, false}}},
        SequenceCase{"same_again", {{5, 0, true}, {5, 5000, false}}},
        SequenceCase{"delayed_ones_that_an_outage_has_held_up",
                     {{9, 0, true},
                      {3, 100, false},
                      {4, 101, false},
                      {5, 102, false},
                      {10, 1500, true}}},
        SequenceCase{"delayed_ones_between_current_ones",
                     {{9, 0, true},
                      {3, 1000, false},
                      {10, 1500, true},
                      {4, 4500, false},
                      {11, 4600, true}}},
        SequenceCase{"the_same_delayed_one_for_long",
                     {{9, 0, true}, {3, 100, false}, {3, 5000, false}}},
        SequenceCase{"largest_of_another_writer",
                     {{Largest, 0, true},
                      {2, 1500, false},
                      {3, 3000, false},
                      {4, 4500, true},
                      {5, 6000, true}}}),
    [](const auto &info) { return info.param.Name; });

// Guards against a worker whose shutdown is not noticed after one heartbeat
// with a number that is too large.
TEST(WorkerAgent, NoticesAShutdownAfterAHeartbeatOfAnotherWriter) {
  AgentFixture fixture;
  const int64_t number = fixture.NextHeartbeat.Sequence;
  fixture.NextHeartbeat.Sequence = Largest - 1;
  fixture.sendHeartbeat();
  fixture.NextHeartbeat.Sequence = number;
  fixture.NextHeartbeat.Worker.Draining = true;
  fixture.Loop.advance(absl::Seconds(9));
  EXPECT_TRUE(fixture.Reports.back().Worker.Draining);
}

} // namespace
} // namespace oriolebay::agent
