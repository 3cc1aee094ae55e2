#include "faultstorm.h"

#include <absl/strings/match.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <csignal>
#include <utility>

namespace oriolebay::testing_system {

namespace {

constexpr absl::Duration TickInterval = absl::Milliseconds(10);
/// Time after SIGTERM after which a process is killed, as the platform does.
constexpr absl::Duration TermGrace = absl::Seconds(6);
/// Shares of single requests that fail.
constexpr double WriteFaultShare = 0.1;
constexpr double ReadFaultShare = 0.01;
constexpr double OrderFaultShare = 0.08;
constexpr double KeepAliveFaultShare = 0.02;

const std::string StableKey = "key";
const std::string StableQueue = "q";

const ProxyFault RandomFaults[] = {
    ProxyFault::CloseBefore, ProxyFault::CloseAfter, ProxyFault::ResetAfter,
    ProxyFault::CutAnswer, ProxyFault::StaySilent};
/// How the answer to a write is lost.
const ProxyFault LossFaults[] = {ProxyFault::CloseAfter, ProxyFault::ResetAfter,
                                 ProxyFault::StaySilent};

bool isJobWrite(const ProxyRequest &request) {
  return request.Method == "POST" &&
         absl::StrContains(request.Body, "/spec\",\"value\"");
}

} // namespace

const std::string FaultStorm::ChangingKey = "changing-key";
const std::string FaultStorm::ChangingQueue = "r";

FaultStorm::FaultStorm(JobsSite &site, std::vector<StormStep> plan,
                       uint64_t seed)
    : Site(site), Plan(std::move(plan)) {
  for (const auto &entry : Site.Entries)
    addNode(*entry, true, seed);
  for (const auto &agent : Site.Agents)
    addNode(*agent, false, seed);
  updateConfig();
}

FaultStorm::~FaultStorm() {
  Site.setStoreFaults({});
  Site.setWorkerFaults({});
}

void FaultStorm::addNode(JobsProcess &process, bool isEntry, uint64_t seed) {
  std::seed_seq seeds{seed, uint64_t{Nodes.size()}};
  FaultsByProcess[process.name()].Random.seed(seeds);
  Node &node = Nodes.emplace_back();
  node.Process = &process;
  node.IsEntry = isEntry;
  publishPort(Nodes.size() - 1);
}

void FaultStorm::run() {
  Site.setStoreFaults(
      [this](const std::string &process, const ProxyRequest &r) {
        return storeFault(process, r);
      });
  Site.setWorkerFaults(
      [this](const std::string &process, const ProxyRequest &r) {
        return workerFault(process, r);
      });
  const absl::Time begin = absl::Now();
  auto next = Plan.begin();
  while (next != Plan.end() || !isCalm()) {
    for (; next != Plan.end() && begin + next->At <= absl::Now(); ++next)
      apply(*next);
    for (size_t n = 0; n < Nodes.size(); ++n)
      update(n);
    updateConfig();
    absl::SleepFor(TickInterval);
  }
  updateConfig();
  Site.setStoreFaults({});
  Site.setWorkerFaults({});
}

void FaultStorm::apply(const StormStep &step) {
  Node &node = Nodes.at(step.Process);
  const absl::Time until = absl::Now() + step.Lasts;
  switch (step.Event) {
  case StormEvent::StoreRefuses:
  case StormEvent::StoreLosesJob:
  case StormEvent::WorkerRefuses:
    applyFault(step);
    break;
  case StormEvent::KeyRevoked:
    KeyBackAt = until;
    break;
  case StormEvent::QueueDropped:
    QueueBackAt = until;
    break;
  case StormEvent::Terminated:
    node.Process->signal(SIGTERM);
    node.KillAt = std::min(node.KillAt, absl::Now() + TermGrace);
    end(node, step.Lasts);
    break;
  case StormEvent::Killed:
    node.Process->signal(SIGKILL);
    end(node, step.Lasts);
    break;
  case StormEvent::Paused:
    pause(node, step.Lasts);
  }
}

void FaultStorm::applyFault(const StormStep &step) {
  std::lock_guard<std::mutex> lock(Mu);
  for (size_t n = 0; n < Nodes.size(); ++n)
    if (step.IsForAll || n == step.Process)
      setFault(FaultsByProcess.at(Nodes[n].Process->name()), step);
}

void FaultStorm::setFault(Faults &faults, const StormStep &step) {
  const absl::Time until = absl::Now() + step.Lasts;
  if (step.Event == StormEvent::StoreRefuses)
    faults.StoreRefusesUntil = until;
  else if (step.Event == StormEvent::WorkerRefuses)
    faults.WorkerRefusesUntil = until;
  else
    faults.RefusalAfterLoss = step.Lasts;
  faults.IsRefusalForAll = step.IsForAll;
}

void FaultStorm::end(Node &node, absl::Duration restartAfter) {
  ++node.Disturbances;
  node.RestartAt = absl::Now() + restartAfter;
}

void FaultStorm::pause(Node &node, absl::Duration length) {
  if (!node.Process->isRunning())
    return;
  ++node.Disturbances;
  node.IsPaused = true;
  node.Process->signal(SIGSTOP);
  node.ContinueAt = absl::Now() + length;
}

void FaultStorm::update(size_t index) {
  updateProcess(Nodes[index]);
  if (Nodes[index].Port == 0 && Nodes[index].Process->isRunning())
    publishPort(index);
}

void FaultStorm::updateProcess(Node &node) {
  if (node.ContinueAt <= absl::Now()) {
    node.Process->signal(SIGCONT);
    node.ContinueAt = absl::InfiniteFuture();
    node.IsPaused = false;
  }
  if (node.Process->isRunning()) {
    if (node.KillAt <= absl::Now())
      node.Process->signal(SIGKILL);
    return;
  }
  node.Port = 0;
  if (node.RestartAt == absl::InfiniteFuture()) {
    UnexpectedEnds.push_back(node.Process->name());
    node.RestartAt = absl::Now();
  }
  if (node.RestartAt > absl::Now())
    return;
  node.RestartAt = node.KillAt = absl::InfiniteFuture();
  node.Process->restart();
}

void FaultStorm::publishPort(size_t index) {
  Node &node = Nodes[index];
  const int port = node.Process->port(node.IsEntry ? "callers" : "control");
  if (port == 0)
    return;
  node.Port = port;
  if (!node.IsEntry)
    Site.connectWorker(index - Site.Entries.size());
}

void FaultStorm::updateConfig() {
  SiteConfig config{{StableKey}, {StableQueue}};
  if (KeyBackAt <= absl::Now())
    config.Keys.push_back(ChangingKey);
  if (QueueBackAt <= absl::Now())
    config.Queues.push_back(ChangingQueue);
  if (config.Keys == Config.Keys && config.Queues == Config.Queues)
    return;
  Config = config;
  Site.setConfig(config);
}

bool FaultStorm::isCalm() const {
  const absl::Time now = absl::Now();
  return KeyBackAt <= now && QueueBackAt <= now &&
         std::all_of(Nodes.begin(), Nodes.end(), [](const Node &node) {
           return node.Port != 0 && !node.IsPaused &&
                  node.RestartAt == absl::InfiniteFuture();
         });
}

ProxyFault FaultStorm::randomFault(Faults &faults, double share) {
  const double x = std::uniform_real_distribution<>(0, 1)(faults.Random);
  const uint64_t kind = faults.Random();
  return x < share ? RandomFaults[kind % std::size(RandomFaults)]
                   : ProxyFault::None;
}

ProxyFault FaultStorm::storeFault(const std::string &process,
                                  const ProxyRequest &request) {
  std::lock_guard<std::mutex> lock(Mu);
  Faults &faults = FaultsByProcess.at(process);
  if (faults.StoreRefusesUntil > absl::Now())
    return ProxyFault::Refuse;
  if (faults.RefusalAfterLoss > absl::ZeroDuration() && isJobWrite(request))
    return loseJob(faults);
  const bool isWrite = request.Method == "POST";
  return randomFault(faults, isWrite ? WriteFaultShare : ReadFaultShare);
}

ProxyFault FaultStorm::loseJob(Faults &faults) {
  const absl::Time until =
      absl::Now() + std::exchange(faults.RefusalAfterLoss, {});
  faults.StoreRefusesUntil = until;
  if (faults.IsRefusalForAll)
    for (auto &[process, other] : FaultsByProcess)
      other.StoreRefusesUntil = until;
  return LossFaults[faults.Random() % std::size(LossFaults)];
}

ProxyFault FaultStorm::workerFault(const std::string &process,
                                   const ProxyRequest &request) {
  std::lock_guard<std::mutex> lock(Mu);
  Faults &faults = FaultsByProcess.at(process);
  if (faults.WorkerRefusesUntil > absl::Now())
    return ProxyFault::Refuse;
  const bool isKeepAlive = absl::EndsWith(request.Target, "/hold");
  return randomFault(faults,
                     isKeepAlive ? KeepAliveFaultShare : OrderFaultShare);
}

} // namespace oriolebay::testing_system
