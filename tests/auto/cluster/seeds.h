#pragma once

#include <cstdio>
#include <cstdlib>
#include <utility>

namespace oriolebay::cluster {

/// Returns the first and the last seed to run: a few by default, as in CI, or
/// the range in the environment variable ORIOLEBAY_SEEDS, such as "1-2000".
inline std::pair<int, int> seedsToRun(int lastByDefault = 60) {
  int first = 1;
  int last = lastByDefault;
  if (const char *range = std::getenv("ORIOLEBAY_SEEDS"))
    std::sscanf(range, "%d-%d", &first, &last);
  return {first, last};
}

} // namespace oriolebay::cluster
