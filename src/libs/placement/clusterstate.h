#pragma once

#include "core/answer.h"
#include "core/job.h"
#include "core/profile.h"
#include "core/workerinfo.h"
#include "placer.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace oriolebay::placement {

/// Identifies one run of a gang. A gang that is stopped and started again gets
/// a new run id, so that late messages about an earlier run match no run.
using RunId = std::string;

/// A gang that uses accelerators: the worker of each member (empty once that
/// worker is lost) and the power that the gang is charged.
struct Allocation {
  RunId Run;
  core::JobRequest Job;
  Assignment Workers;
  /// For each member the id of the guarantee slot that it uses, or
  /// SharedCapacity, or Borrowed.
  std::vector<int64_t> Slots;
  /// A stop was requested. The gang's accelerators stay in use until it has
  /// ended.
  bool Stopping = false;
  /// Runs that must end before this gang is started.
  std::set<RunId> WaitsFor;
  /// The power expected from the job's declaration and the organisation's past
  /// overdraw, and the power measured, in watts.
  int64_t ExpectedWatts = 0;
  int64_t MeasuredWatts = 0;
  /// Ascending in the order of admission or adoption.
  int64_t Order = 0;

  /// Special values in Slots, which are not slot ids. A gang that borrows is
  /// stopped when the organisation that is guaranteed the capacity claims it. A
  /// gang in shared capacity, which is guaranteed to nobody, or in its
  /// organisation's slots is not stopped for another organisation. Idempotent
  /// batch work in slots can be stopped for an urgent gang of the same
  /// organisation.
  static constexpr int64_t Borrowed = 0;
  static constexpr int64_t SharedCapacity = -1;
  /// Whether at least one member uses a slot of the gang's organisation or
  /// capacity that is guaranteed to nobody. Such a gang is not preempted for
  /// another organisation's guarantee.
  bool hasOwnCapacity() const {
    return std::any_of(Slots.begin(), Slots.end(),
                       [](int64_t s) { return s != Borrowed; });
  }
  /// The power that the gang is charged against the power cap, in watts.
  int64_t chargedWatts() const {
    return std::max(ExpectedWatts, MeasuredWatts);
  }
  auto operator<=>(const Allocation &) const = default;
};

/// Why a job was not admitted, and after how many milliseconds a new attempt
/// makes sense (zero: never).
struct Refusal {
  core::NotRunReason Reason = core::NotRunReason::None;
  std::string Detail;
  int64_t RetryAfterMs = 0;
};

/// Number of consecutive task failures after which a worker is quarantined, and
/// the duration of its first quarantine. The failures are normally of different
/// gangs, because a gang avoids a worker that failed it. The duration doubles
/// with each further failure, up to the maximum.
struct QuarantinePolicy {
  int FailuresInARow = 3;
  absl::Duration InitialDuration = absl::Seconds(2);
  absl::Duration MaxDuration = absl::Seconds(60);
};

/// The state of the site from one scheduler's view: the workers, the gangs on
/// them, the use by each organisation, and the power committed. Owned by one
/// thread; not thread-safe. It keeps the rules of docs/PLACEMENT.md: a gang is
/// placed as a whole; the charged power of all gangs does not exceed the cap;
/// and each guaranteed member has a slot on one worker, which is used only by
/// its organisation's own gangs and by gangs that borrow.
class ClusterState {
public:
  ClusterState(Placer placer, int64_t retryAfterMs,
               QuarantinePolicy quarantine = {});

  /// Adds a worker or records that it is still alive. If the worker announces a
  /// new incarnation, returns the runs that had members on the earlier one:
  /// those members are gone, because an agent that restarts stops the remaining
  /// tasks before it announces itself.
  std::vector<RunId> upsertWorker(const core::WorkerInfo &info,
                                  int64_t incarnation, absl::Time now);
  /// Places no new work on the worker from now on, because it drains.
  void markDraining(const std::string &workerId);
  /// Marks workers without an announcement for longer than timeout as
  /// unresponsive, and returns the runs on those that were not marked before.
  /// An unresponsive worker gets no new work, but the tasks on it stay charged:
  /// it may be partitioned from this entry and still run them.
  std::vector<RunId> findUnresponsive(absl::Time now, absl::Duration timeout);
  /// Removes workers without an announcement for longer than lease, after which
  /// their tasks have certainly been stopped, and returns the runs that had
  /// members there.
  std::vector<RunId> expireWorkers(absl::Time now, absl::Duration lease);
  /// Records the result of a task on a worker, in order to quarantine workers
  /// that fail every task.
  void recordTaskEnd(const std::string &workerId, bool ok, absl::Time now);
  /// Records the measured power of all members of run, in watts.
  void recordUsage(const RunId &run, int64_t watts);

