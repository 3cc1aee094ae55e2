// Waiting gangs: which of them are placed next, and which are refused.
#include "gangscheduler.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <tuple>

namespace oriolebay::scheduler {

using core::JobAnswer;
using core::JobClass;
using core::NotRunReason;
using core::Outcome;

// Removes one gang when the queue is full, for example after a burst of jobs of
// one organisation. Refusing the next gang to arrive would lock out the other
// organisations, including those with guarantees. Therefore the organisation
// with the most waiting gangs loses its latest one, batch before urgent.
void GangScheduler::refuseForFullQueue() {
  std::map<std::string, size_t> waiting;
  for (const PendingGang &p : Pending)
    ++waiting[p.Request.Job.Organisation];
  auto rank = [&](const PendingGang &p) {
    return std::make_tuple(waiting[p.Request.Job.Organisation],
                           p.Request.Job.Class == JobClass::Batch,
                           p.WaitingSince);
  };
  auto last = std::max_element(Pending.begin(), Pending.end(),
                               [&](const PendingGang &a, const PendingGang &b) {
                                 return rank(a) < rank(b);
                               });
  PendingGang gang = std::move(*last);
  Pending.erase(last);
  refusePending(gang,
                {NotRunReason::Overloaded,
                 "the queue is full and this organisation has the most waiting",
                 Limits.RetryAfterMs});
}

void GangScheduler::placePending(absl::Time now) {
  LastPlacement = now;
  PlacementDue = false;
  std::stable_sort(Pending.begin(), Pending.end(),
                   [](const PendingGang &a, const PendingGang &b) {
                     auto key = [](const PendingGang &p) {
                       const core::JobRequest &j = p.Request.Job;
                       return std::make_tuple(j.Class != JobClass::Urgent,
                                              j.DeadlineUnixMs == 0,
                                              j.DeadlineUnixMs, p.WaitingSince);
                     };
                     return key(a) < key(b);
                   });
  std::vector<PendingGang> waiting = std::exchange(Pending, {});
  std::set<std::string> drainedWorkers;
  for (const PendingGang &gang : waiting)
    drainedWorkers.insert(gang.DrainedWorkers.begin(),
                          gang.DrainedWorkers.end());
  // A refusal applies to each later gang with the same requirements in this
  // pass, so that a long queue of equal jobs needs one placement attempt and
  // not one each.
  using Requirements = std::tuple<std::string, std::string, core::Shape,
                                  JobClass, bool, std::set<std::string>>;
  std::map<Requirements, placement::Refusal> refused;
  for (PendingGang &gang : waiting) {
    const core::JobRequest &job = gang.Request.Job;
    Requirements requirements{job.Profile,    job.Organisation,
                              job.GangShape,  job.Class,
                              job.Idempotent, gang.AvoidedWorkers};
    auto knownRefusal = refused.find(requirements);
    std::optional<placement::Refusal> refusal;
    if (knownRefusal != refused.end() && gang.DrainedWorkers.empty())
      refusal = knownRefusal->second;
    else
      refusal = tryPlace(gang, now, drainedWorkers);
    if (!refusal)
      continue;
    refused.emplace(std::move(requirements), *refusal);
    const absl::Time waitEnd = gang.WaitingSince + Limits.WaitLimit(job);
    // Refuse the gang when waiting cannot help or the wait limit is exceeded.
    // The answer then says when to try again.
    if (refusal->RetryAfterMs == 0 || now > waitEnd) {
      refusePending(gang, *refusal);
      continue;
    }
    // Workers are kept free for at most one gang at a time.
    if (gang.DrainedWorkers.empty() && drainedWorkers.empty() &&
        now - gang.WaitingSince >= Limits.DrainWorkersAfter &&
        refusal->Reason == NotRunReason::NoCapacity &&
        job.GangShape.accelerators() > 1) {
      gang.DrainedWorkers = State.workersToKeepFree(job.GangShape, now);
      drainedWorkers = gang.DrainedWorkers;
    }
    // If no other worker is left, retry the workers that refused or failed the
    // gang.
    if (refusal->Reason == NotRunReason::NoCapacity)
      gang.AvoidedWorkers.clear();
    Pending.push_back(std::move(gang));
  }
}

// Returns nothing if the gang was placed; it has then become a run.
std::optional<placement::Refusal>
GangScheduler::tryPlace(PendingGang &gang, absl::Time now,
                        const std::set<std::string> &drainedWorkers) {
  const core::JobRequest &job = gang.Request.Job;
  const RunId run =
      absl::StrCat(gang.Request.GangId, "/", RunPrefix, ".", NextRun++);
  // Workers that are kept free for a large gang accept other work only if it is
  // urgent and fits nowhere else.
  std::set<std::string> avoidedWorkers = gang.AvoidedWorkers;
  if (gang.DrainedWorkers.empty())
    avoidedWorkers.insert(drainedWorkers.begin(), drainedWorkers.end());
  auto admission = State.admit(run, job, now, avoidedWorkers);
  if (std::holds_alternative<placement::Refusal>(admission) &&
      avoidedWorkers != gang.AvoidedWorkers && job.Class == JobClass::Urgent)
    admission = State.admit(run, job, now, gang.AvoidedWorkers);
  if (auto *refusal = std::get_if<placement::Refusal>(&admission)) {
    if (refusal->Reason == NotRunReason::CanNeverFit &&
        now < AnnouncementDeadline)
      return placement::Refusal{NotRunReason::NoCapacity,
                                "workers are still announcing themselves",
                                Limits.RetryAfterMs};
    return *refusal;
  }
  const auto &alloc = std::get<placement::Allocation>(admission);
  RunState r;
  r.Saved = gang.Saved;
  r.Gang = std::move(gang);
  r.Members.resize(alloc.Workers.size());
  r.Watts.assign(alloc.Workers.size(), -1);
  Runs[run] = std::move(r);
  if (alloc.WaitsFor.empty()) {
    startRun(run);
    return std::nullopt;
  }
  for (const RunId &victim : alloc.WaitsFor)
    beginStop(victim, StopCause::Reclaimed,
              "its room was reclaimed for " + alloc.Job.Organisation, now);
  return std::nullopt;
}

// Answers the caller of a waiting gang. Removing the gang from Pending is left
// to the calling function.
void GangScheduler::refusePending(PendingGang &gang,
                                  const placement::Refusal &refusal) {
  JobAnswer answer = core::notRun(gang.Request.Job.Id, refusal.Reason,
                                  refusal.Detail, refusal.RetryAfterMs);
  Actions.push_back(
      AnswerCaller{gang.Request, answerOf(gang, std::move(answer))});
}

// A gang that ran and was stopped has run in part, so it must not be answered
// "not run".
JobAnswer GangScheduler::answerOf(const PendingGang &gang, JobAnswer answer) {
  if (!gang.HasRun || answer.Result != Outcome::NotRun)
    return answer;
  answer.Result = Outcome::Failed;
  answer.Reason = NotRunReason::None;
  answer.Detail = "stopped, then: " + answer.Detail;
  return answer;
}

} // namespace oriolebay::scheduler
