#pragma once

#include "endpoints/messages.h"

#include <absl/time/time.h>

#include <map>
#include <vector>

namespace oriolebay::agent {

/// Tracks the starts that were sent to one incarnation of a worker. If that
/// incarnation ends without notice, it tells which runs may have crashed it and
/// which may still start. Uses no threads, clock or sockets.
class StartTracker {
public:
  /// Records that a start is sent to the worker, for the first time or as a
  /// retry.
  void recordSent(const endpoints::RunId &run, absl::Time now);
  /// Records that the worker, or another incarnation under its id, accepted the
  /// run.
  void recordAccepted(const endpoints::RunId &run);
  /// Records that this incarnation listed the run, as running or ended.
  void recordListed(const endpoints::RunId &run);
  /// Records that this incarnation listed the run as ended.
  void recordEnded(const endpoints::RunId &run);
  /// Records that the worker certainly did not start the run.
  void recordNotStarted(const endpoints::RunId &run);
  /// Records that the latest attempt to start the run ran into its timeout.
  void recordTimeout(const endpoints::RunId &run, absl::Time now);
  /// Records that the worker answered a call. Drops the listed starts that are
  /// older than endpoints::CrashDetectionWindow: they can neither have crashed
  /// the worker nor start late.
  void recordAnswer(absl::Time now);
  /// Records that a call got no answer.
  void recordNoAnswer(absl::Time now);
  /// Records that the worker closed the connection of a call that was waiting
  /// for its answer: its process was alive until then.
  void recordConnectionClosed(absl::Time now);

  /// Returns the runs that may have crashed the worker: those that started, or
  /// may have started, less than endpoints::CrashDetectionWindow before its
  /// last sign of life or after that. Runs that were sent after the first
  /// unanswered call are excluded, and so are those that the worker outlived:
  /// it listed their end, they were neither accepted nor listed and their
  /// latest attempt had timed out by then, or the first call that failed did so
  /// later than any call after a crash that they caused.
  std::vector<endpoints::RunId> recentlyStartedRuns() const;
  /// Returns the runs that this incarnation never listed and that the next one
  /// under its id may have or still receive. If nothing listens at the worker's
  /// address any more (nothingListens), the runs that it accepted are excluded,
  /// because they ended with its process.
  std::vector<endpoints::RunId> possibleLateStarts(bool nothingListens) const;

private:
  struct Start {
    absl::Time FirstSent;
    /// The worker, or another incarnation under its id, accepted the run.
    bool Accepted = false;
    bool Listed = false;
    bool Ended = false;
    /// Time at which the latest attempt timed out.
    absl::Time TimedOutAt = absl::InfiniteFuture();
  };

  std::map<endpoints::RunId, Start> Starts;
  /// Last answer, or end of a connection that the worker held until then.
  absl::Time LastSignOfLife = absl::InfinitePast();
  /// Time of the first unanswered call since the last answer.
  absl::Time UnansweredSince = absl::InfiniteFuture();
};

} // namespace oriolebay::agent
