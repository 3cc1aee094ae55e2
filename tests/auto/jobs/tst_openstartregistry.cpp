#include "jobs/openstartregistry.h"

#include <gtest/gtest.h>

namespace oriolebay::jobs {
namespace {

using endpoints::MaxOrderDelay;
using endpoints::RunId;

constexpr absl::Time Start = absl::UnixEpoch();
const RunId FirstRun{"j.0.0.0", 1};

// An attempt counts as open for as long as the agent lists it.
TEST(OpenStartRegistry, RemembersWhatTheAgentListsLast) {
  endpoints::WorkerReport report;
  report.Agent = "agent";
  report.OpenStarts = {{"j.0.0.0", 1, 4000}, {"j.0.0.1", 1, 4000}};
  OpenStartRegistry registry;
  registry.applyReport(report, Start);
  report.OpenStarts = {{"j.0.0.0", 1, 3000}};
  registry.applyReport(report, Start + absl::Seconds(2));
  EXPECT_EQ(registry.listedUntil("agent", FirstRun), Start + absl::Seconds(5));
  EXPECT_EQ(registry.listedUntil("agent", {"j.0.0.1", 1}),
            absl::InfinitePast());
  EXPECT_EQ(registry.listedUntil("other", FirstRun), absl::InfinitePast());
}

struct UnknownCase {
  const char *Name;
  /// For how long the agent has tracked its starts when it reports.
  absl::Duration KnownFor;
  /// When the run was first ordered, before the report.
  absl::Duration OrderedBefore;
  /// Age of the report.
  absl::Duration Age;
  /// Expected time until which a start may be open, after the report; zero if
  /// none may.
  absl::Duration OpenFor;
};

void PrintTo(const UnknownCase &c, std::ostream *out) { *out << c.Name; }

class UnknownStarts : public testing::TestWithParam<UnknownCase> {};

TEST_P(UnknownStarts, MayBeOpenUntil) {
  const UnknownCase &c = GetParam();
  endpoints::WorkerReport report;
  report.Agent = "agent";
  report.StartsKnownForMs = absl::ToInt64Milliseconds(c.KnownFor);
  OpenStartRegistry registry;
  registry.applyReport(report, Start);
  EXPECT_EQ(
      registry.unknownUntil("agent", Start - c.OrderedBefore, Start + c.Age),
      c.OpenFor == absl::ZeroDuration() ? absl::InfinitePast()
                                        : Start + c.OpenFor);
}

TEST(UnknownStarts, OfAnAgentThatHasNotReportedAreNotBounded) {
  EXPECT_EQ(OpenStartRegistry().unknownUntil("agent", Start, Start),
            std::nullopt);
}

INSTANTIATE_TEST_SUITE_P(
    Table, UnknownStarts,
    testing::Values(UnknownCase{"ordered_after_the_agent_began",
                                absl::Seconds(3), absl::Seconds(2),
                                absl::ZeroDuration(), absl::ZeroDuration()},
                    UnknownCase{"ordered_before_the_agent_began",
                                absl::Seconds(3), absl::Seconds(4),
                                absl::ZeroDuration(),
                                MaxOrderDelay - absl::Seconds(3)},
                    UnknownCase{"ordered_by_an_earlier_leader",
                                absl::Seconds(3), absl::InfiniteDuration(),
                                absl::Seconds(1),
                                MaxOrderDelay - absl::Seconds(3)},
                    UnknownCase{"all_starts_too_old", absl::Seconds(3),
                                absl::InfiniteDuration(), MaxOrderDelay,
                                absl::ZeroDuration()},
                    UnknownCase{"agent_of_long_standing", MaxOrderDelay,
                                absl::InfiniteDuration(), absl::ZeroDuration(),
                                absl::ZeroDuration()}),
    [](const auto &test) { return std::string(test.param.Name); });

} // namespace
} // namespace oriolebay::jobs
