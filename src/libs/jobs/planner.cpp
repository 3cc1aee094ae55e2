#include "planner.h"

#include "runjudge.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace oriolebay::jobs {

namespace {

/// Gangs that room is kept for at the same time while they wait. One would let
/// the next large gang starve; many would leave the site idle.
constexpr int MostKept = 2;
/// An accelerator weighs as much as so many cores when work is thrown away.
constexpr double CoresPerAccelerator = 8;

double weight(const core::Resources &r) {
  return static_cast<double>(r.MilliCores) / 1000 +
         CoresPerAccelerator * static_cast<double>(r.Accelerators);
}

} // namespace

Planner::Planner(JobScheduler &scheduler, absl::Time now)
    : S(scheduler), Now(now) {
  for (const auto &[life, view] : S.Workers.workers())
    if (S.Workers.usable(view, now))
      Places.push_back({life, &view, view.room(), view.room()});
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
        Unit unit{&job, k, static_cast<int>(s), {}, rankOf(job), {}};
        collectTasks(unit, steps[s]);
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

// A gang waits until all its tasks may start. Of others, each that has failed
// is a unit of its own, with workers of its own to avoid.
void Planner::collectTasks(Unit &unit, const JobScheduler::Step &step) {
  const bool gang = unit.spec().Gang;
  for (size_t i = 0; i < step.size(); ++i) {
    const Task &task = step[i];
    const auto index = static_cast<int>(i);
    if (task.Progress.Done || task.mayRun()) {
      if (gang)
        return;
    } else if (gang || task.FailedOn.empty()) {
      unit.Tasks.push_back(index);
    } else {
      Unit retry{unit.Owner, unit.Occurrence, unit.Step,
                 {index},    unit.Rank,       {}};
      avoidFailed(retry, step);
      Units.push_back(std::move(retry));
    }
  }
  if (unit.Tasks.empty())
    return;
  if (gang)
    avoidFailed(unit, step);
  Units.push_back(std::move(unit));
}

// A worker may fail all that it starts. With room nowhere else a task was tried
// there again at once and again, until its attempts were used up and its job
// had failed for good; now it waits for room at a worker that could hold it.
// Where there is none, what fails by its own fault must still come to its end.
void Planner::avoidFailed(Unit &unit, const JobScheduler::Step &step) const {
  for (int index : unit.Tasks) {
    const auto &failed = step[static_cast<size_t>(index)].FailedOn;
    unit.Avoid.insert(failed.begin(), failed.end());
  }
  if (unit.Avoid.empty())
    return;
  const bool elsewhere =
      unit.spec().SameRack && unit.spec().Gang
          ? couldEverFitOneRack(unit)
          : couldHold(unit) >= static_cast<int64_t>(unit.Tasks.size());
  if (!elsewhere)
    unit.Avoid.clear();
}

// How many of its tasks the usable workers could hold if they were empty.
int64_t Planner::couldHold(const Unit &unit) const {
  const core::StepSpec &spec = unit.spec();
  int64_t most = static_cast<int64_t>(unit.Tasks.size());
  if (spec.MaxPerWorker > 0)
    most = std::min<int64_t>(most, spec.MaxPerWorker);
  int64_t held = 0;
  for (const Place &place : Places)
    if (eligible(place, unit))
      held += spec.room().countIn(place.View->State.Capacity, most);
  return held;
}

void Planner::placeUnit(Unit &unit) {
  if (unit.spec().Gang) {
    if (!placeGang(unit))
      blocked(unit);
    return;
  }
  placeTasks(unit);
  if (!unit.Tasks.empty())
    blocked(unit);
}

bool Planner::eligible(const Place &place, const Unit &unit) const {
  const endpoints::WorkerState &worker = place.View->State;
  const core::QueueConfig *queue =
      S.Config->queue(unit.Owner->Record.Spec.Queue);
  const std::string &service =
      queue != nullptr ? queue->Service : unit.Owner->Record.Service;
  if (worker.Service != service || unit.Avoid.count(place.Life) != 0)
    return false;
  const std::string &label = unit.spec().NeedsLabel;
  return label.empty() || std::find(worker.Labels.begin(), worker.Labels.end(),
                                    label) != worker.Labels.end();
}

const core::Resources &Planner::room(const Place &place,
                                     const Unit &unit) const {
  const bool endsBefore =
      absl::Milliseconds(unit.spec().EstimateMs) < place.KeptFor;
  return endsBefore ? place.Free : place.Spare;
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
  return spec.room().countIn(room(place, unit), std::max<int64_t>(most, 0));
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
    const Place whole{life, &view, view.State.Capacity, view.State.Capacity};
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
    if (fits(Places[p], unit, 1) > 0)
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
    S.start(*unit.Owner, unit.task(unit.Tasks[n]), place.Life, saved, run + 1,
            unit.Rank, Now);
    place.Free -= unit.spec().room();
    place.Spare -= unit.spec().room();
  }
}

