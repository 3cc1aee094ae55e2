#include "jobservicecall.h"

#include "utils/eventloop.h"

#include <algorithm>

namespace oriolebay::jobs {

using platform::StoreStatus;

namespace {

/// How long calls to the store may fail before it counts as unavailable and
/// callers are refused at once if no other entry can be asked. A single lost
/// answer is not an outage.
constexpr absl::Duration StoreFailureGrace = absl::Milliseconds(250);

} // namespace

JobService::JobService(utils::EventLoop &loop, const platform::Store &store,
                       JobView &view, operators::ConfigFollower &config,
                       JobServicePolicy policy,
                       StoreFailingSince storeFailingSince,
                       StoreLatency storeLatency, IsSiteCordoned isSiteCordoned,
                       MemoryLimit memoryLimit, Forward forward,
                       AskLeader askLeader, OnWritten onWritten,
                       OnDecision onDecision)
    : Loop(loop), StoreClient(store), View(view), Config(config),
      Policy(policy), Unanswered(Policy.MaxRollbackTime),
      FailingSince(std::move(storeFailingSince)),
      RecentLatency(std::move(storeLatency)),
      CheckSiteCordoned(std::move(isSiteCordoned)),
      JobMemory(std::move(memoryLimit)), ForwardToEntry(std::move(forward)),
      QueryLeader(std::move(askLeader)), NotifyLeader(std::move(onWritten)),
      ReportDecision(std::move(onDecision)) {}

JobService::~JobService() { *Alive = false; }

void JobService::submit(CallerAccess access, core::JobSpec spec, Done done) {
  const std::string id = spec.Id;
  serve(newCall({"submit", std::move(access), id, std::move(spec)},
                std::move(done)));
}

void JobService::state(CallerAccess access, std::string jobId, Done done) {
  serve(newCall({"state", std::move(access), std::move(jobId), {}},
                std::move(done)));
}

void JobService::cancel(CallerAccess access, std::string jobId, Done done) {
  serve(newCall({"cancel", std::move(access), std::move(jobId), {}},
                std::move(done)));
}

void JobService::queueLength(CallerAccess access, Done done) {
  serve(newCall({"queue", std::move(access), "", {}}, std::move(done)));
}

void JobService::serveForwarded(CallRequest request, Done done) {
  Config.handleNewerConfig({request.OldestRevision, 0},
                           operators::ConfigNewsSource::ForwardedCall);
  const CallPtr call = newCall(std::move(request), std::move(done));
  call->FromOtherEntry = true;
  if (call->Writes.isOpen())
    recordJobPossiblyStored(call);
  serve(call);
}

JobService::CallPtr JobService::newCall(CallRequest request, Done done) {
  auto call = std::make_shared<Call>();
  call->Name = std::move(request.Name);
  call->Access = std::move(request.Access);
  call->JobId = std::move(request.JobId);
  call->Spec = std::move(request.Spec);
  call->MaxConfigAge = request.MaxConfigAge;
  call->AllowedBy = request.AllowedBy;
  if (request.OpenRevision != 0) {
    call->Writes.adopt(request.OpenRevision);
    call->WritingOrganisations.insert(request.OpenOrganisations.begin(),
                                      request.OpenOrganisations.end());
  }
  call->Answer = std::move(done);
  return call;
}

void JobService::serve(const CallPtr &call) {
  authoriseNewCall(call, [this](const CallPtr &c) { carryOut(c); });
}

void JobService::carryOut(const CallPtr &call) {
  if (call->Name == "submit")
    validateAndStore(call);
  else if (call->Name == "state")
    showState(call);
  else if (call->Name == "cancel")
    findJobToCancel(call);
  else
    answerQueueLength(call);
}

void JobService::finish(const CallPtr &call, CallResult result,
                        std::string detail) {
  if (result != CallResult::Ok && isKnownToBeStored(call, result)) {
    result = CallResult::Ok;
    detail = "its record is known here";
  }
  if (isRefusal(result) && (beginSettling(call) || serveAgain(call, result)))
    return;
  CallAnswer answer;
  answer.Result = result;
  answer.Detail = std::move(detail);
  answer.DecidedBy = decidedBy(call, result);
  if (result == CallResult::NotDone || result == CallResult::Open)
    answer.RetryAfterMs = retryAfterMs();
  if (result == CallResult::NoRoom)
    answer.RetryAfterMs = roomRetryAfterMs(call);
  if (result == CallResult::Ok && call->Name == "state") {
    const StoredJob *job = View.find(call->JobId);
    if (job != nullptr)
      answer.State = visibleState(*job);
  }
  if (result == CallResult::Ok && call->Name == "queue")
    answer.Waiting = countWaitingJobs(call);
  deliver(call, std::move(answer));
}

// A refusal, or that nothing was done, is decided by the last check alone. What
// was done may be known by the job's record, at an entry whose own
// configuration is too old to check any call.
core::ConfigStamp JobService::decidedBy(const CallPtr &call,
                                        CallResult result) const {
  if (result != CallResult::Ok)
    return call->CheckedConfig;
  const StoredJob *job = View.find(call->JobId);
  return job == nullptr ? call->AllowedBy
                        : std::max(call->AllowedBy, job->decidedBy());
}

void JobService::deliver(const CallPtr &call, CallAnswer answer) {
  if (call->Finished)
    return;
  call->Finished = true;
  answer.Settled = !call->Writes.isOpen();
  answer.NewestKnown = Config.newestKnown();
  forgetIfSettled(call);
  std::optional<CallResult> withheld;
  if (isRefusal(answer.Result) && mayBeStored(call, answer.Result)) {
    withheld = answer.Result;
    answer.Result = CallResult::Open;
    answer.Detail =
        "a write may be stored; ask again with the same id: " + answer.Detail;
    answer.RetryAfterMs = retryAfterMs();
  }
  ReportDecision(decisionOf(call, withheld, answer));
  call->Answer(std::move(answer));
}

CallDecision JobService::decisionOf(const CallPtr &call,
                                    std::optional<CallResult> withheld,
                                    const CallAnswer &answer) const {
  CallDecision decision;
  decision.Call = call->Name;
  decision.Job = call->JobId;
  decision.Forwarded = call->FromOtherEntry;
  decision.Queue = call->Queue.Name;
  decision.Priority = call->Queue.Priority;
  decision.Organisation = call->Organisation;
  if (call->Name == "submit")
    decision.Asked = core::summary(call->Spec);
  decision.ConfigVersion = answer.ServedBy.empty()
                               ? answer.DecidedBy.Version
                               : call->CheckedConfig.Version;
  decision.ConfigAgeMs = loggedAgeMs(call->ConfigAge);
  decision.ConfigOutdated = Config.isOutdated();
  const StoredJob *known = View.find(call->JobId);
  if (known != nullptr)
    decision.RecordConfigVersion = known->decidedBy().Version;
  else
    known = View.findTombstone(call->JobId);
  if (known != nullptr) {
    decision.RecordQueue = known->Record.Spec.Queue;
    decision.RecordOrganisation = known->Record.Spec.Organisation;
  }
  decision.WritesSent = call->Writes.sentCount();
  decision.WritesUnanswered = call->Writes.unansweredCount();
  decision.WithheldRefusal = withheld;
  decision.Answer = answer;
  decision.TookMs = absl::ToInt64Milliseconds(Loop.now() - call->ReceivedAt);
  return decision;
}

// NotDone promises that the job never runs, and UnknownJob that there is
// nothing to cancel, whichever call has submitted the job.
bool JobService::mayBeStored(const CallPtr &call, CallResult refusal) {
  forgetIfSettled(call);
  if (call->Writes.isOpen())
    return true;
  if (call->Name == "submit" && isNeverRun(refusal))
    return View.find(call->JobId) != nullptr ||
           JobsPossiblyStored.contains(call->JobId, Loop.now());
  return call->Name == "cancel" && refusal == CallResult::UnknownJob &&
         !call->IsIdBarred &&
         JobsPossiblyStored.contains(call->JobId, Loop.now());
}

bool JobService::isWrittenBy(const CallPtr &call, const JobRecord &record) {
  return call->WritingOrganisations.count(record.Spec.Organisation) > 0 &&
         (!record.Spec.Address.isKnown() || isAtCalledPath(call, record));
}

// An id stands for one job of an organisation, in whatever queue it is
// submitted again: the names of its tasks do not tell queues apart. While its
// own queue is another one, the call asks for a job that would not run.
bool JobService::isOwnJob(const CallPtr &call, const JobRecord &record) {
  if (isWrittenBy(call, record))
    return true;
  return call->IsAuthorised && record.Spec.Organisation == call->Organisation &&
         (!record.Spec.Address.isKnown() || isInCalledQueue(call, record) ||
          call->Config->queueOf(record.Spec) == nullptr);
}

// The job of an earlier call is the same job. It contradicts NotDone, NoRoom
// and Open, but no refusal by a newer configuration.
bool JobService::isKnownToBeStored(const CallPtr &call,
                                   CallResult result) const {
  const StoredJob *job = View.find(call->JobId);
  if (call->Name != "submit" || job == nullptr)
    return false;
  const bool isRefusedByConfig =
      !isNeverRun(result) && result != CallResult::Open;
  return isRefusedByConfig ? isWrittenBy(call, job->Record)
                           : isOwnJob(call, job->Record);
}

// An earlier call has left the outcome open, here or at another entry, and so
// would this one. A caller that is told so at once asks again at once, and uses
// up its tries. A call that may itself have written is answered: another entry
// may be able to tell what became of it.
bool JobService::serveAgain(const CallPtr &call, CallResult result) {
  if (isNeverRun(result) && !call->Writes.isOpen() && mayBeStored(call, result))
    call->AwaitsEarlierCall = true;
  if (!call->AwaitsEarlierCall || call->FromOtherEntry ||
      call->Writes.sentCount() > 0 || !canRetry(call))
    return false;
  Loop.runAfter(Policy.RetryDelay, [this, alive = Alive, call] {
    if (*alive)
      authorise(call, false, [this](const CallPtr &c) { carryOut(c); });
  });
  return true;
}

int JobService::countWaitingJobs(const CallPtr &call) const {
  return View.waitingJobCount([&call](const JobRecord &record) {
    return call->Config->isInQueue(record.Spec, call->Queue);
  });
}

void JobService::answerQueueLength(const CallPtr &call) {
  if (View.isComplete())
    finish(call, CallResult::Ok);
  else
    finish(call, CallResult::NotDone, "this entry has not read the jobs yet");
}

bool JobService::isOutOfTime(const CallPtr &call) const {
  return Loop.now() + Policy.AnswerMargin >= call->Access.Deadline;
}

bool JobService::isStoreUsable() const {
  return Loop.now() - FailingSince() < StoreFailureGrace;
}

bool JobService::isViewFresh() const {
  return isStoreUsable() && Config.age(Loop.now()) < Policy.MaxViewAge;
}

int64_t JobService::retryAfterMs() const {
  const int64_t failingFor = absl::ToInt64Milliseconds(
      std::max(Loop.now() - FailingSince(), absl::ZeroDuration()));
  return std::clamp(failingFor, Policy.MinRetryAfterMs, Policy.MaxRetryAfterMs);
}

bool JobService::hasRoomFor(const JobRecord &record) {
  return Budget.hasRoom(memoryBytes(record), View.memoryBytes(), JobMemory(),
                        Loop.now());
}

void JobService::takeRoomFor(const CallPtr &call, const JobRecord &record) {
  if (call->Writes.sentCount() == 0)
    Budget.recordSent(memoryBytes(record), Loop.now());
}

int64_t JobService::roomRetryAfterMs(const CallPtr &call) {
  return absl::ToInt64Milliseconds(
      Budget.retryAfter(memoryBytes(newRecord(call)), View.memoryBytes(),
                        JobMemory(), View.freedBytes(), Loop.now()));
}

absl::Duration JobService::storeTimeLeft(const CallPtr &call) const {
  const absl::Duration totalTime = call->Access.Deadline - call->ReceivedAt;
  return call->ReceivedAt + totalTime * Policy.MaxStoreTimeShare - Loop.now();
}

long JobService::firstTryTimeoutMs() const {
  const long forLatency =
      absl::ToInt64Milliseconds(RecentLatency() * Policy.MinLatenciesPerTry);
  return std::clamp(forLatency, Policy.FirstTryTimeoutMs,
                    Policy.MaxTryTimeoutMs);
}

long JobService::nextTryTimeoutMs(const CallPtr &call) const {
  const bool isFirstTry = call->Tries++ == 0;
  const auto left = absl::ToInt64Milliseconds(storeTimeLeft(call));
  return std::clamp<long>(left, Policy.MinTryTimeoutMs,
                          isFirstTry ? firstTryTimeoutMs()
                                     : Policy.MaxTryTimeoutMs);
}

// A call whose outcome is open is tried for longer: nothing better can be told
// to its caller. Another entry waits only for a short time for the answer.
bool JobService::canRetry(const CallPtr &call) {
  if (isOutOfTime(call))
    return false;
  const absl::Duration elapsed = Loop.now() - call->ReceivedAt;
  if (call->FromOtherEntry)
    return elapsed < Policy.MaxForwardedRefusedTime;
  if (mayBeStored(call, CallResult::NotDone))
    return storeTimeLeft(call) > absl::ZeroDuration();
  return elapsed < Policy.MaxRefusedTime;
}

// Handles a failed store call: tries to forward the call, else repeats the
// store call while there is time. After that the caller learns whether the call
// may have taken effect.
void JobService::retryStoreCall(const CallPtr &call, const Continuation &next) {
  if (forward(call))
    return;
  if (!canRetry(call)) {
    if (call->Writes.isOpen())
      finish(call, CallResult::Open,
             "the store did not confirm in time; ask again with the same id");
    else
      finish(call, CallResult::NotDone,
             "the store is not available; nothing was done");
    return;
  }
  Loop.runAfter(Policy.RetryDelay, [alive = Alive, call, next] {
    if (*alive)
      next(call);
  });
}

} // namespace oriolebay::jobs
