#pragma once

#include "shape.h"

#include <compare>
#include <cstdint>
#include <string>

namespace oriolebay::core {

/// Scheduling class of a job: urgent work is ordered first, batch work by its
/// deadline.
enum class JobClass { Urgent, Batch };

/// A caller's request to run a gang. IdempotencyKey is required when Idempotent
/// is false: the system then runs the request at most once, and a retry with
/// the same key gets the first answer. DeadlineUnixMs is the wall clock time in
/// milliseconds by which batch work should finish; zero means no deadline.
/// Payload is passed unchanged to the endpoint's back end.
struct JobRequest {
  std::string Id;
  std::string Organisation;
  std::string Profile;
  Shape GangShape;
  JobClass Class = JobClass::Batch;
  int64_t DeadlineUnixMs = 0;
  bool Idempotent = true;
  std::string IdempotencyKey;
  std::string Payload;

  auto operator<=>(const JobRequest &) const = default;
};

} // namespace oriolebay::core
