#include "clusterstate.h"

#include <algorithm>

// The slots of the guarantees: which worker reserves capacity for which
// guaranteed member. The slots are kept and changed in small steps, instead of
// being recomputed from the running gangs, so that the end of one gang can
// never take capacity away from another organisation (docs/PLACEMENT.md
// explains the alternatives).
namespace oriolebay::placement {

namespace {
std::string rackOf(const core::WorkerInfo &info) {
  return info.FailureDomain + "/" + info.Rack;
}
} // namespace

int ClusterState::guaranteeDeficit() {
  updateSlotLayout();
  int deficit = 0;
  for (const auto &[id, slot] : Slots)
    if (slot.WorkerId.empty())
      deficit += slot.Width;
  return deficit;
}

int ClusterState::usedInSlots(const OrganisationKey &organisation) const {
  int n = 0;
  auto it = SlotsByOrganisation.find(organisation);
  if (it != SlotsByOrganisation.end())
    for (int64_t id : it->second)
      n += Slots.at(id).Used;
  return n;
}

// Adapts the slots to the profiles, workers and gangs if one of these has
// changed.
void ClusterState::updateSlotLayout() {
  if (!std::exchange(SlotLayoutDirty, false))
    return;
  std::map<OrganisationKey, const core::Guarantee *> guarantees;
  for (const auto &[organisation, ids] : SlotsByOrganisation)
    guarantees[organisation] = nullptr;
  for (const auto &[name, p] : Profiles)
    for (const core::Guarantee &g : p.Guarantees)
      guarantees[{name, g.Organisation}] = &g;
  for (const auto &[organisation, guarantee] : guarantees)
    syncSlots(organisation, guarantee);

  std::vector<int64_t> unplaced;
  for (auto &[id, slot] : Slots) {
    auto worker = Workers.find(slot.WorkerId);
    const bool isGone = worker == Workers.end();
    if (isGone || (worker->second.Draining && slot.Used == 0))
      moveSlot(id, "");
    if (slot.WorkerId.empty())
      unplaced.push_back(id);
  }
  // First assign slots to running gangs: after a change of leader or of the
  // guarantee a gang may already run on a worker where its slot can be.
  for (const auto &[organisation, ids] : SlotsByOrganisation)
    assignFreeSlots(organisation);
  std::erase_if(unplaced,
                [&](int64_t id) { return !Slots.at(id).WorkerId.empty(); });
  placeSlots(std::move(unplaced));
}

// Creates and removes slots so that they match the guarantee (none: nullptr).
// The guarantee is split into slots of the width of a whole member; the
// remainder becomes slots of one accelerator each.
void ClusterState::syncSlots(const OrganisationKey &organisation,
                             const core::Guarantee *guarantee) {
  std::map<int, int> missingByWidth;
  if (guarantee != nullptr) {
    int width = guarantee->AcceleratorsPerMember;
    if (width <= 0) {
      for (const auto &[id, w] : Workers)
        width = std::max(width, w.Info.Accelerators);
      width = std::clamp(width, 1, std::max(1, guarantee->Accelerators));
    }
    missingByWidth[width] += guarantee->Accelerators / width;
    missingByWidth[1] += guarantee->Accelerators % width;
  }
  std::vector<int64_t> ids = SlotsByOrganisation[organisation];
  // Slots in use come first, so that unused ones are removed.
  std::sort(ids.begin(), ids.end(), [&](int64_t a, int64_t b) {
    return std::make_pair(Slots.at(a).Used, a) >
           std::make_pair(Slots.at(b).Used, b);
  });
  for (int64_t id : ids)
    if (--missingByWidth[Slots.at(id).Width] < 0)
      removeSlot(id);
  for (const auto &[width, n] : missingByWidth)
    for (int i = 0; i < n; ++i) {
      const int64_t id = NextSlotId++;
      Slots[id] = Slot{organisation, width, 0, {}};
      SlotsByOrganisation[organisation].push_back(id);
    }
}

void ClusterState::removeSlot(int64_t id) {
  for (auto &[run, gang] : Gangs) {
    if (std::count(gang.Slots.begin(), gang.Slots.end(), id) == 0)
      continue;
    releaseSlots(gang);
    // A non-idempotent gang must not be stopped, so it continues in shared
    // capacity.
    if (!gang.Job.Idempotent)
      assignSharedCapacity(gang);
  }
  moveSlot(id, "");
  std::erase(SlotsByOrganisation[Slots.at(id).Owner], id);
  Slots.erase(id);
}

// Moves a slot to another worker, or to none if workerId is empty.
void ClusterState::moveSlot(int64_t id, const std::string &workerId) {
  Slot &slot = Slots.at(id);
  auto from = Workers.find(slot.WorkerId);
  if (from != Workers.end()) {
    from->second.Reserved -= slot.Width;
    std::erase(from->second.SlotIds, id);
  }
  auto to = Workers.find(workerId);
  if (to != Workers.end()) {
    to->second.Reserved += slot.Width;
    to->second.SlotIds.push_back(id);
  }
  slot.WorkerId = workerId;
}

// Places slots that are on no worker, the widest first. A slot goes to a rack
// that holds other slots of its organisation if there is enough unreserved
// capacity, since the organisation's gangs need adjacent accelerators; else to
// the fullest worker that can hold it.
void ClusterState::placeSlots(std::vector<int64_t> unplaced) {
  if (unplaced.empty())
    return;
  std::stable_sort(unplaced.begin(), unplaced.end(), [&](int64_t a, int64_t b) {
    return Slots.at(a).Width > Slots.at(b).Width;
  });
  std::map<int, std::set<std::string>> byUnreserved;
  absl::flat_hash_map<std::string, std::vector<std::string>> racks;
  for (const auto &[id, w] : Workers) {
    if (w.Draining)
      continue;
    byUnreserved[w.unreserved()].insert(id);
    racks[rackOf(w.Info)].push_back(id);
  }
  for (int64_t id : unplaced) {
    const Slot &slot = Slots.at(id);
    std::string bestWorker;
    for (int64_t other : SlotsByOrganisation[slot.Owner]) {
      auto neighbour = Workers.find(Slots.at(other).WorkerId);
      if (neighbour == Workers.end())
        continue;
      for (const std::string &w : racks[rackOf(neighbour->second.Info)])
        if (Workers.at(w).unreserved() >= slot.Width &&
            (bestWorker.empty() ||
             Workers.at(w).unreserved() < Workers.at(bestWorker).unreserved()))
          bestWorker = w;
      if (!bestWorker.empty())
        break;
    }
    for (auto it = byUnreserved.lower_bound(slot.Width);
         bestWorker.empty() && it != byUnreserved.end(); ++it)
      if (!it->second.empty())
        bestWorker = *it->second.begin();
    if (bestWorker.empty())
      continue;
    const Worker &w = Workers.at(bestWorker);
    byUnreserved[w.unreserved()].erase(bestWorker);
    moveSlot(id, bestWorker);
    byUnreserved[w.unreserved()].insert(bestWorker);
  }
}

// Returns an unused slot of another organisation on worker that can be
// exchanged for a slot of the given width, or zero if there is none.
int64_t ClusterState::slotToExchange(const Worker &worker,
                                     const OrganisationKey &organisation,
                                     int width, const SlotPlan &plan) const {
  for (int64_t id : worker.SlotIds) {
    const Slot &slot = Slots.at(id);
    if (slot.Owner != organisation && slot.Used == 0 && slot.Width == width &&
        plan.Moves.count(id) == 0)
      return id;
  }
  return 0;
}

// Plans a slot for each member on its worker, of at least width free
// accelerators each. Prefers the slot on that worker with the least free width;
// otherwise moves an unused slot there, or exchanges it for another
// organisation's. Returns nothing if any member gets no slot.
std::optional<ClusterState::SlotPlan>
ClusterState::planSlots(const OrganisationKey &organisation,
                        const Assignment &workers, int width) const {
  auto ownSlots = SlotsByOrganisation.find(organisation);
  if (ownSlots == SlotsByOrganisation.end())
    return std::nullopt;
  SlotPlan plan;
  std::map<int64_t, int> plannedUse;
  std::map<std::string, int> movedIn;
  auto workerOf = [&](int64_t id) -> const std::string & {
    auto it = plan.Moves.find(id);
    return it == plan.Moves.end() ? Slots.at(id).WorkerId : it->second;
  };
  for (const std::string &worker : workers) {
    int64_t chosen = 0;
    int64_t movableSlot = 0;
    int64_t unusedSlot = 0;
    int chosenFree = 0;
    auto target = Workers.find(worker);
    if (target == Workers.end())
      return std::nullopt;
    const int unreservedLeft = target->second.unreserved() - movedIn[worker];
    for (int64_t id : ownSlots->second) {
      const Slot &slot = Slots.at(id);
      const int freeWidth = slot.Width - slot.Used - plannedUse[id];
      if (freeWidth < width)
        continue;
      if (workerOf(id) == worker) {
        if (chosen == 0 || freeWidth < chosenFree) {
          chosen = id;
          chosenFree = freeWidth;
        }
      } else if (freeWidth == slot.Width && plan.Moves.count(id) == 0) {
        unusedSlot = id;
        if (slot.Width <= unreservedLeft &&
            (movableSlot == 0 || slot.WorkerId.empty() ||
             slot.Width < Slots.at(movableSlot).Width))
          movableSlot = id;
      }
    }
    if (chosen == 0 && movableSlot == 0 && unusedSlot != 0 &&
        !Slots.at(unusedSlot).WorkerId.empty()) {
      const int64_t exchanged = slotToExchange(
          target->second, organisation, Slots.at(unusedSlot).Width, plan);
      if (exchanged != 0) {
        plan.Moves[exchanged] = Slots.at(unusedSlot).WorkerId;
        plan.Moves[unusedSlot] = worker;
        chosen = unusedSlot;
      }
    }
    if (chosen == 0 && movableSlot != 0) {
      // The capacity that the slot reserved before the move is not counted as
      // free. The plan is then independent of the order of its moves.
      plan.Moves[movableSlot] = worker;
      movedIn[worker] += Slots.at(movableSlot).Width;
      chosen = movableSlot;
    }
    if (chosen == 0)
      return std::nullopt;
    plannedUse[chosen] += width;
    plan.Slots.push_back(chosen);
  }
  return plan;
}

void ClusterState::assignSlots(Allocation &gang, const SlotPlan &plan) {
  for (const auto &[id, worker] : plan.Moves)
    moveSlot(id, worker);
  gang.Slots = plan.Slots;
  for (int64_t id : gang.Slots)
    Slots.at(id).Used += gang.Job.GangShape.AcceleratorsPerMember;
}

void ClusterState::assignSharedCapacity(Allocation &gang) {
  for (size_t m = 0; m < gang.Workers.size(); ++m) {
    gang.Slots[m] = Allocation::SharedCapacity;
    adjustUse(gang.Workers[m], 0, gang.Job.GangShape.AcceleratorsPerMember);
  }
}

void ClusterState::releaseSlot(Allocation &gang, size_t member) {
  const int width = gang.Job.GangShape.AcceleratorsPerMember;
  const int64_t id = std::exchange(gang.Slots[member], Allocation::Borrowed);
  if (id == Allocation::SharedCapacity) {
    adjustUse(gang.Workers[member], 0, -width);
    SlotLayoutDirty = true;
  } else if (id != Allocation::Borrowed) {
    Slots.at(id).Used -= width;
    auto it = Workers.find(Slots.at(id).WorkerId);
    SlotLayoutDirty =
        SlotLayoutDirty || it == Workers.end() || it->second.Draining;
  }
}

void ClusterState::releaseSlots(Allocation &gang) {
  for (size_t m = 0; m < gang.Slots.size(); ++m)
    releaseSlot(gang, m);
}

// Assigns free slots of the organisation to its oldest gangs that use none, on
// the workers where they run, up to the guarantee.
void ClusterState::assignFreeSlots(const OrganisationKey &organisation) {
  std::vector<Allocation *> ownGangs;
  for (auto &[run, gang] : Gangs)
    if (organisationOf(gang.Job) == organisation && !gang.Stopping &&
        std::none_of(gang.Slots.begin(), gang.Slots.end(),
                     [](int64_t s) { return s > 0; }))
      ownGangs.push_back(&gang);
  std::sort(ownGangs.begin(), ownGangs.end(),
            [](const Allocation *a, const Allocation *b) {
              return a->Order < b->Order;
            });
  for (Allocation *gang : ownGangs) {
    const core::Shape &shape = gang->Job.GangShape;
    if (usedInSlots(organisation) + shape.accelerators() >
        guaranteedTo(organisation))
      continue;
    const bool usesSharedCapacity = gang->hasOwnCapacity();
    if (usesSharedCapacity)
      releaseSlots(*gang);
    if (auto plan =
            planSlots(organisation, gang->Workers, shape.AcceleratorsPerMember))
      assignSlots(*gang, *plan);
    else if (usesSharedCapacity)
      assignSharedCapacity(*gang);
  }
}

// Returns for each worker the number of accelerators that job can use in its
// organisation's slots: the free part of the slots there, once excludedRuns
// have ended, and, if slots can move, the unreserved capacity to which unused
// slots could move.
absl::flat_hash_map<std::string, int>
ClusterState::freeCapacityInSlots(const core::JobRequest &job,
                                  const std::set<RunId> &excludedRuns,
                                  bool canMoveSlots) const {
  absl::flat_hash_map<std::string, int> freeCapacity;
  auto ownSlots = SlotsByOrganisation.find(organisationOf(job));
  if (ownSlots == SlotsByOrganisation.end())
    return freeCapacity;
  absl::flat_hash_map<int64_t, int> freed;
  for (const RunId &run : excludedRuns)
    if (const Allocation *gang = allocation(run))
      for (int64_t id : gang->Slots)
        freed[id] += gang->Job.GangShape.AcceleratorsPerMember;
  const int width = job.GangShape.AcceleratorsPerMember;
  int movableSlots = 0;
  int movableWidth = 0;
  for (int64_t id : ownSlots->second) {
    const Slot &slot = Slots.at(id);
    const int freeWidth = slot.Width - slot.Used + freed[id];
    // Only whole members fit in a slot: two half-free slots cannot hold one
    // member of full width.
    freeCapacity[slot.WorkerId] += freeWidth / width * width;
    if (freeWidth == slot.Width && slot.Width >= width) {
      ++movableSlots;
      movableWidth = std::max(movableWidth, slot.Width);
    }
  }
  freeCapacity.erase("");
  if (canMoveSlots && movableSlots > 0)
    for (const auto &[id, w] : Workers) {
      int placeableSlots = std::max(0, w.unreserved()) / movableWidth;
      for (int64_t otherSlot : w.SlotIds)
        if (Slots.at(otherSlot).Owner != organisationOf(job) &&
            Slots.at(otherSlot).Used == 0 &&
            Slots.at(otherSlot).Width == movableWidth)
          ++placeableSlots;
      placeableSlots = std::min(placeableSlots, movableSlots);
      freeCapacity[id] += placeableSlots * (movableWidth / width * width);
    }
  return freeCapacity;
}

} // namespace oriolebay::placement
