#include "heartbeatsequence.h"

namespace oriolebay::agent {

void HeartbeatSequence::begin(int64_t number) {
  Last = number;
  LastOfSeries = 0;
}

bool HeartbeatSequence::accept(int64_t number, absl::Time now) {
  const bool continuesSeries = LastOfSeries > 0 && number > LastOfSeries;
  if (number > Last || (continuesSeries && now - SeriesBegan >= SeriesTime)) {
    begin(number);
    return true;
  }
  if (!continuesSeries)
    SeriesBegan = now;
  LastOfSeries = number;
  return false;
}

} // namespace oriolebay::agent
