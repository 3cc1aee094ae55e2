#include "siteload.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>

namespace oriolebay::bench {

namespace {

using Random = std::mt19937_64;

/// Standard deviation of the logarithm of a task's work, relative to the mean
/// work of its step.
constexpr double TaskWorkSpread = 0.15;
/// Length in seconds of the time windows whose share of the value also counts,
/// and number of worst windows whose mean enters the score.
constexpr int WindowS = 2;
constexpr int WorstWindows = 2;
/// Interval of the scheduler's timers, the same as in the leading entry.
constexpr int TickIntervalMs = 200;
/// Number of cores that an accelerator counts as.
constexpr double CoresPerAccelerator = 8;
/// Time from the notice of a worker's shutdown to its end.
constexpr absl::Duration ShutdownNotice = absl::Milliseconds(2500);

/// Draws from a log-normal distribution with the given mean and standard
/// deviation of the logarithm. Values above upperBound are reduced to it.
double drawLogNormal(Random &random, double mean, double spread,
                     double upperBound) {
  std::lognormal_distribution<> d(std::log(mean) - spread * spread / 2, spread);
  return std::min(d(random), upperBound);
}

bool drawBool(Random &random, double share) {
  return std::uniform_real_distribution<>(0, 1)(random) < share;
}

int drawInt(Random &random, int from, int to) {
  return std::uniform_int_distribution<>(from, to)(random);
}

int64_t workersOf(const SiteLoad &site) {
  return std::accumulate(site.Racks.begin(), site.Racks.end(), int64_t{0});
}

int64_t acceleratorsOf(const SiteLoad &site) {
  return workersOf(site) * site.Worker.Accelerators;
}

/// A submitted job, and its properties that the scheduler does not know.
struct SimulatedJob {
  core::JobSpec Spec;
  size_t Kind = 0;
  int Domain = 0;
  int Organisation = 0;
  int SubmittedMs = 0;
  /// The work of each task, by step and index.
  std::vector<std::vector<absl::Duration>> WorkTime;
  double Value = 0;
  absl::Duration Deadline;
  bool Fails = false;
};

core::StepSpec drawStep(Random &random, const SiteLoad &site, const JobKind &k,
                        double workMs) {
  core::StepSpec step;
  step.Count = std::max(
      1, static_cast<int>(drawLogNormal(random, k.MeanWidth, 0.8, k.MaxWidth)));
  step.PerTask = k.TaskResources;
  step.PerTask.Accelerators = k.Accelerators[static_cast<size_t>(
      drawInt(random, 0, static_cast<int>(k.Accelerators.size()) - 1))];
  const double estimateFactor = std::uniform_real_distribution<>(
      1 - k.EstimateError, 1 + k.EstimateError)(random);
  step.EstimateMs = static_cast<int64_t>(workMs * estimateFactor);
  const int64_t stepAccelerators = step.Count * step.PerTask.Accelerators;
  step.Gang = k.AllowsGangs && step.Count > 1 &&
              stepAccelerators <= k.MaxGangAccelerators;
  step.SameRack = step.Gang && stepAccelerators <= k.MaxSameRackAccelerators &&
                  drawBool(random, k.SameRackShare);
  step.Checkpoints = drawBool(random, k.CheckpointShare);
  return step;
}

/// Draws the work of each task of a step, and adds to the critical path and to
/// the size (in core-seconds) of the job.
void drawWork(Random &random, const SiteLoad &site, const core::StepSpec &step,
              double workMs, SimulatedJob &job, absl::Duration &criticalPath,
              double &size) {
  std::vector<absl::Duration> &tasks = job.WorkTime.emplace_back();
  absl::Duration longest = absl::ZeroDuration();
  const double gangFactor =
      step.Gang ? drawLogNormal(random, 1, TaskWorkSpread, 3) : 0;
  for (int i = 0; i < step.Count; ++i) {
    const double factor =
        step.Gang ? gangFactor : drawLogNormal(random, 1, TaskWorkSpread, 3);
    tasks.push_back(absl::Milliseconds(workMs * factor));
    longest = std::max(longest, tasks.back());
    size +=
        absl::ToDoubleSeconds(tasks.back()) *
        (static_cast<double>(step.PerTask.MilliCores) / 1000 +
         CoresPerAccelerator * static_cast<double>(step.PerTask.Accelerators));
  }
  // A step that needs more than a quarter of the site's accelerators runs in
  // waves.
  const int64_t stepAccelerators = step.Count * step.PerTask.Accelerators;
  const int64_t quarterOfSite = std::max<int64_t>(acceleratorsOf(site) / 4, 1);
  criticalPath +=
      longest * std::max<int64_t>(1, (stepAccelerators + quarterOfSite - 1) /
                                         quarterOfSite);
}

double meanSize(const SiteLoad & /*site*/, const JobKind &k) {
  const double accelerators =
      std::accumulate(k.Accelerators.begin(), k.Accelerators.end(), 0.0) /
      static_cast<double>(k.Accelerators.size());
  return k.MeanWidth * k.MeanWorkMs / 1000 *
         (static_cast<double>(k.TaskResources.MilliCores) / 1000 +
          CoresPerAccelerator * accelerators);
}

SimulatedJob drawJob(Random &random, const SiteLoad &site, size_t kind,
                     int number) {
  const JobKind &k = site.Kinds[kind];
  SimulatedJob job;
  job.Kind = kind;
  job.Domain = drawInt(random, 0, site.Domains - 1);
  job.Organisation = drawInt(random, 0, site.Organisations - 1);
  absl::Duration criticalPath = absl::ZeroDuration();
  double size = 0;
  const int steps = drawBool(random, k.SecondStepShare) ? 2 : 1;
  for (int s = 0; s < steps; ++s) {
    const double workMs =
        drawLogNormal(random, k.MeanWorkMs, k.WorkSpread, k.MaxWorkMs);
    core::StepSpec step = drawStep(random, site, k, workMs);
    if (s > 0)
      step.After = {s - 1};
    drawWork(random, site, step, workMs, job, criticalPath, size);
    if (s == 0)
      job.Spec = jobs::jobOf(k.Name + std::to_string(number), step,
                             "org-" + std::to_string(job.Organisation));
    else
      job.Spec.Steps.push_back(step);
  }
  job.Spec.Queue = k.Name;
  job.Fails = drawBool(random, k.FailShare);
  job.Value = k.Value * std::min(4.0, 0.3 + 0.7 * size / meanSize(site, k));
  job.Deadline = criticalPath * k.Stretch * (job.Fails ? 2 : 1) +
                 absl::Milliseconds(k.TargetMs);
  return job;
}

core::SiteConfig configOf(const SiteLoad &site) {
  core::SiteConfig config;
  config.Version = 1;
  for (const JobKind &kind : site.Kinds) {
    core::QueueConfig queue;
    queue.Name = kind.Name;
    queue.Service = "service";
    queue.Priority = kind.Priority;
    queue.Stretch = kind.Stretch;
    queue.TargetLatencyMs = kind.TargetMs;
    config.Queues.push_back(queue);
  }
  for (int n = 0; n < site.Organisations; ++n)
    config.Organisations.push_back(
        {"org-" + std::to_string(n),
         {},
         acceleratorsOf(site) * 62 / 100 / site.Organisations});
  return config;
}

/// The total value of a group of jobs and the part of it that was earned.
struct Balance {
  double Total = 0;
  double Earned = 0;

