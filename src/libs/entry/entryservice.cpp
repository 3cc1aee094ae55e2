#include "entryservice.h"

#include "core/codec.h"
#include "eventlog/eventlog.h"
#include "utils/steadyclock.h"
#include "utils/walltime.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace oriolebay::entry {

using core::JobAnswer;
using core::NotRunReason;
using core::Outcome;
using eventlog::Event;
using eventlog::logEvent;
using utils::steadyNow;

namespace {
// Capacity of the inbox and of the queue of replies, as a multiple of the
// maximum number of pending jobs.
constexpr size_t InboxFactor = 8;
constexpr int DispatchThreads = 4;
constexpr int EntryCallTimeoutMs = 1000;
constexpr int ReplyAttempts = 10;
// Number of answers that are kept for entries that submit a gang again.
constexpr size_t MaxRecentAnswers = 4096;
// Maximum time in milliseconds for which the store holds a watch call. A change
// answers the call at once. The period only limits how long a graceful stop
// waits for the watcher, and costs one store call per second and entry when
// nothing changes.
constexpr long WatchPollMs = 1000;
// Maximum time between two ticks of the scheduler. Also the polling period of a
// graceful stop and the delay before the recorded runs are read again.
const absl::Duration TickPeriod = absl::Milliseconds(20);
const absl::Duration StatsPeriod = absl::Milliseconds(100);
// The time between two updates of the counters is at least this many times the
// duration of one.
constexpr int StatsTimeRatio = 200;
// Accelerators of a whole worker at current sites. Fragmentation is computed
// for members of this width, or of the widest waiting gang if that is wider.
constexpr int ReferenceWidth = 8;
// Allowance for a back end whose clock is slow, and for the time that it needs
// to stop a task.
const absl::Duration LeaseSlack = absl::Seconds(1);

void reportStoreError(const utils::Error &e) {
  logEvent(Event::StoreCallFailed, {{"error", e.text()}});
}
} // namespace

EntryService::EntryService(settings::EntrySettings settings,
                           platform::KvClient &kv, placement::Placer placer)
    : Settings(std::move(settings)), Kv(kv), Place(std::move(placer)),
      Inbox(static_cast<size_t>(Settings.MaxPendingJobs) * InboxFactor),
      Replies(static_cast<size_t>(Settings.MaxPendingJobs) * InboxFactor) {
  Server = std::make_unique<endpoints::ReplyServer>(
      Settings.AgentListen,
      [this](const endpoints::Message &m) { return onMessage(m); });
  logEvent(Event::ListenerBound,
           {{"role", "agents"}, {"address", Server->address()}});
  Callers = std::make_unique<Submitter>(
      Settings.Name, absl::ToUnixMillis(utils::wallNow()), Server->address(),
      absl::Milliseconds(Settings.MaxQueueWaitMs), Settings.RetryAfterMs,
      [this](endpoints::Message m) {
        return LeadingEpoch != 0 && Inbox.tryPush(std::move(m));
      });
  GangDispatcher = std::make_unique<Dispatcher>(
      DispatchThreads, static_cast<size_t>(Settings.MaxPendingJobs),
      [this](StartOutcome o) { enqueue(std::move(o)); });
  RunRecorder = std::make_unique<Recorder>(
      Kv, static_cast<size_t>(Settings.MaxPendingJobs), Settings.RetryAfterMs,
      [this](RecordOutcome o) { enqueue(std::move(o)); }, reportStoreError);
  SchedulerThread = std::thread([this] { runScheduler(); });
  ReplyThread = std::thread([this] { sendReplies(); });
  Watcher = std::make_unique<operators::ProfileWatcher>(
      Kv, [this](const core::Profile &p) { enqueue(p); }, reportStoreError,
      WatchPollMs);
  Election = std::make_unique<platform::LeaderElection>(
      Kv, Server->address(), Settings.LeaderLeaseS,
      [this](const platform::Leadership &l) { enqueue(l); }, reportStoreError);
  Api = std::make_unique<callers::CallerApi>(
      Settings.HttpHost, Settings.HttpPort, Settings.MaxCallers,
      [this](const core::JobRequest &j) { return submit(j); },
      [this](const std::string &organisation, const std::string &jobId) {
        return Callers->cancel({organisation, jobId});
      },
      [this] { return stats(); });
  logEvent(Event::ListenerBound, {{"role", "callers"}, {"port", Api->port()}});
}

