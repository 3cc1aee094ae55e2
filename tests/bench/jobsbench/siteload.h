#pragma once

#include "../../auto/jobs/simsite.h"

#include <random>
#include <string>
#include <vector>

namespace oriolebay::bench {

/// One kind of job on a site: how often it comes, what it asks for and what it
/// is worth to its callers. The figures are those of the users' sheets.
struct JobKind {
  std::string Name;
  int Priority = 1;
  double PerSecond = 0.3;
  double MeanWorkMs = 8000;
  double WorkSpread = 0.3;
  double MostWorkMs = 11000;
  double MeanWidth = 2;
  double MostWidth = 9;
  core::Resources Each;
  std::vector<int> Accelerators;
  double GangShare = 1;
  double SameRackShare = 0.6;
  double CheckpointShare = 0.45;
  double EstimateOff = 0.5;
  double FailShare = 0.02;
  int Attempts = 4;
  double Stretch = 3;
  int64_t TargetMs = 1000;
  double Worth = 1;
  double LateWorth = 0.3;
};

/// A site and its load.
struct SiteLoad {
  std::string Name;
  /// Workers of each rack: three to a rack in each of three halls, so that
  /// halls of four have a rack of one.
  std::vector<int> Racks = {3, 1, 3, 1, 3};
  core::Resources Worker;
  std::vector<JobKind> Kinds;
  /// Thousandths of a credit that a core-second thrown away costs.
  double WastePrice = 0.0026;
  double StartPrice = 0.0019;
};

SiteLoad brno();
SiteLoad pennington();

/// What a day came to.
struct DayResult {
  /// Worth that came in time (or late, at its late worth) over all worth, less
  /// what was thrown away and started.
  double Credit = 0;
  double InTime = 0;
  std::vector<double> InTimeByKind;
  double WastedCoreSeconds = 0;
  int Starts = 0;
  int Violations = 0;
};

/// Plays lengthS seconds of load (times factor) and the time to finish it, all
/// drawn from seed.
DayResult playDay(const SiteLoad &site, const jobs::SchedulerPolicy &policy,
                  uint64_t seed, double factor, int lengthS = 34,
                  int finishS = 20);

} // namespace oriolebay::bench
