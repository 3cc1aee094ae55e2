#pragma once

#include "jobs/jobscheduler.h"

#include <absl/time/time.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace oriolebay::jobs {

/// Simulated site in memory for tests of the scheduler: workers that execute
/// the scheduler's orders, a store that keeps its writes, and a clock that the
/// test advances. Everything is deterministic.
class SimSite {
public:
  explicit SimSite(SchedulerPolicy policy = {});

  struct Run {
    endpoints::StartOrder Order;
    absl::Time StartedAt;
    absl::Duration RequiredWork;
    absl::Duration WorkDone = absl::ZeroDuration();
    bool Stopping = false;
    absl::Time StopAt = absl::InfiniteFuture();
  };
  struct Worker {
    endpoints::WorkerState State;
    std::string Agent;
    int64_t Sequence = 0;
    int64_t ObservedEpoch = 0;
    int64_t NextEndNumber = 1;
    int64_t AcknowledgedUpto = 0;
    std::map<RunId, Run> Runs;
    std::vector<endpoints::EndedTask> Ended;
    std::vector<endpoints::OrderResult> Results;
    /// The speed of its worker that the leader last reported to the agent.
    endpoints::LearnedSpeed Speed;
    endpoints::LearnedSpeed SpeedWithGangs;
    /// Factor by which work takes longer there than on a healthy worker.
    double Slowness = 1;
    /// How much later than those of other workers its regular reports are sent.
    int ReportOffsetMs = 0;
    /// Number of ends that it lists at a time.
    size_t MaxEndsListed = 500;
    /// Every run fails shortly after its start.
    bool FailsAll = false;
    /// Runs make no progress. They end only when they are stopped.
    bool Hangs = false;
    /// No message reaches the agent or is sent by it.
    bool Partitioned = false;
    /// The agent's orders are dropped.
    bool DropsOrders = false;
    /// What its agent reports of the starts that it sent.
    std::vector<endpoints::OpenStart> OpenStarts;
    int64_t StartsKnownForMs =
        absl::ToInt64Milliseconds(endpoints::MaxOrderDelay);
    absl::Time ShutsDownAt = absl::InfiniteFuture();
    absl::Time CrashesAt = absl::InfiniteFuture();
    /// Ends of earlier incarnations, as the agent beside the worker reports
    /// them.
    std::vector<endpoints::IncarnationEnd> EndedLives;
  };

  /// Adds a worker, by default with the resources of a whole worker of the Brno
  /// site.
  Worker &addWorker(const std::string &incarnation, const std::string &rack,
                    core::Resources capacity = {32000, 65536, 8});
  Worker &worker(const std::string &incarnation) {
    return Workers.at(incarnation);
  }
  /// Ends the worker's process and starts it again at once as newIncarnation,
  /// or not at all if that is empty.
  void crash(const std::string &incarnation,
             const std::string &newIncarnation = "");
  /// Crashes the worker. Its agent detects that after CrashDetectionDelay, and
  /// the worker starts again as another incarnation on the same host after
  /// RestartDelay.
  void crashAndRestart(const std::string &incarnation);
  /// Changes the worker's capacity and sends a report of it.
  void setCapacity(const std::string &incarnation, core::Resources capacity);
  /// Lets the worker report that it drains, and shuts it down after notice
  /// together with everything that still runs there.
  void drain(const std::string &incarnation, absl::Duration notice);

  void configure(core::SiteConfig config);
  /// Submits a job, as an entry would store it.
  void submit(core::JobSpec spec, int priority = 1, int attempts = 4);
  /// The same for a job with its record as an entry has written it.
  void submitRecord(JobRecord record);
  void cancel(const std::string &jobId);

  /// Advances the clock in steps of StepMs.
  void runFor(absl::Duration time);
  /// Runs until all jobs have ended. Returns false if that takes longer than
  /// limit.
  bool runUntilAllEnded(absl::Duration limit);
  /// Starts a new leader that knows nothing but the store's records and which
  /// agents were silent under the previous one.
  void changeLeader();

  absl::Time now() const { return Now; }
  JobScheduler &scheduler() { return *Scheduler; }
  JobState state(const std::string &jobId) const;
  /// Time from the submission of a job to its first start, and to its end.
  std::optional<absl::Duration> waitTime(const std::string &jobId) const;
  std::optional<absl::Duration> turnaroundTime(const std::string &jobId) const;
  /// The workers on which tasks of a job run now, one item a task.
  std::multiset<std::string> workersOf(const std::string &jobId) const;
  /// Core-seconds of work in runs that did not complete, as far as no
  /// checkpoint saved it. An accelerator counts as eight cores.
  double lostWork() const { return LostWork; }
  int starts() const { return Starts; }
  /// Number of worker crashes that the task has caused.
  int crashesCausedBy(const std::string &task) const;
  const std::vector<std::string> &violations() const { return Violations; }