  double share() const { return Total > 0 ? Earned / Total : 1; }
};

double lowestShare(const std::map<int, Balance> &all) {
  double lowest = 1;
  for (const auto &[key, balance] : all)
    lowest = std::min(lowest, balance.share());
  return lowest;
}

double meanOfWorstWindows(const std::map<int, Balance> &all) {
  std::vector<double> shares;
  for (const auto &[window, balance] : all)
    shares.push_back(balance.share());
  std::sort(shares.begin(), shares.end());
  shares.resize(std::min<size_t>(shares.size(), WorstWindows));
  return shares.empty() ? 1
                        : std::accumulate(shares.begin(), shares.end(), 0.0) /
                              static_cast<double>(shares.size());
}

/// Simulates one day of a site.
class DaySimulation {
public:
  DaySimulation(const SiteLoad &site, const jobs::SchedulerPolicy &policy,
                uint64_t seed, const DayConditions &conditions)
      : Site(site), Conditions(conditions), Rng(seed), Sim(policy) {
    Sim.configure(configOf(site));
    addWorkers();
    Sim.StopDuration = Site.StopDuration;
    Sim.TickIntervalMs = TickIntervalMs;
    Sim.WorkTime = [this](const core::TaskId &id, const core::StepSpec &) {
      return Jobs.at(id.Job)
          .WorkTime.at(static_cast<size_t>(id.Step))
          .at(static_cast<size_t>(id.Index));
    };
    Sim.RunFails = [this](const core::TaskId &id, int64_t run) {
      return run == 1 && id.Index == 0 && Jobs.at(id.Job).Fails;
    };
  }

