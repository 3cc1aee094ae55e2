#include "waitreason.h"

#include <utility>

namespace oriolebay::jobs {

const std::vector<WaitReason> &allWaitReasons() {
  static const std::vector<WaitReason> all = [] {
    std::vector<WaitReason> reasons;
    for (size_t i = 0; i < WaitReasonCount; ++i)
      reasons.push_back(static_cast<WaitReason>(i));
    return reasons;
  }();
  return all;
}

const char *waitReasonName(WaitReason reason) {
  switch (reason) {
  case WaitReason::StartNotRecorded:
    return "start_not_recorded";
  case WaitReason::StartUnconfirmed:
    return "start_unconfirmed";
  case WaitReason::RunUnresolved:
    return "run_unresolved";
  case WaitReason::UnreportedWorker:
    return "unreported_worker";
  case WaitReason::SilentWorker:
    return "silent_worker";
  case WaitReason::AwaitsStop:
    return "awaits_stop";
  case WaitReason::StartBarred:
    return "start_barred";
  case WaitReason::RunStillListed:
    return "run_still_listed";
  case WaitReason::GangIncomplete:
    return "gang_incomplete";
  case WaitReason::NotDecided:
    return "not_decided";
  case WaitReason::FleetUnknown:
    return "fleet_unknown";
  case WaitReason::NoEligibleWorker:
    return "no_eligible_worker";
  case WaitReason::ExceedsCapacity:
    return "exceeds_capacity";
  case WaitReason::Cordoned:
    return "cordoned";
  case WaitReason::RackUnusable:
    return "rack_unusable";
  case WaitReason::TooManyRunning:
    return "too_many_running";
  case WaitReason::Headroom:
    return "headroom";
  case WaitReason::Reserved:
    return "reserved";
  case WaitReason::SuspectIsolation:
    return "suspect_isolation";
  case WaitReason::SlowWorkers:
    return "slow_workers";
  case WaitReason::Avoids:
    return "avoids";
  case WaitReason::MaxPerWorker:
    return "max_per_worker";
  case WaitReason::Quarantined:
    return "quarantined";
  case WaitReason::UnexpectedRuns:
    return "unexpected_runs";
  case WaitReason::LateStops:
    return "late_stops";
  case WaitReason::Unreachable:
    return "unreachable";
  case WaitReason::Silent:
    return "silent";
  case WaitReason::Draining:
    return "draining";
  case WaitReason::SeveralConditions:
    return "several_conditions";
  case WaitReason::TooFewUsableWorkers:
    return "too_few_usable_workers";
  case WaitReason::FollowsOwnTasks:
    return "follows_own_tasks";
  case WaitReason::NoCapacity:
    return "no_capacity";
  }
  return "unknown";
}

const char *waitReasonText(WaitReason reason, bool gang) {
  switch (reason) {
  case WaitReason::StartNotRecorded:
    return "its start is not recorded yet";
  case WaitReason::StartUnconfirmed:
    return "its start is not confirmed yet";
  case WaitReason::RunUnresolved:
    return "the worker has not shown what became of its earlier start";
  case WaitReason::UnreportedWorker:
    return "the worker that may run it has never reported to this leader";
  case WaitReason::SilentWorker:
    return "the worker that may run it does not answer";
  case WaitReason::AwaitsStop:
    return "the stop of its run is not confirmed";
  case WaitReason::StartBarred:
    return "an earlier start may still be carried out";
  case WaitReason::RunStillListed:
    return "a worker lists a run of it that is not recorded";
  case WaitReason::GangIncomplete:
    return "only some members of its gang are done or running";
  case WaitReason::NotDecided:
    return "not considered yet";
  case WaitReason::Cordoned:
    return WaitsForCordonReason;
  case WaitReason::TooManyRunning:
    return "as many tasks run as the leader can serve";
  default:
    return gang ? "no capacity for the whole gang" : "no capacity";
  }
}

void addToGroup(WaitGroups &groups, const WaitCause &cause, int64_t tasks) {
  auto [it, added] = groups.emplace(cause.Reason, WaitGroup{cause, tasks});
  if (added)
    return;
  it->second.Tasks += tasks;
  if (cause.EndsBy > it->second.Cause.EndsBy)
    it->second.Cause = cause;
}

} // namespace oriolebay::jobs
