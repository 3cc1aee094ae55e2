#include "memorycluster.h"

#include <absl/strings/match.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace oriolebay::cluster {

using nlohmann::json;

namespace {
constexpr const char *ConfigKey = "test/config";
const std::string CordonPrefix = "test/cordons/";
constexpr absl::Duration HopDelay = absl::Milliseconds(1);
constexpr absl::Duration HeartbeatInterval = absl::Milliseconds(1500);
constexpr absl::Duration WaitObservationInterval = absl::Milliseconds(50);
} // namespace

core::JobSpec makeJob(const std::string &id, int count, int64_t accelerators,
                      int64_t ms) {
  core::JobSpec spec;
  spec.Id = id;
  spec.Queue = "q1";
  spec.Payload = "text";
  core::StepSpec step;
  step.Count = count;
  step.PerTask = {1000, 1000, accelerators};
  step.EstimateMs = ms;
  spec.Steps.push_back(step);
  return spec;
}

std::string encodeConfig(const core::SiteConfig &config) {
  json organisations = json::array();
  for (const auto &o : config.Organisations)
    organisations.push_back({o.Name, o.Keys, o.GuaranteedAccelerators});
  json queues = json::array();
  for (const auto &q : config.Queues)
    queues.push_back({q.Name, q.Prefix, q.Priority, q.NeedsAdvice, q.Service,
                      q.Public, q.Attempts});
  return json{{"version", config.Version},
              {"organisations", organisations},
              {"queues", queues}}
      .dump();
}

utils::Result<core::SiteConfig> decodeConfig(const std::string &value) {
  const json j = json::parse(value, nullptr, false);
  if (!j.is_object())
    return utils::fail(utils::ErrorKind::BadMessage,
                       "the configuration is not a JSON object",
                       "write a valid configuration");
  core::SiteConfig config;
  config.Version = j["version"];
  for (const json &o : j["organisations"])
    config.Organisations.push_back({o[0], o[1], o[2]});
  for (const json &q : j["queues"]) {
    core::QueueConfig queue;
    queue.Name = q[0];
    queue.Host = "host";
    queue.Prefix = q[1];
    queue.Priority = q[2];
    queue.NeedsAdvice = q[3];
    queue.Service = q[4];
    queue.Public = q[5];
    queue.Attempts = q[6];
    config.Queues.push_back(queue);
  }
  return config;
}

MemoryCluster::MemoryCluster(Options options)
    : Loop(1 << 20, utils::EventLoop::Time::Manual), Store(Loop, options.Seed),
      Setup(options) {
  Shared.StepOf = [this](const std::string &task) { return stepOf(task); };
  Shared.WorkTimeOf = [this](const std::string &task) {
    return absl::Milliseconds(stepOf(task).EstimateMs);
  };
  for (int n = 0; n < Setup.Workers; ++n) {
    addWorker(n, domainName(n / Setup.WorkersPerDomain),
              "r" + std::to_string(n / Setup.WorkersPerRack));
    startAgent(n);
    Loop.runAfter(absl::Milliseconds(10 * n), [this, n] { sendHeartbeat(n); });
  }
  for (int n = 0; n < Setup.Entries; ++n)
    startEntry(n);
}

MemoryCluster::~MemoryCluster() = default;

void MemoryCluster::configure(const std::vector<std::string> &keys,
                              int64_t guaranteed) {
  std::vector<core::OrganisationConfig> organisations;
  for (const std::string &key : keys)
    organisations.push_back({"org-of-" + key, {key}, guaranteed});
  configureOrganisations(std::move(organisations));
}

void MemoryCluster::configureOrganisations(
    std::vector<core::OrganisationConfig> organisations) {
  configureSite(std::move(organisations), usualQueues());
}

void MemoryCluster::configureSite(
    std::vector<core::OrganisationConfig> organisations,
    std::vector<core::QueueConfig> queues) {
  core::SiteConfig config;
  config.Version = ++ConfigVersion;
  config.Organisations = std::move(organisations);
  config.Queues = std::move(queues);
  Store.put(ConfigKey, encodeConfig(config));
}

core::QueueConfig makeQueue(const std::string &name) {
  core::QueueConfig queue;
  queue.Name = name;
  queue.Prefix = "/" + name + "/";
  queue.Attempts = 4;
  queue.Service = "service";
  return queue;
}

