#include "agentservice.h"

#include "eventlog/eventlog.h"
#include "utils/steadyclock.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>

namespace oriolebay::agent {

using endpoints::Ack;
using eventlog::Event;
using eventlog::logEvent;
using utils::steadyNow;

namespace {
constexpr int EntryCallTimeoutMs = 1000;
// One in this many heartbeats is sent to all entries, so that a previous leader
// that was paused and answers again is detected within this many heartbeats.
constexpr uint64_t HeartbeatsPerBroadcast = 3;
// Timeout of all calls to the back end other than running a task.
constexpr long BackendControlTimeoutMs = 1000;
// Pause before a stop or a report is sent again, and between checks of a
// condition.
const absl::Duration RetryPeriod = absl::Milliseconds(100);
// After the drain timeout the remaining tasks are checkpointed. This is the
// maximum time that the agent waits for the back end to do that and for the
// results to be reported.
const absl::Duration CheckpointTimeout = absl::Seconds(5);

std::string taskName(const std::string &run, int member) {
  return absl::StrCat(run, "#", member);
}
} // namespace

AgentService::AgentService(settings::AgentSettings settings,
                           int64_t incarnation)
    : Settings(std::move(settings)), Incarnation(incarnation),
      Tasks(Settings.Worker.Accelerators,
            absl::Milliseconds(Settings.ReservationTimeoutMs)),
      TaskQueue(static_cast<size_t>(Settings.Worker.Accelerators)),
      ResultQueue(static_cast<size_t>(Settings.Worker.Accelerators) * 4) {
  for (const std::string &e : Settings.Entries)
    Entries.push_back(std::make_shared<endpoints::RequestChannel>(e));
  Server = std::make_unique<endpoints::ReplyServer>(
      Settings.Listen,
      [this](const endpoints::Message &m) { return onRequest(m); });
  logEvent(Event::ListenerBound,
           {{"role", "entries"}, {"address", Server->address()}});
  Announcer = std::thread([this] { runHeartbeats(); });
  Stopper = std::thread([this] { stopTasks(); });
  Reporter = std::thread([this] { reportResults(); });
  for (int i = 0; i < Settings.Worker.Accelerators; ++i)
    Runners.emplace_back([this] { runTasks(); });
}

AgentService::~AgentService() { stop(absl::ZeroDuration()); }

std::string AgentService::address() const { return Server->address(); }

nlohmann::json AgentService::stats() const {
  absl::MutexLock lock(&Mu);
  return {{"received", Server->messages()},
          {"received_bytes", Server->bytes()},
          {"sent", SentMessages.load()},
          {"running_tasks", Tasks.runningCount()},
          {"epoch", Epoch},
          {"profile_version", ConfigVersion}};
}

void AgentService::sendHeartbeats() {
  core::WorkerInfo info = Settings.Worker;
  info.Address = Server->address();
  // Every heartbeat is a complete Announce message: it also lists the tasks of
  // this worker, and registers the worker with an entry that has just started.
  int64_t epoch = 0;
  {
    absl::MutexLock lock(&Mu);
    epoch = Epoch;
  }
  // An entry that is down must not delay the heartbeats to the others, so no
  // call takes longer than the heartbeat period.
  const auto entries = heartbeatTargets();
  const std::vector<endpoints::Message> messages(
      entries.size(),
      endpoints::Announce{info, Incarnation, Draining, epoch, Tasks.tasks()});
  const absl::Time sent = steadyNow();
  SentMessages += static_cast<int64_t>(entries.size());
  {
    absl::MutexLock lock(&Mu);
    LeaderAnswered = false;
  }
  endpoints::callAll(
      entries, messages, std::min(EntryCallTimeoutMs, Settings.HeartbeatMs),
      [&](size_t i, const endpoints::PeerReply &reply) {
        const Ack *ack = reply.get<Ack>();
        if (ack != nullptr)
          handleAck(*ack, entries[i], sent);
        else
          logEvent(Event::WorkerHeartbeatFailed,
                   {{"worker", info.Id}, {"entry", entries[i]->address()}});
      });
}

void AgentService::handleAck(
    const Ack &ack, const std::shared_ptr<endpoints::RequestChannel> &entry,
    absl::Time sent) {
  absl::MutexLock lock(&Mu);
  if (ack.ConfigVersion > ConfigVersion) {
    ConfigVersion = ack.ConfigVersion;
    logEvent(Event::ProfileInForce, {{"version", ConfigVersion}});
  }
  // An entry that lost its lease while it was paused still considers itself
  // leader and answers with its old epoch. The agent follows the highest epoch,
  // so the previous leader can neither start tasks nor extend leases.
  if (ack.Epoch > 0 && ack.Epoch >= Epoch) {
    Epoch = ack.Epoch;
    Leader = entry;
    LeaderAnswered = true;
    LastLeaderContact = sent;
    TaskLeaseMs = static_cast<int>(ack.TaskLeaseMs);
  }
}

// Returns the leading entry. Returns all entries if the leader did not answer
// the previous heartbeat, while this worker drains, and at regular intervals,
// so that a newer leader is found even while the previous one still answers.
std::vector<std::shared_ptr<endpoints::RequestChannel>>
AgentService::heartbeatTargets() {
  absl::MutexLock lock(&Mu);
  if (!LeaderAnswered || Draining ||
      ++HeartbeatCount % HeartbeatsPerBroadcast == 0)
    return Entries;
  return {Leader};
}

void AgentService::renewTaskLeases(endpoints::BackendClient &backend) {
  int leftMs = 0;
  {
    absl::MutexLock lock(&Mu);
    leftMs = static_cast<int>(absl::ToInt64Milliseconds(
        LastLeaderContact + absl::Milliseconds(TaskLeaseMs.load()) -
        steadyNow()));
  }
  // The leading entry declares a disconnected worker lost after the task lease
  // and restarts its gangs elsewhere. The back end must have stopped its tasks
  // by then, so the lease is renewed only for the rest of that time.
  if (leftMs > 0 && !Tasks.isIdle())
    Tasks.recordWatts(backend.renewLeases(leftMs));
}

void AgentService::stopLeftoverTasks() {
  // Tasks of a previous agent process may still run on the back end. Entries
  // conclude from a new incarnation that no task runs here any more, so this
  // process announces itself only after the back end confirmed that it stopped
  // them.
  endpoints::BackendClient backend(Settings.BackendUrl, Settings.Worker.Id,
                                   BackendControlTimeoutMs);
  while (!backend.stopAll() &&
         !StopRequested.WaitForNotificationWithTimeout(RetryPeriod)) {
  }
}

void AgentService::runHeartbeats() {
  stopLeftoverTasks();
  endpoints::BackendClient backend(Settings.BackendUrl, Settings.Worker.Id,
                                   BackendControlTimeoutMs);
  absl::Time next;
  do {
    next = steadyNow() + absl::Milliseconds(Settings.HeartbeatMs);
    sendHeartbeats();
    renewTaskLeases(backend);
    // A reservation whose Run message never arrives, because the entry crashed
    // or abandoned the gang, would occupy accelerators forever. The reservation
    // timeout frees them.
    for (const std::string &run : Tasks.dropExpired(steadyNow()))
      logEvent(Event::TaskReleased,
               {{"task", run}, {"why", "reservation timed out"}});
  } while (!StopRequested.WaitForNotificationWithTimeout(next - steadyNow()));
}

endpoints::Message AgentService::onRequest(const endpoints::Message &message) {
  const int64_t epoch = std::visit(
      [](const auto &m) -> int64_t {
        if constexpr (requires { m.Epoch; })
          return m.Epoch;
        else
          return 0;
      },
      message);
  {
    // Fencing: an entry that was paused beyond its lease may send requests
    // after another entry took over. Its epoch is lower than the highest epoch
    // received here.
    absl::MutexLock lock(&Mu);
    if (epoch < Epoch)
      return Ack{false, "fenced: another entry leads now", Epoch};
    Epoch = epoch;
    // Refuses a gang that was placed under an older profile version than the
    // one in force here. No member of it runs yet, and its entry places it
    // again.
    if (const auto *r = std::get_if<endpoints::Reserve>(&message)) {
      if (r->ConfigVersion < ConfigVersion)
        return Ack{false, "placed under an older profile version", Epoch,
                   ConfigVersion};
      if (r->ConfigVersion > ConfigVersion)
        logEvent(Event::ProfileInForce, {{"version", r->ConfigVersion}});
      ConfigVersion = r->ConfigVersion;
    }
  }
  std::string refusal;
  if (const auto *r = std::get_if<endpoints::Reserve>(&message)) {
    refusal = Draining ? "worker is leaving" : Tasks.reserve(*r, steadyNow());
    if (refusal.empty())
      logEvent(Event::TaskReserved, {{"task", r->Run}});
  } else if (const auto *run = std::get_if<endpoints::Run>(&message)) {
    std::vector<Task> started;
    refusal = Tasks.start(*run, started);
    if (!refusal.empty())
      logEvent(Event::TaskDuplicateRefused,
               {{"task", run->Run}, {"why", refusal}});
    for (Task &task : started) {
      logEvent(Event::TaskStarted, {{"task", taskName(task.Run, task.Member)}});
      // The queue has a slot per accelerator, and reservations never exceed the
      // accelerators, so it cannot be full.
      TaskQueue.tryPush(std::move(task));
    }
  } else if (const auto *release = std::get_if<endpoints::Release>(&message)) {
    Tasks.release(release->Run);
    logEvent(Event::TaskReleased, {{"task", release->Run}, {"why", "entry"}});
  } else if (const auto *stop = std::get_if<endpoints::Stop>(&message)) {
    logEvent(Event::TaskStopAsked, {{"task", stop->Run}});
    for (int member : Tasks.requestStop(*stop))
      if (!ResultQueue.tryPush({stop->Run, member, Settings.Worker.Id,
                                endpoints::TaskEnd::Stopped, "did not run",
                                ""}))
        refusal = "busy; send again";
  } else {
    refusal = "an agent does not take this message";
  }
  return Ack{refusal.empty(), refusal};
}

void AgentService::runTasks() {
  endpoints::BackendClient backend(Settings.BackendUrl, Settings.Worker.Id,
                                   Settings.BackendTimeoutMs);
  // Blocks until a task arrives or the queue is closed and empty. Polling with
  // a timeout would wake eight threads ten times a second on an idle agent.
  while (std::optional<Task> task = TaskQueue.pop(absl::InfiniteDuration())) {
    const TaskKey key{task->Run, task->Member};
    endpoints::BackendReply reply{endpoints::TaskEnd::Stopped, "did not run",
                                  task->Saved};
    if (Tasks.beginRun(key))
      reply = backend.run({task->JobId, task->Run, task->Member, task->Payload,
                           task->Saved, task->PowerLimitWatts},
                          TaskLeaseMs);
    Tasks.endRun(key);
    logEvent(Event::TaskFinished,
             {{"task", taskName(task->Run, task->Member)},
              {"ok", reply.End == endpoints::TaskEnd::Done},
              {"stopped", reply.End == endpoints::TaskEnd::Stopped}});
    // The reporter empties this queue continuously. Waiting for a free slot
    // instead of dropping the result keeps the result of every finished task.
    while (!ResultQueue.tryPush({task->Run, task->Member, Settings.Worker.Id,
                                 reply.End, reply.Output, reply.Saved}))
      absl::SleepFor(RetryPeriod);
  }
}

void AgentService::stopTasks() {
  endpoints::BackendClient backend(Settings.BackendUrl, Settings.Worker.Id,
                                   BackendControlTimeoutMs);
  // A stop request can arrive at the back end before the task does, or get
  // lost, so it is repeated until the task has ended.
  for (std::vector<TaskKey> keys = Tasks.awaitStops(RetryPeriod); !keys.empty();
       keys = Tasks.awaitStops(RetryPeriod))
    for (const TaskKey &key : keys)
      backend.stop(key.first, key.second);
}

void AgentService::reportResults() {
  while (std::optional<endpoints::TaskResult> result =
             ResultQueue.pop(absl::InfiniteDuration())) {
    const TaskKey key{result->Run, result->Member};
    // Repeats the report until the leading entry acknowledges it, because only
    // then does that entry know the end. While no entry leads, the result waits
    // for the next leader.
    for (bool acknowledged = false; !acknowledged;) {
      std::shared_ptr<endpoints::RequestChannel> leader;
      {
        absl::MutexLock lock(&Mu);
        leader = Leader;
      }
      if (leader != nullptr) {
        const endpoints::PeerReply reply = endpoints::RequestChannel::call(
            leader, *result, EntryCallTimeoutMs);
        ++SentMessages;
        const Ack *ack = reply.get<Ack>();
        acknowledged = ack != nullptr && ack->Ok;
      }
      if (!acknowledged &&
          StopRequested.WaitForNotificationWithTimeout(RetryPeriod))
        break;
    }
    Tasks.remove(key);
  }
}

bool AgentService::waitUntilIdle(absl::Time deadline) {
  while (!Tasks.isIdle() && steadyNow() < deadline)
    absl::SleepFor(RetryPeriod);
  return Tasks.isIdle();
}

void AgentService::stop(absl::Duration drainTimeout) {
  if (Stopping.exchange(true))
    return;
  Draining = true;
  logEvent(Event::ProcessStopping, {{"worker", Settings.Worker.Id}});
  sendHeartbeats();
  if (!waitUntilIdle(steadyNow() + drainTimeout)) {
    Tasks.requestStopAll();
    waitUntilIdle(steadyNow() + CheckpointTimeout);
  }
  StopRequested.Notify();
  // The runners finish the queued tasks, then the reporter sends their results.
  // Closing the queues in this order loses no result of a finished task.
  TaskQueue.close();
  for (std::thread &t : Runners)
    t.join();
  Tasks.close();
  Stopper.join();
  ResultQueue.close();
  Reporter.join();
  Announcer.join();
  Server->stop();
  logEvent(Event::ProcessStopped, {{"worker", Settings.Worker.Id}});
}

} // namespace oriolebay::agent
