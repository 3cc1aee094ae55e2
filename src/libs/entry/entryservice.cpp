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
constexpr size_t InboxFactor = 8;
constexpr int DispatchThreads = 4;
constexpr int EntryCallTimeoutMs = 1000;
constexpr int ReplyAttempts = 10;
// How many given answers are kept for entries that ask again.
constexpr size_t RecentKept = 4096;
// How long one watch call waits in the store. A change answers the call at
// once; the period only bounds how long a graceful stop waits for the
// watcher, at one store call a second per entry when nothing changes.
constexpr long WatchPollMs = 1000;
const absl::Duration TickPeriod = absl::Milliseconds(20);
const absl::Duration StatsPeriod = absl::Milliseconds(100);
constexpr int StatsShare = 200;
// A whole worker of the sites of today: what fragmentation is measured by
// while no gang waits.
constexpr int ReferenceWidth = 8;
// Room for the clock of a back end that runs slow, and for its stopping.
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
  Dispatch = std::make_unique<Dispatcher>(
      DispatchThreads, static_cast<size_t>(Settings.MaxPendingJobs),
      [this](StartOutcome o) { put(std::move(o)); });
  Records = std::make_unique<Recorder>(
      Kv, static_cast<size_t>(Settings.MaxPendingJobs), Settings.RetryAfterMs,
      [this](RecordOutcome o) { put(std::move(o)); }, reportStoreError);
  SchedulerThread = std::thread([this] { schedule(); });
  Replier = std::thread([this] { sendReplies(); });
  Watcher = std::make_unique<operators::ProfileWatcher>(
      Kv, [this](const core::Profile &p) { put(p); }, reportStoreError,
      WatchPollMs);
  Election = std::make_unique<platform::LeaderElection>(
      Kv, Server->address(), Settings.LeaderLeaseS,
      [this](const platform::Leadership &l) { put(l); }, reportStoreError);
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
          {"in_flight", Callers->waiting()},
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
  logEvent(Event::ProcessStopping, {{"in_flight", Callers->waiting()}});
  if (LeadingEpoch != 0 && Election->othersRegistered())
    Election->resign();
  const absl::Time deadline =
      steadyNow() + absl::Milliseconds(Settings.DrainTimeoutMs);
  while (Callers->waiting() > 0 && steadyNow() < deadline)
    absl::SleepFor(TickPeriod);
  const int left = Callers->waiting();
  Callers->shutDown();
  Api->stop();
  if (LeadingEpoch != 0)
    Election->resign();
  Watcher->stop();
  Election->stop();
  Stopping = true;
  Dispatch->shutDown();
  Records->stop();
  Inbox.close();
  SchedulerThread.join();
  Replies.close();
  Replier.join();
  Server->stop();
  logEvent(Event::ProcessStopped, {{"in_flight", left}});
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

void EntryService::put(const Input &input) {
  // What the watcher, the election, the recorder and the dispatcher say must
  // not be dropped; the scheduler empties the queue all the time.
  while (!Inbox.tryPush(input) && !Stopping)
    absl::SleepFor(absl::Milliseconds(1));
}

