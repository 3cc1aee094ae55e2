// Answers state calls: from the view, from the leader, which is the first to
// know that a job has ended, or from the store.

#include "jobservicecall.h"

#include "utils/eventloop.h"

namespace oriolebay::jobs {

using platform::KeyValue;
using platform::StoreReply;
using platform::StoreStatus;

void JobService::showState(const CallPtr &call) {
  const StoredJob *job = View.find(call->JobId);
  const bool hasEnded = job != nullptr && isFinal(visibleState(*job));
  if (!hasEnded && !isViewFresh() && forward(call))
    return;
  if (job != nullptr) {
    answerState(call, *job);
    return;
  }
  // The job may just have been submitted at another entry.
  fetchRecord(
      call, [this](const CallPtr &c) { showState(c); },
      [this](const CallPtr &c) { fetchProgress(c); });
}

void JobService::fetchRecord(const CallPtr &call, const Continuation &retry,
                             const Continuation &next) {
  StoreClient.Get(specKey(call->JobId),
                  [this, alive = Alive, call, retry,
                   next](const StoreReply<KeyValue> &reply) {
                    if (!*alive)
                      return;
                    if (reply.Status == StoreStatus::NotFound) {
                      call->Writes.settle();
                      finish(call, CallResult::UnknownJob, "no such job");
                      return;
                    }
                    if (!reply.ok()) {
                      retryStoreCall(call, retry);
                      return;
                    }
                    View.applyItem(reply.Value);
                    if (View.findTombstone(call->JobId) != nullptr)
                      finish(call, CallResult::UnknownJob, "no such job");
                    else
                      next(call);
                  });
}

void JobService::fetchProgress(const CallPtr &call) {
  StoreClient.Get(
      progressKey(call->JobId),
      [this, alive = Alive, call](const StoreReply<KeyValue> &reply) {
        if (!*alive)
          return;
        if (!reply.ok() && reply.Status != StoreStatus::NotFound) {
          retryStoreCall(call, [this](const CallPtr &c) { fetchProgress(c); });
          return;
        }
        if (reply.ok())
          View.applyItem(reply.Value);
        const StoredJob *job = View.find(call->JobId);
        if (job == nullptr)
          finish(call, CallResult::NotDone, "the record is unreadable");
        else
          answerState(call, *job);
      });
}

void JobService::answerState(const CallPtr &call, const StoredJob &job) {
  if (!isAccessAllowed(call, job.Record)) {
    finish(call, CallResult::UnknownJob, "no such job");
    return;
  }
  if (isFinal(visibleState(job))) {
    finish(call, CallResult::Ok);
    return;
  }
  if (askLeader(call) || waitForEndRecord(call))
    return;
  Loop.runAfter(Policy.EndReportDelay, [this, alive = Alive, call] {
    if (*alive && !waitForEndRecord(call))
      finish(call, CallResult::Ok);
  });
}

// Asks the leader, which is the first to know that a job has ended, and knows
// it while the end is still being recorded. Returns false if it was not asked.
bool JobService::askLeader(const CallPtr &call) {
  if (call->FromOtherEntry)
    return false;
  return QueryLeader(
      requestOf(call),
      [this, alive = Alive, call](const std::optional<CallAnswer> &answer) {
        if (*alive)
          onLeaderAnswer(call, answer);
      });
}

void JobService::onLeaderAnswer(const CallPtr &call,
                                const std::optional<CallAnswer> &answer) {
  if (answer)
    learnConfigsFrom(*answer);
  const StoredJob *job = View.find(call->JobId);
  const bool hasEnded = job != nullptr && isFinal(visibleState(*job));
  if (hasEnded || !answer || answer->Result != CallResult::Ok) {
    finish(call, CallResult::Ok);
    return;
  }
  CallAnswer leaderAnswer = withReportedEnd(call, *answer);
  leaderAnswer.Detail = "as the leader shows it";
  deliver(call, std::move(leaderAnswer));
}

// The state to report for the job. Once a caller has seen a final state it is
// not replaced by an earlier one.
JobState JobService::visibleState(const StoredJob &job) const {
  auto it = ReportedEnds.find(job.Record.Spec.Id);
  return it == ReportedEnds.end() ? job.visibleState() : it->second;
}

CallAnswer JobService::withReportedEnd(const CallPtr &call, CallAnswer answer) {
  if (call->Name != "state" || answer.Result != CallResult::Ok)
    return answer;
  const StoredJob *job = View.find(call->JobId);
  if (job != nullptr && isFinal(job->visibleState())) {
    answer.State = job->visibleState();
    return answer;
  }
  if (isFinal(answer.State))
    ReportedEnds.emplace(call->JobId, answer.State);
  auto it = ReportedEnds.find(call->JobId);
  if (it != ReportedEnds.end())
    answer.State = it->second;
  return answer;
}

// Queues the call until the job's end is recorded, for EndRecordWaitLimit after
// onEndPending() at most. Returns false if no end of the job is being recorded.
bool JobService::waitForEndRecord(const CallPtr &call) {
  const StoredJob *job = View.find(call->JobId);
  auto it = CallsAwaitingEnd.find(call->JobId);
  if (it == CallsAwaitingEnd.end() || job == nullptr ||
      isFinal(visibleState(*job)))
    return false;
  it->second.push_back(call);
  return true;
}

void JobService::onEndPending(const std::string &jobId) {
  const StoredJob *job = View.find(jobId);
  if (job != nullptr && isFinal(visibleState(*job)))
    return;
  if (!CallsAwaitingEnd.try_emplace(jobId).second)
    return;
  Loop.runAfter(Policy.EndRecordWaitLimit, [this, alive = Alive, jobId] {
    if (*alive)
      onEndRecorded(jobId);
  });
}

void JobService::onEndRecorded(const std::string &jobId) {
  const StoredJob *job = View.find(jobId);
  if (job == nullptr || isFinal(job->visibleState()))
    ReportedEnds.erase(jobId);
  auto it = CallsAwaitingEnd.find(jobId);
  if (it == CallsAwaitingEnd.end())
    return;
  const std::vector<CallPtr> calls = std::move(it->second);
  CallsAwaitingEnd.erase(it);
  for (const CallPtr &call : calls)
    finish(call, CallResult::Ok, "waited for the record of its end");
}

} // namespace oriolebay::jobs
