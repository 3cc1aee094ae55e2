#include "unansweredstarts.h"

namespace oriolebay::agent {

using endpoints::RunId;

void UnansweredStarts::recordAttempt(const RunId &run, absl::Time now) {
  std::erase_if(LastAttempts, [now](const auto &entry) {
    return now - entry.second > endpoints::MaxOrderDelay;
  });
  LastAttempts[run] = now;
}

bool UnansweredStarts::isUnresolved(const RunId &run, absl::Time now) const {
  auto it = LastAttempts.find(run);
  return it != LastAttempts.end() &&
         now - it->second <= endpoints::MaxOrderDelay;
}

std::vector<RunId> UnansweredStarts::unresolvedRuns(absl::Time now) const {
  std::vector<RunId> runs;
  for (const auto &[run, at] : LastAttempts)
    if (isUnresolved(run, now))
      runs.push_back(run);
  return runs;
}

} // namespace oriolebay::agent