  /// Returns the time that a task has to work. The default is its estimate.
  std::function<absl::Duration(const core::TaskId &, const core::StepSpec &)>
      WorkTime;
  /// Returns whether this run fails for a reason of its own rather than of its
  /// worker.
  std::function<bool(const core::TaskId &, int64_t run)> RunFails;
  /// Returns how a member of a gang's run ends when another one has failed. The
  /// default is that it breaks off.
  std::function<endpoints::RunEnd(const core::TaskId &, int64_t run)>
      EndBesideFailedMember;
  /// Returns whether the task crashes each worker that starts it. The crash
  /// comes CrashDelay after the start.
  std::function<bool(const core::TaskId &)> CrashesWorker;
  static constexpr absl::Duration CrashDelay = absl::Milliseconds(10);
  /// Time from a crash until the agent reports it, and until the worker runs
  /// again.
  static constexpr absl::Duration CrashDetectionDelay = absl::Milliseconds(460);
  absl::Duration RestartDelay = absl::Seconds(2);
  /// Number of bytes that runs add to what they save.
  size_t SavedPadding = 0;
  /// Called with each write of a job's progress.
  std::function<void(const ProgressWrite &)> OnWrite;
  /// While set, writes are neither made nor answered.
  bool StoreDown = false;
  /// While set, writes are made but their answers are lost.
  bool StoreLosesAnswers = false;
  std::vector<Decision> Log;

  static constexpr int StepMs = 10;
  static constexpr int ReportIntervalMs = 500;
  /// Interval at which the scheduler's timers are served.
  int TickIntervalMs = StepMs;
  /// Time from the order to stop a run until its end.
  absl::Duration StopDuration = absl::Milliseconds(200);
  /// The same by task, if it differs between tasks.
  std::function<absl::Duration(const core::TaskId &)> StopDurationOf;
  static constexpr int RestoreMs = 600;
  static constexpr absl::Duration CheckpointInterval = absl::Seconds(1);

private:
  struct StoredJob {
    JobRecord Record;
    int64_t RecordRevision = 0;
    std::string Progress;
    int64_t ProgressRevision = 0;
    absl::Time SubmittedAt;
    std::optional<absl::Time> FirstStartAt;
    std::optional<absl::Time> EndedAt;
  };

  /// The members of a gang's run that are running in this step.
  struct GangRun {
    int RunningMembers = 0;
    std::set<std::string> Racks;
  };
  using GangKey = std::tuple<std::string, int, int, int64_t>;
  /// A worker that has crashed and not started again.
  struct CrashedWorker {
    Worker LastState;
    absl::Time DetectedAt;
    absl::Time RestartsAt;
    bool Detected = false;
  };

  static GangKey gangKey(const core::TaskId &id, int64_t run);
  /// Determines again which members of each gang run, and in which racks.
  void updateGangs();
  void step();
  /// Lets the scheduler decide and passes on its writes, its orders and their
  /// results, until it has no more orders.
  void exchangeMessages();
  void advanceRuns(Worker &worker);
  void shutDown(const std::string &incarnation);
  void processCrashedWorkers();
  void countStart(const std::string &task);
  absl::Duration savedWork(const Run &run, const core::TaskId &id,
                           bool byStop) const;
  std::string runningCheckpoint(const Run &run, const core::TaskId &id) const;
  endpoints::RunEnd endBesideMember(const RunId &run,
                                    endpoints::RunEnd how) const;
  /// Ends a run and, if it belongs to a gang, the runs of all other members.
  void endRun(Worker &worker, const RunId &run, endpoints::RunEnd how);
  void sendReport(Worker &worker);
  void executeOrders(Worker &worker, const endpoints::WorkerOrders &orders);
  void checkCapacity(const Worker &worker);
  /// Records a violation if the task is done or another run of it exists.
  void checkTaskRunsOnce(const endpoints::StartOrder &order);
  bool isGangComplete(const core::TaskId &id, int64_t run) const;
  bool isGangDone(const core::TaskId &id, int64_t run) const;
  bool isGangAcrossRacks(const core::TaskId &id, int64_t run) const;
  const core::StepSpec &stepOf(const core::TaskId &id) const;

  SchedulerPolicy Policy;
  absl::Time Now = absl::UnixEpoch() + absl::Hours(1);
  int64_t Revision = 100;
  int64_t Epoch = 0;
  std::unique_ptr<JobScheduler> Scheduler;
  std::shared_ptr<const core::SiteConfig> Config;
  std::map<std::string, Worker> Workers;
  std::map<std::string, StoredJob> Jobs;
  std::set<std::string> DoneTasks;
  std::map<GangKey, GangRun> Gangs;
  std::vector<CrashedWorker> CrashedWorkers;
  std::map<std::string, int> CrashesByTask;
  std::map<std::string, int> StartsAfterThirdCrash;
  double LostWork = 0;
  int Starts = 0;
  std::vector<std::string> Violations;
};

/// Returns a queue of the workers' service whose jobs have this objective.
core::QueueConfig makeQueue(const std::string &name, double stretch,
                            int64_t targetMs);

/// Returns a job with a single step.
core::JobSpec jobOf(const std::string &id, core::StepSpec step,
                    const std::string &organisation = "org-a");

} // namespace oriolebay::jobs
