// Whether a failed run speaks of its worker or of its job.
#include "jobscheduler.h"

#include <set>

namespace oriolebay::jobs {

using core::TaskId;

namespace {

/// Number of workers on which the runs of a job have to fail before the job can
/// be the cause.
constexpr size_t MinFailingWorkers = 2;
/// Interval at which it is determined again whether a job is the cause.
constexpr absl::Duration CauseCheckInterval = absl::Milliseconds(100);

} // namespace

void JobScheduler::recordSuccessOn(const WorkerIncarnation &incarnation,
                                   Job &job, const TaskId &id, const Task &task,
                                   absl::Time now) {
  job.FailsOn.erase(incarnation);
  if (auto stalls = job.Evidence.find(id.Step); stalls != job.Evidence.end())
    stalls->second.StoppedOn.clear();
  Workers.recordSuccess(incarnation, task.FirstOrderAt, now);
}

void JobScheduler::recordFailureOn(const WorkerIncarnation &incarnation,
                                   Job &job, const TaskId &id, int64_t run,
                                   absl::Time now) {
  job.FailsOn.insert(incarnation);
  const RunId judged = judgedRun(job, id, run);
  const bool isQuarantined =
      isCauseOfFailures(job, now)
          ? Workers.recordOwnFailure(incarnation, id.Job, judged, now)
          : Workers.recordFailure(incarnation, id.Job, judged, now);
  if (isQuarantined)
    logDecision(Decision::Kind::WorkerQuarantined, id.Job, core::taskName(id),
                run, incarnation.Id,
                job.CausesFailures ? "failed runs in a row, for this job alone"
                                   : "failed runs in a row");
}

// A job whose runs fail on most workers of its service alike is the cause
// itself. Its failures are no reason to keep the work of others off them.
bool JobScheduler::isCauseOfFailures(Job &job, absl::Time now) {
  if (job.FailsOn.size() < MinFailingWorkers)
    return job.CausesFailures = false;
  if (now - job.CauseCheckedAt < CauseCheckInterval)
    return job.CausesFailures;
  job.CauseCheckedAt = now;
  std::erase_if(job.FailsOn, [this](const WorkerIncarnation &incarnation) {
    return Workers.find(incarnation) == nullptr;
  });
  std::set<WorkerIncarnation> others;
  forEachTask(job, [&](const TaskId &, const Task &task) {
    if (task.isAssigned() && job.FailsOn.count(task.Progress.Worker) == 0)
      others.insert(task.Progress.Worker);
  });
  const size_t failing = job.FailsOn.size();
  const bool wasCause = job.CausesFailures;
  job.CausesFailures =
      failing > others.size() && 2 * failing > Workers.countOf(serviceOf(job));
  if (job.CausesFailures && !wasCause)
    dismissFailuresOf(job, others.size(), now);
  return job.CausesFailures;
}

void JobScheduler::dismissFailuresOf(const Job &job, size_t otherWorkers,
                                     absl::Time now) {
  const std::string &id = job.Record.Spec.Id;
  const auto released = Workers.dismissFailuresOf(id, now);
  logDecision(Decision::Kind::FailuresDismissed, id, "", 0, "",
              "its runs fail on most workers",
              {{"workers_failed", static_cast<int64_t>(job.FailsOn.size())},
               {"workers_running", static_cast<int64_t>(otherWorkers)},
               {"quarantines_ended", static_cast<int64_t>(released.size())}});
  PassNeeded |= !released.empty();
}

} // namespace oriolebay::jobs
