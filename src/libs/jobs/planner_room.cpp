// How the planner makes room: what running work would free and what its end
// throws away, which of it is stopped for a unit that waits, and what is kept.
#include "planner.h"

#include "runjudge.h"

#include <algorithm>
#include <tuple>

namespace oriolebay::jobs {

namespace {

/// A task that follows another in its room is counted with so many times its
/// expected work, as tasks of a step differ and some workers are slower by 1.3
/// times, and with the time from the one's end to the other's start.
constexpr double RoundMargin = 1.25;
constexpr absl::Duration RoundOverhead = absl::Milliseconds(100);
/// An accelerator weighs as much as so many cores when work is thrown away.
constexpr double CoresPerAccelerator = 8;

double weight(const core::Resources &r) {
  return static_cast<double>(r.MilliCores) / 1000 +
         CoresPerAccelerator * static_cast<double>(r.Accelerators);
}

} // namespace

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

void Planner::addReleases(Job &job, int occurrence, int step) {
  const core::StepSpec &spec = job.Record.Spec.Steps[static_cast<size_t>(step)];
  const JobScheduler::Step &tasks =
      job.Occurrences.at(occurrence)[static_cast<size_t>(step)];
  Release gang{&job, occurrence, step, -1, job.Rank};
  RoomByPlace gangFrees;
  core::TaskId id{job.Record.Spec.Id, occurrence, step, 0};
  for (size_t i = 0; i < tasks.size(); ++i) {
    const Task &t = tasks[i];
    if (!t.mayRun())
      continue;
    id.Index = static_cast<int>(i);
    const double waste = wasteOf(spec, t);
    const absl::Duration left = t.StopAsked
                                    ? S.Policy.StopTakes
                                    : RunJudge(S, Now).remaining(job, id, t);
    auto place = PlaceOf.find(t.Progress.Worker);
    if (spec.Gang) {
      gang.Waste += waste;
      gang.Left = std::max(gang.Left, left);
      gang.Stopping = gang.Stopping && t.StopAsked;
      if (place != PlaceOf.end())
        gangFrees[place->second] += spec.room();
    } else if (place != PlaceOf.end()) {
      Running.push_back({&job,
                         occurrence,
                         step,
                         id.Index,
                         job.Rank,
                         waste,
                         left,
                         t.StopAsked,
                         {{place->second, spec.room()}}});
    }
  }
  if (gangFrees.empty())
    return;
  gang.Frees.assign(gangFrees.begin(), gangFrees.end());
  Running.push_back(std::move(gang));
}

void Planner::listRunning() {
  if (RunningListed)
    return;
  RunningListed = true;
  for (auto &[id, job] : S.Jobs)
    for (auto &[number, steps] : job.Occurrences)
      for (size_t s = 0; s < steps.size(); ++s)
        addReleases(job, number, static_cast<int>(s));
}

// Some of the step's tasks were started, or asked to stop.
void Planner::listAgain(Job &job, int occurrence, int step) {
  if (!RunningListed)
    return;
  EndOrder.reset();
  StopOrders.clear();
  Running.erase(std::remove_if(Running.begin(), Running.end(),
                               [&](const Release &r) {
                                 return r.Owner == &job &&
                                        r.Occurrence == occurrence &&
                                        r.Step == step;
                               }),
                Running.end());
  addReleases(job, occurrence, step);
}

Planner::Order Planner::orderOf(Releases all) const {
  Order order;
  order.ByRack.resize(Racks.size());
  for (const Release *r : all) {
    for (const auto &[p, freed] : r->Frees) {
      auto &ofRack = order.ByRack[static_cast<size_t>(Places[p].Rack)];
      if (ofRack.empty() || ofRack.back() != r)
        ofRack.push_back(r);
    }
  }
  order.All = std::move(all);
  return order;
}

// Work that comes after unit and could be stopped for it: what is being stopped
// anyway first, then the cheapest, the least urgent of those first.
const Planner::Order &Planner::stoppable(const Unit &unit) {
  listRunning();
  auto known = StopOrders.find(unit.Rank);
  if (known != StopOrders.end())
    return known->second;
  Releases all;
  for (const Release &r : Running)
    if (r.Stopping || r.Rank > unit.Rank)
      all.push_back(&r);
  std::stable_sort(all.begin(), all.end(),
                   [](const Release *a, const Release *b) {
                     return std::make_pair(a->Waste, -a->Rank) <
                            std::make_pair(b->Waste, -b->Rank);
                   });
  return StopOrders.emplace(unit.Rank, orderOf(std::move(all))).first->second;
}

// All that runs, in the order in which it is expected to end.
const Planner::Order &Planner::byEnd() {
  listRunning();
  if (EndOrder)
    return *EndOrder;
  Releases all;
  for (const Release &r : Running)
    all.push_back(&r);
  std::stable_sort(
      all.begin(), all.end(),
      [](const Release *a, const Release *b) { return a->Left < b->Left; });
  EndOrder = orderOf(std::move(all));
  return *EndOrder;
}

bool Planner::inGroup(size_t p, const Unit &unit, const Group &group) const {
  return unit.Allowed[p] > 0 &&
         (group.Rack < 0 || Places[p].Rack == group.Rack);
}

// Adds what release frees within group (sign 1), or takes it away again (-1).
// Returns by how many more of unit's tasks fit there.
int64_t Planner::applyRelease(const Unit &unit, const Group &group,
                              const Release &release, int sign) {
  const auto most = static_cast<int64_t>(unit.Tasks.size());
  int64_t more = 0;
  for (const auto &[p, freed] : release.Frees) {
    if (!inGroup(p, unit, group))
      continue;
    more -= fits(p, unit, most);
    Place &place = Places[p];
    if (sign > 0) {
      place.Spare += freed;
      place.Free += freed;
    } else {
      place.Spare -= freed;
      place.Free -= freed;
    }
    more += fits(p, unit, most);
  }
  return more;
}

// Takes releases in their order until unit fits into group.
std::optional<Planner::Plan>
Planner::planWith(const Unit &unit, const Group &group, const Releases &all) {
  const auto n = static_cast<int64_t>(unit.Tasks.size());
  int64_t fit = 0;
  for (size_t p : group.Members)
    fit += fits(p, unit, n);
  Plan plan;
  for (const Release *r : all) {
    if (fit >= n)
      break;
    const bool useful =
        std::any_of(r->Frees.begin(), r->Frees.end(), [&](const auto &f) {
          return inGroup(f.first, unit, group);
        });
    if (!useful)
      continue;
    fit += applyRelease(unit, group, *r, 1);
    plan.Ends.push_back(r);
  }
  const bool found = fit >= n;
  if (found) {
    prune(unit, group, fit, plan);
    plan.Places = *layout(unit, group);
  }
  for (const Release *r : plan.Ends) {
    applyRelease(unit, group, *r, -1);
    plan.Waste += r->Waste;
    plan.Wait = std::max(plan.Wait, r->Left);
    for (const auto &[p, freed] : r->Frees)
      plan.Freed[p] += freed;
  }
  if (!found)
    return std::nullopt;
  return plan;
}

// Drops releases that turned out not to be needed, the dearest first.
void Planner::prune(const Unit &unit, const Group &group, int64_t fit,
                    Plan &plan) {
  const auto n = static_cast<int64_t>(unit.Tasks.size());
  for (size_t i = plan.Ends.size(); i-- > 0;) {
    const Release &r = *plan.Ends[i];
    const int64_t without = fit + applyRelease(unit, group, r, -1);
    if (without >= n) {
      fit = without;
      plan.Ends.erase(plan.Ends.begin() + static_cast<std::ptrdiff_t>(i));
    } else {
      applyRelease(unit, group, r, 1);
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

// The plan that costs least, over all groups that unit may stand in.
template <class Cost>
std::optional<Planner::Plan>
Planner::leastPlan(const Unit &unit, const Order &order, Cost Plan::*cost) {
  std::optional<Plan> best;
  for (const Group &group : groups(unit)) {
    std::optional<Plan> plan = planWith(unit, group, order.of(group));
    if (plan && (!best || (*plan).*cost < (*best).*cost))
      best = std::move(plan);
  }
  return best;
}

// The work whose stop makes room for unit and throws away least.
std::optional<Planner::Plan> Planner::cheapestStops(const Unit &unit) {
  return leastPlan(unit, stoppable(unit), &Plan::Waste);
}

// The room that will be there first, going by how far what runs is.
std::optional<Planner::Plan> Planner::firstEnds(const Unit &unit) {
  return leastPlan(unit, byEnd(), &Plan::Wait);
}

// How urgent the unit is, and how much room it must have for that. Only work of
// priority 0 has room made for it; others take what is free.
void Planner::judgeDemand(Unit &unit) const {
  const Job &job = *unit.Owner;
  const core::StepSpec &spec = unit.spec();
  unit.Needed = static_cast<int>(unit.Tasks.size());
  if (unit.Rank > 1)
    return;
  const auto &steps = job.Record.Spec.Steps;
  const Promise promise = S.promiseOf(job);
  const auto chains =
      chainsFrom(steps, promise.Waves,
                 [&](const core::StepSpec &s) { return S.taskTime(job, s); });
  const auto step = static_cast<size_t>(unit.Step);
  const absl::Duration each = S.taskTime(job, spec);
  const absl::Duration after = chains[step] - each * promise.Waves[step];
  const absl::Duration left = job.Arrived + promise.Within - Now - after;
  unit.Slack = left - each;
  if (!spec.Gang && unit.Rank == 1)
    demandOfTasks(unit, left, each);
}

// A wide step is in time although its tasks run in waves: what runs already,
// and each task that is started now, is followed by others in its room.
void Planner::demandOfTasks(Unit &unit, absl::Duration left,
                            absl::Duration each) const {
  const absl::Duration round = each * RoundMargin + RoundOverhead;
  const auto rounds = [round](absl::Duration time) -> int64_t {
    return time <= absl::ZeroDuration()
               ? 0
               : static_cast<int64_t>(absl::FDivDuration(time, round));
  };
  const auto n = static_cast<int64_t>(unit.Tasks.size());
  int64_t followers = 0;
  const JobScheduler::Step &step = unit.step();
  for (size_t i = 0; i < step.size(); ++i) {
    if (!step[i].mayRun())
      continue;
    followers += rounds(
        left - RunJudge(S, Now).remaining(
                   *unit.Owner, unit.task(static_cast<int>(i)), step[i]));
  }
  const int64_t perRoom = std::max<int64_t>(1, rounds(left));
  const int64_t open = std::max<int64_t>(0, n - followers);
  unit.Needed = static_cast<int>(std::min(n, (open + perRoom - 1) / perRoom));
  unit.Slack = left - (perRoom > 1 ? round * perRoom : each);
}

// How much of others' work may be thrown away for unit, in core-seconds: what
// its own answer loses by being late.
double Planner::mostWaste(const Unit &unit) const {
  const core::StepSpec &spec = unit.spec();
  const absl::Duration each = S.taskTime(*unit.Owner, spec);
  const double own = static_cast<double>(unit.Tasks.size()) *
                     weight(spec.PerTask) * absl::ToDoubleSeconds(each);
  return S.Policy.WasteForAny + S.Policy.WasteForOwnWork * own;
}

// Whether work within a guarantee would get its room too late from ends alone.
bool Planner::guaranteeAtRisk(const Unit &unit,
                              const std::optional<Plan> &ends) const {
  const absl::Time natural = ends ? Now + ends->Wait : absl::InfiniteFuture();
  return unit.Rank == 0 &&
         natural > unit.Owner->Arrived + S.Policy.ReclaimAfter;
}

// Whether unit's job comes in time if it waits for the room that ends give by
// themselves, or that stops which were asked for will give: twice the wait must
// be within what it may wait, as it is an estimate.
bool Planner::inTimeAnyway(const Unit &unit,
                           const std::optional<Plan> &ends) const {
  return ends && !guaranteeAtRisk(unit, ends) && ends->Wait * 2 <= unit.Slack;
}

// Stopping others is worth it for a job that comes in time by it and would not
// otherwise, and whatever it costs where a guarantee would not be kept.
bool Planner::worthStopping(const Unit &unit, const Plan &stops,
                            const std::optional<Plan> &ends) const {
  return guaranteeAtRisk(unit, ends) || stops.Waste <= mostWaste(unit);
}

// A new leader hears of its workers one after another. One that knew a quarter
// of them stopped batch work for urgent jobs, while the rest stood empty.
//
// Keeps the room that comes in time by itself for unit, or asks for the stops
// that make room and keeps that. Without keeping what was on its way, the room
// of the first stops went to other small tasks, which were stopped in their
// turn, twelve times over in the test. Tasks that start one by one get room for
// as many as it can be made for. False when there are no stops, or they are not
// worth it.
bool Planner::makeRoom(Unit &unit) {
  unit.Tasks.resize(
      std::min(unit.Tasks.size(), static_cast<size_t>(unit.Needed)));
  for (size_t n = unit.Tasks.size(); n > 0; n = unit.spec().Gang ? 0 : n / 2) {
    unit.Tasks.resize(n);
    const std::optional<Plan> ends = firstEnds(unit);
    if (inTimeAnyway(unit, ends)) {
      notePlan(unit, "waits for ends in time", &*ends);
      keep(unit, *ends);
      return true;
    }
    if (!S.fleetKnown(Now) && !guaranteeAtRisk(unit, ends)) {
      notePlan(unit, "waits until the workers are known", nullptr);
      return false;
    }
    std::optional<Plan> stops = cheapestStops(unit);
    if (!stops)
      notePlan(unit, "nothing to stop makes room", nullptr);
    else if (!worthStopping(unit, *stops, ends))
      notePlan(unit, "stops would throw away too much", &*stops);
    if (stops && worthStopping(unit, *stops, ends)) {
      notePlan(unit, "others are stopped", &*stops);
      stops->Wait = absl::ZeroDuration();
      keep(unit, *stops);
      askForStops(unit, *stops);
      return true;
    }
  }
  return false;
}

// Logged when the outcome changes, so that a unit that waits for long says so
// once and not in each pass.
void Planner::notePlan(const Unit &unit, const char *outcome,
                       const Plan *plan) {
  const char *&logged =
      unit.Owner->RoomPlanLogged[{unit.Occurrence, unit.Step}];
  if (logged == outcome)
    return;
  logged = outcome;
  std::vector<Input> inputs = {
      {"rank", unit.Rank},
      {"tasks", static_cast<int64_t>(unit.Tasks.size())},
      {"needed", unit.Needed},
      {"slack_ms", absl::ToInt64Milliseconds(unit.Slack)},
      {"most_waste_core_s", static_cast<int64_t>(mostWaste(unit))}};
  if (plan != nullptr) {
    inputs.push_back({"wait_ms", absl::ToInt64Milliseconds(plan->Wait)});
    inputs.push_back({"waste_core_s", static_cast<int64_t>(plan->Waste)});
    inputs.push_back({"ends", static_cast<int64_t>(plan->Ends.size())});
  }
  S.note(Decision::Kind::RoomPlanned, unit.Owner->Record.Spec.Id,
         core::taskName(unit.task(unit.Tasks.front())), 0, "", outcome,
         std::move(inputs));
}

void Planner::askForStops(const Unit &unit, const Plan &stops) {
  const std::string why = "makes room for job " + unit.Owner->Record.Spec.Id;
  std::set<std::tuple<Job *, int, int>> steps;
  for (const Release *r : stops.Ends) {
    steps.insert({r->Owner, r->Occurrence, r->Step});
    if (r->Index < 0) {
      S.stopStep(*r->Owner, r->Occurrence, r->Step, why);
      continue;
    }
    const core::TaskId task{r->Owner->Record.Spec.Id, r->Occurrence, r->Step,
                            r->Index};
    S.requestStop(task, *S.findTask(task), why);
  }
  // The plan's releases are not looked at after this.
  for (const auto &[job, occurrence, step] : steps)
    listAgain(*job, occurrence, step);
}

int Planner::mostKept() const {
  return std::max(S.Policy.LeastKept,
                  static_cast<int>(Places.size()) / S.Policy.WorkersPerKept);
}

// Keeps the room that will be there first, so that smaller work does not take
// it for ever.
void Planner::waitForRoom(Unit &unit) {
  if (Kept >= mostKept() || !isLarge(unit))
    return;
  const std::optional<Plan> best = firstEnds(unit);
  if (!best)
    return;
  ++Kept;
  keep(unit, *best);
}

} // namespace oriolebay::jobs
