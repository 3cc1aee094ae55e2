#include "fleet.h"

#include <algorithm>
#include <array>
#include <utility>

namespace oriolebay::jobs {

namespace {

/// Number of ended incarnations beside an agent that are remembered to
/// recognise delayed reports.
constexpr size_t MaxReportedEnds = 8;

/// Number of jobs whose runs stood still on a worker that are remembered.
constexpr size_t MaxStalledJobs = 16;

constexpr std::array AllConditions = {
    WorkerCondition::Usable,    WorkerCondition::Draining,
    WorkerCondition::Cordoned,  WorkerCondition::Unreachable,
    WorkerCondition::LateStops, WorkerCondition::UnexpectedRuns,
    WorkerCondition::Silent,    WorkerCondition::Quarantined};

} // namespace

const char *workerConditionName(WorkerCondition condition) {
  switch (condition) {
  case WorkerCondition::Usable:
    return "usable_workers";
  case WorkerCondition::Draining:
    return "draining";
  case WorkerCondition::Cordoned:
    return "cordoned";
  case WorkerCondition::Unreachable:
    return "unreachable";
  case WorkerCondition::LateStops:
    return "late_stops";
  case WorkerCondition::UnexpectedRuns:
    return "unexpected_runs";
  case WorkerCondition::Silent:
    return "silent";
  case WorkerCondition::Quarantined:
    return "quarantined";
  }
  return "unknown";
}

int WorkerView::consecutiveFailures() const {
  int n = 0;
  for (const auto &[job, failures] : FailuresByJob)
    n += failures;
  return n;
}

absl::Time WorkerView::quarantinedUntil(const std::string &job) const {
  auto own = OwnFailuresByJob.find(job);
  return own == OwnFailuresByJob.end() ? absl::InfinitePast()
                                       : own->second.QuarantinedUntil;
}

bool WorkerView::hasLabel(const std::string &label) const {
  const std::vector<std::string> &labels = State.Labels;
  return label.empty() ||
         std::find(labels.begin(), labels.end(), label) != labels.end();
}

// An agent that has just started has not received a heartbeat of its worker
// yet. Its report then says nothing about an incarnation that was known before.
std::optional<endpoints::IncarnationEnd>
findIncarnationEnd(const endpoints::WorkerReport &report,
                   const WorkerIncarnation &incarnation) {
  for (const endpoints::IncarnationEnd &end : report.EndedLives)
    if (end.Life == incarnation)
      return end;
  if (!report.Worker.Life.empty() && report.Worker.Life != incarnation)
    return endpoints::IncarnationEnd{incarnation};
  return std::nullopt;
}

bool Fleet::isOutdated(const endpoints::WorkerReport &report) const {
  auto it = ReportedEnds.find(report.Agent);
  return it != ReportedEnds.end() &&
         std::any_of(it->second.begin(), it->second.end(),
                     [&report](const ReportedEnd &end) {
                       return end.Incarnation == report.Worker.Life &&
                              report.Sequence < end.Sequence;
                     });
}

std::vector<endpoints::IncarnationEnd>
Fleet::applyReport(const endpoints::WorkerReport &report, absl::Time now) {
  std::vector<endpoints::IncarnationEnd> ended;
  for (const auto &[incarnation, worker] : Workers)
    if (worker.Agent == report.Agent)
      if (const auto end = findIncarnationEnd(report, incarnation))
        ended.push_back(*end);
  for (const endpoints::IncarnationEnd &end : ended) {
    Workers.erase(end.Life);
    std::deque<ReportedEnd> &ends = ReportedEnds[report.Agent];
    ends.push_back({end.Life, report.Sequence});
    if (ends.size() > MaxReportedEnds)
      ends.pop_front();
  }
  if (report.Worker.Life.empty())
    return ended;
  WorkerView &worker = Workers[report.Worker.Life];
  worker.State = report.Worker;
  worker.Agent = report.Agent;
  worker.AgentAddress = report.AgentAddress;
  worker.LastReportAt = now;
  worker.Sequence = report.Sequence;
  worker.Reachable = report.Reachable;
  worker.StateOutdated = report.StateOutdated;
  worker.ReadsSharedPayloads = report.ReadsSharedPayloads;
  worker.EarliestShutdown =
      report.Worker.Draining
          ? now + absl::Milliseconds(report.Worker.RemainingMs)
          : absl::InfiniteFuture();
  // While the agent cannot reach the worker, the leader does not extend the
  // grant that keeps its tasks alive.
  if (report.Reachable || worker.LostAt == absl::Time())
    worker.LostAt = now + Policy.LostAfter;
  return ended;
}

std::vector<WorkerIncarnation> Fleet::takeLost(absl::Time now) {
  std::vector<WorkerIncarnation> lost;
  for (const auto &[incarnation, worker] : Workers)
    if (worker.LostAt <= now)
      lost.push_back(incarnation);
  for (const WorkerIncarnation &incarnation : lost)
    Workers.erase(incarnation);
  return lost;
}

WorkerView *Fleet::find(const WorkerIncarnation &incarnation) {
  auto it = Workers.find(incarnation);
  return it == Workers.end() ? nullptr : &it->second;
}

const WorkerView *Fleet::find(const WorkerIncarnation &incarnation) const {
  auto it = Workers.find(incarnation);
  return it == Workers.end() ? nullptr : &it->second;
}

core::Resources Fleet::capacityOf(const std::string &service) const {
  core::Resources all;
  for (const auto &[incarnation, worker] : Workers)
    if (worker.State.Service == service && !isCordoned(worker))
      all += worker.State.Capacity;
  return all;
}

size_t Fleet::countOf(const std::string &service) const {
  return static_cast<size_t>(
      std::count_if(Workers.begin(), Workers.end(), [&](const auto &entry) {
        return entry.second.State.Service == service;
      }));
}

WorkerCondition Fleet::conditionOf(const WorkerView &worker,
                                   absl::Time now) const {
  if (worker.State.Draining)
    return WorkerCondition::Draining;
  if (isCordoned(worker))
    return WorkerCondition::Cordoned;
  if (!worker.Reachable)
    return WorkerCondition::Unreachable;
  if (!worker.LateStops.empty())
    return WorkerCondition::LateStops;
  if (!worker.UnexpectedRuns.empty())
    return WorkerCondition::UnexpectedRuns;
  if (hasNotReported(worker, now) || worker.StateOutdated)
    return WorkerCondition::Silent;
  return now < worker.QuarantinedUntil ? WorkerCondition::Quarantined
                                       : WorkerCondition::Usable;
}

std::map<WorkerCondition, int64_t>
Fleet::countConditions(const std::string &service, absl::Time now) const {
  std::map<WorkerCondition, int64_t> counts;
  for (const WorkerCondition condition : AllConditions)
    counts[condition] = 0;
  for (const auto &[incarnation, worker] : Workers)
    if (worker.State.Service == service)
      ++counts[conditionOf(worker, now)];
  return counts;
}

bool Fleet::recordFailure(const WorkerIncarnation &incarnation,
                          const std::string &job, const RunId &run,
                          absl::Time now) {
  WorkerView *worker = find(incarnation);
  if (worker == nullptr || std::exchange(worker->LatestFailedRun, run) == run)
    return false;
  ++worker->FailuresByJob[job];
  if (worker->consecutiveFailures() < Policy.FailuresBeforeQuarantine)
    return false;
  const bool isOfOneJob = !job.empty() && worker->FailuresByJob.size() == 1;
  if (isOfOneJob && !hasOtherUsable(*worker, now))
    return false;
  return quarantine(*worker, now);
}

bool Fleet::recordStall(const WorkerIncarnation &incarnation,
                        const std::string &job, absl::Time now) {
  WorkerView *worker = find(incarnation);
  if (worker == nullptr)
    return false;
  if (worker->StalledJobs.size() < MaxStalledJobs)
    worker->StalledJobs.insert(job);
  return now >= worker->QuarantinedUntil && hasOtherUsable(*worker, now) &&
         !areManyStalled(worker->State.Service, now) &&
         quarantine(*worker, now);
}

bool Fleet::hasStalledOthers(const WorkerIncarnation &incarnation,
                             const std::string &job) const {
  const WorkerView *worker = find(incarnation);
  return worker != nullptr &&
         worker->StalledJobs.size() > worker->StalledJobs.count(job);
}

std::vector<WorkerIncarnation> Fleet::dismissStallsOf(const std::string &job,
                                                      absl::Time now) {
  std::vector<WorkerIncarnation> released;
  for (auto &[incarnation, worker] : Workers) {
    if (worker.StalledJobs.erase(job) == 0 || !worker.StalledJobs.empty() ||
        worker.consecutiveFailures() >= Policy.FailuresBeforeQuarantine)
      continue;
    if (now < worker.QuarantinedUntil)
      released.push_back(incarnation);
    worker.QuarantineDuration = absl::ZeroDuration();
    worker.QuarantinedUntil = std::min(worker.QuarantinedUntil, now);
  }
  return released;
}

// Whether half of the service's workers are quarantined because runs stood
// still there.
bool Fleet::areManyStalled(const std::string &service, absl::Time now) const {
  size_t known = 0;
  size_t stalled = 0;
  for (const auto &[incarnation, worker] : Workers) {
    if (worker.State.Service != service)
      continue;
    ++known;
    stalled += now < worker.QuarantinedUntil && worker.isOnlyStalled() ? 1 : 0;
  }
  return 2 * stalled >= known;
}

bool Fleet::recordOwnFailure(const WorkerIncarnation &incarnation,
                             const std::string &job, const RunId &run,
                             absl::Time now) {
  WorkerView *worker = find(incarnation);
  if (worker == nullptr || std::exchange(worker->LatestFailedRun, run) == run)
    return false;
  WorkerView::OwnFailures &own = worker->OwnFailuresByJob[job];
  own.LatestAt = now;
  if (++own.Count < Policy.FailuresBeforeQuarantine ||
      now < own.QuarantinedUntil)
    return false;
  own.QuarantineDuration = nextQuarantine(own.QuarantineDuration);
  own.QuarantinedUntil = now + own.QuarantineDuration;
  return true;
}

void Fleet::recordSuccess(const WorkerIncarnation &incarnation,
                          absl::Time orderedAt, absl::Time now) {
  WorkerView *worker = find(incarnation);
  if (worker == nullptr)
    return;
  worker->LastSuccessAt = now;
  if (now >= worker->QuarantinedUntil)
    worker->StalledJobs.clear();
  worker->FailuresByJob.clear();
  worker->QuarantineDuration = absl::ZeroDuration();
  std::erase_if(worker->OwnFailuresByJob, [orderedAt](const auto &entry) {
    return entry.second.LatestAt < orderedAt;
  });
}

void Fleet::recordUsualRun(const WorkerIncarnation &incarnation,
                           const std::string &job, absl::Time startedAt) {
  WorkerView *worker = find(incarnation);
  if (worker == nullptr || startedAt < worker->UsualRunStartedAt)
    return;
  worker->UsualRunJob = job;
  worker->UsualRunStartedAt = startedAt;
}

std::vector<WorkerIncarnation> Fleet::dismissFailuresOf(const std::string &job,
                                                        absl::Time now) {
  std::vector<WorkerIncarnation> released;
  for (auto &[incarnation, worker] : Workers) {
    auto failures = worker.FailuresByJob.find(job);
    if (failures == worker.FailuresByJob.end())
      continue;
    WorkerView::OwnFailures &own = worker.OwnFailuresByJob[job];
    own.Count += failures->second;
    own.LatestAt = now;
    worker.FailuresByJob.erase(failures);
    if (worker.consecutiveFailures() >= Policy.FailuresBeforeQuarantine)
      continue;
    own.QuarantineDuration =
        std::exchange(worker.QuarantineDuration, absl::ZeroDuration());
    own.QuarantinedUntil = worker.QuarantinedUntil;
    if (now < worker.QuarantinedUntil)
      released.push_back(incarnation);
    worker.QuarantinedUntil = std::min(worker.QuarantinedUntil, now);
  }
  return released;
}

bool Fleet::hasOtherUsable(const WorkerView &worker, absl::Time now) const {
  return std::any_of(Workers.begin(), Workers.end(), [&](const auto &entry) {
    const WorkerView &other = entry.second;
    return &other != &worker && other.State.Service == worker.State.Service &&
           isUsable(other, now);
  });
}

absl::Duration Fleet::nextQuarantine(absl::Duration latest) const {
  return latest == absl::ZeroDuration()
             ? Policy.FirstQuarantine
             : std::min(latest * 2, Policy.MaxQuarantine);
}

bool Fleet::quarantine(WorkerView &worker, absl::Time now) const {
  if (now < worker.QuarantinedUntil)
    return false;
  worker.QuarantineDuration = nextQuarantine(worker.QuarantineDuration);
  worker.QuarantinedUntil = now + worker.QuarantineDuration;
  return true;
}

void Fleet::endQuarantine(const WorkerIncarnation &incarnation,
                          const std::string &job, absl::Time now) {
  WorkerView *worker = find(incarnation);
  if (worker == nullptr)
    return;
  worker->QuarantinedUntil = std::min(worker->QuarantinedUntil, now);
  auto own = worker->OwnFailuresByJob.find(job);
  if (own != worker->OwnFailuresByJob.end())
    own->second.QuarantinedUntil = std::min(own->second.QuarantinedUntil, now);
}

void Fleet::allocate(const WorkerIncarnation &incarnation, const RunId &run,
                     const core::Resources &resources) {
  WorkerView *worker = find(incarnation);
  if (worker != nullptr && worker->Allocations.emplace(run, resources).second)
    worker->Used += resources;
}

void Fleet::release(const WorkerIncarnation &incarnation, const RunId &run) {
  WorkerView *worker = find(incarnation);
  if (worker == nullptr)
    return;
  auto it = worker->Allocations.find(run);
  if (it == worker->Allocations.end())
    return;
  worker->Used -= it->second;
  worker->Allocations.erase(it);
}

void Fleet::addLateStop(const WorkerIncarnation &incarnation, const RunId &run,
                        absl::Time neededUntil) {
  WorkerView *worker = find(incarnation);
  if (worker != nullptr)
    worker->LateStops[run] = {neededUntil};
}

void Fleet::removeLateStop(const WorkerIncarnation &incarnation,
                           const RunId &run) {
  WorkerView *worker = find(incarnation);
  if (worker != nullptr)
    worker->LateStops.erase(run);
}

std::map<WorkerIncarnation, std::vector<RunId>>
Fleet::takeLateStops(absl::Duration resendInterval, absl::Time now) {
  std::map<WorkerIncarnation, std::vector<RunId>> due;
  for (auto &[incarnation, worker] : Workers) {
    std::erase_if(worker.LateStops, [now](const auto &entry) {
      return entry.second.NeededUntil <= now;
    });
    for (auto &[run, stop] : worker.LateStops)
      if (now - stop.LastOrderAt >= resendInterval) {
        stop.LastOrderAt = now;
        due[incarnation].push_back(run);
      }
  }
  return due;
}

bool Fleet::registerEnd(const WorkerIncarnation &incarnation, int64_t number) {
  WorkerView *worker = find(incarnation);
  if (worker == nullptr || number <= worker->SeenUpto)
    return false;
  return worker->RunEnds.emplace(number, false).second;
}

void Fleet::markEndRecorded(const WorkerIncarnation &incarnation,
                            int64_t number) {
  WorkerView *worker = find(incarnation);
  if (worker == nullptr)
    return;
  auto it = worker->RunEnds.find(number);
  if (it == worker->RunEnds.end())
    return;
  it->second = true;
  // Ends are removed in order: one that has not been recorded yet blocks those
  // after it.
  while (!worker->RunEnds.empty() && worker->RunEnds.begin()->second) {
    worker->SeenUpto = worker->RunEnds.begin()->first;
    worker->RunEnds.erase(worker->RunEnds.begin());
  }
}

} // namespace oriolebay::jobs
