#include "timeline.h"

#include "utils/jsonfields.h"
#include "utils/jsontext.h"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <set>
#include <utility>

namespace oriolebay::eventlog {

using nlohmann::json;
using utils::numberIn;
using utils::textIn;

namespace {

/// Fields that every event has; they have their own columns in the text output.
const std::set<std::string> CommonFields = {"ts_us", "up_ms", "proc", "event",
                                            "name"};
constexpr const char *ProcessStartedName = "process.started";
constexpr const char *StoreCallFailedName = "store.call_failed";
constexpr const char *StoreRegainedName = "store.regained";
/// Maximum time between two failed store calls of a process that belong to the
/// same outage.
constexpr int64_t MaxOutageGapUs = 3'000'000;

bool startsWith(const std::string &text, const std::string &start) {
  return text.compare(0, start.size(), start) == 0;
}

// Events of a process between one start and the next, during which its boot
// clock runs without jumps.
using ProcessEvents = std::vector<LoggedEvent>;

/// Sets the times of the events to their boot clock times plus the median
/// offset between the wall clock and the boot clock.
void alignToBootClock(ProcessEvents &processEvents) {
  std::vector<int64_t> offsets;
  for (const LoggedEvent &e : processEvents)
    if (e.Fields.contains("up_ms"))
      offsets.push_back(e.AtUs - numberIn(e.Fields, "up_ms") * 1000);
  if (offsets.empty())
    return;
  const auto median =
      offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), median, offsets.end());
  for (LoggedEvent &e : processEvents)
    if (e.Fields.contains("up_ms"))
      e.AtUs = numberIn(e.Fields, "up_ms") * 1000 + *median;
}

/// Reads logs and merges the events of all processes in time order.
class Reader {
public:
  void read(std::istream &in) {
    std::string line;
    while (std::getline(in, line))
      addLine(line);
  }

  LogContents finish() {
    for (auto &[process, processEvents] : EventsByProcess)
      finishProcess(processEvents);
    std::stable_sort(Result.Events.begin(), Result.Events.end(),
                     [](const LoggedEvent &a, const LoggedEvent &b) {
                       return a.AtUs < b.AtUs;
                     });
    return std::move(Result);
  }

private:
  void addLine(const std::string &line) {
    const size_t start = line.find('{');
    auto parsed = utils::parseJson(
        start == std::string::npos ? std::string() : line.substr(start));
    json fields = parsed ? std::move(*parsed) : json();
    if (!fields.is_object() || !fields.contains("ts_us")) {
      ++Result.SkippedLines;
      return;
    }
    ProcessEvents &processEvents = EventsByProcess[textIn(fields, "proc")];
    if (textIn(fields, "name") == ProcessStartedName)
      finishProcess(processEvents);
    const int64_t at = numberIn(fields, "ts_us");
    processEvents.push_back({at, std::move(fields)});
  }

  // Aligns the events of a process since its start and moves them to the
  // result.
  void finishProcess(ProcessEvents &processEvents) {
    alignToBootClock(processEvents);
    std::move(processEvents.begin(), processEvents.end(),
              std::back_inserter(Result.Events));
    processEvents.clear();
  }

  std::map<std::string, ProcessEvents> EventsByProcess;
  LogContents Result;
};

bool matches(const EventFilter &f, const LoggedEvent &e) {
  return (f.Process.empty() || textIn(e.Fields, "proc") == f.Process) &&
         (f.Worker.empty() || textIn(e.Fields, "worker") == f.Worker) &&
         (f.Organisation.empty() ||
          textIn(e.Fields, "organisation") == f.Organisation) &&
         startsWith(textIn(e.Fields, "name"), f.Name) &&
         (!f.FromUs || e.AtUs >= *f.FromUs) && (!f.ToUs || e.AtUs <= *f.ToUs);
}

// A task's name begins with its job's id, and the reason of an event may name
// the job for which capacity was freed.
bool concernsJob(const std::string &job, const LoggedEvent &e) {
  return textIn(e.Fields, "job") == job ||
         startsWith(textIn(e.Fields, "task"), job + ".") ||
         textIn(e.Fields, "why").find(job) != std::string::npos;
}