std::vector<core::QueueConfig> MemoryCluster::usualQueues() {
  std::vector<core::QueueConfig> queues;
  for (int priority = 0; priority < 3; ++priority) {
    queues.push_back(makeQueue("q" + std::to_string(priority)));
    queues.back().Priority = priority;
  }
  queues.push_back(makeQueue("advised"));
  queues.back().NeedsAdvice = true;
  return queues;
}

settings::NodeSettings
MemoryCluster::settingsOf(const std::string &name) const {
  settings::NodeSettings s;
  s.Name = name;
  s.FailureDomain = "zone";
  s.SiteFailureDomains = Setup.SiteDomains;
  return s;
}

endpoints::Peers MemoryCluster::peersOf(const std::string &process) {
  const int generation = ++Generation[process];
  endpoints::Peers peers;
  peers.Address = process;
  peers.IsAddress = [](const std::string &address) {
    return absl::StartsWith(address, "entry-") ||
           absl::StartsWith(address, "agent-");
  };
  peers.Serve = [this, process](endpoints::Peers::Handler handler) {
    Handlers[process] = std::move(handler);
  };
  peers.Call = [this, process, generation](
                   const std::string &to, const endpoints::Message &message,
                   int timeoutMs, const endpoints::Peers::Done &done) {
    auto finished = std::make_shared<bool>(false);
    auto finish = [this, finished, process, generation,
                   done](const endpoints::PeerReply &reply) {
      if (!std::exchange(*finished, true) && Generation[process] == generation)
        done(reply);
    };
    // A process that has ended listens no more, and a call to it is withdrawn
    // at its timeout. What a partition holds up has been sent.
    auto sent = std::make_shared<bool>(Handlers.count(to) != 0 ||
                                       !canReach(process, to));
    Loop.runAfter(absl::Milliseconds(timeoutMs), [finish, sent] {
      finish({std::nullopt, !*sent});
    });
    if (!canReach(process, to))
      return;
    const absl::Time arrivesAt = std::max(Loop.now() + HopDelay, HeldUntil[to]);
    Loop.runAfter(arrivesAt - Loop.now(), [this, to, message, process, finish,
                                           finished, sent] {
      auto handler = Handlers.find(to);
      const bool isWithdrawn = *finished && !*sent;
      if (handler == Handlers.end() || !canReach(process, to) || isWithdrawn)
        return;
      *sent = true;
      handler->second(message, [this, process, to,
                                finish](const endpoints::Message &reply) {
        if (canReach(process, to))
          Loop.runAfter(HopDelay + AnswerDelays[to],
                        [finish, reply] { finish({reply}); });
      });
    });
  };
  return peers;
}

void MemoryCluster::startEntry(int n) {
  const std::string name = entryName(n);
  settings::NodeSettings settings = settingsOf(name);
  settings.ProcessorShare = n < Setup.FirstSmallEntry ? 0.5 : 0.05;
  entry::EntryObservers observers;
  observers.Called = [this](const jobs::CallDecision &d) {
    CallDecisions.push_back(d);
  };
  observers.Decided = [this](const jobs::Decision &d) {
    LeaderDecisions.emplace_back(Loop.now(), d);
  };
  Entries[n].Process = std::make_unique<entry::JobEntry>(
      Loop, Store.clientOf(name), peersOf(name), settings,
      entry::OperatorKeys{ConfigKey, decodeConfig, CordonPrefix},
      std::move(observers));
  Entries[n].Process->start();
}

void MemoryCluster::cordon(const std::string &domain,
                           const std::string &value) {
  Store.put(CordonPrefix + domain, value);
  Shared.CordonedSince.emplace(domain, Loop.now());
}

void MemoryCluster::liftCordon(const std::string &domain) {
  Store.erase(CordonPrefix + domain);
  Shared.CordonedSince.erase(domain);
}

void MemoryCluster::killEntry(int n) {
  Handlers.erase(entryName(n));
  ++Generation[entryName(n)];
  Entries[n].Process.reset();
}

void MemoryCluster::startAgent(int n) {
  const std::string name = agentName(n);
  Workers[n].Agent = std::make_unique<agent::WorkerAgent>(
      Loop, Store.clientOf(name), peersOf(name), Workers[n].FakeWorker->calls(),
      settingsOf(name), entry::EntryPrefix,
      [this](const endpoints::OrderResult &result) {
        OrderResults.push_back(result);
      });
  Workers[n].Agent->start();
}

