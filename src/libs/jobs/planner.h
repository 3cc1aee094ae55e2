#pragma once

#include "jobscheduler.h"
#include "waitingorder.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace oriolebay::jobs {

/// One scheduling pass over all pending work. Decides which tasks start now
/// and where, which running work is stopped to free capacity for more urgent
/// work, and which capacity is reserved for a unit that has to wait. Works on
/// the scheduler's state and lives for one call of decide().
///
/// Units are placed in this order: work of priority 0 within its
/// organisation's guarantee, other work of priority 0, then by priority and
/// arrival, overdue work last (startsBefore()). All tasks of a gang start
/// together. A gang that requests one rack waits for a rack, because it runs
/// several times as long when it is spread; it is spread only if no rack could
/// hold it even when empty.
///
/// A rack, workers other than those where a task has failed, workers out of
/// quarantine, headroom for urgent work and reservations are preferences: none
/// keeps a unit waiting beside free workers for longer than
/// SchedulerPolicy::MaxPreferenceWait.
class Planner {
public:
  Planner(JobScheduler &scheduler, absl::Time now);
  void run();

private:
  using Job = JobScheduler::Job;
  using Task = JobScheduler::Task;

  /// A worker that is usable in this pass, with its free resources. Candidates
  /// are identified by their index in Candidates.
  struct Candidate {
    /// Owned by the fleet, which does not change during a pass.
    const WorkerView *View = nullptr;
    core::Resources Free;
    /// The part of Free that is not reserved for a unit that comes first.
    core::Resources Unreserved;
    /// Time until the earliest reservation starts. Tasks that are expected to
    /// end before then may use the reserved part too (backfilling).
    absl::Duration ReservationStartsIn = absl::InfiniteDuration();
    WorkerSpeed Speed = {};
    /// Tasks take longer there than on most workers.
    bool Slow = false;
    /// Index of its rack in RackDomains.
    int RackIndex = -1;
    /// Its latest run failed, and no run has been completed there since.
    bool LastRunFailed = false;
    /// A run began there, or may still begin, so recently that it could be the
    /// cause if the worker crashed now.
    bool HasRecentStart = false;
    /// Number of runs that hold its resources, and of those the ones whose
    /// start its agent has not confirmed.
    int64_t Runs = 0;
    int64_t UnconfirmedStarts = 0;
    /// One of the recent starts is of a suspect task. Nothing else starts there
    /// until the worker has survived it, so that a crash has one possible
    /// cause.
    bool HasRecentSuspectStart = false;
  };
  /// Pending tasks that are placed as one: a whole gang, or the ready tasks of
  /// a step, which are placed one by one.
  struct PlacementUnit {
    Job *Owner = nullptr;
    int Occurrence = 0;
    int Step = 0;
    std::vector<int> Tasks;
    /// Scheduling class; lower goes first. 0: within a guarantee; 1: other work
    /// of priority 0; otherwise the priority + 1.
    int Rank = 0;
    /// Workers where a task of it failed. Empty when the other workers could
    /// not hold it.
    std::set<WorkerIncarnation> AvoidWorkers;
    /// A task of it may have crashed its worker. It starts only on workers
    /// without a recent start, preferably on an empty one.
    bool HasSuspect = false;
    /// Hosts (by agent) where its tasks may have crashed a worker. Empty when
    /// the other hosts could not hold it.
    std::set<std::string> AvoidHosts = {};
    /// Its job's answer is worth nearly nothing any more; see startsBefore().
    bool Overdue = false;
    /// Number of earlier occurrences of its job that wait too.
    int Round = 0;
    /// How long it can wait before its job misses its deadline. Among other
    /// work of priority 0, the unit with the least slack is placed first.
    absl::Duration Slack = absl::ZeroDuration();
    /// The same if its tasks are shorter than estimated, so that its deadline
    /// is earlier; see SchedulerPolicy::SlackDeviations.
    absl::Duration CautiousSlack = absl::ZeroDuration();
    /// Number of its tasks that must run at the same time, from now or from
    /// the end of the slack, for its job to meet the deadline. The other tasks
    /// can follow on the same resources.
    int RequiredConcurrency = 0;
    /// By candidate: how many more of its tasks may be placed there, regardless
    /// of free resources; 0 where none may be placed. Filled in when the unit
    /// is placed.
    std::vector<int64_t> TaskLimits = {};
    /// Which workers it should run on; SpeedDemand::Any unless speeds differ.
    SpeedDemand Demand = SpeedDemand::Any;
    /// It is placed on workers of usual speed only.
    bool ExcludesSlowWorkers = false;
    /// It has waited beside free workers for so long that it takes any capacity
    /// that it fits into; see Planner.
    bool HasGivenUpPreferences = false;
    /// Whether an empty rack could hold all of it; computed on first use.
    mutable std::optional<bool> CanEverFitOneRack = std::nullopt;

