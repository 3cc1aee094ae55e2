#include "planner.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace oriolebay::jobs {

namespace {

/// Gangs that workers are kept free for at the same time. One would let the
/// next large gang starve; many would leave the site idle.
constexpr int MostHolds = 2;
/// An accelerator weighs as much as so many cores when work is thrown away.
constexpr double CoresPerAccelerator = 8;
/// A task is assumed to need at least so long still, however far it is.
constexpr absl::Duration LeastRemaining = absl::Milliseconds(200);

double weight(const core::Resources &r) {
  return static_cast<double>(r.MilliCores) / 1000 +
         CoresPerAccelerator * static_cast<double>(r.Accelerators);
}

} // namespace

Planner::Planner(JobScheduler &scheduler, absl::Time now)
    : S(scheduler), Now(now) {
  for (const auto &[life, view] : S.Workers.workers())
    if (S.Workers.usable(view, now))
      Places.push_back({life, &view, view.room()});
}

void Planner::run() {
  rankJobs();
  collectUnits();
  for (Unit &unit : Units)
    placeUnit(unit);
}

// Work of priority 0 counts as guaranteed, oldest first, as long as its
// organisation's guarantee covers it.
void Planner::rankJobs() {
  std::vector<const Job *> urgent;
  for (const auto &[id, job] : S.Jobs)
    if (!job.over() && job.Record.Priority == 0)
      urgent.push_back(&job);
  std::sort(urgent.begin(), urgent.end(), [](const Job *a, const Job *b) {
    return std::tie(a->Arrived, a->Record.Spec.Id) <
           std::tie(b->Arrived, b->Record.Spec.Id);
  });
  std::map<std::string, int64_t> used;
  for (const Job *job : urgent) {
    const core::OrganisationConfig *org =
        S.Config->organisation(job->Record.Spec.Organisation);
    int64_t need = 0;
    for (const core::StepSpec &step : job->Record.Spec.Steps)
      need = std::max(need, step.Count * step.PerTask.Accelerators);
    int64_t &sum = used[job->Record.Spec.Organisation];
    sum += need;
    const bool covered = org != nullptr && sum <= org->GuaranteedAccelerators;
    Ranks[job->Record.Spec.Id] = covered ? 0 : 1;
  }
}

int Planner::rankOf(const Job &job) const {
  auto it = Ranks.find(job.Record.Spec.Id);
  return it != Ranks.end() ? it->second : job.Record.Priority + 1;
}

void Planner::collectUnits() {
  for (auto &[id, job] : S.Jobs) {
    if (job.over())
      continue;
    const int due = S.dueOccurrences(job);
    for (int k = 0; k < due; ++k) {
      std::vector<JobScheduler::Step> &steps = S.occurrence(job, k);
      for (size_t s = 0; s < steps.size(); ++s) {
        if (!JobScheduler::stepReady(job, steps, s))
          continue;
        Unit unit{&job, k, static_cast<int>(s), {}, rankOf(job)};
        bool whole = true;
        for (size_t i = 0; i < steps[s].size(); ++i) {
          const Task &task = steps[s][i];
          if (!task.Progress.Done && !task.mayRun())
            unit.Tasks.push_back(static_cast<int>(i));
          else
            whole = false;
        }
        if (unit.Tasks.empty() || (unit.spec().Gang && !whole))
          continue;
        Units.push_back(std::move(unit));
      }
    }
  }
  std::sort(Units.begin(), Units.end(), [](const Unit &a, const Unit &b) {
    return std::tie(a.Rank, a.Owner->Arrived, a.Owner->Record.Spec.Id,
                    a.Occurrence, a.Step) < std::tie(b.Rank, b.Owner->Arrived,
                                                     b.Owner->Record.Spec.Id,
                                                     b.Occurrence, b.Step);
  });
}

void Planner::placeUnit(Unit &unit) {
  if (!unit.spec().Gang) {
    placeTasks(unit);
    return;
  }
  if (placeGang(unit))
    unit.Owner->Targets.erase({unit.Occurrence, unit.Step});
  else
    blocked(unit);
}

bool Planner::eligible(const Place &place, const Unit &unit) const {
  const endpoints::WorkerState &worker = place.View->State;
  const core::QueueConfig *queue =
      S.Config->queue(unit.Owner->Record.Spec.Queue);
  const std::string &service =
      queue != nullptr ? queue->Service : unit.Owner->Record.Service;
  if (worker.Service != service)
    return false;
  const std::string &label = unit.spec().NeedsLabel;
  return label.empty() || std::find(worker.Labels.begin(), worker.Labels.end(),
                                    label) != worker.Labels.end();
}

bool Planner::mayUse(const Place &place, const Unit &unit) const {
  return !place.Held ||
         absl::Milliseconds(unit.spec().EstimateMs) < place.HeldFor;
}