  DayResult simulate() {
    constexpr int StepMs = 100;
    const int burstAt = drawInt(Rng, 2, Conditions.LengthS / 2) * 1000;
    const int drainAt = drawInt(Rng, 2, Conditions.LengthS / 2) * 1000;
    const int failAt = Conditions.FailingWorkers > 0
                           ? drawInt(Rng, 2, Conditions.LengthS / 2) * 1000
                           : -1;
    for (int ms = 0; ms < Conditions.LengthS * 1000; ms += StepMs) {
      const bool burst =
          ms >= burstAt && ms < burstAt + Conditions.BurstS * 1000;
      for (size_t k = 0; k < Site.Kinds.size(); ++k) {
        double rate = Site.Kinds[k].JobsPerSecond * Conditions.Load;
        if (burst && Site.Kinds[k].Priority == 0)
          rate *= Conditions.BurstFactor;
        if (drawBool(Rng, rate * StepMs / 1000))
          submitJob(k, ms);
      }
      if (ms == failAt || ms == failAt + Conditions.FailingS * 1000)
        for (int n = 0; n < Conditions.FailingWorkers; ++n)
          Sim.worker(failingWorker(n)).FailsAll = ms == failAt;
      if (ms == drainAt)
        for (int n = 0; n < Conditions.DrainingWorkers; ++n)
          Sim.drain("w" + std::to_string(n), ShutdownNotice);
      Sim.runFor(absl::Milliseconds(StepMs));
    }
    Sim.runFor(absl::Seconds(Conditions.CompletionS));
    return evaluate();
  }

private:
  void addWorkers() {
    int n = 0;
    for (size_t rack = 0; rack < Site.Racks.size(); ++rack)
      for (int i = 0; i < Site.Racks[rack]; ++i, ++n) {
        auto &w = Sim.addWorker("w" + std::to_string(n),
                                "r" + std::to_string(rack), Site.Worker);
        // At the users' sites every third worker takes 1.3 times as long.
        w.Slowness = n % 3 == 2 ? 1.3 : 1.0;
      }
    Sim.runFor(absl::Milliseconds(600));
  }

  // The failing workers are spread over the site and differ from those that
  // shut down.
  std::string failingWorker(int n) const {
    const int64_t all = workersOf(Site);
    const int64_t distance = std::max<int64_t>(
        1, (all - Conditions.DrainingWorkers) / Conditions.FailingWorkers);
    return "w" + std::to_string(all - 1 - n * distance);
  }

  void submitJob(size_t kind, int ms) {
    SimulatedJob job = drawJob(Rng, Site, kind, ++Number);
    job.SubmittedMs = ms;
    const core::JobSpec spec = job.Spec;
    Jobs.emplace(spec.Id, std::move(job));
    Sim.submit(spec, Site.Kinds[kind].Priority, Site.Kinds[kind].Attempts);
  }

