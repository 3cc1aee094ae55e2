// Steps whose turn has come and whose tasks do not run: since when, why, and
// what is logged of it.
#include "jobscheduler.h"

#include "waitsurvey.h"

namespace oriolebay::jobs {

using core::TaskId;

namespace {

constexpr absl::Duration WaitSurveyInterval = absl::Seconds(1);

int64_t millisecondsUntil(absl::Time end, absl::Time now) {
  return end == absl::InfiniteFuture() ? -1
                                       : absl::ToInt64Milliseconds(end - now);
}

} // namespace

bool JobScheduler::isWaitSurveyDue(absl::Time now) const {
  return now - WaitSurveys.LastAt >= WaitSurveyInterval;
}

void JobScheduler::surveyWaits(absl::Time now) {
  if (isWaitSurveyDue(now))
    WaitSurvey(*this, now).run();
}

StepWait &JobScheduler::findOrAddWait(Job &job, const TaskId &id,
                                      absl::Time now) {
  auto [it, added] =
      job.Waits.Steps.try_emplace({id.Occurrence, id.Step}, StepWait{now});
  if (added)
    it->second.Number = ++WaitSurveys.LastNumber;
  return it->second;
}

void JobScheduler::recordBlocked(Job &job, const TaskId &first,
                                 const WaitGroup &group, int64_t usableWorkers,
                                 absl::Time now) {
  StepWait &wait = findOrAddWait(job, first, now);
  if (wait.BlockedPass != PassCount)
    wait.Blocked.clear();
  wait.BlockedPass = PassCount;
  addToGroup(wait.Blocked, group.Cause, group.Tasks);
  wait.ReasonSince.emplace(group.Cause.Reason, now);
  if (!wait.IsLogged && job.Waits.mayLogReason(now))
    logWait(job, first, wait, group, usableWorkers, now);
}

std::vector<DecisionInput> JobScheduler::waitInputs(const StepWait &wait,
                                                    const WaitGroup &group,
                                                    absl::Time now) {
  const absl::Time reasonSince = wait.ReasonSince.at(group.Cause.Reason);
  std::vector<DecisionInput> inputs = {
      {"waits_ms", absl::ToInt64Milliseconds(now - wait.Since)},
      {"reason_ms", absl::ToInt64Milliseconds(now - reasonSince)},
      {"ends_in_ms", millisecondsUntil(group.Cause.EndsBy, now)}};
  if (!group.Cause.Rack.empty()) {
    inputs.push_back({"rack_usable", group.Cause.RackUsable});
    inputs.push_back({"rack_workers", group.Cause.RackWorkers});
  }
  return inputs;
}

std::map<std::string, std::string>
JobScheduler::waitTexts(const WaitGroup &group) {
  std::map<std::string, std::string> texts = {
      {"reason", waitReasonName(group.Cause.Reason)}};
  if (!group.Cause.Rack.empty())
    texts["rack"] = group.Cause.Rack;
  return texts;
}

void JobScheduler::logWait(Job &job, const TaskId &first, StepWait &wait,
                           const WaitGroup &group, int64_t usableWorkers,
                           absl::Time now) {
  const core::StepSpec &spec = job.specOf(first);
  wait.IsLogged = true;
  wait.LoggedReason = group.Cause.Reason;
  job.Waits.recordReasonLine(now);
  std::vector<DecisionInput> inputs = {
      {"rank", job.Rank},
      {"tasks", group.Tasks},
      {"accelerators_each", spec.PerTask.Accelerators},
      {"usable_workers", usableWorkers}};
  for (const DecisionInput &input : waitInputs(wait, group, now))
    inputs.push_back(input);
  logDecision(Decision::Kind::Waiting, first.Job, core::taskName(first), 0,
              group.Cause.Worker, waitReasonText(group.Cause.Reason, spec.Gang),
              std::move(inputs));
  Decisions.back().Texts = waitTexts(group);
}

std::optional<absl::Time>
JobScheduler::unreportedTasksEndBy(const WorkerIncarnation &incarnation) const {
  auto it = UnreportedIncarnations.find(incarnation);
  if (it == UnreportedIncarnations.end())
    return std::nullopt;
  return tasksEndedBy(it->second);
}

void JobScheduler::endQuarantine(const WorkerIncarnation &incarnation,
                                 const std::string &jobId, absl::Time now) {
  const WorkerView &worker = *Workers.find(incarnation);
  const absl::Time until =
      std::max(worker.QuarantinedUntil, worker.quarantinedUntil(jobId));
  logDecision(Decision::Kind::QuarantineEnded, jobId, "", 0, incarnation.Id,
              "a job finds no other worker",
              {{"left_ms", absl::ToInt64Milliseconds(until - now)}});
  Workers.endQuarantine(incarnation, jobId, now);
  PassNeeded = true;
}

} // namespace oriolebay::jobs
