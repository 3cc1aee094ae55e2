#include "startbook.h"

#include <algorithm>

namespace oriolebay::agent {

using endpoints::RunId;

void StartBook::sent(const RunId &run, absl::Time now) {
  Starts.emplace(run, Start{now});
}

void StartBook::taken(const RunId &run) {
  auto it = Starts.find(run);
  if (it != Starts.end())
    it->second.Accepted = true;
}

void StartBook::listed(const RunId &run) {
  auto it = Starts.find(run);
  if (it != Starts.end())
    it->second.Listed = true;
}

void StartBook::neverBegan(const RunId &run) { Starts.erase(run); }

void StartBook::answered(absl::Time now) {
  LastAnswer = now;
  UnansweredSince = absl::InfiniteFuture();
  std::erase_if(Starts, [now](const auto &entry) {
    const Start &start = entry.second;
    return start.Listed && now - start.FirstSent >= endpoints::CrashShowsWithin;
  });
}

void StartBook::unanswered(absl::Time now) {
  UnansweredSince = std::min(UnansweredSince, now);
}

// Starts that were sent after the worker stopped answering cannot have crashed
// it.
std::vector<RunId> StartBook::justBegun() const {
  std::vector<RunId> runs;
  for (const auto &[run, start] : Starts)
    if (start.FirstSent <= UnansweredSince &&
        LastAnswer - start.FirstSent < endpoints::CrashShowsWithin)
      runs.push_back(run);
  return runs;
}

std::vector<RunId> StartBook::mayStillBegin(bool nothingListens) const {
  std::vector<RunId> runs;
  for (const auto &[run, start] : Starts)
    if (!start.Listed && !(start.Accepted && nothingListens))
      runs.push_back(run);
  return runs;
}

} // namespace oriolebay::agent
