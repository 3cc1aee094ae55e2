#include "attribution.h"

#include <absl/strings/match.h>

#include <algorithm>
#include <cstddef>
#include <set>

namespace oriolebay::losses {

using core::TaskId;

namespace {

/// A run that took so many times as long as the middle one of its like was on a
/// slow worker: sound ones differ by less.
constexpr double SlowBeyond = 2.0;
/// A worker where runs of two jobs failed within this time was at fault, not
/// the jobs.
constexpr absl::Duration SameFault = absl::Seconds(6);
/// An answer is worth something until so many times its promise.
constexpr int64_t LateUpTo = 3;

using Runs = std::vector<RunHistory>;

bool did(const RunHistory &run) {
  return run.How == "done" && run.Ended && run.Started;
}

/// The run that did the task's work, or null.
const RunHistory *doneRun(const Runs &runs) {
  auto it = std::find_if(runs.begin(), runs.end(), did);
  return it == runs.end() ? nullptr : &*it;
}

absl::Duration tookOf(const RunHistory &run) {
  return *run.Ended - run.Started.value_or(*run.Ended);
}

bool flag(const std::vector<bool> &flags, int step) {
  const auto s = static_cast<size_t>(step);
  return s < flags.size() && flags[s];
}

/// Whether what the run did is saved: it was stopped in good order, and its
/// step saves its progress.
bool isSaved(const RunHistory &run, bool checkpoints) {
  return checkpoints && run.How == "stopped" && run.Started && run.Ended;
}

/// All tasks of one step of a job, and what their work took.
class StepTimes {
public:
  StepTimes(const JobHistory &job, const SiteHistory &site, int occurrence,
            int step)
      : Site(site), Gang(flag(job.Gang, step)) {
    for (const auto &[id, runs] : job.Tasks) {
      if (id.Step != step || id.Occurrence != occurrence)
        continue;
      const RunHistory *done = doneRun(runs);
      if (done == nullptr)
        continue;
      Took.push_back(workOf(runs, *done, flag(job.Checkpoints, step)));
      Slowest = std::max(Slowest, slowness(*done));
      const bool later = Last == nullptr || *done->Ended > *Last->Ended;
      // One member's end stands for the whole gang.
      if (Last == nullptr || (Gang ? !later : later)) {
        Last = done;
        LastTask = id;
      }
    }
  }

  const RunHistory *last() const { return Last; }
  const TaskId &lastTask() const { return LastTask; }

  /// What a sound run of the step's tasks takes at most.
  absl::Duration sound() const {
    if (Took.empty())
      return absl::ZeroDuration();
    const absl::Duration longest = *std::max_element(Took.begin(), Took.end());
    // A gang is as slow as its slowest member.
    if (Gang)
      return longest / Slowest;
    if (Took.size() < 3)
      return longest;
    std::vector<absl::Duration> sorted = Took;
    std::sort(sorted.begin(), sorted.end());
    return std::min(longest, sorted[sorted.size() / 2] * SlowBeyond);
  }

private:
  double slowness(const RunHistory &run) const {
    auto it = Site.Slowness.find(run.Worker);
    return it == Site.Slowness.end() ? 1 : it->second;
  }

  // What the work takes at a sound worker.
  absl::Duration workOf(const Runs &runs, const RunHistory &done,
                        bool checkpoints) const {
    auto sound = [&](const RunHistory &run) {
      return Gang ? tookOf(run) : tookOf(run) / slowness(run);
    };
    absl::Duration work = sound(done);
    for (const RunHistory &run : runs)
      if (isSaved(run, checkpoints))
        work += sound(run);
    return work;
  }