    const core::StepSpec &spec() const {
      return Owner->Record.Spec.Steps[static_cast<size_t>(Step)];
    }
    JobScheduler::Step &step() const { return Owner->stepOf(taskId(0)); }
    core::TaskId taskId(int index) const {
      return {Owner->Record.Spec.Id, Occurrence, Step, index};
    }
    WaitingUnitKey key() const {
      return {Rank,       Overdue, Slack, Owner->Arrived, Owner->Record.Spec.Id,
              Occurrence, Step,    Round};
    }
    /// Other work may be stopped for it.
    bool mayStopOthers() const { return Rank == 0 || (Rank == 1 && !Overdue); }
  };
  /// The candidate for each task of a gang.
  using Placement = std::vector<size_t>;
  /// Candidates that a gang may be placed on together: those of one rack, or
  /// all.
  struct TopologyDomain {
    /// Index of the rack; negative for the whole site.
    int RackIndex = -1;
    std::vector<size_t> Members = {};
  };
  using ResourcesByCandidate = std::map<size_t, core::Resources>;
  /// A running task, or a running gang as a whole, whose end would free
  /// resources.
  struct RunningUnit {
    Job *Owner = nullptr;
    int Occurrence = 0;
    int Step = 0;
    /// Index of the task in its step, or -1 for a whole gang.
    int Index = -1;
    int Rank = 0;
    /// Work lost if it is stopped, in core-seconds.
    double LostWork = 0;
    /// Expected time until it ends if it is not stopped.
    absl::Duration TimeLeft = absl::ZeroDuration();
    /// A stop has been requested, in the case of a gang for all its running
    /// tasks.
    bool Stopping = true;
    /// Lists each candidate once.
    std::vector<std::pair<size_t, core::Resources>> FreedResources = {};
  };
  using RunningUnitList = std::vector<const RunningUnit *>;
  /// Running units in the order in which a plan picks them.
  struct SortedUnits {
    RunningUnitList All;
    /// By rack: the units that free resources there.
    std::vector<RunningUnitList> ByRack;

    const RunningUnitList &inDomain(const TopologyDomain &domain) const {
      return domain.RackIndex < 0
                 ? All
                 : ByRack[static_cast<size_t>(domain.RackIndex)];
    }
  };
  /// Where a unit can be placed once certain running units have ended.
  struct CapacityPlan {
    Placement TargetPlacement;
    ResourcesByCandidate FreedByCandidate;
    std::vector<const RunningUnit *> EndingUnits;
    /// Work lost if the ending units are stopped, in core-seconds.
    double LostWork = 0;
    /// Expected time until all of them have ended without further stops. Set to
    /// zero once their stops are requested.
    absl::Duration Wait = absl::ZeroDuration();
  };