  double earnedValue(const SimulatedJob &job, bool &inTime) const {
    const std::optional<absl::Duration> turnaroundTime =
        Sim.turnaroundTime(job.Spec.Id);
    inTime = false;
    if (!turnaroundTime || Sim.state(job.Spec.Id) != jobs::JobState::Completed)
      return 0;
    inTime = *turnaroundTime <= job.Deadline;
    if (inTime)
      return job.Value;
    return *turnaroundTime <= 3 * job.Deadline
               ? job.Value * Site.Kinds[job.Kind].LateValueShare
               : 0;
  }

  DayResult evaluate() const {
    DayResult result;
    Balance all;
    std::map<int, Balance> kinds;
    std::map<int, Balance> domains;
    std::map<int, Balance> organisations;
    std::map<int, Balance> windows;
    std::map<int, Balance> inTime;
    for (const auto &[id, job] : Jobs) {
      bool isInTime = false;
      const double value = earnedValue(job, isInTime);
      auto addTo = [&](Balance &b) {
        b.Total += job.Value;
        b.Earned += value;
      };
      addTo(all);
      addTo(kinds[static_cast<int>(job.Kind)]);
      addTo(domains[job.Domain]);
      addTo(organisations[job.Organisation]);
      addTo(windows[job.SubmittedMs / 1000 / WindowS]);
      Balance &b = inTime[static_cast<int>(job.Kind)];
      b.Total += job.Value;
      b.Earned += isInTime ? job.Value : 0;
    }
    result.LostCoreSeconds = Sim.lostWork();
    result.Starts = Sim.starts();
    result.Violations = static_cast<int>(Sim.violations().size());
    result.Earned = all.share();
    result.Score =
        (Site.WholeDayWeight * all.share() +
         Site.WorstKindWeight * lowestShare(kinds) +
         Site.WorstDomainWeight * lowestShare(domains) +
         Site.WorstOrganisationWeight * lowestShare(organisations) +
         Site.WorstWindowWeight * meanOfWorstWindows(windows)) /
            (Site.WholeDayWeight + Site.WorstKindWeight +
             Site.WorstDomainWeight + Site.WorstOrganisationWeight +
             Site.WorstWindowWeight) -
        result.LostCoreSeconds * Site.LostWorkPrice / std::max(all.Total, 1.0);
    Balance inTimeTotal;
    for (size_t k = 0; k < Site.Kinds.size(); ++k) {
      const Balance b = inTime[static_cast<int>(k)];
      result.InTimeByKind.push_back(b.share());
      inTimeTotal.Total += b.Total;
      inTimeTotal.Earned += b.Earned;
    }
    result.InTime = inTimeTotal.share();
    return result;
  }

