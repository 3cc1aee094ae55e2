#pragma once

#include "http/requestguard.h"
#include "processmetrics.h"

#include <cstddef>
#include <memory>
#include <string>

namespace oriolebay::metrics {

/// The bytes that all requests of a process may hold together, for a host that
/// gives memoryMb to it. The rest is for the program, its state and its
/// connections (docs/CAPACITY.md).
size_t requestBudgetBytes(int memoryMb);

/// The guards of a process's HTTP servers: they share one budget, and each
/// refused request is logged and counted.
class RequestGuards {
public:
  /// metrics must outlive the servers that are guarded.
  RequestGuards(int memoryMb, ProcessMetrics &metrics);

  /// Returns the guard of a server, which is named in the log and the metrics.
  http::RequestGuard of(const std::string &server) const;
  /// Updates the gauges before the metrics are read.
  void refresh() const;

private:
  ProcessMetrics &Metrics;
  const std::shared_ptr<utils::MemoryBudget> Budget;
};

} // namespace oriolebay::metrics
