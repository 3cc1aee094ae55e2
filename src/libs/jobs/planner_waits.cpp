// Why a unit that could not be placed has to wait. Nothing here changes what is
// decided.
#include "planner.h"

#include <algorithm>
#include <array>

namespace oriolebay::jobs {

namespace {

/// Bound on the workers that are looked at for reasons in one survey. Larger
/// sites spread the waiting units over several surveys.
constexpr size_t MaxWorkerVisits = 20'000;

/// Reasons that name one thing that keeps a unit off workers that have free
/// capacity, in the order in which they are looked for.
constexpr std::array SingleConditions = {
    WaitReason::Reserved,       WaitReason::SuspectIsolation,
    WaitReason::SlowWorkers,    WaitReason::Avoids,
    WaitReason::MaxPerWorker,   WaitReason::Quarantined,
    WaitReason::UnexpectedRuns, WaitReason::LateStops,
    WaitReason::Unreachable,    WaitReason::Silent,
    WaitReason::Draining};

WaitReason reasonOf(WorkerCondition condition) {
  switch (condition) {
  case WorkerCondition::Draining:
    return WaitReason::Draining;
  case WorkerCondition::Cordoned:
    return WaitReason::Cordoned;
  case WorkerCondition::Unreachable:
    return WaitReason::Unreachable;
  case WorkerCondition::LateStops:
    return WaitReason::LateStops;
  case WorkerCondition::UnexpectedRuns:
    return WaitReason::UnexpectedRuns;
  case WorkerCondition::Silent:
    return WaitReason::Silent;
  case WorkerCondition::Quarantined:
    return WaitReason::Quarantined;
  case WorkerCondition::Usable:
    break;
  }
  return WaitReason::NoCapacity;
}

/// Time by which the worker is not in this condition any more.
absl::Time endOf(WaitReason reason, const WorkerView &view) {
  switch (reason) {
  case WaitReason::Quarantined:
    return view.QuarantinedUntil;
  case WaitReason::LateStops: {
    absl::Time end = absl::InfinitePast();
    for (const auto &[run, stop] : view.LateStops)
      end = std::max(end, stop.NeededUntil);
    return end;
  }
  case WaitReason::Unreachable:
  case WaitReason::Silent:
    return view.LostAt;
  default:
    return absl::InfiniteFuture();
  }
}

} // namespace

/// How many tasks of a unit the workers of a domain can hold.
struct Planner::DomainFit {
  std::string_view Rack;
  /// That many could be started now.
  int64_t Now = 0;
  /// That many more would fit into the free capacity of workers that the unit
  /// does not get for this reason.
  std::array<int64_t, WaitReasonCount> Behind = {};
  /// That many would fit if the usable workers, or all, were empty.
  int64_t UsableIfEmpty = 0;
  int64_t KnownIfEmpty = 0;
  int64_t UsableWorkers = 0;
  int64_t Workers = 0;
  /// Time by which no worker is unusable any more.
  absl::Time AllUsableBy = absl::InfinitePast();

