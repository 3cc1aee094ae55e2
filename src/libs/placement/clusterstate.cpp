#include "clusterstate.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace oriolebay::placement {

namespace {
// Factor by which an organisation's overdraw ratio decays with each new report,
// so that one bad job does not raise its charges forever.
constexpr double OverdrawDecay = 0.98;
} // namespace

ClusterState::ClusterState(Placer placer, int64_t retryAfterMs,
                           QuarantinePolicy quarantine)
    : Place(std::move(placer)), RetryAfterMs(retryAfterMs),
      Quarantine(quarantine) {}

std::vector<RunId> ClusterState::upsertWorker(const core::WorkerInfo &info,
                                              int64_t incarnation,
                                              absl::Time now) {
  std::vector<RunId> affectedRuns;
  auto it = Workers.find(info.Id);
  if (it != Workers.end() && it->second.Incarnation == incarnation) {
    it->second.LastSeen = now;
    it->second.Unresponsive = false;
    return affectedRuns;
  }
  // A late announcement of an earlier incarnation must not restore the old
  // worker. Incarnations are start times, so the lower one is older.
  if (it != Workers.end() && it->second.Incarnation > incarnation)
    return affectedRuns;
  if (it != Workers.end())
    clearMembers(info.Id, affectedRuns);
  SlotLayoutDirty = true;
  Worker worker;
  worker.Info = info;
  worker.Incarnation = incarnation;
  worker.LastSeen = now;
  if (it != Workers.end()) {
    worker.Reserved = it->second.Reserved;
    worker.SlotIds = it->second.SlotIds;
  }
  if (auto use = UnannouncedUse.extract(info.Id)) {
    worker.Used = use.mapped().Used;
    worker.SharedUse = use.mapped().Shared;
  }
  Workers[info.Id] = worker;
  LostWorkers.erase(info.Id);
  return affectedRuns;
}

// Changes the accelerators in use on a worker, whether it has announced itself
// or not.
void ClusterState::adjustUse(const std::string &workerId, int used,
                             int shared) {
  auto it = Workers.find(workerId);
  if (it != Workers.end()) {
    it->second.Used += used;
    it->second.SharedUse += shared;
  } else if (!workerId.empty()) {
    WorkerUse &use = UnannouncedUse[workerId];
    use.Used += used;
    use.Shared += shared;
  }
}

void ClusterState::adopt(const RunId &run, const core::JobRequest &job,
                         const Assignment &workers) {
  Allocation gang;
  gang.Run = run;
  gang.Job = job;
  gang.Workers = workers;
  gang.ExpectedWatts = expectedWatts(job);
  gang.Order = NextOrder++;
  for (const std::string &w : workers)
    adjustUse(w, job.GangShape.AcceleratorsPerMember, 0);
  gang.Slots.assign(workers.size(), Allocation::Borrowed);
  Allocation &stored = Gangs[run] = std::move(gang);
  if (!job.Idempotent)
    assignSharedCapacity(stored);
  SlotLayoutDirty = true;
}

// Clears the members on a worker that was lost or restarted, and adds their
// runs to runs.
void ClusterState::clearMembers(const std::string &workerId,
                                std::vector<RunId> &runs) {
  for (auto &[run, gang] : Gangs) {
    bool hasMember = false;
    for (size_t m = 0; m < gang.Workers.size(); ++m)
      if (gang.Workers[m] == workerId) {
        releaseSlot(gang, m);
        gang.Workers[m].clear();
        hasMember = true;
      }
    if (hasMember)
      runs.push_back(run);
  }
}

void ClusterState::markDraining(const std::string &workerId) {
  auto it = Workers.find(workerId);
  if (it != Workers.end() && !std::exchange(it->second.Draining, true))
    SlotLayoutDirty = true;
}

