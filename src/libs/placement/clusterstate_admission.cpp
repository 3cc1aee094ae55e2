#include "clusterstate.h"

#include <algorithm>
#include <tuple>

namespace oriolebay::placement {

using core::JobClass;
using core::NotRunReason;

namespace {
// How long a lost worker still counts as part of the site.
const absl::Duration LostWorkerRetention = absl::Hours(2);
} // namespace

std::optional<Refusal>
ClusterState::refusalIfNeverFits(const core::JobRequest &job,
                                 const core::Profile &profile,
                                 absl::Time now) const {
  const core::Shape &shape = job.GangShape;
  int siteMembers = 0;
  int siteAccelerators = 0;
  auto count = [&](const core::WorkerInfo &info) {
    siteMembers += info.Accelerators / shape.AcceleratorsPerMember;
    siteAccelerators += info.Accelerators;
  };
  for (const auto &[id, w] : Workers)
    count(w.Info);
  for (const auto &[id, lost] : LostWorkers)
    if (now - lost.second < LostWorkerRetention)
      count(lost.first);
  if (siteMembers < shape.Members)
    return Refusal{NotRunReason::CanNeverFit,
                   "the site has no room for this gang even when empty", 0};
  if (shape.powerWatts() > powerCapWatts())
    return Refusal{NotRunReason::CanNeverFit,
                   "the gang alone draws more than the site's power cap", 0};
  int guaranteedTotal = 0;
  for (const auto &[name, p] : Profiles)
    for (const core::Guarantee &g : p.Guarantees)
      guaranteedTotal += g.Accelerators;
  const int ownGuarantee = profile.guaranteedAccelerators(job.Organisation);
  if (!job.Idempotent &&
      shape.accelerators() >
          ownGuarantee + std::max(0, siteAccelerators - guaranteedTotal))
    return Refusal{NotRunReason::CanNeverFit,
                   "a non-idempotent gang cannot borrow guaranteed room, and "
                   "this one is larger than the organisation's guarantee plus "
                   "the room nobody is guaranteed",
                   0};
  return std::nullopt;
}

int64_t ClusterState::expectedWatts(const core::JobRequest &job) const {
  const int64_t declared = job.GangShape.powerWatts();
  auto it = OverdrawRatios.find(job.Organisation);
  if (it == OverdrawRatios.end() || it->second <= 1.0)
    return declared;
  // Charging more than the cap would lock an organisation out permanently. A
  // gang whose declared power is within the cap can still run alone.
  return std::min(
      std::max(declared, powerCapWatts()),
      static_cast<int64_t>(static_cast<double>(declared) * it->second));
}

int64_t
ClusterState::committedWatts(const std::set<RunId> &excludedRuns) const {
  int64_t watts = 0;
  for (const auto &[run, gang] : Gangs)
    if (excludedRuns.count(run) == 0)
      watts += gang.chargedWatts();
  return watts;
}

bool ClusterState::isWithinGuarantee(
    const OrganisationKey &organisation) const {
  int usedAccelerators = 0;
  for (const auto &[run, gang] : Gangs)
    if (organisationOf(gang.Job) == organisation)
      usedAccelerators += gang.Job.GangShape.accelerators();
  return usedAccelerators <= guaranteedTo(organisation);
}

// Returns the gangs that can be stopped for job, the one with the smallest loss
// first: gangs of organisations beyond their guarantee first, then batch before
// urgent, then the latest started. A job that uses its organisation's slots can
// preempt any gang that borrows; an urgent job that borrows can preempt only
// batch work that borrows.
std::vector<const Allocation *>
ClusterState::preemptionCandidates(const core::JobRequest &job,
                                   bool usesSlots) const {
  std::vector<const Allocation *> preemptible;
  for (const auto &[run, gang] : Gangs)
    if (!gang.hasOwnCapacity() && gang.Job.Idempotent && !gang.Stopping &&
        (usesSlots || gang.Job.Class == JobClass::Batch))
      preemptible.push_back(&gang);
  std::map<OrganisationKey, bool> withinGuaranteeOf;
  for (const Allocation *gang : preemptible)
    withinGuaranteeOf.try_emplace(organisationOf(gang->Job), false);
  for (auto &[organisation, isWithin] : withinGuaranteeOf)
    isWithin = isWithinGuarantee(organisation);
  auto rank = [&](const Allocation *g) {
    return std::make_tuple(withinGuaranteeOf[organisationOf(g->Job)],
                           g->Job.Class == JobClass::Urgent, -g->Order);
  };
  std::sort(preemptible.begin(), preemptible.end(),
            [&](const Allocation *a, const Allocation *b) {
              return rank(a) < rank(b);
            });
  return preemptible;
}

// For an urgent job whose organisation fills its guarantee with its own batch
// work: returns the batch runs to stop, the latest first, so that
// neededAccelerators become free. Returns nothing if there are not enough.
std::optional<std::set<RunId>>
ClusterState::ownBatchToPreempt(const core::JobRequest &job,
                                int neededAccelerators) const {
  std::vector<const Allocation *> ownGangs;
  for (const auto &[run, gang] : Gangs)
    if (gang.hasOwnCapacity() && gang.Job.Idempotent && !gang.Stopping &&
        gang.Job.Class == JobClass::Batch &&
        organisationOf(gang.Job) == organisationOf(job))
      ownGangs.push_back(&gang);
  std::sort(ownGangs.begin(), ownGangs.end(),
            [](const Allocation *a, const Allocation *b) {
              return a->Order > b->Order;
            });
  std::set<RunId> victimRuns;
  for (const Allocation *gang : ownGangs) {
    if (neededAccelerators <= 0)
      break;
    victimRuns.insert(gang->Run);
    neededAccelerators -= gang->Job.GangShape.accelerators();
  }
  if (neededAccelerators > 0)
    return std::nullopt;
  return victimRuns;
}

// Returns ownVictims and those of the candidates that use accelerators which
// the job needs on the workers chosen for it.
std::set<RunId> ClusterState::selectVictims(
    const core::JobRequest &job, const Assignment &workers,
    const std::set<RunId> &ownVictims,
    const std::vector<const Allocation *> &candidates) const {
  std::map<std::string, int> missingAccelerators;
  for (const std::string &w : workers)
    missingAccelerators[w] += job.GangShape.AcceleratorsPerMember;
  for (auto &[id, n] : missingAccelerators) {
    const Worker &w = Workers.at(id);
    n -= w.Info.Accelerators - w.Used;
  }
  std::set<RunId> victimRuns = ownVictims;
  auto countAsFreed = [&](const Allocation &gang) {
    for (const std::string &w : gang.Workers) {
      auto it = missingAccelerators.find(w);
      if (it != missingAccelerators.end())
        it->second -= gang.Job.GangShape.AcceleratorsPerMember;
    }
  };
  for (const RunId &run : ownVictims)
    if (const Allocation *gang = allocation(run))
      countAsFreed(*gang);
  for (const Allocation *gang : candidates) {
    const bool needed = std::any_of(
        gang->Workers.begin(), gang->Workers.end(), [&](const std::string &w) {
          auto it = missingAccelerators.find(w);
          return it != missingAccelerators.end() && it->second > 0;
        });
    if (needed) {
      victimRuns.insert(gang->Run);
      countAsFreed(*gang);
    }
  }
  return victimRuns;
}

// Places the job in its organisation's own slots. Unused slots are moved to
// workers with free capacity if that helps.
std::optional<Assignment>
ClusterState::placeInSlots(const core::JobRequest &job,
                           const std::vector<FreeWorker> &available,
                           const std::set<RunId> &excludedRuns) const {
  for (bool canMoveSlots : {true, false}) {
    const auto freeInSlots =
        freeCapacityInSlots(job, excludedRuns, canMoveSlots);
    std::vector<FreeWorker> availableInSlots = available;
    for (FreeWorker &w : availableInSlots) {
      auto it = freeInSlots.find(w.Id);
      w.FreeAccelerators = std::min(w.FreeAccelerators,
                                    it == freeInSlots.end() ? 0 : it->second);
    }
    auto workers = Place(availableInSlots, job.GangShape);
    // If slots can move, the plan is checked. The slots of runs that are yet to
    // be stopped count as used in that check, so it may fail; the second
    // attempt does not move slots, and their free capacity is exact without a
    // check.
    if (workers &&
        (!canMoveSlots || planSlots(organisationOf(job), *workers,
                                    job.GangShape.AcceleratorsPerMember)))
      return workers;
  }
  return std::nullopt;
}

// Plans to place the job on accelerators that become free when other gangs are
// stopped, ownVictims in any case. Returns nothing if the gang does not fit
// even then, or not under the power cap.
std::optional<ClusterState::PlacementPlan> ClusterState::planPreemption(
    const core::JobRequest &job, bool usesSlots,
    const std::set<RunId> &ownVictims, absl::Time now,
    const std::set<std::string> &avoidedWorkers) const {
  const std::vector<const Allocation *> candidates =
      preemptionCandidates(job, usesSlots);
  // The accelerators of gangs that are being stopped are free soon. If another
  // gang already waits for them, they count as used by that gang.
  std::set<RunId> stoppingRuns;
  for (const auto &[run, gang] : Gangs)
    if (gang.Stopping)
      stoppingRuns.insert(run);
  std::optional<Assignment> assignment;
  // Plan as if ever more of the candidates had ended, until the whole gang
  // fits. Doubling their number keeps the number of placement attempts
  // logarithmic in the number of candidates.
  for (size_t n = 0;; n = n == 0 ? 1 : n * 2) {
    std::set<RunId> excludedRuns = ownVictims;
    excludedRuns.insert(stoppingRuns.begin(), stoppingRuns.end());
    for (size_t i = 0; i < std::min(n, candidates.size()); ++i)
      excludedRuns.insert(candidates[i]->Run);
    const auto available =
        availableWorkers(now, job.Idempotent, avoidedWorkers, excludedRuns);
    assignment = usesSlots ? placeInSlots(job, available, excludedRuns)
                           : Place(available, job.GangShape);
    if (assignment || n >= candidates.size())
      break;
  }
  if (!assignment)
    return std::nullopt;
  std::vector<const Allocation *> stopOrder;
  stopOrder.reserve(stoppingRuns.size() + candidates.size());
  for (const RunId &run : stoppingRuns)
    stopOrder.push_back(allocation(run));
  stopOrder.insert(stopOrder.end(), candidates.begin(), candidates.end());
  PlacementPlan plan{*assignment,
                     selectVictims(job, *assignment, ownVictims, stopOrder)};
  // If the power cap requires it, wait for the end of further gangs: those that
  // are stopping already, and those of organisations beyond their guarantee.
  const int64_t neededWatts = expectedWatts(job);
  for (const Allocation *gang : stopOrder) {
    if (committedWatts(plan.Victims) + neededWatts <= powerCapWatts())
      break;
    if (gang->Stopping || !isWithinGuarantee(organisationOf(gang->Job)))
      plan.Victims.insert(gang->Run);
  }
  if (committedWatts(plan.Victims) + neededWatts > powerCapWatts())
    return std::nullopt;
  return plan;
}

// Records the gang on the planned workers and assigns slots or shared capacity
// to it. If slots cannot be assigned yet, an idempotent gang counts as
// borrowing and a non-idempotent one uses shared capacity.
const Allocation &ClusterState::commitPlan(const RunId &run,
                                           const core::JobRequest &job,
                                           PlacementPlan plan,
                                           CapacitySource source) {
  Allocation gang;
  gang.Run = run;
  gang.Job = job;
  gang.Workers = std::move(plan.Workers);
  gang.Slots.assign(gang.Workers.size(), Allocation::Borrowed);
  gang.WaitsFor = std::move(plan.Victims);
  gang.ExpectedWatts = expectedWatts(job);
  gang.Order = NextOrder++;
  for (const std::string &w : gang.Workers)
    Workers.at(w).Used += job.GangShape.AcceleratorsPerMember;
  // The organisation's own batch work gives up its slots to its urgent gang
  // now, but uses the accelerators until it has stopped.
  for (const RunId &victim : gang.WaitsFor)
    releaseSlots(Gangs.at(victim));
  Allocation &stored = Gangs[run] = std::move(gang);
  if (source == CapacitySource::SharedCapacity)
    assignSharedCapacity(stored);
  if (source == CapacitySource::Slots) {
    if (auto slots = planSlots(organisationOf(job), stored.Workers,
                               job.GangShape.AcceleratorsPerMember))
      assignSlots(stored, *slots);
    else if (!job.Idempotent)
      assignSharedCapacity(stored);
  }
  return stored;
}

std::variant<Allocation, Refusal>
ClusterState::admit(const RunId &run, const core::JobRequest &job,
                    absl::Time now,
                    const std::set<std::string> &avoidedWorkers) {
  const core::Profile *profileInForce = profile(job.Profile);
  if (profileInForce == nullptr)
    return Refusal{NotRunReason::UnknownProfile,
                   "no accepted profile named '" + job.Profile + "'",
                   RetryAfterMs};
  if (auto refusal = refusalIfNeverFits(job, *profileInForce, now))
    return *refusal;
  updateSlotLayout();

  const core::Shape &shape = job.GangShape;
  const int guarantee = guaranteedTo(organisationOf(job));
  const int overGuarantee =
      usedInSlots(organisationOf(job)) + shape.accelerators() - guarantee;
  const bool powerFits =
      committedWatts({}) + expectedWatts(job) <= powerCapWatts();
  const std::vector<FreeWorker> available =
      availableWorkers(now, job.Idempotent, avoidedWorkers, {});
  const std::optional<Assignment> unrestricted = Place(available, shape);
  if (powerFits && overGuarantee <= 0) {
    if (unrestricted && planSlots(organisationOf(job), *unrestricted,
                                  shape.AcceleratorsPerMember))
      return commitPlan(run, job, {*unrestricted, {}}, CapacitySource::Slots);
    if (auto chosenWorkers = placeInSlots(job, available, {}))
      return commitPlan(run, job, {*chosenWorkers, {}}, CapacitySource::Slots);
  }
  if (powerFits && unrestricted && job.Idempotent)
    return commitPlan(run, job, {*unrestricted, {}}, CapacitySource::Borrowed);
  if (powerFits && unrestricted) {
    std::vector<FreeWorker> sharedOnly = available;
    for (FreeWorker &w : sharedOnly)
      w.FreeAccelerators =
          std::clamp(Workers.at(w.Id).unreserved(), 0, w.FreeAccelerators);
    if (auto chosenWorkers = Place(sharedOnly, shape))
      return commitPlan(run, job, {*chosenWorkers, {}},
                        CapacitySource::SharedCapacity);
  }

  // There is not enough free capacity. Reclaim borrowed capacity, and let
  // urgent work preempt batch work of its own organisation and of borrowers.
  std::set<RunId> ownVictims;
  bool canClaimSlots = overGuarantee <= 0;
  if (!canClaimSlots && job.Class == JobClass::Urgent &&
      shape.accelerators() <= guarantee)
    if (auto ownBatch = ownBatchToPreempt(job, overGuarantee)) {
      ownVictims = *ownBatch;
      canClaimSlots = true;
    }
  if (canClaimSlots)
    if (auto plan = planPreemption(job, true, ownVictims, now, avoidedWorkers))
      return commitPlan(run, job, std::move(*plan), CapacitySource::Slots);
  if (job.Class == JobClass::Urgent && job.Idempotent)
    if (auto plan = planPreemption(job, false, {}, now, avoidedWorkers))
      return commitPlan(run, job, std::move(*plan), CapacitySource::Borrowed);

  if (!unrestricted)
    return Refusal{NotRunReason::NoCapacity,
                   "no room for the whole gang at present", RetryAfterMs};
  if (!powerFits)
    return Refusal{NotRunReason::PowerCap,
                   "running work leaves too little of the power cap",
                   RetryAfterMs};
  return Refusal{NotRunReason::OverGuarantee,
                 "the free room is kept for other organisations' guarantees "
                 "and a non-idempotent gang cannot be stopped to give it back",
                 RetryAfterMs};
}

std::vector<RunId> ClusterState::shedForPower() const {
  int64_t watts = 0;
  for (const auto &[run, gang] : Gangs)
    if (gang.WaitsFor.empty() && !gang.Stopping)
      watts += gang.chargedWatts();
  if (watts <= powerCapWatts())
    return {};
  std::vector<const Allocation *> stopOrder;
  for (const auto &[run, gang] : Gangs)
    if (gang.WaitsFor.empty() && !gang.Stopping)
      stopOrder.push_back(&gang);
  // Stop idempotent gangs before those that cannot be started again, then gangs
  // that borrow before those in slots or shared capacity, then batch before
  // urgent, and then the latest started first.
  auto rank = [](const Allocation *g) {
    return (g->Job.Idempotent ? 0 : 4) + (g->hasOwnCapacity() ? 2 : 0) +
           (g->Job.Class == JobClass::Urgent ? 1 : 0);
  };
  std::sort(stopOrder.begin(), stopOrder.end(),
            [&](const Allocation *a, const Allocation *b) {
              return rank(a) != rank(b) ? rank(a) < rank(b)
                                        : a->Order > b->Order;
            });
  std::vector<RunId> victimRuns;
  for (const Allocation *gang : stopOrder) {
    if (watts <= powerCapWatts())
      break;
    watts -= gang->chargedWatts();
    victimRuns.push_back(gang->Run);
  }
  return victimRuns;
}

} // namespace oriolebay::placement
