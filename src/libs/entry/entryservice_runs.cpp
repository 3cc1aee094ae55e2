// Starts and stops runs: a run is recorded in the store before it is dispatched
// to the agents, and its record is deleted after its end.
#include "entryservice.h"

#include "core/codec.h"
#include "eventlog/eventlog.h"
#include "utils/steadyclock.h"

namespace oriolebay::entry {

using core::JobAnswer;
using core::NotRunReason;
using core::Outcome;
using eventlog::Event;
using eventlog::logEvent;
using utils::steadyNow;

void EntryService::recordStart(const RecordStart &request) {
  const scheduler::StartGang &start = request.Start;
  if (RunRecorder->recordStart(request))
    return;
  RunsBeingRecorded.erase(start.Run);
  Scheduler->onStartAborted(
      start.Run, core::notRun(start.Request.Job.Id, NotRunReason::Overloaded,
                              "too many starts wait for the store",
                              Settings.RetryAfterMs));
  performActions();
}

void EntryService::perform(const scheduler::StartGang &start) {
  RunsBeingRecorded[start.Run] = std::nullopt;
  recordStart({LeadingEpoch, start, 0});
}

void EntryService::handle(const RecordOutcome &outcome) {
  const scheduler::StartGang &start = outcome.Request.Start;
  auto it = RunsBeingRecorded.find(start.Run);
  if (!Scheduler || outcome.Request.Epoch != LeadingEpoch ||
      it == RunsBeingRecorded.end())
    return;
  const std::optional<scheduler::StopGang> requestedStop = it->second;
  const auto abortStart = [&](JobAnswer answer) {
    RunsBeingRecorded.erase(start.Run);
    Scheduler->onStartAborted(start.Run, std::move(answer));
  };
  switch (outcome.What) {
  case RecordOutcome::Kind::Refused:
    if (outcome.Answer.Result != Outcome::NotRun)
      ++Duplicates;
    return abortStart(outcome.Answer);
  case RecordOutcome::Kind::KeyInUse: {
    ++Duplicates;
    logEvent(Event::JobDuplicate,
             {{"job", start.Request.Job.Id}, {"holder", outcome.Holder}});
    auto recent = RecentAnswers.find(outcome.Holder);
    const bool isAnswered = recent != RecentAnswers.end() &&
                            recent->second.Result != Outcome::NotRun;
    if (isAnswered) {
      JobAnswer answer = recent->second;
      answer.JobId = start.Request.Job.Id;
      return abortStart(std::move(answer));
    }
    if (Scheduler->hasGang(outcome.Holder))
      return abortStart({start.Request.Job.Id,
                         Outcome::InProgress,
                         NotRunReason::None,
                         "an earlier attempt with this idempotency key has not "
                         "ended; ask again for its answer",
                         Settings.RetryAfterMs,
                         {}});
    // The leader knows all runs. A holder that it does not know was answered
    // "not run" after its record had been written but the reply was lost.
    RecordStart retry = outcome.Request;
    retry.PriorRevision = outcome.HolderRevision;
    recordStart(retry);
    return;
  }
  case RecordOutcome::Kind::LeadershipLost:
    // The lease of this entry expired while its process was paused, and it has
    // not been notified yet. The gang was not started and its caller continues
    // to wait: the entry that holds the caller submits the gang to the new
    // leader as soon as it is notified of the election.
    RunsBeingRecorded.erase(start.Run);
    return;
  case RecordOutcome::Kind::Recorded:
    break;
  }
  RunsBeingRecorded.erase(start.Run);
  RecordedRuns[start.Run] = outcome.Revision;
  if (requestedStop) {
    // The run was stopped before any message was sent, so every member ends as
    // stopped.
    for (const auto &[worker, members] : requestedStop->Members)
      for (int m : members)
        Scheduler->onTaskResult({start.Run, m, worker,
                                 endpoints::TaskEnd::Stopped, "did not run",
                                 start.Saved},
                                steadyNow());
    return;
  }
  if (!GangDispatcher->start(LeadingEpoch, ConfigVersion, start))
    Scheduler->onStartRefused(start.Run, "");
}

void EntryService::perform(const scheduler::StopGang &stop) {
  auto it = RunsBeingRecorded.find(stop.Run);
  if (it != RunsBeingRecorded.end())
    it->second = stop;
  else
    // If the queue is full, the scheduler sends the stop again.
    GangDispatcher->stop(LeadingEpoch, stop);
}

void EntryService::handle(const StartOutcome &outcome) {
  if (!Scheduler)
    return;
  switch (outcome.What) {
  case StartOutcome::Kind::Started:
    ++Placed;
    if (const auto *alloc = Scheduler->state().allocation(outcome.Run))
      logEvent(Event::JobPlaced, {{"job", alloc->Job.Id},
                                  {"run", outcome.Run},
                                  {"workers", alloc->Workers}});
    return;
  case StartOutcome::Kind::Refused:
    logEvent(Event::GangAborted, {{"run", outcome.Run},
                                  {"worker", outcome.Worker},
                                  {"why", outcome.Detail}});
    Scheduler->onStartRefused(outcome.Run, outcome.Worker);
    return;
  case StartOutcome::Kind::Unconfirmed:
    logEvent(Event::GangStopping, {{"run", outcome.Run},
                                   {"worker", outcome.Worker},
                                   {"why", outcome.Detail}});
    Scheduler->onStartUnconfirmed(outcome.Run, steadyNow());
    return;
  }
}

void EntryService::perform(const scheduler::DeleteRunRecord &deletion) {
  // A run without a record may have been refused because another gang holds its
  // idempotency key. The record of that gang must not be overwritten.
  auto recorded = RecordedRuns.extract(deletion.Run);
  if (!recorded)
    return;
  DeleteRecord end{LeadingEpoch, deletion.Run,
                   std::nullopt, deletion.Request.GangId,
                   std::nullopt, recorded.mapped()};
  auto it = RecentAnswers.find(deletion.Request.GangId);
  if (!deletion.Request.Job.Idempotent && it != RecentAnswers.end() &&
      it->second.Result != Outcome::NotRun) {
    end.Job = deletion.Request.Job;
    end.Answer = it->second;
  }
  RunRecorder->recordEnd(std::move(end));
}

} // namespace oriolebay::entry
