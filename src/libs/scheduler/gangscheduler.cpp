#include "gangscheduler.h"

#include <algorithm>

namespace oriolebay::scheduler {

using core::NotRunReason;

namespace {
// Placement of waiting gangs is retried when something changed, and at least
// with this period, because quarantines, drains and wait limits end by time
// alone.
const absl::Duration PlacementPeriod = absl::Milliseconds(200);
// Timeouts of workers and of stops are measured in seconds. Checking them in
// each tick would cost more than all other work on a large idle site.
const absl::Duration WorkerCheckPeriod = absl::Milliseconds(100);
} // namespace

GangScheduler::GangScheduler(placement::ClusterState state, Policy policy,
                             std::string runPrefix, absl::Time start)
    : State(std::move(state)), Limits(std::move(policy)),
      RunPrefix(std::move(runPrefix)),
      AnnouncementDeadline(start + Limits.HeartbeatTimeout) {}

std::vector<Action> GangScheduler::takeActions() {
  return std::exchange(Actions, {});
}

bool GangScheduler::hasGang(const std::string &gangId) const {
  return std::any_of(Pending.begin(), Pending.end(),
                     [&](const PendingGang &p) {
                       return p.Request.GangId == gangId;
                     }) ||
         std::any_of(Runs.begin(), Runs.end(), [&](const auto &entry) {
           return entry.second.Gang.Request.GangId == gangId;
         });
}

int GangScheduler::widestPending() const {
  int widest = 0;
  for (const PendingGang &p : Pending)
    widest = std::max(widest, p.Request.Job.GangShape.AcceleratorsPerMember);
  return widest;
}

void GangScheduler::submit(GangRequest request, absl::Time now) {
  for (auto &[run, r] : Runs)
    if (r.Gang.Request.GangId == request.GangId)
      r.Orphan = false;
  if (hasGang(request.GangId))
    return;
  PendingGang gang;
  gang.Request = std::move(request);
  gang.WaitingSince = now;
  Pending.push_back(std::move(gang));
  if (Pending.size() > Limits.MaxPending)
    refuseForFullQueue();
  PlacementDue = true;
}

void GangScheduler::cancel(const std::string &organisation,
                           const std::string &jobId, absl::Time now) {
  auto matches = [&](const PendingGang &gang) {
    const core::JobRequest &job = gang.Request.Job;
    return job.Organisation == organisation && job.Id == jobId;
  };
  auto firstCancelled = std::stable_partition(
      Pending.begin(), Pending.end(),
      [&](const PendingGang &gang) { return !matches(gang); });
  for (auto it = firstCancelled; it != Pending.end(); ++it)
    refusePending(*it, {NotRunReason::Cancelled, "cancelled by its caller", 0});
  Pending.erase(firstCancelled, Pending.end());
  std::vector<RunId> cancelledRuns;
  for (const auto &[run, r] : Runs)
    if (matches(r.Gang))
      cancelledRuns.push_back(run);
  for (const RunId &run : cancelledRuns)
    beginStop(run, StopCause::Cancelled, "cancelled by its caller", now);
}

void GangScheduler::onProfile(const core::Profile &profile) {
  PlacementDue = State.applyProfile(profile) || PlacementDue;
}

void GangScheduler::tick(absl::Time now) {
  if (now - LastWorkerCheck >= WorkerCheckPeriod || now < LastWorkerCheck) {
    LastWorkerCheck = now;
    checkWorkers(now);
    resendStops(now);
  }
  for (const RunId &run : State.shedForPower())
    beginStop(run, StopCause::Power, "stopped to keep the power cap", now);
  if (PlacementDue ||
      (!Pending.empty() && now - LastPlacement >= PlacementPeriod))
    placePending(now);
}

} // namespace oriolebay::scheduler