int Planner::onWorker(const Unit &unit, const std::string &life) const {
  const JobScheduler::Step &step = unit.Owner->Occurrences.at(
      unit.Occurrence)[static_cast<size_t>(unit.Step)];
  return static_cast<int>(
      std::count_if(step.begin(), step.end(),
                    [&](const Task &t) { return t.Progress.Worker == life; }));
}

int64_t Planner::fits(const Place &place, const Unit &unit,
                      int64_t most) const {
  if (!eligible(place, unit))
    return 0;
  const core::StepSpec &spec = unit.spec();
  if (spec.MaxPerWorker > 0)
    most =
        std::min<int64_t>(most, spec.MaxPerWorker - onWorker(unit, place.Life));
  return spec.room().countIn(place.Free, std::max<int64_t>(most, 0));
}

// The sets of places that a gang may stand in: each rack, or the whole site.
std::vector<std::vector<size_t>> Planner::groups(const Unit &unit) const {
  std::vector<std::vector<size_t>> out;
  if (unit.spec().SameRack && couldEverFitOneRack(unit)) {
    std::map<std::string, std::vector<size_t>> racks;
    for (size_t p = 0; p < Places.size(); ++p)
      racks[Places[p].View->State.Rack].push_back(p);
    for (auto &[rack, members] : racks)
      out.push_back(std::move(members));
    return out;
  }
  out.emplace_back();
  for (size_t p = 0; p < Places.size(); ++p)
    out.back().push_back(p);
  return out;
}

bool Planner::couldEverFitOneRack(const Unit &unit) const {
  std::map<std::string, int64_t> racks;
  const core::StepSpec &spec = unit.spec();
  for (const auto &[life, view] : S.Workers.workers()) {
    const Place whole{life, &view, view.State.Capacity};
    if (view.State.Draining || !eligible(whole, unit))
      continue;
    int64_t most = spec.Count;
    if (spec.MaxPerWorker > 0)
      most = std::min<int64_t>(most, spec.MaxPerWorker);
    racks[view.State.Rack] += spec.room().countIn(view.State.Capacity, most);
  }
  return std::any_of(racks.begin(), racks.end(),
                     [&](const auto &r) { return r.second >= spec.Count; });
}

// Places all tasks in group, the tightest workers first, so that wide room
// stays whole. Empty when they do not fit.
std::optional<Planner::Layout>
Planner::layout(const Unit &unit, const std::vector<size_t> &group) const {
  std::vector<std::pair<int64_t, size_t>> order;
  for (size_t p : group)
    if (mayUse(Places[p], unit) && fits(Places[p], unit, 1) > 0)
      order.emplace_back(Places[p].Free.Accelerators, p);
  std::sort(order.begin(), order.end());
  Layout places;
  for (const auto &[free, p] : order) {
    const auto left = static_cast<int64_t>(unit.Tasks.size() - places.size());
    for (int64_t n = fits(Places[p], unit, left); n > 0; --n)
      places.push_back(p);
    if (places.size() == unit.Tasks.size())
      return places;
  }
  return std::nullopt;
}

bool Planner::placeGang(Unit &unit) {
  std::optional<Layout> best;
  int64_t bestLeft = std::numeric_limits<int64_t>::max();
  for (const auto &group : groups(unit)) {
    std::optional<Layout> places = layout(unit, group);
    if (!places)
      continue;
    int64_t left = 0;
    for (size_t p : group)
      left += Places[p].Free.Accelerators;
    if (left < bestLeft) {
      best = std::move(places);
      bestLeft = left;
    }
  }
  if (!best)
    return false;
  startGang(unit, *best);
  return true;
}

void Planner::startGang(Unit &unit, const Layout &places) {
  JobScheduler::Step &step = unit.Owner->Occurrences.at(
      unit.Occurrence)[static_cast<size_t>(unit.Step)];
  // Members save on their own; any member's checkpoint is good for the gang,
  // but all must start from the same one: that of the member furthest on.
  const Task *furthest = &step.front();
  int64_t run = 0;
  for (const Task &t : step) {
    run = std::max(run, t.Progress.Run);
    if (!t.Progress.Saved.empty() &&
        (furthest->Progress.Saved.empty() || t.Percent > furthest->Percent))
      furthest = &t;
  }
  const std::string saved = furthest->Progress.Saved;
  for (size_t n = 0; n < places.size(); ++n) {
    Place &place = Places[places[n]];
    S.start(*unit.Owner, unit.task(unit.Tasks[n]), place.Life, saved, run + 1);
    place.Free -= unit.spec().room();
  }
}

