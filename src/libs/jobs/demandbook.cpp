#include "demandbook.h"

#include <algorithm>
#include <cmath>

namespace oriolebay::jobs {

namespace {

/// What came so long ago counts e times less than what comes now.
constexpr absl::Duration FadesIn = absl::Seconds(20);
/// Standard deviations beyond the mean.
constexpr double Spread = 1;

} // namespace

double DemandBook::decayed(double sum, absl::Time now) const {
  return sum == 0 ? 0
                  : sum * std::exp(-absl::FDivDuration(now - Last, FadesIn));
}

void DemandBook::arrived(int64_t accelerators, absl::Time now) {
  const auto a = static_cast<double>(accelerators);
  Sum = decayed(Sum, now) + a;
  Squares = decayed(Squares, now) + a * a;
  Last = now;
  First = std::min(First, now);
}

double DemandBook::within(absl::Duration span, absl::Time now) const {
  if (Sum == 0)
    return 0;
  // At first the sums have not had the time to fill up.
  const double filled =
      1 - std::exp(-absl::FDivDuration(now - First + span, FadesIn));
  const double share =
      absl::FDivDuration(span, FadesIn) / std::max(filled, 1e-6);
  return decayed(Sum, now) * share +
         Spread * std::sqrt(decayed(Squares, now) * share);
}

} // namespace oriolebay::jobs
