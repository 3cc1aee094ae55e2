#pragma once

#include "agent/workeragent.h"
#include "entry/jobentry.h"
#include "memorystore.h"
#include "memoryworker.h"
#include "waitwatcher.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oriolebay::cluster {

/// Entries, agents, workers and the store in one process on manual time.
/// Entries and agents run the product's own code. Processes can be killed,
/// frozen and partitioned from others; all that happens is determined by the
/// seed.
class MemoryCluster {
public:
  struct Options {
    int Entries = 3;
    int Workers = 6;
    int WorkersPerRack = 3;
    uint64_t Seed = 1;
    /// Entries from this index on have a tenth of the others' processor share.
    int FirstSmallEntry = 1000;
    int WorkersPerDomain = 2;
    /// All failure domains that the entries' settings name.
    std::vector<std::string> SiteDomains = {};
  };
  explicit MemoryCluster(Options options);
  ~MemoryCluster();

  /// Writes a configuration with one organisation for each of these keys.
  void configure(const std::vector<std::string> &keys, int64_t guaranteed = 16);

  /// Writes a configuration with these organisations.
  void
  configureOrganisations(std::vector<core::OrganisationConfig> organisations);
  /// Writes a configuration with these organisations and queues.
  void configureSite(std::vector<core::OrganisationConfig> organisations,
                     std::vector<core::QueueConfig> queues);

  void runFor(absl::Duration time);
  /// Runs until all accepted jobs have ended according to the store. Returns
  /// false if that takes longer than limit.
  bool runUntilAllEnded(absl::Duration limit);

  /// A call of a caller to an entry, with its answer once that has arrived.
  struct CallerCall {
    std::string Job;
    std::string Key;
    absl::Time SentAt;
    std::optional<jobs::CallAnswer> Answer;
  };
  /// Sets how long callers wait for an answer from now on.
  void setCallerPatience(absl::Duration time) { CallerPatience = time; }
  std::shared_ptr<CallerCall> submit(int entry, const std::string &key,
                                     core::JobSpec spec);
  std::shared_ptr<CallerCall> cancel(int entry, const std::string &key,
                                     const std::string &job);
  std::shared_ptr<CallerCall> state(int entry, const std::string &key,
                                    const std::string &job);
  /// From now on callers send their calls for the job to queue.
  void sendCallsTo(const std::string &queue, const std::string &job);
  /// Asks how many jobs wait in queue.
  std::shared_ptr<CallerCall> countQueued(int entry, const std::string &key,
                                          const std::string &queue);

  // Cordons, as the operator sets and lifts them in the store.
  void cordon(const std::string &domain, const std::string &value = "{}");
  void liftCordon(const std::string &domain);
  static std::string domainName(int n) { return "d" + std::to_string(n); }

  // Fault injection.
  void killEntry(int entry);
  void startEntry(int entry);
  /// Has the entry stop as on SIGTERM. It goes on serving until it is killed.
  void beginEntryStop(int entry) { Entries.at(entry).Process->beginStop(); }
  bool isEntryUp(int entry) const {
    return Entries.at(entry).Process != nullptr;
  }
  void killAgent(int worker);
  /// Removes the agent and its worker for good.
  void removeHost(int worker);
  void startAgent(int worker);
  /// Adds a worker in the failure domain and rack of another, with an agent.
  /// Returns its number.
  int addHostLike(int worker);
  /// Adds an entry. Returns its number.
  int addEntry();
  /// Blocks or restores all messages between process and every other process.
  /// Calls to the store are not affected.
  void setPartitioned(const std::string &process, bool partitioned);
  /// Blocks the messages between two processes for good.
  void partitionPair(const std::string &a, const std::string &b) {
    PartitionedPairs.insert({a, b});
    PartitionedPairs.insert({b, a});
  }
  /// Holds back all messages to process for this time. They arrive then, as
  /// bytes do that a network outage has held up.
  void holdMessages(const std::string &process, absl::Duration time) {
    HeldUntil[process] = Loop.now() + time;
  }
  /// Sets how much later than usual the answers of process to other processes
  /// arrive.
  void delayAnswers(const std::string &process, absl::Duration time) {
    AnswerDelays[process] = time;
  }
  int leader() const;
  /// The epoch of the entry that leads; zero if none does.
  int64_t leaderEpoch() const;
  MemoryStore &store() { return Store; }
  MemoryWorker &worker(int n) { return *Workers.at(n).FakeWorker; }
  /// Number of workers, those of removed hosts included.
  int workerCount() const { return static_cast<int>(Workers.size()); }
  utils::EventLoop &loop() { return Loop; }
  static std::string entryName(int n) { return "entry-" + std::to_string(n); }
  static std::string agentName(int n) { return "agent-" + std::to_string(n); }