void MemoryCluster::killAgent(int n) {
  Handlers.erase(agentName(n));
  ++Generation[agentName(n)];
  Workers[n].Agent.reset();
}

void MemoryCluster::removeHost(int n) {
  killAgent(n);
  Workers[n].FakeWorker->crash();
  Workers[n].FakeWorker->Down = true;
}

void MemoryCluster::addWorker(int n, const std::string &domain,
                              const std::string &rack) {
  Workers[n].FakeWorker = std::make_unique<MemoryWorker>(
      Loop, Shared, "w" + std::to_string(n), domain, rack,
      core::Resources{32000, 65536, 8},
      Setup.Seed * 100 + static_cast<uint64_t>(n));
}

int MemoryCluster::addHostLike(int worker) {
  const int n = workerCount();
  const endpoints::WorkerState state = Workers.at(worker).FakeWorker->state();
  addWorker(n, state.FailureDomain, state.Rack);
  startAgent(n);
  sendHeartbeat(n);
  return n;
}

int MemoryCluster::addEntry() {
  const auto n = static_cast<int>(Entries.size());
  startEntry(n);
  return n;
}

void MemoryCluster::setPartitioned(const std::string &process,
                                   bool partitioned) {
  if (partitioned)
    Partitioned.insert(process);
  else
    Partitioned.erase(process);
}

void MemoryCluster::sendHeartbeat(int n) {
  WorkerHost &host = Workers[n];
  if (host.Agent != nullptr && !host.FakeWorker->Down &&
      host.FakeWorker->isListening())
    host.Agent->onHeartbeat(host.FakeWorker->heartbeat());
  Loop.runAfter(HeartbeatInterval, [this, n] { sendHeartbeat(n); });
}

int MemoryCluster::leader() const {
  auto it = Store.items().find(entry::JobLeaderKey);
  if (it == Store.items().end())
    return -1;
  for (const auto &[n, entry] : Entries)
    if (it->second.Value == entryName(n))
      return n;
  return -1;
}

int64_t MemoryCluster::leaderEpoch() const {
  auto it = Store.items().find(entry::JobLeaderKey);
  return it == Store.items().end() ? 0 : it->second.CreateRevision;
}

void MemoryCluster::runFor(absl::Duration time) { Loop.advance(time); }

std::optional<MemoryCluster::StoredJob>
MemoryCluster::storedJob(const std::string &job) const {
  auto spec = Store.items().find(jobs::specKey(job));
  if (spec == Store.items().end())
    return std::nullopt;
  auto progress = Store.items().find(jobs::progressKey(job));
  return utils::handle<std::optional<StoredJob>>(
      [&]() -> utils::Result<std::optional<StoredJob>> {
        BOOST_LEAF_AUTO(record, jobs::decodeRecord(spec->second.Value));
        if (record.isTombstone())
          return std::optional<StoredJob>();
        if (progress == Store.items().end())
          return std::make_optional(StoredJob{std::move(record), {}});
        BOOST_LEAF_AUTO(read, jobs::decodeProgress(progress->second.Value));
        return std::make_optional(
            StoredJob{std::move(record), std::move(read)});
      },
      [](const utils::Error &) { return std::optional<StoredJob>(); });
}

std::optional<jobs::JobState>
MemoryCluster::storedState(const std::string &job) const {
  const std::optional<StoredJob> stored = storedJob(job);
  if (!stored)
    return std::nullopt;
  return stored->state();
}

std::optional<jobs::JobState>
MemoryCluster::finalState(const std::string &job) const {
  auto it = SeenEnds.find(job);
  return it != SeenEnds.end() ? it->second.State : storedState(job);
}

std::optional<jobs::JobRecord>
MemoryCluster::storedRecord(const std::string &job) const {
  const std::optional<StoredJob> stored = storedJob(job);
  if (!stored)
    return std::nullopt;
  return stored->Record;
}

std::optional<jobs::JobProgress>
MemoryCluster::storedProgress(const std::string &job) const {
  const std::optional<StoredJob> stored = storedJob(job);
  if (!stored)
    return std::nullopt;
  return stored->Progress;
}