void Planner::startTask(Unit &unit, int index, size_t p) {
  const Task &task = *S.findTask(unit.task(index));
  S.start(*unit.Owner, unit.task(index), Places[p].Life, task.Progress.Saved,
          task.Progress.Run + 1);
  Places[p].Free -= unit.spec().room();
}

void Planner::placeTasks(Unit &unit) {
  const core::StepSpec &spec = unit.spec();
  for (int index : unit.Tasks) {
    const Task &task = *S.findTask(unit.task(index));
    // Smaller is better: not where it failed before, near the data, tight.
    using Score = std::tuple<bool, bool, int64_t, int64_t>;
    std::optional<std::pair<Score, size_t>> best;
    for (size_t p = 0; p < Places.size(); ++p) {
      const Place &place = Places[p];
      if (!mayUse(place, unit) || fits(place, unit, 1) == 0)
        continue;
      const bool away =
          !spec.DataRack.empty() && place.View->State.Rack != spec.DataRack;
      const Score score{task.FailedOn.count(place.Life) != 0, away,
                        place.Free.Accelerators, place.Free.MilliCores};
      if (!best || score < best->first)
        best = {score, p};
    }
    if (best)
      startTask(unit, index, best->second);
    else
      S.Changed = true;
  }
}

void Planner::blocked(Unit &unit) {
  if (!unit.Owner->WaitLogged) {
    unit.Owner->WaitLogged = true;
    S.note(Decision::Kind::Waiting, unit.Owner->Record.Spec.Id,
           core::taskName(unit.task(0)), 0, "", "no room for the whole gang");
  }
  if (unit.Rank <= 1 && preempt(unit))
    return;
  if (Holds < MostHolds)
    hold(unit);
}

absl::Duration Planner::remaining(const Job &job, int occurrence,
                                  int step) const {
  const core::StepSpec &spec = job.Record.Spec.Steps[static_cast<size_t>(step)];
  const JobScheduler::Step &tasks =
      job.Occurrences.at(occurrence)[static_cast<size_t>(step)];
  int percent = 100;
  for (const Task &t : tasks)
    if (t.mayRun())
      percent = std::min(percent, t.Percent);
  const absl::Duration left =
      absl::Milliseconds(spec.EstimateMs) * (100 - percent) / 100;
  return std::max(left, LeastRemaining);
}

// What could be stopped for unit: work that comes after it, with what a stop
// throws away (all since the last checkpoint).
std::vector<Planner::Victim> Planner::victims(const Unit &unit) const {
  std::map<std::string, size_t> placeOf;
  for (size_t p = 0; p < Places.size(); ++p)
    placeOf[Places[p].Life] = p;
  std::vector<Victim> out;
  for (auto &[id, job] : S.Jobs) {
    const int rank = rankOf(job);
    if (rank <= unit.Rank || (unit.Rank == 1 && rank < 2))
      continue;
    for (auto &[number, steps] : job.Occurrences)
      for (size_t s = 0; s < steps.size(); ++s) {
        const core::StepSpec &spec = job.Record.Spec.Steps[s];
        Victim gang{&job, number, static_cast<int>(s), -1, rank, 0, {}};
        for (size_t i = 0; i < steps[s].size(); ++i) {
          const Task &t = steps[s][i];
          auto place = placeOf.find(t.Progress.Worker);
          if (!t.mayRun() || t.Progress.Done)
            continue;
          const absl::Duration ran = t.Began == absl::InfinitePast()
                                         ? absl::ZeroDuration()
                                         : Now - t.Began;
          double lost = absl::ToDoubleSeconds(ran);
          if (spec.Checkpoints)
            lost = std::min(lost, S.Policy.CheckpointEvery);
          if (t.StopAsked)
            lost = 0;
          Victim one = gang;
          one.Index = static_cast<int>(i);
          one.Waste = lost * weight(spec.PerTask);
          gang.Waste += one.Waste;
          if (place == placeOf.end())
            continue;
          one.Frees[place->second] = spec.room();
          gang.Frees[place->second] += spec.room();
          if (!spec.Gang)
            out.push_back(std::move(one));
        }
        if (spec.Gang && !gang.Frees.empty())
          out.push_back(std::move(gang));
      }
  }
  std::sort(out.begin(), out.end(), [](const Victim &a, const Victim &b) {
    return std::make_tuple(a.Waste > 0, -a.Rank, a.Waste) <
           std::make_tuple(b.Waste > 0, -b.Rank, b.Waste);
  });
  return out;
}

