#pragma once

#include <cstdio>
#include <cstdlib>
#include <utility>

namespace oriolebay::cluster {

/// The first and the last seed to play: a few in CI, by hand as many as the
/// variable ORIOLEBAY_SEEDS says ("1-2000").
inline std::pair<int, int> seedsToPlay() {
  int first = 1;
  int last = 60;
  if (const char *range = std::getenv("ORIOLEBAY_SEEDS"))
    std::sscanf(range, "%d-%d", &first, &last);
  return {first, last};
}

} // namespace oriolebay::cluster
