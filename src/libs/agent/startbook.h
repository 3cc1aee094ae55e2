#pragma once

#include "endpoints/messages.h"

#include <absl/time/time.h>

#include <map>
#include <vector>

namespace oriolebay::agent {

/// The starts sent to one life of a worker, for what is known of them when it
/// ends without a word. No threads, clock or sockets.
class StartBook {
public:
  /// A start is on its way to the worker, for the first time or again.
  void sent(const endpoints::RunId &run, absl::Time now);
  /// The worker, or another life under its id, answered that it has the run.
  void taken(const endpoints::RunId &run);
  /// This life listed the run, as running or ended.
  void listed(const endpoints::RunId &run);
  /// The worker certainly does not have the run.
  void neverBegan(const endpoints::RunId &run);
  /// The worker answered a call.
  void answered(absl::Time now);
  /// A call got no answer.
  void unanswered(absl::Time now);

  /// Runs that began, or may have, so shortly before the worker fell silent
  /// that they may have crashed it.
  std::vector<endpoints::RunId> justBegun() const;
  /// Runs that this life was not seen to have, and that the next one under its
  /// id may have or get. What was taken by whom nobody listens for any more is
  /// gone with it.
  std::vector<endpoints::RunId> mayStillBegin(bool nobodyListens) const;

private:
  struct Start {
    absl::Time FirstSent;
    bool Taken = false;
    bool Listed = false;
  };

  std::map<endpoints::RunId, Start> Starts;
  absl::Time LastAnswer = absl::InfinitePast();
  absl::Time SilentSince = absl::InfiniteFuture();
};

} // namespace oriolebay::agent
