#include "siteload.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>

namespace oriolebay::bench {

namespace {

using Random = std::mt19937_64;

/// Each task of a step works so much more or less than the step's mean.
constexpr double Unevenness = 0.15;
/// Credit is also taken by windows of so many seconds.
constexpr int WindowS = 2;
constexpr int WorstWindows = 2;
/// As the leading entry does it.
constexpr int TickEveryMs = 200;
/// Cores that an accelerator weighs as.
constexpr double CoresPerAccelerator = 8;
/// Between the notice and the end of a worker that is taken away.
constexpr absl::Duration Notice = absl::Milliseconds(2500);

/// Log-normal around mean with the spread of its logarithm, cut at most.
double drawn(Random &random, double mean, double spread, double most) {
  std::lognormal_distribution<> d(std::log(mean) - spread * spread / 2, spread);
  return std::min(d(random), most);
}

bool chance(Random &random, double share) {
  return std::uniform_real_distribution<>(0, 1)(random) < share;
}

int any(Random &random, int from, int to) {
  return std::uniform_int_distribution<>(from, to)(random);
}

int64_t workersOf(const SiteLoad &site) {
  return std::accumulate(site.Racks.begin(), site.Racks.end(), int64_t{0});
}

int64_t acceleratorsOf(const SiteLoad &site) {
  return workersOf(site) * site.Worker.Accelerators;
}

/// A job as it is handed in, and what only the day knows of it.
struct Planned {
  core::JobSpec Spec;
  size_t Kind = 0;
  int Domain = 0;
  int Organisation = 0;
  int HandedInMs = 0;
  /// By step and index.
  std::vector<std::vector<absl::Duration>> Work;
  double Worth = 0;
  absl::Duration Objective;
  bool Fails = false;
};

core::StepSpec drawStep(Random &random, const SiteLoad &site, const JobKind &k,
                        double workMs) {
  core::StepSpec step;
  step.Count = std::max(
      1, static_cast<int>(drawn(random, k.MeanWidth, 0.8, k.MostWidth)));
  step.PerTask = k.Each;
  step.PerTask.Accelerators = k.Accelerators[static_cast<size_t>(
      any(random, 0, static_cast<int>(k.Accelerators.size()) - 1))];
  const double off = std::uniform_real_distribution<>(
      1 - k.EstimateOff, 1 + k.EstimateOff)(random);
  step.EstimateMs = static_cast<int64_t>(workMs * off);
  const int64_t wide = step.Count * step.PerTask.Accelerators;
  step.Gang = k.Gangs && step.Count > 1 && wide <= k.WidestGang;
  step.SameRack =
      step.Gang && wide <= k.WidestSameRack && chance(random, k.SameRackShare);
  step.Checkpoints = chance(random, k.CheckpointShare);
  return step;
}

/// Draws each task's work, and adds to the job's chain and size.
void drawWork(Random &random, const SiteLoad &site, const core::StepSpec &step,
              double workMs, Planned &job, absl::Duration &chain,
              double &size) {
  std::vector<absl::Duration> &tasks = job.Work.emplace_back();
  absl::Duration longest = absl::ZeroDuration();
  const double whole = step.Gang ? drawn(random, 1, Unevenness, 3) : 0;
  for (int i = 0; i < step.Count; ++i) {
    const double factor = step.Gang ? whole : drawn(random, 1, Unevenness, 3);
    tasks.push_back(absl::Milliseconds(workMs * factor));
    longest = std::max(longest, tasks.back());
    size +=
        absl::ToDoubleSeconds(tasks.back()) *
        (static_cast<double>(step.PerTask.MilliCores) / 1000 +
         CoresPerAccelerator * static_cast<double>(step.PerTask.Accelerators));
  }
  // A step wider than a quarter of the room runs in waves.
  const int64_t wide = step.Count * step.PerTask.Accelerators;
  const int64_t quarter = std::max<int64_t>(acceleratorsOf(site) / 4, 1);
  chain += longest * std::max<int64_t>(1, (wide + quarter - 1) / quarter);
}

double meanSize(const SiteLoad & /*site*/, const JobKind &k) {
  const double accelerators =
      std::accumulate(k.Accelerators.begin(), k.Accelerators.end(), 0.0) /
      static_cast<double>(k.Accelerators.size());
  return k.MeanWidth * k.MeanWorkMs / 1000 *
         (static_cast<double>(k.Each.MilliCores) / 1000 +
          CoresPerAccelerator * accelerators);
}

Planned draw(Random &random, const SiteLoad &site, size_t kind, int number) {
  const JobKind &k = site.Kinds[kind];
  Planned job;
  job.Kind = kind;
  job.Domain = any(random, 0, site.Domains - 1);
  job.Organisation = any(random, 0, site.Organisations - 1);
  absl::Duration chain = absl::ZeroDuration();
  double size = 0;
  const int steps = chance(random, k.SecondStepShare) ? 2 : 1;
  for (int s = 0; s < steps; ++s) {
    const double workMs =
        drawn(random, k.MeanWorkMs, k.WorkSpread, k.MostWorkMs);
    core::StepSpec step = drawStep(random, site, k, workMs);
    if (s > 0)
      step.After = {s - 1};
    drawWork(random, site, step, workMs, job, chain, size);
    if (s == 0)
      job.Spec = jobs::jobOf(k.Name + std::to_string(number), step,
                             "org-" + std::to_string(job.Organisation));
    else
      job.Spec.Steps.push_back(step);
  }
  job.Spec.Queue = k.Name;
  job.Fails = chance(random, k.FailShare);
  job.Worth = k.Worth * std::min(4.0, 0.3 + 0.7 * size / meanSize(site, k));
  job.Objective =
      chain * k.Stretch * (job.Fails ? 2 : 1) + absl::Milliseconds(k.TargetMs);
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

/// Worth that was owed and that was earned, by whatever a day is judged by.
struct Balance {
  double Owed = 0;
  double Earned = 0;

  double share() const { return Owed > 0 ? Earned / Owed : 1; }
};

double worst(const std::map<int, Balance> &all) {
  double least = 1;
  for (const auto &[key, balance] : all)
    least = std::min(least, balance.share());
  return least;
}

double worstWindows(const std::map<int, Balance> &all) {
  std::vector<double> shares;
  for (const auto &[window, balance] : all)
    shares.push_back(balance.share());
  std::sort(shares.begin(), shares.end());
  shares.resize(std::min<size_t>(shares.size(), WorstWindows));
  return shares.empty() ? 1
                        : std::accumulate(shares.begin(), shares.end(), 0.0) /
                              static_cast<double>(shares.size());
}

/// One day while it is played.
class Day {
public:
  Day(const SiteLoad &site, const jobs::SchedulerPolicy &policy, uint64_t seed,
      const DayShape &shape)
      : Site(site), Shape(shape), Rng(seed), Sim(policy) {
    Sim.configure(configOf(site));
    addWorkers();
    Sim.StopTakes = Site.StopTakes;
    Sim.TickEveryMs = TickEveryMs;
    Sim.Work = [this](const core::TaskId &id, const core::StepSpec &) {
      return Jobs.at(id.Job)
          .Work.at(static_cast<size_t>(id.Step))
          .at(static_cast<size_t>(id.Index));
    };
    Sim.FailsItself = [this](const core::TaskId &id, int64_t run) {
      return run == 1 && id.Index == 0 && Jobs.at(id.Job).Fails;
    };
  }

  DayResult play() {
    constexpr int StepMs = 100;
    const int burstAt = any(Rng, 2, Shape.LengthS / 2) * 1000;
    const int leaveAt = any(Rng, 2, Shape.LengthS / 2) * 1000;
    const int sickAt =
        Shape.Sick > 0 ? any(Rng, 2, Shape.LengthS / 2) * 1000 : -1;
    for (int ms = 0; ms < Shape.LengthS * 1000; ms += StepMs) {
      const bool burst = ms >= burstAt && ms < burstAt + Shape.BurstS * 1000;
      for (size_t k = 0; k < Site.Kinds.size(); ++k) {
        double rate = Site.Kinds[k].PerSecond * Shape.Load;
        if (burst && Site.Kinds[k].Priority == 0)
          rate *= Shape.Burst;
        if (chance(Rng, rate * StepMs / 1000))
          handIn(k, ms);
      }
      if (ms == sickAt || ms == sickAt + Shape.SickS * 1000)
        for (int n = 0; n < Shape.Sick; ++n)
          Sim.worker(sickWorker(n)).FailsAll = ms == sickAt;
      if (ms == leaveAt)
        for (int n = 0; n < Shape.Leaving; ++n)
          Sim.leave("w" + std::to_string(n), Notice);
      Sim.runFor(absl::Milliseconds(StepMs));
    }
    Sim.runFor(absl::Seconds(Shape.FinishS));
    return judge();
  }

private:
  void addWorkers() {
    int n = 0;
    for (size_t rack = 0; rack < Site.Racks.size(); ++rack)
      for (int i = 0; i < Site.Racks[rack]; ++i, ++n) {
        auto &w = Sim.addWorker("w" + std::to_string(n),
                                "r" + std::to_string(rack), Site.Worker);
        // Every third worker of the users' sites takes 1.3 times as long.
        w.Slowness = n % 3 == 2 ? 1.3 : 1.0;
      }
    Sim.runFor(absl::Milliseconds(600));
  }

  // Spread over the site, and none of those that leave.
  std::string sickWorker(int n) const {
    const int64_t all = workersOf(Site);
    const int64_t apart =
        std::max<int64_t>(1, (all - Shape.Leaving) / Shape.Sick);
    return "w" + std::to_string(all - 1 - n * apart);
  }

  void handIn(size_t kind, int ms) {
    Planned job = draw(Rng, Site, kind, ++Number);
    job.HandedInMs = ms;
    const core::JobSpec spec = job.Spec;
    Jobs.emplace(spec.Id, std::move(job));
    Sim.submit(spec, Site.Kinds[kind].Priority, Site.Kinds[kind].Attempts);
  }

  double earned(const Planned &job, bool &inTime) const {
    const std::optional<absl::Duration> took = Sim.took(job.Spec.Id);
    inTime = false;
    if (!took || Sim.state(job.Spec.Id) != jobs::JobState::Completed)
      return 0;
    inTime = *took <= job.Objective;
    if (inTime)
      return job.Worth;
    return *took <= 3 * job.Objective
               ? job.Worth * Site.Kinds[job.Kind].LateWorth
               : 0;
  }

  DayResult judge() const {
    DayResult result;
    Balance all;
    std::map<int, Balance> kinds;
    std::map<int, Balance> domains;
    std::map<int, Balance> organisations;
    std::map<int, Balance> windows;
    std::map<int, Balance> inTime;
    for (const auto &[id, job] : Jobs) {
      bool timely = false;
      const double worth = earned(job, timely);
      auto count = [&](Balance &b) {
        b.Owed += job.Worth;
        b.Earned += worth;
      };
      count(all);
      count(kinds[static_cast<int>(job.Kind)]);
      count(domains[job.Domain]);
      count(organisations[job.Organisation]);
      count(windows[job.HandedInMs / 1000 / WindowS]);
      Balance &b = inTime[static_cast<int>(job.Kind)];
      b.Owed += job.Worth;
      b.Earned += timely ? job.Worth : 0;
    }
    result.WastedCoreSeconds = Sim.wasted();
    result.Starts = Sim.starts();
    result.Violations = static_cast<int>(Sim.violations().size());
    result.Earned = all.share();
    result.Score =
        (Site.WholeDay * all.share() + Site.WorstKind * worst(kinds) +
         Site.WorstDomain * worst(domains) +
         Site.WorstOrganisation * worst(organisations) +
         Site.WorstWindow * worstWindows(windows)) /
            (Site.WholeDay + Site.WorstKind + Site.WorstDomain +
             Site.WorstOrganisation + Site.WorstWindow) -
        result.WastedCoreSeconds * Site.WastePrice / std::max(all.Owed, 1.0);
    Balance timely;
    for (size_t k = 0; k < Site.Kinds.size(); ++k) {
      const Balance b = inTime[static_cast<int>(k)];
      result.InTimeByKind.push_back(b.share());
      timely.Owed += b.Owed;
      timely.Earned += b.Earned;
    }
    result.InTime = timely.share();
    return result;
  }

  const SiteLoad &Site;
  const DayShape Shape;
  Random Rng;
  jobs::SimSite Sim;
  std::map<std::string, Planned> Jobs;
  int Number = 0;
};

} // namespace

SiteLoad brno() {
  SiteLoad s;
  s.Name = "brno";
  s.StopTakes = absl::Milliseconds(550);
  s.StopGrace = absl::Milliseconds(900);
  s.Worker = {32000, 65536, 8};
  JobKind verify;
  verify.Name = "verify";
  verify.Priority = 1;
  verify.PerSecond = 0.325;
  verify.MeanWorkMs = 11000;
  verify.WorkSpread = 0.3;
  verify.MostWorkMs = 11000;
  verify.MeanWidth = 1.5;
  verify.MostWidth = 9;
  verify.Each = {13000, 26000, 0};
  verify.Accelerators = {1, 2, 4, 8, 8};
  verify.TargetMs = 1000;
  verify.Worth = 3;
  verify.LateWorth = 0.3;
  JobKind render;
  render.Name = "render";
  render.Priority = 0;
  render.PerSecond = 0.298;
  render.MeanWorkMs = 2500;
  render.WorkSpread = 0.5;
  render.MostWorkMs = 8000;
  render.MeanWidth = 3.4;
  render.MostWidth = 21;
  render.Each = {3700, 7600, 0};
  render.Accelerators = {1, 2, 4, 8, 8};
  render.SameRackShare = 0.8;
  render.CheckpointShare = 0.1;
  render.FailShare = 0.05;
  render.Stretch = 1.5;
  render.TargetMs = 250;
  render.Worth = 4;
  render.LateWorth = 0.2;
  JobKind check;
  check.Name = "check";
  check.Priority = 2;
  check.PerSecond = 0.196;
  check.MeanWorkMs = 7600;
  check.WorkSpread = 0.3;
  check.MostWorkMs = 11000;
  check.MeanWidth = 9.2;
  check.MostWidth = 55;
  check.Each = {2800, 5700, 0};
  check.Accelerators = {1};
  check.Gangs = false;
  check.SecondStepShare = 0.3;
  check.EstimateOff = 0.2;
  check.FailShare = 0.005;
  check.TargetMs = 3000;
  s.Kinds = {verify, render, check};
  return s;
}

SiteLoad pennington() {
  SiteLoad s;
  s.Name = "pennington";
  s.Worker = {128000, 262144, 8};
  s.WastePrice = 0.0024;
  s.WholeDay = 0.6;
  s.WorstKind = 0.15;
  s.WorstDomain = 0;
  s.WorstOrganisation = 0.2;
  s.WorstWindow = 0.25;
  JobKind review;
  review.Name = "review";
  review.Priority = 1;
  review.PerSecond = 0.57;
  review.MeanWorkMs = 6800;
  review.WorkSpread = 0.3;
  review.MostWorkMs = 11000;
  review.MeanWidth = 1.5;
  review.MostWidth = 9;
  review.Each = {52000, 110000, 0};
  review.Accelerators = {1, 2, 4, 8, 8};
  review.EstimateOff = 0.2;
  review.FailShare = 0.005;
  review.Attempts = 2;
  review.TargetMs = 1000;
  review.Worth = 3;
  review.LateWorth = 0.3;
  JobKind fit;
  fit.Name = "fit";
  fit.Priority = 0;
  fit.PerSecond = 0.596;
  fit.MeanWorkMs = 2500;
  fit.WorkSpread = 0.5;
  fit.MostWorkMs = 8000;
  fit.MeanWidth = 3.0;
  fit.MostWidth = 18;
  fit.Each = {15000, 31000, 0};
  fit.Accelerators = {1, 2, 4, 8, 8};
  fit.SameRackShare = 0.8;
  fit.CheckpointShare = 0.08;
  fit.EstimateOff = 0.9;
  fit.Attempts = 3;
  fit.Stretch = 1.5;
  fit.TargetMs = 250;
  fit.Worth = 4;
  fit.LateWorth = 0.2;
  JobKind reorder;
  reorder.Name = "reorder";
  reorder.Priority = 2;
  reorder.PerSecond = 0.275;
  reorder.MeanWorkMs = 6100;
  reorder.WorkSpread = 0.3;
  reorder.MostWorkMs = 11000;
  reorder.MeanWidth = 9.2;
  reorder.MostWidth = 55;
  reorder.Each = {11000, 23000, 0};
  reorder.Accelerators = {1};
  reorder.Gangs = false;
  reorder.SecondStepShare = 0.3;
  reorder.EstimateOff = 0.5;
  reorder.Attempts = 2;
  reorder.TargetMs = 3000;
  s.Kinds = {review, fit, reorder};
  return s;
}

SiteLoad halls() {
  SiteLoad s;
  s.Name = "halls";
  s.StopTakes = absl::Milliseconds(550);
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
  verify.PerSecond = 0.781;
  verify.MeanWorkMs = 8500;
  verify.WorkSpread = 0.3;
  verify.MostWorkMs = 11000;
  verify.MeanWidth = 25;
  verify.MostWidth = 150;
  verify.Each = {13000, 68000, 0};
  verify.Accelerators = {1, 2, 4, 8, 8};
  verify.WidestGang = AnyWidth;
  verify.WidestSameRack = HalfRack;
  verify.EstimateOff = 0.9;
  verify.Attempts = 2;
  verify.TargetMs = 1000;
  verify.Worth = 3;
  verify.LateWorth = 0.3;
  JobKind render;
  render.Name = "render";
  render.Priority = 0;
  render.PerSecond = 4.26;
  render.MeanWorkMs = 2500;
  render.WorkSpread = 0.5;
  render.MostWorkMs = 8000;
  render.MeanWidth = 7.6;
  render.MostWidth = 46;
  render.Each = {3700, 15000, 0};
  render.Accelerators = {1, 2, 4, 8, 8};
  render.SameRackShare = 0.8;
  render.WidestGang = AnyWidth;
  render.WidestSameRack = HalfRack;
  render.CheckpointShare = 0;
  render.EstimateOff = 0.9;
  render.Attempts = 2;
  render.Stretch = 1.5;
  render.TargetMs = 300;
  render.Worth = 4;
  render.LateWorth = 0.2;
  JobKind check;
  check.Name = "check";
  check.Priority = 2;
  check.PerSecond = 0.918;
  check.MeanWorkMs = 6100;
  check.WorkSpread = 0.3;
  check.MostWorkMs = 11000;
  check.MeanWidth = 78;
  check.MostWidth = 470;
  check.Each = {2800, 8200, 0};
  check.Accelerators = {1};
  check.Gangs = false;
  check.SecondStepShare = 0.3;
  check.EstimateOff = 0.9;
  check.FailShare = 0.005;
  check.Attempts = 3;
  check.TargetMs = 3000;
  s.Kinds = {verify, render, check};
  return s;
}

DayResult playDay(const SiteLoad &site, const jobs::SchedulerPolicy &policy,
                  uint64_t seed, const DayShape &shape) {
  return Day(site, policy, seed, shape).play();
}

} // namespace oriolebay::bench
