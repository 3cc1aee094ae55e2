#include "jobs/callwrites.h"
#include "jobs/openjobs.h"

#include <gtest/gtest.h>

#include <functional>

namespace oriolebay::jobs {
namespace {

using platform::StoreStatus;

constexpr int64_t OldConfig = 10;
constexpr int64_t Config = 20;
constexpr int64_t NewConfig = 30;

struct WritesCase {
  const char *Name;
  std::function<void(CallWrites &)> Record;
  /// Revision of the configuration that the open writes depend on; zero if none
  /// is open.
  int64_t OpenRevision;
};

void PrintTo(const WritesCase &c, std::ostream *out) { *out << c.Name; }

void send(CallWrites &writes, int64_t revision, StoreStatus outcome) {
  writes.recordSent(revision);
  writes.recordOutcome(outcome);
}

class OpenWrites : public testing::TestWithParam<WritesCase> {};

// Guards against a refusal of a call whose write may be stored, and against an
// open answer for a call whose writes certainly are not.
TEST_P(OpenWrites, AreThoseThatMayBeStored) {
  CallWrites writes;
  GetParam().Record(writes);
  EXPECT_EQ(writes.openRevision(), GetParam().OpenRevision);
  EXPECT_EQ(writes.isOpen(), GetParam().OpenRevision != 0);
}

const WritesCase WritesCases[] = {
    {"None", [](CallWrites &) {}, 0},
    {"NotAnsweredYet", [](CallWrites &w) { w.recordSent(Config); }, Config},
    {"Done", [](CallWrites &w) { send(w, Config, StoreStatus::Ok); }, 0},
    {"Refused", [](CallWrites &w) { send(w, Config, StoreStatus::Refused); },
     0},
    {"InConflict",
     [](CallWrites &w) { send(w, Config, StoreStatus::Conflict); }, 0},
    {"WithoutAnswer",
     [](CallWrites &w) { send(w, Config, StoreStatus::Unknown); }, Config},
    {"RefusedAfterOneWithoutAnswer",
     [](CallWrites &w) {
       send(w, Config, StoreStatus::Unknown);
       send(w, Config, StoreStatus::Refused);
     },
     Config},
    {"NewestOfSeveral",
     [](CallWrites &w) {
       send(w, Config, StoreStatus::Unknown);
       send(w, OldConfig, StoreStatus::Unknown);
     },
     Config},
    {"NothingStoredWithANewerConfig",
     [](CallWrites &w) {
       send(w, Config, StoreStatus::Unknown);
       w.recordNothingStored(NewConfig);
     },
     0},
    {"NothingStoredYetWithTheSameConfig",
     [](CallWrites &w) {
       send(w, Config, StoreStatus::Unknown);
       w.recordNothingStored(Config);
     },
     Config},
    {"ThatDependOnNoConfig",
     [](CallWrites &w) {
       send(w, CallWrites::NoConfig, StoreStatus::Unknown);
       w.recordNothingStored(NewConfig);
     },
     CallWrites::NoConfig},
    {"OfAnotherEntry", [](CallWrites &w) { w.adopt(Config); }, Config},
    {"OfAnEntryThatDidNotAnswer",
     [](CallWrites &w) {
       w.recordUnansweredForward();
       w.recordNothingStored(NewConfig);
     },
     CallWrites::NoConfig},
    {"SettledByAnotherEntry",
     [](CallWrites &w) {
       send(w, Config, StoreStatus::Unknown);
       w.settle();
     },
     0},
};

INSTANTIATE_TEST_SUITE_P(Table, OpenWrites, testing::ValuesIn(WritesCases),
                         [](const auto &info) { return info.param.Name; });

TEST(CallWrites, CanBeSettledOnlyByANewerConfig) {
  CallWrites writes;
  send(writes, Config, StoreStatus::Unknown);
  EXPECT_FALSE(writes.canBeSettledBy(Config));
  EXPECT_TRUE(writes.canBeSettledBy(NewConfig));
  writes.recordUnansweredForward();
  EXPECT_FALSE(writes.canBeSettledBy(NewConfig));
}

// Guards against a later call that is told that its job never runs, while the
// write of an earlier one may be stored.
TEST(OpenJobs, AreKnownUntilTheLastCallIsSettledOrItsTimeIsOver) {
  const absl::Time now = absl::FromUnixSeconds(100);
  OpenJobs jobs;
  const OpenJobs::Id first = jobs.add("a", now + absl::Seconds(4), now);
  jobs.add("a", now + absl::Seconds(2), now);
  jobs.add("b", now + absl::Seconds(3), now);
  jobs.remove(first);
  EXPECT_TRUE(jobs.contains("a", now));
  EXPECT_FALSE(jobs.contains("c", now));
  EXPECT_FALSE(jobs.contains("a", now + absl::Seconds(2)));
  EXPECT_TRUE(jobs.contains("b", now + absl::Seconds(2)));
  jobs.remove(first);
  EXPECT_TRUE(jobs.contains("b", now + absl::Seconds(2)));
}

// Guards against memory that grows with each call at an entry that refuses
// nothing.
TEST(OpenJobs, AreDroppedWhenTheirTimeIsOverThoughNobodyAsks) {
  const absl::Time now = absl::FromUnixSeconds(100);
  OpenJobs jobs;
  for (int n = 0; n < 100; ++n)
    jobs.add(std::to_string(n), now + absl::Seconds(n + 1),
             now + absl::Seconds(n));
  EXPECT_EQ(jobs.count(), 1U);
}

} // namespace
} // namespace oriolebay::jobs
