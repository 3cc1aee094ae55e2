#include "waitwatcher.h"

#include <algorithm>

namespace oriolebay::cluster {

namespace {

/// Largest share of a resource of the service that may be in use.
constexpr int64_t MaxUsedPercent = 50;

core::Resources freeOf(const WorkerRoom &worker) {
  core::Resources free = worker.State.Capacity;
  free -= worker.Used;
  return free;
}

bool isEligible(const WorkerRoom &worker, const IdleStep &step) {
  const std::string &label = step.Spec.NeedsLabel;
  const auto &labels = worker.State.Labels;
  return worker.IsOpen && worker.State.Service == step.Service &&
         (label.empty() ||
          std::find(labels.begin(), labels.end(), label) != labels.end());
}

int64_t tasksNeeded(const core::StepSpec &spec) {
  return WaitWatcher::Reserve * (spec.Gang ? spec.Count : 1);
}

int64_t countFitting(const std::vector<WorkerRoom> &workers,
                     const IdleStep &step) {
  int64_t perWorker = tasksNeeded(step.Spec);
  if (step.Spec.MaxPerWorker > 0)
    perWorker = std::min<int64_t>(perWorker, step.Spec.MaxPerWorker);
  int64_t count = 0;
  for (const WorkerRoom &worker : workers)
    if (isEligible(worker, step))
      count += step.Spec.taskResources().countIn(freeOf(worker), perWorker);
  return count;
}

int64_t percentOf(int64_t part, int64_t whole) {
  return whole == 0 ? 0 : 100 * part / whole;
}

/// The largest share of a resource of the service that is in use.
int64_t usedPercent(const std::vector<WorkerRoom> &workers,
                    const std::string &service) {
  core::Resources used;
  core::Resources all;
  for (const WorkerRoom &worker : workers)
    if (worker.State.Service == service) {
      used += worker.Used;
      all += worker.State.Capacity;
    }
  return std::max({percentOf(used.MilliCores, all.MilliCores),
                   percentOf(used.MemoryMb, all.MemoryMb),
                   percentOf(used.Accelerators, all.Accelerators)});
}

std::string describe(const core::StepSpec &spec) {
  std::string text = std::to_string(spec.Count) + " tasks of " +
                     std::to_string(spec.PerTask.MilliCores) + " mcores, " +
                     std::to_string(spec.PerTask.MemoryMb) + " MB, " +
                     std::to_string(spec.PerTask.Accelerators) +
                     " accelerators";
  text += spec.Gang ? ", gang" : "";
  text += spec.SameRack ? ", one rack" : "";
  text += spec.NeedsLabel.empty() ? "" : ", label " + spec.NeedsLabel;
  text += spec.MaxPerWorker == 0
              ? ""
              : ", at most " + std::to_string(spec.MaxPerWorker) + " a worker";
  return text;
}

} // namespace

void WaitWatcher::observe(const std::vector<WorkerRoom> &workers,
                          const std::vector<IdleStep> &idleSteps,
                          absl::Time now) {
  std::map<std::string, WaitingStep> stillWaiting;
  for (const IdleStep &step : idleSteps) {
    const int64_t used = usedPercent(workers, step.Service);
    const int64_t fitting = countFitting(workers, step);
    if (used >= MaxUsedPercent || fitting < tasksNeeded(step.Spec))
      continue;
    auto known = Waiting.find(step.Name);
    WaitingStep waiting =
        known == Waiting.end() ? WaitingStep{now} : known->second;
    if (!waiting.IsReported && now - waiting.Since >= LongestWait) {
      waiting.IsReported = true;
      Found.push_back(
          step.Name + " waits beside free workers since " +
          absl::FormatTime("%M:%E3S", waiting.Since, absl::UTCTimeZone()) +
          ": " + describe(step.Spec) + "; room for " + std::to_string(fitting) +
          " of them or more, " + std::to_string(used) + "% in use");
    }
    stillWaiting.emplace(step.Name, waiting);
  }
  Waiting = std::move(stillWaiting);
}

} // namespace oriolebay::cluster
