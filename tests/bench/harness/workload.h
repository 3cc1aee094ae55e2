#pragma once

#include "core/answer.h"
#include "core/job.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <vector>

namespace oriolebay::bench {

/// One job of a workload, and the time at which it is submitted in milliseconds
/// after the start.
struct PlannedJob {
  int64_t AtMs = 0;
  core::JobRequest Request;
};

/// The result of one job as its caller received it.
struct JobRecord {
  PlannedJob Job;
  int HttpStatus = 0;
  core::JobAnswer Answer;
  double LatencyMs = 0;
};

/// Expands a workload specification ({"seed", "jobs": [{"name", "organisation",
/// "profile", "class", "count", "members", "accelerators_per_member",
/// "power_watts_per_member", "run_ms", "spacing_ms", "start_ms",
/// "deadline_ms", "idempotent"}]}) into jobs. The same seed gives the same
/// jobs.
std::vector<PlannedJob> planWorkload(const nlohmann::json &spec);

/// Submits each job at its time to the entry at httpPort, each from its own
/// thread, and returns all answers. Calls sample() every 100 ms until the last
/// answer has arrived.
std::vector<JobRecord> runWorkload(int httpPort,
                                   const std::vector<PlannedJob> &jobs,
                                   const std::function<void()> &sample);

/// Returns the p-th percentile (0..100) of values, or 0 if values is empty.
double percentile(std::vector<double> values, double p);

} // namespace oriolebay::bench
