#pragma once

#include "waitreason.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <utility>

namespace oriolebay::jobs {

/// A step waits beside free workers for longer than expected from this time on.
constexpr absl::Duration MaxExpectedWait = absl::Seconds(10);

/// A step with tasks that wait, as this leader has seen it. The step is
/// surveyed once a second, so that times are accurate to a second.
struct StepWait {
  absl::Time Since;
  /// Since when each reason that holds for some of the tasks has held.
  std::map<WaitReason, absl::Time> ReasonSince = {};
  /// The tasks that the latest scheduling pass that looked for reasons could
  /// not place, and the number of that pass.
  WaitGroups Blocked = {};
  int64_t BlockedPass = 0;
  /// Spreads the search for reasons over several surveys.
  int64_t Number = 0;
  bool IsLogged = false;
  WaitReason LoggedReason = WaitReason::NoCapacity;
  /// Since when the step has waited beside free workers; infinite future if it
  /// does not.
  absl::Time BesideFreeSince = absl::InfiniteFuture();
  /// The same while in addition none of its tasks runs.
  absl::Time IdleBesideFreeSince = absl::InfiniteFuture();
  /// It takes any capacity that it fits into.
  bool PreferencesGivenUp = false;
  /// It has been counted as waiting for longer than MaxExpectedWait.
  bool IsCounted = false;
  /// Time beside free workers after which the next line is due.
  absl::Duration NextLineAfter = MaxExpectedWait;

  void resetIdle() {
    IdleBesideFreeSince = absl::InfiniteFuture();
    PreferencesGivenUp = false;
  }
  /// Time for which it has waited beside free workers; zero if it does not.
  absl::Duration besideFree(absl::Time now) const {
    return BesideFreeSince == absl::InfiniteFuture() ? absl::ZeroDuration()
                                                     : now - BesideFreeSince;
  }
  bool operator==(const StepWait &) const = default;
};

/// The steps of a job that wait, by occurrence and step, and the lines about
/// them. The log gets at most one line of a job in two seconds; lines for
/// changed reasons become rarer the longer the job waits.
struct JobWaits {
  std::map<std::pair<int, int>, StepWait> Steps = {};
  int ReasonLines = 0;
  absl::Time LastLineAt = absl::InfinitePast();

  bool mayLog(absl::Time now) const;
  bool mayLogReason(absl::Time now) const;
  void recordReasonLine(absl::Time now);
  bool operator==(const JobWaits &) const = default;
};

/// What waits on the site, as of the last survey.
struct WaitSummary {
  /// Number of waiting steps by the reason that holds for most of their tasks.
  std::map<WaitReason, int64_t> Steps = {};
  /// The longest time for which a step has waited beside free workers.
  absl::Duration LongestBesideFree = absl::ZeroDuration();
  bool operator==(const WaitSummary &) const = default;
};

/// State of the surveys of a leader.
struct WaitSurveyState {
  absl::Time LastAt = absl::InfinitePast();
  int64_t Count = 0;
  /// StepWait::Number of the latest step that began to wait.
  int64_t LastNumber = 0;
  /// Number of units that the latest scheduling pass could not place.
  size_t BlockedUnits = 0;
  WaitSummary Summary = {};
};

} // namespace oriolebay::jobs
