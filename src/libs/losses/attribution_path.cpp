// Attributes the time of a job along its critical path to causes, from its end
// to its start.
#include "attribution.h"

#include "steptimes.h"

#include <absl/strings/match.h>

#include <algorithm>
#include <cstddef>

namespace oriolebay::losses {

using core::TaskId;
using Internal::durationOf;
using Internal::flagOf;
using Internal::isDone;
using Internal::isSaved;
using Internal::Runs;
using Internal::StepTimes;

namespace {

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
    if (Job.WaitedForCordon)
      return Cause::WaitingForCordon;
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

} // namespace

std::vector<Segment> criticalPath(const JobHistory &job,
                                  const SiteHistory &site) {
  if (!job.Accepted || !job.Ended)
    return {};
  return CriticalPathBuilder(job, site).build();
}

} // namespace oriolebay::losses
