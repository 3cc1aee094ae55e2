#pragma once

#include "endpoints/messages.h"

#include <absl/container/flat_hash_set.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace oriolebay::agent {

/// A task that a runner thread executes. Saved is the checkpoint to resume
/// from; empty if there is none.
struct Task {
  std::string Run;
  std::string JobId;
  int Member = 0;
  std::string Payload;
  std::string Saved;
  int64_t PowerLimitWatts = 0;
};

/// The run of a gang and the index of one of its members.
using TaskKey = std::pair<std::string, int>;

/// The state that an agent keeps for the leading entry: reservations, tasks,
/// and the runs that it must refuse. Decides which tasks may start on this
/// worker, but does not start them. Thread-safe.
class TaskTable {
public:
  TaskTable(int accelerators, absl::Duration reservationTimeout);

  /// Reserves accelerators for the members of a run. Returns an empty string on
  /// success, else the reason of the refusal. Reserving the same run again is
  /// not an error and does not extend its timeout.
  std::string reserve(const endpoints::Reserve &message, absl::Time now);
  /// Turns a reservation into tasks that can start. Returns an empty string and
  /// the tasks in out, else the reason of the refusal. A run is started at most
  /// once, even if a delayed message, a retry or another entry requests it
  /// again.
  std::string start(const endpoints::Run &message, std::vector<Task> &out);
  /// Frees a reservation and refuses the run from now on.
  void release(const std::string &run);
  /// Marks members to be stopped. Returns the members that never started on
  /// this worker; the caller must report them as stopped. The run is refused
  /// from now on.
  std::vector<int> requestStop(const endpoints::Stop &message);
  /// Marks every task to be stopped.
  void requestStopAll();

  /// Marks the task as running. Returns false if its stop was already
  /// requested.
  bool beginRun(const TaskKey &key);
  /// Marks the task as ended on the back end and frees its accelerators.
  void endRun(const TaskKey &key);
  /// Removes a task whose end the leading entry acknowledged, or whose end can
  /// no longer be reported because this process stops.
  void remove(const TaskKey &key);

  /// Waits until a running task has to be stopped, and returns the tasks that
  /// were not returned before. Tasks that have not ended after the retry period
  /// are returned again. Returns an empty list once the table is closed.
  std::vector<TaskKey> awaitStops(absl::Duration retry);
  /// Makes awaitStops() return an empty list from now on.
  void close();

  /// Frees reservations that were not started in time and returns their runs.
  std::vector<std::string> dropExpired(absl::Time now);
  /// Records the measured draw of tasks. Unknown tasks are ignored.
  void recordWatts(const std::vector<endpoints::TaskStatus> &measured);
  /// Returns all tasks that are not removed: those that wait for a runner,
  /// those that run, and those whose end has not been acknowledged.
  std::vector<endpoints::TaskStatus> tasks() const;
  /// Returns whether there are neither tasks nor reservations.
  bool isIdle() const;
  /// Returns the number of running tasks.
  int runningCount() const;

private:
  struct Reservation {
    std::vector<int> Members;
    int AcceleratorsPerMember = 0;
    absl::Time Expires;
  };
  struct TaskState {
    int Accelerators = 0;
    bool Running = false;
    bool StopRequested = false;
    bool StopSent = false;
    bool Ended = false;
    /// Last measured draw in watts; -1 if not measured yet.
    int64_t Watts = -1;
  };

  /// Refuses to reserve or start the run from now on.
  void markRefused(const std::string &run);

  const absl::Duration ReservationTimeout;
  mutable absl::Mutex Mu;
  int FreeAccelerators;
  bool Closed = false;
  std::map<std::string, Reservation> Reservations;
  std::map<TaskKey, TaskState> Tasks;
  absl::flat_hash_set<std::string> RefusedRuns;
  /// The refused runs, the oldest refusal first.
  std::deque<std::string> RefusalOrder;
};

} // namespace oriolebay::agent
