#include "runlog.h"

#include <absl/time/clock.h>

namespace oriolebay::testing_system {

namespace {

/// The name of a task begins with the id of its job.
std::string jobOf(const std::string &task) {
  return task.substr(0, task.find('.'));
}

std::string textOf(const TaskRun &run) {
  return run.Task + " run " + std::to_string(run.Number);
}

} // namespace

void RunLog::write(const std::string &text) {
  File << absl::ToUnixMillis(absl::Now()) << ' ' << text << std::endl;
}

void RunLog::report(const std::string &violation) {
  write("VIOLATION: " + violation);
  Violations.push_back(violation);
}

void RunLog::onLeaseExtended(const std::string &worker, absl::Time until) {
  std::lock_guard<std::mutex> lock(Mu);
  LeaseEnds[worker] = until;
}

void RunLog::onStarted(const std::string &worker, const TaskRun &run,
                       absl::Time now) {
  std::lock_guard<std::mutex> lock(Mu);
  write(worker + " starts " + textOf(run));
  ++StartsByJob[jobOf(run.Task)];
  TaskHistory &task = Tasks[run.Task];
  for (const auto &[other, where] : task.Running)
    if (LeaseEnds[where] > now)
      report(textOf(run) + " starts at " + worker + " while run " +
             std::to_string(other.Number) + " runs at " + where);
  if (task.IsDoneAcknowledged)
    report(textOf(run) + " starts after an acknowledged end as done");
  for (auto &[done, isStartedLater] : task.Done)
    isStartedLater = true;
  task.Running[run] = worker;
}

void RunLog::onEnded(const std::string &worker, const TaskRun &run,
                     const std::string &how) {
  std::lock_guard<std::mutex> lock(Mu);
  write(worker + " ends " + textOf(run) + " " + how);
  TaskHistory &task = Tasks[run.Task];
  task.Running.erase(run);
  if (how == "done")
    task.Done[run] = false;
}

void RunLog::onDoneAcknowledged(const TaskRun &run, bool hasLeaseExpiredSince) {
  std::lock_guard<std::mutex> lock(Mu);
  write("acknowledged: " + textOf(run) +
        (hasLeaseExpiredSince ? ", the lease had expired" : ""));
  if (hasLeaseExpiredSince)
    return;
  TaskHistory &task = Tasks[run.Task];
  task.IsDoneAcknowledged = true;
  if (task.Done[run])
    report("a later run of " + run.Task + " started after run " +
           std::to_string(run.Number) +
           " had ended as done, which was acknowledged afterwards");
}

int RunLog::startCount(const std::string &jobId) const {
  std::lock_guard<std::mutex> lock(Mu);
  auto it = StartsByJob.find(jobId);
  return it == StartsByJob.end() ? 0 : it->second;
}

std::vector<std::string> RunLog::violations() const {
  std::lock_guard<std::mutex> lock(Mu);
  return Violations;
}

} // namespace oriolebay::testing_system