void Planner::startTask(Unit &unit, int index, size_t p) {
  const Task &task = *S.findTask(unit.task(index));
  S.start(*unit.Owner, unit.task(index), Places[p].Life, task.Progress.Saved,
          task.Progress.Run + 1, unit.Rank, Now);
  Places[p].Free -= unit.spec().room();
  Places[p].Spare -= unit.spec().room();
}

// Starts what fits; the tasks that do not are left in the unit.
void Planner::placeTasks(Unit &unit) {
  const core::StepSpec &spec = unit.spec();
  std::vector<int> left;
  for (int index : unit.Tasks) {
    // Smaller is better: near the data, tight.
    using Score = std::tuple<bool, int64_t, int64_t>;
    std::optional<std::pair<Score, size_t>> best;
    for (size_t p = 0; p < Places.size(); ++p) {
      const Place &place = Places[p];
      if (fits(place, unit, 1) == 0)
        continue;
      const bool away =
          !spec.DataRack.empty() && place.View->State.Rack != spec.DataRack;
      const Score score{away, place.Free.Accelerators, place.Free.MilliCores};
      if (!best || score < best->first)
        best = {score, p};
    }
    if (best)
      startTask(unit, index, best->second);
    else
      left.push_back(index);
  }
  unit.Tasks = std::move(left);
}

void Planner::blocked(Unit &unit) {
  // Time alone may let it start: a worker that is kept out comes back.
  S.Changed = true;
  if (!unit.Owner->WaitLogged) {
    unit.Owner->WaitLogged = true;
    S.note(Decision::Kind::Waiting, unit.Owner->Record.Spec.Id,
           core::taskName(unit.task(unit.Tasks.front())), 0, "",
           unit.spec().Gang ? "no room for the whole gang" : "no room",
           {{"rank", unit.Rank},
            {"tasks", static_cast<int64_t>(unit.Tasks.size())},
            {"accelerators_each", unit.spec().PerTask.Accelerators},
            {"usable_workers", static_cast<int64_t>(Places.size())}});
  }
  const bool urgent = unit.Rank <= 1;
  if (unit.spec().Gang) {
    if (!urgent || !makeRoom(unit))
      waitForRoom(unit);
    return;
  }
  // Its tasks start one by one: room is made, or kept, for as many as it can
  // be made for.
  const std::vector<int> tasks = unit.Tasks;
  for (size_t n = urgent ? tasks.size() : 1; n > 0; n /= 2) {
    unit.Tasks.assign(tasks.begin(),
                      tasks.begin() + static_cast<std::ptrdiff_t>(n));
    if (urgent && makeRoom(unit))
      return;
  }
  waitForRoom(unit);
}