std::vector<RunId> ClusterState::findUnresponsive(absl::Time now,
                                                  absl::Duration timeout) {
  std::set<std::string> newlyUnresponsive;
  for (auto &[id, w] : Workers)
    if (!w.Unresponsive && now - w.LastSeen > timeout) {
      w.Unresponsive = true;
      newlyUnresponsive.insert(id);
    }
  std::vector<RunId> runs;
  if (newlyUnresponsive.empty())
    return runs;
  for (const auto &[run, gang] : Gangs)
    if (std::any_of(
            gang.Workers.begin(), gang.Workers.end(),
            [&](const std::string &w) { return newlyUnresponsive.count(w); }))
      runs.push_back(run);
  return runs;
}

std::vector<RunId> ClusterState::expireWorkers(absl::Time now,
                                               absl::Duration lease) {
  std::vector<RunId> runs;
  for (auto it = Workers.begin(); it != Workers.end();) {
    if (now - it->second.LastSeen <= lease) {
      ++it;
      continue;
    }
    clearMembers(it->first, runs);
    for (int64_t id : it->second.SlotIds)
      Slots.at(id).WorkerId.clear();
    LostWorkers[it->first] = {it->second.Info, now};
    it = Workers.erase(it);
    SlotLayoutDirty = true;
  }
  return runs;
}

void ClusterState::recordTaskEnd(const std::string &workerId, bool ok,
                                 absl::Time now) {
  auto it = Workers.find(workerId);
  if (it == Workers.end())
    return;
  Worker &w = it->second;
  if (ok) {
    w.Failures = 0;
    w.QuarantineDuration = absl::ZeroDuration();
    return;
  }
  // A worker with broken hardware accepts every task and fails it at once, so
  // it always appears free and attracts more work. After a few consecutive
  // failures it is quarantined. One idempotent gang then probes it, and each
  // failed probe doubles the quarantine.
  ++w.Failures;
  if (w.Failures < Quarantine.FailuresInARow)
    return;
  w.QuarantineDuration =
      w.QuarantineDuration == absl::ZeroDuration()
          ? Quarantine.InitialDuration
          : std::min(Quarantine.MaxDuration, w.QuarantineDuration * 2);
  w.QuarantinedUntil = now + w.QuarantineDuration;
}

void ClusterState::recordUsage(const RunId &run, int64_t watts) {
  auto it = Gangs.find(run);
  if (it == Gangs.end())
    return;
  it->second.MeasuredWatts = watts;
  const int64_t declared = it->second.Job.GangShape.powerWatts();
  if (declared <= 0)
    return;
  double &ratio = OverdrawRatios[it->second.Job.Organisation];
  ratio = std::max(static_cast<double>(watts) / static_cast<double>(declared),
                   ratio * OverdrawDecay);
}

bool ClusterState::applyProfile(const core::Profile &profile) {
  auto it = Profiles.find(profile.Name);
  if (it != Profiles.end() && it->second.Version >= profile.Version)
    return false;
  Profiles[profile.Name] = profile;
  SlotLayoutDirty = true;
  return true;
}

const core::Profile *ClusterState::profile(const std::string &name) const {
  auto it = Profiles.find(name);
  return it == Profiles.end() ? nullptr : &it->second;
}

int64_t ClusterState::powerCapWatts() const {
  int64_t cap = std::numeric_limits<int64_t>::max();
  for (const auto &[name, p] : Profiles)
    cap = std::min(cap, p.PowerCapWatts);
  return Profiles.empty() ? 0 : cap;
}

int64_t ClusterState::runningWatts() const {
  int64_t watts = 0;
  for (const auto &[run, gang] : Gangs)
    if (gang.WaitsFor.empty())
      watts += gang.chargedWatts();
  return watts;
}

void ClusterState::markStopping(const RunId &run) {
  auto it = Gangs.find(run);
  if (it != Gangs.end())
    it->second.Stopping = true;
}

std::vector<RunId> ClusterState::release(const RunId &run) {
  std::vector<RunId> ready;
  auto it = Gangs.find(run);
  if (it == Gangs.end())
    return ready;
  releaseSlots(it->second);
  const int width = it->second.Job.GangShape.AcceleratorsPerMember;
  for (const std::string &w : it->second.Workers)
    adjustUse(w, -width, 0);
  const OrganisationKey organisation = organisationOf(it->second.Job);
  Gangs.erase(it);
  for (auto &[other, gang] : Gangs)
    if (gang.WaitsFor.erase(run) != 0 && gang.WaitsFor.empty())
      ready.push_back(other);
  assignFreeSlots(organisation);
  return ready;
}

