#pragma once

#include "jobs/callanswer.h"
#include "jobs/jobscheduler.h"

namespace oriolebay::entry {

/// Logs a decision of the scheduler as the corresponding event of
/// docs/EVENTS.md.
void logDecision(const jobs::Decision &decision);
/// Logs the result of a caller's call.
void logCall(const jobs::CallDecision &decision);

} // namespace oriolebay::entry
