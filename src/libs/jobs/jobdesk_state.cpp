// How a caller is told a job's state: by the view here, by the leader, which
// knows of ends first, or by the store.

#include "jobdeskcall.h"

#include "utils/eventloop.h"

namespace oriolebay::jobs {

using platform::KeyValue;
using platform::StoreReply;
using platform::StoreStatus;

void JobDesk::show(const CallPtr &call) {
  const StoredJob *job = View.find(call->JobId);
  const bool over = job != nullptr && isFinal(shown(*job));
  if (!over && !viewIsFresh() && forward(call))
    return;
  if (job != nullptr) {
    answerState(call, *job);
    return;
  }
  // It may have been accepted at another entry a moment ago.
  fetchRecord(
      call, [this](const CallPtr &c) { show(c); },
      [this](const CallPtr &c) { readProgress(c); });
}

void JobDesk::fetchRecord(const CallPtr &call, const Step &retry,
                          const Step &next) {
  Calls.Get(specKey(call->JobId), [this, alive = Alive, call, retry,
                                   next](const StoreReply<KeyValue> &reply) {
    if (!*alive)
      return;
    if (reply.Status == StoreStatus::NotFound) {
      finish(call, CallResult::UnknownJob, "no such job");
      return;
    }
    if (!reply.ok()) {
      again(call, StoreStatus::Refused, retry);
      return;
    }
    View.learn(reply.Value);
    next(call);
  });
}

void JobDesk::readProgress(const CallPtr &call) {
  Calls.Get(progressKey(call->JobId),
            [this, alive = Alive, call](const StoreReply<KeyValue> &reply) {
              if (!*alive)
                return;
              if (!reply.ok() && reply.Status != StoreStatus::NotFound) {
                again(call, StoreStatus::Refused,
                      [this](const CallPtr &c) { readProgress(c); });
                return;
              }
              if (reply.ok())
                View.learn(reply.Value);
              const StoredJob *job = View.find(call->JobId);
              if (job == nullptr)
                finish(call, CallResult::NotDone, "the record is unreadable");
              else
                answerState(call, *job);
            });
}

void JobDesk::answerState(const CallPtr &call, const StoredJob &job) {
  if (!mayTouch(call, job.Record)) {
    finish(call, CallResult::UnknownJob, "no such job");
    return;
  }
  if (isFinal(shown(job))) {
    finish(call, CallResult::Ok);
    return;
  }
  if (askLeader(call) || waitForEnd(call))
    return;
  Loop.runAfter(Policy.NewsOnItsWay, [this, alive = Alive, call] {
    if (*alive && !waitForEnd(call))
      finish(call, CallResult::Ok);
  });
}

// The leader knows of an end before anyone, and while it is being recorded.
bool JobDesk::askLeader(const CallPtr &call) {
  if (call->Foreign)
    return false;
  return LeadersView(
      requestOf(call),
      [this, alive = Alive, call](const std::optional<CallAnswer> &answer) {
        if (*alive)
          onLeaderAnswer(call, answer);
      });
}

void JobDesk::onLeaderAnswer(const CallPtr &call,
                             const std::optional<CallAnswer> &answer) {
  if (answer)
    Config.heardOf(answer->DecidedBy);
  const StoredJob *job = View.find(call->JobId);
  const bool over = job != nullptr && isFinal(shown(*job));
  if (over || !answer || answer->Result != CallResult::Ok) {
    finish(call, CallResult::Ok);
    return;
  }
  CallAnswer told = withEndTold(call, *answer);
  told.Detail = "as the leader shows it";
  deliver(call, std::move(told));
}

// An end that callers have seen is not taken back.
JobState JobDesk::shown(const StoredJob &job) const {
  auto it = EndsTold.find(job.Record.Spec.Id);
  return it == EndsTold.end() ? job.shown() : it->second;
}

CallAnswer JobDesk::withEndTold(const CallPtr &call, CallAnswer answer) {
  if (call->Name != "state" || answer.Result != CallResult::Ok)
    return answer;
  const StoredJob *job = View.find(call->JobId);
  if (job != nullptr && isFinal(job->shown())) {
    answer.State = job->shown();
    return answer;
  }
  if (isFinal(answer.State))
    EndsTold.emplace(call->JobId, answer.State);
  auto it = EndsTold.find(call->JobId);
  if (it != EndsTold.end())
    answer.State = it->second;
  return answer;
}

// True when the call is answered once the end is recorded, or patience is over.
bool JobDesk::waitForEnd(const CallPtr &call) {
  const StoredJob *job = View.find(call->JobId);
  auto it = Ending.find(call->JobId);
  if (it == Ending.end() || job == nullptr || isFinal(shown(*job)))
    return false;
  it->second.push_back(call);
  return true;
}

void JobDesk::expectEnd(const std::string &jobId) {
  const StoredJob *job = View.find(jobId);
  if (job != nullptr && isFinal(shown(*job)))
    return;
  if (!Ending.try_emplace(jobId).second)
    return;
  Loop.runAfter(Policy.EndPatience, [this, alive = Alive, jobId] {
    if (*alive)
      onEndRecorded(jobId);
  });
}

void JobDesk::onEndRecorded(const std::string &jobId) {
  const StoredJob *job = View.find(jobId);
  if (job == nullptr || isFinal(job->shown()))
    EndsTold.erase(jobId);
  auto it = Ending.find(jobId);
  if (it == Ending.end())
    return;
  const std::vector<CallPtr> calls = std::move(it->second);
  Ending.erase(it);
  for (const CallPtr &call : calls)
    finish(call, CallResult::Ok, "waited for the record of its end");
}

} // namespace oriolebay::jobs
