#include "planner.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace oriolebay::jobs {

namespace {

/// At most one worker of so many is kept free for urgent work.
constexpr int MostKeptFree = 8;

} // namespace

Planner::Planner(JobScheduler &scheduler, absl::Time now)
    : S(scheduler), Now(now) {
  for (const auto &[life, view] : S.Workers.workers())
    if (S.Workers.usable(view, now))
      Places.push_back({&view, view.room(), view.room(),
                        absl::InfiniteDuration(), S.Speeds.isSlow(view.Agent),
                        -1, view.FailedInARow > 0});
  WholeSite.emplace_back();
  std::map<std::string_view, int> racks;
  for (size_t p = 0; p < Places.size(); ++p) {
    Place &place = Places[p];
    const auto next = static_cast<int>(Racks.size());
    auto [rack, added] = racks.emplace(place.View->State.Rack, next);
    if (added)
      Racks.push_back({next});
    place.Rack = rack->second;
    Racks[static_cast<size_t>(place.Rack)].Members.push_back(p);
    WholeSite.front().Members.push_back(p);
    PlaceOf[place.View->State.Life] = p;
    EmptyToSpare += isEmpty(place) ? 1 : 0;
  }
  EmptyToSpare -= workersToKeepFree();
}

// Room for urgent work is there at once only where nothing has to be stopped
// for it: a stop takes up to a second, which is all that a short urgent job may
// wait. So batch work leaves as many workers empty as the urgent jobs that come
// while a stop takes will ask for.
int Planner::workersToKeepFree() const {
  int64_t widest = 0;
  for (const Place &place : Places)
    widest = std::max(widest, place.View->State.Capacity.Accelerators);
  if (widest == 0)
    return 0;
  const double need =
      S.Policy.Headroom * S.Urgent.within(S.Policy.StopTakes, Now);
  const auto workers = static_cast<int>(need / static_cast<double>(widest));
  return std::min(workers, static_cast<int>(Places.size()) / MostKeptFree);
}

void Planner::take(size_t p, const core::Resources &room) {
  Place &place = Places[p];
  EmptyToSpare -= isEmpty(place) ? 1 : 0;
  place.Free -= room;
  place.Spare -= room;
}

bool Planner::leavesHeadroom(const Unit &unit, const Layout &places) const {
  if (unit.Rank <= 1)
    return true;
  const std::set<size_t> used(places.begin(), places.end());
  const auto empty = std::count_if(used.begin(), used.end(), [this](size_t p) {
    return isEmpty(Places[p]);
  });
  return empty == 0 || empty <= EmptyToSpare;
}

void Planner::run() {
  markSuspects();
  rankJobs();
  collectUnits();
  for (Unit &unit : Units)
    placeUnit(unit);
}

// Work of priority 0 counts as guaranteed, oldest first, as long as its
// organisation's guarantee covers it.
void Planner::rankJobs() {
  std::vector<Job *> urgent;
  for (auto &[id, job] : S.Jobs) {
    job.Rank = job.Record.Priority + 1;
    if (!job.over() && job.Record.Priority == 0)
      urgent.push_back(&job);
  }
  std::sort(urgent.begin(), urgent.end(), [](const Job *a, const Job *b) {
    return std::tie(a->Arrived, a->Record.Spec.Id) <
           std::tie(b->Arrived, b->Record.Spec.Id);
  });
  std::map<std::string, int64_t> used;
  for (Job *job : urgent) {
    const core::OrganisationConfig *org =
        S.Config->organisation(job->Record.Spec.Organisation);
    int64_t need = 0;
    for (const core::StepSpec &step : job->Record.Spec.Steps)
      need = std::max(need, step.Count * step.PerTask.Accelerators);
    int64_t &sum = used[job->Record.Spec.Organisation];
    sum += need;
    const bool covered = org != nullptr && sum <= org->GuaranteedAccelerators;
    job->Rank = covered ? 0 : 1;
  }
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
        Unit unit{&job, k, static_cast<int>(s), {}, job.Rank, {}};
        collectTasks(unit, steps[s]);
      }
    }
  }
  for (Unit &unit : Units)
    judgeDemand(unit);
  std::sort(Units.begin(), Units.end(), [](const Unit &a, const Unit &b) {
    if (a.Rank != b.Rank)
      return a.Rank < b.Rank;
    if (a.Rank == 1 && a.Slack != b.Slack)
      return a.Slack < b.Slack;
    return std::tie(a.Owner->Arrived, a.Owner->Record.Spec.Id, a.Occurrence,
                    a.Step) < std::tie(b.Owner->Arrived,
                                       b.Owner->Record.Spec.Id, b.Occurrence,
                                       b.Step);
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
    } else if (gang || (task.FailedOn.empty() && !task.isSuspect())) {
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
    const Task &task = step[static_cast<size_t>(index)];
    const auto &crashed = task.Progress.CrashedAt;
    unit.Avoid.insert(task.FailedOn.begin(), task.FailedOn.end());
    unit.AvoidHosts.insert(crashed.begin(), crashed.end());
    unit.Suspect |= task.isSuspect();
  }
  if (unit.Avoid.empty() && unit.AvoidHosts.empty())
    return;
  const bool elsewhere =
      unit.spec().SameRack && unit.spec().Gang
          ? findFitsOneRack(unit)
          : couldHold(unit) >= static_cast<int64_t>(unit.Tasks.size());
  if (elsewhere)
    return;
  unit.Avoid.clear();
  unit.AvoidHosts.clear();
}

