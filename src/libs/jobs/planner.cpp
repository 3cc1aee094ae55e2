#include "planner.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace oriolebay::jobs {

namespace {

/// At most one of this many workers is left empty as headroom for urgent work.
constexpr int WorkersPerHeadroomWorker = 8;

} // namespace

Planner::Planner(JobScheduler &scheduler, absl::Time now)
    : Scheduler(scheduler), Now(now) {
  for (const auto &[incarnation, view] : Scheduler.Workers.workers()) {
    for (const RunId &run : view.UnexpectedRuns)
      UnexpectedTasks.insert(run.Task);
    if (Scheduler.Workers.isUsable(view, now))
      Candidates.push_back(
          {&view, view.freeResources(), view.freeResources(),
           absl::InfiniteDuration(), Scheduler.speedOfWorker(view),
           Scheduler.Speeds.isSlow(view.Agent), -1, !view.FailuresByJob.empty(),
           false, static_cast<int64_t>(view.Allocations.size())});
  }
  SiteDomain.emplace_back();
  std::map<std::string_view, int> rackIndices;
  for (size_t c = 0; c < Candidates.size(); ++c) {
    Candidate &candidate = Candidates[c];
    const auto next = static_cast<int>(RackDomains.size());
    auto [rack, added] = rackIndices.emplace(candidate.View->State.Rack, next);
    if (added)
      RackDomains.push_back({next});
    candidate.RackIndex = rack->second;
    RackDomains[static_cast<size_t>(candidate.RackIndex)].Members.push_back(c);
    SiteDomain.front().Members.push_back(c);
    CandidateOf[candidate.View->State.Life] = c;
    EmptyBeyondHeadroom += isEmpty(candidate) ? 1 : 0;
  }
  EmptyBeyondHeadroom -= headroomWorkers();
}

// Number of workers that batch work has to leave empty. Urgent work finds
// capacity at once only where nothing has to be stopped for it: a stop takes up
// to a second, which is all that a short urgent job can wait. The headroom
// covers what the urgent jobs that arrive during a stop are expected to need.
int Planner::headroomWorkers() const {
  int64_t maxAccelerators = 0;
  for (const Candidate &candidate : Candidates)
    maxAccelerators =
        std::max(maxAccelerators, candidate.View->State.Capacity.Accelerators);
  if (maxAccelerators == 0)
    return 0;
  const double need =
      Scheduler.Policy.Headroom *
      Scheduler.UrgentDemand.expectedDemand(Scheduler.Policy.StopDuration, Now);
  const auto workers =
      static_cast<int>(need / static_cast<double>(maxAccelerators));
  return std::min(workers, static_cast<int>(Candidates.size()) /
                               WorkersPerHeadroomWorker);
}

void Planner::allocate(const PlacementUnit &unit, size_t candidateIndex) {
  const core::Resources resources = unit.spec().taskResources();
  Candidate &candidate = Candidates[candidateIndex];
  EmptyBeyondHeadroom -= isEmpty(candidate) ? 1 : 0;
  candidate.Free -= resources;
  candidate.Unreserved -= resources;
  ++candidate.Runs;
  ++candidate.UnconfirmedStarts;
  ++RememberedTasks;
  ++RunningTasks;
  ++RunningTasksOf[unit.Owner];
}

bool Planner::leavesHeadroom(const PlacementUnit &unit,
                             const Placement &placement) const {
  if (mayUseHeadroom(unit))
    return true;
  const std::set<size_t> used(placement.begin(), placement.end());
  const auto empty = std::count_if(used.begin(), used.end(), [this](size_t c) {
    return isEmpty(Candidates[c]);
  });
  return empty == 0 || empty <= EmptyBeyondHeadroom;
}

void Planner::run() {
  countTasks();
  markRecentStarts();
  rankJobs();
  collectUnits();
  for (PlacementUnit &unit : Units)
    placeUnit(unit);
  Scheduler.WaitSurveys.BlockedUnits = BlockedUnitCount;
}

