#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace oriolebay::core {

/// What a task takes, or a worker has: thousandths of a core, memory in MB,
/// and accelerators.
struct Resources {
  int64_t MilliCores = 0;
  int64_t MemoryMb = 0;
  int64_t Accelerators = 0;

  bool fitsIn(const Resources &room) const {
    return MilliCores <= room.MilliCores && MemoryMb <= room.MemoryMb &&
           Accelerators <= room.Accelerators;
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
  /// How many of these fit into room, at most most.
  int64_t countIn(const Resources &room, int64_t most) const;

  auto operator<=>(const Resources &) const = default;
};

/// One step of a job: Count tasks alike.
struct StepSpec {
  int Count = 1;
  Resources PerTask;
  /// The caller's rough estimate of a task's duration, off by half or more.
  int64_t EstimateMs = 0;
  /// Earlier steps (from 0) whose tasks must all be done first.
  std::vector<int> After;
  /// The tasks save their progress and can go on from it.
  bool Checkpoints = false;
  /// The tasks run together or not at all, and end together.
  bool Gang = false;
  /// The tasks run several times as long when they stand on several racks.
  bool SameRack = false;
  /// A label that the worker must have; empty: any worker.
  std::string NeedsLabel;
  /// The rack with the tasks' data; elsewhere they run several times as long.
  std::string DataRack;
  /// At most this many tasks of the step on one worker; zero: no limit.
  int MaxPerWorker = 0;
  /// Copies of a task may run side by side; the first to finish counts.
  bool Copies = false;
  /// The tasks run until the job is cancelled, however often they end.
  bool LongRunning = false;
  /// What the tasks run: those with the same image behave alike.
  std::string Image;
  /// Bound on the tail latency of a long-running task that serves; zero: none.
  int64_t TargetMs = 0;
  /// The tasks use what cores the others leave; their cores are not counted.
  bool FillsIdle = false;
  /// So many long-running tasks may be away at once by the system's doing.
  int MayMiss = 0;

  /// What a task takes of a worker's counted room.
  Resources room() const {
    Resources r = PerTask;
    if (FillsIdle)
      r.MilliCores = 0;
    return r;
  }

  auto operator<=>(const StepSpec &) const = default;
};

/// A job as its caller handed it in. Its tasks are named by the occurrence (0
/// unless the job repeats), the step and the index.
struct JobSpec {
  /// Chosen by the caller; handing the same id in again is the same job.
  std::string Id;
  std::string Organisation;
  std::string Queue;
  /// Passed on to each task as it is.
  std::string Payload;
  std::vector<StepSpec> Steps;
  /// How often the steps run; zero: once, at once. Occurrence K is due at
  /// FirstDueMs + K * IntervalMs, in milliseconds since 1970.
  int Repeats = 0;
  int64_t FirstDueMs = 0;
  int64_t IntervalMs = 0;

  int occurrences() const { return std::max(1, Repeats); }
  auto operator<=>(const JobSpec &) const = default;
};

/// Bounds on one job, so that a single call cannot fill the system.
constexpr int MaxStepsPerJob = 64;
constexpr int MaxTasksPerJob = 4096;
constexpr size_t MaxPayloadBytes = 4000;
constexpr int MaxRepeats = 1000;

/// Why spec cannot be accepted, naming what to change; empty when it can.
std::string validate(const JobSpec &spec);

/// What spec asks for, short enough for one log line: for each step the tasks,
/// what each takes (thousandths of a core, MB, accelerators), the estimate, and
/// what binds them.
std::string summary(const JobSpec &spec);

/// Names one task of a job.
struct TaskId {
  std::string Job;
  int Occurrence = 0;
  int Step = 0;
  int Index = 0;

  auto operator<=>(const TaskId &) const = default;
};

/// "JOB.OCCURRENCE.STEP.INDEX", the name that endpoints know a task by.
std::string taskName(const TaskId &task);
/// The task that name names; false when it is no such name.
bool parseTaskName(const std::string &name, TaskId &task);

} // namespace oriolebay::core
