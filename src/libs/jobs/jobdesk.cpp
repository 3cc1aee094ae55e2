#include "jobdeskcall.h"

#include "utils/eventloop.h"

#include <algorithm>

namespace oriolebay::jobs {

using platform::KeyValue;
using platform::StoreReply;
using platform::StoreStatus;
using platform::StoreTxnReply;

namespace {

/// Calls to the store may fail for so long before callers are refused at once:
/// one lost answer is no outage.
constexpr absl::Duration StoreGrace = absl::Milliseconds(250);

const KeyValue *findItem(const std::vector<KeyValue> &items,
                         const std::string &key) {
  auto it = std::find_if(items.begin(), items.end(),
                         [&](const KeyValue &i) { return i.Key == key; });
  return it == items.end() ? nullptr : &*it;
}

std::optional<JobRecord> readRecord(const std::string &bytes) {
  return utils::handle<std::optional<JobRecord>>(
      [&]() -> utils::Result<std::optional<JobRecord>> {
        BOOST_LEAF_AUTO(record, decodeRecord(bytes));
        return std::optional<JobRecord>(std::move(record));
      },
      [](const utils::Error &) { return std::optional<JobRecord>(); });
}

} // namespace

JobDesk::JobDesk(utils::EventLoop &loop, const platform::Store &store,
                 JobView &view, operators::ConfigFollower &config,
                 DeskPolicy policy, StoreAway storeAway, Forward forward,
                 AskLeader askLeader, OnWritten onWritten,
                 OnDecision onDecision)
    : Loop(loop), Calls(store), View(view), Config(config), Policy(policy),
      AwaySince(std::move(storeAway)), HandOver(std::move(forward)),
      LeadersView(std::move(askLeader)), Written(std::move(onWritten)),
      Decided(std::move(onDecision)) {}

JobDesk::~JobDesk() { *Alive = false; }

void JobDesk::finish(const CallPtr &call, CallResult result,
                     std::string detail) {
  CallAnswer answer;
  answer.Result = result;
  answer.Detail = std::move(detail);
  answer.DecidedBy = call->CheckedBy;
  if (result == CallResult::NotDone || result == CallResult::Open)
    answer.RetryAfterMs = retryAfterMs();
  if (result == CallResult::Ok && call->Name == "state") {
    const StoredJob *job = View.find(call->JobId);
    if (job != nullptr)
      answer.State = shown(*job);
  }
  if (result == CallResult::Ok && call->Name == "queue")
    answer.Waiting = View.waiting(call->Queue.Name);
  deliver(call, std::move(answer));
}

void JobDesk::deliver(const CallPtr &call, CallAnswer answer) {
  if (call->Finished)
    return;
  call->Finished = true;
  Decided({call->Name, call->JobId, call->Queue.Name, call->Queue.Priority,
           call->Organisation,
           call->Name == "submit" ? core::summary(call->Spec) : "",
           call->CheckedBy.Version, shownAgeMs(call->ConfigAge), answer,
           absl::ToInt64Milliseconds(Loop.now() - call->Began)});
  call->Answer(std::move(answer));
}

// True when another entry is asked; a call is handed over once at most.
bool JobDesk::forward(const CallPtr &call) {
  if (call->Foreign || call->HandedOver)
    return false;
  call->HandedOver = true;
  return HandOver(requestOf(call),
                  [this, alive = Alive, call](
                      const std::optional<CallAnswer> &answer, bool mayBeDone) {
                    if (*alive)
                      onForwarded(call, answer, mayBeDone);
                  });
}

CallRequest JobDesk::requestOf(const CallPtr &call) const {
  return {call->Name, call->Access, call->JobId, call->Spec,
          Config.newestRevision()};
}

// What was done stays done. Anything else that was decided by an older
// configuration than one that is known by now would take that one back.
bool JobDesk::mayPassOn(const CallPtr &call, const CallAnswer &answer) const {
  const bool writes = call->Name == "submit" || call->Name == "cancel";
  return (writes && answer.Result == CallResult::Ok) ||
         answer.DecidedBy.Revision >= Config.newestRevision();
}

// "Not done" holds only if nothing that was sent before, here or to an entry
// that did not answer, may still be carried out.
void JobDesk::onForwarded(const CallPtr &call,
                          const std::optional<CallAnswer> &answer,
                          bool mayBeDone) {
  call->MayBeDone |= mayBeDone;
  if (answer)
    Config.heardOf(answer->DecidedBy);
  if (answer && answer->Result != CallResult::NotDone &&
      mayPassOn(call, *answer)) {
    CallAnswer passed = withEndTold(call, *answer);
    if (passed.Detail.empty())
      passed.Detail = "served by another entry";
    deliver(call, std::move(passed));
    return;
  }
  finish(call, call->MayBeDone ? CallResult::Open : CallResult::NotDone,
         answer ? "no entry reaches the store"
                : "the store is not available here, nor any other entry");
}

bool JobDesk::outOfTime(const CallPtr &call) const {
  return Loop.now() + Policy.AnswerMargin >= call->Access.Deadline;
}

bool JobDesk::storeUsable() const {
  return Loop.now() - AwaySince() < StoreGrace;
}

// An entry that knows of a newer configuration has passed on what it decided,
// or is asked by an entry that has. Serving by its own would take that back.
bool JobDesk::mayGoByConfig() const {
  return Config.current() != nullptr && !Config.outdated() &&
         Config.age(Loop.now()) <= Policy.OldestConfig;
}

bool JobDesk::viewIsFresh() const {
  return storeUsable() && Config.age(Loop.now()) < Policy.FreshView;
}

int64_t JobDesk::retryAfterMs() const {
  const int64_t away = absl::ToInt64Milliseconds(
      std::max(Loop.now() - AwaySince(), absl::ZeroDuration()));
  return std::clamp(away, Policy.RetryAfterMs, Policy.LongestRetryAfterMs);
}

// Checks route and key, then goes on with step. A refusal is given only after
// the store confirmed that the configuration is the newest: the key or route
// may have been added a moment ago.
void JobDesk::begin(const CallPtr &call, const Step &step) {
  call->Began = Loop.now();
  authorise(call, false, step);
}

void JobDesk::authorise(const CallPtr &call, bool confirmed, const Step &step) {
  call->Config = Config.current();
  call->CheckedBy = Config.stamp();
  call->ConfigAge = Config.age(Loop.now());
  if (!mayGoByConfig()) {
    if (forward(call))
      return;
    if (!confirmed && Config.outdated() && storeUsable()) {
      confirmFirst(call, step);
      return;
    }
    finish(call, CallResult::NotDone,
           "this entry has no fresh configuration; try another entry");
    return;
  }
  const core::QueueConfig *queue =
      call->Config->route(call->Access.Host, call->Access.Path);
  const core::OrganisationConfig *owner = call->Config->owner(call->Access.Key);
  if (queue != nullptr && (queue->Public || owner != nullptr)) {
    call->Queue = *queue;
    call->Organisation = owner != nullptr ? owner->Name : "";
    step(call);
    return;
  }
  if (!confirmed) {
    if (viewIsFresh() || !forward(call))
      confirmFirst(call, step);
    return;
  }
  if (queue == nullptr)
    finish(call, CallResult::UnknownQueue,
           "no such queue; check host and path");
  else
    finish(call, CallResult::BadKey, "unknown key; check the key in use");
}

void JobDesk::confirmFirst(const CallPtr &call, const Step &step) {
  const auto onConfirmed = [this, alive = Alive, call, step](bool ok) {
    if (!*alive)
      return;
    if (ok)
      authorise(call, true, step);
    else if (!forward(call))
      finish(call, CallResult::NotDone,
             "the configuration could not be confirmed; try another entry");
  };
  Config.confirm(onConfirmed, Policy.FirstTryMs);
}

absl::Duration JobDesk::timeLeft(const CallPtr &call) const {
  const absl::Duration whole = call->Access.Deadline - call->Began;
  return call->Began + whole * Policy.MostShareOfTime - Loop.now();
}

long JobDesk::nextTryMs(const CallPtr &call) const {
  const bool first = call->Tries++ == 0;
  const auto left = absl::ToInt64Milliseconds(timeLeft(call));
  return std::clamp<long>(left, Policy.ShortestTryMs,
                          first ? Policy.FirstTryMs : Policy.LongestTryMs);
}

// A store call failed: it is made again while there is time, and the caller is
// told what is certain when there is none.
void JobDesk::again(const CallPtr &call, StoreStatus status, const Step &step) {
  if (status == StoreStatus::Unknown)
    call->MayBeDone = true;
  if (forward(call))
    return;
  const absl::Duration patience =
      call->Foreign ? Policy.ForwardedPatience : Policy.RefusedPatience;
  const bool patient = call->MayBeDone ? timeLeft(call) > absl::ZeroDuration()
                                       : Loop.now() - call->Began < patience;
  if (outOfTime(call) || !patient) {
    if (call->MayBeDone)
      finish(call, CallResult::Open,
             "the store did not confirm in time; ask again with the same id");
    else
      finish(call, CallResult::NotDone,
             "the store is not available; nothing was done");
    return;
  }
  Loop.runAfter(Policy.RetryPause, [alive = Alive, call, step] {
    if (*alive)
      step(call);
  });
}

JobDesk::CallPtr JobDesk::newCall(CallRequest request, Done done) {
  auto call = std::make_shared<Call>();
  call->Name = std::move(request.Name);
  call->Access = std::move(request.Access);
  call->JobId = std::move(request.JobId);
  call->Spec = std::move(request.Spec);
  call->Answer = std::move(done);
  return call;
}

void JobDesk::serve(const CallPtr &call) {
  if (call->Name == "submit")
    begin(call, [this](const CallPtr &c) { admit(c); });
  else if (call->Name == "state")
    begin(call, [this](const CallPtr &c) { show(c); });
  else if (call->Name == "cancel")
    begin(call, [this](const CallPtr &c) { findForCancel(c); });
  else
    begin(call, [this](const CallPtr &c) { countWaiting(c); });
}

void JobDesk::serveForwarded(CallRequest request, Done done) {
  Config.heardOf({request.OldestRevision, 0});
  const CallPtr call = newCall(std::move(request), std::move(done));
  call->Foreign = true;
  serve(call);
}

void JobDesk::submit(CallerAccess access, core::JobSpec spec, Done done) {
  const std::string id = spec.Id;
  serve(newCall({"submit", std::move(access), id, std::move(spec)},
                std::move(done)));
}

void JobDesk::state(CallerAccess access, std::string jobId, Done done) {
  serve(newCall({"state", std::move(access), std::move(jobId), {}},
                std::move(done)));
}

void JobDesk::cancel(CallerAccess access, std::string jobId, Done done) {
  serve(newCall({"cancel", std::move(access), std::move(jobId), {}},
                std::move(done)));
}

void JobDesk::queueLength(CallerAccess access, Done done) {
  serve(newCall({"queue", std::move(access), "", {}}, std::move(done)));
}

void JobDesk::admit(const CallPtr &call) {
  const std::string problem = core::validate(call->Spec);
  if (!problem.empty()) {
    finish(call, CallResult::Invalid, problem);
    return;
  }
  if (storeUsable()) {
    accept(call);
    return;
  }
  if (!forward(call))
    finish(call, CallResult::NotDone,
           "the store is not available; nothing was done");
}

// The job's key must not exist, and the configuration that the call was
// checked against must still be the newest when the store takes the job.
void JobDesk::accept(const CallPtr &call) {
  if (call->Config != Config.current()) {
    authorise(call, false, [this](const CallPtr &c) { accept(c); });
    return;
  }
  // Workers refuse what comes without the advice service's ticket, which this
  // version does not ask for: once accepted, the job would start nowhere.
  if (call->Queue.NeedsAdvice) {
    finish(call, CallResult::Invalid,
           "jobs of this queue need placement advice, which is not supported; "
           "use a queue without advice");
    return;
  }
  JobRecord record;
  record.Spec = call->Spec;
  record.Spec.Organisation = call->Organisation;
  record.Spec.Queue = call->Queue.Name;
  record.Service = call->Queue.Service;
  record.Priority = call->Queue.Priority;
  record.Attempts = std::max(1, call->Queue.Attempts);
  record.Stretch = call->Queue.Stretch;
  record.TargetLatencyMs = call->Queue.TargetLatencyMs;
  record.NeedsAdvice = call->Queue.NeedsAdvice;
  std::string value = encode(record);
  platform::StoreTxn txn;
  txn.Expected.push_back({specKey(call->JobId), 0});
  txn.Expected.push_back(Config.condition());
  txn.Puts.push_back({specKey(call->JobId), value, 0});
  txn.TimeoutMs = nextTryMs(call);
  const absl::Time sent = Loop.now();
  Calls.Transact(std::move(txn), [this, alive = Alive, call, sent, value](
                                     const StoreReply<StoreTxnReply> &reply) {
    if (*alive)
      onAccepted(call, reply, sent, value);
  });
}

void JobDesk::onAccepted(const CallPtr &call,
                         const StoreReply<StoreTxnReply> &reply,
                         absl::Time sent, const std::string &value) {
  const std::string key = specKey(call->JobId);
  if (reply.ok()) {
    const KeyValue item{key, value, reply.Value.Revision, reply.Value.Revision,
                        0};
    View.learn(item);
    Written(item);
    finish(call, CallResult::Ok);
    return;
  }
  if (reply.Status != StoreStatus::Conflict) {
    again(call, reply.Status, [this](const CallPtr &c) { accept(c); });
    return;
  }
  if (const KeyValue *existing = findItem(reply.Value.Current, key)) {
    // Handed in before, by this call or an earlier one: the same job.
    const std::optional<JobRecord> record = readRecord(existing->Value);
    View.learn(*existing);
    if (record && record->Spec.Organisation != call->Organisation) {
      finish(call, CallResult::IdTaken, "another job has this id");
      return;
    }
    Written(*existing);
    finish(call, CallResult::Ok);
    return;
  }
  if (const KeyValue *config =
          findItem(reply.Value.Current, Config.condition().Key))
    Config.learn(*config, sent);
  if (outOfTime(call)) {
    again(call, StoreStatus::Refused, {});
    return;
  }
  authorise(call, true, [this](const CallPtr &c) { accept(c); });
}

bool JobDesk::mayTouch(const CallPtr &call, const JobRecord &record) const {
  return record.Spec.Queue == call->Queue.Name &&
         (call->Queue.Public || record.Spec.Organisation == call->Organisation);
}

void JobDesk::countWaiting(const CallPtr &call) {
  if (View.complete())
    finish(call, CallResult::Ok);
  else
    finish(call, CallResult::NotDone, "this entry has not read the jobs yet");
}

void JobDesk::findForCancel(const CallPtr &call) {
  if (const StoredJob *job = View.find(call->JobId)) {
    if (!mayTouch(call, job->Record))
      finish(call, CallResult::UnknownJob, "no such job");
    else if (isFinal(shown(*job)))
      finish(call, CallResult::Ok);
    else
      writeCancel(call, job->Record, job->RecordRevision);
    return;
  }
  fetchRecord(
      call, [this](const CallPtr &c) { findForCancel(c); },
      [this](const CallPtr &c) {
        if (View.find(c->JobId) != nullptr)
          findForCancel(c);
        else
          finish(c, CallResult::NotDone, "the record is unreadable");
      });
}

void JobDesk::writeCancel(const CallPtr &call, JobRecord record,
                          int64_t revision) {
  record.Cancelled = true;
  const std::string key = specKey(call->JobId);
  const std::string value = encode(record);
  platform::StoreTxn txn;
  txn.Expected.push_back({key, revision});
  txn.Puts.push_back({key, value, 0});
  Calls.Transact(std::move(txn), [this, alive = Alive, call, key, value](
                                     const StoreReply<StoreTxnReply> &reply) {
    if (!*alive)
      return;
    if (reply.ok()) {
      const KeyValue item{key, value, 0, reply.Value.Revision, 0};
      View.learn(item);
      Written(item);
      finish(call, CallResult::Ok);
      return;
    }
    if (reply.Status != StoreStatus::Conflict) {
      again(call, reply.Status, [this](const CallPtr &c) { findForCancel(c); });
      return;
    }
    // Cancelled by another call, or by this one with its answer lost.
    if (const KeyValue *now = findItem(reply.Value.Current, key)) {
      View.learn(*now);
      Written(*now);
      findForCancel(call);
      return;
    }
    finish(call, CallResult::UnknownJob, "no such job");
  });
}

} // namespace oriolebay::jobs
