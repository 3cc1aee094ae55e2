#pragma once

#include "core/jobspec.h"
#include "endpoints/messages.h"

#include <absl/time/time.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oriolebay::jobs {

using endpoints::RunId;
using endpoints::WorkerLife;

/// How workers are judged.
struct FleetPolicy {
  /// A worker that was silent for so long gets no new work.
  absl::Duration SuspectAfter = absl::Milliseconds(1500);
  /// After its last grant a worker's tasks have certainly ended.
  absl::Duration LostAfter = absl::Milliseconds(6000);
  /// Failed runs in a row, of different tasks, before a worker is kept out.
  int FailuresInARow = 2;
  /// For how long at first; doubles up to KeepOutLongest.
  absl::Duration KeepOutFirst = absl::Seconds(4);
  absl::Duration KeepOutLongest = absl::Seconds(60);
};

/// One life of a worker as the leader sees it.
struct WorkerView {
  endpoints::WorkerState State;
  std::string Agent;
  std::string AgentAddress;
  absl::Time LastHeard;
  int64_t Sequence = 0;
  /// It has seen this leader's fencing token, and what earlier leaders ordered
  /// has been settled.
  bool Fenced = false;
  /// Its agent reaches it.
  bool Reachable = true;
  /// When tasks here will have ended unless the worker is heard again.
  absl::Time LostAt;
  /// Runs that take room here, until their end is listed or ruled out.
  std::map<RunId, core::Resources> Occupants;
  core::Resources Used;
  /// While it drains: how long it stays at least.
  absl::Time LeavesAt = absl::InfiniteFuture();
  /// Ends by number, and whether each is recorded.
  std::map<int64_t, bool> Ends;
  int64_t SeenUpto = 0;
  int FailedInARow = 0;
  int DoneHere = 0;
  absl::Duration KeepOut = absl::ZeroDuration();
  absl::Time KeptOutUntil = absl::InfinitePast();

  core::Resources room() const {
    core::Resources r = State.Capacity;
    r -= Used;
    return r;
  }
};

/// How this life of a worker ended, as report, which comes from the agent
/// beside it, tells; nothing when it does not say that it is over.
std::optional<endpoints::LifeEnd> endOf(const endpoints::WorkerReport &report,
                                        const WorkerLife &life);

/// The workers that report to the leader: who they are, what room they have
/// and whether they are fit for new work. No threads, clock or sockets.
class Fleet {
public:
  explicit Fleet(FleetPolicy policy) : Policy(policy) {}

  /// Whether report was overtaken by one that told that its life is over.
  bool isOvertaken(const endpoints::WorkerReport &report) const;
  /// Takes a report's worker. Returns the lives that it ended: a new life of
  /// the same agent's worker means that nothing of the old one runs.
  std::vector<endpoints::LifeEnd> heard(const endpoints::WorkerReport &report,
                                        absl::Time now);
  /// Lives whose tasks have certainly ended because nobody kept them alive.
  std::vector<WorkerLife> takeLost(absl::Time now);

  WorkerView *find(const WorkerLife &life);
  const WorkerView *find(const WorkerLife &life) const;
  const std::map<WorkerLife, WorkerView> &workers() const { return Workers; }
  /// What all known workers of the service have together.
  core::Resources capacityOf(const std::string &service) const;

  /// Whether new work may go to the worker.
  bool usable(const WorkerView &worker, absl::Time now) const;
  /// Keeps the worker out for a while, longer each time. False when it is kept
  /// out already.
  bool keepOut(const WorkerLife &life, absl::Time now);
  /// Counts a run's end for keeping out workers that fail what they start.
  /// True when the worker is kept out from now on.
  bool recordEnd(const WorkerLife &life, bool ok, absl::Time now);

  void occupy(const WorkerLife &life, const RunId &run,
              const core::Resources &room);
  void vacate(const WorkerLife &life, const RunId &run);

  /// An end was listed; false when it was listed before.
  bool endListed(const WorkerLife &life, int64_t number);
  /// The end is recorded, or needs no record.
  void endRecorded(const WorkerLife &life, int64_t number);

private:
  const FleetPolicy Policy;
  std::map<WorkerLife, WorkerView> Workers;
  /// The latest life that ended beside an agent, and the report that told it.
  struct ToldEnd {
    WorkerLife Life;
    int64_t Sequence = 0;
  };
  std::map<std::string, ToldEnd> ToldEnds;
};

} // namespace oriolebay::jobs
