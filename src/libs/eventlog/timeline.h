#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace oriolebay::eventlog {

/// One line of an event log, with the time at which it belongs in the time line
/// over all processes, in microseconds since the Unix epoch.
struct LoggedEvent {
  int64_t AtUs = 0;
  nlohmann::json Fields;
  bool operator==(const LoggedEvent &) const = default;
};

/// What was read, in time order, how many lines were no events, and which files
/// could not be opened.
struct ReadEvents {
  std::vector<LoggedEvent> Events;
  int Skipped = 0;
  std::vector<std::string> Unreadable;
};

/// Reads the event logs in paths; "-" is standard input. Text before a line's
/// JSON, such as a collector's prefix, is passed over. A process's wall clock
/// may jump: its lines are placed by its boot clock and by what the wall clock
/// said in the middle one of its lines.
ReadEvents readEvents(const std::vector<std::string> &paths);

/// Which events to show; what is empty lets all through.
struct EventFilter {
  std::string Process;
  std::string Worker;
  std::string Organisation;
  /// The beginning of an event's name, such as "run." or "leader.lost".
  std::string Name;
  std::optional<int64_t> FromUs;
  std::optional<int64_t> ToUs;
  bool operator==(const EventFilter &) const = default;
};

std::vector<LoggedEvent> select(const std::vector<LoggedEvent> &events,
                                const EventFilter &filter);

/// All that concerns one job: its own events, those of the workers it was
/// placed on, and what happened to leader and store from its first event to its
/// last. Of an outage's failed store calls it has one a process.
std::vector<LoggedEvent> storyOf(const std::string &job,
                                 const std::vector<LoggedEvent> &events);

/// Prints a JSON line an event.
void printJson(const std::vector<LoggedEvent> &events, std::ostream &out);
/// Prints a line an event for people: seconds since the first, process, name
/// and fields.
void printText(const std::vector<LoggedEvent> &events, std::ostream &out);

} // namespace oriolebay::eventlog
