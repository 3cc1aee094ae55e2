#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace oriolebay::testing_system {

/// One start of a task.
struct TaskRun {
  std::string Task;
  int64_t Number = 0;
  auto operator<=>(const TaskRun &) const = default;
};

/// What all workers of a site have run, and where that breaks a rule: a task
/// runs twice at once, or starts although a run of it has ended as done and the
/// end was acknowledged, before or later. Can be used on any thread.
class RunLog {
public:
  /// Also writes each change to the file.
  explicit RunLog(const std::string &path) : File(path) {}

  /// The worker keeps what it runs alive until this time on the common clock.
  void onLeaseExtended(const std::string &worker, absl::Time until);
  void onStarted(const std::string &worker, const TaskRun &run, absl::Time now);
  void onEnded(const std::string &worker, const TaskRun &run,
               const std::string &how);
  /// The end of the run, as done, was acknowledged. An end whose worker's lease
  /// has expired in between counts for nothing.
  void onDoneAcknowledged(const TaskRun &run, bool hasLeaseExpiredSince);

  /// Number of runs of the job's tasks so far.
  int startCount(const std::string &jobId) const;
  std::vector<std::string> violations() const;

private:
  struct TaskHistory {
    /// Workers by run, without those that have ended.
    std::map<TaskRun, std::string> Running;
    /// Runs that have ended as done, and whether the task was started later.
    std::map<TaskRun, bool> Done;
    bool IsDoneAcknowledged = false;
  };

  void write(const std::string &text);
  void report(const std::string &violation);

  mutable std::mutex Mu;
  std::ofstream File;
  std::map<std::string, absl::Time> LeaseEnds;
  std::map<std::string, TaskHistory> Tasks;
  std::map<std::string, int> StartsByJob;
  std::vector<std::string> Violations;
};

} // namespace oriolebay::testing_system
