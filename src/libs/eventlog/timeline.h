#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace oriolebay::eventlog {

/// One line of an event log, with its position in the time line of all
/// processes in microseconds since the Unix epoch.
struct LoggedEvent {
  int64_t AtUs = 0;
  nlohmann::json Fields;
  bool operator==(const LoggedEvent &) const = default;
};

/// The events read in time order, the number of lines that were not events, and
/// the files that could not be opened.
struct LogContents {
  std::vector<LoggedEvent> Events;
  int SkippedLines = 0;
  std::vector<std::string> UnreadableFiles;
};

/// Reads the event logs in paths; "-" is standard input. Text before a line's
/// JSON, such as the prefix of a log collector, is ignored. The wall clock of a
/// process may jump; therefore its lines are ordered by its boot clock, and the
/// boot clock is mapped to wall clock time with the median offset between both
/// clocks over all lines.
LogContents readEvents(const std::vector<std::string> &paths);

/// Selects events; an empty member matches every event.
struct EventFilter {
  std::string Process;
  std::string Worker;
  std::string Organisation;
  /// Prefix of the event's name, such as "run." or "leader.lost".
  std::string Name;
  std::optional<int64_t> FromUs;
  std::optional<int64_t> ToUs;
  bool operator==(const EventFilter &) const = default;
};

std::vector<LoggedEvent> select(const std::vector<LoggedEvent> &events,
                                const EventFilter &filter);

/// Returns all events that concern one job: its own events and, between its
/// first and its last one, those of the workers that it was placed on, of the
/// leader, of the store and of the event log itself. Of the failed store calls
/// in one outage it includes one for each process.
std::vector<LoggedEvent> eventsOfJob(const std::string &job,
                                     const std::vector<LoggedEvent> &events);

/// Prints one line of JSON for each event.
void printJson(const std::vector<LoggedEvent> &events, std::ostream &out);
/// Prints one readable line for each event: seconds since the first event,
/// process, name and fields.
void printText(const std::vector<LoggedEvent> &events, std::ostream &out);

} // namespace oriolebay::eventlog
