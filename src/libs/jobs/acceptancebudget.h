#pragma once

#include "jobmemory.h"

#include <absl/time/time.h>

#include <cstddef>
#include <deque>

namespace oriolebay::jobs {

/// Decides whether one more job finds room in the memory of the entries. Each
/// entry accepts by itself and learns of the others' jobs a little later; of
/// what is free, each therefore takes its share at most until then. Uses no
/// threads, clock or sockets.
class AcceptanceBudget {
public:
  /// Time within which an entry learns of the jobs that others have accepted.
  static constexpr absl::Duration ViewDelay = absl::Seconds(3);
  /// Bounds of the time after which a refused caller is asked to come again.
  static constexpr absl::Duration MinRetryAfter = absl::Seconds(1);
  static constexpr absl::Duration MaxRetryAfter = absl::Seconds(30);

  /// Whether a job of this many bytes may be accepted, if the jobs that are
  /// known here take knownBytes.
  bool hasRoom(size_t bytes, size_t knownBytes, const JobMemoryLimit &limit,
               absl::Time now);
  /// A write of a job of this many bytes was sent.
  void recordSent(size_t bytes, absl::Time now);
  /// Returns the time after which a job of this many bytes may find room, going
  /// by how fast jobs have been removed. FreedBytes is what all jobs that were
  /// removed so far have taken.
  absl::Duration retryAfter(size_t bytes, size_t knownBytes,
                            const JobMemoryLimit &limit, size_t freedBytes,
                            absl::Time now);

private:
  struct Sent {
    absl::Time At;
    size_t Bytes = 0;
  };
  struct Freed {
    absl::Time At;
    size_t TotalBytes = 0;
  };

  void forget(absl::Time now);

  /// The writes of the last ViewDelay, and their sum.
  std::deque<Sent> Recent;
  size_t RecentBytes = 0;
  /// What had been freed at the times of earlier refusals.
  std::deque<Freed> Samples;
};

} // namespace oriolebay::jobs
