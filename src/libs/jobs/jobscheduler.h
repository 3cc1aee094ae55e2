#pragma once

#include "core/siteconfig.h"
#include "decision.h"
#include "fleet.h"
#include "jobdeadline.h"
#include "jobrecord.h"
#include "openstartregistry.h"
#include "progress.h"
#include "scheduledjob.h"
#include "schedulerpolicy.h"
#include "silentagent.h"
#include "stepwait.h"
#include "unevenspeeds.h"
#include "urgentdemandestimator.h"
#include "workerspeedestimator.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace oriolebay::jobs {

/// A job's progress that has to be written to the store, on condition that the
/// job's record and progress are still at the given revisions.
struct ProgressWrite {
  std::string JobId;
  int64_t RecordRevision = 0;
  int64_t ProgressRevision = 0;
  int64_t Version = 0;
  JobState State = JobState::Queued;
  /// The progress in its stored encoding.
  std::string Value;
};

/// Orders that are to be sent to this address.
struct AddressedOrders {
  std::string Address;
  endpoints::WorkerOrders Orders;
};

/// A job whose keys can be removed from the store, on condition that they are
/// still at the given revisions.
struct ExpiredJob {
  std::string JobId;
  int64_t RecordRevision = 0;
  int64_t ProgressRevision = 0;
};

/// Decides which task runs on which worker, from the state in the store and the
/// reports of the workers. It uses no threads, clock or sockets: callers pass
/// the time of the boot clock, takeWrites() returns what has to be recorded,
/// and takeOrders() what has to be sent to the agents. A start is ordered and
/// the end of a run is acknowledged only after the store has recorded it.
class JobScheduler {
public:
  JobScheduler(SchedulerPolicy policy, int64_t epoch, absl::Time electedAt);
  ~JobScheduler();
  JobScheduler(const JobScheduler &) = delete;
  JobScheduler &operator=(const JobScheduler &) = delete;

  // Changes in the store.
  void onConfig(std::shared_ptr<const core::SiteConfig> config);
  /// The operator has cordoned failure domains or lifted cordons.
  void onCordons(core::Cordons cordons);
  /// A job's record is new or changed. Revisions older than the known one are
  /// ignored.
  void onRecord(const JobRecord &record, int64_t revision, absl::Time now);
  /// Takes over a job's progress as a previous leader recorded it. Must be
  /// called right after the job's first onRecord().
  void onProgress(const std::string &jobId, const JobProgress &progress,
                  int64_t revision, absl::Time now);
  void onRecordRemoved(const std::string &jobId);

  // Reports of the agents.
  /// Handles a report. Returns the number up to which all ends of runs of this
  /// worker incarnation are recorded.
  int64_t onReport(const endpoints::WorkerReport &report, absl::Time now);
  /// The starts by an earlier process of the agent that its worker may still
  /// carry out. Empty if the agent has tracked its starts for long enough to
  /// know them all.
  std::vector<endpoints::EarlierStart>
  earlierStarts(const endpoints::WorkerReport &report, absl::Time now) const;
  /// What this leader has learned about the speed of an agent's worker.
  endpoints::LearnedSpeed speedOf(const std::string &agent) const {
    return Speeds.learnedSpeed(agent);
  }
  endpoints::LearnedSpeed speedWithGangsOf(const std::string &agent) const {
    return SpeedsWithGangs.learnedSpeed(agent);
  }

  // Writes to the store.
  /// Returns the progress of all jobs that changed since their last write,
  /// except those with a write under way and large ones that have to wait.
  std::vector<ProgressWrite> takeWrites(absl::Time now);
  /// The write was made at revision, also if that turned out only later. Orders
  /// the starts and acknowledges the ends of runs that it recorded.
  void onWritten(const std::string &jobId, int64_t version, int64_t revision,
                 absl::Time now);
  /// The write failed or its outcome is unknown; it has to be repeated.
  void onWriteFailed(const std::string &jobId);

  /// No previous leader has kept tasks alive since endTime.
  void onPreviousLeadersEnded(absl::Time endTime);
  /// These agents were silent under the previous leader already. Must be called
  /// before the first onProgress().
  void adoptSilentAgents(const std::vector<SilentAgent> &agents);
  /// The agents that have not reported to this leader although tasks are
  /// recorded as running beside them or as possibly started there, and those
  /// that have stopped reporting to it.
  std::vector<SilentAgent> silentAgents(absl::Time now) const;