EntryService::~EntryService() { stop(); }

std::string EntryService::agentAddress() const { return Server->address(); }

int EntryService::httpPort() const { return Api->port(); }

nlohmann::json EntryService::stats() const {
  return {{"received", Received.load()},
          {"placed", Placed.load()},
          {"refused", Refused.load()},
          {"finished", Finished.load()},
          {"duplicates", Duplicates.load()},
          {"gangs_stopped", Stopped.load()},
          {"in_flight", Callers->waitingCount()},
          {"pending", PendingCount.load()},
          {"running", RunningCount.load()},
          {"workers", WorkerCount.load()},
          {"free_accelerators", FreeAccelerators.load()},
          {"charged_watts", ChargedWatts.load()},
          {"fragmentation", Fragmentation.load()},
          {"profile_version", ConfigVersion.load()},
          {"leading", LeadingEpoch.load() != 0 ? 1 : 0},
          {"epoch", LeadingEpoch.load()},
          {"agent_messages", Server->messages()},
          {"agent_bytes", Server->bytes()},
          {"store_calls", Kv.calls()}};
}

void EntryService::stop() {
  if (Draining.exchange(true))
    return;
  logEvent(Event::ProcessStopping, {{"in_flight", Callers->waitingCount()}});
  if (LeadingEpoch != 0 && Election->othersRegistered())
    Election->resign();
  const absl::Time deadline =
      steadyNow() + absl::Milliseconds(Settings.DrainTimeoutMs);
  while (Callers->waitingCount() > 0 && steadyNow() < deadline)
    absl::SleepFor(TickPeriod);
  const int unanswered = Callers->waitingCount();
  Callers->shutDown();
  Api->stop();
  if (LeadingEpoch != 0)
    Election->resign();
  Watcher->stop();
  Election->stop();
  Stopping = true;
  GangDispatcher->shutDown();
  RunRecorder->stop();
  Inbox.close();
  SchedulerThread.join();
  Replies.close();
  ReplyThread.join();
  Server->stop();
  logEvent(Event::ProcessStopped, {{"in_flight", unanswered}});
}

JobAnswer EntryService::submit(const core::JobRequest &job) {
  ++Received;
  logEvent(Event::JobReceived, {{"job", job.Id},
                                {"organisation", job.Organisation},
                                {"shape", job.GangShape},
                                {"class", job.Class}});
  JobAnswer answer =
      core::notRun(job.Id, NotRunReason::ShuttingDown,
                   "this entry is stopping; another entry will serve",
                   Settings.RetryAfterMs);
  if (!Draining)
    answer = Callers->submit(job);
  if (answer.Result == Outcome::NotRun) {
    ++Refused;
    logEvent(Event::JobRefused, {{"job", job.Id},
                                 {"reason", answer.Reason},
                                 {"detail", answer.Detail}});
  }
  return answer;
}

void EntryService::enqueue(const Input &input) {
  // Inputs from the watcher, the election, the recorder and the dispatcher must
  // not be dropped. The scheduler's thread empties the queue continuously.
  while (!Inbox.tryPush(input) && !Stopping)
    absl::SleepFor(absl::Milliseconds(1));
}

