#pragma once

#include "core/jobspec.h"
#include "endpoints/workercalls.h"
#include "utils/eventloop.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace oriolebay::cluster {

/// What all workers of a cluster share: how tasks behave, and what was seen.
struct Field {
  std::function<core::StepSpec(const std::string &task)> StepOf;
  std::function<absl::Duration(const std::string &task)> WorkOf;
  /// Runs by task, over all workers that are up.
  std::map<std::string, std::set<std::pair<std::string, int64_t>>> Running;
  std::set<std::string> DoneAndSeen;
  /// Whether the task crashes each worker that starts it.
  std::function<bool(const std::string &task)> Crashes;
  std::map<std::string, int> CrashesUnder;
  /// Workers that went down, for whatever cause, while they ran the task.
  std::map<std::string, int> WorkersLostUnder;
  std::map<std::string, int> StartsAfterThirdCrash;
  std::vector<std::string> Violations;
  int Starts = 0;
};

/// One worker, life after life: it runs what it is told under the rules that
/// the platform's workers keep (leases on its own clock, fencing tokens, ends
/// listed until they were taken note of), on the loop's time.
class MemoryWorker {
public:
  MemoryWorker(utils::EventLoop &loop, Field &field, std::string name,
               std::string rack, core::Resources capacity, uint64_t seed);

  endpoints::WorkerCalls calls();
  /// The heartbeat to hand to the agent beside it.
  endpoints::Heartbeat heartbeat();
  const std::string &life() const { return State.Life.Id; }

  /// The id that a worker has when it starts again.
  enum class Id { New, Same };
  /// It dies and stands up again at once as another life.
  void crash(Id id = Id::New);
  /// It dies; nobody listens there until it stands up again as another life.
  void fall(absl::Duration backAfter, Id id = Id::New);
  bool listens() const { return Loop.now() >= BackAt; }
  void drain(int64_t remainingMs);
  /// What it says of itself from now on. A smaller one binds later.
  void setCapacity(core::Resources capacity);

  /// This share of orders gets no answer and is carried out 2 to 12 s later.
  double LateOrders = 0;
  /// This share of orders is carried out and its answer lost.
  double LostAnswers = 0;
  bool FailsAll = false;
  bool Hangs = false;
  /// Nobody answers.
  bool Down = false;
  /// Its clock against real time.
  double ClockRate = 1.0;
  std::set<std::string> Draining;

private:
  struct Run {
    absl::Time Began;
    absl::Duration Worked = absl::ZeroDuration();
    absl::Time StopAt = absl::InfiniteFuture();
    std::string Saved;
  };
  using Key = std::pair<std::string, int64_t>;

  void countStart(const std::string &task);
  core::Resources bindingCapacity() const;
  int64_t bornMs();
  int64_t clockMs() const;
  bool chance(double share);
  endpoints::CallOutcome ok() const;
  endpoints::CallOutcome refuse(endpoints::RefusalReason reason) const;
  endpoints::CallOutcome start(const endpoints::StartCall &call);
  endpoints::CallOutcome stop(const endpoints::StopCall &call);
  endpoints::HoldReply hold(const endpoints::HoldCall &call);
  void order(const endpoints::WorkerLife &life,
             const std::function<endpoints::CallOutcome()> &carryOut,
             const std::function<void(endpoints::CallOutcome)> &done);
  void extend(int64_t untilMs);
  void step();
  void end(const Key &key, endpoints::RunEnd how);
  void answerLooks();

  utils::EventLoop &Loop;
  Field &All;
  const std::string Name;
  std::mt19937_64 Random;
  endpoints::WorkerState State;
  int Lives = 0;
  int64_t Beats = 0;
  absl::Time Born;
  absl::Time BackAt = absl::InfinitePast();
  /// Earlier capacities, and until when each was what it had.
  std::vector<std::pair<absl::Time, core::Resources>> Capacities;
  int64_t Fence = 0;
  int64_t UntilMs = 0;
  int64_t NextEnd = 1;
  /// How often its lease has lapsed, and how often it had when each end came:
  /// an end counts as noted only if the lease held in between.
  int Lapses = 0;
  bool Lapsed = true;
  std::map<int64_t, int> LapsesAtEnd;
  std::map<Key, Run> Runs;
  std::map<std::string, int64_t> Highest;
  std::vector<endpoints::EndedTask> Ended;
  struct Look {
    endpoints::HoldCall Call;
    std::function<void(endpoints::HoldReply)> Done;
    absl::Time Until;
  };
  std::vector<Look> Looks;
};

} // namespace oriolebay::cluster