// Sets the rank of each job; see PlacementUnit::Rank. Jobs of priority 0 are
// within the guarantee, oldest first, as long as their organisation's
// guarantee covers the sum of the accelerators that their widest steps need.
// A job that exceeds the guarantee counts in the sum too, so that all later
// jobs of the organisation exceed it as well.
void Planner::rankJobs() {
  std::vector<Job *> urgent;
  for (auto &[id, job] : Scheduler.Jobs) {
    job.Rank = job.Record.Priority + 1;
    if (!job.hasEnded() && job.Record.Priority == 0)
      urgent.push_back(&job);
  }
  std::sort(urgent.begin(), urgent.end(), [](const Job *a, const Job *b) {
    return std::tie(a->Arrived, a->Record.Spec.Id) <
           std::tie(b->Arrived, b->Record.Spec.Id);
  });
  std::map<std::string, int64_t> used;
  for (Job *job : urgent) {
    const core::OrganisationConfig *org =
        Scheduler.Config->organisation(job->Record.Spec.Organisation);
    int64_t need = 0;
    for (const core::StepSpec &step : job->Record.Spec.Steps)
      need = std::max(need, step.Count * step.PerTask.Accelerators);
    int64_t &sum = used[job->Record.Spec.Organisation];
    sum += need;
    const bool covered = org != nullptr && sum <= org->GuaranteedAccelerators;
    job->Rank = covered ? 0 : 1;
  }
}

void Planner::placeUnit(PlacementUnit &unit) {
  if (isKeptOffSlowWorkers(unit) && placeOnUsualWorkers(unit))
    return;
  if (placeWherePossible(unit))
    return;
  if (unit.spec().LongRunning && placeOnAnyWorker(unit))
    return;
  if (mustGiveUpPreferences(unit)) {
    giveUpPreferences(unit);
    if (placeWherePossible(unit))
      return;
    endQuarantines(unit, mayTakeUnhealthyWorkers(unit));
  }
  if (unit.spec().Gang || unit.RequiredConcurrency > 0)
    handleBlockedUnit(unit);
  else
    recordWait(unit);
}

// Tasks that run on have no attempts that an unhealthy worker could use up, and
// the other workers may be held for ever by tasks of the same kind. Returns
// whether all tasks of unit were started.
bool Planner::placeOnAnyWorker(PlacementUnit &unit) {
  if (!unit.AvoidWorkers.empty()) {
    unit.AvoidWorkers.clear();
    if (placeWherePossible(unit))
      return true;
  }
  if (quarantinedWorkers(unit).empty())
    return false;
  Scheduler.RetryOnTick = true;
  if (idleTime(unit) >= Scheduler.Policy.MaxLongRunningWait)
    endQuarantines(unit, true);
  return false;
}

// Time since the latest run of a task of unit.
absl::Duration Planner::idleTime(const PlacementUnit &unit) const {
  const JobScheduler::Step &step = unit.step();
  absl::Time since = Now;
  for (int index : unit.Tasks) {
    const Task *task = step.find(static_cast<size_t>(index));
    since = std::min(since,
                     task == nullptr ? absl::InfinitePast() : task->IdleSince);
  }
  return Now - std::max(since, unit.Owner->Arrived);
}

// Returns whether all tasks of unit were started.
bool Planner::placeWherePossible(PlacementUnit &unit) {
  computeTaskLimits(unit);
  if (unit.spec().Gang)
    return placeGang(unit);
  placeTasks(unit);
  return unit.Tasks.empty();
}

// Whether the worker is of the right service, has the required label and is not
// one that unit avoids.
bool Planner::isEligible(const WorkerView &view,
                         const PlacementUnit &unit) const {
  const endpoints::WorkerState &worker = view.State;
  if (worker.Service != Scheduler.serviceOf(*unit.Owner) ||
      unit.AvoidWorkers.count(worker.Life) != 0 ||
      unit.AvoidHosts.count(view.Agent) != 0)
    return false;
  const std::string &label = unit.spec().NeedsLabel;
  return label.empty() || std::find(worker.Labels.begin(), worker.Labels.end(),
                                    label) != worker.Labels.end();
}

