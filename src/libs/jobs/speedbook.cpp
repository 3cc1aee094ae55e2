#include "speedbook.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace oriolebay::jobs {

double SpeedBook::weightOfNext(const Learned &worker) const {
  return 1 / (std::min(worker.Ends, Policy.MostEnds) + Policy.UsualBefore + 1);
}

// One step of least squares: what the new end takes beyond what was expected of
// it is put down to its worker, and less of it, the other way round, to those
// that it was compared with.
void SpeedBook::took(const std::string &step, const std::string &worker,
                     absl::Duration whole) {
  if (whole <= absl::ZeroDuration())
    return;
  std::deque<End> &others = Steps[step];
  const double logTook = std::log(absl::ToDoubleSeconds(whole));
  double sum = 0;
  size_t compared = 0;
  for (const End &other : others)
    if (other.Worker != worker) {
      sum += other.LogTook - Workers[other.Worker].Log;
      ++compared;
    }
  if (compared > 0) {
    const auto n = static_cast<double>(compared);
    Learned &mine = Workers[worker];
    const double beyond = logTook - mine.Log - sum / n;
    mine.Log += beyond * weightOfNext(mine);
    ++mine.Ends;
    for (const End &other : others)
      if (other.Worker != worker) {
        Learned &theirs = Workers[other.Worker];
        theirs.Log -= beyond / n * weightOfNext(theirs);
      }
    UsualKnown = false;
  }
  others.push_back({worker, logTook});
  if (others.size() > Policy.MostCompared)
    others.pop_front();
}

void SpeedBook::recall(const std::string &worker,
                       const endpoints::LearnedSpeed &speed) {
  Learned &mine = Workers[worker];
  if (speed.Ends <= mine.Ends)
    return;
  mine = speed;
  UsualKnown = false;
}

endpoints::LearnedSpeed SpeedBook::learned(const std::string &worker) const {
  auto it = Workers.find(worker);
  return it == Workers.end() ? endpoints::LearnedSpeed() : it->second;
}

void SpeedBook::forget(const std::string &step) { Steps.erase(step); }

double SpeedBook::usual() const {
  if (UsualKnown || Workers.empty())
    return Usual;
  std::vector<double> all;
  for (const auto &[name, worker] : Workers)
    all.push_back(worker.Log);
  const auto middle =
      all.begin() + static_cast<std::ptrdiff_t>((all.size() - 1) / 2);
  std::nth_element(all.begin(), middle, all.end());
  Usual = *middle;
  UsualKnown = true;
  return Usual;
}

double SpeedBook::slowness(const std::string &worker) const {
  auto it = Workers.find(worker);
  return it == Workers.end() ? 1 : std::exp(it->second.Log - usual());
}

} // namespace oriolebay::jobs
