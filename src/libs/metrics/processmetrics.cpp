#include "processmetrics.h"

#include "eventlog/eventlog.h"

#include <prometheus/text_serializer.h>

namespace oriolebay::metrics {

using prometheus::Counter;
using prometheus::Family;
using prometheus::Histogram;

namespace {

/// Upper bounds of the histogram buckets for calls, in seconds. The store
/// answers in 4 ms; callers wait for some seconds.
const Histogram::BucketBoundaries CallBuckets = {
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10};
/// Upper bounds of the histogram buckets for jobs, in seconds. Urgent jobs are
/// due after one or two seconds; others run for hours.
const Histogram::BucketBoundaries JobBuckets = {
    0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 300, 1800, 7200};

Family<Counter> &counter(prometheus::Registry &registry, const char *name,
                         const char *help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

Family<Histogram> &histogram(prometheus::Registry &registry, const char *name,
                             const char *help) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

void increaseTo(Counter &counter, int64_t total) {
  counter.Increment(static_cast<double>(total) - counter.Value());
}

} // namespace

ProcessMetrics::ProcessMetrics()
    : Calls(counter(Registry, "oriolebay_calls_total",
                    "Callers' calls by kind and result.")),
      CallSeconds(histogram(Registry, "oriolebay_call_duration_seconds",
                            "From a call's arrival to its answer.")),
      StoreCalls(counter(Registry, "oriolebay_store_calls_total",
                         "Calls to the platform's store by outcome.")),
      StoreSeconds(histogram(Registry, "oriolebay_store_call_duration_seconds",
                             "From a store call to its answer or timeout.")),
      PlacementSeconds(histogram(
          Registry, "oriolebay_placement_wait_seconds",
          "From a job's acceptance to the placement of each of its runs.")),
      JobSeconds(histogram(Registry, "oriolebay_job_duration_seconds",
                           "From a job's acceptance to its end.")),
      Orders(counter(Registry, "oriolebay_orders_total",
                     "Orders to the worker by outcome.")),
      RefusedRequests(counter(Registry, "oriolebay_requests_refused_total",
                              "Requests that a server refused, or whose "
                              "connection it closed.")),
      LongWaits(counter(Registry, "oriolebay_long_waits_total",
                        "Steps that waited beside free workers for longer "
                        "than expected.")),
      Events(counter(Registry, "oriolebay_events_total",
                     "Events of docs/EVENTS.md, logged or left out.")),
      LinesLeftOut(counter(Registry, "oriolebay_log_lines_left_out_total",
                           "Log lines left out for their rate.")) {}

void ProcessMetrics::recordCall(const std::string &call,
                                const std::string &result,
                                absl::Duration duration) {
  Calls.Add({{"call", call}, {"result", result}}).Increment();
  CallSeconds.Add({{"call", call}}, CallBuckets)
      .Observe(absl::ToDoubleSeconds(duration));
}

void ProcessMetrics::recordStoreCall(const std::string &call,
                                     const std::string &status,
                                     absl::Duration duration) {
  StoreCalls.Add({{"call", call}, {"status", status}}).Increment();
  StoreSeconds.Add({{"call", call}}, CallBuckets)
      .Observe(absl::ToDoubleSeconds(duration));
}

void ProcessMetrics::recordRunPlaced(int rank, absl::Duration waitTime) {
  PlacementSeconds.Add({{"rank", std::to_string(rank)}}, JobBuckets)
      .Observe(absl::ToDoubleSeconds(waitTime));
}

void ProcessMetrics::recordJobEnded(const std::string &state, int priority,
                                    absl::Duration duration) {
  JobSeconds
      .Add({{"state", state}, {"priority", std::to_string(priority)}},
           JobBuckets)
      .Observe(absl::ToDoubleSeconds(duration));
}

void ProcessMetrics::recordOrderOutcome(const std::string &outcome) {
  Orders.Add({{"outcome", outcome}}).Increment();
}

void ProcessMetrics::recordRefusedRequest(const std::string &server,
                                          const std::string &reason) {
  RefusedRequests.Add({{"server", server}, {"reason", reason}}).Increment();
}

void ProcessMetrics::recordLongWaits(int64_t steps) {
  LongWaits.Add({}).Increment(static_cast<double>(steps));
}

void ProcessMetrics::set(const std::string &gauge, const std::string &help,
                         double value,
                         const std::map<std::string, std::string> &labels) {
  prometheus::BuildGauge()
      .Name("oriolebay_" + gauge)
      .Help(help)
      .Register(Registry)
      .Add(labels)
      .Set(value);
}

void ProcessMetrics::updateEventCounters() {
  for (const auto &[event, total] : eventlog::eventCounts())
    increaseTo(Events.Add({{"event", eventlog::eventName(event)}}), total);
  increaseTo(LinesLeftOut.Add({}), eventlog::droppedLineCount());
}

std::string ProcessMetrics::text() {
  updateEventCounters();
  return prometheus::TextSerializer().Serialize(Registry.Collect());
}

} // namespace oriolebay::metrics