void Planner::computeTaskLimits(PlacementUnit &unit) const {
  const int64_t maxPerWorker = unit.spec().MaxPerWorker;
  unit.TaskLimits.assign(Candidates.size(), 0);
  for (size_t c = 0; c < Candidates.size(); ++c) {
    if (!isEligible(*Candidates[c].View, unit) ||
        isKeptOff(*Candidates[c].View, unit) ||
        !canStartOn(Candidates[c], unit) || isTooSlowFor(Candidates[c], unit))
      continue;
    int64_t limit = maxMoreRuns(Candidates[c], unit);
    if (maxPerWorker > 0)
      limit = std::min(
          limit, maxPerWorker -
                     countTasksOnWorker(unit, Candidates[c].View->State.Life));
    unit.TaskLimits[c] = std::max<int64_t>(0, limit);
  }
}

// Of tasks that need next to nothing a worker could get any number at once,
// more than its agent's messages and memory hold. The members of a gang have to
// start together.
int64_t Planner::maxMoreRuns(const Candidate &candidate,
                             const PlacementUnit &unit) const {
  const SchedulerPolicy &policy = Scheduler.Policy;
  const int64_t runs = policy.MaxRunsPerWorker - candidate.Runs;
  const int64_t starts =
      policy.MaxUnconfirmedStarts - candidate.UnconfirmedStarts;
  const int64_t limit = unit.spec().Gang ? runs : std::min(runs, starts);
  Scheduler.RetryOnTick |= limit < unit.spec().Count;
  return std::min<int64_t>(limit, unit.spec().Count);
}

// The last places are for urgent work and for jobs of which next to nothing
// runs, so that none stands still beside free workers while others use up all.
// While a gang waits for places, all of them are, so that they become free.
bool Planner::mayStart(const PlacementUnit &unit, size_t tasks) const {
  const SchedulerPolicy &policy = Scheduler.Policy;
  const size_t running = RunningTasks + tasks;
  if (RememberedTasks + tasks > policy.MaxRememberedTasks ||
      running > policy.MaxRunningTasks)
    return false;
  const size_t reserve =
      policy.MaxRunningTasks / policy.RunningTasksPerReservedOne;
  if (unit.Rank <= 1 ||
      (!GangWaitsForPlaces && running <= policy.MaxRunningTasks - reserve))
    return true;
  const auto it = RunningTasksOf.find(unit.Owner);
  const size_t ofJob = it == RunningTasksOf.end() ? 0 : it->second;
  return unit.spec().Gang ? ofJob == 0 : ofJob < policy.ReservedTasksPerJob;
}

void Planner::countTasks() {
  for (auto &entry : Scheduler.Jobs) {
    Job &job = entry.second;
    Scheduler.forEachTask(job, [&](const core::TaskId &, const Task &task) {
      ++RememberedTasks;
      if (!task.isAssigned())
        return;
      ++RunningTasks;
      ++RunningTasksOf[&job];
      if (!task.isUnconfirmed())
        return;
      auto candidate = CandidateOf.find(task.Progress.Worker);
      if (candidate != CandidateOf.end())
        ++Candidates[candidate->second].UnconfirmedStarts;
    });
  }
}

const core::Resources &
Planner::usableResources(const Candidate &candidate,
                         const PlacementUnit &unit) const {
  const bool endsBefore = absl::Milliseconds(unit.spec().EstimateMs) <
                          candidate.ReservationStartsIn;
  return endsBefore || unit.HasGivenUpPreferences ? candidate.Free
                                                  : candidate.Unreserved;
}

int Planner::countTasksOnWorker(const PlacementUnit &unit,
                                const WorkerIncarnation &incarnation) const {
  const auto &tasks = unit.step().objects();
  return static_cast<int>(
      std::count_if(tasks.begin(), tasks.end(), [&](const auto &entry) {
        return entry.second.Progress.Worker == incarnation;
      }));
}