  /// Repeats orders without an answer, detects lost workers, stalled or slow
  /// runs and due occurrences. Must be called a few times a second.
  void tick(absl::Time now);
  /// Runs a scheduling pass if anything changed that may let a task start. Does
  /// nothing before the first onConfig().
  void decide(absl::Time now);

  /// Returns the orders to send, those for one worker incarnation in one
  /// message, and clears them.
  std::vector<AddressedOrders> takeOrders();
  std::vector<Decision> takeDecisions();
  /// Returns the jobs that completed or failed since the last call; their ends
  /// are being recorded.
  std::vector<std::string> takeEndingJobs();
  /// Returns the jobs that can be removed from the store: they ended more than
  /// FinishedJobRetention ago and have no task on any worker. Tombstones are
  /// removed after the same time.
  std::vector<ExpiredJob> takeExpiredJobs(absl::Time now);

  /// Number of scheduling passes so far.
  int64_t passCount() const { return PassCount; }
  /// Number of jobs that have not ended, waiting jobs included.
  size_t unfinishedJobCount() const;
  /// Number of tasks of all jobs of which something is remembered. The memory
  /// of a leader follows it.
  size_t rememberedTaskCount() const;
  /// Number of tasks that run or may run on a worker.
  size_t runningTaskCount() const;
  size_t maxRunningTasks() const { return Policy.MaxRunningTasks; }
  /// What the tasks have saved, in bytes, as of the last tick.
  size_t savedBytes() const { return SavedBytes; }
  /// What waits on the site, as of the last second.
  const WaitSummary &waitSummary() const { return WaitSurveys.Summary; }
  /// What is known of the workers' speeds, as of the latest scheduling pass.
  const SpeedSummary &speedSummary() const { return SpeedCounts; }
  int64_t epoch() const { return Epoch; }
  const Fleet &fleet() const { return Workers; }
  /// The job's current progress, recorded or not, for tests.
  std::optional<JobProgress> progress(const std::string &jobId) const;

private:
  friend class Planner;
  friend class RunMonitor;
  friend class WaitSurvey;
  using Phase = RunPhase;
  using Task = ScheduledTask;
  using Step = ScheduledStep;
  using Job = ScheduledJob;
  /// How it is known that a run is over.
  enum class Settlement {
    /// Its worker has listed the end or confirmed a stop, and refuses the run
    /// from now on.
    ByWorker,
    /// No grant allows the worker to run it any more, which is also the time
    /// limit that its starts carry.
    ByExpiry,
    Otherwise
  };
  ProgressWrite takeWrite(Job &job, absl::Time now);
  bool isLargeRecord(Job &job);
  void noteOmittedSaves(Job &job, int omitted);
  /// Keeps what the tasks have saved within MaxSavedBytes.
  void limitSavedBytes(absl::Time now);
  void dropLongestSaves(absl::Time now);
  void noteDroppedSaves(Job &job, int64_t dropped, absl::Time now);
  /// The job's progress in the form in which it is recorded.
  static JobProgress progressOf(const Job &job);
  static StepProgress progressOf(const Step &step);
  /// Takes over the progress of one occurrence, or one task of it, as a
  /// previous leader recorded it.
  void adoptOccurrence(Job &job, int number,
                       const std::vector<StepProgress> &steps, absl::Time now);
  void adoptTask(Job &job, Step &step, size_t index,
                 const TaskProgress &progress, absl::Time now);
  /// Stops what may run of an adopted job that has ended, or of tasks that are
  /// done.
  void stopUnwantedRuns(Job &job);
  /// Null if the job, occurrence, step or index does not exist, or if nothing
  /// of the occurrence has begun.
  Task *findTask(const core::TaskId &id);
  /// The steps of an occurrence of the job, which is created if necessary.
  static std::vector<Step> &ensureOccurrence(Job &job, int number);
  /// Creates the due occurrences that have not begun, as many as
  /// MaxWaitingTasks allows. Returns whether there are others.
  bool openDueOccurrences(Job &job);
  /// Forgets tasks and occurrences of which nothing has to be remembered.
  void compact(Job &job);
  static void compactStep(Job &job, const core::TaskId &first, Step &step);
  /// All tasks are done and cannot run any more.
  static bool isOver(const std::vector<Step> &steps);
  /// Keeps only that all of the occurrence is done.
  void forgetOccurrence(Job &job, int number);
  /// Forgets the durations that were compared between the tasks of its steps.
  void forgetSpeeds(const Job &job, int number);
  /// Number of the job's occurrences that are due by now.
  int dueOccurrences(const Job &job) const;
  static const std::string &serviceOf(const Job &job) { return job.Service; }
  /// Finds out in which queue the job is now.
  void updateQueue(Job &job) const;
  /// Notes that the worker is as fast as usual if the completed run was.
  void noteUsualRun(const Job &job, const core::TaskId &id, const Task &task);
  /// Expected duration of a task, from its estimate and the past errors of the
  /// queue's estimates.
  absl::Duration taskTime(const Job &job, const core::StepSpec &spec) const;
  JobDeadline computeDeadline(const Job &job) const;
  /// Whether an answer is worth nearly nothing to the job's caller any more.
  bool isOverdue(Job &job, absl::Time now) const;
  /// Enough time has passed since the election for every live worker to have
  /// reported.
  bool isFleetKnown(absl::Time now) const {
    return now - ElectedAt >= Policy.FleetDiscoveryTime;
  }
  void logDeadline(Job &job);
  /// All steps that the step has to follow are done.
  static bool isStepReady(const Job &job, const std::vector<Step> &steps,
                          size_t step);
  /// Calls callback with each task of which something is remembered.
  template <class Callback> void forEachTask(Job &job, Callback callback) {
    core::TaskId id{job.Record.Spec.Id, 0, 0, 0};
    for (auto &[number, steps] : job.Occurrences)
      for (size_t s = 0; s < steps.size(); ++s)
        for (auto &[index, task] : steps[s].objects()) {
          id.Occurrence = number;
          id.Step = static_cast<int>(s);
          id.Index = static_cast<int>(index);
          callback(static_cast<const core::TaskId &>(id), task);
        }
  }