// Finds the cheapest set of work to stop so that the gang fits, asks for the
// stops and keeps the workers free for it. False when there is none.
bool Planner::preempt(Unit &unit) {
  const std::vector<Victim> all = victims(unit);
  std::optional<std::vector<const Victim *>> best;
  std::vector<size_t> bestGroup;
  double bestWaste = std::numeric_limits<double>::max();
  std::vector<Place> before = Places;
  for (const auto &group : groups(unit)) {
    Places = before;
    std::vector<const Victim *> chosen;
    double waste = 0;
    auto roomFor = [&] {
      int64_t n = 0;
      for (size_t p : group)
        if (!Places[p].Held)
          n += fits(Places[p], unit, static_cast<int64_t>(unit.Tasks.size()));
      return n;
    };
    auto useful = [&](const Victim &v) {
      return std::any_of(v.Frees.begin(), v.Frees.end(), [&](const auto &f) {
        return std::find(group.begin(), group.end(), f.first) != group.end() &&
               !Places[f.first].Held && eligible(Places[f.first], unit);
      });
    };
    const auto need = static_cast<int64_t>(unit.Tasks.size());
    int64_t have = roomFor();
    // First those that are being stopped anyway, then the cheapest first.
    for (const Victim &v : all) {
      if (have >= need)
        break;
      if (!useful(v))
        continue;
      for (const auto &[p, r] : v.Frees)
        Places[p].Free += r;
      chosen.push_back(&v);
      waste += v.Waste;
      have = roomFor();
    }
    if (have < need)
      continue;
    // Drop those that turned out not to be needed, the dearest first.
    for (size_t i = chosen.size(); i-- > 0;) {
      for (const auto &[p, r] : chosen[i]->Frees)
        Places[p].Free -= r;
      if (roomFor() >= need) {
        waste -= chosen[i]->Waste;
        chosen.erase(chosen.begin() + static_cast<std::ptrdiff_t>(i));
        continue;
      }
      for (const auto &[p, r] : chosen[i]->Frees)
        Places[p].Free += r;
    }
    if (waste < bestWaste) {
      bestWaste = waste;
      best = chosen;
      bestGroup = group;
    }
  }
  Places = std::move(before);
  if (!best || (unit.Rank == 1 && bestWaste > S.Policy.MostWasteCoreSeconds))
    return false;
  for (const Victim *v : *best) {
    const std::string why = "makes room for job " + unit.Owner->Record.Spec.Id;
    if (v->Index < 0)
      S.stopStep(*v->Owner, v->Occurrence, v->Step, why);
    else
      S.requestStop(
          {v->Owner->Record.Spec.Id, v->Occurrence, v->Step, v->Index},
          *S.findTask(
              {v->Owner->Record.Spec.Id, v->Occurrence, v->Step, v->Index}),
          why);
  }
  for (size_t p : bestGroup)
    if (std::any_of(best->begin(), best->end(),
                    [p](const Victim *v) { return v->Frees.count(p) != 0; }))
      Places[p].Held = true;
  return true;
}

// Keeps the workers free that will first have room for the gang, going by the
// estimates of what runs there. Work that should end before may still use
// them.
void Planner::hold(Unit &unit) {
  ++Holds;
  std::vector<size_t> bestGroup;
  absl::Duration bestWait = absl::InfiniteDuration();
  const auto need = static_cast<int64_t>(unit.Tasks.size());
  for (const auto &group : groups(unit)) {
    std::vector<std::pair<absl::Duration, Victim>> ends;
    for (auto &[id, job] : S.Jobs)
      for (auto &[number, steps] : job.Occurrences)
        for (size_t s = 0; s < steps.size(); ++s) {
          Victim v{&job, number, static_cast<int>(s), -1, 0, 0, {}};
          for (const Task &t : steps[s])
            for (size_t p : group)
              if (t.mayRun() && t.Progress.Worker == Places[p].Life)
                v.Frees[p] += job.Record.Spec.Steps[s].room();
          if (!v.Frees.empty())
            ends.emplace_back(remaining(job, number, static_cast<int>(s)),
                              std::move(v));
        }
    std::sort(ends.begin(), ends.end(),
              [](const auto &a, const auto &b) { return a.first < b.first; });
    const std::vector<Place> before = Places;
    absl::Duration wait = absl::ZeroDuration();
    auto roomFor = [&] {
      int64_t n = 0;
      for (size_t p : group)
        if (!Places[p].Held)
          n += fits(Places[p], unit, need);
      return n;
    };
    bool enough = roomFor() >= need;
    for (const auto &[end, v] : ends) {
      if (enough)
        break;
      for (const auto &[p, r] : v.Frees)
        Places[p].Free += r;
      wait = end;
      enough = roomFor() >= need;
    }
    Places = before;
    if (enough && wait < bestWait) {
      bestWait = wait;
      bestGroup = group;
    }
  }
  for (size_t p : bestGroup)
    if (eligible(Places[p], unit)) {
      Places[p].Held = true;
      Places[p].HeldFor = bestWait;
    }
}

} // namespace oriolebay::jobs