// Number of unit's tasks, maxTasks at most, that fit into the resources of the
// candidate that unit may use now.
int64_t Planner::countFitting(size_t candidateIndex, const PlacementUnit &unit,
                              int64_t maxTasks) const {
  maxTasks = std::min(maxTasks, unit.TaskLimits[candidateIndex]);
  return maxTasks <= 0
             ? 0
             : unit.spec().taskResources().countIn(
                   usableResources(Candidates[candidateIndex], unit), maxTasks);
}

void Planner::startTask(PlacementUnit &unit, int index, size_t candidateIndex) {
  const Task &task = *Scheduler.findTask(unit.taskId(index));
  Scheduler.assignRun(*unit.Owner, unit.taskId(index),
                      Candidates[candidateIndex].View->State.Life,
                      task.Progress.Saved, task.Progress.Run + 1, unit.Rank,
                      unit.Demand, Now);
  allocate(unit, candidateIndex);
  markRecentStart(candidateIndex, unit);
  --unit.TaskLimits[candidateIndex];
}

// The candidate for the next task of unit, or nothing if it fits on none.
// Batch work does not use empty workers that are part of the headroom.
std::optional<size_t>
Planner::findBestCandidate(const PlacementUnit &unit) const {
  const core::StepSpec &spec = unit.spec();
  // Smaller is better: crash risk, not in the rack of the data, latest run
  // failed, cost of its speed, free accelerators, free cores.
  using Score = std::tuple<int, bool, bool, int, int64_t, int64_t>;
  std::optional<std::pair<Score, size_t>> best;
  for (size_t c = 0; c < Candidates.size(); ++c) {
    const Candidate &candidate = Candidates[c];
    if (countFitting(c, unit, 1) == 0 ||
        (!mayUseHeadroom(unit) && EmptyBeyondHeadroom <= 0 &&
         isEmpty(candidate)))
      continue;
    const bool awayFromData =
        !spec.DataRack.empty() && candidate.View->State.Rack != spec.DataRack;
    const Score score{crashRisk(candidate, unit),
                      awayFromData,
                      prefersFastWorkers(unit) && candidate.LastRunFailed,
                      speedCost(candidate, unit),
                      candidate.Free.Accelerators,
                      candidate.Free.MilliCores};
    if (!best || score < best->first)
      best = {score, c};
  }
  if (!best)
    return std::nullopt;
  return best->second;
}

// Starts the tasks that fit and leaves the others in unit. The tasks have the
// same requirements: if one of them finds no candidate, none of the remaining
// ones does.
void Planner::placeTasks(PlacementUnit &unit) {
  size_t started = 0;
  for (int index : unit.Tasks) {
    const std::optional<size_t> candidate = findBestCandidate(unit);
    if (!candidate || !mayStart(unit, 1))
      break;
    startTask(unit, index, *candidate);
    ++started;
    --unit.RequiredConcurrency;
  }
  unit.Tasks.erase(unit.Tasks.begin(),
                   unit.Tasks.begin() + static_cast<std::ptrdiff_t>(started));
  if (started > 0)
    refreshRunningUnits(*unit.Owner, unit.Occurrence, unit.Step);
}

// Obtains capacity for the tasks of unit that could not be placed. For work of
// priority 0, others may be stopped; otherwise, or if that is not possible or
// not worthwhile, reserves capacity that becomes free.
void Planner::handleBlockedUnit(PlacementUnit &unit) {
  // The unit may become startable without an event, for example when the
  // quarantine of a worker ends.
  Scheduler.RetryOnTick = true;
  recordWait(unit);
  if (unit.mayStopOthers() && secureCapacity(unit))
    return;
  // Tasks that start one by one need capacity for the next one only.
  if (!unit.spec().Gang)
    unit.Tasks.resize(1);
  reserveEarliestCapacity(unit);
}

} // namespace oriolebay::jobs
