#pragma once

#include "events.h"

#include "utils/error.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace oriolebay::eventlog {

/// Starts writing the events of this process as JSON lines to path, or to
/// standard output when path is empty. Call this once at start, before any
/// other thread logs; events before that are dropped. process is the name of
/// this process in the time line (for example "entry-1"). Returns BadSettings
/// when path cannot be written.
///
/// A separate thread writes the lines, so that neither a slow reader of
/// standard output nor a flood of events ever blocks a caller: lines that
/// exceed the limit of the queue, or the limit per second for their kind of
/// event, are dropped and counted, and the count is logged as LogLinesLeftOut.
utils::Result<void> initEventLog(const std::string &process,
                                 const std::string &path);

/// Writes the queued lines, as far as that is possible within a short time.
/// Call this at the end of a process.
void closeEventLog();

/// Writes one numbered event with its fields. Each line carries the wall clock
/// time in microseconds since the Unix epoch, the boot clock in milliseconds
/// (which does not jump), the process name, and the number and name of the
/// event, so that `timeline` can merge the logs of all processes.
void logEvent(Event event, const nlohmann::json &fields = {});

/// Returns the number of events of each kind since the start, including those
/// whose lines were dropped.
std::map<Event, int64_t> eventCounts();

/// Returns the number of lines dropped since the start.
int64_t droppedLineCount();

/// Maximum number of lines of one kind that are written per second; further
/// lines are dropped.
constexpr int MaxLinesPerSecond = 100;

} // namespace oriolebay::eventlog
