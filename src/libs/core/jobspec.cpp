#include "jobspec.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <charconv>

namespace oriolebay::core {

namespace {

/// Largest time of an occurrence in milliseconds since 1970, some 30,000 years.
constexpr int64_t MaxDueMs = 1'000 * MaxAmount;

/// Returns how many times need fits into available, at most maxCount.
int64_t countOf(int64_t need, int64_t available, int64_t maxCount) {
  // Most callers pass a maxCount of 1, which needs no division.
  if (need * maxCount <= available)
    return maxCount;
  return need <= 0 ? maxCount : available / need;
}

/// Returns why the step with the given number (from 0) is not valid; empty when
/// it is valid.
std::string validateStep(const StepSpec &step, int number) {
  const std::string where = "step " + std::to_string(number);
  if (step.Count < 1 || step.Count > MaxTasksPerJob)
    return where + ": the number of tasks must be from 1 to " +
           std::to_string(MaxTasksPerJob);
  if (!isPlausible(step.PerTask))
    return where + ": cores, memory and accelerators must be from 0 to " +
           std::to_string(MaxAmount);
  if (step.MaxPerWorker < 0 || step.EstimateMs < 0 || step.MaxUnavailable < 0)
    return where + ": limits and estimates cannot be negative";
  if (step.EstimateMs > MaxAmount || step.TargetMs > MaxAmount)
    return where + ": times must be at most " + std::to_string(MaxAmount) +
           " ms";
  for (int after : step.After)
    if (after < 0 || after >= number)
      return where + ": it can only wait for earlier steps";
  return "";
}

bool hasLongName(const StepSpec &step) {
  return std::max({step.NeedsLabel.size(), step.DataRack.size(),
                   step.Image.size()}) > MaxNameBytes;
}

int64_t taskCount(const JobSpec &spec) {
  int64_t n = 0;
  for (const StepSpec &step : spec.Steps)
    n += step.Count;
  return n;
}

} // namespace

std::string summary(const StepSpec &step) {
  const Resources &r = step.PerTask;
  std::string out =
      absl::StrCat(step.Count, "x", r.MilliCores, "m/", r.MemoryMb, "MB/",
                   r.Accelerators, "acc est=", step.EstimateMs, "ms");
  auto flag = [&out](bool set, const char *name) {
    if (set)
      absl::StrAppend(&out, " ", name);
  };
  flag(step.Gang, "gang");
  flag(step.SameRack, "same_rack");
  flag(step.Checkpoints, "checkpoints");
  flag(step.Speculative, "copies");
  flag(step.LongRunning, "long_running");
  flag(step.UsesIdleCores, "fills_idle");
  if (!step.After.empty())
    absl::StrAppend(&out, " after=", absl::StrJoin(step.After, ","));
  if (!step.NeedsLabel.empty())
    absl::StrAppend(&out, " label=", step.NeedsLabel);
  if (!step.DataRack.empty())
    absl::StrAppend(&out, " data=", step.DataRack);
  if (step.MaxPerWorker > 0)
    absl::StrAppend(&out, " per_worker=", step.MaxPerWorker);
  if (step.TargetMs > 0)
    absl::StrAppend(&out, " target=", step.TargetMs, "ms");
  if (step.MaxUnavailable > 0)
    absl::StrAppend(&out, " may_miss=", step.MaxUnavailable);
  return out;
}

std::string summary(const JobSpec &spec) {
  std::vector<std::string> steps;
  for (const StepSpec &step : spec.Steps)
    steps.push_back(summary(step));
  std::string out = absl::StrJoin(steps, "; ");
  if (spec.Repeats > 0)
    absl::StrAppend(&out, "; ", spec.Repeats, " times each ", spec.IntervalMs,
                    "ms from ", spec.FirstDueMs);
  return out;
}

int64_t Resources::countIn(const Resources &available, int64_t maxCount) const {
  int64_t n = countOf(MilliCores, available.MilliCores, maxCount);
  n = countOf(MemoryMb, available.MemoryMb, n);
  n = countOf(Accelerators, available.Accelerators, n);
  return std::max<int64_t>(n, 0);
}

bool isPlausible(const Resources &r) {
  const auto isInRange = [](int64_t n) { return n >= 0 && n <= MaxAmount; };
  return isInRange(r.MilliCores) && isInRange(r.MemoryMb) &&
         isInRange(r.Accelerators);
}

std::string validateStored(const JobSpec &spec) {
  if (spec.Id.empty())
    return "the job has no id; choose one";
  if (spec.Steps.empty())
    return "the job has no steps; give at least one";
  if (spec.Steps.size() > MaxStepsPerJob)
    return "the job has more than " + std::to_string(MaxStepsPerJob) +
           " steps; split it";
  if (spec.Payload.size() > MaxPayloadBytes)
    return "the job's text is longer than " + std::to_string(MaxPayloadBytes) +
           " bytes; shorten it";
  if (spec.Repeats < 0 || spec.Repeats > MaxRepeats)
    return "the job must repeat from 0 to " + std::to_string(MaxRepeats) +
           " times";
  if (spec.Repeats > 0 && spec.IntervalMs < 0)
    return "the interval cannot be negative";
  if (spec.IntervalMs > MaxAmount || spec.FirstDueMs < -MaxDueMs ||
      spec.FirstDueMs > MaxDueMs)
    return "the times of the occurrences are out of range";
  for (size_t i = 0; i < spec.Steps.size(); ++i) {
    std::string problem = validateStep(spec.Steps[i], static_cast<int>(i));
    if (!problem.empty())
      return problem;
  }
  if (taskCount(spec) > MaxTasksPerJob)
    return "the job has more than " + std::to_string(MaxTasksPerJob) +
           " tasks; split it";
  return "";
}

std::string validate(const JobSpec &spec) {
  std::string problem = validateStored(spec);
  if (!problem.empty())
    return problem;
  if (std::any_of(spec.Steps.begin(), spec.Steps.end(), hasLongName))
    return "labels, racks and images have at most " +
           std::to_string(MaxNameBytes) + " bytes";
  if (taskCount(spec) * spec.occurrences() > MaxTasksOfOccurrences)
    return "the job has more than " + std::to_string(MaxTasksOfOccurrences) +
           " tasks in all its occurrences; let it repeat less often";
  return "";
}

size_t memoryBytes(const JobSpec &spec) {
  size_t n = sizeof(spec) + spec.Id.capacity() + spec.Organisation.capacity() +
             spec.Queue.capacity() + spec.Address.Host.capacity() +
             spec.Address.Prefix.capacity() + spec.Address.Path.capacity() +
             spec.Payload.capacity() + spec.Steps.capacity() * sizeof(StepSpec);
  for (const StepSpec &step : spec.Steps)
    n += step.After.capacity() * sizeof(int) + step.NeedsLabel.capacity() +
         step.DataRack.capacity() + step.Image.capacity();
  return n;
}

std::string taskName(const TaskId &task) {
  return task.Job + "." + std::to_string(task.Occurrence) + "." +
         std::to_string(task.Step) + "." + std::to_string(task.Index);
}

bool parseTaskName(const std::string &name, TaskId &task) {
  const size_t dot = name.find('.');
  if (dot == std::string::npos || dot == 0)
    return false;
  const char *at = name.data() + dot;
  const char *const end = name.data() + name.size();
  for (int *number : {&task.Occurrence, &task.Step, &task.Index}) {
    if (at == end || *at != '.')
      return false;
    const auto [next, ec] = std::from_chars(at + 1, end, *number);
    if (ec != std::errc())
      return false;
    at = next;
  }
  if (at != end)
    return false;
  task.Job.assign(name, 0, dot);
  return true;
}

} // namespace oriolebay::core
