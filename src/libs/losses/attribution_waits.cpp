// Attributes the time for which a job waited to the reasons that the leader
// logged.
#include "attribution.h"

#include <algorithm>

namespace oriolebay::losses {

namespace {

/// Whether the job waited for all of a segment with this cause.
bool isWait(Cause cause) {
  switch (cause) {
  case Cause::WaitingForCapacity:
  case Cause::WaitingForStops:
  case Cause::WaitingForCordon:
  case Cause::WaitingForRack:
  case Cause::OwnWaves:
  case Cause::Starting:
    return true;
  default:
    return false;
  }
}

/// Whether a segment with this cause may end with a wait: the run was over
/// before the leader could know it.
bool mayEndWithWait(Cause cause) {
  return cause == Cause::RunLost || cause == Cause::RunBroken;
}

} // namespace

std::map<std::string, absl::Duration>
waitsByReason(const JobHistory &job, const std::vector<Segment> &path) {
  std::map<std::string, absl::Duration> waits;
  for (const Segment &segment : path) {
    if (!isWait(segment.SegmentCause) && !mayEndWithWait(segment.SegmentCause))
      continue;
    absl::Time from = segment.From;
    std::string reason = isWait(segment.SegmentCause) ? NotLogged : "";
    const auto attributeUntil = [&](absl::Time to) {
      if (to > from && !reason.empty())
        waits[reason] += to - from;
      from = std::max(from, to);
    };
    for (const WaitLine &line : job.Waits) {
      if (line.At < segment.From || line.At > segment.To)
        continue;
      attributeUntil(line.Since);
      reason = line.Reason;
    }
    attributeUntil(segment.To);
  }
  return waits;
}

} // namespace oriolebay::losses