bool MemoryCluster::isFailureAllowed(const std::string &job) const {
  return std::any_of(Shared.WorkersLostByTask.begin(),
                     Shared.WorkersLostByTask.end(), [&](const auto &entry) {
                       core::TaskId id;
                       return core::parseTaskName(entry.first, id) &&
                              id.Job == job && entry.second >= 2;
                     });
}

bool MemoryCluster::runUntilAllEnded(absl::Duration limit) {
  const absl::Time end = Loop.now() + limit;
  auto hasEnded = [this](const std::string &job) {
    const std::optional<jobs::JobState> state = finalState(job);
    if (!state || !jobs::isFinal(*state))
      return false;
    SeenEnds.emplace(job, SeenEnd{*state, Loop.now()});
    return true;
  };
  // Looks at all jobs each time, so that none is removed unseen.
  auto finished = [&] {
    return std::count_if(Accepted.begin(), Accepted.end(), hasEnded) ==
           static_cast<std::ptrdiff_t>(Accepted.size());
  };
  while (!finished() && Loop.now() < end)
    Loop.advance(absl::Milliseconds(50));
  return finished();
}

core::StepSpec MemoryCluster::stepOf(const std::string &task) const {
  core::TaskId id;
  core::parseTaskName(task, id);
  return Specs.at(id.Job).Steps.at(static_cast<size_t>(id.Step));
}

jobs::CallerAccess MemoryCluster::accessFor(const std::string &key) const {
  return {"host", "", key, Loop.now() + CallerPatience};
}

std::shared_ptr<MemoryCluster::CallerCall>
MemoryCluster::makeCall(const std::string &job, const std::string &key) {
  auto call = std::make_shared<CallerCall>();
  call->Job = job;
  call->Key = key;
  call->SentAt = Loop.now();
  return call;
}

std::shared_ptr<MemoryCluster::CallerCall>
MemoryCluster::submit(int n, const std::string &key, core::JobSpec spec) {
  auto call = makeCall(spec.Id, key);
  Specs[spec.Id] = spec;
  if (!isEntryUp(n))
    return call;
  jobs::CallerAccess a = accessFor(key);
  a.Path = "/" + spec.Queue + "/" + spec.Id;
  Entries[n].Process->jobService().submit(
      a, std::move(spec), [this, call](const jobs::CallAnswer &answer) {
        call->Answer = answer;
        if (answer.Result == jobs::CallResult::Ok)
          Accepted.insert(call->Job);
      });
  return call;
}

std::shared_ptr<MemoryCluster::CallerCall>
MemoryCluster::cancel(int n, const std::string &key, const std::string &job) {
  auto call = makeCall(job, key);
  if (!isEntryUp(n))
    return call;
  jobs::CallerAccess a = accessFor(key);
  a.Path = "/" + queueOf(job) + "/" + job;
  Entries[n].Process->jobService().cancel(
      a, job,
      [call](const jobs::CallAnswer &answer) { call->Answer = answer; });
  return call;
}

void MemoryCluster::sendCallsTo(const std::string &queue,
                                const std::string &job) {
  Specs.try_emplace(job, makeJob(job, 1, 0, 0)).first->second.Queue = queue;
}

std::string MemoryCluster::queueOf(const std::string &job) const {
  auto it = Specs.find(job);
  return it == Specs.end() ? makeJob(job, 1, 0, 0).Queue : it->second.Queue;
}

std::shared_ptr<MemoryCluster::CallerCall>
MemoryCluster::state(int n, const std::string &key, const std::string &job) {
  auto call = makeCall(job, key);
  if (!isEntryUp(n))
    return call;
  jobs::CallerAccess a = accessFor(key);
  a.Path = "/" + queueOf(job) + "/" + job;
  Entries[n].Process->jobService().state(
      a, job,
      [call](const jobs::CallAnswer &answer) { call->Answer = answer; });
  return call;
}

std::shared_ptr<MemoryCluster::CallerCall>
MemoryCluster::countQueued(int n, const std::string &key,
                           const std::string &queue) {
  auto call = makeCall("", key);
  if (!isEntryUp(n))
    return call;
  jobs::CallerAccess a = accessFor(key);
  a.Path = "/" + queue + "/";
  Entries[n].Process->jobService().queueLength(
      a, [call](const jobs::CallAnswer &answer) { call->Answer = answer; });
  return call;
}

