// Tests of entries that learn of a newer configuration by its effects before
// they have read it: jobs that others have accepted or cancelled by it.
#include "memorycluster.h"

#include <gtest/gtest.h>

#include <functional>
#include <optional>

namespace oriolebay::cluster {
namespace {

using jobs::CallResult;

constexpr int Entries = 3;
constexpr const char *LastingKey = "k2";
constexpr const char *RemovedKey = "k1";
constexpr const char *AddedKey = "k3";
constexpr const char *LastingQueue = "q1";
constexpr const char *AddedQueue = "added";
/// Time after an effect from which no call may be decided by an older
/// configuration.
constexpr absl::Duration SeenAfter = absl::Milliseconds(260);
constexpr absl::Duration CallLimit = absl::Seconds(3);

/// A cluster whose configuration is replaced by one with another queue and key,
/// and without a key that it had.
class ChangingSite {
public:
  ChangingSite() : Cluster({Entries, 3, 3, 1}) {
    Cluster.configureSite(
        {{"lasting", {LastingKey}, 16}, {"removed", {RemovedKey}, 16}},
        {makeQueue(LastingQueue)});
    Cluster.observeStarts(
        [this](const std::string &, int64_t) { HasStarted = true; });
    Cluster.runFor(absl::Seconds(4));
  }

  MemoryCluster &cluster() { return Cluster; }
  MemoryStore::Faults &storeFaults(int entry) {
    return Cluster.store().faults(MemoryCluster::entryName(entry));
  }
  void changeConfig() {
    Cluster.configureSite({{"lasting", {LastingKey, AddedKey}, 16}},
                          {makeQueue(LastingQueue), makeQueue(AddedQueue)});
    Cluster.runFor(absl::Milliseconds(20));
  }
  std::shared_ptr<MemoryCluster::CallerCall>
  submit(int entry, const std::string &queue,
         const std::string &key = LastingKey) {
    core::JobSpec job = makeJob(JobId, 1, 1, 5000);
    job.Queue = queue;
    return Cluster.submit(entry, key, std::move(job));
  }
  /// Submits a job whose progress is written again when its first step ends.
  std::shared_ptr<MemoryCluster::CallerCall> submitTwoSteps(int entry) {
    core::JobSpec job = makeJob(JobId, 1, 1, 700);
    job.Queue = LastingQueue;
    job.Steps.push_back(job.Steps.front());
    job.Steps.back().After = {0};
    return Cluster.submit(entry, LastingKey, std::move(job));
  }
  std::shared_ptr<MemoryCluster::CallerCall> cancel(int entry,
                                                    const std::string &key) {
    return Cluster.cancel(entry, key, JobId);
  }
  std::shared_ptr<MemoryCluster::CallerCall> state(int entry) {
    return Cluster.state(entry, LastingKey, JobId);
  }
  std::optional<jobs::JobRecord> storedRecord() const {
    return Cluster.storedRecord(JobId);
  }
  /// Returns false if no task starts.
  bool runUntilStarted() {
    return runUntil([this] { return HasStarted; });
  }
  /// Returns false if no leader decides that the job is cancelled.
  bool runUntilCancelled() {
    return runUntil([this] {
      return Cluster.decisionsText(JobId).find("cancelled") !=
             std::string::npos;
    });
  }
  CallResult resultOf(const std::shared_ptr<MemoryCluster::CallerCall> &call) {
    const absl::Time end = Cluster.loop().now() + CallLimit;
    while (!call->Answer && Cluster.loop().now() < end)
      Cluster.runFor(absl::Milliseconds(1));
    return call->Answer ? call->Answer->Result : CallResult::Open;
  }
  CallResult countWithRemovedKey(int entry) {
    return resultOf(Cluster.countQueued(entry, RemovedKey, LastingQueue));
  }

private:
  static constexpr const char *JobId = "job";

  bool runUntil(const std::function<bool()> &isDone) {
    for (int ms = 0; !isDone() && ms < 3000; ++ms)
      Cluster.runFor(absl::Milliseconds(1));
    return isDone();
  }

