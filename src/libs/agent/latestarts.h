#pragma once

#include "endpoints/messages.h"

#include <absl/time/time.h>

#include <map>
#include <vector>

namespace oriolebay::agent {

/// Starts of which a try had no answer: it may be carried out late, also by the
/// next life of the worker under the same id, and also if another try was
/// answered and the run has ended since. No threads, clock or sockets.
class LateStarts {
public:
  void unanswered(const endpoints::RunId &run, absl::Time now);
  /// No life carries the run out from now on.
  void settled(const endpoints::RunId &run) { LastTries.erase(run); }
  /// No life answers to that id any more.
  void clear() { LastTries.clear(); }
  /// Whether the run may still be carried out.
  bool isOpen(const endpoints::RunId &run, absl::Time now) const;
  std::vector<endpoints::RunId> open(absl::Time now) const;

private:
  std::map<endpoints::RunId, absl::Time> LastTries;
};

} // namespace oriolebay::agent
