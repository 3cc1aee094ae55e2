#include "timeline.h"

#include "utils/jsonfields.h"

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

/// Fields that every event has; text output gives them their own columns.
const std::set<std::string> CommonFields = {"ts_us", "up_ms", "proc", "event",
                                            "name"};
constexpr const char *ProcessStartedName = "process.started";
constexpr const char *StoreCallFailedName = "store.call_failed";
constexpr const char *StoreRegainedName = "store.regained";
/// Failures of one process that follow each other within this are one outage.
constexpr int64_t SameOutageUs = 3'000'000;

bool startsWith(const std::string &text, const std::string &start) {
  return text.compare(0, start.size(), start) == 0;
}

// One life of a process: its boot clock runs evenly in it.
using Life = std::vector<LoggedEvent>;

void placeByBootClock(Life &life) {
  std::vector<int64_t> offsets;
  for (const LoggedEvent &e : life)
    if (e.Fields.contains("up_ms"))
      offsets.push_back(e.AtUs - numberIn(e.Fields, "up_ms") * 1000);
  if (offsets.empty())
    return;
  const auto middle =
      offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  for (LoggedEvent &e : life)
    if (e.Fields.contains("up_ms"))
      e.AtUs = numberIn(e.Fields, "up_ms") * 1000 + *middle;
}

class Reader {
public:
  void read(std::istream &in) {
    std::string line;
    while (std::getline(in, line))
      take(line);
  }

  ReadEvents finish() {
    for (auto &[process, life] : Lives)
      close(life);
    std::stable_sort(Result.Events.begin(), Result.Events.end(),
                     [](const LoggedEvent &a, const LoggedEvent &b) {
                       return a.AtUs < b.AtUs;
                     });
    return std::move(Result);
  }

private:
  void take(const std::string &line) {
    const size_t start = line.find('{');
    json fields = start == std::string::npos
                      ? json()
                      : json::parse(line.substr(start), nullptr, false);
    if (!fields.is_object() || !fields.contains("ts_us")) {
      ++Result.Skipped;
      return;
    }
    Life &life = Lives[textIn(fields, "proc")];
    if (textIn(fields, "name") == ProcessStartedName)
      close(life);
    const int64_t at = numberIn(fields, "ts_us");
    life.push_back({at, std::move(fields)});
  }

  void close(Life &life) {
    placeByBootClock(life);
    std::move(life.begin(), life.end(), std::back_inserter(Result.Events));
    life.clear();
  }

  std::map<std::string, Life> Lives;
  ReadEvents Result;
};

bool passes(const EventFilter &f, const LoggedEvent &e) {
  return (f.Process.empty() || textIn(e.Fields, "proc") == f.Process) &&
         (f.Worker.empty() || textIn(e.Fields, "worker") == f.Worker) &&
         (f.Organisation.empty() ||
          textIn(e.Fields, "organisation") == f.Organisation) &&
         startsWith(textIn(e.Fields, "name"), f.Name) &&
         (!f.FromUs || e.AtUs >= *f.FromUs) && (!f.ToUs || e.AtUs <= *f.ToUs);
}

// A task is named after its job, and a reason may name the job that work made
// room for.
bool isOf(const std::string &job, const LoggedEvent &e) {
  return textIn(e.Fields, "job") == job ||
         startsWith(textIn(e.Fields, "task"), job + ".") ||
         textIn(e.Fields, "why").find(job) != std::string::npos;
}

bool touchesAll(const LoggedEvent &e) {
  const std::string name = textIn(e.Fields, "name");
  return startsWith(name, "leader.") || startsWith(name, "store.") ||
         startsWith(name, "log.");
}

/// Lets one failed store call a process and outage into a job's story: each
/// process makes several calls a second, and their failures say the same.
class OutageFilter {
public:
  bool repeats(const LoggedEvent &e) {
    const std::string name = textIn(e.Fields, "name");
    const std::string process = textIn(e.Fields, "proc");
    if (name == StoreRegainedName)
      FailedAtUs.erase(process);
    if (name != StoreCallFailedName)
      return false;
    auto [it, isFirst] = FailedAtUs.try_emplace(process, e.AtUs);
    const int64_t sinceLastUs = e.AtUs - std::exchange(it->second, e.AtUs);
    return !isFirst && sinceLastUs <= SameOutageUs;
  }

private:
  std::map<std::string, int64_t> FailedAtUs;
};

} // namespace

ReadEvents readEvents(const std::vector<std::string> &paths) {
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
  ReadEvents read = reader.finish();
  read.Unreadable = std::move(unreadable);
  return read;
}

std::vector<LoggedEvent> select(const std::vector<LoggedEvent> &events,
                                const EventFilter &filter) {
  std::vector<LoggedEvent> chosen;
  std::copy_if(events.begin(), events.end(), std::back_inserter(chosen),
               [&](const LoggedEvent &e) { return passes(filter, e); });
  return chosen;
}

std::vector<LoggedEvent> storyOf(const std::string &job,
                                 const std::vector<LoggedEvent> &events) {
  std::optional<int64_t> first;
  int64_t last = 0;
  std::set<std::string> workers;
  for (const LoggedEvent &e : events) {
    if (!isOf(job, e))
      continue;
    first = first.value_or(e.AtUs);
    last = e.AtUs;
    if (e.Fields.contains("worker"))
      workers.insert(textIn(e.Fields, "worker"));
  }
  std::vector<LoggedEvent> story;
  if (!first)
    return story;
  OutageFilter outages;
  for (const LoggedEvent &e : events) {
    const bool during = e.AtUs >= *first && e.AtUs <= last;
    const bool atWorker = startsWith(textIn(e.Fields, "name"), "worker.") &&
                          workers.count(textIn(e.Fields, "worker")) > 0;
    const bool isNews = during && !outages.repeats(e);
    if (isOf(job, e) || (isNews && (touchesAll(e) || atWorker)))
      story.push_back(e);
  }
  return story;
}

void printJson(const std::vector<LoggedEvent> &events, std::ostream &out) {
  for (const LoggedEvent &e : events)
    out << e.Fields.dump() << '\n';
}

void printText(const std::vector<LoggedEvent> &events, std::ostream &out) {
  for (const LoggedEvent &e : events) {
    out << std::fixed << std::setprecision(3) << std::setw(9)
        << static_cast<double>(e.AtUs - events.front().AtUs) / 1e6 << "  "
        << textIn(e.Fields, "proc") << "  " << textIn(e.Fields, "name");
    for (const auto &[key, value] : e.Fields.items())
      if (CommonFields.count(key) == 0)
        out << "  " << key << '='
            << (value.is_string() ? value.get<std::string>() : value.dump());
    out << '\n';
  }
}

} // namespace oriolebay::eventlog
