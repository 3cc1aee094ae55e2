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
                       Forward forward, AskLeader askLeader,
                       OnWritten onWritten, OnDecision onDecision)
    : Loop(loop), StoreClient(store), View(view), Config(config),
      Policy(policy), Unanswered(Policy.MaxRollbackTime),
      FailingSince(std::move(storeFailingSince)),
      RecentLatency(std::move(storeLatency)),
      CheckSiteCordoned(std::move(isSiteCordoned)),
      ForwardToEntry(std::move(forward)), QueryLeader(std::move(askLeader)),
      NotifyLeader(std::move(onWritten)),
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
  serve(call);
}

JobService::CallPtr JobService::newCall(CallRequest request, Done done) {
  auto call = std::make_shared<Call>();
  call->Name = std::move(request.Name);
  call->Access = std::move(request.Access);
  call->JobId = std::move(request.JobId);
  call->Spec = std::move(request.Spec);
  call->MaxConfigAge = request.MaxConfigAge;
  if (request.OpenRevision != 0) {
    call->Writes.adopt(request.OpenRevision);
    call->WritingOrganisation = std::move(request.OpenOrganisation);
  }
  call->Answer = std::move(done);
  return call;
}

void JobService::serve(const CallPtr &call) {
  if (call->Name == "submit")
    authoriseNewCall(call, [this](const CallPtr &c) { validateAndStore(c); });
  else if (call->Name == "state")
    authoriseNewCall(call, [this](const CallPtr &c) { showState(c); });
  else if (call->Name == "cancel")
    authoriseNewCall(call, [this](const CallPtr &c) { findJobToCancel(c); });
  else
    authoriseNewCall(call, [this](const CallPtr &c) { answerQueueLength(c); });
}

void JobService::finish(const CallPtr &call, CallResult result,
                        std::string detail) {
  if (isRefusal(result) && settleWrites(call))
    return;
  CallAnswer answer;
  answer.Result = result;
  answer.Detail = std::move(detail);
  answer.DecidedBy = call->CheckedConfig;
  if (result == CallResult::NotDone || result == CallResult::Open)
    answer.RetryAfterMs = retryAfterMs();
  if (result == CallResult::Ok && call->Name == "state") {
    const StoredJob *job = View.find(call->JobId);
    if (job != nullptr)
      answer.State = visibleState(*job);
  }
  if (result == CallResult::Ok && call->Name == "queue")
    answer.Waiting = View.waitingJobCount(call->Queue.Name);
  deliver(call, std::move(answer));
}

void JobService::deliver(const CallPtr &call, CallAnswer answer) {
  if (call->Finished)
    return;
  call->Finished = true;
  answer.Settled = !call->Writes.isOpen();
  if (answer.Settled && call->OpenJob)
    JobsPossiblyStored.remove(*call->OpenJob);
  std::optional<CallResult> withheld;
  if (isRefusal(answer.Result) && mayBeStored(call, answer.Result)) {
    withheld = answer.Result;
    answer.Result = CallResult::Open;
    answer.Detail =
        "a write may be stored; ask again with the same id: " + answer.Detail;
    answer.RetryAfterMs = retryAfterMs();
  }
  ReportDecision({call->Name, call->JobId, call->Queue.Name,
                  call->Queue.Priority, call->Organisation,
                  call->Name == "submit" ? core::summary(call->Spec) : "",
                  call->CheckedConfig.Version, loggedAgeMs(call->ConfigAge),
                  call->Writes.sentCount(), call->Writes.unansweredCount(),
                  withheld, answer,
                  absl::ToInt64Milliseconds(Loop.now() - call->ReceivedAt)});
  call->Answer(std::move(answer));
}

bool JobService::mayBeStored(const CallPtr &call, CallResult refusal) {
  if (call->Writes.isOpen())
    return true;
  if (call->Name != "submit" || refusal != CallResult::NotDone)
    return false;
  return View.find(call->JobId) != nullptr ||
         JobsPossiblyStored.contains(call->JobId, Loop.now());
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

// Handles a failed store call: tries to forward the call, else repeats the
// store call while there is time. After that the caller learns whether the call
// may have taken effect.
void JobService::retryStoreCall(const CallPtr &call, const Continuation &next) {
  if (forward(call))
    return;
  const absl::Duration retryLimit = call->FromOtherEntry
                                        ? Policy.MaxForwardedRefusedTime
                                        : Policy.MaxRefusedTime;
  const bool canRetry = call->Writes.isOpen()
                            ? storeTimeLeft(call) > absl::ZeroDuration()
                            : Loop.now() - call->ReceivedAt < retryLimit;
  if (isOutOfTime(call) || !canRetry) {
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
