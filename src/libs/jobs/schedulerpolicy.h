#pragma once

#include "fleet.h"
#include "progress.h"
#include "workerspeedestimator.h"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <functional>

namespace oriolebay::jobs {

/// Time limits, weights and bounds of the scheduler.
struct SchedulerPolicy {
  FleetPolicy Fleet;
  ProgressPolicy Progress;
  SpeedPolicy Speed;
  /// For speeds learned from gangs too, which tell large differences only: a
  /// single comparison shows those.
  SpeedPolicy SpeedWithGangs = {.PriorEnds = 1};
  /// Time without an answer after which an order is sent again.
  absl::Duration OrderResendInterval = absl::Milliseconds(400);
  /// A run counts as lost by its worker if a list that was made this long after
  /// the run was last confirmed does not contain it. Answers of a worker may
  /// overtake each other by as much as its agent waits for one.
  absl::Duration VanishedRunDelay = absl::Seconds(2);
  /// Time after the store last confirmed the previous leaders by which all
  /// tasks have certainly ended at workers that never reported to this leader.
  /// Until then a previous leader may have kept them alive.
  absl::Duration UnreportedLostAfter = absl::Milliseconds(13500);
  /// How long before this leader's election the store had last confirmed a
  /// previous leader, at least.
  absl::Duration PreviousUnconfirmedFor = absl::ZeroDuration();
  /// Time without a report after which the next leader is to know that an agent
  /// is silent. Agents that start again are back before that.
  absl::Duration TellSilenceAfter = absl::Seconds(2);
  /// Factor by which a gang that is spread over several racks, or a task that
  /// runs outside the rack of its data, takes longer. The scheduler itself does
  /// not use it.
  double RemoteFactor = 3.0;
  /// How long the record that a job has begun may wait for another write of its
  /// progress, so that short jobs need no write of their own for it. All
  /// entries show it within two seconds.
  absl::Duration RunningStateDelay = absl::Milliseconds(500);
  /// How long callers can query a job after its end.
  absl::Duration FinishedJobRetention = absl::Seconds(150);
  /// Bound on the work that may be discarded so that a job of priority 0 beyond
  /// its organisation's guarantee meets its deadline, in core-seconds (an
  /// accelerator counts as eight cores). The bound is the constant
  /// MaxLostWorkBase, which lets even the smallest jobs stop something, plus
  /// the share MaxLostWorkShare of the job's own work. A late urgent answer is
  /// worth little to its caller, which justifies stopping this much; the
  /// stopped jobs may become late themselves.
  double MaxLostWorkShare = 0.2;
  double MaxLostWorkBase = 200;
  /// Capacity that batch work leaves on empty workers, as a multiple of what
  /// the urgent jobs that arrive within StopDuration are expected to request.
  double Headroom = 1;
  /// Number of waiting gangs, or other large units, that capacity is reserved
  /// for at the same time because nothing is stopped for them: MinReservations
  /// or, on a large site, one for every WorkersPerReservation workers,
  /// whichever is more. With one reservation the next large gang would starve;
  /// with many the site would stand idle.
  int MinReservations = 2;
  int WorkersPerReservation = 24;
  /// A job may take less time than estimated, and its deadline with it. Work of
  /// priority 0 waits for others only if it is in time even if its tasks are
  /// shorter by this many standard deviations of what the estimates of its
  /// queue turned out to be off. Zero: estimates are trusted.
  double SlackDeviations = 1;
  /// Work whose answer is worth nearly nothing any more comes after all other
  /// work of its rank, and nothing is stopped for it.
  bool OverdueLast = true;
  /// Interval at which it is determined again whether a job is overdue.
  absl::Duration OverdueCheckInterval = absl::Seconds(1);
  /// Expected time from the request to stop a run to its end.
  absl::Duration StopDuration = absl::Milliseconds(400);
  /// Time after submission by which a job within its organisation's guarantee
  /// gets its capacity, however much work that discards.
  absl::Duration ReclaimAfter = absl::Milliseconds(1500);
  /// Time beside free workers after which a step of which nothing runs takes
  /// any capacity that it fits into.
  absl::Duration MaxPreferenceWait = absl::Seconds(5);
  /// The same once no job has arrived for QuietAfter, as the free capacity has
  /// no other use then. Workers that may fail its tasks are taken only for
  /// tasks that have an attempt to spare.
  absl::Duration MaxQuietPreferenceWait = absl::Milliseconds(1500);
  absl::Duration QuietAfter = absl::Seconds(10);
  /// Time for which a task that runs on waits for workers in quarantine after
  /// its latest run.
  absl::Duration MaxLongRunningWait = absl::Seconds(4);
  /// Time to stop a run and to start it on another worker, and how often a task
  /// may be moved because it is too slow.
  absl::Duration MoveCost = absl::Milliseconds(800);
  int MaxMoves = 2;
  /// Work that may be given up for a move although nothing but an estimate
  /// tells that it would win more.
  absl::Duration MaxWorkAtRisk = absl::Seconds(5);
  /// Time after the election by which every live worker has reported to the
  /// leader: two report periods. Deadlines of jobs depend on the capacity of
  /// all workers.
  absl::Duration FleetDiscoveryTime = absl::Seconds(1);
  /// A job fails once workers on this many hosts, or this many workers in all,
  /// have crashed right after the same task had started there. More crashes are
  /// required on a single host, because the host itself may be the cause.
  size_t CrashedHostsBeforeFailure = 2;
  size_t CrashesBeforeFailure = 3;
  /// Time after a worker crash during which suspect tasks avoid its host.
  absl::Duration RecentCrashWindow = absl::Seconds(30);
  /// How many tasks of a repeating job are considered for a start at a time,
  /// in occurrences of which nothing has begun. One occurrence always is.
  int MaxWaitingTasks = 1024;
  /// How many tasks the occurrences of a repeating job have that have begun and
  /// are not done, unless a single one has more: as many as a job that does not
  /// repeat, so that its record does not outgrow the store.
  int MaxOpenTasks = core::MaxTasksPerJob;
  /// How many runs a worker has at most at the same time, and how many starts
  /// of tasks that are no gang it is sent before it has confirmed them: more
  /// than workers hold of tasks with ordinary needs, and as many as the agent's
  /// reports and orders can list.
  int64_t MaxRunsPerWorker = 4096;
  int64_t MaxUnconfirmedStarts = 256;
  /// How many tasks the scheduler remembers something of at the same time.
  /// Nothing starts beyond that, so that tasks that need no capacity cannot use
  /// up the memory of its process.
  size_t MaxRememberedTasks = 110'000;
  /// Minimum time between two checks for stalled and slow runs, for each task
  /// that is remembered: thousands of runs are checked less often.
  absl::Duration RunCheckIntervalPerTask = absl::Microseconds(100);
  /// How many tasks run at the same time: as many as the leader can serve. One
  /// in RunningTasksPerReservedOne of these places is for urgent work, and for
  /// jobs of which fewer tasks than ReservedTasksPerJob run.
  size_t MaxRunningTasks = 110'000;
  size_t RunningTasksPerReservedOne = 8;
  size_t ReservedTasksPerJob = 8;
  /// What the leader keeps at most of the texts that all tasks have saved, in
  /// bytes.
  size_t MaxSavedBytes = 16'000'000;
  /// What a job's record holds at most of the texts that its tasks have saved,
  /// in bytes.
  size_t MaxSavedBytesPerRecord = size_t{64} * 1024;
  /// Records up to this size in bytes are written as soon as they have changed,
  /// larger ones at this rate in bytes a second, all of them together: the
  /// links of hosts and the other entries have to carry each.
  size_t SmallRecordBytes = size_t{16} * 1024;
  double LargeRecordBytesPerSecond = 512 * 1024;
  /// How long the members of a gang wait for each other to start.
  absl::Duration GangWait = absl::Milliseconds(3000);
  /// The wall clock in milliseconds since 1970, for repeating jobs.
  std::function<int64_t()> WallMs = [] { return int64_t{0}; };
};

} // namespace oriolebay::jobs
