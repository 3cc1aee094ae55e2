// Orders to the agents: starts, stops, and what became of them.
#include "jobscheduler.h"

namespace oriolebay::jobs {

using core::TaskId;
using endpoints::OrderOutcome;

// Orders for two incarnations beside one agent may wait to be sent, if the end
// of the earlier one is reported in between.
endpoints::WorkerOrders &JobScheduler::ordersFor(const WorkerView &worker) {
  endpoints::WorkerOrders &orders =
      Orders[{worker.AgentAddress, worker.State.Life}];
  orders.Life = worker.State.Life;
  return orders;
}

// Orders a recorded start, unless in the meantime its stop was requested, the
// task or its job has ended, or its worker was lost, cordoned, started to
// drain, or reduced its capacity. Then the run certainly never started if this
// would have been the first order; an earlier order may still be carried out.
void JobScheduler::orderStart(Job &job, const TaskId &id, Task &task,
                              absl::Time now) {
  const WorkerView *worker = Workers.find(task.Progress.Worker);
  const bool isFirstOrder = task.Phase == Phase::Recording;
  const bool isOver = task.Progress.Done || job.hasEnded();
  if (worker == nullptr || worker->State.Draining ||
      Workers.isCordoned(*worker) || task.StopRequested || isOver) {
    const bool isForgotten = isOver && !task.StopRequested;
    if (isFirstOrder)
      handleAbsentRun(job, id, task,
                      isForgotten
                          ? "not ordered: its task or its job has ended"
                          : "not ordered: its stop was requested or its worker "
                            "is draining, cordoned or lost",
                      now);
    else
      requestStop(id, task, "no longer wanted there");
    return;
  }
  if (isFirstOrder && !worker->Used.fitsIn(worker->State.Capacity)) {
    handleAbsentRun(job, id, task,
                    "not ordered: the capacity of its worker was reduced", now);
    return;
  }
  if (isFirstOrder)
    task.FirstOrderAt = now;
  task.Phase = Phase::Ordered;
  task.LastOrderAt = now;
  task.StartedAt = absl::InfinitePast();
  endpoints::StartOrder startOrder{core::taskName(id),
                                   task.Progress.Run,
                                   job.Payload,
                                   task.Progress.Saved,
                                   "",
                                   worker->State.Capacity};
  ordersFor(*worker).Starts.push_back(std::move(startOrder));
}

void JobScheduler::orderStop(const TaskId &id, Task &task, absl::Time now) {
  const WorkerView *worker = Workers.find(task.Progress.Worker);
  if (worker == nullptr)
    return;
  task.LastOrderAt = now;
  ordersFor(*worker).Stops.push_back({core::taskName(id), task.Progress.Run});
}

void JobScheduler::requestStop(const TaskId &id, Task &task,
                               const std::string &why) {
  if (task.StopRequested || !task.isAssigned())
    return;
  task.StopRequested = true;
  logDecision(Decision::Kind::Stopping, id.Job, core::taskName(id),
              task.Progress.Run, task.Progress.Worker.Id, why);
  // A start that is not recorded yet has not been ordered. It is dropped when
  // its write is confirmed. Any other stop counts as last sent in the infinite
  // past, as the current time is not known here: the next tick repeats it.
  if (task.Phase != Phase::Recording)
    orderStop(id, task, absl::InfinitePast());
}

void JobScheduler::stopStep(Job &job, int number, int step,
                            const std::string &why) {
  Step &tasks = job.Occurrences.at(number)[static_cast<size_t>(step)];
  for (auto &[index, task] : tasks.objects())
    requestStop({job.Record.Spec.Id, number, step, static_cast<int>(index)},
                task, why);
}

void JobScheduler::handleOrderResult(const WorkerIncarnation &incarnation,
                                     const endpoints::OrderResult &result,
                                     absl::Time now) {
  if (result.Outcome == OrderOutcome::Absent)
    Workers.removeLateStop(incarnation, {result.Task, result.Run});
  TaskId id;
  Task *task = core::parseTaskName(result.Task, id) ? findTask(id) : nullptr;
  if (task == nullptr || task->Progress.Run != result.Run ||
      task->Progress.Worker != incarnation || task->Phase == Phase::Recording)
    return;
  Job &job = Jobs.at(id.Job);
  if (result.Outcome != OrderOutcome::Unconfirmed)
    updateStartOpenUntil(job, id, *task, now);
  switch (result.Outcome) {
  case OrderOutcome::Started:
    noteBegun(job, now);
    if (task->Phase != Phase::Running) {
      task->Phase = Phase::Running;
      task->StartedAt = now;
      task->StartObserved = true;
      logDecision(Decision::Kind::Started, id.Job, result.Task, result.Run,
                  incarnation.Id);
    }
    return;
  case OrderOutcome::Unconfirmed:
    requestStop(id, *task, "its start was not confirmed");
    return;
  case OrderOutcome::Fenced:
    // Another leader has sent orders to this worker. This entry will learn of
    // it from the store.
    return;
  case OrderOutcome::Busy:
    if (Workers.recordFailure(incarnation, "", judgedRun(job, id, result.Run),
                              now))
      logDecision(Decision::Kind::WorkerQuarantined, id.Job, result.Task,
                  result.Run, incarnation.Id, "refuses starts");
    task->FailedOn.insert(incarnation);
    break;
  case OrderOutcome::Refused:
  case OrderOutcome::NoCapacity:
  case OrderOutcome::Gone:
  case OrderOutcome::Absent:
    break;
  }
  const bool isOver = result.Outcome == OrderOutcome::Gone ||
                      result.Outcome == OrderOutcome::Absent;
  // Ignores a late refusal and the refusal of a repeated order. A run that was
  // seen running and is now absent has certainly ended, even if the worker does
  // not list its end.
  if (task->Phase == Phase::Running && !isOver)
    return;
  if (!isOver && keepRefusedStart(job, id, *task, result.Detail, now))
    return;
  logDecision(Decision::Kind::StartRefused, id.Job, result.Task, result.Run,
              incarnation.Id, result.Detail);
  handleAbsentRun(job, id, *task, result.Detail, now,
                  result.Outcome == OrderOutcome::Absent
                      ? Settlement::ByWorker
                      : Settlement::Otherwise);
  checkJobEnd(job, now);
}

} // namespace oriolebay::jobs
