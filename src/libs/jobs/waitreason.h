#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oriolebay::jobs {

/// Why tasks whose turn has come do not run.
enum class WaitReason {
  // Conditions of the task itself.
  /// The start is not recorded in the store yet.
  StartNotRecorded,
  /// The start was ordered, and the worker does not list the run yet.
  StartUnconfirmed,
  /// A previous leader recorded the start, and the worker has not shown what
  /// became of it.
  RunUnresolved,
  /// The worker that may have the run has never reported to this leader.
  UnreportedWorker,
  /// The worker that may have the run is not heard of or does not answer its
  /// agent.
  SilentWorker,
  /// A stop of the run was requested and is not confirmed.
  AwaitsStop,
  /// An attempt to start an earlier run may still be carried out.
  StartBarred,
  /// A worker lists an earlier run that is not recorded for it.
  RunStillListed,
  /// Some members of the gang are done or running and others are not, and
  /// nothing is under way for those.
  GangIncomplete,

  // Conditions that a scheduling pass found when it could not place the tasks.
  /// No scheduling pass has considered the tasks yet.
  NotDecided,
  /// Not all workers have had time to report to this leader, and those that
  /// have could not hold the tasks if they were empty.
  FleetUnknown,
  /// No known worker has the service and the label.
  NoEligibleWorker,
  /// All known workers together could not hold the tasks if they were empty.
  ExceedsCapacity,
  /// The tasks would fit with the free capacity of cordoned workers.
  Cordoned,
  /// A gang needs one rack, and no rack has enough usable workers, even if they
  /// were empty.
  RackUnusable,
  /// As many tasks run as the leader can serve.
  TooManyRunning,
  /// The capacity is left empty for urgent work.
  Headroom,
  /// The capacity is reserved for other tasks.
  Reserved,
  /// Nothing starts beside a recent start of a suspect, and no suspect beside
  /// any recent start.
  SuspectIsolation,
  /// The tasks fit only on slow workers, and end sooner if they wait for
  /// others.
  SlowWorkers,
  /// The tasks fit only where they failed or may have crashed a worker.
  Avoids,
  /// The tasks fit only where the step has as many tasks as it allows on one
  /// worker.
  MaxPerWorker,
  // The tasks would fit with the free capacity of workers in this condition.
  Quarantined,
  UnexpectedRuns,
  LateStops,
  Unreachable,
  Silent,
  Draining,
  /// The tasks would fit if several of these conditions ended.
  SeveralConditions,
  /// The usable workers could not hold the tasks if they were empty.
  TooFewUsableWorkers,
  /// Running tasks of the step leave enough time to run the others after them.
  FollowsOwnTasks,
  /// The usable workers are full.
  NoCapacity,
};

constexpr size_t WaitReasonCount =
    static_cast<size_t>(WaitReason::NoCapacity) + 1;

/// Returns all reasons in the order of the enum.
const std::vector<WaitReason> &allWaitReasons();
/// Returns the stable name of reason, for logs and metrics.
const char *waitReasonName(WaitReason reason);
/// Returns the reason in words, for the log.
const char *waitReasonText(WaitReason reason, bool gang);

/// The text of WaitReason::Cordoned.
inline constexpr const char *WaitsForCordonReason =
    "its capacity is in cordoned failure domains";

/// A reason, and what is known of it.
struct WaitCause {
  WaitReason Reason = WaitReason::NoCapacity;
  /// Time by which the condition has ended, of several workers at the first
  /// one; infinite if it has no known end.
  absl::Time EndsBy = absl::InfiniteFuture();
  /// The worker or the rack that has the condition, if it is a single one.
  std::string Worker = {};
  std::string Rack = {};
  /// Of a rack: its usable workers and all known ones.
  int64_t RackUsable = 0;
  int64_t RackWorkers = 0;

  auto operator<=>(const WaitCause &) const = default;
};

/// Tasks of a step that wait for the same reason.
struct WaitGroup {
  WaitCause Cause;
  int64_t Tasks = 0;

  auto operator<=>(const WaitGroup &) const = default;
};
using WaitGroups = std::map<WaitReason, WaitGroup>;

/// Adds tasks to the group of the cause. Of several causes with the same
/// reason, the one that ends last is kept.
void addToGroup(WaitGroups &groups, const WaitCause &cause, int64_t tasks);

} // namespace oriolebay::jobs
