// Tests what a caller is told if neither the store nor another entry serves its
// call.
#include "memorycluster.h"

#include <gtest/gtest.h>

#include <functional>

namespace oriolebay::cluster {
namespace {

using jobs::CallResult;

constexpr const char *Key = "k1";
constexpr int EntryCount = 3;
constexpr absl::Duration CallLimit = absl::Seconds(3);

struct OthersCase {
  const char *Name;
  /// What happens to each of the other entries.
  std::function<void(MemoryCluster &, int entry)> Disturb;
  CallResult Result;
};

void PrintTo(const OthersCase &c, std::ostream *out) { *out << c.Name; }

class UnreachableEntries : public testing::TestWithParam<OthersCase> {};

// Guards against an open answer for a job that certainly nobody has stored, and
// against a refusal of one that another entry may store.
TEST_P(UnreachableEntries, LeaveACallOpenOnlyIfTheyMayHaveReadIt) {
  MemoryCluster cluster({EntryCount, 2, 2, 1});
  cluster.configure({Key});
  cluster.runFor(absl::Seconds(4));
  const int entry = (cluster.leader() + 1) % EntryCount;
  cluster.store().faults(MemoryCluster::entryName(entry)).Refuses = true;
  for (int other = 0; other < EntryCount; ++other)
    if (other != entry)
      GetParam().Disturb(cluster, other);
  auto call = cluster.submit(entry, Key, makeJob("job", 1, 1, 300));
  cluster.runFor(CallLimit);
  ASSERT_TRUE(call->Answer);
  EXPECT_EQ(call->Answer->Result, GetParam().Result)
      << jobs::callResultName(call->Answer->Result);
  EXPECT_FALSE(cluster.storedState("job"));
}

const OthersCase OthersCases[] = {
    {"Ended", [](MemoryCluster &c, int entry) { c.killEntry(entry); },
     CallResult::NotDone},
    {"CutOff",
     [](MemoryCluster &c, int entry) {
       c.setPartitioned(MemoryCluster::entryName(entry), true);
     },
     CallResult::Open},
};

INSTANTIATE_TEST_SUITE_P(Table, UnreachableEntries,
                         testing::ValuesIn(OthersCases),
                         [](const auto &info) { return info.param.Name; });

} // namespace
} // namespace oriolebay::cluster