  void registerIncarnation(const WorkerIncarnation &incarnation,
                           const std::string &agent, absl::Time now);
  void endUnreportedIncarnations(absl::Time now);
  void endReplacedIncarnations(const endpoints::WorkerReport &report,
                               absl::Time now);
  /// Handles the end of a worker incarnation. Next is the incarnation that the
  /// same report names, possibly empty, or null if the end was concluded from
  /// elapsed time alone.
  void handleIncarnationEnd(const endpoints::IncarnationEnd &end,
                            const std::string &why,
                            const WorkerIncarnation *next, absl::Time now);
  bool canStillStart(const core::TaskId &id, const Task &task,
                     const endpoints::IncarnationEnd &end,
                     const WorkerIncarnation *next, absl::Time now) const;
  void resolveAtNextIncarnation(Job &job, const core::TaskId &id, Task &task,
                                const WorkerIncarnation &next, absl::Time now);
  /// Updates Task::StartOpenUntil from the latest report of the run's agent,
  /// which has shown that the run has started, ended or cannot start.
  void updateStartOpenUntil(Job &job, const core::TaskId &id, Task &task,
                            absl::Time now);
  /// Sets until when an attempt to start a run of the task may be carried out,
  /// which is recorded with the job's progress until then.
  static void setLateStart(Job &job, Task &task, const LateStart &start,
                           absl::Time until, absl::Time now);
  /// Returns false if there is none to erase.
  template <class Predicate>
  static bool eraseLateStarts(Job &job, Task &task, Predicate predicate);
  /// The start of the run that the task is assigned to.
  static LateStart currentStart(const Task &task) {
    return {task.Progress.Worker.Id, task.Progress.Agent, task.Progress.Run};
  }
  /// Adds the task's recorded late starts to LateStartsByAgent.
  void indexLateStarts(const core::TaskId &id, const Task &task);
  /// Applies the late starts that a previous leader recorded.
  void adoptLateStarts(Task &task, absl::Time now) const;
  /// Time until which an attempt to start the task's run may still be carried
  /// out.
  absl::Time startOpenUntil(const core::TaskId &id, const Task &task,
                            absl::Time now) const;
  /// Bars the tasks that the agent lists an open start of and that are not
  /// assigned to it any more.
  void barListedStarts(const endpoints::WorkerReport &report, absl::Time now);
  /// Shortens the bars that a previous leader recorded for the agent to what it
  /// reports. Has no effect before the agent follows this leader.
  void shortenBars(const endpoints::WorkerReport &report, absl::Time now);
  /// Forgets the recorded late starts that cannot be carried out any more, so
  /// that the next leader does not wait for them.
  void forgetLateStarts(Job &job, Task &task, absl::Time now);
  /// Bars further starts of a task that leaves its worker while an attempt to
  /// start its run may still be carried out.
  void barLateStart(Job &job, const core::TaskId &id, Task &task,
                    Settlement settlement, absl::Time now);
  /// Has the late starts of the task stopped at a new incarnation beside the
  /// agent, or lifts the bar if that has another id.
  void resolveLateStarts(Job &job, const core::TaskId &id, Task &task,
                         const WorkerIncarnation &incarnation,
                         const std::string &agent, absl::Time now);
  /// Keeps the refused run assigned and has it stopped, if an attempt to start
  /// it may still be carried out. Returns false if none may.
  bool keepRefusedStart(Job &job, const core::TaskId &id, Task &task,
                        const std::string &why, absl::Time now);
  /// Releases a run that was refused once no attempt to start it can be carried
  /// out any more, even if its stop was never confirmed.
  void resolveRefusedStart(Job &job, const core::TaskId &id, Task &task,
                           absl::Time now);
  void resendLateStops(absl::Time now);
  /// Ends the worker's quarantine for a job that finds no other worker.
  void endQuarantine(const WorkerIncarnation &incarnation,
                     const std::string &jobId, absl::Time now);
  void recordCrash(Job &job, const core::TaskId &id, Task &task);
  void clearSuspectIfOutlived(Job &job, const core::TaskId &id, Task &task);
  bool hasCrashedTooOften(const Task &task) const;
  bool hasCrashedRecently(const std::string &agent, absl::Time now) const;
  void handleRunningTasks(const endpoints::WorkerReport &report,
                          absl::Time now);
  /// Stops the runs of this leader that the worker has listed or confirmed, but
  /// that its list from listedAt does not contain any more.
  void stopVanishedRuns(const WorkerView &worker, absl::Time listedAt);
  /// Stops a run that the worker lists but that is not the latest one of its
  /// task, which is null if it is unknown.
  void stopUnexpectedRun(const WorkerView &worker,
                         const endpoints::RunningTask &running,
                         const Task *task);
  void resolveUnlistedRuns(const endpoints::WorkerReport &report,
                           absl::Time now);
  void handleTaskEnd(const WorkerIncarnation &incarnation,
                     const endpoints::EndedTask &end, absl::Time now);
  /// Applies the outcome of an order. If it shows that the worker does not have
  /// the run, the run is handled as absent.
  void handleOrderResult(const WorkerIncarnation &incarnation,
                         const endpoints::OrderResult &result, absl::Time now);
  static std::string stepName(const core::TaskId &id);
  /// Factor by which work takes longer at the worker than at the median one; 1
  /// if unknown.
  double slownessOf(const WorkerIncarnation &incarnation) const;
  /// The same for the run of a task, which in a gang is as slow as the slowest
  /// member.
  double slownessOfRun(const Job &job, const core::TaskId &id,
                       const Task &task) const;
  WorkerSpeed speedOfWorker(const WorkerView &worker) const {
    return {SpeedsWithGangs.slowness(worker.Agent),
            SpeedsWithGangs.isKnown(worker.Agent)};
  }
  /// Finds out whether the speeds of the usable workers differ too much for the
  /// queues' objectives.
  void updateUnevenSpeeds(absl::Time now);
  /// Logs it if the worker has turned out to be slow, or not to be any more.
  void logSpeedChange(const WorkerView &view, const WorkerSpeed &speed);
  /// Takes over the speed that an earlier leader has learned.
  void adoptSpeed(const endpoints::WorkerReport &report, absl::Time now);
  void learnTaskDuration(const Job &job, const core::TaskId &id, Task &task,
                         absl::Time now);
  void acknowledgeEnd(Job &job, const WorkerIncarnation &incarnation,
                      int64_t number);
  /// Applies an end that counts to the task, or to all members of its gang, and
  /// to what is known about its worker.
  void handleRunEnd(Job &job, const core::TaskId &id, Task &task,
                    const endpoints::EndedTask &end,
                    const WorkerIncarnation &incarnation, absl::Time now);
  /// The run by whose outcome a worker is judged: one for all members of a
  /// gang.
  static RunId judgedRun(const Job &job, const core::TaskId &id, int64_t run);
  void recordSuccessOn(const WorkerIncarnation &incarnation, Job &job,
                       const core::TaskId &id, const Task &task,
                       absl::Time now);
  void recordFailureOn(const WorkerIncarnation &incarnation, Job &job,
                       const core::TaskId &id, int64_t run, absl::Time now);
  bool isCauseOfFailures(Job &job, absl::Time now);
  void dismissFailuresOf(const Job &job, size_t otherWorkers, absl::Time now);
  void unassign(Job &job, const core::TaskId &id, Task &task,
                Settlement settlement, absl::Time now);
  void compareSpeedByProgress(const core::TaskId &id, Task &task);
  void compareSpeed(const core::TaskId &id, Task &task,
                    absl::Duration runDuration);
  /// A worker is known to have begun a task of the job.
  void noteBegun(Job &job, absl::Time now);
  void trackProgress(const core::TaskId &id, const Task &task, absl::Time now);
  void handleAbsentRun(Job &job, const core::TaskId &id, Task &task,
                       const std::string &why, absl::Time now,
                       Settlement settlement = Settlement::Otherwise);
  /// Applies the end of one member of a run, which is the latest one or an
  /// earlier one that is done, to the whole gang.
  void handleGangMemberEnd(Job &job, const core::TaskId &id, int64_t run,
                           endpoints::RunEnd how);
  /// Whether the end of an earlier run completes the task.
  static bool isLateSuccess(const Job &job, const core::TaskId &id,
                            const endpoints::EndedTask &end);
  /// Whether a run that failed before the latest one, or was found absent
  /// before its end was listed, still has to be counted.
  static bool isLateFailure(const Job &job, const core::TaskId &id,
                            const Task &task, const endpoints::EndedTask &end);
  static void recordFailedRun(Job &job, const core::TaskId &id, int64_t run);
  /// Requests the end of the task's run, unless that was done before or no
  /// worker has the task.
  void requestStop(const core::TaskId &id, Task &task, const std::string &why);
  /// Requests the stop of all tasks of the step that a worker may be running.
  void stopStep(Job &job, int number, int step, const std::string &why);
  /// Ends the job if all its tasks are done, a task has failed too often, or a
  /// task has crashed too many workers.
  void checkJobEnd(Job &job, absl::Time now);
  /// Tasks that last have as many attempts as they need.
  static bool hasUsedUpAttempts(const Job &job, const core::TaskId &id,
                                const Task &task);
  /// Whether all tasks of all occurrences are done.
  static bool isAllDone(const Job &job);
  std::string crashFailureCause(Job &job);
  bool isRemote(const Job &job, const core::TaskId &id, const Task &task) const;
  /// Ends the job in the given final state and requests the stop of all tasks
  /// that are not done. The cause is logged if there is one.
  void endJob(Job &job, JobState state, absl::Time now,
              const std::string &cause = "");
  /// Returns the orders that wait to be sent for the worker's incarnation.
  endpoints::WorkerOrders &ordersFor(const WorkerView &worker);
  void orderStart(Job &job, const core::TaskId &id, Task &task, absl::Time now);
  void orderStop(const core::TaskId &id, Task &task, absl::Time now);
  /// Assigns the task's next run to the worker. The start is ordered once it is
  /// recorded.
  void assignRun(Job &job, const core::TaskId &id,
                 const WorkerIncarnation &incarnation, const std::string &saved,
                 int64_t run, int rank, SpeedDemand demand, absl::Time now);
  bool isWaitSurveyDue(absl::Time now) const;
  void surveyWaits(absl::Time now);
  StepWait &findOrAddWait(Job &job, const core::TaskId &id, absl::Time now);
  /// Records that a scheduling pass could not place tasks of a step.
  void recordBlocked(Job &job, const core::TaskId &first,
                     const WaitGroup &group, int64_t usableWorkers,
                     absl::Time now);
  /// Logs the reason for which most of the tasks wait.
  void logWait(Job &job, const core::TaskId &first, StepWait &wait,
               const WaitGroup &group, int64_t usableWorkers, absl::Time now);
  static std::vector<DecisionInput>
  waitInputs(const StepWait &wait, const WaitGroup &group, absl::Time now);
  static std::map<std::string, std::string> waitTexts(const WaitGroup &group);
  /// Time by which the tasks of the worker have ended if it never reports to
  /// this leader. Returns nothing if it has reported or is not known.
  std::optional<absl::Time>
  unreportedTasksEndBy(const WorkerIncarnation &incarnation) const;
  /// Adds a decision for the log.
  void logDecision(Decision::Kind kind, const std::string &job,
                   const std::string &task = "", int64_t run = 0,
                   const std::string &worker = "", const std::string &why = "",
                   std::vector<DecisionInput> inputs = {});
  /// Time since the worker's latest report in milliseconds; -1 if unknown.
  int64_t lastReportAgeMs(const WorkerIncarnation &incarnation,
                          absl::Time now) const;

