#include "dispatcher.h"

#include <functional>

namespace oriolebay::entry {

using endpoints::Message;

namespace {
constexpr int AgentCallTimeoutMs = 1000;
} // namespace

Dispatcher::Dispatcher(int threads, size_t capacity, OnOutcome onOutcome)
    : ReportOutcome(std::move(onOutcome)) {
  for (int i = 0; i < threads; ++i)
    Queues.push_back(std::make_unique<utils::BoundedQueue<Command>>(capacity));
  for (auto &queue : Queues)
    Threads.emplace_back([this, &queue] {
      while (std::optional<Command> command =
                 queue->pop(absl::InfiniteDuration()))
        std::visit([this](const auto &startOrStop) { execute(startOrStop); },
                   *command);
    });
}

Dispatcher::~Dispatcher() { shutDown(); }

void Dispatcher::shutDown() {
  for (auto &queue : Queues)
    queue->close();
  for (std::thread &t : Threads)
    if (t.joinable())
      t.join();
}

utils::BoundedQueue<Dispatcher::Command> &
Dispatcher::queueOf(const scheduler::RunId &run) {
  return *Queues[std::hash<std::string>()(run) % Queues.size()];
}

bool Dispatcher::start(int64_t epoch, int64_t configVersion,
                       scheduler::StartGang gang) {
  auto &queue = queueOf(gang.Run);
  return queue.tryPush(StartCommand{epoch, configVersion, std::move(gang)});
}

bool Dispatcher::stop(int64_t epoch, scheduler::StopGang gang) {
  auto &queue = queueOf(gang.Run);
  return queue.tryPush(StopCommand{epoch, std::move(gang)});
}

void Dispatcher::setAddress(const std::string &workerId,
                            const std::string &address) {
  absl::MutexLock lock(&Mu);
  auto &channel = Channels[workerId];
  // A restarted agent may listen at another address, and the channel to the old
  // one would never answer.
  if (channel == nullptr || channel->address() != address)
    channel = std::make_shared<endpoints::RequestChannel>(address);
}

void Dispatcher::retainChannels(
    const std::function<bool(const std::string &)> &isKnown) {
  absl::MutexLock lock(&Mu);
  absl::erase_if(Channels, [&](const auto &c) { return !isKnown(c.first); });
}

std::shared_ptr<endpoints::RequestChannel>
Dispatcher::channelTo(const std::string &workerId) {
  absl::MutexLock lock(&Mu);
  auto it = Channels.find(workerId);
  return it == Channels.end() ? nullptr : it->second;
}

std::map<std::string, std::string> Dispatcher::sendAll(
    const MembersByWorker &members,
    const std::function<Message(const std::vector<int> &)> &messageFor) {
  std::map<std::string, std::string> failed;
  std::vector<std::string> workers;
  std::vector<std::shared_ptr<endpoints::RequestChannel>> channels;
  std::vector<Message> messages;
  for (const auto &[worker, memberNumbers] : members) {
    auto channel = channelTo(worker);
    if (channel == nullptr) {
      failed[worker] = "its agent has not announced itself";
      continue;
    }
    workers.push_back(worker);
    channels.push_back(std::move(channel));
    messages.push_back(messageFor(memberNumbers));
  }
  endpoints::callAll(channels, messages, AgentCallTimeoutMs,
                     [&](size_t i, const endpoints::PeerReply &reply) {
                       const auto *ack = reply.get<endpoints::Ack>();
                       if (ack == nullptr)
                         failed[workers[i]] = "its agent did not answer";
                       else if (!ack->Ok)
                         failed[workers[i]] = ack->Detail;
                     });
  return failed;
}

void Dispatcher::execute(const StartCommand &command) {
  const scheduler::StartGang &gang = command.Gang;
  const core::JobRequest &request = gang.Request.Job;
  MembersByWorker members;
  for (size_t m = 0; m < gang.Workers.size(); ++m)
    members[gang.Workers[m]].push_back(static_cast<int>(m));
  // A gang runs as a whole or not at all, so nothing is started until every
  // worker has reserved its accelerators.
  auto failed = sendAll(members, [&](const std::vector<int> &memberNumbers) {
    return endpoints::Reserve{command.Epoch, gang.Run, memberNumbers,
                              request.GangShape.AcceleratorsPerMember,
                              command.ConfigVersion};
  });
  if (!failed.empty()) {
    sendAll(members, [&](const std::vector<int> &) {
      return endpoints::Release{command.Epoch, gang.Run};
    });
    ReportOutcome({StartOutcome::Kind::Refused, gang.Run, failed.begin()->first,
                   failed.begin()->second});
    return;
  }
  failed = sendAll(members, [&](const std::vector<int> &memberNumbers) {
    return endpoints::Run{command.Epoch,
                          gang.Run,
                          request.Id,
                          memberNumbers,
                          request.Payload,
                          gang.Saved,
                          request.GangShape.PowerWattsPerMember};
  });
  // A start without an answer may have taken effect, so from here on the gang
  // must not be reported as not started.
  if (failed.empty())
    ReportOutcome({StartOutcome::Kind::Started, gang.Run, "", ""});
  else
    ReportOutcome({StartOutcome::Kind::Unconfirmed, gang.Run,
                   failed.begin()->first, failed.begin()->second});
}

void Dispatcher::execute(const StopCommand &command) {
  // The scheduler sends a failed stop again until the end of the run is known.
  sendAll(command.Gang.Members, [&](const std::vector<int> &memberNumbers) {
    return endpoints::Stop{command.Epoch, command.Gang.Run, memberNumbers};
  });
}

} // namespace oriolebay::entry