endpoints::Message EntryService::onMessage(const endpoints::Message &message) {
  endpoints::Ack ack;
  ack.ConfigVersion = ConfigVersion;
  ack.TaskLeaseMs = Settings.TaskLeaseMs;
  if (const auto *answered = std::get_if<endpoints::Answered>(&message)) {
    Callers->deliver(*answered);
    return ack;
  }
  const int64_t epoch = LeadingEpoch;
  // In an outage of the store a leader that has been replaced may not have
  // heard of it. Past this bound it lets its agents' leases run out; the next
  // leader waits as long for workers it has never heard from.
  const bool held = steadyNow() - Election->confirmed() <
                    absl::Milliseconds(Settings.OutageHoldMs);
  if (epoch == 0 || !held || Stopping) {
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

void EntryService::schedule() {
  absl::Time nextStats = absl::InfinitePast();
  while (true) {
    std::optional<Input> input = Inbox.pop(TickPeriod);
    if (!input && Stopping)
      break;
    for (; input; input = Inbox.pop(absl::ZeroDuration())) {
      std::visit([this](const auto &in) { handle(in); }, *input);
      carryOut();
    }
    if (Scheduler) {
      Scheduler->tick(steadyNow());
      carryOut();
    }
    const absl::Time now = steadyNow();
    if (now >= nextStats) {
      publishStats();
      // On a large site a snapshot takes milliseconds; it never takes more
      // than a two-hundredth of this thread's time.
      nextStats = now + std::max(StatsPeriod, StatsShare * (steadyNow() - now));
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
  if (!Scheduler->state().workerKnown(id))
    logEvent(Event::WorkerJoined, {{"worker", announce.Worker}});
  if (announce.Leaving)
    logEvent(Event::WorkerLeaving, {{"worker", id}});
  Dispatch->setAddress(id, announce.Worker.Address);
  Scheduler->onAnnounce(announce, announce.Epoch >= LeadingEpoch, steadyNow());
}

void EntryService::onSubmit(const endpoints::Submit &submit) {
  ReplyTo[submit.GangId] = submit.ReplyTo;
  auto it = Recent.find(submit.GangId);
  if (it != Recent.end()) {
    sendAnswer(submit.GangId, it->second);
    return;
  }
  Scheduler->submit({submit.GangId, submit.Job}, steadyNow());
}

void EntryService::handle(const core::Profile &profile) {
  core::Profile &held = Profiles[profile.Name];
  const bool newer = held.Version < profile.Version;
  logEvent(newer ? Event::ProfileAccepted : Event::ProfileRefusedStale,
           {{"profile", profile.Name}, {"version", profile.Version}});
  if (!newer)
    return;
  held = profile;
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
    lead();
  Callers->follow(Leader);
}

void EntryService::lead() {
  std::vector<scheduler::AdoptedRun> runs;
  bool loaded = false;
  while (!loaded && !Stopping) {
    loaded = utils::handle<bool>(
        [&]() -> utils::Result<bool> {
          BOOST_LEAF_AUTO(found, Records->load());
          runs = found;
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
    Recorded.insert(run.Run);
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
  Recording.clear();
  Recorded.clear();
  ReplyTo.clear();
  Recent.clear();
  RecentOrder.clear();
  logEvent(Event::LeaderLost, {{"epoch", Leader.Epoch}});
}

scheduler::Policy EntryService::policy() const {
  scheduler::Policy p;
  p.HeartbeatTimeout = absl::Milliseconds(Settings.HeartbeatTimeoutMs);
  p.TaskLease = absl::Milliseconds(Settings.TaskLeaseMs) + LeaseSlack;
  p.StarveAfter = absl::Milliseconds(Settings.StarveAfterMs);
  p.RetryAfterMs = Settings.RetryAfterMs;
  p.MaxAttempts = Settings.MaxAttempts;
  p.MaxPending = static_cast<size_t>(Settings.MaxPendingJobs);
  p.Patience = [wait = absl::Milliseconds(Settings.MaxQueueWaitMs)](
                   const core::JobRequest &job) {
    if (job.Class == core::JobClass::Urgent || job.DeadlineUnixMs == 0)
      return wait;
    return std::max(wait, absl::FromUnixMillis(job.DeadlineUnixMs) -
                              utils::wallNow());
  };
  return p;
}

void EntryService::carryOut() {
  if (!Scheduler)
    return;
  for (const scheduler::Action &action : Scheduler->takeActions())
    std::visit([this](const auto &a) { act(a); }, action);
}

void EntryService::recordStart(const RecordStart &request) {
  const scheduler::StartGang &start = request.Start;
  if (Records->start(request))
    return;
  Recording.erase(start.Run);
  Scheduler->onStartAborted(
      start.Run, core::notRun(start.Request.Job.Id, NotRunReason::Overloaded,
                              "too many starts wait for the store",
                              Settings.RetryAfterMs));
  carryOut();
}

void EntryService::act(const scheduler::StartGang &start) {
  Recording[start.Run] = std::nullopt;
  recordStart({LeadingEpoch, start, 0});
}

void EntryService::handle(const RecordOutcome &outcome) {
  const scheduler::StartGang &start = outcome.Request.Start;
  auto it = Recording.find(start.Run);
  if (!Scheduler || outcome.Request.Epoch != LeadingEpoch ||
      it == Recording.end())
    return;
  const std::optional<scheduler::StopGang> stopped = it->second;
  const auto aborted = [&](JobAnswer answer) {
    Recording.erase(start.Run);
    Scheduler->onStartAborted(start.Run, std::move(answer));
  };
  switch (outcome.What) {
  case RecordOutcome::Kind::Refused:
    if (outcome.Answer.Result != Outcome::NotRun)
      ++Duplicates;
    return aborted(outcome.Answer);
  case RecordOutcome::Kind::Taken: {
    ++Duplicates;
    logEvent(Event::JobDuplicate,
             {{"job", start.Request.Job.Id}, {"holder", outcome.Holder}});
    auto recent = Recent.find(outcome.Holder);
    const bool answered =
        recent != Recent.end() && recent->second.Result != Outcome::NotRun;
    if (answered) {
      JobAnswer answer = recent->second;
      answer.JobId = start.Request.Job.Id;
      return aborted(std::move(answer));
    }
    if (Scheduler->knows(outcome.Holder))
      return aborted({start.Request.Job.Id,
                      Outcome::InProgress,
                      NotRunReason::None,
                      "an earlier attempt with this idempotency key has not "
                      "ended; ask again for its answer",
                      Settings.RetryAfterMs,
                      {}});
    // The leader knows every run there is. A holder that it does not know was
    // answered "not run" after its record was written and the reply was lost.
    RecordStart again = outcome.Request;
    again.PriorRevision = outcome.HolderRevision;
    recordStart(again);
    return;
  }
  case RecordOutcome::Kind::Deposed:
    // Its lease lapsed while it was paused and it has not heard so yet. The
    // gang did not start; its caller waits on, and the entry that holds it
    // hands the gang to the new leader as soon as the election tells.
    Recording.erase(start.Run);
    return;
  case RecordOutcome::Kind::Recorded:
    break;
  }
  Recording.erase(start.Run);
  Recorded.insert(start.Run);
  if (stopped) {
    // Stopped before anything of it was sent: every member ends as stopped.
    for (const auto &[worker, members] : stopped->Members)
      for (int m : members)
        Scheduler->onTaskResult({start.Run, m, worker,
                                 endpoints::TaskEnd::Stopped, "did not run",
                                 start.Saved},
                                steadyNow());
    return;
  }
  if (!Dispatch->start(LeadingEpoch, ConfigVersion, start))
    Scheduler->onStartRefused(start.Run, "");
}

void EntryService::act(const scheduler::StopGang &stop) {
  auto it = Recording.find(stop.Run);
  if (it != Recording.end())
    it->second = stop;
  else
    // A stop that finds no room in the queue is sent again by the scheduler.
    Dispatch->stop(LeadingEpoch, stop);
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

void EntryService::act(const scheduler::AnswerCaller &answer) {
  if (answer.Answer.Result == Outcome::Done ||
      answer.Answer.Result == Outcome::Failed) {
    ++Finished;
    logEvent(Event::JobFinished, {{"job", answer.Request.Job.Id},
                                  {"outcome", answer.Answer.Result}});
  }
  // A non-idempotent gang must keep its answer whatever happens; an idempotent
  // one that nobody has asked for yet may run again for whoever does.
  if (!answer.Orphan || !answer.Request.Job.Idempotent)
    remember(answer.Request.GangId, answer.Answer);
  sendAnswer(answer.Request.GangId, answer.Answer);
}

void EntryService::remember(const std::string &gangId,
                            const JobAnswer &answer) {
  if (!Recent.emplace(gangId, answer).second)
    return;
  RecentOrder.push_back(gangId);
  if (RecentOrder.size() > RecentKept) {
    Recent.erase(RecentOrder.front());
    RecentOrder.pop_front();
  }
}

void EntryService::sendAnswer(const std::string &gangId,
                              const JobAnswer &answer) {
  auto it = ReplyTo.find(gangId);
  if (it == ReplyTo.end())
    return;
  const Reply reply{it->second, {gangId, answer}};
  ReplyTo.erase(it);
  if (reply.Address == Server->address())
    Callers->deliver(reply.Answer);
  else
    // A lost answer is asked for again only after a change of leader, so it
    // must not be dropped here; the replier empties the queue all the time.
    while (!Replies.tryPush(reply) && !Stopping)
      absl::SleepFor(absl::Milliseconds(1));
}

void EntryService::act(const scheduler::ForgetRun &forget) {
  // A run that was never recorded may have been refused because another gang
  // holds its idempotency key: that gang's record is not this one's to write.
  if (Recorded.erase(forget.Run) == 0)
    return;
  RecordEnd end{LeadingEpoch, forget.Run, std::nullopt, forget.Request.GangId,
                std::nullopt};
  auto it = Recent.find(forget.Request.GangId);
  if (!forget.Request.Job.Idempotent && it != Recent.end() &&
      it->second.Result != Outcome::NotRun) {
    end.Job = forget.Request.Job;
    end.Answer = it->second;
  }
  Records->end(std::move(end));
}

void EntryService::act(const scheduler::Note &note) {
  switch (note.What) {
  case scheduler::Note::Kind::Stopping:
    ++Stopped;
    logEvent(Event::GangStopping, {{"run", note.Subject}, {"why", note.Why}});
    return;
  case scheduler::Note::Kind::Requeued:
    logEvent(Event::GangRequeued, {{"gang", note.Subject}, {"why", note.Why}});
    return;
  case scheduler::Note::Kind::WorkerKeptOut:
    logEvent(Event::WorkerKeptOut,
             {{"worker", note.Subject}, {"why", note.Why}});
    return;
  }
}

void EntryService::sendReplies() {
  std::map<std::string, std::shared_ptr<endpoints::RequestChannel>> channels;
  while (std::optional<Reply> reply = Replies.pop(absl::InfiniteDuration())) {
    auto &channel = channels[reply->Address];
    if (!channel)
      channel = std::make_shared<endpoints::RequestChannel>(reply->Address);
    bool taken = false;
    for (int i = 0; i < ReplyAttempts && !taken && !Stopping; ++i)
      taken = endpoints::RequestChannel::call(channel, reply->Answer,
                                              EntryCallTimeoutMs)
                  .has_value();
    // An entry that stays silent has died, and its callers with it.
    if (!taken)
      channels.erase(reply->Address);
  }
}

void EntryService::publishStats() {
  if (!Scheduler) {
    WorkerCount = FreeAccelerators = PendingCount = RunningCount = 0;
    return;
  }
  placement::ClusterState &state = Scheduler->state();
  WorkerCount = state.workerCount();
  FreeAccelerators = state.freeAccelerators();
  PendingCount = static_cast<int>(Scheduler->pending());
  RunningCount = static_cast<int>(Scheduler->running());
  ChargedWatts = state.runningWatts();
  const core::Shape reference{
      1, std::max(ReferenceWidth, Scheduler->widestPending()), 0};
  Fragmentation = placement::fragmentation(state.freeWorkers(), reference);
  Dispatch->keepOnly(
      [&](const std::string &id) { return state.workerKnown(id); });
}

} // namespace oriolebay::entry
