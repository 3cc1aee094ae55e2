#include "jobs/unansweredwrites.h"

#include <gtest/gtest.h>

#include <ostream>
#include <vector>

namespace oriolebay::jobs {
namespace {

constexpr int SeenAfterMs = 250;
constexpr int None = -1;

absl::Time at(int ms) { return absl::UnixEpoch() + absl::Milliseconds(ms); }

struct SentWrite {
  int SentMs;
  int EndsMs;
};

struct Case {
  const char *Name;
  std::vector<SentWrite> Sent;
  int ReceivedMs;
  /// None if any configuration will do.
  int OldestConfirmationMs;
};

void PrintTo(const Case &c, std::ostream *out) { *out << c.Name; }

class OldestConfirmation : public testing::TestWithParam<Case> {};

TEST_P(OldestConfirmation, FollowsFromTheUnansweredWrites) {
  UnansweredWrites writes{absl::Milliseconds(SeenAfterMs)};
  for (const SentWrite &sent : GetParam().Sent)
    writes.add(at(sent.SentMs), at(sent.EndsMs));
  const absl::Time oldest =
      writes.oldestConfirmation(at(GetParam().ReceivedMs));
  EXPECT_EQ(oldest, GetParam().OldestConfirmationMs == None
                        ? absl::InfinitePast()
                        : at(GetParam().OldestConfirmationMs));
}

INSTANTIATE_TEST_SUITE_P(
    Table, OldestConfirmation,
    testing::Values(
        Case{"NoWrites", {}, 5000, None},
        Case{"EffectNotReliedOnYet", {{1000, 9000}}, 1250, None},
        Case{"EffectMayBeReliedOn", {{1000, 9000}}, 1251, 1001},
        Case{"AnyEffectUntilTheEnd", {{1000, 9000}}, 8000, 7750},
        Case{"NoEffectAfterTheEnd", {{1000, 9000}}, 12000, 9000},
        Case{"LatestOfSeveral", {{1000, 3000}, {2000, 4000}}, 8000, 4000},
        Case{"OlderOneWhileTheNewerIsJustSent",
             {{1000, 3000}, {7900, 20000}},
             8000,
             3000}),
    [](const auto &info) { return info.param.Name; });

TEST(UnansweredWrites, AnsweredOnesRequireNothing) {
  UnansweredWrites writes{absl::Milliseconds(SeenAfterMs)};
  const UnansweredWrites::Id id = writes.add(at(1000), at(9000));
  writes.remove(id);
  EXPECT_EQ(writes.oldestConfirmation(at(5000)), absl::InfinitePast());
}

// Guards against writes that are kept for ever because their answers are lost.
TEST(UnansweredWrites, EndedOnesAreRemoved) {
  UnansweredWrites writes{absl::Milliseconds(SeenAfterMs)};
  writes.add(at(1000), at(3000));
  writes.add(at(1000), at(9000));
  writes.removeEndedBy(at(3000));
  EXPECT_EQ(writes.count(), 1u);
}

} // namespace
} // namespace oriolebay::jobs
