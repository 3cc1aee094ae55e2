#include "latestarts.h"

namespace oriolebay::agent {

using endpoints::RunId;

void LateStarts::unanswered(const RunId &run, absl::Time now) {
  std::erase_if(LastTries, [now](const auto &entry) {
    return now - entry.second > endpoints::LateOrdersWithin;
  });
  LastTries[run] = now;
}

bool LateStarts::isOpen(const RunId &run, absl::Time now) const {
  auto it = LastTries.find(run);
  return it != LastTries.end() &&
         now - it->second <= endpoints::LateOrdersWithin;
}

std::vector<RunId> LateStarts::open(absl::Time now) const {
  std::vector<RunId> runs;
  for (const auto &[run, at] : LastTries)
    if (isOpen(run, now))
      runs.push_back(run);
  return runs;
}

} // namespace oriolebay::agent
