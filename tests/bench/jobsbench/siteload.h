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
  /// Narrow steps of several tasks are gangs, some of them on one rack; wide
  /// ones never are.
  bool Gangs = true;
  double SameRackShare = 0.6;
  /// A step that takes more accelerators than this is never a gang, or never a
  /// gang on one rack.
  int64_t WidestGang = 12;
  int64_t WidestSameRack = 12;
  /// So many of its jobs have a second step behind the first.
  double SecondStepShare = 0;
  double CheckpointShare = 0.45;
  double EstimateOff = 0.5;
  double FailShare = 0.02;
  int Attempts = 4;
  double Stretch = 3;
  int64_t TargetMs = 1000;
  double Worth = 1;
  /// The share of its worth that a late answer still has.
  double LateWorth = 0.3;
};

/// A site and its load.
struct SiteLoad {
  std::string Name;
  /// Workers of each rack: three to a rack in each of three halls, so that
  /// halls of four have a rack of one.
  std::vector<int> Racks = {3, 1, 3, 1, 3};
  int Domains = 3;
  int Organisations = 4;
  core::Resources Worker;
  std::vector<JobKind> Kinds;
  /// How long a stop was seen to take there.
  absl::Duration StopTakes = absl::Milliseconds(250);
  /// The longest that a stop may take, which the scheduler goes by.
  absl::Duration StopGrace = absl::Milliseconds(400);
  /// What a core-second thrown away costs, in the unit of a job's worth.
  double WastePrice = 0.0026;
  /// Weights of what callers get over the whole day, and of the kind, the
  /// failure domain, the organisation and the seconds that get least.
  double WholeDay = 0.4;
  double WorstKind = 0.3;
  double WorstDomain = 0.2;
  double WorstOrganisation = 0.2;
  double WorstWindow = 0.1;
};

/// What strikes in a day besides its jobs.
struct DayShape {
  /// Times the usual load.
  double Load = 1.0;
  int LengthS = 34;
  int FinishS = 24;
  /// Jobs of the kind of priority 0 come so many times as often for a while,
  /// once a day: on the users' sites all urgent work comes in such waves.
  double Burst = 2.2;
  int BurstS = 6;
  /// Workers that are taken away at short notice, once a day.
  int Leaving = 0;
  /// Workers that fail all that they start for SickS, once a day.
  int Sick = 0;
  int SickS = 7;
};

SiteLoad brno();
SiteLoad pennington();
/// Hundreds of workers in five halls: urgent gangs of many whole workers beside
/// wide batch gangs and hundreds of single accelerators.
SiteLoad halls();

/// What a day came to.
struct DayResult {
  /// What callers get, by the site's weights, less what was thrown away.
  double Score = 0;
  /// The same over the whole day alone, without prices.
  double Earned = 0;
  double InTime = 0;
  std::vector<double> InTimeByKind;
  double WastedCoreSeconds = 0;
  int Starts = 0;
  int Violations = 0;
};

/// Plays one day of the site, all drawn from seed.
DayResult playDay(const SiteLoad &site, const jobs::SchedulerPolicy &policy,
                  uint64_t seed, const DayShape &shape);

} // namespace oriolebay::bench
