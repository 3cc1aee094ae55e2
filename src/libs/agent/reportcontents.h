#pragma once

#include "endpoints/messages.h"

#include <absl/time/time.h>

#include <cstddef>
#include <vector>

namespace oriolebay::agent {

/// Returns how many bytes the lists take in a message, approximately.
size_t listBytes(const std::vector<endpoints::RunningTask> &running,
                 const std::vector<endpoints::EndedTask> &ended);

/// Returns the first of the ends, as many as take maxBytes, but one at least.
std::vector<endpoints::EndedTask>
firstEndsWithin(const std::vector<endpoints::EndedTask> &ended,
                size_t maxBytes);

/// Selects the running tasks whose saved progress goes into the next report, so
/// that reports stay small however much the tasks save. The tasks take turns.
/// Of a task whose turn has not come the leader keeps what it has received
/// before.
class SavedProgressTurns {
public:
  /// Returns the tasks in the same order, and saved progress for as many of
  /// them as take maxBytes, but for one at least.
  std::vector<endpoints::RunningTask>
  select(const std::vector<endpoints::RunningTask> &running, size_t maxBytes);

private:
  /// The task whose saved progress was selected last.
  endpoints::RunId Latest;
};

/// Spaces out messages by their size, so that the time that their receiver
/// needs for them is bounded. Small ones are not delayed.
class SizePacer {
public:
  /// After a message of n bytes the next one is due (n - freeBytes) /
  /// bytesPerSecond later, but no later than maxPause.
  SizePacer(size_t freeBytes, size_t bytesPerSecond, absl::Duration maxPause)
      : FreeBytes(freeBytes), BytesPerSecond(bytesPerSecond),
        MaxPause(maxPause) {}

  absl::Duration pauseAfter(size_t bytes) const;
  void record(size_t bytes, absl::Time now) {
    NextDue = now + pauseAfter(bytes);
  }
  /// Time until the next message is due; not negative.
  absl::Duration remaining(absl::Time now) const;

private:
  const size_t FreeBytes;
  const size_t BytesPerSecond;
  const absl::Duration MaxPause;
  absl::Time NextDue = absl::InfinitePast();
};

} // namespace oriolebay::agent
