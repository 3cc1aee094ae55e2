#pragma once

#include "attribution.h"

#include <nlohmann/json.hpp>

#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace oriolebay::losses {

/// A group of jobs, such as those of one queue, and their losses.
struct Group {
  std::map<Outcome, int> Jobs;
  /// Lateness by cause. A job's lateness is distributed over the causes of its
  /// time other than its work.
  std::map<Cause, absl::Duration> LatenessByCause;
  double DiscardedCoreSeconds = 0;
  /// Time for which jobs waited, by the logged reason; see waitsByReason().
  std::map<std::string, absl::Duration> WaitsByReason;

  /// Returns the number of jobs whose callers were entitled to a result.
  int owed() const;
  absl::Duration lateness() const;
  bool operator==(const Group &) const = default;
};

/// Losses of a site in the period of its logs, and their causes.
struct Losses {
  Group All;
  std::map<std::string, Group> ByQueue;
  std::map<std::string, Group> ByOrganisation;
  std::map<std::string, Group> ByDomain;
  /// By the time of submission of the jobs, in seconds since the first line of
  /// the logs, in steps of WindowSeconds.
  std::map<int64_t, Group> ByWindow;
  /// Jobs whose callers were entitled to a result and did not get it in time,
  /// in the order of their first call.
  std::vector<Account> Lost;
  /// Core-seconds of discarded work by the reason why the runs ended.
  std::map<std::string, double> DiscardedWorkByReason;

  bool operator==(const Losses &) const = default;
};

/// Length in seconds of the windows in which losses are counted. Users count
/// losses in windows of the same length.
constexpr int64_t WindowSeconds = 2;

Losses lossesOf(const SiteHistory &site);

/// Print the losses as tables for people, as JSON for scripts, and as a picture
/// (SVG) that shows the time of each lost job by cause.
void printText(const Losses &losses, const SiteHistory &site,
               std::ostream &out);
nlohmann::json toJson(const Losses &losses, const SiteHistory &site);
void printSvg(const Losses &losses, const SiteHistory &site, std::ostream &out);

} // namespace oriolebay::losses
