#include "runjudge.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace oriolebay::jobs {

using core::TaskId;

namespace {

/// A task is assumed to need at least so long still, however far it is.
constexpr absl::Duration LeastRemaining = absl::Milliseconds(200);
/// A run is assumed to have got on for so long since its last percent: two
/// reports of a worker. Beyond that nobody knows.
constexpr absl::Duration MostSincePercent = absl::Seconds(1);
/// What it takes until a worker has a stop: a tick of the scheduler, the way
/// to the agent and to the worker, and one repetition.
constexpr absl::Duration StopOnItsWay = absl::Milliseconds(600);

} // namespace

void RunJudge::judge() {
  for (auto &entry : S.Jobs) {
    Job &job = entry.second;
    if (job.over())
      continue;
    S.forEachTask(job, [&](const TaskId &id, Task &task) {
      if (task.What == JobScheduler::Phase::Running && !task.StopAsked &&
          !task.Progress.Done)
        judgeRun(job, id, task);
    });
  }
}

void RunJudge::judgeRun(Job &job, const TaskId &id, Task &task) {
  if (mustLeave(job, id, task)) {
    evacuate(job, id, task);
  } else if (standsStill(job, id, task)) {
    moveFromSlow(job, id, task, "stands still");
  } else if (crawls(job, id, task)) {
    ++task.Moves;
    moveFromSlow(job, id, task, "crawls");
  }
}

absl::Duration RunJudge::remaining(const Job &job, const TaskId &id,
                                   const Task &task) const {
  const core::StepSpec &spec = job.specOf(id);
  if (spec.LongRunning)
    return absl::InfiniteDuration();
  absl::Duration whole = S.Estimates.expected(
      job.Record.Spec.Queue, absl::Milliseconds(spec.EstimateMs));
  if (const auto seen =
          S.Progress.whole({core::taskName(id), task.Progress.Run}))
    whole = seen->AtLeast;
  // Percent is as old as the last report: an urgent job once had a run stopped
  // that was about to end, because its rest stood still between two reports.
  const absl::Duration since = std::min(Now - task.PercentAt, MostSincePercent);
  return std::max(whole * (100 - task.Percent) / 100 - since, LeastRemaining);
}

// A gang's members wait for each other, so that one that stands still holds up
// all, and all stand still until every member is there. Only a member that is
// behind another one is to blame.
bool RunJudge::behindItsGang(const Step &step, const Task &task) {
  return std::any_of(step.begin(), step.end(), [&](const Task &other) {
    return other.mayRun() && other.Percent > task.Percent + 1;
  });
}

// Whether a run is better started anew elsewhere: it stands still, and so does
// all else at its worker.
bool RunJudge::standsStill(const Job &job, const TaskId &id,
                           const Task &task) const {
  if (!S.Progress.stalled({core::taskName(id), task.Progress.Run}) ||
      S.Progress.workerMoves(task.Progress.Worker, Now))
    return false;
  const Step &step = job.stepOf(id);
  const bool gang = job.specOf(id).Gang && step.size() > 1;
  return !gang || behindItsGang(step, task) ||
         Now - task.Began > S.Policy.GangWait + S.Policy.Progress.StalledAfter;
}

// How long the task takes where all is well: as the middle one of its like in
// the same step. Nothing when it has none that is far enough.
std::optional<absl::Duration> RunJudge::soundTime(const Job &job,
                                                  const TaskId &id) const {
  const Step &step = job.stepOf(id);
  std::vector<absl::Duration> others;
  for (size_t i = 0; i < step.size(); ++i) {
    if (static_cast<int>(i) == id.Index)
      continue;
    const Task &other = step[i];
    const TaskId otherId{id.Job, id.Occurrence, id.Step, static_cast<int>(i)};
    absl::Duration takes = absl::InfiniteDuration();
    if (other.Took > absl::ZeroDuration())
      takes = other.Took;
    else if (other.What == JobScheduler::Phase::Running)
      if (const auto whole =
              S.Progress.whole({core::taskName(otherId), other.Progress.Run}))
        takes = whole->AtMost;
    if (takes != absl::InfiniteDuration())
      others.push_back(takes);
  }
  if (others.empty())
    return std::nullopt;
  const auto middle =
      others.begin() + static_cast<std::ptrdiff_t>(others.size() / 2);
  std::nth_element(others.begin(), middle, others.end());
  return *middle;
}

