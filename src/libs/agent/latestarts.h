#pragma once

#include "endpoints/messages.h"

#include <absl/time/time.h>

#include <map>
#include <vector>

namespace oriolebay::agent {

/// Tracks starts with an attempt that got no answer. The worker may still carry
/// out such an attempt late. The next incarnation of the worker under the same
/// id may do so as well, even if another attempt was answered and the run has
/// ended since. Uses no threads, clock or sockets.
class UnansweredStarts {
public:
  /// An attempt to start the run got no answer.
  void recordAttempt(const endpoints::RunId &run, absl::Time now);
  /// No incarnation can carry out the run from now on.
  void markResolved(const endpoints::RunId &run) { LastAttempts.erase(run); }
  /// No incarnation uses that worker id any more.
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
