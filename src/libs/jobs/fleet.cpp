#include "fleet.h"

#include <algorithm>

namespace oriolebay::jobs {

// An agent that has just started has not heard of its worker yet: that says
// nothing about a life that was known before.
std::optional<endpoints::LifeEnd> endOf(const endpoints::WorkerReport &report,
                                        const WorkerLife &life) {
  for (const endpoints::LifeEnd &end : report.EndedLives)
    if (end.Life == life)
      return end;
  if (!report.Worker.Life.empty() && report.Worker.Life != life)
    return endpoints::LifeEnd{life};
  return std::nullopt;
}

bool Fleet::isOvertaken(const endpoints::WorkerReport &report) const {
  auto it = ToldEnds.find(report.Agent);
  return it != ToldEnds.end() && it->second.Life == report.Worker.Life &&
         report.Sequence < it->second.Sequence;
}

std::vector<endpoints::LifeEnd>
Fleet::heard(const endpoints::WorkerReport &report, absl::Time now) {
  std::vector<endpoints::LifeEnd> ended;
  for (const auto &[life, worker] : Workers)
    if (worker.Agent == report.Agent)
      if (const auto end = endOf(report, life))
        ended.push_back(*end);
  for (const endpoints::LifeEnd &end : ended) {
    Workers.erase(end.Life);
    ToldEnds[report.Agent] = {end.Life, report.Sequence};
  }
  if (report.Worker.Life.empty())
    return ended;
  WorkerView &worker = Workers[report.Worker.Life];
  worker.State = report.Worker;
  worker.Agent = report.Agent;
  worker.AgentAddress = report.AgentAddress;
  worker.LastHeard = now;
  worker.Sequence = report.Sequence;
  worker.Reachable = report.Reachable;
  worker.LeavesAt = report.Worker.Draining
                        ? now + absl::Milliseconds(report.Worker.RemainingMs)
                        : absl::InfiniteFuture();
  // Nobody is granted more time while the worker cannot be held.
  if (report.Reachable || worker.LostAt == absl::Time())
    worker.LostAt = now + Policy.LostAfter;
  return ended;
}

std::vector<WorkerLife> Fleet::takeLost(absl::Time now) {
  std::vector<WorkerLife> lost;
  for (const auto &[life, worker] : Workers)
    if (worker.LostAt <= now)
      lost.push_back(life);
  for (const WorkerLife &life : lost)
    Workers.erase(life);
  return lost;
}

WorkerView *Fleet::find(const WorkerLife &life) {
  auto it = Workers.find(life);
  return it == Workers.end() ? nullptr : &it->second;
}

const WorkerView *Fleet::find(const WorkerLife &life) const {
  auto it = Workers.find(life);
  return it == Workers.end() ? nullptr : &it->second;
}

core::Resources Fleet::capacityOf(const std::string &service) const {
  core::Resources all;
  for (const auto &[life, worker] : Workers)
    if (worker.State.Service == service)
      all += worker.State.Capacity;
  return all;
}

bool Fleet::usable(const WorkerView &worker, absl::Time now) const {
  return !worker.State.Draining && worker.Reachable &&
         now - worker.LastHeard < Policy.SuspectAfter &&
         now >= worker.KeptOutUntil;
}

bool Fleet::recordEnd(const WorkerLife &life, bool ok, absl::Time now) {
  WorkerView *worker = find(life);
  if (worker == nullptr)
    return false;
  if (ok) {
    worker->FailedInARow = 0;
    worker->KeepOut = absl::ZeroDuration();
    ++worker->DoneHere;
    return false;
  }
  if (++worker->FailedInARow < Policy.FailuresInARow)
    return false;
  return keepOut(life, now);
}

bool Fleet::keepOut(const WorkerLife &life, absl::Time now) {
  WorkerView *worker = find(life);
  if (worker == nullptr || now < worker->KeptOutUntil)
    return false;
  worker->KeepOut = worker->KeepOut == absl::ZeroDuration()
                        ? Policy.KeepOutFirst
                        : std::min(worker->KeepOut * 2, Policy.KeepOutLongest);
  worker->KeptOutUntil = now + worker->KeepOut;
  return true;
}

void Fleet::occupy(const WorkerLife &life, const RunId &run,
                   const core::Resources &room) {
  WorkerView *worker = find(life);
  if (worker != nullptr && worker->Occupants.emplace(run, room).second)
    worker->Used += room;
}

void Fleet::vacate(const WorkerLife &life, const RunId &run) {
  WorkerView *worker = find(life);
  if (worker == nullptr)
    return;
  auto it = worker->Occupants.find(run);
  if (it == worker->Occupants.end())
    return;
  worker->Used -= it->second;
  worker->Occupants.erase(it);
}

bool Fleet::endListed(const WorkerLife &life, int64_t number) {
  WorkerView *worker = find(life);
  if (worker == nullptr || number <= worker->SeenUpto)
    return false;
  return worker->Ends.emplace(number, false).second;
}

void Fleet::endRecorded(const WorkerLife &life, int64_t number) {
  WorkerView *worker = find(life);
  if (worker == nullptr)
    return;
  auto it = worker->Ends.find(number);
  if (it == worker->Ends.end())
    return;
  it->second = true;
  // Ends are forgotten in order: one that is not recorded holds back those
  // behind it.
  while (!worker->Ends.empty() && worker->Ends.begin()->second) {
    worker->SeenUpto = worker->Ends.begin()->first;
    worker->Ends.erase(worker->Ends.begin());
  }
}

} // namespace oriolebay::jobs
