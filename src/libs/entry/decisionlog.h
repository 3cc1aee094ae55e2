#pragma once

#include "jobs/callanswer.h"
#include "jobs/jobscheduler.h"

namespace oriolebay::entry {

/// Logs what the scheduler decided, as the event of docs/EVENTS.md.
void logDecision(const jobs::Decision &decision);
/// Logs how a caller's call was answered.
void logCall(const jobs::CallDecision &decision);

} // namespace oriolebay::entry