std::string MemoryCluster::decisionsText(const std::string &job) const {
  std::string text;
  const auto reasonOf = [](const jobs::Decision &d) {
    auto reason = d.Texts.find("reason");
    return reason == d.Texts.end() ? "" : " (" + reason->second + ")";
  };
  for (const auto &[at, d] : LeaderDecisions)
    if (d.Job == job)
      text += absl::FormatTime("%M:%E3S ", at, absl::UTCTimeZone()) +
              std::to_string(static_cast<int>(d.What)) + " " + d.Task +
              " run " + std::to_string(d.Run) + " " + d.Worker + " " + d.Why +
              reasonOf(d) + "\n";
  return text;
}

int MemoryCluster::countDecisions(jobs::Decision::Kind kind) const {
  return static_cast<int>(std::count_if(
      LeaderDecisions.begin(), LeaderDecisions.end(),
      [kind](const auto &entry) { return entry.second.What == kind; }));
}

void MemoryCluster::watchWaits() {
  Loop.runAfter(RecoveryTime, [this] { observeWaits(); });
}

void MemoryCluster::observeWaits() {
  Waits.observe(workerRooms(), idleSteps(), Loop.now());
  Loop.runAfter(WaitObservationInterval, [this] { observeWaits(); });
}

std::vector<WorkerRoom> MemoryCluster::workerRooms() const {
  std::map<std::string, core::Resources> used;
  for (const auto &[task, runs] : Shared.Running)
    for (const auto &[incarnation, run] : runs)
      used[incarnation] += stepOf(task).taskResources();
  std::vector<WorkerRoom> rooms;
  for (const auto &[n, host] : Workers) {
    const MemoryWorker &worker = *host.FakeWorker;
    if (worker.Down || !worker.isListening())
      continue;
    const bool isOpen = host.Agent != nullptr && !worker.state().Draining &&
                        Shared.CordonedSince.count(worker.failureDomain()) == 0;
    rooms.push_back({worker.state(), used[worker.incarnation()], isOpen});
  }
  return rooms;
}

std::vector<IdleStep> MemoryCluster::idleSteps() const {
  std::set<std::string> runningJobs;
  for (const auto &[task, runs] : Shared.Running) {
    core::TaskId id;
    if (!runs.empty() && core::parseTaskName(task, id))
      runningJobs.insert(id.Job);
  }
  std::vector<IdleStep> steps;
  for (const std::string &job : Accepted)
    if (runningJobs.count(job) == 0)
      addIdleSteps(job, steps);
  return steps;
}

void MemoryCluster::addIdleSteps(const std::string &job,
                                 std::vector<IdleStep> &steps) const {
  const std::optional<StoredJob> stored = storedJob(job);
  if (!stored || jobs::isFinal(stored->state()))
    return;
  const std::vector<core::StepSpec> &specs = stored->Record.Spec.Steps;
  auto isDone = [&](int step) {
    const auto recorded = stored->Progress.Tasks.find(0);
    if (recorded == stored->Progress.Tasks.end())
      return false;
    const auto &tasks = recorded->second.at(static_cast<size_t>(step));
    return tasks.isAllDone();
  };
  for (int step = 0; step < static_cast<int>(specs.size()); ++step) {
    const core::StepSpec &spec = specs[static_cast<size_t>(step)];
    if (!isDone(step) &&
        std::all_of(spec.After.begin(), spec.After.end(), isDone))
      steps.push_back(
          {job + ".0." + std::to_string(step), stored->Record.Service, spec});
  }
}

std::vector<std::string> MemoryCluster::violations() {
  std::vector<std::string> out = Shared.Violations;
  out.insert(out.end(), Waits.found().begin(), Waits.found().end());
  for (const std::string &job : Accepted)
    if (!storedState(job) && !mayBeRemoved(job))
      out.push_back("accepted job " + job + " is not in the store");
  return out;
}

bool MemoryCluster::mayBeRemoved(const std::string &job) const {
  const auto retention =
      absl::Milliseconds(settings::SiteBounds().KeepFinishedMs);
  auto it = SeenEnds.find(job);
  return it != SeenEnds.end() && Loop.now() - it->second.At >= retention;
}

} // namespace oriolebay::cluster