endpoints::Message EntryService::onMessage(const endpoints::Message &message) {
  endpoints::Ack ack;
  ack.ConfigVersion = ConfigVersion;
  ack.TaskLeaseMs = Settings.TaskLeaseMs;
  if (const auto *answered = std::get_if<endpoints::Answered>(&message)) {
    Callers->handleAnswer(*answered);
    return ack;
  }
  const int64_t epoch = LeadingEpoch;
  // During an outage of the store this leader may have been replaced without
  // knowing it. If the store has not confirmed it for the configured time, it
  // refuses messages, and the leases of its agents expire. The next leader
  // waits for that time and a lease for workers that have not reported to it.
  const bool leadConfirmed = steadyNow() - Election->confirmedAt() <
                             absl::Milliseconds(Settings.OutageHoldMs);
  if (epoch == 0 || !leadConfirmed || Stopping) {
    ack.Ok = false;
    ack.Detail = "this entry does not lead";
    return ack;
  }
  ack.Epoch = epoch;
  ack.Ok = Inbox.tryPush(message);
  if (!ack.Ok)
    ack.Detail = "entry busy; send again";
  return ack;
}

void EntryService::runScheduler() {
  absl::Time nextStats = absl::InfinitePast();
  while (true) {
    std::optional<Input> input = Inbox.pop(TickPeriod);
    if (!input && Stopping)
      break;
    for (; input; input = Inbox.pop(absl::ZeroDuration())) {
      std::visit([this](const auto &in) { handle(in); }, *input);
      performActions();
    }
    if (Scheduler) {
      Scheduler->tick(steadyNow());
      performActions();
    }
    const absl::Time now = steadyNow();
    if (now >= nextStats) {
      publishStats();
      // On a large site an update takes milliseconds. It is limited to a
      // two-hundredth of this thread's time.
      nextStats =
          now + std::max(StatsPeriod, StatsTimeRatio * (steadyNow() - now));
    }
  }
}

void EntryService::handle(const endpoints::Message &message) {
  if (!Scheduler)
    return;
  if (const auto *a = std::get_if<endpoints::Announce>(&message))
    onAnnounce(*a);
  else if (const auto *r = std::get_if<endpoints::TaskResult>(&message))
    Scheduler->onTaskResult(*r, steadyNow());
  else if (const auto *s = std::get_if<endpoints::Submit>(&message))
    onSubmit(*s);
  else if (const auto *c = std::get_if<endpoints::Cancel>(&message))
    Scheduler->cancel(c->Organisation, c->JobId, steadyNow());
}

void EntryService::onAnnounce(const endpoints::Announce &announce) {
  const std::string &id = announce.Worker.Id;
  if (!Scheduler->state().isWorkerKnown(id))
    logEvent(Event::WorkerJoined, {{"worker", announce.Worker}});
  if (announce.Leaving)
    logEvent(Event::WorkerLeaving, {{"worker", id}});
  GangDispatcher->setAddress(id, announce.Worker.Address);
  Scheduler->onAnnounce(announce, announce.Epoch >= LeadingEpoch, steadyNow());
}

void EntryService::onSubmit(const endpoints::Submit &submit) {
  ReplyAddresses[submit.GangId] = submit.ReplyTo;
  auto it = RecentAnswers.find(submit.GangId);
  if (it != RecentAnswers.end()) {
    sendAnswer(submit.GangId, it->second);
    return;
  }
  Scheduler->submit({submit.GangId, submit.Job}, steadyNow());
}

void EntryService::handle(const core::Profile &profile) {
  core::Profile &current = Profiles[profile.Name];
  const bool isNewer = current.Version < profile.Version;
  logEvent(isNewer ? Event::ProfileAccepted : Event::ProfileRefusedStale,
           {{"profile", profile.Name}, {"version", profile.Version}});
  if (!isNewer)
    return;
  current = profile;
  ConfigVersion = std::max(ConfigVersion.load(), profile.Version);
  if (Scheduler)
    Scheduler->onProfile(profile);
}

void EntryService::handle(const platform::Leadership &leadership) {
  if (Leader.Mine)
    stepDown();
  Leader = leadership;
  logEvent(Event::LeaderFollowed,
           {{"epoch", Leader.Epoch}, {"leader", Leader.Address}});
  if (Leader.Mine)
    startLeading();
  Callers->onLeadership(Leader);
}