  /// Applies profile if it is newer than the current one of that name. Returns
  /// false if it is stale.
  bool applyProfile(const core::Profile &profile);
  const core::Profile *profile(const std::string &name) const;
  /// The site's power cap in watts: the smallest cap among the profiles in
  /// force.
  int64_t powerCapWatts() const;
  /// Charged power of all gangs that run or are being stopped, in watts.
  int64_t runningWatts() const;

  /// Places job under the given run id, or returns why it cannot be placed. If
  /// borrowed capacity must be reclaimed first, WaitsFor of the result is not
  /// empty: the caller stops those runs and starts the gang once release()
  /// returns its run id. Does not use workers in avoidedWorkers.
  std::variant<Allocation, Refusal>
  admit(const RunId &run, const core::JobRequest &job, absl::Time now,
        const std::set<std::string> &avoidedWorkers = {});
  /// Takes over a run that was placed by an earlier leader. It is charged as
  /// running on its workers, including those that have not announced themselves
  /// yet. A non-idempotent gang uses shared capacity and an idempotent one
  /// borrows, until slots of its organisation are assigned to it.
  void adopt(const RunId &run, const core::JobRequest &job,
             const Assignment &workers);
  /// Records that a stop of run was requested.
  void markStopping(const RunId &run);
  /// Frees the accelerators and slots of run; ignores unknown runs. Returns the
  /// gangs that waited only for the end of this run and can be started now.
  std::vector<RunId> release(const RunId &run);
  /// Returns the runs to stop so that the charged power falls to the cap again,
  /// after the cap was lowered or tasks were measured above their declaration.
  std::vector<RunId> shedForPower() const;

  /// The workers to keep free of other work so that a gang of the given shape
  /// can be placed: those of the rack (else of the failure domain) with the
  /// most free accelerators among those that could hold the gang when empty.
  /// Empty if no group of workers could.
  std::set<std::string> workersToKeepFree(const core::Shape &shape,
                                          absl::Time now) const;

  std::vector<FreeWorker>
  freeWorkers(absl::Time now = absl::InfiniteFuture()) const;
  int freeAccelerators() const;
  int workerCount() const { return static_cast<int>(Workers.size()); }
  const Allocation *allocation(const RunId &run) const;
  const std::map<RunId, Allocation> &allocations() const { return Gangs; }
  bool isWorkerKnown(const std::string &workerId) const;
  bool isQuarantined(const std::string &workerId, absl::Time now) const;
  /// Number of guaranteed accelerators whose slots are on no worker now. It is
  /// above zero only while workers are missing, while the profiles guarantee
  /// more than the site has, or while non-idempotent gangs still use capacity
  /// that a raised guarantee claims.
  int guaranteeDeficit();

private:
  struct Worker {
    core::WorkerInfo Info;
    int64_t Incarnation = 0;
    int Used = 0;
    /// Accelerators in guarantee slots on this worker, and accelerators used by
    /// gangs in shared capacity.
    int Reserved = 0;
    int SharedUse = 0;
    std::vector<int64_t> SlotIds;
    int unreserved() const { return Info.Accelerators - Reserved - SharedUse; }
    bool Draining = false;
    bool Unresponsive = false;
    absl::Time LastSeen;
    int Failures = 0;
    absl::Time QuarantinedUntil = absl::InfinitePast();
    absl::Duration QuarantineDuration = absl::ZeroDuration();
  };
  /// The names of a profile and of an organisation that uses it.
  using OrganisationKey = std::pair<std::string, std::string>;
  /// Capacity for one guaranteed member: Width accelerators on one worker, of
  /// which the organisation's gangs in this slot use some. WorkerId is empty
  /// while no worker has enough free capacity.
  struct Slot {
    OrganisationKey Owner;
    int Width = 0;
    int Used = 0;
    std::string WorkerId;
  };
  /// How a gang would use its organisation's slots: the slot of each member,
  /// and the unused slots that move to other workers for that purpose, if
  /// necessary in exchange for another organisation's slot of the same width.
  struct SlotPlan {
    std::vector<int64_t> Slots;
    std::map<int64_t, std::string> Moves;
  };
  /// The workers for a gang, and the runs that must end before it starts. Some
  /// of these may be stopping already.
  struct PlacementPlan {
    Assignment Workers;
    std::set<RunId> Victims;
  };