  const SiteHistory &Site;
  const bool Gang;
  double Slowest = 1;
  std::vector<absl::Duration> Took;
  const RunHistory *Last = nullptr;
  TaskId LastTask;
};

bool workerAtFault(const std::string &job, const RunHistory &failed,
                   const SiteHistory &site) {
  return std::any_of(site.Jobs.begin(), site.Jobs.end(), [&](const auto &j) {
    if (j.first == job)
      return false;
    return std::any_of(
        j.second.Tasks.begin(), j.second.Tasks.end(), [&](const auto &task) {
          return std::any_of(
              task.second.begin(), task.second.end(), [&](const RunHistory &r) {
                return r.Worker == failed.Worker && r.How == "failed" &&
                       r.Ended &&
                       absl::AbsDuration(*r.Ended - *failed.Ended) < SameFault;
              });
        });
  });
}

/// What the step's tasks lost to failures of their own, the longest of them.
absl::Duration ownFailures(const JobHistory &job, int occurrence, int step,
                           const SiteHistory &site) {
  absl::Duration most = absl::ZeroDuration();
  for (const auto &[id, runs] : job.Tasks) {
    if (id.Step != step || id.Occurrence != occurrence)
      continue;
    absl::Duration lost = absl::ZeroDuration();
    for (const RunHistory &run : runs)
      if (run.How == "failed" && run.Ended && run.Started &&
          !workerAtFault(job.Id, run, site))
        lost += tookOf(run);
    most = std::max(most, lost);
  }
  return most;
}

/// Builds a critical path from its end to its beginning.
class Path {
public:
  Path(const JobHistory &job, const SiteHistory &site)
      : Job(job), Site(site), Cursor(job.Shown.value_or(*job.Ended)) {}

  std::vector<Segment> build() {
    back(*Job.Ended, Cause::Showing);
    int step = lastStep();
    while (step >= 0) {
      const StepTimes times(Job, Site, 0, step);
      if (times.last() == nullptr)
        break;
      walkTask(times);
      step = before(step);
    }
    const absl::Time accepted = Job.Accepted.value_or(Job.FirstCall);
    waited(accepted, -1);
    back(Job.FirstCall, Cause::Accepting);
    std::reverse(Out.begin(), Out.end());
    return std::move(Out);
  }

private:
  // Takes what lies between from and the cursor.
  void back(absl::Time from, Cause cause) {
    if (from >= Cursor)
      return;
    Out.push_back({cause, from, Cursor});
    Cursor = from;
  }

  int lastStep() const {
    int step = -1;
    absl::Time latest = absl::InfinitePast();
    for (size_t s = 0; s < Job.Waves.size(); ++s) {
      const StepTimes times(Job, Site, 0, static_cast<int>(s));
      if (times.last() != nullptr && *times.last()->Ended > latest) {
        latest = *times.last()->Ended;
        step = static_cast<int>(s);
      }
    }
    return step;
  }

  // The step among those that this one waited for that was done last.
  int before(int step) const {
    int latestStep = -1;
    absl::Time latest = absl::InfinitePast();
    for (int s : Job.After[static_cast<size_t>(step)]) {
      const StepTimes times(Job, Site, 0, s);
      if (times.last() != nullptr && *times.last()->Ended > latest) {
        latest = *times.last()->Ended;
        latestStep = s;
      }
    }
    return latestStep;
  }

  absl::Time ready(int step) const {
    const int s = before(step);
    return s < 0 ? Job.Accepted.value_or(Job.FirstCall)
                 : *StepTimes(Job, Site, 0, s).last()->Ended;
  }

  void walkTask(const StepTimes &times) {
    const TaskId &id = times.lastTask();
    const Runs &runs = Job.Tasks.at(id);
    const absl::Time begins = ready(id.Step);
    const RunHistory *const last = times.last();
    for (size_t i = runs.size(); i-- > 0;) {
      const RunHistory &run = runs[i];
      if (run.Run > last->Run)
        continue;
      if (run.Ended)
        waited(std::max(begins, *run.Ended), id.Step);
      walkRun(run, id, times.sound());
    }
    waited(begins, id.Step);
  }

  void walkRun(const RunHistory &run, const TaskId &id, absl::Duration sound) {
    if (run.Started) {
      if (did(run)) {
        const absl::Duration beyond = tookOf(run) - sound;
        if (beyond > absl::ZeroDuration())
          back(*run.Ended - beyond, Cause::SlowWorker);
        back(*run.Started, Cause::Working);
      } else if (isSaved(run, flag(Job.Checkpoints, id.Step))) {
        back(*run.Started, Cause::Working);
      } else {
        back(*run.Started, causeOf(run, id));
      }
    }
    if (run.Placed)
      split(*run.Placed, Cause::Starting);
  }

  Cause causeOf(const RunHistory &run, const TaskId &id) const {
    if (run.How == "failed")
      return Cause::RunFailed;
    if (absl::StrContains(run.StopWhy, "stands still") ||
        absl::StrContains(run.StopWhy, "crawls"))
      return Cause::RunStoodStill;
    if (absl::StrContains(run.StopWhy, "before its worker leaves"))
      return Cause::RunEvacuated;
    if (absl::StrContains(run.StopWhy, "makes room"))
      return Cause::RunStopped;
    if (run.How == "lost" || run.How == "lapsed")
      return Cause::RunLost;
    return ofGang(run, id);
  }

