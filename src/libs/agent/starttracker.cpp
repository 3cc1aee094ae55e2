#include "starttracker.h"

#include <algorithm>

namespace oriolebay::agent {

using endpoints::RunId;

namespace {

/// A call to a worker whose process has ended fails within this time, even if
/// nothing tells that its connection is gone: the longest poll and the margin
/// for its answer.
constexpr absl::Duration MaxCallTime = absl::Milliseconds(900);

} // namespace

void StartTracker::recordSent(const RunId &run, absl::Time now) {
  Start &start = Starts.emplace(run, Start{now}).first->second;
  // An attempt that is sent to a worker that has stopped answering does not
  // tell what stopped it.
  if (now <= UnansweredSince)
    start.TimedOutAt = absl::InfiniteFuture();
}

void StartTracker::recordAccepted(const RunId &run) {
  auto it = Starts.find(run);
  if (it != Starts.end())
    it->second.Accepted = true;
}

void StartTracker::recordListed(const RunId &run) {
  auto it = Starts.find(run);
  if (it != Starts.end())
    it->second.Listed = true;
}

void StartTracker::recordEnded(const RunId &run) {
  auto it = Starts.find(run);
  if (it != Starts.end())
    it->second.Ended = true;
}

void StartTracker::recordNotStarted(const RunId &run) { Starts.erase(run); }

void StartTracker::recordTimeout(const RunId &run, absl::Time now) {
  auto it = Starts.find(run);
  if (it != Starts.end())
    it->second.TimedOutAt = now;
}

void StartTracker::recordAnswer(absl::Time now) {
  LastSignOfLife = now;
  UnansweredSince = absl::InfiniteFuture();
  std::erase_if(Starts, [now](const auto &entry) {
    const Start &start = entry.second;
    return start.Listed &&
           now - start.FirstSent >= endpoints::CrashDetectionWindow;
  });
}

void StartTracker::recordNoAnswer(absl::Time now) {
  UnansweredSince = std::min(UnansweredSince, now);
}

void StartTracker::recordConnectionClosed(absl::Time now) {
  LastSignOfLife = now;
}

// Starts that were sent after the worker stopped answering cannot have crashed
// it.
std::vector<RunId> StartTracker::recentlyStartedRuns() const {
  std::vector<RunId> runs;
  for (const auto &[run, start] : Starts) {
    const bool hasTimedOut =
        !start.Accepted && !start.Listed && start.TimedOutAt <= UnansweredSince;
    // After a crash within the window a call would have failed by then.
    const bool failedTooLate =
        UnansweredSince != absl::InfiniteFuture() &&
        UnansweredSince - start.FirstSent >=
            endpoints::CrashDetectionWindow + MaxCallTime;
    const bool outlived = hasTimedOut || start.Ended || failedTooLate;
    if (!outlived && start.FirstSent <= UnansweredSince &&
        LastSignOfLife - start.FirstSent < endpoints::CrashDetectionWindow)
      runs.push_back(run);
  }
  return runs;
}

std::vector<RunId> StartTracker::possibleLateStarts(bool nothingListens) const {
  std::vector<RunId> runs;
  for (const auto &[run, start] : Starts)
    if (!start.Listed && !(start.Accepted && nothingListens))
      runs.push_back(run);
  return runs;
}

} // namespace oriolebay::agent
