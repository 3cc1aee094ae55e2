// Follows the election: begins and ends the leadership of this entry, and
// adopts the runs that earlier leaders recorded.
#include "entryservice.h"

#include "eventlog/eventlog.h"
#include "utils/steadyclock.h"
#include "utils/walltime.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace oriolebay::entry {

using eventlog::Event;
using eventlog::logEvent;
using utils::steadyNow;

namespace {
// Allowance for a back end whose clock is slow, and for the time that it needs
// to stop a task.
const absl::Duration LeaseSlack = absl::Seconds(1);
} // namespace

void EntryService::handle(const platform::Leadership &leadership) {
  if (Leader.Mine)
    stepDown();
  Leader = leadership;
  logEvent(Event::LeaderFollowed,
           {{"epoch", Leader.Epoch}, {"leader", Leader.Address}});
  if (Leader.Mine)
    startLeading();
  Callers->onLeadership(Leader);
}

void EntryService::startLeading() {
  std::vector<scheduler::AdoptedRun> runs;
  bool loaded = false;
  while (!loaded && !Stopping) {
    loaded = utils::handle<bool>(
        [&]() -> utils::Result<bool> {
          BOOST_LEAF_AUTO(unendedRuns, RunRecorder->loadUnendedRuns());
          runs = unendedRuns;
          return true;
        },
        [](const utils::Error &e) {
          reportStoreError(e);
          absl::SleepFor(TickPeriod);
          return false;
        });
  }
  const absl::Time now = steadyNow();
  Scheduler.emplace(placement::ClusterState(Place, Settings.RetryAfterMs),
                    policy(), absl::StrCat(Leader.Epoch), now);
  for (const auto &[name, profile] : Profiles)
    Scheduler->onProfile(profile);
  for (const scheduler::AdoptedRun &run : runs) {
    logEvent(Event::GangAdopted,
             {{"run", run.Run}, {"job", run.Request.Job.Id}});
    RecordedRuns[run.Run] = 0;
    Scheduler->adopt(
        run, now,
        absl::Milliseconds(Settings.OutageHoldMs + Settings.TaskLeaseMs) +
            LeaseSlack);
  }
  LeadingEpoch = Leader.Epoch;
  logEvent(Event::LeaderElected,
           {{"epoch", Leader.Epoch}, {"adopted", runs.size()}});
}

void EntryService::stepDown() {
  LeadingEpoch = 0;
  Scheduler.reset();
  RunsBeingRecorded.clear();
  RecordedRuns.clear();
  ReplyAddresses.clear();
  RecentAnswers.clear();
  RecentAnswerOrder.clear();
  logEvent(Event::LeaderLost, {{"epoch", Leader.Epoch}});
}

scheduler::Policy EntryService::policy() const {
  scheduler::Policy p;
  p.HeartbeatTimeout = absl::Milliseconds(Settings.HeartbeatTimeoutMs);
  p.TaskLease = absl::Milliseconds(Settings.TaskLeaseMs) + LeaseSlack;
  p.DrainWorkersAfter = absl::Milliseconds(Settings.StarveAfterMs);
  p.RetryAfterMs = Settings.RetryAfterMs;
  p.MaxAttempts = Settings.MaxAttempts;
  p.MaxPending = static_cast<size_t>(Settings.MaxPendingJobs);
  p.WaitLimit = [wait = absl::Milliseconds(Settings.MaxQueueWaitMs)](
                    const core::JobRequest &job) {
    if (job.Class == core::JobClass::Urgent || job.DeadlineUnixMs == 0)
      return wait;
    return std::max(wait, absl::FromUnixMillis(job.DeadlineUnixMs) -
                              utils::wallNow());
  };
  return p;
}

} // namespace oriolebay::entry
