#include "jobmemory.h"

#include "schedulerpolicy.h"

#include <algorithm>

namespace oriolebay::jobs {

namespace {

/// The view and the leader each keep the record.
constexpr size_t CopiesOfRecord = 2;
/// Maps, names and times of a job, at both.
constexpr size_t BytesPerJob = 1536;
/// A step of an occurrence that waits, and its place in a scheduling pass.
constexpr size_t BytesPerStep = 512;
/// Marks of a task that is done, and its index in a scheduling pass.
constexpr size_t BytesPerTask = 5;

} // namespace

size_t memoryBytes(const JobRecord &record) {
  size_t tasks = 0;
  for (const core::StepSpec &step : record.Spec.Steps)
    tasks += static_cast<size_t>(std::max(0, step.Count));
  const size_t waiting = static_cast<size_t>(SchedulerPolicy().MaxWaitingTasks);
  const size_t occurrences =
      std::clamp<size_t>(waiting / std::max<size_t>(1, tasks), 1,
                         static_cast<size_t>(record.Spec.occurrences()));
  return CopiesOfRecord * core::memoryBytes(record.Spec) + BytesPerJob +
         occurrences *
             (record.Spec.Steps.size() * BytesPerStep + tasks * BytesPerTask);
}

} // namespace oriolebay::jobs
