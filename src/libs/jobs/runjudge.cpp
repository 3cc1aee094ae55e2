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
  for (auto &[jobId, job] : S.Jobs) {
    if (job.over())
      continue;
    for (auto &[number, steps] : job.Occurrences)
      for (size_t s = 0; s < steps.size(); ++s)
        judgeStep(job, {jobId, number, static_cast<int>(s), 0});
  }
}

void RunJudge::judgeStep(Job &job, const TaskId &first) {
  LikeTimes like;
  TaskId id = first;
  Step &step = job.stepOf(id);
  for (size_t i = 0; i < step.size(); ++i) {
    id.Index = static_cast<int>(i);
    Task &task = step[i];
    if (task.What == JobScheduler::Phase::Running && !task.StopAsked &&
        !task.Progress.Done)
      judgeRun(job, id, task, like);
  }
}

void RunJudge::judgeRun(Job &job, const TaskId &id, Task &task,
                        LikeTimes &like) {
  if (mustLeave(job, id, task)) {
    evacuate(job, id, task);
  } else if (standsStill(job, id, task)) {
    moveFromSlow(job, id, task, "stands still");
  } else if (crawls(job, id, task, like)) {
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

// How long each task of the step takes, as far as that shows. Once a step: to
// look at all others for each task takes the square of a wide step's tasks.
void RunJudge::findLikeTimes(const Job &job, const TaskId &first,
                             LikeTimes &like) const {
  like.Known = true;
  const Step &step = job.stepOf(first);
  TaskId id = first;
  for (size_t i = 0; i < step.size(); ++i) {
    const Task &task = step[i];
    id.Index = static_cast<int>(i);
    absl::Duration takes = absl::InfiniteDuration();
    if (task.Took > absl::ZeroDuration())
      takes = task.Took;
    else if (task.What == JobScheduler::Phase::Running)
      if (const auto whole =
              S.Progress.whole({core::taskName(id), task.Progress.Run}))
        takes = whole->AtMost;
    like.ByIndex.push_back(takes);
    if (takes != absl::InfiniteDuration())
      like.Sorted.push_back(takes);
  }
  std::sort(like.Sorted.begin(), like.Sorted.end());
}

// How long the task takes where all is well: as the middle one of its like in
// the same step. Nothing when it has none that is far enough.
std::optional<absl::Duration>
RunJudge::soundTime(const Job &job, const TaskId &id, LikeTimes &like) const {
  if (!like.Known)
    findLikeTimes(job, id, like);
  const std::vector<absl::Duration> &all = like.Sorted;
  const absl::Duration own = like.ByIndex[static_cast<size_t>(id.Index)];
  const bool counted = own != absl::InfiniteDuration();
  const size_t others = all.size() - (counted ? 1 : 0);
  if (others == 0)
    return std::nullopt;
  const size_t middle = others / 2;
  // The task itself does not count: from its place on the rest moves up.
  return counted && own <= all[middle] ? all[middle + 1] : all[middle];
}

// Whether a run gets on so slowly that all of it would be done sooner anew at
// a sound worker.
bool RunJudge::crawls(const Job &job, const TaskId &id, const Task &task,
                      LikeTimes &like) const {
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
  if (const auto middle = soundTime(job, id, like)) {
    slow = takes > *middle * S.Policy.Progress.SlowFactor;
    sound = *middle;
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
         task.Progress.Run, task.Progress.Worker.Id, "",
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
         task.Progress.Worker.Id, absl::StrCat(why, " at ", task.Percent, "%"));
  if (S.Workers.keepOut(task.Progress.Worker, Now))
    S.note(Decision::Kind::WorkerKeptOut, id.Job, name, task.Progress.Run,
           task.Progress.Worker.Id, why);
  restart(job, id, task, why);
}

} // namespace oriolebay::jobs
