#include "urgentdemandestimator.h"

#include <algorithm>
#include <cmath>

namespace oriolebay::jobs {

namespace {

/// Time after which an arrival counts e times less than a new one.
constexpr absl::Duration DecayTime = absl::Seconds(20);
/// Number of standard deviations above the mean.
constexpr double DeviationsAboveMean = 1;

} // namespace

double UrgentDemandEstimator::decayed(double sum, absl::Time now) const {
  return sum == 0
             ? 0
             : sum *
                   std::exp(-absl::FDivDuration(now - LastArrival, DecayTime));
}

void UrgentDemandEstimator::recordArrival(int64_t accelerators,
                                          absl::Time now) {
  const auto a = static_cast<double>(accelerators);
  AcceleratorSum = decayed(AcceleratorSum, now) + a;
  SquareSum = decayed(SquareSum, now) + a * a;
  LastArrival = now;
  FirstArrival = std::min(FirstArrival, now);
}

double UrgentDemandEstimator::expectedDemand(absl::Duration span,
                                             absl::Time now) const {
  if (AcceleratorSum == 0)
    return 0;
  // Corrects for the sums not yet having reached their steady state shortly
  // after the first arrival.
  const double fillLevel =
      1 - std::exp(-absl::FDivDuration(now - FirstArrival + span, DecayTime));
  const double share =
      absl::FDivDuration(span, DecayTime) / std::max(fillLevel, 1e-6);
  return decayed(AcceleratorSum, now) * share +
         DeviationsAboveMean * std::sqrt(decayed(SquareSum, now) * share);
}

} // namespace oriolebay::jobs
