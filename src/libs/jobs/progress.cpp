#include "progress.h"

#include <algorithm>
#include <cmath>

namespace oriolebay::jobs {

void ProgressWatch::seen(const RunId &run, const WorkerLife &worker,
                         int percent, absl::Duration estimate, bool resumed,
                         absl::Time now) {
  auto [it, added] = Runs.try_emplace(
      run, Watched{worker, estimate, resumed, percent, percent, now, now, {}});
  Watched &w = it->second;
  w.LastSeen = now;
  if (added || percent <= w.Percent)
    return;
  w.Percent = percent;
  w.LastGain = now;
  w.Gains.push_back({now, percent});
  while (w.Gains.size() > 2 && now - w.Gains[1].At >= Policy.RateOver)
    w.Gains.pop_front();
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

bool ProgressWatch::workerMoves(const WorkerLife &worker,
                                absl::Time now) const {
  return std::any_of(Runs.begin(), Runs.end(), [&](const auto &entry) {
    const Watched &w = entry.second;
    // A run that was only just seen first has not shown anything.
    return w.Worker == worker && w.Percent > w.FirstPercent &&
           now - w.LastGain < Policy.StalledAfter;
  });
}

std::optional<ProgressWatch::Whole>
ProgressWatch::whole(const RunId &run) const {
  auto it = Runs.find(run);
  if (it == Runs.end() || it->second.Gains.empty() || it->second.Percent >= 100)
    return std::nullopt;
  const Watched &w = it->second;
  const absl::Duration span = w.Gains.back().At - w.Gains.front().At;
  const int gained = w.Gains.back().Percent - w.Gains.front().Percent;
  if (span < Policy.RateOver || gained <= 0)
    return std::nullopt;
  return Whole{span * (100.0 / (gained + 1)),
               gained > 1 ? span * (100.0 / (gained - 1))
                          : absl::InfiniteDuration()};
}

void EstimateBook::ended(const std::string &queue, absl::Duration estimate,
                         absl::Duration took) {
  if (estimate <= absl::ZeroDuration() || took <= absl::ZeroDuration())
    return;
  Errors &e = Queues[queue];
  const double x = std::log(absl::FDivDuration(took, estimate));
  // Welford's method: mean and sum of squares in one pass.
  ++e.Count;
  const double before = x - e.Mean;
  e.Mean += before / e.Count;
  e.SquaresSum += before * (x - e.Mean);
}

absl::Duration EstimateBook::expected(const std::string &queue,
                                      absl::Duration estimate) const {
  auto it = Queues.find(queue);
  return it == Queues.end() ? estimate : estimate * std::exp(it->second.Mean);
}

std::optional<absl::Duration>
EstimateBook::slowBeyond(const std::string &queue,
                         absl::Duration estimate) const {
  auto it = Queues.find(queue);
  if (it == Queues.end() || it->second.Count < Policy.EndsToBelieve)
    return std::nullopt;
  const Errors &e = it->second;
  const double deviation = std::sqrt(e.SquaresSum / (e.Count - 1));
  if (deviation > Policy.MostScatter)
    return std::nullopt;
  const double margin =
      std::max(Policy.Deviations * deviation, std::log(Policy.SlowFactor));
  return expected(queue, estimate) * std::exp(margin);
}

} // namespace oriolebay::jobs
