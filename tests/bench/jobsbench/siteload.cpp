#include "siteload.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace oriolebay::bench {

namespace {

using Random = std::mt19937_64;

/// Log-normal around mean with the spread of its logarithm, cut at most.
double drawn(Random &random, double mean, double spread, double most) {
  std::lognormal_distribution<> d(std::log(mean) - spread * spread / 2, spread);
  return std::min(d(random), most);
}

bool chance(Random &random, double share) {
  return std::uniform_real_distribution<>(0, 1)(random) < share;
}

struct Planned {
  core::JobSpec Spec;
  size_t Kind = 0;
  absl::Duration Work;
  double Worth = 0;
  absl::Duration Objective;
  bool Fails = false;
};

int64_t workersOf(const SiteLoad &site);

Planned draw(Random &random, const SiteLoad &site, size_t kind, int number) {
  const JobKind &k = site.Kinds[kind];
  Planned job;
  job.Kind = kind;
  const double workMs = drawn(random, k.MeanWorkMs, k.WorkSpread, k.MostWorkMs);
  job.Work = absl::Milliseconds(static_cast<int64_t>(workMs));
  core::StepSpec step;
  step.Count = std::max(
      1, static_cast<int>(drawn(random, k.MeanWidth, 0.8, k.MostWidth)));
  step.PerTask = k.Each;
  step.PerTask.Accelerators =
      k.Accelerators[std::uniform_int_distribution<size_t>(
          0, k.Accelerators.size() - 1)(random)];
  const double off = std::uniform_real_distribution<>(
      1 - k.EstimateOff, 1 + k.EstimateOff)(random);
  step.EstimateMs = static_cast<int64_t>(workMs * off);
  step.Gang = chance(random, k.GangShare);
  step.SameRack = step.Gang && chance(random, k.SameRackShare);
  // No gang is wider than what it could ever stand on: a whole rack, or half
  // the site.
  const int64_t most = (step.SameRack ? 3 : workersOf(site) / 2) *
                       site.Worker.Accelerators / step.PerTask.Accelerators;
  if (step.Gang)
    step.Count = static_cast<int>(std::min<int64_t>(step.Count, most));
  step.Checkpoints = chance(random, k.CheckpointShare);
  job.Fails = chance(random, k.FailShare);
  job.Spec = jobs::jobOf(k.Name + std::to_string(number), step,
                         "org-" + std::to_string(number % 4));
  const double size = step.Count * workMs * (k.Each.MilliCores / 1000.0 + 8);
  const double mean =
      k.MeanWidth * k.MeanWorkMs * (k.Each.MilliCores / 1000.0 + 8);
  job.Worth = k.Worth * std::min(4.0, 0.3 + 0.7 * size / mean);
  job.Objective = job.Work * k.Stretch * (job.Fails ? 2 : 1) +
                  absl::Milliseconds(k.TargetMs);
  return job;
}

int64_t workersOf(const SiteLoad &site) {
  return std::accumulate(site.Racks.begin(), site.Racks.end(), int64_t{0});
}

core::SiteConfig configOf(const SiteLoad &site) {
  core::SiteConfig config;
  config.Version = 1;
  core::QueueConfig queue;
  queue.Name = "q";
  queue.Service = "service";
  config.Queues.push_back(queue);
  const int64_t all = workersOf(site) * site.Worker.Accelerators;
  for (int n = 0; n < 4; ++n)
    config.Organisations.push_back(
        {"org-" + std::to_string(n), {}, all * 62 / 100 / 4});
  return config;
}

} // namespace

SiteLoad brno() {
  SiteLoad s;
  s.Name = "brno";
  s.Worker = {32000, 65536, 8};
  s.Kinds = {{"verify",
              1,
              0.325,
              11000,
              0.3,
              11000,
              1.5,
              9,
              {13000, 26000, 0},
              {1, 2, 4, 8, 8},
              1,
              0.6,
              0.45,
              0.5,
              0.02,
              4,
              3,
              1000,
              3,
              0.9},
             {"render",
              0,
              0.298,
              2500,
              0.5,
              8000,
              3.4,
              21,
              {3700, 7600, 0},
              {1, 2, 4, 8, 8},
              1,
              0.8,
              0,
              0.5,
              0.05,
              4,
              1.5,
              250,
              4,
              0.8},
             {"check", 2,  0.196, 7600, 0.3, 11000, 9.2, 55, {2800, 5700, 0},
              {1},     0,  0,     0.45, 0.2, 0.005, 4,   3,  3000,
              1,       0.3}};
  return s;
}