  int64_t behind(WaitReason reason) const {
    return Behind[static_cast<size_t>(reason)];
  }
  int64_t withAllConditionsEnded() const {
    int64_t sum = Now;
    for (WaitReason reason : SingleConditions)
      sum += behind(reason);
    return sum;
  }
};

// Looks for the reason when the step begins to wait, and again in surveys.
void Planner::recordWait(const PlacementUnit &unit) {
  ++BlockedUnitCount;
  const auto &known = unit.Owner->Waits.Steps;
  auto it = known.find({unit.Occurrence, unit.Step});
  if (it != known.end() && !isReasonDue(it->second))
    return;
  Scheduler.recordBlocked(
      *unit.Owner, unit.taskId(unit.Tasks.front()),
      {waitCause(unit), static_cast<int64_t>(unit.Tasks.size())},
      static_cast<int64_t>(Candidates.size()), Now);
}

bool Planner::isReasonDue(const StepWait &wait) const {
  if (wait.Blocked.empty())
    return true;
  if (!Scheduler.isWaitSurveyDue(Now))
    return false;
  const size_t workers =
      std::max<size_t>(1, Scheduler.Workers.workers().size());
  const size_t perSurvey = std::max<size_t>(1, MaxWorkerVisits / workers);
  const auto rounds =
      static_cast<int64_t>(Scheduler.WaitSurveys.BlockedUnits / perSurvey + 1);
  return (wait.Number + Scheduler.WaitSurveys.Count) % rounds == 0;
}

const std::vector<Planner::UnusableWorker> &Planner::unusableWorkers() const {
  if (CachedUnusableWorkers)
    return *CachedUnusableWorkers;
  std::vector<UnusableWorker> &unusable = CachedUnusableWorkers.emplace();
  for (const auto &[incarnation, view] : Scheduler.Workers.workers()) {
    const WorkerCondition condition =
        Scheduler.Workers.isCordoned(view)
            ? WorkerCondition::Cordoned
            : Scheduler.Workers.conditionOf(view, Now);
    if (condition != WorkerCondition::Usable)
      unusable.push_back({&view, reasonOf(condition)});
  }
  return unusable;
}

bool Planner::isPlacedByRack(const PlacementUnit &unit) const {
  return unit.spec().Gang && &domainsFor(unit) == &RackDomains;
}

// The fits of the domains that unit can be placed in: each rack, or the site.
// Workers without the service or the label do not count.
std::vector<Planner::DomainFit>
Planner::domainFits(const PlacementUnit &unit) const {
  const bool byRack = isPlacedByRack(unit);
  const std::string &service = Scheduler.serviceOf(*unit.Owner);
  const std::string &label = unit.spec().NeedsLabel;
  std::vector<DomainFit> fits;
  std::map<std::string_view, size_t> indexOf;
  const auto fitOf = [&](const WorkerView &view) -> DomainFit * {
    if (view.State.Service != service || !view.hasLabel(label))
      return nullptr;
    if (!byRack && !fits.empty())
      return &fits.front();
    const std::string_view rack = byRack ? view.State.Rack : std::string_view();
    auto [it, added] = indexOf.emplace(rack, fits.size());
    if (added)
      fits.push_back({rack});
    return &fits[it->second];
  };
  for (size_t c = 0; c < Candidates.size(); ++c)
    if (DomainFit *fit = fitOf(*Candidates[c].View))
      addCandidate(c, unit, *fit);
  for (const UnusableWorker &worker : unusableWorkers())
    if (DomainFit *fit = fitOf(*worker.View))
      addUnusableWorker(worker, unit, *fit);
  return fits;
}

bool Planner::avoids(const PlacementUnit &unit, const WorkerView &view) {
  return unit.AvoidWorkers.count(view.State.Life) != 0 ||
         unit.AvoidHosts.count(view.Agent) != 0;
}

int64_t Planner::maxTasksPerWorker(const PlacementUnit &unit) {
  const auto tasks = static_cast<int64_t>(unit.Tasks.size());
  const int64_t limit = unit.spec().MaxPerWorker;
  return limit > 0 ? std::min(tasks, limit) : tasks;
}

void Planner::addCandidate(size_t candidateIndex, const PlacementUnit &unit,
                           DomainFit &fit) const {
  const Candidate &candidate = Candidates[candidateIndex];
  const core::Resources each = unit.spec().taskResources();
  const int64_t maxTasks = maxTasksPerWorker(unit);
  const int64_t ifEmpty =
      each.countIn(candidate.View->State.Capacity, maxTasks);
  const int64_t free = each.countIn(candidate.Free, maxTasks);
  const auto behind = [&fit](WaitReason reason) -> int64_t & {
    return fit.Behind[static_cast<size_t>(reason)];
  };
  ++fit.Workers;
  fit.KnownIfEmpty += ifEmpty;
  if (avoids(unit, *candidate.View)) {
    behind(WaitReason::Avoids) += free;
    fit.AllUsableBy = absl::InfiniteFuture();
    return;
  }
  if (isKeptOff(*candidate.View, unit)) {
    behind(WaitReason::Quarantined) += free;
    fit.AllUsableBy =
        std::max(fit.AllUsableBy,
                 candidate.View->quarantinedUntil(unit.Owner->Record.Spec.Id));
    return;
  }
  ++fit.UsableWorkers;
  fit.UsableIfEmpty += ifEmpty;
  if (!canStartOn(candidate, unit)) {
    behind(WaitReason::SuspectIsolation) += free;
    return;
  }
  if (isTooSlowFor(candidate, unit)) {
    behind(WaitReason::SlowWorkers) += free;
    return;
  }
  const int64_t allowed = std::min(free, unit.TaskLimits[candidateIndex]);
  const int64_t now = countFitting(candidateIndex, unit, maxTasks);
  fit.Now += now;
  behind(WaitReason::Reserved) += allowed - now;
  behind(WaitReason::MaxPerWorker) += free - allowed;
}

void Planner::addUnusableWorker(const UnusableWorker &worker,
                                const PlacementUnit &unit,
                                DomainFit &fit) const {
  const core::Resources each = unit.spec().taskResources();
  const int64_t maxTasks = maxTasksPerWorker(unit);
  ++fit.Workers;
  fit.KnownIfEmpty += each.countIn(worker.View->State.Capacity, maxTasks);
  if (avoids(unit, *worker.View)) {
    fit.AllUsableBy = absl::InfiniteFuture();
    return;
  }
  fit.Behind[static_cast<size_t>(worker.Reason)] +=
      each.countIn(worker.View->freeResources(), maxTasks);
  fit.AllUsableBy =
      std::max(fit.AllUsableBy, endOf(worker.Reason, *worker.View));
}

// Whether unit would fit with the free capacity of the cordoned workers,
// without regard to racks.
bool Planner::waitsForCordon(const PlacementUnit &unit,
                             const std::vector<DomainFit> &fits) {
  int64_t cordoned = 0;
  int64_t now = 0;
  for (const DomainFit &fit : fits) {
    cordoned += fit.behind(WaitReason::Cordoned);
    now += fit.Now;
  }
  return cordoned > 0 &&
         cordoned + now >= static_cast<int64_t>(unit.Tasks.size());
}

WaitCause Planner::waitCause(const PlacementUnit &unit) const {
  if (unit.RequiredConcurrency <= 0)
    return {WaitReason::FollowsOwnTasks};
  const std::vector<DomainFit> fits = domainFits(unit);
  // The tasks of a gang start together, others one by one.
  const auto need =
      unit.spec().Gang ? static_cast<int64_t>(unit.Tasks.size()) : int64_t{1};
  const auto fitsAnywhere = [&](auto tasks) {
    return std::any_of(fits.begin(), fits.end(), [&](const DomainFit &fit) {
      return tasks(fit) >= need;
    });
  };
  const bool fitsUsable =
      fitsAnywhere([](const DomainFit &f) { return f.UsableIfEmpty; });
  if (waitsForCordon(unit, fits))
    return {WaitReason::Cordoned};
  if (!fitsUsable && !Scheduler.isFleetKnown(Now))
    return {WaitReason::FleetUnknown,
            Scheduler.ElectedAt + Scheduler.Policy.FleetDiscoveryTime};
  if (fits.empty())
    return {WaitReason::NoEligibleWorker};
  if (!fitsAnywhere([](const DomainFit &f) { return f.KnownIfEmpty; }))
    return {WaitReason::ExceedsCapacity};
  if (!fitsUsable && isPlacedByRack(unit))
    return rackCause(unit, fits);
  if (!mayStart(unit, static_cast<size_t>(need)))
    return {WaitReason::TooManyRunning};
  if (fitsAnywhere([](const DomainFit &f) { return f.Now; }))
    return {WaitReason::Headroom};
  for (WaitReason reason : SingleConditions)
    if (fitsAnywhere([&](const DomainFit &f) {
          return f.behind(reason) > 0 ? f.Now + f.behind(reason) : 0;
        }))
      return {reason, earliestEnd(reason, unit)};
  if (fitsAnywhere(
          [](const DomainFit &f) { return f.withAllConditionsEnded(); }))
    return {WaitReason::SeveralConditions};
  return {fitsUsable ? WaitReason::NoCapacity
                     : WaitReason::TooFewUsableWorkers};
}

// Names the rack that lacks the least of those that could hold unit.
WaitCause Planner::rackCause(const PlacementUnit &unit,
                             const std::vector<DomainFit> &fits) const {
  const auto n = static_cast<int64_t>(unit.Tasks.size());
  const DomainFit *best = nullptr;
  for (const DomainFit &fit : fits)
    if (fit.KnownIfEmpty >= n &&
        (best == nullptr || fit.UsableIfEmpty > best->UsableIfEmpty))
      best = &fit;
  return {WaitReason::RackUnusable,
          best->AllUsableBy == absl::InfinitePast() ? absl::InfiniteFuture()
                                                    : best->AllUsableBy,
          "",
          std::string(best->Rack),
          best->UsableWorkers,
          best->Workers};
}

absl::Time Planner::earliestEnd(WaitReason reason,
                                const PlacementUnit &unit) const {
  absl::Time earliest = absl::InfiniteFuture();
  for (const UnusableWorker &worker : unusableWorkers())
    if (worker.Reason == reason && isEligible(*worker.View, unit))
      earliest = std::min(earliest, endOf(reason, *worker.View));
  if (reason != WaitReason::Quarantined)
    return earliest;
  for (const Candidate &candidate : Candidates)
    if (isEligible(*candidate.View, unit) && isKeptOff(*candidate.View, unit))
      earliest = std::min(earliest, candidate.View->quarantinedUntil(
                                        unit.Owner->Record.Spec.Id));
  return earliest;
}

} // namespace oriolebay::jobs
