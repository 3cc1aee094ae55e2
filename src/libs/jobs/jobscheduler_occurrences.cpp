// The occurrences of jobs, and what has to be remembered of them. All tasks
// that are due may be far more than fit into memory.
#include "jobscheduler.h"

#include <algorithm>

namespace oriolebay::jobs {

using core::TaskId;

std::vector<JobScheduler::Step> &JobScheduler::ensureOccurrence(Job &job,
                                                                int number) {
  std::vector<Step> &steps = job.Occurrences[number];
  if (!steps.empty())
    return steps;
  const bool done = job.DoneOccurrences.contains(number);
  job.DoneOccurrences.erase(number);
  for (const core::StepSpec &spec : job.Record.Spec.Steps)
    steps.emplace_back(static_cast<size_t>(spec.Count), done);
  return steps;
}

// All occurrences that have not begun are alike: where one finds no capacity,
// neither does the next one.
bool JobScheduler::openDueOccurrences(Job &job) {
  const int due = dueOccurrences(job);
  job.DueAtLatestPass = due;
  int known = job.DoneOccurrences.count();
  size_t waiting = 0;
  for (const auto &[number, steps] : job.Occurrences) {
    known += number < due ? 1 : 0;
    waiting += std::all_of(steps.begin(), steps.end(),
                           [](const Step &s) { return s.isUntouched(); })
                   ? 1
                   : 0;
  }
  if (known >= due)
    return false;
  int tasks = 0;
  for (const core::StepSpec &spec : job.Record.Spec.Steps)
    tasks += spec.Count;
  const auto most = [tasks](int limit) {
    return static_cast<size_t>(std::max(1, limit / std::max(1, tasks)));
  };
  for (int number = 0; number < due; ++number) {
    if (job.isOccurrenceKnown(number))
      continue;
    if (waiting++ >= most(Policy.MaxWaitingTasks) ||
        job.Occurrences.size() >= most(Policy.MaxOpenTasks))
      return true;
    ensureOccurrence(job, number);
  }
  return false;
}

size_t JobScheduler::rememberedTaskCount() const {
  size_t n = 0;
  for (const auto &[id, job] : Jobs)
    for (const auto &[number, steps] : job.Occurrences)
      for (const Step &step : steps)
        n += step.objects().size();
  return n;
}

size_t JobScheduler::runningTaskCount() const {
  size_t n = 0;
  for (const auto &[id, job] : Jobs)
    for (const auto &[number, steps] : job.Occurrences)
      for (const Step &step : steps)
        for (const auto &[index, task] : step.objects())
          n += task.isAssigned() ? 1 : 0;
  return n;
}

void JobScheduler::compactStep(Job &job, const TaskId &first, Step &step) {
  step.compact([&step](const Task &task) {
    if (task.RunDuration > absl::ZeroDuration())
      step.SettledDurations.push_back(task.RunDuration);
  });
  // Nothing starts any more, so that only what may run, and why the job failed,
  // has to be known.
  if (job.hasEnded() && !job.Dirty && !job.Writing)
    step.drop([](const Task &task) {
      return !task.isAssigned() && task.Progress.LateStarts.empty() &&
             task.Progress.Failed == 0;
    });
  if (step.isAllDone())
    job.LoggedCapacityPlans.erase({first.Occurrence, first.Step});
}

bool JobScheduler::isOver(const std::vector<Step> &steps) {
  return std::all_of(steps.begin(), steps.end(), [](const Step &step) {
    const auto &tasks = step.objects();
    return step.isAllDone() &&
           std::all_of(tasks.begin(), tasks.end(), [](const auto &entry) {
             return entry.second.Progress.isOver();
           });
  });
}

// The progress of a job that does not repeat keeps its only occurrence, so that
// entries of earlier versions can read it.
void JobScheduler::compact(Job &job) {
  std::vector<int> done;
  for (auto &[number, steps] : job.Occurrences) {
    for (size_t s = 0; s < steps.size(); ++s)
      compactStep(job, {job.Record.Spec.Id, number, static_cast<int>(s), 0},
                  steps[s]);
    if (isOver(steps) && job.Record.Spec.Repeats > 0)
      done.push_back(number);
  }
  for (int number : done)
    forgetOccurrence(job, number);
}

void JobScheduler::forgetOccurrence(Job &job, int number) {
  forgetSpeeds(job, number);
  for (size_t s = 0; s < job.Record.Spec.Steps.size(); ++s)
    job.Waits.Steps.erase({number, static_cast<int>(s)});
  job.Occurrences.erase(number);
  job.DoneOccurrences.insert(number);
}

void JobScheduler::forgetSpeeds(const Job &job, int number) {
  for (size_t s = 0; s < job.Record.Spec.Steps.size(); ++s) {
    const std::string name =
        stepName({job.Record.Spec.Id, number, static_cast<int>(s), 0});
    Speeds.forget(name);
    SpeedsWithGangs.forget(name);
  }
}

int JobScheduler::dueOccurrences(const Job &job) const {
  const core::JobSpec &spec = job.Record.Spec;
  if (spec.Repeats == 0)
    return 1;
  const int64_t elapsed = Policy.WallMs() - spec.FirstDueMs;
  if (elapsed < 0)
    return 0;
  if (spec.IntervalMs <= 0)
    return spec.Repeats;
  return static_cast<int>(
      std::min<int64_t>(spec.Repeats, elapsed / spec.IntervalMs + 1));
}

bool JobScheduler::isAllDone(const Job &job) {
  const auto known = static_cast<int>(job.Occurrences.size());
  if (known + job.DoneOccurrences.count() < job.Record.Spec.occurrences())
    return false;
  return std::all_of(
      job.Occurrences.begin(), job.Occurrences.end(), [](const auto &entry) {
        return std::all_of(entry.second.begin(), entry.second.end(),
                           [](const Step &s) { return s.isAllDone(); });
      });
}

} // namespace oriolebay::jobs
