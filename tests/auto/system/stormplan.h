#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace oriolebay::testing_system {

enum class StormEvent {
  /// The store answers the process with 503.
  StoreRefuses,
  /// The store carries out the next job that the entry writes, loses the
  /// answer,
  /// and answers the entry with 503 from then on.
  StoreLosesJob,
  /// The worker answers its agent with 503.
  WorkerRefuses,
  /// A key or a queue is missing from the configuration.
  KeyRevoked,
  QueueDropped,
  /// The process gets SIGTERM, or SIGKILL, and is started again later.
  Terminated,
  Killed,
  /// The process gets SIGSTOP, and SIGCONT later.
  Paused
};

struct StormStep {
  /// Time since the begin of the storm.
  absl::Duration At;
  StormEvent Event = StormEvent::Paused;
  /// Index of the process, entries first. Without meaning for changes of the
  /// configuration.
  size_t Process = 0;
  /// The fault is one of all processes.
  bool IsForAll = false;
  /// Until the process is started or goes on, or the fault is over.
  absl::Duration Lasts;
};

struct StormSize {
  int Entries = 3;
  int Agents = 3;
  absl::Duration Length = absl::Seconds(6);
};

/// Returns the steps of the storm with this seed, by time: series of events
/// which overlap. The same seed gives the same steps.
std::vector<StormStep> makeStormPlan(uint64_t seed, const StormSize &size);

/// Describes the steps, a line each.
std::string describe(const std::vector<StormStep> &plan);

} // namespace oriolebay::testing_system
