// Tests that no call is refused while a write of it may be stored: a refused
// job never runs.
#include "memorycluster.h"

#include <gtest/gtest.h>

#include <functional>

namespace oriolebay::cluster {
namespace {

using jobs::CallResult;

constexpr const char *LastingKey = "k1";
constexpr const char *RevokedKey = "k2";
constexpr const char *LastingQueue = "q1";
constexpr const char *DroppedQueue = "dropped";
constexpr const char *JobId = "job";
/// Time for a caller's answer. Callers wait for three seconds.
constexpr absl::Duration CallLimit = absl::Seconds(3);
/// Time after which a write that got no answer is not carried out any more.
constexpr absl::Duration LateWriteLimit = absl::Seconds(7);

bool isRefusal(CallResult result) {
  return result != CallResult::Ok && result != CallResult::Open;
}

/// A cluster whose only fault is the one of the test.
class RefusingSite {
public:
  explicit RefusingSite(int entries) : Cluster({entries, 2, 2, 1}) {
    writeConfig({LastingKey, RevokedKey}, true);
    Cluster.runFor(absl::Seconds(4));
    Entry = entries > 1 ? (Cluster.leader() + 1) % entries : 0;
  }

  MemoryCluster &cluster() { return Cluster; }
  /// The entry that the caller asks. It does not lead if there are others.
  int entry() const { return Entry; }
  int otherEntry() const { return Cluster.leader(); }
  MemoryStore::Faults &storeFaults(int entry) {
    return Cluster.store().faults(MemoryCluster::entryName(entry));
  }
  MemoryStore::Faults &storeFaults() { return storeFaults(Entry); }

  void revokeKey() { writeConfig({LastingKey}, true); }
  void dropQueue() { writeConfig({LastingKey, RevokedKey}, false); }
  void requireAdvice() {
    writeConfig({LastingKey, RevokedKey}, true, /*needsAdvice=*/true);
  }

  std::shared_ptr<MemoryCluster::CallerCall> submit(int entry) {
    core::JobSpec job = makeJob(JobId, 1, 1, 300);
    job.Queue = DroppedQueue;
    return Cluster.submit(entry, RevokedKey, std::move(job));
  }
  std::shared_ptr<MemoryCluster::CallerCall> submit() { return submit(Entry); }

  /// Submits the job with its first write carried out and not answered.
  std::shared_ptr<MemoryCluster::CallerCall> submitWithLostAnswer() {
    storeFaults().LostAnswerShare = 1;
    auto call = submit();
    Cluster.runFor(absl::Milliseconds(50));
    storeFaults().LostAnswerShare = 0;
    return call;
  }

  CallResult resultOf(const std::shared_ptr<MemoryCluster::CallerCall> &call) {
    const absl::Time end = Cluster.loop().now() + CallLimit;
    while (!call->Answer && Cluster.loop().now() < end)
      Cluster.runFor(absl::Milliseconds(1));
    return call->Answer ? call->Answer->Result : CallResult::Open;
  }
  bool isStored() const { return Cluster.storedState(JobId).has_value(); }

private:
  void writeConfig(const std::vector<std::string> &keys, bool hasQueue,
                   bool needsAdvice = false) {
    std::vector<core::OrganisationConfig> organisations;
    for (const std::string &key : keys)
      organisations.push_back({"org-of-" + key, {key}, 16});
    std::vector<core::QueueConfig> queues{makeQueue(LastingQueue)};
    if (hasQueue) {
      queues.push_back(makeQueue(DroppedQueue));
      queues.back().NeedsAdvice = needsAdvice;
    }
    Cluster.configureSite(std::move(organisations), std::move(queues));
  }