  void collectUnits();
  void collectUnitsOf(Job &job);
  /// Whether so many more tasks of unit may start, whatever capacity is free:
  /// the leader has the memory and the time for them.
  bool mayStart(const PlacementUnit &unit, size_t tasks) const;
  bool mayRunElsewhere(const core::TaskId &id, const Task &task) const;
  void collectTasks(PlacementUnit &unit, const JobScheduler::Step &step);
  void avoidFailedWorkers(PlacementUnit &unit,
                          const JobScheduler::Step &step) const;
  /// Counts the tasks that the scheduler remembers something of, those that
  /// run, and the starts that are not confirmed.
  void countTasks();
  /// How many more tasks of unit the candidate may get, whatever resources are
  /// free.
  int64_t maxMoreRuns(const Candidate &candidate,
                      const PlacementUnit &unit) const;
  void markRecentStarts();
  void markRecentStart(size_t candidateIndex, const PlacementUnit &unit);
  bool canStartOn(const Candidate &candidate, const PlacementUnit &unit) const;
  /// What the start of a suspect task would put at risk: other work on the
  /// worker, and its own job if a worker crashed on the host recently, so that
  /// the next one may crash by itself. 0 for other units; smaller is better.
  int crashRisk(const Candidate &candidate, const PlacementUnit &unit) const;
  int64_t taskCapacityIfEmpty(const PlacementUnit &unit) const;
  void rankJobs();
  void placeUnit(PlacementUnit &unit);
  bool placeWherePossible(PlacementUnit &unit);
  bool placeOnAnyWorker(PlacementUnit &unit);
  absl::Duration idleTime(const PlacementUnit &unit) const;
  /// Time for which nothing of the unit's step has run beside free workers;
  /// negative infinite if that is not so.
  absl::Duration waitBesideFreeWorkers(const PlacementUnit &unit) const;
  bool mustGiveUpPreferences(const PlacementUnit &unit) const;
  /// Whether each task of the unit may fail once more without failing its job.
  static bool canSpareAttempt(const PlacementUnit &unit);
  /// Whether unit may take workers where its tasks failed, or that are in
  /// quarantine because runs failed there.
  bool mayTakeUnhealthyWorkers(const PlacementUnit &unit) const;
  void giveUpPreferences(PlacementUnit &unit);
  /// The workers in quarantine that could hold tasks of unit.
  std::vector<WorkerIncarnation>
  quarantinedWorkers(const PlacementUnit &unit) const;
  /// Ends as many quarantines as it takes to hold the tasks of unit, those of
  /// workers that may fail its tasks only if mayFail is set.
  void endQuarantines(const PlacementUnit &unit, bool mayFail);
  /// Whether unit may use the workers that are left empty for urgent work.
  static bool mayUseHeadroom(const PlacementUnit &unit) {
    return unit.Rank <= 1 || unit.HasGivenUpPreferences;
  }
  bool placeGang(PlacementUnit &unit);
  int headroomWorkers() const;
  bool isEmpty(const Candidate &candidate) const {
    return candidate.Free == candidate.View->State.Capacity;
  }
  void allocate(const PlacementUnit &unit, size_t candidateIndex);
  bool leavesHeadroom(const PlacementUnit &unit,
                      const Placement &placement) const;
  std::optional<size_t> findBestCandidate(const PlacementUnit &unit) const;
  void placeTasks(PlacementUnit &unit);
  void handleBlockedUnit(PlacementUnit &unit);
  /// A worker that gets no new tasks, and why.
  struct UnusableWorker {
    const WorkerView *View = nullptr;
    WaitReason Reason = WaitReason::NoCapacity;
  };
  struct DomainFit;
  /// Records that unit has to wait, and why.
  void recordWait(const PlacementUnit &unit);
  bool isReasonDue(const StepWait &wait) const;
  WaitCause waitCause(const PlacementUnit &unit) const;
  WaitCause rackCause(const PlacementUnit &unit,
                      const std::vector<DomainFit> &fits) const;
  static bool waitsForCordon(const PlacementUnit &unit,
                             const std::vector<DomainFit> &fits);
  absl::Time earliestEnd(WaitReason reason, const PlacementUnit &unit) const;
  bool isPlacedByRack(const PlacementUnit &unit) const;
  std::vector<DomainFit> domainFits(const PlacementUnit &unit) const;
  void addCandidate(size_t candidateIndex, const PlacementUnit &unit,
                    DomainFit &fit) const;
  void addUnusableWorker(const UnusableWorker &worker,
                         const PlacementUnit &unit, DomainFit &fit) const;
  static int64_t maxTasksPerWorker(const PlacementUnit &unit);
  static bool avoids(const PlacementUnit &unit, const WorkerView &view);
  const std::vector<UnusableWorker> &unusableWorkers() const;
  bool isLarge(const PlacementUnit &unit) const;

  bool isEligible(const WorkerView &worker, const PlacementUnit &unit) const;
  /// Whether the worker is in quarantine for the unit's job alone.
  bool isKeptOff(const WorkerView &worker, const PlacementUnit &unit) const {
    return Now < worker.quarantinedUntil(unit.Owner->Record.Spec.Id);
  }
  void computeTaskLimits(PlacementUnit &unit) const;
  /// The candidate's resources that unit may use: all that is free if it is
  /// expected to end before the reservation starts, else the unreserved part.
  const core::Resources &usableResources(const Candidate &candidate,
                                         const PlacementUnit &unit) const;
  int64_t countFitting(size_t candidateIndex, const PlacementUnit &unit,
                       int64_t maxTasks) const;
  int countTasksOnWorker(const PlacementUnit &unit,
                         const WorkerIncarnation &incarnation) const;
  const std::vector<TopologyDomain> &
  domainsFor(const PlacementUnit &unit) const;
  static bool prefersFastWorkers(const PlacementUnit &unit) {
    return unit.Rank <= 1;
  }
  /// Cost of the candidate's speed for a task of unit; a lower cost is better.
  int speedCost(const Candidate &candidate, const PlacementUnit &unit) const;
  int64_t speedCost(const Placement &placement,
                    const PlacementUnit &unit) const;
  SpeedDemand speedDemand(const PlacementUnit &unit) const;
  bool isTooSlowFor(const Candidate &candidate,
                    const PlacementUnit &unit) const;
  bool isKeptOffSlowWorkers(const PlacementUnit &unit) const;
  bool placeOnUsualWorkers(PlacementUnit &unit);
  absl::Duration maxWaitForUsualWorkers(const PlacementUnit &unit) const;
  bool waitForUsualWorkers(PlacementUnit &unit);
  std::optional<Placement> findPlacement(const PlacementUnit &unit,
                                         const TopologyDomain &domain) const;
  bool canEverFitOneRack(const PlacementUnit &unit) const;
  bool computeCanEverFitOneRack(const PlacementUnit &unit) const;
  void startGang(PlacementUnit &unit, const Placement &placement);
  void startTask(PlacementUnit &unit, int index, size_t candidateIndex);

