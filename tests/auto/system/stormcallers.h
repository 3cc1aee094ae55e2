#pragma once

#include "callerconnection.h"
#include "faultstorm.h"

#include <absl/time/time.h>

#include <atomic>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace oriolebay::testing_system {

/// What a caller has sent for a job, and got.
struct SentJob {
  std::string Id;
  std::string Queue;
  std::string Key;
  /// Statuses of the answers to its submission, in their order.
  std::vector<int> Statuses;
  bool IsCancelled = false;

  bool isAccepted() const;
  /// The job was never to run, as all answers say.
  bool isRefused() const;
};

/// One caller during a storm: sends jobs, cancels and questions for states and
/// counts, one after the other, to all entries, on connections that it keeps
/// open.
class StormCaller {
public:
  /// The number is different for each caller of a storm.
  StormCaller(const FaultStorm &storm, size_t entries, uint64_t seed,
              int number);

  /// Sends calls until isOver is true.
  void run(const std::atomic<bool> &isOver);

  const std::vector<SentJob> &jobs() const { return Jobs; }
  /// Calls that got no answer in time from an entry which no signal had held
  /// up.
  const std::vector<std::string> &unanswered() const { return Unanswered; }
  int callCount() const { return Calls; }

private:
  int pick(int first, int last);
  std::string nextId();
  void submitJob(const std::atomic<bool> &isOver);
  void cancelJob();
  void askState();
  void askQueueLength();
  /// Sends the call to any entry. Returns the status of the answer.
  int send(CallerRequest request);
  void pause(int maxMs);

  const FaultStorm &Storm;
  const int Number;
  std::mt19937_64 Random;
  std::vector<std::unique_ptr<CallerConnection>> Connections;
  std::vector<SentJob> Jobs;
  std::vector<std::string> Unanswered;
  int Calls = 0;
};

} // namespace oriolebay::testing_system
