#pragma once

#include "events.h"

#include "utils/error.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace oriolebay::eventlog {

/// Sends events of this process as JSON lines to path, or to standard output
/// when path is empty. Call once at start, before any other thread logs; until
/// then events are dropped. Process names the process in the time line (for
/// example "entry-1"). BadSettings when path cannot be written.
///
/// A thread of its own writes the lines. Neither a slow reader of standard
/// output nor a flood of events ever holds a caller up: beyond a bound in the
/// queue, and beyond a rate for each kind of event, lines are left out,
/// counted, and told of by LogLinesLeftOut.
utils::Result<void> initEventLog(const std::string &process,
                                 const std::string &path);

/// Writes what is queued, as far as that works without waiting long. For the
/// end of a process.
void closeEventLog();

/// Writes one numbered event with its fields. Each line carries the wall
/// clock time in microseconds since the Unix epoch, the boot clock in
/// milliseconds (which does not jump), the process name, the event number and
/// its name, so that `timeline` can merge the logs of all processes.
void logEvent(Event event, const nlohmann::json &fields = {});

/// How many events of each kind there were since the start, whether their lines
/// were written or left out.
std::map<Event, int64_t> eventCounts();

/// Lines left out since the start.
int64_t linesLeftOut();

/// Lines of one kind that are written in one second; more are left out.
constexpr int MostLinesPerSecond = 100;

} // namespace oriolebay::eventlog
