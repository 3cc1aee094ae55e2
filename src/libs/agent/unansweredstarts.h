#pragma once

#include "endpoints/messages.h"

#include <absl/time/time.h>

#include <map>
#include <vector>

namespace oriolebay::agent {

/// Tracks starts with an attempt that got no answer. The worker, or its next
/// incarnation under the same id, may still carry out such an attempt late,
/// even if another attempt was answered and the run has ended since. Uses no
/// threads, clock or sockets.
class UnansweredStarts {
public:
  /// Records that an attempt to start the run got no answer. It stays recorded
  /// for endpoints::MaxOrderDelay, because the worker does not carry it out
  /// after that time.
  void recordAttempt(const endpoints::RunId &run, absl::Time now);
  /// Records that no incarnation can carry out the run from now on.
  void markResolved(const endpoints::RunId &run) { LastAttempts.erase(run); }
  /// Drops all starts. Called when no incarnation uses the worker's id any
  /// more.
  void clear() { LastAttempts.clear(); }
  /// Returns whether a worker may still carry out the run.
  bool isUnresolved(const endpoints::RunId &run, absl::Time now) const;
  /// Returns all runs that a worker may still carry out.
  std::vector<endpoints::RunId> unresolvedRuns(absl::Time now) const;

private:
  /// Time of the latest unanswered attempt of each run.
  std::map<endpoints::RunId, absl::Time> LastAttempts;
};

} // namespace oriolebay::agent
