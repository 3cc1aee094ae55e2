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

/// Counters, gauges and latency histograms of one process, named by the
/// conventions of Prometheus. Thread-safe. Counting takes about a microsecond
/// and never waits for readers.
class ProcessMetrics {
public:
  ProcessMetrics();

  /// Counts a caller's call that was answered.
  void recordCall(const std::string &call, const std::string &result,
                  absl::Duration duration);
  /// Counts a call to the platform's store that was answered or given up on.
  void recordStoreCall(const std::string &call, const std::string &status,
                       absl::Duration duration);
  /// Records that a run was placed, and the time between the acceptance of its
  /// job and the placement.
  void recordRunPlaced(int rank, absl::Duration waitTime);
  /// Records that a job ended, and the time between its acceptance and its end.
  void recordJobEnded(const std::string &state, int priority,
                      absl::Duration duration);
  /// Counts an order when its outcome is known to the agent.
  void recordOrderOutcome(const std::string &outcome);

  /// Counts a request that a server refused, or whose connection it closed.
  void recordRefusedRequest(const std::string &server,
                            const std::string &reason);

  /// Counts steps that have waited beside free workers for longer than
  /// expected.
  void recordLongWaits(int64_t steps);

  /// Sets a gauge, which is exported as "oriolebay_" followed by its name.
  void set(const std::string &gauge, const std::string &help, double value,
           const std::map<std::string, std::string> &labels = {});

  /// Returns all metrics in the text format of Prometheus, including the event
  /// log's counters.
  std::string text();

private:
  /// Updates the counters of events and dropped lines from the event log.
  void updateEventCounters();

  prometheus::Registry Registry;
  prometheus::Family<prometheus::Counter> &Calls;
  prometheus::Family<prometheus::Histogram> &CallSeconds;
  prometheus::Family<prometheus::Counter> &StoreCalls;
  prometheus::Family<prometheus::Histogram> &StoreSeconds;
  prometheus::Family<prometheus::Histogram> &PlacementSeconds;
  prometheus::Family<prometheus::Histogram> &JobSeconds;
  prometheus::Family<prometheus::Counter> &Orders;
  prometheus::Family<prometheus::Counter> &RefusedRequests;
  prometheus::Family<prometheus::Counter> &LongWaits;
  prometheus::Family<prometheus::Counter> &Events;
  prometheus::Family<prometheus::Counter> &LinesLeftOut;
};

} // namespace oriolebay::metrics
