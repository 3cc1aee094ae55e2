#pragma once

#include "endpoints/channel.h"
#include "scheduler/gangscheduler.h"
#include "utils/boundedqueue.h"

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace oriolebay::entry {

/// The result of starting a run. Started: every agent confirmed. Refused:
/// nothing was started, because Worker refused or did not answer. Unconfirmed:
/// some members may have been started.
struct StartOutcome {
  enum class Kind { Started, Refused, Unconfirmed };
  Kind What = Kind::Started;
  scheduler::RunId Run;
  std::string Worker;
  std::string Detail;
};

/// Starts and stops gangs on their agents. A start has two phases: first every
/// worker reserves the accelerators of its members, and only if all have done
/// so are the members started. Each worker gets one message per phase, and all
/// workers get theirs at the same time. The runs are distributed over several
/// threads; the messages of one run are sent in order.
class Dispatcher {
public:
  using OnOutcome = std::function<void(StartOutcome)>;

  Dispatcher(int threads, size_t capacity, OnOutcome onOutcome);
  ~Dispatcher();

  /// Sets the address at which a worker's agent listens.
  void setAddress(const std::string &workerId, const std::string &address);
  /// Removes the channels of workers for which isKnown returns false.
  void retainChannels(const std::function<bool(const std::string &)> &isKnown);

  /// Queues a start or a stop. Both return false if the queue is full.
  bool start(int64_t epoch, int64_t configVersion, scheduler::StartGang gang);
  bool stop(int64_t epoch, scheduler::StopGang gang);
  void shutDown();

private:
  struct StartCommand {
    int64_t Epoch = 0;
    int64_t ConfigVersion = 0;
    scheduler::StartGang Gang;
  };
  struct StopCommand {
    int64_t Epoch = 0;
    scheduler::StopGang Gang;
  };
  using Command = std::variant<StartCommand, StopCommand>;
  using MembersByWorker = std::map<std::string, std::vector<int>>;

  utils::BoundedQueue<Command> &queueOf(const scheduler::RunId &run);
  std::shared_ptr<endpoints::RequestChannel>
  channelTo(const std::string &workerId);
  /// Sends one message to each worker. Returns the reason for each worker that
  /// refused or did not answer.
  std::map<std::string, std::string>
  sendAll(const MembersByWorker &members,
          const std::function<endpoints::Message(const std::vector<int> &)>
              &messageFor);
  void execute(const StartCommand &command);
  void execute(const StopCommand &command);

  const OnOutcome ReportOutcome;
  absl::Mutex Mu;
  absl::flat_hash_map<std::string, std::shared_ptr<endpoints::RequestChannel>>
      Channels;
  std::vector<std::unique_ptr<utils::BoundedQueue<Command>>> Queues;
  std::vector<std::thread> Threads;
};

} // namespace oriolebay::entry
