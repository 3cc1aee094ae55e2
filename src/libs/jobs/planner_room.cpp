// How the planner makes room: what running work would free and what its end
// throws away, which of it is stopped for a unit that waits, and what is kept.
#include "planner.h"

#include "runjudge.h"

#include <algorithm>

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

// The plan that costs least, over all groups that unit may stand in.
template <class Cost>
std::optional<Planner::Plan> Planner::leastPlan(const Unit &unit,
                                                const std::vector<Release> &all,
                                                Cost Plan::*cost) {
  std::optional<Plan> best;
  for (const auto &group : groups(unit)) {
    std::optional<Plan> plan = planWith(unit, group, all);
    if (plan && (!best || (*plan).*cost < (*best).*cost))
      best = std::move(plan);
  }
  return best;
}

// The work whose stop makes room for unit and throws away least.
std::optional<Planner::Plan>
Planner::cheapestStops(const Unit &unit, const std::vector<Release> &all) {
  return leastPlan(unit, all, &Plan::Waste);
}

// The room that will be there first, going by how far what runs is.
std::optional<Planner::Plan>
Planner::firstEnds(const Unit &unit, const std::vector<Release> &all) {
  return leastPlan(unit, all, &Plan::Wait);
}

// How long unit may wait for its job to be in time still.
absl::Duration Planner::slack(const Unit &unit) const {
  const Job &job = *unit.Owner;
  const auto &steps = job.Record.Spec.Steps;
  const std::vector<int> oneWave(steps.size(), 1);
  const auto chains =
      chainsFrom(steps, oneWave, [&](const core::StepSpec &spec) {
        return S.taskTime(job, spec);
      });
  const absl::Time due = job.Arrived + chains.front() * job.Record.Stretch +
                         absl::Milliseconds(job.Record.TargetLatencyMs);
  return due - Now - chains[static_cast<size_t>(unit.Step)];
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
  return ends && !guaranteeAtRisk(unit, ends) && ends->Wait * 2 <= slack(unit);
}

// Stopping others is worth it for a job that comes in time by it and would not
// otherwise, and whatever it costs where a guarantee would not be kept.
bool Planner::worthStopping(const Unit &unit, const Plan &stops,
                            const std::optional<Plan> &ends) const {
  return guaranteeAtRisk(unit, ends) || stops.Waste <= mostWaste(unit);
}

// Keeps the room that comes in time by itself for unit, or asks for the stops
// that make room and keeps that. Without keeping what was on its way, the room
// of the first stops went to other small tasks, which were stopped in their
// turn, twelve times over in the test. Tasks that start one by one get room for
// as many as it can be made for. False when there are no stops, or they are not
// worth it.
bool Planner::makeRoom(Unit &unit) {

  const std::vector<Release> running = releases(unit, false);
  std::optional<std::vector<Release>> stoppable;
  for (size_t n = unit.Tasks.size(); n > 0; n = unit.spec().Gang ? 0 : n / 2) {
    unit.Tasks.resize(n);
    const std::optional<Plan> ends = firstEnds(unit, running);
    if (inTimeAnyway(unit, ends)) {
      notePlan(unit, "waits for ends in time", &*ends);
      keep(unit, *ends);
      return true;
    }
    if (!stoppable)
      stoppable = releases(unit, true);
    std::optional<Plan> stops = cheapestStops(unit, *stoppable);
    if (!stops)
      notePlan(unit, "nothing to stop makes room", nullptr);
    else if (!worthStopping(unit, *stops, ends))
      notePlan(unit, "stops would throw away too much", &*stops);
    if (stops && worthStopping(unit, *stops, ends)) {
      notePlan(unit, "others are stopped", &*stops);
      askForStops(unit, *stops);
      stops->Wait = absl::ZeroDuration();
      keep(unit, *stops);
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
      {"slack_ms", absl::ToInt64Milliseconds(slack(unit))},
      {"most_waste_core_s", static_cast<int64_t>(mostWaste(unit))}};
  if (plan != nullptr) {
    inputs.push_back({"wait_ms", absl::ToInt64Milliseconds(plan->Wait)});
    inputs.push_back({"waste_core_s", static_cast<int64_t>(plan->Waste)});
    inputs.push_back({"ends", static_cast<int64_t>(plan->Releases.size())});
  }
  S.note(Decision::Kind::RoomPlanned, unit.Owner->Record.Spec.Id,
         core::taskName(unit.task(unit.Tasks.front())), 0, "", outcome,
         std::move(inputs));
}

void Planner::askForStops(const Unit &unit, const Plan &stops) {
  const std::string why = "makes room for job " + unit.Owner->Record.Spec.Id;
  for (const Release *r : stops.Releases) {
    const std::string &id = r->Owner->Record.Spec.Id;
    if (r->Index < 0) {
      S.stopStep(*r->Owner, r->Occurrence, r->Step, why);
      continue;
    }
    const core::TaskId task{id, r->Occurrence, r->Step, r->Index};
    S.requestStop(task, *S.findTask(task), why);
  }
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
