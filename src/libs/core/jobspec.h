#pragma once

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace oriolebay::core {

/// Resources that a task needs or that a worker has: thousandths of a core,
/// memory in MB, and number of accelerators.
struct Resources {
  int64_t MilliCores = 0;
  int64_t MemoryMb = 0;
  int64_t Accelerators = 0;

  bool fitsIn(const Resources &available) const {
    return MilliCores <= available.MilliCores &&
           MemoryMb <= available.MemoryMb &&
           Accelerators <= available.Accelerators;
  }
  Resources &operator+=(const Resources &o) {
    MilliCores += o.MilliCores;
    MemoryMb += o.MemoryMb;
    Accelerators += o.Accelerators;
    return *this;
  }
  Resources &operator-=(const Resources &o) {
    MilliCores -= o.MilliCores;
    MemoryMb -= o.MemoryMb;
    Accelerators -= o.Accelerators;
    return *this;
  }
  /// Returns how many times these resources fit into available, at most
  /// maxCount.
  int64_t countIn(const Resources &available, int64_t maxCount) const;

  auto operator<=>(const Resources &) const = default;
};

/// One step of a job, which consists of Count identical tasks.
struct StepSpec {
  int Count = 1;
  Resources PerTask;
  /// The caller's estimate of a task's duration. It may be wrong by half or
  /// more.
  int64_t EstimateMs = 0;
  /// Indices (from 0) of earlier steps whose tasks must all be done before this
  /// step starts.
  std::vector<int> After;
  /// The tasks save their progress and can resume from it.
  bool Checkpoints = false;
  /// The tasks form a gang: they run together or not at all, and end together.
  bool Gang = false;
  /// The tasks take several times as long when they are spread over several
  /// racks.
  bool SameRack = false;
  /// Label that a worker must have to run the tasks; empty means any worker.
  std::string NeedsLabel;
  /// Rack that holds the tasks' data. On other racks the tasks take several
  /// times as long.
  std::string DataRack;
  /// Maximum number of the step's tasks on one worker; zero means no limit.
  int MaxPerWorker = 0;
  /// Several copies of a task may run at the same time; the first to finish
  /// counts.
  bool Speculative = false;
  /// The tasks run until the job is cancelled and are restarted whenever they
  /// end.
  bool LongRunning = false;
  /// Image that the tasks run. Tasks with the same image are expected to behave
  /// alike.
  std::string Image;
  /// Upper bound on the tail latency of a long-running task that serves
  /// requests; zero means none.
  int64_t TargetMs = 0;
  /// The tasks only use cores that other tasks leave idle, so their cores do
  /// not count against a worker's capacity.
  bool UsesIdleCores = false;
  /// Maximum number of long-running tasks of the step that may be unavailable
  /// at the same time because the system stopped or moved them.
  int MaxUnavailable = 0;

  /// Returns the resources by which a task reduces a worker's free capacity.
  /// Cores of tasks that only use idle cores are not counted.
  Resources taskResources() const {
    Resources r = PerTask;
    if (UsesIdleCores)
      r.MilliCores = 0;
    return r;
  }

  auto operator<=>(const StepSpec &) const = default;
};

/// Where a job was submitted: the host and the path of the call, and the prefix
/// of the queue that it reached. Empty in what earlier versions have recorded.
struct JobAddress {
  std::string Host;
  std::string Prefix;
  std::string Path;

  bool isKnown() const { return !Path.empty(); }
  auto operator<=>(const JobAddress &) const = default;
};

/// A job as submitted by its caller. A task is identified by its occurrence (0
/// unless the job repeats), its step and its index in the step.
struct JobSpec {
  /// Chosen by the caller. Submitting the same id again refers to the same job.
  std::string Id;
  std::string Organisation;
  /// The name that the queue had when the job was submitted. Operators may
  /// rename queues: use SiteConfig::queueOf() for the queue that the job is in
  /// now.
  std::string Queue;
  JobAddress Address = {};
  /// Passed unchanged to each task.
  std::string Payload;
  std::vector<StepSpec> Steps;
  /// Number of times that the steps run; zero means once and immediately.
  /// Occurrence K is due at FirstDueMs + K * IntervalMs, in milliseconds since
  /// 1970.
  int Repeats = 0;
  int64_t FirstDueMs = 0;
  int64_t IntervalMs = 0;

  int occurrences() const { return std::max(1, Repeats); }
  auto operator<=>(const JobSpec &) const = default;
};

/// Largest amount of a resource, time in milliseconds or the like. Far more
/// than any worker has, and small enough for sums over all tasks of a job.
constexpr int64_t MaxAmount = 1'000'000'000'000;

/// Returns whether all of r is from zero to MaxAmount.
bool isPlausible(const Resources &r);

/// Limits on one job, so that a single call cannot overload the system.
constexpr int MaxStepsPerJob = 64;
constexpr int MaxTasksPerJob = 4096;
constexpr size_t MaxPayloadBytes = 4000;
constexpr size_t MaxNameBytes = 200;
constexpr int MaxRepeats = 1000;
/// Tasks of all occurrences of a job. The leader keeps the state of each.
constexpr int64_t MaxTasksOfOccurrences = int64_t{16} * MaxTasksPerJob;

/// Returns why spec cannot be accepted and what to change; empty when it is
/// valid.
std::string validate(const JobSpec &spec);

/// Returns why a stored spec cannot be used; empty if it can. Does not apply
/// the limits that earlier versions did not have, so that the jobs that they
/// have accepted stay known.
std::string validateStored(const JobSpec &spec);

/// Returns a summary of spec that fits on one log line. It lists for each step
/// the number of tasks, the resources of a task (thousandths of a core, MB,
/// accelerators), the estimate, and the properties and limits that restrict how
/// and where the tasks run.
std::string summary(const JobSpec &spec);
/// Returns the part of the summary for one step.
std::string summary(const StepSpec &step);

/// Returns the number of bytes that spec takes in memory, with all its parts.
size_t memoryBytes(const JobSpec &spec);

/// Identifies one task of a job.
struct TaskId {
  std::string Job;
  int Occurrence = 0;
  int Step = 0;
  int Index = 0;

  auto operator<=>(const TaskId &) const = default;
};

/// Returns "JOB.OCCURRENCE.STEP.INDEX", the name by which endpoints identify a
/// task.
std::string taskName(const TaskId &task);
/// Parses a task name into task. Returns false when name is not a valid task
/// name.
bool parseTaskName(const std::string &name, TaskId &task);

} // namespace oriolebay::core
