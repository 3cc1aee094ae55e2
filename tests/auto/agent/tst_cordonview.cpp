#include "agent/cordonview.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

namespace oriolebay::agent {
namespace {

using Permission = CordonView::Permission;

constexpr absl::Duration MaxAge = absl::Seconds(3);

absl::Time at(int64_t ms) { return absl::UnixEpoch() + absl::Milliseconds(ms); }

/// The answer to a report that was sent at SentMs.
struct Answer {
  int64_t SentMs;
  bool Cordoned;
  int64_t AgeMs;
};

struct ViewCase {
  const char *Name;
  std::vector<Answer> Answers;
  int64_t NowMs;
  Permission Expected;
};

void PrintTo(const ViewCase &c, std::ostream *out) { *out << c.Name; }

class CordonViewAt : public testing::TestWithParam<ViewCase> {};

// Guards against starts with no view, an outdated one, or one that a delayed
// answer has replaced by an older one.
TEST_P(CordonViewAt, PermitsAsExpected) {
  CordonView view(MaxAge);
  for (const Answer &answer : GetParam().Answers) {
    endpoints::ReportAck ack;
    ack.Cordoned = answer.Cordoned;
    ack.CordonAgeMs = answer.AgeMs;
    view.apply(ack, at(answer.SentMs));
  }
  EXPECT_EQ(view.permission(at(GetParam().NowMs)), GetParam().Expected);
}

INSTANTIATE_TEST_SUITE_P(
    Table, CordonViewAt,
    testing::Values(
        ViewCase{"before_any_answer", {}, 10, Permission::Unknown},
        ViewCase{
            "answer_without_a_view", {{0, false, -1}}, 10, Permission::Unknown},
        ViewCase{"fresh", {{0, false, 400}}, 2500, Permission::Granted},
        ViewCase{"outdated_at_the_leader",
                 {{0, false, 400}},
                 2700,
                 Permission::Unknown},
        ViewCase{"outdated_here", {{0, false, 0}}, 3100, Permission::Unknown},
        ViewCase{"cordoned",
                 {{0, false, 0}, {500, true, 100}},
                 600,
                 Permission::Cordoned},
        ViewCase{"cordoned_and_outdated",
                 {{0, true, 0}},
                 9000,
                 Permission::Cordoned},
        ViewCase{"lifted",
                 {{0, true, 0}, {500, false, 100}},
                 600,
                 Permission::Granted},
        ViewCase{"older_view_of_another_leader",
                 {{0, true, 100}, {500, false, 2000}},
                 600,
                 Permission::Cordoned},
        ViewCase{"delayed_answer",
                 {{500, true, 100}, {0, false, 100}},
                 600,
                 Permission::Cordoned}),
    [](const auto &test) { return std::string(test.param.Name); });

TEST(CordonView, TellsWhenTheCordonChanges) {
  CordonView view(MaxAge);
  endpoints::ReportAck ack;
  ack.CordonAgeMs = 0;
  EXPECT_FALSE(view.apply(ack, at(0)));
  ack.Cordoned = true;
  EXPECT_TRUE(view.apply(ack, at(10)));
  EXPECT_FALSE(view.apply(ack, at(20)));
}

} // namespace
} // namespace oriolebay::agent