void EntryService::startLeading() {
  std::vector<scheduler::AdoptedRun> runs;
  bool loaded = false;
  while (!loaded && !Stopping) {
    loaded = utils::handle<bool>(
        [&]() -> utils::Result<bool> {
          BOOST_LEAF_AUTO(unendedRuns, RunRecorder->loadUnendedRuns());
          runs = unendedRuns;
          return true;
        },
        [](const utils::Error &e) {
          reportStoreError(e);
          absl::SleepFor(TickPeriod);
          return false;
        });
  }
  const absl::Time now = steadyNow();
  Scheduler.emplace(placement::ClusterState(Place, Settings.RetryAfterMs),
                    policy(), absl::StrCat(Leader.Epoch), now);
  for (const auto &[name, profile] : Profiles)
    Scheduler->onProfile(profile);
  for (const scheduler::AdoptedRun &run : runs) {
    logEvent(Event::GangAdopted,
             {{"run", run.Run}, {"job", run.Request.Job.Id}});
    RecordedRuns.insert(run.Run);
    Scheduler->adopt(
        run, now,
        absl::Milliseconds(Settings.OutageHoldMs + Settings.TaskLeaseMs) +
            LeaseSlack);
  }
  LeadingEpoch = Leader.Epoch;
  logEvent(Event::LeaderElected,
           {{"epoch", Leader.Epoch}, {"adopted", runs.size()}});
}

void EntryService::stepDown() {
  LeadingEpoch = 0;
  Scheduler.reset();
  RunsBeingRecorded.clear();
  RecordedRuns.clear();
  ReplyAddresses.clear();
  RecentAnswers.clear();
  RecentAnswerOrder.clear();
  logEvent(Event::LeaderLost, {{"epoch", Leader.Epoch}});
}

scheduler::Policy EntryService::policy() const {
  scheduler::Policy p;
  p.HeartbeatTimeout = absl::Milliseconds(Settings.HeartbeatTimeoutMs);
  p.TaskLease = absl::Milliseconds(Settings.TaskLeaseMs) + LeaseSlack;
  p.DrainWorkersAfter = absl::Milliseconds(Settings.StarveAfterMs);
  p.RetryAfterMs = Settings.RetryAfterMs;
  p.MaxAttempts = Settings.MaxAttempts;
  p.MaxPending = static_cast<size_t>(Settings.MaxPendingJobs);
  p.WaitLimit = [wait = absl::Milliseconds(Settings.MaxQueueWaitMs)](
                    const core::JobRequest &job) {
    if (job.Class == core::JobClass::Urgent || job.DeadlineUnixMs == 0)
      return wait;
    return std::max(wait, absl::FromUnixMillis(job.DeadlineUnixMs) -
                              utils::wallNow());
  };
  return p;
}

void EntryService::performActions() {
  if (!Scheduler)
    return;
  for (const scheduler::Action &action : Scheduler->takeActions())
    std::visit([this](const auto &a) { perform(a); }, action);
}

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
  RecordedRuns.insert(start.Run);
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

void EntryService::perform(const scheduler::AnswerCaller &answer) {
  if (answer.Answer.Result == Outcome::Done ||
      answer.Answer.Result == Outcome::Failed) {
    ++Finished;
    logEvent(Event::JobFinished, {{"job", answer.Request.Job.Id},
                                  {"outcome", answer.Answer.Result}});
  }
  // The answer of a non-idempotent gang must always be cached. An adopted
  // idempotent gang that has not been submitted to this leader can run again if
  // it is submitted later.
  if (!answer.Orphan || !answer.Request.Job.Idempotent)
    cacheAnswer(answer.Request.GangId, answer.Answer);
  sendAnswer(answer.Request.GangId, answer.Answer);
}

void EntryService::cacheAnswer(const std::string &gangId,
                               const JobAnswer &answer) {
  if (!RecentAnswers.emplace(gangId, answer).second)
    return;
  RecentAnswerOrder.push_back(gangId);
  if (RecentAnswerOrder.size() > MaxRecentAnswers) {
    RecentAnswers.erase(RecentAnswerOrder.front());
    RecentAnswerOrder.pop_front();
  }
}