// How many of its tasks the usable workers could hold if they were empty.
int64_t Planner::couldHold(const Unit &unit) const {
  const core::StepSpec &spec = unit.spec();
  int64_t most = static_cast<int64_t>(unit.Tasks.size());
  if (spec.MaxPerWorker > 0)
    most = std::min<int64_t>(most, spec.MaxPerWorker);
  int64_t held = 0;
  for (const Place &place : Places)
    if (eligible(*place.View, unit))
      held += spec.room().countIn(place.View->State.Capacity, most);
  return held;
}

void Planner::placeUnit(Unit &unit) {
  findAllowed(unit);
  if (unit.spec().Gang) {
    if (!placeGang(unit))
      blocked(unit);
    return;
  }
  placeTasks(unit);
  if (unit.Needed > 0 && !unit.Tasks.empty())
    blocked(unit);
}

bool Planner::eligible(const WorkerView &view, const Unit &unit) const {
  const endpoints::WorkerState &worker = view.State;
  if (worker.Service != S.serviceOf(*unit.Owner) ||
      unit.Avoid.count(worker.Life) != 0 ||
      unit.AvoidHosts.count(view.Agent) != 0)
    return false;
  const std::string &label = unit.spec().NeedsLabel;
  return label.empty() || std::find(worker.Labels.begin(), worker.Labels.end(),
                                    label) != worker.Labels.end();
}

void Planner::findAllowed(Unit &unit) const {
  const int64_t most = unit.spec().MaxPerWorker;
  unit.Allowed.assign(Places.size(), 0);
  for (size_t p = 0; p < Places.size(); ++p) {
    if (!eligible(*Places[p].View, unit) || !mayStartOn(Places[p], unit))
      continue;
    unit.Allowed[p] =
        most == 0 ? unit.spec().Count
                  : std::max<int64_t>(
                        0, most - onWorker(unit, Places[p].View->State.Life));
  }
}

const core::Resources &Planner::room(const Place &place,
                                     const Unit &unit) const {
  const bool endsBefore =
      absl::Milliseconds(unit.spec().EstimateMs) < place.KeptFor;
  return endsBefore ? place.Free : place.Spare;
}

int Planner::onWorker(const Unit &unit, const WorkerLife &life) const {
  const JobScheduler::Step &step = unit.step();
  return static_cast<int>(
      std::count_if(step.begin(), step.end(),
                    [&](const Task &t) { return t.Progress.Worker == life; }));
}

int64_t Planner::fits(size_t p, const Unit &unit, int64_t most) const {
  most = std::min(most, unit.Allowed[p]);
  return most <= 0 ? 0
                   : unit.spec().room().countIn(room(Places[p], unit), most);
}

// The sets of places that a gang may stand in: each rack, or the whole site.
const std::vector<Planner::Group> &Planner::groups(const Unit &unit) const {
  return unit.spec().SameRack && couldEverFitOneRack(unit) ? Racks : WholeSite;
}

bool Planner::couldEverFitOneRack(const Unit &unit) const {
  if (!unit.FitsOneRack)
    unit.FitsOneRack = findFitsOneRack(unit);
  return *unit.FitsOneRack;
}

bool Planner::findFitsOneRack(const Unit &unit) const {
  std::map<std::string_view, int64_t> racks;
  const core::StepSpec &spec = unit.spec();
  int64_t most = spec.Count;
  if (spec.MaxPerWorker > 0)
    most = std::min<int64_t>(most, spec.MaxPerWorker);
  for (const auto &[life, view] : S.Workers.workers()) {
    if (view.State.Draining || !eligible(view, unit))
      continue;
    int64_t &held = racks[view.State.Rack];
    held += spec.room().countIn(view.State.Capacity, most);
    if (held >= spec.Count)
      return true;
  }
  return false;
}

int64_t Planner::slowOnes(const Layout &places) const {
  return std::count_if(places.begin(), places.end(),
                       [this](size_t p) { return Places[p].Slow; });
}

