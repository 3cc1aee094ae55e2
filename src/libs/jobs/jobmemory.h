#pragma once

#include "jobrecord.h"

#include <cstddef>

namespace oriolebay::jobs {

/// Returns how many bytes an entry needs at most for a job with this record, as
/// far as that does not depend on how many of its tasks run: its view, and the
/// leader's copy with the occurrences that wait to begin.
size_t memoryBytes(const JobRecord &record);

/// What all entries together may hold of accepted jobs.
struct JobMemoryLimit {
  /// Limit of the entry with the least memory.
  size_t Bytes = 0;
  /// Number of entries that accept jobs.
  size_t Entries = 1;

  auto operator<=>(const JobMemoryLimit &) const = default;
};

} // namespace oriolebay::jobs
