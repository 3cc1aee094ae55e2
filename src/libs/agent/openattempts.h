#pragma once

#include "endpoints/messages.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace oriolebay::agent {

/// Tracks the open attempts to start runs: those that a worker may still carry
/// out. An attempt is open from the moment it is sent until it is answered, or,
/// without an answer, for endpoints::MaxOrderDelay. As calls name only the
/// worker's id, any later incarnation under that id may carry it out, even if
/// another attempt was answered and the run has ended since. Uses no threads,
/// clock or sockets.
class OpenAttempts {
public:
  using AttemptNumber = uint64_t;

  /// Records that an attempt to start the run is sent to the incarnation.
  /// Returns the number by which close() refers to the attempt.
  AttemptNumber open(const endpoints::RunId &run,
                     const endpoints::WorkerIncarnation &incarnation,
                     absl::Time now);
  /// Adds an open attempt of an earlier process of the agent, unless one of the
  /// same run at that incarnation is known.
  void adopt(const endpoints::EarlierStart &earlier, absl::Time now);
  /// Records that the attempt was answered. Has no effect if it is not open.
  void close(AttemptNumber number) { Attempts.erase(number); }
  /// Drops the attempts that were sent to any other id. Called when the worker
  /// has this id, so that no incarnation uses the other ids any more.
  void closeOtherIds(const std::string &id);
  /// Drops the attempts that were sent to this id. Called when no incarnation
  /// uses it any more.
  void closeId(const std::string &id);
  /// Drops the attempts to start the run. Called when no incarnation can start
  /// it any more.
  void closeRun(const endpoints::RunId &run);
  /// Records that this incarnation confirmed a stop of the run and so will not
  /// start it any more. The next incarnation does not know of the stop.
  void recordStopped(const endpoints::RunId &run,
                     const endpoints::WorkerIncarnation &incarnation);

  /// Returns the runs with an open attempt.
  std::vector<endpoints::RunId> openRuns(absl::Time now) const;
  /// Returns the runs with an open attempt, with the time for which the latest
  /// one is open.
  std::vector<endpoints::OpenStart> openStarts(absl::Time now) const;
  /// Returns whether the run has an open attempt that this incarnation must
  /// refuse.
  bool isOpenElsewhere(const endpoints::RunId &run,
                       const endpoints::WorkerIncarnation &incarnation,
                       absl::Time now) const;
  /// A run that an incarnation has to stop, and the id that it is sent to.
  struct PendingStop {
    endpoints::RunId Run;
    std::string WorkerId;
    auto operator<=>(const PendingStop &) const = default;
  };
  /// Returns the runs with an open attempt that this incarnation must refuse,
  /// as it was sent to another one or is over, and whose stop this incarnation
  /// has not confirmed.
  std::vector<PendingStop>
  pendingStops(const endpoints::WorkerIncarnation &incarnation,
               absl::Time now) const;

private:
  struct Attempt {
    endpoints::RunId Run;
    endpoints::WorkerIncarnation Incarnation;
    absl::Time SentAt;
    /// The incarnation may run it.
    bool MayRun = true;

    bool mustBeRefusedBy(const endpoints::WorkerIncarnation &other) const {
      return !MayRun || Incarnation != other;
    }
    bool isOpen(absl::Time now) const {
      return now - SentAt < endpoints::MaxOrderDelay;
    }
  };

  AttemptNumber LastNumber = 0;
  std::map<AttemptNumber, Attempt> Attempts;
  /// Confirmed stops of runs with an open attempt, with the incarnations that
  /// confirmed them.
  std::set<std::pair<endpoints::RunId, endpoints::WorkerIncarnation>>
      ConfirmedStops;
};

} // namespace oriolebay::agent