// Whether a run gets on so slowly that all of it would be done sooner anew at
// a sound worker.
bool RunJudge::crawls(const Job &job, const TaskId &id,
                      const Task &task) const {
  if (task.Moves >= S.Policy.MostMoves)
    return false;
  const auto whole = S.Progress.whole({core::taskName(id), task.Progress.Run});
  if (!whole || S.isAway(job, id, task))
    return false;
  const absl::Duration takes = whole->AtLeast;
  const core::StepSpec &spec = job.specOf(id);
  const absl::Duration estimate = absl::Milliseconds(spec.EstimateMs);
  const std::string &queue = job.Record.Spec.Queue;
  absl::Duration sound = S.Estimates.expected(queue, estimate);
  bool slow = false;
  if (const auto like = soundTime(job, id)) {
    slow = takes > *like * S.Policy.Progress.SlowFactor;
    sound = *like;
  } else if (const auto most = S.Estimates.slowBeyond(queue, estimate)) {
    slow = takes > *most;
  }
  const double left = (100 - task.Percent) / 100.0;
  const absl::Duration anew =
      spec.Checkpoints ? sound * left + S.Policy.Progress.Restore : sound;
  return slow && takes * left > anew + S.Policy.MoveCost;
}

// A worker that leaves takes with it what runs on it, and often its agent too:
// the tasks were then started anew only after the time in which a silent worker
// may keep them alive, 6 s later. What cannot be done by then is stopped
// before: what saves its work as late as possible, as nothing is lost by that,
// and the rest at once, as it would be thrown away whole.
bool RunJudge::mustLeave(const Job &job, const TaskId &id,
                         const Task &task) const {
  const WorkerView *worker = S.Workers.find(task.Progress.Worker);
  if (worker == nullptr || worker->LeavesAt == absl::InfiniteFuture())
    return false;
  const absl::Duration left = worker->LeavesAt - Now;
  const absl::Duration toStop = S.Policy.StopTakes + StopOnItsWay;
  if (remaining(job, id, task) < left - StopOnItsWay)
    return false;
  const core::StepSpec &spec = job.specOf(id);
  return !spec.Checkpoints || left <= toStop;
}

void RunJudge::restart(Job &job, const TaskId &id, Task &task,
                       const std::string &why) {
  if (job.specOf(id).Gang)
    S.stopStep(job, id.Occurrence, id.Step, "a member " + why);
  else
    S.requestStop(id, task, "it " + why);
}

void RunJudge::evacuate(Job &job, const TaskId &id, Task &task) {
  const WorkerView *worker = S.Workers.find(task.Progress.Worker);
  S.note(Decision::Kind::RunEvacuated, id.Job, core::taskName(id),
         task.Progress.Run, task.Progress.Worker, "",
         {{"percent", task.Percent},
          {"worker_leaves_in_ms",
           absl::ToInt64Milliseconds(worker->LeavesAt - Now)},
          {"worker_heard_ms_ago", S.heardMsAgo(worker->State.Life, Now)}});
  restart(job, id, task, "would not be done before its worker leaves");
}

void RunJudge::moveFromSlow(Job &job, const TaskId &id, Task &task,
                            const std::string &why) {
  const std::string name = core::taskName(id);
  S.note(Decision::Kind::RunStandsStill, id.Job, name, task.Progress.Run,
         task.Progress.Worker, absl::StrCat(why, " at ", task.Percent, "%"));
  if (S.Workers.keepOut(task.Progress.Worker, Now))
    S.note(Decision::Kind::WorkerKeptOut, id.Job, name, task.Progress.Run,
           task.Progress.Worker, why);
  restart(job, id, task, why);
}

} // namespace oriolebay::jobs