  static OrganisationKey organisationOf(const core::JobRequest &job) {
    return {job.Profile, job.Organisation};
  }
  int guaranteedTo(const OrganisationKey &organisation) const;
  int usedInSlots(const OrganisationKey &organisation) const;
  bool isWithinGuarantee(const OrganisationKey &organisation) const;
  void updateSlotLayout();
  void syncSlots(const OrganisationKey &organisation,
                 const core::Guarantee *guarantee);
  void removeSlot(int64_t id);
  void moveSlot(int64_t id, const std::string &workerId);
  void placeSlots(std::vector<int64_t> unplaced);
  std::optional<SlotPlan> planSlots(const OrganisationKey &organisation,
                                    const Assignment &workers, int width) const;
  void assignSlots(Allocation &gang, const SlotPlan &plan);
  void assignSharedCapacity(Allocation &gang);
  int64_t slotToExchange(const Worker &worker,
                         const OrganisationKey &organisation, int width,
                         const SlotPlan &plan) const;
  void releaseSlot(Allocation &gang, size_t member);
  void releaseSlots(Allocation &gang);
  void assignFreeSlots(const OrganisationKey &organisation);
  absl::flat_hash_map<std::string, int>
  freeCapacityInSlots(const core::JobRequest &job,
                      const std::set<RunId> &excludedRuns,
                      bool canMoveSlots) const;
  bool isAvailable(const Worker &worker, absl::Time now, bool canProbe) const;
  std::vector<FreeWorker>
  availableWorkers(absl::Time now, bool canProbe,
                   const std::set<std::string> &avoidedWorkers,
                   const std::set<RunId> &excludedRuns) const;
  std::optional<Assignment>
  placeInSlots(const core::JobRequest &job,
               const std::vector<FreeWorker> &available,
               const std::set<RunId> &excludedRuns) const;
  std::optional<Refusal> refusalIfNeverFits(const core::JobRequest &job,
                                            const core::Profile &profile,
                                            absl::Time now) const;
  int64_t expectedWatts(const core::JobRequest &job) const;
  int64_t committedWatts(const std::set<RunId> &excludedRuns) const;
  std::vector<const Allocation *>
  preemptionCandidates(const core::JobRequest &job, bool usesSlots) const;
  std::optional<std::set<RunId>>
  ownBatchToPreempt(const core::JobRequest &job, int neededAccelerators) const;
  std::optional<PlacementPlan>
  planPreemption(const core::JobRequest &job, bool usesSlots,
                 const std::set<RunId> &ownVictims, absl::Time now,
                 const std::set<std::string> &avoidedWorkers) const;
  std::set<RunId>
  selectVictims(const core::JobRequest &job, const Assignment &workers,
                const std::set<RunId> &ownVictims,
                const std::vector<const Allocation *> &candidates) const;
  enum class CapacitySource { Borrowed, Slots, SharedCapacity };
  const Allocation &commitPlan(const RunId &run, const core::JobRequest &job,
                               PlacementPlan plan, CapacitySource source);
  void adjustUse(const std::string &workerId, int used, int shared);
  void clearMembers(const std::string &workerId, std::vector<RunId> &runs);

  Placer Place;
  const int64_t RetryAfterMs;
  const QuarantinePolicy Quarantine;
  std::map<std::string, Worker> Workers;
  /// The use by adopted runs on workers that have not announced themselves yet.
  /// Indexed by worker, because a new leader receives thousands of
  /// announcements within a second and cannot search all runs for each.
  struct WorkerUse {
    int Used = 0;
    int Shared = 0;
  };
  absl::flat_hash_map<std::string, WorkerUse> UnannouncedUse;
  /// Workers that were lost, and when. They count as part of the site for a
  /// while: if a failure domain is down for an hour, its gangs must not be
  /// refused as gangs that can never fit.
  std::map<std::string, std::pair<core::WorkerInfo, absl::Time>> LostWorkers;
  absl::flat_hash_map<std::string, core::Profile> Profiles;
  std::map<RunId, Allocation> Gangs;
  std::map<int64_t, Slot> Slots;
  std::map<OrganisationKey, std::vector<int64_t>> SlotsByOrganisation;
  int64_t NextSlotId = 1;
  bool SlotLayoutDirty = false;
  /// Highest recent ratio of measured to declared power, by organisation.
  absl::flat_hash_map<std::string, double> OverdrawRatios;
  int64_t NextOrder = 0;
};

} // namespace oriolebay::placement