// Small tasks find room as others end; keeping it would only hold others up.
bool Planner::isLarge(const Unit &unit) const {
  int64_t widest = 0;
  for (const auto &[life, view] : S.Workers.workers())
    widest = std::max(widest, view.State.Capacity.Accelerators);
  const auto n = static_cast<int64_t>(unit.Tasks.size());
  return n * unit.spec().PerTask.Accelerators * 2 > widest;
}

// What a stop throws away, in core-seconds: all work, or, as a stop makes a
// checkpoint, the time to go on from it.
double Planner::wasteOf(const core::StepSpec &spec, const Task &task) const {
  if (task.StopAsked || task.Progress.Done ||
      task.Began == absl::InfinitePast())
    return 0;
  double lost = absl::ToDoubleSeconds(Now - task.Began);
  if (spec.Checkpoints)
    lost = std::min(lost, absl::ToDoubleSeconds(S.Policy.Progress.Restore));
  return lost * weight(spec.PerTask);
}

void Planner::addReleases(std::vector<Release> &out, Job &job, int occurrence,
                          int step, bool stoppingOnly) const {
  const core::StepSpec &spec = job.Record.Spec.Steps[static_cast<size_t>(step)];
  const JobScheduler::Step &tasks =
      job.Occurrences.at(occurrence)[static_cast<size_t>(step)];
  Release gang{&job, occurrence, step, -1, rankOf(job)};
  for (size_t i = 0; i < tasks.size(); ++i) {
    const Task &t = tasks[i];
    if (!t.mayRun() || (stoppingOnly && !t.StopAsked))
      continue;
    Release one = gang;
    one.Index = static_cast<int>(i);
    one.Frees.clear();
    one.Waste = wasteOf(spec, t);
    one.Left = t.StopAsked
                   ? S.Policy.StopTakes
                   : RunJudge(S, Now).remaining(job,
                                                {job.Record.Spec.Id, occurrence,
                                                 step, static_cast<int>(i)},
                                                t);
    gang.Waste += one.Waste;
    gang.Left = std::max(gang.Left, one.Left);
    for (size_t p = 0; p < Places.size(); ++p)
      if (Places[p].Life == t.Progress.Worker) {
        one.Frees[p] = spec.room();
        gang.Frees[p] += spec.room();
      }
    if (!spec.Gang && !one.Frees.empty())
      out.push_back(std::move(one));
  }
  if (spec.Gang && !gang.Frees.empty())
    out.push_back(std::move(gang));
}

// By stop: work that comes after unit and could be stopped for it, what is
// being stopped anyway first, then the least urgent, then the cheapest.
// Otherwise: all that runs, in the order in which it is expected to end.
std::vector<Planner::Release> Planner::releases(const Unit &unit,
                                                bool byStop) const {
  std::vector<Release> out;
  for (auto &[id, job] : S.Jobs) {
    const int rank = rankOf(job);
    const bool stoppingOnly = byStop && rank <= unit.Rank;
    for (auto &[number, steps] : job.Occurrences)
      for (size_t s = 0; s < steps.size(); ++s)
        addReleases(out, job, number, static_cast<int>(s), stoppingOnly);
  }
  std::stable_sort(out.begin(), out.end(),
                   [byStop](const Release &a, const Release &b) {
                     if (!byStop)
                       return a.Left < b.Left;
                     return std::make_tuple(a.Waste, -a.Rank) <
                            std::make_tuple(b.Waste, -b.Rank);
                   });
  return out;
}

// Takes releases in their order until unit fits into group.
std::optional<Planner::Plan>
Planner::planWith(const Unit &unit, const std::vector<size_t> &group,
                  const std::vector<Release> &all) {
  const std::vector<Place> before = Places;
  const std::set<size_t> members(group.begin(), group.end());
  Plan plan;
  std::optional<Layout> places = layout(unit, group);
  for (const Release &r : all) {
    if (places)
      break;
    const bool useful =
        std::any_of(r.Frees.begin(), r.Frees.end(), [&](const auto &f) {
          return members.count(f.first) != 0 && eligible(Places[f.first], unit);
        });
    if (!useful)
      continue;
    for (const auto &[p, freed] : r.Frees) {
      Places[p].Spare += freed;
      Places[p].Free += freed;
      plan.Freed[p] += freed;
    }
    plan.Releases.push_back(&r);
    plan.Waste += r.Waste;
    plan.Wait = std::max(plan.Wait, r.Left);
    places = layout(unit, group);
  }
  if (places) {
    plan.Places = *places;
    prune(unit, group, plan);
  }
  Places = before;
  if (!places)
    return std::nullopt;
  return plan;
}

