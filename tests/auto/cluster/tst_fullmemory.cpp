// More jobs than the entries have memory for.
#include "memorycluster.h"

#include "jobs/jobmemory.h"
#include "jobs/jobrecord.h"

#include <gtest/gtest.h>

#include <string>

namespace oriolebay::cluster {
namespace {

using jobs::CallResult;

constexpr const char *Key = "k1";
constexpr int Entries = 3;
/// An eighth of the memory of the hosts in these tests.
constexpr size_t Limit = 128'000'000 / 8;
constexpr absl::Duration CallTime = absl::Milliseconds(20);
/// How long jobs that have ended are kept, and some time for their removal.
constexpr absl::Duration Retention = absl::Seconds(200);

class FullMemory : public testing::Test {
protected:
  FullMemory() : Cluster({.Entries = Entries, .Workers = 2}) {
    Cluster.configure({Key});
    Cluster.runFor(absl::Seconds(5));
  }

  /// A job that no worker can run, and one that is soon over.
  static core::JobSpec job(int number, bool runs) {
    core::JobSpec spec = makeJob("job" + std::to_string(number), 1, 1, 10);
    spec.Payload = std::string(core::MaxPayloadBytes, 'x');
    if (!runs)
      spec.Steps.front().NeedsLabel = "none";
    return spec;
  }

  jobs::CallAnswer submit(int entry, core::JobSpec spec) {
    const auto call = Cluster.submit(entry, Key, std::move(spec));
    while (!call->Answer)
      Cluster.runFor(CallTime);
    return *call->Answer;
  }

  /// Submits jobs at all entries in turn until each has refused one. Returns
  /// the number of the first job that was refused.
  int fill(bool runs, absl::Duration pause) {
    int refusals = 0;
    int firstRefused = -1;
    for (; refusals < Entries; ++Submitted) {
      const jobs::CallAnswer answer =
          submit(Submitted % Entries, job(Submitted, runs));
      Cluster.runFor(pause);
      if (answer.Result == CallResult::Ok) {
        Accepted += jobs::memoryBytes(
            *Cluster.storedRecord("job" + std::to_string(Submitted)));
        continue;
      }
      EXPECT_EQ(answer.Result, CallResult::NoRoom);
      EXPECT_GE(answer.RetryAfterMs, 1000);
      EXPECT_FALSE(
          Cluster.storedState("job" + std::to_string(Submitted)).has_value());
      if (refusals++ == 0)
        firstRefused = Submitted;
    }
    return firstRefused;
  }

  MemoryCluster Cluster;
  int Submitted = 0;
  size_t Accepted = 0;
};

// Guards against entries that are ended for their memory by the number of jobs
// that they accept.
TEST_F(FullMemory, EndsTheAcceptanceOfJobs) {
  fill(false, absl::Milliseconds(100));
  EXPECT_LE(Accepted, Limit);
  EXPECT_GT(Accepted, Limit * 8 / 10);
}

// Guards against entries that each accept all that there is room for, because
// they do not hear of the others' jobs.
TEST_F(FullMemory, IsSharedByEntriesThatDoNotHearOfEachOther) {
  for (int n = 0; n < Entries; ++n)
    Cluster.store().faults(MemoryCluster::entryName(n)).WatchesSilent = true;
  fill(false, absl::ZeroDuration());
  EXPECT_LE(Accepted, Limit);
}

// Guards against an accepted job that is refused when it is submitted once
// more.
TEST_F(FullMemory, LeavesAcceptedJobsAccepted) {
  const int refused = fill(false, absl::Milliseconds(100));
  for (int entry = 0; entry < Entries; ++entry)
    EXPECT_EQ(submit(entry, job(0, false)).Result, CallResult::Ok);
  EXPECT_EQ(submit(0, job(refused, false)).Result, CallResult::NoRoom);
}

// Guards against entries that refuse jobs for good once they were full.
TEST_F(FullMemory, EndsWhenJobsAreRemoved) {
  const int refused = fill(true, absl::ZeroDuration());
  Cluster.runFor(Retention);
  EXPECT_EQ(submit(0, job(refused, true)).Result, CallResult::Ok);
}

} // namespace
} // namespace oriolebay::cluster