  const SiteLoad &Site;
  const DayConditions Conditions;
  Random Rng;
  jobs::SimSite Sim;
  std::map<std::string, SimulatedJob> Jobs;
  int Number = 0;
};

} // namespace

SiteLoad brno() {
  SiteLoad s;
  s.Name = "brno";
  s.StopDuration = absl::Milliseconds(550);
  s.StopGrace = absl::Milliseconds(900);
  s.Worker = {32000, 65536, 8};
  JobKind verify;
  verify.Name = "verify";
  verify.Priority = 1;
  verify.JobsPerSecond = 0.325;
  verify.MeanWorkMs = 11000;
  verify.WorkSpread = 0.3;
  verify.MaxWorkMs = 11000;
  verify.MeanWidth = 1.5;
  verify.MaxWidth = 9;
  verify.TaskResources = {13000, 26000, 0};
  verify.Accelerators = {1, 2, 4, 8, 8};
  verify.TargetMs = 1000;
  verify.Value = 3;
  verify.LateValueShare = 0.3;
  JobKind render;
  render.Name = "render";
  render.Priority = 0;
  render.JobsPerSecond = 0.298;
  render.MeanWorkMs = 2500;
  render.WorkSpread = 0.5;
  render.MaxWorkMs = 8000;
  render.MeanWidth = 3.4;
  render.MaxWidth = 21;
  render.TaskResources = {3700, 7600, 0};
  render.Accelerators = {1, 2, 4, 8, 8};
  render.SameRackShare = 0.8;
  render.CheckpointShare = 0.1;
  render.FailShare = 0.05;
  render.Stretch = 1.5;
  render.TargetMs = 250;
  render.Value = 4;
  render.LateValueShare = 0.2;
  JobKind check;
  check.Name = "check";
  check.Priority = 2;
  check.JobsPerSecond = 0.196;
  check.MeanWorkMs = 7600;
  check.WorkSpread = 0.3;
  check.MaxWorkMs = 11000;
  check.MeanWidth = 9.2;
  check.MaxWidth = 55;
  check.TaskResources = {2800, 5700, 0};
  check.Accelerators = {1};
  check.AllowsGangs = false;
  check.SecondStepShare = 0.3;
  check.EstimateError = 0.2;
  check.FailShare = 0.005;
  check.TargetMs = 3000;
  s.Kinds = {verify, render, check};
  return s;
}

SiteLoad pennington() {
  SiteLoad s;
  s.Name = "pennington";
  s.Worker = {128000, 262144, 8};
  s.LostWorkPrice = 0.0024;
  s.WholeDayWeight = 0.6;
  s.WorstKindWeight = 0.15;
  s.WorstDomainWeight = 0;
  s.WorstOrganisationWeight = 0.2;
  s.WorstWindowWeight = 0.25;
  JobKind review;
  review.Name = "review";
  review.Priority = 1;
  review.JobsPerSecond = 0.57;
  review.MeanWorkMs = 6800;
  review.WorkSpread = 0.3;
  review.MaxWorkMs = 11000;
  review.MeanWidth = 1.5;
  review.MaxWidth = 9;
  review.TaskResources = {52000, 110000, 0};
  review.Accelerators = {1, 2, 4, 8, 8};
  review.EstimateError = 0.2;
  review.FailShare = 0.005;
  review.Attempts = 2;
  review.TargetMs = 1000;
  review.Value = 3;
  review.LateValueShare = 0.3;
  JobKind fit;
  fit.Name = "fit";
  fit.Priority = 0;
  fit.JobsPerSecond = 0.596;
  fit.MeanWorkMs = 2500;
  fit.WorkSpread = 0.5;
  fit.MaxWorkMs = 8000;
  fit.MeanWidth = 3.0;
  fit.MaxWidth = 18;
  fit.TaskResources = {15000, 31000, 0};
  fit.Accelerators = {1, 2, 4, 8, 8};
  fit.SameRackShare = 0.8;
  fit.CheckpointShare = 0.08;
  fit.EstimateError = 0.9;
  fit.Attempts = 3;
  fit.Stretch = 1.5;
  fit.TargetMs = 250;
  fit.Value = 4;
  fit.LateValueShare = 0.2;
  JobKind reorder;
  reorder.Name = "reorder";
  reorder.Priority = 2;
  reorder.JobsPerSecond = 0.275;
  reorder.MeanWorkMs = 6100;
  reorder.WorkSpread = 0.3;
  reorder.MaxWorkMs = 11000;
  reorder.MeanWidth = 9.2;
  reorder.MaxWidth = 55;
  reorder.TaskResources = {11000, 23000, 0};
  reorder.Accelerators = {1};
  reorder.AllowsGangs = false;
  reorder.SecondStepShare = 0.3;
  reorder.EstimateError = 0.5;
  reorder.Attempts = 2;
  reorder.TargetMs = 3000;
  s.Kinds = {review, fit, reorder};
  return s;
}

SiteLoad halls() {
  SiteLoad s;
  s.Name = "halls";
  s.StopDuration = absl::Milliseconds(550);
  s.StopGrace = absl::Milliseconds(900);
  s.Worker = {32000, 131072, 8};
  s.Racks.assign(30, 8);
  s.Domains = 5;
  s.Organisations = 24;
  constexpr int64_t HalfRack = 32;
  constexpr int64_t AnyWidth = 1920;
  JobKind verify;
  verify.Name = "verify";
  verify.Priority = 1;
  verify.JobsPerSecond = 0.781;
  verify.MeanWorkMs = 8500;
  verify.WorkSpread = 0.3;
  verify.MaxWorkMs = 11000;
  verify.MeanWidth = 25;
  verify.MaxWidth = 150;
  verify.TaskResources = {13000, 68000, 0};
  verify.Accelerators = {1, 2, 4, 8, 8};
  verify.MaxGangAccelerators = AnyWidth;
  verify.MaxSameRackAccelerators = HalfRack;
  verify.EstimateError = 0.9;
  verify.Attempts = 2;
  verify.TargetMs = 1000;
  verify.Value = 3;
  verify.LateValueShare = 0.3;
  JobKind render;
  render.Name = "render";
  render.Priority = 0;
  render.JobsPerSecond = 4.26;
  render.MeanWorkMs = 2500;
  render.WorkSpread = 0.5;
  render.MaxWorkMs = 8000;
  render.MeanWidth = 7.6;
  render.MaxWidth = 46;
  render.TaskResources = {3700, 15000, 0};
  render.Accelerators = {1, 2, 4, 8, 8};
  render.SameRackShare = 0.8;
  render.MaxGangAccelerators = AnyWidth;
  render.MaxSameRackAccelerators = HalfRack;
  render.CheckpointShare = 0;
  render.EstimateError = 0.9;
  render.Attempts = 2;
  render.Stretch = 1.5;
  render.TargetMs = 300;
  render.Value = 4;
  render.LateValueShare = 0.2;
  JobKind check;
  check.Name = "check";
  check.Priority = 2;
  check.JobsPerSecond = 0.918;
  check.MeanWorkMs = 6100;
  check.WorkSpread = 0.3;
  check.MaxWorkMs = 11000;
  check.MeanWidth = 78;
  check.MaxWidth = 470;
  check.TaskResources = {2800, 8200, 0};
  check.Accelerators = {1};
  check.AllowsGangs = false;
  check.SecondStepShare = 0.3;
  check.EstimateError = 0.9;
  check.FailShare = 0.005;
  check.Attempts = 3;
  check.TargetMs = 3000;
  s.Kinds = {verify, render, check};
  return s;
}

SiteLoad memoryBound() {
  SiteLoad s = halls();
  s.Name = "memory_bound";
  s.StopDuration = absl::Milliseconds(250);
  s.StopGrace = absl::Milliseconds(400);
  s.Worker = {32000, 65536, 8};
  s.Racks = {10, 10, 1, 10, 10, 1, 10, 10};
  s.Domains = 3;
  s.Organisations = 10;
  constexpr int64_t Rack = 80;
  JobKind &verify = s.Kinds[0];
  verify.JobsPerSecond = 0.375;
  verify.MeanWorkMs = 11000;
  verify.MeanWidth = 6.4;
  verify.MaxWidth = 39;
  verify.TaskResources = {13000, 34000, 0};
  verify.MaxSameRackAccelerators = Rack;
  verify.EstimateError = 0.5;
  verify.FailShare = 0.05;
  verify.Attempts = 4;
  JobKind &render = s.Kinds[1];
  render.JobsPerSecond = 1.36;
  render.MeanWidth = 5.4;
  render.MaxWidth = 32;
  render.TaskResources = {3700, 5500, 0};
  render.MaxSameRackAccelerators = Rack;
  render.FailShare = 0.05;
  render.Attempts = 3;
  render.TargetMs = 250;
  JobKind &check = s.Kinds[2];
  check.JobsPerSecond = 0.182;
  check.MeanWorkMs = 9500;
  check.MeanWidth = 39;
  check.MaxWidth = 230;
  check.TaskResources = {2800, 7400, 0};
  check.FailShare = 0.05;
  return s;
}

DayResult simulateDay(const SiteLoad &site, const jobs::SchedulerPolicy &policy,
                      uint64_t seed, const DayConditions &conditions) {
  return DaySimulation(site, policy, seed, conditions).simulate();
}

} // namespace oriolebay::bench