// Drops releases that turned out not to be needed, the dearest first.
void Planner::prune(const Unit &unit, const std::vector<size_t> &group,
                    Plan &plan) {
  for (size_t i = plan.Releases.size(); i-- > 0;) {
    const Release &r = *plan.Releases[i];
    for (const auto &[p, freed] : r.Frees) {
      Places[p].Spare -= freed;
      Places[p].Free -= freed;
    }
    if (const std::optional<Layout> places = layout(unit, group)) {
      plan.Places = *places;
      plan.Waste -= r.Waste;
      for (const auto &[p, freed] : r.Frees)
        plan.Freed[p] -= freed;
      plan.Releases.erase(plan.Releases.begin() +
                          static_cast<std::ptrdiff_t>(i));
      continue;
    }
    for (const auto &[p, freed] : r.Frees) {
      Places[p].Spare += freed;
      Places[p].Free += freed;
    }
  }
}

// Keeps for unit what it needs at its places, beyond what the releases will
// bring. Without this the room of the first release goes to the next in line
// before the last has come, and the unit never fits: tasks that were stopped
// for it started again at once, dozens of times.
void Planner::keep(const Unit &unit, const Plan &plan) {
  RoomByPlace needs;
  for (size_t p : plan.Places)
    needs[p] += unit.spec().room();
  for (auto &[p, need] : needs) {
    Place &place = Places[p];
    core::Resources left = place.Spare;
    auto freed = plan.Freed.find(p);
    if (freed != plan.Freed.end())
      left += freed->second;
    left -= need;
    place.Spare = {std::min(place.Spare.MilliCores, left.MilliCores),
                   std::min(place.Spare.MemoryMb, left.MemoryMb),
                   std::min(place.Spare.Accelerators, left.Accelerators)};
    place.KeptFor = std::min(place.KeptFor, plan.Wait);
  }
}

// The work whose stop makes room for unit and throws away least.
std::optional<Planner::Plan>
Planner::cheapestStops(const Unit &unit, const std::vector<Release> &all) {
  std::optional<Plan> best;
  for (const auto &group : groups(unit)) {
    std::optional<Plan> plan = planWith(unit, group, all);
    if (plan && (!best || plan->Waste < best->Waste))
      best = std::move(plan);
  }
  return best;
}

// The room that will be there first, going by how far what runs is.
std::optional<Planner::Plan>
Planner::firstEnds(const Unit &unit, const std::vector<Release> &all) {
  std::optional<Plan> best;
  for (const auto &group : groups(unit)) {
    std::optional<Plan> plan = planWith(unit, group, all);
    if (plan && (!best || plan->Wait < best->Wait))
      best = std::move(plan);
  }
  return best;
}

// How long the job takes from the step on if nothing waits.
absl::Duration Planner::chainFrom(const Job &job, size_t step) const {
  const std::vector<core::StepSpec> &steps = job.Record.Spec.Steps;
  absl::Duration rest = absl::ZeroDuration();
  for (size_t s = step + 1; s < steps.size(); ++s) {
    const std::vector<int> &after = steps[s].After;
    if (std::find(after.begin(), after.end(), static_cast<int>(step)) !=
        after.end())
      rest = std::max(rest, chainFrom(job, s));
  }
  return rest +
         S.Estimates.expected(job.Record.Spec.Queue,
                              absl::Milliseconds(steps[step].EstimateMs));
}