  MemoryCluster Cluster;
  bool HasStarted = false;
};

/// The time of the change after the cluster serves calls, to cover all phases
/// of the interval at which a configuration is confirmed.
class ConfigNews : public testing::TestWithParam<int> {
protected:
  void runToChange() {
    Site.cluster().runFor(absl::Milliseconds(GetParam()));
    Site.changeConfig();
  }

  ChangingSite Site;
};

// Guards against a leader that starts a job that another entry has accepted by
// a newer configuration, and then serves callers by its own older one.
TEST_P(ConfigNews, LeaderOfAJobThatANewerConfigAllowsUsesNoOlderOne) {
  const int leader = Site.cluster().leader();
  Site.storeFaults(leader).WatchesSilent = true;
  runToChange();
  Site.submit((leader + 1) % Entries, AddedQueue);
  ASSERT_TRUE(Site.runUntilStarted());
  Site.cluster().runFor(SeenAfter);
  EXPECT_NE(Site.countWithRemovedKey(leader), CallResult::Ok);
}

// Guards against a leader that stops a job that was cancelled with a key that
// only a newer configuration contains, and then serves callers by its own older
// one.
TEST_P(ConfigNews, LeaderOfAJobThatANewerConfigCancelsUsesNoOlderOne) {
  const int leader = Site.cluster().leader();
  const int other = (leader + 1) % Entries;
  Site.submit(other, LastingQueue);
  ASSERT_TRUE(Site.runUntilStarted());
  Site.storeFaults(leader).WatchesSilent = true;
  runToChange();
  ASSERT_EQ(Site.resultOf(Site.cancel(other, AddedKey)), CallResult::Ok);
  Site.cluster().runFor(SeenAfter);
  EXPECT_NE(Site.countWithRemovedKey(leader), CallResult::Ok);
}

// Guards against an entry that tells a caller that another entry has accepted
// its job, and then serves callers by an older configuration than that entry.
TEST_P(ConfigNews, EntryThatConfirmsAnAcceptedJobUsesNoOlderConfig) {
  const int leader = Site.cluster().leader();
  const int behind = (leader + 1) % Entries;
  Site.storeFaults(behind).WatchesSilent = true;
  runToChange();
  Site.submit((leader + 2) % Entries, LastingQueue);
  ASSERT_TRUE(Site.runUntilStarted());
  ASSERT_EQ(Site.resultOf(Site.submit(behind, LastingQueue)), CallResult::Ok);
  Site.cluster().runFor(SeenAfter);
  EXPECT_NE(Site.countWithRemovedKey(behind), CallResult::Ok);
}

// Guards against an entry that overlooks the newer configuration which the
// store returns together with a job that was accepted before.
TEST_P(ConfigNews, EntryThatConfirmsAnEarlierJobUsesTheConfigBesideIt) {
  const int behind = (Site.cluster().leader() + 1) % Entries;
  ASSERT_EQ(Site.resultOf(Site.submit(behind, LastingQueue)), CallResult::Ok);
  Site.storeFaults(behind).WatchesSilent = true;
  runToChange();
  ASSERT_EQ(Site.resultOf(Site.submit(behind, LastingQueue)), CallResult::Ok);
  EXPECT_NE(Site.countWithRemovedKey(behind), CallResult::Ok);
}

// Guards against a leader that learns from a refused write that a job was
// cancelled with a key which only a newer configuration contains, and then
// serves callers by its own older one.
TEST_P(ConfigNews, LeaderWhoseWriteACancellationRefusedUsesNoOlderConfig) {
  const int leader = Site.cluster().leader();
  const int other = (leader + 1) % Entries;
  Site.submitTwoSteps(other);
  ASSERT_TRUE(Site.runUntilStarted());
  Site.cluster().partitionPair(MemoryCluster::entryName(leader),
                               MemoryCluster::entryName(other));
  Site.storeFaults(leader).WatchesSilent = true;
  runToChange();
  ASSERT_EQ(Site.resultOf(Site.cancel(other, AddedKey)), CallResult::Ok);
  ASSERT_TRUE(Site.runUntilCancelled());
  EXPECT_NE(Site.countWithRemovedKey(leader), CallResult::Ok);
}

// Guards against an entry that has forwarded a job to another one, which
// accepts it by a newer configuration but answers too late to be heard, and
// then serves callers by its own older configuration.
TEST_P(ConfigNews, EntryThatHeardNoAnswerUsesNoOlderConfigThanTheOneAsked) {
  const int isolated = (Site.cluster().leader() + 1) % Entries;
  Site.storeFaults(isolated).Silent = true;
  for (int n = 0; n < Entries; ++n)
    if (n != isolated)
      Site.cluster().delayAnswers(MemoryCluster::entryName(n),
                                  absl::Milliseconds(1500));
  runToChange();
  Site.submit(isolated, AddedQueue);
  ASSERT_TRUE(Site.runUntilStarted());
  Site.cluster().runFor(SeenAfter);
  EXPECT_NE(Site.countWithRemovedKey(isolated), CallResult::Ok);
}

/// A job or its cancellation that one entry has accepted by a newer
/// configuration, and a caller who is told of it by an entry without the store.
/// That entry asks the leader, which has not heard of the change either.
class ConfigNewsOfAnswers : public ConfigNews {
protected:
  ConfigNewsOfAnswers()
      : Leader(Site.cluster().leader()), Isolated((Leader + 1) % Entries),
        Newer((Leader + 2) % Entries) {}

