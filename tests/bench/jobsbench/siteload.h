#pragma once

#include "../../auto/jobs/simsite.h"

#include <random>
#include <string>
#include <vector>

namespace oriolebay::bench {

/// One kind of job of a site: how often it is submitted, what it requests and
/// which value its callers assign to it. The figures are those that the users
/// state for their sites.
struct JobKind {
  std::string Name;
  int Priority = 1;
  double JobsPerSecond = 0.3;
  double MeanWorkMs = 8000;
  double WorkSpread = 0.3;
  double MaxWorkMs = 11000;
  double MeanWidth = 2;
  double MaxWidth = 9;
  core::Resources TaskResources;
  std::vector<int> Accelerators;
  /// Whether steps of several tasks are gangs, a share of them on one rack.
  /// Steps above the limits below are not.
  bool AllowsGangs = true;
  double SameRackShare = 0.6;
  /// Maximum number of accelerators of a step that is a gang, and of one that
  /// is a gang on one rack.
  int64_t MaxGangAccelerators = 12;
  int64_t MaxSameRackAccelerators = 12;
  /// Share of the jobs that have a second step after the first.
  double SecondStepShare = 0;
  double CheckpointShare = 0.45;
  double EstimateError = 0.5;
  double FailShare = 0.02;
  int Attempts = 4;
  double Stretch = 3;
  int64_t TargetMs = 1000;
  double Value = 1;
  /// Share of the value that a late answer still has.
  double LateValueShare = 0.3;
};

/// A site, its load and the weights of its score.
struct SiteLoad {
  std::string Name;
  /// Number of workers in each rack. The users' sites have three halls with
  /// racks of three workers, so a hall of four workers has a second rack of
  /// one.
  std::vector<int> Racks = {3, 1, 3, 1, 3};
  int Domains = 3;
  int Organisations = 4;
  core::Resources Worker;
  std::vector<JobKind> Kinds;
  /// Time that a stop takes at the site.
  absl::Duration StopDuration = absl::Milliseconds(250);
  /// Maximum time that a stop may take; the scheduler plans with it.
  absl::Duration StopGrace = absl::Milliseconds(400);
  /// Cost of a core-second of lost work, in the unit of a job's value.
  double LostWorkPrice = 0.0026;
  /// Weights of the share of the value that callers get over the whole day, and
  /// of the same share for the kind, the failure domain, the organisation and
  /// the time windows that get least.
  double WholeDayWeight = 0.4;
  double WorstKindWeight = 0.3;
  double WorstDomainWeight = 0.2;
  double WorstOrganisationWeight = 0.2;
  double WorstWindowWeight = 0.1;
};

/// The conditions of a simulated day besides the site's usual load.
struct DayConditions {
  /// Multiple of the usual load.
  double Load = 1.0;
  int LengthS = 34;
  int CompletionS = 24;
  /// Factor by which jobs of priority 0 are submitted more often during one
  /// burst a day, and the length of the burst. On the users' sites all urgent
  /// work arrives in bursts.
  double BurstFactor = 2.2;
  int BurstS = 6;
  /// Number of workers that shut down at short notice, once a day.
  int DrainingWorkers = 0;
  /// Number of workers that fail every run for FailingS seconds, once a day.
  int FailingWorkers = 0;
  int FailingS = 7;
};

SiteLoad brno();
SiteLoad pennington();
/// A site of 240 workers in five halls, with urgent gangs of many whole
/// workers, wide batch gangs and steps of hundreds of tasks with one
/// accelerator each.
SiteLoad halls();
/// A site of 62 workers whose gangs are short of memory rather than of
/// accelerators: a task of the batch gangs takes half of a worker's memory,
/// estimates are off by up to 0.9, and each run fails by itself with 0.05.
SiteLoad memoryBound();

/// The result of a simulated day.
struct DayResult {
  /// Share of the value that callers get, by the site's weights, minus the cost
  /// of the lost work.
  double Score = 0;
  /// The same share over the whole day only, without the cost of lost work.
  double Earned = 0;
  double InTime = 0;
  std::vector<double> InTimeByKind;
  double LostCoreSeconds = 0;
  int Starts = 0;
  int Violations = 0;
};

/// Simulates one day of the site. All random choices derive from seed.
DayResult simulateDay(const SiteLoad &site, const jobs::SchedulerPolicy &policy,
                      uint64_t seed, const DayConditions &conditions);

} // namespace oriolebay::bench