  // A member that was broken off with its gang: what became of the others.
  Cause ofGang(const RunHistory &run, const TaskId &id) const {
    for (const auto &[other, runs] : Job.Tasks) {
      if (other.Step != id.Step || other == id)
        continue;
      for (const RunHistory &r : runs)
        if (r.Run == run.Run && r.How == "failed")
          return Cause::RunFailed;
      for (const RunHistory &r : runs)
        if (r.Run == run.Run && (r.How == "lost" || r.How == "lapsed"))
          return Cause::RunLost;
    }
    return Cause::RunBroken;
  }

  // A wait from then to the cursor, for a task of the step (-1: none yet).
  void waited(absl::Time from, int step) {
    if (from >= Cursor)
      return;
    auto stop = std::find_if(Job.StopsForIt.begin(), Job.StopsForIt.end(),
                             [&](absl::Time t) { return t >= from; });
    if (stop != Job.StopsForIt.end())
      split(*stop, Cause::WaitingForStops);
    split(from, whyWaited(step));
  }

  Cause whyWaited(int step) const {
    if (step < 0)
      return Cause::WaitingForRoom;
    const auto s = static_cast<size_t>(step);
    if (s < Job.Waves.size() && Job.Waves[s] > 1)
      return Cause::OwnWaves;
    if (flag(Job.OneRack, step))
      return Cause::WaitingForRack;
    return Cause::WaitingForRoom;
  }

  // Takes what lies between from and the cursor, less the time in which nobody
  // led or the leader had no store.
  void split(absl::Time from, Cause cause) {
    while (from < Cursor) {
      const Span rest{from, Cursor};
      const std::optional<Segment> last = lastTrouble(rest);
      if (!last) {
        back(from, cause);
        return;
      }
      back(last->To, cause);
      back(last->From, last->What);
    }
  }

  std::optional<Segment> lastTrouble(const Span &rest) const {
    std::optional<Segment> last;
    auto take = [&](const std::vector<Span> &spans, Cause cause) {
      for (const Span &span : spans) {
        const Span both = span.within(rest);
        if (both.length() > absl::ZeroDuration() &&
            (!last || both.To > last->To))
          last = Segment{cause, both.From, both.To};
      }
    };
    take(Site.WithoutLeader, Cause::LeaderChange);
    auto leader = Site.Leaders.upper_bound(rest.To);
    if (leader != Site.Leaders.begin()) {
      auto store = Site.WithoutStore.find(std::prev(leader)->second);
      if (store != Site.WithoutStore.end())
        take(store->second, Cause::StoreOutage);
    }
    return last;
  }

