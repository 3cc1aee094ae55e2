#pragma once

#include "callers/callerapi.h"
#include "dispatcher.h"
#include "endpoints/channel.h"
#include "operators/profilestore.h"
#include "platform/kvclient.h"
#include "platform/leaderelection.h"
#include "recorder.h"
#include "scheduler/gangscheduler.h"
#include "settings/settings.h"
#include "submitter.h"
#include "utils/boundedqueue.h"

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <thread>
#include <variant>

namespace oriolebay::entry {

/// An entry process. Each entry serves callers and follows the operators'
/// profiles and the election; the leader also schedules. The scheduler is owned
/// by one thread, and all others reach it through one bounded queue: the
/// callers' HTTP threads, the reply thread (agents and other entries), the
/// profile watcher, the election, the recorder and the dispatcher.
class EntryService {
public:
  EntryService(settings::EntrySettings settings, platform::KvClient &kv,
               placement::Placer placer);
  ~EntryService();

  /// The nng address to which agents send their announcements, and the port for
  /// callers' HTTP requests.
  std::string agentAddress() const;
  int httpPort() const;

  /// Stops gracefully: refuses new jobs (shutting_down, with Retry-After),
  /// resigns as leader if there is another entry, waits up to the drain timeout
  /// for the answers of its callers, then stops.
  void stop();

  /// Counters for GET /v1/stats and for the load tool.
  nlohmann::json stats() const;

private:
  /// Maximum time between two ticks of the scheduler. Also the polling period
  /// of a graceful stop and the delay before the recorded runs are read again.
  static constexpr absl::Duration TickPeriod = absl::Milliseconds(20);

  /// An answer to send to the entry that holds the caller's connection.
  struct Reply {
    std::string Address;
    endpoints::Answered Answer;
  };
  /// An input of the scheduler's thread.
  using Input = std::variant<endpoints::Message, core::Profile,
                             platform::Leadership, RecordOutcome, StartOutcome>;

  core::JobAnswer submit(const core::JobRequest &job);
  endpoints::Message onMessage(const endpoints::Message &message);
  void enqueue(const Input &input);
  void runScheduler();
  void handle(const endpoints::Message &message);
  void handle(const core::Profile &profile);
  void handle(const platform::Leadership &leadership);
  void handle(const RecordOutcome &outcome);
  void handle(const StartOutcome &outcome);
  void onSubmit(const endpoints::Submit &submit);
  void onAnnounce(const endpoints::Announce &announce);
  void startLeading();
  void stepDown();
  void performActions();
  void recordStart(const RecordStart &request);
  void perform(const scheduler::StartGang &start);
  void perform(const scheduler::StopGang &stop);
  void perform(const scheduler::AnswerCaller &answer);
  void perform(const scheduler::DeleteRunRecord &deletion);
  void perform(const scheduler::LogReason &logReason);
  void sendAnswer(const std::string &gangId, const core::JobAnswer &answer);
  void cacheAnswer(const std::string &gangId, const core::JobAnswer &answer);
  void sendReplies();
  void publishStats();
  scheduler::Policy policy() const;
  static void reportStoreError(const utils::Error &e);

  const settings::EntrySettings Settings;
  platform::KvClient &Kv;
  const placement::Placer Place;
  utils::BoundedQueue<Input> Inbox;
  utils::BoundedQueue<Reply> Replies;

  // Owned by the scheduler thread.
  std::map<std::string, core::Profile> Profiles;
  platform::Leadership Leader;
  std::optional<scheduler::GangScheduler> Scheduler;
  /// Runs whose record is being written, and the stop that was requested in the
  /// meantime, if any.
  std::map<scheduler::RunId, std::optional<scheduler::StopGang>>
      RunsBeingRecorded;
  /// Runs whose record is in the store, and the revision at which this leader
  /// wrote it; zero if an earlier one did.
  std::map<scheduler::RunId, int64_t> RecordedRuns;
  /// The address of the entry that waits for the answer of each gang, by gang
  /// id.
  std::map<std::string, std::string> ReplyAddresses;
  /// The latest answers by gang id, for entries that submit a gang again, and
  /// their gang ids in the order in which they are dropped.
  std::map<std::string, core::JobAnswer> RecentAnswers;
  std::deque<std::string> RecentAnswerOrder;

  std::atomic<int64_t> LeadingEpoch{0};
  std::atomic<int64_t> ConfigVersion{0};
  std::atomic<bool> Draining{false};
  std::atomic<bool> Stopping{false};
  std::atomic<int64_t> Received{0}, Placed{0}, Refused{0}, Finished{0},
      Duplicates{0}, Stopped{0};
  std::atomic<int> WorkerCount{0}, FreeAccelerators{0}, PendingCount{0},
      RunningCount{0};
  std::atomic<int64_t> ChargedWatts{0};
  std::atomic<double> Fragmentation{0.0};

  std::unique_ptr<Submitter> Callers;
  std::unique_ptr<Dispatcher> GangDispatcher;
  std::unique_ptr<Recorder> RunRecorder;
  std::unique_ptr<endpoints::ReplyServer> Server;
  std::thread SchedulerThread;
  std::thread ReplyThread;
  std::unique_ptr<operators::ProfileWatcher> Watcher;
  std::unique_ptr<platform::LeaderElection> Election;
  std::unique_ptr<callers::CallerApi> Api;
};

} // namespace oriolebay::entry