  /// The configuration changes, and neither the leader nor the isolated entry
  /// hears of it. From then on the store refuses the latter's calls.
  void runToChangeBehindOthers() {
    Site.storeFaults(Leader).WatchesSilent = true;
    Site.storeFaults(Isolated).WatchesSilent = true;
    runToChange();
    Site.storeFaults(Isolated).Refuses = true;
  }
  /// The isolated entry does not hear what becomes of its writes, nor does the
  /// leader.
  void loseWritesOfOthers() {
    Site.storeFaults(Isolated).Refuses = false;
    Site.storeFaults(Isolated).Silent = true;
    Site.storeFaults(Leader).LostAnswerShare = 1;
  }
  /// The leader does not hear of what the newer entry writes.
  void separateLeaderFromNewer() {
    Site.cluster().partitionPair(MemoryCluster::entryName(Leader),
                                 MemoryCluster::entryName(Newer));
  }
  void expectNoOlderConfigAtIsolated() {
    Site.cluster().runFor(SeenAfter);
    EXPECT_NE(Site.countWithRemovedKey(Isolated), CallResult::Ok);
  }

  const int Leader;
  const int Isolated;
  const int Newer;
};

// Guards against an answer that names the configuration by which a submitted
// job was checked, though the store has shown a newer one beside the stored
// job.
TEST_P(ConfigNewsOfAnswers, EntryToldOfAJobThatTheStoreHasUsesNoOlderConfig) {
  separateLeaderFromNewer();
  runToChangeBehindOthers();
  ASSERT_EQ(Site.resultOf(Site.submit(Newer, LastingQueue)), CallResult::Ok);
  ASSERT_EQ(Site.resultOf(Site.submit(Isolated, LastingQueue)), CallResult::Ok);
  ASSERT_TRUE(Site.runUntilStarted());
  expectNoOlderConfigAtIsolated();
}

// Guards against an answer that rests on a known record of a job, and names an
// older configuration than the one that decided the record.
TEST_P(ConfigNewsOfAnswers, EntryToldOfAKnownRecordUsesNoOlderConfig) {
  runToChangeBehindOthers();
  loseWritesOfOthers();
  ASSERT_EQ(Site.resultOf(Site.submit(Newer, LastingQueue)), CallResult::Ok);
  ASSERT_EQ(Site.resultOf(Site.submit(Isolated, LastingQueue)), CallResult::Ok);
  Site.storeFaults(Leader).LostAnswerShare = 0;
  ASSERT_TRUE(Site.runUntilStarted());
  expectNoOlderConfigAtIsolated();
}

// Guards against an answer that rests on a record, and names the configuration
// of an entry that served nobody by it.
TEST_P(ConfigNewsOfAnswers, AnswerByAKnownRecordNamesWhatDecidedTheRecord) {
  runToChangeBehindOthers();
  loseWritesOfOthers();
  Site.submit(Newer, LastingQueue);
  const auto call = Site.submit(Isolated, LastingQueue);
  ASSERT_EQ(Site.resultOf(call), CallResult::Ok);
  EXPECT_EQ(call->Answer->DecidedBy, Site.storedRecord()->DecidedBy);
}

// Guards against the same where the call was allowed by a newer configuration
// than the one that decided the record.
TEST_P(ConfigNewsOfAnswers, AnswerByAKnownRecordNamesWhatAllowedTheCall) {
  ASSERT_EQ(Site.resultOf(Site.submit(Leader, LastingQueue)), CallResult::Ok);
  Site.storeFaults(Leader).WatchesSilent = true;
  Site.storeFaults(Leader).LostAnswerShare = 1;
  runToChange();
  Site.submit(Newer, AddedQueue);
  const auto heard = Site.submit(Isolated, LastingQueue);
  ASSERT_EQ(Site.resultOf(heard), CallResult::Ok);
  loseWritesOfOthers();
  const auto call = Site.submit(Isolated, LastingQueue);
  ASSERT_EQ(Site.resultOf(call), CallResult::Ok);
  EXPECT_EQ(call->Answer->DecidedBy, heard->Answer->DecidedBy);
  EXPECT_GT(call->Answer->DecidedBy, Site.storedRecord()->DecidedBy);
}

// Guards against an answer that confirms a cancellation which a newer
// configuration allowed, and names the one by which the call was checked.
TEST_P(ConfigNewsOfAnswers, EntryToldOfACancellationUsesNoOlderConfig) {
  Site.submit(Newer, LastingQueue);
  ASSERT_TRUE(Site.runUntilStarted());
  separateLeaderFromNewer();
  runToChangeBehindOthers();
  ASSERT_EQ(Site.resultOf(Site.cancel(Newer, AddedKey)), CallResult::Ok);
  ASSERT_EQ(Site.resultOf(Site.cancel(Isolated, LastingKey)), CallResult::Ok);
  ASSERT_TRUE(Site.runUntilCancelled());
  expectNoOlderConfigAtIsolated();
}

// Guards against an answer that shows the state of a job which a newer
// configuration accepted, and names the one by which the call was checked.
TEST_P(ConfigNewsOfAnswers, EntryToldOfAJobsStateUsesNoOlderConfig) {
  separateLeaderFromNewer();
  runToChangeBehindOthers();
  ASSERT_EQ(Site.resultOf(Site.submit(Newer, LastingQueue)), CallResult::Ok);
  ASSERT_EQ(Site.resultOf(Site.state(Isolated)), CallResult::Ok);
  ASSERT_TRUE(Site.runUntilStarted());
  expectNoOlderConfigAtIsolated();
}

// Guards against a known record that confirms a later call of the same id, sent
// with a key that is gone by then.
TEST_P(ConfigNewsOfAnswers, LaterCallWithARemovedKeyIsNotConfirmedByARecord) {
  ASSERT_EQ(Site.resultOf(Site.submit(Newer, LastingQueue, RemovedKey)),
            CallResult::Ok);
  Site.storeFaults(Leader).WatchesSilent = true;
  runToChange();
  Site.storeFaults(Isolated).Refuses = true;
  Site.storeFaults(Leader).LostAnswerShare = 1;
  EXPECT_NE(Site.resultOf(Site.submit(Isolated, LastingQueue, RemovedKey)),
            CallResult::Ok);
}

INSTANTIATE_TEST_SUITE_P(Table, ConfigNews, testing::Range(0, 600, 40));
INSTANTIATE_TEST_SUITE_P(Table, ConfigNewsOfAnswers,
                         testing::Range(0, 600, 40));

} // namespace
} // namespace oriolebay::cluster
