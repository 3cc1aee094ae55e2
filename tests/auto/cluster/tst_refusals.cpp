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
/// Time for which an entry waits for the answer to a forwarded call.
constexpr int64_t SenderWaitMs = 400;
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
  /// Has the queue take jobs with any key and with none.
  void openQueue() {
    writeConfig({LastingKey, RevokedKey}, true, /*needsAdvice=*/false,
                /*isPublic=*/true);
    Cluster.runFor(absl::Seconds(2));
  }
  void revokeKeyOfOpenQueue() {
    writeConfig({LastingKey}, true, /*needsAdvice=*/false, /*isPublic=*/true);
  }
  /// Moves the key to another organisation.
  void moveKey() {
    Cluster.configureSite({{"org-of-k1", {LastingKey, RevokedKey}, 16}},
                          {makeQueue(LastingQueue), makeQueue(DroppedQueue)});
  }
  void requireAdvice() {
    writeConfig({LastingKey, RevokedKey}, true, /*needsAdvice=*/true);
  }

  std::shared_ptr<MemoryCluster::CallerCall> submit(int entry) {
    core::JobSpec job = makeJob(JobId, 1, 1, 300);
    job.Queue = DroppedQueue;
    return Cluster.submit(entry, RevokedKey, std::move(job));
  }
  std::shared_ptr<MemoryCluster::CallerCall> submit() { return submit(Entry); }

  /// Has the entries' views of the jobs lag behind the store, as they do for a
  /// while after each change.
  void delayViews() {
    core::JobSpec job = makeJob("other", 1, 1, 100);
    job.Queue = LastingQueue;
    Cluster.submit(otherEntry(), LastingKey, std::move(job));
    Cluster.runFor(absl::Milliseconds(30));
  }
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
                   bool needsAdvice = false, bool isPublic = false) {
    std::vector<core::OrganisationConfig> organisations;
    for (const std::string &key : keys)
      organisations.push_back({"org-of-" + key, {key}, 16});
    std::vector<core::QueueConfig> queues{makeQueue(LastingQueue)};
    if (hasQueue) {
      queues.push_back(makeQueue(DroppedQueue));
      queues.back().NeedsAdvice = needsAdvice;
      queues.back().Public = isPublic;
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

class JobOfAnotherOrganisation : public testing::TestWithParam<int> {};

// Guards against a 409 for the caller's own job: the answer to its write was
// lost, and the call was written again for another organisation, or for none,
// as the key was revoked or moved in between.
TEST_P(JobOfAnotherOrganisation, IsNotTakenForOneAfterTheKeyWasRevoked) {
  RefusingSite site(GetParam());
  site.openQueue();
  auto call = site.submitWithLostAnswer();
  ASSERT_TRUE(site.isStored());
  site.revokeKeyOfOpenQueue();
  const CallResult result = site.resultOf(call);
  EXPECT_FALSE(isRefusal(result)) << jobs::callResultName(result);
}

TEST_P(JobOfAnotherOrganisation, IsNotTakenForOneAfterTheKeyWasMoved) {
  RefusingSite site(GetParam());
  auto call = site.submitWithLostAnswer();
  ASSERT_TRUE(site.isStored());
  site.moveKey();
  const CallResult result = site.resultOf(call);
  EXPECT_FALSE(isRefusal(result)) << jobs::callResultName(result);
}

INSTANTIATE_TEST_SUITE_P(Entries, JobOfAnotherOrganisation,
                         testing::Values(1, 3),
                         testing::PrintToStringParamName());

// Guards against a 503 for a job that another entry has stored: that entry's
// answer is open, and is not passed on since it is based on an older
// configuration than the newest one known here.
TEST(Refusals, OpenAnswerByAnOlderConfigurationIsNotARefusal) {
  RefusingSite site(3);
  MemoryStore::Faults &leader = site.storeFaults(site.otherEntry());
  site.cluster().setCallerPatience(absl::Milliseconds(800));
  site.delayViews();
  site.storeFaults().Refuses = true;
  leader.LostAnswerShare = 1;
  auto call = site.submit();
  site.cluster().runFor(absl::Milliseconds(20));
  ASSERT_TRUE(site.isStored());
  leader.LostAnswerShare = 0;
  leader.Refuses = true;
  leader.WatchesSilent = true;
  site.storeFaults().Refuses = false;
  site.revokeKey();
  const CallResult result = site.resultOf(call);
  EXPECT_FALSE(isRefusal(result)) << jobs::callResultName(result);
}

// Guards against a 503 for a job that another entry has stored: that entry's
// answer was open and was passed on, and the caller asks again here.
TEST(Refusals, OpenAnswerOfAnotherEntryIsRememberedForLaterCalls) {
  RefusingSite site(3);
  MemoryStore::Faults &leader = site.storeFaults(site.otherEntry());
  site.cluster().setCallerPatience(absl::Milliseconds(800));
  site.delayViews();
  site.storeFaults().Refuses = true;
  leader.LostAnswerShare = 1;
  auto first = site.submit();
  site.cluster().runFor(absl::Milliseconds(20));
  ASSERT_TRUE(site.isStored());
  for (int n = 0; n < 3; ++n)
    site.storeFaults(n).Refuses = true;
  const CallResult firstResult = site.resultOf(first);
  ASSERT_EQ(firstResult, CallResult::Open);
  site.cluster().killEntry(site.otherEntry());
  auto second = site.submit();
  const CallResult result = site.resultOf(second);
  EXPECT_FALSE(isRefusal(result)) << jobs::callResultName(result);
}

// Guards against a 503 for a job that is stored seconds later, by an entry that
// was told of the open write when the first call was forwarded to it.
TEST(Refusals, OpenWriteOfTheForwardingEntryIsRememberedForLaterCalls) {
  RefusingSite site(3);
  site.storeFaults().LateWriteShare = 1;
  auto first = site.submit();
  site.cluster().runFor(absl::Milliseconds(50));
  for (int n = 0; n < 3; ++n)
    site.storeFaults(n).Refuses = true;
  ASSERT_EQ(site.resultOf(first), CallResult::Open);
  site.cluster().killEntry(site.entry());
  auto second = site.submit(site.otherEntry());
  const CallResult result = site.resultOf(second);
  site.cluster().runFor(LateWriteLimit);
  ASSERT_TRUE(site.isStored());
  EXPECT_FALSE(isRefusal(result)) << jobs::callResultName(result);
}

// Guards against a caller who is told that its job does not exist, while a
// write of it is open that the store carries out seconds later.
TEST(Refusals, CancellationOfAJobThatMayBeStoredIsTrue) {
  RefusingSite site(1);
  site.storeFaults().LateWriteShare = 1;
  auto first = site.submit();
  ASSERT_EQ(site.resultOf(first), CallResult::Open);
  site.storeFaults().LateWriteShare = 0;
  const bool isStoredYet = site.isStored();
  auto cancel = site.cluster().cancel(site.entry(), RevokedKey, JobId);
  const CallResult result = site.resultOf(cancel);
  site.cluster().runFor(LateWriteLimit);
  ASSERT_FALSE(isStoredYet);
  EXPECT_EQ(result, CallResult::UnknownJob) << jobs::callResultName(result);
  EXPECT_FALSE(site.isStored());
  EXPECT_EQ(site.cluster().starts(), 0);
}

// Guards against a caller who is told that its job does not exist, where the
// entry cannot make sure of that.
TEST(Refusals, CancellationOfAJobThatMayBeStoredIsOpenWithoutTheStore) {
  RefusingSite site(1);
  site.storeFaults().LateWriteShare = 1;
  auto first = site.submit();
  ASSERT_EQ(site.resultOf(first), CallResult::Open);
  auto cancel = site.cluster().cancel(site.entry(), RevokedKey, JobId);
  const CallResult result = site.resultOf(cancel);
  site.cluster().runFor(LateWriteLimit);
  EXPECT_FALSE(isRefusal(result)) << jobs::callResultName(result);
}

// Guards against an entry that is given up, and against a refusal that stays
// open, because a forwarded call is tried for longer than its sender waits.
TEST(Refusals, ForwardedCallWithAnOpenWriteIsAnsweredWhileItsSenderWaits) {
  RefusingSite site(3);
  auto call = site.submitWithLostAnswer();
  ASSERT_TRUE(site.isStored());
  for (int n = 0; n < 3; ++n)
    site.storeFaults(n).Refuses = true;
  site.resultOf(call);
  site.cluster().runFor(CallLimit);
  for (const jobs::CallDecision &decision : site.cluster().callDecisions())
    if (decision.Answer.ServedBy.empty() && decision.WritesUnanswered == 0) {
      EXPECT_LT(decision.TookMs, SenderWaitMs) << decision.Answer.Detail;
    }
}

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
  site.storeFaults().WatchesSilent = true;
  auto first = site.submitWithLostAnswer();
  site.storeFaults().Refuses = true;
  EXPECT_EQ(site.resultOf(first), CallResult::Open);
  auto second = site.submit();
  EXPECT_EQ(site.resultOf(second), CallResult::Open);
}

// Guards against a caller who sends its job again for nothing: the entry's view
// shows that it is stored.
TEST(Refusals, JobThatTheViewShowsIsAcceptedWithoutTheStore) {
  RefusingSite site(1);
  auto first = site.submitWithLostAnswer();
  site.storeFaults().Refuses = true;
  EXPECT_EQ(site.resultOf(first), CallResult::Ok);
  EXPECT_EQ(site.resultOf(site.submit()), CallResult::Ok);
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
