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

/// How a stop that makes room begins its reason; the job's id follows.
inline const std::string MakesRoomFor = "makes room for job ";

/// A stretch of time.
struct Span {
  absl::Time From = absl::InfinitePast();
  absl::Time To = absl::InfiniteFuture();

  absl::Duration length() const {
    return std::max(To - From, absl::ZeroDuration());
  }
  /// What both have; an empty one when that is nothing.
  Span within(const Span &other) const {
    const Span both{std::max(From, other.From), std::min(To, other.To)};
    return both.From < both.To ? both : Span{From, From};
  }
  auto operator<=>(const Span &) const = default;
};

/// One run of a task, as the logs tell it. A time that no line gives is empty.
struct RunHistory {
  int64_t Run = 0;
  std::string Worker;
  std::optional<absl::Time> Placed;
  std::optional<absl::Time> Started;
  std::optional<absl::Time> StopAsked;
  std::optional<absl::Time> Ended;
  std::string StopWhy;
  /// As the worker listed the end (done, failed, stopped, lapsed, ...); "lost"
  /// when it was settled without one, "refused" when it never began.
  std::string How;

  auto operator<=>(const RunHistory &) const = default;
};

/// One job from its first call on.
struct JobHistory {
  std::string Id;
  std::string Queue;
  std::string Organisation;
  /// Where the entry stands that accepted it, or that refused it last.
  std::string Domain;
  int Priority = 0;
  double Stretch = 1;
  absl::Duration Target = absl::ZeroDuration();
  /// By step, as promised.
  std::vector<int> Waves;
  std::vector<std::vector<int>> After;
  /// What one task of each step takes in core-seconds a second, accelerators
  /// as eight cores; the steps that save their progress, those that want one
  /// rack, and those whose tasks run as a gang.
  std::vector<double> Weight;
  std::vector<bool> Checkpoints;
  std::vector<bool> OneRack;
  std::vector<bool> Gang;

  absl::Time FirstCall = absl::InfiniteFuture();
  std::optional<absl::Time> Accepted;
  /// When the leader knew its end, and when a caller was first shown it.
  std::optional<absl::Time> Ended;
  std::optional<absl::Time> Shown;
  /// completed, failed or cancelled; empty when the logs have no end.
  std::string State;
  /// The last answer to a call that handed it in, and why.
  std::string CallResult;
  std::string CallWhy;
  std::map<core::TaskId, std::vector<RunHistory>> Tasks;
  /// Others were stopped for it at these times.
  std::vector<absl::Time> StopsForIt;

  bool operator==(const JobHistory &) const = default;
};

/// What the logs of a site tell: its jobs, and when all of them suffered.
struct SiteHistory {
  std::map<std::string, JobHistory> Jobs;
  /// No entry led, or the one that did had not heard of any worker yet.
  std::vector<Span> WithoutLeader;
  /// By process: it could not reach the store.
  std::map<std::string, std::vector<Span>> WithoutStore;
  /// How many times as long as usual work takes at the slow workers.
  std::map<std::string, double> Slowness;
  /// The entries that were elected, by time.
  std::map<absl::Time, std::string> Leaders;
  absl::Time From = absl::InfiniteFuture();
  absl::Time To = absl::InfinitePast();

  bool operator==(const SiteHistory &) const = default;
};

/// Reads the history from events in the order of time.
SiteHistory historyOf(const std::vector<eventlog::LoggedEvent> &events);

} // namespace oriolebay::losses