  /// What the entries logged about callers' calls, in order.
  const std::vector<jobs::CallDecision> &callDecisions() const {
    return CallDecisions;
  }
  /// The outcomes of the agents' orders, in order.
  const std::vector<endpoints::OrderResult> &orderResults() const {
    return OrderResults;
  }
  /// The leaders' decisions about the job, one per line.
  std::string decisionsText(const std::string &job) const;
  /// Number of decisions of this kind that the leaders have made.
  int countDecisions(jobs::Decision::Kind kind) const;
  /// Time from the last fault until its effects on waiting jobs are over.
  static constexpr absl::Duration RecoveryTime = absl::Seconds(14);
  /// All faults are over. From RecoveryTime on, a job that waits beside free
  /// workers violates an invariant; see WaitWatcher.
  void watchWaits();
  /// Descriptions of the violated invariants; empty if there are none.
  std::vector<std::string> violations();
  const std::set<std::string> &acceptedJobs() const { return Accepted; }
  int starts() const { return Shared.Starts; }
  const SharedWorkerState &sharedState() const { return Shared; }
  /// Has each start of a run reported, with the epoch of the leader that
  /// ordered it.
  void observeStarts(
      std::function<void(const std::string &task, int64_t epoch)> onStart) {
    Shared.OnStart = std::move(onStart);
  }
  /// Has each end that a worker lists reported.
  void observeEnds(std::function<void(const ObservedEnd &end)> onEnd) {
    Shared.OnEnd = std::move(onEnd);
  }
  /// Sets how long a task works. The default is its estimate.
  void setWorkTime(std::function<absl::Duration(const std::string &)> time) {
    Shared.WorkTimeOf = std::move(time);
  }
  /// Sets how runs end by themselves; see
  /// SharedWorkerState::PlanEnd.
  void setPlannedEnds(
      std::function<std::optional<PlannedEnd>(const std::string &, int64_t)>
          plan) {
    Shared.PlanEnd = std::move(plan);
  }
  /// Sets which tasks crash each worker that starts them.
  void setCrashingTasks(std::function<bool(const std::string &task)> crashes) {
    Shared.CrashesWorker = std::move(crashes);
  }
  /// Returns whether the job may fail: two workers have gone down while they
  /// ran one task of it.
  bool isFailureAllowed(const std::string &job) const;
  /// The job's state according to the store.
  std::optional<jobs::JobState> storedState(const std::string &job) const;
  /// The state in which runUntilAllEnded() has seen the job end, or else its
  /// state according to the store. The record of a job that has ended is
  /// removed after a while.
  std::optional<jobs::JobState> finalState(const std::string &job) const;
  /// The job's record in the store.
  std::optional<jobs::JobRecord> storedRecord(const std::string &job) const;
  /// The job's progress in the store.
  std::optional<jobs::JobProgress> storedProgress(const std::string &job) const;

private:
  struct Entry {
    std::unique_ptr<entry::JobEntry> Process;
  };
  /// What the store has of a job. A job without progress has that of a new one.
  /// A tombstone is no job.
  struct StoredJob {
    jobs::JobRecord Record;
    jobs::JobProgress Progress;

    jobs::JobState state() const {
      return jobs::visibleStateOf(Record, Progress.State);
    }
  };
  struct SeenEnd {
    jobs::JobState State = jobs::JobState::Queued;
    absl::Time At;
  };
  struct WorkerHost {
    std::unique_ptr<MemoryWorker> FakeWorker;
    std::unique_ptr<agent::WorkerAgent> Agent;
  };

  endpoints::Peers peersOf(const std::string &process);
  settings::NodeSettings settingsOf(const std::string &name) const;
  /// The queues of a configuration that names none.
  static std::vector<core::QueueConfig> usualQueues();
  std::shared_ptr<CallerCall> makeCall(const std::string &job,
                                       const std::string &key);
  jobs::CallerAccess accessFor(const std::string &key) const;
  void addWorker(int n, const std::string &domain, const std::string &rack);
  /// The queue of a job; that of makeJob() if nobody has submitted it.
  std::string queueOf(const std::string &job) const;
  void sendHeartbeat(int worker);
  core::StepSpec stepOf(const std::string &task) const;
  std::optional<StoredJob> storedJob(const std::string &job) const;
  void observeWaits();
  std::vector<WorkerRoom> workerRooms() const;
  /// The job has ended so long ago that its record may be gone.
  bool mayBeRemoved(const std::string &job) const;
  /// The ready steps of jobs that have nothing running.
  std::vector<IdleStep> idleSteps() const;
  void addIdleSteps(const std::string &job, std::vector<IdleStep> &steps) const;

  utils::EventLoop Loop;
  MemoryStore Store;
  SharedWorkerState Shared;
  const Options Setup;
  int64_t ConfigVersion = 0;
  std::map<std::string, endpoints::Peers::Handler> Handlers;
  /// Grows with each start of a process, so that no message reaches an earlier
  /// one of the same name.
  std::map<std::string, int> Generation;
  bool canReach(const std::string &from, const std::string &to) const {
    return Partitioned.count(from) == 0 && Partitioned.count(to) == 0 &&
           PartitionedPairs.count({from, to}) == 0;
  }

  absl::Duration CallerPatience = absl::Seconds(3);
  std::map<std::string, absl::Time> HeldUntil;
  std::map<std::string, absl::Duration> AnswerDelays;
  std::set<std::string> Partitioned;
  std::set<std::pair<std::string, std::string>> PartitionedPairs;
  std::map<int, Entry> Entries;
  std::map<int, WorkerHost> Workers;
  std::set<std::string> Accepted;
  std::map<std::string, SeenEnd> SeenEnds;
  std::map<std::string, core::JobSpec> Specs;
  std::vector<jobs::CallDecision> CallDecisions;
  std::vector<endpoints::OrderResult> OrderResults;
  std::vector<std::pair<absl::Time, jobs::Decision>> LeaderDecisions;
  WaitWatcher Waits;
};

/// Returns a job of queue q1 with one step of count tasks, each of which takes
/// the accelerators and works for ms milliseconds.
core::JobSpec makeJob(const std::string &id, int count, int64_t accelerators,
                      int64_t ms);

/// Returns a queue of the cluster's only service, with its name as prefix.
core::QueueConfig makeQueue(const std::string &name);

/// Encodes a configuration in the format that the entries of a MemoryCluster
/// read.
std::string encodeConfig(const core::SiteConfig &config);
utils::Result<core::SiteConfig> decodeConfig(const std::string &value);

} // namespace oriolebay::cluster
