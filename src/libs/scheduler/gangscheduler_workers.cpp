// Announcements of workers, unresponsive and lost workers, and the adoption of
// runs of earlier leaders until their workers have announced themselves.
#include "gangscheduler.h"

#include <algorithm>

namespace oriolebay::scheduler {

void GangScheduler::onAnnounce(const endpoints::Announce &announce, bool fenced,
                               absl::Time now) {
  const std::string &id = announce.Worker.Id;
  PlacementDue = PlacementDue || !State.isWorkerKnown(id);
  for (const RunId &run :
       State.upsertWorker(announce.Worker, announce.Incarnation, now))
    handleLostMembers(run, id, now);
  if (announce.Leaving)
    State.markDraining(id);
  recordWatts(announce);
  if (fenced) {
    checkAdoptedRuns(announce, now);
    stopUnknownTasks(announce);
  }
}

// Stops tasks of runs that this scheduler no longer has: their worker was
// partitioned and given up as lost, or their start was never confirmed. No
// caller waits for them, and they would use accelerators and power in vain.
void GangScheduler::stopUnknownTasks(const endpoints::Announce &announce) {
  for (const endpoints::TaskStatus &task : announce.Tasks)
    if (Runs.count(task.Run) == 0)
      Actions.push_back(
          StopGang{task.Run, {{announce.Worker.Id, {task.Member}}}});
}

void GangScheduler::recordWatts(const endpoints::Announce &announce) {
  std::set<RunId> updatedRuns;
  for (const endpoints::TaskStatus &task : announce.Tasks) {
    auto it = Runs.find(task.Run);
    if (it == Runs.end() || task.Watts < 0 || task.Member < 0 ||
        static_cast<size_t>(task.Member) >= it->second.Watts.size())
      continue;
    it->second.Watts[static_cast<size_t>(task.Member)] = task.Watts;
    updatedRuns.insert(task.Run);
  }
  // Measurements arrive late, so a member without one counts with its declared
  // power.
  for (const RunId &run : updatedRuns) {
    const RunState &r = Runs.at(run);
    int64_t total = 0;
    for (int64_t watts : r.Watts)
      total +=
          watts < 0 ? r.Gang.Request.Job.GangShape.PowerWattsPerMember : watts;
    State.recordUsage(run, total);
  }
}

void GangScheduler::adopt(const AdoptedRun &adopted, absl::Time now,
                          absl::Duration orphanLease) {
  State.adopt(adopted.Run, adopted.Request.Job, adopted.Workers);
  RunState r;
  r.Gang.Request = adopted.Request;
  r.Gang.WaitingSince = now;
  r.Gang.Attempt = adopted.Attempt;
  r.Gang.HasRun = true;
  r.Dispatched = true;
  r.Orphan = true;
  r.Members.resize(adopted.Workers.size());
  r.Watts.assign(adopted.Workers.size(), -1);
  r.UnannouncedWorkers.insert(adopted.Workers.begin(), adopted.Workers.end());
  r.AdoptionDeadline = now + orphanLease;
  for (const std::string &worker : r.UnannouncedWorkers)
    AdoptedByWorker[worker].push_back(adopted.Run);
  Runs[adopted.Run] = std::move(r);
}

// Handles the first complete list of tasks of a worker: members of adopted runs
// that should be on it, but are not in the list, are lost.
void GangScheduler::checkAdoptedRuns(const endpoints::Announce &announce,
                                     absl::Time now) {
  const std::string &id = announce.Worker.Id;
  auto awaitedRuns = AdoptedByWorker.extract(id);
  if (!awaitedRuns)
    return;
  std::vector<RunId> lostRuns;
  for (const RunId &run : awaitedRuns.mapped()) {
    auto it = Runs.find(run);
    if (it == Runs.end())
      continue;
    RunState &r = it->second;
    r.UnannouncedWorkers.erase(id);
    if (r.UnannouncedWorkers.empty())
      r.AdoptionDeadline = absl::InfiniteFuture();
    // An agent lists every task whose end it has not reported yet. A member
    // that is missing in the first list either never started, or its end was
    // reported to the previous leader and lost with that process. Its result is
    // unknown.
    const placement::Allocation *alloc = State.allocation(run);
    for (size_t m = 0; alloc != nullptr && m < alloc->Workers.size(); ++m)
      if (alloc->Workers[m] == id && !r.Members[m] &&
          std::none_of(announce.Tasks.begin(), announce.Tasks.end(),
                       [&](const endpoints::TaskStatus &t) {
                         return t.Run == run && t.Member == static_cast<int>(m);
                       }))
        lostRuns.push_back(run);
  }
  for (const RunId &run : lostRuns)
    handleLostMembers(run, id, now);
}

void GangScheduler::checkWorkers(absl::Time now) {
  for (const RunId &run : State.findUnresponsive(now, Limits.HeartbeatTimeout))
    beginStop(run, StopCause::WorkerLost, "a worker went silent", now);
  handleExpiredMembers(State.expireWorkers(now, Limits.TaskLease), now);
  std::vector<std::pair<RunId, std::string>> orphans;
  for (const auto &[run, r] : Runs)
    if (r.AdoptionDeadline < now)
      for (const std::string &worker : r.UnannouncedWorkers)
        orphans.emplace_back(run, worker);
  for (const auto &[run, worker] : orphans)
    handleLostMembers(run, worker, now);
}

void GangScheduler::handleExpiredMembers(const std::vector<RunId> &runs,
                                         absl::Time now) {
  for (const RunId &run : runs)
    handleLostMembers(run, "", now);
}

// Stops the run and ends as failed those of its members that have no result and
// were on worker, or on a worker that has been removed from the state.
void GangScheduler::handleLostMembers(const RunId &run,
                                      const std::string &worker,
                                      absl::Time now) {
  auto it = Runs.find(run);
  if (it == Runs.end())
    return;
  const placement::Allocation *alloc = State.allocation(run);
  std::vector<int> lostMembers;
  for (size_t m = 0; m < it->second.Members.size(); ++m)
    if (!it->second.Members[m] &&
        (alloc->Workers[m].empty() || alloc->Workers[m] == worker))
      lostMembers.push_back(static_cast<int>(m));
  if (!lostMembers.empty())
    beginStop(run, StopCause::WorkerLost, "worker " + worker + " was lost",
              now);
  for (int m : lostMembers)
    if (Runs.count(run) != 0)
      handleMemberEnd(run, core::MemberResult{m, worker, false, "worker lost"},
                      now);
}

} // namespace oriolebay::scheduler