SiteLoad pennington() {
  SiteLoad s;
  s.Name = "pennington";
  s.Worker = {128000, 262144, 8};
  s.WastePrice = 0.0024;
  s.StartPrice = 0.0035;
  s.Kinds = {
      {"review",
       1,
       0.57,
       6800,
       0.3,
       11000,
       1.5,
       9,
       {52000, 110000, 0},
       {1, 2, 4, 8, 8},
       1,
       0.6,
       0.45,
       0.2,
       0.005,
       2,
       3,
       1000,
       3,
       0.9},
      {"fit",
       0,
       0.596,
       2500,
       0.5,
       8000,
       3.0,
       18,
       {15000, 31000, 0},
       {1, 2, 4, 8, 8},
       1,
       0.8,
       0,
       0.9,
       0.02,
       3,
       1.5,
       250,
       4,
       0.8},
      {"reorder", 2,  0.275, 6100, 0.3, 11000, 9.2, 55, {11000, 23000, 0},
       {1},       0,  0,     0.45, 0.2, 0.02,  2,   3,  3000,
       1,         0.3}};
  return s;
}

DayResult playDay(const SiteLoad &site, const jobs::SchedulerPolicy &policy,
                  uint64_t seed, double factor, int lengthS, int finishS) {
  Random random(seed);
  jobs::SimSite sim(policy);
  sim.configure(configOf(site));
  int n = 0;
  for (size_t rack = 0; rack < site.Racks.size(); ++rack)
    for (int i = 0; i < site.Racks[rack]; ++i, ++n) {
      auto &w = sim.addWorker("w" + std::to_string(n),
                              "r" + std::to_string(rack), site.Worker);
      w.Slowness = n % 3 == 2 ? 1.3 : 1.0;
    }
  sim.runFor(absl::Milliseconds(600));
  std::map<std::string, Planned> jobs;
  sim.Work = [&](const core::TaskId &id, const core::StepSpec &) {
    return jobs.at(id.Job).Work;
  };
  sim.FailsItself = [&](const core::TaskId &id, int64_t run) {
    return run == 1 && id.Index == 0 && jobs.at(id.Job).Fails;
  };
  constexpr int StepMs = 100;
  int number = 0;
  for (int ms = 0; ms < lengthS * 1000; ms += StepMs) {
    for (size_t k = 0; k < site.Kinds.size(); ++k)
      if (chance(random, site.Kinds[k].PerSecond * factor * StepMs / 1000)) {
        Planned job = draw(random, site, k, ++number);
        const core::JobSpec spec = job.Spec;
        jobs.emplace(spec.Id, std::move(job));
        sim.submit(spec, site.Kinds[k].Priority, site.Kinds[k].Attempts);
      }
    sim.runFor(absl::Milliseconds(StepMs));
  }
  sim.runFor(absl::Seconds(finishS));
  DayResult result;
  double owed = 0;
  double earned = 0;
  std::vector<double> ofKind(site.Kinds.size());
  result.InTimeByKind.assign(site.Kinds.size(), 0);
  for (const auto &[id, job] : jobs) {
    const JobKind &kind = site.Kinds[job.Kind];
    owed += job.Worth;
    ofKind[job.Kind] += job.Worth;
    const std::optional<absl::Duration> took = sim.took(id);
    if (!took || sim.state(id) != jobs::JobState::Completed)
      continue;
    if (*took <= job.Objective) {
      earned += job.Worth;
      result.InTime += job.Worth;
      result.InTimeByKind[job.Kind] += job.Worth;
    } else if (*took <= 3 * job.Objective) {
      earned += job.Worth * kind.LateWorth;
    }
  }
  result.WastedCoreSeconds = sim.wasted();
  result.Starts = sim.starts();
  result.Violations = static_cast<int>(sim.violations().size());
  earned -= result.WastedCoreSeconds * site.WastePrice +
            result.Starts * site.StartPrice;
  if (owed > 0) {
    result.Credit = earned / owed;
    result.InTime /= owed;
  }
  for (size_t k = 0; k < ofKind.size(); ++k)
    if (ofKind[k] > 0)
      result.InTimeByKind[k] /= ofKind[k];
    else
      result.InTimeByKind[k] = 1;
  return result;
}

} // namespace oriolebay::bench
