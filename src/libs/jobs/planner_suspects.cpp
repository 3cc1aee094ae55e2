// Tasks that may have crashed their workers are tried apart, so that the next
// crash tells whose doing it was and takes little else with it.
#include "planner.h"

#include <algorithm>

namespace oriolebay::jobs {

namespace {

/// What the start of a suspect puts at risk: work on the same worker, and its
/// own job, where the worker may crash by itself.
constexpr int RiskOfWork = 1;
constexpr int RiskOfOwnCrash = 2;

} // namespace

// Looks at all that runs, and so only while there are suspects.
void Planner::markSuspects() {
  const bool suspects =
      std::any_of(S.Jobs.begin(), S.Jobs.end(),
                  [](const auto &entry) { return entry.second.HasSuspects; });
  if (!suspects)
    return;
  for (auto &[id, job] : S.Jobs)
    S.forEachTask(job, [this](const core::TaskId &, const Task &task) {
      if (!task.mayRun() || task.outlived())
        return;
      auto place = PlaceOf.find(task.Progress.Worker);
      if (place == PlaceOf.end())
        return;
      Places[place->second].JustBegun = true;
      Places[place->second].HoldsSuspect |= task.isSuspect();
    });
}

void Planner::markBegun(size_t p, const Unit &unit) {
  Places[p].JustBegun = true;
  Places[p].HoldsSuspect |= unit.Suspect;
}

bool Planner::mayStartOn(const Place &place, const Unit &unit) const {
  return !place.HoldsSuspect && !(unit.Suspect && place.JustBegun);
}

int Planner::riskOf(const Place &place, const Unit &unit) const {
  if (!unit.Suspect)
    return 0;
  return (isEmpty(place) ? 0 : RiskOfWork) +
         (S.crashedLately(place.View->Agent, Now) ? RiskOfOwnCrash : 0);
}

} // namespace oriolebay::jobs
