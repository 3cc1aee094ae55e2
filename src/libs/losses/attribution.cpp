#include "attribution.h"

#include <absl/strings/match.h>

#include <algorithm>
#include <cstddef>
#include <set>

namespace oriolebay::losses {

using core::TaskId;

namespace {

/// A run whose duration exceeds the median of comparable runs by this factor
/// was on a slow worker. Runs on healthy workers differ by less.
constexpr double SlowRunFactor = 2.0;
/// When runs of two jobs fail on the same worker within this time, the worker
/// is at fault and not the jobs.
constexpr absl::Duration WorkerFaultWindow = absl::Seconds(6);
/// Multiple of a job's due time up to which a late result still has some value.
constexpr int64_t MaxLatenessFactor = 3;

using Runs = std::vector<RunHistory>;

bool isDone(const RunHistory &run) {
  return run.EndState == "done" && run.Ended && run.Started;
}

/// Returns the run that completed the task, or null.
const RunHistory *findDoneRun(const Runs &runs) {
  auto it = std::find_if(runs.begin(), runs.end(), isDone);
  return it == runs.end() ? nullptr : &*it;
}

absl::Duration durationOf(const RunHistory &run) {
  return *run.Ended - run.Started.value_or(*run.Ended);
}

bool flagOf(const std::vector<bool> &flags, int step) {
  const auto s = static_cast<size_t>(step);
  return s < flags.size() && flags[s];
}

/// Returns whether the work of the run is saved: it was stopped in an orderly
/// way, and its step saves its progress.
bool isSaved(const RunHistory &run, bool checkpoints) {
  return checkpoints && run.EndState == "stopped" && run.Started && run.Ended;
}

/// The completed tasks of one step in one occurrence of a job, and the
/// durations of their work.
class StepTimes {
public:
  StepTimes(const JobHistory &job, const SiteHistory &site, int occurrence,
            int step)
      : Site(site), Gang(flagOf(job.Gang, step)) {
    for (const auto &[id, runs] : job.Tasks) {
      if (id.Step != step || id.Occurrence != occurrence)
        continue;
      const RunHistory *done = findDoneRun(runs);
      if (done == nullptr)
        continue;
      Durations.push_back(
          workDurationOf(runs, *done, flagOf(job.Checkpoints, step)));
      MaxSlowness = std::max(MaxSlowness, slowness(*done));
      const bool later = Last == nullptr || *done->Ended > *Last->Ended;
      // Members of a gang end together, so that one of them represents all.
      if (Last == nullptr || (Gang ? !later : later)) {
        Last = done;
        LastTask = id;
      }
    }
  }

  /// Returns the completed run that ended last (of a gang, that ended first);
  /// null when no task was completed.
  const RunHistory *last() const { return Last; }
  const TaskId &lastTask() const { return LastTask; }

  /// Returns the duration of the step's longest task on a healthy worker. From
  /// three tasks on it is at most SlowRunFactor times their median.
  absl::Duration healthyDuration() const {
    if (Durations.empty())
      return absl::ZeroDuration();
    const absl::Duration longest =
        *std::max_element(Durations.begin(), Durations.end());
    // A gang is as slow as its slowest member.
    if (Gang)
      return longest / MaxSlowness;
    if (Durations.size() < 3)
      return longest;
    std::vector<absl::Duration> sorted = Durations;
    std::sort(sorted.begin(), sorted.end());
    return std::min(longest, sorted[sorted.size() / 2] * SlowRunFactor);
  }

private:
  double slowness(const RunHistory &run) const {
    auto it = Site.Slowness.find(run.Worker);
    return it == Site.Slowness.end() ? 1 : it->second;
  }

  // Returns the time that the task's work would take on a healthy worker: the
  // completed run and the earlier runs whose progress was saved.
  absl::Duration workDurationOf(const Runs &runs, const RunHistory &done,
                                bool checkpoints) const {
    auto healthyDuration = [&](const RunHistory &run) {
      return Gang ? durationOf(run) : durationOf(run) / slowness(run);
    };
    absl::Duration work = healthyDuration(done);
    for (const RunHistory &run : runs)
      if (isSaved(run, checkpoints))
        work += healthyDuration(run);
    return work;
  }