  const JobHistory &Job;
  const SiteHistory &Site;
  absl::Time Cursor;
  std::vector<Segment> Out;
};

Outcome outcomeOf(const JobHistory &job, absl::Duration took,
                  absl::Duration due) {
  if (job.State == "cancelled")
    return Outcome::Cancelled;
  if (job.State == "failed")
    return Outcome::Failed;
  static const std::set<std::string> notAllowed = {"bad_key", "unknown_queue",
                                                   "invalid", "id_taken"};
  if (!job.Accepted && notAllowed.count(job.CallResult) != 0)
    return Outcome::NotAllowed;
  if (!job.Accepted)
    return Outcome::Refused;
  if (job.State.empty())
    return Outcome::Open;
  if (took <= due)
    return Outcome::InTime;
  return took <= due * LateUpTo ? Outcome::Late : Outcome::Worthless;
}

} // namespace

const std::vector<Cause> &allCauses() {
  static const std::vector<Cause> all = {
      Cause::Accepting,      Cause::StoreOutage,     Cause::LeaderChange,
      Cause::WaitingForRoom, Cause::WaitingForStops, Cause::WaitingForRack,
      Cause::OwnWaves,       Cause::Starting,        Cause::Working,
      Cause::SlowWorker,     Cause::RunFailed,       Cause::RunLost,
      Cause::RunStoodStill,  Cause::RunStopped,      Cause::RunEvacuated,
      Cause::RunBroken,      Cause::Showing};
  return all;
}

const char *causeName(Cause cause) {
  switch (cause) {
  case Cause::Accepting:
    return "accepting";
  case Cause::StoreOutage:
    return "store_outage";
  case Cause::LeaderChange:
    return "leader_change";
  case Cause::WaitingForRoom:
    return "waiting_for_room";
  case Cause::WaitingForStops:
    return "waiting_for_stops";
  case Cause::WaitingForRack:
    return "waiting_for_rack";
  case Cause::OwnWaves:
    return "own_waves";
  case Cause::Starting:
    return "starting";
  case Cause::Working:
    return "working";
  case Cause::SlowWorker:
    return "slow_worker";
  case Cause::RunFailed:
    return "run_failed";
  case Cause::RunLost:
    return "run_lost";
  case Cause::RunStoodStill:
    return "run_stood_still";
  case Cause::RunStopped:
    return "run_stopped_for_others";
  case Cause::RunEvacuated:
    return "run_evacuated";
  case Cause::RunBroken:
    return "run_broken";
  case Cause::Showing:
    return "showing";
  }
  return "unknown";
}

const char *outcomeName(Outcome outcome) {
  switch (outcome) {
  case Outcome::InTime:
    return "in_time";
  case Outcome::Late:
    return "late";
  case Outcome::Worthless:
    return "worthless";
  case Outcome::Failed:
    return "failed";
  case Outcome::Cancelled:
    return "cancelled";
  case Outcome::Refused:
    return "refused";
  case Outcome::NotAllowed:
    return "not_allowed";
  case Outcome::Open:
    return "open";
  }
  return "unknown";
}

bool isOwed(Outcome outcome) {
  return outcome != Outcome::Cancelled && outcome != Outcome::NotAllowed;
}

std::vector<Segment> criticalPath(const JobHistory &job,
                                  const SiteHistory &site) {
  if (!job.Accepted || !job.Ended)
    return {};
  return Path(job, site).build();
}

absl::Duration dueWithin(const JobHistory &job, const SiteHistory &site) {
  std::vector<absl::Duration> chains(job.Waves.size(), absl::ZeroDuration());
  absl::Duration chain = absl::ZeroDuration();
  for (size_t s = 0; s < job.Waves.size(); ++s) {
    const int step = static_cast<int>(s);
    absl::Duration before = absl::ZeroDuration();
    for (int after : job.After[s])
      before = std::max(before, chains[static_cast<size_t>(after)]);
    chains[s] = before + StepTimes(job, site, 0, step).sound() * job.Waves[s] +
                ownFailures(job, 0, step, site);
    chain = std::max(chain, chains[s]);
  }
  return chain * job.Stretch + job.Target;
}

Cause Account::mainCause() const {
  std::map<Cause, absl::Duration> sums;
  for (const Segment &s : Path)
    if (s.What != Cause::Working)
      sums[s.What] += s.length();
  auto most = std::max_element(
      sums.begin(), sums.end(),
      [](const auto &a, const auto &b) { return a.second < b.second; });
  return most == sums.end() ? Cause::Working : most->first;
}

Account accountOf(const JobHistory &job, const SiteHistory &site) {
  Account account;
  account.Job = job.Id;
  account.Path = criticalPath(job, site);
  account.Due = dueWithin(job, site);
  if (job.Ended)
    account.Took = job.Shown.value_or(*job.Ended) - job.FirstCall;
  account.What = outcomeOf(job, account.Took, account.Due);
  return account;
}

std::vector<Waste> wasteOf(const JobHistory &job) {
  std::vector<Waste> out;
  for (const auto &[id, runs] : job.Tasks) {
    const auto step = static_cast<size_t>(id.Step);
    if (step >= job.Weight.size())
      continue;
    for (const RunHistory &run : runs) {
      // A member of a gang that is done may end otherwise than it did.
      if (!run.Ended || !run.Started || run.How == "done" ||
          run.How == "failed" || isSaved(run, job.Checkpoints[step]))
        continue;
      Waste w{job.Id, run.Worker, run.How, run.StopWhy, "", *run.Ended, 0};
      if (absl::StartsWith(run.StopWhy, MakesRoomFor))
        w.ForJob = run.StopWhy.substr(MakesRoomFor.size());
      w.CoreSeconds = absl::ToDoubleSeconds(tookOf(run)) * job.Weight[step];
      out.push_back(std::move(w));
    }
  }
  return out;
}

} // namespace oriolebay::losses
