// Leadership: what an entry does when it is elected, replaced, or asked to step
// down.
#include "jobentry.h"

#include "core/jobspec.h"
#include "decisionlog.h"
#include "eventlog/eventlog.h"
#include "utils/eventloop.h"
#include "utils/walltime.h"

#include <algorithm>

namespace oriolebay::entry {

using eventlog::Event;
using eventlog::logEvent;

namespace {

/// A task that runs takes less than 2 KB in all, so that tasks use up less than
/// the whole of the host's memory.
constexpr size_t RememberedTasksPerMb = 400;
/// One part of this many of a host's memory is for what tasks have saved.
constexpr size_t SavedBytesDivisor = 16;
/// Tasks whose reports a whole core can read and answer in time, and those that
/// any leader takes on: the largest gang, and others beside it.
constexpr double RunningTasksPerCore = 20'000;
constexpr double MinRunningTasks = 5'000;
static_assert(MinRunningTasks > core::MaxTasksPerJob);

} // namespace

void JobEntry::onLeadership(const platform::Leadership &leadership) {
  const bool wasLeader = Leader.Mine;
  Leader = leadership;
  LeaderRetryTime = absl::InfinitePast();
  if (wasLeader)
    logEvent(
        Event::LeaderLost,
        {{"epoch", Session ? Session->scheduler().epoch() : leadership.Epoch}});
  Session.reset();
  ViewReadSinceElection = false;
  if (!leadership.Mine) {
    if (leadership.Epoch != 0)
      logEvent(Event::LeaderFollowed,
               {{"epoch", leadership.Epoch}, {"leader", leadership.Address}});
    return;
  }
  logEvent(Event::LeaderElected, {{"epoch", leadership.Epoch}});
  Session = std::make_unique<LeaderSession>(
      Loop, StoreClient, Peers, *View, *Cordons, leaderOptions(),
      leadership.Epoch, [this] { return Election->confirmedAt(); },
      [this](const jobs::Decision &d) {
        logDecision(d);
        if (Observers.Decided)
          Observers.Decided(d);
      },
      [this](platform::StoreStatus status, const std::string &why) {
        logStoreError("recorder", status, why);
      },
      [this](const std::string &jobId) { Service->onEndPending(jobId); },
      [this](const jobs::ProgressWrite &write, int64_t revision) {
        // The watch reports the same record, but can be delayed for seconds
        // while the store drops its history. Until then the entry that has
        // recorded the end of a job would show the job as running.
        View->applyWrittenProgress(write.JobId, write.State, write.Value,
                                   revision);
      },
      [this](const platform::KeyValue &record) { View->applyItem(record); },
      [this] {
        logEvent(Event::LeaderLost, {{"why", "another entry leads"}});
        Loop.post([this, alive = Alive] {
          if (*alive)
            Session.reset();
        });
      });
  // Only a read after the election is certain to contain everything that
  // earlier leaders wrote.
  View->readAgain();
  Cordons->read();
  Session->registerLeader([this] { beginSession(); });
}

// Begins the session once this entry is registered in the list of leaders, the
// jobs have been read since the election, the cordons are available, and a
// configuration that is not older than any that has decided about these jobs.
void JobEntry::beginSession() {
  if (!Session || Session->isRunning() || !Session->isRegistered() ||
      !ViewReadSinceElection)
    return;
  if (Config->current() != nullptr && !Config->isOutdated() &&
      Cordons->isConfirmed()) {
    Session->begin(Config->current());
    return;
  }
  Loop.runAfter(absl::Milliseconds(50), [this, alive = Alive] {
    if (*alive)
      beginSession();
  });
}

void JobEntry::onViewComplete() {
  ViewReadSinceElection = true;
  beginSession();
}

LeaderSessionOptions JobEntry::leaderOptions() const {
  LeaderSessionOptions options;
  options.LeaderKey = JobLeaderKey;
  options.Address = Peers.Address;
  options.Grant = Time.Grant;
  options.GrantWithoutStore = Time.GrantWithoutStore;
  options.DoubtfulAfter = Time.LeaderLease;
  options.Policy.Fleet.UnresponsiveAfter = Time.UnresponsiveAfter;
  options.Policy.Fleet.LostAfter = Time.GrantExpiredAfter;
  options.Policy.UnreportedLostAfter =
      Time.GrantWithoutStore + Time.GrantExpiredAfter;
  // A previous leader that has ended may have granted until its end, whenever
  // it was last confirmed.
  options.Policy.PreviousUnconfirmedFor =
      std::min(Loop.now() - Election->earlierLeadersConfirmedBy(),
               Time.GrantWithoutStore);
  options.Policy.RemoteFactor = Settings.Bounds.RemoteFactor;
  options.Policy.GangWait = absl::Milliseconds(Settings.Bounds.GangWaitMs);
  options.Policy.Progress.RestoreTime =
      absl::Milliseconds(Settings.Bounds.RestoreMs);
  options.Policy.StopDuration = absl::Milliseconds(Settings.Bounds.StopGraceMs);
  options.Policy.ReclaimAfter = Time.ReclaimAfter;
  // The setting is a minimum, so jobs are retained for a quarter longer.
  options.Policy.FinishedJobRetention =
      absl::Milliseconds(Settings.Bounds.KeepFinishedMs) * 5 / 4;
  options.Policy.MaxRememberedTasks =
      static_cast<size_t>(Settings.MemoryMb) * RememberedTasksPerMb;
  options.Policy.MaxSavedBytes =
      settings::partOfMemory(Settings.MemoryMb, SavedBytesDivisor);
  options.Policy.MaxRunningTasks = static_cast<size_t>(
      std::max(MinRunningTasks, Settings.ProcessorShare * RunningTasksPerCore));
  options.Policy.WallMs = [] { return absl::ToUnixMillis(utils::wallNow()); };
  return options;
}

endpoints::Ack
JobEntry::onStepDownRequest(const endpoints::StandDown &stepDown) {
  if (!Session)
    return {};
  const int64_t epoch = Session->scheduler().epoch();
  if (epoch >= stepDown.Epoch)
    return {false, "this entry leads with a higher epoch", epoch};
  logEvent(Event::LeaderLost, {{"epoch", epoch},
                               {"why", "received a request to step down"},
                               {"by_epoch", stepDown.Epoch}});
  Session.reset();
  return {};
}

} // namespace oriolebay::entry
