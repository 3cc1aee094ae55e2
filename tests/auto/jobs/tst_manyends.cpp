// More ends of runs than a worker lists at a time, beside faults during which
// none of them can be acknowledged.
#include "simsitesetup.h"
#include "testnames.h"

#include <gtest/gtest.h>

#include <string>

namespace oriolebay::jobs {
namespace {

constexpr int Tasks = 20;
constexpr core::Resources SmallTask = {100, 100, 0};
constexpr int64_t WorkMs = 3000;
constexpr absl::Duration OutageTime = absl::Milliseconds(4500);

struct EndsCase : testnames::NamedRow {
  /// Number of ends that the worker lists at a time.
  size_t EndsListed;
  bool IsStoreDown;
  bool IsLeaderLost;
};

class ManyEnds : public testing::TestWithParam<EndsCase> {};

// Guards against tasks that are done and run again, because the worker could
// not list their ends beside others that were not acknowledged.
TEST_P(ManyEnds, AreOfRunsThatDoNotStartAgain) {
  SimSite site;
  site.addWorker("w0", "r0").MaxEndsListed = GetParam().EndsListed;
  site.runFor(absl::Milliseconds(600));
  site.submit(jobOf("j", makeStep(Tasks, SmallTask, WorkMs)));
  site.runFor(absl::Milliseconds(WorkMs - 500));
  ASSERT_EQ(site.starts(), Tasks);
  site.StoreDown = GetParam().IsStoreDown;
  site.runFor(OutageTime);
  site.StoreDown = false;
  if (GetParam().IsLeaderLost)
    site.changeLeader();
  EXPECT_TRUE(site.runUntilAllEnded(absl::Minutes(1)));
  site.runFor(absl::Seconds(10));
  EXPECT_EQ(site.starts(), Tasks);
  EXPECT_TRUE(site.violations().empty());
}

INSTANTIATE_TEST_SUITE_P(
    Table, ManyEnds,
    testing::Values(EndsCase{"AllListed", 500, true, false},
                    EndsCase{"AllListedToTheNextLeader", 500, true, true},
                    EndsCase{"ListedInParts", 5, true, false},
                    EndsCase{"ListedOneByOne", 1, true, false},
                    EndsCase{"ListedInPartsToTheNextLeader", 5, true, true}),
    [](const auto &test) { return std::string(test.param.Name); });

} // namespace
} // namespace oriolebay::jobs