  MemoryCluster Cluster;
  int Entry = 0;
};

struct RefusalCase {
  const char *Name;
  int Entries;
  /// What happens while the job is stored and the entry does not know it.
  std::function<void(RefusingSite &)> Disturb;
};

void PrintTo(const RefusalCase &c, std::ostream *out) { *out << c.Name; }

class StoredJob : public testing::TestWithParam<RefusalCase> {};

// Guards against a caller who is told that its job was refused, while the job
// is stored and runs: the answer to the write was lost, and a later step of the
// call found a reason to refuse it.
TEST_P(StoredJob, IsNotRefusedForALaterReason) {
  RefusingSite site(GetParam().Entries);
  auto call = site.submitWithLostAnswer();
  ASSERT_TRUE(site.isStored());
  GetParam().Disturb(site);
  const CallResult result = site.resultOf(call);
  EXPECT_FALSE(isRefusal(result)) << jobs::callResultName(result);
}

const RefusalCase RefusalCases[] = {
    {"KeyRevoked", 3, [](RefusingSite &site) { site.revokeKey(); }},
    {"QueueDropped", 3, [](RefusingSite &site) { site.dropQueue(); }},
    {"QueueNeedsAdvice", 3, [](RefusingSite &site) { site.requireAdvice(); }},
    {"KeyRevokedAtTheOnlyEntry", 1,
     [](RefusingSite &site) { site.revokeKey(); }},
    {"QueueDroppedAtTheOnlyEntry", 1,
     [](RefusingSite &site) { site.dropQueue(); }},
    {"QueueNeedsAdviceAtTheOnlyEntry", 1,
     [](RefusingSite &site) { site.requireAdvice(); }},
    {"KeyRevokedAndStoreRefuses", 1,
     [](RefusingSite &site) {
       site.revokeKey();
       site.cluster().runFor(absl::Milliseconds(50));
       site.storeFaults().Refuses = true;
     }},
    {"StoreRefuses", 1,
     [](RefusingSite &site) { site.storeFaults().Refuses = true; }},
    {"StoreRefusesAllEntries", 3,
     [](RefusingSite &site) {
       for (int n = 0; n < 3; ++n)
         site.storeFaults(n).Refuses = true;
     }},
    {"KeyRevokedAndStoreRefusesAllEntries", 3,
     [](RefusingSite &site) {
       site.revokeKey();
       site.cluster().runFor(absl::Milliseconds(50));
       for (int n = 0; n < 3; ++n)
         site.storeFaults(n).Refuses = true;
     }},
    {"KeyRevokedAndOthersOutOfReach", 3,
     [](RefusingSite &site) {
       site.revokeKey();
       site.cluster().setPartitioned(MemoryCluster::entryName(site.entry()),
                                     true);
     }},
};

INSTANTIATE_TEST_SUITE_P(Table, StoredJob, testing::ValuesIn(RefusalCases),
                         [](const auto &info) { return info.param.Name; });

// Guards against callers who lose their job to caution: a write that is known
// not to be stored leaves the refusal as it is.
TEST(Refusals, WriteThatComesTooLateLeavesARefusalTrue) {
  RefusingSite site(3);
  site.storeFaults().LateWriteShare = 1;
  auto call = site.submit();
  site.cluster().runFor(absl::Milliseconds(50));
  site.storeFaults().LateWriteShare = 0;
  site.revokeKey();
  EXPECT_EQ(site.resultOf(call), CallResult::BadKey);
  site.cluster().runFor(LateWriteLimit);
  EXPECT_FALSE(site.isStored());
}

// A call of which nothing was written is refused at once.
TEST(Refusals, CallThatTheStoreRefusedIsNotDone) {
  RefusingSite site(1);
  site.storeFaults().Refuses = true;
  auto call = site.submit();
  EXPECT_EQ(site.resultOf(call), CallResult::NotDone);
}

// Guards against a 503 for a job that is stored: the write of an earlier call
// for the same job at the same entry may be stored.
TEST(Refusals, LaterCallForAJobThatMayBeStoredIsNotRefused) {
  RefusingSite site(1);
  auto first = site.submitWithLostAnswer();
  site.storeFaults().Refuses = true;
  EXPECT_EQ(site.resultOf(first), CallResult::Open);
  auto second = site.submit();
  EXPECT_EQ(site.resultOf(second), CallResult::Open);
}

// Guards against a caller who believes that its job runs on: the cancellation
// is stored, its answer was lost, and the call was refused for another reason.
TEST(Refusals, StoredCancellationIsNotRefusedForALaterReason) {
  RefusingSite site(3);
  ASSERT_EQ(site.resultOf(site.submit()), CallResult::Ok);
  site.storeFaults().LostAnswerShare = 1;
  auto call = site.cluster().cancel(site.entry(), RevokedKey, JobId);
  site.cluster().runFor(absl::Milliseconds(50));
  site.storeFaults().LostAnswerShare = 0;
  site.revokeKey();
  const CallResult result = site.resultOf(call);
  EXPECT_FALSE(isRefusal(result)) << jobs::callResultName(result);
}

// Guards against a refusal by the second of two other entries, while the first
// one stores the job and its answer comes too late.
TEST(Refusals, JobThatAnotherEntryMayHaveStoredIsNotRefused) {
  RefusingSite site(3);
  site.storeFaults().Refuses = true;
  site.cluster().runFor(absl::Seconds(1));
  const std::string leader = MemoryCluster::entryName(site.otherEntry());
  site.cluster().delayAnswers(leader, absl::Seconds(1));
  auto call = site.submit();
  site.cluster().runFor(absl::Milliseconds(50));
  ASSERT_TRUE(site.isStored());
  site.revokeKey();
  const CallResult result = site.resultOf(call);
  EXPECT_FALSE(isRefusal(result)) << jobs::callResultName(result);
}

} // namespace
} // namespace oriolebay::cluster