  const SchedulerPolicy Policy;
  const int64_t Epoch;
  const absl::Time ElectedAt;
  /// Time by which all tasks have ended at workers that never reported.
  absl::Time UnreportedLostAt;
  Fleet Workers;
  OpenStartRegistry OpenStarts;
  ProgressTracker Progress;
  DurationEstimator Estimates;
  WorkerSpeedEstimator Speeds;
  /// Learns from the progress of gang members too. Members differ by more than
  /// the tasks of other steps do, so that it tells large differences only,
  /// which Uneven is about.
  WorkerSpeedEstimator SpeedsWithGangs;
  /// As of the latest scheduling pass.
  UnevenSpeeds Uneven;
  SpeedSummary SpeedCounts;
  /// Agents whose workers were logged as slow, and those whose reported speeds
  /// were ignored.
  std::set<std::string> SlowAgents;
  std::set<std::string> AgentsWithBadSpeed;
  UrgentDemandEstimator UrgentDemand;
  std::shared_ptr<const core::SiteConfig> Config;
  std::map<std::string, Job> Jobs;
  size_t SavedBytes = 0;
  /// When the runs are checked for stalled and slow ones again.
  absl::Time NextRunCheckAt = absl::InfinitePast();
  /// When the next large record may be written.
  absl::Time NextLargeWriteAt = absl::InfinitePast();
  /// A record without a job, and when this leader learned of it.
  struct Tombstone {
    int64_t Revision = 0;
    absl::Time Since;
  };
  /// By the id that it bars.
  std::map<std::string, Tombstone> Tombstones;
  /// When this leader last received the record of a new job.
  absl::Time LastArrival = absl::InfinitePast();
  /// A worker incarnation that is named in a record and has not reported to
  /// this leader.
  struct UnreportedIncarnation {
    std::string Agent;
    /// Time by which its tasks have ended; infinite if the grants of previous
    /// leaders determine it.
    absl::Time TasksEndedBy = absl::InfiniteFuture();
  };
  std::map<WorkerIncarnation, UnreportedIncarnation> UnreportedIncarnations;
  absl::Time tasksEndedBy(const UnreportedIncarnation &unreported) const;
  /// How long each agent had been silent when this leader was elected.
  std::map<std::string, SilentAgent> SilentBeforeElection;
  SilentAgent silentBeforeElection(const std::string &agent) const;
  std::vector<SilentAgent> unreportedAgents(absl::Time now) const;
  /// The agents that have stopped reporting to this leader, but for those that
  /// have been sent a start that no report has confirmed.
  std::set<std::string> agentsOutOfTouch(absl::Time now) const;
  /// Agents whose worker has seen this leader's fencing token, so that no
  /// earlier leader keeps tasks alive beside them.
  std::set<std::string> FencedAgents;
  void forgetLostAgents(absl::Time now);
  /// A recorded late start, and until when it may be carried out.
  struct IndexedLateStart {
    endpoints::EarlierStart Start;
    LateStartBound Bound;
  };
  /// The recorded late starts by agent, as of the last tick.
  std::map<std::string, std::vector<IndexedLateStart>> LateStartsByAgent;
  /// Time of the latest crash of the worker, by agent.
  std::map<std::string, absl::Time> LastCrashes;
  /// Something has changed since the last pass that may let a task start.
  bool PassNeeded = false;
  /// Some waiting task may become startable by the passage of time alone, so
  /// that the next tick triggers a scheduling pass.
  bool RetryOnTick = false;
  int64_t PassCount = 0;
  WaitSurveyState WaitSurveys;
  /// Orders to be sent, by the agent's address and the worker incarnation.
  std::map<std::pair<std::string, WorkerIncarnation>, endpoints::WorkerOrders>
      Orders;
  std::vector<Decision> Decisions;
  std::vector<std::string> EndingJobs;
};

} // namespace oriolebay::jobs