  const SiteHistory &Site;
  const bool Gang;
  double MaxSlowness = 1;
  std::vector<absl::Duration> Durations;
  const RunHistory *Last = nullptr;
  TaskId LastTask;
};

/// Returns whether a run of another job failed on the same worker at about the
/// same time, so that the failure is the worker's fault.
bool isWorkerAtFault(const std::string &job, const RunHistory &failed,
                     const SiteHistory &site) {
  return std::any_of(site.Jobs.begin(), site.Jobs.end(), [&](const auto &j) {
    if (j.first == job)
      return false;
    return std::any_of(
        j.second.Tasks.begin(), j.second.Tasks.end(), [&](const auto &task) {
          return std::any_of(
              task.second.begin(), task.second.end(), [&](const RunHistory &r) {
                return r.Worker == failed.Worker && r.EndState == "failed" &&
                       r.Ended &&
                       absl::AbsDuration(*r.Ended - *failed.Ended) <
                           WorkerFaultWindow;
              });
        });
  });
}

/// Returns the time that the step's tasks lost by failures of their own: the
/// maximum over the tasks.
absl::Duration timeLostToOwnFailures(const JobHistory &job, int occurrence,
                                     int step, const SiteHistory &site) {
  absl::Duration maxLost = absl::ZeroDuration();
  for (const auto &[id, runs] : job.Tasks) {
    if (id.Step != step || id.Occurrence != occurrence)
      continue;
    absl::Duration lost = absl::ZeroDuration();
    for (const RunHistory &run : runs)
      if (run.EndState == "failed" && run.Ended && run.Started &&
          !isWorkerAtFault(job.Id, run, site))
        lost += durationOf(run);
    maxLost = std::max(maxLost, lost);
  }
  return maxLost;
}

/// Builds a critical path from its end to its start. Everything after the
/// cursor is already attributed to a cause.
class CriticalPathBuilder {
public:
  CriticalPathBuilder(const JobHistory &job, const SiteHistory &site)
      : Job(job), Site(site), Cursor(job.EndShown.value_or(*job.Ended)) {}

