#pragma once

#include <absl/time/time.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstdint>
#include <map>
#include <string>

namespace oriolebay::metrics {

/// Counters, gauges and latency histograms of one process, named after the
/// conventions of Prometheus. May be used from any thread; counting costs about
/// a microsecond and never waits for whoever reads.
class ProcessMetrics {
public:
  ProcessMetrics();

  /// A caller's call was answered.
  void callAnswered(const std::string &call, const std::string &result,
                    absl::Duration took);
  /// A call to the platform's store was answered, or given up on.
  void storeCalled(const std::string &call, const std::string &status,
                   absl::Duration took);
  /// A run was placed, so long after its job was accepted.
  void runPlaced(int rank, absl::Duration waited);
  /// A job is over, so long after it was accepted.
  void jobEnded(const std::string &state, int priority, absl::Duration took);
  /// An agent has an order's outcome.
  void orderConcluded(const std::string &outcome);

  void set(const std::string &gauge, const std::string &help, double value);

  /// All of it in Prometheus' text format, with the event log's own counts.
  std::string text();

private:
  void countEvents();

  prometheus::Registry Registry;
  prometheus::Family<prometheus::Counter> &Calls;
  prometheus::Family<prometheus::Histogram> &CallSeconds;
  prometheus::Family<prometheus::Counter> &StoreCalls;
  prometheus::Family<prometheus::Histogram> &StoreSeconds;
  prometheus::Family<prometheus::Histogram> &PlacementSeconds;
  prometheus::Family<prometheus::Histogram> &JobSeconds;
  prometheus::Family<prometheus::Counter> &Orders;
  prometheus::Family<prometheus::Counter> &Events;
  prometheus::Family<prometheus::Counter> &LinesLeftOut;
};

} // namespace oriolebay::metrics
