#include "requestguards.h"

#include "eventlog/eventlog.h"

namespace oriolebay::metrics {

namespace {

constexpr size_t BytesPerMb = 1'000'000;
/// One part of this many of the host's memory is for requests.
constexpr size_t BudgetDivisor = 4;
/// One part of this many of the budget is kept for small requests.
constexpr size_t SmallDivisor = 4;

void logRefusal(const std::string &server,
                const http::RefusedRequest &request) {
  eventlog::logEvent(eventlog::Event::RequestRefused,
                     {{"server", server},
                      {"reason", http::refusalReasonName(request.Reason)},
                      {"bytes", request.Bytes},
                      {"age_ms", absl::ToInt64Milliseconds(request.Age)}});
}

} // namespace

size_t requestBudgetBytes(int memoryMb) {
  return static_cast<size_t>(memoryMb) * BytesPerMb / BudgetDivisor;
}

RequestGuards::RequestGuards(int memoryMb, ProcessMetrics &metrics)
    : Metrics(metrics), Budget(std::make_shared<utils::MemoryBudget>(
                            requestBudgetBytes(memoryMb),
                            requestBudgetBytes(memoryMb) / SmallDivisor)) {}

http::RequestGuard RequestGuards::of(const std::string &server) const {
  return {Budget,
          [&metrics = Metrics, server](const http::RefusedRequest &request) {
            metrics.recordRefusedRequest(
                server, http::refusalReasonName(request.Reason));
            logRefusal(server, request);
          }};
}

void RequestGuards::refresh() const {
  Metrics.set("request_memory_used_bytes",
              "Memory that requests hold, from their first byte to their "
              "answer.",
              static_cast<double>(Budget->usedBytes()));
  Metrics.set("request_memory_limit_bytes",
              "Memory that all requests may hold together.",
              static_cast<double>(Budget->totalBytes()));
}

} // namespace oriolebay::metrics
