#include "workerspeedestimator.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace oriolebay::jobs {

namespace {

/// Maximum logarithm of a speed that is believed, in either direction: a factor
/// of a hundred.
constexpr double MaxLog = 4.6;

} // namespace

double WorkerSpeedEstimator::weightOfNextEnd(const Learned &worker) const {
  return 1 / (std::min(worker.Ends, Policy.MaxEnds) + Policy.PriorEnds + 1);
}

// One step of least squares. The difference between the duration of the new end
// and the one expected for its worker is attributed to that worker, and with
// the opposite sign and in smaller parts to the workers that it is compared
// with.
void WorkerSpeedEstimator::recordRunDuration(const std::string &step,
                                             const std::string &worker,
                                             absl::Duration duration) {
  if (duration <= absl::ZeroDuration())
    return;
  std::deque<End> &others = Steps[step];
  const double logDuration = std::log(absl::ToDoubleSeconds(duration));
  double sum = 0;
  size_t compared = 0;
  for (const End &other : others)
    if (other.Worker != worker) {
      sum += other.LogDuration - Workers[other.Worker].Log;
      ++compared;
    }
  if (compared > 0) {
    const auto n = static_cast<double>(compared);
    Learned &learnedWorker = Workers[worker];
    const double residual = logDuration - learnedWorker.Log - sum / n;
    learnedWorker.Log += residual * weightOfNextEnd(learnedWorker);
    ++learnedWorker.Ends;
    for (const End &other : others)
      if (other.Worker != worker) {
        Learned &otherWorker = Workers[other.Worker];
        otherWorker.Log -= residual / n * weightOfNextEnd(otherWorker);
      }
    MedianKnown = false;
  }
  others.push_back({worker, logDuration});
  if (others.size() > Policy.MaxComparedEnds)
    others.pop_front();
}

bool WorkerSpeedEstimator::importSpeed(const std::string &worker,
                                       const endpoints::LearnedSpeed &speed) {
  if (!std::isfinite(speed.Log) || !std::isfinite(speed.Ends) ||
      std::abs(speed.Log) > MaxLog || speed.Ends < 0)
    return false;
  Learned &learnedWorker = Workers[worker];
  if (speed.Ends <= learnedWorker.Ends)
    return true;
  learnedWorker = speed;
  MedianKnown = false;
  return true;
}

endpoints::LearnedSpeed
WorkerSpeedEstimator::learnedSpeed(const std::string &worker) const {
  auto it = Workers.find(worker);
  return it == Workers.end() ? endpoints::LearnedSpeed() : it->second;
}

void WorkerSpeedEstimator::forget(const std::string &step) {
  Steps.erase(step);
}

double WorkerSpeedEstimator::medianLog() const {
  if (MedianKnown || Workers.empty())
    return Median;
  std::vector<double> all;
  for (const auto &[name, worker] : Workers)
    all.push_back(worker.Log);
  const auto middle =
      all.begin() + static_cast<std::ptrdiff_t>((all.size() - 1) / 2);
  std::nth_element(all.begin(), middle, all.end());
  Median = *middle;
  MedianKnown = true;
  return Median;
}

// Workers that others were compared with have learned something from that too,
// although none of their own ends was counted.
bool WorkerSpeedEstimator::isKnown(const std::string &worker) const {
  auto it = Workers.find(worker);
  return it != Workers.end() && (it->second.Ends > 0 || it->second.Log != 0);
}

double WorkerSpeedEstimator::slowness(const std::string &worker) const {
  auto it = Workers.find(worker);
  return it == Workers.end() ? 1 : std::exp(it->second.Log - medianLog());
}

} // namespace oriolebay::jobs