bool concernsAllJobs(const LoggedEvent &e) {
  const std::string name = textIn(e.Fields, "name");
  return startsWith(name, "leader.") || startsWith(name, "store.") ||
         startsWith(name, "log.");
}

/// Finds repeated failures of store calls, so that only one is passed for each
/// process and outage. Each process makes several calls a second, and their
/// failures contain the same information.
class OutageFilter {
public:
  /// Returns whether e is a failed store call in an outage of which a failed
  /// call of the same process was already passed. Must be called once for each
  /// event, in the order of time.
  bool checkRepetition(const LoggedEvent &e) {
    const std::string name = textIn(e.Fields, "name");
    const std::string process = textIn(e.Fields, "proc");
    if (name == StoreRegainedName)
      FailedAtUs.erase(process);
    if (name != StoreCallFailedName)
      return false;
    auto [it, isFirst] = FailedAtUs.try_emplace(process, e.AtUs);
    const int64_t sinceLastUs = e.AtUs - std::exchange(it->second, e.AtUs);
    return !isFirst && sinceLastUs <= MaxOutageGapUs;
  }

private:
  std::map<std::string, int64_t> FailedAtUs;
};

} // namespace

LogContents readEvents(const std::vector<std::string> &paths) {
  Reader reader;
  std::vector<std::string> unreadable;
  for (const std::string &path : paths) {
    if (path == "-") {
      reader.read(std::cin);
      continue;
    }
    std::ifstream in(path);
    if (!in.is_open())
      unreadable.push_back(path);
    reader.read(in);
  }
  LogContents read = reader.finish();
  read.UnreadableFiles = std::move(unreadable);
  return read;
}

std::vector<LoggedEvent> select(const std::vector<LoggedEvent> &events,
                                const EventFilter &filter) {
  std::vector<LoggedEvent> selected;
  std::copy_if(events.begin(), events.end(), std::back_inserter(selected),
               [&](const LoggedEvent &e) { return matches(filter, e); });
  return selected;
}

std::vector<LoggedEvent> eventsOfJob(const std::string &job,
                                     const std::vector<LoggedEvent> &events) {
  std::optional<int64_t> first;
  int64_t last = 0;
  std::set<std::string> workers;
  for (const LoggedEvent &e : events) {
    if (!concernsJob(job, e))
      continue;
    first = first.value_or(e.AtUs);
    last = e.AtUs;
    if (e.Fields.contains("worker"))
      workers.insert(textIn(e.Fields, "worker"));
  }
  std::vector<LoggedEvent> jobEvents;
  if (!first)
    return jobEvents;
  OutageFilter outages;
  for (const LoggedEvent &e : events) {
    const bool during = e.AtUs >= *first && e.AtUs <= last;
    const bool atWorker = startsWith(textIn(e.Fields, "name"), "worker.") &&
                          workers.count(textIn(e.Fields, "worker")) > 0;
    const bool isNewDuringJob = during && !outages.checkRepetition(e);
    if (concernsJob(job, e) ||
        (isNewDuringJob && (concernsAllJobs(e) || atWorker)))
      jobEvents.push_back(e);
  }
  return jobEvents;
}

void printJson(const std::vector<LoggedEvent> &events, std::ostream &out) {
  for (const LoggedEvent &e : events)
    out << utils::toJsonText(e.Fields) << '\n';
}

void printText(const std::vector<LoggedEvent> &events, std::ostream &out) {
  for (const LoggedEvent &e : events) {
    out << std::fixed << std::setprecision(3) << std::setw(9)
        << static_cast<double>(e.AtUs - events.front().AtUs) / 1e6 << "  "
        << textIn(e.Fields, "proc") << "  " << textIn(e.Fields, "name");
    for (const auto &[key, value] : e.Fields.items())
      if (CommonFields.count(key) == 0)
        out << "  " << key << '='
            << (value.is_string() ? value.get<std::string>()
                                  : utils::toJsonText(value));
    out << '\n';
  }
}

} // namespace oriolebay::eventlog
