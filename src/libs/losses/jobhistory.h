#pragma once

#include "core/jobspec.h"
#include "eventlog/timeline.h"

#include <absl/time/time.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oriolebay::losses {

/// Prefix of the reason of a stop that frees capacity for another job; that
/// job's id follows.
inline const std::string CapacityStopPrefix = "makes room for job ";

/// A period of time.
struct Span {
  absl::Time From = absl::InfinitePast();
  absl::Time To = absl::InfiniteFuture();

  absl::Duration length() const {
    return std::max(To - From, absl::ZeroDuration());
  }
  /// Returns the intersection of both periods; an empty period when they do not
  /// overlap.
  Span intersection(const Span &other) const {
    const Span overlap{std::max(From, other.From), std::min(To, other.To)};
    return overlap.From < overlap.To ? overlap : Span{From, From};
  }
  auto operator<=>(const Span &) const = default;
};

/// One run of a task as recorded in the logs. Times that the logs do not
/// contain are empty.
struct RunHistory {
  int64_t Run = 0;
  std::string Worker;
  std::optional<absl::Time> Placed;
  std::optional<absl::Time> Started;
  std::optional<absl::Time> StopRequested;
  std::optional<absl::Time> Ended;
  std::string StopReason;
  /// End of the run as listed by the worker (done, failed, stopped, lapsed,
  /// ...). "lost" when the run was resolved without a listed end, "refused"
  /// when it never started.
  std::string EndState;

  auto operator<=>(const RunHistory &) const = default;
};

/// A logged reason for which a step of a job waited.
struct WaitLine {
  absl::Time At;
  /// Since when the reason held.
  absl::Time Since;
  std::string Reason;

  auto operator<=>(const WaitLine &) const = default;
};

/// History of one job from its first call.
struct JobHistory {
  std::string Id;
  std::string Queue;
  std::string Organisation;
  /// Failure domain of the entry that accepted the job or that was the last to
  /// refuse it.
  std::string Domain;
  int Priority = 0;
  double Stretch = 1;
  absl::Duration Target = absl::ZeroDuration();
  /// Number of waves and preceding steps by step, as logged when the job's
  /// deadline was set.
  std::vector<int> Waves;
  std::vector<std::vector<int>> After;
  /// By step: the cores that one task occupies, with an accelerator counted as
  /// eight cores; whether its tasks save their progress; whether they need one
  /// rack; and whether they run as a gang.
  std::vector<double> CoresPerTask;
  std::vector<bool> Checkpoints;
  std::vector<bool> SameRack;
  std::vector<bool> Gang;

  absl::Time FirstCall = absl::InfiniteFuture();
  std::optional<absl::Time> Accepted;
  /// Time when the leader recorded the job's end, and time when the end was
  /// first returned to a caller.
  std::optional<absl::Time> Ended;
  std::optional<absl::Time> EndShown;
  /// completed, failed or cancelled; empty when the logs do not contain the
  /// job's end.
  std::string State;
  /// Result and reason of the last answer to a call that submitted the job.
  std::string CallResult;
  std::string CallReason;
  std::map<core::TaskId, std::vector<RunHistory>> Tasks;
  /// Times when other work was stopped for this job.
  std::vector<absl::Time> StopsForJob;
  /// It waited for capacity in cordoned failure domains.
  bool WaitedForCordon = false;
  /// In the order of time.
  std::vector<WaitLine> Waits;

  bool operator==(const JobHistory &) const = default;
};

/// History of a site as recorded in its logs: its jobs, and the periods of
/// outages that affect all jobs.
struct SiteHistory {
  std::map<std::string, JobHistory> Jobs;
  /// Periods in which no entry was the leader, or in which the leader had not
  /// yet received a report from any worker.
  std::vector<Span> LeaderlessPeriods;
  /// By process: periods in which it could not reach the store.
  std::map<std::string, std::vector<Span>> StoreOutagePeriods;
  /// By slow worker: factor by which its tasks take longer than usual.
  std::map<std::string, double> Slowness;
  /// Elected entries by the time of their election.
  std::map<absl::Time, std::string> Leaders;
  absl::Time From = absl::InfiniteFuture();
  absl::Time To = absl::InfinitePast();

  bool operator==(const SiteHistory &) const = default;
};

/// Builds the history from events, which must be in the order of time.
SiteHistory historyOf(const std::vector<eventlog::LoggedEvent> &events);

} // namespace oriolebay::losses