// How long unit may wait for its job to be in time still.
absl::Duration Planner::slack(const Unit &unit) const {
  const Job &job = *unit.Owner;
  const absl::Duration whole = chainFrom(job, 0);
  const absl::Time due = job.Arrived + whole * job.Record.Stretch +
                         absl::Milliseconds(job.Record.TargetLatencyMs);
  return due - Now - chainFrom(job, static_cast<size_t>(unit.Step));
}

// How much of others' work may be thrown away for unit, in core-seconds: what
// its own answer loses by being late.
double Planner::mostWaste(const Unit &unit) const {
  const core::StepSpec &spec = unit.spec();
  const absl::Duration each = S.Estimates.expected(
      unit.Owner->Record.Spec.Queue, absl::Milliseconds(spec.EstimateMs));
  const double own = static_cast<double>(unit.Tasks.size()) *
                     weight(spec.PerTask) * absl::ToDoubleSeconds(each);
  return S.Policy.WasteForAny + S.Policy.WasteForOwnWork * own;
}

// Whether unit's job comes in time if it waits for the room that ends give by
// themselves, or that stops which were asked for will give: twice the wait must
// be within what it may wait, as it is an estimate.
bool Planner::inTimeAnyway(const Unit &unit,
                           const std::optional<Plan> &ends) const {
  if (!ends)
    return false;
  const absl::Time natural = Now + ends->Wait;
  if (unit.Rank == 0 && natural > unit.Owner->Arrived + S.Policy.ReclaimAfter)
    return false;
  return ends->Wait * 2 <= slack(unit);
}

// Stopping others is worth it for a job that comes in time by it and would not
// otherwise, and whatever it costs where a guarantee would not be kept.
bool Planner::worthStopping(const Unit &unit, const Plan &stops,
                            const std::optional<Plan> &ends) const {
  const absl::Time natural = ends ? Now + ends->Wait : absl::InfiniteFuture();
  if (unit.Rank == 0 && natural > unit.Owner->Arrived + S.Policy.ReclaimAfter)
    return true;
  return stops.Waste <= mostWaste(unit);
}

// Keeps the room that comes in time by itself for unit, or asks for the stops
// that make room and keeps that. Without keeping what was on its way, the room
// of the first stops went to other small tasks, which were stopped in their
// turn, twelve times over in the test. False when there are no stops, or they
// are not worth it.
bool Planner::makeRoom(Unit &unit) {
  const std::vector<Release> running = releases(unit, false);
  const std::optional<Plan> ends = firstEnds(unit, running);
  if (inTimeAnyway(unit, ends)) {
    keep(unit, *ends);
    return true;
  }
  const std::vector<Release> stoppable = releases(unit, true);
  std::optional<Plan> stops = cheapestStops(unit, stoppable);
  if (!stops || !worthStopping(unit, *stops, ends))
    return false;
  const std::string why = "makes room for job " + unit.Owner->Record.Spec.Id;
  for (const Release *r : stops->Releases) {
    const std::string &id = r->Owner->Record.Spec.Id;
    if (r->Index < 0) {
      S.stopStep(*r->Owner, r->Occurrence, r->Step, why);
      continue;
    }
    const core::TaskId task{id, r->Occurrence, r->Step, r->Index};
    S.requestStop(task, *S.findTask(task), why);
  }
  stops->Wait = absl::ZeroDuration();
  keep(unit, *stops);
  return true;
}

// Keeps the room that will be there first, so that smaller work does not take
// it for ever.
void Planner::waitForRoom(Unit &unit) {
  if (Kept >= MostKept || !isLarge(unit))
    return;
  const std::vector<Release> running = releases(unit, false);
  const std::optional<Plan> best = firstEnds(unit, running);
  if (!best)
    return;
  ++Kept;
  keep(unit, *best);
}

} // namespace oriolebay::jobs
