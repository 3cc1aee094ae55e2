#include "entryservice.h"

#include "core/codec.h"
#include "eventlog/eventlog.h"
#include "utils/steadyclock.h"
#include "utils/walltime.h"

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
// Maximum time in milliseconds for which the store holds a watch call. A change
// answers the call at once. The period only limits how long a graceful stop
// waits for the watcher, and costs one store call per second and entry when
// nothing changes.
constexpr long WatchPollMs = 1000;
const absl::Duration StatsPeriod = absl::Milliseconds(100);
// The time between two updates of the counters is at least this many times the
// duration of one.
constexpr int StatsTimeRatio = 200;
// Accelerators of a whole worker at current sites. Fragmentation is computed
// for members of this width, or of the widest waiting gang if that is wider.
constexpr int ReferenceWidth = 8;

callers::CallerApi::CancelResult cancelResultOf(Submitter::Delivery delivery) {
  using callers::CallerApi;
  switch (delivery) {
  case Submitter::Delivery::Accepted:
    return CallerApi::CancelResult::Accepted;
  case Submitter::Delivery::NotAccepted:
    return CallerApi::CancelResult::NotAccepted;
  case Submitter::Delivery::Unknown:
    break;
  }
  return CallerApi::CancelResult::Unknown;
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
        return cancelResultOf(Callers->cancel({organisation, jobId}));
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

void EntryService::performActions() {
  if (!Scheduler)
    return;
  for (const scheduler::Action &action : Scheduler->takeActions())
    std::visit([this](const auto &a) { perform(a); }, action);
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

void EntryService::reportStoreError(const utils::Error &e) {
  logEvent(Event::StoreCallFailed, {{"error", e.text()}});
}

} // namespace oriolebay::entry
