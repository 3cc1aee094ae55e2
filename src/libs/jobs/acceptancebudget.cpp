#include "acceptancebudget.h"

#include <algorithm>

namespace oriolebay::jobs {

namespace {

/// Time over which the rate is measured at which jobs are removed, and the time
/// between two samples of it.
constexpr absl::Duration RateWindow = absl::Seconds(30);
constexpr absl::Duration SampleInterval = absl::Seconds(1);

} // namespace

void AcceptanceBudget::forget(absl::Time now) {
  while (!Recent.empty() && now - Recent.front().At >= ViewDelay) {
    RecentBytes -= Recent.front().Bytes;
    Recent.pop_front();
  }
}

bool AcceptanceBudget::hasRoom(size_t bytes, size_t knownBytes,
                               const JobMemoryLimit &limit, absl::Time now) {
  forget(now);
  const size_t earlier = knownBytes - std::min(knownBytes, RecentBytes);
  const size_t free = limit.Bytes - std::min(limit.Bytes, earlier);
  return RecentBytes + bytes <= free / std::max<size_t>(1, limit.Entries);
}

void AcceptanceBudget::recordSent(size_t bytes, absl::Time now) {
  forget(now);
  Recent.push_back({now, bytes});
  RecentBytes += bytes;
}

absl::Duration AcceptanceBudget::retryAfter(size_t bytes, size_t knownBytes,
                                            const JobMemoryLimit &limit,
                                            size_t freedBytes, absl::Time now) {
  while (!Samples.empty() && now - Samples.front().At > RateWindow)
    Samples.pop_front();
  if (Samples.empty() || now - Samples.back().At >= SampleInterval)
    Samples.push_back({now, freedBytes});
  const size_t needed = knownBytes + bytes * limit.Entries;
  // Its own writes of the last moments stand in the way, not the sum.
  if (needed <= limit.Bytes)
    return ViewDelay;
  const size_t freed = freedBytes - Samples.front().TotalBytes;
  if (freed == 0)
    return MaxRetryAfter;
  const double shortfall = static_cast<double>(needed - limit.Bytes);
  return std::clamp((now - Samples.front().At) *
                        (shortfall / static_cast<double>(freed)),
                    MinRetryAfter, MaxRetryAfter);
}

} // namespace oriolebay::jobs