// Sends the answer to the entry that submitted the gang last. Does nothing if
// that entry is unknown or has been sent an answer already.
void EntryService::sendAnswer(const std::string &gangId,
                              const JobAnswer &answer) {
  auto it = ReplyAddresses.find(gangId);
  if (it == ReplyAddresses.end())
    return;
  const Reply reply{it->second, {gangId, answer}};
  ReplyAddresses.erase(it);
  if (reply.Address == Server->address())
    Callers->handleAnswer(reply.Answer);
  else
    // The answer must not be dropped here, because a lost answer is requested
    // again only after a change of leader. The reply thread empties the queue
    // continuously.
    while (!Replies.tryPush(reply) && !Stopping)
      absl::SleepFor(absl::Milliseconds(1));
}

void EntryService::perform(const scheduler::DeleteRunRecord &deletion) {
  // A run without a record may have been refused because another gang holds its
  // idempotency key. The record of that gang must not be overwritten.
  if (RecordedRuns.erase(deletion.Run) == 0)
    return;
  DeleteRecord end{LeadingEpoch, deletion.Run, std::nullopt,
                   deletion.Request.GangId, std::nullopt};
  auto it = RecentAnswers.find(deletion.Request.GangId);
  if (!deletion.Request.Job.Idempotent && it != RecentAnswers.end() &&
      it->second.Result != Outcome::NotRun) {
    end.Job = deletion.Request.Job;
    end.Answer = it->second;
  }
  RunRecorder->recordEnd(std::move(end));
}

void EntryService::perform(const scheduler::LogReason &logReason) {
  switch (logReason.What) {
  case scheduler::LogReason::Kind::Stopping:
    ++Stopped;
    logEvent(Event::GangStopping,
             {{"run", logReason.Subject}, {"why", logReason.Why}});
    return;
  case scheduler::LogReason::Kind::Requeued:
    logEvent(Event::GangRequeued,
             {{"gang", logReason.Subject}, {"why", logReason.Why}});
    return;
  case scheduler::LogReason::Kind::WorkerQuarantined:
    logEvent(Event::WorkerKeptOut,
             {{"worker", logReason.Subject}, {"why", logReason.Why}});
    return;
  }
}

void EntryService::sendReplies() {
  std::map<std::string, std::shared_ptr<endpoints::RequestChannel>> channels;
  while (std::optional<Reply> reply = Replies.pop(absl::InfiniteDuration())) {
    auto &channel = channels[reply->Address];
    if (!channel)
      channel = std::make_shared<endpoints::RequestChannel>(reply->Address);
    bool acknowledged = false;
    for (int i = 0; i < ReplyAttempts && !acknowledged && !Stopping; ++i)
      acknowledged = endpoints::RequestChannel::call(channel, reply->Answer,
                                                     EntryCallTimeoutMs)
                         .has_value();
    // An entry that does not answer after all attempts has died, and its
    // callers' connections with it.
    if (!acknowledged)
      channels.erase(reply->Address);
  }
}

// Updates the counters for stats(), and removes the dispatcher's channels to
// workers that are no longer known.
void EntryService::publishStats() {
  if (!Scheduler) {
    WorkerCount = FreeAccelerators = PendingCount = RunningCount = 0;
    return;
  }
  placement::ClusterState &state = Scheduler->state();
  WorkerCount = state.workerCount();
  FreeAccelerators = state.freeAccelerators();
  PendingCount = static_cast<int>(Scheduler->pendingCount());
  RunningCount = static_cast<int>(Scheduler->runningCount());
  ChargedWatts = state.runningWatts();
  const core::Shape reference{
      1, std::max(ReferenceWidth, Scheduler->widestPending()), 0};
  Fragmentation = placement::fragmentation(state.freeWorkers(), reference);
  GangDispatcher->retainChannels(
      [&](const std::string &id) { return state.isWorkerKnown(id); });
}

} // namespace oriolebay::entry
