#pragma once

#include <absl/time/time.h>

#include <string>

namespace oriolebay::jobs {

/// What the order of waiting units depends on.
struct WaitingUnitKey {
  /// Scheduling class; lower goes first. See Planner::PlacementUnit::Rank.
  int Rank = 0;
  /// The answer is so late that it is worth nearly nothing to its caller.
  bool Overdue = false;
  /// Time that is left until it has to start to be in time.
  absl::Duration Slack = absl::ZeroDuration();
  absl::Time Arrived;
  std::string Job;
  int Occurrence = 0;
  int Step = 0;
  /// Number of earlier occurrences of the job that wait too.
  int Round = 0;

  auto operator<=>(const WaitingUnitKey &) const = default;
};

/// Decides the order in which waiting units get capacity: by rank, work that is
/// overdue after all other work of its rank, the occurrences of a job in turn
/// with those of other jobs, among other urgent work by slack, then by arrival.
/// The pattern of load that it answers: a burst leaves more
/// urgent work than the site can serve in time. Served in the order of arrival
/// or slack, the backlog delays all work that arrives later until that is late
/// too.
///
/// Work within a guarantee is never overdue, because it has a claim to its
/// capacity however late it is.
bool startsBefore(const WaitingUnitKey &a, const WaitingUnitKey &b);

} // namespace oriolebay::jobs
