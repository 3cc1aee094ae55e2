#include "progress.h"

#include <algorithm>

namespace oriolebay::jobs {

void ProgressWatch::seen(const RunId &run, const std::string &worker,
                         int percent, absl::Duration estimate, bool resumed,
                         absl::Time now) {
  auto [it, added] = Runs.try_emplace(
      run, Watched{worker, estimate, resumed, percent, percent, now, now});
  Watched &w = it->second;
  w.LastSeen = now;
  if (added || percent <= w.Percent)
    return;
  w.Percent = percent;
  w.LastGain = now;
}

void ProgressWatch::forget(const RunId &run) { Runs.erase(run); }

bool ProgressWatch::stalled(const RunId &run) const {
  auto it = Runs.find(run);
  if (it == Runs.end() || it->second.Percent >= 100)
    return false;
  const Watched &w = it->second;
  absl::Duration patience =
      std::max(Policy.StalledAfter, w.Estimate * Policy.StalledShare);
  if (w.Resumed)
    patience += Policy.Restore;
  return w.LastSeen - w.LastGain >= patience;
}

bool ProgressWatch::workerMoves(const std::string &worker,
                                absl::Time now) const {
  return std::any_of(Runs.begin(), Runs.end(), [&](const auto &entry) {
    const Watched &w = entry.second;
    // A run that was only just seen first has not shown anything.
    return w.Worker == worker && w.Percent > w.FirstPercent &&
           now - w.LastGain < Policy.StalledAfter;
  });
}

} // namespace oriolebay::jobs
