// Suspect tasks, which may have crashed their workers, are started in
// isolation, so that the next crash identifies its cause and affects little
// other work.
#include "planner.h"

#include <algorithm>

namespace oriolebay::jobs {

namespace {

/// What the start of a suspect task puts at risk: other work on the same
/// worker, and its own job on a host where the worker may crash by itself.
constexpr int RiskToOtherWork = 1;
constexpr int RiskOfHostCrash = 2;

} // namespace

// Marks the candidates with a recent start. Iterates over all running tasks,
// therefore only while there are suspect tasks.
void Planner::markRecentStarts() {
  const bool suspects =
      std::any_of(Scheduler.Jobs.begin(), Scheduler.Jobs.end(),
                  [](const auto &entry) { return entry.second.HasSuspects; });
  if (!suspects)
    return;
  for (auto &[id, job] : Scheduler.Jobs)
    Scheduler.forEachTask(job, [this](const core::TaskId &, const Task &task) {
      if (!task.isAssigned() || task.hasOutlivedCrashWindow())
        return;
      auto candidate = CandidateOf.find(task.Progress.Worker);
      if (candidate == CandidateOf.end())
        return;
      Candidates[candidate->second].HasRecentStart = true;
      Candidates[candidate->second].HasRecentSuspectStart |= task.isSuspect();
    });
}

void Planner::markRecentStart(size_t candidateIndex,
                              const PlacementUnit &unit) {
  Candidates[candidateIndex].HasRecentStart = true;
  Candidates[candidateIndex].HasRecentSuspectStart |= unit.HasSuspect;
}

bool Planner::canStartOn(const Candidate &candidate,
                         const PlacementUnit &unit) const {
  return !candidate.HasRecentSuspectStart &&
         !(unit.HasSuspect && candidate.HasRecentStart);
}

int Planner::crashRisk(const Candidate &candidate,
                       const PlacementUnit &unit) const {
  if (!unit.HasSuspect)
    return 0;
  return (isEmpty(candidate) ? 0 : RiskToOtherWork) +
         (Scheduler.hasCrashedRecently(candidate.View->Agent, Now)
              ? RiskOfHostCrash
              : 0);
}

} // namespace oriolebay::jobs