  std::vector<Segment> build() {
    attributeFrom(*Job.Ended, Cause::Showing);
    int step = lastStep();
    while (step >= 0) {
      const StepTimes times(Job, Site, 0, step);
      if (times.last() == nullptr)
        break;
      addTask(times);
      step = previousStep(step);
    }
    const absl::Time accepted = Job.Accepted.value_or(Job.FirstCall);
    addWait(accepted, -1);
    attributeFrom(Job.FirstCall, Cause::Accepting);
    std::reverse(Out.begin(), Out.end());
    return std::move(Out);
  }

private:
  // Attributes the time between from and the cursor to cause, and moves the
  // cursor to from.
  void attributeFrom(absl::Time from, Cause cause) {
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

  // Returns the step that ended last among those that the given step waits for;
  // -1 when there is none.
  int previousStep(int step) const {
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

  // Returns when the last of the preceding steps ended, or when the job was
  // accepted if there is none.
  absl::Time readyAt(int step) const {
    const int s = previousStep(step);
    return s < 0 ? Job.Accepted.value_or(Job.FirstCall)
                 : *StepTimes(Job, Site, 0, s).last()->Ended;
  }

  // Adds the runs of the step's last task and the waits before them, from the
  // latest to the earliest.
  void addTask(const StepTimes &times) {
    const TaskId &id = times.lastTask();
    const Runs &runs = Job.Tasks.at(id);
    const absl::Time taskReadyAt = readyAt(id.Step);
    const RunHistory *const last = times.last();
    for (size_t i = runs.size(); i-- > 0;) {
      const RunHistory &run = runs[i];
      if (run.Run > last->Run)
        continue;
      if (run.Ended)
        addWait(std::max(taskReadyAt, *run.Ended), id.Step);
      addRun(run, id, times.healthyDuration());
    }
    addWait(taskReadyAt, id.Step);
  }

  void addRun(const RunHistory &run, const TaskId &id,
              absl::Duration healthyDuration) {
    if (run.Started) {
      if (isDone(run)) {
        const absl::Duration excess = durationOf(run) - healthyDuration;
        if (excess > absl::ZeroDuration())
          attributeFrom(*run.Ended - excess, Cause::SlowWorker);
        attributeFrom(*run.Started, Cause::Working);
      } else if (isSaved(run, flagOf(Job.Checkpoints, id.Step))) {
        attributeFrom(*run.Started, Cause::Working);
      } else {
        attributeFrom(*run.Started, causeOf(run, id));
      }
    }
    if (run.Placed)
      attributeExceptOutages(*run.Placed, Cause::Starting);
  }

  Cause causeOf(const RunHistory &run, const TaskId &id) const {
    if (run.EndState == "failed")
      return Cause::RunFailed;
    if (absl::StrContains(run.StopReason, "stands still") ||
        absl::StrContains(run.StopReason, "crawls"))
      return Cause::RunStoodStill;
    if (absl::StrContains(run.StopReason, "before its worker leaves"))
      return Cause::RunEvacuated;
    if (absl::StrContains(run.StopReason, "makes room"))
      return Cause::RunStopped;
    if (run.EndState == "lost" || run.EndState == "lapsed")
      return Cause::RunLost;
    return causeFromGang(run, id);
  }

  // Cause for a member that was stopped with its gang, which depends on what
  // happened to the other members.
  Cause causeFromGang(const RunHistory &run, const TaskId &id) const {
    for (const auto &[other, runs] : Job.Tasks) {
      if (other.Step != id.Step || other == id)
        continue;
      for (const RunHistory &r : runs)
        if (r.Run == run.Run && r.EndState == "failed")
          return Cause::RunFailed;
      for (const RunHistory &r : runs)
        if (r.Run == run.Run &&
            (r.EndState == "lost" || r.EndState == "lapsed"))
          return Cause::RunLost;
    }
    return Cause::RunBroken;
  }

  // Attributes the wait of a task of the step between from and the cursor. From
  // the first stop of other work for the job, it is a wait for stops. A step of
  // -1 means that no step was ready yet.
  void addWait(absl::Time from, int step) {
    if (from >= Cursor)
      return;
    auto stop = std::find_if(Job.StopsForJob.begin(), Job.StopsForJob.end(),
                             [&](absl::Time t) { return t >= from; });
    if (stop != Job.StopsForJob.end())
      attributeExceptOutages(*stop, Cause::WaitingForStops);
    attributeExceptOutages(from, waitCause(step));
  }

  Cause waitCause(int step) const {
    if (step < 0)
      return Cause::WaitingForCapacity;
    const auto s = static_cast<size_t>(step);
    if (s < Job.Waves.size() && Job.Waves[s] > 1)
      return Cause::OwnWaves;
    if (flagOf(Job.SameRack, step))
      return Cause::WaitingForRack;
    return Cause::WaitingForCapacity;
  }

  // Attributes the time between from and the cursor to cause, except for the
  // periods without a leader and those in which the leader could not reach the
  // store.
  void attributeExceptOutages(absl::Time from, Cause cause) {
    while (from < Cursor) {
      const Span period{from, Cursor};
      const std::optional<Segment> last = lastOutage(period);
      if (!last) {
        attributeFrom(from, cause);
        return;
      }
      attributeFrom(last->To, cause);
      attributeFrom(last->From, last->SegmentCause);
    }
  }

  // Returns the part of period that the outage with the latest end in it
  // covers.
  std::optional<Segment> lastOutage(const Span &period) const {
    std::optional<Segment> last;
    auto checkPeriods = [&](const std::vector<Span> &spans, Cause cause) {
      for (const Span &span : spans) {
        const Span overlap = span.intersection(period);
        if (overlap.length() > absl::ZeroDuration() &&
            (!last || overlap.To > last->To))
          last = Segment{cause, overlap.From, overlap.To};
      }
    };
    checkPeriods(Site.LeaderlessPeriods, Cause::LeaderChange);
    auto leader = Site.Leaders.upper_bound(period.To);
    if (leader != Site.Leaders.begin()) {
      auto store = Site.StoreOutagePeriods.find(std::prev(leader)->second);
      if (store != Site.StoreOutagePeriods.end())
        checkPeriods(store->second, Cause::StoreOutage);
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
  return took <= due * MaxLatenessFactor ? Outcome::Late : Outcome::Worthless;
}

} // namespace

const std::vector<Cause> &allCauses() {
  static const std::vector<Cause> all = {
      Cause::Accepting,          Cause::StoreOutage,     Cause::LeaderChange,
      Cause::WaitingForCapacity, Cause::WaitingForStops, Cause::WaitingForRack,
      Cause::OwnWaves,           Cause::Starting,        Cause::Working,
      Cause::SlowWorker,         Cause::RunFailed,       Cause::RunLost,
      Cause::RunStoodStill,      Cause::RunStopped,      Cause::RunEvacuated,
      Cause::RunBroken,          Cause::Showing};
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
  case Cause::WaitingForCapacity:
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
  return CriticalPathBuilder(job, site).build();
}

absl::Duration dueAfter(const JobHistory &job, const SiteHistory &site) {
  std::vector<absl::Duration> pathLengths(job.Waves.size(),
                                          absl::ZeroDuration());
  absl::Duration longestPath = absl::ZeroDuration();
  for (size_t s = 0; s < job.Waves.size(); ++s) {
    const int step = static_cast<int>(s);
    absl::Duration longestPredecessor = absl::ZeroDuration();
    for (int after : job.After[s])
      longestPredecessor =
          std::max(longestPredecessor, pathLengths[static_cast<size_t>(after)]);
    pathLengths[s] =
        longestPredecessor +
        StepTimes(job, site, 0, step).healthyDuration() * job.Waves[s] +
        timeLostToOwnFailures(job, 0, step, site);
    longestPath = std::max(longestPath, pathLengths[s]);
  }
  return longestPath * job.Stretch + job.Target;
}

Cause Account::mainCause() const {
  std::map<Cause, absl::Duration> sums;
  for (const Segment &s : Path)
    if (s.SegmentCause != Cause::Working)
      sums[s.SegmentCause] += s.length();
  auto largest = std::max_element(
      sums.begin(), sums.end(),
      [](const auto &a, const auto &b) { return a.second < b.second; });
  return largest == sums.end() ? Cause::Working : largest->first;
}

Account accountOf(const JobHistory &job, const SiteHistory &site) {
  Account account;
  account.Job = job.Id;
  account.Path = criticalPath(job, site);
  account.Due = dueAfter(job, site);
  if (job.Ended)
    account.Took = job.EndShown.value_or(*job.Ended) - job.FirstCall;
  account.Result = outcomeOf(job, account.Took, account.Due);
  return account;
}

std::vector<DiscardedWork> discardedWorkOf(const JobHistory &job) {
  std::vector<DiscardedWork> out;
  for (const auto &[id, runs] : job.Tasks) {
    const auto step = static_cast<size_t>(id.Step);
    if (step >= job.CoresPerTask.size())
      continue;
    for (const RunHistory &run : runs) {
      // Runs that were completed, saved or failed are not counted. A member of
      // a completed gang may have ended in another way than the gang did.
      if (!run.Ended || !run.Started || run.EndState == "done" ||
          run.EndState == "failed" || isSaved(run, job.Checkpoints[step]))
        continue;
      DiscardedWork w{job.Id,     run.Worker, run.EndState, run.StopReason, "",
                      *run.Ended, 0};
      if (absl::StartsWith(run.StopReason, CapacityStopPrefix))
        w.ForJob = run.StopReason.substr(CapacityStopPrefix.size());
      w.CoreSeconds =
          absl::ToDoubleSeconds(durationOf(run)) * job.CoresPerTask[step];
      out.push_back(std::move(w));
    }
  }
  return out;
}

} // namespace oriolebay::losses