// Places all tasks in group, the tightest workers first, so that wide room
// stays whole; urgent ones keep off slow workers first. A worker whose latest
// run failed comes last of all, until one is done there: it may fail whatever
// it starts, and each run that fails ends its whole gang. Empty when they do
// not fit.
std::optional<Planner::Layout> Planner::layout(const Unit &unit,
                                               const Group &group) const {
  std::vector<std::tuple<int, bool, bool, int64_t, size_t>> order;
  for (size_t p : group.Members)
    if (fits(p, unit, 1) > 0)
      order.emplace_back(riskOf(Places[p], unit), Places[p].Doubted,
                         wantsFast(unit) && Places[p].Slow,
                         Places[p].Free.Accelerators, p);
  std::sort(order.begin(), order.end());
  Layout places;
  for (const auto &[risk, doubted, slow, free, p] : order) {
    const auto left = static_cast<int64_t>(unit.Tasks.size() - places.size());
    for (int64_t n = fits(p, unit, left); n > 0; --n)
      places.push_back(p);
    if (places.size() == unit.Tasks.size())
      return places;
  }
  return std::nullopt;
}

bool Planner::placeGang(Unit &unit) {
  std::optional<Layout> best;
  // Smaller is better: few slow workers, little room left over.
  std::pair<int64_t, int64_t> bestScore;
  for (const auto &group : groups(unit)) {
    std::optional<Layout> places = layout(unit, group);
    if (!places)
      continue;
    std::pair<int64_t, int64_t> score{wantsFast(unit) ? slowOnes(*places) : 0,
                                      0};
    for (size_t p : group.Members)
      score.second += Places[p].Free.Accelerators;
    if (!best || score < bestScore) {
      best = std::move(places);
      bestScore = score;
    }
  }
  if (!best || !leavesHeadroom(unit, *best))
    return false;
  startGang(unit, *best);
  return true;
}

void Planner::startGang(Unit &unit, const Layout &places) {
  JobScheduler::Step &step = unit.step();
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
    S.start(*unit.Owner, unit.task(unit.Tasks[n]),
            Places[places[n]].View->State.Life, saved, run + 1, unit.Rank, Now);
    take(places[n], unit.spec().room());
    markBegun(places[n], unit);
  }
  listAgain(*unit.Owner, unit.Occurrence, unit.Step);
}

void Planner::startTask(Unit &unit, int index, size_t p) {
  const Task &task = *S.findTask(unit.task(index));
  S.start(*unit.Owner, unit.task(index), Places[p].View->State.Life,
          task.Progress.Saved, task.Progress.Run + 1, unit.Rank, Now);
  take(p, unit.spec().room());
  markBegun(p, unit);
  if (unit.spec().MaxPerWorker > 0)
    --unit.Allowed[p];
}

std::optional<size_t> Planner::bestPlace(const Unit &unit) const {
  const core::StepSpec &spec = unit.spec();
  // Smaller is better: little at risk, near the data, trusted, fast, tight.
  using Score = std::tuple<int, bool, bool, bool, int64_t, int64_t>;
  std::optional<std::pair<Score, size_t>> best;
  for (size_t p = 0; p < Places.size(); ++p) {
    const Place &place = Places[p];
    if (fits(p, unit, 1) == 0 ||
        (unit.Rank > 1 && EmptyToSpare <= 0 && isEmpty(place)))
      continue;
    const bool away =
        !spec.DataRack.empty() && place.View->State.Rack != spec.DataRack;
    const Score score{riskOf(place, unit),
                      away,
                      wantsFast(unit) && place.Doubted,
                      wantsFast(unit) && place.Slow,
                      place.Free.Accelerators,
                      place.Free.MilliCores};
    if (!best || score < best->first)
      best = {score, p};
  }
  if (!best)
    return std::nullopt;
  return best->second;
}

// Starts what fits; the tasks that do not are left in the unit. They are alike:
// where one finds no place, none of the rest does.
void Planner::placeTasks(Unit &unit) {
  size_t started = 0;
  for (int index : unit.Tasks) {
    const std::optional<size_t> place = bestPlace(unit);
    if (!place)
      break;
    startTask(unit, index, *place);
    ++started;
    --unit.Needed;
  }
  unit.Tasks.erase(unit.Tasks.begin(),
                   unit.Tasks.begin() + static_cast<std::ptrdiff_t>(started));
  if (started > 0)
    listAgain(*unit.Owner, unit.Occurrence, unit.Step);
}

void Planner::blocked(Unit &unit) {
  // Time alone may let it start: a worker that is kept out comes back.
  S.Waits = true;
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
  if (unit.Rank <= 1 && makeRoom(unit))
    return;
  // Tasks that start one by one need room for the next one only.
  if (!unit.spec().Gang)
    unit.Tasks.resize(1);
  waitForRoom(unit);
}

} // namespace oriolebay::jobs