  void collectRunningUnits();
  void addRunningUnits(Job &job, int occurrence, int step);
  void refreshRunningUnits(Job &job, int occurrence, int step);
  SortedUnits indexByRack(RunningUnitList all) const;
  const SortedUnits &stoppableUnits(const PlacementUnit &unit);
  const SortedUnits &unitsByEnd();
  bool isUsableInDomain(size_t candidateIndex, const PlacementUnit &unit,
                        const TopologyDomain &domain) const;
  std::optional<CapacityPlan> planInDomain(const PlacementUnit &unit,
                                           const TopologyDomain &domain,
                                           const RunningUnitList &runningUnits);
  int64_t applyRelease(const PlacementUnit &unit, const TopologyDomain &domain,
                       const RunningUnit &runningUnit, int sign);
  void pruneEndingUnits(const PlacementUnit &unit, const TopologyDomain &domain,
                        int64_t fitting, CapacityPlan &plan);
  template <class Cost>
  std::optional<CapacityPlan> findBestPlan(const PlacementUnit &unit,
                                           const SortedUnits &sortedUnits,
                                           Cost CapacityPlan::*cost);
  std::optional<CapacityPlan> findStopPlan(const PlacementUnit &unit);
  std::optional<CapacityPlan> findWaitPlan(const PlacementUnit &unit);
  bool isGuaranteeAtRisk(const PlacementUnit &unit,
                         const std::optional<CapacityPlan> &waitPlan) const;
  double maxLostWork(const PlacementUnit &unit) const;
  bool isWorthStopping(const PlacementUnit &unit, const CapacityPlan &stopPlan,
                       const std::optional<CapacityPlan> &waitPlan) const;
  void computeUrgency(PlacementUnit &unit) const;
  absl::Duration deadlineAtRisk(const Job &job,
                                const JobDeadline &deadline) const;
  void computeRequiredConcurrency(PlacementUnit &unit, absl::Duration timeLeft,
                                  absl::Duration taskDuration) const;
  bool isInTimeWithoutStops(const PlacementUnit &unit,
                            const std::optional<CapacityPlan> &waitPlan) const;
  bool secureCapacity(PlacementUnit &unit);
  void logCapacityPlan(const PlacementUnit &unit, const char *outcome,
                       const CapacityPlan *plan);
  void requestStops(const PlacementUnit &unit, const CapacityPlan &stopPlan);
  int maxReservations() const;
  void reserveEarliestCapacity(PlacementUnit &unit);
  void reserve(const PlacementUnit &unit, const CapacityPlan &plan);
  double workLostByStop(const core::StepSpec &spec, const Task &task) const;

  JobScheduler &Scheduler;
  const absl::Time Now;
  std::vector<Candidate> Candidates;
  absl::flat_hash_map<WorkerIncarnation, size_t> CandidateOf;
  /// The candidates of each rack.
  std::vector<TopologyDomain> RackDomains;
  /// All candidates as the only domain.
  std::vector<TopologyDomain> SiteDomain;
  /// Names of the tasks that a worker lists without a record of that run.
  std::set<std::string> UnexpectedTasks;
  /// Number of empty workers beyond the headroom for urgent work.
  int EmptyBeyondHeadroom = 0;
  /// Number of tasks that the scheduler remembers something of.
  size_t RememberedTasks = 0;
  /// Number of tasks that run or may run, in all and by job.
  size_t RunningTasks = 0;
  absl::flat_hash_map<const Job *, size_t> RunningTasksOf;
  /// The members of a gang fit onto the workers but are more than may start.
  bool GangWaitsForPlaces = false;
  std::vector<PlacementUnit> Units;
  /// All running units. Collected when a unit has to wait for the first time
  /// and kept up to date from then on, because collecting them takes longer
  /// than everything else in a pass.
  std::deque<RunningUnit> RunningUnits;
  bool RunningUnitsCollected = false;
  /// Sorted views of RunningUnits, valid until it changes; those for stops by
  /// the rank of the unit that others are stopped for.
  std::optional<SortedUnits> CachedUnitsByEnd;
  std::map<int, SortedUnits> CachedStoppableUnits;
  /// Computed when it is needed for the first time.
  mutable std::optional<std::vector<UnusableWorker>> CachedUnusableWorkers;
  /// Number of units that could not be placed.
  size_t BlockedUnitCount = 0;
  /// Number of reservations made by reserveEarliestCapacity().
  int ReservationCount = 0;
};

} // namespace oriolebay::jobs