int ClusterState::guaranteedTo(const OrganisationKey &organisation) const {
  const core::Profile *p = profile(organisation.first);
  return p == nullptr ? 0 : p->guaranteedAccelerators(organisation.second);
}

bool ClusterState::isQuarantined(const std::string &workerId,
                                 absl::Time now) const {
  auto it = Workers.find(workerId);
  return it != Workers.end() && it->second.QuarantinedUntil > now;
}

// Whether new work can be placed on the worker. After a quarantine the first
// gang on it is a probe: it must be idempotent (canProbe) and the worker
// otherwise unused.
bool ClusterState::isAvailable(const Worker &worker, absl::Time now,
                               bool canProbe) const {
  if (worker.Draining || worker.Unresponsive || worker.QuarantinedUntil > now)
    return false;
  const bool probing = worker.QuarantineDuration > absl::ZeroDuration();
  return !probing || (canProbe && worker.Used == 0);
}

std::vector<FreeWorker> ClusterState::freeWorkers(absl::Time now) const {
  return availableWorkers(now, true, {}, {});
}

std::vector<FreeWorker>
ClusterState::availableWorkers(absl::Time now, bool canProbe,
                               const std::set<std::string> &avoidedWorkers,
                               const std::set<RunId> &excludedRuns) const {
  absl::flat_hash_map<std::string, int> freed;
  for (const RunId &run : excludedRuns) {
    const Allocation *gang = allocation(run);
    if (gang != nullptr)
      for (const std::string &w : gang->Workers)
        freed[w] += gang->Job.GangShape.AcceleratorsPerMember;
  }
  std::vector<FreeWorker> available;
  available.reserve(Workers.size());
  for (const auto &[id, w] : Workers) {
    if (!isAvailable(w, now, canProbe) || avoidedWorkers.count(id) != 0)
      continue;
    auto it = freed.find(id);
    const int free =
        w.Info.Accelerators - w.Used + (it == freed.end() ? 0 : it->second);
    available.push_back(
        FreeWorker{id, w.Info.FailureDomain, w.Info.Rack, std::max(0, free)});
  }
  return available;
}

int ClusterState::freeAccelerators() const {
  int n = 0;
  for (const auto &[id, w] : Workers)
    if (!w.Draining)
      n += std::max(0, w.Info.Accelerators - w.Used);
  return n;
}

const Allocation *ClusterState::allocation(const RunId &run) const {
  auto it = Gangs.find(run);
  return it == Gangs.end() ? nullptr : &it->second;
}

bool ClusterState::isWorkerKnown(const std::string &workerId) const {
  return Workers.count(workerId) != 0;
}

std::set<std::string> ClusterState::workersToKeepFree(const core::Shape &shape,
                                                      absl::Time now) const {
  struct Group {
    int Capacity = 0;
    int Free = 0;
    std::vector<std::string> Ids;
  };
  auto bestGroup = [&](auto keyOf) {
    std::map<std::string, Group> groups;
    for (const auto &[id, w] : Workers) {
      if (!isAvailable(w, now, true))
        continue;
      Group &group = groups[keyOf(w.Info)];
      group.Capacity += w.Info.Accelerators / shape.AcceleratorsPerMember;
      group.Free += std::max(0, w.Info.Accelerators - w.Used);
      group.Ids.push_back(id);
    }
    const Group *chosen = nullptr;
    for (const auto &[key, group] : groups)
      if (group.Capacity >= shape.Members &&
          (chosen == nullptr || group.Free > chosen->Free))
        chosen = &group;
    return chosen == nullptr
               ? std::set<std::string>()
               : std::set<std::string>(chosen->Ids.begin(), chosen->Ids.end());
  };
  auto rack = bestGroup(
      [](const core::WorkerInfo &w) { return w.FailureDomain + "/" + w.Rack; });
  if (!rack.empty())
    return rack;
  return bestGroup([](const core::WorkerInfo &w) { return w.FailureDomain; });
}

} // namespace oriolebay::placement
