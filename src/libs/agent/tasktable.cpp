#include "tasktable.h"

#include <algorithm>

namespace oriolebay::agent {

namespace {
// Maximum number of remembered runs that must not start (again); the oldest are
// dropped first. A delayed message for one of these runs is at most as old as
// the longest call, that is, a few seconds. At a hundred starts per second this
// number covers more than half a minute.
constexpr size_t MaxRefusedRuns = 4096;
} // namespace

TaskTable::TaskTable(int accelerators, absl::Duration reservationTimeout)
    : ReservationTimeout(reservationTimeout), FreeAccelerators(accelerators) {}

std::string TaskTable::reserve(const endpoints::Reserve &message,
                               absl::Time now) {
  absl::MutexLock lock(&Mu);
  if (RefusedRuns.count(message.Run) != 0)
    return "this run was released or stopped";
  if (Reservations.count(message.Run) != 0)
    return {};
  const int wanted =
      message.AcceleratorsPerMember * static_cast<int>(message.Members.size());
  if (FreeAccelerators < wanted)
    return "not enough free accelerators";
  FreeAccelerators -= wanted;
  Reservations[message.Run] = Reservation{
      message.Members, message.AcceleratorsPerMember, now + ReservationTimeout};
  return {};
}

std::string TaskTable::start(const endpoints::Run &message,
                             std::vector<Task> &out) {
  absl::MutexLock lock(&Mu);
  if (RefusedRuns.count(message.Run) != 0)
    return "already started, released or stopped";
  auto it = Reservations.find(message.Run);
  if (it == Reservations.end())
    return "no reservation for this run";
  for (int member : message.Members) {
    Tasks[{message.Run, member}] = TaskState{it->second.AcceleratorsPerMember};
    out.push_back(Task{message.Run, message.JobId, member, message.Payload,
                       message.Saved, message.PowerLimitWatts});
  }
  Reservations.erase(it);
  markRefused(message.Run);
  return {};
}

void TaskTable::markRefused(const std::string &run) {
  if (!RefusedRuns.insert(run).second)
    return;
  RefusalOrder.push_back(run);
  if (RefusalOrder.size() > MaxRefusedRuns) {
    RefusedRuns.erase(RefusalOrder.front());
    RefusalOrder.pop_front();
  }
}

void TaskTable::release(const std::string &run) {
  absl::MutexLock lock(&Mu);
  markRefused(run);
  auto it = Reservations.find(run);
  if (it == Reservations.end())
    return;
  FreeAccelerators += it->second.AcceleratorsPerMember *
                      static_cast<int>(it->second.Members.size());
  Reservations.erase(it);
}

std::vector<int> TaskTable::requestStop(const endpoints::Stop &message) {
  release(message.Run);
  absl::MutexLock lock(&Mu);
  std::vector<int> notStarted;
  for (int member : message.Members) {
    auto it = Tasks.find({message.Run, member});
    if (it == Tasks.end())
      notStarted.push_back(member);
    else
      it->second.StopRequested = true;
  }
  return notStarted;
}

void TaskTable::requestStopAll() {
  absl::MutexLock lock(&Mu);
  for (auto &[key, task] : Tasks)
    task.StopRequested = true;
}

bool TaskTable::beginRun(const TaskKey &key) {
  absl::MutexLock lock(&Mu);
  auto it = Tasks.find(key);
  if (it == Tasks.end() || it->second.StopRequested)
    return false;
  it->second.Running = true;
  return true;
}

void TaskTable::endRun(const TaskKey &key) {
  absl::MutexLock lock(&Mu);
  auto it = Tasks.find(key);
  if (it == Tasks.end() || it->second.Ended)
    return;
  it->second.Running = false;
  it->second.Ended = true;
  FreeAccelerators += it->second.Accelerators;
}

void TaskTable::remove(const TaskKey &key) {
  absl::MutexLock lock(&Mu);
  Tasks.erase(key);
}

std::vector<TaskKey> TaskTable::awaitStops(absl::Duration retry) {
  absl::MutexLock lock(&Mu);
  auto anyToStop = [this](bool sent) {
    return std::any_of(Tasks.begin(), Tasks.end(), [sent](const auto &t) {
      return t.second.Running && t.second.StopRequested &&
             t.second.StopSent == sent;
    });
  };
  auto ready = [&] { return Closed || anyToStop(false); };
  std::vector<TaskKey> out;
  while (out.empty() && !Closed) {
    const bool isRetry = !Mu.AwaitWithTimeout(
        absl::Condition(&ready),
        anyToStop(true) ? retry : absl::InfiniteDuration());
    for (auto &[key, task] : Tasks)
      if (task.Running && task.StopRequested && (isRetry || !task.StopSent)) {
        task.StopSent = true;
        out.push_back(key);
      }
  }
  return out;
}

void TaskTable::close() {
  absl::MutexLock lock(&Mu);
  Closed = true;
}

std::vector<std::string> TaskTable::dropExpired(absl::Time now) {
  std::vector<std::string> dropped;
  {
    absl::MutexLock lock(&Mu);
    for (const auto &[run, reservation] : Reservations)
      if (reservation.Expires < now)
        dropped.push_back(run);
  }
  for (const std::string &run : dropped)
    release(run);
  return dropped;
}

void TaskTable::recordWatts(
    const std::vector<endpoints::TaskStatus> &measured) {
  absl::MutexLock lock(&Mu);
  for (const endpoints::TaskStatus &m : measured) {
    auto it = Tasks.find({m.Run, m.Member});
    if (it != Tasks.end())
      it->second.Watts = m.Watts;
  }
}

std::vector<endpoints::TaskStatus> TaskTable::tasks() const {
  absl::MutexLock lock(&Mu);
  std::vector<endpoints::TaskStatus> out;
  for (const auto &[key, task] : Tasks)
    out.push_back({key.first, key.second, task.Watts});
  return out;
}

bool TaskTable::isIdle() const {
  absl::MutexLock lock(&Mu);
  return Tasks.empty() && Reservations.empty();
}

int TaskTable::runningCount() const {
  absl::MutexLock lock(&Mu);
  return static_cast<int>(
      std::count_if(Tasks.begin(), Tasks.end(),
                    [](const auto &t) { return t.second.Running; }));
}

} // namespace oriolebay::agent
