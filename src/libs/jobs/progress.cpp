#include "progress.h"

#include <algorithm>
#include <cmath>

namespace oriolebay::jobs {

void ProgressTracker::recordProgress(const RunId &run, const RunKind &kind,
                                     int percent, absl::Time now) {
  auto [it, added] = Runs.try_emplace(
      run, TrackedRun{kind, percent, percent, now, now, now, {}});
  TrackedRun &tracked = it->second;
  tracked.LastReport = now;
  if (added || percent <= tracked.Percent)
    return;
  tracked.Percent = percent;
  tracked.LastIncrease = now;
  tracked.Increases.push_back({now, percent});
  while (tracked.Increases.size() > 2 &&
         now - tracked.Increases[1].At >= Policy.MinRateWindow)
    tracked.Increases.pop_front();
}

void ProgressTracker::forget(const RunId &run) { Runs.erase(run); }

const ProgressTracker::TrackedRun *
ProgressTracker::find(const RunId &run) const {
  auto it = Runs.find(run);
  return it == Runs.end() ? nullptr : &it->second;
}

absl::Duration ProgressTracker::stillTime(const RunId &run) const {
  const TrackedRun *tracked = find(run);
  if (tracked == nullptr || tracked->Percent >= 100)
    return absl::ZeroDuration();
  return tracked->LastReport - tracked->LastIncrease;
}

bool ProgressTracker::isSuddenlyStill(const RunId &run) const {
  const TrackedRun *tracked = find(run);
  if (tracked == nullptr || tracked->Percent >= 100 ||
      tracked->Increases.size() < 2)
    return false;
  const Sample &first = tracked->Increases.front();
  const Sample &last = tracked->Increases.back();
  const absl::Duration still = stillTime(run);
  const double missing = (last.Percent - first.Percent) *
                         absl::FDivDuration(still, last.At - first.At);
  return still >= Policy.SuddenStallAfter &&
         missing >= Policy.SuddenStallPercent;
}

// The time to the first increase counts for runs that started from nothing and
// at once. Of others, part of that percent was done before, or of that time was
// spent waiting.
std::optional<absl::Duration>
ProgressTracker::percentTime(const RunId &run) const {
  const TrackedRun *tracked = find(run);
  if (tracked == nullptr || tracked->Increases.empty())
    return std::nullopt;
  const Sample &last = tracked->Increases.back();
  if (tracked->Increases.size() > 1) {
    const Sample &first = tracked->Increases.front();
    return (last.At - first.At) / (last.Percent - first.Percent);
  }
  if (tracked->Kind.Resumed || tracked->Kind.AwaitsOthers ||
      tracked->FirstPercent > 0)
    return std::nullopt;
  return (last.At - tracked->FirstReport) / last.Percent;
}

bool ProgressTracker::isResumed(const RunId &run) const {
  const TrackedRun *tracked = find(run);
  return tracked != nullptr && tracked->Kind.Resumed;
}

bool ProgressTracker::isWorkerProgressing(const RunId &run,
                                          absl::Time now) const {
  auto it = Runs.find(run);
  if (it == Runs.end())
    return false;
  const TrackedRun &own = it->second;
  return std::any_of(Runs.begin(), Runs.end(), [&](const auto &entry) {
    const TrackedRun &tracked = entry.second;
    // The first report of a run sets LastIncrease as well, but does not show
    // any progress.
    return tracked.Kind.Worker == own.Kind.Worker &&
           tracked.Percent > tracked.FirstPercent &&
           tracked.LastIncrease > own.LastIncrease &&
           now - tracked.LastIncrease < Policy.StalledAfter;
  });
}

std::optional<ProgressTracker::DurationBounds>
ProgressTracker::durationBounds(const RunId &run) const {
  auto it = Runs.find(run);
  if (it == Runs.end() || it->second.Increases.empty() ||
      it->second.Percent >= 100)
    return std::nullopt;
  const TrackedRun &tracked = it->second;
  const absl::Duration span =
      tracked.Increases.back().At - tracked.Increases.front().At;
  const int increase =
      tracked.Increases.back().Percent - tracked.Increases.front().Percent;
  if (span < Policy.MinRateWindow || increase <= 0)
    return std::nullopt;
  return DurationBounds{span * (100.0 / (increase + 1)),
                        increase > 1 ? span * (100.0 / (increase - 1))
                                     : absl::InfiniteDuration()};
}

void DurationEstimator::recordTaskDuration(const std::string &queue,
                                           absl::Duration estimate,
                                           absl::Duration actual) {
  if (estimate <= absl::ZeroDuration() || actual <= absl::ZeroDuration())
    return;
  LogErrors &errors = Queues[queue];
  const double logError = std::log(absl::FDivDuration(actual, estimate));
  // Welford's method: mean and sum of squares in one pass.
  ++errors.Count;
  const double previousDeviation = logError - errors.Mean;
  errors.Mean += previousDeviation / errors.Count;
  errors.SquareSum += previousDeviation * (logError - errors.Mean);
}

absl::Duration
DurationEstimator::expectedDuration(const std::string &queue,
                                    absl::Duration estimate) const {
  auto it = Queues.find(queue);
  return it == Queues.end() ? estimate : estimate * std::exp(it->second.Mean);
}

double DurationEstimator::shortfallFactor(const std::string &queue,
                                          double deviations) const {
  auto it = Queues.find(queue);
  if (it == Queues.end() || it->second.Count < Policy.MinEndsForEstimate)
    return 1;
  return std::exp(-deviations * it->second.deviation());
}

std::optional<absl::Duration>
DurationEstimator::slowThreshold(const std::string &queue,
                                 absl::Duration estimate) const {
  auto it = Queues.find(queue);
  if (it == Queues.end() || it->second.Count < Policy.MinEndsForEstimate)
    return std::nullopt;
  const LogErrors &errors = it->second;
  const double deviation = errors.deviation();
  if (deviation > Policy.MaxLogDeviation)
    return std::nullopt;
  const double margin =
      std::max(Policy.MaxDeviations * deviation, std::log(Policy.SlowFactor));
  return expectedDuration(queue, estimate) * std::exp(margin);
}

} // namespace oriolebay::jobs
