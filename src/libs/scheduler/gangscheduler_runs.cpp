// Runs from their start to their end: results of members, stops, and whether
// the gang is answered or requeued.
#include "gangscheduler.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace oriolebay::scheduler {

using core::JobAnswer;
using core::NotRunReason;
using core::Outcome;
using endpoints::TaskEnd;

namespace {
const absl::Duration StopResendPeriod = absl::Seconds(1);
} // namespace

void GangScheduler::startRun(const RunId &run) {
  RunState &r = Runs.at(run);
  r.Dispatched = true;
  Actions.push_back(StartGang{run, r.Gang.Request,
                              State.allocation(run)->Workers, r.Saved,
                              r.Gang.Attempt});
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
  const PendingGang &gang = it->second.Gang;
  if (!it->second.Answered)
    Actions.push_back(
        AnswerCaller{gang.Request, answerOf(gang, std::move(answer))});
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
  const bool isCounted =
      result.End == TaskEnd::Failed &&
      !it->second.FailedWorkers.insert(result.WorkerId).second;
  if (result.End != TaskEnd::Stopped && !isCounted) {
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

// A stop, or the report that the tasks ended, can be lost. Stops are
// idempotent, so agents accept them any number of times.
void GangScheduler::resendStops(absl::Time now) {
  for (auto &[run, r] : Runs)
    if (r.Cause != StopCause::None && now - r.LastStopSent >= StopResendPeriod)
      sendStop(run, r, now);
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

void GangScheduler::releaseRun(const RunId &run) {
  auto it = Runs.find(run);
  Actions.push_back(DeleteRunRecord{run, it->second.Gang.Request});
  Runs.erase(it);
  for (const RunId &ready : State.release(run))
    startRun(ready);
  PlacementDue = true;
}

} // namespace oriolebay::scheduler
