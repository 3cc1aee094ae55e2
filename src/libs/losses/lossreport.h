#pragma once

#include "attribution.h"

#include <nlohmann/json.hpp>

#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace oriolebay::losses {

/// Jobs that have something in common, and what they lost.
struct Group {
  std::map<Outcome, int> Jobs;
  /// Lateness, shared among what a job's time went to besides its work.
  std::map<Cause, absl::Duration> LateBy;
  double WastedCoreSeconds = 0;

  int owed() const;
  absl::Duration late() const;
  bool operator==(const Group &) const = default;
};

/// What a site lost in the time of its logs, and to what.
struct Losses {
  Group All;
  std::map<std::string, Group> ByQueue;
  std::map<std::string, Group> ByOrganisation;
  std::map<std::string, Group> ByDomain;
  /// By the second, from the first line of the logs, in which the jobs were
  /// handed in; in steps of WindowSeconds.
  std::map<int64_t, Group> ByWindow;
  /// Jobs that did not end in time, by their first call.
  std::vector<Account> Lost;
  /// Core-seconds thrown away, by why the runs ended.
  std::map<std::string, double> WasteBy;

  bool operator==(const Losses &) const = default;
};

/// Windows in which losses are counted, as the users do.
constexpr int64_t WindowSeconds = 2;

Losses lossesOf(const SiteHistory &site);

/// A table for people; JSON for scripts; and a picture (SVG) of each lost job's
/// time by cause.
void printText(const Losses &losses, const SiteHistory &site,
               std::ostream &out);
nlohmann::json toJson(const Losses &losses, const SiteHistory &site);
void printSvg(const Losses &losses, const SiteHistory &site, std::ostream &out);

} // namespace oriolebay::losses
