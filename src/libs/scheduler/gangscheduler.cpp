#include "gangscheduler.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <tuple>

namespace oriolebay::scheduler {

using core::JobAnswer;
using core::JobClass;
using core::NotRunReason;
using core::Outcome;
using endpoints::TaskEnd;

namespace {
// Placement of waiting gangs is retried when something changed, and at least
// with this period, because quarantines, drains and wait limits end by time
// alone.
const absl::Duration PlacementPeriod = absl::Milliseconds(200);
// Timeouts of workers and of stops are measured in seconds. Checking them in
// each tick would cost more than all other work on a large idle site.
const absl::Duration WorkerCheckPeriod = absl::Milliseconds(100);
const absl::Duration StopResendPeriod = absl::Seconds(1);
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

void GangScheduler::onAnnounce(const endpoints::Announce &announce, bool fenced,
                               absl::Time now) {
  const std::string &id = announce.Worker.Id;
  PlacementDue = PlacementDue || !State.isWorkerKnown(id);
  for (const RunId &run :
       State.upsertWorker(announce.Worker, announce.Incarnation, now))
    handleLostMembers(run, id, now);
  if (announce.Leaving)
    State.markDraining(id);
  recordWatts(announce);
  if (fenced) {
    checkAdoptedRuns(announce, now);
    stopUnknownTasks(announce);
  }
}

// Stops tasks of runs that this scheduler no longer has: their worker was
// partitioned and given up as lost, or their start was never confirmed. No
// caller waits for them, and they would use accelerators and power in vain.
void GangScheduler::stopUnknownTasks(const endpoints::Announce &announce) {
  for (const endpoints::TaskStatus &task : announce.Tasks)
    if (Runs.count(task.Run) == 0)
      Actions.push_back(
          StopGang{task.Run, {{announce.Worker.Id, {task.Member}}}});
}

void GangScheduler::recordWatts(const endpoints::Announce &announce) {
  std::set<RunId> updatedRuns;
  for (const endpoints::TaskStatus &task : announce.Tasks) {
    auto it = Runs.find(task.Run);
    if (it == Runs.end() || task.Watts < 0 || task.Member < 0 ||
        static_cast<size_t>(task.Member) >= it->second.Watts.size())
      continue;
    it->second.Watts[static_cast<size_t>(task.Member)] = task.Watts;
    updatedRuns.insert(task.Run);
  }
  // Measurements arrive late, so a member without one counts with its declared
  // power.
  for (const RunId &run : updatedRuns) {
    const RunState &r = Runs.at(run);
    int64_t total = 0;
    for (int64_t watts : r.Watts)
      total +=
          watts < 0 ? r.Gang.Request.Job.GangShape.PowerWattsPerMember : watts;
    State.recordUsage(run, total);
  }
}

// Handles the first complete list of tasks of a worker: members of adopted runs
// that should be on it, but are not in the list, are lost.
void GangScheduler::checkAdoptedRuns(const endpoints::Announce &announce,
                                     absl::Time now) {
  const std::string &id = announce.Worker.Id;
  auto awaitedRuns = AdoptedByWorker.extract(id);
  if (!awaitedRuns)
    return;
  std::vector<RunId> lostRuns;
  for (const RunId &run : awaitedRuns.mapped()) {
    auto it = Runs.find(run);
    if (it == Runs.end())
      continue;
    RunState &r = it->second;
    r.UnannouncedWorkers.erase(id);
    if (r.UnannouncedWorkers.empty())
      r.AdoptionDeadline = absl::InfiniteFuture();
    // An agent lists every task whose end it has not reported yet. A member
    // that is missing in the first list either never started, or its end was
    // reported to the previous leader and lost with that process. Its result is
    // unknown.
    const placement::Allocation *alloc = State.allocation(run);
    for (size_t m = 0; alloc != nullptr && m < alloc->Workers.size(); ++m)
      if (alloc->Workers[m] == id && !r.Members[m] &&
          std::none_of(announce.Tasks.begin(), announce.Tasks.end(),
                       [&](const endpoints::TaskStatus &t) {
                         return t.Run == run && t.Member == static_cast<int>(m);
                       }))
        lostRuns.push_back(run);
  }
  for (const RunId &run : lostRuns)
    handleLostMembers(run, id, now);
}

void GangScheduler::releaseRun(const RunId &run) {
  auto it = Runs.find(run);
  Actions.push_back(DeleteRunRecord{run, it->second.Gang.Request});
  Runs.erase(it);
  for (const RunId &ready : State.release(run))
    startRun(ready);
  PlacementDue = true;
}

void GangScheduler::onStartRefused(const RunId &run,
                                   const std::string &worker) {
  auto it = Runs.find(run);
  if (it == Runs.end())
    return;
  PendingGang gang = it->second.Gang;
  const bool answered = it->second.Answered;
  gang.AvoidedWorkers.insert(worker);
  gang.Saved = it->second.Saved;
  releaseRun(run);
  if (!answered)
    Pending.push_back(std::move(gang));
}

void GangScheduler::onStartAborted(const RunId &run, JobAnswer answer) {
  auto it = Runs.find(run);
  if (it == Runs.end())
    return;
  if (!it->second.Answered)
    Actions.push_back(AnswerCaller{it->second.Gang.Request, std::move(answer)});
  releaseRun(run);
}

void GangScheduler::onStartUnconfirmed(const RunId &run, absl::Time now) {
  beginStop(run, StopCause::WorkerLost, "the start of a member is unconfirmed",
            now);
}

void GangScheduler::onTaskResult(const endpoints::TaskResult &result,
                                 absl::Time now) {
  auto it = Runs.find(result.Run);
  if (it == Runs.end() || result.Member < 0 ||
      result.Member >= static_cast<int>(it->second.Members.size()) ||
      it->second.Members[static_cast<size_t>(result.Member)])
    return;
  if (!result.Saved.empty())
    it->second.Saved = result.Saved;
  if (result.End != TaskEnd::Stopped) {
    const bool wasQuarantined = State.isQuarantined(result.WorkerId, now);
    State.recordTaskEnd(result.WorkerId, result.End == TaskEnd::Done, now);
    if (!wasQuarantined && State.isQuarantined(result.WorkerId, now))
      Actions.push_back(LogReason{LogReason::Kind::WorkerQuarantined,
                                  result.WorkerId,
                                  "failed several tasks in a row"});
  }
  if (result.End == TaskEnd::Failed)
    it->second.Gang.AvoidedWorkers.insert(result.WorkerId);
  handleMemberEnd(result.Run,
                  core::MemberResult{result.Member, result.WorkerId,
                                     result.End == TaskEnd::Done,
                                     result.Output},
                  now);
}

// Records the end of a member. The failure of one member stops the run, and the
// end of the last member finishes it.
void GangScheduler::handleMemberEnd(const RunId &run, core::MemberResult result,
                                    absl::Time now) {
  RunState &r = Runs.at(run);
  const bool ok = result.Ok;
  const std::string detail = absl::StrCat("member ", result.Member, " on ",
                                          result.WorkerId, ": ", result.Output);
  r.Members[static_cast<size_t>(result.Member)] = std::move(result);
  if (!ok)
    beginStop(run, StopCause::MemberFailed, detail, now);
  auto it = Runs.find(run);
  if (it != Runs.end() &&
      std::all_of(it->second.Members.begin(), it->second.Members.end(),
                  [](const auto &m) { return m.has_value(); }))
    finishRun(run, now);
}

// Stops the run and ends as failed those of its members that have no result and
// were on worker, or on a worker that has been removed from the state.
void GangScheduler::handleLostMembers(const RunId &run,
                                      const std::string &worker,
                                      absl::Time now) {
  auto it = Runs.find(run);
  if (it == Runs.end())
    return;
  const placement::Allocation *alloc = State.allocation(run);
  std::vector<int> lostMembers;
  for (size_t m = 0; m < it->second.Members.size(); ++m)
    if (!it->second.Members[m] &&
        (alloc->Workers[m].empty() || alloc->Workers[m] == worker))
      lostMembers.push_back(static_cast<int>(m));
  if (!lostMembers.empty())
    beginStop(run, StopCause::WorkerLost, "worker " + worker + " was lost",
              now);
  for (int m : lostMembers)
    if (Runs.count(run) != 0)
      handleMemberEnd(run, core::MemberResult{m, worker, false, "worker lost"},
                      now);
}

bool GangScheduler::willRetry(const RunState &run) const {
  const PendingGang &gang = run.Gang;
  if (!gang.Request.Job.Idempotent || run.Answered || run.Orphan ||
      run.Cause == StopCause::Cancelled)
    return false;
  // A stop for another organisation's guarantee or for the power cap is not the
  // gang's fault and does not count as an attempt.
  return run.Cause == StopCause::Reclaimed || run.Cause == StopCause::Power ||
         gang.Attempt < Limits.MaxAttempts;
}

// Answers the caller with the results of the members that have ended, unless it
// has been answered already.
void GangScheduler::answerCaller(const RunState &run, Outcome outcome,
                                 const std::string &detail) {
  if (run.Answered)
    return;
  JobAnswer answer{
      run.Gang.Request.Job.Id, outcome, NotRunReason::None, detail, 0, {}};
  for (const auto &m : run.Members)
    if (m)
      answer.Members.push_back(*m);
  Actions.push_back(
      AnswerCaller{run.Gang.Request, std::move(answer), run.Orphan});
}

// Begins to stop the run, unless that has begun already. A run that was not
// started yet is released instead; its gang is requeued, or answered if it was
// cancelled.
void GangScheduler::beginStop(const RunId &run, StopCause cause,
                              const std::string &detail, absl::Time now) {
  auto it = Runs.find(run);
  if (it == Runs.end() || it->second.Cause != StopCause::None)
    return;
  RunState &r = it->second;
  r.Cause = cause;
  r.Detail = detail;
  Actions.push_back(LogReason{LogReason::Kind::Stopping, run, detail});
  const placement::Allocation *alloc = State.allocation(run);
  if (!alloc->WaitsFor.empty()) {
    // The gang was placed but not started, so there is nothing to stop.
    RunState removed = r;
    if (cause == StopCause::Cancelled)
      refusePending(removed.Gang, {NotRunReason::Cancelled, detail, 0});
    releaseRun(run);
    if (cause != StopCause::Cancelled)
      requeue(std::move(removed), now, detail);
    return;
  }
  State.markStopping(run);
  sendStop(run, r, now);
  // If the gang will not be retried, its caller is answered at once. The
  // accelerators and the power stay charged until every member has certainly
  // ended.
  if (!willRetry(r)) {
    answerCaller(r, Outcome::Failed, detail);
    r.Answered = true;
  }
}

void GangScheduler::sendStop(const RunId &run, RunState &state,
                             absl::Time now) {
  const placement::Allocation *alloc = State.allocation(run);
  StopGang stop{run, {}};
  for (size_t m = 0; m < alloc->Workers.size(); ++m)
    if (!state.Members[m] && !alloc->Workers[m].empty())
      stop.Members[alloc->Workers[m]].push_back(static_cast<int>(m));
  state.LastStopSent = now;
  if (!stop.Members.empty())
    Actions.push_back(std::move(stop));
}

void GangScheduler::finishRun(const RunId &run, absl::Time now) {
  RunState r = Runs.at(run);
  const bool allOk = std::all_of(r.Members.begin(), r.Members.end(),
                                 [](const auto &m) { return m && m->Ok; });
  const bool retry = !allOk && willRetry(r);
  // Answer before releasing the run: when the run is forgotten, the answer is
  // written to the record of an at-most-once request.
  if (!retry)
    answerCaller(r, allOk ? Outcome::Done : Outcome::Failed,
                 allOk ? "" : r.Detail);
  releaseRun(run);
  if (retry)
    requeue(r, now, r.Detail);
}

void GangScheduler::requeue(RunState run, absl::Time now,
                            const std::string &why) {
  PendingGang gang = std::move(run.Gang);
  if (run.Dispatched) {
    gang.HasRun = true;
    gang.Saved = run.Saved;
    if (run.Cause == StopCause::MemberFailed ||
        run.Cause == StopCause::WorkerLost)
      ++gang.Attempt;
  }
  // The waiting time starts again at zero, since the time for which the gang
  // ran is not waiting time.
  gang.WaitingSince = now;
  gang.DrainedWorkers.clear();
  Actions.push_back(
      LogReason{LogReason::Kind::Requeued, gang.Request.GangId, why});
  Pending.push_back(std::move(gang));
  PlacementDue = true;
}

void GangScheduler::startRun(const RunId &run) {
  RunState &r = Runs.at(run);
  r.Dispatched = true;
  Actions.push_back(StartGang{run, r.Gang.Request,
                              State.allocation(run)->Workers, r.Saved,
                              r.Gang.Attempt});
}

void GangScheduler::adopt(const AdoptedRun &adopted, absl::Time now,
                          absl::Duration orphanLease) {
  State.adopt(adopted.Run, adopted.Request.Job, adopted.Workers);
  RunState r;
  r.Gang.Request = adopted.Request;
  r.Gang.WaitingSince = now;
  r.Gang.Attempt = adopted.Attempt;
  r.Gang.HasRun = true;
  r.Dispatched = true;
  r.Orphan = true;
  r.Members.resize(adopted.Workers.size());
  r.Watts.assign(adopted.Workers.size(), -1);
  r.UnannouncedWorkers.insert(adopted.Workers.begin(), adopted.Workers.end());
  r.AdoptionDeadline = now + orphanLease;
  for (const std::string &worker : r.UnannouncedWorkers)
    AdoptedByWorker[worker].push_back(adopted.Run);
  Runs[adopted.Run] = std::move(r);
}

void GangScheduler::handleExpiredMembers(const std::vector<RunId> &runs,
                                         absl::Time now) {
  for (const RunId &run : runs)
    handleLostMembers(run, "", now);
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

void GangScheduler::checkWorkers(absl::Time now) {
  for (const RunId &run : State.findUnresponsive(now, Limits.HeartbeatTimeout))
    beginStop(run, StopCause::WorkerLost, "a worker went silent", now);
  handleExpiredMembers(State.expireWorkers(now, Limits.TaskLease), now);
  std::vector<std::pair<RunId, std::string>> orphans;
  for (const auto &[run, r] : Runs)
    if (r.AdoptionDeadline < now)
      for (const std::string &worker : r.UnannouncedWorkers)
        orphans.emplace_back(run, worker);
  for (const auto &[run, worker] : orphans)
    handleLostMembers(run, worker, now);
}

// A stop, or the report that the tasks ended, can be lost. Stops are
// idempotent, so agents accept them any number of times.
void GangScheduler::resendStops(absl::Time now) {
  for (auto &[run, r] : Runs)
    if (r.Cause != StopCause::None && now - r.LastStopSent >= StopResendPeriod)
      sendStop(run, r, now);
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
  // A gang that ran and was stopped has run in part, so it must not be answered
  // "not run".
  const core::JobRequest &job = gang.Request.Job;
  JobAnswer answer{job.Id,
                   gang.HasRun ? Outcome::Failed : Outcome::NotRun,
                   gang.HasRun ? NotRunReason::None : refusal.Reason,
                   gang.HasRun ? "stopped, then: " + refusal.Detail
                               : refusal.Detail,
                   refusal.RetryAfterMs,
                   {}};
  Actions.push_back(AnswerCaller{gang.Request, std::move(answer)});
}

} // namespace oriolebay::scheduler
